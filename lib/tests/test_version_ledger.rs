//! What a host knows, records and tells of the software versions of streams.

use std::time::Duration;

use pomelostack_lib::gateway::platform_api::VersionsRead;
use pomelostack_lib::gateway::version_census::ListedServer;
use pomelostack_lib::gateway::version_ledger::BeginRule;
use pomelostack_lib::gateway::version_ledger::DirectoryView;
use pomelostack_lib::gateway::version_ledger::FleetStart;
use pomelostack_lib::gateway::version_ledger::MAX_LISTED_STREAMS;
use pomelostack_lib::gateway::version_ledger::RecordNeed;
use pomelostack_lib::gateway::version_ledger::StreamBegin;
use pomelostack_lib::gateway::version_ledger::StreamKey;
use pomelostack_lib::gateway::version_ledger::StreamTrace;
use pomelostack_lib::gateway::version_ledger::TraceSource;
use pomelostack_lib::gateway::version_ledger::VersionBase;
use pomelostack_lib::gateway::version_ledger::VersionLedger;
use pomelostack_lib::gateway::version_ledger::VersionRecords;
use pomelostack_lib::gateway::version_records::decode_versions;
use pomelostack_lib::gateway::version_records::encode_list;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::LogPosition;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::text_label::TextLabel;
use pomelostack_lib::timestamp::Timestamp;
use proptest::prelude::*;

const WAIT: Duration = Duration::from_secs(15);
/// Longer than any stream of these tests lives.
const LIFE_MS: u64 = 61_000;
const KEY: StreamKey = StreamKey(7);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("valid in tests")
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of(name.as_bytes())
}

fn begin(name: &str) -> StreamBegin {
    StreamBegin { service: service("chat"), version: version(name) }
}

fn records(base: &str, era: u64) -> VersionRecords {
    let mut records = VersionRecords { era: StoreEra(era), ..VersionRecords::default() };
    let position = LogPosition { era: StoreEra(era), offset: LogOffset(0) };
    let base = VersionBase { version: version(base), era: StoreEra(0), position };
    records.bases.insert(service("chat"), base);
    records
}

/// Lets a host look at a directory that lists these versions.
fn look(ledger: &mut VersionLedger, now: Timestamp, versions: &[&str]) {
    let service = service("chat");
    let versions: Vec<SoftwareVersion> = versions.iter().map(|name| version(name)).collect();
    let listed = versions.iter().map(|version| ListedServer {
        service: &service,
        version,
        is_staying: true,
    });
    let returned = ledger.census_mut().observe(now, listed);
    ledger.on_returned(now, &returned);
    ledger.on_directory_read(now);
}

/// Returns a host that knows version v1 as the base, among servers of two versions.
fn host() -> VersionLedger {
    let mut ledger = VersionLedger::default();
    look(&mut ledger, at(0), &["v1", "v2"]);
    ledger.on_read(at(0), &records("v1", 0), Vec::new());
    ledger
}

fn trace(ledger: &VersionLedger, now: Timestamp, records: Option<&VersionRecords>) -> StreamTrace {
    ledger.trace(now, Some(KEY), &service("chat"), records, DirectoryView::Shared)
}

#[test]
fn base_needs_no_record() {
    let mut ledger = host();
    assert_eq!(ledger.on_sent(at(1), KEY, &begin("v1"), WAIT), RecordNeed::Nothing);
    assert_eq!(ledger.pending_list(), None);
    assert!(matches!(
        ledger.on_sent(at(2), StreamKey(8), &begin("v2"), WAIT),
        RecordNeed::Recorded(_)
    ));
    let update = ledger.pending_list().expect("valid in tests");
    assert_eq!(update.streams.values().flatten().collect::<Vec<_>>(), [&StreamKey(8)]);
    ledger.on_recorded(update.ticket);
    assert_eq!(ledger.pending_list(), None);
}

#[test]
fn outdated_base() {
    // After a drill of the store other hosts cannot tell that an unlisted stream is of the base (LOST).
    let mut ledger = host();
    ledger.on_sent(at(1), KEY, &begin("v1"), WAIT);
    ledger.on_era(at(2), StoreEra(1));
    assert_eq!(ledger.on_sent(at(3), StreamKey(8), &begin("v1"), WAIT), RecordNeed::Advised);
    let update = ledger.pending_list().expect("valid in tests");
    assert!(!update.is_awaited);
    let listed = &update.streams[&(service("chat"), version("v1"))];
    assert_eq!(listed.len(), 2);
    // A stream of another version is still recorded before its first event.
    assert!(matches!(
        ledger.on_sent(at(4), StreamKey(9), &begin("v2"), WAIT),
        RecordNeed::Recorded(_)
    ));
    assert!(ledger.pending_list().is_some_and(|update| update.is_awaited));
    // So is one that a list may have named with the base's version.
    assert!(matches!(ledger.on_sent(at(5), KEY, &begin("v2"), WAIT), RecordNeed::Recorded(_)));
    // Once the base is recorded anew, its streams are not listed.
    let update = ledger.pending_list().expect("valid in tests");
    ledger.on_recorded(update.ticket);
    let mut read = records("v1", 1);
    read.bases.values_mut().for_each(|base| base.era = StoreEra(1));
    ledger.on_read(at(6), &read, Vec::new());
    assert_eq!(ledger.on_sent(at(7), StreamKey(10), &begin("v1"), WAIT), RecordNeed::Nothing);
    assert_eq!(ledger.pending_list(), None);
}

