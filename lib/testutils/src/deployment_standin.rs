//! Stand-in for the platform that the gateway is deployed on: its store, its cloud API, and model
//! replicas that also serve non-streaming calls. It serves the platform's HTTP API on loopback
//! sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

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

use crate::store_core::PARTITIONS;
use crate::store_core::StoreCopy;
use crate::store_core::StoreCore;
use crate::store_core::StoreRejection;
use crate::store_core::encode_keyed;

/// Service that the replicas run unless others are named.
pub const SERVICE: &str = "chat";
/// Key of the only team.
pub const TEAM_KEY: &str = "k1";
/// Host name of every route.
pub const ROUTE_HOST: &str = "wind.example";
/// Port on which a gateway serves callers.
pub const FRONT_PORT: u16 = 7_700;
/// Number of events in a complete stream, unless the path ends in `/events-` and a number.
pub const STREAM_EVENTS: u64 = 12;
/// Topic with the operators' documents.
const OPERATOR_TOPIC: &str = "keyed.op";
/// Key of the configuration document.
const CONFIG_KEY: &str = "config";
/// State of a replica that accepts requests.
const READY: &str = "ready";
/// Topic with the entries of the replicas.
const SERVER_TOPIC: &str = "keyed.servers";
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
pub struct StoreLink(usize);

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
struct WrittenRecord {
    topic: &'static str,
    key: String,
    /// Empty if the key was removed.
    value: String,
}

impl WrittenRecord {
    fn names_same_key(&self, other: &Self) -> bool {
        self.topic == other.topic && self.key == other.key
    }
}

/// An earlier state of the store, and how much the operator and the replicas had written by then.
#[derive(Clone, Debug)]
pub struct StandinCopy {
    store: StoreCopy,
    written: usize,
}

/// A replica and what it says of itself.
#[derive(Clone, Debug)]
struct ReplicaState {
    id: String,
    service: String,
    mode: ReplicaMode,
    state: &'static str,
    /// Number of its last entry.
    sequence: u64,
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

/// A request that a replica executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// Index of the replica.
    pub replica: usize,
    /// Id of the replica.
    pub replica_id: String,
    /// When it ran.
    pub at: Instant,
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
    store: StoreCore,
    /// Mode of the store for all callers.
    mode: StoreMode,
    /// Mode of the store at the address of each link.
    link_modes: Vec<StoreMode>,
    /// What the operator and the replicas wrote, in order.
    written: Vec<WrittenRecord>,
    /// What the last restore lost of it.
    lost: Vec<WrittenRecord>,
    /// Number of records in `written` after the last restore.
    restored_at: usize,
    /// Store connections with a lower number carry nothing any more.
    silent_below: u64,
    next_connection: u64,
    replicas: Vec<ReplicaState>,
    runs: Vec<ReplicaRun>,
    usage: Vec<UsageReport>,
    /// Largest fencing token of any accepted report.
    max_fencing_token: u64,
    scale_requests: Vec<Value>,
}

