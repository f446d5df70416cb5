//! Performs the duties while this host holds the lease: it reports usage and orders servers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::capacity::fleet_scaler::FleetOrder;
use crate::gateway::capacity::fleet_scaler::FleetScaler;
use crate::gateway::capacity::fleet_scaler::ListedServers;
use crate::gateway::capacity::fleet_scaler::TokenDemand;
use crate::gateway::capacity::lateness_meter::AnswerCounts;
use crate::gateway::duty_lease::DutyLease;
use crate::gateway::duty_lease::LeaseChange;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::AppendOutcome;
use crate::gateway::platform_api::ControlStore;
use crate::gateway::platform_api::FencedCloud;
use crate::gateway::platform_api::FencedOutcome;
use crate::gateway::platform_api::PlatformError;
use crate::gateway::rollout::rollout_keeper::DECISION_PERIOD;
use crate::gateway::rollout::rollout_keeper::decide_rollouts;
use crate::gateway::store_follower::DependencyWatch;
use crate::gateway::usage_report::ReportSchedule;
use crate::gateway::usage_report::ReportStep;
use crate::ids::FencingToken;
use crate::ids::LogOffset;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;

/// Renewals within the validity of a grant. With two, the loss of one does not end the lease.
const RENEWALS_PER_VALIDITY: u32 = 2;

/// Delay until the next renewal after the group changed. The group hands the duties over only when
/// their last holder has renewed.
const SETTLING_RENEWAL_DELAY: Duration = Duration::from_millis(300);

/// Interval of the checks for due work.
const DUTY_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// State shared by the task that renews the membership and the task that performs the duties.
pub struct DutyRunner<S, C> {
    state: Rc<GatewayState>,
    store: Rc<S>,
    cloud: Rc<C>,
    lease: RefCell<DutyLease>,
}

impl<S: ControlStore, C: FencedCloud> DutyRunner<S, C> {
    /// Creates a runner that does not hold the lease.
    pub fn new(state: Rc<GatewayState>, store: Rc<S>, cloud: Rc<C>) -> Self {
        let settings = state.settings.borrow().clone();
        let acted_until = (!settings.first_start).then(|| state.now());
        let lease = DutyLease::new(settings.duty, acted_until);
        Self { state, store, cloud, lease: RefCell::new(lease) }
    }

