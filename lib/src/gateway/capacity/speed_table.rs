//! Speed of each server, learned from the times that hosts see.
//!
//! Load pattern: engines differ in speed from service to service and within one, requests wait behind
//! the prompts of other hosts, prefixes are cached that this host does not know of, and servers slow
//! down for moments. The time to a first event is `fixed + tokens / speed` for a request that waits for
//! nothing. Only requests that found no known work ahead of them count, of those only the large ones for
//! the speed and the small ones for the fixed time, and of their values the most common one
//! (`sample_ring`). Waiting in a queue thus does not lower the learned speed, and a prompt that was cached
//! unknown to this host does not raise it. At a server that is never free, requests count with the
//! tokens that were known to be ahead of them.
//!
//! A server that slows down for a moment is told from a slow one by its last measurements: they reduce
//! the speed that placement expects for as long as they are recent, and leave the learned speed as it is.
//!
//! Hosts pass their measurements on in summaries (`speed_gossip`), so that all hosts learn the same and
//! nothing is lost with one of them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::gateway::caller_request::PromptShape;
use crate::gateway::capacity::sample_ring::SampleRing;
use crate::gateway::capacity::sample_ring::SampleSource;
use crate::gateway::capacity::service_speed::INITIAL_FIRST_EVENT;
use crate::gateway::capacity::service_speed::INITIAL_OUTPUT_TOKENS_PER_S;
use crate::gateway::capacity::service_speed::INITIAL_PREFILL_TOKENS_PER_MS;
use crate::gateway::capacity::service_speed::ServiceSpeed;
use crate::gateway::capacity::service_speed::SpeedBasis;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Measurements kept of each server.
const SERVER_SAMPLES: usize = 40;

/// Measurements from which on the speed of a server, or of a service, counts as learned.
pub const MIN_SAMPLES: usize = 8;

/// Measurements kept of small prompts, and of all servers of a service together.
const SERVICE_SAMPLES: usize = 64;

/// Maximum number of measurements that wait for the next summary: those of one summary at twice the
/// traffic per host of the largest deployment.
pub const MAX_SHARED_SAMPLES: usize = 6;

/// A request waited for nothing if less than this share of its own tokens was ahead of it.
const MAX_PENDING_SHARE: f64 = 0.25;

/// Time without an undisturbed measurement after which disturbed ones count as well. After 10 s the
/// learned speed fell by 15% within half a minute of one and a half times the capacity.
const DISTURBED_DELAY: Duration = Duration::from_secs(30);

/// Prompts of at least this share of the typical size, weighted by tokens, measure the speed. For
/// smaller ones most of the time is the fixed one.
const LARGE_PROMPT_SHARE: f64 = 0.7;

/// Prompts of at most this share of the typical size measure the fixed time.
const SMALL_PROMPT_SHARE: f64 = 0.35;

/// Share of the small prompts that wait for nothing at the least; the others take longer than the fixed
/// time, and none takes less.
const FIXED_TIME_QUANTILE: f64 = 0.1;

/// Weight of a new prompt in the typical size, once there were enough of them.
const SIZE_WEIGHT: f64 = 0.02;

/// Part of a measured time that is prefill at the least, so that no fixed time explains all of it.
const MIN_PREFILL_PART: f64 = 0.2;

/// Range of believable speeds in prompt tokens per millisecond. Values outside are errors of a peer.
const BELIEVABLE_TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 0.1..=20_000.0;

/// Time for which the last measurements of a server show that it is slow at the moment: about a
/// transient slowdown, so that the server is used again soon after it.
const SLOWDOWN_PERIOD: Duration = Duration::from_millis(1_000);

/// Measurements that must agree that a server is slow at the moment; a single one may have met a queue.
const SLOWDOWN_SAMPLES: usize = 2;

/// Slowdown below which times scatter anyway, and the largest one that is taken into account.
const MIN_SLOWDOWN: f64 = 1.5;
const MAX_SLOWDOWN: f64 = 10.0;