impl DeploymentState {
    /// Returns what the operator and the replicas wrote since the last restore.
    fn since_restore(&self) -> impl Iterator<Item = &WrittenRecord> {
        self.written.iter().skip(self.restored_at)
    }
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
        Self::start_with(&[SERVICE, SERVICE])
    }

    /// Starts the store, the cloud API and one replica for each of the named services, and
    /// registers the replicas in the directory.
    pub fn start_with(services: &[&str]) -> std::io::Result<Self> {
        let state = SharedState::default();
        lock(&state).replicas = services
            .iter()
            .enumerate()
            .map(|(index, service)| ReplicaState {
                id: format!("i-{index}"),
                service: (*service).to_owned(),
                mode: ReplicaMode::Answer,
                state: READY,
                sequence: 0,
            })
            .collect();
        let platform = serve(state.clone(), Role::Platform(None))?;
        let replicas = (0..services.len()).map(|index| serve(state.clone(), Role::Replica(index)));
        let replicas = replicas.collect::<std::io::Result<_>>()?;
        let standin = Self { state, platform, replicas };
        for index in 0..standin.replicas.len() {
            standin.register_replica(index, READY);
        }
        Ok(standin)
    }

    /// Opens another address of the platform, whose mode can be set apart from the others.
    pub fn open_link(&self) -> std::io::Result<(StoreLink, SocketAddr)> {
        let link = {
            let modes = &mut lock(&self.state).link_modes;
            modes.push(StoreMode::Answer);
            StoreLink(modes.len() - 1)
        };
        Ok((link, serve(self.state.clone(), Role::Platform(Some(link)))?))
    }

    /// Sets how the store handles calls over a link.
    pub fn set_link_mode(&self, link: StoreLink, mode: StoreMode) {
        lock(&self.state).link_modes[link.0] = mode;
    }

    /// Writes a replica's entry into the directory, `ready` or `draining`.
    pub fn register_replica(&self, index: usize, state: &'static str) {
        lock(&self.state).replicas[index].state = state;
        self.renew_entry(index);
    }

    /// Writes a replica's entry again with the next sequence number, as it does periodically.
    pub fn renew_entry(&self, index: usize) {
        let (id, entry) = {
            let replica = &mut lock(&self.state).replicas[index];
            replica.sequence += 1;
            let entry = json!({
                "service": replica.service, "address": self.replicas[index].to_string(),
                "zone": "north", "version": "v1", "slots": 400, "state": replica.state,
                "sequence": replica.sequence, "born": 1,
            });
            (replica.id.clone(), entry)
        };
        self.put(SERVER_TOPIC, &id, &entry);
    }

    /// Removes a replica's entry and starts the replica again under another id.
    pub fn replace_replica(&self, index: usize, id: &str) {
        self.expire_replica(index);
        {
            let replica = &mut lock(&self.state).replicas[index];
            (replica.id, replica.state, replica.sequence) = (id.to_owned(), READY, 0);
        }
        self.renew_entry(index);
    }

    /// Returns the id and the service of a replica.
    pub fn replica(&self, index: usize) -> (String, String) {
        let replica = &lock(&self.state).replicas[index];
        (replica.id.clone(), replica.service.clone())
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
        self.publish_document(&config);
    }

    /// Publishes a configuration document.
    pub fn publish_document(&self, document: &Value) {
        self.put(OPERATOR_TOPIC, CONFIG_KEY, document);
    }

    /// Publishes a configuration document unless the store is unavailable to the operator.
    pub fn try_publish(&self, document: &Value) -> WriteOutcome {
        let state = &mut lock(&self.state);
        let outcome = match state.mode {
            StoreMode::Answer | StoreMode::Slow(_) => WriteOutcome::Acknowledged,
            StoreMode::DropResponses => WriteOutcome::Unanswered,
            StoreMode::Refuse | StoreMode::Reset | StoreMode::Silent => {
                return WriteOutcome::Refused;
            }
        };
        let (key, value) = (CONFIG_KEY.to_owned(), document.to_string());
        write(state, WrittenRecord { topic: OPERATOR_TOPIC, key, value });
        outcome
    }

    /// Returns whether the store answers the operator and the replicas.
    pub fn is_store_up(&self) -> bool {
        matches!(lock(&self.state).mode, StoreMode::Answer | StoreMode::Slow(_))
    }

    /// Drops the history of what the operator and the replicas wrote; the newest record of each key
    /// stays listed.
    pub fn drop_history(&self) {
        let store = &mut lock(&self.state).store;
        store.drop_history(OPERATOR_TOPIC);
        store.drop_history(SERVER_TOPIC);
    }

    /// Drops the history of one topic.
    pub fn drop_topic_history(&self, topic: &str) {
        lock(&self.state).store.drop_history(topic);
    }

    /// Copies the store's records and group.
    pub fn copy_store(&self) -> StandinCopy {
        let state = &lock(&self.state);
        StandinCopy { store: state.store.copy(), written: state.written.len() }
    }

    /// Lets the store come back from a copy. What the operator and the replicas wrote since is
    /// missing until [`Self::rewrite_lost`]. Open connections to the store are reset.
    pub fn restore_store(&self, copy: StandinCopy) {
        let state = &mut lock(&self.state);
        state.store.restore(copy.store);
        let kept = copy.written.min(state.written.len());
        state.lost = state.written.split_off(kept);
        state.restored_at = state.written.len();
    }

    /// Writes again what the operator and the replicas lost at the last restore, but for keys that
    /// were written since.
    pub fn rewrite_lost(&self, scope: RewriteScope) {
        let state = &mut lock(&self.state);
        let lost = std::mem::take(&mut state.lost);
        let rewritten: Vec<WrittenRecord> = lost
            .iter()
            .enumerate()
            .filter(|(index, record)| {
                let is_superseded =
                    lost[index + 1..].iter().any(|later| later.names_same_key(record));
                scope == RewriteScope::AllRecords || !is_superseded
            })
            .map(|(_, record)| record.clone())
            .filter(|record| !state.since_restore().any(|newer| newer.names_same_key(record)))
            .collect();
        rewritten.into_iter().for_each(|record| write(state, record));
    }

    /// Silences the open connections to the store: they stay open and carry nothing, and new ones
    /// work.
    pub fn silence_connections(&self) {
        let state = &mut lock(&self.state);
        state.silent_below = state.next_connection;
    }

    /// Sets how a replica handles requests.
    pub fn set_replica_mode(&self, index: usize, mode: ReplicaMode) {
        lock(&self.state).replicas[index].mode = mode;
    }

    /// Returns the requests that the replicas executed, in order.
    pub fn runs(&self) -> Vec<ReplicaRun> {
        lock(&self.state).runs.clone()
    }

    /// Returns the requests that the replicas executed since the last call, in order.
    pub fn take_runs(&self) -> Vec<ReplicaRun> {
        std::mem::take(&mut lock(&self.state).runs)
    }

    /// Returns the accepted usage reports, in order.
    pub fn usage_reports(&self) -> Vec<UsageReport> {
        lock(&self.state).usage.clone()
    }

    /// Returns the contents of the settings file of a gateway host with its own IP address.
    pub fn settings(&self, node: &str, ip: &str) -> Value {
        self.settings_at(node, ip, self.platform)
    }

    /// Returns the settings of a gateway host that reaches the platform at an address.
    pub fn settings_at(&self, node: &str, ip: &str, platform: SocketAddr) -> Value {
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
                "address": platform.to_string(), "parts": PARTITIONS, "ttl-min-ms": 600,
            },
            "cloud": {"address": platform.to_string(), "duties": ["usage_report"]},
        })
    }

    /// Sets how the store handles calls.
    pub fn set_store_mode(&self, mode: StoreMode) {
        lock(&self.state).mode = mode;
    }

    /// Removes a replica's entry from the directory, as if it had expired, by writing a tombstone.
    /// The replica keeps running.
    pub fn expire_replica(&self, index: usize) {
        let state = &mut lock(&self.state);
        let key = state.replicas[index].id.clone();
        write(state, WrittenRecord { topic: SERVER_TOPIC, key, value: String::new() });
    }

    fn put(&self, topic: &'static str, key: &str, value: &Value) {
        let (key, value) = (key.to_owned(), value.to_string());
        write(&mut lock(&self.state), WrittenRecord { topic, key, value });
    }
}

