//! Prefix cache of the engine stand-in: a limited number of blocks, least recently used out first.

use std::collections::BTreeMap;

use pomelostack_lib::engine::CacheChange;
use pomelostack_lib::prompt::BlockHash;

/// A change that the cache went through.
pub type BlockChange = (CacheChange, BlockHash);

/// Blocks of prompts that need no prefill.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
}

impl PrefixCache {
    /// Builds an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, last_use: BTreeMap::new(), by_use: BTreeMap::new() }
    }

    /// Returns the number of blocks held.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether the cache holds no block.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Returns the number of blocks that still fit.
    pub fn free(&self) -> usize {
        self.capacity - self.len()
    }

    /// Returns how many of the leading blocks are held, and marks these as used.
    pub fn use_prefix(&mut self, blocks: &[BlockHash]) -> usize {
        let held = blocks.iter().take_while(|block| self.last_use.contains_key(block)).count();
        // Later blocks are useless without earlier ones, so earlier ones count as used later.
        blocks[..held].iter().rev().for_each(|&block| self.touch(block));
        held
    }

    /// Stores blocks and returns what changed, in order.
    pub fn store(&mut self, blocks: &[BlockHash]) -> Vec<BlockChange> {
        let kept = &blocks[..blocks.len().min(self.capacity)];
        let fresh = kept.iter().filter(|block| !self.last_use.contains_key(block));
        let mut changes: Vec<_> = fresh.map(|&block| (CacheChange::Stored, block)).collect();
        kept.iter().rev().for_each(|&block| self.touch(block));
        while self.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.last_use.remove(&block);
            changes.push((CacheChange::Evicted, block));
        }
        changes
    }

    /// Drops every block, as a crash does; no change is reported.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
    }

    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        if let Some(previous) = self.last_use.insert(block, self.clock) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.clock, block);
    }
}
