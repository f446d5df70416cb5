//! Reaches the platform's host list over HTTP.

use std::net::SocketAddr;

use crate::host_list::HostEntry;
use crate::host_list::HostList;
use crate::host_list::HostListError;
use crate::host_list::Result;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientLimits;

/// The host list at one address.
pub struct HostListClient {
    http: HttpClient,
}

impl HostListClient {
    /// Builds a client; no connection is opened yet.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { http: HttpClient::new(address, limits) }
    }

    /// Drops idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.http.retire_connections();
    }
}

impl HostList for HostListClient {
    fn hosts(&self) -> Result<Vec<HostEntry>> {
        let answer = self.http.get("/hosts").map_err(|e| HostListError(e.to_string()))?;
        if answer.status != 200 {
            return Err(HostListError(answer.summary()));
        }
        answer.json().map_err(|e| HostListError(e.to_string()))
    }
}
