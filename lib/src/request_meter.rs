//! Measures each request's output to the caller for metrics, a log line and service-level burn.

use std::sync::Arc;
use std::time::Duration;

use crate::engine::TokenChunk;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::metrics::CounterMetric;
use crate::metrics::MetricsReporter;
use crate::metrics::TimerMetric;
use crate::result_code::ResultCode;
use crate::session_request::CallerSink;
use crate::session_request::CheckedRequest;
use crate::session_request::SessionEnd;
use crate::session_request::SinkState;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Latencies of a request, as the latency target counts them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTimes {
    /// Requested service.
    pub service: ServiceName,
    /// Time from acceptance to the first token, or to the whole answer of an app.
    pub first_token: Option<Duration>,
    /// Mean time between consecutive tokens; `None` for fewer than two tokens.
    pub mean_gap: Option<Duration>,
    /// Result code of the request.
    pub code: ResultCode,
    /// Time from acceptance to the end.
    pub total: Duration,
}

/// Records the latencies of each ended request.
pub type TimesRecorder = Arc<dyn Fn(&RequestTimes) + Send + Sync>;

/// Forwards a session's output to `inner` and measures it.
pub struct RequestMeter<S> {
    inner: S,
    clock: ProcessClock,
    metrics: Arc<MetricsReporter>,
    recorder: TimesRecorder,
    id: RequestId,
    service: ServiceName,
    team: TeamName,
    accepted_at: Timestamp,
    last_token_at: Option<Timestamp>,
    first_token: Option<Duration>,
    gap_sum: Duration,
    gaps: u32,
}

impl<S: CallerSink> RequestMeter<S> {
    /// Measures the output of one request.
    pub fn new(
        inner: S,
        request: &CheckedRequest,
        clock: ProcessClock,
        metrics: Arc<MetricsReporter>,
        recorder: TimesRecorder,
    ) -> Self {
        Self {
            inner,
            clock,
            metrics,
            recorder,
            id: request.id,
            service: request.service.name.clone(),
            team: request.team.clone(),
            accepted_at: request.accepted_at,
            last_token_at: None,
            first_token: None,
            gap_sum: Duration::ZERO,
            gaps: 0,
        }
    }

    fn measure_token(&mut self, now: Timestamp) {
        match self.last_token_at.replace(now) {
            None => {
                let first = now.since(self.accepted_at);
                self.first_token = Some(first);
                self.metrics.time(TimerMetric::FirstToken, &self.service, first);
            }
            Some(last) => {
                let gap = now.since(last);
                self.gap_sum += gap;
                self.gaps += 1;
                self.metrics.time(TimerMetric::TokenGap, &self.service, gap);
            }
        }
    }

    fn measure_end(&mut self, end: &SessionEnd) {
        let now = self.clock.now();
        let code = end.code();
        let total = now.since(self.accepted_at);
        if let SessionEnd::AppDone(_) = end {
            self.measure_token(now);
        }
        self.metrics.count_code(CounterMetric::Outcomes, code, 1);
        log::info!(
            "event=request_ended request={} service={} team={} code={} outcome={} took_ms={}",
            self.id,
            self.service,
            self.team,
            code.number(),
            code.outcome(),
            total.as_millis(),
        );
        (self.recorder)(&RequestTimes {
            service: self.service.clone(),
            first_token: self.first_token,
            mean_gap: self.gap_sum.checked_div(self.gaps),
            code,
            total,
        });
    }
}

impl<S: CallerSink> CallerSink for RequestMeter<S> {
    fn accepted(&mut self, id: RequestId) {
        self.inner.accepted(id);
    }

    fn state(&self) -> SinkState {
        self.inner.state()
    }

    fn token(&mut self, chunk: &TokenChunk) -> SinkState {
        self.measure_token(self.clock.now());
        self.inner.token(chunk)
    }

    fn finish(&mut self, end: &SessionEnd) {
        self.measure_end(end);
        self.inner.finish(end);
    }
}
