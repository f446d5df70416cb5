//! What the judge of requests accepts and rejects.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_soak::call_judge::CallContext;
use pomelostack_soak::call_judge::CallExcuse;
use pomelostack_soak::call_judge::CallFault;
use pomelostack_soak::call_judge::CallOutcome;
use pomelostack_soak::call_judge::CallRecord;
use pomelostack_soak::call_judge::ReplyFault;
use pomelostack_soak::call_judge::WorkRun;
use pomelostack_soak::call_judge::announced_leavers;
use pomelostack_soak::call_judge::check_reply;
use pomelostack_soak::call_judge::count_excuses;
use pomelostack_soak::call_judge::judge_calls;
use pomelostack_soak::config_judge::SentVersion;
use pomelostack_soak::config_plan::ConfigVersion;
use pomelostack_soak::reply_parser::ReplyParser;
use pomelostack_soak::touch_record::Disturbance;
use pomelostack_soak::touch_record::DisturbedPart;
use pomelostack_soak::touch_record::TouchRecord;
use pomelostack_soak::work_plan::WORK_ROUTES;
use pomelostack_soak::work_plan::WorkKind;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use testutils::deployment_standin::EndlessKind;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::event_text;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn route_of(kind: WorkKind) -> usize {
    WORK_ROUTES.iter().position(|route| route.kind == kind).expect("each kind has a route")
}

/// Returns a call of host 0 with a deadline of 5 s that was sent at second 10.
fn call(kind: WorkKind, ended_ms: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        host: 0,
        request_id: "0-w0-1".to_owned(),
        route: route_of(kind),
        is_reused: true,
        started_at: millis(10_000),
        sent_at: millis(10_000),
        ended_at: millis(ended_ms),
        deadline: millis(5_000),
        outcome,
        fault: None,
        followed_at: None,
        leaver: None,
    }
}

fn sent(config: ConfigVersion, at_ms: u64) -> SentVersion {
    SentVersion { config, sent_at: millis(at_ms), acknowledged_at: Some(millis(at_ms)) }
}

fn judge(
    call: CallRecord,
    modes: &[ReplicaMode],
    versions: &[SentVersion],
    touch: &TouchRecord,
) -> Vec<CallFault> {
    let run = |(index, mode): (usize, &ReplicaMode)| WorkRun {
        crashed: false,
        at: millis(10_000),
        replica: format!("i-{index}"),
        mode: *mode,
    };
    let runs: Vec<WorkRun> = modes.iter().enumerate().map(run).collect();
    let runs = BTreeMap::from([(call.request_id.clone(), runs)]);
    let context = CallContext { runs: &runs, versions, touch, grace: millis(8_000) };
    judge_calls(&[call], &context).into_iter().map(|(_, fault)| fault).collect()
}

fn judge_calm(call: CallRecord, modes: &[ReplicaMode]) -> Vec<CallFault> {
    let versions = [sent(ConfigVersion::first(), 0)];
    judge(call, modes, &versions, &TouchRecord::default())
}

/// A stream may go back to a replica that had it before, a few times, and other calls may not.
#[rstest]
#[case::stream(WorkKind::Resumable, 5, None)]
#[case::too_often(WorkKind::Resumable, 6, Some(CallFault::TooManyAttempts))]
#[case::call(WorkKind::Safe, 3, Some(CallFault::TooManyAttempts))]
fn returned_runs(
    #[case] kind: WorkKind,
    #[case] count: usize,
    #[case] expected: Option<CallFault>,
) {
    let call = call(kind, 11_000, CallOutcome::Complete);
    let run = |index: usize| WorkRun {
        crashed: false,
        at: millis(10_000),
        replica: format!("i-{}", index % 2),
        mode: ReplicaMode::Answer,
    };
    let runs = BTreeMap::from([(call.request_id.clone(), (0..count).map(run).collect())]);
    let (versions, touch) = ([sent(ConfigVersion::first(), 0)], TouchRecord::default());
    let context =
        CallContext { runs: &runs, versions: &versions, touch: &touch, grace: millis(8_000) };
    let faults: Vec<_> = judge_calls(&[call], &context).into_iter().map(|it| it.1).collect();
    assert_eq!(faults, Vec::from_iter(expected));
}

const PAUSE: ReplicaMode = ReplicaMode::PauseAfter { events: 3, pause: Duration::from_secs(2) };

