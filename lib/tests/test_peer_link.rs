//! Calls over a real peer link on loopback, and two members that discover each other.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::burn::BurnRecorder;
use pomelostack_lib::burn_collector::collect_report;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::RegionName;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::member_config::MembershipConfig;
use pomelostack_lib::member_event::PeerConnection;
use pomelostack_lib::member_record::MemberRecord;
use pomelostack_lib::member_record::MemberStatus;
use pomelostack_lib::member_snapshot::MemberState;
use pomelostack_lib::membership_service::MembershipService;
use pomelostack_lib::membership_service::MembershipSettings;
use pomelostack_lib::peer_client::PeerClient;
use pomelostack_lib::peer_client::PeerTimeouts;
use pomelostack_lib::peer_link::AnswerPart;
use pomelostack_lib::peer_link::AnswerState;
use pomelostack_lib::peer_link::CheckpointCopy;
use pomelostack_lib::peer_link::ClusterSecret;
use pomelostack_lib::peer_link::FetchedAnswer;
use pomelostack_lib::peer_link::PeerError;
use pomelostack_lib::peer_link::PeerHandler;
use pomelostack_lib::peer_link::TakeOverAnswer;
use pomelostack_lib::peer_server::PeerServer;
use pomelostack_lib::protos::peer as proto;
use pomelostack_lib::protos::peer::peer_service_client::PeerServiceClient;
use pomelostack_lib::result_code::ResultCode;
use rstest::rstest;
use testutils::refusing_port::RefusingPort;
use tokio::runtime::Runtime;

const SECRET: &str = "a-secret-for-tests";
/// Timeout of a wait for another thread, after which the test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const KNOWN: RequestId = RequestId { origin: 1, sequence: 2 };

struct FixedHandler {
    host: HostId,
    crash_reports: Mutex<Vec<Vec<u8>>>,
}

impl PeerHandler for FixedHandler {
    fn take_over(&self, request: RequestId, payload: &[u8]) -> TakeOverAnswer {
        if request == KNOWN && payload == b"state" {
            return TakeOverAnswer::Accepted;
        }
        TakeOverAnswer::Refused(ResultCode::HostLeaving)
    }

    fn fetch_answer(&self, request: RequestId, from_offset: u32) -> FetchedAnswer {
        if request != KNOWN {
            return FetchedAnswer { state: AnswerState::Unknown, parts: Vec::new() };
        }
        let parts = vec![AnswerPart { offset: from_offset, data: b"rest".to_vec() }];
        FetchedAnswer { state: AnswerState::Complete(ResultCode::Complete), parts }
    }

    fn config_checkpoint(&self) -> Option<CheckpointCopy> {
        Some(CheckpointCopy { offset: LogOffset(5), digest: vec![1], body: vec![2] })
    }

    fn on_crash_report(&self, report: &[u8]) {
        self.crash_reports.lock().unwrap().push(report.to_vec());
    }

    fn burn_contribution(&self) -> Vec<u8> {
        let mut recorder = BurnRecorder::new(self.host.clone(), Incarnation(1));
        let service = ServiceName::try_from("briefing").unwrap();
        recorder.record(60_000, &service, 950, Duration::from_millis(5), true);
        recorder.contribution(60_000).unwrap().encode().unwrap()
    }
}

fn handler(index: usize) -> Arc<FixedHandler> {
    Arc::new(FixedHandler { host: host(index), crash_reports: Mutex::default() })
}

