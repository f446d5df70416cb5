//! Weighted fair queueing: the waiting items of several teams are served in proportion to the
//! teams' weights.
//!
//! Implements start-time fair queueing. Each team has a virtual finish time, which advances by the
//! inverse of its weight with each item served. The team with the smallest virtual start time is
//! served next. A team that was idle starts at the current virtual time, so it does not accumulate
//! credit.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::TeamName;

/// Virtual time that one item takes at weight 1.
const ITEM_COST: u64 = 1 << 20;

#[derive(Debug)]
struct TeamQueue<T> {
    finish: u64,
    weight: u32,
    items: VecDeque<T>,
}

/// Waiting items of all teams.
#[derive(Debug)]
pub struct FairQueue<T> {
    virtual_time: u64,
    teams: BTreeMap<TeamName, TeamQueue<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { virtual_time: 0, teams: BTreeMap::new() }
    }
}

impl<T: PartialEq> FairQueue<T> {
    /// Adds an item. The given weight applies to all of the team's items.
    pub fn push(&mut self, team: &TeamName, weight: u32, item: T) {
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            finish: 0,
            weight,
            items: VecDeque::new(),
        });
        queue.weight = weight;
        queue.items.push_back(item);
    }

    /// Removes and returns the next item among the teams for which `may_serve` returns true.
    pub fn pop(&mut self, may_serve: impl Fn(&TeamName) -> bool) -> Option<(TeamName, T)> {
        let virtual_time = self.virtual_time;
        let waiting =
            self.teams.iter().filter(|(team, queue)| !queue.items.is_empty() && may_serve(team));
        let start_of = |queue: &TeamQueue<T>| queue.finish.max(virtual_time);
        let (team, start) = waiting
            .map(|(team, queue)| (team, start_of(queue)))
            .min_by_key(|(_, start)| *start)
            .map(|(team, start)| (team.clone(), start))?;
        self.virtual_time = start;
        let queue = self.teams.get_mut(&team)?;
        queue.finish = start + ITEM_COST / u64::from(queue.weight.max(1));
        let item = queue.items.pop_front()?;
        // An empty queue that is not ahead of the virtual time is equivalent to a new one.
        self.teams.retain(|_, queue| !queue.items.is_empty() || queue.finish > start);
        Some((team, item))
    }

    /// Removes a waiting item; returns whether it was found.
    pub fn remove(&mut self, team: &TeamName, item: &T) -> bool {
        let Some(queue) = self.teams.get_mut(team) else { return false };
        let before = queue.items.len();
        queue.items.retain(|waiting| waiting != item);
        queue.items.len() < before
    }

    /// Returns the number of a team's waiting items.
    pub fn waiting(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.items.len())
    }

    /// Returns the total weight of the teams with waiting items and of `team`, which counts with
    /// `weight`.
    pub fn total_weight(&self, team: &TeamName, weight: u32) -> u64 {
        let others =
            self.teams.iter().filter(|(name, queue)| *name != team && !queue.items.is_empty());
        others.map(|(_, queue)| u64::from(queue.weight)).sum::<u64>() + u64::from(weight)
    }
}
