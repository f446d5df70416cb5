//! Simulates entry hosts and backend servers in virtual time, with requests that crash servers.
//!
//! Connects the [`CrashSuspects`] of several hosts by reports with a configurable delay.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pomelostack_lib::crash_report::CrashReport;
use pomelostack_lib::crash_suspects::AttemptExit;
use pomelostack_lib::crash_suspects::CrashSuspects;
use pomelostack_lib::crash_suspects::ExitCause;
use pomelostack_lib::crash_suspects::SuspectPlacement;
use pomelostack_lib::crash_suspects::SuspectWork;
use pomelostack_lib::crash_suspects::WorkFingerprint;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::timestamp::Timestamp;
use pomelostack_lib::work_parts::WorkPart;
use pomelostack_lib::work_parts::WorkParts;

/// Duration of one simulation step.
pub const STEP: Duration = Duration::from_millis(10);

/// Time between two reports of a host.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a server's process takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// One request of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct FleetJob {
    /// When it is sent.
    pub at: Timestamp,
    /// Entry host that it is sent to.
    pub host: usize,
    /// Fingerprint of its work.
    pub fingerprint: WorkFingerprint,
    /// Time that it runs.
    pub length: Duration,
    /// Time after which it crashes its server, or `None` if it does not.
    pub crashes_after: Option<Duration>,
    /// Part of its prompt that other requests share, if there is one.
    pub part: Option<WorkPart>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    Waiting,
    Running { server: usize, since: Timestamp },
    Answered,
    Refused,
}

impl JobState {
    fn is_open(self) -> bool {
        matches!(self, Self::Waiting | Self::Running { .. })
    }
}

/// How a host chooses among the servers that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChoice {
    /// The least loaded of all servers.
    LeastLoaded,
    /// The less loaded of two servers that the fingerprint determines, the same on every host.
    SameTwo,
}

