//! Measures the cost of a day at the latency target against naive fleets and an offline plan.

use pomelostack_lib::fleet_planner::FleetPlanner;
use pomelostack_lib::fleet_planner::FleetSettings;
use pomelostack_lib::ids::NameError;
use pomelostack_lib::ids::ServiceName;
use serde_json::Value;
use serde_json::json;
use testutils::fleet_day::BOOT_TIME;
use testutils::fleet_day::DayProfile;
use testutils::fleet_day::FleetDay;
use testutils::fleet_day::day_configuration;
use testutils::fleet_offline::lower_bound;
use testutils::fleet_offline::offline_cost;
use testutils::fleet_play::DayPlayer;
use testutils::fleet_play::DayPolicy;
use testutils::fleet_play::DayRecord;
use testutils::fleet_play::DayResult;
use testutils::naive_fleet::ReactiveScaler;

/// Share of requests that must be within the target.
const TARGET_SHARE: f64 = 0.95;
/// Shares of reclaimable hosts that are measured; the first one is the default.
const RECLAIMABLE_PERCENTS: [u32; 3] = [60, 80, 100];
/// Hosts at most.
const MAX_HOSTS: u32 = 40;
/// Minutes for which the reactive scaler keeps a spare host.
const REACTIVE_HOLD_MINUTES: u64 = 5;

/// Prints one line for each profile and share.
pub fn run(seed: u64) {
    for profile in [DayProfile::Gulfwind, DayProfile::Sulh] {
        for percent in RECLAIMABLE_PERCENTS {
            match measure(profile, percent, seed) {
                Ok(line) => println!("{line}"),
                Err(error) => eprintln!("fleet: {error}"),
            }
        }
    }
}

/// Plays a day with the planner at the default share of reclaimable hosts.
pub fn play_planner(day: &FleetDay) -> Result<DayRecord, NameError> {
    let service = ServiceName::try_from("model")?;
    let player = DayPlayer::new(day, service.clone());
    Ok(player.play_recorded(&mut planner_policy(&service, RECLAIMABLE_PERCENTS[0])?))
}

fn planner_policy(service: &ServiceName, percent: u32) -> Result<DayPolicy, NameError> {
    let settings = FleetSettings { boot_time: BOOT_TIME, ..FleetSettings::default() };
    Ok(DayPolicy::Planner {
        planner: Box::new(FleetPlanner::new(settings)),
        config: Box::new(day_configuration(service, percent)?),
    })
}

fn measure(profile: DayProfile, percent: u32, seed: u64) -> Result<Value, NameError> {
    let service = ServiceName::try_from("model")?;
    let day = FleetDay::new(profile, seed)?;
    let play = |mut policy: DayPolicy| DayPlayer::new(&day, service.clone()).play(&mut policy);
    let fixed =
        cheapest_within((1..=MAX_HOSTS as usize).map(|hosts| play(DayPolicy::Static(hosts))));
    let reactive = cheapest_within((20..=100).rev().step_by(5).map(|utilisation| {
        play(DayPolicy::Reactive(ReactiveScaler::new(utilisation, REACTIVE_HOLD_MINUTES)))
    }));
    let ours = play(planner_policy(&service, percent)?);
    let offline = offline_cost(&day, percent, MAX_HOSTS);
    let bound = lower_bound(&day, percent);
    Ok(json!({
        "case": "fleet_day", "profile": format!("{profile:?}"), "seed": seed,
        "reclaimable_percent": percent,
        "ours": result_json(&ours),
        "static": fixed.as_ref().map(result_json),
        "reactive": reactive.as_ref().map(result_json),
        "offline_cost": round(offline), "lower_bound": round(bound),
        "ratio_static": fixed.map(|fixed| round(ours.cost / fixed.cost)),
        "ratio_reactive": reactive.map(|reactive| round(ours.cost / reactive.cost)),
        "ratio_offline": round(ours.cost / offline),
        "ratio_lower_bound": round(ours.cost / bound),
    }))
}

/// Returns the cheapest day that meets the target: the naive policies get their best setting.
fn cheapest_within(days: impl Iterator<Item = DayResult>) -> Option<DayResult> {
    days.filter(|day| day.within >= TARGET_SHARE).min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn result_json(day: &DayResult) -> Value {
    json!({
        "cost": round(day.cost), "within": round(day.within), "starts": day.starts,
        "refused": day.refused, "lost": day.lost,
    })
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