/// Writes a record as the operator or a replica does, and remembers it for a restore.
fn write(state: &mut DeploymentState, record: WrittenRecord) {
    let encoded = encode_keyed(&record.key, &record.value);
    let appended = state.store.append(record.topic, None, encoded);
    debug_assert!(appended.is_ok(), "an append without an expected offset succeeds");
    state.written.push(record);
}

/// Which API an address serves.
#[derive(Clone, Copy, Debug)]
enum Role {
    /// The store and the cloud, over a link if there is one.
    Platform(Option<StoreLink>),
    Replica(usize),
}

fn lock(state: &SharedState) -> MutexGuard<'_, DeploymentState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
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
                let connection = {
                    let state = &mut lock(&state);
                    state.next_connection += 1;
                    state.next_connection - 1
                };
                tokio::task::spawn_local(async move {
                    let service =
                        service_fn(move |request| answer(state.clone(), role, connection, request));
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
    connection: u64,
    request: Request<Incoming>,
) -> Result<StandinReply, std::io::Error> {
    match role {
        Role::Platform(link) if request.uri().path().starts_with("/log-") => {
            answer_store(&state, link, connection, request).await
        }
        Role::Platform(_) => Ok(answer_cloud(&state, request).await),
        Role::Replica(index) => answer_replica(&state, index, request),
    }
}

fn full_response(status: StatusCode, body: impl Into<Bytes>) -> StandinReply {
    let mut reply = Response::new(Either::Left(Full::new(body.into())));
    *reply.status_mut() = status;
    reply
}

async fn answer_store(
    state: &SharedState,
    link: Option<StoreLink>,
    connection: u64,
    request: Request<Incoming>,
) -> Result<StandinReply, std::io::Error> {
    let (mode, era) = {
        let state = lock(state);
        let link_mode = link.map_or(StoreMode::Answer, |link| state.link_modes[link.0]);
        let mode = if state.mode == StoreMode::Answer { link_mode } else { state.mode };
        (mode, state.store.era())
    };
    if connection < lock(state).silent_below {
        std::future::pending::<()>().await;
    }
    match mode {
        StoreMode::Refuse => return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, "{}")),
        StoreMode::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
        StoreMode::Silent => std::future::pending().await,
        StoreMode::Slow(delay) => tokio::time::sleep(delay).await,
        StoreMode::Answer | StoreMode::DropResponses => {}
    }
    let mut reply = carry_out(state, request).await?;
    if mode == StoreMode::DropResponses || connection < lock(state).silent_below {
        std::future::pending::<()>().await;
    }
    if lock(state).store.era() != era {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    reply.headers_mut().insert("store-era", era.into());
    Ok(reply)
}

