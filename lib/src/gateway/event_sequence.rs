//! Decides which events of a server continue a stream.
//!
//! A server that is asked to go on after an event may answer with something else: an error as an event or as
//! text, events after a gap, or events that were relayed before. A run that does not continue the
//! stream is broken off before any of it is relayed.

use crate::gateway::event_splitter::StreamEvent;

/// What to do with an event of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventStep {
    /// Relay it.
    Relay,
    /// Drop it: an event with its number was relayed before, or it carries nothing.
    Drop,
    /// Break off its server's run: it does not continue the stream.
    BreakOff,
}

/// How far a server's run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunPlace {
    /// It begins the stream and has brought no event.
    Fresh,
    /// It is to go on after the last event and has brought no new one.
    Joining {
        /// Highest number of the events that it repeated.
        highest: Option<u64>,
    },
    /// It is relayed.
    Relayed,
}

/// How the numbers of events that follow one another differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NumberStep {
    /// Not known yet.
    Unknown,
    /// By one.
    One,
    /// By other steps, so that a gap is not recognized.
    Other,
}

/// The events of a stream that were relayed, and the run that goes on after them.
#[derive(Clone, Copy, Debug)]
pub struct EventSequence {
    last: Option<u64>,
    step: NumberStep,
    has_unnumbered: bool,
    place: RunPlace,
}

impl EventSequence {
    /// Builds the sequence of a stream whose caller has the events up to a number.
    pub fn new(resume_after: Option<u64>) -> Self {
        Self {
            last: resume_after,
            step: NumberStep::Unknown,
            has_unnumbered: false,
            place: RunPlace::Fresh,
        }
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether another server can go on: it finds its place by the number of the last event alone.
    pub fn may_resume(&self) -> bool {
        !self.has_unnumbered
    }

    /// Records that the run of another server follows, or the first one.
    pub fn start_run(&mut self) {
        self.place = match self.last {
            Some(_) => RunPlace::Joining { highest: None },
            None => RunPlace::Fresh,
        };
    }

    /// Returns what to do with the next event of the current run.
    pub fn step(&self, event: &StreamEvent) -> EventStep {
        match (event.id, self.last) {
            (Some(id), Some(last)) if id <= last => EventStep::Drop,
            _ if matches!(self.place, RunPlace::Fresh | RunPlace::Relayed) => EventStep::Relay,
            (Some(id), Some(last)) if id - last > 1 && self.step == NumberStep::One => {
                EventStep::BreakOff
            }
            (Some(_), _) => EventStep::Relay,
            (None, _) if event.is_comment() => EventStep::Drop,
            (None, _) => EventStep::BreakOff,
        }
    }

    /// Returns what to do with the first event of another run.
    pub fn joining_step(&self, event: &StreamEvent) -> EventStep {
        let mut joining = *self;
        joining.start_run();
        joining.step(event)
    }

    /// Returns whether the stream is complete if the current run ends. An end that only the close of the
    /// connection shows proves nothing before the run's first new event.
    pub fn is_complete(&self, is_framed: bool) -> bool {
        match self.place {
            RunPlace::Fresh => is_framed,
            RunPlace::Joining { highest } => {
                is_framed && (highest.is_none() || highest == self.last)
            }
            RunPlace::Relayed => true,
        }
    }

    /// Records that an event is dropped.
    pub fn on_dropped(&mut self, event: &StreamEvent) {
        if let RunPlace::Joining { highest } = &mut self.place {
            *highest = event.id.max(*highest);
        }
    }

    /// Records that an event is relayed.
    pub fn on_relayed(&mut self, event: &StreamEvent) {
        if event.is_comment() {
            return;
        }
        self.place = RunPlace::Relayed;
        let Some(id) = event.id else {
            self.has_unnumbered = true;
            return;
        };
        self.step = match (self.step, self.last) {
            (NumberStep::Unknown, None) => NumberStep::Unknown,
            (NumberStep::Unknown | NumberStep::One, Some(last)) if id - last == 1 => {
                NumberStep::One
            }
            _ => NumberStep::Other,
        };
        self.last = Some(id);
    }
}
