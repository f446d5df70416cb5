//! Small payloads of other modules that are piggybacked on membership messages.
//!
//! Each host publishes at most one payload of a kind. Hosts forward the newest version for each
//! origin and kind, those sent least often first, within a byte budget for each message. So the
//! traffic is bounded, whatever is published.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::Incarnation;

/// Maximum payload of one section, in bytes.
pub const MAX_SECTION_BYTES: usize = 320;

/// Encoded bytes of a section besides its payload.
const SECTION_HEADER_BYTES: usize = 24;

/// Maximum number of stored sections.
const MAX_SECTIONS: usize = 2_048;

/// Kind of a section. Kinds declared first are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionKind {
    /// Fingerprints of requests that are suspected to crash backend servers.
    CrashSuspicions,
    /// Quantized load of the backend servers that the origin polls.
    LoadDigest,
}

impl SectionKind {
    /// Returns whether the kind is forwarded to other regions.
    pub fn is_global(self) -> bool {
        match self {
            Self::CrashSuspicions => true,
            Self::LoadDigest => false,
        }
    }
}

/// Version of a section, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SectionVersion {
    /// Incarnation of the origin when it published the section.
    pub incarnation: Incarnation,
    /// Number of publications by the process of the origin so far.
    pub sequence: u32,
}

/// One payload with its origin and version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PayloadSection {
    /// Hash of the origin's host id.
    pub origin: u64,
    /// Kind of the payload.
    pub kind: SectionKind,
    /// Version.
    pub version: SectionVersion,
    /// Opaque bytes.
    pub payload: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SectionKey {
    kind: SectionKind,
    origin: u64,
}

#[derive(Debug)]
struct StoredSection {
    section: PayloadSection,
    sends: u32,
}

/// Scope of the sections that a message may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SectionScope {
    /// All kinds: the receiver is in the same region.
    Region,
    /// Only global kinds: the receiver is in another region.
    Global,
}

/// Result of merging a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SectionMerge {
    /// The section was new and is stored.
    Stored,
    /// The same or a newer version is known.
    Known,
    /// The section was dropped because the store is full.
    Full,
}

/// Newest known sections of all origins, with the queue of sections to send.
#[derive(Debug, Default)]
pub struct SectionStore {
    sections: BTreeMap<SectionKey, StoredSection>,
    queue: BTreeSet<(u32, SectionKey)>,
}

impl SectionStore {
    /// Merges a section.
    pub fn merge(&mut self, section: PayloadSection) -> SectionMerge {
        let key = SectionKey { kind: section.kind, origin: section.origin };
        let is_full = self.sections.len() >= MAX_SECTIONS;
        match self.sections.get_mut(&key) {
            Some(stored) if stored.section.version >= section.version => SectionMerge::Known,
            Some(stored) => {
                self.queue.remove(&(stored.sends, key));
                *stored = StoredSection { section, sends: 0 };
                self.queue.insert((0, key));
                SectionMerge::Stored
            }
            None if is_full => SectionMerge::Full,
            None => {
                self.sections.insert(key, StoredSection { section, sends: 0 });
                self.queue.insert((0, key));
                SectionMerge::Stored
            }
        }
    }

    /// Removes the sections of an origin.
    pub fn remove_origin(&mut self, origin: u64) {
        for kind in [SectionKind::CrashSuspicions, SectionKind::LoadDigest] {
            let key = SectionKey { kind, origin };
            if let Some(stored) = self.sections.remove(&key) {
                self.queue.remove(&(stored.sends, key));
            }
        }
    }

    /// Returns all sections of a kind, ordered by origin.
    pub fn of_kind(&self, kind: SectionKind) -> impl Iterator<Item = &PayloadSection> {
        self.sections
            .values()
            .map(|stored| &stored.section)
            .filter(move |section| section.kind == kind)
    }

    /// Takes sections for one message, those sent least often first, within `budget_bytes`. No
    /// section is sent more than `max_sends` times.
    pub fn take(
        &mut self,
        scope: SectionScope,
        max_sends: u32,
        budget_bytes: usize,
    ) -> Vec<PayloadSection> {
        let mut left = budget_bytes;
        let mut chosen = Vec::new();
        for &(sends, key) in &self.queue {
            if sends >= max_sends {
                break;
            }
            let size = self.sections[&key].section.payload.len() + SECTION_HEADER_BYTES;
            if size > left {
                break;
            }
            if scope == SectionScope::Region || key.kind.is_global() {
                left -= size;
                chosen.push(key);
            }
        }
        chosen.into_iter().filter_map(|key| self.mark_sent(key)).collect()
    }

    fn mark_sent(&mut self, key: SectionKey) -> Option<PayloadSection> {
        let stored = self.sections.get_mut(&key)?;
        self.queue.remove(&(stored.sends, key));
        stored.sends += 1;
        self.queue.insert((stored.sends, key));
        Some(stored.section.clone())
    }
}
