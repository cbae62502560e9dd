//! Deaths that one process knows of, by what they are blamed on.

use super::crash::CrashReport;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::BTreeMap;

/// Deaths within this time in milliseconds count as one round.
///
/// If a zone loses its power, a part that is in many requests is at all of its targets.
const ROUND_MILLIS: u64 = 250;
/// Minimum delay in milliseconds before a process removes the row of a death that was cleared here and observed elsewhere.
/// Jitter adds up to the same amount.
const FOREIGN_CLEAR_DELAY_MILLIS: u64 = 1_000;
/// Additional time in milliseconds after which other processes remove a row that its writer has not
/// removed.
const FOREIGN_ROW_DELAY_MILLIS: u64 = 30_000;

/// A death as this process knows it.
#[derive(Debug, Clone)]
pub(super) struct KnownDeath {
    pub(super) report: CrashReport,
    /// Whether the table has contained it since its last restore. A death that then disappears from the
    /// table has been cleared.
    pub(super) in_table: bool,
    /// Whether removal of its row was requested.
    pub(super) removal_requested: bool,
    /// When to rewrite its row, if a restore of the table lost it.
    pub(super) rewrite_at: Option<UnixDeadline>,
    /// When a complete answer showed that it has another cause. It no longer counts, and is kept until its row is gone.
    pub(super) cleared: Option<UnixMillis>,
}

impl KnownDeath {
    pub(super) fn new(report: CrashReport, in_table: bool) -> Self {
        Self { report, in_table, removal_requested: false, rewrite_at: None, cleared: None }
    }

    /// When this process has to remove the row, if the deaths of the record expire at `end`. `jitter` from 0 to 1 spreads
    /// the processes that would remove the same row.
    pub(super) fn removal_time(&self, own_host: &str, end: UnixDeadline, jitter: f64) -> UnixDeadline {
        let observed_here = &*self.report.by == own_host;
        let (since, foreign_delay) = match self.cleared {
            Some(cleared) => (cleared, FOREIGN_CLEAR_DELAY_MILLIS),
            None => (end.0, FOREIGN_ROW_DELAY_MILLIS),
        };
        let delay = if observed_here { 0.0 } else { foreign_delay as f64 * (1.0 + jitter) };
        UnixDeadline::after(since, delay as u64)
    }
}

/// A request or a part of prompts that targets died under.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectRecord {
    pub(super) deaths: BTreeMap<Box<str>, KnownDeath>,
    /// Number of sends of this process that are running.
    pub(super) running: u32,
}

impl SuspectRecord {
    /// Deaths that no complete answer has cleared.
    pub(super) fn counted(&self) -> impl Iterator<Item = &KnownDeath> {
        self.deaths.values().filter(|death| death.cleared.is_none())
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.counted().next().is_some()
    }

    /// When the last death was, including cleared ones.
    pub(super) fn last_death(&self) -> UnixMillis {
        self.deaths.values().map(|death| death.report.died).max().unwrap_or_default()
    }

    /// Number of deaths, of which those that came together count as one.
    pub(super) fn rounds(&self) -> usize {
        let mut times: Vec<UnixMillis> = self.counted().map(|death| death.report.died).collect();
        times.sort_unstable();
        let mut rounds = 0;
        let mut round_end: Option<UnixMillis> = None;
        for time in times {
            if round_end.is_none_or(|end| time > end) {
                rounds += 1;
                round_end = Some(time.plus(ROUND_MILLIS));
            }
        }
        rounds
    }

    /// The same with the targets that died.
    pub(super) fn counted_by_target(&self) -> impl Iterator<Item = (&str, &KnownDeath)> {
        let deaths = self.deaths.iter().map(|(target, death)| (&**target, death));
        deaths.filter(|(_target, death)| death.cleared.is_none())
    }

    /// The death of a target, if it counts.
    pub(super) fn counted_death(&self, target: &str) -> Option<&KnownDeath> {
        self.deaths.get(target).filter(|death| death.cleared.is_none())
    }

    /// Whether one of the targets was a rank of a group.
    pub(super) fn is_ranked(&self) -> bool {
        self.counted().any(|death| death.report.ranked)
    }
}
