//! Keeps requests from targets that die of them: what the courses of one process ask of the book, and what they tell it.

use crate::crashes::{CrashChange, CrashSnapshot};
use crate::exchange::TargetLiveness;
use crate::revision::TableEra;
use porthoist_core::{ClockSource, HostName, RequestMark, TargetName};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::quarantine::{
    CrashKey, CrashReport, DeathOutcome, QuarantineChanges, QuarantineRules, QuarantineTracker, RequestBlock,
    SendPermit,
};
use porthoist_policy::proxy::targets::TargetRecord;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Longest body, in bytes, whose whole answer is remembered although nothing is held against its request. Its digest takes
/// 13 microseconds of a core; requests that come many times a second have small bodies.
const TRUSTED_BODY_BYTES: usize = 16 * 1024;

/// A request that can be marked.
pub trait MarkedRequest {
    /// Digest of all but its body's bytes.
    fn head_digest(&self) -> u64;
    /// Its mark, which reads the body.
    fn mark(&self) -> RequestMark;
    /// Bytes of its body.
    fn body_bytes(&self) -> usize;
    /// Its attempt, for logs.
    fn attempt(&self) -> &str;
    /// Whether its targets are ranks of a group.
    fn ranked(&self) -> bool;
}

/// The desk of one process.
pub struct RequestQuarantine {
    book: RefCell<QuarantineTracker>,
    /// What is known of the table.
    crashes: RefCell<watch::Receiver<CrashSnapshot>>,
    /// Where changes of the table go.
    changes: mpsc::Sender<CrashChange>,
    /// Targets at which suspected requests of this process run.
    occupied: RefCell<Vec<TargetName>>,
    /// Whether the book was told of the table.
    listed: Cell<bool>,
    /// Era of the rows that the book was last told.
    era: Cell<TableEra>,
    host: HostName,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
}

impl fmt::Debug for RequestQuarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestQuarantine")
            .field("requests", &self.book.borrow().len())
            .finish_non_exhaustive()
    }
}

/// A run of a suspected request; ends when dropped.
pub struct SuspectRun {
    desk: Rc<RequestQuarantine>,
    mark: RequestMark,
    target: Option<TargetName>,
}

impl SuspectRun {
    /// Takes where it runs.
    pub fn at(&mut self, target: &TargetName) {
        if self.target.replace(target.clone()).is_none() {
            self.desk.occupied.borrow_mut().push(target.clone());
        }
    }
}

impl fmt::Debug for SuspectRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SuspectRun").field(&self.mark.short()).finish()
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.desk.book.borrow_mut().ended(&self.mark);
        let Some(target) = &self.target else { return };
        let mut occupied = self.desk.occupied.borrow_mut();
        if let Some(place) = occupied.iter().position(|other| other == target) {
            occupied.swap_remove(place);
        }
    }
}

#[bon::bon]
impl RequestQuarantine {
    /// A desk that holds nothing against any request.
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
            book: RefCell::new(QuarantineTracker::new(QuarantineRules::default())),
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
    /// Asks to send a request; a suspected one gets a run that ends when it is dropped.
    pub fn begin(self: &Rc<Self>, request: &impl MarkedRequest) -> Result<Option<SuspectRun>, RequestBlock> {
        self.take_news();
        let known = {
            let book = self.book.borrow();
            !book.is_empty() && book.knows_head(request.head_digest())
        };
        if !known {
            return Ok(None);
        }
        let mark = request.mark();
        let permit = self.book.borrow_mut().begin(&mark, self.clock.now());
        match permit {
            Ok(SendPermit::Clear) => Ok(None),
            Ok(SendPermit::Suspected) => {
                info!(self.logger, "a suspected request is sent alone"; "event" => "suspect_sent",
                    "request" => request.attempt(), "mark" => mark.short());
                Ok(Some(SuspectRun { desk: Rc::clone(self), mark, target: None }))
            }
            Err(kept) => {
                info!(self.logger, "a request is kept from targets"; "event" => "kept_back",
                    "request" => request.attempt(), "mark" => mark.short(), "level" => kept.level.as_str(),
                    "deaths" => kept.deaths);
                self.metrics.crash_event("refused");
                Err(kept)
            }
        }
    }

    /// Targets at which suspected requests of this process run: another one goes elsewhere if it can: where all
    /// choose the same second target, others lose both of their sends to a request that kills.
    pub fn occupied(&self) -> Vec<TargetName> {
        self.occupied.borrow().clone()
    }

