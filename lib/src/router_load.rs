//! Estimates the load of one backend server from its lagging reports and this host's own work.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine::LoadReport;
use crate::timestamp::Timestamp;

/// Own events that are kept to correct reports, at most.
const MAX_LOCAL_EVENTS: usize = 256;
/// Weight of one observed prefill in the learned rate.
const RATE_WEIGHT: f64 = 0.05;
/// Prefills of fewer tokens are dominated by other delays and teach nothing.
const MIN_OBSERVED_TOKENS: f64 = 256.0;
/// Share of a batch that is taken when its server counts as crowded, in percent.
const NEARLY_FULL_PERCENT: u32 = 75;
/// Ended attempts over which the mean hold time is taken.
const HOLD_SAMPLE: u32 = 32;

/// What one service's servers are known to do, learned from this host's own attempts.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRates {
    /// Prompt tokens that one server computes in a second.
    pub prefill_tokens_per_s: f64,
    /// Seconds for which an attempt holds its place in the batch.
    pub mean_hold_s: f64,
    /// Share of prompt tokens that prefix caches lack.
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
    /// Learns from an attempt that was sent, of whose `prompt_tokens` a cache lacks `uncached`.
    pub fn on_sent(&mut self, prompt_tokens: u32, uncached: f64) {
        if prompt_tokens > 0 {
            let share = uncached / f64::from(prompt_tokens);
            self.uncached_share += RATE_WEIGHT * (share - self.uncached_share);
        }
    }

    /// Learns from a first token that came `elapsed` after `tokens` had to be computed.
    pub fn on_prefill(&mut self, tokens: f64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if tokens >= MIN_OBSERVED_TOKENS && seconds > 0.0 {
            let observed = (tokens / seconds).clamp(100.0, 1_000_000.0);
            self.prefill_tokens_per_s += RATE_WEIGHT * (observed - self.prefill_tokens_per_s);
        }
    }

    /// Adds time that attempts spent at a server, in attempt-seconds.
    fn add_attempt_seconds(&mut self, attempt_seconds: f64) {
        self.attempt_seconds += attempt_seconds;
    }

    /// Counts an ended attempt; the mean hold time follows by Little's law.
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
    /// Tokens of this attempt.
    attempt_tokens: f64,
    /// Those and what was queued before them.
    queued_tokens: f64,
}

/// Load of one server as this host estimates it.
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
    /// Returns this host's attempts at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the estimated requests at the server, of all entry hosts.
    pub fn occupied(&self) -> u32 {
        u32::try_from(self.occupied).unwrap_or(0).max(self.in_flight)
    }

    /// Returns whether most of the batch is taken, so that a shared context needs another server.
    pub fn is_nearly_full(&self) -> bool {
        self.batch_limit > 0 && self.occupied() * 100 >= self.batch_limit * NEARLY_FULL_PERCENT
    }

    /// Returns the share of the batch that is taken; above 1 requests wait for a place.
    pub fn batch_share(&self) -> f64 {
        f64::from(self.occupied()) / f64::from(self.batch_limit.max(1))
    }

    /// Returns the estimated seconds that a new request waits before its prefill starts.
    pub fn wait_s(&self, now: Timestamp, rates: &ServiceRates) -> f64 {
        let prefill = self.backlog(now, rates) / rates.prefill_tokens_per_s;
        let excess = (self.occupied() + 1).saturating_sub(self.batch_limit);
        if self.batch_limit == 0 || excess == 0 {
            return prefill;
        }
        prefill + rates.mean_hold_s * f64::from(excess) / f64::from(self.batch_limit)
    }

    /// Records an attempt whose prefill computes `tokens`.
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

    /// Records a first token; prefills run in the order in which they were sent.
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
        // An attempt that ended without a first token leaves its prefill behind.
        while self.prefills.len() > self.in_flight as usize {
            self.prefills.pop_front();
        }
        self.record(now, LocalEvent::Ended);
    }

    /// Takes a report, and adds what this host sent and finished since it was made.
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
        // Engines report whole prompts, whatever their caches hold.
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
        // A report leaves out the prefill that runs.
        self.backlog_tokens =
            drain(backlog, now.since(at), rates).max(self.local_backlog(now, rates));
    }

    /// Returns what is left of this host's own prefills.
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
