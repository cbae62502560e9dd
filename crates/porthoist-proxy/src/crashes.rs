//! Deaths of targets that are held against requests, as all entries hear of them and tell them.
//!
//! Each is a row of a table of our own at the table service, so that it outlives every process. One watch follows the table as
//! others follow routes and targets; one journal writes what this process noted.

use crate::control::ControlState;
use crate::revision::{TableEra, TableRevision};
use crate::rows::{ControlTable, RowChange, RowSource, RowValue, RowWriter, TableRow, answer_within};
use crate::source::{SourceError, Stamped};
use porthoist_core::ClockSource;
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::quarantine::{CrashKey, CrashReport, CrashRows};
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long the question about deaths waits for a change, in milliseconds. A connection that fell silent passes for "no change"
/// until [`ANSWER_MILLIS`](crate::rows::ANSWER_MILLIS) later; operators allow 3 s from such a loss, and 3 s more to hear.
const WAIT: Duration = Duration::from_millis(3_300);
/// Pause after a change: a target that dies is noted by each entry that had a request there, within milliseconds.
const CHANGE_PAUSE: Duration = Duration::from_millis(50);
/// First pause after a failed question or write; that of writes doubles up to [`MAX_WRITE_PAUSE`].
const PAUSE: Duration = Duration::from_millis(60);
/// The longest wait for an answer about routes after a failed question. They are asked about all the time, each question for 3.3 s at
/// most.
const RETRY: Duration = Duration::from_secs(10);
/// Longest pause after a failed write: each try has its price, and others must know within 3 s of the service's return.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(2);
/// How long deaths are gathered before they are written: those of one target are noted within milliseconds, and each
/// write has its price.
const GATHER: Duration = Duration::from_millis(20);
/// Pause between two writes: 149 entries that all note deaths make 745 a second, where 3,200 are allowed.
const WRITE_PAUSE: Duration = Duration::from_millis(200);
/// How long a write may take. One without an answer may be done later, which changes nothing: it writes the same.
const WRITE_TIME: Duration = Duration::from_millis(900);
/// Changes of one write at most.
const WRITE_ROWS: usize = 100;
/// Changes that wait at most, some 200 bytes each: those of ten zones at once.
const MOST_PENDING: usize = 2_000;
/// Rows that could not be read and are remembered, so that each is logged once.
const MOST_UNREADABLE: usize = 1_000;

/// What is known of the table of deaths.
#[derive(Debug, Clone, Default)]
pub struct CrashSnapshot {
    /// Its rows.
    pub rows: Arc<CrashRows>,
    /// Whether it was listed at all.
    pub listed: bool,
    /// Era of the answer that last updated the rows.
    pub era: TableEra,
}

/// A change to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashChange {
    /// A death was noted.
    Put(CrashKey, CrashReport),
    /// A death no longer counts.
    Remove(CrashKey),
}

/// A row's value: its layout's version first, so that a later one can tell.
#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    layout: u32,
    #[serde(flatten)]
    report: CrashReport,
}

/// The layout of rows.
const LAYOUT: u32 = 1;

/// Follows the table of deaths.
#[derive(Debug, bon::Builder)]
pub struct CrashWatch {
    /// Answers the questions.
    source: Rc<dyn RowSource>,
    /// Takes what they bring.
    crashes: watch::Sender<CrashSnapshot>,
    /// What is known of routes and targets.
    state: watch::Receiver<ControlState>,
    clock: Arc<dyn ClockSource>,
    logger: Logger,
}

impl CrashWatch {
    /// Runs for ever.
    pub async fn run(&self) {
        let mut revision = None;
        let mut failing = false;
        let mut unreadable = HashSet::new();
        loop {
            let answer = self.ask(revision).await;
            match answer {
                Ok(answer) => {
                    failing = false;
                    let whole = revision.replace(answer.revision).is_none();
                    if !answer.value.is_empty() || whole {
                        self.take(&answer, whole, &mut unreadable);
                        tokio::time::sleep(CHANGE_PAUSE).await;
                    }
                }
                Err(SourceError::HistoryGone) => revision = None,
                Err(error) => {
                    revision = None;
                    if !std::mem::replace(&mut failing, true) {
                        info!(self.logger, "deaths are not told"; "event" => "crashes_unheard",
                            "error" => error.to_string());
                    }
                    self.until_routes_answer().await;
                }
            }
        }
    }

    /// Waits until the service has answered a question about routes that is asked anyway, so that an outage costs no further
    /// calls.
    async fn until_routes_answer(&self) {
        let failed = self.clock.now();
        let answered = |state: &ControlState| state.proof.proven().is_some_and(|proven| proven > failed);
        drop(tokio::time::timeout(RETRY, self.state.clone().wait_for(answered)).await);
        tokio::time::sleep(jittered(PAUSE)).await;
    }

    async fn ask(&self, revision: Option<TableRevision>) -> Result<Stamped<Vec<TableRow>>, SourceError> {
        match revision {
            None => {
                let patience = self.source.patience(Duration::ZERO);
                answer_within(patience, self.source.list(ControlTable::Crashes)).await
            }
            Some(revision) => {
                let question = self.source.after(ControlTable::Crashes, revision, WAIT);
                answer_within(self.source.patience(WAIT), question).await
            }
        }
    }

