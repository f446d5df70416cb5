//! Executes evacuation plans: collects the state of running sessions, computes the plan, transfers
//! KV cache and sends orders to the sessions.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use thiserror::Error;

use crate::engine::ServerError;
use crate::evacuation::EvacuationChoice;
use crate::evacuation::EvacuationMove;
use crate::evacuation::EvacuationRates;
use crate::evacuation::EvacuationServer;
use crate::evacuation::EvacuationStream;
use crate::evacuation::plan_evacuation;
use crate::ids::AttemptNumber;
use crate::ids::RequestId;
use crate::ids::ServerKey;
use crate::request_router::ServerState;
use crate::session_event::EvacuationOrder;
use crate::session_event::SessionEvent;
use crate::session_ports::SessionPorts;
use crate::session_ports::lock;
use crate::session_registry::DriverMessage;
use crate::session_registry::SessionView;
use crate::timestamp::Timestamp;

/// Timeout for a session to report its state.
const DESCRIBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a KV cache transfer failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EvacuationError {
    /// The source or target server is no longer registered.
    #[error("server is gone")]
    ServerGone,
    /// The export or the import failed.
    #[error("KV transfer failed: {0}")]
    Server(#[from] ServerError),
}

/// Result of a KV cache transfer.
pub type Result<T> = std::result::Result<T, EvacuationError>;

/// Executes the evacuation plans of one host.
pub struct EvacuationRunner {
    ports: SessionPorts,
    rates: EvacuationRates,
    /// Target and expected end of each transfer in progress.
    in_progress: Mutex<BTreeMap<RequestId, (ServerKey, Timestamp)>>,
}

impl EvacuationRunner {
    /// Builds a runner.
    pub fn new(ports: SessionPorts, rates: EvacuationRates) -> Self {
        Self { ports, rates, in_progress: Mutex::new(BTreeMap::new()) }
    }

    /// Plans for all leaving servers and executes the plan. Blocks until the transfers have ended.
    ///
    /// Call it for each reclaim notice, even while an earlier call still runs: transfers in progress
    /// are kept. `servers` lists the leaving servers and the possible targets.
    pub fn evacuate(&self, servers: &[EvacuationServer]) -> Vec<EvacuationMove> {
        let leaving: Vec<ServerKey> =
            servers.iter().filter(|s| s.leaves_at.is_some()).map(|s| s.key).collect();
        leaving.iter().for_each(|&server| self.mark_leaving(server));
        let views: Vec<(ServerKey, SessionView)> =
            leaving.iter().flat_map(|&server| self.describe(server)).collect();
        let in_progress = lock(&self.in_progress).clone();
        let streams: Vec<EvacuationStream> = views
            .iter()
            .map(|(server, view)| stream_of(*server, view, in_progress.get(&view.id).copied()))
            .collect();
        let moves = plan_evacuation(self.ports.clock.now(), servers, &streams, self.rates);
        for &server in &leaving {
            self.ports.registry.announce_reclaim(server, |id| initial_order(&moves, id));
        }
        let attempts: BTreeMap<RequestId, AttemptNumber> =
            views.iter().map(|(_, view)| (view.id, view.last_attempt)).collect();
        // Sources send in parallel. Each sends its own transfers in the order of the plan.
        thread::scope(|scope| {
            for &source in &leaving {
                let (moves, attempts) = (&moves, &attempts);
                scope.spawn(move || self.transfer_all(source, moves, attempts));
            }
        });
        moves
    }

    /// Keeps new work off a server and keeps the exit of its process from counting as a crash.
    fn mark_leaving(&self, server: ServerKey) {
        let now = self.ports.clock.now();
        let mut router = lock(&self.ports.router);
        if let Some(id) = router.server(server).map(|info| info.id.clone()) {
            router.set_state(now, &id, ServerState::Leaving);
            lock(&self.ports.suspects).announce_end(now, &id);
        }
    }

    fn transfer_all(
        &self,
        source: ServerKey,
        moves: &[EvacuationMove],
        attempts: &BTreeMap<RequestId, AttemptNumber>,
    ) {
        for planned in moves.iter().filter(|planned| planned.source == source) {
            let EvacuationChoice::Transfer { target, ready_at } = planned.choice else { continue };
            let Some(&attempt) = attempts.get(&planned.request) else { continue };
            let before = lock(&self.in_progress).insert(planned.request, (target, ready_at));
            if before.is_none_or(|(current, _)| current != target) {
                self.transfer(planned, attempt, target);
            }
        }
    }

    fn describe(&self, server: ServerKey) -> Vec<(ServerKey, SessionView)> {
        let registry = &self.ports.registry;
        let ask = |id| {
            let (sender, receiver) = mpsc::channel();
            registry.send_message(id, DriverMessage::Describe(sender)).then_some(receiver)
        };
        let asked: Vec<_> = registry.on_server(server).into_iter().filter_map(ask).collect();
        let views = asked.into_iter().filter_map(|view| view.recv_timeout(DESCRIBE_TIMEOUT).ok());
        views.map(|view| (server, view)).collect()
    }

    /// Moves one stream. If its KV cache cannot be transferred, the target recomputes its context.
    fn transfer(&self, planned: &EvacuationMove, attempt: AttemptNumber, target: ServerKey) {
        if let Err(error) = self.move_kv(planned, attempt, target) {
            log::warn!("event=kv_transfer_failed request={} error={error}", planned.request);
        }
        let mut in_progress = lock(&self.in_progress);
        if in_progress.get(&planned.request).is_some_and(|(current, _)| *current == target) {
            in_progress.remove(&planned.request);
            let order = EvacuationOrder::ResumeAt(target);
            let event = SessionEvent::EvacuationOrdered { server: planned.source, order };
            self.ports.registry.send(planned.request, event);
        }
    }

    fn move_kv(
        &self,
        planned: &EvacuationMove,
        attempt: AttemptNumber,
        target: ServerKey,
    ) -> Result<()> {
        let address_of = |server| {
            let router = lock(&self.ports.router);
            router.server(server).map(|info| info.address).ok_or(EvacuationError::ServerGone)
        };
        let source = self.ports.connector.engine(address_of(planned.source)?);
        let target = self.ports.connector.engine(address_of(target)?);
        let kv = source.export_kv(planned.request, attempt)?;
        Ok(target.import_kv(planned.request, attempt.next(), &kv)?)
    }
}

fn stream_of(
    server: ServerKey,
    view: &SessionView,
    transfer: Option<(ServerKey, Timestamp)>,
) -> EvacuationStream {
    EvacuationStream {
        request: view.id,
        server,
        blocks: view.blocks.clone(),
        context_tokens: view.context_tokens,
        remaining_tokens: view.remaining_tokens,
        repeatable: view.idempotent,
        transfer,
    }
}

/// Returns the order for a stream until its transfer, if it has one, is complete.
fn initial_order(moves: &[EvacuationMove], id: RequestId) -> EvacuationOrder {
    let planned = moves.iter().find(|planned| planned.request == id);
    match planned.map(|planned| planned.choice) {
        Some(EvacuationChoice::Recompute { target: Some(target) }) => {
            EvacuationOrder::ResumeAt(target)
        }
        Some(EvacuationChoice::Recompute { target: None }) => EvacuationOrder::ResumeElsewhere,
        Some(EvacuationChoice::FinishInPlace | EvacuationChoice::Transfer { .. }) | None => {
            EvacuationOrder::FinishInPlace
        }
    }
}