/// Carries out a call to the store.
async fn carry_out(
    state: &SharedState,
    request: Request<Incoming>,
) -> Result<StandinReply, std::io::Error> {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let field =
        |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
    let topic = field("topic").unwrap_or_default();
    let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
    let call = || serde_json::from_slice::<Value>(&body).unwrap_or_default();
    let reply = match path.as_str() {
        "/log-newest" => {
            let page = lock(state).store.newest_page(topic);
            full_response(StatusCode::OK, page.to_string())
        }
        "/log-read" => {
            let from = number("from").unwrap_or(0);
            let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
            wait_for_answer(state, topic, from, wait).await?;
            match lock(state).store.read_page(topic, from) {
                Ok(page) => full_response(StatusCode::OK, page),
                Err(rejection) => rejected(rejection),
            }
        }
        "/log-append" => {
            let record = body.get(4..).unwrap_or_default().to_vec();
            match lock(state).store.append(topic, number("at"), record) {
                Ok(offset) => {
                    let answer = json!({"offset": offset, "end": offset + 1});
                    full_response(StatusCode::OK, answer.to_string())
                }
                Err(rejection) => rejected(rejection),
            }
        }
        "/log-join" => {
            let call = call();
            let ttl = Duration::from_millis(call["ttl-ms"].as_u64().unwrap_or_default());
            let member = call["member"].as_str().unwrap_or_default();
            let (generation, own) = lock(state).store.join(Instant::now(), member, ttl);
            let parts: Vec<Value> = own.iter().map(|part| json!(["duty", part, 0])).collect();
            let answer = json!({
                "generation": generation, "ttl-ms": ttl.as_millis() as u64, "parts": parts,
            });
            full_response(StatusCode::OK, answer.to_string())
        }
        "/log-leave" => {
            lock(state).store.leave(call()["member"].as_str().unwrap_or_default());
            full_response(StatusCode::OK, "{}")
        }
        _ => full_response(StatusCode::NOT_FOUND, "{}"),
    };
    Ok(reply)
}

/// Holds a read until it has an answer, its time is over, or the store came back from a copy.
async fn wait_for_answer(
    state: &SharedState,
    topic: &str,
    from: u64,
    wait: Duration,
) -> Result<(), std::io::Error> {
    let begin = Instant::now();
    let era = lock(state).store.era();
    while begin.elapsed() < wait && !lock(state).store.has_answer(topic, from) {
        tokio::time::sleep(LONG_POLL_INTERVAL).await;
        if lock(state).store.era() != era {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
    }
    Ok(())
}

fn rejected(rejection: StoreRejection) -> StandinReply {
    let (status, answer) = match rejection {
        StoreRejection::Gone(first) => (StatusCode::GONE, json!({"first": first})),
        StoreRejection::NotAtEnd(end) => (StatusCode::PRECONDITION_FAILED, json!({"end": end})),
    };
    full_response(status, answer.to_string())
}

async fn answer_cloud(state: &SharedState, request: Request<Incoming>) -> StandinReply {
    let path = request.uri().path().to_owned();
    let field = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let holder = field("duty-holder").unwrap_or_default();
    let fencing_token = field("fencing-token").and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    let state = &mut lock(state);
    match path.as_str() {
        "/usage" if fencing_token < state.max_fencing_token => {
            return full_response(StatusCode::CONFLICT, "{}");
        }
        "/usage" => {
            state.max_fencing_token = fencing_token;
            state.usage.push(UsageReport { at: Instant::now(), holder, fencing_token, body });
        }
        "/scale" => state.scale_requests.push(body),
        _ => return full_response(StatusCode::NOT_FOUND, "{}"),
    }
    full_response(StatusCode::OK, "{}")
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
    let ReplicaState { id, mode, .. } = lock(state).replicas[index].clone();
    if field("Expect-Replica").is_some_and(|expected| expected != id) {
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
        replica_id: id.clone(),
        at: Instant::now(),
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
    for (name, value) in [("request-id", request_id), ("replica-signature", id)] {
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
