//! Judges whether first tries at hosts that are cut off from replicas are served as those at the others.

use crate::call_judge::CallOutcome;
use crate::call_judge::CallRecord;
use crate::touch_record::CONTACT_TIME;
use crate::touch_record::HostCut;
use crate::touch_record::TouchRecord;

/// Share of the others' rate at which first tries must be served.
const LEAST_RATE: f64 = 2.0 / 3.0;

/// Fewest first tries that are served at the others for a comparison. With fewer, servers have failed for all.
const MIN_SERVED_OTHERS: usize = 10;

/// First tries that may fail, and their share of all.
const ALLOWED_FAILURES: f64 = 10.0;
const ALLOWED_FAILURE_SHARE: f64 = 0.02;

/// First tries at some hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TryCount {
    /// Requests that were sent.
    pub sent: usize,
    /// Those that were answered with success.
    pub served: usize,
}

impl TryCount {
    fn rate(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// A cut during which its hosts served too few.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnservedCut {
    /// The cut.
    pub cut: HostCut,
    /// First tries at its hosts.
    pub at_cut: TryCount,
    /// First tries at the others.
    pub at_others: TryCount,
}

/// Returns the cuts during which first tries at their hosts, from the time of contact after the begin, were served
/// too seldom. Only hosts in touch count.
pub fn judge_recovery(calls: &[CallRecord], touch: &TouchRecord) -> Vec<UnservedCut> {
    touch.cuts().iter().filter_map(|cut| judge_cut(calls, touch, cut)).collect()
}

fn judge_cut(calls: &[CallRecord], touch: &TouchRecord, cut: &HostCut) -> Option<UnservedCut> {
    let (mut at_cut, mut at_others) = (TryCount::default(), TryCount::default());
    let judged = calls.iter().filter(|call| {
        call.started_at >= cut.from + CONTACT_TIME
            && call.started_at < cut.to
            && touch.in_touch(call.host, call.started_at, call.ended_at)
    });
    for call in judged {
        let count = if cut.hosts.contains(&call.host) { &mut at_cut } else { &mut at_others };
        count.sent += 1;
        count.served += usize::from(call.outcome == CallOutcome::Complete);
    }
    let failed = (at_cut.sent - at_cut.served) as f64;
    let allowed = ALLOWED_FAILURES + (at_cut.sent + at_others.sent) as f64 * ALLOWED_FAILURE_SHARE;
    let is_unserved = at_others.served >= MIN_SERVED_OTHERS
        && at_cut.rate() < at_others.rate() * LEAST_RATE
        && failed > allowed;
    is_unserved.then(|| UnservedCut { cut: cut.clone(), at_cut, at_others })
}
