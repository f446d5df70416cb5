//! Local cluster for the `dev` command and tests: entry hosts and platform stand-ins on loopback.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::config_publish::PublishOutcome;
use pomelostack_lib::config_record::ChangeAuthor;
use pomelostack_lib::config_record::ChangeId;
use pomelostack_lib::config_record::ConfigChange;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::entry::EntryError;
use pomelostack_lib::entry::EntryHost;
use pomelostack_lib::entry_leave::LeaveReason;
use pomelostack_lib::ids::NameError;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::resource::TokenHash;
use pomelostack_lib::settings::EntrySettings;
use pomelostack_lib::settings::SettingsError;
use pomelostack_lib::timestamp::wall_clock_ms;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use crate::app_standin::AppSettings;
use crate::engine_standin::EngineSettings;
use crate::http_standin::StandinError;
use crate::platform_standin::PlatformSettings;
use crate::platform_standin::PlatformStandin;

/// Name of the model service.
pub const MODEL_SERVICE: &str = "briefing";
/// Name of the app service.
pub const APP_SERVICE: &str = "lookup";
/// Teams with their bearer tokens.
pub const TEAMS: [(&str, &str); 2] =
    [("race-office", "dev-token-race-office"), ("sailors", "dev-token-sailors")];
/// Token of an operator with write access.
pub const OPERATOR_WRITE_TOKEN: &str = "dev-operator-write-token";
/// Token of an operator with read-only access.
pub const OPERATOR_READ_TOKEN: &str = "dev-operator-read-token";

/// Secret token shared by the entry hosts.
const PEER_TOKEN: &str = "dev-peer-secret-0000";
/// Maximum time to publish a configuration, and for an entry host to apply it.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Offset of an entry host's peer port from its HTTP port.
const PEER_PORT_OFFSET: u16 = 100;
/// Offset of an entry host's administration port from its HTTP port.
const ADMIN_PORT_OFFSET: u16 = 200;
/// Offset of the platform's first port from the first entry host's HTTP port.
const PLATFORM_PORT_OFFSET: u16 = 300;
/// Maximum number of entry hosts; more would make the port ranges overlap.
pub const MAX_ENTRY_HOSTS: u16 = 100;
/// Availability zones of the entry hosts, assigned round-robin, and of the platform.
const ZONES: [&str; 4] = ["salish-a", "salish-b", "salish-c", "salish-d"];

/// Error of starting a cluster.
#[derive(Debug, Error)]
pub enum DevError {
    /// A stand-in cannot start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// An entry host cannot start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// The generated settings of an entry host are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The configuration was rejected, or did not reach every entry host in time.
    #[error("cannot publish configuration: {0}")]
    Publish(String),
    /// The first port or the number of entry hosts is out of range.
    #[error(
        "the first port must be from 1 to 65,000 and the number of hosts from 1 to {MAX_ENTRY_HOSTS}"
    )]
    Ports,
}

/// Result of starting a cluster.
pub type Result<T> = std::result::Result<T, DevError>;

/// Layout and settings of a cluster.
#[derive(Clone, Debug)]
pub struct DevPlan {
    /// HTTP address of the first entry host; all other addresses are derived from it.
    pub http: SocketAddr,
    /// Number of entry hosts.
    pub hosts: u16,
    /// Initial number of model servers.
    pub model_servers: usize,
    /// Initial number of app servers.
    pub app_servers: usize,
    /// Settings of each model server.
    pub engine: EngineSettings,
    /// Settings of each app server.
    pub app: AppSettings,
    /// Top-level fields to add to or replace in each entry host's settings, as a JSON object.
    pub overrides: Value,
}

impl DevPlan {
    /// Returns a plan with the given first HTTP address and the latencies of a small model.
    ///
    /// Crashed servers restart after 2 s.
    pub fn new(http: SocketAddr, hosts: u16) -> Self {
        let engine = EngineSettings {
            prefill_tokens_per_s: 8_000.0,
            decode_step: Duration::from_millis(15),
            decode_step_slope: Duration::from_micros(200),
            load_lag: Duration::from_millis(500),
            cache_event_lag: Duration::from_millis(500),
            restart_after: Some(Duration::from_secs(2)),
            ..EngineSettings::default()
        };
        let app = AppSettings {
            service_time: Duration::from_millis(5),
            restart_after: Some(Duration::from_secs(2)),
            ..AppSettings::default()
        };
        let overrides = json!({});
        Self { http, hosts, model_servers: 4, app_servers: 2, engine, app, overrides }
    }

