//! Which requests are kept from targets, because targets die of them.
//!
//! A request that kills the target that runs it comes again at any entry, as another attempt. A few such requests keep a
//! group of ranks down, which takes seconds to form again, and with it the requests of all others. So a death is held against each request that was at the target, all entries
//! are told, and the book decides whether the same request may be sent once more:
//!
//! - after one death, in a group: not before [`HOLD_MILLIS`] have passed. A send that kills costs a group some 5 s of all its
//!   requests, and a bystander has left by the time that the group serves again;
//! - after one death of a plain target: at once, but never twice at the same time;
//! - after deaths of two targets: not before [`HOLD_MILLIS`] have passed. A bystander may have gone from one target to the next
//!   together with the request that kills;
//! - after three: not before [`QUARANTINE_MILLIS`] have passed, and twice as long after each further death.
//!
//! A request that kills, kills every target that begins to run it. One whole answer clears it.
//!
//! What the book says follows from the set of deaths that it knows, not from the order in which it heard of them.

use crate::proxy::trusted::TrustedMarks;
use porthoist_core::{RequestMark, UnixDeadline, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::str::FromStr;

/// How long a request is kept from targets on little evidence, in milliseconds after its last death.
///
/// Recorded requests of this kind came again for 14 to 20 s. Callers wait 8 s at most, so that a bystander loses nothing by a
/// longer time. Each is held for up to half as long again.
pub const HOLD_MILLIS: u64 = 60_000;
/// How long a request is kept from targets that nearly certainly kills them, in milliseconds after its last death: one more
/// send then costs a group 5 s in 10 minutes at most.
pub const QUARANTINE_MILLIS: u64 = 600_000;
/// The longest time for which a request is kept from targets without another death, in milliseconds: a day.
pub const MAX_QUARANTINE_MILLIS: u64 = 86_400_000;
/// Deaths of targets after which a request is held to kill, whatever else was at them. Operators allow three.
pub const CERTAIN_DEATHS: usize = 3;
/// When a caller may come back whose request runs at this moment, and must not run twice while it is suspected, in
/// milliseconds: recorded requests killed their target within 0.5 s.
pub const ALONE_RETRY_MILLIS: u64 = 1_000;
/// Requests that are remembered at most; each is remembered for a death of a target, and has some 200 bytes.
pub const MAX_MARKS: usize = 1_024;
/// Deaths that are remembered of one request at most.
pub const MOST_DEATHS: usize = 16;
/// How much longer than the process that noted a death the others wait before they remove its row, in milliseconds.
const OTHERS_MILLIS: u64 = 30_000;

/// Minimum delay before a process rewrites a lost row of a death that another process noted, in milliseconds. Jitter adds up
/// to the same amount.
const REWRITE_DELAY_MILLIS: u64 = 2_000;

/// What a book decides by; tests vary it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRules {
    /// As [`CERTAIN_DEATHS`].
    pub certain_deaths: usize,
    /// As [`HOLD_MILLIS`].
    pub hold_millis: u64,
    /// Whether whole answers of the last seconds speak for a request.
    pub trust: bool,
}

impl Default for QuarantineRules {
    fn default() -> Self {
        Self { certain_deaths: CERTAIN_DEATHS, hold_millis: HOLD_MILLIS, trust: true }
    }
}

/// A death that is held against a request: also the key of its row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashKey {
    /// The request.
    pub mark: RequestMark,
    /// The target's life that ended.
    pub target: Box<str>,
}

impl fmt::Display for CrashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.mark, self.target)
    }
}

/// Error of parsing the key of a row of deaths.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not the key of a death: expected a mark, a slash and a target")]
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

/// What a row of deaths says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// When the death was noted, by the clock of the host that noted it.
    pub died: UnixMillis,
    /// Whether the target was a rank of a group.
    pub ranked: bool,
    /// The host that noted it.
    pub by: Box<str>,
}

/// The table of deaths.
pub type CrashRows = HashMap<CrashKey, CrashReport>;

/// A death in the book.
#[derive(Debug, Clone)]
struct KnownDeath {
    report: CrashReport,
    /// Whether the table has shown it since its last restore; one that it no longer shows was cleared.
    told: bool,
    /// Whether its row's removal was asked for.
    leaving: bool,
    /// When to rewrite its row, if a restore of the table lost it.
    rewrite_at: Option<UnixDeadline>,
}

impl KnownDeath {
    fn new(report: CrashReport, told: bool) -> Self {
        Self { report, told, leaving: false, rewrite_at: None }
    }
}

/// A request that targets died under.
#[derive(Debug, Clone, Default)]
struct SuspectRecord {
    deaths: BTreeMap<Box<str>, KnownDeath>,
    /// Runs of this process now.
    running: u32,
}

impl SuspectRecord {
    fn last_death(&self) -> UnixMillis {
        self.deaths.values().map(|death| death.report.died).max().unwrap_or_default()
    }
}