    fn take(
        &self,
        answer: &Stamped<Vec<TableRow>>,
        whole: bool,
        unreadable: &mut HashSet<(String, TableRevision)>,
    ) {
        self.crashes.send_modify(|news| {
            let known = if whole { CrashRows::new() } else { (*news.rows).clone() };
            let known = answer.value.iter().fold(known, |mut known, row| {
                match read_row(row) {
                    Ok((key, Some(report))) => drop(known.insert(key, report)),
                    Ok((key, None)) => drop(known.remove(&key)),
                    Err(problem) => self.say_unreadable(row, &problem, unreadable),
                }
                known
            });
            news.rows = Arc::new(known);
            news.listed = true;
            news.era = answer.revision.era;
        });
    }

    /// A row of another writer accuses nobody, and keeps no other from being heard.
    fn say_unreadable(&self, row: &TableRow, problem: &str, said: &mut HashSet<(String, TableRevision)>) {
        if said.len() < MOST_UNREADABLE && said.insert((row.key.clone(), row.version)) {
            warn!(self.logger, "unusable row of deaths"; "event" => "crash_unreadable", "key" => &row.key,
                "error" => problem);
        }
    }
}

/// Reads a row of the table: a death, or that it was removed; says why it can't be read.
pub fn read_row(row: &TableRow) -> Result<(CrashKey, Option<CrashReport>), String> {
    let key = row.key.parse::<CrashKey>().map_err(|error| error.to_string())?;
    match &row.value {
        RowValue::Removed => Ok((key, None)),
        RowValue::Unreadable(problem) => Err(problem.clone()),
        RowValue::Bytes(bytes) => {
            let wire: WireReport = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
            if wire.layout != LAYOUT {
                return Err(format!("layout {} is not known", wire.layout));
            }
            Ok((key, Some(wire.report)))
        }
    }
}

fn written(key: &CrashKey, report: Option<&CrashReport>) -> RowChange {
    let wire = report.map(|report| WireReport { layout: LAYOUT, report: report.clone() });
    let value = wire.map(|wire| serde_json::to_vec(&wire).expect("numbers and texts can be written"));
    RowChange { key: key.to_string(), value }
}

fn jittered(pause: Duration) -> Duration {
    // Processes that failed together must not ask again together.
    pause.mul_f64(rand::random::<f64>().mul_add(0.5, 0.75))
}

/// Writes what this process noted.
#[derive(Debug, bon::Builder)]
pub struct CrashWriter {
    /// Writes.
    writer: Rc<dyn RowWriter>,
    /// What to write.
    changes: mpsc::Receiver<CrashChange>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
    /// What waits, the latest of each row.
    #[builder(skip)]
    pending: BTreeMap<CrashKey, Option<CrashReport>>,
}

impl CrashWriter {
    /// Runs until nobody notes anything any more.
    pub async fn run(mut self) {
        let mut pause = PAUSE;
        while self.gather().await {
            match self.write().await {
                Ok(rows) => {
                    pause = PAUSE;
                    info!(self.logger, "deaths were written"; "event" => "crashes_written", "rows" => rows);
                    tokio::time::sleep(WRITE_PAUSE).await;
                }
                Err(error) => {
                    warn!(self.logger, "deaths were not written"; "event" => "crashes_unwritten",
                        "error" => error.to_string(), "rows" => self.pending.len());
                    tokio::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(MAX_WRITE_PAUSE);
                }
            }
        }
    }

    /// Waits until there is something to write; whether there is.
    async fn gather(&mut self) -> bool {
        if self.pending.is_empty() {
            let Some(change) = self.changes.recv().await else { return false };
            self.add(change);
            tokio::time::sleep(GATHER).await;
        }
        while let Ok(change) = self.changes.try_recv() {
            self.add(change);
        }
        true
    }

    fn add(&mut self, change: CrashChange) {
        if self.pending.len() >= MOST_PENDING {
            self.metrics.crash_event("unwritten");
            warn!(self.logger, "too many deaths wait to be written"; "event" => "crash_dropped");
            return;
        }
        match change {
            CrashChange::Put(key, report) => self.pending.insert(key, Some(report)),
            CrashChange::Remove(key) => self.pending.insert(key, None),
        };
    }

    /// Writes the first rows that wait; returns how many.
    async fn write(&mut self) -> Result<usize, SourceError> {
        let first = self.pending.iter().take(WRITE_ROWS);
        let changes: Vec<RowChange> = first.map(|(key, report)| written(key, report.as_ref())).collect();
        let rows = changes.len();
        let writing = tokio::time::timeout(WRITE_TIME, self.writer.write(changes)).await;
        writing.map_err(|_elapsed| SourceError::Unavailable("no answer in time".to_owned()))??;
        for _row in 0..rows {
            self.pending.pop_first();
        }
        Ok(rows)
    }
}
