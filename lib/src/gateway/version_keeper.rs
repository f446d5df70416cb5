//! Keeps the software versions at which streams began in the store, and reads them for streams that
//! callers take up.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::AppendOutcome;
use crate::gateway::platform_api::ControlStore;
use crate::gateway::platform_api::PlatformError;
use crate::gateway::platform_api::VersionsRead;
use crate::gateway::platform_api::WriterPlace;
use crate::gateway::store_follower::Backoff;
use crate::gateway::store_follower::DependencyWatch;
use crate::gateway::version_ledger::BaseProposal;
use crate::gateway::version_ledger::FleetStart;
use crate::gateway::version_ledger::RecordTicket;
use crate::gateway::version_ledger::VersionRecords;
use crate::gateway::version_records::DecodedVersions;
use crate::gateway::version_records::decode_versions;
use crate::gateway::version_records::encode_base;
use crate::gateway::version_records::encode_list;
use crate::ids::LogOffset;
use crate::ids::LogPosition;
use crate::ids::ServiceName;
use crate::timestamp::wall_clock_ms;

/// Interval of the checks whether something must be read or recorded.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two reads: callers that come back together share them.
const READ_SPACING: Duration = Duration::from_millis(50);

/// Minimum time between two records of the list that nothing waits for.
const ADVISED_SPACING: Duration = Duration::from_secs(1);

/// Minimum time between two such records, per live host: the store bounds the writes of all hosts.
const ADVISED_SPACING_PER_HOST: Duration = Duration::from_millis(10);

/// Longest wait for a read of the directory that confirms that a version is gone.
const CONFIRM_TIME: Duration = Duration::from_secs(5);

/// Interval of the checks for that read.
const CONFIRM_PERIOD: Duration = Duration::from_millis(100);

/// A read of the records that ended.
#[derive(Clone, Debug, Default)]
struct FinishedRead {
    /// Number of the read.
    number: u64,
    /// What it showed, unless it failed.
    records: Option<Rc<VersionRecords>>,
    /// Offset after the last record of a base.
    bases_end: LogOffset,
}

/// Lets requests wait for what the tasks of this module read and record.
#[derive(Debug, Default)]
pub struct VersionSync {
    read_hint: Notify,
    /// Number of the last read that somebody waits for.
    wanted: Cell<u64>,
    /// Number of the last read that was begun.
    begun: Cell<u64>,
    finished: watch::Sender<FinishedRead>,
    record_hint: Notify,
    recorded: watch::Sender<RecordTicket>,
    /// Epoch of the last writer of this host's list, as far as it was read.
    list_epoch: Cell<u64>,
}

impl VersionSync {
    /// Asks for a read of the records without waiting for it.
    pub fn request_read(&self) {
        self.wanted.set(self.begun.get() + 1);
        self.read_hint.notify_one();
    }

    /// Returns the records as a read shows them that begins from now on; `None` if it fails or takes
    /// longer than `limit`.
    pub async fn read(&self, limit: Duration) -> Option<Rc<VersionRecords>> {
        self.read_with_end(limit).await.map(|(records, _)| records)
    }

    async fn read_with_end(&self, limit: Duration) -> Option<(Rc<VersionRecords>, LogOffset)> {
        self.request_read();
        let number = self.wanted.get();
        let mut finished = self.finished.subscribe();
        let ended = finished.wait_for(|read| read.number >= number);
        // The sender lives as long as this value, so only the time limit ends the wait early.
        let read = tokio::time::timeout(limit, ended).await.ok()?.ok()?.clone();
        Some((read.records?, read.bases_end))
    }

    /// Asks for the list to be recorded.
    pub fn request_record(&self) {
        self.record_hint.notify_one();
    }

    /// Waits until the list is recorded up to a state. Returns whether it is within `limit`.
    pub async fn wait_for_record(&self, ticket: RecordTicket, limit: Duration) -> bool {
        let mut recorded = self.recorded.subscribe();
        let done = recorded.wait_for(|recorded| *recorded >= ticket);
        tokio::time::timeout(limit, done).await.is_ok_and(|done| done.is_ok())
    }

    async fn wait_for_request(&self) {
        while self.wanted.get() <= self.begun.get() {
            self.read_hint.notified().await;
        }
    }
}

