//! Responses with neither a length nor chunks, which end with their connection.

use std::io;
use std::ops::Range;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::deployment_server::event_text;
use crate::deployment_server::limit_line;
use crate::deployment_state::UnframedEnd;

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// What a response carries.
#[derive(Clone, Debug)]
pub(crate) enum UnframedBody {
    /// Text.
    Text(String),
    /// The events of a stream after the first of a range of ids, up to the last.
    Events(Range<u64>),
}

/// The response to one request.
#[derive(Clone, Debug)]
pub(crate) struct UnframedResponse {
    pub(crate) end: UnframedEnd,
    pub(crate) body: UnframedBody,
    pub(crate) request_id: String,
    pub(crate) signature: String,
    /// Limit that its replica names, as it is sent.
    pub(crate) limit: Option<String>,
}

impl UnframedResponse {
    /// Writes the response and ends the connection.
    pub(crate) async fn write_to(&self, stream: &mut TcpStream) -> io::Result<()> {
        let Self { request_id, signature, .. } = self;
        let limit = limit_line(self.limit.as_deref());
        let kind = match self.body {
            UnframedBody::Text(_) => "text/plain",
            UnframedBody::Events(_) => "text/event-stream",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\nreplica-signature: {signature}\r\n\
             {limit}content-type: {kind}\r\nconnection: close\r\n\r\n"
        );
        if self.end == UnframedEnd::InsideHead {
            stream.write_all(&head.as_bytes()[..head.len() / 2]).await?;
            return stream.shutdown().await;
        }
        stream.write_all(head.as_bytes()).await?;
        let is_stream = matches!(self.body, UnframedBody::Events(_));
        if self.end == UnframedEnd::BeforeEvent && is_stream {
            return stream.shutdown().await;
        }
        let pieces: Vec<String> = match &self.body {
            UnframedBody::Text(text) => {
                let (first, rest) = text.split_at(text.len() / 2);
                vec![first.to_owned(), rest.to_owned()]
            }
            UnframedBody::Events(ids) => (ids.start + 1..=ids.end).map(event_text).collect(),
        };
        for (index, piece) in pieces.iter().enumerate() {
            tokio::time::sleep(EVENT_INTERVAL).await;
            let is_last = index + 1 == pieces.len();
            match self.end {
                UnframedEnd::Reset if is_last => {
                    return SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                }
                UnframedEnd::InsideEvent if is_last && is_stream => {
                    stream.write_all(&piece.as_bytes()[..piece.len() / 2]).await?;
                }
                UnframedEnd::Complete
                | UnframedEnd::Reset
                | UnframedEnd::InsideEvent
                | UnframedEnd::InsideHead
                | UnframedEnd::BeforeEvent => {
                    stream.write_all(piece.as_bytes()).await?;
                }
            }
        }
        stream.shutdown().await
    }
}
