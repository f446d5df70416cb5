//! What an entry host does for its peers.

use std::sync::Arc;

use crate::answer_store::AnswerStore;
use crate::answer_table;
use crate::config_follower::ConfigFollower;
use crate::ids::RequestId;
use crate::peer_link::AnswerPart;
use crate::peer_link::AnswerState;
use crate::peer_link::CheckpointCopy;
use crate::peer_link::FetchedAnswer;
use crate::peer_link::PeerHandler;
use crate::peer_link::TakeOverAnswer;
use crate::result_code::ResultCode;

/// Serves peers from this host's state.
pub struct EntryPeerHandler {
    /// Answers of this host.
    pub answers: Arc<AnswerStore>,
    /// Configuration of this host.
    pub config: Arc<ConfigFollower>,
}

impl PeerHandler for EntryPeerHandler {
    fn take_over(&self, _request: RequestId, _payload: &[u8]) -> TakeOverAnswer {
        TakeOverAnswer::Refused(ResultCode::HostLeaving)
    }

    fn fetch_answer(&self, request: RequestId, from_offset: u32) -> FetchedAnswer {
        let Some(part) = self.answers.read_from(request, from_offset) else {
            return FetchedAnswer { state: AnswerState::Unknown, parts: Vec::new() };
        };
        let state = match part.state {
            answer_table::AnswerState::Running => AnswerState::Running,
            answer_table::AnswerState::Finished(end) => AnswerState::Complete(end.code()),
        };
        let pieces = part.chunks.into_iter();
        let parts =
            pieces.map(|chunk| AnswerPart { offset: chunk.offset, data: chunk.text.into_bytes() });
        FetchedAnswer { state, parts: parts.collect() }
    }

    fn config_checkpoint(&self) -> Option<CheckpointCopy> {
        let snapshot = self.config.current();
        let offset = snapshot.revision?;
        let checkpoint = self.config.checkpoint();
        Some(CheckpointCopy { offset, digest: checkpoint.digest.to_vec(), body: checkpoint.data })
    }

    fn burn_contribution(&self) -> Vec<u8> {
        Vec::new()
    }
}
