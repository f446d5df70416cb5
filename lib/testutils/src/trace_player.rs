//! Replays a request trace against simulated engines in virtual time, routed by one to three
//! independent routers (views).

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use pomelostack_lib::engine::CacheEvent;
use pomelostack_lib::engine::LoadReport;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::NameError;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::request_router::RequestRouter;
use pomelostack_lib::request_router::RouteChoice;
use pomelostack_lib::request_router::RouteQuery;
use pomelostack_lib::request_router::ServerInfo;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::least_loaded_router::LeastLoadedRouter;
use crate::trace_engine::BATCH_LIMIT;
use crate::trace_engine::TraceEngine;
use crate::trace_engine::decode_time;
use crate::trace_engine::prefill_time;
use crate::workload::WorkloadTrace;

const ZONES: usize = 4;
/// Maximum number of requests that one view has in flight at one server.
const SERVER_CONCURRENCY: u32 = 32;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(3);

/// Router implementation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterKind {
    /// [`RequestRouter`].
    Product,
    /// [`LeastLoadedRouter`].
    Naive,
}

/// Source from which a view learns where blocks are cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocationSource {
    /// Its own dispatches only.
    OwnDispatches,
    /// Its own dispatches and the engines' cache events.
    EngineEvents,
    /// Its own dispatches and those of the other views, announced at once.
    Eager,
    /// Its own dispatches and those of the other views, announced at this interval.
    Batched(Duration),
}

/// Settings of a replay.
#[derive(Clone, Copy, Debug)]
pub struct PlaySettings {
    /// Router implementation.
    pub router: RouterKind,
    /// Number of router views; requests go to them in turn.
    pub views: usize,
    /// Source of cache locations.
    pub source: LocationSource,
    /// Delay of cache events.
    pub event_lag: Duration,
    /// Probability that a cache event is lost, in percent.
    pub event_loss_percent: u32,
    /// Delay of load reports.
    pub report_lag: Duration,
    /// Seed of the routers and of the lost cache events.
    pub seed: u64,
}

impl PlaySettings {
    /// Returns settings without delay or loss of cache events and load reports.
    pub fn fresh(router: RouterKind, views: usize, seed: u64) -> Self {
        Self {
            router,
            views,
            source: LocationSource::EngineEvents,
            event_lag: Duration::ZERO,
            event_loss_percent: 0,
            report_lag: Duration::ZERO,
            seed,
        }
    }

    /// Returns settings with cache events 5 s late, 20% of them lost, and load reports 2 s late.
    pub fn stale(router: RouterKind, views: usize, seed: u64) -> Self {
        Self {
            event_lag: Duration::from_secs(5),
            event_loss_percent: 20,
            report_lag: Duration::from_secs(2),
            ..Self::fresh(router, views, seed)
        }
    }
}

/// Result of a replay.
#[derive(Clone, Debug, PartialEq)]
pub struct PlayResult {
    /// Computed prompt tokens of shared contexts. The rest of each prompt is unique to its request
    /// and is computed once under every routing.
    pub context_tokens: u64,
    /// Median time to first token, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub p99_ms: f64,
    /// Number of messages between views.
    pub view_messages: u64,
    /// Number of answered requests.
    pub answered: usize,
}

/// Returns a lower bound of [`PlayResult::context_tokens`] for routings in which no request waits.
///
/// Such a routing computes every context once on each server that must cache it. A context needs as
/// many servers as its requests fill batches at their peak, if each request runs at once and finds
/// its context cached.
pub fn lower_bound(trace: &WorkloadTrace) -> u64 {
    let mut changes: BTreeMap<u32, Vec<(Timestamp, i32)>> = BTreeMap::new();
    let mut contexts = BTreeMap::new();
    for request in &trace.requests {
        let running_time =
            prefill_time(request.tail_tokens()) + decode_time(request.answer_tokens, 1);
        let changes = changes.entry(request.context).or_default();
        changes.push((request.at, 1));
        changes.push((request.at + running_time, -1));
        contexts.insert(request.context, u64::from(request.context_tokens));
    }
    let context_tokens = changes.into_iter().map(|(context, mut changes)| {
        changes.sort();
        let (mut running, mut peak) = (0_i32, 0_i32);
        for (_, change) in changes {
            running += change;
            peak = peak.max(running);
        }
        u64::from((peak as u32).div_ceil(BATCH_LIMIT)) * contexts[&context]
    });
    context_tokens.sum()
}

enum RouterView {
    Product(Box<RequestRouter>),
    Naive(LeastLoadedRouter),
}

enum PlayEvent {
    Arrive(usize),
    Queued { view: usize, index: usize, server: usize },
    PrefillDone { server: usize, index: usize },
    AnswerDone { server: usize, index: usize },
    CollectReports,
    Reports(Vec<LoadReport>),
    CacheEvents { server: usize, events: Vec<CacheEvent> },
    RemoteDispatch { from: usize, index: usize, server: usize },
}

