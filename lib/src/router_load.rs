//! Estimates the load of a backend server from its delayed load reports and this host's attempts.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine::LoadReport;
use crate::timestamp::Timestamp;

/// Maximum number of local events kept to correct delayed load reports.
const MAX_LOCAL_EVENTS: usize = 256;
/// Weight of one observation in the moving averages.
const RATE_WEIGHT: f64 = 0.05;
/// Minimum size of an observed prefill, in tokens. The time of a smaller one is dominated by other
/// delays.
const MIN_OBSERVED_TOKENS: f64 = 256.0;
/// Batch occupancy at which a server counts as nearly full, in percent.
const NEARLY_FULL_PERCENT: u32 = 75;
/// Number of ended attempts over which the mean hold time is computed.
const HOLD_SAMPLE: u32 = 32;

/// Performance of a service's servers, estimated from this host's attempts.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRates {
    /// Prefill rate of one server, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Mean time for which an attempt holds its slot in the batch, in seconds.
    pub mean_hold_s: f64,
    /// Share of prompt tokens that miss the prefix cache.
    pub uncached_share: f64,
    attempt_seconds: f64,
    ended: u32,
}

impl Default for ServiceRates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
            mean_hold_s: 1.0,
            uncached_share: 1.0,
            attempt_seconds: 0.0,
            ended: 0,
        }
    }
}

impl ServiceRates {
    /// Records an attempt that was sent, `uncached` of whose `prompt_tokens` miss the prefix cache.
    pub fn on_sent(&mut self, prompt_tokens: u32, uncached: f64) {
        if prompt_tokens > 0 {
            let share = uncached / f64::from(prompt_tokens);
            self.uncached_share += RATE_WEIGHT * (share - self.uncached_share);
        }
    }

    /// Records a first token that arrived `elapsed` after its prompt was sent, in which time the
    /// server computed `tokens`.
    pub fn on_prefill(&mut self, tokens: f64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if tokens >= MIN_OBSERVED_TOKENS && seconds > 0.0 {
            let observed = (tokens / seconds).clamp(100.0, 1_000_000.0);
            self.prefill_tokens_per_s += RATE_WEIGHT * (observed - self.prefill_tokens_per_s);
        }
    }

    /// Adds time in flight, in attempt-seconds.
    fn add_attempt_seconds(&mut self, attempt_seconds: f64) {
        self.attempt_seconds += attempt_seconds;
    }

