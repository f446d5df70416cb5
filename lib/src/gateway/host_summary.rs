//! Builds this host's summaries and applies those of its peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use prost::Message as _;

use crate::gateway::backend_directory::BackendDirectory;
use crate::gateway::backend_directory::DepartureSource;
use crate::gateway::capacity::fleet_scaler::TokenDemand;
use crate::gateway::capacity::speed_gossip;
use crate::gateway::crash_news;
use crate::gateway::crash_news::CrashNews;
use crate::gateway::directory_gossip::ToldRange;
use crate::gateway::directory_gossip::decode_change;
use crate::gateway::directory_gossip::has_missed_changes;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::limit_belief::LimitSource;
use crate::gateway::limit_belief::LimitStatement;
use crate::gateway::limit_table::ToldLimit;
use crate::gateway::peer_table;
use crate::gateway::peer_table::RecordScope;
use crate::gateway::peer_table::SummaryOutcome;
use crate::gateway::placement::PeerLoad;
use crate::gateway::quota::rank_split::ByRank;
use crate::gateway::rollout::rollout_keeper;
use crate::gateway::server_limit::RequestLimit;
use crate::gateway::store_follower;
use crate::gateway::store_follower::ChangeSource;
use crate::gateway::usage_ledger::TeamCounts;
use crate::gateway::waiting::line_driver;
use crate::gateway::waiting::rank_shares::RankReport;
use crate::gateway::zones::zone_flow::FlowChange;
use crate::gateway::zones::zone_flow::ZoneLoad;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::TeamName;
use crate::ids::ZoneName;
use crate::protos::gateway::Departure;
use crate::protos::gateway::HostSummary;
use crate::protos::gateway::RankUse;
use crate::protos::gateway::ServerChange;
use crate::protos::gateway::ServerLimit;
use crate::protos::gateway::ServerUse;
use crate::protos::gateway::ServiceDemand;
use crate::protos::gateway::TeamUse;
use crate::protos::gateway::WindowUse;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;

/// Maximum number of departures in one summary: enough for a zone of servers that leave.
const MAX_SUMMARY_DEPARTURES: usize = 64;

/// Maximum number of limits in one summary: a quarter of a datagram. If there are more, each summary
/// tells others of them.
const MAX_SUMMARY_LIMITS: usize = 48;

/// Maximum number of unreached services in one summary.
const MAX_SUMMARY_UNREACHED: usize = 64;

/// Maximum requests per slot that one host is believed to have in flight at a server.
const MAX_REPORTED_FILL: u32 = 4;

/// Minimum time between two counts of the loads of plain servers.
const APP_LOAD_PERIOD: Duration = Duration::from_millis(40);

/// Usual time that a summary takes.
const SUMMARY_TRANSIT: Duration = Duration::from_millis(30);
/// Units of a rank's counts and of its admitted share in a summary.
const TENTHS: f64 = 10.0;
const THOUSANDTHS: f64 = 1_000.0;

/// Updates placement and quotas with the current state of the peers.
pub fn apply_peer_summaries(state: &GatewayState) {
    let now = state.now();
    let peers = state.peers.borrow();
    state.quotas.borrow_mut().set_peer_spending(&peers.spending());
    state.has_new_spending.set(false);
    let directory = state.directory.borrow();
    let mut loads: BTreeMap<ServerKey, PeerLoad> = BTreeMap::new();
    let home = state.settings.borrow().zone.clone();
    let mut zones = ZoneLoads::of_directory(&directory, home);
    for summary in peers.fresh_summaries(now) {
        let from = ZoneName::try_from(summary.zone.as_str()).map(|zone| zones.zone_index(&zone));
        for server in &summary.servers {
            let key = ServerId::try_from(server.server.as_str()).ok();
            let Some(key) = key.and_then(|id| directory.find(&id)) else { continue };
            let load = loads.entry(key).or_default();
            load.running += server.running;
            load.prefill_tokens += server.prefill_tokens;
            if let Ok(from) = from {
                zones.add(&directory, key, server.running, from);
            }
        }
    }
    for (key, load) in state.placement.borrow().own_loads() {
        zones.add(&directory, key, load.running, 0);
    }
    update_zone_flow(state, now, &zones, peers.is_partitioned(now));
    let mut placement = state.placement.borrow_mut();
    placement.set_peer_loads(&loads);
    placement.set_zone_hosts(peers.zone_hosts(now));
    let zone_homes = i64::try_from(placement.homes().zone_homes()).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&["zone_prefix_homes"]).set(zone_homes);
    drop(placement);
    let heard = i64::try_from(peers.live_peers(now)).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&["peers"]).set(heard);
    let ranks = peers.fresh_summaries(now).flat_map(|summary| &summary.ranks);
    let ranks: Vec<RankReport> = ranks.filter_map(decode_rank).collect();
    line_driver::update_shares(state, &ranks);
    state.waiting.on_change(now);
}

