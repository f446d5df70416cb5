//! Random schedules with several hosts on one log: despite expired records, late checkpoints and
//! replaced hosts, no host ever holds a configuration that folding the whole log would not give.

use pomelostack_lib::checkpoint_duty::CheckpointDuty;
use pomelostack_lib::checkpoint_duty::CheckpointSchedule;
use pomelostack_lib::config_checkpoint::EncodedCheckpoint;
use pomelostack_lib::config_fold::ConfigFold;
use pomelostack_lib::config_record::ConfigRecord;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::config_replica::ConfigReplica;
use pomelostack_lib::config_replica::ReplicaState;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::log_service::LogStream;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use std::time::Duration;
use testutils::config_samples::RETENTION_MS;
use testutils::config_samples::change_service;
use testutils::config_samples::create_service;
use testutils::config_samples::document_json;
use testutils::config_samples::sample_change;
use testutils::config_samples::service_json;
use testutils::log_fake::LogFake;

const STREAM: LogStream = LogStream::Config;
const HOSTS: usize = 3;

/// Environment variable with the number of random cases.
const CASES_VARIABLE: &str = "POMELOSTACK_CASES";

/// One step of a random schedule.
#[derive(Clone, Debug)]
enum FleetStep {
    /// Publishes a change with one of a few ids, based on the revision of a host.
    Publish { host: usize, id: u8, value: u64 },
    /// Publishes a restore, which may break a validation rule.
    Restore { value: u64 },
    /// A host reads a few records.
    Read { host: usize },
    /// A host encodes a checkpoint but does not write it yet.
    Encode { host: usize },
    /// A checkpoint that was encoded at any earlier time is written.
    Write { index: prop::sample::Index },
    /// Time passes, and records expire.
    Wait { millis: u64 },
    /// A host is replaced by an empty one.
    Replace { host: usize },
    /// A host installs another host's checkpoint.
    Install { host: usize, from: usize },
}

fn any_step() -> impl Strategy<Value = FleetStep> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => (host.clone(), any::<u8>(), 0..4_u64)
            .prop_map(|(host, id, value)| FleetStep::Publish { host, id: id % 40, value }),
        1 => (0..3_u64).prop_map(|value| FleetStep::Restore { value }),
        8 => host.clone().prop_map(|host| FleetStep::Read { host }),
        2 => host.clone().prop_map(|host| FleetStep::Encode { host }),
        2 => any::<prop::sample::Index>().prop_map(|index| FleetStep::Write { index }),
        2 => (1..RETENTION_MS).prop_map(|millis| FleetStep::Wait { millis }),
        1 => host.clone().prop_map(|host| FleetStep::Replace { host }),
        1 => (host.clone(), host).prop_map(|(host, from)| FleetStep::Install { host, from }),
    ]
}

/// Hosts, their log, and the fold of every record ever appended.
struct TestFleet {
    log: LogFake,
    hosts: Vec<ConfigReplica>,
    /// The fold before each offset.
    expected: Vec<ConfigFold>,
    encoded: Vec<EncodedCheckpoint>,
    now_ms: u64,
    restores: u128,
}

impl TestFleet {
    fn new() -> Self {
        let log = LogFake::new();
        log.set_retention_ms(RETENTION_MS);
        Self {
            log,
            hosts: (0..HOSTS).map(|_| ConfigReplica::default()).collect(),
            expected: vec![ConfigFold::default()],
            encoded: Vec::new(),
            now_ms: 0,
            restores: 0,
        }
    }

    fn append(&mut self, record: &ConfigRecord) {
        let offset = self.log.append(STREAM, &record.encode().expect("valid")).expect("log works");
        let mut fold = self.expected.last().expect("never empty").clone();
        fold.set_appended_ms(self.now_ms);
        match record {
            ConfigRecord::Change(change) => fold.apply(offset, change),
            ConfigRecord::CheckpointPart(_) => fold.skip(offset),
        }
        self.expected.push(fold);
    }

