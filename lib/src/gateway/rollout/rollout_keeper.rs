//! Joins the roll-outs with the log, the directory and the requests of this host.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::gateway::accepted_request::AcceptedRequest;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::log_cursor::CursorStep;
use crate::gateway::log_cursor::LogCursor;
use crate::gateway::platform_api::AppendOutcome;
use crate::gateway::platform_api::ConfigRead;
use crate::gateway::platform_api::ControlStore;
use crate::gateway::platform_api::LogBounds;
use crate::gateway::platform_api::PlatformError;
use crate::gateway::rollout::answer_tally::AnswerOutcome;
use crate::gateway::rollout::rollout_book::BookChange;
use crate::gateway::rollout::rollout_book::HostView;
use crate::gateway::rollout::rollout_book::ListedVersion;
use crate::gateway::rollout::rollout_book::PlacedAttempt;
use crate::gateway::rollout::rollout_book::RolloutSide;
use crate::gateway::rollout::rollout_order::RolloutState;
use crate::gateway::rollout::rollout_order::StatusRead;
use crate::gateway::store_follower::Backoff;
use crate::gateway::store_follower::DependencyWatch;
use crate::gateway::usage_ledger::HostIncarnation;
use crate::ids::LogOffset;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::protos::gateway::RolloutReport;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;

/// Longest wait of a read of the states while an order runs. The age of a state counts from the begin of
/// its read.
const STATUS_POLL_TIME: Duration = Duration::from_millis(800);

/// Interval of the checks whether the states must be read, and of the comparisons of answers.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Interval at which the holder of the duties decides on the next record.
pub const DECISION_PERIOD: Duration = Duration::from_millis(100);

/// Lets the tasks of this module wake one another.
#[derive(Debug, Default)]
pub struct RolloutSync {
    read_hint: Notify,
    /// Whether an append had no answer, or met another end of the log, since the last read.
    is_end_unknown: Cell<bool>,
}

/// Returns what the roll-outs have to know of this host's surroundings.
pub fn host_view(state: &GatewayState, now: Timestamp) -> HostView {
    HostView { is_partitioned: state.peers.borrow().is_partitioned(now) }
}

/// Applies the orders of a read that began at `begun_at`.
pub fn apply_orders(state: &GatewayState, begun_at: Timestamp, read: &ConfigRead) {
    let hosts = state.peers.borrow().possible_hosts();
    let times = (state.now(), begun_at);
    let orders = read.orders.clone();
    let changes = state.rollouts.borrow_mut().on_orders(times, read.bounds.era, orders, hosts);
    log_changes(state, changes);
}

/// Records the software versions that the directory lists. An unknown one is looked up among the orders.
pub fn observe_versions(state: &GatewayState) {
    let directory = state.directory.borrow();
    let listed = directory.iter().map(|(_, server)| (&server.entry.service, &server.entry.version));
    if state.rollouts.borrow_mut().observe(state.now(), listed) {
        state.metrics.events.with_label_values(&["version_looked_up"]).inc();
        state.config_hint.notify_one();
    }
}

/// Returns the servers at which an attempt of a request may not be placed, and its side.
pub fn excluded_servers(
    state: &GatewayState,
    now: Timestamp,
    request: &AcceptedRequest,
    tried: &[ServerKey],
    bound: Option<&SoftwareVersion>,
) -> (RolloutSide, Vec<ServerKey>) {
    let attempt = match bound {
        Some(version) => PlacedAttempt::Resumed(version),
        None if tried.is_empty() => PlacedAttempt::First,
        None => PlacedAttempt::Later,
    };
    let view = host_view(state, now);
    let side = state.rollouts.borrow().side(now, view, &request.service, attempt);
    (side, side_excluded(state, now, &request.service, side))
}

