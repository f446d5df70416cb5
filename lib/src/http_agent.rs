//! Configures the HTTP library and classifies its errors.

use std::time::Duration;

use thiserror::Error;
use ureq::Agent;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::DefaultConnector;
use ureq::unversioned::transport::Transport;

/// Size of each connection's input buffer and output buffer: small, since an entry host holds
/// hundreds of open streams with short lines.
const CONNECTION_BUFFER_BYTES: usize = 8 * 1_024;

/// What an error of the HTTP library proves about the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No connection was opened, so nothing was sent.
    NotConnected,
    /// A timeout expired when the call may have been sent.
    TimedOut,
    /// The response body exceeds its limit.
    TooLarge,
    /// Any other failure; the call may have been sent.
    Lost,
}

/// Builds an agent that keeps up to `max_idle_connections` idle connections, follows no redirects
/// and adds no optional headers.
pub(crate) fn build_agent(connect_timeout: Duration, max_idle_connections: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .no_delay(true)
        .input_buffer_size(CONNECTION_BUFFER_BYTES)
        .output_buffer_size(CONNECTION_BUFFER_BYTES)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(connect_timeout))
        .max_idle_connections(max_idle_connections)
        .max_idle_connections_per_host(max_idle_connections)
        .build();
    Agent::with_parts(config, ErrorTaggingConnector::default(), DefaultResolver::default())
}

/// Error of opening a connection.
#[derive(Debug, Error)]
#[error("{0}")]
struct ConnectFailure(ureq::Error);

/// Wraps errors of opening a connection in [`ConnectFailure`], to tell them from later errors.
#[derive(Debug, Default)]
struct ErrorTaggingConnector(DefaultConnector);

impl Connector for ErrorTaggingConnector {
    type Out = Box<dyn Transport>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> std::result::Result<Option<Self::Out>, ureq::Error> {
        let wrap = |error| ureq::Error::Other(Box::new(ConnectFailure(error)));
        self.0.connect(details, chained).map_err(wrap)
    }
}

/// Classifies an error; in doubt, the call counts as possibly sent.
pub(crate) fn failure_kind(error: &ureq::Error) -> FailureKind {
    match error {
        ureq::Error::Other(other) if other.is::<ConnectFailure>() => FailureKind::NotConnected,
        ureq::Error::Timeout(_) => FailureKind::TimedOut,
        ureq::Error::BodyExceedsLimit(_) => FailureKind::TooLarge,
        _ => FailureKind::Lost,
    }
}
