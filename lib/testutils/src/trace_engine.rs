//! Simulated model engine in virtual time, with serial prefill, a bounded batch and a prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use pomelostack_lib::engine::CacheEvent;
use pomelostack_lib::engine::LoadReport;
use pomelostack_lib::prompt::TOKENS_PER_BLOCK;

use crate::prefix_cache::PrefixCache;
use crate::workload::TraceRequest;

/// Prefill rate, in prompt tokens per second.
pub const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Maximum number of requests in the batch.
pub const BATCH_LIMIT: u32 = 16;
/// Capacity of the prefix cache, in blocks.
const CACHE_BLOCKS: usize = 8_192;
/// Fixed time of a prefill, before the time per token.
const PREFILL_BASE_TIME: Duration = Duration::from_millis(5);
/// Time of a decode step, before the time per running request.
const DECODE_STEP: Duration = Duration::from_millis(15);
/// Time that each running request adds to a decode step.
const DECODE_STEP_SLOPE: Duration = Duration::from_micros(200);

/// Returns the time to decode an answer while `running` requests are in the batch.
pub fn decode_time(answer_tokens: u32, running: u32) -> Duration {
    (DECODE_STEP + DECODE_STEP_SLOPE * running) * answer_tokens
}

/// Returns the time to prefill `tokens` tokens.
pub fn prefill_time(tokens: u32) -> Duration {
    PREFILL_BASE_TIME + Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_S)
}

/// A simulated engine.
#[derive(Debug)]
pub struct TraceEngine {
    queue: VecDeque<(usize, u32)>,
    prefilling: Option<usize>,
    running: u32,
    cache: PrefixCache,
    next_event: u64,
    /// Prompt tokens computed so far.
    pub computed_tokens: u64,
}

impl Default for TraceEngine {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            prefilling: None,
            running: 0,
            cache: PrefixCache::new(CACHE_BLOCKS),
            next_event: 0,
            computed_tokens: 0,
        }
    }
}

impl TraceEngine {
    /// Queues a request.
    pub fn push(&mut self, index: usize, request: &TraceRequest) {
        self.queue.push_back((index, request.prompt_tokens));
    }

    /// Starts the next prefill if none runs and the batch has room. Returns the index of its
    /// request and its duration.
    pub fn start_prefill(&mut self, requests: &[TraceRequest]) -> Option<(usize, Duration)> {
        if self.prefilling.is_some() || self.running >= BATCH_LIMIT {
            return None;
        }
        let (index, prompt_tokens) = self.queue.pop_front()?;
        let cached = self.cache.use_prefix(&requests[index].blocks) * TOKENS_PER_BLOCK;
        let computed = prompt_tokens - (cached as u32).min(prompt_tokens);
        self.computed_tokens += u64::from(computed);
        self.prefilling = Some(index);
        Some((index, prefill_time(computed)))
    }

    /// Ends a prefill. Returns the time until the answer ends and the cache events.
    pub fn end_prefill(&mut self, request: &TraceRequest) -> (Duration, Vec<CacheEvent>) {
        self.prefilling = None;
        self.running += 1;
        let changes = self.cache.store(&request.blocks).into_iter();
        let events = changes.map(|(change, block)| {
            self.next_event += 1;
            CacheEvent { sequence: self.next_event, change, block }
        });
        (decode_time(request.answer_tokens, self.running), events.collect())
    }

    /// Ends an answer.
    pub fn end_answer(&mut self) {
        self.running -= 1;
    }

    /// Returns a report of the current load, marked as `age_ms` old.
    pub fn report(&self, age_ms: u32) -> LoadReport {
        LoadReport {
            queued: self.queue.len() as u32,
            queued_prompt_tokens: self.queue.iter().map(|(_, tokens)| tokens).sum(),
            running: self.running + u32::from(self.prefilling.is_some()),
            batch_limit: BATCH_LIMIT,
            free_blocks: self.cache.free() as u32,
            age_ms,
        }
    }
}
