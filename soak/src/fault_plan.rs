//! Seeded schedules of faults, in series that overlap and with calm in between.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom as _;
use testutils::deployment_standin::CutKind;
use testutils::deployment_standin::EndlessKind;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::RewriteScope;
use testutils::deployment_standin::StoreMode;
use testutils::deployment_standin::UnframedEnd;

use crate::config_plan::SERVICES;

/// Time between the starts of two series, of which the last part is calm.
const SERIES_PERIOD: Duration = Duration::from_secs(12);

/// Time from the first to the last fault of a series.
const SERIES_SPREAD: Duration = Duration::from_secs(2);

/// Largest number of faults in a series.
const MAX_SERIES_FAULTS: usize = 4;

/// Calm before the end of a run.
const END_CALM: Duration = Duration::from_secs(5);

/// Time before the end of a run until which hosts are told to leave.
const LEAVE_CALM: Duration = Duration::from_secs(14);

/// Longest time between two troubles of replicas.
const MAX_TROUBLE_PERIOD: Duration = Duration::from_millis(1_500);

/// Longest time between two series of slow replicas.
const MAX_SLOW_PERIOD: Duration = Duration::from_secs(5);

/// Longest time between two notices of replicas.
const MAX_NOTICE_PERIOD: Duration = Duration::from_millis(3_000);

/// Longest time between two cuts.
const MAX_CUT_PERIOD: Duration = Duration::from_secs(8);

/// Longest time between the begins of two series of limits.
const MAX_LIMITS_PERIOD: Duration = Duration::from_secs(8);

/// Limits that replicas name, as they are sent.
const LIMITS: &[&str] = &["0.2", "0.5", "1", "1.1", "2", "5", "12"];

/// Fields that name no limit.
const MALFORMED_LIMITS: &[&str] = &["", "-1", "NaN", "inf", "few", "1, 2"];

/// Pause that replicas ask for, as they send it.
const PAUSE_FIELD: &str = "1.5";
/// The same pause as a time.
pub const PAUSE_TIME: Duration = Duration::from_millis(1_500);

