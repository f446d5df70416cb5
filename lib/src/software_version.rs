//! Versions of the software that backend servers run.

use std::fmt;

use crate::text_label::TextLabel;

/// Label of servers that state no version.
const UNSTATED: &str = "-";

/// Version of the software that a backend server runs. Versions have no order: two are the same, or
/// what they write does not fit together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Option<TextLabel>);

impl SoftwareVersion {
    /// The version of servers that state none; they count as running the same software.
    pub const UNSTATED: Self = Self(None);

    /// Returns the version that a server states as these bytes.
    pub fn of(stated: &[u8]) -> Self {
        Self(Some(TextLabel::of(stated)))
    }

    /// Returns the version of a label that a peer or a record states; `None` if it is not a label.
    pub fn parse(label: &str) -> Option<Self> {
        if label == UNSTATED {
            return Some(Self::UNSTATED);
        }
        TextLabel::parse(label).map(|label| Self(Some(label)))
    }

    /// Returns the label of the version.
    pub fn as_str(&self) -> &str {
        self.0.as_ref().map_or(UNSTATED, TextLabel::as_str)
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
