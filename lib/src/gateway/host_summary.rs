//! What a summary says of this host, and what this host takes from those of its peers.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message as _;

use crate::gateway::crash_watch::WorkPrint;
use crate::gateway::directory_news::decode_change;
use crate::gateway::directory_news::is_gap;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::peer_table::RecordScope;
use crate::gateway::placement::PeerLoad;
use crate::gateway::store_follower;
use crate::gateway::usage_ledger::TeamCounts;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::TeamName;
use crate::protos::gateway::CrashSight;
use crate::protos::gateway::HostSummary;
use crate::protos::gateway::ServerChange;
use crate::protos::gateway::ServerUse;
use crate::protos::gateway::ServiceDemand;
use crate::protos::gateway::TeamUse;
use crate::protos::gateway::WindowUse;
use crate::timestamp::wall_clock_ms;

/// Crash suspicions in one summary, at most: those of a zone of servers that crashed.
const MAX_TOLD_CRASHES: usize = 64;

/// Hands what the peers told over to placement and quotas.
pub fn apply_peers(state: &GatewayState) {
    let now = state.now();
    let peers = state.peers.borrow();
    state.quotas.borrow_mut().set_peer_spending(peers.spending());
    let directory = state.directory.borrow();
    let mut loads: BTreeMap<ServerKey, PeerLoad> = BTreeMap::new();
    for server in peers.fresh(now).flat_map(|summary| &summary.servers) {
        let key = ServerId::try_from(server.server.as_str()).ok();
        let Some(key) = key.and_then(|id| directory.find(&id)) else { continue };
        let load = loads.entry(key).or_default();
        load.running += server.running;
        load.prefill_tokens += server.prefill_tokens;
    }
    state.board.borrow_mut().set_peer_loads(&loads);
    let heard = i64::try_from(peers.heard(now)).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&["peers"]).set(heard);
}

/// Takes in a peer's summary, unless a newer one came before it.
pub fn take_in(state: &GatewayState, mut summary: HostSummary) {
    let now = state.now();
    let windows = std::mem::take(&mut summary.windows);
    let crashes = std::mem::take(&mut summary.crashes);
    let changes = std::mem::take(&mut summary.changes);
    let known_count = state.peers.borrow().changes_count(&summary);
    let has_missed = is_gap(known_count, summary.changes_count, changes.len());
    let read_age = summary.directory_age_ms.checked_sub(1).map(Duration::from_millis);
    note_version(state, summary.config_version);
    let heard_before = state.peers.borrow().heard(now);
    if state.peers.borrow_mut().on_summary(now, summary).is_none() {
        return;
    }
    state.quotas.borrow_mut().set_peer_spending(state.peers.borrow().spending());
    let heard = state.peers.borrow().heard(now);
    if heard != heard_before {
        log::info!("event=peers_changed heard={heard}");
        state.summary_hint.notify_one();
    }
    if let Some(age) = read_age {
        state.directory.borrow_mut().on_peer_read(now, now - age);
    }
    if has_missed {
        state.directory_hint.set(true);
    }
    changes.iter().for_each(|told| take_in_change(state, told));
    crashes.into_iter().for_each(|sight| take_in_crash(state, sight));
    windows.iter().for_each(|window| take_in_window(state, window));
}

/// Lets a newer configuration be read at once.
fn note_version(state: &GatewayState, told: u64) {
    let version = state.config.borrow().current().map_or(0, |config| config.version);
    if told > version && version > 0 {
        state.config_hint.notify_one();
    }
}

fn take_in_change(state: &GatewayState, told: &ServerChange) {
    match decode_change(told) {
        Some((offset, change)) => {
            // Every peer hears it from the host that read it.
            store_follower::apply_change(state, offset, change);
        }
        None => log::warn!("event=server_change_skipped code=404 offset={}", told.offset),
    }
}

fn take_in_crash(state: &GatewayState, sight: CrashSight) {
    match ServerId::try_from(sight.server) {
        Ok(server) => {
            let print = WorkPrint(sight.fingerprint);
            state.crashes.borrow_mut().on_sight(state.now(), print, server);
        }
        Err(error) => log::warn!("event=crash_sight_skipped code=404 detail=\"{error}\""),
    }
}

