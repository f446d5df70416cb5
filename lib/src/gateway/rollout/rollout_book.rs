//! What this host knows of the roll-outs of all services, and where it may send requests by that.
//!
//! Failure pattern: a host starts in the middle of a roll-out, stands still, is cut off from its peers or
//! from the store, or reads records of a store that came back from an older copy. It sends nothing to a new
//! version unless it knows the order, a step of the current era of the store that was read lately, no sign
//! against the version, and more than half of its peers. A roll-out that has ended for this host stays so,
//! whatever it reads later, until a later order names the version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::rollout::answer_tally::AnswerOutcome;
use crate::gateway::rollout::answer_tally::AnswerTally;
use crate::gateway::rollout::answer_tally::FleetTally;
use crate::gateway::rollout::answer_tally::RouteKey;
use crate::gateway::rollout::answer_tally::VersionSide;
use crate::gateway::rollout::evidence_judge::Evidence;
use crate::gateway::rollout::evidence_judge::EvidenceJudge;
use crate::gateway::rollout::exposure_meter::ExposureMeter;
use crate::gateway::rollout::exposure_meter::RolloutBounds;
use crate::gateway::rollout::rollout_order::OrderRecord;
use crate::gateway::rollout::rollout_order::RolloutOrder;
use crate::gateway::rollout::rollout_order::RolloutState;
use crate::gateway::rollout::rollout_order::RolloutStep;
use crate::gateway::rollout::rollout_order::StatusRead;
use crate::gateway::rollout::rollout_order::StatusRecord;
use crate::gateway::rollout::rollout_plan::PlanAction;
use crate::gateway::rollout::rollout_plan::PlanInput;
use crate::gateway::rollout::rollout_plan::ReadyServers;
use crate::gateway::rollout::rollout_plan::RecordedState;
use crate::gateway::rollout::rollout_plan::plan_next;
use crate::gateway::rollout::version_gate::VersionGate;
use crate::gateway::usage_ledger::HostIncarnation;
use crate::ids::LogOffset;
use crate::ids::LogPosition;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::protos::gateway::RolloutReport;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Age of the last read of the states beyond which nothing is sent to a new version: the read may miss
/// that it was rolled back. Reads are begun at least once a second.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2_200);

/// Time after a return of the store from a copy for which the operator may write a lost order again.
/// Then it counts as removed.
const LOST_ORDER_TIME: Duration = Duration::from_secs(10);

/// Length of the cycle in which the new version is on and off.
const PULSE_PERIOD: Duration = Duration::from_secs(2);

/// Time after a completion in which the former versions are avoided: their servers stop at once, and
/// their entries are still listed.
const FORMER_AVOIDED_TIME: Duration = Duration::from_secs(10);

/// Time after the end for which hosts report it, and count answers.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Maximum number of roll-outs in one summary; others are in the next ones.
const MAX_REPORTS: usize = 2;

/// Maximum number of versions of a service that are kept as rolled back.
const MAX_REFUSED: usize = 16;

/// Share of the requests beyond the usable one up to which a stream may go on at the new version.
const RESUME_MARGIN: f64 = 1.05;

/// Where a request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutSide {
    /// Anywhere: no order concerns its service.
    Any,
    /// To the new version.
    New,
    /// To the versions that served before.
    Old,
    /// Only to the version that began its stream.
    Bound,
}

/// Which attempt of a request is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacedAttempt<'a> {
    /// The first one.
    First,
    /// A retry or a hedge.
    Later,
    /// One of a stream that began at a version.
    Resumed(&'a SoftwareVersion),
}

/// An attempt at a new version that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTicket(u64);

/// What this host knows of its surroundings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostView {
    /// Whether it reaches less than half of its peers.
    pub is_partitioned: bool,
}

/// A server as the book sees it.
#[derive(Clone, Copy, Debug)]
pub struct ListedVersion<'a, K> {
    /// Key of the server.
    pub key: K,
    /// Identifier of the server.
    pub id: &'a str,
    /// Version of its software.
    pub version: &'a SoftwareVersion,
    /// Whether it accepts requests.
    pub is_ready: bool,
}

