//! Reaches the cloud API over HTTP.

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

/// Body of `POST /hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHostRequest {
    /// Host wanted.
    pub order: HostOrder,
    /// Fencing number of the holder that orders.
    pub fence: Option<FencingToken>,
}

/// Body of `POST /hosts/stop`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopHostRequest {
    /// Host to stop.
    pub host: HostId,
    /// Fencing number of the holder that orders.
    pub fence: Option<FencingToken>,
}

/// Answer to `POST /hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHostResponse {
    /// Host that starts or has started for the order.
    pub host: HostId,
}

/// Answer with status 409: a newer fencing number was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedResponse {
    /// Largest fencing number seen.
    pub fence: FencingToken,
}

/// The cloud API at one address.
pub struct CloudClient {
    http: HttpClient,
}

impl CloudClient {
    /// Builds a client; no connection is opened yet.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { http: HttpClient::new(address, limits) }
    }

    /// Drops idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.http.retire_connections();
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = expect_ok(self.http.get(path).map_err(failed)?)?;
        answer.json().map_err(failed)
    }

    fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<HttpResponse> {
        expect_ok(self.http.post_json(path, value).map_err(failed)?)
    }
}

impl CloudApi for CloudClient {
    fn start_host(&self, order: &HostOrder, fence: Option<FencingToken>) -> Result<HostId> {
        let answer = self.post("/hosts", &StartHostRequest { order: order.clone(), fence })?;
        answer.json::<StartHostResponse>().map(|started| started.host).map_err(failed)
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

/// Status 507 (insufficient storage) is the cloud's word for "no capacity".
fn expect_ok(answer: HttpResponse) -> Result<HttpResponse> {
    match answer.status {
        200 => Ok(answer),
        507 => Err(CloudError::NoCapacity(answer.summary())),
        409 => match answer.json::<FencedResponse>() {
            Ok(fenced) => Err(CloudError::Fenced(fenced.fence)),
            Err(error) => Err(failed(error)),
        },
        _ => Err(CloudError::OutcomeUnknown(answer.summary())),
    }
}
