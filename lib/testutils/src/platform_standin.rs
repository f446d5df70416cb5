//! Stand-in for the whole platform: log, cloud, host list, model servers and app servers.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::HostOrder;
use pomelostack_lib::cloud::HostPrice;
use pomelostack_lib::ids::ClassName;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::NameError;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;

use crate::app_standin::AppSettings;
use crate::app_standin::AppStandin;
use crate::backend_fleet::BackendFleet;
use crate::backend_fleet::BackendSettings;
use crate::backend_fleet::BackendStandin;
use crate::cloud_standin::CloudSettings;
use crate::cloud_standin::CloudStandin;
use crate::engine_standin::EngineSettings;
use crate::engine_standin::EngineStandin;
use crate::host_list_standin::HostListStandin;
use crate::host_registry::HostRegistry;
use crate::http_standin::Result;
use crate::http_standin::StandinError;
use crate::log_standin::LogSettings;
use crate::log_standin::LogStandin;

/// Price of an on-demand host in the first zone, in millionths of the currency unit per hour.
const ON_DEMAND_MICROS_PER_HOUR: u64 = 2_000_000;
/// Price of a reclaimable host in the first zone, in the same unit.
const RECLAIMABLE_MICROS_PER_HOUR: u64 = 600_000;
/// Price difference between one zone and the next, in the same unit.
const ZONE_STEP_MICROS_PER_HOUR: u64 = 50_000;

/// Settings of a platform; addresses in the settings of its servers are overwritten.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// IP address of every server.
    pub ip: IpAddr,
    /// First of the consecutive ports; `None` picks free ports.
    pub first_port: Option<u16>,
    /// Availability zones, to which the backend servers are assigned round-robin.
    pub zones: Vec<ZoneName>,
    /// Machine class of the backend servers' hosts.
    pub class: ClassName,
    /// Market that the backend servers' hosts are bought on.
    pub market: HostMarket,
    /// Name of the model service.
    pub model_service: ServiceName,
    /// Initial number of model servers.
    pub model_servers: usize,
    /// Settings of each model server.
    pub engine: EngineSettings,
    /// Name of the app service.
    pub app_service: ServiceName,
    /// Initial number of app servers.
    pub app_servers: usize,
    /// Settings of each app server.
    pub app: AppSettings,
    /// Settings of the log.
    pub log: LogSettings,
    /// Settings of the cloud.
    pub cloud: CloudSettings,
    /// Delay with which changes of hosts appear in the host list.
    pub host_list_lag: Duration,
}

impl PlatformSettings {
    /// Returns settings for four model servers and two app servers on free loopback ports.
    pub fn small(model_service: ServiceName, app_service: ServiceName) -> Result<Self> {
        let zones = ["zone-a", "zone-b", "zone-c", "zone-d"].map(ZoneName::try_from);
        let zones =
            zones.into_iter().collect::<std::result::Result<Vec<_>, _>>().map_err(bad_name)?;
        let class = ClassName::try_from("standard").map_err(bad_name)?;
        let cloud = CloudSettings { prices: small_prices(&zones, &class), ..Default::default() };
        Ok(Self {
            ip: IpAddr::from(Ipv4Addr::LOCALHOST),
            first_port: None,
            zones,
            class,
            market: HostMarket::Reclaimable,
            model_service,
            model_servers: 4,
            engine: EngineSettings::default(),
            app_service,
            app_servers: 2,
            app: AppSettings::default(),
            log: LogSettings::default(),
            cloud,
            host_list_lag: Duration::ZERO,
        })
    }
}

/// Returns prices that differ by zone and market.
fn small_prices(zones: &[ZoneName], class: &ClassName) -> Vec<HostPrice> {
    let mut prices = Vec::new();
    for (zone, step) in zones.iter().zip(0..) {
        let markets = [
            (HostMarket::OnDemand, ON_DEMAND_MICROS_PER_HOUR),
            (HostMarket::Reclaimable, RECLAIMABLE_MICROS_PER_HOUR),
        ];
        prices.extend(markets.map(|(market, base)| HostPrice {
            zone: zone.clone(),
            class: class.clone(),
            market,
            micros_per_hour: base + step * ZONE_STEP_MICROS_PER_HOUR,
        }));
    }
    prices
}

/// Assigns addresses to the servers, in the order in which they start.
struct AddressSequence {
    ip: IpAddr,
    next_port: Option<u16>,
}