#[test]
fn crowded_list() {
    // Streams that other hosts would take for ones of the base are listed before all others (ORDER).
    let mut ledger = host();
    ledger.on_era(at(1), StoreEra(1));
    ledger.on_sent(at(2), KEY, &begin("v2"), WAIT);
    for number in 0..MAX_LISTED_STREAMS as u64 + 5 {
        ledger.on_sent(at(3 + number), StreamKey(100 + number), &begin("v1"), WAIT);
    }
    let update = ledger.pending_list().expect("valid in tests");
    assert_eq!(update.streams[&(service("chat"), version("v2"))], [KEY]);
    assert_eq!(update.streams.values().flatten().count(), MAX_LISTED_STREAMS);
}

#[test]
fn tried_elsewhere_first() {
    // A list may have named the stream with the version of the attempt that failed.
    let mut ledger = host();
    ledger.on_sent(at(1), KEY, &begin("v2"), WAIT);
    let first = ledger.pending_list().expect("valid in tests");
    assert!(matches!(ledger.on_sent(at(2), KEY, &begin("v1"), WAIT), RecordNeed::Recorded(_)));
    let second = ledger.pending_list().expect("valid in tests");
    assert!(second.ticket > first.ticket);
    assert!(second.streams.contains_key(&(service("chat"), version("v1"))));
    assert!(!second.streams.contains_key(&(service("chat"), version("v2"))));
}

#[test]
fn trace_of_records() {
    let ledger = host();
    let mut read = records("v1", 0);
    let base = StreamTrace::Version(version("v1"), TraceSource::Base);
    assert_eq!(trace(&ledger, at(1), Some(&read)), base);
    read.add(KEY, begin("v2"));
    let listed = StreamTrace::Version(version("v2"), TraceSource::Record);
    assert_eq!(trace(&ledger, at(1), Some(&read)), listed);
    read.add(KEY, begin("v2"));
    assert_eq!(trace(&ledger, at(1), Some(&read)), listed);
    read.add(KEY, begin("v3"));
    assert_eq!(trace(&ledger, at(1), Some(&read)), StreamTrace::Untraceable);
    // The route moved to another service since the stream began.
    let mut moved = records("v1", 0);
    moved.add(KEY, StreamBegin { service: service("tags"), version: version("v1") });
    assert_eq!(trace(&ledger, at(1), Some(&moved)), StreamTrace::Untraceable);
    assert_eq!(trace(&ledger, at(1), Some(&VersionRecords::default())), StreamTrace::Unavailable);
}

#[test]
fn unnamed_stream() {
    let ledger = host();
    let trace = |records: &VersionRecords| {
        ledger.trace(at(1), None, &service("chat"), Some(records), DirectoryView::Shared)
    };
    let mut read = records("v1", 0);
    // A host that did not know the base yet recorded a stream of it.
    read.add(KEY, begin("v1"));
    read.add(StreamKey(8), StreamBegin { service: service("tags"), version: version("v9") });
    assert_eq!(trace(&read), StreamTrace::Version(version("v1"), TraceSource::Base));
    read.add(StreamKey(9), begin("v2"));
    assert_eq!(trace(&read), StreamTrace::Untraceable);
}

#[test]
fn silent_store() {
    let mut ledger = host();
    // Another version was there lately.
    assert_eq!(trace(&ledger, at(1), None), StreamTrace::Unavailable);
    for second in 0..=130 {
        look(&mut ledger, at(second * 1_000), &["v1"]);
    }
    let only = StreamTrace::Version(version("v1"), TraceSource::OnlyVersion);
    assert_eq!(trace(&ledger, at(130_000), None), only);
    let outdated =
        ledger.trace(at(130_000), Some(KEY), &service("chat"), None, DirectoryView::Outdated);
    assert_eq!(outdated, StreamTrace::Unavailable);
}

