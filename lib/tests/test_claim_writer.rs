//! The claim writer: group commit, lost replies, voids, deadlines and limits. Also the keeper that
//! runs it against a log.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pomelostack_lib::claim_codec::decode_record;
use pomelostack_lib::claim_keeper::ClaimKeeper;
use pomelostack_lib::claim_keeper::KeeperSettings;
use pomelostack_lib::claim_outcome::ClaimOutcome;
use pomelostack_lib::claim_outcome::ClaimRequest;
use pomelostack_lib::claim_outcome::ClaimToken;
use pomelostack_lib::claim_queue::AppendFailure;
use pomelostack_lib::claim_reader::ClaimReader;
use pomelostack_lib::claim_record::ClaimEntry;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::ClaimRecord;
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
use pomelostack_lib::log_service;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::log_service::LogSlice;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::not_run::NotRunProof;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::timestamp::ProcessClock;
use pomelostack_lib::timestamp::Timestamp;
use testutils::sim_log::SimLog;

fn settings(host: &str) -> WriterSettings {
    let host = HostId::try_from(host).expect("a valid name");
    WriterSettings {
        claimant: Claimant { host, incarnation: Incarnation(1) },
        key_retention: Duration::from_secs(600),
        max_keys: 5,
        max_answer_bytes: 1 << 20,
        max_pending: 4,
        append_interval: Duration::from_millis(25),
    }
}

fn request(key: u8, body: u64) -> ClaimRequest {
    ClaimRequest { key: ClaimKey([key; 16]), fingerprint: RequestFingerprint(body) }
}

fn whole_answer(bytes: usize) -> StoredAnswer {
    let body = vec![b'x'; bytes];
    StoredAnswer::Whole(WholeAnswer { status: 200, headers: Vec::new(), body })
}

/// One host that reads and appends to a shared log.
struct TestHost {
    reader: ClaimReader,
    writer: ClaimWriter,
    now: Timestamp,
    sent: Option<Vec<u8>>,
    outcomes: Vec<(ClaimTicket, ClaimOutcome)>,
}

impl TestHost {
    fn new(host: &str, log: &SimLog) -> Self {
        let settings = settings(host);
        let reader = ClaimReader::new(settings.claimant.clone());
        let writer = ClaimWriter::new(settings);
        let (now, sent, outcomes) = Default::default();
        let mut host = Self { reader, writer, now, sent, outcomes };
        host.read(log);
        host
    }

    fn event(&mut self, event: WriterEvent) {
        for action in self.writer.on_event(self.now, event, &self.reader) {
            match action {
                WriterAction::Append(data) => assert!(self.sent.replace(data).is_none()),
                WriterAction::Decide(ticket, outcome) => self.outcomes.push((ticket, outcome)),
            }
        }
    }

    fn submit(&mut self, ticket: u64, request: ClaimRequest, deadline_ms: u64) {
        let deadline = Timestamp::from_millis(deadline_ms);
        self.event(WriterEvent::Submit(ClaimTicket(ticket), request, deadline));
    }

    fn read(&mut self, log: &SimLog) {
        let slice = log.read(self.now.0, self.reader.position()).expect("readable");
        let change = self.reader.on_slice(&slice);
        self.event(WriterEvent::Folded(change));
    }

    fn advance_to(&mut self, millis: u64) {
        self.now = Timestamp::from_millis(millis);
        self.event(WriterEvent::Tick);
    }

    fn append_sent(&mut self, log: &mut SimLog) {
        let data = self.sent.take().expect("a record to append");
        log.append(self.now.0, data);
        self.event(WriterEvent::Appended);
    }

    fn sent_entries(&self) -> Vec<ClaimEntry> {
        match decode_record(self.sent.as_ref().expect("a record")).expect("a valid record") {
            ClaimRecord::Batch(batch) => batch.entries,
            ClaimRecord::Checkpoint(_) => Vec::new(),
        }
    }

    fn outcome(&mut self) -> ClaimOutcome {
        self.outcomes.pop().expect("an outcome").1
    }

    fn token(&mut self) -> ClaimToken {
        match self.outcome() {
            ClaimOutcome::Won { token, .. } => token,
            outcome => panic!("{outcome:?}"),
        }
    }
}

fn code_of(outcome: ClaimOutcome) -> (ResultCode, Option<NotRunProof>) {
    match outcome {
        ClaimOutcome::NotRun(refusal) | ClaimOutcome::KeyReused(refusal) => {
            (refusal.code(), Some(refusal.proof()))
        }
        ClaimOutcome::Unknown(code) => (code, None),
        outcome => panic!("{outcome:?}"),
    }
}

