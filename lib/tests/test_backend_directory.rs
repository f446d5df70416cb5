//! The backend directory during outages of its store, restarts and removals.

use std::time::Duration;

use pomelostack_lib::gateway::backend_directory::BackendDirectory;
use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DepartureSource;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::DirectoryEffect;
use pomelostack_lib::gateway::backend_directory::RECOVERY_GRACE_PERIOD;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::LogPosition;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;

fn server_id(name: &str) -> ServerId {
    ServerId::try_from(name).expect("valid in tests")
}

fn entry(name: &str, started_at_ms: u64) -> BackendEntry {
    BackendEntry {
        id: server_id(name),
        service: ServiceName::try_from("chat").expect("valid in tests"),
        address: "10.0.0.1:80".parse().expect("valid in tests"),
        zone: ZoneName::try_from("a").expect("valid in tests"),
        version: SoftwareVersion::UNSTATED,
        state: ServingState::Ready,
        slots: 8,
        started_at_ms: Some(started_at_ms),
        reclaimable: false,
        reclaimed_in: None,
        sequence: None,
    }
}

fn position(offset: u64) -> LogPosition {
    LogPosition { era: StoreEra::default(), offset: LogOffset(offset) }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns a directory with one server, listed at offset 1.
fn listing_one() -> BackendDirectory {
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0), StoreEra::default());
    directory.apply(at(0), position(1), DirectoryChange::Present(entry("s1", 1)));
    directory
}

#[test]
fn removal_is_final() {
    let mut directory = listing_one();
    let effect = directory.apply(at(100), position(2), DirectoryChange::Absent(server_id("s1")));
    assert!(matches!(effect, DirectoryEffect::Removed(_)));
    assert_eq!(directory.find(&server_id("s1")), None);
}

#[test]
fn older_change_ignored() {
    let mut directory = listing_one();
    directory.apply(at(100), position(5), DirectoryChange::Absent(server_id("s1")));
    let effect = directory.apply(at(200), position(3), DirectoryChange::Present(entry("s1", 1)));
    assert_eq!(effect, DirectoryEffect::Unchanged);
    assert_eq!(directory.find(&server_id("s1")), None);
}

#[test]
fn expiry_in_outage() {
    let mut directory = listing_one();
    directory.on_read_failure(at(1_000));
    directory.on_read(at(5_000), StoreEra::default());
    directory.on_read_failure(at(4_900));
    let effect = directory.apply(at(5_000), position(2), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(effect, DirectoryEffect::Unchanged);
    let key = directory.find(&server_id("s1")).expect("valid in tests");
    assert!(
        directory.get(key).expect("valid in tests").is_missing,
        "used only if there is no other"
    );

    directory.apply(at(6_500), position(3), DirectoryChange::Present(entry("s1", 1)));
    assert!(directory.expire(at(60_000)).is_empty());
    assert!(!directory.get(key).expect("valid in tests").is_missing);
}

#[test]
fn missing_after_grace() {
    let mut directory = listing_one();
    directory.on_read_failure(at(4_900));
    directory.apply(at(5_000), position(2), DirectoryChange::Absent(server_id("s1")));
    let grace_end = at(4_900) + RECOVERY_GRACE_PERIOD;
    assert!(directory.expire(grace_end - Duration::from_millis(1)).is_empty());
    assert_eq!(directory.expire(grace_end).len(), 1);
    assert_eq!(directory.find(&server_id("s1")), None);
}

#[test]
fn read_gap_starts_grace() {
    // After a pause of the process the host has read nothing for seconds; entries that expired
    // meanwhile may reappear.
    let mut directory = listing_one();
    directory.on_read(at(9_000), StoreEra::default());
    let effect = directory.apply(at(9_000), position(2), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(effect, DirectoryEffect::Unchanged);
}

#[test]
fn same_id_restarts() {
    let mut directory = listing_one();
    let effect = directory.apply(at(100), position(2), DirectoryChange::Present(entry("s1", 2)));
    assert!(matches!(effect, DirectoryEffect::Restarted(_)));
}

#[test]
fn draining_reported_once() {
    let mut directory = listing_one();
    let draining = BackendEntry { state: ServingState::Draining, ..entry("s1", 1) };
    let change = DirectoryChange::Present(draining);
    let first = directory.apply(at(100), position(2), change.clone());
    assert!(matches!(first, DirectoryEffect::Draining(_)));
    let second = directory.apply(at(200), position(3), change);
    assert_eq!(second, DirectoryEffect::Unchanged);
    let key = directory.find(&server_id("s1")).expect("valid in tests");
    assert_eq!(directory.get(key).expect("valid in tests").draining_since, Some(at(100)));
}

#[test]
fn complete_listing_removes() {
    let mut directory = listing_one();
    directory.apply(at(0), position(2), DirectoryChange::Present(entry("s2", 1)));
    let effects = directory.retain_listed(at(100), &[server_id("s2")]);
    assert!(matches!(effects.as_slice(), [DirectoryEffect::Removed(_)]));
    assert_eq!(directory.iter().count(), 1);
}

/// Position in the era after a restore.
fn restored(offset: u64) -> LogPosition {
    LogPosition { era: StoreEra(1), offset: LogOffset(offset) }
}

fn numbered(sequence: u64, state: ServingState) -> DirectoryChange {
    DirectoryChange::Present(BackendEntry { state, sequence: Some(sequence), ..entry("s1", 1) })
}

/// Returns a directory whose server `s1` said at offset 9 with number 7 that it leaves.
fn draining_server() -> BackendDirectory {
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0), StoreEra::default());
    directory.apply(at(0), position(1), numbered(3, ServingState::Ready));
    directory.apply(at(100), position(9), numbered(7, ServingState::Draining));
    directory
}

