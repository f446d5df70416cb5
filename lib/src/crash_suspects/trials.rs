//! How hosts agree on the server on which a suspect is tried alone.

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

/// Servers of a service for each one that may be under trial.
pub const SERVERS_PER_TRIAL: usize = 4;

impl CrashSuspects {
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
            return match usable && self.is_acknowledged(fingerprint, trial) {
                true => SuspectPlacement::Trial(trial.server.clone()),
                false => SuspectPlacement::Hold,
            };
        }
        let limit = (candidates.len() / SERVERS_PER_TRIAL).max(1);
        let busy = self.trial_servers();
        let on_trial = candidates.iter().filter(|server| busy.contains(server)).count();
        let known = self.peer_trials().any(|trial| trial.fingerprint == fingerprint);
        if !known && on_trial < limit {
            self.prepare_trial(fingerprint, request, ran, candidates, &busy);
        }
        SuspectPlacement::Hold
    }

    /// Chooses a server with few requests; hosts that choose at once tend to choose different ones.
    fn prepare_trial(
        &mut self,
        fingerprint: WorkFingerprint,
        request: RequestId,
        ran: Duration,
        candidates: &[ServerId],
        busy: &[ServerId],
    ) {
        let free: Vec<&ServerId> = candidates.iter().filter(|id| !busy.contains(id)).collect();
        let shift = (fingerprint.0 % free.len().max(1) as u128) as usize;
        let ranked = free.iter().enumerate().min_by_key(|(index, server)| {
            (self.running_count(server), (index + free.len() - shift) % free.len())
        });
        if let Some((_, &server)) = ranked {
            let (number, server) = (self.trial_count, server.clone());
            self.trial_count += 1;
            let trial = OwnTrial { number, server, request, ran, started_at: None };
            self.trials.insert(fingerprint, trial);
        }
    }

    /// Withdraws trials that have not begun and clash with one of a host that goes first.
    fn withdraw_conflicts(&mut self) {
        let first = self.peers.values().flat_map(|peer| &peer.trials);
        let first: Vec<&TrialView> = first.filter(|trial| trial.owner < self.host).collect();
        self.trials.retain(|&fingerprint, own| {
            let clashes =
                |trial: &&TrialView| trial.server == own.server || trial.fingerprint == fingerprint;
            own.started_at.is_some() || !first.iter().any(clashes)
        });
    }

    /// Returns whether every peer knows of the trial, has no request on its server and no trial
    /// that clashes with it.
    ///
    /// A peer lists its own trials beside its answer, so of two that clash at most one begins.
    fn is_acknowledged(&self, fingerprint: WorkFingerprint, own: &OwnTrial) -> bool {
        let answered = |peer: &PeerState| peer.busy.get(&own.number) == Some(&0);
        let clashes =
            |trial: &TrialView| trial.server == own.server || trial.fingerprint == fingerprint;
        self.running_count(&own.server) == 0
            && self.peers.values().all(answered)
            && !self.peer_trials().any(clashes)
    }

    pub(super) fn peer_trials(&self) -> impl Iterator<Item = &TrialView> {
        self.peers.values().flat_map(|peer| &peer.trials)
    }

    pub(super) fn trial_servers(&self) -> Vec<ServerId> {
        let own = self.trials.values().map(|trial| &trial.server);
        let foreign = self.peer_trials().map(|trial| &trial.server);
        own.chain(foreign).cloned().collect::<BTreeSet<_>>().into_iter().collect()
    }
}
