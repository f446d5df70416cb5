//! A seeded day of one service in virtual time: load, prices, reclaimed zones and refused starts.

use std::time::Duration;

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::HostPrice;
use pomelostack_lib::fleet_mix::PoolKey;
use pomelostack_lib::ids::ClassName;
use pomelostack_lib::ids::NameError;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::resource::ConfigState;
use pomelostack_lib::resource::FencingCheck;
use pomelostack_lib::resource::FleetClass;
use pomelostack_lib::resource::IdempotencyRule;
use pomelostack_lib::resource::LatencyTarget;
use pomelostack_lib::resource::ServiceKind;
use pomelostack_lib::resource::ServiceResource;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Minutes of a day.
pub const DAY_MINUTES: usize = 1_440;
/// Time from an order to a server that takes requests.
pub const BOOT_TIME: Duration = Duration::from_secs(120);
/// Machine classes: name, capacity in thousandths of a request per second, on-demand price of one
/// hour in millionths of the currency unit.
pub const CLASSES: [(&str, u64, u64); 2] =
    [("gpu-small", 1_000, 1_000_000), ("gpu-large", 2_200, 2_100_000)];
/// Replicas of a service at most.
const MAX_REPLICAS: u32 = 40;
/// Minutes of the day at which races start.
const RACE_STARTS: [f64; 5] = [540.0, 660.0, 780.0, 900.0, 1_020.0];
/// Minutes between two price moves.
const PRICE_MINUTES: usize = 15;
/// Zones that are reclaimed in a day.
const WAVES: usize = 6;
/// Minutes for which a reclaimed zone starts no reclaimable hosts.
const WAVE_REFUSAL_MINUTES: usize = 20;
/// Refusals of a day besides those after a wave.
const REFUSALS: usize = 12;

/// Whose day it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DayProfile {
    /// Quiet nights and bursts in the hour before each race start.
    Gulfwind,
    /// Steady all day.
    Sulh,
}

/// Starts that are refused for a time.
#[derive(Clone, Debug)]
struct DayRefusal {
    pool: PoolKey,
    minutes: std::ops::Range<usize>,
}

/// One day.
#[derive(Clone, Debug)]
pub struct FleetDay {
    /// Arrivals of each minute in thousandths of a request per second.
    pub rates: Vec<u64>,
    /// Prices of each minute.
    pub prices: Vec<Vec<HostPrice>>,
    /// Minutes at which all reclaimable hosts of a zone get notice; they are gone a minute later.
    pub waves: Vec<(usize, ZoneName)>,
    refusals: Vec<DayRefusal>,
}

impl FleetDay {
    /// Builds the day of a profile.
    pub fn new(profile: DayProfile, seed: u64) -> Result<Self, NameError> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names = match profile {
            DayProfile::Gulfwind => ["salish-a", "salish-b", "salish-c", "salish-d"],
            DayProfile::Sulh => ["lahore-a", "lahore-b", "lahore-c", "lahore-d"],
        };
        let zones: Vec<ZoneName> =
            names.into_iter().map(ZoneName::try_from).collect::<Result<_, _>>()?;
        let rates = (0..DAY_MINUTES).map(|minute| rate_at(profile, minute, &mut rng)).collect();
        let pools = list_pools(&zones)?;
        let prices = move_prices(&pools, &mut rng);
        let waves: Vec<(usize, ZoneName)> = (0..WAVES)
            .map(|_| {
                let minute = rng.random_range(0..DAY_MINUTES);
                (minute, zones[rng.random_range(0..zones.len())].clone())
            })
            .collect();
        let refusals = list_refusals(&pools, &waves, &mut rng);
        Ok(Self { rates, prices, waves, refusals })
    }

    /// Returns whether the cloud refuses a start.
    pub fn is_refused(&self, minute: usize, pool: &PoolKey) -> bool {
        let matches =
            |refusal: &DayRefusal| refusal.pool == *pool && refusal.minutes.contains(&minute);
        self.refusals.iter().any(matches)
    }
}

fn rate_at(profile: DayProfile, minute: usize, rng: &mut ChaCha8Rng) -> u64 {
    let noise = rng.random_range(0.95..1.05);
    let rate = match profile {
        DayProfile::Sulh => 11_000.0,
        DayProfile::Gulfwind => {
            let minute = minute as f64;
            let is_day = (420.0..1_140.0).contains(&minute);
            let burst = RACE_STARTS.iter().map(|start| burst_at(start - minute));
            (if is_day { 4_000.0 } else { 1_500.0 }) + burst.fold(0.0, f64::max) * 5_500.0
        }
    };
    (rate * noise) as u64
}

