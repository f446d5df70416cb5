//! Stand-in for the cloud API: starts, stops and reclaims hosts and lists their prices.
//!
//! Each host is an engine or app stand-in on a loopback port. Faults are set with `POST /faults`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::HostOrder;
use pomelostack_lib::cloud::HostPrice;
use pomelostack_lib::cloud_client::FencedResponse;
use pomelostack_lib::cloud_client::StartHostRequest;
use pomelostack_lib::cloud_client::StartHostResponse;
use pomelostack_lib::cloud_client::StopHostRequest;
use pomelostack_lib::host_list::HostEntry;
use pomelostack_lib::host_list::HostRole;
use pomelostack_lib::host_list::HostState;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::backend_fleet::BackendFleet;
use crate::cloud_core::CloudAction;
use crate::cloud_core::CloudCore;
use crate::cloud_core::OrderOutcome;
pub use crate::cloud_core::StartRefusal;
use crate::host_registry::HostRegistry;
use crate::http_standin::HttpExchange;
use crate::http_standin::HttpStandin;
use crate::http_standin::Result;
use crate::http_standin::StandinError;
use crate::http_standin::StandinFault;
use crate::http_standin::StandinService;
use crate::process_lifecycle::ProcessIncarnation;
use crate::process_lifecycle::ProcessLifecycle;
use crate::process_lifecycle::WaitOutcome;

/// Interval between checks for due boots and reclaims.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of a cloud stand-in.
#[derive(Clone, Debug)]
pub struct CloudSettings {
    /// Listen address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Time from accepting an order to the start of its host.
    pub boot_delay: Duration,
    /// Initial prices.
    pub prices: Vec<HostPrice>,
    /// Whether calls with a stale fencing token are rejected.
    pub fencing_check: bool,
}

impl Default for CloudSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            boot_delay: Duration::ZERO,
            prices: Vec::new(),
            fencing_check: false,
        }
    }
}

/// Fault to inject into the cloud; the body of `POST /faults`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloudFault {
    /// Gives notice that a host will be reclaimed; its server is killed when the time is up.
    ReclaimHost {
        /// Host to reclaim.
        host: HostId,
        /// Time until the reclaim, in milliseconds.
        left_ms: u64,
    },
    /// Gives such a notice for every reclaimable host in an availability zone.
    ReclaimZone {
        /// Availability zone.
        zone: ZoneName,
        /// Time until the reclaim, in milliseconds.
        left_ms: u64,
    },
    /// Refuses matching starts for lack of capacity, in addition to earlier refusals.
    RefuseStarts(StartRefusal),
    /// Removes all refusals.
    AllowStarts,
    /// Sets the price of one combination of zone, class and market.
    SetPrice(HostPrice),
    /// Drops the replies to the next successful starts, after the starts take effect.
    LoseReplies(u32),
    /// Fails every call with status 503 and no effect, until set to false.
    Down(bool),
}

impl StandinFault for CloudFault {
    fn ends_connections(&self) -> bool {
        false
    }
}

/// The cloud stand-in, served over HTTP on a loopback port.
pub struct CloudStandin {
    server: HttpStandin,
    service: Arc<CloudService>,
    ticker: Mutex<Option<JoinHandle<()>>>,
}

impl CloudStandin {
    /// Starts a cloud whose hosts run in `fleet` and are listed in `registry`.
    pub fn start(
        settings: CloudSettings,
        fleet: Arc<BackendFleet>,
        registry: Arc<HostRegistry>,
    ) -> Result<Self> {
        let core = CloudCore::new(settings.fencing_check, settings.boot_delay, settings.prices);
        let (server, service) = HttpStandin::start(settings.address, |life| CloudService {
            life,
            core: Mutex::new(core),
            outage: Mutex::default(),
            fleet,
            registry,
        })?;
        let ticking = service.clone();
        // Read before the thread starts: a thread that first runs after `stop` would not see the end
        // of its incarnation.
        let incarnation = service.life.incarnation();
        let ticker = thread::spawn(move || ticking.tick_until_stopped(incarnation));
        let ticker = Mutex::new(Some(ticker));
        Ok(Self { server, service, ticker })
    }

    /// Returns the address that the cloud listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts a host immediately on the given address, ignoring refusals and the boot delay.
    ///
    /// Fails if the order is not accepted or its server cannot start.
    pub fn place_host(&self, order: HostOrder, address: SocketAddr) -> Result<HostId> {
        let mut core = self.service.lock();
        let refusals = std::mem::take(&mut core.refusals);
        let outcome = core.place_order(Instant::now(), order.clone(), None);
        core.refusals = refusals;
        let OrderOutcome::Started(host) = outcome else {
            return Err(StandinError::BadSetting(
                "cloud did not accept the order of an initial host".to_owned(),
            ));
        };
        core.forget(&host);
        drop(core);
        self.service.boot(&host, &order, address)?;
        Ok(host)
    }

    /// Applies a fault.
    pub fn apply_fault(&self, fault: CloudFault) {
        self.service.apply_fault(fault);
    }

    /// Stops the cloud and waits for its threads. Its hosts keep running until the fleet stops.
    pub fn stop(&self) {
        self.server.stop();
        let ticker = self.ticker.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(ticker) = ticker {
            let _ = ticker.join();
        }
    }
}

impl Drop for CloudStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

#[derive(Default)]
struct CloudOutage {
    down: bool,
    lost_replies: u32,
}

