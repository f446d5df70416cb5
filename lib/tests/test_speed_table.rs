//! Learned speeds against simulated engines: queues, unknown caches, uneven servers and bad reports.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::backend_directory::BackendDirectory;
use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::gateway::caller_request::PromptPart;
use pomelostack_lib::gateway::caller_request::PromptShape;
use pomelostack_lib::gateway::capacity::answer_timing::AnswerGoals;
use pomelostack_lib::gateway::capacity::answer_timing::AnswerTiming;
use pomelostack_lib::gateway::capacity::answer_timing::LatePart;
use pomelostack_lib::gateway::capacity::sample_ring::SampleSource;
use pomelostack_lib::gateway::capacity::service_speed::INITIAL_OUTPUT_TOKENS_PER_S;
use pomelostack_lib::gateway::capacity::service_speed::INITIAL_PREFILL_TOKENS_PER_MS;
use pomelostack_lib::gateway::capacity::service_speed::SpeedBasis;
use pomelostack_lib::gateway::capacity::speed_gossip::apply_samples;
use pomelostack_lib::gateway::capacity::speed_table::PromptRead;
use pomelostack_lib::gateway::capacity::speed_table::ReadQuality;
use pomelostack_lib::gateway::capacity::speed_table::ReadSample;
use pomelostack_lib::gateway::capacity::speed_table::ServerMoment;
use pomelostack_lib::gateway::capacity::speed_table::SpeedSample;
use pomelostack_lib::gateway::capacity::speed_table::SpeedTable;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::LogPosition;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::protos::gateway::SpeedMeasurement;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use slotmap::SlotMap;

const SLOTS: u32 = 24;
const HOSTS: usize = 12;
/// Delay after which other hosts learn of pending prompts and measurements.
const SUMMARY_DELAY_MS: f64 = 400.0;
/// Share of the prompts whose own part is cached unknown to the hosts, and the part that is not.
const CACHED_SHARE: f64 = 0.1;
const CACHED_PART: f64 = 0.3;
/// Share of the prompts whose shared part is no longer cached.
const EVICTED_SHARE: f64 = 0.15;
/// Share of the prompts that an engine prefills more slowly, and by what factor.
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
/// Shared and own tokens of a prompt, and its share of the requests.
const PROMPTS: [(u32, u32, f64); 3] = [(5_382, 6_610, 0.25), (198, 628, 0.35), (568, 1_800, 0.4)];

fn service() -> ServiceName {
    ServiceName::try_from("chat").expect("valid in tests")
}

fn moment() -> ServerMoment {
    ServerMoment { pending_tokens: 0, running: 0, slots: SLOTS }
}

fn read(tokens: u64) -> PromptRead {
    PromptRead { own_tokens: tokens, pending_tokens: 0, quality: ReadQuality::Undisturbed }
}

/// A prompt with one shared and one own part.
fn prompt(shared: u32, own: u32) -> PromptShape {
    let parts = vec![PromptPart { id: 1, tokens: shared }, PromptPart { id: 2, tokens: own }];
    PromptShape { prompt_tokens: shared + own, max_output_tokens: 100, parts }
}

/// An engine that prefills one prompt after the other.
#[derive(Clone)]
struct SimulatedEngine {
    key: ServerKey,
    tokens_per_ms: f64,
    free_at_ms: f64,
    /// Sending time, tokens, time of the first event and sender of each prompt.
    prompts: Vec<(f64, u64, f64, usize)>,
}

/// Hosts that send to engines and exchange what they measure.
struct SimulatedFleet {
    random: ChaCha8Rng,
    engines: Vec<SimulatedEngine>,
    hosts: Vec<SpeedTable>,
    fixed_ms: f64,
    is_partitioned: bool,
    now_ms: f64,
    /// First events and measurements that are still to come, by time in microseconds.
    events: BTreeMap<(u64, u64), FleetEvent>,
    count: u64,
}

enum FleetEvent {
    FirstEvent { host: usize, key: ServerKey, read: PromptRead, elapsed: Duration },
    Shared { from: usize, key: ServerKey, sample: SpeedSample },
}