/// Height of a burst, 0 to 1: it rises over the hour before the start, with the square of the time
/// gone, and ends within five minutes after it.
fn burst_at(minutes_left: f64) -> f64 {
    match minutes_left {
        left if (0.0..60.0).contains(&left) => ((60.0 - left) / 60.0).powi(2),
        left if (-5.0..0.0).contains(&left) => (5.0 + left) / 5.0,
        _ => 0.0,
    }
}

fn list_pools(zones: &[ZoneName]) -> Result<Vec<PoolKey>, NameError> {
    let mut pools = Vec::new();
    for zone in zones {
        for (class, ..) in CLASSES {
            for market in [HostMarket::Reclaimable, HostMarket::OnDemand] {
                let class = ClassName::try_from(class)?;
                pools.push(PoolKey { zone: zone.clone(), class, market });
            }
        }
    }
    Ok(pools)
}

/// Reclaimable prices walk between 0.2 and 0.8 of the on-demand price; those stay.
fn move_prices(pools: &[PoolKey], rng: &mut ChaCha8Rng) -> Vec<Vec<HostPrice>> {
    let mut shares: Vec<f64> = pools.iter().map(|_| rng.random_range(0.3..0.45)).collect();
    let mut prices = Vec::with_capacity(DAY_MINUTES);
    for minute in 0..DAY_MINUTES {
        if minute % PRICE_MINUTES == 0 {
            for share in &mut shares {
                *share = (*share * rng.random_range(0.9..1.11)).clamp(0.2, 0.8);
            }
        }
        let pairs = pools.iter().zip(&shares);
        prices.push(pairs.map(|(pool, &share)| price_of(pool, share)).collect());
    }
    prices
}

fn price_of(pool: &PoolKey, share: f64) -> HostPrice {
    let class = CLASSES.iter().find(|class| class.0 == pool.class.as_str());
    let full = class.map_or(0, |class| class.2);
    HostPrice {
        zone: pool.zone.clone(),
        class: pool.class.clone(),
        market: pool.market,
        micros_per_hour: match pool.market {
            HostMarket::OnDemand => full,
            HostMarket::Reclaimable => (full as f64 * share) as u64,
        },
    }
}

fn list_refusals(
    pools: &[PoolKey],
    waves: &[(usize, ZoneName)],
    rng: &mut ChaCha8Rng,
) -> Vec<DayRefusal> {
    let mut refusals = Vec::new();
    for (minute, zone) in waves {
        let taken = pools
            .iter()
            .filter(|pool| pool.zone == *zone && pool.market == HostMarket::Reclaimable);
        refusals.extend(taken.map(|pool| DayRefusal {
            pool: pool.clone(),
            minutes: *minute..minute + WAVE_REFUSAL_MINUTES,
        }));
    }
    for _ in 0..REFUSALS {
        let pool = pools[rng.random_range(0..pools.len())].clone();
        let start = rng.random_range(0..DAY_MINUTES);
        let minutes = start..start + rng.random_range(10..90);
        refusals.push(DayRefusal { pool, minutes });
    }
    refusals
}

/// Returns the configuration of one service that may use every class at any price.
pub fn day_configuration(
    service: &ServiceName,
    reclaimable_percent: u32,
) -> Result<ConfigState, NameError> {
    let mut config = ConfigState::default();
    config.policy.reclaimable_percent = reclaimable_percent;
    for (class, capacity, _) in CLASSES {
        let name = ClassName::try_from(class)?;
        let class = FleetClass {
            name: name.clone(),
            capacity_permille: [(service.clone(), capacity as u32)].into(),
            markets: vec![HostMarket::Reclaimable, HostMarket::OnDemand],
            max_micros_per_hour: u64::MAX,
        };
        config.classes.insert(name, class);
    }
    let resource = ServiceResource {
        name: service.clone(),
        kind: ServiceKind::Model,
        model: None,
        latency_target: LatencyTarget {
            first_token: Duration::from_secs(1),
            token_gap: Duration::from_millis(46),
            share_permille: 950,
        },
        idempotency: IdempotencyRule { idempotent_paths: vec![], non_idempotent_paths: vec![] },
        fencing: FencingCheck::Ignored,
        static_servers: Vec::new(),
        default_deadline: Duration::from_secs(30),
        server_concurrency: 16,
        min_replicas: 1,
        max_replicas: MAX_REPLICAS,
    };
    config.services.insert(service.clone(), resource);
    Ok(config)
}