#[test]
fn group_commit() {
    let mut log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    for key in 0..4 {
        host.submit(u64::from(key), request(key, 0), 5_000);
    }
    assert_eq!(host.sent_entries().len(), 1);
    host.append_sent(&mut log);
    assert!(host.sent.is_none());
    host.advance_to(25);
    assert_eq!(host.sent_entries().len(), 3);
    host.append_sent(&mut log);
    host.read(&log);
    assert_eq!(host.outcomes.len(), 4);
    assert!(host.outcomes.iter().all(|(_, v)| matches!(v, ClaimOutcome::Won { .. })));
}

#[test]
fn idle_heartbeat() {
    let mut log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    host.submit(1, request(1, 0), 5_000);
    host.append_sent(&mut log);
    host.read(&log);
    host.advance_to(59_000);
    host.read(&log);
    assert!(host.sent.is_none());
    host.advance_to(91_000);
    host.read(&log);
    assert!(host.sent_entries().is_empty());
    host.append_sent(&mut log);
    host.advance_to(92_000);
    assert!(host.sent.is_none());
}

#[test]
fn lost_reply() {
    let mut log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    host.submit(1, request(1, 0), 5_000);
    log.append(0, host.sent.take().unwrap());
    host.event(WriterEvent::AppendFailed(AppendFailure::OutcomeUnknown));
    assert!(host.outcomes.is_empty());
    host.read(&log);
    host.token();
    host.advance_to(1_000);
    assert!(host.sent.is_none());
}

#[test]
fn void_proves_not_run() {
    let mut log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    host.submit(1, request(1, 0), 1_000);
    let delayed = host.sent.take().unwrap();
    host.event(WriterEvent::AppendFailed(AppendFailure::OutcomeUnknown));
    host.advance_to(750);
    assert_eq!(host.sent_entries()[0].statement, ClaimStatement::Void);
    assert!(host.outcomes.is_empty());
    host.append_sent(&mut log);
    host.read(&log);
    let proof = NotRunProof::ClaimVoided(LogOffset(0));
    assert_eq!(code_of(host.outcome()), (ResultCode::ClaimVoided, Some(proof)));
    // The delayed append succeeds: the request does not run, but a resend may.
    log.append(host.now.0, delayed);
    host.read(&log);
    assert!(host.outcomes.is_empty());
    host.submit(2, request(1, 0), 5_000);
    host.advance_to(800);
    host.append_sent(&mut log);
    host.read(&log);
    host.token();
}

#[test]
fn unresolved_at_deadline() {
    let mut log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    host.submit(1, request(1, 0), 1_000);
    let delayed = host.sent.take().unwrap();
    host.event(WriterEvent::AppendFailed(AppendFailure::OutcomeUnknown));
    host.advance_to(1_000);
    assert_eq!(code_of(host.outcome()), (ResultCode::ClaimUnresolved, None));
    // The delayed claim wins but is not dispatched, and its void releases the key.
    log.append(host.now.0, delayed);
    host.read(&log);
    assert!(host.outcomes.is_empty());
    host.append_sent(&mut log);
    let mut other = TestHost::new("entry-1", &log);
    other.submit(1, request(1, 0), 5_000);
    other.append_sent(&mut log);
    other.read(&log);
    other.token();
}

#[test]
fn other_host_answers() {
    let mut log = SimLog::default();
    let mut first = TestHost::new("entry-0", &log);
    let mut second = TestHost::new("entry-1", &log);
    first.submit(1, request(1, 0), 5_000);
    first.append_sent(&mut log);
    first.read(&log);
    let token = first.token();
    second.submit(1, request(1, 0), 5_000);
    second.append_sent(&mut log);
    second.read(&log);
    let claimant = settings("entry-0").claimant;
    assert_eq!(second.outcome(), ClaimOutcome::RunningElsewhere { claimant });
    let deadline = Timestamp::from_millis(5_000);
    second.event(WriterEvent::Wait(ClaimTicket(2), request(1, 0), deadline));
    first.advance_to(25);
    first.event(WriterEvent::Complete(token, whole_answer(10)));
    first.append_sent(&mut log);
    second.read(&log);
    assert_eq!(second.outcome(), ClaimOutcome::AnsweredBefore(whole_answer(10)));
    second.submit(3, request(1, 99), 5_000);
    let refused = (ResultCode::KeyReused, Some(NotRunProof::NeverDispatched));
    assert_eq!(code_of(second.outcome()), refused);
}

#[test]
fn large_answer_expires() {
    let mut log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    host.submit(1, request(1, 0), 5_000);
    host.append_sent(&mut log);
    host.read(&log);
    let token = host.token();
    host.advance_to(25);
    host.event(WriterEvent::Complete(token, whole_answer(5_000)));
    host.append_sent(&mut log);
    host.read(&log);
    host.submit(2, request(1, 0), 5_000);
    let answer = StoredAnswer::Failed(ResultCode::AnswerExpired);
    assert_eq!(host.outcome(), ClaimOutcome::AnsweredBefore(answer));
}