    /// Returns a plan for a test, with servers that add no delay.
    ///
    /// Each call uses its own loopback address, so that tests never compete for a port.
    pub fn for_test(hosts: u16) -> Self {
        let ip = unique_loopback();
        let plan = Self::new(SocketAddr::new(IpAddr::V4(ip), 8_080), hosts).without_delay();
        let overrides = json!({
            "calls": { "poll_interval_ms": 50, "log_poll_interval_ms": 20 },
            "drain_timeout_ms": 10_000,
        });
        Self { overrides, ..plan }
    }

    /// Returns the plan with servers that add no delay and stay down after a crash.
    pub fn without_delay(self) -> Self {
        Self { engine: EngineSettings::default(), app: AppSettings::default(), ..self }
    }

    fn check(&self) -> Result<()> {
        let fits = self.http.port() > 0 && self.http.port() <= 65_000;
        if fits && (1..=MAX_ENTRY_HOSTS).contains(&self.hosts) {
            Ok(())
        } else {
            Err(DevError::Ports)
        }
    }

    fn address(&self, index: u16, offset: u16) -> SocketAddr {
        SocketAddr::new(self.http.ip(), self.http.port() + offset + index)
    }

    /// Returns the HTTP address of an entry host.
    pub fn http_address(&self, index: u16) -> SocketAddr {
        self.address(index, 0)
    }

    /// Returns the administration address of an entry host.
    pub fn admin_address(&self, index: u16) -> SocketAddr {
        self.address(index, ADMIN_PORT_OFFSET)
    }

    /// Returns the address of the cloud stand-in.
    pub fn cloud_address(&self) -> SocketAddr {
        self.address(1, PLATFORM_PORT_OFFSET)
    }

    /// Returns the settings of an entry host as JSON.
    pub fn settings_json(&self, index: u16) -> Value {
        let platform = |part: u16| self.address(part, PLATFORM_PORT_OFFSET).to_string();
        let seeds = (0..self.hosts).filter(|&other| other != index).take(3);
        let peers = seeds.map(|other| self.address(other, PEER_PORT_OFFSET).to_string());
        let hash = |token: &str| TokenHash::of(token).to_hex();
        let mut settings = json!({
            "host": format!("entry-{}", index + 1),
            "region": "salish",
            "zone": ZONES[usize::from(index) % ZONES.len()],
            "listen": {
                "http": self.http_address(index).to_string(),
                "peer": self.address(index, PEER_PORT_OFFSET).to_string(),
                "admin": self.admin_address(index).to_string(),
            },
            "peers": peers.collect::<Vec<_>>(),
            "peer_token": PEER_TOKEN,
            "platform": {
                "log": platform(0), "cloud": platform(1), "host_list": platform(2),
            },
            "operators": [
                { "name": "dev", "role": "write", "token_hash": hash(OPERATOR_WRITE_TOKEN) },
                { "name": "guest", "role": "read", "token_hash": hash(OPERATOR_READ_TOKEN) },
            ],
        });
        if let (Some(fields), Some(overrides)) =
            (settings.as_object_mut(), self.overrides.as_object())
        {
            fields.extend(overrides.clone());
        }
        settings
    }

    /// Starts only the platform stand-ins.
    pub fn start_platform(&self) -> Result<PlatformStandin> {
        self.check()?;
        let model_service = ServiceName::try_from(MODEL_SERVICE)?;
        let app_service = ServiceName::try_from(APP_SERVICE)?;
        let zones = ZONES.into_iter().map(ZoneName::try_from);
        let settings = PlatformSettings {
            ip: self.http.ip(),
            first_port: Some(self.http.port() + PLATFORM_PORT_OFFSET),
            zones: zones.collect::<std::result::Result<_, _>>()?,
            model_servers: self.model_servers,
            app_servers: self.app_servers,
            engine: self.engine.clone(),
            app: self.app.clone(),
            ..PlatformSettings::small(model_service, app_service)?
        };
        Ok(PlatformStandin::start(settings)?)
    }