/// Returns the servers at which attempts of a side may not be placed.
pub fn side_excluded(
    state: &GatewayState,
    now: Timestamp,
    service: &ServiceName,
    side: RolloutSide,
) -> Vec<ServerKey> {
    if side == RolloutSide::Any {
        return Vec::new();
    }
    let directory = state.directory.borrow();
    let servers = directory.of_service(service).map(|(key, server)| ListedVersion {
        key,
        id: server.entry.id.as_str(),
        version: &server.entry.version,
        is_ready: server.draining_since.is_none() && !server.is_missing,
    });
    let servers: Vec<ListedVersion<'_, ServerKey>> = servers.collect();
    state.rollouts.borrow().excluded(now, host_view(state, now), service, side, &servers)
}

/// Returns whether an attempt at a version may still be sent.
pub fn may_send(state: &GatewayState, service: &ServiceName, version: &SoftwareVersion) -> bool {
    let now = state.now();
    let is_allowed = state.rollouts.borrow().may_send(now, host_view(state, now), service, version);
    if !is_allowed {
        state.metrics.events.with_label_values(&["version_withheld"]).inc();
        log::info!("event=version_withheld service={service} version={version}");
    }
    is_allowed
}

/// Counts the end of an attempt as evidence of its version.
pub fn record_answer(
    state: &GatewayState,
    request: &AcceptedRequest,
    version: &SoftwareVersion,
    outcome: AnswerOutcome,
) {
    let route = &request.route.name;
    let counted = state.rollouts.borrow_mut().on_answer(&request.service, version, route, outcome);
    if let Some(side) = counted {
        let labels = [side.label(), outcome.label()];
        state.metrics.rollout_answers.with_label_values(&labels).inc();
    }
}

/// Merges the reports of a peer.
pub fn apply_reports(state: &GatewayState, host: &HostIncarnation, reports: &[RolloutReport]) {
    if !reports.is_empty() {
        let changes = state.rollouts.borrow_mut().on_reports(state.now(), host, reports);
        log_changes(state, changes);
    }
}

/// Reads the states of roll-outs while an order has not ended, and compares answers.
pub async fn follow_rollouts<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut cursor = LogCursor::default();
    let mut backoff = Backoff::default();
    let mut watch = DependencyWatch::new("read_statuses");
    loop {
        let is_end_unknown = state.rollout_sync.is_end_unknown.get();
        if !state.rollouts.borrow().must_read_statuses() && !is_end_unknown {
            let hint = state.rollout_sync.read_hint.notified();
            // Either way it is looked anew whether the states must be read.
            let _ = tokio::time::timeout(CHECK_PERIOD, hint).await;
            if state.rollouts.borrow().must_read_orders() {
                state.config_hint.notify_one();
            }
            continue;
        }
        // The book forgets what it read when the store comes back from a copy.
        if state.rollouts.borrow().status_end().is_none() {
            cursor.on_dropped();
        }
        let begun_at = state.now();
        let outcome = poll_statuses(&state, &*store, cursor.offset()).await;
        watch.record(&state, &outcome);
        match outcome {
            Ok(read) => {
                backoff.reset();
                state.observe_era(read.bounds.era);
                state.rollout_sync.is_end_unknown.set(false);
                if cursor.on_read(read.next, read.bounds) == CursorStep::Apply {
                    apply_statuses(&state, begun_at, read);
                }
            }
            Err(error) => {
                if matches!(error, PlatformError::RecordsDropped { .. }) {
                    cursor.on_dropped();
                }
                backoff.wait().await;
            }
        }
    }
}

/// Reads the states, and compares answers while the read waits.
async fn poll_statuses<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    from: Option<LogOffset>,
) -> Result<StatusRead, PlatformError> {
    let mut read = std::pin::pin!(store.read_statuses(from, STATUS_POLL_TIME));
    loop {
        tokio::select! {
            outcome = &mut read => return outcome,
            () = tokio::time::sleep(CHECK_PERIOD) => judge_answers(state),
        }
    }
}

fn judge_answers(state: &GatewayState) {
    let changes = state.rollouts.borrow_mut().judge(state.now());
    log_changes(state, changes);
}

