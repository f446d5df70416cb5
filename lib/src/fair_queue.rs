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
struct TeamLine<T> {
    finish: u64,
    weight: u32,
    items: VecDeque<T>,
}

/// Waiting items by team.
#[derive(Debug)]
pub struct FairQueue<T> {
    virtual_time: u64,
    lines: BTreeMap<TeamName, TeamLine<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { virtual_time: 0, lines: BTreeMap::new() }
    }
}

impl<T: PartialEq> FairQueue<T> {
    /// Adds an item; the latest weight of a team holds for all its items.
    pub fn push(&mut self, team: &TeamName, weight: u32, item: T) {
        let line = self.lines.entry(team.clone()).or_insert_with(|| TeamLine {
            finish: 0,
            weight,
            items: VecDeque::new(),
        });
        line.weight = weight;
        line.items.push_back(item);
    }

    /// Takes the next item of the teams that may be served now.
    pub fn pop(&mut self, may_serve: impl Fn(&TeamName) -> bool) -> Option<(TeamName, T)> {
        let virtual_time = self.virtual_time;
        let waiting =
            self.lines.iter().filter(|(team, line)| !line.items.is_empty() && may_serve(team));
        let start_of = |line: &TeamLine<T>| line.finish.max(virtual_time);
        let (team, start) = waiting
            .map(|(team, line)| (team, start_of(line)))
            .min_by_key(|(_, start)| *start)
            .map(|(team, start)| (team.clone(), start))?;
        self.virtual_time = start;
        let line = self.lines.get_mut(&team)?;
        line.finish = start + ITEM_COST / u64::from(line.weight.max(1));
        let item = line.items.pop_front()?;
        // A line that is behind the virtual time is as good as a new one.
        self.lines.retain(|_, line| !line.items.is_empty() || line.finish > start);
        Some((team, item))
    }

    /// Removes a waiting item; returns whether it was there.
    pub fn remove(&mut self, team: &TeamName, item: &T) -> bool {
        let Some(line) = self.lines.get_mut(team) else { return false };
        let before = line.items.len();
        line.items.retain(|waiting| waiting != item);
        line.items.len() < before
    }

    /// Returns the waiting items of a team.
    pub fn waiting(&self, team: &TeamName) -> usize {
        self.lines.get(team).map_or(0, |line| line.items.len())
    }

    /// Returns the weights of the teams that wait, summed, and counting `team` with `weight`.
    pub fn total_weight(&self, team: &TeamName, weight: u32) -> u64 {
        let others =
            self.lines.iter().filter(|(name, line)| *name != team && !line.items.is_empty());
        others.map(|(_, line)| u64::from(line.weight)).sum::<u64>() + u64::from(weight)
    }
}
