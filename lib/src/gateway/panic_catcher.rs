//! Keeps a panic in the handling of one request from ending its connection without a response.

use std::any::Any;
use std::future::Future;
use std::future::poll_fn;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::pin::pin;
use std::task::Poll;

use thiserror::Error;

/// A future panicked.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("panicked: {0}")]
pub struct CaughtPanic(String);

/// Result of a future that may panic.
pub type Result<T> = std::result::Result<T, CaughtPanic>;

/// Runs a future to its end or its panic.
pub async fn catch_panic<F: Future>(future: F) -> Result<F::Output> {
    let mut future = pin!(future);
    poll_fn(|cx| {
        // The state that requests share is borrowed for one decision at a time, and its borrows end
        // during unwinding.
        match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx))) {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(output)) => Poll::Ready(Ok(output)),
            Err(payload) => Poll::Ready(Err(CaughtPanic(panic_text(&*payload)))),
        }
    })
    .await
}

fn panic_text(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| payload.downcast_ref::<String>().cloned()).unwrap_or("no text".to_owned())
}
