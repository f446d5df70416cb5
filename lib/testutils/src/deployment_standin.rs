//! Stand-in for the platform that the gateway is deployed on: its store, its cloud API, and two
//! model replicas that also serve non-streaming calls. It serves the platform's HTTP API on
//! loopback sockets.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_stream::wrappers::ReceiverStream;

/// Service that both replicas run.
pub const SERVICE: &str = "chat";
/// Key of the only team.
pub const TEAM_KEY: &str = "k1";
/// Host name of every route.
pub const ROUTE_HOST: &str = "wind.example";
/// Port on which a gateway serves callers.
pub const FRONT_PORT: u16 = 7_700;
/// Number of events in a complete stream, unless the path ends in `/events-` and a number.
pub const STREAM_EVENTS: u64 = 12;
/// Partitions of a topic.
const PARTITIONS: u64 = 12;
/// Interval at which a long-polling read checks for a new record.
const LONG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// How a replica handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaMode {
    /// It runs and answers them.
    Answer,
    /// It runs them, sends this many events and drops the connection within the next one.
    CutAfter(u64),
    /// It runs them and closes the connection without a response.
    DropResponse,
    /// It rejects them with a header that says that they were not executed.
    Refuse,
}

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers them.
    #[default]
    Answer,
    /// It rejects all of them and has no side effects.
    Refuse,
    /// It processes calls, appends included, but never responds.
    DropResponses,
}

/// Consumer group whose members divide the partitions of the duties among them.
#[derive(Debug, Default)]
struct ConsumerGroup {
    /// Time at which each member expires unless it joins again.
    members: BTreeMap<String, Instant>,
    generation: u64,
}

impl ConsumerGroup {
    /// Removes the members that did not join again in time.
    fn expire(&mut self, now: Instant) {
        let count = self.members.len();
        self.members.retain(|_, until| *until > now);
        self.generation += u64::from(self.members.len() < count);
    }

    /// Adds or renews a member and returns its partitions, which are assigned round-robin in the
    /// order of member names.
    fn join(&mut self, now: Instant, member: &str, ttl: Duration) -> Vec<u64> {
        self.expire(now);
        let known = self.members.insert(member.to_owned(), now + ttl).is_some();
        self.generation += u64::from(!known);
        let position = self.members.keys().take_while(|name| *name != member).count() as u64;
        let count = self.members.len() as u64;
        (0..PARTITIONS).filter(|partition| partition % count == position).collect()
    }
}

/// An accepted usage report.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Its fencing token.
    pub fencing_token: u64,
    /// Its JSON body.
    pub body: Value,
}

/// A request that a replica executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// Index of the replica.
    pub replica: usize,
    /// Request id.
    pub request_id: String,
    /// Id of the last event before the resumed stream; `None` for a fresh request.
    pub resumed_after: Option<u64>,
    /// Team that the gateway named to the replica.
    pub team: Option<String>,
    /// Whether the gateway forwarded the caller's key.
    pub received_team_key: bool,
}

#[derive(Debug, Default)]
struct DeploymentState {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
    store: StoreMode,
    group: ConsumerGroup,
    modes: Vec<ReplicaMode>,
    runs: Vec<ReplicaRun>,
    usage: Vec<UsageReport>,
    /// Largest fencing token of any accepted report.
    max_fencing_token: u64,
    scale_requests: Vec<Value>,
}

type SharedState = Arc<Mutex<DeploymentState>>;
type StandinBody =
    Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, std::io::Error>>>>;
type StandinReply = Response<StandinBody>;

/// A running stand-in. Its threads run until the process exits.
pub struct DeploymentStandin {
    state: SharedState,
    /// Address of the store and the cloud API.
    pub platform: SocketAddr,
    /// Addresses of the replicas.
    pub replicas: Vec<SocketAddr>,
}