fn state_of(directory: &BackendDirectory) -> Option<ServingState> {
    let key = directory.find(&server_id("s1"))?;
    directory.get(key).map(|server| server.entry.state)
}

#[test]
fn lower_offset_applies() {
    let mut directory = draining_server();
    directory.on_read(at(200), StoreEra(1));
    let effect = directory.apply(at(200), restored(2), numbered(8, ServingState::Draining));
    assert_eq!(effect, DirectoryEffect::Unchanged);
    let effect = directory.apply(at(300), restored(3), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(effect, DirectoryEffect::Unchanged, "it may reappear");
    assert_eq!(directory.expire(at(200) + RECOVERY_GRACE_PERIOD).len(), 1);
}

#[test]
fn copied_entry_ignored() {
    // The copy, and records that are written again, show the server as it was before its notice.
    let mut directory = draining_server();
    directory.on_read(at(200), StoreEra(1));
    for (offset, sequence) in [(2, 3), (3, 4), (4, 6)] {
        directory.apply(at(200), restored(offset), numbered(sequence, ServingState::Ready));
        assert_eq!(state_of(&directory), Some(ServingState::Draining), "entry {sequence}");
    }
    directory.apply(at(300), restored(5), numbered(8, ServingState::Ready));
    assert_eq!(state_of(&directory), Some(ServingState::Ready));
}

#[test]
fn departed_server_listed() {
    // The copy lists a server that has left since.
    let mut directory = draining_server();
    directory.apply(at(150), position(10), DirectoryChange::Absent(server_id("s1")));
    directory.on_read(at(200), StoreEra(1));
    directory.apply(at(200), restored(2), numbered(6, ServingState::Ready));
    assert_eq!(state_of(&directory), None);
    // An entry that lapsed while its server lives is written again with a higher number.
    directory.apply(at(300), restored(3), numbered(8, ServingState::Ready));
    assert_eq!(state_of(&directory), Some(ServingState::Ready));
}

#[test]
fn unlisted_server_kept() {
    // The server joined after the copy was made and has not written again yet.
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0), StoreEra::default());
    directory.apply(at(0), position(1), numbered(1, ServingState::Ready));
    directory.on_read(at(200), StoreEra(1));
    directory.retain_listed(at(200), &[]);
    assert_eq!(state_of(&directory), Some(ServingState::Ready));
    directory.apply(at(400), restored(1), numbered(2, ServingState::Ready));
    assert!(directory.expire(at(200) + RECOVERY_GRACE_PERIOD).is_empty());
}

