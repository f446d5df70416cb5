//! Client of the administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Context as _;
use pomelostack_lib::protos::admin::ListResourcesReply;
use pomelostack_lib::protos::admin::ListResourcesRequest;
use pomelostack_lib::protos::admin::admin_client::AdminClient;
use tonic::Request;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::exit::CallError;
use super::exit::Result;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of one call; longer than an entry host waits to read a change back from the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between keepalive pings on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// Time to wait for the reply to a keepalive ping before the connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client that sends an operator's token with every call.
pub struct AdminCaller {
    /// Generated gRPC client.
    pub client: AdminClient<Channel>,
    authorization: MetadataValue<Ascii>,
}

impl AdminCaller {
    /// Connects to an entry host.
    pub async fn connect(address: SocketAddr, token: String) -> Result<Self> {
        let authorization = MetadataValue::try_from(format!("Bearer {token}"))
            .context("the token contains characters that are not allowed in a header")
            .map_err(CallError::Usage)?;
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(CallError::Connect)?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_TIMEOUT);
        let channel = endpoint.connect().await.map_err(CallError::Connect)?;
        Ok(Self { client: AdminClient::new(channel), authorization })
    }

    /// Builds a request with a timeout, for a call with a single reply.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = self.stream_request(message);
        request.set_timeout(CALL_TIMEOUT);
        request
    }

    /// Builds a request without a timeout, for a streaming call that the caller ends.
    pub fn stream_request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert("authorization", self.authorization.clone());
        request
    }

    /// Returns the whole configuration.
    pub async fn list_all(&mut self) -> Result<ListResourcesReply> {
        let request = self.request(ListResourcesRequest::default());
        Ok(self.client.list_resources(request).await?.into_inner())
    }
}

/// Reads a file named on the command line.
pub fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .with_context(|| format!("cannot read {}", path.display()))
        .map_err(CallError::Usage)
}
