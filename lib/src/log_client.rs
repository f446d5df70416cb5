//! HTTP client of the platform's log; responses to reads carry record data as base64.

use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

use crate::http_client::HttpClient;
use crate::http_client::HttpClientLimits;
use crate::http_client::HttpError;
use crate::http_client::HttpResponse;
use crate::ids::LogOffset;
use crate::log_service::LogError;
use crate::log_service::LogRecord;
use crate::log_service::LogService;
use crate::log_service::LogSlice;
use crate::log_service::LogStream;
use crate::log_service::MAX_RECORD_BYTES;
use crate::log_service::Result;

/// Response body of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the record.
    pub offset: LogOffset,
}

/// Response body with status 410: the requested records are past their retention.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredResponse {
    /// Oldest offset that is still readable.
    pub first: LogOffset,
}

/// A record on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Time of the append, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// Record data, as base64.
    pub data: String,
}

/// A range of a stream on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSlice {
    /// Oldest readable offset.
    pub first: LogOffset,
    /// Offset of the next append.
    pub end: LogOffset,
    /// The log's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Records in offset order.
    pub records: Vec<WireRecord>,
}

impl From<&LogSlice> for WireSlice {
    fn from(slice: &LogSlice) -> Self {
        let records = slice.records.iter().map(|record| WireRecord {
            offset: record.offset,
            appended_ms: record.appended_ms,
            data: STANDARD.encode(&record.data),
        });
        let records = records.collect();
        Self { first: slice.first, end: slice.end, now_ms: slice.now_ms, records }
    }
}

impl TryFrom<WireSlice> for LogSlice {
    type Error = LogError;

    fn try_from(wire: WireSlice) -> Result<Self> {
        let decode = |record: WireRecord| {
            let data = STANDARD.decode(&record.data).map_err(|e| malformed(&e.to_string()))?;
            Ok(LogRecord { offset: record.offset, appended_ms: record.appended_ms, data })
        };
        let records = wire.records.into_iter().map(decode).collect::<Result<Vec<_>>>()?;
        Ok(Self { first: wire.first, end: wire.end, now_ms: wire.now_ms, records })
    }
}

/// Client of the log at one address.
pub struct LogClient {
    http: HttpClient,
}

impl LogClient {
    /// Builds a client; no connection is opened yet.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { http: HttpClient::new(address, limits) }
    }

    /// Drops idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.http.retire_connections();
    }
}

impl LogService for LogClient {
    fn append(&self, stream: LogStream, data: &[u8]) -> Result<LogOffset> {
        if data.len() > MAX_RECORD_BYTES {
            return Err(LogError::Refused(format!("record exceeds {MAX_RECORD_BYTES} bytes")));
        }
        let path = format!("/streams/{}/records", stream.name());
        let response = self.http.call(&self.http.pooled_call("POST", &path, &[], data));
        match response.map_err(append_error)? {
            response if response.status == 200 => {
                // The append took effect, so a malformed response must not count as a refusal.
                let parsed = response.json::<AppendResponse>();
                parsed.map(|found| found.offset).map_err(append_error)
            }
            response if is_refusal(response.status) => Err(LogError::Refused(response.summary())),
            response => Err(LogError::OutcomeUnknown(response.summary())),
        }
    }

    fn read(&self, stream: LogStream, from: LogOffset, max: usize) -> Result<LogSlice> {
        let path = format!("/streams/{}/records?from={}&max={max}", stream.name(), from.0);
        let response = self.http.get(&path).map_err(read_error)?;
        let slice = match response.status {
            200 => LogSlice::try_from(response.json::<WireSlice>().map_err(read_error)?)?,
            410 => return Err(expired(&response)),
            _ => return Err(LogError::Refused(response.summary())),
        };
        check_contiguous(&slice, from)?;
        Ok(slice)
    }
}

/// Returns whether the status of an append guarantees that nothing was appended.
fn is_refusal(status: u16) -> bool {
    matches!(status, 400 | 404 | 413 | 429 | 503)
}

fn append_error(error: HttpError) -> LogError {
    match error {
        HttpError::NotConnected(reason) => LogError::Refused(reason),
        other => LogError::OutcomeUnknown(other.to_string()),
    }
}

/// Converts the error of a read, which has no effect and so never an unknown outcome.
fn read_error(error: HttpError) -> LogError {
    match error {
        HttpError::Malformed(reason) => LogError::Malformed(reason),
        HttpError::TooLarge(_) => LogError::Malformed(error.to_string()),
        other => LogError::Refused(other.to_string()),
    }
}

fn expired(response: &HttpResponse) -> LogError {
    match response.json::<ExpiredResponse>() {
        Ok(found) => LogError::Expired(found.first),
        Err(error) => read_error(error),
    }
}

/// Refuses records whose offsets are not contiguous from `from` on: the log has no gaps, so such a
/// response is malformed and no record is missing.
fn check_contiguous(slice: &LogSlice, from: LogOffset) -> Result<()> {
    let mut expected = from;
    for record in &slice.records {
        if record.offset != expected {
            return Err(malformed(&format!("offset {:?} in place of {expected:?}", record.offset)));
        }
        expected = expected.next();
    }
    if !slice.records.is_empty() && expected > slice.end {
        return Err(malformed("records extend past the end"));
    }
    Ok(())
}

fn malformed(reason: &str) -> LogError {
    LogError::Malformed(reason.to_owned())
}
