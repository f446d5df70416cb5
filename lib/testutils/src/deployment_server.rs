//! HTTP servers of the deployment stand-in: the store, the cloud and the replicas.

use std::net::SocketAddr;
use std::ops::Range;
use std::pin::pin;
use std::sync::Arc;
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
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_stream::wrappers::ReceiverStream;

use crate::answer_copies::AnswerCopies;
use crate::answer_copies::CopiedLate;
use crate::answer_copies::CopyingStream;
use crate::deployment_standin::FIRST_VERSION;
use crate::deployment_standin::READY;
use crate::deployment_standin::SERVER_TOPIC;
use crate::deployment_standin::STREAM_EVENTS;
use crate::deployment_state::CopiedKind;
use crate::deployment_state::CrashTimes;
use crate::deployment_state::LimitAnswer;
use crate::deployment_state::ReplicaCrash;
use crate::deployment_state::ReplicaMode;
use crate::deployment_state::ReplicaRun;
use crate::deployment_state::ReplicaState;
use crate::deployment_state::SharedState;
use crate::deployment_state::StoreLink;
use crate::deployment_state::StoreMode;
use crate::deployment_state::StreamEnd;
use crate::deployment_state::TurnedAway;
use crate::deployment_state::UsageReport;
use crate::deployment_state::WrittenRecord;
use crate::deployment_state::lock;
use crate::deployment_state::write;
use crate::endless_response::EndlessKind;
use crate::endless_response::EndlessResponse;
use crate::host_cut::NewConnection;
use crate::host_cut::ReplicaSockets;
use crate::store_core::ProducerPlace;
use crate::store_core::StoreRejection;
use crate::unframed_response::UnframedBody;
use crate::unframed_response::UnframedResponse;

/// Interval at which a long-polling read checks for a new record.
const LONG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the begin of a request to the crash that it causes.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Field with the limit of a replica.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Field of a replica that is brittle.
const SERVER_BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Path prefix of streams.
const STREAM_PREFIX: &str = "/brief/";
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

type StandinBody =
    Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, std::io::Error>>>>;
type StandinReply = Response<StandinBody>;

/// A response that no HTTP library writes.
#[derive(Clone, Debug)]
enum Takeover {
    Endless(EndlessResponse),
    Unframed(UnframedResponse),
}

async fn write_takeover(
    response: Option<Takeover>,
    stream: &mut TcpStream,
) -> Result<(), std::io::Error> {
    match response {
        Some(Takeover::Endless(response)) => response.write_to(stream).await,
        Some(Takeover::Unframed(response)) => response.write_to(stream).await,
        None => Ok(()),
    }
}

/// Which API an address serves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Role {
    /// The store and the cloud, over a link if there is one.
    Platform(Option<StoreLink>),
    Replica(usize),
}

/// Serves a role on a loopback port in a dedicated thread.
pub(crate) fn serve(state: SharedState, role: Role) -> std::io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            let Ok(mut listener) = TcpListener::from_std(listener) else { return };
            let crash = crash_signal(&state, role);
            loop {
                if on_sockets(&state, role, |sockets| sockets.on_listen(&listener))
                    .is_some_and(|kept| kept.is_err())
                {
                    return;
                }
                tokio::select! {
                    () = accept_connections(&state, role, &listener) => return,
                    () = crash.notified() => {}
                }
                // The address accepts connections until the process has ended.
                let CrashTimes { ending, down } = lock(&state).crash_times;
                tokio::time::sleep(ending).await;
                on_sockets(&state, role, ReplicaSockets::on_closed);
                drop(listener);
                tokio::time::sleep(down).await;
                let Ok(bound) = TcpListener::bind(address).await else { return };
                listener = bound;
                restart_replica(&state, role, address);
            }
        });
    });
    Ok(address)
}

