//! Runs the membership table in the process: ticks it, sends its messages over the peer link and
//! publishes its view.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::mpsc;
use std::thread::JoinHandle;

use tokio::runtime::Handle;

use crate::host_list::HostEntry;
use crate::host_list::HostRole;
use crate::ids::LogOffset;
use crate::member_config::MembershipConfig;
use crate::member_event::ListedHost;
use crate::member_event::MemberAction;
use crate::member_event::MemberEvent;
use crate::member_event::PeerConnection;
use crate::member_record::MemberRecord;
use crate::member_section::SectionKind;
use crate::member_snapshot::MemberSnapshot;
use crate::membership::MemberCounters;
use crate::membership::MembershipTable;
use crate::peer_client::PeerClient;
use crate::peer_client::PeerTimeouts;
use crate::peer_link::ClusterSecret;
use crate::peer_link::PeerError;
use crate::peer_link::PeerHandler;
use crate::peer_link::RefusalCounter;
use crate::peer_link::Result;
use crate::peer_message::MessageBody;
use crate::peer_message::PeerMessage;
use crate::peer_server::PeerServer;
use crate::timestamp::ProcessClock;

/// Ticks between two publications of the view when only payloads may have changed.
const TICKS_PER_REFRESH: u32 = 5;

/// Settings of the membership service.
pub struct MembershipSettings {
    /// The local host. Its incarnation identifies the process and must be larger than that of any
    /// earlier process with this host id, for example its start in milliseconds since the Unix
    /// epoch. Its address must be reachable for peers.
    pub local: MemberRecord,
    /// Listening socket of the peer link.
    pub listener: TcpListener,
    /// Addresses of peer links to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all entry hosts.
    pub secret: ClusterSecret,
    /// Timeouts, rate limits and size limits of membership.
    pub config: MembershipConfig,
    /// Timeouts of calls to peers.
    pub timeouts: PeerTimeouts,
    /// Seed of the random number generator.
    pub seed: u64,
}

struct ServiceState {
    clock: ProcessClock,
    table: Mutex<MembershipTable>,
    snapshot: Mutex<Arc<MemberSnapshot>>,
    superseded: Mutex<bool>,
    client: PeerClient,
}

