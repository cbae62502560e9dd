//! An entry's estimate of the content of a target's prefix cache.
//!
//! The view is bounded and, like the cache itself, evicts the least recently used blocks.

use std::collections::{HashMap, VecDeque};

/// Bounded set of block hashes with least-recently-used eviction.
#[derive(Debug)]
pub struct PrefixView {
    capacity: usize,
    tick: u64,
    last_used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
}

impl PrefixView {
    /// Creates a view of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, tick: 0, last_used: HashMap::new(), order: VecDeque::new() }
    }

    /// Returns the number of leading blocks that are expected to be cached.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_used.contains_key(block)).count()
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// Adds blocks or marks them as recently used; returns the evicted blocks.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<u64> {
        for &block in blocks {
            self.tick += 1;
            self.last_used.insert(block, self.tick);
            self.order.push_back((self.tick, block));
        }
        self.evict()
    }

    /// Removes blocks.
    pub fn remove(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.last_used.remove(block);
        }
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.last_used.len() > self.capacity || self.order.len() > 2 * self.capacity {
            let Some((tick, block)) = self.order.pop_front() else {
                break;
            };
            if self.last_used.get(&block) == Some(&tick) {
                self.last_used.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }
}
