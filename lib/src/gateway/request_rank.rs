//! Urgency of a request, by which scarce room is given out.

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
