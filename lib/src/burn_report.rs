//! Report on error budget burn over all hosts, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::burn::BUCKET_LENGTH;
use crate::burn::BucketNumber;
use crate::burn::BurnContribution;
use crate::burn::BurnCount;
use crate::burn::BurnMerger;
use crate::burn::RETAINED_BUCKETS;
use crate::burn::Result;
use crate::burn::decode_sketch;
use crate::burn::new_sketch;
use crate::ids::HostId;
use crate::ids::ServiceName;

/// Buckets that one point of the plotted series covers.
const BUCKETS_PER_POINT: u64 = 5;

/// Windows over which burn is reported.
pub const WINDOWS: [BurnWindow; 3] =
    [BurnWindow::FiveMinutes, BurnWindow::OneHour, BurnWindow::SixHours];

/// Window over which burn is reported, up to the time of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnWindow {
    /// Five minutes.
    FiveMinutes,
    /// One hour.
    OneHour,
    /// Six hours.
    SixHours,
}

impl BurnWindow {
    /// Returns the length of the window.
    pub fn duration(self) -> Duration {
        match self {
            Self::FiveMinutes => Duration::from_secs(5 * 60),
            Self::OneHour => Duration::from_secs(60 * 60),
            Self::SixHours => Duration::from_secs(6 * 60 * 60),
        }
    }

    /// Returns the name of the window in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::OneHour => "1h",
            Self::SixHours => "6h",
        }
    }

    fn buckets(self) -> u64 {
        self.duration().as_secs() / BUCKET_LENGTH.as_secs()
    }
}

/// Burn of one service over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Reported window.
    pub window: BurnWindow,
    /// Requests counted.
    pub count: BurnCount,
    /// Share of requests within the target, in percent; `None` if there were no requests.
    pub within_percent: Option<f64>,
    /// Rate at which the error budget is used: 1 uses it up exactly. `None` if there were no
    /// requests.
    pub burn_rate: Option<f64>,
}

impl WindowBurn {
    /// Returns the burn rate in thousandths; 0 if there were no requests.
    pub fn burn_permille(&self) -> u64 {
        let rate = self.burn_rate.unwrap_or_default() * 1_000.0;
        // The cast saturates; a rate is finite and not negative.
        rate.round() as u64
    }
}

/// Latency of the last five to ten minutes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 95th percentile, in microseconds.
    pub p95_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
}

/// One point of the plotted series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnPoint {
    /// Start of the point, in minutes before the report.
    pub minutes_ago: u64,
    /// Burn rate; `None` if there were no requests.
    pub burn_rate: Option<f64>,
}

/// Burn of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Service.
    pub service: ServiceName,
    /// Share of requests that must meet the target, in thousandths.
    pub share_permille: u16,
    /// Burn by window.
    pub windows: Vec<WindowBurn>,
    /// Latency.
    pub latency: LatencySummary,
    /// Burn rate over the last six hours, oldest first.
    pub series: Vec<BurnPoint>,
}

/// Burn of all services over all hosts that contributed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Hosts that contributed.
    pub hosts: Vec<HostId>,
    /// Member hosts whose contribution could not be fetched or decoded; the report lacks their
    /// requests.
    pub missing: Vec<HostId>,
    /// Services, ordered by name.
    pub services: Vec<ServiceRow>,
}

struct ServiceSum {
    share_permille: u16,
    buckets: BTreeMap<BucketNumber, BurnCount>,
    sketch: Histogram<u64>,
}

impl BurnReport {
    /// Builds the report from the newest contribution of each host.
    pub fn build(unix_ms: u64, merger: &BurnMerger, missing: Vec<HostId>) -> Result<Self> {
        let mut sums = BTreeMap::new();
        for contribution in merger.contributions() {
            add_contribution(&mut sums, contribution)?;
        }
        let now = BucketNumber::of_unix_ms(unix_ms);
        let services = sums.into_iter().map(|(name, sum)| service_row(now, name, &sum)).collect();
        let hosts = merger.contributions().map(|contribution| contribution.host.clone()).collect();
        Ok(Self { unix_ms, hosts, missing, services })
    }

