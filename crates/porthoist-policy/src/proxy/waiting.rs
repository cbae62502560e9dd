//! In which order requests wait for a target.

use std::collections::BTreeMap;

/// Turns of requests that wait, in their order.
///
/// First tries go before returned ones, since they can still be on time; the other order makes all late while more come than
/// targets bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueClass {
    /// It was sent already and is to be repeated or resumed.
    Resent,
    /// Its caller comes for the first time.
    First,
    /// Its caller was refused before: it is late, whatever happens.
    CallerRetry,
}

/// Where a request stands among those that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Rank of the request, 0 first.
    pub priority: u8,
    /// Whose turn it is among requests of one rank.
    pub turn: QueueClass,
    /// Order of arrival.
    pub arrival: u64,
}

/// Requests of one service that wait for a target.
#[derive(Debug)]
pub struct WaitList<T> {
    waiting: BTreeMap<WaitRank, T>,
    arrivals: u64,
}

impl<T> Default for WaitList<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), arrivals: 0 }
    }
}

impl<T> WaitList<T> {
    /// Adds a request; the rank takes it out again.
    pub fn add(&mut self, priority: u8, turn: QueueClass, item: T) -> WaitRank {
        let rank = WaitRank { priority, turn, arrival: self.arrivals };
        self.arrivals += 1;
        self.waiting.insert(rank, item);
        rank
    }

    /// How many would go before one that is added now.
    pub fn ahead(&self, priority: u8, turn: QueueClass) -> usize {
        let rank = WaitRank { priority, turn, arrival: self.arrivals };
        self.waiting.range(..rank).count()
    }

    /// Takes out one that gave up.
    pub fn remove(&mut self, rank: WaitRank) -> Option<T> {
        self.waiting.remove(&rank)
    }

    /// Takes out the first.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_rank, item)| item)
    }

    /// Looks at the first.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_rank, item)| item)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