/// A change that is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BookChange {
    /// An order was read.
    Ordered(ServiceName),
    /// An order was removed.
    Withdrawn(ServiceName),
    /// A step was read.
    Stepped(ServiceName, RolloutStep),
    /// A roll-out ended.
    Ended(ServiceName, RolloutState),
    /// This host sends nothing to the new version any more, since its answers are bad.
    Stopped(ServiceName),
}

/// One order, and what came of it.
#[derive(Clone, Debug)]
struct ServiceRollout {
    order: RolloutOrder,
    position: LogPosition,
    /// Offsets at which the order was before the store lost it.
    former_offsets: Vec<LogOffset>,
    /// Whether the store came back from a copy and has not shown the order since.
    may_be_lost: bool,
    is_withdrawn: bool,
    /// When this process found the order, if it did not see it arrive.
    found_at: Option<Timestamp>,
    /// When this process read the order, and how long before that it was seen first. The clock of a process
    /// has no times before its start.
    read_at: Timestamp,
    seen_before: Duration,
    /// Whether this host, or the record of a step, tells that time.
    is_time_known: bool,
    served_alone: bool,
    step: Option<(RolloutStep, Timestamp)>,
    ended: Option<(RolloutState, Timestamp)>,
    former_versions: Vec<SoftwareVersion>,
    meter: ExposureMeter,
    answers: AnswerTally,
    /// Attempts at the new version without an answer, and when they began.
    waiting: BTreeMap<u64, (RouteKey, Timestamp)>,
    fleet: FleetTally,
    judge: EvidenceJudge,
    /// Whether the answers are bad.
    is_stopped: bool,
}

impl ServiceRollout {
    fn is_running(&self) -> bool {
        self.ended.is_none()
    }

    /// Returns the time since the order was seen first, by any host.
    fn age(&self, now: Timestamp) -> Duration {
        now.since(self.read_at) + self.seen_before
    }

    fn names(&self, offset: LogOffset) -> bool {
        self.position.offset == offset || self.former_offsets.contains(&offset)
    }

    /// Returns this host's answers and what it waits for.
    fn own_answers(&self, now: Timestamp) -> AnswerTally {
        let mut answers = self.answers.clone();
        for (route, began_at) in self.waiting.values() {
            answers.record_waiting(*route, now.since(*began_at));
        }
        answers
    }

    /// Records the end; returns whether it is new. Nothing undoes that a version was rolled back.
    fn end(&mut self, now: Timestamp, state: RolloutState) -> bool {
        let is_new = match self.ended {
            None => state.is_final(),
            Some((known, _)) => known != state && state == RolloutState::RolledBack,
        };
        if is_new {
            self.ended = Some((state, now));
        }
        is_new
    }
}

/// Newest records of the states.
#[derive(Clone, Debug, Default)]
struct StatusLog {
    newest: BTreeMap<ServiceName, (LogPosition, StatusRecord)>,
    end: Option<LogPosition>,
    /// When the last successful read began.
    read_at: Option<Timestamp>,
    /// When it ended, on both clocks.
    ended_at: Option<(Timestamp, u64)>,
}

/// Roll-outs of all services.
#[derive(Clone, Debug)]
pub struct RolloutBook {
    host: HostIncarnation,
    bounds: RolloutBounds,
    rollouts: BTreeMap<ServiceName, ServiceRollout>,
    gate: VersionGate,
    refused: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    statuses: StatusLog,
    era: StoreEra,
    restored_at: Option<Timestamp>,
    /// Whether the orders were read before, so that what is read from now on is new.
    has_read_orders: bool,
    next_ticket: u64,
}

impl RolloutBook {
    /// Creates the book of a process.
    pub fn new(host: HostIncarnation, bounds: RolloutBounds) -> Self {
        Self {
            host,
            bounds,
            rollouts: BTreeMap::new(),
            gate: VersionGate::default(),
            refused: BTreeMap::new(),
            statuses: StatusLog::default(),
            era: StoreEra::default(),
            restored_at: None,
            has_read_orders: false,
            next_ticket: 0,
        }
    }

    /// Changes the bounds.
    pub fn set_bounds(&mut self, bounds: RolloutBounds) {
        self.bounds = bounds;
    }

