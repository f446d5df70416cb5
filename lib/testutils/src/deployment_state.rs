//! State of the deployment stand-in: its store, its replicas, and what was written and run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::endless_response::EndlessKind;
use crate::host_cut::ReplicaSockets;
use crate::store_core::StoreCopy;
use crate::store_core::StoreCore;
use crate::store_core::encode_keyed;

/// How a replica handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaMode {
    /// It runs and answers them.
    Answer,
    /// It runs them, sends this many events and drops the connection within the next one.
    CutAfter(u64),
    /// It runs them, sends this many events, sends nothing for a while and goes on.
    PauseAfter {
        /// Events before the pause.
        events: u64,
        /// How long it sends nothing.
        pause: Duration,
    },
    /// It runs them, sends this many events and then single bytes that complete no event.
    TrickleAfter(u64),
    /// It runs them and never responds to one in so many of them.
    HangOn {
        /// One in this many requests hangs.
        one_in: u64,
    },
    /// It runs them and closes the connection without a response.
    DropResponse,
    /// It runs them and answers with an error of its own.
    Fail,
    /// It runs them and answers one in so many with an error of its own.
    FailOn {
        /// One in this many requests fails.
        one_in: u64,
    },
    /// It runs them and answers later.
    SlowBy(Duration),
    /// It rejects them with a header that says that they were not executed.
    Refuse,
    /// It rejects them likewise, and states in seconds when it wants the next one.
    TurnAway {
        /// The field as it is sent.
        retry_after: &'static str,
    },
    /// It runs and answers them, and says in each response that it is leaving.
    Leaving,
    /// It runs and answers them with neither a length nor chunks, so that the answer ends with its
    /// connection.
    Unframed(UnframedEnd),
    /// It writes a response without end until the caller closes the connection.
    Endless(EndlessKind),
    /// It sends answers of this kind, which name their request, once more in front of the next answer on
    /// their connection.
    CopyLate(CopiedKind),
    /// It runs them, breaks fresh streams off within their third event, and answers resumed ones with an
    /// error and a body.
    FailResumed,
}

/// Which answers are sent a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopiedKind {
    /// Refusals with this status. Each request is refused once by each replica.
    Refusal(u16),
    /// Errors of requests that ran, which are half of all.
    Error,
    /// All answers that are not streams.
    Complete,
}

/// How an answer ends that ends with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnframedEnd {
    /// Completely, and the connection is closed in order.
    Complete,
    /// The connection is reset before the last piece.
    Reset,
    /// The connection is closed in order, within the last event of a stream. Other answers are complete.
    InsideEvent,
    /// The connection is closed in order, within the head.
    InsideHead,
    /// The connection is closed in order, before the first event of a stream. Other answers are complete.
    BeforeEvent,
}

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers them.
    #[default]
    Answer,
    /// It rejects all of them and has no side effects.
    Refuse,
    /// It resets the connections of all of them and has no side effects.
    Reset,
    /// It never responds and has no side effects.
    Silent,
    /// It processes calls, appends included, but never responds.
    DropResponses,
    /// It answers after a delay.
    Slow(Duration),
}

/// Identifies a store address of its own for one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLink(pub(crate) usize);

/// What a writer writes again after the store came back from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RewriteScope {
    /// Each record that was lost, in order.
    AllRecords,
    /// The newest value of each key whose record was lost.
    NewestValues,
}

/// What a writer learns of its write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and was acknowledged.
    Acknowledged,
    /// It took effect without an answer.
    Unanswered,
    /// It had no effect.
    Refused,
}

/// A record that the operator or a replica wrote.
#[derive(Clone, Debug)]
pub(crate) struct WrittenRecord {
    pub(crate) topic: &'static str,
    pub(crate) key: String,
    /// Empty if the key was removed.
    pub(crate) value: String,
}

impl WrittenRecord {
    pub(crate) fn names_same_key(&self, other: &Self) -> bool {
        self.topic == other.topic && self.key == other.key
    }
}

/// An earlier state of the store, and how much the operator and the replicas had written by then.
#[derive(Clone, Debug)]
pub struct StandinCopy {
    pub(crate) store: StoreCopy,
    pub(crate) written: usize,
}

/// The room of a replica that is brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrittleRoom {
    /// Requests a second that it may turn away.
    pub tolerance: u32,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
}

/// A replica and what it says of itself.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) mode: ReplicaMode,
    pub(crate) state: &'static str,
    /// Number of its last entry.
    pub(crate) sequence: u64,
    /// Until when it reads requests and sends nothing.
    pub(crate) silent_until: Option<Instant>,
    /// Requests that it turned away.
    pub(crate) turned_away: Vec<Instant>,
    /// Notified when its process crashes.
    pub(crate) crash: Arc<Notify>,
    /// Limit that it names in its answers, as it is sent.
    pub(crate) limit: Option<String>,
    /// Its room, if it is brittle, and the requests that it runs.
    pub(crate) room: Option<BrittleRoom>,
    pub(crate) running: usize,
    /// Version of its software.
    pub(crate) version: String,
    /// Ids of the requests that it has refused to send the refusal again.
    pub(crate) refused: BTreeSet<String>,
}

impl ReplicaState {
    /// Returns its entry in the directory.
    pub(crate) fn entry(&self, address: SocketAddr) -> Value {
        json!({
            "service": self.service, "address": address.to_string(), "zone": "north",
            "version": self.version, "slots": self.room.map_or(400, |room| room.slots), "state": self.state, "sequence": self.sequence,
            "born": 1,
        })
    }
}

