//! Roll-outs of a good and a bad version, with faults of the hosts and the store beside them.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::FIRST_VERSION;
use testutils::deployment_standin::FRONT_PORT;
use testutils::deployment_standin::ROUTE_HOST;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::ReplicaRun;
use testutils::deployment_standin::RewriteScope;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::StoreMode;
use testutils::deployment_standin::TEAM_KEY;
use testutils::gateway_process::read_level;

use crate::host_fleet::HostFleet;

/// Replicas of the version that serves, and as many places for those of the next one.
const REPLICAS: usize = 4;

/// Callers of each host, and the time between two requests of one.
const CALLERS: usize = 3;
const CALL_PERIOD: Duration = Duration::from_millis(25);

/// Time of an order.
const ORDER_TIME: Duration = Duration::from_secs(8);

/// Time from an order until the servers of its version register at most.
const MAX_BOOT_MS: u64 = 800;

/// Time after the deadline until which the state is awaited: an unstable store may delay it.
const AWAITED_TIME: Duration = Duration::from_secs(8);

/// Time after a version was rolled back for which it still must get nothing.
const WATCHED_TIME: Duration = Duration::from_secs(3);

/// Time within which hosts learn that a version was rolled back.
const LEARN_TIME: Duration = Duration::from_millis(600);

/// Share of the requests that a bad version may get, and requests in addition.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;

/// Time after the 50th bad answer from which on a bad version must get nothing, and by how much an
/// unstable store extends it.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
const OUTER_TIME: Duration = Duration::from_secs(6);

/// Interval of the loops that wait for the next event.
const TICK: Duration = Duration::from_millis(10);

/// Time for the hosts to start and find one another.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct RolloutSettings {
    /// The gateway program.
    pub program: PathBuf,
    /// Folder for the hosts' logs.
    pub logs: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Second byte of the hosts' loopback addresses.
    pub subnet: u8,
    /// Whether faults strike.
    pub has_faults: bool,
}

/// What came of one order.
#[derive(Clone, Debug)]
pub struct OrderReport {
    /// Version.
    pub version: &'static str,
    /// How its replicas answer.
    pub mode: ReplicaMode,
    /// Last state, and when it was seen after the order.
    pub state: String,
    /// When it was seen, after the order.
    pub ended_after: Duration,
    /// Requests since the order until the deadline, and those that the version ran before its end.
    pub requests: u64,
    /// Requests that the version ran before its end.
    pub runs: usize,
    /// Faults that struck.
    pub faults: Vec<String>,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct RolloutReport {
    /// Each order.
    pub orders: Vec<OrderReport>,
    /// Rules that were broken.
    pub violations: Vec<String>,
}

/// A fault while an order runs.
#[derive(Clone, Copy, Debug)]
enum OrderFault {
    Kill(usize),
    Freeze(usize, Duration),
    Store(StoreMode, Duration),
    Restore(Duration),
    DropHistory,
}

/// Sent requests of all callers.
struct CallLog {
    sent: Mutex<Vec<Instant>>,
    stop: AtomicBool,
}

impl CallLog {
    fn since(&self, from: Instant, until: Instant) -> u64 {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.iter().filter(|at| **at >= from && **at <= until).count() as u64
    }
}

/// Rolls out a good and a bad version, in the order that the seed draws, and judges what replicas saw.
pub fn run_rollouts(settings: &RolloutSettings) -> anyhow::Result<RolloutReport> {
    std::fs::create_dir_all(&settings.logs).context("cannot create the folder of logs")?;
    let standin = DeploymentStandin::start_with(&[SERVICE; 2 * REPLICAS]);
    let standin = Arc::new(standin.context("cannot start the stand-in")?);
    (REPLICAS..2 * REPLICAS).for_each(|index| standin.expire_replica(index));
    standin.publish_config(3);
    let fleet = HostFleet::start(
        &settings.program,
        standin.clone(),
        &settings.logs,
        settings.subnet,
        settings.hosts,
        0,
    );
    let mut fleet = fleet?;
    wait_until_joined(&fleet)?;
    let calls = CallLog { sent: Mutex::default(), stop: AtomicBool::new(false) };
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let bad = match random.random() {
        true => ReplicaMode::FailOn { one_in: 3 },
        false => ReplicaMode::SlowBy(Duration::from_millis(400)),
    };
    let mut plan = vec![("v2", ReplicaMode::Answer), ("v3", bad)];
    if random.random() {
        plan.reverse();
    }
    let mut report = RolloutReport::default();
    thread::scope(|scope| {
        for host in 0..settings.hosts {
            let ip = fleet.ip(host).to_owned();
            for caller in 0..CALLERS {
                let (calls, ip) = (&calls, ip.clone());
                scope.spawn(move || call_host(calls, &ip, &format!("{host}-{caller}")));
            }
        }
        let mut serving = 0;
        let outcome = plan.into_iter().try_for_each(|(version, mode)| {
            let mut run = OrderRun {
                standin: &standin,
                fleet: &mut fleet,
                calls: &calls,
                version,
                mode,
                free: REPLICAS - serving,
                ordered_at: Instant::now(),
            };
            let faults = match settings.has_faults {
                true => draw_faults(&mut random, settings.hosts),
                false => Vec::new(),
            };
            let boot = Duration::from_millis(random.random_range(0..MAX_BOOT_MS));
            let is_completed = run.play(boot, faults, &mut report)?;
            if is_completed {
                serving = REPLICAS - serving;
            }
            anyhow::Ok(())
        });
        calls.stop.store(true, Ordering::SeqCst);
        outcome
    })?;
    report.violations.extend(fleet.self_ended().iter().map(|host| format!("ENDED {host}")));
    Ok(report)
}

fn wait_until_joined(fleet: &HostFleet) -> anyhow::Result<()> {
    let begin = Instant::now();
    let others = fleet.len() as u64 - 1;
    while !(0..fleet.len()).all(|host| {
        read_level(fleet.ip(host), "peers") == Some(others)
            && read_level(fleet.ip(host), "servers") == Some(REPLICAS as u64)
    }) {
        anyhow::ensure!(begin.elapsed() < START_TIMEOUT, "the hosts did not find one another");
        thread::sleep(TICK);
    }
    Ok(())
}

/// Sends requests to one host.
fn call_host(calls: &CallLog, ip: &str, name: &str) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(3)))
        .build()
        .into();
    let mut number = 0_u64;
    while !calls.stop.load(Ordering::SeqCst) {
        thread::sleep(CALL_PERIOD);
        number += 1;
        let route = if number.is_multiple_of(4) { "book" } else { "look" };
        calls.sent.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
        // A host that is down or stands still gives no answer.
        let _ = agent
            .get(format!("http://{ip}:{FRONT_PORT}/{route}/1/after-ms-30"))
            .header("Host", ROUTE_HOST)
            .header("Request-Id", format!("{name}-{number}"))
            .header("Request-Deadline", "2500")
            .header("Authorization", format!("Token {TEAM_KEY}"))
            .call();
    }
}