impl SimulatedFleet {
    fn new(speeds: &[f64], fixed_ms: f64) -> Self {
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let engines: Vec<_> = speeds
            .iter()
            .map(|speed| SimulatedEngine {
                key: keys.insert(()),
                tokens_per_ms: *speed,
                free_at_ms: 0.0,
                prompts: Vec::new(),
            })
            .collect();
        let mut table = SpeedTable::default();
        engines.iter().for_each(|engine| table.on_joined(engine.key, &service()));
        Self {
            random: ChaCha8Rng::seed_from_u64(3),
            engines,
            hosts: vec![table; HOSTS],
            fixed_ms,
            is_partitioned: false,
            now_ms: 0.0,
            events: BTreeMap::new(),
            count: 0,
        }
    }

    /// Lets each half of the hosts learn only from its own.
    fn partition(&mut self) {
        self.is_partitioned = true;
    }

    fn push(&mut self, at_ms: f64, event: FleetEvent) {
        self.count += 1;
        self.events.insert(((at_ms * 1_000.0) as u64, self.count), event);
    }

    /// Sends prompts for a time, at a share of the engines' prefill speed.
    fn run(&mut self, seconds: f64, load: f64) {
        let work = |(shared, own, share): &(u32, u32, f64)| {
            let odd =
                CACHED_SHARE * CACHED_PART + EVICTED_SHARE + 1.0 - CACHED_SHARE - EVICTED_SHARE;
            (f64::from(*own) * odd + f64::from(*shared) * EVICTED_SHARE) * share
        };
        let slow = 1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0);
        let mean = PROMPTS.iter().map(work).sum::<f64>() * slow;
        let speed: f64 = self.engines.iter().map(|engine| engine.tokens_per_ms).sum();
        let until = self.now_ms + seconds * 1_000.0;
        while self.now_ms < until {
            let interval = mean / (speed * load);
            self.now_ms -= interval * (1.0 - self.random.random::<f64>()).ln();
            self.deliver();
            self.send();
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            let micros = entry.key().0;
            if micros > (self.now_ms * 1_000.0) as u64 {
                return;
            }
            let now = Timestamp(micros);
            match entry.remove() {
                FleetEvent::FirstEvent { host, key, read, elapsed } => {
                    self.hosts[host].on_first_event(now, key, read, elapsed);
                    let samples = self.hosts[host].take_unshared();
                    let at = micros as f64 / 1_000.0 + SUMMARY_DELAY_MS;
                    for (key, sample) in samples {
                        self.push(at, FleetEvent::Shared { from: host, key, sample });
                    }
                }
                FleetEvent::Shared { from, key, sample } => {
                    let source = SampleSource::Peer(from as u64);
                    let is_cut = |host: usize| {
                        self.is_partitioned && (host < HOSTS / 2) != (from < HOSTS / 2)
                    };
                    let peers = self.hosts.iter_mut().enumerate();
                    let peers = peers.filter(|(host, _)| *host != from && !is_cut(*host));
                    peers.for_each(|(_, peer)| peer.on_peer_sample(now, key, sample, source));
                }
            }
        }
    }

    fn send(&mut self) {
        let now = self.now_ms;
        let mut choice = self.random.random::<f64>();
        let &(shared, own, _) = PROMPTS
            .iter()
            .find(|(_, _, share)| {
                choice -= share;
                choice < 0.0
            })
            .unwrap_or(&PROMPTS[0]);
        let host = self.random.random_range(0..HOSTS);
        // Faster engines get more prompts, in proportion to their speed.
        let total: f64 = self.engines.iter().map(|engine| engine.tokens_per_ms).sum();
        let mut pick = self.random.random::<f64>() * total;
        let index = self.engines.iter().position(|engine| {
            pick -= engine.tokens_per_ms;
            pick < 0.0
        });
        let engine = &mut self.engines[index.unwrap_or_default()];
        engine.prompts.retain(|(_, _, first_at, _)| *first_at > now - SUMMARY_DELAY_MS);
        let known = engine.prompts.iter().filter(|(sent_at, _, first_at, sender)| {
            let seen_at = if *sender == host { now } else { now - SUMMARY_DELAY_MS };
            *sent_at <= seen_at && *first_at > seen_at
        });
        let pending_tokens = known.map(|(_, tokens, _, _)| tokens).sum();
        let moment = ServerMoment { pending_tokens, ..moment() };
        // Shared parts are sometimes gone from the cache, and some sessions come back.
        let odd = self.random.random::<f64>();
        let tokens = match odd {
            odd if odd < CACHED_SHARE => f64::from(own) * CACHED_PART,
            odd if odd < CACHED_SHARE + EVICTED_SHARE => f64::from(own + shared),
            _ => f64::from(own),
        };
        let slow = if self.random.random::<f64>() < SLOW_SHARE { SLOW_FACTOR } else { 1.0 };
        let begin = engine.free_at_ms.max(now);
        engine.free_at_ms = begin + tokens / engine.tokens_per_ms * slow;
        let first_at = engine.free_at_ms + self.fixed_ms * self.random.random_range(0.9..1.2);
        engine.prompts.push((now, u64::from(own), first_at, host));
        let key = engine.key;
        let prompt = prompt(shared, own);
        if let Some(read) = PromptRead::of_request(&prompt, u64::from(own), moment) {
            let elapsed = Duration::from_secs_f64((first_at - now) / 1_000.0);
            self.push(first_at, FleetEvent::FirstEvent { host, key, read, elapsed });
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp((self.now_ms * 1_000.0) as u64)
    }

    /// Returns the learned speed of the service as a share of the engines' mean speed.
    fn service_ratio(&self) -> f64 {
        let sum: f64 = self.engines.iter().map(|engine| engine.tokens_per_ms).sum();
        let speed = self.hosts[0].of_service(self.now(), &service());
        assert_eq!(speed.basis, SpeedBasis::Learned);
        speed.prefill_tokens_per_s / 1_000.0 / (sum / self.engines.len() as f64)
    }
}

