//! Interface between the gateway and the platform that it runs on.
//!
//! A platform's crate implements these traits. The gateway itself knows none of the platform's
//! header, path or topic names.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::http::request;
use hyper::http::response;
use thiserror::Error;

use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::backend_directory::DirectoryChange;
use crate::gateway::caller_request::CallerHead;
use crate::gateway::capacity::fleet_scaler::FleetOrder;
use crate::gateway::duty_lease::DutyGrant;
use crate::gateway::rollout::rollout_order::OrderRecord;
use crate::gateway::rollout::rollout_order::StatusRead;
use crate::gateway::rollout::rollout_order::StatusRecord;
use crate::gateway::server_limit::BrittleNotice;
use crate::gateway::server_limit::LimitNotice;
use crate::gateway::serving_config::ServingConfig;
use crate::gateway::usage_ledger::TeamCounts;
use crate::ids::FencingToken;
use crate::ids::GroupGeneration;
use crate::ids::HostId;
use crate::ids::LogOffset;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::TeamName;
use crate::result_code::ResultCode;

/// A failed call to the platform.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No response arrived before the deadline. A write may have taken effect.
    #[error("no response: {0}")]
    Unanswered(String),
    /// The platform is overloaded or unavailable. The call had no effect.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The log does not have the requested records, or not any more.
    #[error("the requested records are not in the log, which begins at {}", first.0)]
    RecordsDropped {
        /// Offset of the first retained record.
        first: LogOffset,
    },
    /// The response cannot be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// What a partition of the store held when it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogBounds {
    /// Era of the store.
    pub era: StoreEra,
    /// Offset of the first retained record; zero if the read does not tell.
    pub first: LogOffset,
    /// Offset after the last record.
    pub end: LogOffset,
}

/// Result of reading the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRead {
    /// The newest valid version among the records, if there is one.
    pub config: Option<ServingConfig>,
    /// Offset of the next read.
    pub next: LogOffset,
    /// Why each invalid record was skipped.
    pub skipped: Vec<String>,
    /// Orders to roll out versions, which are in the same log.
    pub orders: Vec<OrderRecord>,
    /// Bounds of the configuration log.
    pub bounds: LogBounds,
}

/// Result of reading the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryRead {
    /// Changes in log order.
    pub changes: Vec<(LogOffset, DirectoryChange)>,
    /// Whether the changes are a full snapshot that lists every server.
    pub complete: bool,
    /// Offset of the next read.
    pub next: LogOffset,
    /// Servers whose entries are invalid and were skipped, with the reason.
    pub skipped: Vec<(ServerId, String)>,
    /// Bounds of the directory's log.
    pub bounds: LogBounds,
}

/// The address at which a host receives its peers' summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddress {
    /// Name of the host.
    pub host: HostId,
    /// UDP address for summaries.
    pub address: std::net::SocketAddr,
}

/// Outcome of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended.
    Appended {
        /// Era of the store.
        era: StoreEra,
        /// Offset of the record.
        offset: LogOffset,
    },
    /// The log does not end at the expected offset. Nothing was appended.
    Conflict,
}

/// Records read from the usage log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordsRead {
    /// Records in log order.
    pub records: Vec<Vec<u8>>,
    /// Offset of the next read, which is the end of the log.
    pub next: LogOffset,
    /// Bounds of the usage log.
    pub bounds: LogBounds,
}

/// What the store keeps of streams and software versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionsRead {
    /// Newest record of each service's base, with its offset.
    pub bases: Vec<(ServiceName, LogOffset, Vec<u8>)>,
    /// Offset after the last record of a base.
    pub bases_end: LogOffset,
    /// Newest list of each host.
    pub lists: Vec<(HostId, Vec<u8>)>,
    /// Records whose keys are no names, or that have no value.
    pub malformed: usize,
    /// Era of the store.
    pub era: StoreEra,
}

/// Place of a record among those of its writer. The store carries out no record of a lower epoch, and
/// the sequence numbers of an epoch follow one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterPlace {
    /// Epoch of the writer.
    pub epoch: u64,
    /// Number of the record in its epoch.
    pub sequence: u64,
}

/// Client of the platform's store.
#[expect(async_fn_in_trait, reason = "all futures run on the one event loop")]
pub trait ControlStore {
    /// Reads the configuration log from an offset, or its newest version if `from` is `None`. This
    /// is a long poll: it waits up to `wait` for a record.
    async fn read_config(&self, from: Option<LogOffset>, wait: Duration) -> Result<ConfigRead>;

    /// Reads directory changes from an offset, or all entries if `from` is `None`.
    async fn read_directory(&self, from: Option<LogOffset>) -> Result<DirectoryRead>;

    /// Publishes this host's address. Returns the store's era, which the record may not outlive.
    async fn publish_address(&self, address: &HostAddress) -> Result<StoreEra>;

    /// Lists the addresses of all hosts.
    async fn list_addresses(&self) -> Result<Vec<HostAddress>>;

