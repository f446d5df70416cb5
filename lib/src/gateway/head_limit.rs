//! Limits the bytes that a server sends before the head of its response is complete.
//!
//! hyper limits a single head. It skips interim responses without counting them. Heads that come slowly stay in
//! its buffers, so that all heads that a host awaits share a budget besides.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::gateway::buffer_budget;
use crate::gateway::buffer_budget::BufferLease;

/// Bytes that may still arrive before a head; unlimited while no head is awaited.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance {
    lease: Rc<RefCell<Option<BufferLease>>>,
}

impl HeadAllowance {
    /// Starts to wait for a head that fits into a lease, interim responses included.
    pub fn start(&self, lease: BufferLease) {
        self.lease.replace(Some(lease));
    }

    /// Ends the wait.
    pub fn stop(&self) {
        self.lease.replace(None);
    }

    fn take(&self, bytes: usize) -> buffer_budget::Result<()> {
        match &mut *self.lease.borrow_mut() {
            Some(lease) => lease.resize(lease.held() + bytes),
            None => Ok(()),
        }
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
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - filled;
        Poll::Ready(
            self.allowance
                .take(read)
                .map_err(|error| io::Error::other(format!("bytes before the head: {error}"))),
        )
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
