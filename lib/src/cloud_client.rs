//! HTTP client of the cloud API.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cloud::CloudApi;
use crate::cloud::CloudError;
use crate::cloud::HostOrder;
use crate::cloud::HostPrice;
use crate::cloud::ReclaimNotice;
use crate::cloud::Result;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientLimits;
use crate::http_client::HttpError;
use crate::http_client::HttpResponse;
use crate::ids::FencingToken;
use crate::ids::HostId;

/// Request body of `POST /hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHostRequest {
    /// Host to start.
    pub order: HostOrder,
    /// Fencing token of the lease holder that makes the call.
    pub fence: Option<FencingToken>,
}

/// Request body of `POST /hosts/stop`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopHostRequest {
    /// Host to stop.
    pub host: HostId,
    /// Fencing token of the lease holder that makes the call.
    pub fence: Option<FencingToken>,
}

/// Response body of `POST /hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHostResponse {
    /// Host that is starting or has started for the order.
    pub host: HostId,
}

/// Body of a 409 response: the cloud has seen a newer fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedResponse {
    /// Largest fencing token seen.
    pub fence: FencingToken,
}

/// A client of the cloud API at one address.
pub struct CloudClient {
    http: HttpClient,
}

impl CloudClient {
    /// Returns a client; connections are opened on first use.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { http: HttpClient::new(address, limits) }
    }

    /// Closes idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.http.retire_connections();
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let response = expect_ok(self.http.get(path).map_err(failed)?)?;
        response.json().map_err(failed)
    }

    fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<HttpResponse> {
        expect_ok(self.http.post_json(path, value).map_err(failed)?)
    }
}

impl CloudApi for CloudClient {
    fn start_host(&self, order: &HostOrder, fence: Option<FencingToken>) -> Result<HostId> {
        let response = self.post("/hosts", &StartHostRequest { order: order.clone(), fence })?;
        response.json::<StartHostResponse>().map(|started| started.host).map_err(failed)
    }

    fn stop_host(&self, host: &HostId, fence: Option<FencingToken>) -> Result<()> {
        self.post("/hosts/stop", &StopHostRequest { host: host.clone(), fence }).map(drop)
    }

    fn prices(&self) -> Result<Vec<HostPrice>> {
        self.get("/prices")
    }

    fn notices(&self) -> Result<Vec<ReclaimNotice>> {
        self.get("/notices")
    }
}

fn failed(error: HttpError) -> CloudError {
    CloudError::OutcomeUnknown(error.to_string())
}

/// Maps error statuses to errors. The cloud reports "no capacity" as 507 (insufficient storage).
fn expect_ok(response: HttpResponse) -> Result<HttpResponse> {
    match response.status {
        200 => Ok(response),
        507 => Err(CloudError::NoCapacity(response.summary())),
        409 => match response.json::<FencedResponse>() {
            Ok(fenced) => Err(CloudError::Fenced(fenced.fence)),
            Err(error) => Err(failed(error)),
        },
        _ => Err(CloudError::OutcomeUnknown(response.summary())),
    }
}