    fn run(&mut self, step: &FleetStep) {
        match step {
            FleetStep::Publish { host, id, value } => {
                let base = self.hosts[*host].fold().revision().map(|offset| offset.0);
                let create = create_service("a", *value);
                let step = if *value == 3 { create } else { change_service("a", *value) };
                let change = sample_change(u128::from(*id), base, vec![step]);
                self.append(&ConfigRecord::Change(change));
            }
            FleetStep::Restore { value } => {
                self.restores += 1;
                let document = document_json(&[service_json("a", *value)], &[]);
                let step = ResourceOperation::Restore(document);
                let change = sample_change(1_000 + self.restores, None, vec![step]);
                self.append(&ConfigRecord::Change(change));
            }
            FleetStep::Read { host } => {
                self.read(*host);
            }
            FleetStep::Encode { host } => {
                let host = &self.hosts[*host];
                if host.state() == ReplicaState::Log {
                    self.encoded.push(host.fold().to_checkpoint());
                }
            }
            FleetStep::Write { index } => {
                if !self.encoded.is_empty() {
                    let checkpoint = index.get(&self.encoded).clone();
                    for part in checkpoint.split() {
                        self.append(&ConfigRecord::CheckpointPart(part));
                    }
                }
            }
            FleetStep::Wait { millis } => {
                self.now_ms += millis;
                self.log.set_now_ms(self.now_ms);
            }
            FleetStep::Replace { host } => self.hosts[*host] = ConfigReplica::default(),
            FleetStep::Install { host, from } => {
                let checkpoint = self.hosts[*from].fold().to_checkpoint();
                let fold = ConfigFold::from_checkpoint(&checkpoint).expect("valid");
                self.hosts[*host].install(fold);
            }
        }
    }

    /// Reads a few records; returns whether more can be read immediately.
    fn read(&mut self, host: usize) -> bool {
        let host = &mut self.hosts[host];
        match self.log.read(STREAM, host.cursor(), 2) {
            Ok(slice) => host.on_slice(&slice),
            Err(LogError::Expired(first)) => {
                host.on_expired(first);
                true
            }
            Err(error) => panic!("log works: {error}"),
        }
    }

    /// Checks that each host has exactly the fold of all records before its next offset.
    fn check(&self) -> std::result::Result<(), TestCaseError> {
        for host in &self.hosts {
            let covered = usize::try_from(host.fold().next_offset().0).unwrap_or(usize::MAX);
            prop_assert_eq!(Some(host.fold()), self.expected.get(covered));
        }
        Ok(())
    }
}

fn runner() -> TestRunner {
    let cases = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    let config = Config { cases: cases.unwrap_or(128), ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn no_divergence() {
    let check = |steps: Vec<FleetStep>| {
        let mut fleet = TestFleet::new();
        for step in &steps {
            fleet.run(step);
            fleet.check()?;
        }
        for host in 0..HOSTS {
            while fleet.read(host) {}
            fleet.check()?;
            let host = &fleet.hosts[host];
            let expected = fleet.expected.last().expect("never empty");
            match host.state() {
                ReplicaState::Log => prop_assert_eq!(host.fold(), expected),
                state => prop_assert_eq!(state, ReplicaState::Gap),
            }
        }
        Ok(())
    };
    runner().run(&prop::collection::vec(any_step(), 1..60), check).unwrap();
}

#[test]
fn no_lost_changes() {
    // At any time one live host has read the last accepted change; it may be replaced once another
    // has caught up. The log is read often, but has outages longer than its retention.
    let waits = prop::collection::vec((1..3 * RETENTION_MS, 0..HOSTS, any::<bool>()), 1..40);
    let check = |waits: Vec<(u64, usize, bool)>| {
        let mut fleet = TestFleet::new();
        let retention = Duration::from_millis(RETENTION_MS);
        let schedule = CheckpointSchedule { retention, max_records: 10, rank_permille: 0 };
        let mut accepted = None;
        for (number, (millis, survivor, publishes)) in waits.into_iter().enumerate() {
            let mut duty = CheckpointDuty::new(schedule);
            fleet.run(&FleetStep::Wait { millis });
            while fleet.read(survivor) {}
            if duty.is_due(&fleet.hosts[survivor]) {
                let checkpoint = fleet.hosts[survivor].fold().to_checkpoint();
                for part in checkpoint.split() {
                    fleet.append(&ConfigRecord::CheckpointPart(part));
                }
            }
            for host in (0..HOSTS).filter(|host| *host != survivor) {
                fleet.hosts[host] = ConfigReplica::default();
            }
            for host in 0..HOSTS {
                while fleet.read(host) {}
                prop_assert_eq!(fleet.hosts[host].state(), ReplicaState::Log);
                prop_assert_eq!(fleet.hosts[host].fold().revision(), accepted);
            }
            if publishes {
                let base = accepted.map(|offset: LogOffset| offset.0);
                let value = number as u64 + 1;
                let steps = match base {
                    None => vec![create_service("a", value)],
                    Some(_) => vec![change_service("a", value)],
                };
                let change = sample_change(number as u128, base, steps);
                fleet.append(&ConfigRecord::Change(change));
                for host in 0..HOSTS {
                    while fleet.read(host) {}
                }
                accepted = fleet.hosts[0].fold().revision();
                prop_assert_eq!(accepted.map(LogOffset::next), Some(fleet.hosts[0].cursor()));
            }
        }
        fleet.check()
    };
    runner().run(&waits, check).unwrap();
}