/// How strong the evidence is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspicionLevel {
    /// One death of a plain target: one run at a time.
    Watched,
    /// Too little to be certain, too much to send it again soon.
    Held,
    /// It kills targets.
    Quarantined,
}

impl SuspicionLevel {
    /// Its name in logs and metrics.
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
    /// Nothing is held against it.
    Clear,
    /// It is suspected; the book counts its run until [`QuarantineTracker::ended`].
    Suspected,
}

/// Why a request is kept from targets now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBlock {
    /// How strong the evidence is.
    pub level: SuspicionLevel,
    /// Targets that died under it.
    pub deaths: usize,
    /// When it may be sent again, if nothing else happens.
    pub until: UnixDeadline,
}

/// What a death changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeathOutcome {
    /// A whole answer of the last seconds speaks for the request.
    Trusted,
    /// It was known.
    Known,
    /// It is held against the request.
    Held {
        /// How strong the evidence is now.
        level: SuspicionLevel,
        /// Targets that died under the request.
        deaths: usize,
    },
}

/// What the rows of the table changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Requests that a death was heard of.
    pub heard: Vec<(RequestMark, SuspicionLevel, usize)>,
    /// Requests whose deaths were all removed.
    pub lifted: Vec<RequestMark>,
    /// Rows to remove: this process has a whole answer to the request, or the book is full.
    pub remove: Vec<CrashKey>,
}

/// Deaths of targets by the requests that were at them.
#[derive(Debug, Default)]
pub struct QuarantineTracker {
    rules: QuarantineRules,
    records: HashMap<RequestMark, SuspectRecord>,
    trusted: TrustedMarks,
}

impl QuarantineTracker {
    /// An empty book.
    pub fn new(rules: QuarantineRules) -> Self {
        Self { rules, ..Self::default() }
    }

    /// Whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Requests that something is held against.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether a request with this head may be in the book, which spares the digest of its body.
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