#[rstest]
fn engine_speeds(
    #[values(13.0, 53.0)] fixed_ms: f64,
    #[values(20.0, 56.9, 140.0)] tokens_per_ms: f64,
    #[values(0.2, 0.5, 0.8)] load: f64,
) {
    // The estimate must neither fall with queues nor rise with unknown caches.
    let mut fleet = SimulatedFleet::new(&[tokens_per_ms; 8], fixed_ms);
    fleet.run(60.0, load);
    let ratio = fleet.service_ratio();
    assert!((0.9..=1.1).contains(&ratio), "{ratio}");
}

#[test]
fn overloaded_engines() {
    // Waiting time is not speed: half a minute of queues must not shrink the estimate.
    let mut fleet = SimulatedFleet::new(&[56.9; 8], 30.0);
    fleet.run(15.0, 0.5);
    for _ in 0..30 {
        fleet.run(1.0, 1.5);
        let ratio = fleet.service_ratio();
        assert!((0.85..=1.15).contains(&ratio), "{ratio}");
    }
}

#[test]
fn uneven_engines() {
    // A host that does not tell fast engines from slow ones loads both alike.
    let speeds = [84.0, 140.0, 224.0, 84.0, 140.0, 224.0];
    let mut fleet = SimulatedFleet::new(&speeds, 25.0);
    fleet.run(60.0, 0.5);
    for engine in &fleet.engines {
        let learned = fleet.hosts[1].prefill_tokens_per_ms(fleet.now(), engine.key);
        let ratio = learned / engine.tokens_per_ms;
        assert!((0.85..=1.15).contains(&ratio), "{learned} of {}", engine.tokens_per_ms);
    }
    let ratio = fleet.service_ratio();
    assert!((0.9..=1.1).contains(&ratio), "{ratio}");
}

#[test]
fn restarted_server() {
    // What was learned of a server's former process does not hold for the next one.
    let mut fleet = SimulatedFleet::new(&[20.0, 100.0], 20.0);
    fleet.run(20.0, 0.4);
    let now = fleet.now();
    let key = fleet.engines[0].key;
    let table = &mut fleet.hosts[0];
    table.on_joined(key, &service());
    let expected = table.of_service(now, &service()).prefill_tokens_per_s / 1_000.0;
    assert!((table.prefill_tokens_per_ms(now, key) - expected).abs() < 1e-6);
}

