//! Number of entries in a zone, and each entry's position among them, as told by the process that
//! follows the tables for the zone.
//!
//! All entries of a zone query that process regularly, so it knows them without extra rows or requests.
//! Its count may be too low for a while, after it has started or while entries query different
//! processes, so a falling number is adopted only after a delay.

use super::send_turns::EntryPosition;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::BTreeMap;

/// Time in milliseconds for which an entry counts after its last query. An entry that stalls may resume
/// within this time; queries arrive every second.
const ENTRY_TIMEOUT_MILLIS: u64 = 10_000;
/// Time in milliseconds between the first query and the first answer with a count. By then all entries
/// have asked twice, including those that started at the same time.
const SETTLE_MILLIS: u64 = 2_000;
/// Time in milliseconds for which a higher number of entries is kept.
const HIGHER_COUNT_HOLD_MILLIS: u64 = 30_000;

/// Identifies an entry process's host, also across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(pub u64);

/// The entries that query one process.
#[derive(Debug, Clone, Default)]
pub struct EntryRoster {
    counted_until: BTreeMap<EntryId, UnixDeadline>,
    first_query: UnixMillis,
}

impl EntryRoster {
    /// Records a query of an entry. Returns the entry's position once the count is reliable.
    pub fn record_query(&mut self, entry: EntryId, now: UnixMillis) -> Option<EntryPosition> {
        self.counted_until.retain(|_entry, until| !until.passed(now));
        if self.counted_until.is_empty() {
            self.first_query = now;
        }
        self.counted_until.insert(entry, UnixDeadline::after(now, ENTRY_TIMEOUT_MILLIS));
        let settled = now.since(self.first_query) >= SETTLE_MILLIS;
        let position = EntryPosition {
            index: self.counted_until.range(..entry).count() as u32,
            entries: self.counted_until.len() as u32,
        };
        settled.then_some(position)
    }
}

/// The position that an entry uses for itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct PositionTracker {
    position: Option<EntryPosition>,
    higher_count_until: UnixDeadline,
}

impl PositionTracker {
    /// Applies the position from an answer. Returns whether the position changed.
    pub fn update(&mut self, answer: Option<EntryPosition>, now: UnixMillis) -> bool {
        let Some(answer) = answer else { return false };
        let fewer = self.position.is_some_and(|position| answer.entries < position.entries);
        if fewer && !self.higher_count_until.passed(now) {
            return false;
        }
        self.higher_count_until = UnixDeadline::after(now, HIGHER_COUNT_HOLD_MILLIS);
        self.position.replace(answer) != Some(answer)
    }

    /// The position, or `None` until one is known.
    pub fn position(&self) -> Option<EntryPosition> {
        self.position
    }
}
