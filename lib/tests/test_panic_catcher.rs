//! Panics of futures.

use pomelostack_lib::gateway::panic_catcher::catch_panic;

#[tokio::test]
async fn panic_text() {
    let caught = catch_panic(async {
        tokio::task::yield_now().await;
        panic!("no {}", 7)
    });
    let caught: Result<(), _> = caught.await;
    assert_eq!(caught.expect_err("valid in tests").to_string(), "panicked: no 7");
}

#[tokio::test]
async fn no_panic() {
    let value = catch_panic(async {
        tokio::task::yield_now().await;
        7
    });
    assert_eq!(value.await, Ok(7));
}
