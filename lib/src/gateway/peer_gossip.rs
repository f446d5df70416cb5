//! Tells the other hosts what this one has running, spent and counted, and hears the same of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;

use crate::gateway::crash_watch::WorkPrint;
use crate::gateway::directory_news::decode_change;
use crate::gateway::directory_news::is_gap;
use crate::gateway::edges::ControlStore;
use crate::gateway::edges::HostCard;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::placement::PeerLoad;
use crate::gateway::store_follower;
use crate::gateway::store_follower::DependencyWatch;
use crate::gateway::store_follower::RetryPause;
use crate::gateway::usage_ledger::TeamCounts;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::TeamName;
use crate::protos::gateway::CrashSight;
use crate::protos::gateway::HostSummary;
use crate::protos::gateway::ServerUse;
use crate::protos::gateway::ServiceDemand;
use crate::protos::gateway::TeamUse;
use crate::protos::gateway::WindowUse;
use crate::timestamp::wall_clock_ms;

/// Time between two summaries if nothing is urgent: load that is older misleads placement.
const SUMMARY_PERIOD: Duration = Duration::from_millis(400);

/// Least time between two summaries, for a host of a small fleet.
const LEAST_SUMMARY_PERIOD: Duration = Duration::from_millis(40);

/// Datagrams that a host sends in a second at most: a small fleet's at the least period, and a
/// tenth of the slowest hosts' links with summaries of half a kilobyte.
const MAX_DATAGRAMS_PER_S: u32 = 200;

/// Time between two reads of the hosts' cards while no peer is heard.
const LONELY_CARD_PERIOD: Duration = Duration::from_secs(3);

/// Time between two reads of the hosts' cards while peers are heard.
const CARD_PERIOD: Duration = Duration::from_secs(30);

/// Least time between two records of spending.
const LEAST_RECORD_PERIOD: Duration = Duration::from_millis(250);

/// Crash suspicions in one summary, at most: those of a zone of servers that crashed.
const MAX_TOLD_CRASHES: usize = 64;

/// Bytes of a summary, at most: what one datagram holds without being split up at most links.
const MAX_SUMMARY_BYTES: usize = 8 * 1024;

/// Publishes this host's card and reads those of the others.
pub async fn exchange_cards<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let settings = state.settings.borrow().clone();
    let card = HostCard { host: settings.host.clone(), address: settings.summaries };
    let mut pause = RetryPause::default();
    let mut watch = DependencyWatch::new("publish_card");
    loop {
        let outcome = store.publish_card(&card).await;
        watch.record(&state, &outcome);
        if outcome.is_ok() {
            break;
        }
        pause.wait().await;
    }
    let mut watch = DependencyWatch::new("list_cards");
    loop {
        let outcome = store.list_cards().await;
        watch.record(&state, &outcome);
        let now = state.now();
        if let Ok(cards) = outcome {
            for card in cards {
                state.peers.borrow_mut().on_card(now, card.host, card.address);
            }
            // The others answer a host that is new to them at once.
            state.summary_hint.notify_one();
        }
        let heard = state.peers.borrow().heard(now);
        let period = if heard == 0 { LONELY_CARD_PERIOD } else { CARD_PERIOD };
        tokio::time::sleep(period).await;
    }
}

/// Sends a summary to every known host, again and again.
pub async fn send_summaries(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut least = LEAST_SUMMARY_PERIOD;
    loop {
        // Hints that come in the meantime are answered together.
        tokio::time::sleep(least).await;
        let rest = SUMMARY_PERIOD.saturating_sub(least);
        tokio::select! {
            () = tokio::time::sleep(rest) => {}
            () = state.summary_hint.notified() => {}
        }
        expire_old(&state);
        sequence += 1;
        let targets = state.peers.borrow().targets(state.now(), sequence);
        let mut summary = build_summary(&state, sequence);
        let sent = send_to(&socket, &summary, targets.direct.iter().copied());
        summary.pass_on = true;
        let relayed = send_to(&socket, &summary, targets.relays.iter().copied());
        // Every summary that goes to relays costs as many datagrams again at their hands.
        let datagrams = sent + relayed * (sent + 1);
        let period = Duration::from_secs(1) * datagrams / MAX_DATAGRAMS_PER_S;
        least = period.clamp(LEAST_SUMMARY_PERIOD, SUMMARY_PERIOD);
    }
}

/// Sends a summary to some hosts; returns to how many.
fn send_to(
    socket: &UdpSocket,
    summary: &HostSummary,
    targets: impl Iterator<Item = SocketAddr>,
) -> u32 {
    let bytes = summary.encode_to_vec();
    if bytes.len() > MAX_SUMMARY_BYTES {
        log::warn!("event=summary_too_large bytes={}", bytes.len());
    }
    let mut count = 0;
    for target in targets {
        count += 1;
        if let Err(error) = socket.try_send_to(&bytes, target) {
            // A summary that is lost is made up for by the next.
            log::debug!("event=summary_not_sent target={target} detail=\"{error}\"");
        }
    }
    count
}

