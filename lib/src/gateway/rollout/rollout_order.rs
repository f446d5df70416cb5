//! The operators' orders to roll out a version, and the records of how far the system has got.

use std::time::Duration;

use crate::gateway::platform_api::LogBounds;
use crate::ids::LogOffset;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::software_version::SoftwareVersion;

/// An order to move a service's traffic to the servers of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The version.
    pub to: SoftwareVersion,
    /// The version as the operator wrote it.
    pub to_text: String,
    /// Time within which the roll-out must end.
    pub duration: Duration,
}

/// A record of an order in the operators' log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Service.
    pub service: ServiceName,
    /// Offset of the record.
    pub offset: LogOffset,
    /// The order; `None` if it was removed or is not valid.
    pub order: Option<RolloutOrder>,
}

/// State of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The new version gets a share of the requests, or none yet.
    Running,
    /// The new version serves; the servers of the old one stop.
    Completed,
    /// The new version gets no requests any more.
    RolledBack,
}

impl RolloutState {
    /// Returns the number in hosts' reports.
    pub fn number(state: Option<Self>) -> u32 {
        match state {
            None | Some(Self::Running) => 0,
            Some(Self::Completed) => 1,
            Some(Self::RolledBack) => 2,
        }
    }

    /// Returns the final state of a number in a report.
    pub fn of_number(number: u32) -> Option<Self> {
        match number {
            1 => Some(Self::Completed),
            2 => Some(Self::RolledBack),
            _ => None,
        }
    }

    /// Returns whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// What hosts do with new requests while a roll-out runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Number of the step; 0 is the one in which nothing is sent to the new version.
    pub number: u32,
    /// Thousandths of the new requests that each host sends to the new version while it is on.
    pub share: u32,
    /// Thousandths of all requests since the order that may have gone there.
    pub limit: u32,
    /// Number of the new version's servers that are used.
    pub servers: u32,
    /// Thousandths of the time in which the new version is on.
    pub on: u32,
}

/// A record of a roll-out in the log of states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusRecord {
    /// Service.
    pub service: ServiceName,
    /// State.
    pub state: RolloutState,
    /// The version as the operator wrote it.
    pub to_text: String,
    /// Offset of the order.
    pub order: LogOffset,
    /// Era of the store in which the record was written.
    pub era: StoreEra,
    /// Current step.
    pub step: RolloutStep,
    /// When the order was seen, in milliseconds since 1970.
    pub ordered_ms: u64,
    /// Versions that served when the roll-out began.
    pub from: Vec<SoftwareVersion>,
    /// Versions that were rolled back and not ordered again since.
    pub refused: Vec<SoftwareVersion>,
    /// Why the record was written.
    pub reason: String,
}

impl StatusRecord {
    /// Returns the version.
    pub fn to(&self) -> SoftwareVersion {
        SoftwareVersion::of(self.to_text.as_bytes())
    }
}

/// Result of reading the log of states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatusRead {
    /// Records in log order.
    pub records: Vec<(LogOffset, StatusRecord)>,
    /// Whether these are the newest records of all services.
    pub complete: bool,
    /// Offset of the next read.
    pub next: LogOffset,
    /// Number of malformed records.
    pub skipped: usize,
    /// Bounds of the log.
    pub bounds: LogBounds,
}
