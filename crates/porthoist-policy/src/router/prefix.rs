//! What an entry believes to be in a target's prefix cache.
//!
//! The view is bounded and ages like the cache itself: the blocks used longest ago go first.

use std::collections::{HashMap, VecDeque};

/// A bounded set of block hashes in order of use.
#[derive(Debug)]
pub struct PrefixView {
    capacity: usize,
    tick: u64,
    stamps: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
}

impl PrefixView {
    /// A view of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, tick: 0, stamps: HashMap::new(), order: VecDeque::new() }
    }

    /// Number of leading blocks that are believed to be cached.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.stamps.contains_key(block)).count()
    }

    /// Blocks kept.
    pub fn len(&self) -> usize {
        self.stamps.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.stamps.is_empty()
    }

    /// Adds blocks, or renews them; returns the blocks that had to go.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<u64> {
        for &block in blocks {
            self.tick += 1;
            self.stamps.insert(block, self.tick);
            self.order.push_back((self.tick, block));
        }
        self.evict()
    }

    /// Removes blocks.
    pub fn remove(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.stamps.remove(block);
        }
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.stamps.len() > self.capacity || self.order.len() > 2 * self.capacity {
            let Some((tick, block)) = self.order.pop_front() else {
                break;
            };
            if self.stamps.get(&block) == Some(&tick) {
                self.stamps.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }
}