/// Part of the pause goal that reading prompts may take up at a server before its streams count as
/// stalled. The rest is for the prompts of other hosts that are not known yet.
const STALL_SHARE: f64 = 0.5;

/// Share of a server's slots that are in use where its decoding speed is stated.
const STATED_FILL: f64 = 0.5;

/// Weight of a stream in the tokens that requests ask for per event.
const STREAM_WEIGHT: f64 = 0.02;

/// Longest believable time of a measurement.
const MAX_ELAPSED: Duration = Duration::from_secs(60);

/// Change of a learned speed that is worth a log line.
const NOTICEABLE_CHANGE: f64 = 0.1;

/// Whether something besides the prompt took part of the measured time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadQuality {
    /// Nothing that this host knows of.
    Undisturbed,
    /// Other prompts were ahead, or parts of the prompt may be cached.
    Disturbed,
}

/// What a server had to read before the first event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptRead {
    /// Prompt tokens of the request that are certainly not cached.
    pub own_tokens: u64,
    /// Prompt tokens that were known to be ahead of it.
    pub pending_tokens: u64,
    /// What else may have taken time.
    pub quality: ReadQuality,
}

/// The state of a server when a request was sent to it.
#[derive(Clone, Copy, Debug)]
pub struct ServerMoment {
    /// Prompt tokens of other requests that it had not prefilled, as far as known.
    pub pending_tokens: u64,
    /// Requests in flight there.
    pub running: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
}

impl PromptRead {
    /// Returns all prompt tokens that were read before the first event.
    pub fn tokens(self) -> u64 {
        self.own_tokens.saturating_add(self.pending_tokens)
    }

    /// Returns what a server has to read for a request; `None` if the time to its first event shows
    /// nothing of the speed, since it waits for a slot or its own part is cached.
    pub fn of_request(
        prompt: &PromptShape,
        uncached_tokens: u64,
        moment: ServerMoment,
    ) -> Option<Self> {
        let shared: u64 = prompt.shared_parts().iter().map(|part| u64::from(part.tokens)).sum();
        let own = u64::from(prompt.prompt_tokens).saturating_sub(shared);
        if own == 0 || uncached_tokens < own || moment.running >= moment.slots {
            return None;
        }
        // Shared parts that this host has not sent there may have come from another host.
        let is_known = uncached_tokens == own;
        let is_free = moment.pending_tokens as f64 <= own as f64 * MAX_PENDING_SHARE;
        Some(match is_known && is_free {
            true => Self { own_tokens: own, pending_tokens: 0, quality: ReadQuality::Undisturbed },
            false => Self {
                own_tokens: own,
                pending_tokens: moment.pending_tokens,
                quality: ReadQuality::Disturbed,
            },
        })
    }
}

/// A measured first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadSample {
    /// What the server read.
    pub read: PromptRead,
    /// Time from sending the request to its first event.
    pub elapsed: Duration,
}

impl ReadSample {
    fn elapsed_ms(self) -> f64 {
        self.elapsed.as_secs_f64() * 1_000.0
    }

    /// Returns the prompt tokens per millisecond, given the time that a first event takes anyway.
    fn tokens_per_ms(self, fixed_ms: f64) -> f64 {
        let prefill_ms = (self.elapsed_ms() - fixed_ms).max(self.elapsed_ms() * MIN_PREFILL_PART);
        self.read.tokens() as f64 / prefill_ms
    }

    /// Returns whether the measurement is possible at all.
    fn is_believable(self) -> bool {
        self.elapsed <= MAX_ELAPSED
            && BELIEVABLE_TOKENS_PER_MS.contains(&(self.read.tokens() as f64 / self.elapsed_ms()))
    }
}

/// A measurement to share with peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpeedSample {
    /// The time to a first event.
    Read(ReadSample),
    /// The service time of a plain call.
    Plain(Duration),
}

/// What was learned of the servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedSpeed {
    /// Service.
    pub service: ServiceName,
    /// Prompt tokens that one server prefills per millisecond.
    pub tokens_per_ms: f64,
    /// Time to a first event that does not depend on the prompt.
    pub fixed: Duration,
    /// Time since the last measurement.
    pub age: Duration,
    /// Servers of which enough was measured; 0 if the measurements were taken together.
    pub servers: usize,
}

