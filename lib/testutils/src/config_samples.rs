//! Small configurations, changes and followers for tests.

use std::sync::Arc;
use std::time::Duration;

use pomelostack_lib::checkpoint_duty::CheckpointSchedule;
use pomelostack_lib::config_follower::ConfigFollower;
use pomelostack_lib::config_record::ChangeAuthor;
use pomelostack_lib::config_record::ChangeId;
use pomelostack_lib::config_record::ConfigChange;
use pomelostack_lib::config_record::ResourceBody;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::config_snapshot::FollowerOptions;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::resource::TokenHash;
use pomelostack_lib::resource_key::ResourceKind;

/// Timeout of tests that wait for a follower.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Log retention that [`follower_options`] sets, in milliseconds.
pub const RETENTION_MS: u64 = 100_000;

/// Returns the JSON form of an app service.
pub fn service_json(name: &str, first_token_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","kind":"app","latency_target":{{"first_token_ms":{first_token_ms},"share_permille":950}}}}"#
    )
}

/// Returns the JSON form of a team whose token is its name.
pub fn team_json(name: &str, weight: u32) -> String {
    let hash = TokenHash::of(name).to_hex();
    format!(r#"{{"name":"{name}","token_hashes":["{hash}"],"weight":{weight}}}"#)
}

/// Returns a document with the services and teams given as JSON.
pub fn document_json(services: &[String], teams: &[String]) -> String {
    format!(r#"{{"services":[{}],"teams":[{}]}}"#, services.join(","), teams.join(","))
}

/// Returns an operation that creates a service.
pub fn create_service(name: &str, first_token_ms: u64) -> ResourceOperation {
    let json = service_json(name, first_token_ms);
    ResourceOperation::Create(ResourceBody { kind: ResourceKind::Service, json })
}

/// Returns an operation that changes a service.
pub fn change_service(name: &str, first_token_ms: u64) -> ResourceOperation {
    let json = service_json(name, first_token_ms);
    ResourceOperation::Change(ResourceBody { kind: ResourceKind::Service, json })
}

/// Returns a change with the given number as its id.
pub fn sample_change(
    number: u128,
    base: Option<u64>,
    operations: Vec<ResourceOperation>,
) -> ConfigChange {
    ConfigChange {
        id: ChangeId(number.to_be_bytes()),
        base: base.map(LogOffset),
        author: ChangeAuthor { operator: "ada".to_owned(), token_id: "0123abcd".to_owned() },
        wall_ms: 1_700_000_000_000,
        operations,
    }
}

/// Returns the options of a follower that reads on hints and does not poll.
pub fn follower_options() -> FollowerOptions {
    FollowerOptions {
        poll_interval: TEST_TIMEOUT,
        publish_timeout: TEST_TIMEOUT,
        schedule: CheckpointSchedule {
            retention: Duration::from_millis(RETENTION_MS),
            max_records: 1_000,
            rank_permille: 0,
        },
    }
}

/// Starts a follower that has read the log as it is now.
pub fn start_follower(log: &Arc<impl LogService + 'static>) -> ConfigFollower {
    let log: Arc<dyn LogService> = Arc::clone(log) as Arc<dyn LogService>;
    let follower = ConfigFollower::start(log, follower_options()).expect("thread starts");
    follower.wait_for_read(TEST_TIMEOUT);
    follower
}
