//! Finds out whether the process of a server that lost attempts still runs.
//!
//! A crash closes all connections of a server at once. The first attempt that is lost opens a new
//! connection, and those that are lost beside it wait for the same outcome.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::timeout;

use crate::ids::ServerId;
use crate::timestamp::Timestamp;

/// Time for the connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a new connection must stay open. The listener of a process that is just ending may
/// accept one more.
const STAY_TIME: Duration = Duration::from_millis(20);

/// Time after which the address of a process that has closed its connections refuses new ones, if it is ending.
pub const MAX_ENDING_TIME: Duration = Duration::from_millis(500);

/// Time for which an outcome holds for further attempts that are lost at the same server.
const OUTCOME_TTL: Duration = Duration::from_millis(250);

/// Number of connections that are tried while they are closed at once.
const MAX_CONNECTIONS: usize = 3;

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The server accepts connections.
    Serves,
    /// Its host refuses connections: the process is gone.
    Refused,
    /// There was no response, or connections are closed at once.
    Unknown,
}

#[derive(Clone, Debug)]
struct PendingProbe {
    begun_at: Timestamp,
    outcome: Rc<OnceCell<ProbeOutcome>>,
}

/// Servers that will be probed once more.
type RecheckedServers = Rc<RefCell<BTreeSet<ServerId>>>;

/// The probes of one process.
#[derive(Debug, Default)]
pub struct ProcessProbes {
    probes: RefCell<BTreeMap<ServerId, PendingProbe>>,
    rechecked: RecheckedServers,
}

/// A second probe of a server, until it is dropped.
#[derive(Debug)]
pub struct ProcessRecheck {
    rechecked: RecheckedServers,
    server: ServerId,
}

impl Drop for ProcessRecheck {
    fn drop(&mut self) {
        self.rechecked.borrow_mut().remove(&self.server);
    }
}

impl ProcessProbes {
    /// Returns whether a server accepts connections, as `probing` finds out or found out a moment ago.
    pub async fn probe(
        &self,
        now: Timestamp,
        server: &ServerId,
        probing: impl Future<Output = ProbeOutcome>,
    ) -> ProbeOutcome {
        let outcome = {
            let mut probes = self.probes.borrow_mut();
            probes.retain(|_, probe| now.since(probe.begun_at) < OUTCOME_TTL);
            let probe = probes
                .entry(server.clone())
                .or_insert_with(|| PendingProbe { begun_at: now, outcome: Rc::default() });
            probe.outcome.clone()
        };
        *outcome.get_or_init(|| probing).await
    }

    /// Begins a second probe of a server, unless one is under way.
    pub fn begin_recheck(&self, server: &ServerId) -> Option<ProcessRecheck> {
        let is_new = self.rechecked.borrow_mut().insert(server.clone());
        is_new.then(|| ProcessRecheck { rechecked: self.rechecked.clone(), server: server.clone() })
    }
}

/// Returns whether connections to an address stay open.
pub async fn probe_address(address: SocketAddr) -> ProbeOutcome {
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return ProbeOutcome::Refused;
            }
            Ok(Err(_)) | Err(_) => return ProbeOutcome::Unknown,
        };
        if timeout(STAY_TIME, stream.read(&mut [0])).await.is_err() {
            return ProbeOutcome::Serves;
        }
    }
    ProbeOutcome::Unknown
}
