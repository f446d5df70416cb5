//! One run: hosts, callers, operator, replicas and faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
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
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::FRONT_PORT;
use testutils::deployment_standin::ROUTE_HOST;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::WriteOutcome;
use testutils::gateway_process::read_level;

use crate::call_judge::CallExcuse;
use crate::call_judge::CallOutcome;
use crate::call_judge::CallRecord;
use crate::config_judge::CONFIG_BOUND;
use crate::config_judge::Observation;
use crate::config_judge::SentVersion;
use crate::config_plan::ConfigVersion;
use crate::config_plan::ProbeOutcome;
use crate::config_plan::ProbeRequest;
use crate::config_plan::SERVICES;
use crate::crash_caller::call_crashing;
use crate::duty_judge::LeavingReplica;
use crate::fault_injector::inject_faults;
use crate::fault_plan::draw_cuts;
use crate::fault_plan::draw_faults;
use crate::fault_plan::draw_limits;
use crate::fault_plan::draw_notices;
use crate::fault_plan::draw_slow_replicas;
use crate::fault_plan::draw_troubles;
use crate::growth_plan::DepartureKind;
use crate::growth_plan::PlannedDeparture;
use crate::growth_plan::draw_plan;
use crate::host_fleet::HostFleet;
use crate::retry_caller::call_again;
use crate::run_verdict::judge_run;
use crate::work_caller::call_work;

/// Replicas of each service.
pub(crate) const SERVICE_REPLICAS: usize = 2;

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

/// Time from a replica's departure in a growing fleet until it is replaced.
const DEPARTURE_TIME: Duration = Duration::from_secs(5);

/// Part of prompts that crashes replicas, and for how long they are down.
pub(crate) const CRASHING_PART: u64 = 0xbad;
const CRASH_DOWN_TIME: Duration = Duration::from_millis(800);

/// First of the seeds of the callers whose requests crash replicas.
const CRASH_SEED: u64 = 500_000;

/// First of the seeds of the callers that keep ids over their tries.
const RETRY_SEED: u64 = 600_000;

/// Distance between the seeds of two callers of a host.
const CALLER_SEED_STEP: u64 = 1_000_000;

/// Interval of the loops that wait for the next event.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// Time for the hosts to start and find one another.
const START_TIMEOUT: Duration = Duration::from_secs(20);

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
    /// Callers with long requests for each host.
    pub callers: usize,
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
    /// Long requests by their outcome.
    pub outcomes: BTreeMap<CallOutcome, usize>,
    /// Long requests without an answer by what excuses them.
    pub excuses: BTreeMap<CallExcuse, usize>,
    /// Largest resident memory of a host, in KiB.
    pub peak_memory_kib: u64,
    /// Versions that were acknowledged.
    pub versions: usize,
    /// Crashes of replicas by requests.
    pub crashes: usize,
    /// Requests that reached replicas which named a limit, from hosts that knew it.
    pub limited: usize,
    /// Faults that struck.
    pub faults: Vec<String>,
    /// Rules that were broken.
    pub violations: Vec<String>,
}

/// What the threads of a run share.
pub(crate) struct SoakWorld {
    pub(crate) standin: Arc<DeploymentStandin>,
    pub(crate) start: Instant,
    stop: AtomicBool,
    pub(crate) observations: Mutex<Vec<Observation>>,
    pub(crate) calls: Mutex<Vec<CallRecord>>,
    pub(crate) versions: Mutex<Vec<SentVersion>>,
    pub(crate) leaving: Mutex<Vec<LeavingReplica>>,
    /// Sound requests that were refused because of their parts.
    pub(crate) wrongly_refused: Mutex<Vec<String>>,
}

