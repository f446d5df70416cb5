//! A simulated entry host of the claim harness.

use std::collections::BTreeSet;
use std::time::Duration;

use pomelostack_lib::claim_reader::ClaimReader;
use pomelostack_lib::claim_reader::ReadChange;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::Claimant;
use pomelostack_lib::claim_writer::ClaimWriter;
use pomelostack_lib::claim_writer::WriterSettings;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogSlice;

use crate::naive_claims::MemoryOnly;

/// Microseconds per second.
pub const SECOND_US: u64 = 1_000_000;

const IDLE_READ_INTERVAL_US: u64 = SECOND_US;
const BUSY_READ_INTERVAL_US: u64 = SECOND_US / 20;
const CHECKPOINT_INTERVAL_US: u64 = 2 * SECOND_US;
/// Time after which no checkpoints are needed, as no fault shortens retention any more.
const LAST_CHECKPOINT_US: u64 = 60 * SECOND_US;
/// Time by which all claims are decided; afterwards the hosts read less often.
const ALL_DECIDED_US: u64 = 320 * SECOND_US;

/// Claim reader and writer of one entry host's process.
pub struct SimHost {
    /// Whether the process runs.
    pub alive: bool,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Claim reader.
    pub reader: ClaimReader,
    /// Claim writer.
    pub writer: ClaimWriter,
    /// State of the deliberately broken rule that decides from memory alone.
    pub memory: MemoryOnly,
    /// Whether a read is in flight.
    pub reading: bool,
    /// Times of the pending timers, in microseconds.
    pub timers: BTreeSet<u64>,
    /// Time of the next read, in microseconds.
    pub next_read: u64,
    /// Time of the next checkpoint, in microseconds.
    pub next_checkpoint: u64,
    /// How far the host's clock is ahead of virtual time.
    pub clock_offset: Duration,
}

impl SimHost {
    /// Starts a process at `now`, in microseconds.
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

    /// Applies the result of a read and schedules the next one. Returns the change, or `None` if
    /// the read failed.
    pub fn take_read(
        &mut self,
        now: u64,
        result: Result<LogSlice, LogError>,
    ) -> Option<ReadChange> {
        self.reading = false;
        let idle_us =
            if now < ALL_DECIDED_US { IDLE_READ_INTERVAL_US } else { 10 * IDLE_READ_INTERVAL_US };
        let busy = self.writer.pending() > 0;
        self.next_read = now + if busy { BUSY_READ_INTERVAL_US } else { idle_us };
        let change = match result {
            Ok(slice) => self.reader.on_slice(&slice),
            Err(LogError::Expired(first)) => self.reader.on_expired(first),
            Err(_) => {
                self.reader.on_read_failed();
                return None;
            }
        };
        if !self.reader.is_read_to_end() {
            self.next_read = now;
        }
        Some(change)
    }

    /// Returns whether a checkpoint is due and, if so, schedules the next one.
    pub fn take_due_checkpoint(&mut self, now: u64) -> bool {
        let due = now < LAST_CHECKPOINT_US && now >= self.next_checkpoint;
        if due {
            self.next_checkpoint = now + CHECKPOINT_INTERVAL_US;
        }
        due
    }

    /// Returns the time at which the host must run next, in microseconds.
    pub fn next_wake(&self) -> Option<u64> {
        let writer_wake = self.writer.next_wake(&self.reader);
        let writer_wake = writer_wake.map(|wake| (wake - self.clock_offset).0);
        let read_wake = (!self.reading).then_some(self.next_read);
        writer_wake.into_iter().chain(read_wake).min()
    }
}

/// Returns the claim key of a number.
pub fn claim_key(key: usize) -> ClaimKey {
    ClaimKey([key as u8; 16])
}
