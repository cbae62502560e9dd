//! How many entries a zone has, and which place each has among them, as the process tells that follows the tables for them.
//!
//! All entries of a zone ask one process all the time, so it knows them without rows or rounds of its own. What it tells may
//! be too little for a while, after its start or while entries ask different processes; a number that falls is not believed at once.

use super::turns::EntryPosition;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::BTreeMap;

/// How long an entry counts after its last question, in milliseconds: one that stands still may go on within that time, and
/// questions come every second.
const COUNTED_MILLIS: u64 = 10_000;
/// How long a process has been asked before what it counts is told, in milliseconds: by then all entries have asked it twice, also
/// those that started together with it.
const SETTLE_MILLIS: u64 = 2_000;
/// How long a greater number of entries is held on to, in milliseconds.
const KEPT_MILLIS: u64 = 30_000;

/// Names an entry process's host, also over its restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(pub u64);

/// The entries that ask one process.
#[derive(Debug, Clone, Default)]
pub struct EntryRoster {
    counted: BTreeMap<EntryId, UnixDeadline>,
    first_asked: UnixMillis,
}

impl EntryRoster {
    /// Takes a question of an entry; tells its place, once all have asked.
    pub fn record_query(&mut self, entry: EntryId, now: UnixMillis) -> Option<EntryPosition> {
        self.counted.retain(|_entry, until| !until.passed(now));
        if self.counted.is_empty() {
            self.first_asked = now;
        }
        self.counted.insert(entry, UnixDeadline::after(now, COUNTED_MILLIS));
        let settled = now.since(self.first_asked) >= SETTLE_MILLIS;
        let place = EntryPosition {
            index: self.counted.range(..entry).count() as u32,
            entries: self.counted.len() as u32,
        };
        settled.then_some(place)
    }
}

/// The place that an entry believes to have.
#[derive(Debug, Clone, Copy, Default)]
pub struct PositionTracker {
    place: Option<EntryPosition>,
    kept_until: UnixDeadline,
}

impl PositionTracker {
    /// Takes what a process tells. Returns whether the place is another one now.
    pub fn update(&mut self, told: Option<EntryPosition>, now: UnixMillis) -> bool {
        let Some(told) = told else { return false };
        let fewer = self.place.is_some_and(|place| told.entries < place.entries);
        if fewer && !self.kept_until.passed(now) {
            return false;
        }
        self.kept_until = UnixDeadline::after(now, KEPT_MILLIS);
        self.place.replace(told) != Some(told)
    }

    /// The place; nothing before one was told.
    pub fn place(&self) -> Option<EntryPosition> {
        self.place
    }
}
