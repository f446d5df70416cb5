//! Gossip between hosts: sends summaries of load, spending and usage, and receives those of peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::host_summary;
use crate::gateway::peer_table::RecordScope;
use crate::gateway::platform_api::ControlStore;
use crate::gateway::platform_api::HostAddress;
use crate::gateway::quota::quota_report;
use crate::gateway::store_follower::Backoff;
use crate::gateway::store_follower::DependencyWatch;
use crate::gateway::summary_relay::SummaryRelay;
use crate::ids::StoreEra;
use crate::protos::gateway::HostSummary;
use crate::timestamp::wall_clock_ms;

/// Time between two summaries if nothing is urgent; older load misleads placement.
const SUMMARY_PERIOD: Duration = Duration::from_millis(400);

/// Minimum time between two summaries of a host in a small fleet.
const MIN_SUMMARY_PERIOD: Duration = Duration::from_millis(40);

/// Maximum time between two summaries of a host in a large fleet.
const MAX_SUMMARY_PERIOD: Duration = Duration::from_millis(600);

/// Maximum number of datagrams that a host sends per second: enough for a small fleet at the
/// minimum period, and a tenth of the slowest hosts' bandwidth at half a kilobyte per summary.
const MAX_DATAGRAMS_PER_S: u32 = 200;

/// Time between two reads of the hosts' addresses while no peer is heard from.
const ISOLATED_LIST_PERIOD: Duration = Duration::from_secs(3);

/// Time between two reads of the hosts' addresses while peers are heard from.
const LIST_PERIOD: Duration = Duration::from_secs(30);

/// Minimum time between two spending records.
const MIN_RECORD_PERIOD: Duration = Duration::from_millis(250);

/// Time between two checks whether a zone's spending must be recorded. Together with the period of
/// summaries, less than a second of spending is unrecorded if all hosts are lost.
const ZONE_RECORD_PERIOD: Duration = Duration::from_millis(400);

/// Time between two checks whether the fleet has become large.
const SCOPE_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Rate at which a relay of a large fleet forwards, in bytes per second: half of the slowest hosts'
/// bandwidth.
const FORWARD_BYTES_PER_S: f64 = 1_200_000.0;

/// Datagrams that a relay sends at once; more would overflow the queue of a slow link.
const FORWARD_BURST: usize = 4;

/// Maximum number of bundles that wait to be forwarded.
const MAX_PENDING_BUNDLES: usize = 8;

/// Maximum size of a summary: a datagram of this size is not fragmented on most links.
const MAX_SUMMARY_BYTES: usize = 8 * 1024;

/// Publishes this host's address and polls the addresses of other hosts. Publishes it again when the
/// store came back from a copy, which may not have it.
pub async fn exchange_addresses<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let settings = state.settings.borrow().clone();
    let address = HostAddress { host: settings.host.clone(), address: settings.summaries };
    let mut publish_watch = DependencyWatch::new("publish_card");
    let mut list_watch = DependencyWatch::new("list_cards");
    loop {
        let era = publish_address(&state, &*store, &address, &mut publish_watch).await;
        state.observe_era(era);
        tokio::select! {
            () = poll_addresses(&state, &*store, &mut list_watch) => {}
            () = state.store_era.wait_for_restore(Some(era)) => {}
        }
    }
}

/// Publishes this host's address until that succeeds. Returns the store's era.
async fn publish_address<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    address: &HostAddress,
    watch: &mut DependencyWatch,
) -> StoreEra {
    let mut pause = Backoff::default();
    loop {
        let outcome = store.publish_address(address).await;
        watch.record(state, &outcome);
        if let Ok(era) = outcome {
            return era;
        }
        pause.wait().await;
    }
}

async fn poll_addresses<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    watch: &mut DependencyWatch,
) {
    loop {
        let outcome = store.list_addresses().await;
        watch.record(state, &outcome);
        let now = state.now();
        if let Ok(listed) = outcome {
            state.peers.borrow_mut().on_list_read();
            for peer in listed {
                state.peers.borrow_mut().on_listed(now, peer.host, peer.address);
            }
            // Hosts respond at once to a host that is new to them.
            state.summary_hint.notify_one();
        }
        let heard = state.peers.borrow().live_peers(now);
        let period = if heard == 0 { ISOLATED_LIST_PERIOD } else { LIST_PERIOD };
        tokio::time::sleep(period).await;
    }
}

