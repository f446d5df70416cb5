//! Gateway hosts of which some are cut off from servers that the others reach, and callers of all.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::bounded_wait::wait_for;
use crate::deployment_standin::CutKind;
use crate::deployment_standin::DeploymentStandin;
use crate::deployment_standin::SERVICE;
use crate::deployment_standin::TEAM_KEY;
use crate::gateway_fixture::GatewayFixture;

/// Time from the begin of a cut until its hosts are judged.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time between two requests of a caller.
const PERIOD: Duration = Duration::from_millis(40);

/// Deadline of a request in milliseconds.
const DEADLINE_MS: &str = "1500";

/// Requests of each kind.
const CALLS: [(&str, &str); 3] = [("GET", "/look/1"), ("POST", "/book/1"), ("POST", "/brief/1")];

/// Service beside the one that all routes go to.
const OTHER_SERVICE: &str = "desk";

/// First tries at a group of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstTries {
    /// Requests that were sent.
    pub sent: usize,
    /// Those that were served.
    pub served: usize,
}

impl FirstTries {
    /// Returns the share that was served.
    pub fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Hosts in one or two availability zones, of which the first ones are cut off.
pub struct CutFleet {
    /// The platform.
    pub standin: Arc<DeploymentStandin>,
    /// The hosts.
    pub hosts: Vec<GatewayFixture>,
    cut: usize,
}

impl CutFleet {
    /// Starts a host in each of the named zones. The first `cut` of them can be cut off.
    pub fn start(program: &str, first: u8, zones: &[&str], cut: usize) -> Self {
        let services = [SERVICE, SERVICE, SERVICE, OTHER_SERVICE];
        let standin = Arc::new(DeploymentStandin::start_with(&services).expect("valid in tests"));
        standin.publish_config(3);
        let hosts = (first..).zip(zones).map(|(number, zone)| {
            GatewayFixture::start_in_zone(program, standin.clone(), number, zone)
        });
        let hosts: Vec<GatewayFixture> = hosts.map(GatewayFixture::serving).collect();
        let others = hosts.len() as u64 - 1;
        wait_for(|| hosts.iter().all(|host| host.level("peers") == Some(others)));
        Self { standin, hosts, cut }
    }

    /// Cuts the hosts off from all servers that serve callers, or connects them again.
    pub fn set_cut(&self, kind: Option<CutKind>) {
        let ips = self.hosts[..self.cut].iter().map(|host| host.ip.as_str());
        let ips: Vec<&str> = ips.collect();
        self.standin.cut_hosts(&ips, Some(SERVICE), kind).expect("the cut is made");
    }

    /// Sends requests to all hosts while `act` runs. Returns the first tries at the cut hosts and at the others
    /// that were sent after the contact time.
    pub fn judge(&self, act: impl FnOnce()) -> (FirstTries, FirstTries) {
        let (stop, start) = (AtomicBool::new(false), Instant::now());
        thread::scope(|scope| {
            let mut callers = Vec::new();
            for (number, host) in self.hosts.iter().enumerate() {
                for (kind, (method, path)) in CALLS.iter().enumerate() {
                    let stop = &stop;
                    callers.push(scope.spawn(move || {
                        let mut tries = FirstTries::default();
                        for call in 0.. {
                            if stop.load(Ordering::SeqCst) {
                                break;
                            }
                            let is_judged = start.elapsed() >= CONTACT_TIME;
                            let id = format!("{number}-{kind}-{call}");
                            let fields = [("Request-Deadline", DEADLINE_MS)];
                            let answer = host.try_call(method, path, &id, Some(TEAM_KEY), &fields);
                            let is_served = answer.is_some_and(|answer| {
                                answer.status == 200 && answer.body.is_some()
                            });
                            if is_judged {
                                tries.sent += 1;
                                tries.served += usize::from(is_served);
                            }
                            thread::sleep(PERIOD);
                        }
                        (number, tries)
                    }));
                }
            }
            act();
            stop.store(true, Ordering::SeqCst);
            let (mut cut, mut others) = (FirstTries::default(), FirstTries::default());
            for caller in callers {
                let (number, tries) = caller.join().expect("valid in tests");
                let group = if number < self.cut { &mut cut } else { &mut others };
                (group.sent, group.served) = (group.sent + tries.sent, group.served + tries.served);
            }
            (cut, others)
        })
    }

    /// Returns how many requests ran more often than once, of those that may not.
    pub fn repeated_once_work(&self) -> usize {
        let runs = self.standin.runs().into_iter();
        let once = runs.map(|run| run.request_id).filter(|id| id.split('-').nth(1) == Some("1"));
        let mut ids: Vec<String> = once.collect();
        ids.sort_unstable();
        let all = ids.len();
        ids.dedup();
        all - ids.len()
    }
}
