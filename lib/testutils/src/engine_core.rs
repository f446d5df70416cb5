//! State of the engine stand-in: batch, queue, prefix cache, load reports and cache events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::engine::CacheEvent;
use pomelostack_lib::engine::EngineOrder;
use pomelostack_lib::engine::EngineRole;
use pomelostack_lib::engine::LoadReport;
use pomelostack_lib::engine_client::AttemptId;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::prompt::TOKENS_PER_BLOCK;
use pomelostack_lib::prompt::count_tokens;
use pomelostack_lib::prompt::hash_blocks;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::engine_standin::EngineSettings;
use crate::prefix_cache::BlockChange;
use crate::prefix_cache::PrefixCache;

/// Maximum number of cache events kept for readers; the oldest are dropped.
const MAX_CACHE_EVENTS: usize = 100_000;
/// Maximum number of KV imports kept for attempts that have not started; the oldest are dropped.
const MAX_PENDING_IMPORTS: usize = 256;
/// Maximum number of load reports that wait to be published; the oldest are dropped.
const MAX_LOAD_REPORTS: usize = 10_000;

/// Key of an attempt in [`EngineCore`].
pub type AttemptKey = (RequestId, AttemptNumber);

/// Returns the key of an attempt.
pub fn attempt_key(name: AttemptId) -> AttemptKey {
    (name.request, name.attempt)
}

/// An attempt that is queued or in the batch.
#[derive(Debug)]
pub struct EngineAttempt {
    /// Priority; larger values run first.
    pub priority: u8,
    /// Sequence number of the arrival; decides between equal priorities.
    pub arrival: u64,
    /// Tokens of the prompt and of output from earlier attempts.
    pub prompt_tokens: u32,
    /// The prompt and all output so far.
    pub text: String,
    /// Whether it is in the batch.
    pub running: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// Result of queueing an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// The attempt is queued, or in the batch already.
    Queued,
    /// The queue is full.
    QueueFull,
    /// The same attempt is queued or running already.
    Duplicate,
}

/// Cost of the prefill of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct PrefillPlan {
    /// Tokens found in the cache or imported.
    pub cached_tokens: u32,
    /// Tokens to compute.
    pub computed_tokens: u32,
    /// Time at which the prefill ends.
    pub ready_at: Instant,
}

/// State of an engine process; a crash discards it.
pub struct EngineCore {
    settings: EngineSettings,
    rng: ChaCha8Rng,
    arrivals: u64,
    /// Requests in the order in which they entered the batch.
    pub started_requests: Vec<RequestId>,
    /// Attempts that are queued or running.
    pub attempts: BTreeMap<AttemptKey, EngineAttempt>,
    cache: PrefixCache,
    imports: VecDeque<(AttemptKey, u32)>,
    prefill_free_at: Option<Instant>,
    next_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    reports: VecDeque<(Instant, LoadReport)>,
    /// Loaded models, with their versions.
    pub models: BTreeSet<String>,
    /// Loaded adapters.
    pub adapters: BTreeSet<String>,
    /// Whether it runs prefill, decode or both.
    pub role: EngineRole,
    /// Largest fencing token seen.
    pub largest_fencing_token: Option<FencingToken>,
    /// Whether it sends nothing and takes no cancellations.
    pub muted: bool,
    /// Whether new work is refused.
    pub refusing: bool,
    /// Time added to every decode step.
    pub extra_step: Duration,
}

