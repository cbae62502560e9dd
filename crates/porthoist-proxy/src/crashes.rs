//! Crashes of targets that are recorded against requests, shared between all entries.
//!
//! Each crash is a row in a table of our own in the table service, so that it survives the processes.
//! [`CrashWatch`] follows the table, and [`CrashWriter`] writes the crashes that this process observed.

use crate::control::ControlState;
use crate::revision::{TableEra, TableRevision};
use crate::rows::{ControlTable, RowChange, RowSource, RowValue, RowWriter, TableRow, answer_within};
use crate::source::{SourceAnswer, SourceError};
use crate::unreadable_rows::{RowProblem, UnreadableRows};
use porthoist_core::ClockSource;
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::quarantine::{CrashKey, CrashReport, CrashRows};
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Default long-poll timeout. A silent connection is indistinguishable from "no change" until
/// [`ANSWER_TIMEOUT_MILLIS`](crate::rows::ANSWER_TIMEOUT_MILLIS) later. Operators allow 3 s from such a loss, and 3 s more
/// to learn of a crash.
pub const CRASH_POLL_TIMEOUT: Duration = Duration::from_millis(3_300);
/// Pause after a change: each entry with a request at a crashed target records the crash within
/// milliseconds.
const CHANGE_PAUSE: Duration = Duration::from_millis(50);
/// Initial backoff after a failed call or write. That of writes doubles up to [`MAX_WRITE_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum wait for a response about routes after a failed call. Routes are polled continuously, each poll
/// for 3.3 s at most.
const MAX_RECOVERY_WAIT: Duration = Duration::from_secs(10);
/// Maximum backoff after a failed write. Each attempt has a cost, and others must know within 3 s of the
/// service's recovery.
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(2);
/// How long crashes are collected before they are written. Those of one target are observed within
/// milliseconds, and each write has a cost.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Pause between two writes. If 149 entries all record crashes, they make 745 writes a second; 3,200 are
/// allowed.
const WRITE_PAUSE: Duration = Duration::from_millis(200);
/// Timeout of a write. A write that times out may still be applied later, which is harmless because it
/// writes the same rows again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of changes per write.
const MAX_WRITE_ROWS: usize = 100;
/// Maximum number of pending changes, of some 200 bytes each. Enough for crashes in ten zones at once.
const MAX_PENDING: usize = 2_000;

/// State of the crash table.
#[derive(Debug, Clone, Default)]
pub struct CrashSnapshot {
    /// Rows of the table.
    pub rows: Arc<CrashRows>,
    /// Whether the table has been listed at least once.
    pub listed: bool,
    /// Era of the response that last updated the rows.
    pub era: TableEra,
}

/// A change to be written to the crash table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashChange {
    /// Adds a crash.
    Put(CrashKey, CrashReport),
    /// Removes a crash that no longer counts.
    Remove(CrashKey),
}

/// Stored form of a row: the report with the version of its layout.
#[derive(Debug, Serialize, Deserialize)]
struct StoredReport {
    layout: u32,
    #[serde(flatten)]
    report: CrashReport,
}

/// Layout version of stored rows.
const LAYOUT: u32 = 1;

/// Follows the crash table.
#[derive(Debug, bon::Builder)]
pub struct CrashWatch {
    /// Source of the rows.
    source: Rc<dyn RowSource>,
    /// Receives the state of the table.
    crashes: watch::Sender<CrashSnapshot>,
    /// Long-poll timeout.
    #[builder(default = CRASH_POLL_TIMEOUT)]
    poll_timeout: Duration,
    /// Routes and targets, used to detect that the service has recovered.
    state: watch::Receiver<ControlState>,
    /// Counts rows that can't be read.
    unreadable: UnreadableRows,
    clock: Arc<dyn ClockSource>,
    logger: Logger,
}

impl CrashWatch {
    /// Runs until dropped.
    pub async fn run(&self) {
        let mut revision = None;
        let mut failing = false;
        loop {
            let answer = self.poll(revision).await;
            match answer {
                Ok(answer) => {
                    failing = false;
                    let is_listing = revision.replace(answer.revision).is_none();
                    if !answer.value.is_empty() || is_listing {
                        self.apply(&answer, is_listing);
                        tokio::time::sleep(CHANGE_PAUSE).await;
                    }
                }
                Err(SourceError::HistoryGone) => revision = None,
                Err(error) => {
                    revision = None;
                    if !std::mem::replace(&mut failing, true) {
                        info!(self.logger, "crash table is unavailable"; "event" => "crashes_unheard",
                            "error" => error.to_string());
                    }
                    self.wait_for_routes().await;
                }
            }
        }
    }

    /// Waits until the service has answered a poll for routes, so that an outage costs no additional calls.
    async fn wait_for_routes(&self) {
        let failed = self.clock.now();
        let answered =
            |state: &ControlState| state.routes_proof.proven().is_some_and(|proven| proven > failed);
        drop(tokio::time::timeout(MAX_RECOVERY_WAIT, self.state.clone().wait_for(answered)).await);
        tokio::time::sleep(jittered(MIN_BACKOFF)).await;
    }