/// Returns a directory whose server said that it is leaving.
fn leaving_one() -> BackendDirectory {
    let mut directory = listing_one();
    let effect =
        directory.on_departure(at(100), &server_id("s1"), Some(1), DepartureSource::Server);
    assert!(matches!(effect, DirectoryEffect::Draining(_)));
    directory
}

fn is_draining(directory: &BackendDirectory) -> bool {
    let server = directory.find(&server_id("s1")).and_then(|key| directory.get(key));
    server.expect("the server is listed").draining_since.is_some()
}

#[test]
fn departure_outlasts_entries() {
    let mut directory = leaving_one();
    directory.apply(at(200), position(2), DirectoryChange::Present(entry("s1", 1)));
    assert!(is_draining(&directory));
    directory.apply(at(300), position(3), DirectoryChange::Absent(server_id("s1")));
    directory.apply(at(9_000), position(4), DirectoryChange::Present(entry("s1", 1)));
    assert!(is_draining(&directory));
}

#[test]
fn departure_before_entry() {
    // A peer's word may arrive before the directory lists the server.
    let mut directory = BackendDirectory::default();
    directory.on_departure(at(0), &server_id("s1"), Some(1), DepartureSource::Peer);
    directory.apply(at(100), position(1), DirectoryChange::Present(entry("s1", 1)));
    assert!(is_draining(&directory));
}

#[test]
fn departure_of_last_process() {
    let mut directory = leaving_one();
    let change = DirectoryChange::Present(entry("s1", 2));
    let effect = directory.apply(at(200), position(2), change);
    assert!(matches!(effect, DirectoryEffect::Restarted(_)));
    assert!(!is_draining(&directory));
}

#[test]
fn departure_told_to_peers() {
    let mut directory = leaving_one();
    directory.on_departure(at(200), &server_id("s2"), None, DepartureSource::Peer);
    let told = |now| directory.recent_departures(now).map(|(id, _)| id.clone()).collect::<Vec<_>>();
    assert_eq!(told(at(1_000)), [server_id("s1")]);
    assert!(told(at(10_000)).is_empty());
}

#[test]
fn repeated_departure() {
    let mut directory = leaving_one();
    let effect = directory.on_departure(at(200), &server_id("s1"), Some(1), DepartureSource::Peer);
    assert_eq!(effect, DirectoryEffect::Unchanged);
}

#[test]
fn reclaim_countdown() {
    // The entries of a zone of servers under notice differ in the time left, which is nothing to tell.
    let left = |millis| BackendEntry {
        reclaimed_in: Some(Duration::from_millis(millis)),
        sequence: Some(millis),
        ..entry("s1", 1)
    };
    assert!(left(3_000).is_same_state(&left(1_800)));
    assert!(!left(3_000).is_same_state(&entry("s1", 1)));
    assert!(!entry("s1", 1).is_same_state(&left(3_000)));
}

#[test]
fn gone_before_sending() {
    // A server that is chosen for a request leaves, is replaced or removed while its connection is opened.
    let (process, address) = (Some(1), entry("s1", 1).address);
    let accepts_after = |act: &dyn Fn(&mut BackendDirectory)| {
        let mut directory = listing_one();
        let key = directory.find(&server_id("s1")).expect("valid in tests");
        act(&mut directory);
        directory.accepts_work(key, process, address)
    };
    let change = |entry| {
        move |directory: &mut BackendDirectory| {
            directory.apply(at(100), position(2), DirectoryChange::Present(entry));
        }
    };
    assert!(accepts_after(&|_| {}));
    assert!(accepts_after(&|directory| change(entry("s1", 1))(directory)));
    assert!(!accepts_after(&|directory| change(entry("s1", 2))(directory)), "another process");
    assert!(!accepts_after(&|directory| {
        directory.on_departure(at(100), &server_id("s1"), process, DepartureSource::Peer);
    }));
    assert!(!accepts_after(&|directory| {
        directory.apply(at(100), position(2), DirectoryChange::Absent(server_id("s1")));
    }));
}
