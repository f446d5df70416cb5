//! Connection on which some answers arrive a second time, late: in front of the next answer.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::StatusCode;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Marks an answer that is sent a second time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CopiedLate;

#[derive(Debug, Default)]
struct CopyState {
    /// Answer that is sent again in front of the next one.
    last: Vec<u8>,
    /// Bytes that are written next.
    due: Vec<u8>,
}

/// The copies on one connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerCopies(Rc<RefCell<CopyState>>);

impl AnswerCopies {
    /// Lets the copy of the last answer, if one is kept, go in front of the next one.
    pub(crate) fn send_last(&self) {
        let state = &mut *self.0.borrow_mut();
        state.due.append(&mut state.last);
    }

    /// Returns whether an answer is kept for its copy.
    pub(crate) fn is_kept(&self) -> bool {
        !self.0.borrow().last.is_empty()
    }

    /// Drops the answer that is kept for its copy.
    pub(crate) fn forget(&self) {
        self.0.borrow_mut().last.clear();
    }

    /// Keeps an answer for its copy.
    pub(crate) async fn keep(&self, status: StatusCode, fields: &HeaderMap, body: Full<Bytes>) {
        let Ok(body) = body.collect().await;
        let body = body.to_bytes();
        let mut text = format!("HTTP/1.1 {status}\r\n").into_bytes();
        for (name, value) in fields {
            text.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
        }
        text.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
        text.extend(body);
        self.0.borrow_mut().last = text;
    }
}

/// A connection that writes the copies which are due before anything else.
pub(crate) struct CopyingStream {
    stream: TcpStream,
    copies: AnswerCopies,
}

impl CopyingStream {
    pub(crate) fn new(stream: TcpStream, copies: AnswerCopies) -> Self {
        Self { stream, copies }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for CopyingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CopyingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, copies } = self.get_mut();
        let due = &mut copies.0.borrow_mut().due;
        while !due.is_empty() {
            let written = ready!(Pin::new(&mut *stream).poll_write(context, due))?;
            due.drain(..written);
        }
        Pin::new(stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