async fn accept_connections(state: &SharedState, role: Role, listener: &TcpListener) {
    while let Ok((stream, peer)) = listener.accept().await {
        let accepted = on_sockets(state, role, |sockets| sockets.on_accept(&stream, peer));
        let (number, cut) = match accepted {
            None => (None, Arc::default()),
            Some(NewConnection::Serve { number, reset }) => (number, reset),
            Some(NewConnection::Reset) => {
                reset(&stream);
                continue;
            }
            Some(NewConnection::ResetAfter(after)) => {
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    reset(&stream);
                });
                continue;
            }
        };
        let state = state.clone();
        let connection = {
            let state = &mut lock(&state);
            state.next_connection += 1;
            state.next_connection - 1
        };
        let process = replica_id(&state, role);
        tokio::task::spawn_local(async move {
            let serving = serve_connection(state.clone(), role, connection, process, cut, stream);
            serving.await;
            if let Some(number) = number {
                on_sockets(&state, role, |sockets| sockets.on_ended(number));
            }
        });
    }
}

/// Acts on the sockets of a replica; the platform's are not kept.
fn on_sockets<T>(
    state: &SharedState,
    role: Role,
    act: impl FnOnce(&mut ReplicaSockets) -> T,
) -> Option<T> {
    match role {
        Role::Platform(_) => None,
        Role::Replica(index) => Some(act(lock(state).sockets.entry(index).or_default())),
    }
}

/// Returns the id of a replica's process.
fn replica_id(state: &SharedState, role: Role) -> Option<String> {
    match role {
        Role::Platform(_) => None,
        Role::Replica(index) => Some(lock(state).replicas[index].id.clone()),
    }
}

/// Returns what is notified when the process of a role crashes; that of the platform never does.
fn crash_signal(state: &SharedState, role: Role) -> Arc<Notify> {
    match role {
        Role::Platform(_) => Arc::default(),
        Role::Replica(index) => lock(state).replicas[index].crash.clone(),
    }
}

/// Replaces the entry of a crashed replica by that of its new process.
fn restart_replica(state: &SharedState, role: Role, address: SocketAddr) {
    let Role::Replica(index) = role else { return };
    let state = &mut lock(state);
    let old = state.replicas[index].id.clone();
    write(state, WrittenRecord { topic: SERVER_TOPIC, key: old, value: String::new() });
    let id = format!("i-{index}-crash{}", state.crashes.len());
    let replica = &mut state.replicas[index];
    (replica.id, replica.state, replica.sequence) = (id, READY, 1);
    replica.limit = None;
    let (key, value) = (replica.id.clone(), replica.entry(address).to_string());
    write(state, WrittenRecord { topic: SERVER_TOPIC, key, value });
}

/// Serves a connection until it is closed, or until a response that no HTTP library writes takes it
/// over.
async fn serve_connection(
    state: SharedState,
    role: Role,
    number: u64,
    process: Option<String>,
    cut: Arc<Notify>,
    stream: TcpStream,
) {
    let signal = crash_signal(&state, role);
    let mut crash = pin!(signal.notified());
    // The process may have crashed since it accepted the connection.
    if lock(&state).crashes.iter().any(|crash| Some(&crash.replica_id) == process.as_ref()) {
        reset(&stream);
        return;
    }
    let (takeovers, mut takeover) = mpsc::unbounded_channel();
    let copies = AnswerCopies::default();
    let stream = TokioIo::new(CopyingStream::new(stream, copies.clone()));
    let service = service_fn(move |request| {
        answer(state.clone(), role, number, takeovers.clone(), copies.clone(), request)
    });
    let mut connection = http1::Builder::new().serve_connection(stream, service);
    // The gateway may close connections at any time.
    let response = tokio::select! {
        _ = &mut connection => return,
        response = takeover.recv() => response,
        () = cut.notified() => return reset(&connection.into_parts().io.into_inner().into_inner()),
        () = &mut crash => return reset(&connection.into_parts().io.into_inner().into_inner()),
    };
    let mut stream = connection.into_parts().io.into_inner().into_inner();
    // The gateway may close the connection at any time.
    tokio::select! {
        _ = write_takeover(response, &mut stream) => {}
        () = cut.notified() => reset(&stream),
        () = &mut crash => reset(&stream),
    }
}