impl DeploymentStandin {
    /// Starts the store, the cloud API and two replicas, and registers the replicas in the
    /// directory.
    pub fn start() -> std::io::Result<Self> {
        let state = SharedState::default();
        lock(&state).modes = vec![ReplicaMode::Answer; 2];
        let platform = serve(state.clone(), Role::Platform)?;
        let replicas =
            vec![serve(state.clone(), Role::Replica(0))?, serve(state.clone(), Role::Replica(1))?];
        let standin = Self { state, platform, replicas };
        for index in 0..standin.replicas.len() {
            standin.register_replica(index, "ready");
        }
        Ok(standin)
    }

    /// Writes a replica's entry into the directory.
    pub fn register_replica(&self, index: usize, state: &str) {
        let entry = json!({
            "service": SERVICE, "address": self.replicas[index].to_string(), "zone": "north",
            "version": "v1", "slots": 400, "state": state, "sequence": 0, "born": 1,
        });
        self.put("keyed.servers", &replica_id(index), &entry);
    }

    /// Publishes a configuration with one route for each kind: streaming, unsafe and safe.
    pub fn publish_config(&self, version: u64) {
        let route = |name: &str, prefix: &str, kind: &str, resumable: bool, attempts: u32| {
            json!({
                "name": name, "host": ROUTE_HOST, "path-prefix": prefix, "kind": kind,
                "timeout-ms": 10_000, "latency-goal-ms": 1_000, "priority": 0,
                "service": SERVICE, "attempts": attempts, "resumable": resumable,
            })
        };
        let config = json!({
            "version": version,
            "routes": [
                route("brief", "/brief/", "streaming", true, 2),
                route("book", "/book/", "unsafe", false, 2),
                route("look", "/look/", "safe", false, 2),
            ],
            "services": [{"name": SERVICE, "max-conns": 500}],
            "limits": {"max-header-bytes": 16_384, "max-body-bytes": 1_048_576,
                       "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
            "tenants": [{"name": "club", "api-keys": [TEAM_KEY]}],
        });
        self.put("keyed.op", "config", &config);
    }

    /// Sets how a replica handles requests.
    pub fn set_replica_mode(&self, index: usize, mode: ReplicaMode) {
        lock(&self.state).modes[index] = mode;
    }

    /// Returns the requests that the replicas executed, in order.
    pub fn runs(&self) -> Vec<ReplicaRun> {
        lock(&self.state).runs.clone()
    }

    /// Returns the accepted usage reports, in order.
    pub fn usage_reports(&self) -> Vec<UsageReport> {
        lock(&self.state).usage.clone()
    }

    /// Returns the contents of the settings file of a gateway host with its own IP address.
    pub fn settings(&self, node: &str, ip: &str) -> Value {
        json!({
            "node": node, "ip": ip, "zone": "north", "region": "r", "zones": {"north": "r"},
            "bootstrap": true, "port-range": [7600, 7615],
            "listen": {"front": format!("{ip}:{FRONT_PORT}"), "ready": format!("{ip}:7701")},
            "bounds": {
                "grace-s": 8, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                "budget-slack": 54, "quota-window-s": 8, "quota-over": 0.1,
                "quota-slack": 140_000, "lease-ms": 600, "usage-window-s": 1,
                "usage-late-s": 10,
            },
            "platform": {
                "address": self.platform.to_string(), "parts": PARTITIONS, "ttl-min-ms": 600,
            },
            "cloud": {"address": self.platform.to_string(), "duties": ["usage_report"]},
        })
    }

    /// Sets how the store handles calls.
    pub fn set_store_mode(&self, mode: StoreMode) {
        lock(&self.state).store = mode;
    }

    /// Removes a replica's entry from the directory, as if it had expired, by writing a tombstone.
    /// The replica keeps running.
    pub fn expire_replica(&self, index: usize) {
        let id = replica_id(index);
        let mut record = vec![id.len() as u8];
        record.extend_from_slice(id.as_bytes());
        lock(&self.state).topics.entry("keyed.servers".to_owned()).or_default().push(record);
    }

    fn put(&self, topic: &str, key: &str, value: &Value) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.to_string().as_bytes());
        lock(&self.state).topics.entry(topic.to_owned()).or_default().push(record);
    }
}

/// Which API an address serves.
#[derive(Clone, Copy, Debug)]
enum Role {
    Platform,
    Replica(usize),
}

