//! Gossiped record of one member, and the order of precedence of two records.

use std::net::SocketAddr;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionName;
use crate::ids::ZoneName;

/// Status of a member, in ascending order of precedence at equal incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It answers.
    Live,
    /// It did not answer recently and can still refute the suspicion.
    Suspected,
    /// It announced that it is leaving: it finishes its work and gets no new work.
    Leaving,
    /// It left, or did not refute a suspicion in time.
    Dead,
}

/// Gossiped record of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Identity.
    pub host: HostId,
    /// Incarnation of the host: identifies its process and increases with each refutation.
    pub incarnation: Incarnation,
    /// Status.
    pub status: MemberStatus,
    /// Address of its peer link.
    pub address: SocketAddr,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
}

impl MemberRecord {
    /// Returns whether this record replaces `known`.
    ///
    /// The higher incarnation wins. At equal incarnation, the status of higher precedence wins.
    /// Only the host itself raises its incarnation, so stale gossip cannot revive a host that left
    /// or died.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.status) > (known.incarnation, known.status)
    }

    /// Returns the hash of the record. The digest of a table is the sum of these hashes.
    ///
    /// A suspicion is transient and does not change the hash.
    pub fn digest(&self) -> u64 {
        let leaving = u8::from(self.status == MemberStatus::Leaving);
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.host.as_str().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(&[leaving]);
        first_word(&hasher.finalize())
    }
}

/// Low bits of an incarnation that count refutations. The bits above them identify the process.
const REFUTATION_BITS: u32 = 16;

/// Returns the first record incarnation of a process, given the incarnation of the process.
pub fn first_incarnation(process: Incarnation) -> Incarnation {
    Incarnation(process.0 << REFUTATION_BITS)
}

/// Returns the incarnation of the process that a record incarnation belongs to. Refutations do not
/// change it.
pub fn process_incarnation(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0 >> REFUTATION_BITS)
}

/// Returns the hash of a host id, which identifies the origin of payload sections.
pub fn host_hash(host: &HostId) -> u64 {
    first_word(&blake3::hash(host.as_str().as_bytes()))
}

fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
