//! Set-up of the HTTP library, and what its errors prove.

use std::time::Duration;

use thiserror::Error;
use ureq::Agent;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::DefaultConnector;
use ureq::unversioned::transport::Transport;

/// Bytes of a connection's input and output buffers each: an entry host holds hundreds of open
/// streams, whose lines are short.
const CONNECTION_BUFFER_BYTES: usize = 8 * 1_024;

/// What an error of the library proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No connection was opened, so nothing was sent.
    NotConnected,
    /// A bound on time passed when the call may have been sent.
    TimedOut,
    /// The answer's body is larger than its limit.
    TooLarge,
    /// Anything else: the call may have been sent.
    Lost,
}

/// Builds an agent that keeps up to `max_idle_connections` idle, follows no redirect and adds no
/// header of its own choice.
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
    Agent::with_parts(config, MarkingConnector::default(), DefaultResolver::default())
}

/// A connection could not be opened.
#[derive(Debug, Error)]
#[error("{0}")]
struct ConnectFailure(ureq::Error);

/// Marks the errors of opening a connection, so that they are told from all later ones.
#[derive(Debug, Default)]
struct MarkingConnector(DefaultConnector);

impl Connector for MarkingConnector {
    type Out = Box<dyn Transport>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> std::result::Result<Option<Self::Out>, ureq::Error> {
        let mark = |error| ureq::Error::Other(Box::new(ConnectFailure(error)));
        self.0.connect(details, chained).map_err(mark)
    }
}

/// Tells what an error proves; whatever is not certain counts as sent.
pub(crate) fn failure_kind(error: &ureq::Error) -> FailureKind {
    match error {
        ureq::Error::Other(other) if other.is::<ConnectFailure>() => FailureKind::NotConnected,
        ureq::Error::Timeout(_) => FailureKind::TimedOut,
        ureq::Error::BodyExceedsLimit(_) => FailureKind::TooLarge,
        _ => FailureKind::Lost,
    }
}
