//! Measures the overhead of one membership message on the peer link: bytes besides the encoded
//! message, and processor time.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::RegionName;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::member_event::PeerConnection;
use pomelostack_lib::member_record::MemberRecord;
use pomelostack_lib::member_record::MemberStatus;
use pomelostack_lib::member_section::PayloadSection;
use pomelostack_lib::member_section::SectionKind;
use pomelostack_lib::member_section::SectionVersion;
use pomelostack_lib::peer_client::PeerClient;
use pomelostack_lib::peer_client::PeerTimeouts;
use pomelostack_lib::peer_link::AnswerState;
use pomelostack_lib::peer_link::CheckpointCopy;
use pomelostack_lib::peer_link::ClusterSecret;
use pomelostack_lib::peer_link::FetchedAnswer;
use pomelostack_lib::peer_link::PeerHandler;
use pomelostack_lib::peer_link::TakeOverAnswer;
use pomelostack_lib::peer_message::MessageBody;
use pomelostack_lib::peer_message::PeerMessage;
use pomelostack_lib::peer_server::PeerServer;
use pomelostack_lib::result_code::ResultCode;
use serde_json::json;

const EXCHANGES: u64 = 20_000;
const SECTIONS: usize = 7;
const SECTION_BYTES: usize = 32;
/// Size of the IP and TCP headers with the timestamp option.
const SEGMENT_HEADER_BYTES: f64 = 52.0;
/// Segments of the request, the reply, and the acknowledgement of the reply.
const SEGMENTS_PER_EXCHANGE: f64 = 3.0;
/// Clock ticks per second in `/proc/self/stat` (`USER_HZ` on Linux).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Cost of one message at one end of the link, taken as half of a request-reply exchange.
pub struct LinkCost {
    /// Bytes on the wire besides the encoded message.
    pub overhead_bytes: f64,
    /// Processor time in seconds, including the codec.
    pub seconds: f64,
}

/// Handler of the other calls on the peer link, which this case does not make.
struct IdleHandler;

impl PeerHandler for IdleHandler {
    fn take_over(&self, _request: RequestId, _payload: &[u8]) -> TakeOverAnswer {
        TakeOverAnswer::Refused(ResultCode::HostLeaving)
    }

    fn fetch_answer(&self, _request: RequestId, _from_offset: u32) -> FetchedAnswer {
        FetchedAnswer { state: AnswerState::Unknown, parts: Vec::new() }
    }

    fn config_checkpoint(&self) -> Option<CheckpointCopy> {
        None
    }

    fn on_crash_report(&self, _report: &[u8]) {}

    fn burn_contribution(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// Measures bytes through a counting relay and processor time over a direct loopback connection,
/// and prints the cost of a message.
pub fn measure(seed: u64) -> LinkCost {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime starts");
    let secret = ClusterSecret::try_from("bench-cluster-secret").expect("long enough");
    let reply = sample_message(MessageBody::ProbeReply);
    let exchange = Arc::new(move |_| reply.clone());
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Arc::new(IdleHandler);
    let server = PeerServer::start(runtime.handle(), loopback, secret.clone(), exchange, handler)
        .expect("loopback is free");
    let client = PeerClient::new(runtime.handle().clone(), secret, PeerTimeouts::default());
    let counted = Arc::new(AtomicU64::new(0));
    let relay = start_relay(server.address(), counted.clone());
    run_exchanges(&client, relay, 100);
    let bytes_before = counted.load(Ordering::SeqCst);
    run_exchanges(&client, relay, EXCHANGES / 10);
    let sent = (counted.load(Ordering::SeqCst) - bytes_before) as f64;
    let busy_before = processor_seconds();
    run_exchanges(&client, server.address(), EXCHANGES);
    let busy = processor_seconds() - busy_before;
    let envelope = sample_message(MessageBody::Probe).encode().len();
    let per_message = sent / (EXCHANGES / 10) as f64 / 2.0;
    let headers = SEGMENT_HEADER_BYTES * SEGMENTS_PER_EXCHANGE / 2.0;
    let cost = LinkCost {
        overhead_bytes: per_message - envelope as f64 + headers,
        seconds: busy / EXCHANGES as f64 / 2.0,
    };
    println!(
        "{}",
        json!({"case": "peer_link_cost", "seed": seed, "envelope_bytes": envelope,
            "stream_bytes_per_message": per_message,
            "wire_bytes_per_message": per_message + headers,
            "microseconds_per_message": cost.seconds * 1e6})
    );
    cost
}

fn run_exchanges(client: &PeerClient, address: SocketAddr, count: u64) {
    let message = sample_message(MessageBody::Probe);
    let (done, replies) = mpsc::channel();
    for _ in 0..count {
        let done = done.clone();
        client.exchange(PeerConnection { address, number: 0 }, &message, move |reply| {
            done.send(reply.is_ok()).expect("receiver waits");
        });
        let replied = replies.recv_timeout(Duration::from_secs(5));
        assert_eq!(replied, Ok(true), "peer replies");
    }
}

fn sample_message(body: MessageBody) -> PeerMessage {
    let section = |index: usize| PayloadSection {
        origin: index as u64,
        kind: SectionKind::LoadDigest,
        version: SectionVersion { incarnation: Incarnation(1 << 57), sequence: 1_000 },
        payload: vec![1; SECTION_BYTES],
    };
    PeerMessage {
        sender: MemberRecord {
            host: HostId::try_from("entry-001").expect("valid"),
            incarnation: Incarnation(1 << 57),
            status: MemberStatus::Live,
            address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
            region: RegionName::try_from("salish").expect("valid"),
            zone: ZoneName::try_from("salish-a").expect("valid"),
        },
        body,
        table_digest: u64::MAX,
        config_offset: LogOffset(1 << 20),
        load_percent: 50,
        updates: Vec::new(),
        sections: (0..SECTIONS).map(section).collect(),
        zones: Vec::new(),
    }
}

/// Starts a relay to an address that counts the bytes of both directions, and returns its address.
fn start_relay(target: SocketAddr, counted: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let Ok(outbound) = TcpStream::connect(target) else { continue };
            let back = (outbound.try_clone(), inbound.try_clone());
            copy_counted(inbound, outbound, counted.clone());
            if let (Ok(from), Ok(to)) = back {
                copy_counted(from, to, counted.clone());
            }
        }
    });
    address
}

fn copy_counted(mut from: TcpStream, mut to: TcpStream, counted: Arc<AtomicU64>) {
    // With Nagle's algorithm, replies would wait for delayed acknowledgements.
    to.set_nodelay(true).expect("socket option");
    std::thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length) = from.read(&mut buffer)
            && length > 0
        {
            counted.fetch_add(length as u64, Ordering::SeqCst);
            if to.write_all(&buffer[..length]).is_err() {
                return;
            }
        }
    });
}

/// Returns the processor time that this process has used, in seconds.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("Linux");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
    (ticks(12) + ticks(13)) / CLOCK_TICKS_PER_S
}