    /// Records the versions that the directory lists. Returns whether the orders must be read.
    pub fn observe<'a>(
        &mut self,
        now: Timestamp,
        listed: impl Iterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) -> bool {
        self.gate.observe(now, listed)
    }

    /// Records the era of the store. Steps of an earlier one are void, since the copy may be older than
    /// the end of the roll-out.
    pub fn on_era(&mut self, now: Timestamp, era: StoreEra) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == StoreEra::default() && !self.has_read_orders;
        self.era = era;
        if is_first {
            return;
        }
        self.restored_at = Some(now);
        self.statuses = StatusLog::default();
        for rollout in self.rollouts.values_mut() {
            rollout.step = None;
            rollout.may_be_lost = true;
        }
    }

    /// Merges a read of the orders that began at `begun_at`. `hosts` may run.
    pub fn on_orders(
        &mut self,
        (now, begun_at): (Timestamp, Timestamp),
        era: StoreEra,
        records: Vec<OrderRecord>,
        hosts: u32,
    ) -> Vec<BookChange> {
        self.on_era(now, era);
        let mut changes = Vec::new();
        if era < self.era {
            return changes;
        }
        for record in records {
            changes.extend(self.apply_order(now, record, hosts));
        }
        self.has_read_orders = true;
        self.gate.on_orders_read(begun_at);
        changes
    }

    fn apply_order(
        &mut self,
        now: Timestamp,
        record: OrderRecord,
        hosts: u32,
    ) -> Option<BookChange> {
        let OrderRecord { service, offset, order } = record;
        let position = LogPosition { era: self.era, offset };
        let known = self.rollouts.get_mut(&service);
        let Some(order) = order else {
            let known = known.filter(|known| known.position < position && known.is_running())?;
            known.is_withdrawn = true;
            return Some(BookChange::Withdrawn(service));
        };
        if let Some(known) = known {
            let is_same = known.order == order;
            if is_same && known.position.offset == offset {
                (known.position.era, known.may_be_lost) = (self.era, false);
                return None;
            }
            if is_same && known.may_be_lost {
                // The operator wrote again what the store had lost.
                known.former_offsets.push(known.position.offset);
                (known.position, known.may_be_lost) = (position, false);
                return None;
            }
            if position <= known.position {
                return None;
            }
            let ended_well = known.ended.is_some_and(|(state, _)| state == RolloutState::Completed);
            if !ended_well {
                let former = known.order.to.clone();
                self.refuse(&service, former);
            }
        }
        if let Some(refused) = self.refused.get_mut(&service) {
            refused.remove(&order.to);
        }
        let is_live = self.has_read_orders;
        let mut meter = ExposureMeter::new(&self.host, position);
        if is_live {
            meter.grant(self.bounds.used_slack(hosts));
        }
        let served_alone = is_live
            && self.gate.is_checked(&service, &order.to)
            && self.gate.versions(&service).eq([&order.to]);
        let rollout = ServiceRollout {
            order,
            position,
            former_offsets: Vec::new(),
            may_be_lost: false,
            is_withdrawn: false,
            found_at: (!is_live).then_some(now),
            read_at: now,
            seen_before: Duration::ZERO,
            is_time_known: is_live,
            served_alone,
            step: None,
            ended: None,
            former_versions: Vec::new(),
            meter,
            answers: AnswerTally::default(),
            waiting: BTreeMap::new(),
            fleet: FleetTally::default(),
            judge: EvidenceJudge::default(),
            is_stopped: false,
        };
        self.rollouts.insert(service.clone(), rollout);
        if let Some((position, status)) = self.statuses.newest.get(&service).cloned() {
            let wall_ms = self.statuses.ended_at.map_or(0, |(at, wall_ms)| {
                wall_ms + u64::try_from(now.since(at).as_millis()).unwrap_or_default()
            });
            self.apply_status(now, wall_ms, position, &status);
        }
        Some(BookChange::Ordered(service))
    }

    fn refuse(&mut self, service: &ServiceName, version: SoftwareVersion) {
        let refused = self.refused.entry(service.clone()).or_default();
        if refused.len() < MAX_REFUSED {
            refused.insert(version);
        }
    }

    /// Merges a read of the states that began at `begun_at`. `wall_ms` is the time since 1970.
    pub fn on_statuses(
        &mut self,
        (now, begun_at): (Timestamp, Timestamp),
        wall_ms: u64,
        read: StatusRead,
    ) -> Vec<BookChange> {
        let era = read.bounds.era;
        self.on_era(now, era);
        let mut changes = Vec::new();
        if era < self.era {
            return changes;
        }
        for (offset, record) in read.records {
            let position = LogPosition { era, offset };
            let service = record.service.clone();
            let is_newer =
                self.statuses.newest.get(&service).is_none_or(|(known, _)| *known < position);
            if is_newer {
                changes.extend(self.apply_status(now, wall_ms, position, &record));
                self.statuses.newest.insert(service, (position, record));
            }
        }
        self.statuses.end = self.statuses.end.max(Some(LogPosition { era, offset: read.next }));
        self.statuses.read_at = self.statuses.read_at.max(Some(begun_at));
        self.statuses.ended_at = Some((now, wall_ms));
        changes
    }

    fn apply_status(
        &mut self,
        now: Timestamp,
        wall_ms: u64,
        position: LogPosition,
        record: &StatusRecord,
    ) -> Option<BookChange> {
        let service = &record.service;
        let known = self.rollouts.get(service);
        let is_own = known.is_some_and(|known| is_of_order(known, position.era, record));
        let ordered = known.filter(|known| known.is_running()).map(|known| known.order.to.clone());
        for version in record.refused.iter().cloned() {
            if ordered.as_ref() != Some(&version) {
                self.refuse(service, version);
            }
        }
        if !is_own {
            // The state of an earlier order.
            if record.state == RolloutState::RolledBack && ordered != Some(record.to()) {
                self.refuse(service, record.to());
            }
            return None;
        }
        let rollout = self.rollouts.get_mut(service)?;
        if rollout.former_versions.is_empty() {
            rollout.former_versions.clone_from(&record.from);
        }
        if !rollout.is_time_known {
            let age = Duration::from_millis(wall_ms.saturating_sub(record.ordered_ms));
            let since_read = now.since(rollout.read_at);
            (rollout.seen_before, rollout.is_time_known) = (age.saturating_sub(since_read), true);
        }
        if record.state.is_final() {
            return rollout
                .end(now, record.state)
                .then(|| BookChange::Ended(service.clone(), record.state));
        }
        let is_current = record.era == self.era && record.order == rollout.position.offset;
        let is_new = rollout.step.is_none_or(|(step, _)| step != record.step);
        if !is_current || !rollout.is_running() || !is_new {
            return None;
        }
        rollout.step = Some((record.step, now));
        rollout.meter.on_step();
        Some(BookChange::Stepped(service.clone(), record.step))
    }

    /// Returns the end of the log of states, as it was read last.
    pub fn status_end(&self) -> Option<LogPosition> {
        self.statuses.end
    }

    /// Returns whether the states must be read: an order has not ended as far as is known, or they were
    /// not read since the order was.
    pub fn must_read_statuses(&self) -> bool {
        let is_unread = self.statuses.end.is_none();
        self.rollouts.values().any(|rollout| rollout.is_running() || is_unread)
    }

    /// Returns whether the orders must be read before versions that are listed can be used.
    pub fn must_read_orders(&self) -> bool {
        self.gate.must_read_orders()
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            let is_on = rollout.step.is_some_and(|(step, since)| is_on(step, now.since(since)));
            rollout.meter.on_arrival(is_on);
        }
    }

    /// Counts an attempt that is sent. Returns a ticket if it is at a new version: then
    /// [`Self::on_settled`] must be called.
    pub fn on_sent(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        version: &SoftwareVersion,
        route: &str,
    ) -> Option<AttemptTicket> {
        let rollout = self.rollouts.get_mut(service)?;
        if rollout.order.to != *version || !rollout.is_running() {
            return None;
        }
        rollout.meter.on_sent();
        self.next_ticket += 1;
        rollout.waiting.insert(self.next_ticket, (RouteKey::of(route), now));
        Some(AttemptTicket(self.next_ticket))
    }

    /// Records that an attempt at a new version was answered or dropped.
    pub fn on_settled(&mut self, service: &ServiceName, ticket: AttemptTicket) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.waiting.remove(&ticket.0);
        }
    }

    /// Counts the end of an attempt. Returns the side that it counts for, if a roll-out runs.
    pub fn on_answer(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        route: &str,
        outcome: AnswerOutcome,
    ) -> Option<VersionSide> {
        let rollout = self.rollouts.get_mut(service).filter(|rollout| rollout.is_running())?;
        let side = match rollout.order.to == *version {
            true => VersionSide::New,
            false => VersionSide::Old,
        };
        rollout.answers.record(RouteKey::of(route), side, outcome);
        Some(side)
    }

    /// Returns on which side an attempt is placed.
    pub fn side(
        &self,
        now: Timestamp,
        view: HostView,
        service: &ServiceName,
        attempt: PlacedAttempt<'_>,
    ) -> RolloutSide {
        match attempt {
            _ if self.is_free(now, service) => RolloutSide::Any,
            PlacedAttempt::Resumed(_) => RolloutSide::Bound,
            PlacedAttempt::Later => RolloutSide::Old,
            PlacedAttempt::First => match self.is_due(now, view, service) {
                true => RolloutSide::New,
                false => RolloutSide::Old,
            },
        }
    }

    /// Returns whether all listed versions of a service may be used alike.
    fn is_free(&self, now: Timestamp, service: &ServiceName) -> bool {
        let is_settled = match self.rollouts.get(service).map(|rollout| rollout.ended) {
            None => true,
            Some(None) => false,
            Some(Some((RolloutState::Completed, at))) => now.since(at) >= FORMER_AVOIDED_TIME,
            Some(Some(_)) => !self.gate.versions(service).any(|version| {
                self.rollouts.get(service).is_some_and(|rollout| rollout.order.to == *version)
            }),
        };
        let is_refused = |version| self.is_refused(service, version);
        is_settled
            && !self.gate.has_unchecked(service)
            && !self.gate.versions(service).any(is_refused)
    }

    fn is_due(&self, now: Timestamp, view: HostView, service: &ServiceName) -> bool {
        let Some((rollout, step, since)) = self.open_step(now, view, service) else { return false };
        let limit = (f64::from(step.limit) / 1_000.0).min(self.bounds.used_share());
        is_on(step, now.since(since))
            && rollout.meter.is_due(f64::from(step.share) / 1_000.0)
            && rollout.meter.may_send(limit)
    }

    /// Returns the roll-out of a service and its step, if requests may be sent to the new version.
    fn open_step(
        &self,
        now: Timestamp,
        view: HostView,
        service: &ServiceName,
    ) -> Option<(&ServiceRollout, RolloutStep, Timestamp)> {
        let rollout = self.rollouts.get(service)?;
        let (step, since) = rollout.step?;
        let max_age = MAX_STATUS_AGE.min(self.bounds.stop_time / 2);
        let is_read = self.statuses.read_at.is_some_and(|at| now.since(at) < max_age);
        let is_open = rollout.is_running()
            && !rollout.is_withdrawn
            && !rollout.is_stopped
            && !rollout.may_be_lost
            && !view.is_partitioned
            && is_read
            && rollout.age(now) < rollout.order.duration
            && step.share > 0
            && self.gate.is_checked(service, &rollout.order.to);
        is_open.then_some((rollout, step, since))
    }

    /// Returns whether an attempt may be sent to a server of a version now.
    pub fn may_send(
        &self,
        now: Timestamp,
        view: HostView,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> bool {
        if !self.gate.is_checked(service, version) || self.is_refused(service, version) {
            return false;
        }
        let Some(rollout) = self.rollouts.get(service) else { return true };
        if rollout.order.to != *version {
            return true;
        }
        match rollout.ended {
            Some((RolloutState::Completed, _)) => true,
            Some(_) => false,
            None => {
                self.serves_alone(service, rollout) || self.open_step(now, view, service).is_some()
            }
        }
    }

    fn is_refused(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        self.refused.get(service).is_some_and(|refused| refused.contains(version))
    }

    /// Returns whether the ordered version was the only one before the order, and still is.
    fn serves_alone(&self, service: &ServiceName, rollout: &ServiceRollout) -> bool {
        rollout.served_alone && self.gate.versions(service).eq([&rollout.order.to])
    }

    /// Returns the servers that an attempt may not be placed at.
    pub fn excluded<'a, K: Copy>(
        &self,
        now: Timestamp,
        view: HostView,
        service: &ServiceName,
        side: RolloutSide,
        servers: &[ListedVersion<'a, K>],
    ) -> Vec<K> {
        if side == RolloutSide::Any {
            return Vec::new();
        }
        let rollout = self.rollouts.get(service);
        let used =
            match (side, rollout.and_then(|rollout| rollout.step.map(|step| (rollout, step)))) {
                (RolloutSide::New, Some((rollout, (step, _)))) => {
                    used_servers(rollout, step, servers)
                }
                _ => Vec::new(),
            };
        let mut versions: BTreeMap<&SoftwareVersion, bool> = BTreeMap::new();
        for server in servers {
            let allows = || self.allows_version(now, view, service, side, server.version);
            versions.entry(server.version).or_insert_with(allows);
        }
        let allows = |server: &ListedVersion<'a, K>| {
            versions.get(server.version).copied().unwrap_or_default()
                && (side != RolloutSide::New || used.contains(&server.id))
        };
        let is_former = |server: &ListedVersion<'a, K>| match rollout {
            Some(ServiceRollout {
                ended: Some((RolloutState::Completed, at)),
                former_versions,
                ..
            }) => now.since(*at) < FORMER_AVOIDED_TIME && former_versions.contains(server.version),
            _ => false,
        };
        let allowed = |server: &&ListedVersion<'a, K>| allows(server);
        // Servers that are about to stop are better than none.
        let avoids_former = side == RolloutSide::Old
            && servers.iter().filter(allowed).any(|server| server.is_ready && !is_former(server));
        let is_excluded = |server: &&ListedVersion<'a, K>| {
            !allows(server) || (avoids_former && is_former(server))
        };
        servers.iter().filter(is_excluded).map(|server| server.key).collect()
    }

    fn allows_version(
        &self,
        now: Timestamp,
        view: HostView,
        service: &ServiceName,
        side: RolloutSide,
        version: &SoftwareVersion,
    ) -> bool {
        let running = self.rollouts.get(service).filter(|rollout| rollout.is_running());
        let ordered = running.filter(|rollout| rollout.order.to == *version);
        let may_send = self.may_send(now, view, service, version);
        match (side, ordered) {
            (RolloutSide::Any, _) => true,
            (RolloutSide::New, ordered) => ordered.is_some() && may_send,
            (RolloutSide::Old, Some(rollout)) => self.serves_alone(service, rollout) && may_send,
            (RolloutSide::Bound, Some(rollout)) => {
                may_send && rollout.meter.may_send(self.bounds.used_share() * RESUME_MARGIN)
            }
            (RolloutSide::Old | RolloutSide::Bound, None) => may_send,
        }
    }

    /// Returns whether a version is withheld from the orders of servers: the roll-out decides on it.
    pub fn is_unproven(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let is_ordered = self.rollouts.get(service).is_some_and(|rollout| {
            rollout.is_running() && !rollout.served_alone && rollout.order.to == *version
        });
        is_ordered || self.is_refused(service, version)
    }

    /// Builds this host's reports for summary number `sequence`.
    pub fn reports(&self, now: Timestamp, sequence: u64) -> Vec<RolloutReport> {
        let is_told = |rollout: &&ServiceRollout| {
            let is_settling = self.restored_at.is_some_and(|at| now.since(at) < REPORT_TIME);
            rollout.ended.is_none_or(|(_, at)| now.since(at) < REPORT_TIME || is_settling)
        };
        let told: Vec<(&ServiceName, &ServiceRollout)> =
            self.rollouts.iter().filter(|(_, rollout)| is_told(rollout)).collect();
        let parts = told.len().div_ceil(MAX_REPORTS).max(1);
        let part = usize::try_from(sequence % parts as u64).unwrap_or(0);
        let told = told.into_iter().skip(part * MAX_REPORTS).take(MAX_REPORTS);
        told.map(|(service, rollout)| {
            let (arrivals, sent) = rollout.meter.traffic();
            let age = rollout.age(now).as_millis() as u64 + 1;
            RolloutReport {
                service: service.to_string(),
                order_offset: rollout.position.offset.0,
                order_era: rollout.position.era.0,
                age_ms: if rollout.is_time_known { age } else { 0 },
                arrivals,
                sent,
                ended: RolloutState::number(rollout.ended.map(|(state, _)| state)),
                routes: rollout.own_answers(now).encode(sequence / parts as u64),
            }
        })
        .collect()
    }

    /// Merges the reports of a peer.
    pub fn on_reports(
        &mut self,
        now: Timestamp,
        host: &HostIncarnation,
        reports: &[RolloutReport],
    ) -> Vec<BookChange> {
        let mut changes = Vec::new();
        for report in reports.iter().take(MAX_REPORTS) {
            let Ok(service) = ServiceName::try_from(report.service.as_str()) else { continue };
            let Some(rollout) = self.rollouts.get_mut(&service) else { continue };
            if !rollout.names(LogOffset(report.order_offset))
                || report.order_era > rollout.position.era.0
            {
                continue;
            }
            if let Some(age) = report.age_ms.checked_sub(1) {
                let before = Duration::from_millis(age).saturating_sub(now.since(rollout.read_at));
                if !rollout.is_time_known {
                    rollout.seen_before = rollout.seen_before.max(before);
                }
            }
            let traffic = (report.arrivals, report.sent);
            rollout.fleet.on_report(&host.0, host.1, traffic, &report.routes);
            if let Some(state) = RolloutState::of_number(report.ended)
                && rollout.end(now, state)
            {
                changes.push(BookChange::Ended(service, state));
            }
        }
        changes
    }

    /// Compares the answers of the roll-outs that run.
    pub fn judge(&mut self, now: Timestamp) -> Vec<BookChange> {
        let mut changes = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            if !rollout.is_running() || !rollout.judge.is_due(now) {
                continue;
            }
            let mut answers = rollout.fleet.answers();
            answers.add(&rollout.own_answers(now));
            let evidence = rollout.judge.judge(now, &answers);
            if evidence.is_bad() && !std::mem::replace(&mut rollout.is_stopped, true) {
                changes.push(BookChange::Stopped(service.clone()));
            }
        }
        changes
    }

    /// Returns what the answers of a service's roll-out show.
    pub fn evidence(&self, service: &ServiceName) -> Evidence {
        self.rollouts.get(service).map(|rollout| rollout.judge.evidence()).unwrap_or_default()
    }

    /// Returns the requests of all hosts since the order, and the attempts at the new version.
    pub fn traffic(&self, service: &ServiceName) -> (u64, u64) {
        let Some(rollout) = self.rollouts.get(service) else { return (0, 0) };
        let ((arrivals, sent), own) = (rollout.fleet.traffic(), rollout.meter.traffic());
        (arrivals + own.0, sent + own.1)
    }

    /// Returns the services with an order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.rollouts.keys()
    }

    /// Returns the version that an order names, and its current step.
    pub fn current(&self, service: &ServiceName) -> Option<(&SoftwareVersion, RolloutStep)> {
        let rollout = self.rollouts.get(service)?;
        let step = rollout.step.filter(|_| rollout.is_running()).map(|(step, _)| step);
        Some((&rollout.order.to, step.unwrap_or_default()))
    }

    /// Returns the record that the holder of the duties should append next for a service, and the end of
    /// the log on which it depends. `ready` are the servers by version.
    pub fn next_record(
        &self,
        now: Timestamp,
        wall_ms: u64,
        service: &ServiceName,
        ready: &BTreeMap<SoftwareVersion, u32>,
    ) -> Option<(LogOffset, StatusRecord)> {
        let rollout = self.rollouts.get(service)?;
        let end = self.statuses.end.filter(|end| end.era == self.era)?;
        let newest = self.statuses.newest.get(service);
        let restored_for = self.restored_at.map(|at| now.since(at));
        let is_lost = rollout.may_be_lost && rollout.is_running();
        if is_lost && restored_for.is_some_and(|time| time < LOST_ORDER_TIME) {
            return None;
        }
        let new = ready.get(&rollout.order.to).copied().unwrap_or_default();
        let input = PlanInput {
            age: rollout.age(now),
            duration: rollout.order.duration,
            step_age: rollout.step.map_or(Duration::ZERO, |(_, since)| now.since(since)),
            recorded: self.recorded_state(rollout, newest),
            ended: rollout.ended.map(|(state, _)| state),
            is_withdrawn: rollout.is_withdrawn || is_lost,
            served_alone: rollout.served_alone,
            is_stopped: rollout.is_stopped,
            restored_for,
            found_for: rollout.found_at.map(|at| now.since(at)),
            evidence: rollout.judge.evidence(),
            servers: ReadyServers { new, old: ready.values().sum::<u32>() - new },
            arrivals: self.traffic(service).0,
            bounds: self.bounds,
        };
        let (state, step, reason) = match plan_next(&input) {
            PlanAction::Wait => return None,
            PlanAction::EndOther => {
                let (_, other) = newest?;
                let record = StatusRecord {
                    state: RolloutState::RolledBack,
                    era: self.era,
                    step: RolloutStep::default(),
                    reason: "Superseded".to_owned(),
                    ..other.clone()
                };
                return Some((end.offset, record));
            }
            PlanAction::Record(state, step, reason) => (state, step, reason),
        };
        let from = match rollout.former_versions.is_empty() {
            true => ready.keys().filter(|version| **version != rollout.order.to).cloned().collect(),
            false => rollout.former_versions.clone(),
        };
        let refused = self.refused.get(service).into_iter().flatten().cloned().collect();
        let age_ms = u64::try_from(input.age.as_millis()).unwrap_or(u64::MAX);
        let record = StatusRecord {
            service: service.clone(),
            state,
            to_text: rollout.order.to_text.clone(),
            order: rollout.position.offset,
            era: self.era,
            step,
            ordered_ms: wall_ms.saturating_sub(age_ms),
            from,
            refused,
            reason: format!("{reason:?}"),
        };
        Some((end.offset, record))
    }

    fn recorded_state(
        &self,
        rollout: &ServiceRollout,
        newest: Option<&(LogPosition, StatusRecord)>,
    ) -> RecordedState {
        let Some((position, record)) = newest else { return RecordedState::Nothing };
        if !is_of_order(rollout, position.era, record) {
            let is_other = !record.state.is_final() && record.to() != rollout.order.to;
            return if is_other { RecordedState::OtherRunning } else { RecordedState::Nothing };
        }
        let is_current = record.era == self.era && record.order == rollout.position.offset;
        match record.state.is_final() || is_current {
            true => RecordedState::Current(record.state, record.step),
            false => RecordedState::Outdated(record.step),
        }
    }
}