fn lock(state: &SharedState) -> MutexGuard<'_, DeploymentState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn replica_id(index: usize) -> String {
    format!("i-{index}")
}

/// Serves a role on a loopback port in a dedicated thread.
fn serve(state: SharedState, role: Role) -> std::io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            while let Ok((stream, _)) = listener.accept().await {
                let state = state.clone();
                tokio::task::spawn_local(async move {
                    let service = service_fn(move |request| answer(state.clone(), role, request));
                    // The gateway may close connections at any time.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
    });
    Ok(address)
}

async fn answer(
    state: SharedState,
    role: Role,
    request: Request<Incoming>,
) -> Result<StandinReply, std::io::Error> {
    match role {
        Role::Platform => Ok(answer_platform(&state, request).await.unwrap_or_else(|e| match e {})),
        Role::Replica(index) => answer_replica(&state, index, request),
    }
}

fn full_response(status: StatusCode, body: impl Into<Bytes>) -> StandinReply {
    let mut reply = Response::new(Either::Left(Full::new(body.into())));
    *reply.status_mut() = status;
    reply
}

async fn answer_platform(
    state: &SharedState,
    request: Request<Incoming>,
) -> Result<StandinReply, Infallible> {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let field =
        |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
    let topic = field("topic").unwrap_or_default().to_owned();
    let fencing_token =
        request.headers().get("fencing-token").and_then(|value| value.to_str().ok());
    let fencing_token = fencing_token.and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let is_store = path.starts_with("/log-");
    let mode = if is_store { lock(state).store } else { StoreMode::Answer };
    if mode == StoreMode::Refuse {
        return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, "{}"));
    }
    let reply = match path.as_str() {
        "/log-newest" => {
            full_response(StatusCode::OK, newest_page(&lock(state), &topic).to_string())
        }
        "/log-read" => {
            let from = number("from").unwrap_or(0) as usize;
            let steps = number("wait-ms").unwrap_or(0) / LONG_POLL_INTERVAL.as_millis() as u64;
            for _ in 0..steps {
                if lock(state).topics.get(&topic).is_some_and(|records| records.len() > from) {
                    break;
                }
                tokio::time::sleep(LONG_POLL_INTERVAL).await;
            }
            full_response(StatusCode::OK, read_page(&lock(state), &topic, from))
        }
        "/log-append" => append(&mut lock(state), &topic, number("at"), &body),
        "/log-join" => {
            let call: Value = serde_json::from_slice(&body).unwrap_or_default();
            let ttl = Duration::from_millis(call["ttl-ms"].as_u64().unwrap_or_default());
            let member = call["member"].as_str().unwrap_or_default();
            let group = &mut lock(state).group;
            let assigned = group.join(Instant::now(), member, ttl);
            let parts: Vec<Value> = assigned.iter().map(|part| json!(["duty", part, 0])).collect();
            let answer = json!({
                "generation": group.generation, "ttl-ms": ttl.as_millis() as u64, "parts": parts,
            });
            full_response(StatusCode::OK, answer.to_string())
        }
        "/log-leave" => {
            let call: Value = serde_json::from_slice(&body).unwrap_or_default();
            let group = &mut lock(state).group;
            if group.members.remove(call["member"].as_str().unwrap_or_default()).is_some() {
                group.generation += 1;
            }
            full_response(StatusCode::OK, "{}")
        }
        "/usage" => {
            let state = &mut lock(state);
            if fencing_token < state.max_fencing_token {
                return Ok(full_response(StatusCode::CONFLICT, "{}"));
            }
            state.max_fencing_token = fencing_token;
            let body = serde_json::from_slice(&body).unwrap_or_default();
            state.usage.push(UsageReport { fencing_token, body });
            full_response(StatusCode::OK, "{}")
        }
        "/scale" => {
            lock(state).scale_requests.push(serde_json::from_slice(&body).unwrap_or_default());
            full_response(StatusCode::OK, "{}")
        }
        _ => full_response(StatusCode::NOT_FOUND, "{}"),
    };
    if mode == StoreMode::DropResponses {
        std::future::pending::<()>().await;
    }
    Ok(reply)
}

