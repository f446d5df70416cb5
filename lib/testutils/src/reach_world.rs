//! Hosts, some of which are partitioned from servers, in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use pomelostack_lib::gateway::reach::forwarder_choice::ForwarderPeer;
use pomelostack_lib::gateway::reach::forwarder_choice::ForwarderScope;
use pomelostack_lib::gateway::reach::forwarder_choice::ForwarderTable;
use pomelostack_lib::gateway::reach::forwarder_choice::choose_forwarder;
use pomelostack_lib::gateway::reach::reach_table::OpenFailure;
use pomelostack_lib::gateway::reach::reach_table::ReachTable;
use pomelostack_lib::gateway::reach::reach_table::ServerPath;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

/// Time between two requests of a host.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(1_000);

/// Time until a connect counts as timed out.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time of a connect that succeeds or is refused, and of a hop.
const ROUND_TRIP: Duration = Duration::from_millis(3);

/// Longest time until a host's news reach its peers.
const MAX_NEWS_DELAY_MS: u64 = 600;

/// Interval at which hosts look for trials that are due.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Connects and hops of one attempt.
const MAX_TRIES: usize = 4;

/// How large a world is.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of services.
    pub services: usize,
    /// Servers of each service.
    pub servers: usize,
}

/// When hosts are partitioned from the servers of some services.
#[derive(Clone, Debug)]
pub struct WorldCut {
    /// Numbers of the hosts.
    pub hosts: BTreeSet<usize>,
    /// Numbers of the services.
    pub services: BTreeSet<usize>,
    /// How connects fail.
    pub failure: OpenFailure,
    /// Begin of the cut.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
    /// Whether the cut is there only in every other second.
    pub is_flapping: bool,
}

impl WorldCut {
    fn holds(&self, now: Timestamp, host: usize, service: usize) -> bool {
        let since = now.since(Timestamp::default() + self.from);
        now >= Timestamp::default() + self.from
            && now < Timestamp::default() + self.to
            && (!self.is_flapping || since.as_secs().is_multiple_of(2))
            && self.hosts.contains(&host)
            && self.services.contains(&service)
    }
}

/// First tries at a group of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TryCount {
    /// Requests that were sent.
    pub sent: usize,
    /// Those that were served in time.
    pub served: usize,
}

impl TryCount {
    /// Returns the share that was served.
    pub fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// What was seen of a world from a time on.
#[derive(Clone, Debug, Default)]
pub struct WorldReport {
    /// First tries at the hosts that are cut off, and at the others.
    pub cut: TryCount,
    /// First tries at the others.
    pub others: TryCount,
    /// Attempts that each host forwarded for others.
    pub forwarded: BTreeMap<usize, usize>,
    /// Trials of all hosts.
    pub trials: usize,
    /// Requests that ended without an answer, and the longest time that one of them took.
    pub unserved: usize,
    /// The longest time until a request was given up.
    pub longest_refusal: Duration,
}

struct WorldHost {
    name: HostId,
    zone: usize,
    reach: ReachTable,
    forwarders: ForwarderTable,
    /// Services that peers know it does not reach.
    told: BTreeSet<ServiceName>,
}

/// A request on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorldRequest {
    host: usize,
    service: usize,
    server: usize,
    asked_at: Timestamp,
    tries: usize,
    peers: Vec<HostId>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Ask(usize),
    /// A connect of a host failed.
    Unopened(WorldRequest, Timestamp),
    /// A connect of a peer that forwards failed.
    PeerUnopened(WorldRequest, usize, Timestamp),
    Look(usize),
    Tell(usize, BTreeSet<ServiceName>),
}

/// A world in virtual time.
pub struct ReachWorld {
    random: ChaCha8Rng,
    now: Timestamp,
    hosts: Vec<WorldHost>,
    services: Vec<(ServiceName, Vec<ServerKey>)>,
    cut: WorldCut,
    /// Services whose servers are all down.
    down: BTreeSet<usize>,
    events: BinaryHeap<Reverse<(Timestamp, u64, WorldEvent)>>,
    next_event: u64,
    judged_from: Timestamp,
    report: WorldReport,
}

