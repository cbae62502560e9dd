//! Quarantine of requests that crash the targets that run them.
//!
//! A caller retries a request that killed its target, at any entry and as a new attempt. A few such
//! requests keep a group of ranks down, which takes seconds to form again, and with it the requests of
//! all other callers. Each death is therefore counted against every request that was at the target and
//! shared with all entries. The tracker decides when the same request may be sent again:
//!
//! - After one death in a group: after [`HOLD_MILLIS`]. A request that kills costs a group some 5 s of
//!   all its requests, and the caller of an innocent request has left by the time the group serves
//!   again.
//! - After one death of a target without a group: at once, but never twice at the same time.
//! - After deaths of two targets: after [`HOLD_MILLIS`]. An innocent request may have been retried on
//!   the second target together with the one that kills.
//! - After three: after [`QUARANTINE_MILLIS`], which doubles with each further death.
//!
//! A request that kills does so at every target that begins to run it, so one complete answer clears it.
//!
//! The decision depends only on the set of known deaths, not on the order in which the process learned
//! of them.

use crate::proxy::trusted_marks::TrustedMarks;
use porthoist_core::{RequestMark, UnixDeadline, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::str::FromStr;

/// Time in milliseconds for which a request is held after its last death while the evidence is weak.
///
/// Requests that kill were retried for 14 to 20 s. Callers wait 8 s at most, so an innocent request
/// loses nothing by a longer hold. Each hold is extended by up to half this time.
pub const HOLD_MILLIS: u64 = 60_000;
/// Time in milliseconds for which a request is held after its last death once it almost certainly kills
/// its targets. One more send then costs a group at most 5 s in 10 minutes.
pub const QUARANTINE_MILLIS: u64 = 600_000;
/// Longest time in milliseconds for which a request is held without another death: one day.
pub const MAX_QUARANTINE_MILLIS: u64 = 86_400_000;
/// Number of deaths after which a request counts as the cause, whatever else ran on the targets.
/// Operators tolerate three.
pub const CERTAIN_DEATHS: usize = 3;
/// Retry delay in milliseconds for a suspected request that is already running and must not run twice at
/// the same time. Requests that kill did so within 0.5 s.
pub const ALONE_RETRY_MILLIS: u64 = 1_000;
/// Maximum number of tracked requests. Each takes some 200 bytes.
pub const MAX_MARKS: usize = 1_024;
/// Maximum number of deaths stored for one request.
pub const MAX_DEATHS: usize = 16;
/// Additional time in milliseconds after which other processes remove a row that its writer has not
/// removed.
const FOREIGN_ROW_DELAY_MILLIS: u64 = 30_000;

/// Minimum delay in milliseconds before a process rewrites a lost row of a death that another process
/// observed. Jitter adds up to the same amount.
const REWRITE_DELAY_MILLIS: u64 = 2_000;

/// Thresholds of a tracker; tests vary them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRules {
    /// See [`CERTAIN_DEATHS`].
    pub certain_deaths: usize,
    /// See [`HOLD_MILLIS`].
    pub hold_millis: u64,
    /// Whether a recent complete answer protects a request from suspicion.
    pub trust: bool,
}

impl Default for QuarantineRules {
    fn default() -> Self {
        Self { certain_deaths: CERTAIN_DEATHS, hold_millis: HOLD_MILLIS, trust: true }
    }
}

/// A death counted against a request, and the key of its row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashKey {
    /// The request.
    pub mark: RequestMark,
    /// The life of the target that ended.
    pub target: Box<str>,
}

impl fmt::Display for CrashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.mark, self.target)
    }
}

/// Error of parsing the key of a row of the crash table.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a crash key: expected a mark, a slash and a target")]
pub struct CrashKeyError(String);

impl FromStr for CrashKey {
    type Err = CrashKeyError;

    fn from_str(text: &str) -> Result<Self, CrashKeyError> {
        let error = || CrashKeyError(text.chars().take(64).collect());
        let (mark, target) = text.split_once('/').ok_or_else(error)?;
        let mark = mark.parse().map_err(|_mark| error())?;
        if target.is_empty() {
            return Err(error());
        }
        Ok(Self { mark, target: target.into() })
    }
}

/// Value of a row of the crash table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// When the death was observed, by the clock of the host that observed it.
    pub died: UnixMillis,
    /// Whether the target was a rank of a group.
    pub ranked: bool,
    /// The host that observed it.
    pub by: Box<str>,
}

