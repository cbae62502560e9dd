//! What entries of a zone tell each other of targets in need, by way of the process that follows the tables for them.
//!
//! Limits are kept by each entry whether it hears of others or not. Told on, a limit is known before the target has named it to
//! each, and its end before each has asked: 42 entries with turns a minute apart would otherwise find out one by one.

use super::targets::TargetLife;
use porthoist_core::{RequestRate, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a note is told on, in milliseconds: some rounds of questions, which come every second.
const TOLD_MILLIS: u64 = 8_000;
/// Notes that are told at once, at most; the newest ones first.
const MAX_TOLD: usize = 64;

/// What an entry heard of one life of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetNote {
    /// The target.
    pub life: TargetLife,
    /// The limit that it names; nothing if it names none any more.
    pub limit: Option<RequestRate>,
    /// As of when. An answer without a limit counts as of its request: it may have lain somewhere since.
    pub as_of: UnixMillis,
}

/// A note on its way. Clocks of hosts differ, so that it carries an age.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedNote {
    life: TargetLife,
    limit: Option<RequestRate>,
    age_millis: u64,
}

impl TargetNote {
    /// For another host.
    pub fn aged(&self, now: UnixMillis) -> AgedNote {
        AgedNote { life: self.life.clone(), limit: self.limit, age_millis: now.since(self.as_of) }
    }
}

impl AgedNote {
    /// By this host's clock. The way adds to its age, so that it is taken for newer than it is by that.
    pub fn to_local(self, now: UnixMillis) -> TargetNote {
        let as_of = UnixMillis(now.0.saturating_sub(self.age_millis));
        TargetNote { life: self.life, limit: self.limit, as_of }
    }
}

/// The newest notes about all targets.
#[derive(Debug, Clone, Default)]
pub struct NoteStore {
    notes: BTreeMap<TargetLife, TargetNote>,
}

impl NoteStore {
    /// Takes a note; an older one than is known changes nothing.
    pub fn take(&mut self, note: TargetNote) {
        let newer = self.notes.get(&note.life).is_none_or(|known| known.as_of < note.as_of);
        if newer {
            self.notes.insert(note.life.clone(), note);
        }
    }

    /// What is told on now.
    pub fn current(&mut self, now: UnixMillis) -> Vec<TargetNote> {
        self.notes.retain(|_life, note| now.since(note.as_of) < TOLD_MILLIS);
        let mut notes: Vec<TargetNote> = self.notes.values().cloned().collect();
        notes.sort_by_key(|note| std::cmp::Reverse(note.as_of));
        notes.truncate(MAX_TOLD);
        notes
    }
}
