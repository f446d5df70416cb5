//! Urgency of a request, by which scarce room is given out.

use std::collections::BTreeSet;

use crate::gateway::serving_config::RouteRule;
use crate::gateway::serving_config::TeamRule;

/// Urgency of a request; the least value is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRank {
    /// Priority of the team, or else of the route.
    pub priority: u32,
    /// Priority of the route, which orders the requests of teams that have the same priority.
    pub route: u32,
}

impl RequestRank {
    /// Returns the rank of a team's request on a route.
    pub fn of(team: Option<&TeamRule>, route: &RouteRule) -> Self {
        let priority = team.and_then(|team| team.priority).unwrap_or(route.priority);
        Self { priority, route: route.priority }
    }
}

/// Levels of priority that servers tell apart.
const PRIORITY_LEVELS: usize = 10;

/// Levels of priority that the ranks of a configuration are stated as to servers.
///
/// Servers know one number only. The priority of the team alone would let the requests of a team that
/// sets one wait for each other in any order, whatever their routes say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PriorityScale {
    /// Ranks of the configuration, the most urgent first.
    ranks: Vec<RequestRank>,
}

impl PriorityScale {
    /// Builds the scale of the ranks that requests can have.
    pub fn new(ranks: impl IntoIterator<Item = RequestRank>) -> Self {
        let ranks: BTreeSet<RequestRank> = ranks.into_iter().collect();
        Self { ranks: ranks.into_iter().collect() }
    }

    /// Returns the level of a rank; 0 is the most urgent. Neighbouring ranks share a level only if there
    /// are more ranks than levels.
    pub fn level(&self, rank: RequestRank) -> u32 {
        let index = self.ranks.partition_point(|other| *other < rank);
        let level = match self.ranks.len() {
            0..=PRIORITY_LEVELS => index.min(PRIORITY_LEVELS - 1),
            count => (index * PRIORITY_LEVELS / count).min(PRIORITY_LEVELS - 1),
        };
        level as u32
    }
}
