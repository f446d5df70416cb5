//! Reserves a server for the trial of a suspect, in agreement with all peers.

use std::collections::BTreeSet;
use std::time::Duration;

use super::CrashSuspects;
use super::OwnTrial;
use super::PeerState;
use super::SuspectPlacement;
use crate::crash_report::TrialView;
use crate::crash_report::WorkFingerprint;
use crate::ids::RequestId;
use crate::ids::ServerId;

/// Number of servers of a service per trial that may run at a time. At least one trial is allowed.
pub const SERVERS_PER_TRIAL: usize = 4;

impl CrashSuspects {
    /// Returns the server of the suspect's trial once all peers have acknowledged it. Until then
    /// the suspect is held back, and a trial is prepared if there is none and
    /// [`SERVERS_PER_TRIAL`] allows one more.
    pub(super) fn place_in_trial(
        &mut self,
        fingerprint: WorkFingerprint,
        request: RequestId,
        ran: Duration,
        candidates: &[ServerId],
    ) -> SuspectPlacement {
        self.withdraw_conflicts();
        if let Some(trial) = self.trials.get(&fingerprint) {
            let usable = trial.request == request && candidates.contains(&trial.server);
            return match usable && self.may_start(fingerprint, trial) {
                true => SuspectPlacement::Trial(trial.server.clone()),
                false => SuspectPlacement::Hold,
            };
        }
        let limit = (candidates.len() / SERVERS_PER_TRIAL).max(1);
        let reserved = self.trial_servers();
        let under_trial = candidates.iter().filter(|server| reserved.contains(server)).count();
        let tried_by_peer = self.peer_trials().any(|trial| trial.fingerprint == fingerprint);
        if !tried_by_peer && under_trial < limit {
            self.prepare_trial(fingerprint, request, ran, candidates, &reserved);
        }
        SuspectPlacement::Hold
    }

    /// Reserves the server with the fewest requests. Ties are broken by the fingerprint, so that
    /// hosts that choose at the same time tend to choose different servers.
    fn prepare_trial(
        &mut self,
        fingerprint: WorkFingerprint,
        request: RequestId,
        ran: Duration,
        candidates: &[ServerId],
        reserved: &[ServerId],
    ) {
        let free: Vec<&ServerId> = candidates.iter().filter(|id| !reserved.contains(id)).collect();
        let offset = (fingerprint.0 % free.len().max(1) as u128) as usize;
        let chosen = free.iter().enumerate().min_by_key(|(index, server)| {
            (self.running_count(server), (index + free.len() - offset) % free.len())
        });
        if let Some((_, &server)) = chosen {
            let (number, server) = (self.trial_count, server.clone());
            self.trial_count += 1;
            let trial = OwnTrial { number, server, request, ran, started_at: None };
            self.trials.insert(fingerprint, trial);
        }
    }

    /// Withdraws trials that have not started and conflict with one of a host with a lower id.
    fn withdraw_conflicts(&mut self) {
        let prior = self.peers.values().flat_map(|peer| &peer.trials);
        let prior: Vec<&TrialView> = prior.filter(|trial| trial.owner < self.host).collect();
        self.trials.retain(|&fingerprint, own| {
            let conflicts =
                |trial: &&TrialView| trial.server == own.server || trial.fingerprint == fingerprint;
            own.started_at.is_some() || !prior.iter().any(conflicts)
        });
    }

    /// Returns whether every peer has acknowledged the trial, has no request in flight on its
    /// server and has no conflicting trial.
    ///
    /// A peer's report lists its own trials along with its acknowledgements, so at most one of two
    /// conflicting trials starts.
    fn may_start(&self, fingerprint: WorkFingerprint, own: &OwnTrial) -> bool {
        let acknowledged = |peer: &PeerState| peer.busy.get(&own.number) == Some(&0);
        let conflicts =
            |trial: &TrialView| trial.server == own.server || trial.fingerprint == fingerprint;
        self.running_count(&own.server) == 0
            && self.peers.values().all(acknowledged)
            && !self.peer_trials().any(conflicts)
    }

    pub(super) fn peer_trials(&self) -> impl Iterator<Item = &TrialView> {
        self.peers.values().flat_map(|peer| &peer.trials)
    }

    pub(super) fn trial_servers(&self) -> Vec<ServerId> {
        let own = self.trials.values().map(|trial| &trial.server);
        let peers = self.peer_trials().map(|trial| &trial.server);
        own.chain(peers).cloned().collect::<BTreeSet<_>>().into_iter().collect()
    }
}
