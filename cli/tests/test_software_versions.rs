//! Streams at services whose servers run several versions of their software.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::ReplicaRun;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::StoreMode;
use testutils::deployment_standin::TEAM_KEY;
use testutils::deployment_standin::versioned_event_text;
use testutils::gateway_fixture::CallerResponse;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Servers of the service; the last half gets a newer version.
const SERVERS: usize = 4;

/// Events of a stream.
const EVENTS: u64 = 6;

/// Path of a stream.
const PATH: &str = "/brief/1/events-6";

/// Time within which all hosts read the directory.
const READ_TIME: Duration = Duration::from_secs(3);

/// Event after which callers take up their streams.
const LAST_EVENT: u64 = 3;

/// Starts hosts in front of four servers of the first version, then replaces two of them by servers
/// of a newer one.
fn start_mixed<const COUNT: usize>(
    numbers: [u8; COUNT],
) -> (Arc<DeploymentStandin>, [GatewayFixture; COUNT]) {
    let standin = DeploymentStandin::start_with(&[SERVICE; SERVERS]).expect("valid in tests");
    let standin = Arc::new(standin);
    standin.publish_config(3);
    let hosts = numbers
        .map(|number| GatewayFixture::start_host(PROGRAM, standin.clone(), number).serving());
    std::thread::sleep(READ_TIME);
    release(&standin, "v2");
    std::thread::sleep(READ_TIME);
    (standin, hosts)
}

/// Replaces the last half of the servers by ones of another version.
fn release(standin: &DeploymentStandin, version: &str) {
    for index in SERVERS / 2..SERVERS {
        standin.release_replica(index, &format!("i-{index}-{version}"), version);
    }
}

/// Runs streams with different prompts, so that they begin at different servers, and returns their
/// identifiers.
fn begin_streams(host: &GatewayFixture, label: &str, count: usize) -> Vec<String> {
    let begin = |number: usize| {
        let id = format!("{label}-{number}");
        let answer = host.call_prompt(PATH, &id, &format!("{number:x}{number:x}:800,e{number}:40"));
        assert_eq!(answer.status, 200, "{id} begins");
        id
    };
    (0..count).map(begin).collect()
}

/// Returns the last run of a request.
fn run_of(standin: &DeploymentStandin, id: &str) -> Option<ReplicaRun> {
    standin.runs().into_iter().rfind(|run| run.request_id == id)
}

/// Takes up streams at a host, each with an attempt of its own.
fn take_up(host: &GatewayFixture, streams: &[String], label: &str) -> Vec<CallerResponse> {
    let take_up = |origin: &String| {
        host.resume_stream(PATH, &format!("{label}-{origin}"), origin, LAST_EVENT)
    };
    streams.iter().map(take_up).collect()
}

/// Checks that each stream that was taken up went on at the version that began it; returns how many
/// did.
fn check_versions(
    standin: &DeploymentStandin,
    streams: &[String],
    label: &str,
    answers: &[CallerResponse],
) -> usize {
    let mut resumed = 0;
    for (origin, answer) in streams.iter().zip(answers) {
        let begun = run_of(standin, origin).expect("valid in tests").version;
        let run = run_of(standin, &format!("{label}-{origin}"));
        if let Some(run) = &run {
            assert_eq!(run.version, begun, "{origin} goes on at {}", run.replica_id);
        }
        if answer.status == 200 {
            let rest = (LAST_EVENT + 1..=EVENTS).map(|id| versioned_event_text(id, &begun));
            assert_eq!(answer.body, Some(rest.collect::<String>()));
            resumed += 1;
        } else {
            assert!(run.is_none(), "{origin} ran, and its caller was told {}", answer.status);
        }
    }
    resumed
}

