//! Looks up answers on this host, on the host that accepted the request, and on the peers that may
//! have taken the request over.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::answer_store::AnswerStore;
use crate::answer_table::AnswerPart;
use crate::answer_table::AnswerState;
use crate::engine::TokenChunk;
use crate::handover::HANDOVER_VERSION;
use crate::handover::HandoverEnd;
use crate::handover::HandoverResult;
use crate::ids::RequestId;
use crate::member_snapshot::MemberView;
use crate::membership_service::MembershipService;
use crate::peer_link;
use crate::peer_link::FetchedAnswer;
use crate::request_id_generator::request_origin;
use crate::session_request::SessionEnd;
use crate::timestamp::ProcessClock;

/// Marker offset of the part that carries the end of a finished answer.
const END_OFFSET: u32 = u32::MAX;
/// Poll interval for an answer at a peer while it has no new tokens.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Looks up answers on this host and its peers.
pub struct AnswerFinder {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Answers stored on this host.
    pub answers: Arc<AnswerStore>,
    /// Membership, which lists the peers.
    pub members: Arc<MembershipService>,
}

impl AnswerFinder {
    /// Returns the tokens of an answer from offset `from` on, or `None` if no reachable host has
    /// the answer.
    ///
    /// Blocks the calling thread for up to `wait` until there are new tokens or the answer ends.
    pub fn find(&self, id: RequestId, from: u32, wait: Duration) -> Option<AnswerPart> {
        if let Some(part) = self.answers.wait_from(id, from, wait) {
            return Some(part);
        }
        let wait_until = self.clock.now() + wait;
        loop {
            let part = self.fetch_from_peers(id, from)?;
            let has_progress = !part.chunks.is_empty() || part.state != AnswerState::Running;
            if has_progress || self.clock.now() >= wait_until {
                return Some(part);
            }
            std::thread::sleep(PEER_POLL_INTERVAL);
        }
    }

    /// Asks the host that accepted the request first, then all other members.
    fn fetch_from_peers(&self, id: RequestId, from: u32) -> Option<AnswerPart> {
        let view = self.members.snapshot();
        let is_origin = |member: &&MemberView| {
            request_origin(&member.host, member.process_incarnation) == id.origin
        };
        let first = view.members.iter().filter(is_origin);
        let others = view.members.iter().filter(|member| !is_origin(member));
        first.chain(others).find_map(|member| self.fetch_from(member.address, id, from))
    }

    fn fetch_from(&self, peer: SocketAddr, id: RequestId, from: u32) -> Option<AnswerPart> {
        match self.members.client().fetch_answer(peer, id, from) {
            Ok(fetched) => from_fetched_answer(fetched),
            Err(error) => {
                log::debug!("event=answer_not_fetched request={id} peer={peer} error=\"{error}\"");
                None
            }
        }
    }
}

/// Converts a stored answer to the message that a fetching peer receives.
pub fn to_fetched_answer(id: RequestId, part: Option<AnswerPart>) -> FetchedAnswer {
    let Some(part) = part else {
        return FetchedAnswer { state: peer_link::AnswerState::Unknown, parts: Vec::new() };
    };
    let pieces = part
        .chunks
        .into_iter()
        .map(|chunk| peer_link::AnswerPart { offset: chunk.offset, data: chunk.text.into_bytes() });
    let mut parts: Vec<_> = pieces.collect();
    let state = match part.state {
        AnswerState::Running => peer_link::AnswerState::Running,
        AnswerState::Finished(end) => {
            let code = end.code();
            let end = HandoverEnd::from(&end);
            let result = HandoverResult { version: HANDOVER_VERSION, id, end };
            match result.encode() {
                Ok(data) => parts.push(peer_link::AnswerPart { offset: END_OFFSET, data }),
                Err(error) => log::warn!("event=answer_too_large request={id} error=\"{error}\""),
            }
            peer_link::AnswerState::Complete(code)
        }
    };
    FetchedAnswer { state, parts }
}

/// Converts a fetched message back to an answer; `None` if the peer does not have the answer or the
/// message is malformed.
pub fn from_fetched_answer(fetched: FetchedAnswer) -> Option<AnswerPart> {
    let mut chunks = Vec::new();
    let mut end = None;
    for part in fetched.parts {
        if part.offset == END_OFFSET {
            end = HandoverResult::decode(&part.data).ok().map(|result| result.end);
        } else {
            let text = String::from_utf8(part.data).ok()?;
            chunks.push(TokenChunk { offset: part.offset, text });
        }
    }
    let state = match fetched.state {
        peer_link::AnswerState::Unknown => return None,
        peer_link::AnswerState::Running => AnswerState::Running,
        peer_link::AnswerState::Complete(_) => AnswerState::Finished(SessionEnd::from(end?)),
    };
    Some(AnswerPart { chunks, state })
}
