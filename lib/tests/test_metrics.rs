//! Every metric is documented, and metrics reach the collector in the statsd format.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::metrics::CounterMetric;
use pomelostack_lib::metrics::GaugeMetric;
use pomelostack_lib::metrics::MetricsReporter;
use pomelostack_lib::metrics::TimerMetric;
use pomelostack_lib::result_code::ResultCode;

/// Timeout of a wait for a metric, after which the test fails.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn documented_names() {
    let page = include_str!("../../docs/operators/metrics.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<(&str, &str)> = rows
        .map(|row| {
            let mut cells = row.split('|').map(str::trim);
            let name = cells.next().unwrap_or_default().trim_end_matches('`');
            (name, cells.next().unwrap_or_default())
        })
        .collect();
    let counters = CounterMetric::ALL.iter().map(|metric| (metric.name(), "counter"));
    let timers = TimerMetric::ALL.iter().map(|metric| (metric.name(), "timer"));
    let gauges = GaugeMetric::ALL.iter().map(|metric| (metric.name(), "gauge"));
    assert_eq!(documented, counters.chain(timers).chain(gauges).collect());
}

#[test]
fn sent_lines() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    collector.set_read_timeout(Some(RECEIVE_TIMEOUT)).expect("a timeout");
    let address = collector.local_addr().expect("an address");
    let metrics = MetricsReporter::new(Some(address)).expect("a reporter");
    let service = ServiceName::try_from("briefing").expect("a name");
    metrics.count(CounterMetric::Requests, &service, 2);
    metrics.count_code(CounterMetric::Outcomes, ResultCode::NoServer, 1);
    metrics.count_untagged(CounterMetric::Retries, 0);
    metrics.time(TimerMetric::FirstToken, &service, Duration::from_millis(7));
    metrics.gauge(GaugeMetric::InFlight, 3);
    drop(metrics);
    let mut text = String::new();
    let mut buffer = [0; 2_048];
    while !text.contains("in_flight") {
        let length = collector.recv(&mut buffer).expect("metrics arrive");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        text.push('\n');
    }
    let lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
    let expected = [
        "pomelostack.requests:2|c|#service:briefing",
        "pomelostack.outcomes:1|c|#code:202",
        "pomelostack.first_token:7|ms|#service:briefing",
        "pomelostack.in_flight:3|g",
    ];
    assert_eq!(lines, expected);
}