#[test]
fn nothing_learned() {
    // After a restart of all hosts the initial guess holds until enough was measured.
    let fleet = SimulatedFleet::new(&[20.0], 20.0);
    let table = &fleet.hosts[0];
    let now = fleet.now();
    assert_eq!(
        table.prefill_tokens_per_ms(now, fleet.engines[0].key),
        INITIAL_PREFILL_TOKENS_PER_MS
    );
    assert_eq!(table.of_service(now, &service()).basis, SpeedBasis::Guessed);
    assert_eq!(table.service_time(now, fleet.engines[0].key), None);
}

#[test]
fn absurd_reports() {
    // One peer that reports a speed beyond all others must not set the estimate.
    let mut fleet = SimulatedFleet::new(&[56.9; 4], 20.0);
    let key = fleet.engines[0].key;
    for second in 0..15 {
        fleet.run(1.0, 0.5);
        let now = fleet.now();
        for tokens in [100, 6_000, 100_000] {
            let elapsed = Duration::from_millis(7 + second);
            let sample = SpeedSample::Read(ReadSample { read: read(tokens), elapsed });
            fleet.hosts[0].on_peer_sample(now, key, sample, SampleSource::Peer(99));
        }
    }
    let now = fleet.now();
    for _ in 0..3 {
        let elapsed = Duration::from_secs(20);
        let sample = SpeedSample::Read(ReadSample { read: read(10_000), elapsed });
        fleet.hosts[0].on_peer_sample(now, key, sample, SampleSource::Peer(99));
    }
    let learned = fleet.hosts[0].prefill_tokens_per_ms(now, key);
    assert!((45.0..70.0).contains(&learned), "{learned}");
}

#[test]
fn plain_calls() {
    // Calls that wait for a slot, and single slow ones, do not change the service time.
    let mut fleet = SimulatedFleet::new(&[1.0, 1.0], 0.0);
    let keys: Vec<_> = fleet.engines.iter().map(|engine| engine.key).collect();
    let table = &mut fleet.hosts[0];
    for index in 0..40_u64 {
        let now = Timestamp::from_millis(index * 100);
        let millis = if index % 7 == 0 { 150 } else { 60 + index % 3 };
        table.on_plain_answer(now, keys[0], moment(), Duration::from_millis(millis));
        let full = ServerMoment { running: SLOTS, ..moment() };
        table.on_plain_answer(now, keys[0], full, Duration::from_millis(400));
    }
    let now = Timestamp::from_millis(4_000);
    for key in keys {
        let time = table.service_time(now, key).expect("was measured");
        assert!((58..=64).contains(&time.as_millis()), "{time:?}");
    }
}

#[test]
fn partitioned_hosts() {
    // Either half of the hosts must go on learning from its own requests alone.
    let mut fleet = SimulatedFleet::new(&[56.9; 6], 25.0);
    fleet.partition();
    fleet.run(60.0, 0.5);
    for host in [0, HOSTS - 1] {
        let speed = fleet.hosts[host].of_service(fleet.now(), &service());
        let ratio = speed.prefill_tokens_per_s / 56_900.0;
        assert!((0.9..=1.1).contains(&ratio), "host {host}: {ratio}");
    }
}

#[test]
fn slow_for_seconds() {
    // A server that slows down by a factor of ten is avoided at once, used again soon after, and does not
    // change what is known of its service.
    let mut table = SpeedTable::default();
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let key = keys.insert(());
    table.on_joined(key, &service());
    let event = |table: &mut SpeedTable, at_ms: u64, slow: u64| {
        let elapsed = Duration::from_millis(20 + 100 * slow);
        table.on_first_event(Timestamp::from_millis(at_ms), key, read(5_690), elapsed);
    };
    (0..100).for_each(|index| event(&mut table, index * 200, 1));
    for at_ms in (20_000..23_000).step_by(250) {
        event(&mut table, at_ms, 10);
    }
    let now = Timestamp::from_millis(22_900);
    assert!(table.slowdown(now, key) > 5.0);
    assert!(table.prefill_tokens_per_ms(now, key) < 12.0);
    let service_speed = table.of_service(now, &service()).prefill_tokens_per_s;
    assert!((50_000.0..64_000.0).contains(&service_speed), "{service_speed}");
    event(&mut table, 23_500, 1);
    let speed = table.prefill_tokens_per_ms(Timestamp::from_millis(23_600), key);
    assert!((50.0..64.0).contains(&speed), "{speed}");
}

