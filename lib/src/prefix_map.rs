//! Bounded map from prompt blocks to the servers that are believed to cache them.
//!
//! Only a sample of the blocks is kept, chosen by hash. Every entry host thus samples the same
//! blocks, and cache events need not carry a block's position in its prompt. A block's hash covers
//! all blocks before it, and engines evict prefixes from their ends; so the last sampled block of a
//! prompt that a server caches shows how long a prefix of the prompt it caches.

use std::collections::HashMap;

use crate::engine::CacheChange;
use crate::engine::CacheEvent;
use crate::ids::ServerKey;
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// One block out of this many is sampled.
const SAMPLE_INTERVAL: u64 = 8;
/// Maximum number of servers kept for each block.
const MAX_HOLDERS: usize = 4;
/// Maximum number of blocks in a generation. There are two generations: when the young one is full,
/// it replaces the old one.
const GENERATION_BLOCKS: usize = 114_688;
/// Maximum delay of cache events, in milliseconds. An eviction that is reported sooner than this
/// after a dispatch is taken to be older than the dispatch and ignored, since engines evict the
/// least recently used blocks.
const EVENT_LAG_MS: u64 = 10_000;

/// A server that caches a prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolder {
    /// Server.
    pub server: ServerKey,
    /// Minimum number of the prompt's blocks that it caches.
    pub blocks: usize,
}

#[derive(Clone, Copy, Debug)]
struct BlockHolder {
    server: ServerKey,
    used_ms: u32,
}

/// Servers that cache one block, in a fixed number of slots.
type HolderSet = [Option<BlockHolder>; MAX_HOLDERS];

/// Tracks which servers cache which blocks.
#[derive(Debug, Default)]
pub struct PrefixMap {
    young: HashMap<BlockHash, HolderSet>,
    old: HashMap<BlockHash, HolderSet>,
}

impl PrefixMap {
    /// Finds the holders of the longest known prefixes of a prompt, longest first.
    ///
    /// The result is written to `prefixes`, which is cleared first. Reusing it saves an allocation
    /// per decision.
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

    /// Records that a prompt was sent to a server, which will therefore cache it.
    pub fn on_dispatched(&mut self, now: Timestamp, server: ServerKey, blocks: &[BlockHash]) {
        for (_, &block) in sampled(blocks) {
            self.store(now, server, block);
        }
    }

    /// Applies cache events of a server, which may be late and incomplete.
    pub fn on_events(&mut self, now: Timestamp, server: ServerKey, events: &[CacheEvent]) {
        for event in events.iter().filter(|event| is_sampled(event.block)) {
            match event.change {
                CacheChange::Stored => self.store(now, server, event.block),
                CacheChange::Evicted => self.evict(now, server, event.block),
            }
        }
    }

    /// Removes a server whose cache is lost or that no longer exists.
    pub fn remove_server(&mut self, server: ServerKey) {
        for holders in self.young.values_mut().chain(self.old.values_mut()) {
            clear_holder(holders, |holder| holder.server == server);
        }
    }

    /// Returns the number of blocks kept.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no block is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory used by the map, in bytes.
    pub fn state_bytes(&self) -> usize {
        // Hash tables keep one control byte per slot and fill at most seven slots of eight.
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
        // The server's own slot, else a free one, else the least recently used one.
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
    // Wraps after 49 days. Hosts do not run that long, and a wrap only affects the order of uses.
    now.as_millis() as u32
}

fn is_sampled(block: BlockHash) -> bool {
    block.0.is_multiple_of(SAMPLE_INTERVAL)
}

fn sampled(blocks: &[BlockHash]) -> impl DoubleEndedIterator<Item = (usize, &BlockHash)> {
    blocks.iter().enumerate().filter(|(_, block)| is_sampled(**block))
}