/// Lets a connection be reset when it is dropped.
fn reset(stream: &TcpStream) {
    // It may be closed already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn answer(
    state: SharedState,
    role: Role,
    connection: u64,
    takeovers: mpsc::UnboundedSender<Takeover>,
    copies: AnswerCopies,
    request: Request<Incoming>,
) -> Result<StandinReply, std::io::Error> {
    match role {
        Role::Platform(link) if request.uri().path().starts_with("/log-") => {
            answer_store(&state, link, connection, request).await
        }
        Role::Platform(_) => Ok(answer_cloud(&state, request).await),
        Role::Replica(index) => {
            let request_id = request.headers().get("request-id").cloned();
            let mut reply = answer_replica(&state, index, request).await?;
            let limit = |state| name_limit(state, index, request_id.as_ref());
            if let Some(mut response) = reply.extensions_mut().remove::<Takeover>() {
                match &mut response {
                    Takeover::Unframed(response) => response.limit = limit(&state),
                    Takeover::Endless(response) if response.kind.completes_head() => {
                        response.limit = limit(&state);
                    }
                    Takeover::Endless(_) => {}
                }
                takeovers.send(response).map_err(std::io::Error::other)?;
                std::future::pending::<()>().await;
            }
            // A notice behind a copy may never be read.
            if reply.headers().contains_key(RETRY_AFTER) {
                copies.forget();
            }
            let room = lock(&state).replicas[index].room;
            reply.headers_mut().extend(room.map(|room| (SERVER_BRITTLE, room.tolerance.into())));
            let limit = if copies.is_kept() { None } else { limit(&state) };
            let limit = limit.map(HeaderValue::try_from).and_then(Result::ok);
            reply.headers_mut().extend(limit.map(|limit| (SERVER_LIMIT, limit)));
            copies.send_last();
            if reply.extensions_mut().remove::<CopiedLate>().is_some()
                && let Either::Left(body) = reply.body()
            {
                copies.keep(reply.status(), reply.headers(), body.clone()).await;
            }
            Ok(reply)
        }
    }
}

/// Returns the line of a head that names a limit, or nothing.
pub(crate) fn limit_line(limit: Option<&str>) -> String {
    limit.map_or(String::new(), |limit| format!("{SERVER_LIMIT}: {limit}\r\n"))
}