#[test]
fn unmatched_reports() {
    // Reports of a server's former process, and of servers that are gone, must not count.
    let mut directory = BackendDirectory::default();
    let id = ServerId::try_from("s1").expect("valid in tests");
    let entry = BackendEntry {
        id: id.clone(),
        service: service(),
        address: "127.0.0.1:1".parse().expect("valid in tests"),
        zone: ZoneName::try_from("a").expect("valid in tests"),
        version: SoftwareVersion::of(b""),
        state: ServingState::Ready,
        slots: SLOTS,
        started_at_ms: Some(2_000),
        reclaimable: false,
        reclaimed_in: None,
        sequence: None,
    };
    let position = LogPosition { era: StoreEra(0), offset: LogOffset(1) };
    directory.apply(Timestamp::default(), position, DirectoryChange::Present(entry));
    let key = directory.find(&id).expect("was added");
    let mut table = SpeedTable::default();
    table.on_joined(key, &service());
    let report = |server: &str, born_ms: u64| SpeedMeasurement {
        server: server.to_owned(),
        born_ms: Some(born_ms),
        prompt_tokens: 5_000,
        elapsed_us: 120_000,
        ..SpeedMeasurement::default()
    };
    let mut apply = |peer: u64, server: &str, born_ms: u64| {
        let (now, reports) = (Timestamp::from_millis(peer), [report(server, born_ms)]);
        apply_samples(now, &mut table, &directory, &format!("h{peer}"), &reports);
        table.of_service(now, &service()).basis
    };
    for peer in 0..50 {
        assert_eq!(apply(peer, "s1", 1_000), SpeedBasis::Guessed);
        assert_eq!(apply(peer, "s9", 2_000), SpeedBasis::Guessed);
    }
    let learned = (50..70).map(|peer| apply(peer, "s1", 2_000)).last();
    assert_eq!(learned, Some(SpeedBasis::Learned));
}

#[test]
fn late_parts() {
    // Each late answer must be put down to the part that its remedy depends on.
    let goals = AnswerGoals {
        first_event: Duration::from_millis(400),
        pause: Some(Duration::from_millis(300)),
    };
    let at = Timestamp::from_millis;
    let timing = |first: u64, second: u64, relayed: u64| {
        let mut timing = AnswerTiming::default();
        timing.on_event_read(at(first), at(0));
        timing.on_event_relayed(at(first), at(first));
        timing.on_event_read(at(second), at(0));
        timing.on_event_relayed(at(relayed), at(second));
        timing.late_part(goals).map(|late| late.part)
    };
    assert_eq!(timing(400, 700, 700), None);
    assert_eq!(timing(401, 1_000, 1_000), Some(LatePart::FirstEvent));
    assert_eq!(timing(300, 601, 601), Some(LatePart::Pause));
    assert_eq!(timing(300, 400, 601), Some(LatePart::Relay));
}

#[test]
fn decoding_speed() {
    // Pauses that other prompts cause, and events read at once, must not change the decoding speed.
    let mut fleet = SimulatedFleet::new(&[50.0], 20.0);
    let key = fleet.engines[0].key;
    let table = &mut fleet.hosts[0];
    let now = Timestamp::default();
    assert_eq!(table.output_tokens_per_s(now, key), INITIAL_OUTPUT_TOKENS_PER_S);
    let mut timing = AnswerTiming::default();
    let mut at_ms = 0;
    for event in 0..400_u64 {
        at_ms += if event % 20 == 0 { 150 } else { 24 + event % 2 * 2 };
        let now = Timestamp::from_millis(at_ms);
        if let Some(gap) = timing.on_event_read(now, Timestamp::default()) {
            table.on_event_gap(now, key, gap);
        }
    }
    table.on_stream_end(key, SLOTS, 48, 768);
    // Half of 24 slots at 16 requested tokens in 25 ms.
    let speed = table.output_tokens_per_s(now, key);
    assert!((7_300.0..8_000.0).contains(&speed), "{speed}");
}
