//! Keeps this host's copies of the configuration and the directory in sync with the platform's
//! store.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::ops::Range;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng as _;

use crate::gateway::backend_directory::BackendEntry;
use crate::gateway::backend_directory::DirectoryChange;
use crate::gateway::backend_directory::DirectoryEffect;
use crate::gateway::backend_directory::ExpiredServer;
use crate::gateway::backend_directory::RemovalHold;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::log_cursor::CursorStep;
use crate::gateway::log_cursor::LogCursor;
use crate::gateway::platform_api::ConfigRead;
use crate::gateway::platform_api::ControlStore;
use crate::gateway::platform_api::DirectoryRead;
use crate::gateway::platform_api::LogBounds;
use crate::gateway::platform_api::PlatformError;
use crate::gateway::process_doubts::ProcessLabel;
use crate::gateway::read_schedule::ReadSchedule;
use crate::gateway::read_schedule::ReadTimes;
use crate::gateway::read_schedule::read_interval_factor;
use crate::gateway::rollout::rollout_keeper;
use crate::gateway::serving_config::ConfigChange;
use crate::gateway::version_keeper;
use crate::ids::LogOffset;
use crate::ids::LogPosition;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Timeout of a long poll for the configuration.
const CONFIG_POLL_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a host of a small fleet reads the directory, and the configuration beside a long
/// poll. A draining server must be noticed within two seconds, and servers update their entries about
/// as often.
const READ_PERIOD: Duration = Duration::from_millis(1_300);

/// Age of what a host knows of the directory at which it reads, in a fleet whose hosts share reads. Servers
/// that leave must get no request after two seconds, of which reading and sending take the rest. Hosts that
/// missed the same summary spread their reads.
const MAX_KNOWN_AGE: Range<Duration> = Duration::from_millis(1_100)..READ_PERIOD;

/// Time after which a second read of the directory is begun beside one that is not answered: its connection
/// may be silent.
const SECOND_READ_DELAY: Duration = Duration::from_millis(300);

/// Interval of the checks whether this host's next read of the directory is due.
const READ_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Interval of the checks whether this host's next read of the configuration is due.
const CONFIG_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Maximum number of versions of a service that the metrics tell apart.
const MAX_COUNTED_VERSIONS: usize = 8;

/// Label of the other versions in the metrics.
const OTHER_VERSIONS: &str = "other";

/// Delay after the first failed read.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest delay between failed reads. With a longer one a host would learn of a change too late
/// after the store recovers.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Exponential backoff with jitter, so that hosts do not retry in lockstep.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: INITIAL_BACKOFF }
    }
}

impl Backoff {
    /// Waits after a failure and doubles the next delay.
    pub async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Counts calls to the platform and logs when they start to fail or to succeed again.
#[derive(Clone, Debug)]
pub struct DependencyWatch {
    name: &'static str,
    is_failing: bool,
}

impl DependencyWatch {
    /// Creates a watch for calls with this name.
    pub fn new(name: &'static str) -> Self {
        Self { name, is_failing: false }
    }

