//! Division of a team's quota among the ranks of its requests.
//!
//! Load pattern: a team sends several times its limit, on routes of different urgency. Half of what
//! each rank would get by its part of the demand is kept for it; the rest goes to the ranks in their
//! order, up to their demand. A more urgent rank is thus never served less than one after it, and no
//! rank less than half as much as without ranks.

use crate::gateway::request_rank::RequestRank;

/// Ranks that are told apart within a team, which bounds the size of summaries. Routes of a lower
/// priority than the last one share it.
pub const RANK_CLASSES: usize = 6;

/// Fraction of a rank's part of the demand that more urgent ranks leave to it.
const FLOOR_FRACTION: f64 = 0.5;

/// One value for each rank, the most urgent first.
pub type ByRank<T> = [T; RANK_CLASSES];

/// Returns the place of a rank within its team. All requests of a team have the team's priority or
/// that of their routes, so that the routes order them in either case.
pub fn rank_class(rank: RequestRank) -> usize {
    usize::try_from(rank.route).unwrap_or(usize::MAX).min(RANK_CLASSES - 1)
}

/// Divides a refill among ranks with the given demand. A refill beyond the demand, and the refill of a
/// team without demand, are divided in proportion. The floors are those of `fair_refill`, which the
/// refill falls below while more urgent ranks spend more than their parts.
pub fn split_refill(refill: f64, fair_refill: f64, demand: ByRank<f64>) -> ByRank<f64> {
    let total: f64 = demand.iter().sum();
    if total <= 0.0 {
        return [refill / RANK_CLASSES as f64; RANK_CLASSES];
    }
    if total <= refill {
        return demand.map(|units| refill * units / total);
    }
    let fair_refill = fair_refill.clamp(refill, total.max(refill));
    let mut split = demand.map(|units| fair_refill * units / total * FLOOR_FRACTION);
    let mut rest = refill - fair_refill * FLOOR_FRACTION;
    for (part, units) in split.iter_mut().zip(demand) {
        let more = (units - *part).min(rest).max(0.0);
        *part += more;
        rest -= more;
    }
    split
}

/// Returns the fraction of the demand that is more urgent than a rank; all of it beyond the last rank.
pub fn urgent_fraction(demand: ByRank<f64>, class: usize) -> f64 {
    let total: f64 = demand.iter().sum();
    let urgent: f64 = demand.iter().take(class).sum();
    if total > 0.0 { urgent / total } else { 1.0 }
}