fn draw_faults(random: &mut ChaCha8Rng, hosts: usize) -> Vec<(Duration, OrderFault)> {
    let millis = |random: &mut ChaCha8Rng, least, most| {
        Duration::from_millis(random.random_range(least..most))
    };
    let mut faults = Vec::new();
    for _ in 0..random.random_range(1..=2) {
        let host = random.random_range(0..hosts);
        let fault = match random.random_range(0..6) {
            0 => OrderFault::Kill(host),
            1 => OrderFault::Freeze(host, millis(random, 300, 3_000)),
            2 => OrderFault::Store(StoreMode::Refuse, millis(random, 200, 2_000)),
            3 => OrderFault::Store(StoreMode::DropResponses, millis(random, 200, 2_000)),
            4 => OrderFault::Restore(millis(random, 0, 3_000)),
            _ => OrderFault::DropHistory,
        };
        faults.push((millis(random, 200, 7_000), fault));
    }
    faults
}

/// One order while it is played.
struct OrderRun<'a> {
    standin: &'a Arc<DeploymentStandin>,
    fleet: &'a mut HostFleet,
    calls: &'a CallLog,
    version: &'static str,
    mode: ReplicaMode,
    /// First of the places for the replicas of the version.
    free: usize,
    ordered_at: Instant,
}