fn host(index: usize) -> HostId {
    HostId::try_from(format!("entry-{index}")).unwrap()
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn client(runtime: &Runtime, secret: &str) -> PeerClient {
    let secret = ClusterSecret::try_from(secret).unwrap();
    PeerClient::new(runtime.handle().clone(), secret, PeerTimeouts::default())
}

fn start_server(runtime: &Runtime) -> PeerServer {
    let secret = ClusterSecret::try_from(SECRET).unwrap();
    let exchange = Arc::new(|message| message);
    PeerServer::start(runtime.handle(), loopback(), secret, exchange, handler(0)).unwrap()
}

#[test]
fn handled_calls() {
    let runtime = Runtime::new().unwrap();
    let server = start_server(&runtime);
    let client = client(&runtime, SECRET);
    let peer = server.address();
    let accepted = client.take_over(peer, KNOWN, b"state".to_vec());
    assert_eq!(accepted, Ok(TakeOverAnswer::Accepted));
    let refused = client.take_over(peer, RequestId::default(), Vec::new());
    assert_eq!(refused, Ok(TakeOverAnswer::Refused(ResultCode::HostLeaving)));
    let answer = client.fetch_answer(peer, KNOWN, 7).unwrap();
    assert_eq!(answer.state, AnswerState::Complete(ResultCode::Complete));
    assert_eq!(answer.parts, [AnswerPart { offset: 7, data: b"rest".to_vec() }]);
    let unknown = client.fetch_answer(peer, RequestId::default(), 0).unwrap();
    assert_eq!(unknown.state, AnswerState::Unknown);
    let copy = client.fetch_config_checkpoint(peer).unwrap().unwrap();
    assert_eq!(copy.offset, LogOffset(5));
}

#[test]
fn shared_reports() {
    let runtime = Runtime::new().unwrap();
    let secret = ClusterSecret::try_from(SECRET).unwrap();
    let (exchange, handler) = (Arc::new(|message| message), handler(0));
    let server =
        PeerServer::start(runtime.handle(), loopback(), secret, exchange, handler.clone()).unwrap();
    client(&runtime, SECRET).share_crash_report(server.address(), b"report".to_vec());
    testutils::bounded_wait::wait_for(|| *handler.crash_reports.lock().unwrap() == [b"report"]);
}

#[test]
fn wrong_secret() {
    let runtime = Runtime::new().unwrap();
    let server = start_server(&runtime);
    let refused = client(&runtime, "another-secret-here").fetch_burn(server.address());
    assert_eq!(refused, Err(PeerError::Refused(ResultCode::Unauthorized)));
    assert_eq!(server.refusals().counts()[&ResultCode::Unauthorized], 1);
}

#[rstest]
#[case("short")]
#[case("line\nbreak-in-the-secret")]
fn bad_secret(#[case] raw: &str) {
    assert_eq!(ClusterSecret::try_from(raw).err(), Some(PeerError::BadSecret));
}

#[test]
fn refused_message() {
    let runtime = Runtime::new().unwrap();
    let server = start_server(&runtime);
    let address = format!("http://{}", server.address());
    let status = runtime.block_on(async {
        let mut client = PeerServiceClient::connect(address).await.unwrap();
        let mut request = tonic::Request::new(proto::Packet { envelope: vec![1, 2, 3] });
        request.metadata_mut().insert("pomelostack-cluster-secret", SECRET.parse().unwrap());
        client.exchange(request).await.unwrap_err()
    });
    assert_eq!(status.metadata().get("pomelostack-result").unwrap(), "601");
    assert_eq!(server.refusals().counts()[&ResultCode::RecordMalformed], 1);
}

#[test]
fn refused_connection() {
    let runtime = Runtime::new().unwrap();
    let port = RefusingPort::bind().unwrap();
    let failed = client(&runtime, SECRET).fetch_burn(port.address());
    assert!(matches!(failed, Err(PeerError::NotConnected(_))), "{failed:?}");
}

#[test]
fn call_timeout() {
    let runtime = Runtime::new().unwrap();
    let listener = TcpListener::bind(loopback()).unwrap();
    let timeouts = PeerTimeouts { call: Duration::from_millis(50), ..PeerTimeouts::default() };
    let secret = ClusterSecret::try_from(SECRET).unwrap();
    let client = PeerClient::new(runtime.handle().clone(), secret, timeouts);
    let failed = client.fetch_burn(listener.local_addr().unwrap());
    assert_eq!(failed, Err(PeerError::Timeout(timeouts.call)));
}

#[test]
fn failed_exchange() {
    let runtime = Runtime::new().unwrap();
    let port = RefusingPort::bind().unwrap();
    let unused = port.address();
    let (done, replies) = mpsc::channel();
    let message = pomelostack_lib::peer_message::PeerMessage {
        sender: record(0, unused),
        body: pomelostack_lib::peer_message::MessageBody::Probe,
        table_digest: 0,
        config_offset: LogOffset(0),
        load_percent: 0,
        updates: Vec::new(),
        sections: Vec::new(),
        zones: Vec::new(),
    };
    let connection = PeerConnection { address: unused, number: 1 };
    let client = client(&runtime, SECRET);
    client.exchange(connection, &message, move |reply| done.send(reply.is_err()).unwrap());
    assert_eq!(replies.recv_timeout(WAIT_LIMIT), Ok(true));
    assert_eq!(client.connection_count(), 1);
    client.close_connection(connection);
    assert_eq!(client.connection_count(), 0);
}

fn record(index: usize, address: SocketAddr) -> MemberRecord {
    MemberRecord {
        host: host(index),
        incarnation: Incarnation(1),
        status: MemberStatus::Live,
        address,
        region: RegionName::try_from("lahore").unwrap(),
        zone: ZoneName::try_from("lahore-a").unwrap(),
    }
}

fn start_member(runtime: &Runtime, index: usize, seeds: Vec<SocketAddr>) -> MembershipService {
    let listener = TcpListener::bind(loopback()).unwrap();
    let settings = MembershipSettings {
        local: record(index, listener.local_addr().unwrap()),
        listener,
        seeds,
        secret: ClusterSecret::try_from(SECRET).unwrap(),
        config: MembershipConfig::default(),
        timeouts: PeerTimeouts::default(),
        seed: index as u64,
    };
    MembershipService::start(settings, handler(index), runtime.handle()).unwrap()
}

fn wait_for(condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < WAIT_LIMIT, "condition not met in time");
        std::thread::yield_now();
    }
}

#[test]
fn members_discover() {
    let runtime = Runtime::new().unwrap();
    let first = start_member(&runtime, 0, Vec::new());
    let second = start_member(&runtime, 1, vec![first.address()]);
    let sees = |member: &MembershipService, index: usize, state: Option<MemberState>| {
        member.snapshot().find(&host(index)).map(|view| view.state) == state
    };
    wait_for(|| sees(&first, 1, Some(MemberState::Live)));
    wait_for(|| sees(&second, 0, Some(MemberState::Live)));
    second.set_config_offset(LogOffset(44));
    wait_for(|| first.snapshot().config_offset == LogOffset(44));
    let local = BurnRecorder::new(host(0), Incarnation(1)).contribution(60_000).unwrap();
    let report = collect_report(60_000, local, &first.snapshot(), &first.client()).unwrap();
    assert_eq!(report.hosts, [host(0), host(1)]);
    assert_eq!(report.services[0].windows[0].count.total, 1);
    second.leave();
    wait_for(|| sees(&first, 1, Some(MemberState::Leaving)));
    second.stop();
    wait_for(|| sees(&first, 1, None));
}
