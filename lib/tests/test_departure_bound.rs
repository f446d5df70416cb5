//! Servers that leave while hosts join, restart, lose summaries or reads, on a virtual clock: until when
//! each host of a fleet may still choose the server.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::gateway::duty_lease::DutyGrant;
use pomelostack_lib::gateway::duty_lease::DutyTimings;
use pomelostack_lib::gateway::gateway_metrics::GatewayMetrics;
use pomelostack_lib::gateway::gateway_settings::GatewaySettings;
use pomelostack_lib::gateway::gateway_state::GatewayState;
use pomelostack_lib::gateway::host_summary::build_summary;
use pomelostack_lib::gateway::host_summary::on_summary;
use pomelostack_lib::gateway::platform_api::AppendOutcome;
use pomelostack_lib::gateway::platform_api::ConfigRead;
use pomelostack_lib::gateway::platform_api::ControlStore;
use pomelostack_lib::gateway::platform_api::DirectoryRead;
use pomelostack_lib::gateway::platform_api::HostAddress;
use pomelostack_lib::gateway::platform_api::LogBounds;
use pomelostack_lib::gateway::platform_api::PlatformError;
use pomelostack_lib::gateway::platform_api::RecordsRead;
use pomelostack_lib::gateway::platform_api::Result;
use pomelostack_lib::gateway::platform_api::VersionsRead;
use pomelostack_lib::gateway::platform_api::WriterPlace;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaBounds;
use pomelostack_lib::gateway::retry_limiter::RetryBounds;
use pomelostack_lib::gateway::rollout::exposure_meter::RolloutBounds;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRead;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRecord;
use pomelostack_lib::gateway::store_follower::follow_directory;
use pomelostack_lib::ids::GroupGeneration;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::software_version::SoftwareVersion;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time after the store's acknowledgement from which on a server that leaves gets no request.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Time that a request takes from the last check to its server.
const SEND_TIME: Duration = Duration::from_millis(50);

/// Uptime after which a host is held to the bound.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Timeout of a read.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of listed servers, each of which updates its entry once per [`UPDATE_PERIOD`].
const SERVERS: u64 = 12;
const UPDATE_PERIOD: Duration = Duration::from_millis(1_300);

/// A store with a directory of servers.
struct DirectoryStore {
    records: RefCell<Vec<DirectoryChange>>,
    era: Cell<StoreEra>,
    reads: Cell<u64>,
    random: RefCell<ChaCha8Rng>,
    /// Share of the reads that are never answered.
    hung_share: Cell<f64>,
}

impl DirectoryStore {
    fn new(seed: u64) -> Self {
        Self {
            records: RefCell::default(),
            era: Cell::default(),
            reads: Cell::new(0),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            hung_share: Cell::new(0.0),
        }
    }

    fn append(&self, change: DirectoryChange) {
        self.records.borrow_mut().push(change);
    }

    fn chance(&self, share: f64) -> bool {
        self.random.borrow_mut().random_bool(share)
    }

    fn millis(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.borrow_mut().random_range(range))
    }

    /// Returns the records from an offset, or the newest one of each listed server.
    fn read(&self, from: Option<LogOffset>) -> DirectoryRead {
        let records = self.records.borrow();
        let next = LogOffset(records.len() as u64);
        let numbered = records.iter().enumerate();
        let numbered = numbered.map(|(offset, change)| (LogOffset(offset as u64), change.clone()));
        let changes: Vec<_> = match from {
            Some(from) => numbered.skip(from.0 as usize).collect(),
            None => {
                let mut newest = std::collections::BTreeMap::new();
                for (offset, change) in numbered {
                    match &change {
                        DirectoryChange::Present(entry) => {
                            newest.insert(entry.id.clone(), (offset, change));
                        }
                        DirectoryChange::Absent(id) => {
                            newest.remove(id);
                        }
                    }
                }
                newest.into_values().collect()
            }
        };
        let bounds = LogBounds { era: self.era.get(), end: next, ..LogBounds::default() };
        DirectoryRead { changes, complete: from.is_none(), next, skipped: Vec::new(), bounds }
    }
}

