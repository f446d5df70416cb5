//! Measures idempotency claims on the log: violations compared with deduplication in memory only,
//! appends and bytes at the target size, and the time and memory per key of the fold.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::claim_checkpoint::checkpoint_records;
use pomelostack_lib::claim_fold::ClaimFold;
use pomelostack_lib::claim_outcome::ClaimOutcome;
use pomelostack_lib::claim_outcome::ClaimRequest;
use pomelostack_lib::claim_outcome::ClaimToken;
use pomelostack_lib::claim_reader::ClaimReader;
use pomelostack_lib::claim_record::ClaimBatch;
use pomelostack_lib::claim_record::ClaimEntry;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::ClaimNonce;
use pomelostack_lib::claim_record::ClaimStatement;
use pomelostack_lib::claim_record::Claimant;
use pomelostack_lib::claim_record::RequestFingerprint;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::claim_record::WholeAnswer;
use pomelostack_lib::claim_writer::ClaimTicket;
use pomelostack_lib::claim_writer::ClaimWriter;
use pomelostack_lib::claim_writer::WriterAction;
use pomelostack_lib::claim_writer::WriterEvent;
use pomelostack_lib::claim_writer::WriterSettings;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use testutils::claim_audit::ClaimRule;
use testutils::claim_audit::HarnessReport;
use testutils::claim_harness::run_schedule;
use testutils::sim_log::SimLog;

const SCHEDULES: u64 = 500;
const TARGET_REQUESTS_PER_S: u32 = 1_000;
const SIMULATED_S: u64 = 10;
const APPEND_LATENCY_MS: u64 = 5;
const SERVICE_TIME_MS: u64 = 50;
const KEY_COUNTS: [usize; 3] = [20_000, 100_000, 400_000];
const ANSWER_BYTES: usize = 128;

/// Runs all measurements and prints one line for each.
pub fn run(seed: u64) {
    // Memory is measured first and all folds are kept: reused freed memory would not show up as
    // growth of the resident memory.
    let folds: Vec<_> = KEY_COUNTS.iter().map(|&keys| print_fold_cost(seed, keys)).collect();
    drop(black_box(folds));
    print_violations(seed);
    for share_permille in [10, 50, 100, 250] {
        // Eight entry hosts as at present, and one writer per availability zone at the target size.
        for (writers, interval_ms) in [(8, 25), (15, 50)] {
            for answer_bytes in [0, ANSWER_BYTES] {
                let load = CommitLoad { share_permille, writers, interval_ms, answer_bytes };
                print_group_commit(seed, load);
            }
        }
    }
}

fn print_violations(seed: u64) {
    let count = |rule| {
        let mut total = HarnessReport::default();
        for schedule in seed..seed + SCHEDULES {
            total.add(&run_schedule(schedule, rule));
        }
        total
    };
    let (memory_only, on_log) = (count(ClaimRule::MemoryOnly), count(ClaimRule::Log));
    let line = json!({
        "bench": "claims_violations",
        "seed": seed,
        "schedules": SCHEDULES,
        "naive_double_runs": memory_only.double_runs,
        "double_runs": on_log.double_runs,
        "false_not_run": on_log.false_not_runs,
        "mixed_answers": on_log.mixed_answers,
        "lost_accepted": on_log.lost_accepted,
        "accepted": on_log.accepted,
        "complete": on_log.complete,
        "not_run": on_log.not_run,
        "unknown": on_log.unknown,
    });
    println!("{line}");
}

/// A claim writer with its log reader. Times are milliseconds of virtual time.
struct BenchWriter {
    reader: ClaimReader,
    writer: ClaimWriter,
    in_flight: Option<(u64, Vec<u8>)>,
    running: BTreeMap<(u64, u64), ClaimToken>,
    submitted_ms: BTreeMap<ClaimTicket, u64>,
    delays_ms: Vec<u64>,
    answer_bytes: usize,
    bytes: usize,
    appends: u64,
}