    async fn poll(
        &self,
        revision: Option<TableRevision>,
    ) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        match revision {
            None => {
                let answer_timeout = self.source.answer_timeout(Duration::ZERO);
                answer_within(answer_timeout, self.source.list(ControlTable::Crashes)).await
            }
            Some(revision) => {
                let wait = self.poll_timeout;
                let call = self.source.changes_after(ControlTable::Crashes, revision, wait);
                answer_within(self.source.answer_timeout(wait), call).await
            }
        }
    }

    fn apply(&self, answer: &SourceAnswer<Vec<TableRow>>, is_listing: bool) {
        self.crashes.send_modify(|snapshot| {
            let known = if is_listing { CrashRows::new() } else { (*snapshot.rows).clone() };
            let known = answer.value.iter().fold(known, |mut known, row| {
                match parse_crash_row(row) {
                    Ok((key, Some(report))) => drop(known.insert(key, report)),
                    Ok((key, None)) => drop(known.remove(&key)),
                    Err(problem) => self.log_unreadable(row, &problem),
                }
                known
            });
            snapshot.rows = Arc::new(known);
            snapshot.listed = true;
            snapshot.era = answer.revision.era;
        });
    }

    /// An unreadable row is skipped; the other rows still apply.
    fn log_unreadable(&self, row: &TableRow, problem: &str) {
        if self.unreadable.record(ControlTable::Crashes, &row.key, &row.value, RowProblem::Content) {
            warn!(self.logger, "unreadable crash row"; "event" => "crash_unreadable", "key" => &row.key,
                "error" => problem);
        }
    }
}

/// Parses a row into its crash, or nothing if it was removed. Returns a description of the problem if the
/// row is unreadable.
pub fn parse_crash_row(row: &TableRow) -> Result<(CrashKey, Option<CrashReport>), String> {
    let key = row.key.parse::<CrashKey>().map_err(|error| error.to_string())?;
    match &row.value {
        RowValue::Removed => Ok((key, None)),
        RowValue::Unreadable(problem) => Err(problem.clone()),
        RowValue::Bytes(bytes) => {
            let stored: StoredReport = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
            if stored.layout != LAYOUT {
                return Err(format!("layout {} is not known", stored.layout));
            }
            Ok((key, Some(stored.report)))
        }
    }
}

fn row_change(key: &CrashKey, report: Option<&CrashReport>) -> RowChange {
    let stored = report.map(|report| StoredReport { layout: LAYOUT, report: report.clone() });
    let value = stored.map(|stored| serde_json::to_vec(&stored).expect("numbers and texts can be written"));
    RowChange { key: key.to_string(), value }
}

fn jittered(backoff: Duration) -> Duration {
    // Processes that failed together must not retry together.
    backoff.mul_f64(rand::random::<f64>().mul_add(0.5, 0.75))
}

/// Writes the crashes that this process observed.
#[derive(Debug, bon::Builder)]
pub struct CrashWriter {
    /// Writes the rows.
    writer: Rc<dyn RowWriter>,
    /// Changes to write.
    changes: mpsc::Receiver<CrashChange>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
    /// Pending changes, the latest of each row.
    #[builder(skip)]
    pending: BTreeMap<CrashKey, Option<CrashReport>>,
}

impl CrashWriter {
    /// Runs until all senders of changes are dropped.
    pub async fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        while self.collect_changes().await {
            match self.write().await {
                Ok(rows) => {
                    backoff = MIN_BACKOFF;
                    info!(self.logger, "crashes written"; "event" => "crashes_written", "rows" => rows);
                    tokio::time::sleep(WRITE_PAUSE).await;
                }
                Err(error) => {
                    warn!(self.logger, "failed to write crashes"; "event" => "crashes_unwritten",
                        "error" => error.to_string(), "rows" => self.pending.len());
                    tokio::time::sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(MAX_WRITE_BACKOFF);
                }
            }
        }
    }

    /// Waits until changes are pending. Returns `false` once all senders are dropped.
    async fn collect_changes(&mut self) -> bool {
        if self.pending.is_empty() {
            let Some(change) = self.changes.recv().await else { return false };
            self.add(change);
            tokio::time::sleep(GATHER_TIME).await;
        }
        while let Ok(change) = self.changes.try_recv() {
            self.add(change);
        }
        true
    }

    fn add(&mut self, change: CrashChange) {
        if self.pending.len() >= MAX_PENDING {
            self.metrics.record_crash_event("unwritten");
            warn!(self.logger, "too many pending crashes, one dropped"; "event" => "crash_dropped");
            return;
        }
        match change {
            CrashChange::Put(key, report) => self.pending.insert(key, Some(report)),
            CrashChange::Remove(key) => self.pending.insert(key, None),
        };
    }

    /// Writes the first pending rows. Returns their number.
    async fn write(&mut self) -> Result<usize, SourceError> {
        let first = self.pending.iter().take(MAX_WRITE_ROWS);
        let changes: Vec<RowChange> = first.map(|(key, report)| row_change(key, report.as_ref())).collect();
        let rows = changes.len();
        let writing = tokio::time::timeout(WRITE_TIMEOUT, self.writer.write(changes)).await;
        writing.map_err(|_elapsed| SourceError::Unavailable("no response in time".to_owned()))??;
        for _row in 0..rows {
            self.pending.pop_first();
        }
        Ok(rows)
    }
}
