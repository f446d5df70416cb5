//! One run: hosts, callers, operator, replicas and faults, and the judgement at its end.

use std::collections::VecDeque;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
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
use testutils::deployment_standin::FRONT_PORT;
use testutils::deployment_standin::ROUTE_HOST;
use testutils::deployment_standin::RewriteScope;
use testutils::deployment_standin::StandinCopy;
use testutils::deployment_standin::StoreMode;
use testutils::deployment_standin::WriteOutcome;
use testutils::gateway_process::read_level;

use crate::config_judge::CONFIG_BOUND;
use crate::config_judge::ConfigFault;
use crate::config_judge::Observation;
use crate::config_judge::SentVersion;
use crate::config_judge::judge_answers;
use crate::config_plan::ConfigVersion;
use crate::config_plan::ProbeOutcome;
use crate::config_plan::ProbeRequest;
use crate::config_plan::SERVICES;
use crate::duty_judge::AcceptedReport;
use crate::duty_judge::LeavingReplica;
use crate::duty_judge::ObservedRun;
use crate::duty_judge::judge_reports;
use crate::duty_judge::judge_runs;
use crate::fault_plan::PlannedFault;
use crate::fault_plan::draw_faults;
use crate::host_fleet::HostFleet;
use crate::touch_record::Disturbance;
use crate::touch_record::DisturbedPart;
use crate::touch_record::TouchRecord;

/// Replicas of each service.
const SERVICE_REPLICAS: usize = 2;

/// Time between two requests of a caller.
const CALL_PERIOD: Duration = Duration::from_millis(30);

/// Deadline of a request in milliseconds.
const CALL_DEADLINE_MS: &str = "1200";

/// Time after which a caller gives up.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two writes of a replica's entry.
const BEAT_PERIOD: Duration = Duration::from_millis(1_200);

/// Time from a replica's notice until it is replaced.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// Time between two copies of the store.
const COPY_PERIOD: Duration = Duration::from_millis(250);

/// Number of copies kept.
const MAX_COPIES: usize = 24;

/// Interval of the loops that wait for the next event.
const TICK: Duration = Duration::from_millis(10);

/// Time for the hosts to start and find one another.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Lease on the duties in the stand-in's settings.
const DUTY_LEASE: Duration = Duration::from_millis(600);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The gateway program.
    pub program: PathBuf,
    /// Folder for the hosts' logs.
    pub logs: PathBuf,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Length of the run.
    pub length: Duration,
    /// Second byte of the hosts' loopback addresses.
    pub subnet: u8,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Answers that were judged.
    pub answers: usize,
    /// Versions that were acknowledged.
    pub versions: usize,
    /// Faults that struck.
    pub faults: Vec<String>,
    /// Rules that were broken.
    pub violations: Vec<String>,
}

/// What the threads of a run share.
struct SoakWorld {
    standin: Arc<DeploymentStandin>,
    start: Instant,
    stop: AtomicBool,
    observations: Mutex<Vec<Observation>>,
    versions: Mutex<Vec<SentVersion>>,
    leaving: Mutex<Vec<LeavingReplica>>,
}

