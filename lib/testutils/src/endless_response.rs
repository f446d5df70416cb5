//! Responses that never end: a replica writes them until its caller closes the connection.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt as _;

use crate::deployment_server::limit_line;

/// Number of times that a repeated piece is written in one go.
const PIECES_PER_WRITE: usize = 512;

/// Piece of a body or a header value without a line break.
const FILLER: &str = "xxxxxxxxxxxxxxxx";

/// Chunk of a chunked body, with its size line.
const FILLER_CHUNK: &str = "10\r\nxxxxxxxxxxxxxxxx\r\n";

/// Bytes of a slow head that come at once.
const SLOW_HEAD_BYTES: usize = 56 << 10;

/// Time between two writes of a slow head.
const SLOW_PERIOD: Duration = Duration::from_secs(1);

/// Length of a body that no caller can hold.
const HUGE_LENGTH: u64 = 1 << 40;

/// Which part of a response never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessKind {
    /// One line of the head.
    HeaderLine,
    /// The lines of the head.
    HeaderFields,
    /// Interim (1xx) responses before the head.
    InterimResponses,
    /// A body whose length is stated and beyond any limit.
    SizedBody,
    /// A body of chunks.
    ChunkedBody,
    /// A body of chunks of one byte each.
    TinyChunks,
    /// The extension of the first chunk's size line.
    ChunkExtension,
    /// The trailer fields after a complete body.
    Trailers,
    /// The body of a refusal that promises that the request was not executed.
    RefusalBody,
    /// The body of the replica's own error.
    ErrorBody,
    /// The first event of a stream.
    StreamEvent,
    /// Empty events of a stream that carry neither a number nor data.
    EmptyEvents,
    /// A long head, whose lines then come slowly.
    SlowHead,
}

impl EndlessKind {
    /// Every kind that is written as fast as it is read.
    pub const ALL: [Self; 12] = [
        Self::HeaderLine,
        Self::HeaderFields,
        Self::InterimResponses,
        Self::SizedBody,
        Self::ChunkedBody,
        Self::TinyChunks,
        Self::ChunkExtension,
        Self::Trailers,
        Self::RefusalBody,
        Self::ErrorBody,
        Self::StreamEvent,
        Self::EmptyEvents,
    ];

    /// Returns whether the head of the response ends.
    pub(crate) fn completes_head(self) -> bool {
        !matches!(
            self,
            Self::HeaderLine | Self::HeaderFields | Self::InterimResponses | Self::SlowHead
        )
    }

    /// Returns whether the replica executes the request.
    pub fn is_executed(self) -> bool {
        self != Self::RefusalBody
    }
}

/// The response to one request.
#[derive(Clone, Debug)]
pub(crate) struct EndlessResponse {
    pub(crate) kind: EndlessKind,
    pub(crate) request_id: String,
    pub(crate) signature: String,
    /// Limit that its replica names, as it is sent.
    pub(crate) limit: Option<String>,
}

impl EndlessResponse {
    /// Writes the response until the caller closes the connection.
    pub(crate) async fn write_to(&self, stream: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        stream.write_all(self.beginning().as_bytes()).await?;
        let block = self.kind.repeated_piece().repeat(PIECES_PER_WRITE);
        loop {
            stream.write_all(block.as_bytes()).await?;
            if self.kind == EndlessKind::SlowHead {
                tokio::time::sleep(SLOW_PERIOD).await;
            }
        }
    }

    /// Returns what comes before the part that never ends.
    fn beginning(&self) -> String {
        match self.kind {
            EndlessKind::HeaderLine => format!("{}x-filler: ", self.open_head("200 OK")),
            EndlessKind::HeaderFields => self.open_head("200 OK"),
            EndlessKind::SlowHead => {
                format!("{}x-filler: {}\r\n", self.open_head("200 OK"), "x".repeat(SLOW_HEAD_BYTES))
            }
            EndlessKind::InterimResponses => String::new(),
            EndlessKind::SizedBody => {
                format!("{}content-length: {HUGE_LENGTH}\r\n\r\n", self.open_head("200 OK"))
            }
            EndlessKind::ChunkedBody | EndlessKind::TinyChunks => self.chunked_head("200 OK"),
            EndlessKind::ChunkExtension => format!("{}10;filler=", self.chunked_head("200 OK")),
            EndlessKind::Trailers => {
                format!("{}{FILLER_CHUNK}0\r\n", self.chunked_head("200 OK"))
            }
            EndlessKind::RefusalBody => {
                self.chunked_head("503 Service Unavailable\r\nnot-executed: 1")
            }
            EndlessKind::ErrorBody => self.chunked_head("500 Internal Server Error"),
            EndlessKind::StreamEvent => {
                let head = self.chunked_head("200 OK\r\ncontent-type: text/event-stream");
                format!("{head}f\r\nid: 1\ndata: piec\r\n")
            }
            EndlessKind::EmptyEvents => {
                self.chunked_head("200 OK\r\ncontent-type: text/event-stream")
            }
        }
    }

    fn open_head(&self, status: &str) -> String {
        let Self { request_id, signature, limit, .. } = self;
        let limit = limit_line(limit.as_deref());
        format!(
            "HTTP/1.1 {status}\r\nrequest-id: {request_id}\r\nreplica-signature: {signature}\r\n\
             {limit}"
        )
    }

    fn chunked_head(&self, status: &str) -> String {
        format!("{}transfer-encoding: chunked\r\n\r\n", self.open_head(status))
    }
}

impl EndlessKind {
    fn repeated_piece(self) -> &'static str {
        match self {
            Self::HeaderLine | Self::SizedBody | Self::ChunkExtension => FILLER,
            Self::HeaderFields | Self::Trailers => "x-filler: x\r\n",
            Self::SlowHead => "x",
            Self::InterimResponses => "HTTP/1.1 103 Early Hints\r\nx-filler: x\r\n\r\n",
            Self::TinyChunks => "1\r\nx\r\n",
            Self::EmptyEvents => "10\r\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\r\n",
            Self::ChunkedBody | Self::RefusalBody | Self::ErrorBody | Self::StreamEvent => {
                FILLER_CHUNK
            }
        }
    }
}
