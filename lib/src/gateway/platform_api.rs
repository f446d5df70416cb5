//! Edges of the gateway: what it needs of the platform that it runs on.
//!
//! A platform's crate implements these traits; the gateway knows no header, path or topic of it.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::http::request;
use hyper::http::response;
use thiserror::Error;

use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::backend_directory::DirectoryChange;
use crate::gateway::caller_request::CallerHead;
use crate::gateway::duty_lease::DutyGrant;
use crate::gateway::fleet_size::FleetOrder;
use crate::gateway::serving_config::ServingConfig;
use crate::gateway::usage_ledger::TeamCounts;
use crate::ids::FencingNumber;
use crate::ids::HostId;
use crate::ids::LogOffset;
use crate::ids::ServerId;
use crate::ids::TeamName;
use crate::result_code::ResultCode;

/// A call to the platform that brought nothing.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// It was not answered, or not in time; a write may have been done.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The platform is overloaded or away and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The log no longer holds the records that were asked for.
    #[error("the records were dropped")]
    RecordsDropped,
    /// The answer makes no sense.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// What a read of the configuration brought.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRead {
    /// The newest version among the records, if any can be used.
    pub config: Option<ServingConfig>,
    /// Where to read on.
    pub next: LogOffset,
    /// Records that could not be used, with the reason.
    pub skipped: Vec<String>,
}

/// What a read of the directory brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryRead {
    /// Changes in order.
    pub changes: Vec<(LogOffset, DirectoryChange)>,
    /// Whether the changes list every server there is.
    pub complete: bool,
    /// Where to read on.
    pub next: LogOffset,
    /// Entries that could not be used, with the reason.
    pub skipped: Vec<(ServerId, String)>,
}

/// Where a host receives summaries of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddress {
    /// Identity.
    pub host: HostId,
    /// Address for summaries.
    pub address: std::net::SocketAddr,
}

/// What became of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is at the offset.
    Appended(LogOffset),
    /// The log did not end there; nothing was appended.
    Conflict,
}

/// Records read from the usage log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordsRead {
    /// Records in order.
    pub records: Vec<Vec<u8>>,
    /// Where to read on, which is the end of the log.
    pub next: LogOffset,
}

/// The platform's store.
#[expect(async_fn_in_trait, reason = "all futures run on the one event loop")]
pub trait ControlStore {
    /// Reads the configuration from an offset on, or its newest version without one, and waits up
    /// to `wait` for a record.
    async fn read_config(&self, from: Option<LogOffset>, wait: Duration) -> Result<ConfigRead>;

    /// Reads changes of the directory from an offset on, or all entries without one.
    async fn read_directory(&self, from: Option<LogOffset>) -> Result<DirectoryRead>;

    /// Publishes this host's card.
    async fn publish_address(&self, card: &HostAddress) -> Result<()>;

    /// Lists the cards of all hosts.
    async fn list_addresses(&self) -> Result<Vec<HostAddress>>;

    /// Records this host's spending of quotas in place of its last record.
    async fn record_spending(&self, record: Vec<u8>) -> Result<()>;

    /// Lists the newest record of every host.
    async fn list_spending(&self) -> Result<Vec<Vec<u8>>>;

    /// Joins the group whose members share the duties, or renews the membership.
    async fn renew_duty(&self, generation: u64) -> Result<DutyGrant>;

    /// Leaves the group.
    async fn leave_duty(&self) -> Result<()>;

    /// Reads the usage log.
    async fn read_usage(&self, from: LogOffset) -> Result<RecordsRead>;

    /// Appends to the usage log if it ends at the offset.
    async fn append_usage(&self, at: LogOffset, record: Vec<u8>) -> Result<AppendOutcome>;
}

/// What became of a call that carries a fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencedOutcome {
    /// It was carried out.
    Accepted,
    /// A larger fencing number was seen.
    Fenced,
    /// There is nothing to be had at the moment.
    Unavailable,
}

/// The calls that are the duty of one host at a time.
#[expect(async_fn_in_trait, reason = "all futures run on the one event loop")]
pub trait FencedCloud {
    /// Reports the requests of a window.
    async fn report_usage(
        &self,
        fence: FencingNumber,
        window: u64,
        counts: &TeamCounts,
    ) -> Result<FencedOutcome>;

    /// Orders a number of servers.
    async fn order_servers(
        &self,
        fence: FencingNumber,
        order: &FleetOrder,
    ) -> Result<FencedOutcome>;
}

/// A head that does not say what it must.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct HeadError(pub String);

/// What an attempt tells its server beside the caller's own header fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptHead<'a> {
    /// Server that must run it.
    pub server: &'a ServerId,
    /// Team of the caller.
    pub team: Option<&'a TeamName>,
    /// Time that is left.
    pub time_left: Duration,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// Rank of the request; 0 is first.
    pub priority: u32,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the answer to relay.
    Relay,
    /// It is no answer to relay as long as there is another way.
    Failure(AttemptFailure),
    /// It must not be relayed, because callers would take it for a promise; the work may have run.
    Unusable,
}

/// How callers and servers speak on the platform.
pub trait WireProtocol {
    /// Reads the head of a caller's request.
    fn read_head(&self, head: &request::Parts) -> std::result::Result<CallerHead, HeadError>;

    /// Builds the header section of an attempt from the caller's.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Judges the head of a server's answer to a request.
    fn classify_response(&self, request_id: &str, head: &response::Parts) -> ResponseClass;

    /// Returns the status and header section of an answer of the gateway's own.
    fn gateway_response(
        &self,
        request_id: Option<&str>,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> (StatusCode, HeaderMap);
}
