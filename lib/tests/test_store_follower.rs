//! The tasks that read and write the store, on a virtual clock: lost long polls, outages, read
//! intervals, and records that a restored store has lost.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomelostack_lib::gateway::duty_lease::DutyGrant;
use pomelostack_lib::gateway::duty_lease::DutyTimings;
use pomelostack_lib::gateway::gateway_metrics::GatewayMetrics;
use pomelostack_lib::gateway::gateway_settings::GatewaySettings;
use pomelostack_lib::gateway::gateway_state::GatewayState;
use pomelostack_lib::gateway::host_summary::build_summary;
use pomelostack_lib::gateway::host_summary::on_summary;
use pomelostack_lib::gateway::peer_gossip::exchange_addresses;
use pomelostack_lib::gateway::peer_gossip::record_spending;
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
use pomelostack_lib::gateway::quota::quota_limiter::PeerReachability;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaBounds;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaClaim;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaRequest;
use pomelostack_lib::gateway::request_rank::RequestRank;
use pomelostack_lib::gateway::retry_limiter::RetryBounds;
use pomelostack_lib::gateway::rollout::exposure_meter::RolloutBounds;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRead;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRecord;
use pomelostack_lib::gateway::serving_config::CallerLimits;
use pomelostack_lib::gateway::serving_config::ServingConfig;
use pomelostack_lib::gateway::serving_config::TeamQuota;
use pomelostack_lib::gateway::store_follower::follow_config;
use pomelostack_lib::gateway::store_follower::follow_directory;
use pomelostack_lib::ids::GroupGeneration;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::ids::ZoneName;
use rstest::rstest;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time within which a change must be in force on every host.
const CHANGE_BOUND: Duration = Duration::from_secs(3);

/// Time between two summaries of a host.
const SUMMARY_PERIOD: Duration = Duration::from_millis(400);

/// How the store responds to reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    Answer,
    /// The store never answers a long poll, even when a record arrives.
    LoseLongPolls,
    /// The store never answers a read that begins meanwhile.
    Silent,
    Refuse,
}

/// Timeout of a read that is not a long poll, and of a long poll beyond its wait.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A store whose configuration changes version by version.
struct FakeStore {
    version: Cell<u64>,
    mode: Cell<ReadMode>,
    config_reads: Cell<u32>,
    /// Times of the directory reads.
    directory_reads: RefCell<Vec<Instant>>,
    era: Cell<StoreEra>,
    addresses_published: Cell<u32>,
    spending_recorded: Cell<u32>,
}

impl FakeStore {
    fn new() -> Self {
        Self {
            version: Cell::new(1),
            mode: Cell::new(ReadMode::Answer),
            config_reads: Cell::new(0),
            directory_reads: RefCell::default(),
            era: Cell::default(),
            addresses_published: Cell::new(0),
            spending_recorded: Cell::new(0),
        }
    }

    fn answer(&self) -> ConfigRead {
        let version = self.version.get();
        ConfigRead {
            config: Some(config(version)),
            next: LogOffset(version),
            skipped: Vec::new(),
            orders: Vec::new(),
            bounds: bounds_at(version),
        }
    }
}

fn bounds_at(end: u64) -> LogBounds {
    LogBounds { end: LogOffset(end), ..LogBounds::default() }
}

fn config(version: u64) -> ServingConfig {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    ServingConfig::new(version, Vec::new(), Vec::new(), limits, None)
}

impl ControlStore for FakeStore {
    async fn read_config(&self, from: Option<LogOffset>, wait: Duration) -> Result<ConfigRead> {
        self.config_reads.set(self.config_reads.get() + 1);
        if self.mode.get() == ReadMode::Silent {
            sleep(wait + CLIENT_TIMEOUT).await;
            return Err(PlatformError::Unanswered("timed out".to_owned()));
        }
        if self.mode.get() == ReadMode::Refuse {
            return Err(PlatformError::Refused(503));
        }
        let known = from.map_or(0, |from| from.0);
        if wait.is_zero() || self.version.get() > known {
            return Ok(self.answer());
        }
        let long_poll = async {
            while self.version.get() <= known || self.mode.get() != ReadMode::Answer {
                sleep(Duration::from_millis(10)).await;
            }
        };
        // A long poll that times out returns no record. A lost one never returns; a real client
        // times out.
        match tokio::time::timeout(wait, long_poll).await {
            Ok(()) => Ok(self.answer()),
            Err(_) if self.mode.get() == ReadMode::LoseLongPolls => pending().await,
            Err(_) if self.mode.get() == ReadMode::Refuse => Err(PlatformError::Refused(503)),
            Err(_) => Ok(ConfigRead {
                config: None,
                next: LogOffset(known),
                skipped: Vec::new(),
                orders: Vec::new(),
                bounds: bounds_at(known),
            }),
        }
    }

