//! Limits the bytes that a server sends before the head of its response is complete.
//!
//! hyper limits a single head. It skips interim responses without counting them.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that may still arrive before a head; unlimited while no head is awaited.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance {
    left: Rc<Cell<Option<usize>>>,
}

impl HeadAllowance {
    /// Starts to wait for a head of at most `limit` bytes, interim responses included.
    pub fn start(&self, limit: usize) {
        self.left.set(Some(limit));
    }

    /// Ends the wait.
    pub fn stop(&self) {
        self.left.set(None);
    }
}

/// A connection whose reads fail once the allowance is used up.
#[derive(Debug)]
pub struct HeadLimitedStream<S> {
    stream: S,
    allowance: HeadAllowance,
}

impl<S> HeadLimitedStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, allowance: HeadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.left.get() == Some(0) {
            return Poll::Ready(Err(io::Error::other("bytes before the head exceed the limit")));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - filled;
        let left = self.allowance.left.get();
        self.allowance.left.set(left.map(|left| left.saturating_sub(read)));
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