fn encode_rank(report: &RankReport) -> RankUse {
    RankUse {
        service: report.service.to_string(),
        rank: report.rank,
        requests: (report.requests * TENTHS).ceil() as u32,
        missed: (report.missed * TENTHS) as u32,
        share: (report.share * THOUSANDTHS) as u32,
    }
}

fn decode_rank(told: &RankUse) -> Option<RankReport> {
    Some(RankReport {
        service: ServiceName::try_from(told.service.as_str()).ok()?,
        rank: told.rank,
        requests: f64::from(told.requests) / TENTHS,
        missed: f64::from(told.missed) / TENTHS,
        share: f64::from(told.share) / THOUSANDTHS,
    })
}

/// Load of every service in every zone. There are few of both, and a load is added for each server of each
/// summary, so that no name is copied.
struct ZoneLoads<'a> {
    zones: Vec<ZoneName>,
    services: Vec<(&'a ServiceName, Vec<ZoneLoad>)>,
}

impl<'a> ZoneLoads<'a> {
    /// Builds the slots of all zones. The home zone is the first.
    fn of_directory(directory: &'a BackendDirectory, home: ZoneName) -> Self {
        let mut zones = Self { zones: vec![home], services: Vec::new() };
        for (_, server) in directory.iter().filter(|(_, server)| server.draining_since.is_none()) {
            let zone = zones.zone_index(&server.entry.zone);
            let slots = &mut zones.load(&server.entry.service, zone).slots;
            *slots = slots.saturating_add(server.entry.slots);
        }
        zones
    }

    fn zone_index(&mut self, zone: &ZoneName) -> usize {
        let known = self.zones.iter().position(|known| known == zone);
        known.unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        })
    }

    fn load(&mut self, service: &'a ServiceName, zone: usize) -> &mut ZoneLoad {
        let known = self.services.iter().position(|(known, _)| *known == service);
        let index = known.unwrap_or_else(|| {
            self.services.push((service, Vec::new()));
            self.services.len() - 1
        });
        let loads = &mut self.services[index].1;
        loads.resize(loads.len().max(zone + 1), ZoneLoad::default());
        &mut loads[zone]
    }

    /// Adds requests that a host in zone number `from` has running on a server.
    fn add(&mut self, directory: &'a BackendDirectory, key: ServerKey, running: u32, from: usize) {
        let Some(server) = directory.get(key) else { return };
        let (service, there) = (&server.entry.service, self.zone_index(&server.entry.zone));
        // A host cannot have more in flight at a server than the server takes.
        let running = running.min(server.entry.slots.saturating_mul(MAX_REPORTED_FILL));
        let load = self.load(service, there);
        load.running = load.running.saturating_add(running);
        if from == 0 {
            load.from_home = load.from_home.saturating_add(running);
        }
        let demand = &mut self.load(service, from).demand;
        *demand = demand.saturating_add(running);
    }

    /// Returns the loads of each service by zone, for services that have servers or callers in several.
    fn by_service(&self) -> impl Iterator<Item = (&'a ServiceName, BTreeMap<ZoneName, ZoneLoad>)> {
        let services = self.services.iter().map(|(service, loads)| {
            let loads =
                self.zones.iter().zip(loads).filter(|(_, load)| **load != ZoneLoad::default());
            (*service, loads.map(|(zone, load)| (zone.clone(), *load)).collect())
        });
        services.filter(|(_, loads): &(_, BTreeMap<_, _>)| loads.len() > 1)
    }
}

