//! Prometheus counters, gauges and latency histograms.
//!
//! Names and units are listed in `docs/operators/metrics.md`.

use prometheus::Encoder as _;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency histograms' buckets, in seconds. They span a fast lookup to the
/// longest deadline.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0];

/// Upper bounds of the buckets of observed times as multiples of the expected ones.
const RATIO_BUCKETS: [f64; 8] = [0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 4.0, 10.0];

/// Result of setting up metrics.
pub type Result<T> = std::result::Result<T, prometheus::Error>;

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Finished requests, by route kind and result code.
    pub requests: IntCounterVec,
    /// Finished attempts, by outcome.
    pub attempts: IntCounterVec,
    /// Changes of the host's state, such as an adopted configuration or a lost server, by event.
    pub events: IntCounterVec,
    /// Calls to the platform, by call and outcome.
    pub platform_calls: IntCounterVec,
    /// Seconds until the full response, or until a stream's first event, by route kind.
    pub first_byte_latency: HistogramVec,
    /// Seconds until the store acknowledged a list of streams, by outcome.
    pub record_latency: HistogramVec,
    /// Decisions on requests of teams with a quota, by rank and outcome.
    pub quota_decisions: IntCounterVec,
    /// Gauge: units that a team used of its quota in the window at all hosts, in per mille.
    pub quota_use: IntGaugeVec,
    /// Streams that callers took up, by outcome.
    pub resumed_streams: IntCounterVec,
    /// Seconds until the end of the response, by route kind.
    pub total_latency: HistogramVec,
    /// Gauges: requests in flight, listed servers, reachable peers.
    pub levels: IntGaugeVec,
    /// Gauge: share of the requests that should leave this host's zone in thousandths, by service.
    pub zone_flow: IntGaugeVec,
    /// Attempts in other zones, by service and reason.
    pub left_zone: IntCounterVec,
    /// Answers while a version is rolled out, by side and outcome.
    pub rollout_answers: IntCounterVec,
    /// Gauge: thousandths of a service's new requests that go to a version that is rolled out.
    pub rollout_share: IntGaugeVec,
    /// Gauge: listed servers, by service and version of their software.
    pub servers: IntGaugeVec,
    /// Gauge: what was learned of the servers of a service, by service and value.
    pub speeds: IntGaugeVec,
    /// Late answers, by service and the part that was late.
    pub late_answers: IntCounterVec,
    /// Time to the first event as a multiple of the expected time, by service.
    pub first_event_ratio: HistogramVec,
    /// Seconds for which two attempts at one stream had both begun when one of them was dropped, by service.
    pub stream_overlap: HistogramVec,
    /// Gauge: requests that wait for a server or for quota, by rank.
    pub waiting_requests: IntGaugeVec,
    /// Seconds for which requests waited, by rank.
    pub wait_time: HistogramVec,
    /// Waits that ended and refused ones, by rank and outcome.
    pub wait_ends: IntCounterVec,
    /// Gauge: thousandths of the requests that are admitted, by service and rank.
    pub admitted_shares: IntGaugeVec,
}

impl GatewayMetrics {
    /// Registers every metric.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let histogram = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let histogram = HistogramVec::new(options, &[label])?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let levels =
            IntGaugeVec::new(Opts::new("pomelostack_level", "Levels of the moment."), &["level"])?;
        registry.register(Box::new(levels.clone()))?;
        let zone_flow = IntGaugeVec::new(
            Opts::new("pomelostack_zone_flow", "Thousandths of requests that should leave."),
            &["service"],
        )?;
        registry.register(Box::new(zone_flow.clone()))?;
        let servers = IntGaugeVec::new(
            Opts::new("pomelostack_servers", "Listed servers."),
            &["service", "version"],
        )?;
        registry.register(Box::new(servers.clone()))?;
        let speeds = IntGaugeVec::new(
            Opts::new("pomelostack_learned_speed", "Learned speed of a service's servers."),
            &["service", "value"],
        )?;
        registry.register(Box::new(speeds.clone()))?;
        let ratios = HistogramOpts::new(
            "pomelostack_first_event_ratio",
            "Time to the first event divided by the expected time.",
        );
        let first_event_ratio =
            HistogramVec::new(ratios.buckets(RATIO_BUCKETS.to_vec()), &["service"])?;
        registry.register(Box::new(first_event_ratio.clone()))?;
        let quota_use = IntGaugeVec::new(
            Opts::new("pomelostack_quota_use_per_mille", "Units of a quota used in the window."),
            &["team"],
        )?;
        registry.register(Box::new(quota_use.clone()))?;
        let rollout_share = IntGaugeVec::new(
            Opts::new("pomelostack_rollout_share", "Thousandths of requests to a new version."),
            &["service"],
        )?;
        registry.register(Box::new(rollout_share.clone()))?;
        let waiting_requests = IntGaugeVec::new(
            Opts::new("pomelostack_waiting_requests", "Requests that wait."),
            &["rank"],
        )?;
        registry.register(Box::new(waiting_requests.clone()))?;
        let admitted_shares = IntGaugeVec::new(
            Opts::new("pomelostack_admitted_permille", "Thousandths of requests admitted."),
            &["service", "rank"],
        )?;
        registry.register(Box::new(admitted_shares.clone()))?;
        Ok(Self {
            quota_decisions: counter(
                "pomelostack_quota_decisions_total",
                "Decisions on requests of teams with a quota.",
                &["rank", "outcome"],
            )?,
            quota_use,
            rollout_answers: counter(
                "pomelostack_rollout_answers_total",
                "Attempts that ended while a version was rolled out.",
                &["side", "outcome"],
            )?,
            rollout_share,
            requests: counter(
                "pomelostack_requests_total",
                "Requests that ended.",
                &["kind", "code"],
            )?,
            attempts: counter("pomelostack_attempts_total", "Attempts that ended.", &["outcome"])?,
            events: counter("pomelostack_events_total", "Changes of belief.", &["event"])?,
            platform_calls: counter(
                "pomelostack_platform_calls_total",
                "Calls to the platform.",
                &["call", "outcome"],
            )?,
            first_byte_latency: histogram(
                "pomelostack_first_byte_seconds",
                "Seconds until the whole answer or a stream's first event.",
                "kind",
            )?,
            record_latency: histogram(
                "pomelostack_stream_record_seconds",
                "Seconds until the store acknowledged a list of streams.",
                "outcome",
            )?,
            resumed_streams: counter(
                "pomelostack_resumed_streams_total",
                "Streams that callers took up.",
                &["outcome"],
            )?,
            total_latency: histogram(
                "pomelostack_answer_seconds",
                "Seconds until an answer's end.",
                "kind",
            )?,
            late_answers: counter(
                "pomelostack_late_answers_total",
                "Late answers.",
                &["service", "part"],
            )?,
            left_zone: counter(
                "pomelostack_left_zone_total",
                "Attempts in other zones.",
                &["service", "reason"],
            )?,
            zone_flow,
            levels,
            servers,
            speeds,
            first_event_ratio,
            stream_overlap: histogram(
                "pomelostack_stream_overlap_seconds",
                "Seconds for which two attempts at one stream had both begun.",
                "service",
            )?,
            waiting_requests,
            admitted_shares,
            wait_time: histogram(
                "pomelostack_wait_seconds",
                "Seconds for which requests waited.",
                "rank",
            )?,
            wait_ends: counter(
                "pomelostack_waits_total",
                "Waits that ended or were refused.",
                &["rank", "outcome"],
            )?,
            registry,
        })
    }

    /// Returns every metric in the Prometheus text format.
    pub fn render(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