/// Runs the membership of the local host.
pub struct MembershipService {
    state: Arc<ServiceState>,
    server: PeerServer,
    ticker: Option<(mpsc::Sender<()>, JoinHandle<()>)>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MembershipService {
    /// Starts the peer server and the ticker.
    pub fn start(
        settings: MembershipSettings,
        handler: Arc<dyn PeerHandler>,
        runtime: &Handle,
    ) -> Result<Self> {
        let MembershipSettings { local, listener, seeds, secret, config, timeouts, seed } =
            settings;
        let clock = ProcessClock::start();
        let now = clock.now();
        let table = MembershipTable::new(now, config, local, seeds, seed);
        let state = Arc::new(ServiceState {
            clock,
            snapshot: Mutex::new(Arc::new(table.snapshot(now))),
            table: Mutex::new(table),
            superseded: Mutex::new(false),
            client: PeerClient::new(runtime.clone(), secret.clone(), timeouts),
        });
        let served = state.clone();
        let exchange = Arc::new(move |message| served.answer(message));
        let failed = |error: std::io::Error| PeerError::Listen(error.to_string());
        let server =
            PeerServer::serve(runtime, listener, secret, exchange, handler).map_err(failed)?;
        let ticker = Some(start_ticker(state.clone(), config).map_err(failed)?);
        Ok(Self { state, server, ticker })
    }

    /// Returns the latest view.
    pub fn snapshot(&self) -> Arc<MemberSnapshot> {
        lock(&self.state.snapshot).clone()
    }

    /// Returns a client for calls to peers.
    pub fn client(&self) -> PeerClient {
        self.state.client.clone()
    }

    /// Returns the address that the peer link listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters of refused messages.
    pub fn refusals(&self) -> &RefusalCounter {
        self.server.refusals()
    }

    /// Returns the counters of the membership table.
    pub fn counters(&self) -> MemberCounters {
        lock(&self.state.table).counters()
    }

    /// Returns whether a newer process with this host id is in the fleet, so that this one must shut
    /// down.
    pub fn is_superseded(&self) -> bool {
        *lock(&self.state.superseded)
    }

    /// Publishes a payload of another module, which replaces the previous one of its kind.
    pub fn publish(&self, kind: SectionKind, payload: Vec<u8>) {
        self.state.handle(MemberEvent::Publish(kind, payload));
    }

    /// Publishes the offset up to which the local host knows the configuration.
    pub fn set_config_offset(&self, offset: LogOffset) {
        self.state.handle(MemberEvent::ConfigOffset(offset));
    }

    /// Sets the load of the local host for zone summaries, in percent of its capacity.
    pub fn set_load(&self, percent: u8) {
        self.state.handle(MemberEvent::LocalLoad(percent));
    }

    /// Merges the platform's host list. Backend servers and invalid addresses are skipped.
    ///
    /// The listed address of an entry host is the address of its peer link.
    pub fn set_host_list(&self, hosts: &[HostEntry]) {
        let listed = hosts
            .iter()
            .filter(|entry| entry.duty == HostRole::Entry)
            .filter_map(|entry| {
                let address = entry.address.parse().ok()?;
                Some(ListedHost { host: entry.host.clone(), address, state: entry.state })
            })
            .collect();
        self.state.handle(MemberEvent::HostList(listed));
    }

    /// Announces that the local host is leaving. It still answers its peers.
    pub fn leave(&self) {
        self.state.handle(MemberEvent::Leave);
    }

    /// Announces that the local host has left, and stops.
    pub fn stop(mut self) {
        self.state.handle(MemberEvent::Left);
        self.stop_ticker();
    }

    fn stop_ticker(&mut self) {
        if let Some((stop, thread)) = self.ticker.take() {
            drop(stop);
            if thread.join().is_err() {
                log::error!("event=member_ticker_panicked");
            }
        }
    }
}

impl Drop for MembershipService {
    fn drop(&mut self) {
        self.stop_ticker();
    }
}

fn start_ticker(
    state: Arc<ServiceState>,
    config: MembershipConfig,
) -> std::io::Result<(mpsc::Sender<()>, JoinHandle<()>)> {
    let (stop, stopped) = mpsc::channel();
    let thread = std::thread::Builder::new().name("member-ticker".to_owned()).spawn(move || {
        let mut ticks = 0;
        while let Err(mpsc::RecvTimeoutError::Timeout) = stopped.recv_timeout(config.tick) {
            state.handle(MemberEvent::Tick);
            ticks += 1;
            if ticks % TICKS_PER_REFRESH == 0 {
                state.publish_view(&lock(&state.table));
            }
        }
    })?;
    Ok((stop, thread))
}

impl ServiceState {
    /// Returns the reply to a peer's message.
    fn answer(self: &Arc<Self>, message: PeerMessage) -> PeerMessage {
        let reply = self.handle(MemberEvent::Request(message));
        reply.unwrap_or_else(|| lock(&self.table).compose(None, MessageBody::Ack))
    }

    /// Handles an event, and returns the reply if it is a request.
    ///
    /// The table stays locked until all actions are performed, so that a retired connection is
    /// never used again. None of the actions blocks.
    fn handle(self: &Arc<Self>, event: MemberEvent) -> Option<PeerMessage> {
        let mut table = lock(&self.table);
        let actions = table.on_event(self.clock.now(), event);
        let mut reply = None;
        let mut is_changed = false;
        for action in actions {
            match action {
                MemberAction::Send(connection, message) => self.send(connection, &message),
                MemberAction::Reply(message) => reply = Some(message),
                MemberAction::OpenConnection(connection) => {
                    log::info!("event=peer_connection_silent peer={}", connection.address);
                }
                MemberAction::RetireConnection(connection) => {
                    self.client.close_connection(connection)
                }
                MemberAction::PublishView => is_changed = true,
                MemberAction::Superseded(incarnation) => {
                    log::error!("event=member_superseded incarnation={}", incarnation.0);
                    *lock(&self.superseded) = true;
                }
            }
        }
        if is_changed {
            self.publish_view(&table);
        }
        reply
    }

    /// Sends a message. The callback holds a weak reference, so that a call in flight does not
    /// keep a stopped service alive.
    fn send(self: &Arc<Self>, connection: PeerConnection, message: &PeerMessage) {
        let service: Weak<Self> = Arc::downgrade(self);
        self.client.exchange(connection, message, move |reply| {
            let Some(state) = service.upgrade() else { return };
            let event = match reply {
                Ok(message) => MemberEvent::Reply(connection, message),
                Err(error) => {
                    log::debug!("event=peer_silent peer={} error={error}", connection.address);
                    MemberEvent::SendFailed(connection)
                }
            };
            state.handle(event);
        });
    }

    fn publish_view(&self, table: &MembershipTable) {
        let view = table.snapshot(self.clock.now());
        *lock(&self.snapshot) = Arc::new(view);
    }
}
