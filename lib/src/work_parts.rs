//! Identifies the parts of a request's work that other requests may share.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of parts of one request. Of more, those with the smallest hashes are kept, so that
/// requests that share a part tend to keep it alike.
pub const MAX_WORK_PARTS: usize = 48;

/// Hash of one part of a request's work. The lowest bit is set if it is the same in all services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkPart(pub u64);

/// Bit of a hash that is set if the part is the same in all services.
const ANY_SERVICE_BIT: u64 = 1;

impl WorkPart {
    /// Hashes a part of a prompt within its service, given by its identifier or its text.
    pub fn of_prompt(service: &str, part: &[u8]) -> Self {
        Self(Self::hash(&[b"prompt", service.as_bytes(), part]) & !ANY_SERVICE_BIT)
    }

    /// Hashes a part of a prompt in any service.
    pub fn of_any_service(part: &[u8]) -> Self {
        Self(Self::hash(&[b"prompt of any service", part]) | ANY_SERVICE_BIT)
    }

    /// Hashes a whole request: every resend of the same work is the same part.
    pub fn of_request(fields: &[&[u8]]) -> Self {
        Self(Self::hash(fields) & !ANY_SERVICE_BIT)
    }

    /// Returns whether it is a part of a prompt in any service.
    pub fn is_of_any_service(self) -> bool {
        self.0 & ANY_SERVICE_BIT != 0
    }

    fn hash(fields: &[&[u8]]) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}

impl fmt::Display for WorkPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A set of parts, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Vec<WorkPart>")]
pub struct WorkParts(Vec<WorkPart>);

impl WorkParts {
    /// Builds the parts of a request: the request as a whole, and parts of its prompt.
    pub fn new(request: WorkPart, prompt: impl IntoIterator<Item = WorkPart>) -> Self {
        let Self(mut parts) = prompt.into_iter().collect();
        parts.truncate(MAX_WORK_PARTS - 1);
        parts.push(request);
        parts.into_iter().collect()
    }

    /// Returns the parts.
    pub fn iter(&self) -> impl Iterator<Item = WorkPart> + '_ {
        self.0.iter().copied()
    }

    /// Returns whether a part is in the set.
    pub fn contains(&self, part: WorkPart) -> bool {
        self.0.binary_search(&part).is_ok()
    }

    /// Returns whether all parts of another set are in this one.
    pub fn contains_all(&self, other: &Self) -> bool {
        other.iter().all(|part| self.contains(part))
    }

    /// Removes the parts for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(WorkPart) -> bool) {
        self.0.retain(|part| keep(*part));
    }

    /// Returns the parts that are the same in all services, if there is one for each part of the
    /// prompt within its service and nothing else.
    pub fn in_any_service(&self) -> Option<Self> {
        let parts: Self = self.iter().filter(|part| part.is_of_any_service()).collect();
        (!parts.is_empty() && parts.len() * 2 == self.len()).then_some(parts)
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the first part.
    pub fn first(&self) -> Option<WorkPart> {
        self.0.first().copied()
    }
}

impl FromIterator<WorkPart> for WorkParts {
    fn from_iter<I: IntoIterator<Item = WorkPart>>(parts: I) -> Self {
        Self::from(parts.into_iter().collect::<Vec<_>>())
    }
}

impl From<Vec<WorkPart>> for WorkParts {
    fn from(mut parts: Vec<WorkPart>) -> Self {
        parts.sort_unstable();
        parts.dedup();
        parts.truncate(MAX_WORK_PARTS);
        Self(parts)
    }
}

impl fmt::Display for WorkParts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(formatter, "{separator}{part}")?;
        }
        Ok(())
    }
}