/// The relay resumes a stream at another version than the one whose events it has relayed.
#[test]
fn resumed_in_answer() {
    let (standin, [host]) = start_mixed([150]);
    // Only one server of the newer version is left, and it breaks off.
    standin.expire_replica(3);
    standin.set_replica_mode(2, ReplicaMode::CutAfter(2));
    wait_for(|| host.level("servers") == Some(3));
    for number in 0..12 {
        let id = format!("cut-{number}");
        let answer = host.call_prompt(PATH, &id, &format!("{number:x}{number:x}:800,e{number}:40"));
        let runs = standin.runs().into_iter().filter(|run| run.request_id == id);
        let versions: Vec<String> = runs.map(|run| run.version).collect();
        assert!(versions.windows(2).all(|pair| pair[0] == pair[1]), "{id} ran at {versions:?}");
        assert_eq!(answer.status, 200);
    }
}

/// A silent stream is hedged at another version than the one whose events were relayed.
#[test]
fn hedged_in_answer() {
    let (standin, [host]) = start_mixed([151]);
    standin.expire_replica(3);
    let pause = Duration::from_secs(4);
    standin.set_replica_mode(2, ReplicaMode::PauseAfter { events: 2, pause });
    wait_for(|| host.level("servers") == Some(3));
    for number in 0..3 {
        let id = format!("quiet-{number}");
        let answer = host.call_prompt(PATH, &id, &format!("b{number:x}:800,e{number}:40"));
        let runs = standin.runs().into_iter().filter(|run| run.request_id == id);
        let versions: Vec<String> = runs.map(|run| run.version).collect();
        assert!(versions.windows(2).all(|pair| pair[0] == pair[1]), "{id} ran at {versions:?}");
        let begun = versions.first().expect("valid in tests");
        let whole = (1..=EVENTS).map(|id| versioned_event_text(id, begun)).collect::<String>();
        assert_eq!(answer.body, Some(whole));
    }
}

/// A caller takes up a stream at a host that did not begin it.
#[test]
fn taken_up_elsewhere() {
    let (standin, [first, second]) = start_mixed([152, 153]);
    let streams = begin_streams(&first, "s", 12);
    // Where each stream began, and what its prompt makes likely, is no server's any more.
    standin.expire_replica(1);
    standin.expire_replica(3);
    wait_for(|| second.level("servers") == Some(2) && first.level("servers") == Some(2));
    let answers = take_up(&second, &streams, "t");
    assert_eq!(check_versions(&standin, &streams, "t", &answers), streams.len());
    let answers = take_up(&first, &streams, "u");
    assert_eq!(check_versions(&standin, &streams, "u", &answers), streams.len());
}

/// A caller takes up a stream after all hosts were killed.
#[rstest]
#[case(&["v2"], 154)]
#[case(&["v2", "v3"], 156)]
fn taken_up_after_kill(#[case] versions: &[&str], #[case] number: u8) {
    let (standin, hosts) = start_mixed([number, number + 1]);
    for version in &versions[1..] {
        release(&standin, version);
        std::thread::sleep(READ_TIME);
    }
    let streams = begin_streams(&hosts[0], "s", 12);
    let newer = streams.iter().filter(|id| {
        run_of(&standin, id).is_some_and(|run| run.version == versions[versions.len() - 1])
    });
    assert!(newer.count() > 0, "some streams begin at the newer version");
    drop(hosts);
    standin.expire_replica(1);
    standin.expire_replica(3);
    let hosts = [number, number + 1].map(|number| {
        let host = GatewayFixture::start_host(PROGRAM, standin.clone(), number);
        wait_for(|| host.readiness() == Some(200));
        host
    });
    let answers = take_up(&hosts[0], &streams, "t");
    assert_eq!(check_versions(&standin, &streams, "t", &answers), streams.len());
    let answers = take_up(&hosts[1], &streams, "u");
    assert_eq!(check_versions(&standin, &streams, "u", &answers), streams.len());
}

/// All servers of the version that began a stream are gone: the caller is refused at once, and is not
/// asked to come back.
#[test]
fn version_is_gone() {
    let (standin, [host]) = start_mixed([158]);
    let streams = begin_streams(&host, "s", 12);
    standin.expire_replica(2);
    standin.expire_replica(3);
    wait_for(|| host.level("servers") == Some(2));
    let answers = take_up(&host, &streams, "t");
    let resumed = check_versions(&standin, &streams, "t", &answers);
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!((answer.status, &answer.retry_after), (503, &None));
    }
    let first = streams
        .iter()
        .filter(|id| run_of(&standin, id).is_some_and(|run| run.version == "v1"))
        .count();
    assert_eq!(resumed, first);
    // Other requests use what is there.
    assert_eq!(host.call("GET", "/look/1", "l1", Some(TEAM_KEY)).status, 200);
}

