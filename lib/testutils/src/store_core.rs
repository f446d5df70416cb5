//! Stand-in for the platform's store, without sockets: topics of one partition, the newest record of
//! each key, a consumer group, and copies of an earlier state that it can come back from.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

/// Partitions of a topic. Records are kept in the first one only.
pub const PARTITIONS: u64 = 12;

/// Prefix of topics whose records have a key.
const KEYED_PREFIX: &str = "keyed.";

/// Why a read or an append was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRejection {
    /// The store does not have the offset; the first retained one is given.
    Gone(u64),
    /// The partition does not end at the expected offset but at this one.
    NotAtEnd(u64),
    /// The producer has written with a higher epoch.
    Fenced,
    /// The producer's next sequence number is this one.
    Sequence(u64),
}

/// Place of a record among those of its producer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProducerPlace {
    /// Name of the producer.
    pub producer: String,
    /// Epoch; records of lower ones are rejected.
    pub epoch: u64,
    /// Number of the record in its epoch.
    pub sequence: u64,
}

/// What a partition knows of a producer.
#[derive(Clone, Debug, Default)]
struct ProducerState {
    epoch: u64,
    next: u64,
    /// Sequence numbers and offsets of its last records.
    recent: Vec<(u64, u64)>,
}

/// Number of a producer's last records of which a repeat gets the first answer again.
const KEPT_ANSWERS: usize = 5;

/// Result of a read or an append.
pub type Result<T> = std::result::Result<T, StoreRejection>;

/// A record of a keyed topic: its key and value.
pub fn encode_keyed(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![u8::try_from(key.len()).expect("keys are short")];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    record
}

#[derive(Clone, Debug, Default)]
struct LogPartition {
    /// Offset of the first retained record.
    first: u64,
    records: Vec<Vec<u8>>,
    /// Newest record of each key, with its offset; kept when the record itself is dropped.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, ProducerState>,
}

impl LogPartition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, is_keyed: bool, record: Vec<u8>) {
        if is_keyed {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => self.newest.remove(&key),
                false => self.newest.insert(key, (self.end(), value.to_vec())),
            };
        }
        self.records.push(record);
    }
}

/// Consumer group whose members divide the partitions of the duties among them.
#[derive(Clone, Debug, Default)]
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
}

/// The records and the group of a store at an earlier moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: BTreeMap<String, LogPartition>,
    group: ConsumerGroup,
}

/// A store in memory.
#[derive(Clone, Debug, Default)]
pub struct StoreCore {
    era: u64,
    topics: BTreeMap<String, LogPartition>,
    group: ConsumerGroup,
}

impl StoreCore {
    /// Returns how often the store came back from a copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Appends a record and returns its offset. With `at`, only if the partition ends there.
    pub fn append(&mut self, topic: &str, at: Option<u64>, record: Vec<u8>) -> Result<u64> {
        let partition = self.topics.entry(topic.to_owned()).or_default();
        let end = partition.end();
        if at.is_some_and(|at| at != end) {
            return Err(StoreRejection::NotAtEnd(end));
        }
        partition.push(topic.starts_with(KEYED_PREFIX), record);
        Ok(end)
    }

    /// Appends a record of a producer and returns its offset. A repeat is not appended again.
    pub fn append_in_place(
        &mut self,
        topic: &str,
        place: &ProducerPlace,
        record: Vec<u8>,
    ) -> Result<u64> {
        let partition = self.topics.entry(topic.to_owned()).or_default();
        let end = partition.end();
        let state = partition.producers.entry(place.producer.clone()).or_default();
        if place.epoch < state.epoch {
            return Err(StoreRejection::Fenced);
        }
        if place.epoch > state.epoch {
            *state = ProducerState { epoch: place.epoch, next: place.sequence, recent: Vec::new() };
        }
        let repeated = state.recent.iter().find(|(sequence, _)| *sequence == place.sequence);
        if let Some((_, offset)) = repeated {
            return Ok(*offset);
        }
        if place.sequence != state.next {
            return Err(StoreRejection::Sequence(state.next));
        }
        state.next += 1;
        state.recent.push((place.sequence, end));
        if state.recent.len() > KEPT_ANSWERS {
            state.recent.remove(0);
        }
        partition.push(topic.starts_with(KEYED_PREFIX), record);
        Ok(end)
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<&[u8]> {
        self.topics.get(topic)?.newest.get(key).map(|(_, value)| value.as_slice())
    }

    /// Returns the list of the newest records of a topic.
    pub fn newest_page(&self, topic: &str) -> Value {
        let partition = self.topics.get(topic);
        let newest = partition.into_iter().flat_map(|partition| &partition.newest);
        let items: Vec<Value> = newest
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
            })
            .collect();
        json!({"items": items, "has-more": false, "end": partition.map_or(0, LogPartition::end)})
    }

    /// Returns whether a read from an offset would be answered at once.
    pub fn has_answer(&self, topic: &str, from: u64) -> bool {
        let partition = self.topics.get(topic);
        let (first, end) = partition.map_or((0, 0), |partition| (partition.first, partition.end()));
        from != end || from < first
    }

    /// Returns the end, the first retained offset and the records from an offset on.
    pub fn read_page(&self, topic: &str, from: u64) -> Result<Vec<u8>> {
        let Some(partition) = self.topics.get(topic) else {
            let empty = [0; 16].to_vec();
            return if from == 0 { Ok(empty) } else { Err(StoreRejection::Gone(0)) };
        };
        if from < partition.first || from > partition.end() {
            return Err(StoreRejection::Gone(partition.first));
        }
        let mut page = partition.end().to_be_bytes().to_vec();
        page.extend_from_slice(&partition.first.to_be_bytes());
        let skipped = usize::try_from(from - partition.first).unwrap_or(usize::MAX);
        for record in partition.records.iter().skip(skipped) {
            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
            page.extend_from_slice(record);
        }
        Ok(page)
    }

    /// Drops the records of a topic; the newest of each key stays listed.
    pub fn drop_history(&mut self, topic: &str) {
        if let Some(partition) = self.topics.get_mut(topic) {
            partition.first = partition.end();
            partition.records.clear();
        }
    }

    /// Adds a member to the group or renews it. Returns the generation and the member's
    /// partitions, which are assigned round-robin in the order of member names.
    pub fn join(&mut self, now: Instant, member: &str, ttl: Duration) -> (u64, Vec<u64>) {
        let group = &mut self.group;
        group.expire(now);
        let known = group.members.insert(member.to_owned(), now + ttl).is_some();
        group.generation += u64::from(!known);
        let position = group.members.keys().take_while(|name| *name != member).count() as u64;
        let count = group.members.len() as u64;
        let own = (0..PARTITIONS).filter(|partition| partition % count == position).collect();
        (group.generation, own)
    }

    /// Removes a member from the group.
    pub fn leave(&mut self, member: &str) {
        if self.group.members.remove(member).is_some() {
            self.group.generation += 1;
        }
    }

    /// Returns a copy that the store can come back from.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { topics: self.topics.clone(), group: self.group.clone() }
    }

    /// Comes back from a copy: all that was written since is gone, offsets and the group's
    /// generation go back, and the era rises by one.
    pub fn restore(&mut self, copy: StoreCopy) {
        self.era += 1;
        self.topics = copy.topics;
        self.group = copy.group;
    }
}