impl ReachWorld {
    /// Builds a world in which nothing has happened.
    pub fn new(seed: u64, size: WorldSize, cut: WorldCut, down: BTreeSet<usize>) -> Self {
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let name = |service: usize| format!("service-{service}");
        let services = (0..size.services).map(|service| {
            let servers = (0..size.servers).map(|_| keys.insert(())).collect();
            (ServiceName::try_from(name(service).as_str()).expect("valid in tests"), servers)
        });
        let services = services.collect();
        let hosts = (0..size.hosts).map(|host| WorldHost {
            name: HostId::try_from(format!("host-{host}").as_str()).expect("valid in tests"),
            zone: host * size.zones / size.hosts,
            reach: ReachTable::default(),
            forwarders: ForwarderTable::default(),
            told: BTreeSet::new(),
        });
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::default(),
            hosts: hosts.collect(),
            services,
            cut,
            down,
            events: BinaryHeap::new(),
            next_event: 0,
            judged_from: Timestamp::default(),
            report: WorldReport::default(),
        };
        for host in 0..size.hosts {
            let lead = world.random.random_range(0..REQUEST_PERIOD.as_millis() as u64);
            world.push(Duration::from_millis(lead), WorldEvent::Ask(host));
            world.push(LOOK_PERIOD, WorldEvent::Look(host));
        }
        world
    }

    /// Runs until a time, and reports what happened from `judged_from` on.
    pub fn run(&mut self, judged_from: Duration, until: Duration) -> WorldReport {
        self.judged_from = Timestamp::default() + judged_from;
        self.report = WorldReport::default();
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at < Timestamp::default() + until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.take_event(event);
        }
        std::mem::take(&mut self.report)
    }

    fn push(&mut self, after: Duration, event: WorldEvent) {
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, self.next_event, event)));
    }

    fn take_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Ask(host) => {
                self.push(REQUEST_PERIOD, WorldEvent::Ask(host));
                let service = self.random.random_range(0..self.services.len());
                let asked_at = self.now;
                let request = WorldRequest {
                    host,
                    service,
                    server: 0,
                    asked_at,
                    tries: 0,
                    peers: Vec::new(),
                };
                self.attempt(request);
            }
            WorldEvent::Unopened(request, begun_at) => {
                self.on_unopened(request.host, request.service, request.server, begun_at);
                let (service, _) = &self.services[request.service];
                let is_own = match self.cut.failure {
                    OpenFailure::TimedOut => true,
                    OpenFailure::Refused => {
                        self.hosts[request.host].reach.is_service_unreached(service)
                    }
                    // It may have run, so that only the next attempt goes elsewhere.
                    OpenFailure::Lost => false,
                };
                if is_own { self.forward(request) } else { self.attempt(request) }
            }
            WorldEvent::PeerUnopened(request, peer, begun_at) => {
                self.on_unopened(peer, request.service, request.server, begun_at);
                match self.cut.failure {
                    OpenFailure::Lost => self.attempt(request),
                    OpenFailure::TimedOut | OpenFailure::Refused => {
                        self.on_hop_failed(request, peer);
                    }
                }
            }
            WorldEvent::Look(host) => {
                self.push(LOOK_PERIOD, WorldEvent::Look(host));
                self.run_trials(host);
                self.tell(host);
            }
            WorldEvent::Tell(host, unreached) => self.hosts[host].told = unreached,
        }
    }

    /// Sends an attempt to a server.
    fn attempt(&mut self, mut request: WorldRequest) {
        if request.tries >= MAX_TRIES {
            return self.finish(&request, false);
        }
        request.tries += 1;
        let (service, servers) = &self.services[request.service];
        request.server = self.random.random_range(0..servers.len());
        let (key, host) = (servers[request.server], request.host);
        let path = self.hosts[host].reach.path(key, service);
        let is_silent = self.hosts[host].reach.is_silent(self.now, key, service);
        let has_peer = self.choose_peer(&request).is_some();
        if path != ServerPath::Direct && has_peer {
            return self.forward(request);
        }
        if path == ServerPath::Forwarded && is_silent {
            return self.attempt(request);
        }
        match self.is_cut(host, request.service) {
            true => {
                let event = WorldEvent::Unopened(request, self.now);
                self.push(self.connect_time(), event);
            }
            false => {
                self.on_opened(host, request.service, request.server);
                self.finish(&request, true);
            }
        }
    }

    /// Sends an attempt over a peer.
    fn forward(&mut self, request: WorldRequest) {
        let Some(peer) = self.choose_peer(&request) else { return self.attempt(request) };
        let peer = self.hosts.iter().position(|host| host.name == peer.host).unwrap_or_default();
        let (service, servers) = &self.services[request.service];
        let key = servers[request.server];
        if self.hosts[peer].reach.path(key, service) != ServerPath::Direct {
            return self.on_hop_failed(request, peer);
        }
        if self.is_cut(peer, request.service) {
            let event = WorldEvent::PeerUnopened(request, peer, self.now);
            return self.push(self.connect_time(), event);
        }
        if self.now >= self.judged_from {
            *self.report.forwarded.entry(peer).or_default() += 1;
        }
        self.hosts[request.host].reach.on_peer_answered(self.now, key, service);
        self.on_opened(peer, request.service, request.server);
        self.finish(&request, true);
    }

    fn on_hop_failed(&mut self, mut request: WorldRequest, peer: usize) {
        let name = self.hosts[peer].name.clone();
        self.hosts[request.host].forwarders.on_failed(
            self.now,
            &name,
            &self.services[request.service].0,
        );
        request.peers.push(name);
        match request.peers.len() < MAX_TRIES - 1 && self.choose_peer(&request).is_some() {
            true => self.forward(request),
            false => self.attempt(request),
        }
    }

    fn finish(&mut self, request: &WorldRequest, is_answered: bool) {
        if request.asked_at < self.judged_from {
            return;
        }
        let elapsed = (self.now + ROUND_TRIP).since(request.asked_at);
        let is_served = is_answered && elapsed <= DEADLINE;
        let count = match self.cut.hosts.contains(&request.host) {
            true => &mut self.report.cut,
            false => &mut self.report.others,
        };
        count.sent += 1;
        count.served += usize::from(is_served);
        if !is_served {
            self.report.unserved += 1;
            self.report.longest_refusal = self.report.longest_refusal.max(elapsed);
        }
    }

    fn run_trials(&mut self, host: usize) {
        for service in 0..self.services.len() {
            let (name, servers) = &self.services[service];
            let due = self.hosts[host].reach.take_trials(self.now, name, servers);
            for key in due {
                let server = self.services[service].1.iter().position(|other| *other == key);
                let Some(server) = server else { continue };
                self.report.trials += usize::from(self.now >= self.judged_from);
                match self.is_cut(host, service) && self.cut.failure != OpenFailure::Lost {
                    true => self.on_unopened(host, service, server, self.now),
                    false => self.on_stayed_open(host, service, server),
                }
                self.hosts[host].reach.end_trial(key);
            }
        }
        self.hosts[host].reach.expire(self.now);
    }

    fn tell(&mut self, host: usize) {
        let unreached = self.hosts[host].reach.unreached_services().cloned().collect();
        if self.hosts[host].told != unreached {
            let delay = Duration::from_millis(self.random.random_range(0..MAX_NEWS_DELAY_MS));
            self.push(delay, WorldEvent::Tell(host, unreached));
        }
    }

    fn choose_peer(&mut self, request: &WorldRequest) -> Option<ForwarderPeer> {
        let (service, own) = (&self.services[request.service].0, &self.hosts[request.host]);
        let mut scope = ForwarderScope::default();
        for (number, peer) in self.hosts.iter().enumerate() {
            if number == request.host {
                continue;
            }
            let is_near = peer.zone == own.zone;
            if peer.told.contains(service) {
                scope.near_unreached += usize::from(is_near);
            } else {
                let address = ([127, 0, 0, 1], 0).into();
                scope.peers.push(ForwarderPeer { host: peer.name.clone(), address, is_near });
            }
        }
        let peers = own.forwarders.usable(self.now, &scope, service, &request.peers);
        choose_forwarder(peers, &scope, &own.name, &mut self.random)
    }

    fn on_opened(&mut self, host: usize, service: usize, server: usize) {
        let (name, servers) = &self.services[service];
        self.hosts[host].reach.on_opened(self.now, servers[server], name, servers);
    }

    fn on_stayed_open(&mut self, host: usize, service: usize, server: usize) {
        let (name, servers) = &self.services[service];
        self.hosts[host].reach.on_stayed_open(self.now, servers[server], name, servers);
    }

    fn on_unopened(&mut self, host: usize, service: usize, server: usize, begun_at: Timestamp) {
        let (name, servers) = &self.services[service];
        let open = (begun_at, self.cut.failure);
        self.hosts[host].reach.on_open_failed(self.now, servers[server], name, open, servers);
    }

    fn is_cut(&self, host: usize, service: usize) -> bool {
        self.down.contains(&service) || self.cut.holds(self.now, host, service)
    }

    fn connect_time(&self) -> Duration {
        match self.cut.failure {
            OpenFailure::TimedOut => CONNECT_TIMEOUT,
            OpenFailure::Refused | OpenFailure::Lost => ROUND_TRIP,
        }
    }
}
