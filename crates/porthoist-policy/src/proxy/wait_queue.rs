//! Order in which requests wait for a target.

use super::demand::PriorityLevel;
use porthoist_core::UnixDeadline;
use std::collections::BTreeMap;

/// Classes of waiting requests, first to last.
///
/// First attempts go before callers' retries because they can still be on time. The other order makes
/// all requests late as long as more arrive than the targets can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueClass {
    /// It was already sent and is to be resent or resumed.
    Resent,
    /// First attempt of its caller.
    First,
    /// Its caller was refused before, so it is late in any case.
    CallerRetry,
}

/// Position of a request in the wait queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Priority class, 0 first.
    pub priority: u8,
    /// Class among requests of the same priority.
    pub class: QueueClass,
    /// When its caller stops waiting, if requests of its class are served by their remaining time.
    pub deadline: Option<UnixDeadline>,
    /// Order of arrival.
    pub arrival: u64,
}

/// Requests of one service that wait for a target.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<QueueKey, T>,
    arrivals: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), arrivals: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request; the returned key removes it.
    pub fn add(&mut self, priority: u8, class: QueueClass, item: T) -> QueueKey {
        let key = QueueKey { priority, class, deadline: None, arrival: self.arrivals };
        self.arrivals += 1;
        self.waiting.insert(key, item);
        key
    }

    /// Number of requests that would be served before one that is added now.
    pub fn ahead(&self, priority: u8, class: QueueClass) -> usize {
        let key = QueueKey { priority, class, deadline: None, arrival: self.arrivals };
        self.waiting.range(..key).count()
    }

    /// Moves first attempts that are late in any case behind the others, where callers' retries wait.
    /// `deadline` returns the deadline of those.
    pub fn demote(&mut self, deadline: impl Fn(&T) -> Option<UnixDeadline>) {
        let is_late =
            |key: &QueueKey, item: &mut T| key.class == QueueClass::First && deadline(item).is_some();
        let late: Vec<(QueueKey, T)> = self.waiting.extract_if(.., is_late).collect();
        for (key, item) in late {
            let deadline = deadline(&item);
            self.waiting.insert(QueueKey { class: QueueClass::CallerRetry, deadline, ..key }, item);
        }
    }

    /// Adds a request that is served before those of its priority and class with a later deadline.
    pub fn add_by_deadline(
        &mut self,
        priority: u8,
        class: QueueClass,
        deadline: UnixDeadline,
        item: T,
    ) -> QueueKey {
        let key = QueueKey { priority, class, deadline: Some(deadline), arrival: self.arrivals };
        self.arrivals += 1;
        self.waiting.insert(key, item);
        key
    }

    /// Removes the requests that no longer wait.
    pub fn retain(&mut self, waits: impl Fn(&T) -> bool) {
        self.waiting.retain(|_key, item| waits(item));
    }

    /// The waiting requests in their order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.values()
    }

    /// Number of waiting requests by priority.
    pub fn levels(&self) -> BTreeMap<PriorityLevel, usize> {
        let mut levels = BTreeMap::new();
        for key in self.waiting.keys() {
            *levels.entry(PriorityLevel(key.priority)).or_default() += 1;
        }
        levels
    }

    /// The first request and its position.
    pub fn first_entry(&self) -> Option<(QueueKey, &T)> {
        self.waiting.first_key_value().map(|(key, item)| (*key, item))
    }

    /// Waiting requests with their positions, first to last.
    pub fn entries(&self) -> impl Iterator<Item = (QueueKey, &T)> {
        self.waiting.iter().map(|(key, item)| (*key, item))
    }

    /// Removes a request that gave up.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        self.waiting.remove(&key)
    }

    /// Removes and returns the first request.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_key, item)| item)
    }

    /// The first request.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_key, item)| item)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