/// Reads the records when a request or the ledger needs them.
pub async fn follow_versions<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut watch = DependencyWatch::new("read_versions");
    let mut backoff = Backoff::default();
    let sync = &state.version_sync;
    loop {
        tokio::select! {
            () = sync.wait_for_request() => {}
            () = tokio::time::sleep(CHECK_PERIOD) => {
                if !must_read(&state) {
                    continue;
                }
            }
        }
        sync.begun.set(sync.begun.get() + 1);
        let number = sync.begun.get();
        let outcome = store.read_versions().await;
        watch.record(&state, &outcome);
        let finished = match &outcome {
            Ok(read) => {
                state.observe_era(read.era);
                let records = Some(apply_read(&state, read));
                FinishedRead { number, records, bases_end: read.bases_end }
            }
            Err(_) => FinishedRead { number, ..FinishedRead::default() },
        };
        sync.finished.send_replace(finished);
        match outcome {
            Ok(_) => {
                backoff.reset();
                tokio::time::sleep(READ_SPACING).await;
            }
            Err(_) => backoff.wait().await,
        }
    }
}

/// Asks for a read of the records if the ledger needs one, after the directory was read.
pub fn on_directory_read(state: &GatewayState) {
    state.versions.borrow_mut().on_directory_read(state.now());
    if must_read(state) {
        state.version_sync.request_read();
    }
}

fn must_read(state: &GatewayState) -> bool {
    let services = resumable_services(state);
    state.observe_versions();
    let now = state.now();
    let start = match state.peers.borrow().is_first_live(now) {
        true => FleetStart::Later,
        false => fleet_start(state),
    };
    state.versions.borrow().must_read(now, &services, start)
}

/// Returns the services with streams that may be resumed.
fn resumable_services(state: &GatewayState) -> BTreeSet<ServiceName> {
    let config = state.config.borrow();
    config.current().map(|config| config.resumable_services()).unwrap_or_default()
}

fn apply_read(state: &GatewayState, read: &VersionsRead) -> Rc<VersionRecords> {
    let DecodedVersions { records, own, own_epoch, skipped } =
        decode_versions(read, &state.incarnation.0, wall_clock_ms());
    if skipped > 0 {
        state.metrics.events.with_label_values(&["version_record_skipped"]).inc();
        log::warn!("event=version_records_skipped code=601 count={skipped}");
    }
    let sync = &state.version_sync;
    sync.list_epoch.set(sync.list_epoch.get().max(own_epoch));
    let changed = state.versions.borrow_mut().on_read(state.now(), &records, own);
    for (service, version) in changed {
        state.metrics.events.with_label_values(&["version_base"]).inc();
        log::info!("event=version_base service={service} version={version} era={}", read.era.0);
    }
    sync.request_record();
    Rc::new(records)
}

/// Records this host's list whenever it changes.
pub async fn record_streams<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut watch = DependencyWatch::new("record_streams");
    let mut backoff = Backoff::default();
    let mut place = WriterPlace { epoch: state.incarnation.1.0, sequence: 0 };
    let mut epoch_step = 1;
    let mut spaced_until = state.now();
    loop {
        let update = state.versions.borrow().pending_list();
        let Some(update) = update else {
            state.version_sync.record_hint.notified().await;
            continue;
        };
        if !update.is_awaited && state.now() < spaced_until {
            let spacing = spaced_until.since(state.now());
            let hint = state.version_sync.record_hint.notified();
            // Either way the list is looked at anew.
            let _ = tokio::time::timeout(spacing, hint).await;
            continue;
        }
        spaced_until = state.now() + advised_spacing(&state);
        let former = state.version_sync.list_epoch.get();
        if place.epoch <= former && place.sequence == 0 {
            place.epoch = former + 1;
        }
        let count = update.streams.values().map(Vec::len).sum::<usize>();
        let record = encode_list(&update, place.epoch, wall_clock_ms());
        let (begun_at, bytes) = (state.now(), record.len());
        let outcome = store.record_streams(record, place).await;
        watch.record(&state, &outcome);
        let elapsed = state.now().since(begun_at);
        let label = if outcome.is_ok() { "ok" } else { "failed" };
        state.metrics.record_latency.with_label_values(&[label]).observe(elapsed.as_secs_f64());
        match outcome {
            Ok(era) => {
                state.observe_era(era);
                place.sequence += 1;
                epoch_step = 1;
                state.versions.borrow_mut().on_recorded(update.ticket);
                state.version_sync.recorded.send_replace(update.ticket);
                log::info!(
                    "event=streams_recorded count={count} bytes={bytes} elapsed_ms={}",
                    elapsed.as_millis()
                );
                backoff.reset();
            }
            Err(error) => {
                // The store may carry this record out late, and then not after one of a later epoch.
                place = WriterPlace { epoch: place.epoch + epoch_step, sequence: 0 };
                epoch_step *= 2;
                state.versions.borrow_mut().on_record_failed();
                log::warn!(
                    "event=streams_unrecorded count={count} elapsed_ms={} detail=\"{error}\"",
                    elapsed.as_millis()
                );
                backoff.wait().await;
            }
        }
    }
}

