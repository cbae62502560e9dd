//! Quarantine of requests, and of parts of prompts, that crash the targets that run them.
//!
//! A caller retries a request that killed its target, at any entry and as a new attempt. Or requests that come once each
//! share a part of their prompts that kills. A few of them keep a group of ranks down, which takes seconds to form again, and
//! with it the requests of all other callers. Each death is therefore counted against every request that was at the target,
//! and against the parts of its prompt, and shared with all entries. The tracker decides when a request may be sent that is
//! suspected, or has a suspected part:
//!
//! - After one death in a group: after [`HOLD_MILLIS`]. A request that kills costs a group some 5 s of
//!   all its requests, and the caller of an innocent request has left by the time the group serves
//!   again.
//! - After one death of a target without a group: at once, but never twice at the same time.
//! - After deaths of two targets: after [`HOLD_MILLIS`]. An innocent request may have been retried on
//!   the second target together with the one that kills.
//! - After three: after [`QUARANTINE_MILLIS`], which doubles with each further death.
//!
//! What kills does so at every target that begins to run it, so one complete answer clears a request and the parts of its
//! prompt.
//!
//! Of the parts of one prompt those are blamed that have no recent complete answer ([`QuarantineTracker::blamed_parts`]). A
//! part that has one is suspected only after several deaths in a row without another answer. A part with a single death is
//! most likely innocent: a request with no other suspect is sent alone after [`CANARY_HOLD_MILLIS`], and its answer clears the
//! part. If parts that the request does not have explain all deaths, since more targets died under them or they were in the
//! same prompts, that is after [`EXPLAINED_HOLD_MILLIS`] or at once, however many deaths there are.
//!
//! The decision depends only on the set of known deaths, not on the order in which the process learned
//! of them.

mod crash;
mod explanation;
mod record;

use crate::proxy::trusted_marks::TrustedMarks;
use crate::proxy::trusted_parts::TrustedParts;
pub use crash::{CrashKey, CrashKeyError, CrashReport, CrashRows};
pub use explanation::{CANARY_HOLD_MILLIS, EXPLAINED_HOLD_MILLIS};
use porthoist_core::{PartMark, RequestMark, SuspectMark, UnixDeadline, UnixMillis};
use record::{KnownDeath, SuspectRecord};
use std::collections::{HashMap, HashSet};

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
/// Number of rounds of deaths that are not held against a part with a recent complete answer.
pub const FORGIVEN_ROUNDS: usize = 2;
/// Retry delay in milliseconds for a suspected request that is already running and must not run twice at
/// the same time. Requests that kill did so within 0.5 s.
pub const ALONE_RETRY_MILLIS: u64 = 1_000;
/// Maximum number of tracked requests and parts. Each takes some 200 bytes.
pub const MAX_MARKS: usize = 1_024;
/// Maximum number of deaths stored for one request or part.
pub const MAX_DEATHS: usize = 16;

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
    /// Whether a recent complete answer protects a request, and the parts of its prompt, from suspicion.
    pub trust: bool,
}

impl Default for QuarantineRules {
    fn default() -> Self {
        Self { certain_deaths: CERTAIN_DEATHS, hold_millis: HOLD_MILLIS, trust: true }
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
    /// The request itself or the part of its prompt that is suspected.
    pub mark: SuspectMark,
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
    /// Counted against a part of prompts, which is not suspected for it because a request with it had a complete answer
    /// recently.
    Noted,
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
    pub heard: Vec<(SuspectMark, SuspicionLevel, usize)>,
    /// Requests whose deaths were all removed.
    pub lifted: Vec<SuspectMark>,
    /// Rows to remove, because this process has received a complete answer to the request or tracks too
    /// many requests.
    pub remove: Vec<CrashKey>,
}

/// Deaths of targets by the requests that ran on them and the parts of their prompts.
#[derive(Debug, Default)]
pub struct QuarantineTracker {
    rules: QuarantineRules,
    records: HashMap<SuspectMark, SuspectRecord>,
    trusted: TrustedMarks,
    trusted_parts: TrustedParts,
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

    /// Number of requests and parts that deaths are counted against.
    pub fn len(&self) -> usize {
        self.records.values().filter(|record| record.is_suspected()).count()
    }

    /// Whether a request with this head may be tracked; if not, its body need not be hashed.
    pub fn knows_head(&self, head: u64) -> bool {
        self.records.keys().any(|mark| matches!(mark, SuspectMark::Request(mark) if mark.head == head))
    }

    /// Whether deaths of a part are known.
    pub fn knows_part(&self, part: &PartMark) -> bool {
        self.records.contains_key(&SuspectMark::Part(*part))
    }

    /// Number of deaths that count for the level of suspicion.
    fn evidence(&self, mark: &SuspectMark, record: &SuspectRecord, now: UnixMillis) -> usize {
        match mark {
            SuspectMark::Part(part) if self.trusts_part(part, now) => {
                record.rounds().saturating_sub(FORGIVEN_ROUNDS)
            }
            SuspectMark::Part(_) | SuspectMark::Request(_) => record.counted().count(),
        }
    }