#[rstest]
#[case::sound(ReplicaMode::Answer, true)]
#[case::silent(PAUSE, true)]
#[case::hanging(ReplicaMode::HangOn { one_in: 2 }, true)]
#[case::breaking(ReplicaMode::CutAfter(3), false)]
#[case::dropping(ReplicaMode::DropResponse, false)]
#[case::endless(ReplicaMode::Endless(EndlessKind::StreamEvent), false)]
fn cut_stream(
    #[case] mode: ReplicaMode,
    #[case] is_lost: bool,
    #[values(CallOutcome::Cut, CallOutcome::Closed)] outcome: CallOutcome,
) {
    let faults = judge_calm(call(WorkKind::Resumable, 12_000, outcome), &[mode]);
    assert_eq!(faults, Vec::from_iter(is_lost.then_some(CallFault::Lost)));
}

#[rstest]
#[case::early(14_800, true)]
#[case::at_the_deadline(14_950, false)]
#[case::after_the_deadline(15_100, false)]
fn cut_late(#[case] ended_ms: u64, #[case] is_lost: bool) {
    let faults =
        judge_calm(call(WorkKind::Safe, ended_ms, CallOutcome::Closed), &[ReplicaMode::Answer]);
    assert_eq!(!faults.is_empty(), is_lost);
}

/// The time limit of the version in force ends a call, that of a replaced one does not.
#[rstest]
#[case::in_force(9_000, false)]
#[case::new(9_990, false)]
#[case::too_new(10_500, true)]
fn time_limit(#[case] second_ms: u64, #[case] is_lost: bool) {
    let first = ConfigVersion::first();
    let mut second = first.clone();
    second.version += 1;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let route = route_of(WorkKind::Safe);
    while second.work.time_limit(route) != millis(800) {
        second.work = second.work.next(&mut random);
    }
    let versions = [sent(first, 0), sent(second.clone(), second_ms)];
    let cut = call(WorkKind::Safe, 10_900, CallOutcome::Closed);
    let touch = TouchRecord::default();
    let faults = judge(cut.clone(), &[ReplicaMode::Answer], &versions, &touch);
    assert_eq!(!faults.is_empty(), is_lost);
    let mut third = ConfigVersion::first();
    third.version = second.version + 1;
    let versions = [sent(second, 0), sent(third, 5_000)];
    let faults = judge(cut, &[ReplicaMode::Answer], &versions, &touch);
    assert_eq!(faults, [CallFault::Lost]);
}

#[rstest]
#[case::frozen(DisturbedPart::Host(0), 9_000, 9_500, false)]
#[case::contact_over(DisturbedPart::Host(0), 5_000, 6_900, true)]
#[case::other_host(DisturbedPart::Host(1), 9_000, 9_500, true)]
#[case::store(DisturbedPart::Store, 9_000, 11_000, true)]
#[case::link(DisturbedPart::Link(0), 9_000, 11_000, true)]
#[case::early_exit(DisturbedPart::Shutdown(0), 9_000, 12_050, true)]
#[case::late_exit(DisturbedPart::Shutdown(0), 7_200, 14_600, false)]
#[case::sent_too_late(DisturbedPart::Shutdown(0), 6_900, 14_600, true)]
fn disturbed_host(
    #[case] part: DisturbedPart,
    #[case] from_ms: u64,
    #[case] to_ms: u64,
    #[case] is_lost: bool,
) {
    let mut touch = TouchRecord::default();
    touch.add(Disturbance { part, from: millis(from_ms), to: millis(to_ms) });
    let versions = [sent(ConfigVersion::first(), 0)];
    let ended_ms = to_ms.clamp(12_000, 14_600);
    let cut = call(WorkKind::Resumable, ended_ms, CallOutcome::Cut);
    let faults = judge(cut, &[ReplicaMode::Answer], &versions, &touch);
    assert_eq!(!faults.is_empty(), is_lost);
}

#[rstest]
#[case::crossing(10_200, CallOutcome::Closed, None)]
#[case::unread(10_800, CallOutcome::Closed, Some(CallFault::Unread))]
#[case::cut(10_200, CallOutcome::Cut, Some(CallFault::Lost))]
#[case::unanswered(16_000, CallOutcome::TimedOut, Some(CallFault::Unanswered))]
#[case::refused(10_200, CallOutcome::Refused(503), None)]
#[case::failed(10_200, CallOutcome::Failure(502), None)]
fn never_run(
    #[case] ended_ms: u64,
    #[case] outcome: CallOutcome,
    #[case] fault: Option<CallFault>,
) {
    assert_eq!(judge_calm(call(WorkKind::Unsafe, ended_ms, outcome), &[]), Vec::from_iter(fault));
}