    /// Takes that a connection to a target ended under a request, and what the target showed since.
    pub fn lost(&self, request: &impl MarkedRequest, target: &TargetRecord, liveness: TargetLiveness) {
        if liveness != TargetLiveness::Dead {
            return;
        }
        let now = self.clock.now();
        let life = target.life();
        let key = CrashKey { mark: request.mark(), target: format!("{}@{}", life.id, life.born).into() };
        let report = CrashReport { died: now, ranked: request.ranked(), by: self.host.as_str().into() };
        let verdict = self.book.borrow_mut().died(&key, report.clone(), now);
        let (level, deaths) = match verdict {
            DeathOutcome::Held { level, deaths } => (level.as_str(), deaths),
            DeathOutcome::Trusted => ("trusted", 0),
            DeathOutcome::Known => return,
        };
        info!(self.logger, "a target died under a request"; "event" => "target_died",
            "request" => request.attempt(), "mark" => key.mark.short(), "target" => life.id.to_string(),
            "level" => level, "deaths" => deaths);
        self.metrics.crash_event(level);
        if verdict != DeathOutcome::Trusted {
            self.tell(CrashChange::Put(key, report));
        }
        self.drop_beyond();
    }

    /// Takes that a target answered a request whole, which clears it.
    pub fn answered(&self, request: &impl MarkedRequest) {
        let known = {
            let book = self.book.borrow();
            !book.is_empty() && book.knows_head(request.head_digest())
        };
        if !known && request.body_bytes() > TRUSTED_BODY_BYTES {
            return;
        }
        let mark = request.mark();
        let rows = self.book.borrow_mut().answered(&mark, self.clock.now());
        if rows.is_empty() {
            return;
        }
        info!(self.logger, "a whole answer clears a request"; "event" => "suspect_cleared",
            "request" => request.attempt(), "mark" => mark.short(), "deaths" => rows.len());
        self.metrics.crash_event("cleared");
        self.remove(rows);
    }

    /// Takes what the table of deaths says, if that is new. Asked before each send: the process may say that it is ready before
    /// another task of this thread has run.
    pub fn take_news(&self) {
        let news = {
            let mut receiver = self.crashes.borrow_mut();
            let changed = receiver.has_changed().unwrap_or(false);
            if self.listed.get() && !changed {
                return;
            }
            receiver.borrow_and_update().clone()
        };
        if !news.listed {
            return;
        }
        let mut first = !self.listed.replace(true);
        if self.era.replace(news.era) < news.era && !first {
            // Rows from the backup are not new: count them from their own times of death, as in the first listing.
            first = true;
            self.book.borrow_mut().schedule_rewrites(
                &news.rows,
                self.host.as_str(),
                rand::random(),
                self.clock.now(),
            );
            self.write_due_rewrites();
        }
        let changes = self.book.borrow_mut().apply_rows(&news.rows, first, self.clock.now());
        let QuarantineChanges { heard, lifted, remove } = changes;
        for (mark, level, deaths) in heard {
            info!(self.logger, "deaths under a request were heard of"; "event" => "suspect_heard",
                "mark" => mark.short(), "level" => level.as_str(), "deaths" => deaths);
            self.metrics.crash_event("heard");
        }
        for mark in lifted {
            info!(self.logger, "nothing is held against a request any more"; "event" => "suspect_lifted",
                "mark" => mark.short());
            self.metrics.crash_event("lifted");
        }
        self.remove(remove);
        self.metrics.suspects(self.book.borrow().len() as u64);
    }

    /// Rewrites rows that a restore of the table lost.
    fn write_due_rewrites(&self) {
        for (key, report) in self.book.borrow_mut().take_due_rewrites(self.clock.now()) {
            info!(self.logger, "rewriting a row of deaths that was lost in a restore"; "event" => "crash_rewritten",
                "mark" => key.mark.short(), "target" => &*key.target);
            self.tell(CrashChange::Put(key, report));
        }
    }

    /// Removes rows that no longer count; to be called now and then.
    pub fn remove_expired_crashes(&self) {
        self.write_due_rewrites();
        let now = self.clock.now();
        let rows = self.book.borrow_mut().take_expired(self.host.as_str(), rand::random(), now);
        for row in &rows {
            info!(self.logger, "a death no longer counts"; "event" => "suspect_lapsed",
                "mark" => row.mark.short(), "target" => &*row.target);
            self.metrics.crash_event("lapsed");
        }
        self.remove(rows);
        self.metrics.suspects(self.book.borrow().len() as u64);
    }

    fn drop_beyond(&self) {
        let rows = self.book.borrow_mut().evict_excess();
        for row in &rows {
            warn!(self.logger, "the book of deaths is full"; "event" => "suspect_dropped",
                "mark" => row.mark.short());
            self.metrics.crash_event("dropped");
        }
        self.remove(rows);
    }

    fn remove(&self, rows: Vec<CrashKey>) {
        for row in rows {
            self.tell(CrashChange::Remove(row));
        }
    }

    fn tell(&self, change: CrashChange) {
        if self.changes.try_send(change).is_err() {
            self.metrics.crash_event("unwritten");
            warn!(self.logger, "too many deaths wait to be written"; "event" => "crash_dropped");
        }
    }
}