    /// Records the outcome of a call.
    pub fn record<T>(&mut self, state: &GatewayState, outcome: &Result<T, PlatformError>) {
        let label = if outcome.is_ok() { "ok" } else { "failed" };
        state.metrics.platform_calls.with_label_values(&[self.name, label]).inc();
        match (outcome, self.is_failing) {
            (Ok(_), true) => log::info!("event=dependency_regained call={}", self.name),
            (Err(error), false) => {
                log::warn!("event=dependency_lost call={} detail=\"{error}\"", self.name);
            }
            _ => {}
        }
        self.is_failing = outcome.is_err();
    }
}

/// Follows the configuration log with long polls.
pub async fn follow_config<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut cursor = LogCursor::default();
    let mut backoff = Backoff::default();
    let mut watch = DependencyWatch::new("read_config");
    let mut is_failing = false;
    loop {
        let begun_at = Cell::new(state.now());
        let outcome = match is_failing {
            true => store.read_config(cursor.offset(), Duration::ZERO).await,
            false => wait_for_config(&state, &*store, cursor, &begun_at).await,
        };
        watch.record(&state, &outcome);
        is_failing = outcome.is_err();
        match outcome {
            Ok(read) => {
                backoff.reset();
                state.observe_era(read.bounds.era);
                state.config_reads.borrow_mut().on_read(state.now());
                record_config_read(&state, cursor.offset(), &read);
                match cursor.on_read(read.next, read.bounds) {
                    CursorStep::Apply => {
                        rollout_keeper::apply_orders(&state, begun_at.get(), &read);
                        adopt_config(&state, read);
                    }
                    CursorStep::StartOver => log_start_over("config", read.bounds),
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

/// Logs that a position is dropped since it is not one of its log any more.
fn log_start_over(topic: &str, bounds: LogBounds) {
    log::warn!(
        "event=log_position_dropped topic={topic} first={} end={} era={}",
        bounds.first.0,
        bounds.end.0,
        bounds.era.0
    );
}

/// Waits for a change of the configuration with a long poll.
///
/// A long poll does not show that the store would answer it: a store or connection that went silent
/// loses the polls of all hosts at once. Unless this host or a peer completed a read recently, the
/// host therefore reads the configuration beside its long poll. `begun_at` is set to when the read began
/// whose result is returned.
async fn wait_for_config<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    cursor: LogCursor,
    begun_at: &Cell<Timestamp>,
) -> Result<ConfigRead, PlatformError> {
    let from = cursor.offset();
    let mut schedule = ReadSchedule::default();
    let mut poll = pin!(store.read_config(from, CONFIG_POLL_TIMEOUT));
    loop {
        tokio::select! {
            outcome = &mut poll => return outcome,
            // A peer has a newer version, so the store lost this long poll or is slow.
            () = state.config_hint.notified() => {
                begun_at.set(state.now());
                return store.read_config(from, Duration::ZERO).await;
            }
            () = wait_for_config_check(state, &mut schedule) => {}
        }
        let read_begun_at = state.now();
        let read = store.read_config(from, Duration::ZERO).await?;
        if !cursor.is_unchanged(read.next, read.bounds) {
            // The long poll was lost, and the peers' may have been too.
            state.summary_hint.notify_one();
            begun_at.set(read_begun_at);
            return Ok(read);
        }
        state.config_reads.borrow_mut().on_read(state.now());
        // Nothing is new, orders included.
        rollout_keeper::apply_orders(state, read_begun_at, &read);
    }
}

/// Waits until this host is due to read the configuration beside its long poll.
async fn wait_for_config_check(state: &GatewayState, schedule: &mut ReadSchedule) {
    loop {
        tokio::time::sleep(CONFIG_CHECK_PERIOD).await;
        let Some(times) = state.config_reads.borrow().times() else { return };
        let factor = current_interval_factor(state);
        if schedule.is_due(state.now(), times, READ_PERIOD, factor, &mut rand::rng()) {
            return;
        }
    }
}

/// Returns the factor by which this host may lengthen its read intervals. It can rely on the hosts
/// that it reaches, since they announce what they read.
fn current_interval_factor(state: &GatewayState) -> u32 {
    let peers = state.peers.borrow();
    let now = state.now();
    if peers.is_partitioned(now) {
        return 1;
    }
    read_interval_factor(u32::try_from(peers.live_peers(now) + 1).unwrap_or(u32::MAX))
}

/// Logs a read of the configuration and sets its levels. An empty read is logged only if this host's
/// position is not the end of the log.
fn record_config_read(state: &GatewayState, from: Option<LogOffset>, read: &ConfigRead) {
    let bounds = read.bounds;
    set_level(state, "config_position", read.next.0);
    set_level(state, "config_log_end", bounds.end.0);
    set_level(state, "store_era", bounds.era.0);
    if from != Some(read.next) || read.next != bounds.end {
        log::info!(
            "event=config_read from={} next={} first={} end={} era={}",
            from.map_or("-".to_owned(), |from| from.0.to_string()),
            read.next.0,
            bounds.first.0,
            bounds.end.0,
            bounds.era.0,
        );
    }
}

fn set_level(state: &GatewayState, level: &str, value: u64) {
    let value = i64::try_from(value).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&[level]).set(value);
}

fn adopt_config(state: &GatewayState, read: ConfigRead) {
    for reason in &read.skipped {
        log::warn!("event=config_skipped detail=\"{reason}\"");
    }
    let Some(config) = read.config else { return };
    let (version, routes, teams) = (config.version, config.route_count(), config.teams.len());
    let pause_goals = config.pause_goals();
    let change = state.config.borrow_mut().adopt_if_newer(config);
    if change == ConfigChange::Adopted {
        state.placement.borrow_mut().speeds_mut().set_pause_goals(&pause_goals);
    }
    let event = match change {
        ConfigChange::Adopted => "config_adopted",
        ConfigChange::Ignored => "config_ignored",
    };
    state.metrics.events.with_label_values(&[event]).inc();
    let in_force = state.config.borrow().current().map_or(0, |config| config.version);
    set_level(state, "config_version", in_force);
    state.waiting.on_change(state.now());
    log::info!(
        "event={event} config={version} in_force={in_force} offset={} routes={routes} teams={teams}",
        read.next.0
    );
}

/// Follows the directory, in turn with the peers.
pub async fn follow_directory<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut cursor = LogCursor::default();
    let mut backoff = Backoff::default();
    let mut watch = DependencyWatch::new("read_directory");
    loop {
        let (begun_at, outcome) = read_directory(&state, &*store, cursor.offset()).await;
        watch.record(&state, &outcome);
        match outcome {
            Ok(read) => {
                backoff.reset();
                state.observe_era(read.bounds.era);
                set_level(&state, "directory_position", read.next.0);
                match cursor.on_read(read.next, read.bounds) {
                    CursorStep::Apply => {
                        let is_whole = read.next >= read.bounds.end;
                        apply_directory(&state, begun_at, read);
                        if is_whole {
                            state.doubts.borrow_mut().on_read(begun_at);
                            wait_for_next_read(&state).await;
                        }
                    }
                    CursorStep::StartOver => log_start_over("directory", read.bounds),
                }
            }
            Err(error) => {
                if matches!(error, PlatformError::RecordsDropped { .. }) {
                    cursor.on_dropped();
                } else {
                    let now = state.now();
                    let hold = state.directory.borrow_mut().on_read_failure(now);
                    log_hold(hold, "FailedRead");
                }
                backoff.wait().await;
            }
        }
    }
}

/// Reads the directory, with a second read if the first is not answered soon. Returns the outcome of the
/// first that succeeds, and when it began.
async fn read_directory<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    from: Option<LogOffset>,
) -> (Timestamp, Result<DirectoryRead, PlatformError>) {
    let read = async || (state.now(), store.read_directory(from).await);
    let mut first = pin!(read());
    if let Ok(outcome) = tokio::time::timeout(SECOND_READ_DELAY, &mut first).await {
        return outcome;
    }
    let mut second = pin!(read());
    tokio::select! {
        outcome = &mut first => if outcome.1.is_ok() { outcome } else { second.await },
        outcome = &mut second => if outcome.1.is_ok() { outcome } else { first.await },
    }
}

/// Waits until this host's next read of the directory is due.
async fn wait_for_next_read(state: &GatewayState) {
    let mut schedule = ReadSchedule::default();
    let max_age = rand::rng().random_range(MAX_KNOWN_AGE);
    loop {
        tokio::time::sleep(READ_CHECK_PERIOD).await;
        expire_removals(state);
        let now = state.now();
        let must_read = state.directory_hint.take() || state.directory.borrow().is_recovering(now);
        let factor = if must_read { 1 } else { current_interval_factor(state) };
        let known = state.directory_coverage.borrow().as_of();
        let own = state.directory.borrow().read_times().map(|times| times.own);
        let (Some(own), Some(known)) = (own, known) else { break };
        let times = ReadTimes { own, newest: known };
        if (factor > 1 && now.since(known) >= max_age)
            || schedule.is_due(now, times, READ_PERIOD, factor, &mut rand::rng())
        {
            break;
        }
    }
}

/// Who read a change of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// This host.
    Store,
    /// A peer.
    Peer,
}

