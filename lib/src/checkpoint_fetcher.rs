//! Fetches the configuration from peers when the log cannot provide it.
//!
//! A host that starts during a log outage, or that missed records, fetches checkpoints from its
//! peers and installs the newest one. If a second peer is at the same offset, the digests of both
//! must match.

use std::sync::Arc;
use std::time::Duration;

use crate::config_checkpoint::EncodedCheckpoint;
use crate::config_fold::ConfigFold;
use crate::config_follower::ConfigFollower;
use crate::config_replica::ReplicaState;
use crate::ids::LogOffset;
use crate::membership_service::MembershipService;
use crate::peer_link::CheckpointCopy;
use crate::supervisor::ChildContext;

/// Interval between checks whether a checkpoint is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of peers asked in one fetch.
const MAX_PEERS_PER_FETCH: usize = 3;

/// Fetches checkpoints from peers when they are needed.
pub struct CheckpointFetcher {
    /// Configuration of this host.
    pub config: Arc<ConfigFollower>,
    /// Peers.
    pub members: Arc<MembershipService>,
}

/// A valid checkpoint from a peer.
struct PeerCheckpoint {
    encoded: EncodedCheckpoint,
    fold: ConfigFold,
}

impl CheckpointFetcher {
    /// Runs until the child must stop.
    pub fn run(&self, context: &ChildContext) {
        while !context.must_stop() {
            if self.is_needed() {
                self.fetch();
            }
            context.report_progress();
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Returns whether peers may have records that this host cannot read.
    fn is_needed(&self) -> bool {
        let status = self.config.status();
        match status.replica_state {
            ReplicaState::Empty | ReplicaState::Scanning | ReplicaState::Gap => true,
            ReplicaState::Peer | ReplicaState::Log => {
                let known = self.config.current().next_offset;
                !status.log_readable && self.members.snapshot().config_offset > known
            }
        }
    }

    fn fetch(&self) {
        let view = self.members.snapshot();
        let asked = view.routable().take(MAX_PEERS_PER_FETCH);
        let copies = asked.filter_map(|member| {
            match self.members.client().fetch_config_checkpoint(member.address) {
                Ok(copy) => decode_copy(copy?),
                Err(error) => {
                    log::debug!("event=no_checkpoint peer={} error=\"{error}\"", member.host);
                    None
                }
            }
        });
        let mut copies: Vec<PeerCheckpoint> = copies.collect();
        copies.sort_by_key(|copy| std::cmp::Reverse(copy.offset()));
        let Some((newest, others)) = copies.split_first() else { return };
        let second = others.iter().find(|other| other.offset() == newest.offset());
        let confirmed = second.map(|other| other.fold.digest());
        match self.config.install_checkpoint(&newest.encoded, confirmed) {
            Ok(true) => log::info!(
                "event=checkpoint_installed offset={} confirmed={}",
                newest.offset().0,
                confirmed.is_some()
            ),
            Ok(false) => {}
            Err(error) => log::error!("event=checkpoint_refused error=\"{error}\""),
        }
    }
}

impl PeerCheckpoint {
    fn offset(&self) -> LogOffset {
        self.fold.next_offset()
    }
}

fn decode_copy(copy: CheckpointCopy) -> Option<PeerCheckpoint> {
    let digest = <[u8; 32]>::try_from(copy.digest.as_slice()).ok()?;
    let encoded = EncodedCheckpoint { digest, data: copy.body };
    match ConfigFold::from_checkpoint(&encoded) {
        Ok(fold) => Some(PeerCheckpoint { encoded, fold }),
        Err(error) => {
            log::warn!("event=bad_checkpoint error=\"{error}\"");
            None
        }
    }
}
