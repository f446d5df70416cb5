//! HTTP client of the platform's host list.

use std::net::SocketAddr;

use crate::host_list::HostEntry;
use crate::host_list::HostList;
use crate::host_list::HostListError;
use crate::host_list::Result;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientLimits;

/// A client of the host list at one address.
pub struct HostListClient {
    http: HttpClient,
}

impl HostListClient {
    /// Returns a client; connections are opened on first use.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { http: HttpClient::new(address, limits) }
    }

    /// Closes idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.http.retire_connections();
    }
}

impl HostList for HostListClient {
    fn hosts(&self) -> Result<Vec<HostEntry>> {
        let response = self.http.get("/hosts").map_err(|e| HostListError(e.to_string()))?;
        if response.status != 200 {
            return Err(HostListError(response.summary()));
        }
        response.json().map_err(|e| HostListError(e.to_string()))
    }
}