fn apply_statuses(state: &GatewayState, begun_at: Timestamp, read: StatusRead) {
    if read.skipped > 0 {
        state.metrics.events.with_label_values(&["rollout_record_skipped"]).inc();
        log::warn!("event=rollout_records_skipped code=601 count={}", read.skipped);
    }
    let times = (state.now(), begun_at);
    let changes = state.rollouts.borrow_mut().on_statuses(times, wall_clock_ms(), read);
    log_changes(state, changes);
    judge_answers(state);
}

/// Appends the records that are due, if `may_act` says for each that this host holds the duties.
pub async fn decide_rollouts<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    may_act: impl Fn() -> bool,
) {
    if state.rollout_sync.is_end_unknown.get() {
        return;
    }
    let services: Vec<ServiceName> = state.rollouts.borrow().services().cloned().collect();
    for service in services {
        let ready = ready_servers(state, &service);
        let (now, wall_ms) = (state.now(), wall_clock_ms());
        let next = state.rollouts.borrow().next_record(now, wall_ms, &service, &ready);
        let Some((at, record)) = next.filter(|_| may_act()) else { continue };
        let outcome = store.append_status(at, &record).await;
        let label = if outcome.is_ok() { "ok" } else { "failed" };
        state.metrics.platform_calls.with_label_values(&["append_status", label]).inc();
        log::info!(
            "event=rollout_recorded service={service} to={} state={:?} step={} share={} servers={} \
             reason={} at={} outcome={outcome:?} {}",
            record.to(),
            record.state,
            record.step.number,
            record.step.share,
            record.step.servers,
            record.reason,
            at.0,
            state.rollouts.borrow().evidence(&service),
        );
        match outcome {
            Ok(AppendOutcome::Appended { era, offset }) => {
                state.observe_era(era);
                let next = LogOffset(offset.0 + 1);
                let bounds = LogBounds { era, end: next, ..LogBounds::default() };
                let records = vec![(offset, record)];
                let read = StatusRead { records, next, bounds, ..StatusRead::default() };
                apply_statuses(state, now, read);
            }
            Ok(AppendOutcome::Conflict) | Err(_) => {
                // The append may take effect late. The log tells, once it is read again.
                state.rollout_sync.is_end_unknown.set(true);
                state.rollout_sync.read_hint.notify_one();
                return;
            }
        }
    }
}

/// Returns the numbers of ready servers of a service by version.
fn ready_servers(state: &GatewayState, service: &ServiceName) -> BTreeMap<SoftwareVersion, u32> {
    let mut ready = BTreeMap::new();
    for (_, server) in state.directory.borrow().of_service(service) {
        if server.draining_since.is_none() && !server.is_missing {
            *ready.entry(server.entry.version.clone()).or_insert(0) += 1;
        }
    }
    ready
}

fn log_changes(state: &GatewayState, changes: Vec<BookChange>) {
    for change in &changes {
        let book = state.rollouts.borrow();
        let (event, service) = match change {
            BookChange::Ordered(service) => ("rollout_ordered", service),
            BookChange::Withdrawn(service) => ("rollout_withdrawn", service),
            BookChange::Stepped(service, _) => ("rollout_stepped", service),
            BookChange::Ended(service, RolloutState::Completed) => ("rollout_completed", service),
            BookChange::Ended(service, _) => ("rollout_rolled_back", service),
            BookChange::Stopped(service) => ("rollout_stopped", service),
        };
        let Some((to, step)) = book.current(service) else { continue };
        let (arrivals, sent) = book.traffic(service);
        state.metrics.events.with_label_values(&[event]).inc();
        let share = i64::from(step.share);
        state.metrics.rollout_share.with_label_values(&[service.as_str()]).set(share);
        log::info!(
            "event={event} service={service} to={to} step={} share={} limit={} servers={} on={} \
             arrivals={arrivals} sent={sent} {}",
            step.number,
            step.share,
            step.limit,
            step.servers,
            step.on,
            book.evidence(service),
        );
    }
    if !changes.is_empty() {
        // Peers learn of the end, and the states are read from the first order on.
        state.summary_hint.notify_one();
        state.rollout_sync.read_hint.notify_one();
    }
}
