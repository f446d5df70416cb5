//! Stand-in for a server: a process of its own that writes its entry to the store and answers streams of
//! events and plain calls. What it runs goes to standard output, a line each.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::ChildStdin;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::clock::wall_ms;
use crate::http;
use crate::http::Message;
use crate::http::read_request;
use crate::http::response;
use crate::http::write_response;
use crate::store::WRITER_FIELD;

/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Interval at which a run looks whether its caller has closed the connection.
const CLOSE_CHECK: Duration = Duration::from_millis(10);

/// Time until the first token of a stream.
const PREFILL_TIME: Duration = Duration::from_millis(30);

/// Time that a plain call takes.
const CALL_TIME: Duration = Duration::from_millis(60);

/// Plain calls that wait for a slot. Any further ones are rejected.
const QUEUED_CALLS: u64 = 3;

/// Interval at which a call that waits looks for a free slot.
const SLOT_CHECK: Duration = Duration::from_millis(1);

/// What a server is.
#[derive(Clone, Debug)]
pub struct ReplicaSpec {
    /// Identifier.
    pub id: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Address.
    pub address: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Time between two events of a stream in milliseconds.
    pub gap_ms: u64,
    /// Time for which each stream is silent once between its first token and its first event.
    pub silence_ms: u64,
}

impl ReplicaSpec {
    fn arguments(&self) -> Vec<String> {
        let Self { id, service, zone, version, address, store, slots, gap_ms, silence_ms } =
            self.clone();
        let (address, store) = (address.to_string(), store.to_string());
        let numbers = [slots, gap_ms, silence_ms].map(|number| number.to_string());
        [vec![id, service, zone, version, address, store], numbers.to_vec()].concat()
    }

    fn parse(arguments: &[String]) -> Option<Self> {
        let [id, service, zone, version, address, store, slots, gap_ms, silence_ms] = arguments
        else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            zone: zone.clone(),
            version: version.clone(),
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            slots: slots.parse().ok()?,
            gap_ms: gap_ms.parse().ok()?,
            silence_ms: silence_ms.parse().ok()?,
        })
    }
}

/// Lines that server processes wrote, with the time on the wall clock at which each was written.
pub type RunLog = Arc<Mutex<Vec<String>>>;

/// A running server process. Dropping it kills the process.
pub struct ReplicaProcess {
    child: Child,
    commands: Option<ChildStdin>,
}

impl ReplicaProcess {
    /// Starts a server.
    pub fn start(spec: &ReplicaSpec, log: &RunLog) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("replica")
            .args(spec.arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (lines, log) = (child.stdout.take(), log.clone());
        thread::spawn(move || {
            for line in lines.into_iter().flat_map(|lines| BufReader::new(lines).lines()).flatten()
            {
                log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(line);
            }
        });
        Ok(Self { commands: child.stdin.take(), child })
    }

    /// Sets the time between two events of a stream.
    pub fn set_gap(&mut self, gap_ms: u64) -> io::Result<()> {
        self.send(&format!("gap {gap_ms}"))
    }

    /// Lets the server send one in `one_in` of its answers to plain calls a second time, late.
    pub fn set_copies(&mut self, one_in: u64) -> io::Result<()> {
        self.send(&format!("copies {one_in}"))
    }

    fn send(&mut self, command: &str) -> io::Result<()> {
        let Some(commands) = &mut self.commands else { return Ok(()) };
        writeln!(commands, "{command}")?;
        commands.flush()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // It may have ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Replica {
    spec: ReplicaSpec,
    born: u64,
    gap_ms: AtomicU64,
    /// One in this many answers to plain calls is sent again; zero if none is.
    copies_one_in: AtomicU64,
    answers: AtomicU64,
    /// Plain calls that run or wait, and those that run.
    calls: AtomicU64,
    running: AtomicU64,
}

/// Runs a server until it is killed, or until the process that started it has ended.
pub fn run(arguments: &[String]) -> io::Result<()> {
    let spec = ReplicaSpec::parse(arguments).ok_or(ErrorKind::InvalidInput)?;
    let listener = TcpListener::bind(spec.address)?;
    let gap_ms = AtomicU64::new(spec.gap_ms);
    let replica = Arc::new(Replica {
        spec,
        born: wall_ms(),
        gap_ms,
        copies_one_in: AtomicU64::new(0),
        answers: AtomicU64::new(0),
        calls: AtomicU64::new(0),
        running: AtomicU64::new(0),
    });
    replica.write_entry(1);
    let writer = replica.clone();
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(HEARTBEAT);
            writer.write_entry(sequence);
        }
    });
    let acceptor = replica.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let replica = acceptor.clone();
            // A host may close its connection at any time.
            thread::spawn(move || drop(replica.serve(stream)));
        }
    });
    for line in io::stdin().lines() {
        let line = line?;
        let Some((name, number)) = line.split_once(' ') else { continue };
        let number = number.parse().unwrap_or(0);
        match name {
            "gap" => replica.gap_ms.store(number, Ordering::Relaxed),
            _ => replica.copies_one_in.store(number, Ordering::Relaxed),
        }
    }
    Ok(())
}

