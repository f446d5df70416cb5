//! Plans where running streams go when backend servers are about to be reclaimed.
//!
//! A pure function from the state of all servers and streams to a desired state: planning again
//! with the same state gives the same plan, and a further notice is one more input. For each stream
//! on a leaving server it chooses, by tokens that need not be computed again: finish in place,
//! export and import of KV cache, or resume elsewhere by computing prompt and output so far.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::ServerKey;
use crate::prompt::BlockHash;
use crate::prompt::TOKENS_PER_BLOCK;
use crate::timestamp::Timestamp;

/// Time before a server's end by which everything must have left it: two gaps between tokens at
/// the latency target, for an order's way to the server and its effect.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(100);

/// Share of the estimated time by which an answer may run longer, in percent, and still finish.
const FINISH_SLACK_PERCENT: u32 = 20;

/// Rates that the choice rests on.
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
    /// When it will be gone, if a notice says so.
    pub leaves_at: Option<Timestamp>,
    /// Streams that it can take besides those it runs.
    pub free_slots: u32,
    /// Blocks of its prefix cache.
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
    /// Tokens that are expected still to come.
    pub remaining_tokens: u32,
    /// Whether it may run again elsewhere.
    pub repeatable: bool,
    /// Transfer that is under way: its target and its expected end.
    pub transfer: Option<(ServerKey, Timestamp)>,
}

/// What becomes of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChoice {
    /// It ends before its server, or may not move.
    FinishInPlace,
    /// Its KV cache goes to the target, and the rest runs there from `ready_at` on.
    Transfer {
        /// Target.
        target: ServerKey,
        /// Expected end of the transfer.
        ready_at: Timestamp,
    },
    /// It stops now, and the target computes its context again.
    Recompute {
        /// Target, or `None` if no server has room: the router chooses when one has.
        target: Option<ServerKey>,
    },
}

/// Choice for one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationMove {
    /// Request.
    pub request: RequestId,
    /// Server that it leaves.
    pub source: ServerKey,
    /// Choice.
    pub choice: EvacuationChoice,
    /// Context tokens that will be computed again.
    pub recomputed_tokens: u32,
}

/// Plans the moves of all streams on leaving servers, in the order in which they should be begun.
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
    // Transfers share little time: those that save most for each token sent go first.
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

    /// Decides streams that need no new place: those that finish, may not move, or are moving.
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
        let room = self.targets.get_mut(&target)?;
        if room.free_slots == 0 || ready_at + SAFETY_MARGIN > leaves_at {
            return None;
        }
        room.free_slots -= 1;
        room.receives_until = room.receives_until.max(ready_at);
        let sends_until = self.sends_until.entry(stream.server).or_default();
        *sends_until = ready_at.max(*sends_until);
        let tail = self.tokens_within(ready_at.since(now));
        Some(move_of(stream, EvacuationChoice::Transfer { target, ready_at }, tail))
    }

    /// Returns the context tokens that no target has in its cache, in millionths of the context.
    fn saved_by_transfer(&self, stream: &EvacuationStream) -> u64 {
        let warm = self.targets.values().map(|target| cached_tokens(target, stream)).max();
        let cold = stream.context_tokens - warm.unwrap_or(0).min(stream.context_tokens);
        u64::from(cold) * 1_000_000 / u64::from(stream.context_tokens.max(1))
    }

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

    /// Chooses the target with the longest warm prefix, then the most room.
    fn recompute(&self, stream: &EvacuationStream) -> EvacuationMove {
        let open = self.targets.iter().filter(|(_, target)| target.free_slots > 0);
        let best = open.max_by_key(|(key, target)| {
            (cached_tokens(target, stream), target.free_slots, std::cmp::Reverse(**key))
        });
        let warm = best.map_or(0, |(_, target)| cached_tokens(target, stream));
        let target = best.map(|(&key, _)| key);
        let cold = stream.context_tokens - warm.min(stream.context_tokens);
        move_of(stream, EvacuationChoice::Recompute { target }, cold)
    }

    /// Chooses the target that has received everything first; `None` if time does not suffice.
    fn transfer(
        &self,
        now: Timestamp,
        leaves_at: Timestamp,
        stream: &EvacuationStream,
    ) -> Option<EvacuationMove> {
        let open = self.targets.iter().filter(|(_, target)| target.free_slots > 0);
        let (&target, room) = open.min_by_key(|(key, target)| {
            (target.receives_until.max(now), std::cmp::Reverse(target.free_slots), **key)
        })?;
        let sends_until = self.sends_until.get(&stream.server).copied().unwrap_or_default();
        let begins_at = now.max(sends_until).max(room.receives_until);
        let generated = self.tokens_within(begins_at.since(now)).min(stream.remaining_tokens);
        let rate = self.rates.transfer_tokens_per_second.max(1);
        let tokens = stream.context_tokens.saturating_add(generated);
        let takes = Duration::from_secs_f64(f64::from(tokens) / f64::from(rate));
        let ready_at = begins_at + takes;
        if ready_at + SAFETY_MARGIN > leaves_at {
            return None;
        }
        // Output generated while the export is under way is not part of it.
        let tail = self.tokens_within(takes).min(stream.remaining_tokens);
        Some(move_of(stream, EvacuationChoice::Transfer { target, ready_at }, tail))
    }

    fn reserve(&mut self, planned: &EvacuationMove, stream: &EvacuationStream) {
        let (target, ready_at) = match planned.choice {
            EvacuationChoice::FinishInPlace => return,
            EvacuationChoice::Transfer { target, ready_at } => (Some(target), Some(ready_at)),
            EvacuationChoice::Recompute { target } => (target, None),
        };
        let Some(room) = target.and_then(|key| self.targets.get_mut(&key)) else { return };
        room.free_slots = room.free_slots.saturating_sub(1);
        match ready_at {
            Some(ready_at) => {
                room.receives_until = ready_at;
                self.sends_until.insert(planned.source, ready_at);
            }
            // Streams that share the prefix find it there.
            None => room.cached_blocks.extend(&stream.blocks),
        }
    }

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
    let warm =
        stream.blocks.iter().take_while(|block| target.cached_blocks.contains(block)).count();
    u32::try_from(warm * TOKENS_PER_BLOCK).unwrap_or(u32::MAX)
}