impl EngineCore {
    /// Creates the state of an engine that has just started.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            settings: settings.clone(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            arrivals: 0,
            started_requests: Vec::new(),
            attempts: BTreeMap::new(),
            cache: PrefixCache::new(settings.cache_blocks),
            imports: VecDeque::new(),
            prefill_free_at: None,
            next_event: 0,
            events: VecDeque::new(),
            reports: VecDeque::new(),
            models: settings.models.iter().cloned().collect(),
            adapters: BTreeSet::new(),
            role: EngineRole::Mixed,
            largest_fencing_token: None,
            muted: false,
            refusing: false,
            extra_step: Duration::ZERO,
        }
    }

    /// Queues an attempt, or puts it into the batch if there is a free slot.
    pub fn enqueue(
        &mut self,
        now: Instant,
        key: AttemptKey,
        priority: u8,
        text: String,
    ) -> QueueOutcome {
        if self.attempts.contains_key(&key) {
            return QueueOutcome::Duplicate;
        }
        let queued = self.attempts.values().filter(|attempt| !attempt.running).count();
        if queued >= self.settings.queue_limit {
            return QueueOutcome::QueueFull;
        }
        self.arrivals += 1;
        let attempt = EngineAttempt {
            priority,
            arrival: self.arrivals,
            prompt_tokens: count_tokens(&text),
            text,
            running: false,
            cancelled: false,
        };
        self.attempts.insert(key, attempt);
        self.fill_batch();
        self.report(now);
        QueueOutcome::Queued
    }

    /// Returns whether the attempt is in the batch.
    pub fn is_running(&self, key: AttemptKey) -> bool {
        self.attempts.get(&key).is_some_and(|attempt| attempt.running)
    }

    /// Moves queued attempts into free slots of the batch. Returns whether any was moved.
    fn fill_batch(&mut self) -> bool {
        let mut filled = false;
        for _ in self.running()..self.settings.batch_limit {
            let rank = |attempt: &EngineAttempt| (u8::MAX - attempt.priority, attempt.arrival);
            let waiting = self.attempts.iter_mut().filter(|(_, attempt)| !attempt.running);
            let Some((key, first)) = waiting.min_by_key(|(_, attempt)| rank(attempt)) else {
                break;
            };
            first.running = true;
            self.started_requests.push(key.0);
            filled = true;
        }
        filled
    }

    /// Returns the number of attempts in the batch.
    pub fn running(&self) -> usize {
        self.attempts.values().filter(|attempt| attempt.running).count()
    }

    /// Removes an attempt. Returns whether a queued attempt entered the batch.
    pub fn remove(&mut self, now: Instant, key: AttemptKey) -> bool {
        self.attempts.remove(&key);
        let filled = self.fill_batch();
        self.report(now);
        filled
    }

    /// Looks up the attempt's cached prefix and schedules its prefill after those already
    /// scheduled, as the engine runs one prefill at a time.
    pub fn plan_prefill(&mut self, now: Instant, key: AttemptKey) -> Option<PrefillPlan> {
        let attempt = self.attempts.get(&key)?;
        let (blocks, tokens) = (hash_blocks(&attempt.text), attempt.prompt_tokens);
        let cached = self.cache.use_prefix(&blocks) * TOKENS_PER_BLOCK;
        let cached = u32::try_from(cached).unwrap_or(u32::MAX);
        let cached_tokens = cached.max(self.take_import(key)).min(tokens);
        let computed_tokens = tokens - cached_tokens;
        let work = self.settings.prefill_time(computed_tokens);
        let begin = self.prefill_free_at.map_or(now, |free| free.max(now));
        let ready_at = begin + work;
        self.prefill_free_at = Some(ready_at);
        Some(PrefillPlan { cached_tokens, computed_tokens, ready_at })
    }

    /// Caches the blocks of the attempt's prompt and output so far.
    pub fn store_attempt(&mut self, now: Instant, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(&key) {
            let blocks = hash_blocks(&attempt.text);
            self.store_blocks(now, &blocks);
        }
    }

    /// Caches blocks and publishes the changes as cache events.
    fn store_blocks(&mut self, now: Instant, blocks: &[BlockHash]) {
        for change in self.cache.store(blocks) {
            self.publish(now, change);
        }
    }

    /// Appends a token to the output of an attempt.
    pub fn append_output(&mut self, key: AttemptKey, token: &str) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.text.push_str(token);
        }
    }

    /// Caches imported blocks and keeps their token count until the attempt starts.
    pub fn import(&mut self, now: Instant, key: AttemptKey, blocks: &[BlockHash], tokens: u32) {
        self.store_blocks(now, blocks);
        if self.imports.len() == MAX_PENDING_IMPORTS {
            self.imports.pop_front();
        }
        self.imports.push_back((key, tokens));
    }

    /// Marks the attempt as cancelled.
    pub fn cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.cancelled = true;
        }
    }

    /// Returns whether the attempt was cancelled.
    pub fn is_cancelled(&self, key: AttemptKey) -> bool {
        self.attempts.get(&key).is_some_and(|attempt| attempt.cancelled)
    }

    /// Checks and records a fencing token. If it is stale, the error is the largest token seen.
    pub fn check_fencing_token(&mut self, fence: Option<FencingToken>) -> Result<(), FencingToken> {
        let (true, Some(fence)) = (self.settings.fencing_check, fence) else { return Ok(()) };
        match self.largest_fencing_token {
            Some(largest) if largest > fence => Err(largest),
            _ => {
                self.largest_fencing_token = Some(fence);
                Ok(())
            }
        }
    }

    /// Applies an order.
    pub fn apply(&mut self, order: EngineOrder) {
        match order {
            EngineOrder::LoadModel(model) => drop(self.models.insert(model)),
            EngineOrder::LoadAdapter(adapter) => drop(self.adapters.insert(adapter)),
            EngineOrder::UnloadAdapter(adapter) => drop(self.adapters.remove(&adapter)),
            EngineOrder::SetRole(role) => self.role = role,
        }
    }

    /// Returns whether the engine can run `model`, which names a model, or a model and an adapter
    /// separated by a colon. Both must be loaded.
    pub fn serves(&self, model: &str) -> bool {
        let is_loaded = |name: &str| self.models.is_empty() || self.models.contains(name);
        match model.split_once(':') {
            None => is_loaded(model),
            Some((base, adapter)) => {
                is_loaded(model) || (is_loaded(base) && self.adapters.contains(adapter))
            }
        }
    }

    /// Returns the published cache events with sequence numbers of at least `from`.
    pub fn published_events(&self, now: Instant, from: u64) -> Vec<CacheEvent> {
        let lag = self.settings.cache_event_lag;
        let published = self.events.iter().take_while(|(made, _)| *made + lag <= now);
        published.map(|(_, event)| *event).filter(|event| event.sequence >= from).collect()
    }

    /// Returns the newest load report that is at least `load_lag` old, or that of an idle engine if
    /// there is none.
    pub fn published_report(&mut self, now: Instant) -> LoadReport {
        let lag = self.settings.load_lag;
        while self.reports.get(1).is_some_and(|(made, _)| *made + lag <= now) {
            self.reports.pop_front();
        }
        let report = match self.reports.front() {
            Some((made, report)) if *made + lag <= now => *report,
            _ => self.idle_report(),
        };
        LoadReport { age_ms: u32::try_from(lag.as_millis()).unwrap_or(u32::MAX), ..report }
    }

    fn idle_report(&self) -> LoadReport {
        LoadReport {
            batch_limit: u32::try_from(self.settings.batch_limit).unwrap_or(u32::MAX),
            free_blocks: u32::try_from(self.settings.cache_blocks).unwrap_or(u32::MAX),
            ..LoadReport::default()
        }
    }

    fn report(&mut self, now: Instant) {
        let waiting = || self.attempts.values().filter(|attempt| !attempt.running);
        let count = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        let report = LoadReport {
            queued: count(waiting().count()),
            queued_prompt_tokens: waiting().map(|attempt| attempt.prompt_tokens).sum(),
            running: count(self.running()),
            free_blocks: count(self.cache.free()),
            ..self.idle_report()
        };
        if self.reports.len() == MAX_LOAD_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((now, report));
    }

    fn publish(&mut self, now: Instant, (change, block): BlockChange) {
        let sequence = self.next_event;
        self.next_event += 1;
        // A lost event leaves a gap in the sequence numbers.
        if self.rng.random_bool(self.settings.cache_event_loss) {
            return;
        }
        if self.events.len() == MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, CacheEvent { sequence, change, block }));
    }

    fn take_import(&mut self, key: AttemptKey) -> u32 {
        let found = self.imports.iter().rposition(|(found, _)| *found == key);
        found.and_then(|index| self.imports.remove(index)).map_or(0, |(_, tokens)| tokens)
    }
}
