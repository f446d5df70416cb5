//! Bodies of many callers at once, in front of the gateway as a process.

use std::time::Duration;

use testutils::gateway_fixture::GatewayFixture;
use testutils::raw_caller::RawCaller;
use testutils::raw_caller::request_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Memory of a host in KiB.
const HOST_MEMORY_KIB: u64 = 160 * 1024;

/// Time for which servers hold the calls, shorter than any limit on unacknowledged bytes.
const SILENCE: Duration = Duration::from_millis(2_000);

/// Callers that are served at the same time.
const CALLERS: usize = 240;

/// Size of a body, which is within the limit of the configuration.
const BODY_BYTES: usize = 1_000_000;

/// Bodies of callers were limited one by one, whatever their number (LOST: the process runs out of memory).
#[test]
fn many_bodies() {
    let fixture = GatewayFixture::ready(PROGRAM, 87);
    (0..2).for_each(|index| fixture.standin.silence_replica(index, SILENCE));
    let body = "x".repeat(BODY_BYTES);
    let callers: Vec<RawCaller> = (0..CALLERS)
        .map(|number| {
            let head = request_text("POST", "/book/1", &format!("r{number}"));
            let head = head.replace("Length: 0", &format!("Length: {BODY_BYTES}"));
            let mut caller = RawCaller::connect(&fixture.ip).expect("the host accepts");
            caller.send(&head).and_then(|()| caller.send(&body)).expect("the host reads");
            caller
        })
        .collect();
    let mut counts = [0; 2];
    for mut caller in callers {
        let status = caller.response().expect("each caller gets an answer").status;
        match status {
            200 => counts[0] += 1,
            503 => counts[1] += 1,
            status => panic!("a caller got {status}"),
        }
    }
    let peak = fixture.peak_memory_kib().expect("the process is the same");
    println!("peak resident memory: {peak} KiB; served and refused: {counts:?}");
    assert!(counts[0] > 0);
    assert!(peak < HOST_MEMORY_KIB, "{peak} KiB of {HOST_MEMORY_KIB} KiB");
}
