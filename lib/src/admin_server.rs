//! gRPC server of the administration API; runs on the caller's tokio runtime.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::admin_service::AdminService;
use crate::protos::admin::admin_server::AdminServer as TonicService;

/// Interval between keepalive pings on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// Time to wait for the reply to a keepalive ping before the connection and its watches are
/// closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum concurrent calls on one connection; further calls wait.
const MAX_CONCURRENT_CALLS: usize = 128;

/// A running server of the administration API.
pub struct AdminServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Binds the address and serves calls until [`Self::stop`].
    pub fn start(runtime: &Handle, address: SocketAddr, service: AdminService) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = {
            let _guard = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        let (stop, stopped) = oneshot::channel();
        let server = Server::builder()
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
            .concurrency_limit_per_connection(MAX_CONCURRENT_CALLS)
            .add_service(TonicService::new(service))
            .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async {
                // A dropped sender stops the server too.
                stopped.await.ok();
            });
        let task = runtime.spawn(async {
            if let Err(error) = server.await {
                log::error!("admin server failed reason=\"{error}\"");
            }
        });
        Ok(Self { address, stop: Some(stop), task })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; calls in flight continue. A watch ends when its caller
    /// disconnects or the configuration follower stops.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // An error means that the server has already ended.
            stop.send(()).ok();
        }
    }

    /// Returns whether the server has ended.
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }
}