impl ControlStore for DirectoryStore {
    async fn read_directory(&self, from: Option<LogOffset>) -> Result<DirectoryRead> {
        self.reads.set(self.reads.get() + 1);
        if self.chance(self.hung_share.get()) {
            sleep(CLIENT_TIMEOUT).await;
            return Err(PlatformError::Unanswered("timed out".to_owned()));
        }
        sleep(self.millis(1..15)).await;
        if from.is_some_and(|from| from.0 > self.records.borrow().len() as u64) {
            return Err(PlatformError::RecordsDropped { first: LogOffset(0) });
        }
        let read = self.read(from);
        sleep(self.millis(1..30)).await;
        Ok(read)
    }

    async fn read_config(&self, _: Option<LogOffset>, _: Duration) -> Result<ConfigRead> {
        std::future::pending().await
    }

    async fn publish_address(&self, _: &HostAddress) -> Result<StoreEra> {
        Ok(self.era.get())
    }

    async fn list_addresses(&self) -> Result<Vec<HostAddress>> {
        Ok(Vec::new())
    }

    async fn record_spending(&self, _: Vec<u8>) -> Result<StoreEra> {
        Ok(self.era.get())
    }

    async fn list_spending(&self) -> Result<Vec<Vec<u8>>> {
        Ok(Vec::new())
    }

    async fn record_verdicts(&self, _: Vec<u8>) -> Result<StoreEra> {
        Ok(self.era.get())
    }

    async fn list_verdicts(&self) -> Result<Vec<Vec<u8>>> {
        Ok(Vec::new())
    }

    async fn read_versions(&self) -> Result<VersionsRead> {
        Ok(VersionsRead::default())
    }

    async fn record_streams(&self, _: Vec<u8>, _: WriterPlace) -> Result<StoreEra> {
        Ok(self.era.get())
    }

    async fn append_base(
        &self,
        at: LogOffset,
        _: &ServiceName,
        _: Vec<u8>,
    ) -> Result<AppendOutcome> {
        Ok(AppendOutcome::Appended { era: self.era.get(), offset: at })
    }

    async fn read_statuses(&self, _: Option<LogOffset>, _: Duration) -> Result<StatusRead> {
        Ok(StatusRead::default())
    }

    async fn append_status(&self, at: LogOffset, _: &StatusRecord) -> Result<AppendOutcome> {
        Ok(AppendOutcome::Appended { era: self.era.get(), offset: at })
    }

    async fn renew_duty(&self, generation: GroupGeneration) -> Result<DutyGrant> {
        Ok(DutyGrant { generation, held: false, own_partitions: 0, all_partitions: 0 })
    }

    async fn leave_duty(&self) -> Result<()> {
        Ok(())
    }

    async fn read_usage(&self, next: LogOffset) -> Result<RecordsRead> {
        Ok(RecordsRead { records: Vec::new(), next, bounds: LogBounds::default() })
    }

    async fn append_usage(&self, at: LogOffset, _: Vec<u8>) -> Result<AppendOutcome> {
        Ok(AppendOutcome::Appended { era: self.era.get(), offset: at })
    }
}

fn server_name(number: u64) -> ServerId {
    ServerId::try_from(format!("s{number}").as_str()).expect("valid in tests")
}

fn entry(number: u64, state: ServingState, sequence: u64) -> DirectoryChange {
    DirectoryChange::Present(BackendEntry {
        id: server_name(number),
        service: ServiceName::try_from("chat").expect("valid in tests"),
        address: "10.0.1.1:8000".parse().expect("valid in tests"),
        zone: ZoneName::try_from("north").expect("valid in tests"),
        version: SoftwareVersion::UNSTATED,
        state,
        slots: 2,
        started_at_ms: Some(1),
        reclaimable: false,
        reclaimed_in: None,
        sequence: Some(sequence),
    })
}

/// One run of a host.
#[derive(Clone)]
struct FleetHost {
    state: Rc<GatewayState>,
    started_at: Instant,
    /// Number of the run; told in summaries, since a virtual clock has no wall clock.
    run: u64,
    tasks: Rc<Vec<JoinHandle<()>>>,
}

struct Fleet {
    store: Rc<DirectoryStore>,
    hosts: RefCell<Vec<FleetHost>>,
    /// Share of the summaries that are lost.
    lost_share: Cell<f64>,
    summary_bytes: Cell<(u64, u64)>,
}