    /// Writes this host's quota spending, which replaces its last record. Returns the store's era.
    async fn record_spending(&self, record: Vec<u8>) -> Result<StoreEra>;

    /// Lists the newest quota spending record of every host.
    async fn list_spending(&self) -> Result<Vec<Vec<u8>>>;

    /// Writes the verdicts on requests that crash servers, which replaces this host's last record.
    /// Returns the store's era.
    async fn record_verdicts(&self, record: Vec<u8>) -> Result<StoreEra>;

    /// Lists the newest record of verdicts of every host.
    async fn list_verdicts(&self) -> Result<Vec<Vec<u8>>>;

    /// Reads the bases of all services and the streams that hosts began at other software versions.
    /// Both are at least as new as the call.
    async fn read_versions(&self) -> Result<VersionsRead>;

    /// Replaces this host's list of such streams. Returns the store's era.
    async fn record_streams(&self, record: Vec<u8>, place: WriterPlace) -> Result<StoreEra>;

    /// Records the base of a service if the records of bases end at offset `at`.
    async fn append_base(
        &self,
        at: LogOffset,
        service: &ServiceName,
        record: Vec<u8>,
    ) -> Result<AppendOutcome>;

    /// Reads the states of roll-outs from an offset, or the newest of each service if `from` is `None`.
    /// With an offset it waits up to `wait` for a record.
    async fn read_statuses(&self, from: Option<LogOffset>, wait: Duration) -> Result<StatusRead>;

    /// Records the state of a roll-out if the records of states end at offset `at`.
    async fn append_status(&self, at: LogOffset, record: &StatusRecord) -> Result<AppendOutcome>;

    /// Joins the group that elects the holder of the duties, or renews this host's membership.
    async fn renew_duty(&self, generation: GroupGeneration) -> Result<DutyGrant>;

    /// Leaves that group.
    async fn leave_duty(&self) -> Result<()>;

    /// Reads the usage log from an offset to its end.
    async fn read_usage(&self, from: LogOffset) -> Result<RecordsRead>;

    /// Appends to the usage log if it ends at offset `at`.
    async fn append_usage(&self, at: LogOffset, record: Vec<u8>) -> Result<AppendOutcome>;
}

/// Outcome of a call that carries a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencedOutcome {
    /// The call was carried out.
    Accepted,
    /// The call was rejected because a larger fencing token was seen.
    Fenced,
    /// No server of the requested kind is available at the moment.
    Unavailable,
}

/// Calls to the cloud that only one host at a time may make. Each carries a fencing token.
#[expect(async_fn_in_trait, reason = "all futures run on the one event loop")]
pub trait FencedCloud {
    /// Reports each team's number of requests in a usage window.
    async fn report_usage(
        &self,
        fence: FencingToken,
        window: u64,
        counts: &TeamCounts,
    ) -> Result<FencedOutcome>;

    /// Sets the desired number of servers of a service in a zone.
    async fn order_servers(&self, fence: FencingToken, order: &FleetOrder)
    -> Result<FencedOutcome>;
}

/// A request head that lacks a required field or has a malformed one.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct HeadError(pub String);

/// What an attempt sends to its server in addition to the caller's header fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptHead<'a> {
    /// Server that must run the request.
    pub server: &'a ServerId,
    /// Team of the caller, if its key belongs to one.
    pub team: Option<&'a TeamName>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Number of the last event received, if a stream is resumed.
    pub resume_after: Option<u64>,
    /// Priority of the request. 0 is the most urgent.
    pub priority: u32,
}

/// How to handle a server's response, based on its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// Relay the response to the caller.
    Relay,
    /// The attempt failed. Relay the response only if no other attempt can be made.
    Failure(AttemptFailure),
    /// Never relay the response: callers would take it as a guarantee that the request did not run,
    /// but it may have run.
    Unusable,
}

/// What a server says of itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Time for which it accepts no requests from this host.
    pub pause: Option<Duration>,
    /// What it says of its limit for all hosts together.
    pub limit: LimitNotice,
    /// What it says of its brittleness.
    pub brittle: BrittleNotice,
}

/// The platform's HTTP protocol, as callers and servers use it.
pub trait WireProtocol {
    /// Parses the head of a caller's request.
    fn read_head(&self, head: &request::Parts) -> std::result::Result<CallerHead, HeadError>;

    /// Builds the headers of an attempt from the caller's headers.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Classifies a server's response to a request by its head.
    fn classify_response(&self, request_id: &str, head: &response::Parts) -> ResponseClass;

    /// Returns whether the head of a response names the request that it belongs to.
    fn names_request(&self, head: &response::Parts) -> bool;

    /// Returns what a server says of itself in the head of the response to a request. A malformed field
    /// is ignored, and an error tells which one.
    fn read_notice(
        &self,
        request_id: &str,
        head: &response::Parts,
    ) -> (ServerNotice, std::result::Result<(), HeadError>);

    /// Returns the status and headers of a response that the gateway itself generates.
    fn gateway_response(
        &self,
        request_id: Option<&str>,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> (StatusCode, HeaderMap);
}