/// All rows of the crash table.
pub type CrashRows = HashMap<CrashKey, CrashReport>;

/// A death as this process knows it.
#[derive(Debug, Clone)]
struct KnownDeath {
    report: CrashReport,
    /// Whether the table has contained it since its last restore. A death that then disappears from the
    /// table has been cleared.
    in_table: bool,
    /// Whether removal of its row was requested.
    removal_requested: bool,
    /// When to rewrite its row, if a restore of the table lost it.
    rewrite_at: Option<UnixDeadline>,
}

impl KnownDeath {
    fn new(report: CrashReport, in_table: bool) -> Self {
        Self { report, in_table, removal_requested: false, rewrite_at: None }
    }
}

/// A request that targets died under.
#[derive(Debug, Clone, Default)]
struct SuspectRecord {
    deaths: BTreeMap<Box<str>, KnownDeath>,
    /// Number of sends of this process that are running.
    running: u32,
}

impl SuspectRecord {
    fn last_death(&self) -> UnixMillis {
        self.deaths.values().map(|death| death.report.died).max().unwrap_or_default()
    }
}

/// How strongly a request is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspicionLevel {
    /// One death of a target without a group: one send at a time.
    Watched,
    /// Too little evidence to be certain, too much to send it again soon.
    Held,
    /// It kills its targets.
    Quarantined,
}

impl SuspicionLevel {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Watched => "watched",
            Self::Held => "held",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Permission to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermit {
    /// The request is not suspected.
    Clear,
    /// The request is suspected; the send counts as running until [`QuarantineTracker::ended`].
    Suspected,
}

/// Why a request must not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBlock {
    /// How strongly it is suspected.
    pub level: SuspicionLevel,
    /// Targets that died under it.
    pub deaths: usize,
    /// When it may be sent again if nothing else happens.
    pub until: UnixDeadline,
}

/// Effect of a death on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeathOutcome {
    /// Not counted: a recent complete answer protects the request.
    Trusted,
    /// Already known.
    Known,
    /// Counted against the request.
    Held {
        /// How strongly it is suspected now.
        level: SuspicionLevel,
        /// Targets that died under the request.
        deaths: usize,
    },
}

/// Effects of the rows of the crash table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Requests with deaths that other processes reported.
    pub heard: Vec<(RequestMark, SuspicionLevel, usize)>,
    /// Requests whose deaths were all removed.
    pub lifted: Vec<RequestMark>,
    /// Rows to remove, because this process has received a complete answer to the request or tracks too
    /// many requests.
    pub remove: Vec<CrashKey>,
}

/// Deaths of targets by the requests that ran on them.
#[derive(Debug, Default)]
pub struct QuarantineTracker {
    rules: QuarantineRules,
    records: HashMap<RequestMark, SuspectRecord>,
    trusted: TrustedMarks,
}