    /// Starts one entry host in this process.
    pub fn start_entry(&self, index: u16) -> Result<EntryHost> {
        let text = self.settings_json(index).to_string();
        Ok(EntryHost::start(EntrySettings::try_from(text.as_str())?)?)
    }
}

/// Returns the configuration that `dev` publishes, as a JSON document.
pub fn dev_configuration() -> Value {
    let team = |(name, token): (&str, &str)| json!({ "name": name, "token_hashes": [TokenHash::of(token).to_hex()] });
    json!({
        "services": [
            {
                "name": MODEL_SERVICE, "kind": "model", "model": "briefing-7b",
                "latency_target": {
                    "first_token_ms": 1_000, "token_gap_ms": 46, "share_permille": 950
                },
                "min_replicas": 4, "max_replicas": 8,
            },
            {
                "name": APP_SERVICE, "kind": "app",
                "latency_target": { "first_token_ms": 100, "share_permille": 950 },
                "min_replicas": 2, "max_replicas": 4,
            },
        ],
        "teams": TEAMS.map(team),
    })
}

/// Running cluster.
pub struct DevCluster {
    plan: DevPlan,
    platform: PlatformStandin,
    entries: Vec<EntryHost>,
}

impl DevCluster {
    /// Starts the platform and all entry hosts, and publishes the configuration.
    pub fn start(plan: DevPlan) -> Result<Self> {
        let platform = plan.start_platform()?;
        let mut entries = Vec::new();
        for index in 0..plan.hosts {
            entries.push(plan.start_entry(index)?);
        }
        let cluster = Self { plan, platform, entries };
        cluster.publish(&dev_configuration())?;
        Ok(cluster)
    }

    /// Replaces the whole configuration and waits until every entry host has applied it.
    ///
    /// Fails if the configuration is rejected or an entry host takes more than 10 s to apply it.
    pub fn publish(&self, configuration: &Value) -> Result<()> {
        let Some(first) = self.entries.first() else { return Ok(()) };
        let change = ConfigChange {
            id: ChangeId(rand::random()),
            base: first.config().current().revision,
            author: ChangeAuthor { operator: "dev".into(), token_id: String::new() },
            wall_ms: wall_clock_ms(),
            operations: vec![ResourceOperation::PutWhole(configuration.to_string())],
        };
        let deadline = Instant::now() + PUBLISH_TIMEOUT;
        let mut outcome = first.config().publish(&change);
        // The outcome of a change that was not read back in time is asked for with the same id.
        while outcome == PublishOutcome::Pending && Instant::now() < deadline {
            outcome = first.config().retry_publish(&change);
        }
        let offset = match outcome {
            PublishOutcome::Accepted(offset) => offset,
            other => return Err(DevError::Publish(format!("{other:?}"))),
        };
        for entry in &self.entries {
            if !entry.config().wait_for(offset, PUBLISH_TIMEOUT) {
                return Err(DevError::Publish("an entry host did not apply it within 10 s".into()));
            }
            entry.refresh_servers();
        }
        Ok(())
    }

    /// Returns the plan.
    pub fn plan(&self) -> &DevPlan {
        &self.plan
    }

    /// Returns the platform stand-in.
    pub fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Returns the entry hosts in order, except those that were taken out.
    pub fn entries(&self) -> &[EntryHost] {
        &self.entries
    }

    /// Removes one entry host from the cluster and returns it, so that it can be stopped alone.
    pub fn take_entry(&mut self, index: usize) -> EntryHost {
        self.entries.remove(index)
    }

    /// Stops all entry hosts in parallel, then the platform.
    pub fn stop(mut self) {
        let leaving = self
            .entries
            .drain(..)
            .map(|entry| std::thread::spawn(|| entry.leave(LeaveReason::Planned)));
        for thread in leaving.collect::<Vec<_>>() {
            if thread.join().is_err() {
                log::error!("event=entry_leave_panicked");
            }
        }
        self.platform.stop();
    }
}

/// Returns a loopback address that no other test of this or another process uses.
fn unique_loopback() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let [.., index] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // The high bit keeps clear of 127.0.0.x, which developers use by hand.
    Ipv4Addr::new(127, high | 0x80, low, index)
}
