//! Channel from a session's thread to the caller's connection.
//!
//! The channel is unbounded, but it holds at most one answer, whose size the request limits. A
//! caller that reads slowly therefore does not occupy a backend server: the session continues at
//! the backend server's speed.

use tokio::sync::mpsc;

use crate::engine::TokenChunk;
use crate::ids::RequestId;
use crate::session_request::CallerSink;
use crate::session_request::SessionEnd;
use crate::session_request::SinkState;

/// One part of a session's output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyPart {
    /// One token of the answer.
    Token(TokenChunk),
    /// End of the session.
    End(SessionEnd),
}

/// The session's end of the channel.
pub struct ReplySender {
    sender: mpsc::UnboundedSender<ReplyPart>,
}

/// The connection's end of the channel.
pub type ReplyReceiver = mpsc::UnboundedReceiver<ReplyPart>;

/// Opens a channel for one request.
pub fn open_reply_channel() -> (ReplySender, ReplyReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (ReplySender { sender }, receiver)
}

impl ReplySender {
    fn send(&self, part: ReplyPart) -> SinkState {
        match self.sender.send(part) {
            Ok(()) => SinkState::Open,
            Err(_) => SinkState::Closed,
        }
    }
}

impl CallerSink for ReplySender {
    /// Does nothing: the front door generated the id, so it knows it already.
    fn accepted(&mut self, _id: RequestId) {}

    fn state(&self) -> SinkState {
        if self.sender.is_closed() { SinkState::Closed } else { SinkState::Open }
    }

    fn token(&mut self, chunk: &TokenChunk) -> SinkState {
        self.send(ReplyPart::Token(chunk.clone()))
    }

    fn finish(&mut self, end: &SessionEnd) {
        // A disconnected caller can still fetch the answer by the request id.
        self.send(ReplyPart::End(end.clone()));
    }
}