/// What is known of one server's process.
#[derive(Clone, Debug)]
struct ServerSpeed {
    /// Index of its service.
    service: usize,
    reads: SampleRing<ReadSample>,
    undisturbed_at: Option<Timestamp>,
    prefill_tokens_per_ms: Option<f64>,
    plain: SampleRing<Duration>,
    plain_ms: Option<f64>,
    /// Pauses between two events.
    gaps: SampleRing<Duration>,
    gap_ms: Option<f64>,
    /// The last measurements, oldest first.
    recent: VecDeque<RecentTime>,
}

/// A measured time as a multiple of the expected one.
#[derive(Clone, Copy, Debug)]
struct RecentTime {
    at: Timestamp,
    source: SampleSource,
    ratio: f64,
}

impl ServerSpeed {
    /// Records a measured time. Only the last one of a peer counts, so that no peer alone makes a server
    /// look slow.
    fn on_ratio(&mut self, at: Timestamp, source: SampleSource, ratio: f64) {
        self.recent.retain(|known| source == SampleSource::Own || known.source != source);
        if self.recent.len() >= SLOWDOWN_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentTime { at, source, ratio });
    }

    /// Returns by what factor the server is slower than usual, if its last measurements agree on it.
    fn slowdown(&self, now: Timestamp) -> f64 {
        let recent = self.recent.iter().filter(|known| now.since(known.at) < SLOWDOWN_PERIOD);
        let (count, least) = recent
            .fold((0, f64::INFINITY), |(count, least), known| (count + 1, known.ratio.min(least)));
        match count >= SLOWDOWN_SAMPLES && least >= MIN_SLOWDOWN {
            true => least.min(MAX_SLOWDOWN),
            false => 1.0,
        }
    }
}

/// What is known of the servers of one service.
#[derive(Clone, Debug)]
struct ServiceStats {
    name: ServiceName,
    /// Prompts whose sizes were counted.
    sizes: u32,
    /// Mean of the prompts' sizes, and of the sizes times their logarithms.
    mean_tokens: f64,
    mean_log_tokens: f64,
    small_reads: SampleRing<ReadSample>,
    fixed_ms: f64,
    /// Measurements of all servers.
    reads: SampleRing<ReadSample>,
    prefill_tokens_per_ms: Option<f64>,
    plain: SampleRing<Duration>,
    plain_ms: Option<f64>,
    learned_at: Option<Timestamp>,
    gaps: SampleRing<Duration>,
    gap_ms: Option<f64>,
    /// Mean of the requested output tokens and of the events of the streams that ended.
    requested_tokens: f64,
    events: f64,
    /// Slots of a server.
    slots: u32,
    /// Shortest pause goal of its streams.
    pause_goal: Option<Duration>,
    /// Speed that was last returned as a change.
    told_tokens_per_ms: Option<f64>,
}

impl ServiceStats {
    fn new(name: ServiceName) -> Self {
        Self {
            name,
            sizes: 0,
            mean_tokens: 0.0,
            mean_log_tokens: 0.0,
            small_reads: SampleRing::new(SERVICE_SAMPLES),
            fixed_ms: INITIAL_FIRST_EVENT.as_secs_f64() * 1_000.0,
            reads: SampleRing::new(SERVICE_SAMPLES),
            prefill_tokens_per_ms: None,
            plain: SampleRing::new(SERVICE_SAMPLES),
            plain_ms: None,
            learned_at: None,
            gaps: SampleRing::new(SERVICE_SAMPLES),
            gap_ms: None,
            requested_tokens: 0.0,
            events: 0.0,
            slots: 0,
            pause_goal: None,
            told_tokens_per_ms: None,
        }
    }

    /// Returns the size of the prompt that a typical token belongs to: the geometric mean over all
    /// tokens, which a few huge prompts hardly shift.
    fn typical_tokens(&self) -> f64 {
        if self.sizes > 0 { (self.mean_log_tokens / self.mean_tokens).exp() } else { 0.0 }
    }