#[test]
fn refused_when_full() {
    let log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    for key in 0..5 {
        host.submit(u64::from(key), request(key, 0), 5_000);
    }
    let refused = (ResultCode::QueueFull, Some(NotRunProof::NeverDispatched));
    assert_eq!(code_of(host.outcome()), refused);
    assert_eq!(host.writer.pending(), 4);
}

/// While every host refuses claims, nothing is appended, so the fold's clock does not advance. Keys
/// must still expire, or the host would refuse claims forever.
#[test]
fn recovers_when_full() {
    let mut log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    for key in 0..5 {
        host.submit(u64::from(key), request(key, 0), 5_000);
        host.advance_to(host.now.as_millis() + 25);
        host.append_sent(&mut log);
        host.read(&log);
        host.token();
    }
    host.submit(5, request(5, 0), 5_000);
    assert_eq!(code_of(host.outcome()).0, ResultCode::QueueFull);
    // A new key and an expired key that was never completed can both be claimed.
    for key in [5, 0] {
        host.advance_to(host.now.as_millis() + 700_000);
        host.read(&log);
        host.append_sent(&mut log);
        host.advance_to(host.now.as_millis() + 25);
        host.submit(6, request(key, 0), host.now.as_millis() + 5_000);
        host.append_sent(&mut log);
        host.read(&log);
        host.token();
    }
}

#[test]
fn few_claims_in_outage() {
    let log = SimLog::default();
    let mut host = TestHost::new("entry-0", &log);
    host.submit(1, request(1, 0), 1_000);
    for second in 0..30 {
        host.submit(100 + second, request(2, 0), 1_000 * (second + 1));
        host.advance_to(1_000 * (second + 1));
        if host.sent.take().is_some() {
            host.event(WriterEvent::AppendFailed(AppendFailure::OutcomeUnknown));
        }
    }
    host.advance_to(40_000);
    assert_eq!(host.outcomes.len(), 31);
    // Only the claim that was in flight when the outage began still needs a void.
    assert_eq!(host.sent_entries().len(), 1);
}

/// In-memory log on the clock of the test process.
struct MemoryLog {
    clock: ProcessClock,
    log: Mutex<SimLog>,
    fail_appends: Mutex<u32>,
}

impl LogService for MemoryLog {
    fn append(&self, _: LogStream, data: &[u8]) -> log_service::Result<LogOffset> {
        self.log.lock().expect("unpoisoned").append(self.clock.now().0, data.to_vec());
        let mut failures = self.fail_appends.lock().expect("unpoisoned");
        if *failures > 0 {
            *failures -= 1;
            return Err(LogError::OutcomeUnknown("reply lost".to_owned()));
        }
        Ok(LogOffset(0))
    }

    fn read(&self, _: LogStream, from: LogOffset, _: usize) -> log_service::Result<LogSlice> {
        self.log.lock().expect("unpoisoned").read(self.clock.now().0, from)
    }
}

#[test]
fn keeper_decides() {
    let clock = ProcessClock::start();
    let log = Arc::new(MemoryLog { clock, log: Mutex::default(), fail_appends: Mutex::new(1) });
    let start = |host: &str| {
        let read_interval = Duration::from_millis(5);
        let settings = KeeperSettings { writer: settings(host), read_interval };
        ClaimKeeper::start(settings, log.clone(), clock)
    };
    let (first, second) = (start("entry-0"), start("entry-1"));
    let deadline = clock.now() + Duration::from_secs(50);
    let token = match first.claim(request(1, 0), deadline) {
        ClaimOutcome::Won { token, .. } => token,
        outcome => panic!("{outcome:?}"),
    };
    assert!(token.may_dispatch(clock.now()));
    let claimant = settings("entry-0").claimant;
    let running = ClaimOutcome::RunningElsewhere { claimant };
    assert_eq!(second.claim(request(1, 0), deadline), running);
    first.complete(token, whole_answer(3));
    let answered = ClaimOutcome::AnsweredBefore(whole_answer(3));
    assert_eq!(second.wait_for_answer(request(1, 0), deadline), answered);
    let token = match second.claim(request(2, 0), deadline) {
        ClaimOutcome::Won { token, .. } => token,
        outcome => panic!("{outcome:?}"),
    };
    second.release(token);
    let released = second.wait_for_answer(request(2, 0), deadline);
    assert!(matches!(released, ClaimOutcome::NotRun(_)), "{released:?}");
    assert!(first.is_running() && first.is_caught_up());
    first.stop();
    second.stop();
    assert!(!first.is_running());
    assert!(first.stats().unconfirmed_appends > 0);
}