impl SoakWorld {
    /// Returns the time since the start of the run.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn is_running(&self) -> bool {
        !self.stop.load(Ordering::SeqCst)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
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
    let seed_of = |number: u64| settings.seed.wrapping_mul(1_000).wrapping_add(number);
    let mut random = ChaCha8Rng::seed_from_u64(seed_of(106));
    let replicas = standin.replicas.len();
    let plan = draw_plan(&mut random, settings.seed, settings.hosts, settings.length);
    let mut fleet = HostFleet::start(
        &settings.program,
        standin.clone(),
        &settings.logs,
        settings.subnet,
        settings.hosts,
        plan.added,
    )?;
    wait_until_joined(&fleet, settings.hosts)?;
    let world = SoakWorld {
        standin,
        start: Instant::now(),
        stop: AtomicBool::new(false),
        observations: Mutex::default(),
        calls: Mutex::default(),
        versions: Mutex::new(vec![SentVersion {
            config: first,
            sent_at: Duration::ZERO,
            acknowledged_at: Some(Duration::ZERO),
        }]),
        leaving: Mutex::default(),
        wrongly_refused: Mutex::default(),
    };
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut faults = draw_faults(&mut random, settings.hosts, settings.length);
    let mut random = ChaCha8Rng::seed_from_u64(seed_of(103));
    faults.extend(draw_troubles(&mut random, settings.hosts, replicas, settings.length));
    let mut random = ChaCha8Rng::seed_from_u64(seed_of(104));
    faults.extend(draw_notices(&mut random, replicas, settings.length));
    let mut random = ChaCha8Rng::seed_from_u64(seed_of(105));
    faults.extend(draw_limits(&mut random, replicas, settings.length));
    let mut random = ChaCha8Rng::seed_from_u64(seed_of(107));
    faults.extend(draw_slow_replicas(&mut random, replicas, settings.length));
    let mut random = ChaCha8Rng::seed_from_u64(seed_of(108));
    faults.extend(draw_cuts(&mut random, settings.hosts, settings.length));
    let has_plan = !plan.faults.is_empty();
    faults.extend(plan.faults);
    faults.sort_by_key(|(at, _)| *at);
    let departures = plan.departures;
    world.standin.set_crashing_parts(&[CRASHING_PART], CRASH_DOWN_TIME);
    let listed = faults.iter().map(|(at, fault)| format!("{at:.3?} {fault:?}"));
    let listed =
        listed.chain(departures.iter().map(|departure| format!("{departure:?}"))).collect();
    let mut report = SoakReport { faults: listed, ..SoakReport::default() };
    let touch = thread::scope(|scope| {
        let addresses: Vec<SocketAddr> = (0..fleet.len())
            .filter_map(|host| Some(SocketAddr::new(fleet.ip(host).parse().ok()?, FRONT_PORT)))
            .collect();
        for host in 0..fleet.len() {
            let (world, ip) = (&world, fleet.ip(host).to_owned());
            let (incarnation, seed) = (fleet.incarnation(host), seed_of(host as u64 + 1));
            let address: IpAddr = ip.parse().context("a host has no address")?;
            let front = SocketAddr::new(address, FRONT_PORT);
            scope.spawn(move || call_host(world, host, &ip, &incarnation, seed));
            if has_plan {
                let (hosts, retry_seed) = (addresses.clone(), seed_of(RETRY_SEED + host as u64));
                scope.spawn(move || call_again(world, host, &hosts, retry_seed));
            }
            let crash_seed = seed_of(CRASH_SEED + host as u64);
            scope.spawn(move || call_crashing(world, host, front, crash_seed));
            for caller in 0..settings.callers {
                let seed = seed_of(CALLER_SEED_STEP * (caller as u64 + 1) + host as u64);
                let name = format!("w{caller}");
                scope.spawn(move || call_work(world, host, front, &name, seed));
            }
        }
        scope.spawn(|| change_config(&world, seed_of(101)));
        scope.spawn(|| run_replicas(&world, seed_of(102), departures));
        let touch = inject_faults(&world, &mut fleet, faults, settings.length);
        world.stop.store(true, Ordering::SeqCst);
        touch
    })?;
    // The last change may have been acknowledged just now.
    thread::sleep(CONFIG_BOUND);
    judge_run(&world, &fleet, &touch, &mut report);
    Ok(report)
}

fn wait_until_joined(fleet: &HostFleet, count: usize) -> anyhow::Result<()> {
    let begin = Instant::now();
    let others = count as u64 - 1;
    while !(0..count).all(|host| {
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
    let mut work_random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(3));
    let mut config = ConfigVersion::first();
    let mut pending = false;
    let mut next_change = world.now();
    while world.is_running() {
        thread::sleep(TICK);
        if world.now() >= next_change {
            next_change = world.now() + Duration::from_millis(random.random_range(30..3_000));
            config = config.next(&mut random);
            config.work = config.work.next(&mut work_random);
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

/// Renews the replicas' entries, lets one after the other leave and come back, and besides those of the plan.
fn run_replicas(world: &SoakWorld, seed: u64, departures: Vec<PlannedDeparture>) {
    let mut departures = VecDeque::from(departures);
    let mut departed: BTreeMap<usize, Duration> = BTreeMap::new();
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
            let listed = (0..world.standin.replicas.len()).filter(|it| !departed.contains_key(it));
            listed.for_each(|index| world.standin.renew_entry(index));
        }
        if let Some(next) = departures.pop_front_if(|next| next.at <= world.now())
            && depart(world, next)
        {
            departed.insert(next.replica, world.now());
        }
        let back = departed.extract_if(.., |_, since| world.now() >= *since + DEPARTURE_TIME);
        for (index, _) in back {
            starts += 1;
            world.standin.set_replica_mode(index, ReplicaMode::Answer);
            world.standin.replace_replica(index, &format!("i-{index}-g{starts}"));
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

/// Lets a replica leave; returns whether it serves on until it is replaced.
fn depart(world: &SoakWorld, departure: PlannedDeparture) -> bool {
    let index = departure.replica;
    let (id, _) = world.standin.replica(index);
    match departure.kind {
        DepartureKind::Draining => world.standin.register_replica(index, "draining"),
        DepartureKind::EntryGone => world.standin.expire_replica(index),
        DepartureKind::Replaced => world.standin.replace_replica(index, &format!("{id}-r")),
        DepartureKind::Announced => {
            world.standin.set_replica_mode(index, ReplicaMode::Leaving);
            return true;
        }
    }
    lock(&world.leaving).push(LeavingReplica { id, acknowledged_at: world.now() });
    departure.kind != DepartureKind::Replaced
}

/// Returns the folder of a run's logs.
pub fn log_folder(root: &Path, seed: u64) -> PathBuf {
    root.join(format!("seed-{seed}"))
}
