//! Stand-in for the platform: its store, a log with keyed topics and a group, and its cloud.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_request;
use crate::http::write_response;

/// Partitions that the group deals.
pub const PARTITIONS: u64 = 12;

/// Interval at which a waiting read looks for a new record.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);

/// Header field of the operator's and the servers' calls, which may write where hosts may not.
pub const WRITER_FIELD: &str = "Standin-Writer";

/// How many answers to a producer's last appends are kept.
const KEPT_ANSWERS: usize = 5;

#[derive(Clone, Debug, Default)]
struct Producer {
    epoch: u64,
    next: u64,
    recent: Vec<(u64, u64)>,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn push(&mut self, is_keyed: bool, record: Vec<u8>) {
        if is_keyed && let Some((key, value)) = split_record(&record) {
            match value.is_empty() {
                true => self.newest.remove(&key),
                false => self.newest.insert(key, (self.end(), value.to_vec())),
            };
        }
        self.records.push(record);
    }
}

fn split_record(record: &[u8]) -> Option<(String, &[u8])> {
    let (length, rest) = record.split_first()?;
    let key = rest.get(..usize::from(*length))?;
    Some((String::from_utf8_lossy(key).into_owned(), &rest[usize::from(*length)..]))
}

/// Group whose members hold partitions. A partition moves once its holder has joined with the
/// generation that takes it away, has left, or has been silent for its time to live.
#[derive(Clone, Debug, Default)]
struct Group {
    members: BTreeMap<String, Instant>,
    generation: u64,
    holders: BTreeMap<u64, String>,
}

impl Group {
    fn wanted(&self, partition: u64) -> Option<&String> {
        let count = self.members.len() as u64;
        let index = usize::try_from(partition.checked_rem(count)?).ok()?;
        self.members.keys().nth(index)
    }

    fn expire(&mut self, now: Instant) {
        let count = self.members.len();
        self.members.retain(|_, until| *until > now);
        self.generation += u64::from(self.members.len() < count);
        let members = &self.members;
        self.holders.retain(|_, holder| members.contains_key(holder));
    }

    fn join(&mut self, now: Instant, member: &str, ttl: Duration, known: u64) -> Vec<u64> {
        self.expire(now);
        if self.members.insert(member.to_owned(), now + ttl).is_none() {
            self.generation += 1;
        }
        let mut own = Vec::new();
        for partition in 0..PARTITIONS {
            let is_wanted = self.wanted(partition).is_some_and(|wanted| wanted == member);
            let holder = self.holders.get(&partition).cloned();
            if is_wanted && holder.as_deref().is_none_or(|holder| holder == member) {
                self.holders.insert(partition, member.to_owned());
                own.push(partition);
            } else if holder.as_deref() == Some(member) && known >= self.generation {
                self.holders.remove(&partition);
            }
        }
        own
    }

    fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.generation += 1;
            self.holders.retain(|_, holder| holder != member);
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Content {
    topics: BTreeMap<String, Topic>,
    group: Group,
}

/// A copy of the store.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    content: Content,
}

/// A call to the cloud that was accepted.
#[derive(Clone, Debug)]
pub struct CloudCall {
    /// Path.
    pub path: String,
    /// Host that made it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// Body.
    pub body: String,
}

#[derive(Debug)]
struct State {
    content: Content,
    era: u64,
    is_away: bool,
    fences: BTreeMap<String, u64>,
    calls: Vec<CloudCall>,
}

/// The running stand-in. Clones share it.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    /// Address of the store and the cloud.
    pub address: SocketAddr,
}