/// Updates which share of this host's zone's requests leaves it.
fn update_zone_flow(state: &GatewayState, now: Timestamp, zones: &ZoneLoads<'_>, is_partial: bool) {
    let directory = state.directory.borrow();
    let mut placement = state.placement.borrow_mut();
    let flow = placement.flow_mut();
    let trips = state.pool.take_connect_times();
    for (_, server) in directory.iter() {
        if let Some(trip) = trips.get(&server.entry.address) {
            flow.on_trip(&server.entry.zone, *trip);
        }
    }
    flow.retain_services(|service| zones.services.iter().any(|(known, _)| *known == service));
    for (service, loads) in zones.by_service() {
        let change = flow.on_loads(now, service, &loads, is_partial);
        let per_mille = (flow.leaving_share(service) * 1_000.0) as i64;
        let level = state.metrics.zone_flow.with_label_values(&[service.as_str()]);
        level.set(per_mille);
        if let Some(FlowChange { share, reason }) = change {
            let home = loads.get(&zones.zones[0]).copied().unwrap_or_default();
            log::info!(
                "event=zone_flow service={service} share={share:.3} reason={} slots={} demand={}",
                reason.label(),
                home.slots,
                home.demand,
            );
        }
    }
}

/// Counts the loads of a plain application's servers that peers have reported. They are counted before a
/// choice and not only with each summary that this host sends: they change within a call's duration.
pub fn apply_app_loads(state: &GatewayState, service: &ServiceName) {
    let now = state.now();
    let directory = state.directory.borrow();
    let servers: Vec<(ServerKey, &str)> = directory
        .of_service(service)
        .map(|(key, server)| (key, server.entry.id.as_str()))
        .collect();
    let is_due = |(key, _): &(ServerKey, &str)| {
        state.placement.borrow().apps().is_due(now, *key, APP_LOAD_PERIOD)
    };
    if !servers.iter().any(is_due) {
        return;
    }
    let mut loads: Vec<(ServerKey, u32)> = servers.iter().map(|(key, _)| (*key, 0)).collect();
    let peers = state.peers.borrow();
    let (mut ages, mut hosts) = (Duration::ZERO, 0);
    for (age, summary) in peers.fresh_loads(now) {
        (ages, hosts) = (ages + age, hosts + 1);
        for told in &summary.servers {
            let index = servers.iter().position(|(_, id)| *id == told.server);
            if let Some((_, load)) = index.and_then(|index| loads.get_mut(index)) {
                *load = load.saturating_add(told.running);
            }
        }
    }
    let age = ages.checked_div(hosts).unwrap_or_default();
    let age = if hosts > 0 { age + SUMMARY_TRANSIT } else { age };
    state.placement.borrow_mut().set_app_loads(now, age, &loads);
}

/// Returns the services that this host does not reach, for peers that look for one that does.
fn encode_unreached(state: &GatewayState) -> Vec<String> {
    let reach = state.reach.borrow();
    reach.unreached_services().take(MAX_SUMMARY_UNREACHED).map(ServiceName::to_string).collect()
}