    fn is_large(&self, sample: ReadSample) -> bool {
        sample.read.own_tokens as f64 >= self.typical_tokens() * LARGE_PROMPT_SHARE
    }

    fn on_size(&mut self, tokens: u64) {
        let tokens = tokens as f64;
        self.sizes = self.sizes.saturating_add(1);
        let weight = SIZE_WEIGHT.max(1.0 / f64::from(self.sizes));
        self.mean_tokens += (tokens - self.mean_tokens) * weight;
        self.mean_log_tokens += (tokens * tokens.ln() - self.mean_log_tokens) * weight;
    }

    /// Learns the fixed time from a small prompt.
    fn on_small_read(&mut self, now: Timestamp, sample: ReadSample) {
        self.small_reads.push(now, SampleSource::Own, sample);
        if self.small_reads.len() < MIN_SAMPLES {
            return;
        }
        let speed = self.prefill_tokens_per_ms.unwrap_or(INITIAL_PREFILL_TOKENS_PER_MS);
        let fixed =
            |sample: ReadSample| sample.elapsed_ms() - sample.read.own_tokens as f64 / speed;
        let fixed = self.small_reads.quantile(FIXED_TIME_QUANTILE, fixed);
        self.fixed_ms = fixed.map_or(self.fixed_ms, |fixed| fixed.max(0.0));
    }

    /// Returns the requested output tokens that a server serves per second at a pause between events;
    /// `None` before any stream ended.
    fn output_tokens_per_s(&self, gap_ms: Option<f64>) -> Option<f64> {
        let streams = f64::from(self.slots) * STATED_FILL;
        let speed = streams * self.requested_tokens / self.events / (gap_ms? / 1_000.0);
        (speed.is_finite() && speed > 0.0).then_some(speed)
    }

    /// Returns the speed that measurements of large prompts show.
    fn speed_of(&self, reads: &SampleRing<ReadSample>) -> Option<f64> {
        let large_only = |sample: ReadSample| match self.is_large(sample) {
            true => sample.tokens_per_ms(self.fixed_ms),
            // Values that are not positive do not count.
            false => 0.0,
        };
        if reads.len() < MIN_SAMPLES { None } else { reads.common_value(large_only) }
    }
}

/// Returns the most common of measured times in milliseconds. Of clusters alike the fastest counts, so
/// their reciprocals are compared.
fn common_ms(times: &SampleRing<Duration>) -> Option<f64> {
    let rate = times.common_value(|elapsed| 1.0 / (elapsed.as_secs_f64() * 1_000.0));
    rate.map(|rate| 1.0 / rate)
}

/// Learned speeds of all servers.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    servers: SecondaryMap<ServerKey, ServerSpeed>,
    services: Vec<ServiceStats>,
    /// Measurements of this host for the next summary.
    unshared: VecDeque<(ServerKey, SpeedSample)>,
}

impl SpeedTable {
    /// Adds a server of a service, or forgets what was learned of one that restarted.
    pub fn on_joined(&mut self, key: ServerKey, service: &ServiceName) {
        let service = self.service_index(service);
        let speed = ServerSpeed {
            service,
            reads: SampleRing::new(SERVER_SAMPLES),
            undisturbed_at: None,
            prefill_tokens_per_ms: None,
            plain: SampleRing::new(SERVER_SAMPLES),
            plain_ms: None,
            gaps: SampleRing::new(SERVER_SAMPLES),
            gap_ms: None,
            recent: VecDeque::new(),
        };
        self.servers.insert(key, speed);
    }

