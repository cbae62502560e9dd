//! Quarantines requests and parts of prompts that crash targets, and exchanges crashes with the other entries through the crash
//! table.

use crate::connection_pool::TargetLiveness;
use crate::crashes::{CrashChange, CrashSnapshot};
use crate::revision::TableEra;
use porthoist_core::{ClockSource, HostName, PartMark, RequestMark, SuspectMark, TargetName};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::quarantine::{
    CrashKey, CrashReport, DeathOutcome, QuarantineChanges, QuarantineRules, QuarantineTracker, RequestBlock,
    SendPermit,
};
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Maximum body size in bytes for which a complete response is remembered although the request is not
/// suspected. Computing its digest takes 13 microseconds of a core; requests that come many times a second
/// have small bodies.
const MAX_TRUSTED_BODY_BYTES: usize = 16 * 1024;

/// A request that can be identified by a digest.
pub trait MarkedRequest {
    /// Digest of everything but the body's bytes.
    fn head_digest(&self) -> u64;
    /// Digest of the whole request; reads the body.
    fn mark(&self) -> RequestMark;
    /// Size of the body in bytes.
    fn body_bytes(&self) -> usize;
    /// Parts of the prompt that other requests may share.
    fn parts(&self) -> &[PartMark];
    /// Identifier of the attempt, for logs.
    fn attempt(&self) -> &str;
    /// Whether the request's targets are ranks of a group.
    fn ranked(&self) -> bool;
}

/// Quarantine of one process.
pub struct RequestQuarantine {
    tracker: RefCell<QuarantineTracker>,
    /// State of the crash table.
    crashes: RefCell<watch::Receiver<CrashSnapshot>>,
    /// Receives changes to be written to the crash table.
    changes: mpsc::Sender<CrashChange>,
    /// Targets at which suspected requests of this process run.
    occupied: RefCell<Vec<TargetName>>,
    /// Whether the tracker has received the table.
    listed: Cell<bool>,
    /// Era of the rows that the tracker last received.
    era: Cell<TableEra>,
    host: HostName,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
}

impl fmt::Debug for RequestQuarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestQuarantine")
            .field("requests", &self.tracker.borrow().len())
            .finish_non_exhaustive()
    }
}

/// A run of a suspected request; ends when dropped.
pub struct SuspectRun {
    quarantine: Rc<RequestQuarantine>,
    marks: Vec<SuspectMark>,
    target: Option<TargetName>,
}

impl SuspectRun {
    /// Records the target of the run.
    pub fn set_target(&mut self, target: &TargetName) {
        if self.target.replace(target.clone()).is_none() {
            self.quarantine.occupied.borrow_mut().push(target.clone());
        }
    }
}

impl fmt::Debug for SuspectRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SuspectRun").field(&short_marks(&self.marks)).finish()
    }
}

/// First digits of marks, for logs.
fn short_marks(marks: &[SuspectMark]) -> String {
    marks.iter().map(SuspectMark::short).collect::<Vec<_>>().join(" ")
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.quarantine.tracker.borrow_mut().ended(&self.marks);
        let Some(target) = &self.target else { return };
        let mut occupied = self.quarantine.occupied.borrow_mut();
        if let Some(index) = occupied.iter().position(|other| other == target) {
            occupied.swap_remove(index);
        }
    }
}

#[bon::bon]
impl RequestQuarantine {
    /// Creates a quarantine without any suspected request.
    #[builder]
    pub fn new(
        host: HostName,
        crashes: watch::Receiver<CrashSnapshot>,
        changes: mpsc::Sender<CrashChange>,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<MetricsHub>,
        logger: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            tracker: RefCell::new(QuarantineTracker::new(QuarantineRules::default())),
            crashes: RefCell::new(crashes),
            changes,
            occupied: RefCell::default(),
            listed: Cell::new(false),
            era: Cell::default(),
            host,
            clock,
            metrics,
            logger,
        })
    }
}

