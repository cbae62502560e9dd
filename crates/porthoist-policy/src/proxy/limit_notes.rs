//! Notes about limits of targets, which the entries of a zone exchange through the process that follows
//! the tables for them.
//!
//! Each entry keeps to a limit with or without notes. With them, an entry knows a limit before the
//! target has announced it to that entry, and its end before probing the target. Otherwise 42 entries
//! with turns a minute apart would find out one by one.

use super::targets::TargetLife;
use porthoist_core::{RequestRate, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time in milliseconds for which a note is passed on: several queries, one a second.
const NOTE_LIFETIME_MILLIS: u64 = 8_000;
/// Maximum number of notes in an answer; the newest ones are sent.
const MAX_NOTES: usize = 64;

/// Limit of one life of a target, as an entry received it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetNote {
    /// The target.
    pub life: TargetLife,
    /// The announced limit; `None` if the target no longer announces one.
    pub limit: Option<RequestRate>,
    /// Time of the information. An answer without a limit counts from the time of its request, since it
    /// may have been delayed.
    pub as_of: UnixMillis,
}

/// A note in transit. It carries its age because the clocks of hosts differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedNote {
    life: TargetLife,
    limit: Option<RequestRate>,
    age_millis: u64,
}

impl TargetNote {
    /// Converts it for another host.
    pub fn aged(&self, now: UnixMillis) -> AgedNote {
        AgedNote { life: self.life.clone(), limit: self.limit, age_millis: now.since(self.as_of) }
    }
}

impl AgedNote {
    /// Converts it to this host's clock. The time in transit is not included, so the note seems newer
    /// than it is.
    pub fn to_local(self, now: UnixMillis) -> TargetNote {
        let as_of = UnixMillis(now.0.saturating_sub(self.age_millis));
        TargetNote { life: self.life, limit: self.limit, as_of }
    }
}

/// The newest note about each target.
#[derive(Debug, Clone, Default)]
pub struct NoteStore {
    notes: BTreeMap<TargetLife, TargetNote>,
}

impl NoteStore {
    /// Stores a note unless a newer one is known.
    pub fn insert(&mut self, note: TargetNote) {
        let newer = self.notes.get(&note.life).is_none_or(|known| known.as_of < note.as_of);
        if newer {
            self.notes.insert(note.life.clone(), note);
        }
    }

    /// The notes to pass on now.
    pub fn current(&mut self, now: UnixMillis) -> Vec<TargetNote> {
        self.notes.retain(|_life, note| now.since(note.as_of) < NOTE_LIFETIME_MILLIS);
        let mut notes: Vec<TargetNote> = self.notes.values().cloned().collect();
        notes.sort_by_key(|note| std::cmp::Reverse(note.as_of));
        notes.truncate(MAX_NOTES);
        notes
    }
}