/// Sends summaries to all known hosts periodically, and sooner when hinted.
pub async fn send_summaries(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut min_period = MIN_SUMMARY_PERIOD;
    let mut max_period = SUMMARY_PERIOD;
    loop {
        // Hints that arrive during the minimum period share one summary.
        tokio::time::sleep(min_period).await;
        let rest = max_period.saturating_sub(min_period);
        tokio::select! {
            () = tokio::time::sleep(rest) => {}
            () = state.summary_hint.notified() => {}
        }
        expire_old(&state);
        sequence += 1;
        let targets = state.peers.borrow().targets(state.now(), sequence);
        let mut summary = host_summary::build_summary(&state, sequence);
        summary.period_ms = u32::try_from(max_period.as_millis()).unwrap_or(u32::MAX);
        let sent = send_to(&socket, &summary, targets.direct.iter().copied());
        summary.pass_on = true;
        let relayed = send_to(&socket, &summary, targets.relays.iter().copied());
        // Relays send each forwarded summary to as many hosts again.
        let datagrams = sent + relayed * (sent + 1);
        let period = Duration::from_secs(1) * datagrams / MAX_DATAGRAMS_PER_S;
        let is_large = state.peers.borrow().is_large_fleet();
        max_period = if is_large { MAX_SUMMARY_PERIOD } else { SUMMARY_PERIOD };
        min_period = period.clamp(MIN_SUMMARY_PERIOD, max_period);
    }
}

/// Sends a summary to the targets; returns their number.
fn send_to(
    socket: &UdpSocket,
    summary: &HostSummary,
    targets: impl Iterator<Item = SocketAddr>,
) -> u32 {
    send_bytes(socket, &summary.encode_to_vec(), targets)
}

fn send_bytes(socket: &UdpSocket, bytes: &[u8], targets: impl Iterator<Item = SocketAddr>) -> u32 {
    if bytes.len() > MAX_SUMMARY_BYTES {
        log::warn!("event=summary_too_large bytes={}", bytes.len());
    }
    let mut count = 0;
    for target in targets {
        count += 1;
        if let Err(error) = socket.try_send_to(bytes, target) {
            // The next summary replaces a lost one.
            log::debug!("event=summary_not_sent target={target} detail=\"{error}\"");
        }
    }
    count
}

/// Receives, forwards and merges the summaries of peers.
pub async fn receive_summaries(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let (sender, receiver) = mpsc::channel(MAX_PENDING_BUNDLES);
    tokio::join!(
        receive_datagrams(&state, &socket, sender),
        forward_bundles(&state, &socket, receiver),
    );
}

async fn receive_datagrams(
    state: &GatewayState,
    socket: &UdpSocket,
    forwarder: mpsc::Sender<Vec<Bytes>>,
) {
    let mut buffer = vec![0; MAX_SUMMARY_BYTES];
    let mut relay = SummaryRelay::default();
    loop {
        let due_in = relay.due_at().map(|due_at| due_at.since(state.now()));
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = tokio::time::sleep(due_in.unwrap_or_default()), if due_in.is_some() => {
                queue_bundle(&forwarder, relay.take());
                continue;
            }
        };
        match received {
            Ok((length, _)) => {
                let datagram = &buffer[..length];
                if let Some(bundle) = on_datagram(state, socket, &mut relay, datagram) {
                    queue_bundle(&forwarder, bundle);
                }
            }
            Err(error) => {
                log::debug!("event=summary_not_received detail=\"{error}\"");
                tokio::time::sleep(SUMMARY_PERIOD).await;
            }
        }
    }
}

/// Merges what a datagram carries; returns summaries to forward, if some are due.
fn on_datagram(
    state: &GatewayState,
    socket: &UdpSocket,
    relay: &mut SummaryRelay,
    datagram: &[u8],
) -> Option<Vec<Bytes>> {
    let mut summary = decode_summary(state, datagram)?;
    if !summary.forwarded.is_empty() {
        let forwarded = summary.forwarded.iter().filter_map(|bytes| decode_summary(state, bytes));
        forwarded.for_each(|summary| host_summary::on_summary(state, summary));
        return None;
    }
    let mut bundle = None;
    if std::mem::take(&mut summary.pass_on) {
        if state.peers.borrow().is_large_fleet() {
            bundle = relay.push(state.now(), Bytes::copy_from_slice(datagram));
        } else {
            send_to(socket, &summary, state.peers.borrow().zone_peers());
        }
    }
    host_summary::on_summary(state, summary);
    bundle
}