impl RequestQuarantine {
    /// Asks for permission to send a request. A suspected request gets a [`SuspectRun`] that ends when it
    /// is dropped.
    pub fn begin(self: &Rc<Self>, request: &impl MarkedRequest) -> Result<Option<SuspectRun>, RequestBlock> {
        self.apply_update();
        let marks = self.known_marks(request);
        if marks.is_empty() {
            return Ok(None);
        }
        let permit = self.tracker.borrow_mut().begin(&marks, self.clock.now());
        match permit {
            Ok(SendPermit::Clear) => Ok(None),
            Ok(SendPermit::Suspected) => {
                info!(self.logger, "suspected request sent"; "event" => "suspect_sent",
                    "request" => request.attempt(), "mark" => short_marks(&marks));
                Ok(Some(SuspectRun { quarantine: Rc::clone(self), marks, target: None }))
            }
            Err(block) => {
                info!(self.logger, "suspected request refused"; "event" => "kept_back",
                    "request" => request.attempt(), "mark" => block.mark.short(),
                    "level" => block.level.as_str(), "deaths" => block.deaths);
                self.metrics.record_crash_event("refused");
                Err(block)
            }
        }
    }

    /// Marks of a request and its parts that deaths are known of.
    fn known_marks(&self, request: &impl MarkedRequest) -> Vec<SuspectMark> {
        let tracker = self.tracker.borrow();
        if tracker.is_empty() {
            return Vec::new();
        }
        let parts = request.parts().iter().filter(|part| tracker.knows_part(part));
        let mut marks: Vec<SuspectMark> = parts.copied().map(SuspectMark::Part).collect();
        if tracker.knows_head(request.head_digest()) {
            marks.push(request.mark().into());
        }
        marks
    }

    /// Targets at which suspected requests of this process run. Another suspected request avoids them if it
    /// can: if all chose the same second target, other requests would lose both of their attempts to a
    /// request that crashes targets.
    pub fn occupied(&self) -> Vec<TargetName> {
        self.occupied.borrow().clone()
    }

    /// Records that a connection to a target ended under a request, with the result of the probe.
    pub fn record_lost_connection(
        &self,
        request: &impl MarkedRequest,
        target: &TargetRecord,
        liveness: TargetLiveness,
    ) {
        if liveness != TargetLiveness::Dead {
            return;
        }
        let now = self.clock.now();
        let life = target.life();
        let blamed = self.tracker.borrow().blamed_parts(request.parts(), now);
        let report = CrashReport {
            died: now,
            ranked: request.ranked(),
            by: self.host.as_str().into(),
            ambiguous: blamed.len() > 1,
        };
        for part in blamed {
            self.record_death(request.attempt(), part.into(), &life, &report);
        }
        let report = CrashReport { ambiguous: false, ..report };
        self.record_death(request.attempt(), request.mark().into(), &life, &report);
        self.evict_excess();
    }

    /// Counts the death of a target against a request or a part of its prompt.
    fn record_death(&self, attempt: &str, mark: SuspectMark, life: &TargetLife, report: &CrashReport) {
        let key = CrashKey { mark, target: format!("{}@{}", life.id, life.born).into() };
        let outcome = self.tracker.borrow_mut().died(&key, report.clone(), report.died);
        let (level, deaths) = match outcome {
            DeathOutcome::Held { level, deaths } => (level.as_str(), deaths),
            DeathOutcome::Trusted => ("trusted", 0),
            DeathOutcome::Noted => ("noted", 0),
            DeathOutcome::Known => return,
        };
        info!(self.logger, "target crashed while running a request"; "event" => "target_died",
            "request" => attempt, "mark" => mark.short(), "target" => life.id.to_string(),
            "level" => level, "deaths" => deaths);
        self.metrics.record_crash_event(level);
        if outcome != DeathOutcome::Trusted {
            self.queue_change(CrashChange::Put(key, report.clone()));
        }
    }

    /// Records that a target answered a request completely, which clears the request and the parts of its prompt.
    pub fn record_answer(&self, request: &impl MarkedRequest) {
        self.clear_parts(request);
        let known = {
            let tracker = self.tracker.borrow();
            !tracker.is_empty() && tracker.knows_head(request.head_digest())
        };
        if !known && request.body_bytes() > MAX_TRUSTED_BODY_BYTES {
            return;
        }
        let mark = request.mark();
        let rows = self.tracker.borrow_mut().answered(&mark, self.clock.now());
        if rows.is_empty() {
            return;
        }
        info!(self.logger, "complete response cleared a suspected request"; "event" => "suspect_cleared",
            "request" => request.attempt(), "mark" => mark.short(), "deaths" => rows.len());
        self.metrics.record_crash_event("cleared");
        self.remove(rows);
    }