impl BenchWriter {
    fn new(index: usize, load: CommitLoad) -> Self {
        let claimant = claimant(index);
        let writer = ClaimWriter::new(WriterSettings {
            claimant: claimant.clone(),
            key_retention: Duration::from_secs(600),
            max_keys: usize::MAX,
            max_answer_bytes: usize::MAX,
            max_pending: usize::MAX,
            append_interval: Duration::from_millis(load.interval_ms),
        });
        Self {
            reader: ClaimReader::new(claimant),
            writer,
            in_flight: None,
            running: BTreeMap::new(),
            submitted_ms: BTreeMap::new(),
            delays_ms: Vec::new(),
            answer_bytes: load.answer_bytes,
            bytes: 0,
            appends: 0,
        }
    }

    fn event(&mut self, now_ms: u64, event: WriterEvent) {
        for action in self.writer.on_event(Timestamp::from_millis(now_ms), event, &self.reader) {
            match action {
                WriterAction::Append(data) => {
                    self.bytes += data.len();
                    self.appends += 1;
                    self.in_flight = Some((now_ms + APPEND_LATENCY_MS, data));
                }
                WriterAction::Decide(ticket, ClaimOutcome::Won { token, .. }) => {
                    self.running.insert((now_ms + SERVICE_TIME_MS, ticket.0), token);
                    let submitted_ms = self.submitted_ms.remove(&ticket).unwrap_or(now_ms);
                    self.delays_ms.push(now_ms - submitted_ms);
                }
                WriterAction::Decide(..) => {}
            }
        }
    }

    /// Processes what is due by `now_ms`: the append in flight, the log read after it, and finished
    /// requests.
    fn step(&mut self, now_ms: u64, log: &mut SimLog) {
        if let Some((_, data)) = self.in_flight.take_if(|(due_ms, _)| *due_ms <= now_ms) {
            log.append(now_ms * 1_000, data);
            self.event(now_ms, WriterEvent::Appended);
            while let Ok(slice) = log.read(now_ms * 1_000, self.reader.position()) {
                let change = self.reader.on_slice(&slice);
                self.event(now_ms, WriterEvent::Folded(change));
                if self.reader.is_read_to_end() {
                    break;
                }
            }
        }
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let token = entry.remove();
            self.event(now_ms, WriterEvent::Complete(token, answer(self.answer_bytes)));
        }
        self.event(now_ms, WriterEvent::Tick);
    }
}

/// Load of one group commit measurement.
#[derive(Clone, Copy)]
struct CommitLoad {
    /// Share of requests with an idempotency key.
    share_permille: u32,
    writers: usize,
    interval_ms: u64,
    /// Size of each answer stored on the log; 0 stores a reference to the request instead.
    answer_bytes: usize,
}

fn print_group_commit(seed: u64, load: CommitLoad) {
    let CommitLoad { share_permille, writers, .. } = load;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = SimLog::default();
    let mut hosts: Vec<_> = (0..writers).map(|i| BenchWriter::new(i, load)).collect();
    for host in &mut hosts {
        if let Ok(slice) = log.read(0, LogOffset(0)) {
            host.reader.on_slice(&slice);
        }
    }
    let claims_per_ms = f64::from(TARGET_REQUESTS_PER_S * share_permille) / 1_000.0 / 1_000.0;
    let mut claims = 0;
    for now_ms in 0..SIMULATED_S * 1_000 {
        if rng.random_bool(claims_per_ms) {
            claims += 1;
            let host = &mut hosts[rng.random_range(0..writers)];
            let ticket = ClaimTicket(claims);
            host.submitted_ms.insert(ticket, now_ms);
            let request =
                ClaimRequest { key: key(claims), fingerprint: RequestFingerprint(claims) };
            let deadline = Timestamp::from_millis(now_ms + 30_000);
            host.event(now_ms, WriterEvent::Submit(ticket, request, deadline));
        }
        for host in &mut hosts {
            host.step(now_ms, &mut log);
        }
    }
    print_commit_line(seed, load, claims, &hosts);
}