fn newest_page(state: &DeploymentState, topic: &str) -> Value {
    let records = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut newest = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            newest.remove(&key);
            continue;
        }
        newest.insert(
            key.clone(),
            json!({
                "key": key, "value": STANDARD.encode(value), "offset": offset,
            }),
        );
    }
    let items: Vec<Value> = newest.into_values().collect();
    json!({"items": items, "has-more": false, "end": records.len()})
}

fn read_page(state: &DeploymentState, topic: &str, from: usize) -> Vec<u8> {
    let records = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut page = (records.len() as u64).to_be_bytes().to_vec();
    page.extend_from_slice(&0_u64.to_be_bytes());
    for record in records.iter().skip(from) {
        page.extend_from_slice(&(record.len() as u32).to_be_bytes());
        page.extend_from_slice(record);
    }
    page
}

fn append(
    state: &mut DeploymentState,
    topic: &str,
    at: Option<u64>,
    framed: &[u8],
) -> StandinReply {
    let records = state.topics.entry(topic.to_owned()).or_default();
    let end = records.len() as u64;
    if at.is_some_and(|at| at != end) {
        return full_response(StatusCode::PRECONDITION_FAILED, json!({"end": end}).to_string());
    }
    records.push(framed.get(4..).unwrap_or_default().to_vec());
    full_response(StatusCode::OK, json!({"offset": end, "end": end + 1}).to_string())
}

fn answer_replica(
    state: &SharedState,
    index: usize,
    request: Request<Incoming>,
) -> Result<StandinReply, std::io::Error> {
    let field = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let request_id = field("Request-Id").unwrap_or_default();
    let mode = lock(state).modes[index];
    if field("Expect-Replica").is_some_and(|expected| expected != replica_id(index)) {
        return Ok(full_response(StatusCode::MISDIRECTED_REQUEST, ""));
    }
    if mode == ReplicaMode::Refuse {
        let mut reply = full_response(StatusCode::SERVICE_UNAVAILABLE, "");
        reply.headers_mut().insert("not-executed", hyper::header::HeaderValue::from_static("1"));
        return Ok(reply);
    }
    let resumed_after = field("Last-Event-Id").and_then(|id| id.parse().ok());
    lock(state).runs.push(ReplicaRun {
        replica: index,
        request_id: request_id.clone(),
        resumed_after,
        team: field("Tenant-Id"),
        received_team_key: field("Authorization").is_some(),
    });
    if mode == ReplicaMode::DropResponse {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    let mut reply = if request.uri().path().starts_with("/brief/") {
        let count = request.uri().path().rsplit_once("/events-").map(|(_, count)| count.parse());
        let count = count.and_then(Result::ok).unwrap_or(STREAM_EVENTS);
        stream_events(resumed_after.unwrap_or(0), count, mode)
    } else {
        full_response(StatusCode::OK, format!("answer to {request_id}"))
    };
    for (name, value) in [("request-id", request_id), ("replica-signature", replica_id(index))] {
        if let Ok(value) = hyper::header::HeaderValue::try_from(value) {
            reply.headers_mut().insert(name, value);
        }
    }
    Ok(reply)
}

/// Returns the server-sent event with the given id.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn stream_events(after: u64, count: u64, mode: ReplicaMode) -> StandinReply {
    let (sender, receiver) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        for id in after + 1..=count {
            tokio::time::sleep(EVENT_INTERVAL).await;
            let text = event_text(id);
            let cut = matches!(mode, ReplicaMode::CutAfter(count) if id > after + count);
            let sent = if cut { text[..text.len() / 2].to_owned() } else { text };
            if sender.send(Ok(Frame::data(Bytes::from(sent)))).await.is_err() || cut {
                // Break the connection without sending the rest of the answer.
                let _ = sender.send(Err(std::io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
        }
    });
    let mut reply = Response::new(Either::Right(StreamBody::new(ReceiverStream::new(receiver))));
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    reply
}