impl Platform {
    /// Starts the stand-in on a free port of an address.
    pub fn start(ip: IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            content: Content::default(),
            era: 1,
            is_away: false,
            fences: BTreeMap::new(),
            calls: Vec::new(),
        };
        let address = listener.local_addr()?;
        let platform = Self { state: Arc::new(Mutex::new(state)), address };
        let server = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // A host may close its connection at any time.
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(platform)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes the newest value of a key, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.lock().content.topics.entry(topic.to_owned()).or_default().push(true, record);
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { content: self.lock().content.clone() }
    }

    /// Takes the store away for a while and lets it come back from a copy. What the operator and the
    /// servers wrote since is written again.
    pub fn drill(&self, copy: StoreCopy, away: Duration) {
        self.lock().is_away = true;
        thread::sleep(away);
        let state = &mut *self.lock();
        let lost = std::mem::replace(&mut state.content, copy.content);
        state.era += 1;
        state.is_away = false;
        for name in ["keyed.op", "keyed.servers"] {
            let newest = lost.topics.get(name).map(|topic| topic.newest.clone());
            for (key, (_, value)) in newest.unwrap_or_default() {
                let topic = state.content.topics.entry(name.to_owned()).or_default();
                if topic.newest.get(&key).is_some_and(|(_, known)| *known == value) {
                    continue;
                }
                let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
                record.extend_from_slice(key.as_bytes());
                record.extend_from_slice(&value);
                topic.push(true, record);
            }
        }
    }

    /// Returns the calls to the cloud that were accepted.
    pub fn cloud_calls(&self) -> Vec<CloudCall> {
        self.lock().calls.clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let era = self.lock().era;
        while let Some(request) = read_request(&mut reader)? {
            if self.lock().is_away || self.lock().era != era {
                return Ok(());
            }
            let (status, body) = self.answer(&request);
            // The answers that the store owed when it went away are lost.
            if self.lock().is_away || self.lock().era != era {
                return Ok(());
            }
            let era = era.to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            write_response(reader.get_mut(), status, &fields, &body)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        match request.path() {
            "/log-append" => {
                let is_writer = request.header(WRITER_FIELD).is_some();
                if !is_writer && matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
                    return ("403 Forbidden", b"{}".to_vec());
                }
                thread::sleep(APPEND_TIME);
                self.append(request, &topic)
            }
            "/log-read" => self.read(request, &topic),
            "/log-newest" => self.list(&topic),
            "/log-join" => self.join(request),
            "/log-leave" => {
                let body = String::from_utf8_lossy(&request.body);
                self.lock().content.group.leave(text_field(&body, "member").unwrap_or_default());
                ("200 OK", b"{}".to_vec())
            }
            path => self.answer_cloud(request, path),
        }
    }

    fn append(&self, request: &Message, name: &str) -> (&'static str, Vec<u8>) {
        let state = &mut *self.lock();
        let topic = state.content.topics.entry(name.to_owned()).or_default();
        let end = topic.end();
        if request.number("at").is_some_and(|at| at != end) {
            return ("412 Precondition Failed", format!("{{\"end\":{end}}}").into_bytes());
        }
        let appended = |offset: u64, end: u64| {
            ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
        };
        if let Some(name) = request.parameter("producer") {
            let (epoch, sequence) =
                (request.number("epoch").unwrap_or(0), request.number("sequence").unwrap_or(0));
            let producer = topic.producers.entry(name.to_owned()).or_default();
            if epoch < producer.epoch {
                return ("409 Conflict", b"{\"reason\":\"fenced\"}".to_vec());
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, next: sequence, recent: Vec::new() };
            }
            let known = producer.recent.iter().find(|(known, _)| *known == sequence);
            if let Some((_, offset)) = known {
                return appended(*offset, end);
            }
            if sequence != producer.next {
                let body = format!("{{\"reason\":\"seq\",\"sequence\":{}}}", producer.next);
                return ("409 Conflict", body.into_bytes());
            }
            producer.next += 1;
            producer.recent.push((sequence, end));
            if producer.recent.len() > KEPT_ANSWERS {
                producer.recent.remove(0);
            }
        }
        let mut rest = request.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some(record) = tail.get(..length) else { break };
            topic.push(name.starts_with("keyed."), record.to_vec());
            rest = &tail[length..];
        }
        appended(end, topic.end())
    }

    fn read(&self, request: &Message, name: &str) -> (&'static str, Vec<u8>) {
        let from = request.number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(request.number("wait-ms").unwrap_or(0));
        loop {
            {
                let state = self.lock();
                let empty = Topic::default();
                let topic = state.content.topics.get(name).unwrap_or(&empty);
                if from > topic.end() {
                    return ("410 Gone", b"{\"first\":0}".to_vec());
                }
                if from < topic.end() || Instant::now() >= until || state.is_away {
                    let mut page = topic.end().to_be_bytes().to_vec();
                    page.extend_from_slice(&0_u64.to_be_bytes());
                    for record in topic.records.iter().skip(usize::try_from(from).unwrap_or(0)) {
                        page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        page.extend_from_slice(record);
                    }
                    return ("200 OK", page);
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn list(&self, name: &str) -> (&'static str, Vec<u8>) {
        let state = self.lock();
        let empty = Topic::default();
        let topic = state.content.topics.get(name).unwrap_or(&empty);
        let items: Vec<String> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has-more\":false,\"end\":{}}}",
            items.join(","),
            topic.end()
        );
        ("200 OK", body.into_bytes())
    }

    fn join(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let body = String::from_utf8_lossy(&request.body);
        let ttl = Duration::from_millis(number_field(&body, "ttl-ms").unwrap_or(1_000));
        let member = text_field(&body, "member").unwrap_or_default();
        let known = number_field(&body, "generation").unwrap_or(0);
        let group = &mut self.lock().content.group;
        let own = group.join(Instant::now(), member, ttl, known);
        let parts: Vec<String> = own.iter().map(|part| format!("[\"work\",{part},0]")).collect();
        let body = format!(
            "{{\"generation\":{},\"ttl-ms\":{},\"parts\":[{}]}}",
            group.generation,
            ttl.as_millis(),
            parts.join(",")
        );
        ("200 OK", body.into_bytes())
    }

    fn answer_cloud(&self, request: &Message, path: &str) -> (&'static str, Vec<u8>) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let subject = match path {
            "/usage" => path.to_owned(),
            "/scale" => {
                format!("{path} {:?} {:?}", text_field(&body, "service"), text_field(&body, "zone"))
            }
            _ => return ("404 Not Found", b"{}".to_vec()),
        };
        let fence = request.header("fencing-token").and_then(|fence| fence.parse().ok());
        let fence = fence.unwrap_or(0);
        let state = &mut *self.lock();
        let highest = state.fences.entry(subject).or_default();
        if fence < *highest {
            return ("409 Conflict", b"{\"error\":\"a higher fence was seen\"}".to_vec());
        }
        *highest = fence;
        let holder = request.header("duty-holder").unwrap_or_default().to_owned();
        state.calls.push(CloudCall { path: path.to_owned(), holder, fence, body });
        ("200 OK", b"{}".to_vec())
    }
}

/// Returns a text field of a flat JSON object.
fn text_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let rest = body.split_once(&format!("\"{name}\":\""))?.1;
    rest.split('"').next()
}

/// Returns a number of a flat JSON object.
fn number_field(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
