//! Seeded additions of hosts, with replicas that leave at the same moment, and the troubles beside them:
//! late copies of answers, and answers that are cut off.

use std::time::Duration;

use rand::Rng;
use testutils::deployment_standin::CopiedKind;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::UnframedEnd;

use crate::config_plan::SERVICES;
use crate::fault_plan::PlannedFault;
use crate::fault_plan::draw_millis;
use crate::fault_plan::draw_next;
use crate::soak_run::SERVICE_REPLICAS;

/// When hosts are added, in the calm at the end of the first two series of faults.
const GROWTH_TIMES: [Duration; 2] = [Duration::from_secs(12), Duration::from_secs(24)];

/// Shortest run that grows.
const MIN_LENGTH: Duration = Duration::from_secs(36);

/// Time over which hosts are added, and over which replicas leave, in milliseconds.
const GROWTH_SPREAD_MS: u64 = 700;
const LEAVING_SPREAD_MS: u64 = 300;

/// Hosts that are added in a run.
const MIN_ADDED: usize = 8;
const MAX_ADDED: usize = 12;

/// Longest time between two troubles.
const MAX_PERIOD: Duration = Duration::from_secs(4);

/// One in this many seeds grows, and the one after it has the troubles, too.
const SEED_STEP: u64 = 4;

/// How a replica leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureKind {
    /// Its entry says so.
    Draining,
    /// Its entry is removed, and it serves on for a while.
    EntryGone,
    /// Another one takes its place at once.
    Replaced,
    /// Its answers say so, its entry doesn't.
    Announced,
}

/// A replica that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedDeparture {
    /// When.
    pub at: Duration,
    /// Index of the replica.
    pub replica: usize,
    /// How.
    pub kind: DepartureKind,
}

/// What a run has beside the other faults.
#[derive(Clone, Debug, Default)]
pub struct GrowthPlan {
    /// Hosts that are added.
    pub added: usize,
    /// The additions and the troubles, each with its time.
    pub faults: Vec<(Duration, PlannedFault)>,
    /// Departures, in order.
    pub departures: Vec<PlannedDeparture>,
}

/// Draws the plan of a seed. Half of the seeds have none.
pub fn draw_plan(random: &mut impl Rng, seed: u64, hosts: usize, length: Duration) -> GrowthPlan {
    let mut plan = GrowthPlan::default();
    let place = seed % SEED_STEP;
    if place == 0 || place == SEED_STEP - 1 {
        plan.draw_troubles(random, length);
    }
    if place == SEED_STEP - 1 && length >= MIN_LENGTH {
        plan.draw_growth(random, hosts);
    }
    plan
}

impl GrowthPlan {
    fn draw_growth(&mut self, random: &mut impl Rng, hosts: usize) {
        self.added = random.random_range(MIN_ADDED..=MAX_ADDED);
        let mut next = hosts;
        for (index, begin) in GROWTH_TIMES.into_iter().enumerate() {
            let last = hosts + self.added * (index + 1) / GROWTH_TIMES.len();
            for host in next..last {
                let at = begin + draw_millis(random, 0, GROWTH_SPREAD_MS);
                self.faults.push((at, PlannedFault::Add { host }));
            }
            next = last;
            if random.random() {
                let down = draw_millis(random, 50, GROWTH_SPREAD_MS);
                let hosts = (0..hosts).filter(|host| host % 2 == index).collect();
                self.faults.push((begin, PlannedFault::Kill { hosts, down }));
            }
            for service in 0..SERVICES.len() {
                let replica = service * SERVICE_REPLICAS + random.random_range(0..SERVICE_REPLICAS);
                let kind = match random.random_range(0..6) {
                    0 | 1 => DepartureKind::Draining,
                    2 | 3 => DepartureKind::EntryGone,
                    4 => DepartureKind::Replaced,
                    _ => DepartureKind::Announced,
                };
                let at = begin + draw_millis(random, 0, LEAVING_SPREAD_MS);
                self.departures.push(PlannedDeparture { at, replica, kind });
            }
        }
        self.departures.sort_by_key(|departure| departure.at);
    }

    /// Draws late copies and answers that are cut off, each at all replicas of a service.
    fn draw_troubles(&mut self, random: &mut impl Rng, length: Duration) {
        let mut at = Duration::ZERO;
        while let Some(next) = draw_next(random, at, MAX_PERIOD, length) {
            at = next;
            let mode = match random.random_range(0..8) {
                0 => ReplicaMode::CopyLate(CopiedKind::Refusal(503)),
                1 => ReplicaMode::CopyLate(CopiedKind::Refusal(429)),
                2 => ReplicaMode::CopyLate(CopiedKind::Refusal(421)),
                3 => ReplicaMode::CopyLate(CopiedKind::Error),
                4 => ReplicaMode::CopyLate(CopiedKind::Complete),
                5 => ReplicaMode::Unframed(UnframedEnd::InsideHead),
                6 => ReplicaMode::Unframed(UnframedEnd::BeforeEvent),
                _ => ReplicaMode::FailResumed,
            };
            let duration = draw_millis(random, 300, 2_000);
            let service = random.random_range(0..SERVICES.len());
            self.faults.push((at, PlannedFault::Service { service, mode, duration }));
        }
    }
}