/// Calm before the first series.
const LEAD_TIME: Duration = Duration::from_secs(3);

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedFault {
    /// The store handles all calls in this way.
    Store {
        /// The way.
        mode: StoreMode,
        /// For how long.
        duration: Duration,
    },
    /// The store handles one host's calls in this way.
    Link {
        /// Number of the host.
        host: usize,
        /// The way.
        mode: StoreMode,
        /// For how long.
        duration: Duration,
    },
    /// The store is away and comes back from a copy.
    Restore {
        /// For how long it is away.
        away: Duration,
        /// Age of the copy when the store goes away.
        copy_age: Duration,
        /// What the operator and the replicas write again.
        scope: RewriteScope,
        /// How long after the return they do.
        rewrite_delay: Duration,
    },
    /// The history of what the operator and the replicas wrote is dropped.
    DropHistory,
    /// Open connections to the store carry nothing any more.
    SilenceConnections,
    /// The processes of some hosts are killed and start again.
    Kill {
        /// Numbers of the hosts.
        hosts: Vec<usize>,
        /// How long they are down.
        down: Duration,
    },
    /// A host gets SIGTERM and starts again after its exit.
    Terminate {
        /// Number of the host.
        host: usize,
    },
    /// A host stands still.
    Freeze {
        /// Number of the host.
        host: usize,
        /// For how long.
        duration: Duration,
    },
    /// A host gets SIGHUP.
    Hangup {
        /// Number of the host.
        host: usize,
    },
    /// A replica sends nothing to all of its callers for a while and goes on.
    Silence {
        /// Index of the replica.
        replica: usize,
        /// For how long.
        duration: Duration,
    },
    /// A replica names limits in its answers, each from a time after the begin on.
    Limits {
        /// Index of the replica.
        replica: usize,
        /// The limits as they are sent; it names none where there is `None`.
        limits: Vec<(Duration, Option<&'static str>)>,
    },
    /// Hosts are cut off from the replicas of a service, or of all.
    Cut {
        /// Numbers of the hosts.
        hosts: Vec<usize>,
        /// Number of the service.
        service: Option<usize>,
        /// How.
        kind: CutKind,
        /// For how long.
        duration: Duration,
        /// Whether it is there in every other second only.
        is_flapping: bool,
    },
    /// A host starts for the first time.
    Add {
        /// Number of the host.
        host: usize,
    },
    /// All replicas of a service handle requests in this way.
    Service {
        /// Number of the service.
        service: usize,
        /// The way.
        mode: ReplicaMode,
        /// For how long.
        duration: Duration,
    },
    /// A replica handles requests in this way.
    Replica {
        /// Index of the replica.
        replica: usize,
        /// The way.
        mode: ReplicaMode,
        /// For how long.
        duration: Duration,
    },
}

/// Draws the faults of a run, each with its time, in order.
pub fn draw_faults(
    random: &mut impl Rng,
    hosts: usize,
    length: Duration,
) -> Vec<(Duration, PlannedFault)> {
    let mut faults = Vec::new();
    let mut begin = LEAD_TIME;
    while begin + SERIES_PERIOD <= length {
        for _ in 0..random.random_range(1..=MAX_SERIES_FAULTS) {
            let at = begin + SERIES_SPREAD.mul_f64(random.random());
            faults.push((at, draw_fault(random, hosts)));
        }
        begin += SERIES_PERIOD;
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn draw_fault(random: &mut impl Rng, hosts: usize) -> PlannedFault {
    let host = random.random_range(0..hosts);
    let duration = draw_millis(random, 200, 4_000);
    match random.random_range(0..12) {
        0 => PlannedFault::Store { mode: draw_mode(random), duration },
        1 => PlannedFault::Link { host, mode: draw_mode(random), duration },
        2..=4 => PlannedFault::Restore {
            away: draw_millis(random, 20, 2_000),
            copy_age: draw_millis(random, 0, 5_000),
            scope: match random.random() {
                true => RewriteScope::AllRecords,
                false => RewriteScope::NewestValues,
            },
            rewrite_delay: draw_millis(random, 0, 1_000),
        },
        5 => PlannedFault::DropHistory,
        6 => PlannedFault::SilenceConnections,
        7 => PlannedFault::Kill { hosts: vec![host], down: draw_millis(random, 50, 2_000) },
        8 => {
            PlannedFault::Kill { hosts: (0..hosts).collect(), down: draw_millis(random, 50, 1_000) }
        }
        9 => PlannedFault::Terminate { host },
        10 => PlannedFault::Freeze { host, duration },
        _ => PlannedFault::Hangup { host },
    }
}

/// Draws the time of the next fault of a series, unless it is too near the end of the run.
pub(crate) fn draw_next(
    random: &mut impl Rng,
    last: Duration,
    period: Duration,
    length: Duration,
) -> Option<Duration> {
    let at = last + period.mul_f64(random.random());
    (at + END_CALM <= length).then_some(at)
}

/// Draws what replicas say and how they end their answers, each with its time, in order.
pub fn draw_notices(
    random: &mut impl Rng,
    replicas: usize,
    length: Duration,
) -> Vec<(Duration, PlannedFault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while let Some(next) = draw_next(random, at, MAX_NOTICE_PERIOD, length) {
        at = next;
        let mode = match random.random_range(0..5) {
            0 => ReplicaMode::Leaving,
            1 => ReplicaMode::TurnAway { retry_after: PAUSE_FIELD },
            2 => ReplicaMode::Unframed(UnframedEnd::Complete),
            3 => ReplicaMode::Unframed(UnframedEnd::Reset),
            _ => ReplicaMode::Unframed(UnframedEnd::InsideEvent),
        };
        let replica = random.random_range(0..replicas);
        let duration = draw_millis(random, 300, 2_000);
        faults.push((at, PlannedFault::Replica { replica, mode, duration }));
    }
    faults
}

/// Draws the limits that replicas name, each series with its time, in order. Replicas of a service may
/// name limits at the same time.
pub fn draw_limits(
    random: &mut impl Rng,
    replicas: usize,
    length: Duration,
) -> Vec<(Duration, PlannedFault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while let Some(next) = draw_next(random, at, MAX_LIMITS_PERIOD, length) {
        at = next;
        let replica = random.random_range(0..replicas);
        let limits = draw_limit_series(random);
        faults.push((at, PlannedFault::Limits { replica, limits }));
    }
    faults
}

fn draw_limit_series(random: &mut impl Rng) -> Vec<(Duration, Option<&'static str>)> {
    let mut limits = Vec::new();
    let mut after = Duration::ZERO;
    for _ in 0..random.random_range(1..=4) {
        let fields = if random.random_ratio(1, 8) { MALFORMED_LIMITS } else { LIMITS };
        limits.push((after, fields.choose(random).copied()));
        after += draw_millis(random, 200, 9_000);
        if random.random_ratio(1, 4) {
            limits.push((after, None));
            after += draw_millis(random, 200, 2_000);
        }
    }
    limits.push((after, None));
    limits
}

/// Draws cuts between hosts and replicas, one after the other, each with its time. At least one host reaches the
/// replicas.
pub fn draw_cuts(
    random: &mut impl Rng,
    hosts: usize,
    length: Duration,
) -> Vec<(Duration, PlannedFault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while let Some(next) = draw_next(random, at, MAX_CUT_PERIOD, length) {
        let duration = draw_millis(random, 4_500, 9_000);
        let count = random.random_range(1..hosts.max(2));
        let numbers: Vec<usize> = (0..hosts).collect();
        let cut: Vec<usize> = numbers.choose_multiple(random, count).copied().collect();
        let kind = match random.random_range(0..3) {
            0 => CutKind::Reset,
            1 => CutKind::RefuseNew,
            _ => CutKind::Silent,
        };
        let service = random.random_ratio(1, 3).then(|| random.random_range(0..SERVICES.len()));
        let is_flapping = random.random_ratio(1, 4);
        faults.push((next, PlannedFault::Cut { hosts: cut, service, kind, duration, is_flapping }));
        at = next + duration;
    }
    faults
}

/// Draws series in which one replica of a service or all of them begin slowly, send nothing at all or pause, each
/// with its time, in order.
pub fn draw_slow_replicas(
    random: &mut impl Rng,
    replicas: usize,
    length: Duration,
) -> Vec<(Duration, PlannedFault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while let Some(next) = draw_next(random, at, MAX_SLOW_PERIOD, length) {
        at = next;
        let mode = match random.random_range(0..4) {
            0 | 1 => ReplicaMode::SlowBy(draw_millis(random, 300, 2_500)),
            2 => ReplicaMode::HangOn { one_in: random.random_range(1..4) },
            _ => ReplicaMode::PauseAfter {
                events: random.random_range(0..4),
                pause: draw_millis(random, 500, 5_000),
            },
        };
        let duration = draw_millis(random, 500, 4_000);
        let fault = match random.random() {
            true => {
                let replica = random.random_range(0..replicas);
                PlannedFault::Replica { replica, mode, duration }
            }
            false => {
                let service = random.random_range(0..SERVICES.len());
                PlannedFault::Service { service, mode, duration }
            }
        };
        faults.push((at, fault));
    }
    faults
}

/// Draws the troubles of replicas and the planned work of a run, each with its time, in order.
pub fn draw_troubles(
    random: &mut impl Rng,
    hosts: usize,
    replicas: usize,
    length: Duration,
) -> Vec<(Duration, PlannedFault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while let Some(next) = draw_next(random, at, MAX_TROUBLE_PERIOD, length) {
        at = next;
        faults.push((at, draw_trouble(random, hosts, replicas, at + LEAVE_CALM <= length)));
    }
    faults
}

fn draw_trouble(
    random: &mut impl Rng,
    hosts: usize,
    replicas: usize,
    may_leave: bool,
) -> PlannedFault {
    let host = random.random_range(0..hosts);
    let replica = random.random_range(0..replicas);
    let duration = draw_millis(random, 200, 3_000);
    let mode = match random.random_range(0..18) {
        0..=6 => {
            return PlannedFault::Silence { replica, duration: draw_millis(random, 300, 3_000) };
        }
        7 if may_leave => return PlannedFault::Terminate { host },
        7..=9 => return PlannedFault::Hangup { host },
        10 | 11 => ReplicaMode::PauseAfter {
            events: random.random_range(0..20),
            pause: draw_millis(random, 300, 3_000),
        },
        12 => ReplicaMode::HangOn { one_in: random.random_range(1..10) },
        13 => ReplicaMode::CutAfter(random.random_range(0..20)),
        14 => ReplicaMode::DropResponse,
        15 | 16 => {
            let kind = EndlessKind::ALL.choose(random).copied();
            ReplicaMode::Endless(kind.unwrap_or(EndlessKind::SizedBody))
        }
        _ => ReplicaMode::Refuse,
    };
    PlannedFault::Replica { replica, mode, duration }
}

fn draw_mode(random: &mut impl Rng) -> StoreMode {
    match random.random_range(0..5) {
        0 => StoreMode::Refuse,
        1 => StoreMode::Reset,
        2 => StoreMode::Silent,
        3 => StoreMode::DropResponses,
        _ => StoreMode::Slow(draw_millis(random, 20, 400)),
    }
}

pub(crate) fn draw_millis(random: &mut impl Rng, least: u64, most: u64) -> Duration {
    Duration::from_millis(random.random_range(least..=most))
}
