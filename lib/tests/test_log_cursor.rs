//! Positions in a log whose store comes back from an older copy or drops records.

use pomelostack_lib::gateway::log_cursor::CursorStep;
use pomelostack_lib::gateway::log_cursor::LogCursor;
use pomelostack_lib::gateway::platform_api::LogBounds;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::StoreEra;
use rstest::rstest;

fn bounds(era: u64, first: u64, end: u64) -> LogBounds {
    LogBounds { era: StoreEra(era), first: LogOffset(first), end: LogOffset(end) }
}

/// Returns a cursor that read up to offset 5 in era 1.
fn cursor_at_five() -> LogCursor {
    let mut cursor = LogCursor::default();
    assert_eq!(cursor.offset(), None);
    assert_eq!(cursor.on_read(LogOffset(5), bounds(1, 0, 5)), CursorStep::Apply);
    cursor
}

#[rstest]
#[case::records(7, bounds(1, 0, 7))]
#[case::more_to_read(7, bounds(1, 2, 9))]
#[case::dropped_before(5, bounds(1, 5, 5))]
fn position_kept(#[case] next: u64, #[case] bounds: LogBounds) {
    let mut cursor = cursor_at_five();
    assert_eq!(cursor.on_read(LogOffset(next), bounds), CursorStep::Apply);
    assert_eq!(cursor.offset(), Some(LogOffset(next)));
}

#[rstest]
#[case::offsets_reused(7, bounds(2, 0, 7))]
#[case::offsets_reused_up_to_it(5, bounds(2, 0, 5))]
#[case::went_back_unannounced(5, bounds(1, 0, 4))]
#[case::dropped_while_waiting(5, bounds(1, 6, 6))]
fn position_dropped(#[case] next: u64, #[case] bounds: LogBounds) {
    let mut cursor = cursor_at_five();
    assert!(!cursor.is_unchanged(LogOffset(next), bounds));
    assert_eq!(cursor.on_read(LogOffset(next), bounds), CursorStep::StartOver);
    assert_eq!(cursor.offset(), None);
    assert_eq!(cursor.on_read(LogOffset(4), bounds), CursorStep::Apply);
}

#[test]
fn nothing_new() {
    let cursor = cursor_at_five();
    assert!(cursor.is_unchanged(LogOffset(5), bounds(1, 0, 5)));
    assert!(!cursor.is_unchanged(LogOffset(6), bounds(1, 0, 6)));
}