impl SoakWorld {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn is_running(&self) -> bool {
        !self.stop.load(Ordering::SeqCst)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs hosts under faults and judges what was seen.
pub fn run_soak(settings: &SoakSettings) -> anyhow::Result<SoakReport> {
    std::fs::create_dir_all(&settings.logs).context("cannot create the folder of logs")?;
    let services: Vec<&str> = SERVICES.iter().flat_map(|name| [*name; SERVICE_REPLICAS]).collect();
    let standin =
        Arc::new(DeploymentStandin::start_with(&services).context("cannot start the stand-in")?);
    let first = ConfigVersion::first();
    standin.publish_document(&first.document());
    let mut fleet = HostFleet::start(
        &settings.program,
        standin.clone(),
        &settings.logs,
        settings.subnet,
        settings.hosts,
    )?;
    wait_until_joined(&fleet)?;
    let world = SoakWorld {
        standin,
        start: Instant::now(),
        stop: AtomicBool::new(false),
        observations: Mutex::default(),
        versions: Mutex::new(vec![SentVersion {
            config: first,
            sent_at: Duration::ZERO,
            acknowledged_at: Some(Duration::ZERO),
        }]),
        leaving: Mutex::default(),
    };
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let faults = draw_faults(&mut random, settings.hosts, settings.length);
    let listed = faults.iter().map(|(at, fault)| format!("{at:.3?} {fault:?}")).collect();
    let mut report = SoakReport { faults: listed, ..SoakReport::default() };
    let seed_of = |number: u64| settings.seed.wrapping_mul(1_000).wrapping_add(number);
    let touch = thread::scope(|scope| {
        for host in 0..settings.hosts {
            let (world, ip) = (&world, fleet.ip(host).to_owned());
            let (incarnation, seed) = (fleet.incarnation(host), seed_of(host as u64 + 1));
            scope.spawn(move || call_host(world, host, &ip, &incarnation, seed));
        }
        scope.spawn(|| change_config(&world, seed_of(101)));
        scope.spawn(|| run_replicas(&world, seed_of(102)));
        let touch = inject_faults(&world, &mut fleet, faults, settings.length);
        world.stop.store(true, Ordering::SeqCst);
        touch
    })?;
    // The last change may have been acknowledged just now.
    thread::sleep(CONFIG_BOUND);
    judge(&world, &fleet, &touch, &mut report);
    Ok(report)
}

fn wait_until_joined(fleet: &HostFleet) -> anyhow::Result<()> {
    let begin = Instant::now();
    let others = fleet.len() as u64 - 1;
    while !(0..fleet.len()).all(|host| {
        read_level(fleet.ip(host), "peers") == Some(others)
            && read_level(fleet.ip(host), "config_version") == Some(1)
    }) {
        anyhow::ensure!(begin.elapsed() < START_TIMEOUT, "the hosts did not find one another");
        thread::sleep(TICK);
    }
    Ok(())
}

/// Sends requests to one host over connections that stay open.
fn call_host(world: &SoakWorld, host: usize, ip: &str, incarnation: &AtomicU32, seed: u64) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .into();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0_u64;
    while world.is_running() {
        thread::sleep(CALL_PERIOD);
        let request = ProbeRequest::draw(&mut random);
        number += 1;
        let (started, sent_at) = (incarnation.load(Ordering::SeqCst), world.now());
        let reply = agent
            .get(format!("http://{ip}:{FRONT_PORT}{}", request.path()))
            .header("Host", ROUTE_HOST)
            .header("Request-Id", format!("{host}-{number}"))
            .header("Request-Deadline", CALL_DEADLINE_MS)
            .header("Authorization", format!("Token {}", request.key_text()))
            .call();
        // A host that is down or standing still gives no answer.
        let Ok(reply) = reply else { continue };
        let signature = reply.headers().get("replica-signature");
        let service = signature.and_then(|id| id.to_str().ok()).and_then(service_of);
        let outcome = match (reply.status().as_u16(), service) {
            (200, Some(service)) => ProbeOutcome::RunBy(service),
            (404, _) => ProbeOutcome::NotFound,
            (401, _) => ProbeOutcome::Unauthorized,
            _ => continue,
        };
        let ended_at = world.now();
        if incarnation.load(Ordering::SeqCst) == started {
            let incarnation = started;
            lock(&world.observations).push(Observation {
                host,
                incarnation,
                sent_at,
                ended_at,
                request,
                outcome,
            });
        }
    }
}

/// Returns the number of a replica's service by the replica's id, `i-INDEX` or `i-INDEX-START`.
fn service_of(id: &str) -> Option<usize> {
    let index: usize = id.split('-').nth(1)?.parse().ok()?;
    Some(index / SERVICE_REPLICAS)
}

/// Publishes one version after the other. A version that is not acknowledged is sent again until a
/// newer one replaces it.
fn change_config(world: &SoakWorld, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut config = ConfigVersion::first();
    let mut pending = false;
    let mut next_change = world.now();
    while world.is_running() {
        thread::sleep(TICK);
        if world.now() >= next_change {
            next_change = world.now() + Duration::from_millis(random.random_range(30..3_000));
            config = config.next(&mut random);
            pending = true;
            lock(&world.versions).push(SentVersion {
                config: config.clone(),
                sent_at: world.now(),
                acknowledged_at: None,
            });
        }
        if pending && world.standin.try_publish(&config.document()) == WriteOutcome::Acknowledged {
            pending = false;
            if let Some(sent) = lock(&world.versions).last_mut() {
                sent.acknowledged_at = Some(world.now());
            }
        }
    }
}

/// Renews the replicas' entries and lets one after the other leave and come back.
fn run_replicas(world: &SoakWorld, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut next_beat = world.now() + BEAT_PERIOD;
    let mut next_notice = world.now() + DRAIN_TIME;
    let mut leaving: Option<(usize, Duration)> = None;
    let mut starts = 0;
    while world.is_running() {
        thread::sleep(TICK);
        if !world.standin.is_store_up() {
            continue;
        }
        if world.now() >= next_beat {
            next_beat = world.now() + BEAT_PERIOD;
            (0..world.standin.replicas.len()).for_each(|index| world.standin.renew_entry(index));
        }
        match leaving {
            None if world.now() >= next_notice => {
                let index = random.random_range(0..world.standin.replicas.len());
                world.standin.register_replica(index, "draining");
                let (id, _) = world.standin.replica(index);
                lock(&world.leaving).push(LeavingReplica { id, acknowledged_at: world.now() });
                leaving = Some((index, world.now()));
            }
            Some((index, since)) if world.now() >= since + DRAIN_TIME => {
                starts += 1;
                world.standin.replace_replica(index, &format!("i-{index}-{starts}"));
                leaving = None;
                next_notice = world.now() + Duration::from_millis(random.random_range(100..3_000));
            }
            _ => {}
        }
    }
}

/// What happens at a point of time in the course of a fault.
enum FaultStep {
    Begin(PlannedFault),
    /// A mode of the store ends.
    EndStore(u64),
    EndLink(usize),
    Return {
        copy: StandinCopy,
        scope: RewriteScope,
        rewrite_delay: Duration,
        mode: u64,
    },
    Rewrite(RewriteScope, Duration),
    Start(usize),
    Thaw(usize),
}

/// Injects the faults of a run and records when they disturbed what.
struct FaultInjector<'a> {
    world: &'a SoakWorld,
    fleet: &'a mut HostFleet,
    steps: Vec<(Duration, FaultStep)>,
    /// Modes of the store in force, the last one first in effect, each with its begin.
    modes: Vec<(u64, StoreMode, Duration)>,
    next_mode: u64,
    copies: VecDeque<(Duration, StandinCopy)>,
    touch: TouchRecord,
}

