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
    /// Streams that callers took up, by outcome.
    pub resumed_streams: IntCounterVec,
    /// Seconds until the end of the response, by route kind.
    pub total_latency: HistogramVec,
    /// Gauges: requests in flight, listed servers, reachable peers.
    pub levels: IntGaugeVec,
    /// Gauge: listed servers, by service and version of their software.
    pub servers: IntGaugeVec,
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
        let servers = IntGaugeVec::new(
            Opts::new("pomelostack_servers", "Listed servers."),
            &["service", "version"],
        )?;
        registry.register(Box::new(servers.clone()))?;
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
            levels,
            servers,
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
