//! Bounded map from prompt blocks to the servers that are believed to cache them.
//!
//! Only blocks whose hash falls on a fixed sample are kept, so every entry host keeps the same ones
//! and an event needs no position. A block's hash covers all blocks before it, and engines evict
//! the ends of prefixes first; so the deepest sampled block that a server holds tells its prefix.

use std::collections::HashMap;

use crate::engine::CacheChange;
use crate::engine::CacheEvent;
use crate::ids::ServerKey;
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// One block out of this many is kept.
const SAMPLE_INTERVAL: u64 = 8;
/// Servers kept for each block.
const MAX_HOLDERS: usize = 4;
/// Blocks of one generation. The map has two: when the young one is full, the old one is dropped.
const GENERATION_BLOCKS: usize = 114_688;
/// An eviction that is reported within this time after a dispatch is older than the dispatch:
/// engines evict the least recently used blocks, and their events are late.
const EVENT_LAG_MS: u64 = 10_000;

/// A server that holds a prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolder {
    /// Server.
    pub server: ServerKey,
    /// Blocks of the prompt that it holds, at least.
    pub blocks: usize,
}

#[derive(Clone, Copy, Debug)]
struct BlockHolder {
    server: ServerKey,
    used_ms: u32,
}

/// Servers of one block; unused places hold none.
type HolderSet = [Option<BlockHolder>; MAX_HOLDERS];

/// Which server caches which blocks.
#[derive(Debug, Default)]
pub struct PrefixMap {
    young: HashMap<BlockHash, HolderSet>,
    old: HashMap<BlockHash, HolderSet>,
}

impl PrefixMap {
    /// Returns the holders of the longest known prefixes of a prompt, the longest first.
    ///
    /// `prefixes` is cleared first; passing it in saves an allocation for each decision.
    pub fn find(&self, blocks: &[BlockHash], prefixes: &mut Vec<PrefixHolder>) {
        prefixes.clear();
        for (index, &block) in sampled(blocks).rev() {
            let Some(holders) = self.young.get(&block).or_else(|| self.old.get(&block)) else {
                continue;
            };
            for holder in holders.iter().flatten() {
                if !prefixes.iter().any(|found| found.server == holder.server) {
                    prefixes.push(PrefixHolder { server: holder.server, blocks: index + 1 });
                }
            }
            if prefixes.len() >= MAX_HOLDERS {
                return;
            }
        }
    }

    /// Records that a server will hold a prompt, since work with it was sent there.
    pub fn on_dispatched(&mut self, now: Timestamp, server: ServerKey, blocks: &[BlockHash]) {
        for (_, &block) in sampled(blocks) {
            self.store(now, server, block);
        }
    }

    /// Takes late and possibly incomplete cache events of a server.
    pub fn on_events(&mut self, now: Timestamp, server: ServerKey, events: &[CacheEvent]) {
        for event in events.iter().filter(|event| is_sampled(event.block)) {
            match event.change {
                CacheChange::Stored => self.store(now, server, event.block),
                CacheChange::Evicted => self.evict(now, server, event.block),
            }
        }
    }

    /// Forgets a server that lost its cache or is gone.
    pub fn remove_server(&mut self, server: ServerKey) {
        for holders in self.young.values_mut().chain(self.old.values_mut()) {
            clear_holder(holders, |holder| holder.server == server);
        }
    }

    /// Returns the blocks kept.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no block is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the map takes, in bytes.
    pub fn state_bytes(&self) -> usize {
        // Hash tables keep one control byte for each place, and fill seven places of eight.
        let slot = size_of::<(BlockHash, HolderSet)>() + 1;
        (self.young.capacity() + self.old.capacity()) * 8 / 7 * slot
    }

    fn store(&mut self, now: Timestamp, server: ServerKey, block: BlockHash) {
        if self.young.len() >= GENERATION_BLOCKS && !self.young.contains_key(&block) {
            self.old = std::mem::take(&mut self.young);
        }
        let earlier = self.old.remove(&block).unwrap_or_default();
        let holders = self.young.entry(block).or_insert(earlier);
        let fresh = BlockHolder { server, used_ms: millis(now) };
        // The server's own place, else a free one, else the one that was used least recently.
        let slot = holders.iter_mut().min_by_key(|slot| match slot {
            Some(holder) if holder.server == server => (0, 0),
            None => (1, 0),
            Some(holder) => (2, holder.used_ms),
        });
        if let Some(slot) = slot {
            *slot = Some(fresh);
        }
    }

    fn evict(&mut self, now: Timestamp, server: ServerKey, block: BlockHash) {
        let oldest = millis(now).saturating_sub(EVENT_LAG_MS as u32);
        let holders = match self.young.get_mut(&block) {
            Some(holders) => holders,
            None => match self.old.get_mut(&block) {
                Some(holders) => holders,
                None => return,
            },
        };
        clear_holder(holders, |holder| holder.server == server && holder.used_ms <= oldest);
    }
}

fn clear_holder(holders: &mut HolderSet, matches: impl Fn(&BlockHolder) -> bool) {
    for slot in holders.iter_mut() {
        if slot.as_ref().is_some_and(&matches) {
            *slot = None;
        }
    }
}

fn millis(now: Timestamp) -> u32 {
    // 49 days; a host lives shorter, and past it the order of uses alone suffers.
    now.as_millis() as u32
}

fn is_sampled(block: BlockHash) -> bool {
    block.0.is_multiple_of(SAMPLE_INTERVAL)
}

fn sampled(blocks: &[BlockHash]) -> impl DoubleEndedIterator<Item = (usize, &BlockHash)> {
    blocks.iter().enumerate().filter(|(_, block)| is_sampled(**block))
}