    /// How long a request is kept from targets after its last death.
    ///
    /// Requests that were at a target together are held for different times: a hot request that came back in the same moment as the
    /// one that kills was at its third death 60 s after the second, in 1 of 60 random plays.
    fn kept_millis(&self, mark: &RequestMark, level: SuspicionLevel, deaths: usize) -> u64 {
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

    /// When the deaths of a request no longer count: as long again as it was kept from targets, so that one more death finds
    /// them remembered.
    fn forgotten_at(&self, mark: &RequestMark, record: &SuspectRecord) -> UnixDeadline {
        let kept = self.kept_millis(mark, self.level(record), record.deaths.len());
        UnixDeadline::after(record.last_death(), 2 * kept.max(self.rules.hold_millis))
    }

    /// What is held against a request, and until when it is kept from targets; nothing if nothing is.
    pub fn status(&self, mark: &RequestMark, now: UnixMillis) -> Option<RequestBlock> {
        let record = self.records.get(mark)?;
        if self.forgotten_at(mark, record).passed(now) {
            return None;
        }
        let level = self.level(record);
        let deaths = record.deaths.len();
        let until = UnixDeadline::after(record.last_death(), self.kept_millis(mark, level, deaths));
        Some(RequestBlock { level, deaths, until })
    }

    /// Asks to send a request. With [`SendPermit::Suspected`] its run counts until [`Self::ended`].
    pub fn begin(&mut self, mark: &RequestMark, now: UnixMillis) -> Result<SendPermit, RequestBlock> {
        let Some(kept) = self.status(mark, now) else { return Ok(SendPermit::Clear) };
        if !kept.until.passed(now) {
            return Err(kept);
        }
        let record = self.records.get_mut(mark).expect("what has a standing is in the book");
        if record.running > 0 {
            return Err(RequestBlock { until: UnixDeadline::after(now, ALONE_RETRY_MILLIS), ..kept });
        }
        record.running += 1;
        Ok(SendPermit::Suspected)
    }

    /// Takes that a run of a suspected request ended, in whatever way.
    pub fn ended(&mut self, mark: &RequestMark) {
        if let Some(record) = self.records.get_mut(mark) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Takes that a target died while this request was at it.
    pub fn died(&mut self, key: &CrashKey, report: CrashReport, now: UnixMillis) -> DeathOutcome {
        if self.rules.trust && self.trusted.trusts(&key.mark, now) {
            return DeathOutcome::Trusted;
        }
        let record = self.records.entry(key.mark).or_default();
        if record.deaths.contains_key(&key.target) || record.deaths.len() >= MOST_DEATHS {
            return DeathOutcome::Known;
        }
        record.deaths.insert(key.target.clone(), KnownDeath::new(report, false));
        let record = &self.records[&key.mark];
        DeathOutcome::Held { level: self.level(record), deaths: record.deaths.len() }
    }

    /// Takes that a target answered a request whole; returns the rows to remove.
    pub fn answered(&mut self, mark: &RequestMark, now: UnixMillis) -> Vec<CrashKey> {
        self.trusted.answered(*mark, now);
        let Some(record) = self.records.remove(mark) else { return Vec::new() };
        record.deaths.into_keys().map(|target| CrashKey { mark: *mark, target }).collect()
    }

    /// Takes the whole table of deaths. `first` says that nothing was known of it before, or that it was restored from a backup:
    /// only then do the clocks of other hosts count, all later news are of this moment.
    pub fn apply_rows(&mut self, rows: &CrashRows, first: bool, now: UnixMillis) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        self.drop_removed(rows, &mut changes);
        let mut heard = HashSet::new();
        for (key, report) in rows {
            if self.rules.trust && self.trusted.trusts(&key.mark, now) {
                changes.remove.push(key.clone());
                continue;
            }
            let record = self.records.entry(key.mark).or_default();
            if let Some(death) = record.deaths.get_mut(&key.target) {
                death.told = true;
                death.rewrite_at = None;
                continue;
            }
            if record.deaths.len() >= MOST_DEATHS {
                continue;
            }
            let died = if first { report.died.min(now) } else { now };
            let report = CrashReport { died, ..report.clone() };
            record.deaths.insert(key.target.clone(), KnownDeath::new(report, true));
            heard.insert(key.mark);
        }
        let mut heard: Vec<RequestMark> = heard.into_iter().collect();
        heard.sort_unstable();
        for mark in heard {
            let record = &self.records[&mark];
            changes.heard.push((mark, self.level(record), record.deaths.len()));
        }
        changes.remove.extend(self.evict_excess());
        changes
    }

    /// Schedules rewrites of rows that are missing after the table was restored from a backup. Their deaths count until the table
    /// has shown them again. The process that noted a death rewrites its row at once, others after a delay if it is still
    /// missing. `jitter` from 0 to 1 spreads the rewrites of the others.
    pub fn schedule_rewrites(&mut self, rows: &CrashRows, own: &str, jitter: f64, now: UnixMillis) {
        let later = REWRITE_DELAY_MILLIS + (REWRITE_DELAY_MILLIS as f64 * jitter) as u64;
        for (mark, record) in &mut self.records {
            for (target, death) in &mut record.deaths {
                let key = CrashKey { mark: *mark, target: target.clone() };
                let noted_here = &*death.report.by == own;
                if death.leaving || rows.contains_key(&key) {
                    continue;
                }
                let delay = if noted_here { 0 } else { later };
                death.told = false;
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
                !death.told || rows.contains_key(&CrashKey { mark: *mark, target: target.clone() })
            });
            let lifted = record.deaths.is_empty();
            if lifted {
                changes.lifted.push(*mark);
            }
            !lifted
        });
        changes.lifted.sort_unstable();
    }

    /// Drops the least suspected and oldest requests beyond [`MAX_MARKS`]; returns their rows, to be removed.
    pub fn evict_excess(&mut self) -> Vec<CrashKey> {
        let beyond = self.records.len().saturating_sub(MAX_MARKS);
        if beyond == 0 {
            return Vec::new();
        }
        let mut order: Vec<(usize, UnixMillis, RequestMark)> = self
            .records
            .iter()
            .map(|(mark, record)| (record.deaths.len(), record.last_death(), *mark))
            .collect();
        order.sort_unstable();
        let dropped = order.into_iter().take(beyond);
        let rows = dropped.flat_map(|(_deaths, _last, mark)| {
            let record = self.records.remove(&mark).unwrap_or_default();
            record.deaths.into_keys().map(move |target| CrashKey { mark, target }).collect::<Vec<_>>()
        });
        rows.collect()
    }

    /// Rows that no longer count and that this process is to remove now: its own at once, those of others later, in case that
    /// they can't. `jitter` from 0 to 1 spreads the processes that would remove the same rows.
    pub fn take_expired(&mut self, own: &str, jitter: f64, now: UnixMillis) -> Vec<CrashKey> {
        let ends: Vec<(RequestMark, UnixDeadline)> =
            self.records.iter().map(|(mark, record)| (*mark, self.forgotten_at(mark, record))).collect();
        let later = OTHERS_MILLIS + (OTHERS_MILLIS as f64 * jitter) as u64;
        let mut rows = Vec::new();
        for (mark, end) in ends {
            let Some(record) = self.records.get_mut(&mark) else { continue };
            if !end.passed(now) || record.running > 0 {
                continue;
            }
            record.deaths.retain(|_target, death| death.told);
            for (target, death) in &mut record.deaths {
                let due = if &*death.report.by == own { end } else { UnixDeadline::after(end.0, later) };
                if due.passed(now) && !death.leaving {
                    death.leaving = true;
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
