//! Continues requests that a draining host handed over.

use std::sync::Arc;

use super::SessionDriver;
use super::max_tokens_of;
use crate::engine::TokenChunk;
use crate::handover::HandoverPhase;
use crate::handover::HandoverResult;
use crate::handover::UnfinishedRequest;
use crate::ids::RequestId;
use crate::request_session::RequestSession;
use crate::resource::ServiceResource;
use crate::result_code::ResultCode;
use crate::session_event::SessionKind;
use crate::session_event::SessionLimits;
use crate::session_request::CallerSink;
use crate::session_request::SessionEnd;
use crate::session_request::SinkState;
use crate::session_stream::AnswerStream;

/// Discards the answer of a request without a connected caller; callers read it from the answer
/// store.
struct NullSink;

impl CallerSink for NullSink {
    fn accepted(&mut self, _id: RequestId) {}

    fn token(&mut self, _chunk: &TokenChunk) -> SinkState {
        SinkState::Open
    }

    fn finish(&mut self, _end: &SessionEnd) {}
}

impl SessionDriver {
    /// Stores the tokens of an offered request so that callers can read them; idempotent.
    ///
    /// Returns whether they are stored; if not, the offer must be refused.
    pub fn store_offer(&self, state: &UnfinishedRequest, service: Arc<ServiceResource>) -> bool {
        let now = self.ports.clock.now();
        let request = state.to_request(now, service);
        let answers = &self.ports.answers;
        if answers.begin(state.id, max_tokens_of(&request)).is_ok() {
            state.chunks().for_each(|chunk| answers.push(state.id, &chunk));
            return true;
        }
        answers.read_from(state.id, u32::MAX).is_some()
    }

    /// Runs an offered request to its final answer; blocks the calling thread.
    ///
    /// A call in flight is never sent again: it ends as UNKNOWN.
    pub fn take_over(&self, state: &UnfinishedRequest, service: Arc<ServiceResource>) {
        if state.phase == HandoverPhase::InFlight {
            let end = SessionEnd::Unknown { code: ResultCode::ClaimantGone, retry_after: None };
            self.ports.answers.finish(state.id, end);
            return;
        }
        let request = state.to_request(self.ports.clock.now(), service);
        let limits = SessionLimits::from(&request.service.latency_target);
        let next_offset = u32::try_from(state.tokens.len()).unwrap_or(u32::MAX);
        let stream = AnswerStream::resume(next_offset, state.tokens.concat());
        let may_have_run = state.phase != HandoverPhase::NotDispatched;
        let session = RequestSession::new(SessionKind::from(&request), limits, request.deadline)
            .resume(stream, state.last_attempt, may_have_run);
        let session = if state.claimed { session.with_claim(state.fence) } else { session };
        self.run_session(request, session, &mut NullSink);
    }

    /// Stores the final answer of a call in flight, sent by the host that handed it over.
    pub fn store_result(&self, result: HandoverResult) {
        self.ports.answers.finish(result.id, SessionEnd::from(result.end));
    }
}