/// What peers should be told of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeNews {
    /// The change: it matters to them.
    Tell,
    /// Nothing: this host knew of it, or of a later one, and does not vouch that peers do.
    AlreadyKnown,
    /// Nothing: a server confirmed its entry.
    Unchanged,
}

/// Applies a change that this host or a peer read. Returns what peers should be told of it.
pub fn apply_change(
    state: &GatewayState,
    position: LogPosition,
    change: DirectoryChange,
    source: ChangeSource,
) -> ChangeNews {
    let now = state.now();
    let is_known = {
        let (DirectoryChange::Absent(id) | DirectoryChange::Present(BackendEntry { id, .. })) =
            &change;
        let directory = state.directory.borrow();
        // What is only confirmed here after a restore may be new to hosts that read the restored copy.
        !directory.is_newer(id, position) || directory.is_of_earlier_era(id, position)
    };
    let entry_of = |id: &ServerId| {
        let directory = state.directory.borrow();
        directory.find(id).and_then(|key| directory.get(key)).map(|server| server.entry.clone())
    };
    let is_update = match &change {
        DirectoryChange::Absent(id) => {
            let is_newer = state.directory.borrow().is_newer(id, position);
            if is_newer {
                let held = state.directory.borrow().removal_held_for(now).unwrap_or_default();
                log::info!(
                    "event=directory_entry_removed server={id} offset={} era={} source={source:?} \
                     held_ms={}",
                    position.offset.0,
                    position.era.0,
                    held.as_millis(),
                );
                // The whole host or its zone may be gone.
                state.crashes.borrow_mut().on_server_alive(id);
            }
            // Also one that is held here, or of a server that only peers know.
            is_newer
        }
        DirectoryChange::Present(entry) => {
            state.doubts.borrow_mut().on_entry(&entry.id, &ProcessLabel::of(entry));
            let is_newer = state.directory.borrow().is_newer(&entry.id, position);
            let known = entry_of(&entry.id);
            if is_newer && known.as_ref().is_none_or(|known| known.state != entry.state) {
                log::info!(
                    "event=directory_entry_read server={} state={:?} offset={} era={} source={source:?}",
                    entry.id,
                    entry.state,
                    position.offset.0,
                    position.era.0,
                );
            }
            is_newer && known.is_some_and(|known| !known.is_same_state(entry))
        }
    };
    let effect = state.directory.borrow_mut().apply(now, position, change);
    state.on_directory_effect(effect);
    match is_update || effect != DirectoryEffect::Unchanged {
        true => ChangeNews::Tell,
        false if is_known => ChangeNews::AlreadyKnown,
        false => ChangeNews::Unchanged,
    }
}