impl Fleet {
    /// Starts a host, or starts it again.
    fn start(self: &Rc<Self>, number: usize) {
        let run = self.hosts.borrow().get(number).map_or(1, |known| {
            known.tasks.iter().for_each(JoinHandle::abort);
            known.run + 1
        });
        let state = host_state(number as u16);
        // A host hears of the others with its first list of hosts.
        state.peers.borrow_mut().on_list_read();
        let follow = spawn_local(follow_directory(state.clone(), self.store.clone()));
        let send = spawn_local(send_summaries(self.clone(), number));
        let tasks = Rc::new(vec![follow, send]);
        let host = FleetHost { state, started_at: Instant::now(), run, tasks };
        let mut hosts = self.hosts.borrow_mut();
        match hosts.get_mut(number) {
            Some(known) => *known = host,
            None => hosts.push(host),
        }
    }

    fn host(&self, number: usize) -> FleetHost {
        self.hosts.borrow()[number].clone()
    }

    /// Returns the numbers of the hosts that have been up for a while and may choose a server.
    fn hosts_that_use(&self, server: &ServerId) -> Vec<usize> {
        let uses = |host: &FleetHost| {
            let directory = host.state.directory.borrow();
            let listed = directory.find(server).and_then(|key| directory.get(key));
            listed.is_some_and(|listed| listed.draining_since.is_none() && !listed.is_missing)
        };
        let hosts = self.hosts.borrow();
        let held = |host: &FleetHost| host.started_at.elapsed() >= CONTACT_TIME;
        let using = hosts.iter().enumerate().filter(|(_, host)| held(host) && uses(host));
        using.map(|(number, _)| number).collect()
    }
}

/// Sends summaries at the pace of a host of a fleet of this size.
async fn send_summaries(fleet: Rc<Fleet>, number: usize) {
    for sequence in 1.. {
        let count = fleet.hosts.borrow().len() as u64;
        let max_ms = if count > 128 { 600 } else { 400 };
        let min_ms = (count * 5).clamp(40, max_ms);
        sleep(Duration::from_millis(min_ms)).await;
        let host = fleet.host(number);
        tokio::select! {
            () = sleep(Duration::from_millis(max_ms - min_ms)) => {}
            () = host.state.summary_hint.notified() => {}
        }
        let mut summary = build_summary(&host.state, sequence);
        summary.incarnation = host.run;
        summary.period_ms = max_ms as u32;
        let bytes = prost::Message::encoded_len(&summary) as u64;
        let (sent, size) = fleet.summary_bytes.get();
        fleet.summary_bytes.set((sent + 1, size + bytes));
        let transit = match count {
            0..=12 => fleet.store.millis(1..5),
            13..=128 => fleet.store.millis(2..20),
            _ => fleet.store.millis(50..200),
        };
        let fleet = fleet.clone();
        spawn_local(async move {
            sleep(transit).await;
            let others: Vec<FleetHost> = fleet.hosts.borrow().clone();
            for (other, host) in others.iter().enumerate() {
                if other != number && !fleet.store.chance(fleet.lost_share.get()) {
                    on_summary(&host.state, summary.clone());
                }
            }
        });
    }
}

fn host_state(number: u16) -> Rc<GatewayState> {
    let address = SocketAddr::from(([127, 0, 0, 1], number + 1));
    let settings = GatewaySettings {
        host: HostId::try_from(format!("h{number}").as_str()).expect("valid in tests"),
        zone: ZoneName::try_from("north").expect("valid in tests"),
        first_start: true,
        front: address,
        ready: address,
        metrics: address,
        summaries: address,
        grace: Duration::from_secs(8),
        retries: RetryBounds { ratio: 0.2, window: Duration::from_secs(10), allowance: 54.0 },
        quotas: QuotaBounds {
            window: Duration::from_secs(8),
            tolerance_ratio: 0.1,
            tolerance_units: 140_000.0,
        },
        rollouts: RolloutBounds::default(),
        duty: DutyTimings::for_lease(Duration::from_secs(3)),
        reports_usage: true,
        orders_servers: false,
        usage_window: Duration::from_secs(5),
        usage_report_deadline: Duration::from_secs(10),
    };
    Rc::new(GatewayState::new(settings, GatewayMetrics::new().expect("valid in tests")))
}

