//! Carries out planned faults, which may overlap.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::thread;
use std::time::Duration;

use anyhow::Context as _;
use rustix::process::Signal;
use testutils::deployment_standin::CutKind;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::RewriteScope;
use testutils::deployment_standin::StandinCopy;
use testutils::deployment_standin::StoreMode;

use crate::config_plan::SERVICES;
use crate::fault_plan::PlannedFault;
use crate::host_fleet::HostFleet;
use crate::soak_run::SERVICE_REPLICAS;
use crate::soak_run::SoakWorld;
use crate::soak_run::TICK;
use crate::touch_record::Disturbance;
use crate::touch_record::DisturbedPart;
use crate::touch_record::HostCut;
use crate::touch_record::TouchRecord;

/// Time between two copies of the store.
const COPY_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a flapping cut is there, and not.
const FLAP_PERIOD: Duration = Duration::from_secs(1);

/// Time between two readings of the hosts' memory.
const MEMORY_PERIOD: Duration = Duration::from_millis(200);

/// Number of copies kept.
const MAX_COPIES: usize = 24;

/// What happens at a point of time in the course of a fault.
enum FaultStep {
    Begin(PlannedFault),
    /// A mode of the store ends.
    EndStore(u64),
    EndLink(usize),
    /// A cut begins or ends.
    SetCut {
        hosts: Vec<usize>,
        service: Option<usize>,
        kind: Option<CutKind>,
    },
    /// A mode of a replica ends.
    EndReplica(usize, u64, ReplicaMode),
    Return {
        copy: StandinCopy,
        scope: RewriteScope,
        rewrite_delay: Duration,
        mode: u64,
    },
    Rewrite(RewriteScope, Duration),
    Start(usize),
    Thaw(usize),
    /// A replica's process names this limit, or none, unless another process has taken its place.
    Limit {
        replica: usize,
        id: String,
        limit: Option<&'static str>,
    },
}

/// Injects the faults of a run and records when they disturbed what.
struct FaultInjector<'a> {
    world: &'a SoakWorld,
    fleet: &'a mut HostFleet,
    steps: Vec<(Duration, FaultStep)>,
    /// Modes of the store in force, the last one first in effect, each with its begin.
    modes: Vec<(u64, StoreMode, Duration)>,
    next_mode: u64,
    /// The newest mode of each replica.
    replica_modes: BTreeMap<usize, u64>,
    /// Hosts that got SIGTERM and still run, and when.
    leaving: BTreeMap<usize, Duration>,
    copies: VecDeque<(Duration, StandinCopy)>,
    touch: TouchRecord,
}

