//! Where a reader of a topic reads on.
//!
//! Failure pattern: the store comes back from an older copy, its offsets go back and are given out
//! again, or records are dropped while a read waits. A read from the old offset may succeed, and the
//! records before that offset are never read. Such a position is dropped, and the reader starts over
//! with the newest records.

use crate::gateway::platform_api::LogBounds;
use crate::ids::LogOffset;
use crate::ids::LogPosition;

/// What to do with the records of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorStep {
    /// They follow those that were read before.
    Apply,
    /// The position is not one of this log any more. Read the newest records instead.
    StartOver,
}

/// Position of a reader; none if it has to start with the newest records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCursor {
    position: Option<LogPosition>,
}

impl LogCursor {
    /// Returns the offset to read from, or `None` to read the newest records.
    pub fn offset(&self) -> Option<LogOffset> {
        self.position.map(|position| position.offset)
    }

    /// Moves on to `next` after a read from [`Self::offset`].
    pub fn on_read(&mut self, next: LogOffset, bounds: LogBounds) -> CursorStep {
        let is_valid = self.is_valid(next, bounds);
        self.position = is_valid.then_some(LogPosition { era: bounds.era, offset: next });
        if is_valid { CursorStep::Apply } else { CursorStep::StartOver }
    }

    /// Forgets the position after the store rejected a read from it.
    pub fn on_dropped(&mut self) {
        self.position = None;
    }

    /// Returns whether a read from [`Self::offset`] that would move the position to `next` shows that
    /// there is nothing new.
    pub fn is_unchanged(&self, next: LogOffset, bounds: LogBounds) -> bool {
        self.is_valid(next, bounds) && self.offset() == Some(next)
    }

    fn is_valid(&self, next: LogOffset, bounds: LogBounds) -> bool {
        self.position.is_none_or(|position| {
            position.era == bounds.era && position.offset >= bounds.first && next <= bounds.end
        })
    }
}