fn inject_faults(
    world: &SoakWorld,
    fleet: &mut HostFleet,
    faults: Vec<(Duration, PlannedFault)>,
    length: Duration,
) -> anyhow::Result<TouchRecord> {
    let steps = faults.into_iter().map(|(at, fault)| (at, FaultStep::Begin(fault))).collect();
    let mut injector = FaultInjector {
        world,
        fleet,
        steps,
        modes: Vec::new(),
        next_mode: 0,
        copies: VecDeque::new(),
        touch: TouchRecord::default(),
    };
    let mut next_copy = Duration::ZERO;
    while world.now() < length {
        thread::sleep(TICK);
        let now = world.now();
        if now >= next_copy && world.standin.is_store_up() {
            next_copy = now + COPY_PERIOD;
            injector.keep_copy(now);
        }
        for host in injector.fleet.restart_exited()? {
            injector.disturb(DisturbedPart::Host(host), now, now);
        }
        injector.steps.sort_by_key(|(at, _)| *at);
        while injector.steps.first().is_some_and(|(at, _)| *at <= now) {
            let (_, step) = injector.steps.remove(0);
            injector.take_step(now, step)?;
        }
    }
    Ok(injector.touch)
}

impl FaultInjector<'_> {
    fn keep_copy(&mut self, now: Duration) {
        self.copies.push_back((now, self.world.standin.copy_store()));
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }

    fn disturb(&mut self, part: DisturbedPart, from: Duration, to: Duration) {
        self.touch.add(Disturbance { part, from, to });
    }

    fn take_step(&mut self, now: Duration, step: FaultStep) -> anyhow::Result<()> {
        match step {
            FaultStep::Begin(fault) => self.begin(now, fault)?,
            FaultStep::EndStore(number) => self.end_mode(now, number),
            FaultStep::EndLink(host) => {
                let link = self.fleet.link(host);
                self.world.standin.set_link_mode(link, StoreMode::Answer);
                self.disturb(DisturbedPart::Host(host), now, now);
            }
            FaultStep::Return { copy, scope, rewrite_delay, mode } => {
                self.world.standin.restore_store(copy);
                // Older copies do not fit what is written from now on.
                self.copies.clear();
                self.end_mode(now, mode);
                self.steps.push((now + rewrite_delay, FaultStep::Rewrite(scope, now)));
            }
            FaultStep::Rewrite(scope, returned_at) => {
                self.world.standin.rewrite_lost(scope);
                self.disturb(DisturbedPart::Store, returned_at, now);
            }
            FaultStep::Start(host) => {
                self.fleet.start_host(host)?;
                self.disturb(DisturbedPart::Host(host), now, now);
            }
            FaultStep::Thaw(host) => {
                self.fleet.signal(host, Signal::CONT)?;
                self.disturb(DisturbedPart::Host(host), now, now);
            }
        }
        Ok(())
    }

    fn begin(&mut self, now: Duration, fault: PlannedFault) -> anyhow::Result<()> {
        match fault {
            PlannedFault::Store { mode, duration } => {
                let number = self.begin_mode(now, mode);
                self.steps.push((now + duration, FaultStep::EndStore(number)));
            }
            PlannedFault::Link { host, mode, duration } => {
                self.world.standin.set_link_mode(self.fleet.link(host), mode);
                self.steps.push((now + duration, FaultStep::EndLink(host)));
                self.disturb(DisturbedPart::Host(host), now, now + duration);
            }
            PlannedFault::Restore { away, copy_age, scope, rewrite_delay } => {
                let old_enough = |(at, _): &&(Duration, StandinCopy)| *at + copy_age <= now;
                let copy = self.copies.iter().rev().find(old_enough).or(self.copies.front());
                let Some((_, copy)) = copy.cloned() else { return Ok(()) };
                let mode = self.begin_mode(now, StoreMode::Reset);
                let step = FaultStep::Return { copy, scope, rewrite_delay, mode };
                self.steps.push((now + away, step));
            }
            PlannedFault::DropHistory => {
                self.world.standin.drop_history();
                self.disturb(DisturbedPart::Store, now, now);
            }
            PlannedFault::SilenceConnections => {
                self.world.standin.silence_connections();
                self.disturb(DisturbedPart::Store, now, now);
            }
            PlannedFault::Kill { hosts, down } => {
                for host in hosts {
                    self.fleet.kill(host);
                    self.steps.push((now + down, FaultStep::Start(host)));
                    self.disturb(DisturbedPart::Host(host), now, now + down);
                }
            }
            PlannedFault::Terminate { host } => {
                self.fleet.signal(host, Signal::TERM)?;
                self.disturb(DisturbedPart::Host(host), now, now);
            }
            PlannedFault::Freeze { host, duration } => {
                self.fleet.signal(host, Signal::STOP)?;
                self.steps.push((now + duration, FaultStep::Thaw(host)));
                self.disturb(DisturbedPart::Host(host), now, now + duration);
            }
            PlannedFault::Hangup { host } => self.fleet.signal(host, Signal::HUP)?,
        }
        Ok(())
    }

    fn begin_mode(&mut self, now: Duration, mode: StoreMode) -> u64 {
        self.next_mode += 1;
        self.modes.push((self.next_mode, mode, now));
        self.world.standin.set_store_mode(mode);
        self.next_mode
    }

    fn end_mode(&mut self, now: Duration, number: u64) {
        if let Some(index) = self.modes.iter().position(|(other, _, _)| *other == number) {
            let (_, _, since) = self.modes.remove(index);
            self.disturb(DisturbedPart::Store, since, now);
        }
        let mode = self.modes.last().map_or(StoreMode::Answer, |(_, mode, _)| *mode);
        self.world.standin.set_store_mode(mode);
    }
}