#[rstest]
#[case::broke_off(ReplicaMode::CutAfter(1), 12_000, Some(CallExcuse::ReplicaBrokeOff))]
#[case::time_over(ReplicaMode::Answer, 15_000, Some(CallExcuse::TimeOver))]
#[case::lost(ReplicaMode::Answer, 12_000, None)]
fn excused_call(
    #[case] mode: ReplicaMode,
    #[case] ended_ms: u64,
    #[case] excuse: Option<CallExcuse>,
) {
    let cut = call(WorkKind::Resumable, ended_ms, CallOutcome::Cut);
    let run = WorkRun { replica: "i-0".to_owned(), mode, at: millis(10_000), crashed: false };
    let runs = BTreeMap::from([(cut.request_id.clone(), vec![run])]);
    let versions = [sent(ConfigVersion::first(), 0)];
    let touch = TouchRecord::default();
    let context =
        CallContext { runs: &runs, versions: &versions, touch: &touch, grace: millis(8_000) };
    assert_eq!(count_excuses(&[cut], &context), excuse.into_iter().map(|it| (it, 1)).collect());
}

#[rstest]
#[case::safe(WorkKind::Safe, CallOutcome::Complete, 2, None)]
#[case::stream(WorkKind::Resumable, CallOutcome::Refused(503), 2, None)]
#[case::many(WorkKind::Safe, CallOutcome::Complete, 3, Some(CallFault::TooManyAttempts))]
#[case::single_stream(WorkKind::SingleStream, CallOutcome::Complete, 2, Some(CallFault::RanTwice))]
#[case::twice(WorkKind::Unsafe, CallOutcome::Complete, 2, Some(CallFault::RanTwice))]
#[case::refused(WorkKind::Unsafe, CallOutcome::Refused(503), 1, Some(CallFault::RefusedAndRan))]
#[case::failed(WorkKind::Unsafe, CallOutcome::Failure(504), 1, None)]
fn number_of_runs(
    #[case] kind: WorkKind,
    #[case] outcome: CallOutcome,
    #[case] runs: usize,
    #[case] fault: Option<CallFault>,
) {
    let faults = judge_calm(call(kind, 10_500, outcome), &vec![ReplicaMode::Answer; runs]);
    assert_eq!(faults, Vec::from_iter(fault));
}

/// A request that is refused at 10.1 s and sent again at 10.2 s runs once, and not before.
#[rstest]
#[case::ran_again(&[10_300], None)]
#[case::ran_refused(&[10_050], Some((0, CallFault::RefusedAndRan)))]
#[case::ran_between(&[10_150], Some((0, CallFault::RefusedAndRan)))]
#[case::ran_twice(&[10_300, 10_400], Some((1, CallFault::RanTwice)))]
fn kept_id(#[case] runs: &[u64], #[case] fault: Option<(usize, CallFault)>) {
    let mut first = call(WorkKind::Unsafe, 10_100, CallOutcome::Refused(503));
    first.followed_at = Some(millis(10_200));
    let mut second = call(WorkKind::Unsafe, 10_500, CallOutcome::Complete);
    second.started_at = millis(10_200);
    let (replica, mode) = ("i-0".to_owned(), ReplicaMode::Answer);
    let run =
        |at: &u64| WorkRun { replica: replica.clone(), mode, at: millis(*at), crashed: false };
    let runs = BTreeMap::from([(first.request_id.clone(), runs.iter().map(run).collect())]);
    let versions = [sent(ConfigVersion::first(), 0)];
    let touch = TouchRecord::default();
    let context =
        CallContext { runs: &runs, versions: &versions, touch: &touch, grace: millis(8_000) };
    let faults = judge_calls(&[first, second], &context);
    assert_eq!(faults.contains(&fault.unwrap_or((0, CallFault::RanTwice))), fault.is_some());
    assert_eq!(faults.is_empty(), fault.is_none());
}

/// A replica leaves from the first answer on that a host in touch passed on.
#[test]
fn announced_leaving() {
    let mut touch = TouchRecord::default();
    touch.add(Disturbance { part: DisturbedPart::Host(1), from: millis(9_000), to: millis(9_000) });
    let announced = |host, ended_ms| CallRecord {
        host,
        leaver: Some("i-0".to_owned()),
        ..call(WorkKind::Safe, ended_ms, CallOutcome::Complete)
    };
    let calls = [
        announced(0, 10_600),
        announced(0, 10_500),
        announced(1, 10_100),
        call(WorkKind::Safe, 10_050, CallOutcome::Complete),
    ];
    let leaving = announced_leavers(&calls, &touch);
    assert_eq!(leaving.iter().map(|it| it.acknowledged_at).collect::<Vec<_>>(), [millis(10_500)]);
}