struct CloudService {
    life: Arc<ProcessLifecycle>,
    core: Mutex<CloudCore>,
    outage: Mutex<CloudOutage>,
    fleet: Arc<BackendFleet>,
    registry: Arc<HostRegistry>,
}

impl CloudService {
    fn lock(&self) -> MutexGuard<'_, CloudCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outage(&self) -> MutexGuard<'_, CloudOutage> {
        self.outage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick_until_stopped(&self, incarnation: ProcessIncarnation) {
        loop {
            let actions = self.lock().take_due(Instant::now());
            actions.into_iter().for_each(|action| self.run_action(action));
            let next = Some(Instant::now() + TICK_INTERVAL);
            if self.life.wait(incarnation, next, || false) == WaitOutcome::Crashed {
                return;
            }
        }
    }

    fn run_action(&self, action: CloudAction) {
        match action {
            CloudAction::Boot(host, order) => {
                let any_port = SocketAddr::new(self.life.relay().address().ip(), 0);
                if let Err(error) = self.boot(&host, &order, any_port) {
                    log::error!("event=standin_boot_failed host={host} error={error}");
                }
            }
            CloudAction::Reclaim(host) => self.remove(&host),
        }
    }

    fn boot(&self, host: &HostId, order: &HostOrder, address: SocketAddr) -> Result<()> {
        let address = self.fleet.start(host, &order.service, address)?;
        self.registry.put(HostEntry {
            host: host.clone(),
            address: address.to_string(),
            zone: order.zone.clone(),
            class: order.class.clone(),
            market: order.market,
            state: HostState::Live,
            duty: HostRole::Backend(order.service.clone()),
        });
        Ok(())
    }

    fn remove(&self, host: &HostId) {
        self.registry.remove(host);
        self.fleet.kill(host);
    }

    fn give_notice(&self, host: HostId, left_ms: u64) {
        self.registry.mark_leaving(&host);
        self.lock().give_notice(Instant::now(), host, Duration::from_millis(left_ms));
    }

    fn serve_start(&self, exchange: HttpExchange) {
        let start: StartHostRequest = match exchange.json() {
            Ok(start) => start,
            Err(error) => return exchange.refuse(400, &error),
        };
        if !self.fleet.has_service(&start.order.service) {
            return exchange.refuse(400, "no such service");
        }
        match self.lock().place_order(Instant::now(), start.order, start.fence) {
            OrderOutcome::Started(_) if self.loses_reply() => drop(exchange),
            OrderOutcome::Started(host) => exchange.respond_json(200, &StartHostResponse { host }),
            OrderOutcome::NoCapacity => exchange.refuse(507, "no capacity of that kind"),
            OrderOutcome::Fenced(fence) => exchange.respond_json(409, &FencedResponse { fence }),
        }
    }

    fn serve_stop(&self, exchange: HttpExchange) {
        let stop: StopHostRequest = match exchange.json() {
            Ok(stop) => stop,
            Err(error) => return exchange.refuse(400, &error),
        };
        let checked = {
            let mut core = self.lock();
            let checked = core.check_fencing_token(stop.fence);
            if checked.is_ok() {
                core.forget(&stop.host);
            }
            checked
        };
        match checked {
            Ok(()) => {
                self.remove(&stop.host);
                exchange.respond_json(200, &());
            }
            Err(fence) => exchange.respond_json(409, &FencedResponse { fence }),
        }
    }

    fn loses_reply(&self) -> bool {
        let mut outage = self.outage();
        let loses = outage.lost_replies > 0;
        outage.lost_replies = outage.lost_replies.saturating_sub(1);
        loses
    }
}

impl StandinService for CloudService {
    type Fault = CloudFault;

    fn serve(&self, exchange: HttpExchange) {
        match (exchange.method(), exchange.path()) {
            // For tests only and not part of the cloud API, so it works while the cloud is down.
            ("GET", "/journals") => exchange.respond_json(200, &self.fleet.journals()),
            _ if self.outage().down => exchange.refuse(503, "cloud is down"),
            ("POST", "/hosts") => self.serve_start(exchange),
            ("POST", "/hosts/stop") => self.serve_stop(exchange),
            ("GET", "/prices") => {
                let prices = self.lock().prices().to_vec();
                exchange.respond_json(200, &prices);
            }
            ("GET", "/notices") => {
                let notices = self.lock().notices(Instant::now());
                exchange.respond_json(200, &notices);
            }
            _ => exchange.refuse(404, "no such route"),
        }
    }

    fn apply_fault(&self, fault: CloudFault) {
        match fault {
            CloudFault::ReclaimHost { host, left_ms } => self.give_notice(host, left_ms),
            CloudFault::ReclaimZone { zone, left_ms } => {
                let is_taken = |entry: &HostEntry| {
                    entry.zone == zone && entry.market == HostMarket::Reclaimable
                };
                let taken = self.registry.current().into_iter().filter(is_taken);
                taken.for_each(|entry| self.give_notice(entry.host, left_ms));
            }
            CloudFault::RefuseStarts(refusal) => self.lock().refusals.push(refusal),
            CloudFault::AllowStarts => self.lock().refusals.clear(),
            CloudFault::SetPrice(price) => self.lock().set_price(price),
            CloudFault::LoseReplies(count) => self.outage().lost_replies = count,
            CloudFault::Down(down) => self.outage().down = down,
        }
    }
}