    /// Removes a server; what it added to the knowledge of its service stays.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers.remove(key);
    }

    /// Sets the shortest pause goal of each service's streams; other services have none.
    pub fn set_pause_goals(&mut self, goals: &BTreeMap<ServiceName, Duration>) {
        self.services.iter_mut().for_each(|stats| stats.pause_goal = None);
        for (service, goal) in goals {
            let index = self.service_index(service);
            self.services[index].pause_goal = Some(*goal);
        }
    }

    fn service_index(&mut self, name: &ServiceName) -> usize {
        match self.services.iter().position(|stats| stats.name == *name) {
            Some(index) => index,
            None => {
                self.services.push(ServiceStats::new(name.clone()));
                self.services.len() - 1
            }
        }
    }

    /// Records that the first event of a request of this host came from a server.
    pub fn on_first_event(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        read: PromptRead,
        elapsed: Duration,
    ) {
        let sample = ReadSample { read, elapsed };
        let Some(service) = self.servers.get(key).map(|server| server.service) else { return };
        if !sample.is_believable() {
            return;
        }
        let stats = &mut self.services[service];
        let size = stats.typical_tokens();
        stats.on_size(read.own_tokens);
        if (read.own_tokens as f64) <= size * SMALL_PROMPT_SHARE {
            // Behind a queue all first events are late, and none shows the fixed time.
            if read.quality == ReadQuality::Undisturbed {
                stats.on_small_read(now, sample);
            }
            return;
        }
        if self.learn_read(now, key, sample, SampleSource::Own) {
            self.share(key, SpeedSample::Read(sample));
        }
    }

    /// Records a pause between two events of a stream, averaged over some of them.
    pub fn on_event_gap(&mut self, now: Timestamp, key: ServerKey, gap: Duration) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let stats = &mut self.services[server.service];
        server.gaps.push(now, SampleSource::Own, gap);
        stats.gaps.push(now, SampleSource::Own, gap);
        server.gap_ms = common_ms(&server.gaps).or(server.gap_ms);
        stats.gap_ms = common_ms(&stats.gaps).or(stats.gap_ms);
    }

    /// Records a complete stream: its events, and the output tokens that its request asked for at most.
    /// Responses are shorter, so the two tell what demand means in events.
    pub fn on_stream_end(&mut self, key: ServerKey, slots: u32, events: u64, requested: u32) {
        let Some(server) = self.servers.get(key) else { return };
        let stats = &mut self.services[server.service];
        let weight = if stats.events > 0.0 { STREAM_WEIGHT } else { 1.0 };
        stats.events += (events as f64 - stats.events) * weight;
        stats.requested_tokens += (f64::from(requested) - stats.requested_tokens) * weight;
        stats.slots = slots;
    }

    /// Records the time from sending a plain call to its complete answer. `moment` is that of sending.
    pub fn on_plain_answer(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        moment: ServerMoment,
        elapsed: Duration,
    ) {
        // A call that waits for a slot shows nothing of the speed.
        if moment.running < moment.slots && elapsed <= MAX_ELAPSED {
            self.learn_plain(now, key, elapsed, SampleSource::Own);
            self.share(key, SpeedSample::Plain(elapsed));
        }
    }

    /// Records a measurement of a peer.
    pub fn on_peer_sample(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        sample: SpeedSample,
        peer: SampleSource,
    ) {
        match sample {
            SpeedSample::Read(sample) if sample.is_believable() => {
                self.learn_read(now, key, sample, peer);
            }
            SpeedSample::Plain(elapsed) if elapsed <= MAX_ELAPSED => {
                self.learn_plain(now, key, elapsed, peer);
            }
            SpeedSample::Read(_) | SpeedSample::Plain(_) => {}
        }
    }

    /// Returns the measurements for the next summary, and forgets them: later ones replace lost ones.
    pub fn take_unshared(&mut self) -> Vec<(ServerKey, SpeedSample)> {
        self.unshared.drain(..).collect()
    }

    fn share(&mut self, key: ServerKey, sample: SpeedSample) {
        if self.unshared.len() >= MAX_SHARED_SAMPLES {
            self.unshared.pop_front();
        }
        self.unshared.push_back((key, sample));
    }

    /// Learns from the first event of a large prompt; returns whether it was one that counts.
    fn learn_read(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        sample: ReadSample,
        source: SampleSource,
    ) -> bool {
        let Some(server) = self.servers.get_mut(key) else { return false };
        let stats = &mut self.services[server.service];
        if !stats.is_large(sample) {
            return false;
        }
        let known = server.prefill_tokens_per_ms.or(stats.prefill_tokens_per_ms);
        if let Some(speed) = known {
            let expected_ms = stats.fixed_ms + sample.read.tokens() as f64 / speed;
            server.on_ratio(now, source, sample.elapsed_ms() / expected_ms);
        }
        match sample.read.quality {
            ReadQuality::Undisturbed => server.undisturbed_at = Some(now),
            ReadQuality::Disturbed => {
                let last = server.undisturbed_at;
                if last.is_some_and(|at| now.since(at) < DISTURBED_DELAY) {
                    return false;
                }
            }
        }
        server.reads.push(now, source, sample);
        stats.reads.push(now, source, sample);
        server.prefill_tokens_per_ms =
            stats.speed_of(&server.reads).or(server.prefill_tokens_per_ms);
        let service = server.service;
        self.update_service(now, service);
        true
    }

    /// Updates the expected speed of a server of a service: the mean over those that are known, or what
    /// the measurements of all of them show.
    fn update_service(&mut self, now: Timestamp, service: usize) {
        let known = self.servers.values().filter(|server| server.service == service);
        let speeds = known.filter_map(|server| server.prefill_tokens_per_ms);
        let (count, sum) =
            speeds.fold((0_u32, 0.0), |(count, sum), speed| (count + 1, sum + speed));
        let stats = &mut self.services[service];
        let pooled = if count == 0 { stats.speed_of(&stats.reads) } else { None };
        let mean = (count > 0).then(|| sum / f64::from(count));
        if let Some(speed) = mean.or(pooled) {
            stats.prefill_tokens_per_ms = Some(speed);
            stats.learned_at = Some(now);
        }
    }

    fn learn_plain(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        elapsed: Duration,
        source: SampleSource,
    ) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let stats = &mut self.services[server.service];
        if let Some(usual_ms) = server.plain_ms.or(stats.plain_ms) {
            server.on_ratio(now, source, elapsed.as_secs_f64() * 1_000.0 / usual_ms);
        }
        server.plain.push(now, source, elapsed);
        stats.plain.push(now, source, elapsed);
        server.plain_ms = common_ms(&server.plain);
        stats.plain_ms = common_ms(&stats.plain);
    }

    /// Returns the prompt tokens that a server prefills per millisecond: as measured there, else as
    /// expected of a server of its service, else the initial guess; less while the server is slow.
    pub fn prefill_tokens_per_ms(&self, now: Timestamp, key: ServerKey) -> f64 {
        self.usual_tokens_per_ms(key) / self.slowdown(now, key)
    }

    fn usual_tokens_per_ms(&self, key: ServerKey) -> f64 {
        let Some(server) = self.servers.get(key) else { return INITIAL_PREFILL_TOKENS_PER_MS };
        let expected = self.services[server.service].prefill_tokens_per_ms;
        server.prefill_tokens_per_ms.or(expected).unwrap_or(INITIAL_PREFILL_TOKENS_PER_MS)
    }

    /// Returns by what factor a server is slower than usual at the moment; 1 if it is not.
    pub fn slowdown(&self, now: Timestamp, key: ServerKey) -> f64 {
        self.servers.get(key).map_or(1.0, |server| server.slowdown(now))
    }

    /// Returns the expected time to the first event of a request with so many prompt tokens to read,
    /// its own and those ahead of it, at the usual speed: a queue that this host does not know of looks
    /// like a slowdown, and must not lead to a refusal.
    pub fn first_event_time(&self, key: ServerKey, tokens: u64) -> Duration {
        let fixed_ms = self.servers.get(key).map(|server| self.services[server.service].fixed_ms);
        let fixed_ms = fixed_ms.unwrap_or(INITIAL_FIRST_EVENT.as_secs_f64() * 1_000.0);
        let prefill_ms = tokens as f64 / self.usual_tokens_per_ms(key);
        Duration::from_secs_f64((fixed_ms + prefill_ms) / 1_000.0)
    }

    /// Returns by how many milliseconds the streams at a server would pause beyond what their goal
    /// leaves for it while the server reads so many prompt tokens.
    pub fn stall_ms(&self, now: Timestamp, key: ServerKey, tokens: u64) -> f64 {
        let server = self.servers.get(key);
        let goal = server.and_then(|server| self.services[server.service].pause_goal);
        let Some(goal) = goal else { return 0.0 };
        let pause_ms = tokens as f64 / self.prefill_tokens_per_ms(now, key);
        (pause_ms - goal.as_secs_f64() * 1_000.0 * STALL_SHARE).max(0.0)
    }

    /// Returns the usual time of a plain call at a server that has a free slot: as measured there, else
    /// as expected of a server of its service; `None` before any was measured.
    pub fn service_time(&self, _now: Timestamp, key: ServerKey) -> Option<Duration> {
        let server = self.servers.get(key)?;
        let millis = server.plain_ms.or(self.services[server.service].plain_ms)?;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Returns the requested output tokens that a server serves per second with a half-full batch.
    pub fn output_tokens_per_s(&self, _now: Timestamp, key: ServerKey) -> f64 {
        let server = self.servers.get(key);
        let learned = server.and_then(|server| {
            let stats = &self.services[server.service];
            stats.output_tokens_per_s(server.gap_ms.or(stats.gap_ms))
        });
        learned.unwrap_or(INITIAL_OUTPUT_TOKENS_PER_S)
    }

    /// Returns what is expected of a server of a service.
    pub fn of_service(&self, _now: Timestamp, service: &ServiceName) -> ServiceSpeed {
        let stats = self.services.iter().find(|stats| stats.name == *service);
        let Some(stats) = stats else { return ServiceSpeed::INITIAL };
        let Some(tokens_per_ms) = stats.prefill_tokens_per_ms else { return ServiceSpeed::INITIAL };
        let output = stats.output_tokens_per_s(stats.gap_ms);
        ServiceSpeed {
            prefill_tokens_per_s: tokens_per_ms * 1_000.0,
            output_tokens_per_s: output.unwrap_or(INITIAL_OUTPUT_TOKENS_PER_S),
            basis: SpeedBasis::Learned,
        }
    }

    /// Returns the time to the first event that does not depend on the prompt, for a service.
    pub fn fixed_time(&self, service: &ServiceName) -> Duration {
        let stats = self.services.iter().find(|stats| stats.name == *service);
        stats.map_or(INITIAL_FIRST_EVENT, |stats| Duration::from_secs_f64(stats.fixed_ms / 1_000.0))
    }

    /// Returns the learned speed of each service.
    pub fn learned(&self, now: Timestamp) -> Vec<LearnedSpeed> {
        let learned = |(index, stats): (usize, &ServiceStats)| {
            let is_known = |server: &&ServerSpeed| {
                server.service == index && server.prefill_tokens_per_ms.is_some()
            };
            Some(LearnedSpeed {
                service: stats.name.clone(),
                tokens_per_ms: stats.prefill_tokens_per_ms?,
                fixed: Duration::from_secs_f64(stats.fixed_ms / 1_000.0),
                age: now.since(stats.learned_at?),
                servers: self.servers.values().filter(is_known).count(),
            })
        };
        self.services.iter().enumerate().filter_map(learned).collect()
    }

    /// Returns the learned speeds that changed noticeably since they were last returned.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<LearnedSpeed> {
        let mut changed = self.learned(now);
        changed.retain(|learned| {
            let stats = self.services.iter_mut().find(|stats| stats.name == learned.service);
            stats.is_some_and(|stats| {
                let is_close =
                    |told: f64| (learned.tokens_per_ms / told - 1.0).abs() < NOTICEABLE_CHANGE;
                let is_changed = !stats.told_tokens_per_ms.is_some_and(is_close);
                if is_changed {
                    stats.told_tokens_per_ms = Some(learned.tokens_per_ms);
                }
                is_changed
            })
        });
        changed
    }
}