/// Returns whether the new version is on, so long after the begin of a step.
fn is_on(step: RolloutStep, time: Duration) -> bool {
    let cycle = PULSE_PERIOD.as_micros();
    (time.as_micros() % cycle) * 1_000 / cycle < u128::from(step.on)
}

/// Returns the identifiers of the new servers that a step uses: those of the lowest hashes, which all
/// hosts agree on.
fn used_servers<'a, K>(
    rollout: &ServiceRollout,
    step: RolloutStep,
    servers: &[ListedVersion<'a, K>],
) -> Vec<&'a str> {
    let is_new =
        |server: &&ListedVersion<'a, K>| server.is_ready && *server.version == rollout.order.to;
    let mut ids: Vec<&str> = servers.iter().filter(is_new).map(|server| server.id).collect();
    ids.sort_by_cached_key(|id| *blake3::hash(id.as_bytes()).as_bytes());
    ids.truncate(step.servers as usize);
    ids
}

/// Returns whether a record is of an order. In a store that came back from a copy, the operator may have
/// written an order again at a lower offset than the one that the record names.
fn is_of_order(rollout: &ServiceRollout, era: StoreEra, record: &StatusRecord) -> bool {
    let is_rewritten = record.era < era
        && record.state.is_final()
        && record.order > rollout.position.offset
        && record.to() == rollout.order.to;
    rollout.names(record.order) || is_rewritten
}
