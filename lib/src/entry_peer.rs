//! Handles the calls of peers on an entry host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;

use crate::answer_finder::to_fetched_answer;
use crate::answer_store::AnswerStore;
use crate::burn_tracker::BurnTracker;
use crate::config_follower::ConfigFollower;
use crate::crash_report::CrashReport;
use crate::crash_suspects::CrashSuspects;
use crate::handover_receiver::HandoverReceiver;
use crate::ids::RequestId;
use crate::peer_link::CheckpointCopy;
use crate::peer_link::FetchedAnswer;
use crate::peer_link::PeerHandler;
use crate::peer_link::TakeOverAnswer;
use crate::result_code::ResultCode;
use crate::session_ports::lock;
use crate::timestamp::ProcessClock;

/// Answers the calls of peers from this host's state.
pub struct EntryPeerHandler {
    /// Answers of this host.
    pub answers: Arc<AnswerStore>,
    /// Configuration of this host.
    pub config: Arc<ConfigFollower>,
    /// Service-level burn of this host.
    pub burn: Arc<BurnTracker>,
    /// Clock that dates received crash reports.
    pub clock: ProcessClock,
    /// Requests suspected of crashing backend servers.
    pub suspects: Arc<Mutex<CrashSuspects>>,
    /// Takes over requests; unset until this host can run them.
    pub handover_receiver: Arc<OnceLock<Arc<HandoverReceiver>>>,
}

impl PeerHandler for EntryPeerHandler {
    fn take_over(&self, request: RequestId, payload: &[u8]) -> TakeOverAnswer {
        match self.handover_receiver.get() {
            Some(handover_receiver) => handover_receiver.on_message(request, payload),
            None => TakeOverAnswer::Refused(ResultCode::NotReady),
        }
    }

    fn fetch_answer(&self, request: RequestId, from_offset: u32) -> FetchedAnswer {
        to_fetched_answer(request, self.answers.read_from(request, from_offset))
    }

    fn config_checkpoint(&self) -> Option<CheckpointCopy> {
        let offset = self.config.current().revision?;
        let checkpoint = self.config.checkpoint();
        Some(CheckpointCopy { offset, digest: checkpoint.digest.to_vec(), body: checkpoint.data })
    }

    fn on_crash_report(&self, report: &[u8]) {
        match CrashReport::decode(report) {
            Ok(report) => lock(&self.suspects).on_report(self.clock.now(), &report),
            Err(error) => log::warn!(
                "event=bad_crash_report code={} error=\"{error}\"",
                error.code().number()
            ),
        }
    }

    fn burn_contribution(&self) -> Vec<u8> {
        self.burn.encoded_contribution()
    }
}