/// State of a replay.
pub struct TracePlayer<'a> {
    trace: &'a WorkloadTrace,
    settings: PlaySettings,
    service: ServiceName,
    keys: Vec<ServerKey>,
    views: Vec<RouterView>,
    waiting: Vec<VecDeque<usize>>,
    engines: Vec<TraceEngine>,
    owners: Vec<usize>,
    first_token_ms: Vec<f64>,
    view_messages: u64,
    queue: BTreeMap<(Timestamp, u64), PlayEvent>,
    sequence: u64,
    rng: ChaCha8Rng,
}

/// Replays a whole trace.
pub fn play(trace: &WorkloadTrace, settings: PlaySettings) -> Result<PlayResult, NameError> {
    Ok(TracePlayer::new(trace, settings)?.run())
}

impl<'a> TracePlayer<'a> {
    fn new(trace: &'a WorkloadTrace, settings: PlaySettings) -> Result<Self, NameError> {
        let service = ServiceName::try_from("briefing")?;
        let servers = (0..trace.replicas).map(|index| server_info(index, &service));
        let servers = servers.collect::<Result<Vec<_>, _>>()?;
        let mut views = Vec::new();
        let mut keys = Vec::new();
        for view in 0..settings.views {
            let zone = ZoneName::try_from(format!("zone-{}", view % ZONES))?;
            let mut router = RequestRouter::new(zone, settings.seed + view as u64);
            router.set_servers(Timestamp::default(), servers.clone());
            // Every view inserts the servers in the same order, so their keys are the same.
            keys = servers.iter().filter_map(|server| router.key_of(&server.id)).collect();
            views.push(match settings.router {
                RouterKind::Product => RouterView::Product(Box::new(router)),
                RouterKind::Naive => {
                    RouterView::Naive(LeastLoadedRouter::new(keys.clone(), SERVER_CONCURRENCY))
                }
            });
        }
        Ok(Self {
            trace,
            settings,
            service,
            keys,
            views,
            waiting: vec![VecDeque::new(); settings.views],
            engines: (0..trace.replicas).map(|_| TraceEngine::default()).collect(),
            owners: vec![0; trace.requests.len()],
            first_token_ms: Vec::new(),
            view_messages: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        })
    }

    fn run(mut self) -> PlayResult {
        for (index, request) in self.trace.requests.iter().enumerate() {
            self.schedule(request.at, PlayEvent::Arrive(index));
        }
        self.schedule(Timestamp::default(), PlayEvent::CollectReports);
        while self.first_token_ms.len() < self.trace.requests.len() {
            let Some(((now, _), event)) = self.queue.pop_first() else { break };
            self.on_event(now, event);
        }
        self.first_token_ms.sort_by(f64::total_cmp);
        let count = self.first_token_ms.len();
        let at = |percent: usize| {
            self.first_token_ms.get((count * percent / 100).min(count - 1)).copied().unwrap_or(0.0)
        };
        let computed: u64 = self.engines.iter().map(|engine| engine.computed_tokens).sum();
        let tails = self.trace.requests.iter().map(|request| u64::from(request.tail_tokens()));
        let tails: u64 = tails.sum();
        PlayResult {
            context_tokens: computed.saturating_sub(tails),
            p50_ms: at(50),
            p95_ms: at(95),
            p99_ms: at(99),
            view_messages: self.view_messages,
            answered: count,
        }
    }

