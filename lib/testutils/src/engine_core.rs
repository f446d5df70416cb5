//! State of the engine stand-in: batch, queue, prefix cache, published reports.

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

/// Cache events kept for readers.
const MAX_CACHE_EVENTS: usize = 100_000;
/// Imports kept for attempts that have not started yet.
const MAX_PENDING_IMPORTS: usize = 256;
/// Load reports kept while they wait out the lag.
const MAX_LOAD_REPORTS: usize = 10_000;

/// Key of an attempt in the core's maps.
pub type AttemptKey = (RequestId, AttemptNumber);

/// Returns the key of a named attempt.
pub fn attempt_key(name: AttemptId) -> AttemptKey {
    (name.request, name.attempt)
}

/// An attempt that waits for the batch or runs in it.
#[derive(Debug)]
pub struct EngineAttempt {
    /// Larger goes first.
    pub priority: u8,
    /// Order of arrival.
    pub arrival: u64,
    /// Tokens of prompt and earlier output.
    pub prompt_tokens: u32,
    /// Prompt and all output so far.
    pub text: String,
    /// Whether it runs.
    pub running: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// What became of an attempt that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// It waits or runs.
    Queued,
    /// The queue is full.
    QueueFull,
    /// The same attempt is here already.
    Duplicate,
}

/// What the prefill of an attempt found and costs.
#[derive(Clone, Copy, Debug)]
pub struct PrefillPlan {
    /// Tokens that came from the cache or an import.
    pub cached_tokens: u32,
    /// Tokens to be computed.
    pub computed_tokens: u32,
    /// End of the computation.
    pub ready_at: Instant,
}

/// State of one life of an engine.
pub struct EngineCore {
    settings: EngineSettings,
    rng: ChaCha8Rng,
    arrivals: u64,
    /// Requests in the order in which they entered the batch.
    pub started_requests: Vec<RequestId>,
    /// Attempts that wait or run.
    pub attempts: BTreeMap<AttemptKey, EngineAttempt>,
    cache: PrefixCache,
    imports: VecDeque<(AttemptKey, u32)>,
    prefill_free_at: Option<Instant>,
    next_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    reports: VecDeque<(Instant, LoadReport)>,
    /// Models, with their versions, that are loaded.
    pub models: BTreeSet<String>,
    /// Adapters that are loaded.
    pub adapters: BTreeSet<String>,
    /// Role.
    pub role: EngineRole,
    /// Largest fencing number seen.
    pub largest_fence: Option<FencingToken>,
    /// Whether new work is refused.
    pub refusing: bool,
    /// Time added to every decode step.
    pub extra_step: Duration,
}

impl EngineCore {
    /// Builds the state of a fresh engine.
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
            largest_fence: None,
            refusing: false,
            extra_step: Duration::ZERO,
        }
    }

    /// Puts an attempt into the queue, and into the batch if there is a place.
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

    /// Moves waiting attempts into the free places of the batch, and returns whether any was.
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

    /// Returns the attempts in the batch.
    pub fn running(&self) -> usize {
        self.attempts.values().filter(|attempt| attempt.running).count()
    }

    /// Takes the attempt out and returns whether another one took its place.
    pub fn remove(&mut self, now: Instant, key: AttemptKey) -> bool {
        self.attempts.remove(&key);
        let filled = self.fill_batch();
        self.report(now);
        filled
    }

    /// Looks up the attempt's prefix and books its prefill, which follows those booked before.
    pub fn plan_prefill(&mut self, now: Instant, key: AttemptKey) -> Option<PrefillPlan> {
        let attempt = self.attempts.get(&key)?;
        let (blocks, tokens) = (hash_blocks(&attempt.text), attempt.prompt_tokens);
        let held = self.cache.use_prefix(&blocks) * TOKENS_PER_BLOCK;
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let cached_tokens = held.max(self.take_import(key)).min(tokens);
        let computed_tokens = tokens - cached_tokens;
        let work = self.settings.prefill_time(computed_tokens);
        let begin = self.prefill_free_at.map_or(now, |free| free.max(now));
        let ready_at = begin + work;
        self.prefill_free_at = Some(ready_at);
        Some(PrefillPlan { cached_tokens, computed_tokens, ready_at })
    }

    /// Stores what the attempt has computed so far in the cache.
    pub fn store_attempt(&mut self, now: Instant, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(&key) {
            let blocks = hash_blocks(&attempt.text);
            self.store_blocks(now, &blocks);
        }
    }

    /// Stores blocks in the cache and publishes the changes.
    fn store_blocks(&mut self, now: Instant, blocks: &[BlockHash]) {
        for change in self.cache.store(blocks) {
            self.publish(now, change);
        }
    }

    /// Notes output of a running attempt.
    pub fn append_output(&mut self, key: AttemptKey, token: &str) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.text.push_str(token);
        }
    }

    /// Keeps an import until its attempt starts.
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

    /// Takes a fencing number; the error is the largest one seen, which is newer.
    pub fn check_fence(&mut self, fence: Option<FencingToken>) -> Result<(), FencingToken> {
        let (true, Some(fence)) = (self.settings.fencing_check, fence) else { return Ok(()) };
        match self.largest_fence {
            Some(largest) if largest > fence => Err(largest),
            _ => {
                self.largest_fence = Some(fence);
                Ok(())
            }
        }
    }

    /// Brings the engine into the desired state.
    pub fn apply(&mut self, order: EngineOrder) {
        match order {
            EngineOrder::LoadModel(model) => drop(self.models.insert(model)),
            EngineOrder::LoadAdapter(adapter) => drop(self.adapters.insert(adapter)),
            EngineOrder::UnloadAdapter(adapter) => drop(self.adapters.remove(&adapter)),
            EngineOrder::SetRole(role) => self.role = role,
        }
    }

    /// Returns whether the engine can run `model`, a loaded model and a loaded adapter if it names
    /// one after a colon.
    pub fn serves(&self, model: &str) -> bool {
        let is_loaded = |name: &str| self.models.is_empty() || self.models.contains(name);
        match model.split_once(':') {
            None => is_loaded(model),
            Some((base, adapter)) => {
                is_loaded(model) || (is_loaded(base) && self.adapters.contains(adapter))
            }
        }
    }

    /// Returns the published events from the sequence number on.
    pub fn published_events(&self, now: Instant, from: u64) -> Vec<CacheEvent> {
        let lag = self.settings.cache_event_lag;
        let published = self.events.iter().take_while(|(made, _)| *made + lag <= now);
        published.map(|(_, event)| *event).filter(|event| event.sequence >= from).collect()
    }

    /// Returns the newest load report that is old enough to be published.
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
        // A dropped event leaves a gap in the sequence.
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