    fn trusts_part(&self, part: &PartMark, now: UnixMillis) -> bool {
        self.rules.trust && self.trusted_parts.trusts(part, now)
    }

    fn level(&self, mark: &SuspectMark, record: &SuspectRecord, now: UnixMillis) -> Option<SuspicionLevel> {
        let evidence = self.evidence(mark, record, now);
        let ranked = record.is_ranked();
        match evidence {
            0 => None,
            _ if evidence >= self.rules.certain_deaths => Some(SuspicionLevel::Quarantined),
            1 if !ranked => Some(SuspicionLevel::Watched),
            _ => Some(SuspicionLevel::Held),
        }
    }

    /// Time for which a request is held after its last death.
    ///
    /// Requests that were on the same target are held for different times. Otherwise a popular request
    /// that was retried at the same moment as the one that kills had its third death 60 s after the
    /// second, in 1 of 60 random simulations.
    fn hold_time_millis(&self, mark: &SuspectMark, level: SuspicionLevel, evidence: usize) -> u64 {
        let hold = self.rules.hold_millis;
        match level {
            SuspicionLevel::Watched => 0,
            SuspicionLevel::Held => hold + (mark.spread() % u128::from(hold / 2 + 1)) as u64,
            SuspicionLevel::Quarantined => {
                let doublings = evidence.saturating_sub(self.rules.certain_deaths).min(16) as u32;
                (QUARANTINE_MILLIS << doublings).min(MAX_QUARANTINE_MILLIS)
            }
        }
    }

    /// When the deaths of a request expire: after twice the hold, so that they still count if it kills
    /// again when the hold ends.
    fn expires_at(&self, mark: &SuspectMark, record: &SuspectRecord, now: UnixMillis) -> UnixDeadline {
        let evidence = self.evidence(mark, record, now);
        let hold =
            self.level(mark, record, now).map_or(0, |level| self.hold_time_millis(mark, level, evidence));
        UnixDeadline::after(record.last_death(), 2 * hold.max(self.rules.hold_millis))
    }

    /// How strongly a request or part is suspected and until when it is held, or `None` if it is not suspected.
    pub fn status(&self, mark: &SuspectMark, now: UnixMillis) -> Option<RequestBlock> {
        let record = self.records.get(mark)?;
        if self.expires_at(mark, record, now).passed(now) {
            return None;
        }
        let level = self.level(mark, record, now)?;
        let hold = self.hold_time_millis(mark, level, self.evidence(mark, record, now));
        let until = UnixDeadline::after(record.last_death(), hold);
        Some(RequestBlock { mark: *mark, level, deaths: record.counted().count(), until })
    }

    /// Requests permission to send a request with these marks. With [`SendPermit::Suspected`] the send counts as running
    /// until [`Self::ended`].
    pub fn begin(&mut self, marks: &[SuspectMark], now: UnixMillis) -> Result<SendPermit, RequestBlock> {
        let mut blocks: Vec<RequestBlock> = marks.iter().filter_map(|mark| self.status(mark, now)).collect();
        let is_only_suspect = blocks.len() == 1;
        for block in &mut blocks {
            *block = self.weigh_evidence(*block, marks, is_only_suspect);
        }
        let Some(last) = blocks.iter().max_by_key(|block| block.until).copied() else {
            return Ok(SendPermit::Clear);
        };
        if !last.until.passed(now) {
            return Err(last);
        }
        let is_running = |block: &&RequestBlock| self.records[&block.mark].running > 0;
        if let Some(block) = blocks.iter().find(is_running) {
            return Err(RequestBlock { until: UnixDeadline::after(now, ALONE_RETRY_MILLIS), ..*block });
        }
        for block in &blocks {
            let record = self.records.get_mut(&block.mark).expect("a mark with a status is tracked");
            record.running += 1;
        }
        Ok(SendPermit::Suspected)
    }

    /// Records that a send of a suspected request ended, whatever the outcome.
    pub fn ended(&mut self, marks: &[SuspectMark]) {
        for mark in marks {
            if let Some(record) = self.records.get_mut(mark) {
                record.running = record.running.saturating_sub(1);
            }
        }
    }

    /// Which parts of a prompt to blame for the death of a target that ran it: those that already crashed several targets,
    /// else those without a recent complete answer, else all.
    pub fn blamed_parts(&self, parts: &[PartMark], now: UnixMillis) -> Vec<PartMark> {
        let select =
            |rule: &dyn Fn(&PartMark) -> bool| parts.iter().copied().filter(rule).collect::<Vec<_>>();
        let is_quarantined = |part: &PartMark| {
            let status = self.status(&SuspectMark::Part(*part), now);
            status.is_some_and(|block| block.level == SuspicionLevel::Quarantined)
        };
        let quarantined = select(&is_quarantined);
        if !quarantined.is_empty() {
            return quarantined;
        }
        let untrusted = select(&|part| !self.trusts_part(part, now));
        if untrusted.is_empty() { parts.to_vec() } else { untrusted }
    }

