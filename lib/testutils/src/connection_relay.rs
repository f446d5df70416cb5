//! Passes TCP connections on to a stand-in and takes faults of the network and the process.
//!
//! `tiny_http` gives no access to its sockets, so a stand-in listens on a loopback port of its own
//! and a relay in front of it holds the published address. Cutting, muting or refusing connections
//! there looks to a client as it does when the process or the network fails.

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

/// Bytes that a pump moves at a time.
const PUMP_BUFFER_BYTES: usize = 16 * 1024;
/// Tries to bind the published address again after a crash.
const MAX_REBIND_RETRIES: u32 = 100;
/// Time between two of those tries.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);
/// Time for clients to take what was sent before the relay is shut.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks at whether they have.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// One relayed connection.
struct RelayedConnection {
    client: TcpStream,
    server: TcpStream,
    silent: AtomicBool,
}

impl RelayedConnection {
    /// Ends the connection as the death of its server does: what the server sent before is still
    /// delivered.
    fn end_server(&self) {
        // An error means that the socket is closed already.
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
    /// Times that the relay was shut; a connection accepted before the last time is dropped.
    shutdowns: u64,
    /// Open connections by the address from which the stand-in sees them.
    connections: BTreeMap<SocketAddr, Arc<RelayedConnection>>,
    /// Closed connections whose clients may still have something to take.
    closing: Vec<Weak<RelayedConnection>>,
    pumps: Vec<JoinHandle<()>>,
    acceptor: Option<JoinHandle<()>>,
}

/// A relay from a published address to a stand-in.
pub struct ConnectionRelay {
    address: SocketAddr,
    target: SocketAddr,
    accepting: Arc<AtomicBool>,
    state: Mutex<RelayState>,
}

impl ConnectionRelay {
    /// Starts to relay from `address`, where port 0 picks a free one, to `target`.
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

    /// Returns whether the client of the connection that the stand-in sees as `peer` is there.
    pub fn is_open(&self, peer: SocketAddr) -> bool {
        self.lock().connections.contains_key(&peer)
    }

    /// Closes the connection that the stand-in sees as `peer`, after what it sent.
    pub fn close(&self, peer: SocketAddr) {
        let mut state = self.lock();
        if let Some(connection) = state.connections.remove(&peer) {
            connection.end_server();
            state.closing.retain(|closing| closing.strong_count() > 0);
            state.closing.push(Arc::downgrade(&connection));
        }
    }

    /// Drops whatever open connections send from now on, both ways, and leaves them open.
    pub fn silence_open(&self) {
        for connection in self.lock().connections.values() {
            connection.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes the published port and every connection.
    pub fn shut_down(&self) {
        self.accepting.store(false, Ordering::SeqCst);
        let acceptor = self.lock().acceptor.take();
        if let Some(acceptor) = acceptor {
            // Wakes the acceptor, which then drops its listener.
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

    /// Opens the published port again after [`Self::shut_down`]; an open one stays as it is.
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

    /// Leaves all further work to a thread, so that a burst of connections is accepted in time.
    fn spawn_connection(self: Arc<Self>, client: TcpStream) {
        let relay = self.clone();
        let mut state = self.lock();
        let shutdowns = state.shutdowns;
        state.pumps.retain(|pump| !pump.is_finished());
        state.pumps.push(thread::spawn(move || {
            // A connection that cannot be relayed is dropped, and its client sees it closed.
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

    /// Closes a connection one of whose ends has closed; a silent one hides that.
    fn end(&self, peer: SocketAddr, connection: &RelayedConnection) {
        if !connection.is_silent() {
            self.close(peer);
        }
    }
}

/// Moves bytes until either end closes; what a silent connection carries is dropped.
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