/// Hashes a fingerprint and a server into the server's rank.
fn mix(fingerprint: u64, server: u64) -> u64 {
    let word = (fingerprint ^ server.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(server + 1);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Number of crashes by the work that caused them.
    pub crashes: BTreeMap<WorkFingerprint, u32>,
    /// Work that was refused.
    pub refused: BTreeSet<WorkFingerprint>,
    /// Number of requests that were answered.
    pub answered: u32,
    /// Number of requests that were still waiting or running at the end.
    pub open: u32,
}

struct Delivery {
    at: Timestamp,
    host: usize,
    report: Arc<CrashReport>,
}

/// A simulated fleet of entry hosts and backend servers.
pub struct CrashFleet {
    hosts: Vec<CrashSuspects>,
    up_at: Vec<Timestamp>,
    sharing_delay: Duration,
    choice: ServerChoice,
    deliveries: Vec<Delivery>,
    jobs: Vec<(FleetJob, JobState)>,
    /// Jobs that have been sent and have not ended, in the order in which they were sent.
    active: Vec<usize>,
    /// Number of running jobs by server.
    load: Vec<usize>,
    counts: FleetCounts,
}

fn server_id(server: usize) -> ServerId {
    ServerId::try_from(format!("server-{server:02}")).unwrap()
}

fn job_id(job: usize) -> RequestId {
    RequestId { origin: 1, sequence: job as u64 }
}

impl CrashFleet {
    /// Builds a fleet whose reports take `sharing_delay` to arrive.
    pub fn new(
        host_count: usize,
        server_count: usize,
        sharing_delay: Duration,
        choice: ServerChoice,
    ) -> Self {
        let host = |n| CrashSuspects::new(HostId::try_from(format!("entry-{n}")).unwrap());
        Self {
            hosts: (0..host_count).map(host).collect(),
            up_at: vec![Timestamp::default(); server_count],
            sharing_delay,
            choice,
            deliveries: Vec::new(),
            jobs: Vec::new(),
            active: Vec::new(),
            load: vec![0; server_count],
            counts: FleetCounts::default(),
        }
    }

    /// Plays the jobs until `end` and returns the outcome.
    pub fn play(mut self, jobs: &[FleetJob], end: Timestamp) -> FleetCounts {
        self.jobs = jobs.iter().map(|&job| (job, JobState::Waiting)).collect();
        let mut unsent: Vec<usize> = (0..jobs.len()).collect();
        unsent.sort_by_key(|&job| std::cmp::Reverse(jobs[job].at));
        let mut now = Timestamp::default();
        while now < end {
            while let Some(job) = unsent.pop_if(|job| jobs[*job].at <= now) {
                self.active.push(job);
            }
            self.deliver(now);
            if now.0.is_multiple_of(REPORT_INTERVAL.as_micros() as u64) {
                (0..self.hosts.len()).for_each(|host| self.send_report(now, host));
            }
            for job in self.active.clone() {
                self.step_job(now, job);
            }
            let jobs = &self.jobs;
            self.active.retain(|&job| jobs[job].1.is_open());
            now = now + STEP;
        }
        let is_open =
            |state: &JobState| matches!(state, JobState::Waiting | JobState::Running { .. });
        self.counts.open = self.jobs.iter().filter(|(_, state)| is_open(state)).count() as u32;
        self.counts
    }

    fn deliver(&mut self, now: Timestamp) {
        for delivery in self.deliveries.extract_if(.., |delivery| delivery.at <= now) {
            self.hosts[delivery.host].on_report(now, &delivery.report);
        }
    }

    fn send_report(&mut self, now: Timestamp, from: usize) {
        self.hosts[from].judge(now, now.as_millis());
        let report = Arc::new(self.hosts[from].report(now));
        for host in (0..self.hosts.len()).filter(|&host| host != from) {
            let report = report.clone();
            self.deliveries.push(Delivery { at: now + self.sharing_delay, host, report });
        }
    }

    fn step_job(&mut self, now: Timestamp, index: usize) {
        let (job, state) = self.jobs[index];
        match state {
            JobState::Waiting => self.place(now, index, &job),
            JobState::Running { server, since } => {
                let ran = now.since(since);
                if job.crashes_after.is_some_and(|after| ran >= after) {
                    *self.counts.crashes.entry(job.fingerprint).or_default() += 1;
                    self.crash(now, server);
                } else if ran >= job.length {
                    let id = server_id(server);
                    self.hosts[job.host].end(now, job_id(index), &id, AttemptExit::Answered);
                    self.load[server] -= 1;
                    self.counts.answered += 1;
                    self.jobs[index].1 = JobState::Answered;
                }
            }
            _ => {}
        }
    }

    fn place(&mut self, now: Timestamp, index: usize, job: &FleetJob) {
        let up: Vec<usize> = (0..self.up_at.len()).filter(|&s| self.up_at[s] <= now).collect();
        let candidates: Vec<ServerId> = up.iter().map(|&server| server_id(server)).collect();
        let host = &mut self.hosts[job.host];
        if let Some(part) = job.part {
            let whole = WorkPart::of_request(&[&job.fingerprint.0.to_be_bytes()]);
            let parts = WorkParts::new(whole, [part]);
            host.admit(job_id(index), SuspectWork { whole, parts });
        }
        let chosen = match host.place(now, job.fingerprint, job_id(index), &candidates) {
            SuspectPlacement::Free { avoid } => {
                let free = up.into_iter().filter(|&server| !avoid.contains(&server_id(server)));
                self.choose(job, free.collect())
            }
            SuspectPlacement::Trial(id) => up.into_iter().find(|&server| server_id(server) == id),
            SuspectPlacement::Hold => None,
            SuspectPlacement::Refused => {
                self.counts.refused.insert(job.fingerprint);
                self.jobs[index].1 = JobState::Refused;
                None
            }
        };
        if let Some(server) = chosen {
            let id = server_id(server);
            self.load[server] += 1;
            self.hosts[job.host].begin(now, job.fingerprint, job_id(index), &id);
            self.jobs[index].1 = JobState::Running { server, since: now };
        }
    }

    fn choose(&self, job: &FleetJob, mut free: Vec<usize>) -> Option<usize> {
        if self.choice == ServerChoice::SameTwo {
            free.sort_by_key(|&server| mix(job.fingerprint.0 as u64, server as u64));
            free.truncate(2);
        }
        free.into_iter().min_by_key(|&server| (self.load[server], server))
    }

    /// Crashes a server. Every host with requests in flight there notices it at once.
    fn crash(&mut self, now: Timestamp, server: usize) {
        let id = server_id(server);
        let zone = ZoneName::try_from(format!("zone-{}", server % 4)).unwrap();
        self.up_at[server] = now + RESTART_TIME;
        self.load[server] = 0;
        let mut seen_by = BTreeSet::new();
        for index in self.active.clone() {
            let (job, state) = self.jobs[index];
            if !matches!(state, JobState::Running { server: s, .. } if s == server) {
                continue;
            }
            if seen_by.insert(job.host) {
                self.hosts[job.host].on_server_exit(now, &id, &zone, ExitCause::ProcessEnded);
            }
            self.hosts[job.host].end(now, job_id(index), &id, AttemptExit::Stopped);
            self.jobs[index].1 = JobState::Waiting;
        }
        for host in seen_by {
            self.send_report(now, host);
        }
    }
}
