//! Runs the administration API on a runtime that the caller provides.

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

/// Time after which a silent connection is probed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// Time after which a probed connection that stays silent is closed, with its watches.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls of one connection that run at once; further ones wait.
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

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connections; calls under way go on. Watches end when their callers or the
    /// configuration follower do.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // An error means that the server has ended already.
            stop.send(()).ok();
        }
    }

    /// Returns whether the server has ended.
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }
}
