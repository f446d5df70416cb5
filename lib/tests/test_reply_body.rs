//! The queue between a stream's relay and its caller.

use std::future::Future;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use pomelostack_lib::gateway::reply_body::streaming_body;

const CHUNK_BYTES: usize = 100 << 10;

fn poll_once<F: Future>(future: F) -> Option<F::Output> {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(output) => Some(output),
        Poll::Pending => None,
    }
}

#[test]
fn queued_bytes() {
    let (sender, mut body) = streaming_body();
    let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
    let sent = (0..32).take_while(|_| poll_once(sender.send(chunk.clone())).is_some()).count();
    assert_eq!(sent, 2);
    let frame = poll_once(body.frame()).expect("a chunk is queued");
    assert_eq!(poll_once(sender.send(chunk.clone())), None, "the chunk was not written yet");
    drop(frame);
    assert_eq!(poll_once(sender.send(chunk)), Some(Ok(())));
}

#[test]
fn long_chunk() {
    let (sender, body) = streaming_body();
    assert_eq!(poll_once(sender.send(Bytes::from(vec![b'x'; 1 << 20]))), Some(Ok(())));
    assert_eq!(poll_once(sender.send(Bytes::from_static(b"x"))), None);
    drop(body);
    assert!(poll_once(sender.send(Bytes::from_static(b"x"))).is_some_and(|sent| sent.is_err()));
}