/// Lets the servers update their entries, but for those whose number is below `left`.
async fn update_entries(store: Rc<DirectoryStore>, left: Rc<Cell<u64>>) {
    let pause = UPDATE_PERIOD / SERVERS as u32;
    for sequence in 1.. {
        for number in 0..SERVERS {
            if number >= left.get() {
                store.append(entry(number, ServingState::Ready, sequence));
            }
            sleep(pause).await;
        }
    }
}

/// What the hosts do about the time at which a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FleetTrouble {
    Quiet,
    /// So many hosts are added.
    Added(usize),
    /// Each host but one starts again.
    Restarted,
    /// Each fourth host starts again.
    SomeRestarted,
    /// So many percent of the summaries are lost.
    LostSummaries(u32),
    /// So many percent of the reads hang until their timeout.
    HungReads(u32),
    /// The store came back from a copy, and has so many hosts more soon after.
    Restored(usize),
}

/// How a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    Draining,
    Removed,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct FleetReport {
    /// Longest time from an acknowledgement until no host uses the server.
    latest: Duration,
    reads_per_s: f64,
    summary_bytes: u64,
}

/// Starts a fleet before a store whose servers update their entries, and waits until its hosts are held to
/// the bound. The servers whose number is below the second value have left.
async fn start_fleet(count: usize, seed: u64) -> (Rc<Fleet>, Rc<Cell<u64>>) {
    let store = Rc::new(DirectoryStore::new(seed));
    (0..SERVERS).for_each(|number| store.append(entry(number, ServingState::Ready, 0)));
    let left = Rc::new(Cell::new(0));
    spawn_local(update_entries(store.clone(), left.clone()));
    let fleet = Rc::new(Fleet {
        store: store.clone(),
        hosts: RefCell::default(),
        lost_share: Cell::new(0.0),
        summary_bytes: Cell::default(),
    });
    (0..count).for_each(|number| fleet.start(number));
    sleep(CONTACT_TIME + store.millis(1_000..2_500)).await;
    (fleet, left)
}

async fn simulate(
    count: usize,
    trouble: FleetTrouble,
    leaving: Leaving,
    seed: u64,
    departures: u64,
) -> FleetReport {
    let (fleet, left) = start_fleet(count, seed).await;
    let store = fleet.store.clone();
    let (begun_at, reads) = (Instant::now(), store.reads.get());
    let mut report = FleetReport::default();
    for server in 0..departures {
        sleep(store.millis(300..2_000)).await;
        let apply = spawn_local(cause(fleet.clone(), trouble));
        sleep(store.millis(0..900)).await;
        left.set(server + 1);
        store.append(match leaving {
            Leaving::Draining => entry(server, ServingState::Draining, 1_000_000),
            Leaving::Removed => DirectoryChange::Absent(server_name(server)),
        });
        let acknowledged_at = Instant::now();
        loop {
            sleep(Duration::from_millis(20)).await;
            if acknowledged_at.elapsed() > DRAIN_BOUND * 4 {
                break;
            }
            // Those that start meanwhile may learn of it later.
            if !fleet.hosts_that_use(&server_name(server)).is_empty() {
                report.latest = report.latest.max(acknowledged_at.elapsed());
            } else if acknowledged_at.elapsed() > DRAIN_BOUND {
                break;
            }
        }
        apply.abort();
    }
    let elapsed = begun_at.elapsed().as_secs_f64();
    report.reads_per_s = (store.reads.get() - reads) as f64 / elapsed;
    let (sent, bytes) = fleet.summary_bytes.get();
    report.summary_bytes = bytes / sent.max(1);
    report
}

async fn cause(fleet: Rc<Fleet>, trouble: FleetTrouble) {
    let count = fleet.hosts.borrow().len();
    match trouble {
        FleetTrouble::Quiet => {}
        FleetTrouble::Added(added) => {
            sleep(fleet.store.millis(0..900)).await;
            (count..count + added).for_each(|number| fleet.start(number));
        }
        FleetTrouble::Restarted => {
            sleep(fleet.store.millis(0..900)).await;
            (1..count).for_each(|number| fleet.start(number));
        }
        FleetTrouble::SomeRestarted => {
            sleep(fleet.store.millis(0..900)).await;
            (0..count).filter(|number| number % 4 == 0).for_each(|number| fleet.start(number));
        }
        FleetTrouble::LostSummaries(percent) => fleet.lost_share.set(f64::from(percent) / 100.0),
        FleetTrouble::HungReads(percent) => {
            fleet.store.hung_share.set(f64::from(percent) / 100.0);
        }
        FleetTrouble::Restored(added) => {
            fleet.store.era.set(StoreEra(fleet.store.era.get().0 + 1));
            sleep(fleet.store.millis(0..300)).await;
            (count..count + added).for_each(|number| fleet.start(number));
        }
    }
}

