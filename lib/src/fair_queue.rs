//! Weighted fair queueing: waiting items of several teams, served in proportion to their weights.
//!
//! Start-time fair queueing: each team has a virtual time that advances by the inverse of its
//! weight with each item, and the team with the smallest start is served next. A team that was idle
//! starts at the current virtual time, so it cannot save up a share.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::TeamName;

/// Virtual time of one item at weight 1.
const ITEM_COST: u64 = 1 << 20;

#[derive(Debug)]
struct TeamQueue<T> {
    finish: u64,
    weight: u32,
    items: VecDeque<T>,
}

/// Waiting items by team.
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
    /// Adds an item; the latest weight of a team holds for all its items.
    pub fn push(&mut self, team: &TeamName, weight: u32, item: T) {
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            finish: 0,
            weight,
            items: VecDeque::new(),
        });
        queue.weight = weight;
        queue.items.push_back(item);
    }

    /// Takes the next item of the teams that may be served now.
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
        // A line that is behind the virtual time is as good as a new one.
        self.teams.retain(|_, queue| !queue.items.is_empty() || queue.finish > start);
        Some((team, item))
    }

    /// Removes a waiting item; returns whether it was there.
    pub fn remove(&mut self, team: &TeamName, item: &T) -> bool {
        let Some(queue) = self.teams.get_mut(team) else { return false };
        let before = queue.items.len();
        queue.items.retain(|waiting| waiting != item);
        queue.items.len() < before
    }

    /// Returns the waiting items of a team.
    pub fn waiting(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.items.len())
    }

    /// Returns the weights of the teams that wait, summed, and counting `team` with `weight`.
    pub fn total_weight(&self, team: &TeamName, weight: u32) -> u64 {
        let others =
            self.teams.iter().filter(|(name, queue)| *name != team && !queue.items.is_empty());
        others.map(|(_, queue)| u64::from(queue.weight)).sum::<u64>() + u64::from(weight)
    }
}
