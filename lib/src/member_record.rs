//! One member as hosts tell each other about it, and the rule that orders two such records.

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
    /// It did not answer lately and can still refute that.
    Suspected,
    /// It announced that it is leaving: it finishes its work and gets no more.
    Leaving,
    /// It left, or did not refute a suspicion in time.
    Dead,
}

/// What is known about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Identity.
    pub host: HostId,
    /// Life of the host that the record is about.
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
    /// The higher incarnation wins; at equal incarnation the status of higher precedence does. Only
    /// the host itself raises its incarnation, so nothing that others repeat can bring back a host
    /// that left or died.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.status) > (known.incarnation, known.status)
    }

    /// Returns the hash of the record that table digests add up.
    ///
    /// A suspicion is transient and leaves the hash as it is.
    pub fn digest(&self) -> u64 {
        let leaving = u8::from(self.status == MemberStatus::Leaving);
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.host.as_str().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(&[leaving]);
        first_word(&hasher.finalize())
    }
}

/// Bits of an incarnation that count refutations; the bits above them number the process's life.
const REFUTATION_BITS: u32 = 16;

/// Returns the first incarnation of a process's life.
pub fn first_incarnation(life: Incarnation) -> Incarnation {
    Incarnation(life.0 << REFUTATION_BITS)
}

/// Returns the life that an incarnation belongs to; it stays the same over refutations.
pub fn life_of(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0 >> REFUTATION_BITS)
}

/// Returns the hash by which payload sections name their origin.
pub fn host_hash(host: &HostId) -> u64 {
    first_word(&blake3::hash(host.as_str().as_bytes()))
}

fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