#[test]
fn unwritable_store() {
    let mut ledger = host();
    assert_eq!(ledger.begin_rule(&service("chat")), BeginRule::AnyVersion);
    ledger.on_sent(at(1), KEY, &begin("v2"), WAIT);
    ledger.on_record_failed();
    assert_eq!(ledger.begin_rule(&service("chat")), BeginRule::OnlyAt(&version("v1")));
    look(&mut ledger, at(1_000), &["v2"]);
    assert_eq!(ledger.begin_rule(&service("chat")), BeginRule::Nowhere);
    let update = ledger.pending_list().expect("valid in tests");
    ledger.on_recorded(update.ticket);
    assert_eq!(ledger.begin_rule(&service("chat")), BeginRule::AnyVersion);
}

#[test]
fn same_name_twice() {
    let mut ledger = host();
    ledger.on_sent(at(1), KEY, &begin("v1"), WAIT);
    ledger.on_first_event(KEY);
    let own = StreamTrace::Version(version("v1"), TraceSource::Memory);
    assert_eq!(ledger.recall(KEY, &service("chat")), Some(own));
    assert_eq!(ledger.recall(KEY, &service("tags")), Some(StreamTrace::Untraceable));
    ledger.on_sent(at(2), KEY, &begin("v2"), WAIT);
    assert_eq!(ledger.recall(KEY, &service("chat")), Some(StreamTrace::Untraceable));
}

#[test]
fn restored_store() {
    let mut ledger = host();
    ledger.on_sent(at(1), KEY, &begin("v2"), WAIT);
    let update = ledger.pending_list().expect("valid in tests");
    ledger.on_recorded(update.ticket);
    // The store came back from a copy: lists may be lost, also those of hosts that are gone.
    ledger.on_era(at(1_000), StoreEra(1));
    assert!(ledger.pending_list().is_some());
    let restored = records("v1", 1);
    assert_eq!(trace(&ledger, at(1_000), Some(&restored)), StreamTrace::Unavailable);
    let propose = |ledger: &VersionLedger, now| {
        ledger.propose_base(now, &service("chat"), &restored, FleetStart::Later)
    };
    assert_eq!(propose(&ledger, at(2_000)), None);
    look(&mut ledger, at(1_000 + LIFE_MS), &["v1", "v2"]);
    let proposal = propose(&ledger, at(1_000 + LIFE_MS)).expect("valid in tests");
    assert_eq!((proposal.version, proposal.era), (version("v1"), StoreEra(1)));
}

#[test]
fn bounded_state() {
    let mut ledger = host();
    let count = u64::try_from(MAX_LISTED_STREAMS).expect("valid in tests") + 100;
    for number in 0..count {
        ledger.on_sent(at(number), StreamKey(number), &begin("v2"), WAIT);
    }
    let update = ledger.pending_list().expect("valid in tests");
    let listed: Vec<StreamKey> = update.streams.values().flatten().copied().collect();
    assert_eq!(listed.len(), MAX_LISTED_STREAMS);
    // The oldest ones are left out.
    assert!(!listed.contains(&StreamKey(0)) && listed.contains(&StreamKey(count - 1)));
    assert!(encode_list(&update, u64::MAX, u64::MAX).len() < 262_144);
    ledger.expire(at(count + LIFE_MS));
    assert_eq!(ledger.listed_count(), 0);
    for second in 0..1_000 {
        let name = format!("v{second}");
        look(&mut ledger, at(count + LIFE_MS + second), &[&name]);
    }
    let known = (0..1_000).filter(|second| {
        let now = at(count + LIFE_MS + 1_000);
        !ledger.census().is_gone(now, &service("chat"), &version(&format!("v{second}")), WAIT)
    });
    assert!(known.count() <= 256);
}

#[test]
fn keys_of_callers() {
    let team = |name: &str| TeamName::try_from(name).expect("valid in tests");
    let label = TextLabel::of(b"9c41d07b");
    let key = StreamKey::of(Some(&team("club")), &label);
    assert_eq!(key, StreamKey::of(Some(&team("club")), &label));
    assert_ne!(key, StreamKey::of(Some(&team("clubs")), &label));
    assert_ne!(key, StreamKey::of(None, &label));
    // Builds side by side must agree on it.
    assert_eq!(key, StreamKey(10_117_901_057_168_189_152));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_records(
        lists in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..4),
        bases in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..4),
    ) {
        let host = HostId::try_from("h1").expect("valid in tests");
        let read = VersionsRead {
            bases: bases.into_iter().map(|base| (service("chat"), LogOffset(0), base)).collect(),
            lists: lists.into_iter().map(|list| (host.clone(), list)).collect(),
            ..VersionsRead::default()
        };
        let decoded = decode_versions(&read, &host, 0);
        prop_assert!(decoded.records.bases.len() <= 1);
    }
}
