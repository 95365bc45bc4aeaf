//! Estimated content of one engine's prefix cache.

use crate::prefix::BlockHash;
use std::collections::{HashMap, VecDeque};

/// Bounded set of blocks. The oldest additions are evicted first, as in an engine.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    capacity: usize,
    clock: u64,
    added: HashMap<BlockHash, u64>,
    order: VecDeque<(BlockHash, u64)>,
}

impl PrefixIndex {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            clock: 0,
            added: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(crate) fn insert(&mut self, block: BlockHash) {
        self.clock += 1;
        self.added.insert(block, self.clock);
        self.order.push_back((block, self.clock));
        while self.added.len() > self.capacity || self.order.len() > 2 * self.capacity {
            self.evict_oldest();
        }
    }

    pub(crate) fn remove(&mut self, block: BlockHash) {
        self.added.remove(&block);
    }

    pub(crate) fn clear(&mut self) {
        self.added.clear();
        self.order.clear();
    }

    /// Returns the number of leading blocks in the set. A block is of use only together with all
    /// blocks before it, so a binary search finds the end of the prefix.
    pub(crate) fn matched(&self, blocks: &[BlockHash]) -> usize {
        blocks.partition_point(|block| self.added.contains_key(block))
    }

    fn evict_oldest(&mut self) {
        let Some((block, clock)) = self.order.pop_front() else {
            return;
        };
        if self.added.get(&block) == Some(&clock) {
            self.added.remove(&block);
        }
    }
}