/// Merges a peer's summary, unless a newer one has already arrived.
pub fn on_summary(state: &GatewayState, mut summary: HostSummary) {
    let now = state.now();
    let windows = std::mem::take(&mut summary.windows);
    let news = CrashNews {
        crashes: std::mem::take(&mut summary.crashes),
        cleared_parts: std::mem::take(&mut summary.cleared_parts),
        verdicts: std::mem::take(&mut summary.verdicts),
    };
    let changes = std::mem::take(&mut summary.changes);
    let departures = std::mem::take(&mut summary.departures);
    let limits = std::mem::take(&mut summary.limits);
    let measurements = std::mem::take(&mut summary.measurements);
    let sender = summary.host.clone();
    let rollouts = std::mem::take(&mut summary.rollouts);
    let host = HostId::try_from(summary.host.as_str());
    let incarnation = Incarnation(summary.incarnation);
    let known_count = state.peers.borrow().changes_count(&summary);
    let has_missed = has_missed_changes(known_count, summary.changes_count, changes.len());
    let read_age = summary.directory_age_ms.checked_sub(1).map(Duration::from_millis);
    let told = peer_table::told_range(&summary);
    state.observe_era(StoreEra(summary.store_era));
    check_config_version(state, now, &summary);
    let outcome = state.peers.borrow_mut().on_summary(now, summary);
    match outcome {
        SummaryOutcome::Ignored => return,
        SummaryOutcome::Merged => {}
        SummaryOutcome::PeerHeard => {
            let heard = state.peers.borrow().live_peers(now);
            log::info!("event=peers_changed heard={heard}");
            state.summary_hint.notify_one();
        }
    }
    state.has_new_spending.set(true);
    if let Ok(host) = host {
        rollout_keeper::apply_reports(state, &(host, incarnation), &rollouts);
    }
    if let Some(age) = read_age {
        let hold = state.directory.borrow_mut().on_peer_read(now, now - age);
        store_follower::log_hold(hold, "Peer");
    }
    if has_missed {
        state.directory_hint.set(true);
    }
    let skipped = changes.iter().filter(|change| !apply_server_change(state, change)).count();
    if skipped == 0
        && let (Some(age), Some(told)) = (read_age, told)
    {
        state.directory_coverage.borrow_mut().on_peer_read(now - age, told);
    }
    if !changes.is_empty() {
        state.observe_versions();
    }
    crash_news::apply_crash_news(state, &news);
    departures.into_iter().for_each(|departure| apply_departure(state, departure));
    limits.iter().take(MAX_SUMMARY_LIMITS).for_each(|told| apply_limit(state, told));
    windows.iter().for_each(|window| merge_window_counts(state, window));
    if !measurements.is_empty() {
        let (directory, mut placement) = (state.directory.borrow(), state.placement.borrow_mut());
        let speeds = placement.speeds_mut();
        speed_gossip::apply_samples(now, speeds, &directory, &sender, &measurements);
    }
}

/// Triggers a read of the configuration if a peer has a newer version. Otherwise the peer's last
/// read shows that there was none.
fn check_config_version(state: &GatewayState, now: Timestamp, summary: &HostSummary) {
    let version = state.config.borrow().current().map_or(0, |config| config.version);
    if summary.config_version > version {
        if version > 0 {
            state.config_hint.notify_one();
        }
    } else if let Some(age) = summary.config_age_ms.checked_sub(1) {
        let read_at = now - Duration::from_millis(age);
        state.config_reads.borrow_mut().on_peer_read(read_at);
    }
}

/// Applies a change that a peer read. Returns whether it could be decoded.
fn apply_server_change(state: &GatewayState, encoded: &ServerChange) -> bool {
    match decode_change(encoded) {
        Some((position, change)) => {
            // Peers receive the change from the host that read it.
            store_follower::apply_change(state, position, change, ChangeSource::Peer);
            true
        }
        None => {
            log::warn!("event=server_change_skipped code=404 offset={}", encoded.offset);
            state.directory_hint.set(true);
            false
        }
    }
}

fn apply_departure(state: &GatewayState, departure: Departure) {
    match ServerId::try_from(departure.server) {
        Ok(server) => state.on_departure(&server, departure.born_ms, DepartureSource::Peer),
        Err(error) => log::warn!("event=departure_skipped code=404 detail=\"{error}\""),
    }
}

fn merge_window_counts(state: &GatewayState, window: &WindowUse) {
    let host = match HostId::try_from(window.host.as_str()) {
        Ok(host) => host,
        Err(error) => {
            log::warn!("event=usage_window_skipped code=404 detail=\"{error}\"");
            return;
        }
    };
    let incarnation = (host, Incarnation(window.incarnation));
    if incarnation == state.incarnation {
        return;
    }
    let counts: TeamCounts = window
        .counts
        .iter()
        .filter_map(|(team, count)| Some((TeamName::try_from(team.as_str()).ok()?, *count)))
        .collect();
    state.ledger.borrow_mut().merge_counts(incarnation, window.window, counts);
}

/// Adds the spending that hosts recorded before this host's start.
pub fn on_spending_records(state: &GatewayState, records: &[Vec<u8>]) {
    let (now, wall_ms) = (state.now(), wall_clock_ms());
    let window = state.settings.borrow().quotas.window;
    let mut recent = 0;
    for record in records {
        let Ok(record) = HostSummary::decode(record.as_slice()) else {
            log::warn!("event=spending_record_skipped code=601");
            continue;
        };
        let age = Duration::from_millis(wall_ms.saturating_sub(record.wall_ms));
        if age < window {
            recent += 1;
            // If this host's clock is behind the record's, the record counts slightly longer.
            state.peers.borrow_mut().on_record(now - age, record);
        }
    }
    state.quotas.borrow_mut().on_records_read();
    state.spending_known.set(true);
    log::info!("event=spending_records_read count={} recent={recent}", records.len());
}