/// Takes in the summaries of others.
pub async fn receive_summaries(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_SUMMARY_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!("event=summary_not_received detail=\"{error}\"");
                tokio::time::sleep(SUMMARY_PERIOD).await;
                continue;
            }
        };
        match HostSummary::decode(&buffer[..length]) {
            Ok(mut summary) => {
                if std::mem::take(&mut summary.pass_on) {
                    send_to(&socket, &summary, state.peers.borrow().neighbours());
                }
                take_in(&state, summary);
            }
            Err(error) => {
                state.metrics.events.with_label_values(&["summary_skipped"]).inc();
                log::warn!("event=summary_skipped code=601 detail=\"{error}\"");
            }
        }
    }
}

fn expire_old(state: &GatewayState) {
    let now = state.now();
    let window = state.settings.borrow().quotas.window;
    state.peers.borrow_mut().expire(now, window);
    state.ledger.borrow_mut().expire(wall_clock_ms());
    state.crashes.borrow_mut().expire(now);
    state.pool.expire();
    apply_peers(state);
    let running = i64::try_from(state.running.get()).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&["running_requests"]).set(running);
}

/// Hands what the peers told over to placement and quotas.
fn apply_peers(state: &GatewayState) {
    let now = state.now();
    let peers = state.peers.borrow();
    state.quotas.borrow_mut().set_peers(peers.spending());
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

fn take_in(state: &GatewayState, mut summary: HostSummary) {
    let windows: Vec<WindowUse> = summary.windows.clone();
    let crashes: Vec<CrashSight> = summary.crashes.clone();
    let changes = std::mem::take(&mut summary.changes);
    let known_count = state.peers.borrow().changes_count(&summary);
    let is_gap = is_gap(known_count, summary.changes_count, changes.len());
    let directory_age = summary.directory_age_ms.checked_sub(1).map(Duration::from_millis);
    let now = state.now();
    let known = state.peers.borrow().heard(now);
    let version = state.config.borrow().current().map_or(0, |config| config.version);
    if summary.config_version > version && version > 0 {
        state.config_hint.notify_one();
    }
    if state.peers.borrow_mut().on_summary(now, summary).is_none() {
        return;
    }
    state.quotas.borrow_mut().set_peers(state.peers.borrow().spending());
    let heard = state.peers.borrow().heard(now);
    if heard != known {
        log::info!("event=peers_changed heard={heard}");
        state.summary_hint.notify_one();
    }
    if is_gap {
        state.directory_hint.set(true);
    }
    if let Some(age) = directory_age {
        state.directory.borrow_mut().on_peer_read(now, now - age);
    }
    for told in changes {
        match decode_change(&told) {
            Some((offset, change)) => {
                store_follower::apply_change(state, offset, change);
            }
            None => log::warn!("event=server_change_skipped code=404 offset={}", told.offset),
        }
    }
    for sight in crashes {
        let Ok(server) = ServerId::try_from(sight.server) else {
            log::warn!("event=crash_sight_skipped code=404");
            continue;
        };
        state.crashes.borrow_mut().on_sight(now, WorkPrint(sight.fingerprint), server);
    }
    let mut ledger = state.ledger.borrow_mut();
    for window in windows {
        let Ok(host) = HostId::try_from(window.host.as_str()) else {
            log::warn!("event=usage_window_skipped code=404");
            continue;
        };
        let life = (host, Incarnation(window.incarnation));
        if life == state.life {
            continue;
        }
        let counts: TeamCounts = window
            .counts
            .iter()
            .filter_map(|(team, count)| Some((TeamName::try_from(team.as_str()).ok()?, *count)))
            .collect();
        ledger.on_told(life, window.window, counts);
    }
}

/// Takes in what was spent before this host's start, then records its own spending when it is
/// asked to.
pub async fn record_spending<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut pause = RetryPause::default();
    let mut watch = DependencyWatch::new("list_spending");
    loop {
        let outcome = store.list_spending().await;
        watch.record(&state, &outcome);
        if let Ok(records) = outcome {
            take_in_records(&state, &records);
            break;
        }
        // Serving with every quota taken for spent is better than not serving at all.
        state.spending_known.set(true);
        pause.wait().await;
    }
    let mut watch = DependencyWatch::new("record_spending");
    loop {
        state.record_hint.notified().await;
        let record = build_record(&state).encode_to_vec();
        let outcome = store.record_spending(record).await;
        // A lost record is made up for by the next one.
        watch.record(&state, &outcome);
        tokio::time::sleep(LEAST_RECORD_PERIOD).await;
    }
}

fn take_in_records(state: &GatewayState, records: &[Vec<u8>]) {
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

fn build_record(state: &GatewayState) -> HostSummary {
    let teams = state.quotas.borrow_mut().record_spending(state.now());
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
        ..HostSummary::default()
    }
}

fn build_summary(state: &GatewayState, sequence: u64) -> HostSummary {
    let now = state.now();
    let settings = state.settings.borrow();
    let teams = state.quotas.borrow_mut().tell_spending(now);
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