/// A host that has never listed a server of the version may only be late to read of it: its callers were told
/// not to come back (LOST).
#[test]
fn version_not_listed_yet() {
    let (standin, [host]) = start_mixed([164]);
    let streams = begin_streams(&host, "s", 12);
    let newer = |id: &&String| run_of(&standin, id).is_some_and(|run| run.version == "v2");
    let newer: Vec<String> = streams.iter().filter(newer).cloned().collect();
    assert!(!newer.is_empty(), "some streams begin at the newer version");
    standin.expire_replica(2);
    standin.expire_replica(3);
    drop(host);
    let host = GatewayFixture::start_host(PROGRAM, standin.clone(), 164);
    wait_for(|| host.readiness() == Some(200));
    for answer in take_up(&host, &newer, "t") {
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some(), "its servers may only just have joined");
    }
    release(&standin, "v2");
    wait_for(|| host.level("servers") == Some(4));
    // A version that has just been listed is withheld until the orders to roll out versions have been read.
    wait_for(|| take_up(&host, &newer[..1], "first")[0].status == 200);
    let answers = take_up(&host, &newer, "u");
    let resumed = check_versions(&standin, &newer, "u", &answers);
    assert_eq!(resumed, newer.len(), "{answers:?}");
}

/// Callers of earlier builds name no attempt. Their streams go on while all streams are of one version,
/// also at a host that recorded some before it knew the base.
#[test]
fn unnamed_origin() {
    let standin = DeploymentStandin::start_with(&[SERVICE; 2]).expect("valid in tests");
    let standin = Arc::new(standin);
    standin.publish_config(3);
    let host = GatewayFixture::start_host(PROGRAM, standin.clone(), 159).serving();
    begin_streams(&host, "s", 2);
    std::thread::sleep(READ_TIME);
    drop(host);
    let host = GatewayFixture::start_host(PROGRAM, standin.clone(), 159);
    wait_for(|| host.readiness() == Some(200));
    begin_streams(&host, "t", 2);
    let take_up = |id: &str| {
        host.call_with("POST", PATH, id, Some(TEAM_KEY), &[("Last-Event-Id", "3")]).status
    };
    assert_eq!(take_up("u1"), 200);
    standin.release_replica(1, "i-1-v2", "v2");
    std::thread::sleep(READ_TIME);
    begin_streams(&host, "v", 12);
    assert!(standin.runs().iter().any(|run| run.version == "v2"));
    let answer = host.call_with("POST", PATH, "u2", Some(TEAM_KEY), &[("Last-Event-Id", "3")]);
    assert_eq!((answer.status, answer.retry_after), (503, None));
}

/// Streams that could not be recorded, and ones whose server was lost before the first event, were begun and broken off:
/// their callers got the head of a success and no answer.
#[rstest]
#[case::unrecorded(166, ReplicaMode::Answer, StoreMode::Refuse)]
#[case::lost(167, ReplicaMode::CutAfter(0), StoreMode::Answer)]
fn failed_before_first_event(
    #[case] number: u8,
    #[case] replicas: ReplicaMode,
    #[case] store: StoreMode,
) {
    let (standin, [host]) = start_mixed([number]);
    (0..SERVERS).for_each(|index| standin.set_replica_mode(index, replicas));
    standin.set_store_mode(store);
    let call = |number: usize| {
        let prompt = format!("{number:x}{number:x}:800,e{number}:40");
        host.call_prompt(PATH, &format!("f-{number}"), &prompt)
    };
    let answers: Vec<CallerResponse> = (0..12).map(call).collect();
    let failed = answers.iter().filter(|answer| answer.status != 200).count();
    assert!(answers.iter().all(|answer| answer.body.is_some()), "{answers:?}");
    assert!(failed > 0, "{answers:?}");
}
