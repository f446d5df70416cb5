//! Plans where running streams move when backend servers are about to be reclaimed.
//!
//! The plan is a pure function of the state of all servers and streams: the same state gives the
//! same plan, and a further reclaim notice is one more input. Each stream on a leaving server either
//! finishes in place, has its KV cache transferred, or is resumed by a server that recomputes the
//! prompt and the output so far. The choice is greedy, by the tokens that need not be recomputed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::ServerKey;
use crate::prompt::BlockHash;
use crate::prompt::TOKENS_PER_BLOCK;
use crate::timestamp::Timestamp;

/// Time before a server's shutdown by which all streams must have left it. Covers the delivery and
/// the effect of an order with two inter-token gaps at the latency target.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(100);

/// Margin on the estimated remaining time of a stream that is to finish in place, in percent.
const FINISH_SLACK_PERCENT: u32 = 20;

/// Rates that the plan is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationRates {
    /// Time to generate one token.
    pub token_time: Duration,
    /// Tokens of KV cache that one server sends or receives per second.
    pub transfer_tokens_per_second: u32,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct EvacuationServer {
    /// Server.
    pub key: ServerKey,
    /// When it will be shut down, if a reclaim notice says so.
    pub leaves_at: Option<Timestamp>,
    /// Number of streams that it can take in addition to those it runs.
    pub free_slots: u32,
    /// Blocks in its prefix cache.
    pub cached_blocks: BTreeSet<BlockHash>,
}

/// One running stream.
#[derive(Clone, Debug)]
pub struct EvacuationStream {
    /// Request.
    pub request: RequestId,
    /// Server that runs it.
    pub server: ServerKey,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt and the output so far.
    pub context_tokens: u32,
    /// Expected number of tokens still to be generated.
    pub remaining_tokens: u32,
    /// Whether it may run again elsewhere.
    pub repeatable: bool,
    /// Target and expected end of the transfer in progress, if any.
    pub transfer: Option<(ServerKey, Timestamp)>,
}

/// What happens to one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChoice {
    /// It stays, because it ends before the shutdown or must not run again.
    FinishInPlace,
    /// Its KV cache is transferred to the target, which continues the stream from `ready_at` on.
    Transfer {
        /// Target.
        target: ServerKey,
        /// Expected end of the transfer.
        ready_at: Timestamp,
    },
    /// It stops now, and the target recomputes its context.
    Recompute {
        /// Target, or `None` if no server has a free slot; the router then chooses one later.
        target: Option<ServerKey>,
    },
}

/// Choice for one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationMove {
    /// Request.
    pub request: RequestId,
    /// Server that it runs on.
    pub source: ServerKey,
    /// Choice.
    pub choice: EvacuationChoice,
    /// Tokens that will be recomputed.
    pub recomputed_tokens: u32,
}

/// Plans the moves of all streams on leaving servers, in the order in which they should start.
pub fn plan_evacuation(
    now: Timestamp,
    servers: &[EvacuationServer],
    streams: &[EvacuationStream],
    rates: EvacuationRates,
) -> Vec<EvacuationMove> {
    let mut planner = EvacuationPlanner::new(servers, rates);
    let mut undecided = Vec::new();
    let mut moves = Vec::new();
    for stream in streams {
        let Some(leaves_at) = planner.leaves_at(stream.server) else { continue };
        match planner.plan_without_target(now, leaves_at, stream) {
            Some(decided) => moves.push(decided),
            None => undecided.push((leaves_at, stream)),
        }
    }
    // Transfers compete for the time left, so those that save most per token sent go first.
    undecided.sort_by_key(|&(leaves_at, stream)| {
        (std::cmp::Reverse(planner.saved_by_transfer(stream)), leaves_at, stream.request)
    });
    for (leaves_at, stream) in undecided {
        moves.push(planner.relocate(now, leaves_at, stream));
    }
    moves
}

struct Target {
    free_slots: u32,
    cached_blocks: BTreeSet<BlockHash>,
    receives_until: Timestamp,
}

struct EvacuationPlanner {
    leaving: BTreeMap<ServerKey, Timestamp>,
    targets: BTreeMap<ServerKey, Target>,
    sends_until: BTreeMap<ServerKey, Timestamp>,
    rates: EvacuationRates,
}

impl EvacuationPlanner {
    fn new(servers: &[EvacuationServer], rates: EvacuationRates) -> Self {
        let leaving = servers.iter().filter_map(|s| s.leaves_at.map(|at| (s.key, at))).collect();
        let staying = servers.iter().filter(|server| server.leaves_at.is_none());
        let targets = staying.map(|server| {
            let target = Target {
                free_slots: server.free_slots,
                cached_blocks: server.cached_blocks.clone(),
                receives_until: Timestamp::default(),
            };
            (server.key, target)
        });
        Self { leaving, targets: targets.collect(), sends_until: BTreeMap::new(), rates }
    }

    fn leaves_at(&self, server: ServerKey) -> Option<Timestamp> {
        self.leaving.get(&server).copied()
    }