    async fn read_directory(&self, from: Option<LogOffset>) -> Result<DirectoryRead> {
        self.directory_reads.borrow_mut().push(Instant::now());
        if self.mode.get() == ReadMode::Refuse {
            return Err(PlatformError::Refused(503));
        }
        let next = LogOffset(0);
        let complete = from.is_none();
        let bounds = LogBounds::default();
        Ok(DirectoryRead { changes: Vec::new(), complete, next, skipped: Vec::new(), bounds })
    }

    async fn publish_address(&self, _: &HostAddress) -> Result<StoreEra> {
        self.addresses_published.set(self.addresses_published.get() + 1);
        Ok(self.era.get())
    }

    async fn list_addresses(&self) -> Result<Vec<HostAddress>> {
        Ok(Vec::new())
    }

    async fn record_spending(&self, _: Vec<u8>) -> Result<StoreEra> {
        self.spending_recorded.set(self.spending_recorded.get() + 1);
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
        Ok(AppendOutcome::Appended { era: StoreEra::default(), offset: at })
    }
}

fn state() -> Rc<GatewayState> {
    host_state(1)
}

fn host_state(number: u16) -> Rc<GatewayState> {
    let address = SocketAddr::from(([127, 0, 0, 1], number));
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

fn version_of(state: &GatewayState) -> u64 {
    state.config.borrow().current().map_or(0, |config| config.version)
}

/// Runs a test on a virtual clock.
fn run_simulation<F: Future<Output = ()>>(simulation: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("valid in tests");
    LocalSet::new().block_on(&runtime, simulation);
}

/// Waits until a version is in force. Returns how long it took.
async fn time_until(state: &GatewayState, version: u64) -> Duration {
    let start = Instant::now();
    while version_of(state) < version {
        sleep(Duration::from_millis(10)).await;
        assert!(start.elapsed() < Duration::from_secs(60), "version {version} was never adopted");
    }
    start.elapsed()
}

#[test]
fn lost_long_poll() {
    // A degraded store never answers its long polls. A peer whose read was answered announces the
    // newer version, and this host reads it at once instead of waiting for its own long poll.
    run_simulation(async {
        let (state, store) = (state(), Rc::new(FakeStore::new()));
        spawn_local(follow_config(state.clone(), store.clone()));
        time_until(&state, 1).await;
        store.mode.set(ReadMode::LoseLongPolls);
        sleep(Duration::from_millis(100)).await;
        store.version.set(2);
        sleep(Duration::from_millis(400)).await;
        assert_eq!(version_of(&state), 1, "the long poll was lost");
        state.config_hint.notify_one();
        assert!(time_until(&state, 2).await < CHANGE_BOUND);
    });
}

#[test]
fn change_after_outage() {
    run_simulation(async {
        let (state, store) = (state(), Rc::new(FakeStore::new()));
        spawn_local(follow_config(state.clone(), store.clone()));
        time_until(&state, 1).await;
        store.mode.set(ReadMode::Refuse);
        store.version.set(2);
        sleep(Duration::from_secs(30)).await;
        assert_eq!(version_of(&state), 1, "the last version stays in force during the outage");
        let asked = store.config_reads.get();
        store.mode.set(ReadMode::Answer);
        assert!(time_until(&state, 2).await < CHANGE_BOUND);
        assert!(asked < 30 * 4, "the backoff grows during an outage: {asked} reads");
    });
}

#[test]
fn lone_host_reads_often() {
    // A host without peers must not lengthen its read interval, neither in an outage nor after it.
    run_simulation(async {
        let (state, store) = (state(), Rc::new(FakeStore::new()));
        spawn_local(follow_directory(state.clone(), store.clone()));
        sleep(Duration::from_secs(20)).await;
        store.mode.set(ReadMode::Refuse);
        sleep(Duration::from_secs(5)).await;
        store.mode.set(ReadMode::Answer);
        sleep(Duration::from_secs(20)).await;
        let reads = store.directory_reads.borrow();
        let longest = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest <= Some(Duration::from_secs(2)), "{longest:?}");
        assert!((45 / 2..45 * 4).contains(&reads.len()), "{} reads", reads.len());
    });
}