fn decode_summary(state: &GatewayState, bytes: &[u8]) -> Option<HostSummary> {
    match HostSummary::decode(bytes) {
        Ok(summary) => Some(summary),
        Err(error) => {
            state.metrics.events.with_label_values(&["summary_skipped"]).inc();
            log::warn!("event=summary_skipped code=601 detail=\"{error}\"");
            None
        }
    }
}

fn queue_bundle(forwarder: &mpsc::Sender<Vec<Bytes>>, bundle: Vec<Bytes>) {
    if let Err(error) = forwarder.try_send(bundle) {
        // The next summaries replace lost ones.
        log::debug!("event=summaries_not_forwarded detail=\"{error}\"");
    }
}

/// Forwards bundles of summaries to the other hosts of this host's availability zone, each in one
/// datagram, at a rate that leaves the link free for callers.
async fn forward_bundles(
    state: &GatewayState,
    socket: &UdpSocket,
    mut bundles: mpsc::Receiver<Vec<Bytes>>,
) {
    while let Some(bundle) = bundles.recv().await {
        let forwarded = bundle.into_iter().map(Vec::from).collect();
        let message = HostSummary { forwarded, ..HostSummary::default() }.encode_to_vec();
        let targets: Vec<SocketAddr> = state.peers.borrow().zone_peers().collect();
        for burst in targets.chunks(FORWARD_BURST) {
            send_bytes(socket, &message, burst.iter().copied());
            let bytes = message.len() * burst.len();
            tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / FORWARD_BYTES_PER_S)).await;
        }
    }
}

fn expire_old(state: &GatewayState) {
    let now = state.now();
    let window = state.settings.borrow().quotas.window;
    state.peers.borrow_mut().expire(now, window);
    state.ledger.borrow_mut().expire(wall_clock_ms());
    state.judge_crashes();
    state.pool.close_expired();
    host_summary::apply_peer_summaries(state);
    quota_report::report_quotas(state);
    state.refresh_limits();
    state.report_speeds();
    let running = i64::try_from(state.in_flight.get()).unwrap_or(i64::MAX);
    state.metrics.levels.with_label_values(&["running_requests"]).set(running);
}

/// Why spending may have to be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordCause {
    /// This host spent a further part of a quota.
    Spent,
    /// The store came back from a copy that may not have the last record.
    Restored,
    /// Time has passed.
    Elapsed,
}

/// Reads the spending recorded before this host's start, then records spending when needed.
pub async fn record_spending<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut pause = Backoff::default();
    let mut watch = DependencyWatch::new("list_spending");
    loop {
        let outcome = store.list_spending().await;
        watch.record(&state, &outcome);
        if let Ok(records) = outcome {
            host_summary::on_spending_records(&state, &records);
            break;
        }
        // Serving with every quota assumed to be spent is better than not serving at all.
        state.spending_known.set(true);
        pause.wait().await;
    }
    let mut watch = DependencyWatch::new("record_spending");
    let mut recorded_in = None;
    loop {
        let scope = state.peers.borrow().record_scope(state.now());
        let period = match scope {
            RecordScope::Own => SCOPE_CHECK_PERIOD,
            RecordScope::Zone | RecordScope::Nothing => ZONE_RECORD_PERIOD,
        };
        let cause = tokio::select! {
            () = state.record_hint.notified() => RecordCause::Spent,
            () = state.store_era.wait_for_restore(recorded_in) => RecordCause::Restored,
            () = tokio::time::sleep(period) => RecordCause::Elapsed,
        };
        let must_record = match (scope, cause) {
            (RecordScope::Nothing, _) => {
                recorded_in = None;
                false
            }
            (_, RecordCause::Restored) | (RecordScope::Own, RecordCause::Spent) => true,
            (RecordScope::Own, RecordCause::Elapsed) => false,
            (RecordScope::Zone, _) => host_summary::exceeds_record_threshold(&state),
        };
        if !must_record {
            continue;
        }
        let record = host_summary::build_record(&state, scope).encode_to_vec();
        let outcome = store.record_spending(record).await;
        // The next record replaces a lost one.
        watch.record(&state, &outcome);
        match outcome {
            Ok(era) => {
                state.observe_era(era);
                recorded_in = Some(era);
                pause.reset();
            }
            Err(_) => pause.wait().await,
        }
        tokio::time::sleep(MIN_RECORD_PERIOD).await;
    }
}