    fn clear_parts(&self, request: &impl MarkedRequest) {
        let now = self.clock.now();
        for part in request.parts() {
            let deaths = self.tracker.borrow_mut().part_answered(part, now);
            if deaths > 0 {
                info!(self.logger, "complete response cleared a part of prompts"; "event" => "suspect_cleared",
                    "request" => request.attempt(), "mark" => SuspectMark::Part(*part).short(), "deaths" => deaths);
                self.metrics.record_crash_event("cleared");
            }
        }
    }

    /// Applies a new state of the crash table, if there is one. Called before each send: the process can
    /// report ready before another task of this thread has run.
    pub fn apply_update(&self) {
        let snapshot = {
            let mut receiver = self.crashes.borrow_mut();
            let changed = receiver.has_changed().unwrap_or(false);
            if self.listed.get() && !changed {
                return;
            }
            receiver.borrow_and_update().clone()
        };
        if !snapshot.listed {
            return;
        }
        let mut first = !self.listed.replace(true);
        if self.era.replace(snapshot.era) < snapshot.era && !first {
            // Rows from the backup are not new: they count from their own crash times, as in the first
            // listing.
            first = true;
            self.tracker.borrow_mut().schedule_rewrites(
                &snapshot.rows,
                self.host.as_str(),
                rand::random(),
                self.clock.now(),
            );
            self.write_due_rewrites();
        }
        let changes = self.tracker.borrow_mut().apply_rows(&snapshot.rows, first, self.clock.now());
        let QuarantineChanges { heard, lifted, remove } = changes;
        for (mark, level, deaths) in heard {
            info!(self.logger, "learned of crashes under a request"; "event" => "suspect_heard",
                "mark" => mark.short(), "level" => level.as_str(), "deaths" => deaths);
            self.metrics.record_crash_event("heard");
        }
        for mark in lifted {
            info!(self.logger, "request no longer suspected"; "event" => "suspect_lifted",
                "mark" => mark.short());
            self.metrics.record_crash_event("lifted");
        }
        self.remove(remove);
        self.metrics.set_suspected_requests(self.tracker.borrow().len() as u64);
    }

    /// Writes rows again that a restore of the table lost.
    fn write_due_rewrites(&self) {
        for (key, report) in self.tracker.borrow_mut().take_due_rewrites(self.clock.now()) {
            info!(self.logger, "rewriting a crash row that was lost in a restore"; "event" => "crash_rewritten",
                "mark" => key.mark.short(), "target" => &*key.target);
            self.queue_change(CrashChange::Put(key, report));
        }
    }

    /// Removes rows of expired and cleared crashes. Call periodically.
    pub fn remove_expired_crashes(&self) {
        self.write_due_rewrites();
        let now = self.clock.now();
        let rows = self.tracker.borrow_mut().take_expired(self.host.as_str(), rand::random(), now);
        for row in &rows {
            info!(self.logger, "crash expired or cleared"; "event" => "suspect_lapsed",
                "mark" => row.mark.short(), "target" => &*row.target);
            self.metrics.record_crash_event("lapsed");
        }
        self.remove(rows);
        self.metrics.set_suspected_requests(self.tracker.borrow().len() as u64);
    }

    fn evict_excess(&self) {
        let rows = self.tracker.borrow_mut().evict_excess();
        for row in &rows {
            warn!(self.logger, "too many suspected requests, a crash dropped"; "event" => "suspect_dropped",
                "mark" => row.mark.short());
            self.metrics.record_crash_event("dropped");
        }
        self.remove(rows);
    }

    fn remove(&self, rows: Vec<CrashKey>) {
        for row in rows {
            self.queue_change(CrashChange::Remove(row));
        }
    }

    fn queue_change(&self, change: CrashChange) {
        if self.changes.try_send(change).is_err() {
            self.metrics.record_crash_event("unwritten");
            warn!(self.logger, "too many pending crashes, one dropped"; "event" => "crash_dropped");
        }
    }
}
