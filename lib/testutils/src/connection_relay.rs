//! TCP proxy in front of a stand-in that simulates network and process faults.
//!
//! A stand-in listens on a private loopback port, and a relay in front of it on the published
//! address. To a client, connections that the relay closes, mutes or refuses look the same as those
//! of a failed process or network.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::standin_listener::listen;

/// Buffer size of a pump, in bytes.
const PUMP_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum retries of binding the published address again after a crash.
const MAX_REBIND_RETRIES: u32 = 100;
/// Time between two of those attempts.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);
/// Time for clients to receive what was already sent when the relay shuts down.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks for whether they have received it.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Relayed connection.
struct RelayedConnection {
    client: TcpStream,
    server: TcpStream,
    silent: AtomicBool,
}

impl RelayedConnection {
    /// Closes the connection as the exit of the server process does: data that the server has sent
    /// is still delivered.
    fn end_server(&self) {
        // An error means that the socket is already closed.
        let _ = self.server.shutdown(Shutdown::Both);
        let _ = self.client.shutdown(Shutdown::Read);
    }

    fn end_client(&self) {
        let _ = self.client.shutdown(Shutdown::Both);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }
}

#[derive(Default)]
struct RelayState {
    /// Number of shutdowns; a connection accepted before the latest one is dropped.
    shutdowns: u64,
    /// Open connections by the peer address that the stand-in sees.
    connections: BTreeMap<SocketAddr, Arc<RelayedConnection>>,
    /// Closed connections that may still have data to deliver to their clients.
    closing: Vec<Weak<RelayedConnection>>,
    pumps: Vec<JoinHandle<()>>,
    acceptor: Option<JoinHandle<()>>,
}

/// Relay from a published address to a stand-in.
pub struct ConnectionRelay {
    address: SocketAddr,
    target: SocketAddr,
    accepting: Arc<AtomicBool>,
    state: Mutex<RelayState>,
}

impl ConnectionRelay {
    /// Starts to relay from `address`, where port 0 picks a free port, to `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = listen(address)?;
        let relay = Arc::new(Self {
            address: listener.local_addr()?,
            target,
            accepting: Arc::new(AtomicBool::new(false)),
            state: Mutex::default(),
        });
        relay.clone().accept_on(listener);
        Ok(relay)
    }

    /// Returns the published address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection that the stand-in sees as `peer` is still open.
    pub fn is_open(&self, peer: SocketAddr) -> bool {
        self.lock().connections.contains_key(&peer)
    }

    /// Closes the connection that the stand-in sees as `peer`; data already sent is still delivered.
    pub fn close(&self, peer: SocketAddr) {
        let mut state = self.lock();
        if let Some(connection) = state.connections.remove(&peer) {
            connection.end_server();
            state.closing.retain(|closing| closing.strong_count() > 0);
            state.closing.push(Arc::downgrade(&connection));
        }
    }

    /// Drops all further data on the open connections, in both directions, but leaves them open.
    pub fn silence_open(&self) {
        for connection in self.lock().connections.values() {
            connection.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes the published port and every connection, and waits for the relay's threads.
    ///
    /// Data that the stand-in has sent is still delivered, up to a timeout.
    pub fn shut_down(&self) {
        self.accepting.store(false, Ordering::SeqCst);
        let acceptor = self.lock().acceptor.take();
        if let Some(acceptor) = acceptor {
            // Unblocks the acceptor, which then drops its listener.
            let _ = TcpStream::connect(self.address);
            let _ = acceptor.join();
        }
        let (connections, pumps) = self.take_connections();
        connections.iter().for_each(|connection| connection.end_server());
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        while !pumps.iter().all(JoinHandle::is_finished) && Instant::now() < deadline {
            thread::sleep(DELIVERY_POLL_INTERVAL);
        }
        connections.iter().for_each(|connection| connection.end_client());
        pumps.into_iter().for_each(|pump| drop(pump.join()));
    }

    fn take_connections(&self) -> (Vec<Arc<RelayedConnection>>, Vec<JoinHandle<()>>) {
        let mut state = self.lock();
        state.shutdowns += 1;
        let open = std::mem::take(&mut state.connections).into_values();
        let closing = std::mem::take(&mut state.closing);
        let connections = open.chain(closing.iter().filter_map(Weak::upgrade)).collect();
        (connections, std::mem::take(&mut state.pumps))
    }

    /// Opens the published port again after [`Self::shut_down`]; does nothing if it is open.
    ///
    /// Retries if the address cannot be bound, and fails with the last error.
    pub fn reopen(self: &Arc<Self>) -> io::Result<()> {
        if self.lock().acceptor.is_some() {
            return Ok(());
        }
        let mut retries = 0;
        let listener = loop {
            match listen(self.address) {
                Ok(listener) => break listener,
                Err(error) if retries == MAX_REBIND_RETRIES => return Err(error),
                Err(_) => thread::sleep(REBIND_INTERVAL),
            }
            retries += 1;
        };
        self.clone().accept_on(listener);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept_on(self: Arc<Self>, listener: TcpListener) {
        self.accepting.store(true, Ordering::SeqCst);
        let relay = self.clone();
        let acceptor = thread::spawn(move || {
            while let Ok((client, _)) = listener.accept() {
                if !relay.accepting.load(Ordering::SeqCst) {
                    return;
                }
                relay.clone().spawn_connection(client);
            }
        });
        self.lock().acceptor = Some(acceptor);
    }

    /// Relays a connection on a new thread, so that the acceptor keeps up with bursts.
    fn spawn_connection(self: Arc<Self>, client: TcpStream) {
        let relay = self.clone();
        let mut state = self.lock();
        let shutdowns = state.shutdowns;
        state.pumps.retain(|pump| !pump.is_finished());
        state.pumps.push(thread::spawn(move || {
            // On an error the connection is dropped, which closes it for the client.
            let _ = relay.relay(client, shutdowns);
        }));
    }

    /// Relays one connection until it ends.
    fn relay(self: Arc<Self>, client: TcpStream, shutdowns: u64) -> io::Result<()> {
        let server = TcpStream::connect(self.target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let peer = server.local_addr()?;
        let silent = AtomicBool::new(false);
        let connection = Arc::new(RelayedConnection { client, server, silent });
        {
            let mut state = self.lock();
            if state.shutdowns != shutdowns {
                return Ok(());
            }
            state.connections.insert(peer, connection.clone());
            let (relay, down) = (self.clone(), connection.clone());
            state.pumps.push(thread::spawn(move || {
                pump(&down.server, &down.client, &down.silent);
                relay.end(peer, &down);
                if !down.is_silent() {
                    down.end_client();
                }
            }));
        }
        pump(&connection.client, &connection.server, &connection.silent);
        self.end(peer, &connection);
        Ok(())
    }

    /// Closes a connection after one end has closed it; a silent connection stays open.
    fn end(&self, peer: SocketAddr, connection: &RelayedConnection) {
        if !connection.is_silent() {
            self.close(peer);
        }
    }
}

/// Copies bytes until either end closes; the data of a silent connection is dropped.
fn pump(mut from: &TcpStream, mut to: &TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; PUMP_BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer) else { return };
        if silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}