fn apply_directory(state: &GatewayState, begun_at: Timestamp, read: DirectoryRead) {
    let now = state.now();
    for (server, reason) in &read.skipped {
        log::warn!("event=directory_entry_skipped server={server} detail=\"{reason}\"");
    }
    let hold = state.directory.borrow_mut().on_read(now, read.bounds.era);
    log_hold(hold, "Store");
    let next = LogPosition { era: read.bounds.era, offset: read.next };
    // Every host reads a full listing itself at startup, so listings are not gossiped.
    state.directory_gossip.borrow_mut().on_read(now, begun_at, next, read.complete);
    state.directory_coverage.borrow_mut().on_read(begun_at, next);
    let (mut told, read_count) = (0, read.changes.len());
    let listed: Vec<ServerId> = read
        .changes
        .iter()
        .filter_map(|(_, change)| match change {
            DirectoryChange::Present(entry) => Some(entry.id.clone()),
            DirectoryChange::Absent(_) => None,
        })
        .collect();
    for (offset, change) in read.changes {
        let position = LogPosition { era: read.bounds.era, offset };
        match apply_change(state, position, change.clone(), ChangeSource::Store) {
            ChangeNews::Tell if !read.complete => {
                told += 1;
                gossip_change(state, position, change);
            }
            ChangeNews::AlreadyKnown => state.directory_gossip.borrow_mut().on_untold(position),
            ChangeNews::Tell | ChangeNews::Unchanged => {}
        }
    }
    if told > 0 || read.complete {
        log::info!(
            "event=directory_read next={} era={} listing={} changes={read_count} to_tell={told}",
            read.next.0,
            read.bounds.era.0,
            read.complete,
        );
    }
    if read.complete {
        let effects = state.directory.borrow_mut().retain_listed(now, &listed);
        effects.into_iter().for_each(|effect| state.on_directory_effect(effect));
    }
    expire_removals(state);
    set_level(state, "servers", state.directory.borrow().iter().count() as u64);
    count_versions(state);
    version_keeper::on_directory_read(state);
}

/// Removes the servers whose missing entries did not reappear in time.
fn expire_removals(state: &GatewayState) {
    let expired = state.directory.borrow_mut().expire(state.now());
    for ExpiredServer { key, id, position } in expired {
        state.placement.borrow_mut().remove(key);
        log::info!("event=server_expired server={id}");
        if let Some(position) = position {
            gossip_change(state, position, DirectoryChange::Absent(id));
        }
    }
}

/// Logs that removals are held from now on, and after what.
pub fn log_hold(hold: RemovalHold, cause: &str) {
    if hold == RemovalHold::Begun {
        log::info!("event=directory_removals_held cause={cause}");
    }
}

/// Sets the number of listed servers of each version of a service.
fn count_versions(state: &GatewayState) {
    let directory = state.directory.borrow();
    let mut counts: BTreeMap<(&ServiceName, &SoftwareVersion), i64> = BTreeMap::new();
    for (_, server) in directory.iter() {
        *counts.entry((&server.entry.service, &server.entry.version)).or_default() += 1;
    }
    let servers = &state.metrics.servers;
    servers.reset();
    let mut versions: BTreeMap<&ServiceName, usize> = BTreeMap::new();
    for ((service, version), count) in counts {
        let shown = versions.entry(service).or_default();
        *shown += 1;
        let label = if *shown > MAX_COUNTED_VERSIONS { OTHER_VERSIONS } else { version.as_str() };
        servers.with_label_values(&[service.as_str(), label]).add(count);
    }
}

/// Queues a change that this host read for the next summary and sends the summary at once.
fn gossip_change(state: &GatewayState, position: LogPosition, change: DirectoryChange) {
    state.directory_gossip.borrow_mut().on_change(state.now(), position, change);
    state.summary_hint.notify_one();
}