impl QuarantineTracker {
    /// Creates a tracker without deaths.
    pub fn new(rules: QuarantineRules) -> Self {
        Self { rules, ..Self::default() }
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of suspected requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether a request with this head may be tracked; if not, its body need not be hashed.
    pub fn knows_head(&self, head: u64) -> bool {
        self.records.keys().any(|mark| mark.head == head)
    }

    fn level(&self, record: &SuspectRecord) -> SuspicionLevel {
        let deaths = record.deaths.len();
        if deaths >= self.rules.certain_deaths {
            return SuspicionLevel::Quarantined;
        }
        let ranked = record.deaths.values().any(|death| death.report.ranked);
        if deaths > 1 || ranked { SuspicionLevel::Held } else { SuspicionLevel::Watched }
    }

    /// Time for which a request is held after its last death.
    ///
    /// Requests that were on the same target are held for different times. Otherwise a popular request
    /// that was retried at the same moment as the one that kills had its third death 60 s after the
    /// second, in 1 of 60 random simulations.
    fn hold_time_millis(&self, mark: &RequestMark, level: SuspicionLevel, deaths: usize) -> u64 {
        let hold = self.rules.hold_millis;
        match level {
            SuspicionLevel::Watched => 0,
            SuspicionLevel::Held => hold + (mark.whole % u128::from(hold / 2 + 1)) as u64,
            SuspicionLevel::Quarantined => {
                let doublings = deaths.saturating_sub(self.rules.certain_deaths).min(16) as u32;
                (QUARANTINE_MILLIS << doublings).min(MAX_QUARANTINE_MILLIS)
            }
        }
    }

    /// When the deaths of a request expire: after twice the hold, so that they still count if it kills
    /// again when the hold ends.
    fn expires_at(&self, mark: &RequestMark, record: &SuspectRecord) -> UnixDeadline {
        let hold = self.hold_time_millis(mark, self.level(record), record.deaths.len());
        UnixDeadline::after(record.last_death(), 2 * hold.max(self.rules.hold_millis))
    }

    /// How strongly a request is suspected and until when it is held, or `None` if it is not suspected.
    pub fn status(&self, mark: &RequestMark, now: UnixMillis) -> Option<RequestBlock> {
        let record = self.records.get(mark)?;
        if self.expires_at(mark, record).passed(now) {
            return None;
        }
        let level = self.level(record);
        let deaths = record.deaths.len();
        let until = UnixDeadline::after(record.last_death(), self.hold_time_millis(mark, level, deaths));
        Some(RequestBlock { level, deaths, until })
    }

    /// Requests permission to send. With [`SendPermit::Suspected`] the send counts as running until
    /// [`Self::ended`].
    pub fn begin(&mut self, mark: &RequestMark, now: UnixMillis) -> Result<SendPermit, RequestBlock> {
        let Some(block) = self.status(mark, now) else { return Ok(SendPermit::Clear) };
        if !block.until.passed(now) {
            return Err(block);
        }
        let record = self.records.get_mut(mark).expect("a request with a status is tracked");
        if record.running > 0 {
            return Err(RequestBlock { until: UnixDeadline::after(now, ALONE_RETRY_MILLIS), ..block });
        }
        record.running += 1;
        Ok(SendPermit::Suspected)
    }

    /// Records that a send of a suspected request ended, whatever the outcome.
    pub fn ended(&mut self, mark: &RequestMark) {
        if let Some(record) = self.records.get_mut(mark) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Records that a target died while this request was on it.
    pub fn died(&mut self, key: &CrashKey, report: CrashReport, now: UnixMillis) -> DeathOutcome {
        if self.rules.trust && self.trusted.trusts(&key.mark, now) {
            return DeathOutcome::Trusted;
        }
        let record = self.records.entry(key.mark).or_default();
        if record.deaths.contains_key(&key.target) || record.deaths.len() >= MAX_DEATHS {
            return DeathOutcome::Known;
        }
        record.deaths.insert(key.target.clone(), KnownDeath::new(report, false));
        let record = &self.records[&key.mark];
        DeathOutcome::Held { level: self.level(record), deaths: record.deaths.len() }
    }

    /// Records a complete answer to a request; returns the rows to remove.
    pub fn answered(&mut self, mark: &RequestMark, now: UnixMillis) -> Vec<CrashKey> {
        self.trusted.answered(*mark, now);
        let Some(record) = self.records.remove(mark) else { return Vec::new() };
        record.deaths.into_keys().map(|target| CrashKey { mark: *mark, target }).collect()
    }

    /// Applies all rows of the crash table. `first` marks the first listing and the first one after a
    /// restore from a backup: only then are times of death taken from the rows, by the clocks of other
    /// hosts. Rows that are new later count from `now`.
    pub fn apply_rows(&mut self, rows: &CrashRows, first: bool, now: UnixMillis) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        self.drop_removed(rows, &mut changes);
        let mut reported = HashSet::new();
        for (key, report) in rows {
            if self.rules.trust && self.trusted.trusts(&key.mark, now) {
                changes.remove.push(key.clone());
                continue;
            }
            let record = self.records.entry(key.mark).or_default();
            if let Some(death) = record.deaths.get_mut(&key.target) {
                death.in_table = true;
                death.rewrite_at = None;
                continue;
            }
            if record.deaths.len() >= MAX_DEATHS {
                continue;
            }
            let died = if first { report.died.min(now) } else { now };
            let report = CrashReport { died, ..report.clone() };
            record.deaths.insert(key.target.clone(), KnownDeath::new(report, true));
            reported.insert(key.mark);
        }
        let mut reported: Vec<RequestMark> = reported.into_iter().collect();
        reported.sort_unstable();
        for mark in reported {
            let record = &self.records[&mark];
            changes.heard.push((mark, self.level(record), record.deaths.len()));
        }
        changes.remove.extend(self.evict_excess());
        changes
    }

    /// Schedules rewrites of rows that are missing after the table was restored from a backup. Their
    /// deaths count until the table contains them again. The process that observed a death rewrites its
    /// row at once, others after a delay if it is still missing. `jitter` from 0 to 1 spreads the
    /// rewrites of the others.
    pub fn schedule_rewrites(&mut self, rows: &CrashRows, own_host: &str, jitter: f64, now: UnixMillis) {
        let foreign_delay = REWRITE_DELAY_MILLIS + (REWRITE_DELAY_MILLIS as f64 * jitter) as u64;
        for (mark, record) in &mut self.records {
            for (target, death) in &mut record.deaths {
                let key = CrashKey { mark: *mark, target: target.clone() };
                let observed_here = &*death.report.by == own_host;
                if death.removal_requested || rows.contains_key(&key) {
                    continue;
                }
                let delay = if observed_here { 0 } else { foreign_delay };
                death.in_table = false;
                death.rewrite_at = Some(UnixDeadline::after(now, delay));
            }
        }
    }

    /// Returns the lost rows that this process has to rewrite now, each at most once per restore.
    pub fn take_due_rewrites(&mut self, now: UnixMillis) -> Vec<(CrashKey, CrashReport)> {
        let mut rows = Vec::new();
        for (mark, record) in &mut self.records {
            for (target, death) in &mut record.deaths {
                if death.rewrite_at.is_some_and(|deadline| deadline.passed(now)) {
                    death.rewrite_at = None;
                    rows.push((CrashKey { mark: *mark, target: target.clone() }, death.report.clone()));
                }
            }
        }
        rows.sort_unstable_by(|(key, _report), (other, _other)| key.cmp(other));
        rows
    }

    fn drop_removed(&mut self, rows: &CrashRows, changes: &mut QuarantineChanges) {
        self.records.retain(|mark, record| {
            record.deaths.retain(|target, death| {
                !death.in_table || rows.contains_key(&CrashKey { mark: *mark, target: target.clone() })
            });
            let lifted = record.deaths.is_empty();
            if lifted {
                changes.lifted.push(*mark);
            }
            !lifted
        });
        changes.lifted.sort_unstable();
    }

    /// Drops the least suspected and oldest requests above [`MAX_MARKS`]; returns their rows for
    /// removal.
    pub fn evict_excess(&mut self) -> Vec<CrashKey> {
        let excess = self.records.len().saturating_sub(MAX_MARKS);
        if excess == 0 {
            return Vec::new();
        }
        let mut order: Vec<(usize, UnixMillis, RequestMark)> = self
            .records
            .iter()
            .map(|(mark, record)| (record.deaths.len(), record.last_death(), *mark))
            .collect();
        order.sort_unstable();
        let dropped = order.into_iter().take(excess);
        let rows = dropped.flat_map(|(_deaths, _last, mark)| {
            let record = self.records.remove(&mark).unwrap_or_default();
            record.deaths.into_keys().map(move |target| CrashKey { mark, target }).collect::<Vec<_>>()
        });
        rows.collect()
    }

    /// Expired rows that this process has to remove now: its own at once, those of other processes
    /// later, in case their writers no longer run. `jitter` from 0 to 1 spreads the processes that would
    /// remove the same rows.
    pub fn take_expired(&mut self, own_host: &str, jitter: f64, now: UnixMillis) -> Vec<CrashKey> {
        let expiries: Vec<(RequestMark, UnixDeadline)> =
            self.records.iter().map(|(mark, record)| (*mark, self.expires_at(mark, record))).collect();
        let foreign_delay = FOREIGN_ROW_DELAY_MILLIS + (FOREIGN_ROW_DELAY_MILLIS as f64 * jitter) as u64;
        let mut rows = Vec::new();
        for (mark, end) in expiries {
            let Some(record) = self.records.get_mut(&mark) else { continue };
            if !end.passed(now) || record.running > 0 {
                continue;
            }
            record.deaths.retain(|_target, death| death.in_table);
            for (target, death) in &mut record.deaths {
                let due = if &*death.report.by == own_host {
                    end
                } else {
                    UnixDeadline::after(end.0, foreign_delay)
                };
                if due.passed(now) && !death.removal_requested {
                    death.removal_requested = true;
                    rows.push(CrashKey { mark, target: target.clone() });
                }
            }
            if record.deaths.is_empty() {
                self.records.remove(&mark);
            }
        }
        rows
    }
}