fn advised_spacing(state: &GatewayState) -> Duration {
    let live = state.peers.borrow().live_peers(state.now());
    ADVISED_SPACING.max(ADVISED_SPACING_PER_HOST * u32::try_from(live).unwrap_or(u32::MAX))
}

/// Records the first base of each service, and a new one when its version is gone. One host does so for
/// all.
pub async fn keep_bases<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut watch = DependencyWatch::new("append_base");
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        state.observe_versions();
        state.versions.borrow_mut().expire(state.now());
        count_streams(&state);
        let now = state.now();
        let is_first = state.peers.borrow().is_first_live(now);
        if !is_first && !state.versions.borrow().is_in_doubt(now) {
            continue;
        }
        for service in resumable_services(&state) {
            let Some(records) = state.version_sync.finished.borrow().records.clone() else {
                continue;
            };
            if propose_base(&state, &service, &records).is_some() {
                change_base(&state, &*store, &service, &mut watch).await;
            }
        }
    }
}

fn count_streams(state: &GatewayState) {
    let listed = i64::try_from(state.versions.borrow().listed_count()).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&["recorded_streams"]).set(listed);
}

fn fleet_start(state: &GatewayState) -> FleetStart {
    match state.settings.borrow().first_start {
        true => FleetStart::First,
        false => FleetStart::Later,
    }
}

fn propose_base(
    state: &GatewayState,
    service: &ServiceName,
    records: &VersionRecords,
) -> Option<BaseProposal> {
    let start = fleet_start(state);
    state.versions.borrow().propose_base(state.now(), service, records, start)
}

/// Changes the base of a service if the directory and the records, read anew, still ask for it.
async fn change_base<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    service: &ServiceName,
    watch: &mut DependencyWatch,
) {
    let Some((mut proposal, records, at)) = confirm_proposal(state, service).await else { return };
    // No host relies on a base that there never was.
    if records.bases.contains_key(service) {
        let position = LogPosition { era: records.era, offset: at };
        let ticket = state.versions.borrow_mut().announce_base(position);
        state.version_sync.request_record();
        if !state.version_sync.wait_for_record(ticket, CONFIRM_TIME).await {
            return;
        }
        // Servers that joined before the announcement may serve hosts that have not read it.
        match confirm_proposal(state, service).await {
            Some((confirmed, _, end)) if end == at => proposal = confirmed,
            _ => return,
        }
    }
    let outcome = store.append_base(at, service, encode_base(&proposal)).await;
    watch.record(state, &outcome);
    match outcome {
        Ok(AppendOutcome::Appended { era, .. }) => {
            state.observe_era(era);
            log::info!(
                "event=version_base_recorded service={service} version={}",
                proposal.version
            );
        }
        Ok(AppendOutcome::Conflict) => {}
        Err(PlatformError::Unanswered(_)) => {
            log::warn!("event=version_base_unanswered service={service}");
        }
        Err(error) => {
            log::warn!("event=version_base_refused service={service} detail=\"{error}\"");
        }
    }
    state.version_sync.request_read();
}

/// Returns how the base of a service should change by a new read of the directory and the records, these
/// records, and the offset after the last record of a base.
async fn confirm_proposal(
    state: &GatewayState,
    service: &ServiceName,
) -> Option<(BaseProposal, Rc<VersionRecords>, LogOffset)> {
    if !wait_for_directory(state).await {
        return None;
    }
    let (records, end) = state.version_sync.read_with_end(CONFIRM_TIME).await?;
    state.observe_versions();
    let proposal = propose_base(state, service, &records)?;
    Some((proposal, records, end))
}

/// Waits for a read of the directory by this host. Returns whether there was one.
async fn wait_for_directory(state: &GatewayState) -> bool {
    let begun_at = state.now();
    state.directory_hint.set(true);
    while state.now().since(begun_at) < CONFIRM_TIME {
        tokio::time::sleep(CONFIRM_PERIOD).await;
        let times = state.directory.borrow().read_times();
        if times.is_some_and(|times| times.own > begun_at) {
            return true;
        }
    }
    false
}