    /// Counts an ended attempt and updates the mean hold time by Little's law.
    fn on_ended(&mut self) {
        self.ended += 1;
        if self.ended == HOLD_SAMPLE {
            self.mean_hold_s = (self.attempt_seconds / f64::from(HOLD_SAMPLE)).clamp(0.001, 600.0);
            self.attempt_seconds = 0.0;
            self.ended = 0;
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum LocalEvent {
    Sent { tokens: f64 },
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    sent_at: Timestamp,
    /// Tokens that this attempt computes.
    attempt_tokens: f64,
    /// Tokens of this attempt and of the backlog before it.
    queued_tokens: f64,
}

/// Estimated load of one server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    in_flight: u32,
    occupied: i64,
    batch_limit: u32,
    backlog_tokens: f64,
    updated_at: Timestamp,
    reported_at: Timestamp,
    local_events: VecDeque<(Timestamp, LocalEvent)>,
    prefills: VecDeque<PendingPrefill>,
    first_token_at: Timestamp,
}

impl ServerLoad {
    /// Returns the number of this host's attempts in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the estimated number of requests at the server from all entry hosts.
    pub fn occupied(&self) -> u32 {
        u32::try_from(self.occupied).unwrap_or(0).max(self.in_flight)
    }

    /// Returns whether the batch is nearly full, so that a shared context needs another server.
    pub fn is_nearly_full(&self) -> bool {
        self.batch_limit > 0 && self.occupied() * 100 >= self.batch_limit * NEARLY_FULL_PERCENT
    }

    /// Returns the occupied share of the batch. Above 1, requests wait for a slot.
    pub fn batch_share(&self) -> f64 {
        f64::from(self.occupied()) / f64::from(self.batch_limit.max(1))
    }

    /// Returns the estimated time before the prefill of a new request starts, in seconds.
    pub fn wait_s(&self, now: Timestamp, rates: &ServiceRates) -> f64 {
        let prefill = self.backlog(now, rates) / rates.prefill_tokens_per_s;
        let excess = (self.occupied() + 1).saturating_sub(self.batch_limit);
        if self.batch_limit == 0 || excess == 0 {
            return prefill;
        }
        prefill + rates.mean_hold_s * f64::from(excess) / f64::from(self.batch_limit)
    }

    /// Records an attempt that was sent, whose prefill computes `tokens`.
    pub fn on_sent(&mut self, now: Timestamp, tokens: f64, rates: &mut ServiceRates) {
        self.advance(now, rates);
        self.backlog_tokens += tokens;
        self.prefills.push_back(PendingPrefill {
            sent_at: now,
            attempt_tokens: tokens,
            queued_tokens: self.backlog_tokens,
        });
        self.in_flight += 1;
        self.occupied += 1;
        self.record(now, LocalEvent::Sent { tokens });
    }

    /// Records a first token. Prefills are assumed to run in the order in which they were sent.
    pub fn on_first_token(&mut self, now: Timestamp, rates: &mut ServiceRates) {
        if let Some(prefill) = self.prefills.pop_front() {
            self.first_token_at = now;
            rates.on_prefill(prefill.queued_tokens, now.since(prefill.sent_at));
        }
    }

    /// Records the end of an attempt.
    pub fn on_ended(&mut self, now: Timestamp, rates: &mut ServiceRates) {
        if self.in_flight == 0 {
            return;
        }
        self.advance(now, rates);
        self.in_flight -= 1;
        self.occupied -= 1;
        rates.on_ended();
        // An attempt that ended without a first token leaves a pending prefill behind.
        while self.prefills.len() > self.in_flight as usize {
            self.prefills.pop_front();
        }
        self.record(now, LocalEvent::Ended);
    }

    /// Applies a load report, then replays this host's events since the report was made. A report
    /// older than the last one applied is ignored.
    pub fn on_report(&mut self, now: Timestamp, report: &LoadReport, rates: &mut ServiceRates) {
        let made_at = now - Duration::from_millis(u64::from(report.age_ms));
        if made_at < self.reported_at {
            return;
        }
        self.advance(now, rates);
        self.reported_at = made_at;
        self.batch_limit = report.batch_limit;
        self.occupied = i64::from(report.running) + i64::from(report.queued);
        self.local_events.retain(|(at, _)| *at > made_at);
        // Engines report whole prompts, including tokens that hit their prefix cache.
        let queued = f64::from(report.queued_prompt_tokens) * rates.uncached_share;
        let (mut at, mut backlog) = (made_at, queued);
        for (event_at, event) in &self.local_events {
            backlog = drain(backlog, event_at.since(at), rates);
            at = *event_at;
            match event {
                LocalEvent::Sent { tokens } => {
                    backlog += tokens;
                    self.occupied += 1;
                }
                LocalEvent::Ended => self.occupied -= 1,
            }
        }
        // Reports do not count the prefill in progress.
        self.backlog_tokens =
            drain(backlog, now.since(at), rates).max(self.local_backlog(now, rates));
    }

    /// Returns the remaining tokens of this host's pending prefills.
    fn local_backlog(&self, now: Timestamp, rates: &ServiceRates) -> f64 {
        let Some(first) = self.prefills.front() else { return 0.0 };
        let started_at = first.sent_at.max(self.first_token_at);
        let tokens = self.prefills.iter().map(|prefill| prefill.attempt_tokens).sum();
        drain(tokens, now.since(started_at), rates)
    }

    fn backlog(&self, now: Timestamp, rates: &ServiceRates) -> f64 {
        drain(self.backlog_tokens, now.since(self.updated_at), rates)
    }

    fn advance(&mut self, now: Timestamp, rates: &mut ServiceRates) {
        self.backlog_tokens = self.backlog(now, rates);
        let elapsed = now.since(self.updated_at).as_secs_f64();
        rates.add_attempt_seconds(elapsed * f64::from(self.in_flight));
        self.updated_at = self.updated_at.max(now);
    }

    fn record(&mut self, now: Timestamp, event: LocalEvent) {
        if self.local_events.len() == MAX_LOCAL_EVENTS {
            self.local_events.pop_front();
        }
        self.local_events.push_back((now, event));
    }
}

fn drain(backlog: f64, elapsed: Duration, rates: &ServiceRates) -> f64 {
    (backlog - elapsed.as_secs_f64() * rates.prefill_tokens_per_s).max(0.0)
}