    /// Records that a target died while this request, or a request with this part, was on it.
    pub fn died(&mut self, key: &CrashKey, report: CrashReport, now: UnixMillis) -> DeathOutcome {
        if self.trusts_request(&key.mark, now) {
            return DeathOutcome::Trusted;
        }
        let record = self.records.entry(key.mark).or_default();
        if record.deaths.contains_key(&key.target) || record.deaths.len() >= MAX_DEATHS {
            return DeathOutcome::Known;
        }
        record.deaths.insert(key.target.clone(), KnownDeath::new(report, false));
        let record = &self.records[&key.mark];
        match self.level(&key.mark, record, now) {
            Some(level) => DeathOutcome::Held { level, deaths: record.counted().count() },
            None => DeathOutcome::Noted,
        }
    }

    fn trusts_request(&self, mark: &SuspectMark, now: UnixMillis) -> bool {
        matches!(mark, SuspectMark::Request(mark) if self.rules.trust && self.trusted.trusts(mark, now))
    }

    /// Records a complete answer to a request; returns the rows to remove.
    pub fn answered(&mut self, mark: &RequestMark, now: UnixMillis) -> Vec<CrashKey> {
        self.trusted.answered(*mark, now);
        let mark = SuspectMark::Request(*mark);
        let Some(record) = self.records.remove(&mark) else { return Vec::new() };
        record.deaths.into_keys().map(|target| CrashKey { mark, target }).collect()
    }

    /// Records a complete answer to a request with this part; returns the number of deaths that it clears.
    ///
    /// A part may be in answers of all entries at the same time. [`Self::take_expired`] returns the rows to remove, so that
    /// not every entry removes them.
    pub fn part_answered(&mut self, part: &PartMark, now: UnixMillis) -> usize {
        self.trusted_parts.answered(*part, now);
        let Some(record) = self.records.get_mut(&SuspectMark::Part(*part)) else { return 0 };
        let mut cleared = 0;
        for death in record.deaths.values_mut().filter(|death| death.cleared.is_none()) {
            death.cleared = Some(now);
            cleared += 1;
        }
        cleared
    }

    /// Applies all rows of the crash table. `first` marks the first listing and the first one after a
    /// restore from a backup: only then are times of death taken from the rows, by the clocks of other
    /// hosts. Rows that are new later count from `now`.
    pub fn apply_rows(&mut self, rows: &CrashRows, first: bool, now: UnixMillis) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        self.drop_removed(rows, &mut changes);
        let mut reported = HashSet::new();
        for (key, report) in rows {
            if self.trusts_request(&key.mark, now) {
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
        let mut reported: Vec<SuspectMark> = reported.into_iter().collect();
        reported.sort_unstable();
        for mark in reported {
            let record = &self.records[&mark];
            if let Some(level) = self.level(&mark, record, now) {
                changes.heard.push((mark, level, record.counted().count()));
            }
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
                if death.removal_requested || death.cleared.is_some() || rows.contains_key(&key) {
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
            let was_suspected = record.is_suspected();
            record.deaths.retain(|target, death| {
                !death.in_table || rows.contains_key(&CrashKey { mark: *mark, target: target.clone() })
            });
            let is_empty = record.deaths.is_empty();
            if is_empty && was_suspected {
                changes.lifted.push(*mark);
            }
            !is_empty
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
        let mut order: Vec<(usize, UnixMillis, SuspectMark)> = self
            .records
            .iter()
            .map(|(mark, record)| (record.counted().count(), record.last_death(), *mark))
            .collect();
        order.sort_unstable();
        let dropped = order.into_iter().take(excess);
        let rows = dropped.flat_map(|(_deaths, _last, mark)| {
            let record = self.records.remove(&mark).unwrap_or_default();
            record.deaths.into_keys().map(move |target| CrashKey { mark, target }).collect::<Vec<_>>()
        });
        rows.collect()
    }

    /// Rows of expired and cleared deaths that this process has to remove now: its own at once, those of other processes
    /// later, in case their writers no longer run. `jitter` from 0 to 1 spreads the processes that would
    /// remove the same rows.
    pub fn take_expired(&mut self, own_host: &str, jitter: f64, now: UnixMillis) -> Vec<CrashKey> {
        let expiries: Vec<(SuspectMark, UnixDeadline)> =
            self.records.iter().map(|(mark, record)| (*mark, self.expires_at(mark, record, now))).collect();
        let mut rows = Vec::new();
        for (mark, end) in expiries {
            let Some(record) = self.records.get_mut(&mark) else { continue };
            let expired = end.passed(now) && record.running == 0;
            if expired {
                record.deaths.retain(|_target, death| death.in_table);
            }
            for (target, death) in &mut record.deaths {
                let is_due = (expired || death.cleared.is_some())
                    && death.removal_time(own_host, end, jitter).passed(now);
                if is_due && !death.removal_requested {
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