/// Returns whether all hosts together spent so much of any team's quota that it must be recorded.
pub fn exceeds_record_threshold(state: &GatewayState) -> bool {
    state.update_peer_spending();
    let config = state.config.borrow();
    let Some(config) = config.current() else { return false };
    let quota_of = |team: &TeamName| config.teams.get(team).and_then(|rule| rule.quota);
    state.quotas.borrow().exceeds_record_threshold(quota_of)
}

/// Builds the spending record for the store. One that holds the spending of a zone names it.
pub fn build_record(state: &GatewayState, scope: RecordScope) -> HostSummary {
    let zone = state.settings.borrow().zone.to_string();
    let mut teams = match scope {
        RecordScope::Zone => state.peers.borrow().zone_spending(),
        RecordScope::Own | RecordScope::Nothing => BTreeMap::new(),
    };
    for (team, own) in state.quotas.borrow_mut().record_spending(state.now()) {
        let sum = teams.entry(team).or_default();
        sum.spent += own.spent;
        sum.asked += own.asked;
    }
    let teams = teams.into_iter().map(|(team, spending)| TeamUse {
        team: team.into(),
        spent: spending.spent,
        asked: spending.asked,
        ..TeamUse::default()
    });
    HostSummary {
        host: state.incarnation.0.to_string(),
        incarnation: state.incarnation.1.0,
        teams: teams.collect(),
        wall_ms: wall_clock_ms(),
        zone: if scope == RecordScope::Zone { zone } else { String::new() },
        ..HostSummary::default()
    }
}

/// Encodes the age of a read; zero if there was none.
fn encode_age(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| age.as_millis() as u64 + 1)
}

/// Builds what this host states of the demand for each service. Levels are stated while servers name
/// limits, which hosts divide by them.
fn encode_demands(state: &GatewayState, now: Timestamp) -> Vec<ServiceDemand> {
    let rates = state.demand.borrow_mut().rates(now);
    let encode = |(service, demand): (&ServiceName, &TokenDemand)| ServiceDemand {
        service: service.to_string(),
        prefill_tokens_per_s: demand.prefill as u64,
        output_tokens_per_s: demand.output as u64,
        level: None,
    };
    let mut demands: Vec<ServiceDemand> = rates.iter().map(encode).collect();
    let placement = state.placement.borrow();
    let mut levels = state.levels.borrow_mut();
    if placement.limits().is_empty() {
        levels.state_none();
        return demands;
    }
    let directory = state.directory.borrow();
    let services: BTreeSet<&ServiceName> =
        directory.iter().map(|(_, server)| &server.entry.service).collect();
    for service in services {
        let level = Some(levels.state_level(now, service).number());
        match demands.iter_mut().find(|demand| demand.service == service.as_str()) {
            Some(demand) => demand.level = level,
            None => demands.push(ServiceDemand {
                service: service.to_string(),
                level,
                ..ServiceDemand::default()
            }),
        }
    }
    demands
}

fn encode_limit(now: Timestamp, told: &ToldLimit) -> ServerLimit {
    let (limit, at) = match told.statement {
        LimitStatement::Named { limit, heard_at } => (limit.per_1000_s(), heard_at),
        LimitStatement::Unnamed { sent_at } => (0, sent_at),
    };
    ServerLimit {
        server: told.server.to_string(),
        born_ms: told.started_at_ms,
        limit_per_1000_s: limit,
        age_ms: u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
    }
}

fn apply_limit(state: &GatewayState, told: &ServerLimit) {
    let server = match ServerId::try_from(told.server.as_str()) {
        Ok(server) => server,
        Err(error) => {
            log::warn!("event=server_limit_skipped code=404 detail=\"{error}\"");
            return;
        }
    };
    let at = state.now() - Duration::from_millis(told.age_ms);
    let statement = match told.limit_per_1000_s {
        0 => LimitStatement::Unnamed { sent_at: at },
        limit => {
            LimitStatement::Named { limit: RequestLimit::from_per_1000_s(limit), heard_at: at }
        }
    };
    state.on_limit_statement(&server, told.born_ms, statement, LimitSource::Peer);
}