    fn schedule(&mut self, at: Timestamp, event: PlayEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn on_event(&mut self, now: Timestamp, event: PlayEvent) {
        match event {
            PlayEvent::Arrive(index) => {
                let view = index % self.settings.views;
                self.waiting[view].push_back(index);
                self.dispatch(now, view);
            }
            PlayEvent::Queued { view, index, server } => {
                self.owners[index] = view;
                self.engines[server].push(index, &self.trace.requests[index]);
                self.start_prefill(now, server);
            }
            PlayEvent::PrefillDone { server, index } => self.end_prefill(now, server, index),
            PlayEvent::AnswerDone { server, index } => {
                self.engines[server].end_answer();
                self.start_prefill(now, server);
                let view = self.owners[index];
                match &mut self.views[view] {
                    RouterView::Product(router) => router.on_ended(now, self.keys[server]),
                    RouterView::Naive(router) => router.on_ended(self.keys[server]),
                }
                self.dispatch(now, view);
            }
            PlayEvent::CollectReports => self.collect_reports(now),
            PlayEvent::Reports(reports) => {
                for router in product_views(&mut self.views) {
                    for (key, report) in self.keys.iter().zip(&reports) {
                        router.on_load_report(now, *key, report);
                    }
                }
            }
            PlayEvent::CacheEvents { server, events } => {
                for router in product_views(&mut self.views) {
                    router.on_cache_events(now, self.keys[server], &events);
                }
            }
            PlayEvent::RemoteDispatch { from, index, server } => {
                let blocks = &self.trace.requests[index].blocks;
                for (view, router) in product_views(&mut self.views).enumerate() {
                    if view != from {
                        router.on_remote_dispatch(now, self.keys[server], blocks);
                    }
                }
            }
        }
    }

    /// Dispatches the view's waiting requests in order, until its router finds no server for the
    /// next one.
    fn dispatch(&mut self, now: Timestamp, view: usize) {
        while let Some(&index) = self.waiting[view].front() {
            let request = &self.trace.requests[index];
            let query = RouteQuery {
                service: &self.service,
                blocks: &request.blocks,
                prompt_tokens: request.prompt_tokens,
                excluded: &[],
            };
            let chosen = match &mut self.views[view] {
                RouterView::Product(router) => match router.choose(now, &query) {
                    RouteChoice::Server(key) => {
                        router.on_dispatched(now, key, &query);
                        Some(key)
                    }
                    _ => None,
                },
                RouterView::Naive(router) => {
                    let key = router.choose();
                    key.inspect(|&key| router.on_dispatched(key))
                }
            };
            let Some(server) = chosen.and_then(|key| self.keys.iter().position(|&k| k == key))
            else {
                return;
            };
            self.waiting[view].pop_front();
            let distance =
                if server % ZONES == view % ZONES { Duration::ZERO } else { CROSS_ZONE_DELAY };
            self.schedule(now + distance, PlayEvent::Queued { view, index, server });
            self.announce_dispatch(now, view, index, server);
        }
    }

    /// Announces a dispatch to the other views, as the location source requires.
    fn announce_dispatch(&mut self, now: Timestamp, from: usize, index: usize, server: usize) {
        let delay = match self.settings.source {
            LocationSource::OwnDispatches | LocationSource::EngineEvents => return,
            LocationSource::Eager => {
                self.view_messages += self.settings.views as u64 - 1;
                CROSS_ZONE_DELAY / 2
            }
            LocationSource::Batched(interval) => {
                let micros = interval.as_micros() as u64;
                Duration::from_micros(micros - now.0 % micros)
            }
        };
        self.schedule(now + delay, PlayEvent::RemoteDispatch { from, index, server });
    }

    fn start_prefill(&mut self, now: Timestamp, server: usize) {
        if let Some((index, time)) = self.engines[server].start_prefill(&self.trace.requests) {
            self.schedule(now + time, PlayEvent::PrefillDone { server, index });
        }
    }

    fn end_prefill(&mut self, now: Timestamp, server: usize, index: usize) {
        let request = &self.trace.requests[index];
        let (left, mut events) = self.engines[server].end_prefill(request);
        self.first_token_ms.push(now.since(request.at).as_secs_f64() * 1_000.0);
        if let RouterView::Product(router) = &mut self.views[self.owners[index]] {
            router.on_first_token(now, self.keys[server], request.prompt_tokens);
        }
        self.schedule(now + left, PlayEvent::AnswerDone { server, index });
        self.start_prefill(now, server);
        if self.settings.source == LocationSource::EngineEvents {
            let loss = self.settings.event_loss_percent;
            events.retain(|_| self.rng.random_range(0..100) >= loss);
            let due = now + self.settings.event_lag;
            self.schedule(due, PlayEvent::CacheEvents { server, events });
        }
    }

    fn collect_reports(&mut self, now: Timestamp) {
        let lag = self.settings.report_lag;
        let age_ms = lag.as_millis() as u32;
        let reports = self.engines.iter().map(|engine| engine.report(age_ms)).collect();
        self.schedule(now + lag, PlayEvent::Reports(reports));
        self.schedule(now + REPORT_INTERVAL, PlayEvent::CollectReports);
    }
}

fn product_views(views: &mut [RouterView]) -> impl Iterator<Item = &mut RequestRouter> {
    views.iter_mut().filter_map(|view| match view {
        RouterView::Product(router) => Some(router.as_mut()),
        RouterView::Naive(_) => None,
    })
}

fn server_info(index: usize, service: &ServiceName) -> Result<ServerInfo, NameError> {
    Ok(ServerInfo {
        id: ServerId::try_from(format!("model-{index}"))?,
        host: HostId::try_from(format!("host-{index}"))?,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16)),
        zone: ZoneName::try_from(format!("zone-{}", index % ZONES))?,
        service: service.clone(),
        state: ServerState::Live,
        concurrency: SERVER_CONCURRENCY,
    })
}