/// Injects the faults at their times until the run has lasted for `length`; returns when they disturbed
/// what.
pub(crate) fn inject_faults(
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
        replica_modes: BTreeMap::new(),
        leaving: BTreeMap::new(),
        copies: VecDeque::new(),
        touch: TouchRecord::default(),
    };
    let (mut next_copy, mut next_reading) = (Duration::ZERO, Duration::ZERO);
    while world.now() < length {
        thread::sleep(TICK);
        let now = world.now();
        if now >= next_copy && world.standin.is_store_up() {
            next_copy = now + COPY_PERIOD;
            injector.keep_copy(now);
        }
        if now >= next_reading {
            next_reading = now + MEMORY_PERIOD;
            injector.fleet.read_memory();
        }
        for host in injector.fleet.restart_exited()? {
            injector.end_shutdown(host, world.now());
        }
        injector.steps.sort_by_key(|(at, _)| *at);
        while injector.steps.first().is_some_and(|(at, _)| *at <= now) {
            let (_, step) = injector.steps.remove(0);
            injector.take_step(now, step)?;
        }
    }
    (0..injector.fleet.len()).for_each(|host| injector.end_shutdown(host, length));
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

    /// Records the shutdown of a host that has ended.
    fn end_shutdown(&mut self, host: usize, now: Duration) {
        if let Some(begin) = self.leaving.remove(&host) {
            self.disturb(DisturbedPart::Shutdown(host), begin, now);
        }
    }

    fn take_step(&mut self, now: Duration, step: FaultStep) -> anyhow::Result<()> {
        match step {
            FaultStep::Begin(fault) => self.begin(now, fault)?,
            FaultStep::EndStore(number) => self.end_mode(now, number),
            FaultStep::EndLink(host) => {
                let link = self.fleet.link(host);
                self.world.standin.set_link_mode(link, StoreMode::Answer);
                self.disturb(DisturbedPart::Link(host), now, now);
            }
            FaultStep::SetCut { hosts, service, kind } => {
                let ips: Vec<&str> = hosts.iter().map(|host| self.fleet.ip(*host)).collect();
                let service = service.map(|number| SERVICES[number]);
                self.world
                    .standin
                    .cut_hosts(&ips, service, kind)
                    .context("cannot cut hosts off")?;
            }
            FaultStep::EndReplica(replica, number, mode) => {
                // What has said that it leaves does not come back.
                if mode == ReplicaMode::Leaving {
                    self.world.standin.replace_replica(replica, &format!("i-{replica}-l{number}"));
                }
                // A newer mode stays.
                if self.replica_modes.get(&replica) == Some(&number) {
                    self.world.standin.set_replica_mode(replica, ReplicaMode::Answer);
                }
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
            FaultStep::Limit { replica, id, limit } => {
                if self.world.standin.replica(replica).0 == id {
                    self.world.standin.set_limit(replica, limit);
                }
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
                self.disturb(DisturbedPart::Link(host), now, now + duration);
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
                    self.end_shutdown(host, now);
                    self.steps.push((now + down, FaultStep::Start(host)));
                    self.disturb(DisturbedPart::Host(host), now, now + down);
                }
            }
            PlannedFault::Terminate { host } => {
                if self.fleet.signal(host, Signal::TERM)? {
                    self.leaving.entry(host).or_insert(now);
                }
            }
            PlannedFault::Freeze { host, duration } => {
                self.fleet.signal(host, Signal::STOP)?;
                self.steps.push((now + duration, FaultStep::Thaw(host)));
                self.disturb(DisturbedPart::Host(host), now, now + duration);
            }
            PlannedFault::Hangup { host } => {
                self.fleet.signal(host, Signal::HUP)?;
            }
            PlannedFault::Silence { replica, duration } => {
                self.world.standin.silence_replica(replica, duration);
            }
            PlannedFault::Limits { replica, limits } => {
                let (id, _) = self.world.standin.replica(replica);
                for (after, limit) in limits {
                    let step = FaultStep::Limit { replica, id: id.clone(), limit };
                    self.steps.push((now + after, step));
                }
            }
            PlannedFault::Cut { hosts, service, kind, duration, is_flapping } => {
                let end = now + duration;
                let mut at = now;
                let mut is_cut = true;
                while at < end {
                    let (hosts, kind) = (hosts.clone(), is_cut.then_some(kind));
                    self.steps.push((at, FaultStep::SetCut { hosts, service, kind }));
                    at = if is_flapping { at + FLAP_PERIOD } else { end };
                    is_cut = !is_cut;
                }
                let cut = HostCut { hosts: hosts.clone(), from: now, to: end };
                self.steps.push((end, FaultStep::SetCut { hosts, service, kind: None }));
                self.touch.add_cut(cut);
            }
            PlannedFault::Add { host } => {
                self.fleet.start_host(host)?;
                self.disturb(DisturbedPart::Host(host), Duration::ZERO, now);
            }
            PlannedFault::Service { service, mode, duration } => {
                for replica in service * SERVICE_REPLICAS..(service + 1) * SERVICE_REPLICAS {
                    self.begin(now, PlannedFault::Replica { replica, mode, duration })?;
                }
            }
            PlannedFault::Replica { replica, mode, duration } => {
                self.next_mode += 1;
                self.replica_modes.insert(replica, self.next_mode);
                self.world.standin.set_replica_mode(replica, mode);
                let step = FaultStep::EndReplica(replica, self.next_mode, mode);
                self.steps.push((now + duration, step));
            }
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
