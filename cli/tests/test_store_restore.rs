//! The gateway as a process while the store comes back from an older copy.
//!
//! Whatever was written since the copy is gone, and its offsets are given out again.

use testutils::bounded_wait::wait_for;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

#[test]
fn config_change_missed() {
    let fixture = GatewayFixture::ready(PROGRAM, 40);
    let copy = fixture.standin.copy_store();
    fixture.standin.publish_config(4);
    wait_for(|| fixture.level("config_version") == Some(4));
    // The change takes the offset that the host has read already.
    fixture.standin.restore_store(copy);
    fixture.standin.publish_config(5);
    wait_for(|| fixture.level("config_version") == Some(5));
}