/// Lets the hosts exchange summaries.
async fn gossip(hosts: Vec<Rc<GatewayState>>) {
    for sequence in 1.. {
        for sender in &hosts {
            let summary = build_summary(sender, sequence);
            let others = hosts.iter().filter(|host| !Rc::ptr_eq(host, sender));
            others.for_each(|host| on_summary(host, summary.clone()));
        }
        sleep(SUMMARY_PERIOD).await;
    }
}

#[rstest]
#[case::alone(1, 200, Duration::from_secs(3))]
#[case::small(7, 200, Duration::from_secs(3))]
#[case::large(70, 1_300, Duration::from_secs(4))]
fn blind_after_silence(#[case] count: u16, #[case] step_ms: usize, #[case] bound: Duration) {
    // While the store is silent, every host's long poll is lost. No peer has a newer version, so
    // each host must notice by itself that it would not hear of a change.
    for silence_ms in (300..6_000).step_by(step_ms) {
        run_simulation(async move {
            let store = Rc::new(FakeStore::new());
            let hosts: Vec<_> = (1..=count).map(host_state).collect();
            for host in &hosts {
                spawn_local(follow_config(host.clone(), store.clone()));
            }
            spawn_local(gossip(hosts.clone()));
            sleep(Duration::from_secs(21)).await;
            store.mode.set(ReadMode::Silent);
            sleep(Duration::from_millis(silence_ms)).await;
            store.mode.set(ReadMode::Answer);
            store.version.set(2);
            let returned_at = Instant::now();
            for host in &hosts {
                time_until(host, 2).await;
                let late = returned_at.elapsed();
                assert!(late < bound, "{late:?} after {silence_ms} ms of silence");
            }
        });
    }
}

/// Raises the store's era, which the host learns from another call.
fn restore(state: &GatewayState, store: &FakeStore) {
    let era = StoreEra(store.era.get().0 + 1);
    store.era.set(era);
    state.observe_era(era);
}

#[test]
fn lost_address_published() {
    run_simulation(async {
        let (state, store) = (state(), Rc::new(FakeStore::new()));
        spawn_local(exchange_addresses(state.clone(), store.clone()));
        sleep(Duration::from_secs(60)).await;
        assert_eq!(store.addresses_published.get(), 1);
        for restores in 1..=3 {
            restore(&state, &store);
            sleep(CHANGE_BOUND).await;
            assert_eq!(store.addresses_published.get(), 1 + restores);
        }
    });
}

#[test]
fn lost_spending_recorded() {
    run_simulation(async {
        let (state, store) = (state(), Rc::new(FakeStore::new()));
        spawn_local(record_spending(state.clone(), store.clone()));
        let team = TeamName::try_from("club").expect("valid in tests");
        let quota = TeamQuota { rate: 100_000, burst: 0 };
        let reachability = PeerReachability::Majority { silent: 0, known: 2 };
        let request = QuotaRequest {
            units: 400_000,
            claim: QuotaClaim::New,
            rank: RequestRank { priority: 0, route: 0 },
            has_asked: false,
        };
        state.quotas.borrow_mut().admit(state.now(), &team, quota, request, reachability);
        assert!(state.quotas.borrow().must_record());
        state.record_hint.notify_one();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(store.spending_recorded.get(), 1);
        restore(&state, &store);
        sleep(CHANGE_BOUND).await;
        assert_eq!(store.spending_recorded.get(), 2);
    });
}
