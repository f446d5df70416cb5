//! Binds the attempts of a request to the software version that began its stream.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::accepted_request::RefusalReason;
use crate::gateway::caller_request::CallerHead;
use crate::gateway::caller_request::EventNumber;
use crate::gateway::caller_request::StreamOrigin;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::version_ledger::DirectoryView;
use crate::gateway::version_ledger::RecordNeed;
use crate::gateway::version_ledger::StreamBegin;
use crate::gateway::version_ledger::StreamKey;
use crate::gateway::version_ledger::StreamTrace;
use crate::gateway::version_ledger::TraceSource;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;
use crate::software_version::SoftwareVersion;
use crate::text_label::TextLabel;
use crate::timestamp::Timestamp;

/// Longest wait for the records of streams; a store that answers takes a fraction of it.
const TRACE_WAIT: Duration = Duration::from_millis(600);

/// Time after the arrival of a request from which on what peers tell is news: after a stall of the process,
/// old summaries are read together with the request.
const NEWS_DELAY: Duration = Duration::from_millis(100);

/// Longest wait for news: most peers tell something within two summary periods.
const NEWS_WAIT: Duration = Duration::from_millis(900);

/// Interval of the checks for news.
const NEWS_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Longest time for which the first event of a stream waits until the stream is recorded.
const RECORD_WAIT: Duration = Duration::from_millis(800);

/// Retry delay stated to callers while it cannot be told where their streams began.
const TRACE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Whether the first event of a stream may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindOutcome {
    /// It may: the stream is bound to its server's version.
    Bound,
    /// Its server's version is another one than that of the events before.
    OtherVersion,
    /// The version could not be recorded, and the stream might be resumed at another one.
    Unrecorded,
}

/// The stream of a request that callers and hosts may resume.
#[derive(Debug)]
pub struct StreamBinding {
    /// Its key; missing if the caller did not name the stream that it takes up.
    key: Option<StreamKey>,
    /// Version that the caller has events of, once that is known.
    version: RefCell<Option<SoftwareVersion>>,
    /// Time for which the caller waits.
    wait: Duration,
}

impl StreamBinding {
    /// Returns the version that the request is bound to.
    pub fn version(&self) -> Option<SoftwareVersion> {
        self.version.borrow().clone()
    }

    /// Records that an attempt is sent to a server where the stream may begin.
    pub fn on_sent(&self, state: &GatewayState, begin: &StreamBegin) -> RecordNeed {
        let Some(key) = self.key.filter(|_| self.version.borrow().is_none()) else {
            return RecordNeed::Nothing;
        };
        let need = state.versions.borrow_mut().on_sent(state.now(), key, begin, self.wait);
        if need != RecordNeed::Nothing {
            state.version_sync.request_record();
            if !state.versions.borrow().knows_base(&begin.service) {
                state.version_sync.request_read();
            }
        }
        need
    }

    /// Binds the stream to the version of the server whose first event is about to be relayed, once that is
    /// recorded.
    pub async fn bind(&self, state: &GatewayState, begin: &StreamBegin) -> BindOutcome {
        if let Some(bound) = self.version() {
            return match bound == begin.version {
                true => BindOutcome::Bound,
                false => BindOutcome::OtherVersion,
            };
        }
        if let RecordNeed::Recorded(ticket) = self.on_sent(state, begin)
            && !state.version_sync.wait_for_record(ticket, RECORD_WAIT).await
        {
            state.metrics.events.with_label_values(&["stream_unrecorded"]).inc();
            return BindOutcome::Unrecorded;
        }
        if let Some(key) = self.key {
            state.versions.borrow_mut().on_first_event(key);
        }
        self.version.replace(Some(begin.version.clone()));
        BindOutcome::Bound
    }
}

/// Returns the binding of a request for a stream that may be resumed. For one that takes a stream up, finds
/// out at which version it began.
pub async fn bind_request(
    state: &Rc<GatewayState>,
    head: &CallerHead,
    team: Option<&TeamName>,
    service: &ServiceName,
    wait: Duration,
) -> Result<StreamBinding, RefusalReason> {
    let attempt = TextLabel::of(head.request_id.as_bytes());
    let key = match (&head.origin, head.resume_after) {
        (StreamOrigin::Named(origin), _) => Some(StreamKey::of(team, origin)),
        (StreamOrigin::Unnamed, None | Some(0)) => {
            let key = Some(StreamKey::of(team, &attempt));
            return Ok(StreamBinding { key, version: RefCell::default(), wait });
        }
        (StreamOrigin::Unnamed, Some(_)) => None,
        (StreamOrigin::Ambiguous, _) => {
            return Err(refuse(state, head, StreamTrace::Untraceable));
        }
    };
    let recalled = key.and_then(|key| state.versions.borrow().recall(key, service));
    let trace = match recalled {
        Some(trace) => trace,
        None => {
            let news_since = state.now() + NEWS_DELAY;
            let records = state.version_sync.read(TRACE_WAIT).await;
            let trace = |view| {
                state.observe_versions();
                let versions = state.versions.borrow();
                versions.trace(state.now(), key, service, records.as_deref(), view)
            };
            match trace(DirectoryView::Shared) {
                StreamTrace::Version(_, TraceSource::OnlyVersion) => {
                    wait_for_news(state, news_since).await;
                    trace(state.directory_view(news_since))
                }
                trace => trace,
            }
        }
    };
    let StreamTrace::Version(version, source) = trace else {
        return Err(refuse(state, head, trace));
    };
    log_trace(head, &version, source);
    let label = match source {
        TraceSource::Memory => "memory",
        TraceSource::Record => "record",
        TraceSource::Base => "base",
        TraceSource::OnlyVersion => "only_version",
    };
    state.metrics.resumed_streams.with_label_values(&[label]).inc();
    if let Some(key) = key {
        let begin = StreamBegin { service: service.clone(), version: version.clone() };
        state.versions.borrow_mut().on_traced(state.now(), key, begin, wait);
    }
    Ok(StreamBinding { key, version: RefCell::new(Some(version)), wait })
}

/// Waits until most peers were heard from since a time, or for as long as that may take.
async fn wait_for_news(state: &GatewayState, since: Timestamp) {
    let until = since + NEWS_WAIT;
    while state.now() < until {
        if state.peers.borrow().has_news_since(state.now(), since) {
            return;
        }
        tokio::time::sleep(NEWS_CHECK_PERIOD).await;
    }
}

fn log_trace(head: &CallerHead, version: &SoftwareVersion, source: TraceSource) {
    log::info!(
        "event=stream_traced request={} origin={} after={} version={version} source={source:?}",
        head.request_id,
        head.origin,
        EventNumber(head.resume_after),
    );
}

fn refuse(state: &GatewayState, head: &CallerHead, trace: StreamTrace) -> RefusalReason {
    let (label, reason) = match trace {
        StreamTrace::Unavailable => {
            let code = ResultCode::StreamUntraced;
            ("unavailable", RefusalReason::with_retry_after(code, TRACE_RETRY_AFTER))
        }
        StreamTrace::Untraceable | StreamTrace::Version(..) => {
            ("untraceable", RefusalReason::new(ResultCode::StreamUntraceable))
        }
    };
    state.metrics.resumed_streams.with_label_values(&[label]).inc();
    log::info!(
        "event=stream_refused request={} origin={} after={} outcome={label}",
        head.request_id,
        head.origin,
        EventNumber(head.resume_after),
    );
    reason
}