    /// Plans streams that need no new target: those that finish in time, must not run again, or are
    /// being transferred to a target that is still usable. Returns `None` for the others.
    fn plan_without_target(
        &mut self,
        now: Timestamp,
        leaves_at: Timestamp,
        stream: &EvacuationStream,
    ) -> Option<EvacuationMove> {
        let needed = self.rates.token_time.saturating_mul(stream.remaining_tokens);
        let needed = needed.saturating_mul(100 + FINISH_SLACK_PERCENT) / 100;
        if !stream.repeatable || now + needed + SAFETY_MARGIN <= leaves_at {
            return Some(move_of(stream, EvacuationChoice::FinishInPlace, 0));
        }
        let (target, ready_at) = stream.transfer?;
        let chosen = self.targets.get_mut(&target)?;
        if chosen.free_slots == 0 || ready_at + SAFETY_MARGIN > leaves_at {
            return None;
        }
        chosen.free_slots -= 1;
        chosen.receives_until = chosen.receives_until.max(ready_at);
        let sends_until = self.sends_until.entry(stream.server).or_default();
        *sends_until = ready_at.max(*sends_until);
        let tail = self.tokens_within(ready_at.since(now));
        Some(move_of(stream, EvacuationChoice::Transfer { target, ready_at }, tail))
    }

    /// Returns the share of the context that no target has cached, in millionths.
    fn saved_by_transfer(&self, stream: &EvacuationStream) -> u64 {
        let cached = self.targets.values().map(|target| cached_tokens(target, stream)).max();
        let uncached = stream.context_tokens - cached.unwrap_or(0).min(stream.context_tokens);
        u64::from(uncached) * 1_000_000 / u64::from(stream.context_tokens.max(1))
    }

    /// Chooses between transfer and recomputation, whichever recomputes fewer tokens.
    fn relocate(
        &mut self,
        now: Timestamp,
        leaves_at: Timestamp,
        stream: &EvacuationStream,
    ) -> EvacuationMove {
        let recompute = self.recompute(stream);
        match self.transfer(now, leaves_at, stream) {
            Some(transfer) if transfer.recomputed_tokens < recompute.recomputed_tokens => {
                self.reserve(&transfer, stream);
                transfer
            }
            _ => {
                self.reserve(&recompute, stream);
                recompute
            }
        }
    }

    /// Chooses the target with the longest cached prefix, then the most free slots.
    fn recompute(&self, stream: &EvacuationStream) -> EvacuationMove {
        let available = self.targets.iter().filter(|(_, target)| target.free_slots > 0);
        let best = available.max_by_key(|(key, target)| {
            (cached_tokens(target, stream), target.free_slots, std::cmp::Reverse(**key))
        });
        let cached = best.map_or(0, |(_, target)| cached_tokens(target, stream));
        let target = best.map(|(&key, _)| key);
        let uncached = stream.context_tokens - cached.min(stream.context_tokens);
        move_of(stream, EvacuationChoice::Recompute { target }, uncached)
    }

    /// Chooses the target whose receive queue empties first. Returns `None` if no target has a free
    /// slot or the transfer would end too late.
    fn transfer(
        &self,
        now: Timestamp,
        leaves_at: Timestamp,
        stream: &EvacuationStream,
    ) -> Option<EvacuationMove> {
        let available = self.targets.iter().filter(|(_, target)| target.free_slots > 0);
        let (&target, chosen) = available.min_by_key(|(key, target)| {
            (target.receives_until.max(now), std::cmp::Reverse(target.free_slots), **key)
        })?;
        let sends_until = self.sends_until.get(&stream.server).copied().unwrap_or_default();
        let starts_at = now.max(sends_until).max(chosen.receives_until);
        let generated = self.tokens_within(starts_at.since(now)).min(stream.remaining_tokens);
        let rate = self.rates.transfer_tokens_per_second.max(1);
        let tokens = stream.context_tokens.saturating_add(generated);
        let transfer_time = Duration::from_secs_f64(f64::from(tokens) / f64::from(rate));
        let ready_at = starts_at + transfer_time;
        if ready_at + SAFETY_MARGIN > leaves_at {
            return None;
        }
        // Tokens generated during the transfer are not in the export and are recomputed.
        let tail = self.tokens_within(transfer_time).min(stream.remaining_tokens);
        Some(move_of(stream, EvacuationChoice::Transfer { target, ready_at }, tail))
    }

    fn reserve(&mut self, planned: &EvacuationMove, stream: &EvacuationStream) {
        let (target, ready_at) = match planned.choice {
            EvacuationChoice::FinishInPlace => return,
            EvacuationChoice::Transfer { target, ready_at } => (Some(target), Some(ready_at)),
            EvacuationChoice::Recompute { target } => (target, None),
        };
        let Some(chosen) = target.and_then(|key| self.targets.get_mut(&key)) else { return };
        chosen.free_slots = chosen.free_slots.saturating_sub(1);
        match ready_at {
            Some(ready_at) => {
                chosen.receives_until = ready_at;
                self.sends_until.insert(planned.source, ready_at);
            }
            // Later streams with the same prefix find it cached there.
            None => chosen.cached_blocks.extend(&stream.blocks),
        }
    }

    /// Returns how many tokens one stream generates in the given time.
    fn tokens_within(&self, time: Duration) -> u32 {
        let token_micros = self.rates.token_time.as_micros().max(1);
        u32::try_from(time.as_micros() / token_micros).unwrap_or(u32::MAX)
    }
}

fn move_of(
    stream: &EvacuationStream,
    choice: EvacuationChoice,
    recomputed_tokens: u32,
) -> EvacuationMove {
    EvacuationMove { request: stream.request, source: stream.server, choice, recomputed_tokens }
}

fn cached_tokens(target: &Target, stream: &EvacuationStream) -> u32 {
    let cached =
        stream.blocks.iter().take_while(|block| target.cached_blocks.contains(block)).count();
    u32::try_from(cached * TOKENS_PER_BLOCK).unwrap_or(u32::MAX)
}