fn judge(world: &SoakWorld, fleet: &HostFleet, touch: &TouchRecord, report: &mut SoakReport) {
    let versions = lock(&world.versions);
    let mut observations = lock(&world.observations);
    observations.sort_by_key(|seen| seen.ended_at);
    report.answers = observations.len();
    report.versions = versions.iter().filter(|sent| sent.acknowledged_at.is_some()).count();
    for (index, fault) in judge_answers(&versions, &observations, touch) {
        let seen = &observations[index];
        let kind = match fault {
            ConfigFault::NotInForce { .. } => "not in force in time",
            ConfigFault::WentBack { .. } => "came back older",
            ConfigFault::NeverAllowed => "never allowed",
        };
        report.violations.push(format!(
            "CONFIG at {:.3?} host {} start {}: {kind}, {fault:?}, {:?} {:?}",
            seen.sent_at, seen.host, seen.incarnation, seen.request, seen.outcome
        ));
    }
    judge_duties(world, touch, report);
    judge_end(&versions, fleet, report);
}

fn judge_duties(world: &SoakWorld, touch: &TouchRecord, report: &mut SoakReport) {
    let reports: Vec<AcceptedReport> = world
        .standin
        .usage_reports()
        .into_iter()
        .map(|accepted| AcceptedReport {
            at: accepted.at.saturating_duration_since(world.start),
            holder: accepted.holder,
            fencing_token: accepted.fencing_token,
            window: accepted.body["window"].as_u64().unwrap_or_default(),
            counts: accepted.body["counts"].clone(),
        })
        .collect();
    if reports.is_empty() {
        report.violations.push("no usage was reported".to_owned());
    }
    let faults = judge_reports(&reports, DUTY_LEASE);
    report.violations.extend(faults.iter().map(|fault| format!("ONE: {fault:?}")));
    let runs: Vec<ObservedRun> = world
        .standin
        .take_runs()
        .into_iter()
        .filter_map(|run| {
            let host = run.request_id.split('-').next()?.parse().ok()?;
            let at = run.at.saturating_duration_since(world.start);
            Some(ObservedRun { replica: run.replica_id, host, at })
        })
        .collect();
    for run in judge_runs(&lock(&world.leaving), &runs, touch) {
        report.violations.push(format!("DRAIN: {run:?}"));
    }
}

/// Judges what the hosts know after the last calm.
fn judge_end(versions: &[SentVersion], fleet: &HostFleet, report: &mut SoakReport) {
    let newest = versions.iter().filter(|sent| sent.acknowledged_at.is_some());
    let newest = newest.map(|sent| sent.config.version).max().unwrap_or(0);
    let others = fleet.len() as u64 - 1;
    for host in 0..fleet.len() {
        let level = |name: &str| read_level(fleet.ip(host), name);
        let (version, peers) = (level("config_version"), level("peers"));
        if version.is_none_or(|version| version < newest) {
            report.violations.push(format!("END: host {host} has {version:?}, not {newest}"));
        }
        if peers != Some(others) {
            report.violations.push(format!("END: host {host} hears {peers:?} peers, not {others}"));
        }
    }
}

/// Returns the folder of a run's logs.
pub fn log_folder(root: &Path, seed: u64) -> PathBuf {
    root.join(format!("seed-{seed}"))
}