impl OrderRun<'_> {
    /// Plays the order; returns whether it was completed.
    fn play(
        &mut self,
        boot: Duration,
        faults: Vec<(Duration, OrderFault)>,
        report: &mut RolloutReport,
    ) -> anyhow::Result<bool> {
        // A copy from before the order would let it be lost, which the operator would have to notice.
        self.ordered_at = Instant::now();
        self.standin.order_rollout(SERVICE, self.version, ORDER_TIME);
        let mut copy = self.standin.copy_store();
        let mut pending = faults.clone();
        let mut repairs: Vec<(Instant, OrderFault)> = Vec::new();
        let mut is_started = false;
        let mut ended: Option<(String, Instant)> = None;
        let latest = self.ordered_at + ORDER_TIME + AWAITED_TIME;
        let until = |ended: &Option<(String, Instant)>| match ended {
            Some((_, at)) => *at + WATCHED_TIME,
            None => latest,
        };
        while Instant::now() < until(&ended) {
            thread::sleep(TICK);
            let age = self.ordered_at.elapsed();
            if !is_started && age >= boot {
                is_started = true;
                self.start_replicas();
                copy = self.standin.copy_store();
            }
            if let Some(index) = pending.iter().position(|(at, _)| age >= *at) {
                let (_, fault) = pending.remove(index);
                self.strike(fault, &copy, &mut repairs)?;
            }
            if let Some(index) = repairs.iter().position(|(at, _)| Instant::now() >= *at) {
                let (_, fault) = repairs.remove(index);
                self.repair(fault)?;
            }
            let state = self.standin.rollout_state(SERVICE).filter(|(_, to)| to == self.version);
            if let Some((state, _)) = state.filter(|(state, _)| state != "running")
                && ended.is_none()
            {
                if state == "completed" {
                    self.stop_others();
                }
                ended = Some((state, Instant::now()));
            }
        }
        for (_, fault) in repairs {
            self.repair(fault)?;
        }
        self.judge(ended.clone(), &faults, report);
        let is_completed = ended.is_some_and(|(state, _)| state == "completed");
        if !is_completed {
            (self.free..self.free + REPLICAS).for_each(|index| self.standin.expire_replica(index));
        }
        Ok(is_completed)
    }

    fn start_replicas(&self) {
        for index in self.free..self.free + REPLICAS {
            self.standin.set_replica_mode(index, self.mode);
            let id = format!("i-{index}-{}", self.version);
            self.standin.release_replica(index, &id, self.version);
        }
    }

    fn stop_others(&self) {
        let others = REPLICAS - self.free;
        (others..others + REPLICAS).for_each(|index| self.standin.expire_replica(index));
    }

    fn strike(
        &mut self,
        fault: OrderFault,
        copy: &testutils::deployment_standin::StandinCopy,
        repairs: &mut Vec<(Instant, OrderFault)>,
    ) -> anyhow::Result<()> {
        let now = Instant::now();
        match fault {
            OrderFault::Kill(host) => {
                self.fleet.kill(host);
                repairs.push((now + Duration::from_millis(300), fault));
            }
            OrderFault::Freeze(host, duration) => {
                self.fleet.signal(host, Signal::STOP)?;
                repairs.push((now + duration, fault));
            }
            OrderFault::Store(mode, duration) => {
                self.standin.set_store_mode(mode);
                repairs.push((now + duration, fault));
            }
            OrderFault::Restore(away) => {
                self.standin.set_store_mode(StoreMode::Refuse);
                self.standin.restore_store(copy.clone());
                repairs.push((now + away, fault));
            }
            OrderFault::DropHistory => self.standin.drop_history(),
        }
        Ok(())
    }

    fn repair(&mut self, fault: OrderFault) -> anyhow::Result<()> {
        match fault {
            OrderFault::Kill(host) => self.fleet.start_host(host)?,
            OrderFault::Freeze(host, _) => {
                self.fleet.signal(host, Signal::CONT)?;
            }
            OrderFault::Store(..) => self.standin.set_store_mode(StoreMode::Answer),
            OrderFault::Restore(_) => {
                self.standin.set_store_mode(StoreMode::Answer);
                self.standin.rewrite_lost(RewriteScope::AllRecords);
            }
            OrderFault::DropHistory => {}
        }
        Ok(())
    }

    fn judge(
        &self,
        ended: Option<(String, Instant)>,
        faults: &[(Duration, OrderFault)],
        report: &mut RolloutReport,
    ) {
        let runs = self.standin.take_runs();
        let of_version: Vec<&ReplicaRun> = runs
            .iter()
            .filter(|run| run.version == self.version && run.version != FIRST_VERSION)
            .collect();
        let deadline = self.ordered_at + ORDER_TIME;
        let requests = self.calls.since(self.ordered_at, deadline);
        let (state, ended_at) = ended.unwrap_or_else(|| ("running".to_owned(), Instant::now()));
        let before = of_version.iter().filter(|run| run.at <= ended_at).count();
        let mut broken = |rule: &str, detail: String| {
            report.violations.push(format!("{rule} {}: {detail}", self.version));
        };
        if let Some(run) = of_version.iter().find(|run| run.at < self.ordered_at) {
            broken("ROUTE", format!("{} ran before the order", run.request_id));
        }
        if state != "completed" {
            let late = of_version.iter().filter(|run| run.at > ended_at + LEARN_TIME).count();
            if late > 0 {
                broken("ROUTE", format!("{late} runs after it was rolled back"));
            }
        }
        if self.mode != ReplicaMode::Answer {
            let allowed = requests as f64 * EXPOSE_SHARE + EXPOSE_SLACK;
            if of_version.len() as f64 > allowed {
                broken("EXPOSURE", format!("{} runs of {allowed:.0}", of_version.len()));
            }
            let stop = match faults.is_empty() {
                true => ROLLBACK_TIME,
                false => ROLLBACK_TIME + OUTER_TIME,
            };
            // Each run counts as bad, so this is the earliest possible time.
            let fiftieth = of_version.get(49).map(|run| run.at);
            if fiftieth.is_some_and(|at| of_version.iter().any(|run| run.at > at + stop)) {
                broken("EXPOSURE", "runs long after the 50th".to_owned());
            }
            if state != "rolled_back" {
                broken("VERDICT", format!("a bad version is {state}"));
            }
        } else if faults.is_empty() && (state != "completed" || ended_at > deadline) {
            broken("VERDICT", format!("a good version is {state}"));
        }
        report.orders.push(OrderReport {
            version: self.version,
            mode: self.mode,
            state,
            ended_after: ended_at.duration_since(self.ordered_at),
            requests,
            runs: before,
            faults: faults.iter().map(|(at, fault)| format!("{at:.3?} {fault:?}")).collect(),
        });
    }
}