    /// Keeps this host a member of the group that elects the holder of the duties.
    pub async fn keep_membership(self: Rc<Self>) {
        let mut watch = DependencyWatch::new("renew_duty");
        let mut partitioned_since = None;
        loop {
            if self.state.shutdown.get().is_some() {
                return self.leave().await;
            }
            if self.is_partitioned_too_long(&mut partitioned_since) {
                self.resign().await;
                partitioned_since = None;
                continue;
            }
            let sent_at = self.state.now();
            let generation = self.lease.borrow().generation();
            let validity = self.state.settings.borrow().duty.validity;
            let mut delay = validity / RENEWALS_PER_VALIDITY;
            let outcome = self.store.renew_duty(generation).await;
            watch.record(&self.state, &outcome);
            if let Ok(grant) = outcome {
                let now = self.state.now();
                self.state.observe_era(grant.generation.era);
                if grant.generation != generation {
                    delay = SETTLING_RENEWAL_DELAY;
                }
                match self.lease.borrow_mut().on_grant(sent_at, now, grant) {
                    LeaseChange::Began(fence) => {
                        log::info!(
                            "event=duty_began fence={} generation={} era={}",
                            fence.0,
                            grant.generation.number,
                            grant.generation.era.0
                        );
                    }
                    LeaseChange::Ended => {
                        log::info!("event=duty_ended generation={}", grant.generation.number);
                    }
                    LeaseChange::Unchanged => {}
                }
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns whether this host reaches too few peers to know the usage and demand of all hosts.
    fn is_partitioned(&self) -> bool {
        let members = self.lease.borrow().members();
        self.state.peers.borrow().is_partitioned_among(self.state.now(), members)
    }

    /// Returns whether this host has been partitioned for longer than the group's session timeout.
    /// Until then its peers may have crashed, which leaves this host as the only possible holder.
    fn is_partitioned_too_long(&self, partitioned_since: &mut Option<Timestamp>) -> bool {
        if !self.is_partitioned() {
            *partitioned_since = None;
            return false;
        }
        let now = self.state.now();
        let since = *partitioned_since.get_or_insert(now);
        now.since(since) >= self.state.settings.borrow().duty.session_timeout + DUTY_CHECK_PERIOD
    }

    /// Leaves the group, so that a host that reaches more peers takes over, until this host is no
    /// longer partitioned.
    async fn resign(&self) {
        let generation = self.lease.borrow().generation();
        log::info!("event=duty_stepped_back generation={}", generation.number);
        self.leave().await;
        self.lease.borrow_mut().on_left(self.state.now());
        while self.is_partitioned() {
            tokio::time::sleep(DUTY_CHECK_PERIOD).await;
        }
    }

    /// Leaves the group, so that another host takes over without waiting for the session timeout.
    async fn leave(&self) {
        if let Err(error) = self.store.leave_duty().await {
            log::info!("event=duty_leave_failed detail=\"{error}\"");
        }
    }

    /// Performs due work while the host holds an active lease.
    pub async fn run(self: Rc<Self>) {
        let mut book = ReportSchedule::new(self.state.settings.borrow().usage_report_deadline);
        let mut fleets: BTreeMap<ServiceName, FleetScaler> = BTreeMap::new();
        loop {
            tokio::time::sleep(DUTY_CHECK_PERIOD).await;
            let now = self.state.now();
            let settings = self.state.settings.borrow().clone();
            self.lease.borrow_mut().set_timings(settings.duty);
            self.observe_demand(&mut fleets);
            if self.lease.borrow().active_fence(now).is_none() || self.is_partitioned() {
                book.mark_stale();
                continue;
            }
            if settings.reports_usage {
                self.report_usage(&mut book).await;
            }
            if settings.orders_servers {
                self.order_servers(&mut fleets).await;
            }
        }
    }

    /// Decides on the roll-outs of versions while the host holds an active lease.
    pub async fn run_rollouts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(DECISION_PERIOD).await;
            let holds_lease = || self.lease.borrow().active_fence(self.state.now()).is_some();
            if holds_lease() && !self.is_partitioned() {
                decide_rollouts(&self.state, &*self.store, holds_lease).await;
            }
        }
    }

    async fn report_usage(&self, book: &mut ReportSchedule) {
        loop {
            let now = self.state.now();
            let Some(fence) = self.lease.borrow().active_fence(now) else { return };
            let step = book.next_step(now, wall_clock_ms(), &self.state.ledger.borrow());
            let outcome = match step {
                ReportStep::Idle => return,
                ReportStep::ReadLog(from) => self.read_log(book, from).await,
                ReportStep::Record { at, record } => self.append_record(book, at, record).await,
                ReportStep::Send { window, counts } => {
                    let outcome = self.cloud.report_usage(fence, window, &counts).await;
                    log::info!(
                        "event=usage_reported window={window} requests={} fence={} outcome={outcome:?}",
                        counts.values().sum::<u64>(),
                        fence.0
                    );
                    self.handle_fencing(fence, &outcome);
                    match outcome {
                        Ok(FencedOutcome::Accepted | FencedOutcome::Unavailable) => {
                            book.on_sent(window);
                            Ok(())
                        }
                        Ok(FencedOutcome::Fenced) => return,
                        Err(error) => Err(error),
                    }
                }
            };
            if let Err(error) = outcome {
                log::info!("event=usage_step_failed detail=\"{error}\"");
                return;
            }
        }
    }

    async fn read_log(
        &self,
        book: &mut ReportSchedule,
        from: LogOffset,
    ) -> Result<(), PlatformError> {
        let read = match self.store.read_usage(from).await {
            Err(PlatformError::RecordsDropped { first }) if first != from => {
                log::info!("event=usage_log_position_dropped from={} first={}", from.0, first.0);
                book.on_dropped(first);
                return Ok(());
            }
            outcome => outcome?,
        };
        self.state.observe_era(read.bounds.era);
        let known_since_ms = self.state.store_era.known_since_ms();
        let skipped = book.on_records(self.state.now(), &read, known_since_ms);
        if skipped > 0 {
            log::warn!("event=usage_records_skipped code=601 count={skipped}");
        }
        Ok(())
    }

    async fn append_record(
        &self,
        book: &mut ReportSchedule,
        at: LogOffset,
        record: Vec<u8>,
    ) -> Result<(), PlatformError> {
        match self.store.append_usage(at, record.clone()).await {
            Ok(AppendOutcome::Appended { era, offset }) => {
                self.state.observe_era(era);
                book.on_appended(self.state.now(), &record, era, offset);
                Ok(())
            }
            Ok(AppendOutcome::Conflict) => {
                book.mark_stale();
                Ok(())
            }
            Err(error) => {
                // The append may have succeeded, or may still take effect. Read the log to find out.
                book.mark_stale();
                Err(error)
            }
        }
    }

    /// Records the demand on this host and its peers, also without the lease, so that a new holder
    /// knows the recent peak.
    fn observe_demand(&self, fleets: &mut BTreeMap<ServiceName, FleetScaler>) {
        let now = self.state.now();
        let mut total = self.state.demand.borrow_mut().rates(now);
        for demand in
            self.state.peers.borrow().fresh_summaries(now).flat_map(|summary| &summary.demands)
        {
            let Ok(service) = ServiceName::try_from(demand.service.as_str()) else { continue };
            let sum = total.entry(service).or_default();
            sum.prefill += demand.prefill_tokens_per_s as f64;
            sum.output += demand.output_tokens_per_s as f64;
        }
        for (service, demand) in total {
            let fleet =
                fleets.entry(service.clone()).or_insert_with(|| FleetScaler::new(service.clone()));
            fleet.on_speed(self.state.placement.borrow().speeds().of_service(now, &service));
            fleet.on_lateness(now, self.answer_counts(now, &service));
            fleet.on_demand(now, demand);
            fleet.on_servers(&self.listed_servers(&service));
        }
    }

    /// Returns how many answers of a service callers got from all hosts, and how many were late.
    fn answer_counts(&self, now: Timestamp, service: &ServiceName) -> AnswerCounts {
        let mut total = AnswerCounts::default();
        let lateness = self.state.lateness.borrow();
        lateness
            .counts(now)
            .filter(|(name, _)| *name == service)
            .for_each(|(_, own)| total.add(own));
        let peers = self.state.peers.borrow();
        let stated = peers.fresh_summaries(now).flat_map(|summary| &summary.timeliness);
        for stated in stated.filter(|stated| stated.service == service.as_str()) {
            total.add(AnswerCounts { answers: stated.answers, late: stated.late });
        }
        total
    }

    async fn order_servers(&self, fleets: &mut BTreeMap<ServiceName, FleetScaler>) {
        let config = self.state.config.borrow().current().cloned();
        let Some(config) = config else { return };
        for service in config.services.values() {
            let fleet = fleets
                .entry(service.name.clone())
                .or_insert_with(|| FleetScaler::new(service.name.clone()));
            let Some(bounds) = &service.fleet else { continue };
            fleet.on_shortfall(self.state.now(), self.limited_shortfall(&service.name));
            // The cloud's answers to the first orders decide on the others.
            for reclaimable in [true, false] {
                let listed = self.listed_servers(&service.name);
                let orders = fleet.orders(self.state.now(), bounds, &listed, reclaimable);
                self.place_orders(fleet, orders).await;
            }
        }
    }

    /// Places orders while this host holds the lease.
    async fn place_orders(&self, fleet: &mut FleetScaler, orders: Vec<FleetOrder>) {
        for order in orders {
            let now = self.state.now();
            let Some(fence) = self.lease.borrow().active_fence(now) else { return };
            let outcome = self.cloud.order_servers(fence, &order).await;
            log_order(&order, fence, fleet.current_demand(now), &outcome);
            self.handle_fencing(fence, &outcome);
            let accepted = matches!(outcome, Ok(FencedOutcome::Accepted));
            fleet.on_outcome(self.state.now(), &order, accepted);
        }
    }

    /// Returns how many servers of a service are missing, since some take fewer requests than they could.
    fn limited_shortfall(&self, service: &ServiceName) -> f64 {
        let speed = self.state.placement.borrow().speeds().of_service(self.state.now(), service);
        let per_request = self.state.demand.borrow().servers_per_request(service, speed);
        let Some(per_request) = per_request else { return 0.0 };
        let (directory, placement) = (self.state.directory.borrow(), self.state.placement.borrow());
        let limits = directory.of_service(service).filter_map(|(_, server)| {
            let entry = &server.entry;
            let is_ready = server.draining_since.is_none() && !server.is_missing;
            placement.limits().limit(&entry.id, entry.started_at_ms).filter(|_| is_ready)
        });
        limits.map(|limit| (1.0 - limit.per_second() * per_request).max(0.0)).sum()
    }

    /// Returns the servers of a service by availability zone.
    fn listed_servers(&self, service: &ServiceName) -> BTreeMap<ZoneName, ListedServers> {
        let mut listed: BTreeMap<ZoneName, ListedServers> = BTreeMap::new();
        let rollouts = self.state.rollouts.borrow();
        for (_, server) in self.state.directory.borrow().of_service(service) {
            let entry = &server.entry;
            if rollouts.is_unproven(service, &entry.version) {
                continue;
            }
            let servers = listed.entry(entry.zone.clone()).or_default();
            let fleet = match server.draining_since {
                _ if server.is_missing => &mut servers.missing,
                None => &mut servers.ready,
                Some(_) => {
                    servers.under_notice += u32::from(entry.reclaimed_in.is_some());
                    continue;
                }
            };
            match entry.reclaimable {
                true => fleet.reclaimable += 1,
                false => fleet.ordinary += 1,
            }
        }
        listed
    }

    fn handle_fencing(&self, fence: FencingToken, outcome: &Result<FencedOutcome, PlatformError>) {
        if matches!(outcome, Ok(FencedOutcome::Fenced)) {
            self.lease.borrow_mut().on_fenced(self.state.now(), fence);
            log::info!("event=duty_fenced fence={}", fence.0);
        }
    }
}

fn log_order(
    order: &FleetOrder,
    fence: FencingToken,
    demand: TokenDemand,
    outcome: &Result<FencedOutcome, PlatformError>,
) {
    log::info!(
        "event=servers_ordered service={} zone={} desired={} reclaimable={} fence={} \
         prefill_per_s={:.0} output_per_s={:.0} outcome={outcome:?}",
        order.service,
        order.zone,
        order.desired,
        order.reclaimable,
        fence.0,
        demand.prefill,
        demand.output,
    );
}
