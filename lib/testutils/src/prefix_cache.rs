//! Prefix cache of the engine stand-in, with a fixed capacity in blocks and LRU eviction.

use std::collections::BTreeMap;

use pomelostack_lib::engine::CacheChange;
use pomelostack_lib::prompt::BlockHash;

/// A stored or evicted block.
pub type BlockChange = (CacheChange, BlockHash);

/// Cached prompt blocks, which need no prefill.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, last_use: BTreeMap::new(), by_use: BTreeMap::new() }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Returns the number of free blocks.
    pub fn free(&self) -> usize {
        self.capacity - self.len()
    }

    /// Returns how many of the leading blocks are cached, and marks them as used.
    pub fn use_prefix(&mut self, blocks: &[BlockHash]) -> usize {
        let cached = blocks.iter().take_while(|block| self.last_use.contains_key(block)).count();
        // A block is useless without those before it, so the first block is touched last and is
        // evicted last.
        blocks[..cached].iter().rev().for_each(|&block| self.touch(block));
        cached
    }

    /// Caches the leading blocks that fit. Returns the stored and the evicted blocks, in order.
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

    /// Drops all blocks without reporting changes, as a crash does.
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