impl Replica {
    fn write_entry(&self, sequence: u64) {
        let ReplicaSpec { id, service, zone, version, address, store, slots, .. } = &self.spec;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\"cold-remaining-ms\":0,\
             \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence},\"born\":{}}}",
            self.born
        );
        let mut record = vec![u8::try_from(id.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(id.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut body = u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes().to_vec();
        body.extend(record);
        let start = "POST /log-append?topic=keyed.servers&part=0";
        // A later entry replaces one that is lost.
        drop(http::call(*store, start, &[(WRITER_FIELD, "1")], &body, HEARTBEAT));
    }

    fn log(&self, event: &str, request_id: &str, detail: &str) {
        let ReplicaSpec { id, version, .. } = &self.spec;
        let line =
            format!("{} {event} {request_id} {id} {} {version} {detail}", wall_ms(), self.born);
        // A whole line in one call, so that lines of several threads do not mix.
        drop(writeln!(io::stdout().lock(), "{line}"));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        // An answer that is sent again, before that to the next request.
        let mut copy = Vec::new();
        loop {
            reader.get_ref().set_read_timeout(None)?;
            let Some(request) = read_request(&mut reader)? else { return Ok(()) };
            self.answer(reader.get_mut(), &request, &mut copy)?;
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        copy: &mut Vec<u8>,
    ) -> io::Result<()> {
        let id = self.spec.id.as_str();
        if request.path() == "/health" {
            return write_response(stream, "200 OK", &[("Replica-Id", id)], b"");
        }
        let Some(request_id) = request.header("request-id") else {
            return write_response(stream, "400 Bad Request", &[("Not-Executed", "1")], b"");
        };
        let echo = ("Request-Id", request_id);
        if request.header("expect-replica").is_some_and(|expected| expected != id) {
            let fields = [("Replica-Id", id), ("Not-Executed", "1"), echo];
            return write_response(stream, "421 Misdirected Request", &fields, b"");
        }
        let signature = format!("{id}.{}.{request_id}", self.born);
        let signature = ("Replica-Signature", signature.as_str());
        if let Some((_, count)) = request.path().rsplit_once("/events-") {
            let after = request.header("last-event-id").and_then(|after| after.parse().ok());
            let count = count.parse().unwrap_or(1);
            return self.stream(stream, request_id, signature.1, after.unwrap_or(0), count);
        }
        let mut late_copy = std::mem::take(copy);
        if self.copies_one_in.load(Ordering::Relaxed) == 0 {
            late_copy.clear();
        }
        let places = self.spec.slots + QUEUED_CALLS;
        let answer = if self.calls.fetch_add(1, Ordering::SeqCst) < places {
            self.wait_for_slot();
            self.log("run", request_id, if late_copy.is_empty() { "-" } else { "after-a-copy" });
            // The host may close the connection; the call runs on.
            drop(stream.write_all(&late_copy));
            thread::sleep(CALL_TIME);
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.log("end", request_id, "whole");
            let body = format!("answer to {request_id}");
            response("200 OK", &[echo, signature], body.as_bytes())
        } else {
            drop(stream.write_all(&late_copy));
            response("503 Service Unavailable", &[("Not-Executed", "1")], b"")
        };
        self.calls.fetch_sub(1, Ordering::SeqCst);
        stream.write_all(&answer)?;
        let one_in = self.copies_one_in.load(Ordering::Relaxed);
        if one_in > 0 && (self.answers.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(one_in) {
            *copy = answer;
        }
        Ok(())
    }

    fn wait_for_slot(&self) {
        let slots = self.spec.slots;
        let take = |running| (running < slots).then_some(running + 1);
        while self.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_err() {
            thread::sleep(SLOT_CHECK);
        }
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        request_id: &str,
        signature: &str,
        after: u64,
        count: u64,
    ) -> io::Result<()> {
        let sent = self.send_events(stream, request_id, signature, after, count);
        let detail = if sent.is_ok() { "whole" } else { "closed" };
        self.log("end", request_id, detail);
        sent
    }

    fn send_events(
        &self,
        stream: &mut TcpStream,
        request_id: &str,
        signature: &str,
        after: u64,
        count: u64,
    ) -> io::Result<()> {
        wait_open(stream, PREFILL_TIME)?;
        self.log("run", request_id, &format!("after={after}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request_id}\r\n\
             Replica-Signature: {signature}\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=15\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        wait_open(stream, Duration::from_millis(self.spec.silence_ms))?;
        for number in after + 1..=count {
            if number > after + 1 {
                wait_open(stream, Duration::from_millis(self.gap_ms.load(Ordering::Relaxed)))?;
            }
            let (id, version) = (&self.spec.id, &self.spec.version);
            let event = format!("id: {number}\ndata: {version} {id} piece {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Waits, and fails as soon as the caller closes the connection.
fn wait_open(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let until = Instant::now() + time;
    stream.set_read_timeout(Some(CLOSE_CHECK))?;
    while let Some(left) =
        until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
    {
        if left < CLOSE_CHECK {
            thread::sleep(left);
            break;
        }
        match stream.peek(&mut [0]) {
            Ok(0) => return Err(ErrorKind::ConnectionAborted.into()),
            Ok(_) => thread::sleep(CLOSE_CHECK),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