/// Replicas that broke off do not count against the number of attempts, but an unsafe request must
/// not be sent on after them.
#[rstest]
#[case::safe(WorkKind::Safe, None)]
#[case::unsafe_call(WorkKind::Unsafe, Some(CallFault::RanTwice))]
fn broken_run(#[case] kind: WorkKind, #[case] fault: Option<CallFault>) {
    let modes = [ReplicaMode::DropResponse, ReplicaMode::Answer, ReplicaMode::Answer];
    let faults = judge_calm(call(kind, 10_500, CallOutcome::Complete), &modes);
    assert_eq!(faults, Vec::from_iter(fault));
}

#[rstest]
#[case::sound(ReplicaMode::Answer, CallOutcome::Complete, true)]
#[case::sound_cut(ReplicaMode::Answer, CallOutcome::Cut, true)]
#[case::endless(ReplicaMode::Endless(EndlessKind::EmptyEvents), CallOutcome::Complete, true)]
#[case::endless_cut(ReplicaMode::Endless(EndlessKind::EmptyEvents), CallOutcome::Cut, false)]
fn wrong_reply(#[case] mode: ReplicaMode, #[case] outcome: CallOutcome, #[case] is_fault: bool) {
    let mut wrong = call(WorkKind::Resumable, 10_500, outcome);
    wrong.fault = Some(ReplyFault::WrongEvents);
    let fault = CallFault::WrongReply(ReplyFault::WrongEvents);
    assert_eq!(judge_calm(wrong, &[mode]).contains(&fault), is_fault);
}

#[rstest]
#[case::sound(ReplicaMode::Answer, true)]
#[case::endless(ReplicaMode::Endless(EndlessKind::SizedBody), false)]
fn malformed_reply(#[case] mode: ReplicaMode, #[case] is_fault: bool) {
    let faults = judge_calm(call(WorkKind::Resumable, 10_500, CallOutcome::Malformed), &[mode]);
    assert_eq!(faults.contains(&CallFault::Malformed), is_fault);
}

fn events(ids: &[u64]) -> String {
    ids.iter().copied().map(event_text).collect()
}

#[rstest]
#[case::whole(events(&[1, 2, 3]), None)]
#[case::missing_end(events(&[1, 2]), Some(ReplyFault::MissingEnd))]
#[case::missing(events(&[1, 3]), Some(ReplyFault::WrongEvents))]
#[case::twice(events(&[1, 2, 2, 3]), Some(ReplyFault::WrongEvents))]
#[case::too_many(events(&[1, 2, 3, 4]), Some(ReplyFault::WrongEvents))]
fn stream_events(#[case] body: String, #[case] fault: Option<ReplyFault>) {
    let mut parser = ReplyParser::default();
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: 0-1\r\nReplica-Signature: i-0\r\n";
    let reply = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    parser.push(reply.as_bytes()).expect("the reply is valid");
    assert_eq!(check_reply("0-1", Some(3), &parser), fault);
}

#[test]
fn partial_events() {
    let mut parser = ReplyParser::default();
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: 0-1\r\nReplica-Signature: i-0\r\n";
    let reply = format!("{head}Content-Length: 999\r\n\r\n{}", events(&[1, 2]));
    parser.push(reply.as_bytes()).expect("the reply is valid");
    assert_eq!(check_reply("0-1", Some(3), &parser), None);
    parser.push(events(&[2]).as_bytes()).expect("the reply is valid");
    assert_eq!(check_reply("0-1", Some(3), &parser), Some(ReplyFault::WrongEvents));
}

#[rstest]
#[case::right("Request-Id: 0-1\r\nReplica-Signature: i-0\r\n", "answer to 0-1", None)]
#[case::body(
    "Request-Id: 0-1\r\nReplica-Signature: i-0\r\n",
    "answer to 0-2",
    Some(ReplyFault::WrongBody)
)]
#[case::id(
    "Request-Id: 0-2\r\nReplica-Signature: i-0\r\n",
    "answer to 0-1",
    Some(ReplyFault::OtherRequest)
)]
#[case::unsigned("Request-Id: 0-1\r\n", "answer to 0-1", Some(ReplyFault::Unsigned))]
fn plain_reply(#[case] fields: &str, #[case] body: &str, #[case] fault: Option<ReplyFault>) {
    let mut parser = ReplyParser::default();
    let reply = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
    parser.push(reply.as_bytes()).expect("the reply is valid");
    assert_eq!(check_reply("0-1", None, &parser), fault);
}

#[test]
fn error_of_other() {
    let mut parser = ReplyParser::default();
    let reply =
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: 0-2\r\nContent-Length: 0\r\n\r\n";
    parser.push(reply.as_bytes()).expect("the reply is valid");
    assert_eq!(check_reply("0-1", None, &parser), Some(ReplyFault::OtherRequest));
}