fn print_commit_line(seed: u64, load: CommitLoad, claims: u64, hosts: &[BenchWriter]) {
    let mut delays_ms: Vec<u64> = hosts.iter().flat_map(|host| host.delays_ms.clone()).collect();
    delays_ms.sort_unstable();
    let bytes: usize = hosts.iter().map(|host| host.bytes).sum();
    let appends: u64 = hosts.iter().map(|host| host.appends).sum();
    let line = json!({
        "bench": "claims_group_commit",
        "seed": seed,
        "share_permille": load.share_permille,
        "writers": load.writers,
        "append_interval_ms": load.interval_ms,
        "answer_bytes": load.answer_bytes,
        "claims_per_s": claims / SIMULATED_S,
        "appends_per_s": appends / SIMULATED_S,
        "bytes_per_s": bytes as u64 / SIMULATED_S,
        "bytes_per_claim": bytes as u64 / claims.max(1),
        "claim_delay_p50_ms": percentile(&delays_ms, 50),
        "claim_delay_p99_ms": percentile(&delays_ms, 99),
    });
    println!("{line}");
}

fn percentile(sorted: &[u64], percent: usize) -> Option<u64> {
    sorted.get((sorted.len() * percent / 100).min(sorted.len().saturating_sub(1))).copied()
}

fn print_fold_cost(seed: u64, keys: usize) -> ClaimFold {
    let before = resident_bytes();
    let mut fold = ClaimFold::new();
    let mut elapsed = Duration::ZERO;
    for index in 0..keys {
        let batch = claim_and_completion(index as u64);
        let started = Instant::now();
        fold.apply(LogOffset(index as u64), 1_000, &batch);
        elapsed += started.elapsed();
    }
    let after = resident_bytes();
    let started = Instant::now();
    let parts = checkpoint_records(&claimant(0), &fold).unwrap_or_default();
    let checkpoint_ms = started.elapsed().as_millis() as u64;
    let line = json!({
        "bench": "claims_fold",
        "seed": seed,
        "keys": keys,
        "answer_bytes": ANSWER_BYTES,
        "resident_bytes_per_key": after.saturating_sub(before) / keys,
        "fold_ns_per_entry": elapsed.as_nanos() as u64 / (2 * keys as u64),
        "checkpoint_records": parts.len(),
        "checkpoint_bytes_per_key": parts.iter().map(Vec::len).sum::<usize>() / keys,
        "checkpoint_ms": checkpoint_ms,
    });
    println!("{line}");
    fold
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn claim_and_completion(index: u64) -> ClaimBatch {
    let entry = |statement| ClaimEntry { key: key(index), nonce: ClaimNonce(index), statement };
    let fingerprint = RequestFingerprint(index);
    ClaimBatch {
        claimant: claimant(0),
        sequence: index,
        retention_ms: 600_000,
        checked_ms: 1_000,
        knowledge: None,
        entries: vec![
            entry(ClaimStatement::Claim { fingerprint, basis: LogOffset(index) }),
            entry(ClaimStatement::Completion(answer(ANSWER_BYTES))),
        ],
    }
}

fn key(index: u64) -> ClaimKey {
    ClaimKey(ChaCha8Rng::seed_from_u64(index).random())
}

fn answer(bytes: usize) -> StoredAnswer {
    if bytes == 0 {
        return StoredAnswer::Reference(RequestId { origin: u64::MAX, sequence: 1 });
    }
    let body = vec![b'x'; bytes];
    StoredAnswer::Whole(WholeAnswer { status: 200, headers: Vec::new(), body })
}

fn claimant(index: usize) -> Claimant {
    let host = HostId::try_from(format!("entry-{index}")).expect("a valid name");
    Claimant { host, incarnation: Incarnation(1) }
}