impl AddressSequence {
    fn next(&mut self) -> Result<SocketAddr> {
        let Some(port) = self.next_port else { return Ok(SocketAddr::from((self.ip, 0))) };
        let after = port.checked_add(1);
        self.next_port = Some(after.ok_or_else(|| {
            StandinError::BadSetting("not enough ports after the first one".to_owned())
        })?);
        Ok(SocketAddr::from((self.ip, port)))
    }
}

/// Running platform; dropping it stops every server.
pub struct PlatformStandin {
    log: LogStandin,
    cloud: CloudStandin,
    host_list: HostListStandin,
    fleet: Arc<BackendFleet>,
    registry: Arc<HostRegistry>,
}

impl PlatformStandin {
    /// Starts all servers, in the order of their ports: log, cloud, host list, model servers, app
    /// servers.
    pub fn start(settings: PlatformSettings) -> Result<Self> {
        if settings.zones.is_empty() {
            return Err(StandinError::BadSetting("zones must not be empty".to_owned()));
        }
        let mut addresses = AddressSequence { ip: settings.ip, next_port: settings.first_port };
        let templates = BTreeMap::from([
            (settings.model_service.clone(), BackendSettings::Engine(settings.engine.clone())),
            (settings.app_service.clone(), BackendSettings::App(settings.app.clone())),
        ]);
        let fleet = Arc::new(BackendFleet::new(templates));
        let registry = Arc::new(HostRegistry::new(settings.host_list_lag));
        let log = LogSettings { address: addresses.next()?, ..settings.log.clone() };
        let cloud = CloudSettings { address: addresses.next()?, ..settings.cloud.clone() };
        let platform = Self {
            log: LogStandin::start(log)?,
            cloud: CloudStandin::start(cloud, fleet.clone(), registry.clone())?,
            host_list: HostListStandin::start(addresses.next()?, registry.clone())?,
            fleet,
            registry,
        };
        platform.place_hosts(&settings, &mut addresses)?;
        Ok(platform)
    }

    /// Returns the log's address.
    pub fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// Returns the cloud's address.
    pub fn cloud_address(&self) -> SocketAddr {
        self.cloud.address()
    }

    /// Returns the host list's address.
    pub fn host_list_address(&self) -> SocketAddr {
        self.host_list.address()
    }

    /// Returns the log stand-in.
    pub fn log(&self) -> &LogStandin {
        &self.log
    }

    /// Returns the cloud stand-in.
    pub fn cloud(&self) -> &CloudStandin {
        &self.cloud
    }

    /// Returns the host list stand-in.
    pub fn host_list(&self) -> &HostListStandin {
        &self.host_list
    }

    /// Returns the registry of all hosts, to which tests can add entry hosts.
    pub fn registry(&self) -> &HostRegistry {
        &self.registry
    }

    /// Returns all backend servers, up or down.
    pub fn fleet(&self) -> &BackendFleet {
        &self.fleet
    }

    /// Returns the model servers, up or down, by host.
    pub fn engines(&self) -> Vec<(HostId, Arc<EngineStandin>)> {
        let all = self.fleet.all().into_iter();
        all.filter_map(|(host, backend)| match backend {
            BackendStandin::Engine(engine) => Some((host, engine)),
            BackendStandin::App(_) => None,
        })
        .collect()
    }

    /// Returns the app servers, up or down, by host.
    pub fn apps(&self) -> Vec<(HostId, Arc<AppStandin>)> {
        let all = self.fleet.all().into_iter();
        all.filter_map(|(host, backend)| match backend {
            BackendStandin::Engine(_) => None,
            BackendStandin::App(app) => Some((host, app)),
        })
        .collect()
    }

    /// Stops all servers and waits for their threads.
    pub fn stop(&self) {
        self.cloud.stop();
        self.fleet.stop();
        self.host_list.stop();
        self.log.stop();
    }

    fn place_hosts(
        &self,
        settings: &PlatformSettings,
        addresses: &mut AddressSequence,
    ) -> Result<()> {
        let services = [
            (&settings.model_service, settings.model_servers),
            (&settings.app_service, settings.app_servers),
        ];
        for (service, servers) in services {
            for (index, zone) in settings.zones.iter().cycle().take(servers).enumerate() {
                let order = HostOrder {
                    order_id: format!("initial-{service}-{index}"),
                    service: service.clone(),
                    zone: zone.clone(),
                    class: settings.class.clone(),
                    market: settings.market,
                };
                self.cloud.place_host(order, addresses.next()?)?;
            }
        }
        self.registry.publish_now();
        Ok(())
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

fn bad_name(error: NameError) -> StandinError {
    StandinError::BadSetting(error.to_string())
}