    /// Returns the report as a plain-text table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<24} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}\n",
            "service", "target", "burn 5m", "burn 1h", "burn 6h", "within 6h", "p95 ms"
        );
        for row in &self.services {
            let burn =
                |index: usize| format_number(row.windows.get(index).and_then(|w| w.burn_rate));
            let within = row.windows.last().and_then(|window| window.within_percent);
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<24} {:>7.1}% {:>9} {:>9} {:>9} {:>9} {:>9.1}",
                row.service.as_str(),
                f64::from(row.share_permille) / 10.0,
                burn(0),
                burn(1),
                burn(2),
                format_number(within),
                row.latency.p95_us as f64 / 1_000.0
            );
        }
        let _ = write!(text, "hosts: {}", self.hosts.len());
        if !self.missing.is_empty() {
            let names: Vec<&str> = self.missing.iter().map(HostId::as_str).collect();
            let _ = write!(text, ", missing: {}", names.join(" "));
        }
        text.push('\n');
        text
    }
}

fn format_number(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.2}"))
}

fn add_contribution(
    sums: &mut BTreeMap<ServiceName, ServiceSum>,
    contribution: &BurnContribution,
) -> Result<()> {
    for (name, burn) in &contribution.services {
        if !sums.contains_key(name) {
            let sketch = new_sketch()?;
            let sum = ServiceSum { share_permille: 0, buckets: BTreeMap::new(), sketch };
            sums.insert(name.clone(), sum);
        }
        let Some(sum) = sums.get_mut(name) else { continue };
        // A host with a stale configuration may still use an older target.
        sum.share_permille = sum.share_permille.max(burn.share_permille);
        for (&bucket, &count) in &burn.buckets {
            sum.buckets.entry(bucket).or_default().add(count);
        }
        sum.sketch
            .add(decode_sketch(&burn.sketch)?)
            .map_err(|error| crate::burn::BurnError::Malformed(error.to_string()))?;
    }
    Ok(())
}

fn service_row(now: BucketNumber, service: ServiceName, sum: &ServiceSum) -> ServiceRow {
    let quantile = |share| sum.sketch.value_at_quantile(share);
    ServiceRow {
        service,
        share_permille: sum.share_permille,
        windows: WINDOWS.iter().map(|&window| window_burn(now, window, sum)).collect(),
        latency: LatencySummary {
            p50_us: quantile(0.5),
            p95_us: quantile(0.95),
            p99_us: quantile(0.99),
        },
        series: series(now, sum),
    }
}

fn window_burn(now: BucketNumber, window: BurnWindow, sum: &ServiceSum) -> WindowBurn {
    let count = count_ending_at(sum, now, window.buckets());
    let within_percent = (count.total > 0).then(|| count.good as f64 / count.total as f64 * 100.0);
    WindowBurn { window, count, within_percent, burn_rate: burn_rate(count, sum.share_permille) }
}

/// Returns the sum of the given number of buckets up to and including `last`.
fn count_ending_at(sum: &ServiceSum, last: BucketNumber, buckets: u64) -> BurnCount {
    let first = BucketNumber((last.0 + 1).saturating_sub(buckets));
    let mut total = BurnCount::default();
    sum.buckets.range(first..=last).for_each(|(_, &count)| total.add(count));
    total
}

/// Returns the share of bad requests divided by the allowed share.
///
/// A target of 1,000 permille allows no bad request, which would make the rate infinite. One bad
/// request in ten thousand is then taken as allowed, so that the rate stays finite.
fn burn_rate(count: BurnCount, share_permille: u16) -> Option<f64> {
    let allowed = (1.0 - f64::from(share_permille) / 1_000.0).max(0.0001);
    let bad = count.total.checked_sub(count.good)?;
    (count.total > 0).then(|| bad as f64 / count.total as f64 / allowed)
}

fn series(now: BucketNumber, sum: &ServiceSum) -> Vec<BurnPoint> {
    let points = RETAINED_BUCKETS as u64 / BUCKETS_PER_POINT;
    (0..points)
        .rev()
        .map(|index| {
            let last = BucketNumber(now.0.saturating_sub(index * BUCKETS_PER_POINT));
            let count = count_ending_at(sum, last, BUCKETS_PER_POINT);
            BurnPoint {
                minutes_ago: (index + 1) * BUCKETS_PER_POINT * BUCKET_LENGTH.as_secs() / 60,
                burn_rate: burn_rate(count, sum.share_permille),
            }
        })
        .collect()
}