fn take_in_window(state: &GatewayState, window: &WindowUse) {
    let host = match HostId::try_from(window.host.as_str()) {
        Ok(host) => host,
        Err(error) => {
            log::warn!("event=usage_window_skipped code=404 detail=\"{error}\"");
            return;
        }
    };
    let life = (host, Incarnation(window.incarnation));
    if life == state.life {
        return;
    }
    let counts: TeamCounts = window
        .counts
        .iter()
        .filter_map(|(team, count)| Some((TeamName::try_from(team.as_str()).ok()?, *count)))
        .collect();
    state.ledger.borrow_mut().on_told(life, window.window, counts);
}

/// Takes in the spending that hosts recorded before this one's start.
pub fn take_in_records(state: &GatewayState, records: &[Vec<u8>]) {
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
            // On a clock that is younger than the record it counts a little longer.
            state.peers.borrow_mut().on_record(now - age, record);
        }
    }
    state.quotas.borrow_mut().on_records_read();
    state.spending_known.set(true);
    log::info!("event=spending_records_read count={} recent={recent}", records.len());
}

/// Returns whether all hosts together spent much of any team's quota.
pub fn exceeds_record_threshold(state: &GatewayState) -> bool {
    let config = state.config.borrow();
    let Some(config) = config.current() else { return false };
    let quota_of = |team: &TeamName| config.teams.get(team).and_then(|rule| rule.quota);
    state.quotas.borrow().exceeds_record_threshold(quota_of)
}

/// Builds the record of spending.
pub fn build_record(state: &GatewayState, scope: RecordScope) -> HostSummary {
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
    });
    HostSummary {
        host: state.life.0.to_string(),
        incarnation: state.life.1.0,
        teams: teams.collect(),
        wall_ms: wall_clock_ms(),
        zone: state.settings.borrow().zone.to_string(),
        ..HostSummary::default()
    }
}

/// Builds the summary of a number.
pub fn build_summary(state: &GatewayState, sequence: u64) -> HostSummary {
    let now = state.now();
    let settings = state.settings.borrow();
    let teams = state.quotas.borrow_mut().publish_spending(now);
    let teams = teams.into_iter().map(|(team, spending)| TeamUse {
        team: team.into(),
        spent: spending.spent,
        asked: spending.asked,
    });
    let directory = state.directory.borrow();
    let board = state.board.borrow();
    let servers = board.own_loads().filter_map(|(key, load)| {
        let server = directory.get(key)?;
        Some(ServerUse {
            server: server.entry.id.to_string(),
            running: load.running,
            prefill_tokens: load.prefill_tokens,
        })
    });
    let ledger = state.ledger.borrow();
    let windows = ledger.lives().filter(|(_, life, _)| **life == state.life);
    let windows = windows.map(|(window, (host, incarnation), counts)| WindowUse {
        host: host.to_string(),
        incarnation: incarnation.0,
        window,
        counts: counts.iter().map(|(team, count)| (team.to_string(), *count)).collect(),
    });
    let demands = state.demand.borrow_mut().rates(now);
    let demands = demands.into_iter().map(|(service, demand)| ServiceDemand {
        service: service.to_string(),
        prefill_tokens_per_s: demand.prefill as u64,
        output_tokens_per_s: demand.output as u64,
    });
    let told = state.news.borrow_mut().tell(now);
    let crashes = state.crashes.borrow();
    let crashes = crashes
        .own_sights(now)
        .map(|(print, server)| CrashSight { fingerprint: print.0, server: server.to_string() });
    HostSummary {
        host: state.life.0.to_string(),
        incarnation: state.life.1.0,
        sequence,
        address: settings.summaries.to_string(),
        teams: teams.collect(),
        servers: servers.collect(),
        windows: windows.collect(),
        demands: demands.collect(),
        crashes: crashes.take(MAX_TOLD_CRASHES).collect(),
        config_version: state.config.borrow().current().map_or(0, |config| config.version),
        wall_ms: 0,
        zone: settings.zone.to_string(),
        pass_on: false,
        directory_age_ms: directory.read_age(now).map_or(0, |age| age.as_millis() as u64 + 1),
        changes: told.changes,
        changes_count: told.count,
    }
}