/// The crash of a replica's process by a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaCrash {
    /// Index of the replica.
    pub replica: usize,
    /// When it crashed.
    pub at: Instant,
    /// Id of the replica.
    pub replica_id: String,
    /// Part of the request's prompt that crashed it.
    pub part: u64,
}

/// An accepted usage report.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// When it was accepted.
    pub at: Instant,
    /// Host that sent it.
    pub holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
    /// Its JSON body.
    pub body: Value,
}

/// How long a replica that crashes takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashTimes {
    /// From the end of its connections until its address refuses others.
    pub ending: Duration,
    /// Until its next process accepts connections.
    pub down: Duration,
}

/// A request that a replica executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// Number of the run.
    pub number: u64,
    /// Index of the replica.
    pub replica: usize,
    /// Id of the replica.
    pub replica_id: String,
    /// When it ran.
    pub at: Instant,
    /// How the replica handled requests when it began.
    pub mode: ReplicaMode,
    /// Request id.
    pub request_id: String,
    /// Whether it is answered by a stream.
    pub is_stream: bool,
    /// Id of the last event before the resumed stream; `None` for a fresh request.
    pub resumed_after: Option<u64>,
    /// Team that the gateway named to the replica.
    pub team: Option<String>,
    /// Whether the gateway forwarded the caller's key.
    pub received_team_key: bool,
    /// Part of its prompt that crashes replicas, if it has one.
    pub crashing_part: Option<u64>,
    /// Version of the replica's software.
    pub version: String,
}

/// The end of a stream that a replica executed: it was sent whole or broken off, or its connection was closed,
/// also before its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Number of its run.
    pub run: u64,
    /// Index of the replica.
    pub replica: usize,
    /// Request id.
    pub request_id: String,
    /// When it ended.
    pub at: Instant,
}

/// A change of the limit that a replica names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// Id of the replica.
    pub replica_id: String,
    /// When it changed.
    pub at: Instant,
    /// The limit as it is sent; `None` if it names none.
    pub limit: Option<String>,
}

/// An answer of a replica that named its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitAnswer {
    /// Id of the replica.
    pub replica_id: String,
    /// Request id.
    pub request_id: String,
    /// When its head was sent.
    pub at: Instant,
    /// The limit as it was sent.
    pub limit: String,
}

/// A request that a replica turned away until later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnedAway {
    /// Id of the replica.
    pub replica_id: String,
    /// Request id.
    pub request_id: String,
    /// When it was turned away.
    pub at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct DeploymentState {
    pub(crate) store: StoreCore,
    /// Mode of the store for all callers.
    pub(crate) mode: StoreMode,
    /// Mode of the store at the address of each link.
    pub(crate) link_modes: Vec<StoreMode>,
    /// What the operator and the replicas wrote, in order.
    pub(crate) written: Vec<WrittenRecord>,
    /// What the last restore lost of it.
    pub(crate) lost: Vec<WrittenRecord>,
    /// Number of records in `written` after the last restore.
    pub(crate) restored_at: usize,
    /// Store connections with a lower number carry nothing any more.
    pub(crate) silent_below: u64,
    pub(crate) next_connection: u64,
    pub(crate) replicas: Vec<ReplicaState>,
    pub(crate) runs: Vec<ReplicaRun>,
    pub(crate) stream_ends: Vec<StreamEnd>,
    /// Number of runs so far.
    pub(crate) run_count: u64,
    pub(crate) usage: Vec<UsageReport>,
    /// Largest fencing token of any accepted report.
    pub(crate) max_fencing_token: u64,
    pub(crate) scale_requests: Vec<Value>,
    /// Parts of prompts that crash the replicas that begin to answer them.
    pub(crate) crashing_parts: Vec<u64>,
    /// How long replicas that crash take.
    pub(crate) crash_times: CrashTimes,
    pub(crate) crashes: Vec<ReplicaCrash>,
    pub(crate) rejections: Vec<TurnedAway>,
    pub(crate) limit_records: Vec<LimitRecord>,
    pub(crate) limit_answers: Vec<LimitAnswer>,
    /// Sockets of the replicas, by their index.
    pub(crate) sockets: BTreeMap<usize, ReplicaSockets>,
}

impl DeploymentState {
    /// Changes the limit that a replica names.
    pub(crate) fn set_limit(&mut self, index: usize, limit: Option<String>) {
        let replica = &mut self.replicas[index];
        replica.limit.clone_from(&limit);
        let replica_id = replica.id.clone();
        self.limit_records.push(LimitRecord { replica_id, at: Instant::now(), limit });
    }

    /// Returns what the operator and the replicas wrote since the last restore.
    pub(crate) fn since_restore(&self) -> impl Iterator<Item = &WrittenRecord> {
        self.written.iter().skip(self.restored_at)
    }
}

pub(crate) type SharedState = Arc<Mutex<DeploymentState>>;

pub(crate) fn lock(state: &SharedState) -> MutexGuard<'_, DeploymentState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes a record as the operator or a replica does, and remembers it for a restore.
pub(crate) fn write(state: &mut DeploymentState, record: WrittenRecord) {
    let encoded = encode_keyed(&record.key, &record.value);
    let appended = state.store.append(record.topic, None, encoded);
    debug_assert!(appended.is_ok(), "an append without an expected offset succeeds");
    state.written.push(record);
}
