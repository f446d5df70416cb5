//! Tells the other hosts what this one has running, spent and counted, and hears the same of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;

use crate::gateway::edges::ControlStore;
use crate::gateway::edges::HostCard;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::host_summary;
use crate::gateway::peer_table::RecordScope;
use crate::gateway::store_follower::DependencyWatch;
use crate::gateway::store_follower::RetryPause;
use crate::protos::gateway::HostSummary;
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

/// Time between two looks at whether the spending of a zone must be recorded: with the summaries'
/// period, what goes unrecorded when all hosts are lost is that of less than a second.
const ZONE_RECORD_PERIOD: Duration = Duration::from_millis(400);

/// Time between two looks at whether a fleet has become large.
const SCOPE_PERIOD: Duration = Duration::from_secs(5);

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
        let mut summary = host_summary::build_summary(&state, sequence);
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
                host_summary::take_in(&state, summary);
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
    host_summary::apply_peers(state);
    let running = i64::try_from(state.running.get()).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&["running_requests"]).set(running);
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
            host_summary::take_in_records(&state, &records);
            break;
        }
        // Serving with every quota taken for spent is better than not serving at all.
        state.spending_known.set(true);
        pause.wait().await;
    }
    let mut watch = DependencyWatch::new("record_spending");
    loop {
        let scope = state.peers.borrow().record_scope(state.now());
        let period = match scope {
            RecordScope::Own => SCOPE_PERIOD,
            RecordScope::Zone | RecordScope::Nothing => ZONE_RECORD_PERIOD,
        };
        let hinted = tokio::time::timeout(period, state.record_hint.notified()).await.is_ok();
        let must_record = match scope {
            RecordScope::Own => hinted,
            RecordScope::Zone => host_summary::exceeds_record_threshold(&state),
            RecordScope::Nothing => false,
        };
        if !must_record {
            continue;
        }
        let record = host_summary::build_record(&state, scope).encode_to_vec();
        let outcome = store.record_spending(record).await;
        // A lost record is made up for by the next one.
        watch.record(&state, &outcome);
        tokio::time::sleep(LEAST_RECORD_PERIOD).await;
    }
}