/// Returns the limit that a replica names in an answer, and records it.
fn name_limit(
    state: &SharedState,
    index: usize,
    request_id: Option<&HeaderValue>,
) -> Option<String> {
    let state = &mut lock(state);
    let limit = state.replicas[index].limit.clone()?;
    let request_id = request_id.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
    let replica_id = state.replicas[index].id.clone();
    let at = Instant::now();
    state.limit_answers.push(LimitAnswer { replica_id, request_id, at, limit: limit.clone() });
    Some(limit)
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
            let place = field("producer").map(|producer| ProducerPlace {
                producer: producer.to_owned(),
                epoch: number("epoch").unwrap_or_default(),
                sequence: number("sequence").unwrap_or_default(),
            });
            let store = &mut lock(state).store;
            let appended = match place {
                Some(place) => store.append_in_place(topic, &place, record),
                None => store.append(topic, number("at"), record),
            };
            match appended {
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
        StoreRejection::Fenced => (StatusCode::CONFLICT, json!({"reason": "fenced"})),
        StoreRejection::Sequence(next) => {
            (StatusCode::CONFLICT, json!({"reason": "seq", "sequence": next}))
        }
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

/// Waits while a replica sends nothing.
async fn wait_while_silent(state: &SharedState, index: usize) {
    loop {
        let silent_until = lock(state).replicas[index].silent_until;
        match silent_until.filter(|until| *until > Instant::now()) {
            Some(until) => tokio::time::sleep_until(until.into()).await,
            None => return,
        }
    }
}

/// Answers a request at a replica. A path that ends in `/bytes-` and a number names the size of the
/// answer to a call.
async fn answer_replica(
    state: &SharedState,
    index: usize,
    request: Request<Incoming>,
) -> Result<StandinReply, std::io::Error> {
    let field = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let request_id = field("Request-Id").unwrap_or_default();
    let ReplicaState { id, mode, version, .. } = lock(state).replicas[index].clone();
    if field("Expect-Replica").is_some_and(|expected| expected != id) {
        return Ok(full_response(StatusCode::MISDIRECTED_REQUEST, ""));
    }
    let Some(_room) = RoomGuard::enter(state, index) else {
        let at = Instant::now();
        lock(state).rejections.push(TurnedAway { replica_id: id, request_id, at });
        let mut reply = full_response(StatusCode::SERVICE_UNAVAILABLE, "");
        reply.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
        return Ok(reply);
    };
    if mode == ReplicaMode::Refuse {
        let mut reply = full_response(StatusCode::SERVICE_UNAVAILABLE, "");
        reply.headers_mut().insert("not-executed", hyper::header::HeaderValue::from_static("1"));
        return Ok(reply);
    }
    if let ReplicaMode::CopyLate(CopiedKind::Refusal(status)) = mode
        && lock(state).replicas[index].refused.insert(request_id.clone())
    {
        let status = StatusCode::from_u16(status).map_err(std::io::Error::other)?;
        let mut reply = full_response(status, "");
        reply.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
        let id = HeaderValue::try_from(request_id).map_err(std::io::Error::other)?;
        reply.headers_mut().insert("request-id", id);
        reply.extensions_mut().insert(CopiedLate);
        return Ok(reply);
    }
    if let ReplicaMode::TurnAway { retry_after } = mode {
        let at = Instant::now();
        {
            let state = &mut lock(state);
            state.replicas[index].turned_away.push(at);
            state.rejections.push(TurnedAway { replica_id: id, request_id, at });
        }
        let mut reply = full_response(StatusCode::SERVICE_UNAVAILABLE, "");
        let fields = [("not-executed", "1"), ("retry-after", retry_after)];
        reply.headers_mut().extend(fields.map(|(name, value)| {
            let name = hyper::header::HeaderName::from_static(name);
            (name, hyper::header::HeaderValue::from_static(value))
        }));
        return Ok(reply);
    }
    if mode == ReplicaMode::Endless(EndlessKind::RefusalBody) {
        return Ok(endless_reply(EndlessKind::RefusalBody, request_id, id));
    }
    let resumed_after = field("Last-Event-Id").and_then(|id| id.parse().ok());
    let crashing_part = find_crashing_part(state, field("Prompt-Prefix").as_deref());
    let path = request.uri().path();
    let is_stream = path.starts_with(STREAM_PREFIX);
    let run_count = {
        let state = &mut lock(state);
        state.run_count += 1;
        let number = state.run_count;
        state.runs.push(ReplicaRun {
            number,
            replica: index,
            replica_id: id.clone(),
            at: Instant::now(),
            mode,
            request_id: request_id.clone(),
            is_stream,
            resumed_after,
            team: field("Tenant-Id"),
            received_team_key: field("Authorization").is_some(),
            crashing_part,
            version: version.clone(),
        });
        number
    };
    // Records the end when the handler is dropped with its connection, too.
    let end = is_stream.then(|| {
        let request_id = request_id.clone();
        EndRecorder { state: state.clone(), run: run_count, replica: index, request_id }
    });
    if let Some(part) = crashing_part {
        tokio::task::spawn_local(crash_replica(state.clone(), index, id.clone(), part));
    }
    if mode == ReplicaMode::DropResponse {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    if let ReplicaMode::Endless(kind) = mode {
        return Ok(endless_reply(kind, request_id, id));
    }
    if matches!(mode, ReplicaMode::HangOn { one_in } if run_count.is_multiple_of(one_in)) {
        std::future::pending::<()>().await;
    }
    if let ReplicaMode::SlowBy(delay) = mode {
        tokio::time::sleep(delay).await;
    }
    if let Some(delay) = path_number(path, "/after-ms-") {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if let ReplicaMode::Unframed(end) = mode {
        let body = if is_stream {
            let count = path_number(path, "/events-").unwrap_or(STREAM_EVENTS);
            UnframedBody::Events(resumed_after.unwrap_or(0)..count)
        } else {
            UnframedBody::Text(format!("answer to {request_id}"))
        };
        let response = UnframedResponse { end, body, request_id, signature: id, limit: None };
        let mut reply = full_response(StatusCode::OK, "");
        reply.extensions_mut().insert(Takeover::Unframed(response));
        return Ok(reply);
    }
    let is_failed_resume = mode == ReplicaMode::FailResumed && resumed_after.is_some();
    let mut reply = if is_stream && !is_failed_resume {
        let count = path_number(path, "/events-").unwrap_or(STREAM_EVENTS);
        let run = StreamRun { replica: index, version, mode, end };
        stream_events(state.clone(), run, resumed_after.unwrap_or(0)..count)
    } else {
        let size = request.uri().path().rsplit_once("/bytes-").map(|(_, size)| size.parse());
        match size.and_then(Result::ok) {
            Some(size) => full_response(StatusCode::OK, vec![b'x'; size]),
            None => full_response(StatusCode::OK, format!("answer to {request_id}")),
        }
    };
    let is_copied_error =
        mode == ReplicaMode::CopyLate(CopiedKind::Error) && run_count.is_multiple_of(2);
    let fails_on =
        matches!(mode, ReplicaMode::FailOn { one_in } if run_count.is_multiple_of(one_in));
    if is_copied_error || mode == ReplicaMode::CopyLate(CopiedKind::Complete) {
        reply.extensions_mut().insert(CopiedLate);
    }
    if mode == ReplicaMode::Fail || fails_on || is_copied_error || is_failed_resume {
        *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    if mode == ReplicaMode::Leaving {
        let value = hyper::header::HeaderValue::from_static("1");
        reply.headers_mut().insert("server-leaving", value);
    }
    wait_while_silent(state, index).await;
    for (name, value) in [("request-id", request_id), ("replica-signature", id)] {
        if let Ok(value) = hyper::header::HeaderValue::try_from(value) {
            reply.headers_mut().insert(name, value);
        }
    }
    Ok(reply)
}

/// The place of a request at a replica.
struct RoomGuard {
    state: SharedState,
    replica: usize,
}

impl RoomGuard {
    /// Takes a place, if the replica has one.
    fn enter(state: &SharedState, index: usize) -> Option<Self> {
        let replica = &mut lock(state).replicas[index];
        if replica.room.is_some_and(|room| replica.running >= room.slots + room.queue) {
            return None;
        }
        replica.running += 1;
        Some(Self { state: state.clone(), replica: index })
    }
}

impl Drop for RoomGuard {
    fn drop(&mut self) {
        let replica = &mut lock(&self.state).replicas[self.replica];
        replica.running = replica.running.saturating_sub(1);
    }
}

/// Returns the first part of a prompt that crashes replicas, if there is one.
fn find_crashing_part(state: &SharedState, prompt: Option<&str>) -> Option<u64> {
    let (shared, _) = prompt?.rsplit_once(',')?;
    let ids = shared.split(',').filter_map(|part| part.split_once(':')).map(|(id, _)| id);
    let crashing = &lock(state).crashing_parts;
    ids.filter_map(|id| u64::from_str_radix(id, 16).ok()).find(|id| crashing.contains(id))
}

/// Lets a replica's process crash soon, unless it is gone by then.
async fn crash_replica(state: SharedState, index: usize, replica_id: String, part: u64) {
    tokio::time::sleep(CRASH_DELAY).await;
    let state = &mut lock(&state);
    if state.replicas[index].id != replica_id
        || state.crashes.iter().any(|crash| crash.replica_id == replica_id)
    {
        return;
    }
    state.crashes.push(ReplicaCrash { replica: index, at: Instant::now(), replica_id, part });
    state.replicas[index].crash.notify_waiters();
}

/// Returns the number that follows a marker at the end of a path.
fn path_number(path: &str, marker: &str) -> Option<u64> {
    path.rsplit_once(marker)?.1.parse().ok()
}

/// Returns a reply whose connection is taken over by a response without end.
fn endless_reply(kind: EndlessKind, request_id: String, signature: String) -> StandinReply {
    let mut reply = full_response(StatusCode::OK, "");
    let response = EndlessResponse { kind, request_id, signature, limit: None };
    reply.extensions_mut().insert(Takeover::Endless(response));
    reply
}

/// Returns the server-sent event with the given id.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns the server-sent event with the given id, as replicas of a software version write it.
pub fn versioned_event_text(id: u64, version: &str) -> String {
    match version {
        FIRST_VERSION => event_text(id),
        version => format!("id: {id}\ndata: piece {id} of {version}\n\n"),
    }
}

/// Records the end of a stream's run when it is dropped.
struct EndRecorder {
    state: SharedState,
    run: u64,
    replica: usize,
    request_id: String,
}

impl Drop for EndRecorder {
    fn drop(&mut self) {
        let (run, replica) = (self.run, self.replica);
        let request_id = std::mem::take(&mut self.request_id);
        let end = StreamEnd { run, replica, request_id, at: Instant::now() };
        lock(&self.state).stream_ends.push(end);
    }
}

/// A stream that a replica executes.
struct StreamRun {
    replica: usize,
    version: String,
    mode: ReplicaMode,
    end: Option<EndRecorder>,
}

async fn send_events(
    state: &SharedState,
    run: &StreamRun,
    ids: Range<u64>,
    sender: &mpsc::Sender<std::io::Result<Frame<Bytes>>>,
) {
    let StreamRun { replica: index, version, mode, .. } = run;
    let (index, mode) = (*index, *mode);
    let after = ids.start;
    for id in after + 1..=ids.end {
        tokio::time::sleep(EVENT_INTERVAL).await;
        if let ReplicaMode::PauseAfter { events, pause } = mode
            && id == after + events + 1
        {
            tokio::time::sleep(pause).await;
        }
        wait_while_silent(state, index).await;
        while matches!(mode, ReplicaMode::TrickleAfter(events) if id > after + events) {
            tokio::time::sleep(EVENT_INTERVAL).await;
            if sender.send(Ok(Frame::data(Bytes::from_static(b":")))).await.is_err() {
                return;
            }
        }
        let text = versioned_event_text(id, version);
        let cut = matches!(mode, ReplicaMode::CutAfter(count) if id > after + count)
            || mode == ReplicaMode::FailResumed && id > after + 2;
        let sent = if cut { text[..text.len() / 2].to_owned() } else { text };
        if sender.send(Ok(Frame::data(Bytes::from(sent)))).await.is_err() || cut {
            // Break the connection without sending the rest of the answer.
            let _ = sender.send(Err(std::io::ErrorKind::ConnectionReset.into())).await;
            return;
        }
    }
}

/// Sends the events of a stream after the first of a range of ids, up to the last.
fn stream_events(state: SharedState, run: StreamRun, ids: Range<u64>) -> StandinReply {
    let (sender, receiver) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        // A replica stops its work when its caller closes the connection.
        tokio::select! {
            () = send_events(&state, &run, ids, &sender) => {}
            () = sender.closed() => {}
        }
        drop(run.end);
    });
    let mut reply = Response::new(Either::Right(StreamBody::new(ReceiverStream::new(receiver))));
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    reply
}