/// Encodes the units of each rank without the trailing zeros.
fn encode_ranks(asked_by_rank: ByRank<u64>) -> Vec<u64> {
    let length = asked_by_rank.iter().rposition(|asked| *asked > 0).map_or(0, |last| last + 1);
    asked_by_rank[..length].to_vec()
}

/// Builds summary number `sequence`.
pub fn build_summary(state: &GatewayState, sequence: u64) -> HostSummary {
    let now = state.now();
    let settings = state.settings.borrow();
    let teams = state.quotas.borrow_mut().publish_spending(now);
    let teams = teams.into_iter().map(|(team, spending)| TeamUse {
        team: team.into(),
        spent: spending.spent,
        asked: spending.asked,
        total: spending.total,
        total_asked: spending.total_asked,
        asked_by_rank: encode_ranks(spending.asked_by_rank),
    });
    let directory = state.directory.borrow();
    let measurements =
        speed_gossip::encode_samples(state.placement.borrow_mut().speeds_mut(), &directory);
    let board = state.placement.borrow();
    let servers = board.own_loads().filter_map(|(key, load)| {
        let server = directory.get(key)?;
        Some(ServerUse {
            server: server.entry.id.to_string(),
            running: load.running,
            prefill_tokens: load.prefill_tokens,
        })
    });
    let windows = state.ledger.borrow_mut().windows_to_tell(sequence).into_iter();
    let windows = windows.map(|(window, counts)| WindowUse {
        host: state.incarnation.0.to_string(),
        incarnation: state.incarnation.1.0,
        window,
        counts: counts.into_iter().map(|(team, count)| (team.into(), count)).collect(),
    });
    let limits = board.limits().told(now, sequence, MAX_SUMMARY_LIMITS);
    let limits = limits.into_iter().map(|told| encode_limit(now, &told));
    let told_by_peers: Vec<ToldRange> = match state.directory_gossip.borrow().has_new() {
        true => state.peers.borrow().told_ranges(now).collect(),
        false => Vec::new(),
    };
    let recent = state.directory_gossip.borrow_mut().recent_changes(now, &told_by_peers);
    if recent.untold > 0 {
        log::info!("event=directory_changes_untold count={}", recent.untold);
    }
    let (told, read_age) = {
        let gossip = state.directory_gossip.borrow();
        (gossip.told(), gossip.read_age(now))
    };
    let news = CrashNews::recent(state, now, sequence);
    let ranks = state.waiting.shares.borrow_mut().reports(now);
    let departures = directory.recent_departures(now).map(|(server, started_at_ms)| Departure {
        server: server.to_string(),
        born_ms: started_at_ms,
    });
    HostSummary {
        host: state.incarnation.0.to_string(),
        incarnation: state.incarnation.1.0,
        sequence,
        address: settings.summaries.to_string(),
        teams: teams.collect(),
        servers: servers.collect(),
        windows: windows.collect(),
        demands: encode_demands(state, now),
        limits: limits.collect(),
        measurements,
        timeliness: speed_gossip::encode_lateness(now, &state.lateness.borrow()),
        rollouts: state.rollouts.borrow().reports(now, sequence),
        leaving: state.shutdown.get().is_some(),
        unreached_services: encode_unreached(state),
        ranks: ranks.iter().map(encode_rank).collect(),
        crashes: news.crashes,
        cleared_parts: news.cleared_parts,
        verdicts: news.verdicts,
        departures: departures.take(MAX_SUMMARY_DEPARTURES).collect(),
        config_version: state.config.borrow().current().map_or(0, |config| config.version),
        zone: settings.zone.to_string(),
        directory_age_ms: encode_age(read_age),
        directory_next: told.next.offset.0,
        directory_era: told.next.era.0,
        directory_told_from: Some(told.from.offset.0),
        changes: recent.changes,
        changes_count: recent.count,
        store_era: state.store_era.current().unwrap_or_default().0,
        config_age_ms: encode_age(state.config_reads.borrow().age(now)),
        ..HostSummary::default()
    }
}
