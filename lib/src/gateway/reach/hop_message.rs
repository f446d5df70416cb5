//! Header fields with which hosts forward attempts at servers for one another.
//!
//! A hop carries the request of an attempt as its server would get it, and the response as the server gave it.
//! These fields are added, and removed at the other end.

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use thiserror::Error;

use crate::gateway::process_probe::ProbeOutcome;
use crate::ids::ServerId;

const KIND_FIELD: HeaderName = HeaderName::from_static("pomelostack-hop");
const SERVER_FIELD: HeaderName = HeaderName::from_static("pomelostack-server");
const PROCESS_FIELD: HeaderName = HeaderName::from_static("pomelostack-process");
const REQUEST_FIELD: HeaderName = HeaderName::from_static("pomelostack-request");
const SENT_FIELD: HeaderName = HeaderName::from_static("pomelostack-sent-ms");
const OUTCOME_FIELD: HeaderName = HeaderName::from_static("pomelostack-outcome");

/// Text of the process of a server that states no start time.
const NO_PROCESS: &str = "-";

/// A hop whose fields are missing or malformed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("code=601 field {0} of a forwarded request is missing or malformed")]
pub struct HopError(HeaderName);

/// Result of reading a hop's fields.
pub type Result<T> = std::result::Result<T, HopError>;

/// What a host asks a peer for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopKind {
    /// To send an attempt to a server.
    Attempt,
    /// To find out whether a server accepts connections.
    Probe,
}

/// The head of a hop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopHead {
    /// What is asked for.
    pub kind: HopKind,
    /// Server that is meant.
    pub server: ServerId,
    /// Start time of its process in milliseconds since 1970, if it is known.
    pub started_at_ms: Option<u64>,
    /// Identifier of the request; empty in a probe.
    pub request_id: String,
    /// Wall-clock time at which the hop was sent, in milliseconds since 1970.
    pub sent_at_ms: u64,
}

impl HopHead {
    /// Writes the fields of a hop.
    pub fn write(&self, headers: &mut HeaderMap) -> Result<()> {
        let kind = match self.kind {
            HopKind::Attempt => "attempt",
            HopKind::Probe => "probe",
        };
        let process = self.started_at_ms.map_or(NO_PROCESS.to_owned(), |at| at.to_string());
        headers.insert(KIND_FIELD, HeaderValue::from_static(kind));
        insert(headers, SERVER_FIELD, self.server.as_str())?;
        insert(headers, PROCESS_FIELD, &process)?;
        insert(headers, REQUEST_FIELD, &self.request_id)?;
        headers.insert(SENT_FIELD, self.sent_at_ms.into());
        Ok(())
    }
}

impl TryFrom<&mut HeaderMap> for HopHead {
    type Error = HopError;

    /// Reads and removes the fields of a hop.
    fn try_from(headers: &mut HeaderMap) -> Result<Self> {
        let kind = match take(headers, KIND_FIELD)?.as_str() {
            "attempt" => HopKind::Attempt,
            "probe" => HopKind::Probe,
            _ => return Err(HopError(KIND_FIELD)),
        };
        let server = ServerId::try_from(take(headers, SERVER_FIELD)?.as_str())
            .map_err(|_| HopError(SERVER_FIELD))?;
        let started_at_ms = match take(headers, PROCESS_FIELD)?.as_str() {
            NO_PROCESS => None,
            text => Some(text.parse().map_err(|_| HopError(PROCESS_FIELD))?),
        };
        let request_id = take(headers, REQUEST_FIELD)?;
        let sent_at_ms = take(headers, SENT_FIELD)?.parse().map_err(|_| HopError(SENT_FIELD))?;
        Ok(Self { kind, server, started_at_ms, request_id, sent_at_ms })
    }
}

/// What became of a hop at the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The response is the server's; without a frame its body ends with the connection.
    Answered {
        /// Whether the body has a length or chunks.
        is_framed: bool,
    },
    /// Nothing was sent: the peer does not reach the server, or takes no hops now.
    Unreached,
    /// Nothing was sent: the server is leaving, paused or another process by now.
    Withheld,
    /// It was sent, and the connection to the server broke before its answer.
    Lost,
    /// What a probe found.
    Probed(ProbeOutcome),
}

impl HopOutcome {
    /// Returns the text of the outcome on the wire.
    fn label(self) -> &'static str {
        match self {
            Self::Answered { is_framed: true } => "answered",
            Self::Answered { is_framed: false } => "answered-unframed",
            Self::Unreached => "unreached",
            Self::Withheld => "withheld",
            Self::Lost => "lost",
            Self::Probed(ProbeOutcome::Serves) => "serves",
            Self::Probed(ProbeOutcome::Refused) => "refused",
            Self::Probed(ProbeOutcome::Unknown) => "unknown",
        }
    }

    /// Adds the outcome to a response.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME_FIELD, HeaderValue::from_static(self.label()));
    }

    /// Builds a response with an empty body that carries nothing but the outcome.
    pub fn response<B>(self, empty: B) -> Response<B> {
        let mut response = Response::new(empty);
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        self.write(response.headers_mut());
        response
    }
}

impl TryFrom<&mut HeaderMap> for HopOutcome {
    type Error = HopError;

    /// Reads and removes the outcome of a hop. The frame of the hop itself is not the server's.
    fn try_from(headers: &mut HeaderMap) -> Result<Self> {
        let outcome = match take(headers, OUTCOME_FIELD)?.as_str() {
            "answered" => Self::Answered { is_framed: true },
            "answered-unframed" => Self::Answered { is_framed: false },
            "unreached" => Self::Unreached,
            "withheld" => Self::Withheld,
            "lost" => Self::Lost,
            "serves" => Self::Probed(ProbeOutcome::Serves),
            "refused" => Self::Probed(ProbeOutcome::Refused),
            "unknown" => Self::Probed(ProbeOutcome::Unknown),
            _ => return Err(HopError(OUTCOME_FIELD)),
        };
        if outcome == (Self::Answered { is_framed: false }) {
            headers.remove(TRANSFER_ENCODING);
        }
        Ok(outcome)
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, text: &str) -> Result<()> {
    let value = HeaderValue::try_from(text).map_err(|_| HopError(name.clone()))?;
    headers.insert(name, value);
    Ok(())
}

fn take(headers: &mut HeaderMap, name: HeaderName) -> Result<String> {
    let value = headers.remove(&name);
    let text = value.as_ref().and_then(|value| value.to_str().ok());
    text.map(str::to_owned).ok_or(HopError(name))
}
