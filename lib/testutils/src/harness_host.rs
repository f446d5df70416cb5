//! One entry host of the claim harness.

use std::collections::BTreeSet;
use std::time::Duration;

use pomelostack_lib::claim_reader::ClaimReader;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::Claimant;
use pomelostack_lib::claim_writer::ClaimWriter;
use pomelostack_lib::claim_writer::WriterSettings;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;

use crate::naive_claims::MemoryOnly;

/// The claim decisions of one entry host's process.
pub struct SimHost {
    /// Whether the process runs.
    pub alive: bool,
    /// Life of the host.
    pub incarnation: Incarnation,
    /// Its reader.
    pub reader: ClaimReader,
    /// Its writer.
    pub writer: ClaimWriter,
    /// Memory of the broken rule.
    pub memory: MemoryOnly,
    /// Whether a read is under way.
    pub reading: bool,
    /// Timers that are set, in microseconds.
    pub timers: BTreeSet<u64>,
    /// When to read next, in microseconds.
    pub next_read: u64,
    /// When to write a checkpoint, in microseconds.
    pub next_checkpoint: u64,
    /// How far its clock is ahead.
    pub clock_offset: Duration,
}

impl SimHost {
    /// Starts a process at a time in microseconds.
    pub fn new(host: usize, incarnation: Incarnation, now: u64) -> Self {
        let name = HostId::try_from(format!("entry-{host}")).expect("a valid name");
        let claimant = Claimant { host: name, incarnation };
        Self {
            alive: true,
            incarnation,
            reader: ClaimReader::new(claimant.clone()),
            writer: ClaimWriter::new(WriterSettings {
                claimant,
                key_retention: Duration::from_secs(60),
                max_keys: 1_000,
                max_answer_bytes: 1 << 20,
                max_pending: 100,
                append_interval: Duration::from_millis(25),
            }),
            memory: MemoryOnly::default(),
            reading: false,
            timers: BTreeSet::new(),
            next_read: now,
            next_checkpoint: now,
            clock_offset: Duration::from_secs(1_000 * host as u64),
        }
    }
}

/// Returns the key with a number.
pub fn claim_key(key: usize) -> ClaimKey {
    ClaimKey([key as u8; 16])
}
