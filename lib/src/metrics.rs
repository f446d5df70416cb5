//! Metrics, sent to a statsd collector over UDP.
//!
//! `docs/operators/metrics.md` lists names and units; a test checks that the two match.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed as _;

use crate::ids::ServiceName;
use crate::result_code::ResultCode;

/// Prefix of every metric.
pub const METRIC_PREFIX: &str = "pomelostack";

/// Result of setting up metrics.
pub type Result<T> = std::result::Result<T, cadence::MetricError>;

macro_rules! metric_names {
    ($(#[$type_doc:meta])* $type:ident { $($(#[$doc:meta])* $name:ident = $text:literal,)* }) => {
        $(#[$type_doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $type {
            $($(#[$doc])* $name,)*
        }

        impl $type {
            /// Every metric of this type.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name without the prefix.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

metric_names! {
    /// Metrics that count events.
    CounterMetric {
        /// Requests received.
        Requests = "requests",
        /// Requests ended, by result code.
        Outcomes = "outcomes",
        /// Prompt tokens that were computed again.
        TokensRecomputed = "tokens_recomputed",
        /// Attempts after the first of a request.
        Retries = "retries",
        /// Records of claims that were appended to the log.
        Claims = "claims",
        /// Restarts of supervised children.
        ChildRestarts = "child_restarts",
        /// Records and messages that were skipped, by result code.
        SkippedInput = "skipped_input",
    }
}

metric_names! {
    /// Metrics that measure time.
    TimerMetric {
        /// Time from acceptance to the first token, or to the whole answer of an app.
        FirstToken = "first_token",
        /// Time between consecutive tokens.
        TokenGap = "token_gap",
    }
}

metric_names! {
    /// Metrics that report a current value.
    GaugeMetric {
        /// Requests that wait for a backend server.
        QueueLength = "queue_length",
        /// Requests that are running.
        InFlight = "in_flight",
        /// Revision of the configuration in force.
        ConfigRevision = "config_revision",
        /// Members that this host considers live, itself included.
        LiveMembers = "live_members",
        /// Burn rate in thousandths, by service and window.
        BurnRate = "burn_rate_permille",
    }
}

/// Sends metrics to the collector, or drops them if there is none.
pub struct MetricsReporter {
    client: StatsdClient,
}

impl MetricsReporter {
    /// Builds a reporter that sends to `collector`, if there is one.
    pub fn new(collector: Option<SocketAddr>) -> Result<Self> {
        let client = match collector {
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket)?;
                StatsdClient::from_sink(METRIC_PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self { client })
    }

    /// Counts events of a service.
    pub fn count(&self, metric: CounterMetric, service: &ServiceName, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        let event = self.client.count_with_tags(metric.name(), count);
        // A failure to send a metric must not affect the request.
        let _ = event.with_tag("service", service.as_str()).try_send();
    }

    /// Counts events that belong to no single service; sends nothing if `count` is zero.
    pub fn count_untagged(&self, metric: CounterMetric, count: u64) {
        if count > 0 {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let _ = self.client.count_with_tags(metric.name(), count).try_send();
        }
    }

    /// Counts events with their result code; sends nothing if `count` is zero.
    pub fn count_code(&self, metric: CounterMetric, code: ResultCode, count: u64) {
        if count > 0 {
            let number = code.number().to_string();
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let event = self.client.count_with_tags(metric.name(), count);
            let _ = event.with_tag("code", &number).try_send();
        }
    }

    /// Records a duration for a service.
    pub fn time(&self, metric: TimerMetric, service: &ServiceName, time: Duration) {
        let event = self.client.time_with_tags(metric.name(), time);
        let _ = event.with_tag("service", service.as_str()).try_send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: GaugeMetric, value: u64) {
        let _ = self.client.gauge_with_tags(metric.name(), value).try_send();
    }

    /// Sets the gauge of a service's burn rate over a window, in thousandths.
    pub fn gauge_burn(&self, service: &ServiceName, window: &str, permille: u64) {
        let event = self.client.gauge_with_tags(GaugeMetric::BurnRate.name(), permille);
        let _ = event.with_tag("service", service.as_str()).with_tag("window", window).try_send();
    }
}
