//! Stand-in of the weight store: transfers one after the other at a limited rate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::weight_store_client::WeightQuery;
use pomelostack_lib::weight_store_client::WeightSize;
use pomelostack_lib::weight_store_client::WeightTime;
use serde::Deserialize;
use serde::Serialize;

use crate::http_standin::HttpExchange;
use crate::http_standin::HttpStandin;
use crate::http_standin::Result;
use crate::http_standin::StandinError;
use crate::http_standin::StandinFault;
use crate::http_standin::StandinService;

/// Settings of a weight store stand-in.
#[derive(Clone, Debug)]
pub struct WeightSettings {
    /// Address; port 0 picks a free one.
    pub address: SocketAddr,
    /// Sizes of weights by name, in bytes.
    pub sizes: BTreeMap<String, u64>,
    /// Rate of the store in bytes per second.
    pub bytes_per_s: u64,
    /// Transfers at once at most; each has an equal share of the rate.
    pub transfers_limit: u32,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            sizes: BTreeMap::new(),
            bytes_per_s: 10_000_000_000,
            transfers_limit: 4,
        }
    }
}

/// Faults of the weight store, the body of `POST /faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightFault {
    /// Every call fails, or no longer.
    Down(bool),
}

impl StandinFault for WeightFault {
    fn ends_connections(&self) -> bool {
        false
    }
}

#[derive(Default)]
struct StoreState {
    down: bool,
    /// Ends of the transfers under way.
    ends: Vec<Instant>,
}

/// The weight store on a loopback port.
pub struct WeightStandin {
    server: HttpStandin,
    service: Arc<WeightService>,
}

impl WeightStandin {
    /// Starts a store.
    pub fn start(settings: WeightSettings) -> Result<Self> {
        if settings.bytes_per_s == 0 || settings.transfers_limit == 0 {
            let reason = "bytes_per_s and transfers_limit must be at least 1";
            return Err(StandinError::BadSetting(reason.to_owned()));
        }
        let (server, service) = HttpStandin::start(settings.address, |_| WeightService {
            settings,
            state: Mutex::default(),
        })?;
        Ok(Self { server, service })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Applies a fault.
    pub fn apply_fault(&self, fault: WeightFault) {
        self.service.take_fault(fault);
    }

    /// Stops the store and waits for its threads.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// What became of a wish for a transfer.
enum Reservation {
    /// It takes this long.
    Granted(Duration),
    /// There is room after this time.
    Wait(Duration),
}

struct WeightService {
    settings: WeightSettings,
    state: Mutex<StoreState>,
}

impl WeightService {
    fn reserve(&self, now: Instant, bytes: u64) -> Reservation {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.ends.retain(|&end| end > now);
        let limit = usize::try_from(self.settings.transfers_limit).unwrap_or(usize::MAX);
        if let (true, Some(&first)) = (state.ends.len() >= limit, state.ends.iter().min()) {
            return Reservation::Wait(first - now);
        }
        let share = self.settings.bytes_per_s / u64::from(self.settings.transfers_limit);
        let millis = bytes.saturating_mul(1_000).div_ceil(share.max(1));
        let duration = Duration::from_millis(millis);
        state.ends.push(now + duration);
        Reservation::Granted(duration)
    }

    fn serve_reserve(&self, exchange: HttpExchange, bytes: u64) {
        let millis_of = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let (status, millis) = match self.reserve(Instant::now(), bytes) {
            Reservation::Granted(duration) => (200, millis_of(duration)),
            Reservation::Wait(wait) => (429, millis_of(wait)),
        };
        exchange.respond_json(status, &WeightTime { millis });
    }
}

impl StandinService for WeightService {
    type Fault = WeightFault;

    fn serve(&self, exchange: HttpExchange) {
        if self.state.lock().unwrap_or_else(PoisonError::into_inner).down {
            return exchange.refuse(503, "weight store is down");
        }
        let query = match exchange.json::<WeightQuery>() {
            Ok(query) => query,
            Err(error) => return exchange.refuse(400, &error),
        };
        let size = self.settings.sizes.get(&query.weights).copied();
        match (exchange.method(), exchange.path(), size) {
            ("POST", "/size" | "/reserve", None) => exchange.refuse(404, "no such weights"),
            ("POST", "/size", Some(bytes)) => exchange.respond_json(200, &WeightSize { bytes }),
            ("POST", "/reserve", Some(bytes)) => self.serve_reserve(exchange, bytes),
            _ => exchange.refuse(404, "no such route"),
        }
    }

    fn take_fault(&self, fault: WeightFault) {
        match fault {
            WeightFault::Down(down) => {
                self.state.lock().unwrap_or_else(PoisonError::into_inner).down = down;
            }
        }
    }
}