/// Runs a simulation on a virtual clock.
fn run_simulation<T>(simulation: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("valid in tests");
    LocalSet::new().block_on(&runtime, simulation)
}

#[rstest]
#[case::added_8(8, FleetTrouble::Added(4), 12)]
#[case::added_12(12, FleetTrouble::Added(4), 12)]
#[case::restarted_12(12, FleetTrouble::Restarted, 12)]
#[case::some_restarted_70(70, FleetTrouble::SomeRestarted, 2)]
#[case::some_restarted_295(295, FleetTrouble::SomeRestarted, 1)]
#[case::lost_summaries_9(9, FleetTrouble::LostSummaries(60), 12)]
#[case::lost_summaries_70(70, FleetTrouble::LostSummaries(60), 2)]
#[case::hung_reads_9(9, FleetTrouble::HungReads(10), 12)]
#[case::hung_reads_70(70, FleetTrouble::HungReads(10), 2)]
#[case::restored_8(8, FleetTrouble::Restored(4), 4)]
#[case::quiet_8(8, FleetTrouble::Quiet, 12)]
#[case::quiet_12(12, FleetTrouble::Quiet, 12)]
#[case::quiet_70(70, FleetTrouble::Quiet, 2)]
#[case::quiet_295(295, FleetTrouble::Quiet, 1)]
fn late_departure(
    #[case] count: usize,
    #[case] trouble: FleetTrouble,
    #[case] runs: u64,
    #[values(Leaving::Draining, Leaving::Removed)] leaving: Leaving,
) {
    // Hosts added or restarted in the second in which a server left announced a listing as a read of
    // theirs, so that nobody told the departure, and some hosts read it up to five seconds later.
    let mut worst = FleetReport::default();
    for seed in 0..runs {
        let report = run_simulation(simulate(count, trouble, leaving, seed, 4));
        worst.latest = worst.latest.max(report.latest);
        worst.reads_per_s = worst.reads_per_s.max(report.reads_per_s);
        worst.summary_bytes = worst.summary_bytes.max(report.summary_bytes);
    }
    println!("{count} hosts, {trouble:?}, {leaving:?}: {worst:?}");
    assert!(worst.latest + SEND_TIME <= DRAIN_BOUND, "{worst:?}");
}

/// Age of the copy from which a store comes back: it loses the records of this time.
const COPY_AGE: Duration = Duration::from_millis(2_500);

async fn restore(count: usize, seed: u64) -> Duration {
    let (fleet, left) = start_fleet(count, seed).await;
    let store = fleet.store.clone();
    let kept = store.records.borrow().len();
    left.set(1);
    store.append(entry(0, ServingState::Draining, 1_000_000));
    sleep(COPY_AGE).await;
    store.records.borrow_mut().truncate(kept);
    store.era.set(StoreEra(1));
    (count..count + 4).for_each(|number| fleet.start(number));
    sleep(CONTACT_TIME + store.millis(500..1_500)).await;
    store.append(entry(0, ServingState::Draining, 1_000_001));
    let acknowledged_at = Instant::now();
    while !fleet.hosts_that_use(&server_name(0)).is_empty()
        && acknowledged_at.elapsed() <= DRAIN_BOUND * 4
    {
        sleep(Duration::from_millis(20)).await;
    }
    acknowledged_at.elapsed()
}

/// Hosts that knew a departure before a restore confirmed it to nobody, and hosts that had listed the
/// restored copy went on to use the server.
#[rstest]
#[case::hosts_8(8, 6)]
#[case::hosts_12(12, 6)]
#[case::hosts_70(70, 2)]
fn restored_departure(#[case] count: usize, #[case] runs: u64) {
    for seed in 0..runs {
        let latest = run_simulation(restore(count, seed));
        println!("{count} hosts, seed {seed}: {latest:?}");
        assert!(latest + SEND_TIME <= DRAIN_BOUND, "seed {seed}: {latest:?}");
    }
}
