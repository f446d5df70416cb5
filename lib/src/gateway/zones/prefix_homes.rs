//! Decides which shared prefixes of prompts have a home server in this host's zone.
//!
//! Load pattern: a few prefixes are used many times a second in every zone, others now and then in one.
//! With one home for all zones, most prompts of a common prefix cross zones, which costs a round trip
//! and the price of their bytes each time. A home in each zone costs a prefill of the prefix and
//! memory for a copy in each. A prefix gets a home in the zone where it is used so often that leaving
//! would cost more than the copy. Each host counts its own uses; the hosts of a zone get similar numbers of
//! requests, so that they agree but for moments, in which a prefix has two homes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::timestamp::Timestamp;

/// Time over which uses are counted: about that for which an engine keeps a prefix that is not used.
const COUNT_TIME: Duration = Duration::from_secs(20);

/// Time after the last use from which on a prefix is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Minimum time between two searches for prefixes to forget.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Gain of a home in the zone, as a multiple of its cost, from which on it is used, and below which it is
/// given up.
const ADOPT_GAIN: f64 = 1.5;
const DROP_GAIN: f64 = 0.75;

/// Maximum number of prefixes that are counted.
const MAX_PREFIXES: usize = 1_024;

/// Maximum tokens of copied prefixes for each server of the zone, an eighth of the memory of common engines.
/// Beyond it copies would evict what running requests need.
const MAX_COPIED_TOKENS: u64 = 60_000;

/// The servers among which the home of a prefix is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeScope {
    /// Those of this host's zone.
    Zone,
    /// Those of all zones.
    Fleet,
}

/// A use of a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixUse {
    /// Identifier of the prefix.
    pub prefix: u64,
    /// Length of the prefix.
    pub tokens: u64,
    /// Cost of prefilling it once, in milliseconds.
    pub copy_ms: f64,
    /// Cost of the request at a server in another zone, in milliseconds.
    pub leaving_ms: f64,
    /// Hosts in this zone.
    pub zone_hosts: u32,
}

#[derive(Clone, Copy, Debug)]
struct PrefixCount {
    uses: f64,
    used_at: Timestamp,
    tokens: u64,
    scope: HomeScope,
}

/// Uses of prefixes at this host.
#[derive(Clone, Debug, Default)]
pub struct PrefixHomes {
    counts: BTreeMap<u64, PrefixCount>,
    copied_tokens: u64,
    swept_at: Timestamp,
}

impl PrefixHomes {
    /// Counts a use.
    pub fn on_use(&mut self, now: Timestamp, used: PrefixUse) {
        let PrefixUse { prefix, tokens, copy_ms, leaving_ms, zone_hosts } = used;
        if now.since(self.swept_at) >= SWEEP_PERIOD {
            self.sweep(now);
        }
        if self.counts.len() >= MAX_PREFIXES && !self.counts.contains_key(&prefix) {
            return;
        }
        let new = PrefixCount { uses: 0.0, used_at: now, tokens, scope: HomeScope::Fleet };
        let count = self.counts.entry(prefix).or_insert(new);
        let faded = (-now.since(count.used_at).div_duration_f64(COUNT_TIME)).exp();
        count.uses = count.uses * faded + 1.0;
        count.used_at = now;
        // The use that is counted now does not show that there are others at the zone's other hosts.
        let zone_uses = (count.uses - 1.0) * f64::from(zone_hosts);
        let gain = zone_uses * leaving_ms / copy_ms.max(0.1);
        let scope = match count.scope {
            HomeScope::Fleet if gain > ADOPT_GAIN => HomeScope::Zone,
            HomeScope::Zone if gain < DROP_GAIN => HomeScope::Fleet,
            scope => scope,
        };
        match (count.scope, scope) {
            (HomeScope::Fleet, HomeScope::Zone) => self.copied_tokens += count.tokens,
            (HomeScope::Zone, HomeScope::Fleet) => {
                self.copied_tokens = self.copied_tokens.saturating_sub(count.tokens);
            }
            _ => {}
        }
        count.scope = scope;
    }

    /// Forgets prefixes that are no longer used.
    fn sweep(&mut self, now: Timestamp) {
        self.swept_at = now;
        self.counts.retain(|_, count| now.since(count.used_at) < FORGET_TIME);
        let copied = self.counts.values().filter(|count| count.scope == HomeScope::Zone);
        self.copied_tokens = copied.map(|count| count.tokens).sum();
    }

    /// Returns where the home of a prefix is, in a zone with so many servers.
    pub fn scope(&self, now: Timestamp, prefix: u64, zone_servers: usize) -> HomeScope {
        let room = MAX_COPIED_TOKENS.saturating_mul(zone_servers as u64);
        let count = self.counts.get(&prefix);
        let count = count.filter(|count| now.since(count.used_at) < FORGET_TIME);
        match count {
            Some(count) if self.copied_tokens <= room => count.scope,
            Some(_) | None => HomeScope::Fleet,
        }
    }

    /// Returns how many prefixes have a home in the zone.
    pub fn zone_homes(&self) -> usize {
        self.counts.values().filter(|count| count.scope == HomeScope::Zone).count()
    }
}
