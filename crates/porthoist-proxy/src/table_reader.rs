//! Follows the platform's tables on behalf of other processes, which query it instead of the table service.
//!
//! It starts to follow a table on the first query, and stops when there have been none for a while. Updates
//! carry the table service's own clock, by which each process computes the age of what it receives.

use crate::earlier_values::EarlierValues;
use crate::patch::ValuePatch;
use crate::proven_rows::ProvenRowSource;
use crate::revision::{TableEra, TableRevision};
use crate::rows::{ControlTable, RowSource, RowValue, TableRow, answer_within};
use crate::source::{SourceAnswer, SourceError};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use porthoist_core::{ClockSource, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::change_bound::RenewalSchedule;
use porthoist_policy::proxy::outages::AnswerGap;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a table is followed after the last query, in milliseconds: twice the longest pause between two
/// queries of one process. When a fleet starts, entries query several processes one after the other, and
/// each of them would call the table service for so long.
const FOLLOW_MILLIS: u64 = 4_000;
/// Pause after a change of routes. Versions can come every 80 ms.
const ROUTES_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a change of targets, so that many changes cost one poll.
const TARGETS_PAUSE: Duration = Duration::from_millis(800);
/// Pause after a change of crashes. Each entry that observed a crash writes a row of its own within
/// milliseconds.
const CRASHES_PAUSE: Duration = Duration::from_millis(100);
/// Mean interval between two calls while the service does not answer, whether or not earlier calls have
/// timed out. Other processes learn of the recovery from here and must be ready within a second; waiting
/// for a timeout would take 0.9 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(350);
/// Maximum number of removed rows that are remembered. A process that needs older ones receives all keys.
const MAX_REMOVED: usize = 2_000;

/// Query for changes of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableQuery {
    /// The table.
    pub table: ControlTable,
    /// Revision after which changes are requested.
    pub after: TableRevision,
    /// Latest clock value of the table service that the querying process knows for the table.
    pub stamp: u64,
    /// How long the response may be held back while there is nothing new.
    pub hold: Duration,
    /// Age of its state at which the querying process would call the table service.
    pub wait: Duration,
}

/// Ages of an outage of the table service. Each hop on the way adds its latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GapAges {
    /// Milliseconds since the last unanswered call was sent.
    pub asked: u64,
    /// Milliseconds since the first response arrived.
    pub returned: u64,
}

/// A row as sent to a process that knows the table as of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowUpdate {
    /// Key of the row.
    pub key: String,
    /// Version number, within the era of the response.
    pub version: u64,
    /// Value of the row.
    pub value: ValueUpdate,
}

/// Value of a row, complete or as a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ValueUpdate {
    /// The complete value.
    Whole(RowValue),
    /// Changes to an earlier value.
    Changed(ValuePatch),
}

impl RowUpdate {
    fn of(row: &TableRow, earlier: &EarlierValues, revision: TableRevision) -> Self {
        let value = match earlier.patch(row, revision) {
            Some(patch) => ValueUpdate::Changed((*patch).clone()),
            None => ValueUpdate::Whole(row.value.clone()),
        };
        Self { key: row.key.clone(), version: row.version.number, value }
    }

    /// Returns the complete row, with its version in `era`. A patch is applied to `known`. Returns `None`
    /// if the patch does not apply to it.
    pub fn into_row(self, era: TableEra, known: Option<&TableRow>) -> Option<TableRow> {
        let Self { key, version, value } = self;
        let value = match value {
            ValueUpdate::Whole(value) => value,
            ValueUpdate::Changed(patch) => {
                let known = known.filter(|known| known.version.number == patch.base)?;
                let RowValue::Bytes(earlier) = &known.value else { return None };
                RowValue::Bytes(patch.apply(earlier)?)
            }
        };
        Some(TableRow { key, value, version: TableRevision::new(era, version) })
    }
}

/// Response to a [`TableQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableUpdate {
    /// Changed rows, possibly none, and a newer clock value of the table service.
    Newer {
        /// The rows, the revision up to which they are complete, and the clock value.
        rows: SourceAnswer<Vec<RowUpdate>>,
        /// Keys of all rows, if removals since the requested revision are not known individually.
        keys: Option<Vec<String>>,
        /// The latest outage, if there was one.
        gap: Option<GapAges>,
    },
    /// Nothing newer is known.
    Unchanged {
        /// Whether the last call to the table service failed.
        failing: bool,
    },
    /// The update is too large to be passed on; the table service must be asked.
    TooLarge,
}

/// A row with the revision of its change. For a removal, this is the revision at which it was noticed.
#[derive(Debug, Clone)]
struct TrackedRow {
    row: TableRow,
    changed_at: TableRevision,
}

/// Known state of one table.
#[derive(Debug, Default)]
struct KnownTable {
    rows: HashMap<String, TrackedRow>,
    /// Earlier values of large rows.
    earlier: EarlierValues,
    /// Removals after this revision are known individually.
    removal_floor: TableRevision,
    revision: TableRevision,
    /// The table service's clock in its last response.
    stamp: Option<u64>,
    failing: bool,
    /// When the last response arrived.
    answered: Option<UnixMillis>,
    gap: Option<AnswerGap>,
    /// When the last unanswered call was sent, until a response arrives.
    unanswered: Option<UnixMillis>,
}

impl KnownTable {
    fn apply_listing(&mut self, answer: SourceAnswer<Vec<TableRow>>) {
        // Several calls may be pending while the service does not answer. A late response must not replace
        // what a later call has brought.
        if answer.revision < self.revision {
            return;
        }
        let restored = answer.revision.era > self.revision.era;
        if restored {
            self.rows.retain(|_key, known| known.row.value != RowValue::Removed);
            self.stamp = None;
        }
        if self.stamp.is_none() {
            self.removal_floor = answer.revision;
        }
        let listed: HashSet<&str> = answer.value.iter().map(|row| row.key.as_str()).collect();
        let missing: Vec<TableRow> = self
            .rows
            .values()
            .filter(|known| known.row.value != RowValue::Removed && !listed.contains(known.row.key.as_str()))
            .map(|known| TableRow {
                key: known.row.key.clone(),
                value: RowValue::Removed,
                version: answer.revision,
            })
            .collect();
        let changed_at = answer.revision;
        for row in missing {
            self.put(row, changed_at);
        }
        self.apply_changes(answer);
    }

    fn apply_changes(&mut self, answer: SourceAnswer<Vec<TableRow>>) {
        let changed_at = answer.revision;
        for row in answer.value {
            let changed_at = if row.value == RowValue::Removed { changed_at } else { row.version };
            self.put(row, changed_at);
        }
        self.revision = self.revision.max(changed_at);
        self.stamp = Some(self.stamp.map_or(answer.stamp, |known| known.max(answer.stamp)));
        self.prune_removed();
    }

    fn put(&mut self, row: TableRow, changed_at: TableRevision) {
        if self.rows.get(&row.key).is_some_and(|known| known.row == row || known.row.version > row.version) {
            return;
        }
        let known = self.rows.insert(row.key.clone(), TrackedRow { row, changed_at });
        if let Some(known) = known {
            self.earlier.record_replaced(known.row);
        }
    }

    fn prune_removed(&mut self) {
        let removed = self.rows.values().filter(|known| known.row.value == RowValue::Removed);
        let mut changed_at: Vec<TableRevision> = removed.map(|known| known.changed_at).collect();
        if changed_at.len() <= MAX_REMOVED {
            return;
        }
        changed_at.sort_unstable();
        let removal_floor = changed_at[changed_at.len() / 2];
        self.removal_floor = self.removal_floor.max(removal_floor);
        self.rows
            .retain(|_key, known| known.row.value != RowValue::Removed || known.changed_at > removal_floor);
    }

    /// Returns the response to a query, or `None` if the query must wait.
    fn response(&self, query: &TableQuery, now: UnixMillis) -> Option<TableUpdate> {
        let stamp = self.stamp?;
        if self.revision.era < query.after.era {
            return None;
        }
        let is_later = self.revision.era > query.after.era || stamp > query.stamp;
        // The querying process may know a later state of the table; then there is nothing to report.
        if self.revision < query.after && !is_later {
            return None;
        }
        // A process without any rows has none to remove.
        let keys = (query.after > TableRevision::default() && query.after < self.removal_floor)
            .then(|| self.live_keys());
        let newer = self.rows.values().filter(|known| known.changed_at > query.after);
        let mut rows: Vec<RowUpdate> =
            newer.map(|known| RowUpdate::of(&known.row, &self.earlier, query.after)).collect();
        if rows.is_empty() && keys.is_none() && !is_later {
            return None;
        }
        rows.sort_by_key(|row| row.version);
        // Never reports an older revision than the querying process has.
        let revision = self.revision.max(query.after);
        let ages =
            |gap: AnswerGap| GapAges { asked: now.since(gap.asked), returned: now.since(gap.returned) };
        Some(TableUpdate::Newer {
            rows: SourceAnswer::of(rows, revision, stamp),
            keys,
            gap: self.gap.map(ages),
        })
    }

    fn live_keys(&self) -> Vec<String> {
        let live = self.rows.values().filter(|known| known.row.value != RowValue::Removed);
        live.map(|known| known.row.key.clone()).collect()
    }
}

/// A followed table.
#[derive(Debug)]
struct FollowedTable {
    table: ControlTable,
    known: RefCell<KnownTable>,
    /// Incremented with each response and each failure.
    changed: watch::Sender<u64>,
    follow_until: Cell<UnixDeadline>,
    wait: Cell<Duration>,
    running: Cell<bool>,
}

impl FollowedTable {
    fn new(table: ControlTable) -> Rc<Self> {
        Rc::new(Self {
            table,
            known: RefCell::default(),
            changed: watch::Sender::new(0),
            follow_until: Cell::default(),
            wait: Cell::new(Duration::MAX),
            running: Cell::new(false),
        })
    }

    /// Age at which the known state is renewed.
    fn renewal(&self) -> Duration {
        RenewalSchedule::new(self.wait.get()).renewal()
    }
}

/// Follows tables on behalf of other processes while they query it.
pub struct TableReader {
    source: Rc<ProvenRowSource>,
    clock: Arc<dyn ClockSource>,
    logger: Logger,
    tables: [Rc<FollowedTable>; 3],
    /// Incremented when a call for routes fails: the other calls may be waiting on the same lost
    /// connection.
    route_failures: watch::Sender<u64>,
}

impl fmt::Debug for TableReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TableReader")
    }
}

impl TableReader {
    /// Creates a reader without queries that calls the table service.
    pub fn new(table_service: Rc<dyn RowSource>, clock: Arc<dyn ClockSource>, logger: Logger) -> Rc<Self> {
        let source = ProvenRowSource::new(table_service);
        let tables = ControlTable::ALL.map(FollowedTable::new);
        Rc::new(Self { source, clock, logger, tables, route_failures: watch::Sender::new(0) })
    }

    fn followed(&self, table: ControlTable) -> &Rc<FollowedTable> {
        match table {
            ControlTable::Routes => &self.tables[0],
            ControlTable::Targets => &self.tables[1],
            ControlTable::Crashes => &self.tables[2],
        }
    }

    /// Answers a query as soon as there is something newer, or after its hold time.
    pub async fn query(self: &Rc<Self>, query: TableQuery) -> TableUpdate {
        let table = Rc::clone(self.followed(query.table));
        table.follow_until.set(UnixDeadline::after(self.clock.now(), FOLLOW_MILLIS));
        table.wait.set(table.wait.get().min(query.wait));
        if !table.running.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).follow(Rc::clone(&table)));
        }
        let mut changed = table.changed.subscribe();
        let answered = async {
            loop {
                changed.mark_unchanged();
                let response = table.known.borrow().response(&query, self.clock.now());
                if let Some(response) = response {
                    return response;
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let held = tokio::time::timeout(query.hold, answered).await;
        held.unwrap_or_else(|_elapsed| TableUpdate::Unchanged { failing: table.known.borrow().failing })
    }

    /// Follows a table until it is no longer queried.
    async fn follow(self: Rc<Self>, table: Rc<FollowedTable>) {
        info!(self.logger, "following a table for other processes"; "event" => "table_followed",
            "table" => table.table.as_str());
        let mut route_failures = self.route_failures.subscribe();
        let mut revision = None;
        let mut paused = Duration::ZERO;
        while !table.follow_until.get().passed(self.clock.now()) {
            route_failures.mark_unchanged();
            let sent = self.clock.now();
            let call = self.poll(&table, revision, std::mem::take(&mut paused));
            let answer = tokio::select! {
                answer = call => answer,
                _changed = route_failures.changed(), if revision.is_some() && table.table != ControlTable::Routes => {
                    revision = None;
                    continue;
                }
            };
            match answer {
                Ok(answer) => {
                    let changed = !answer.value.is_empty() && revision.is_some();
                    let is_listing = revision.replace(answer.revision).is_none();
                    self.apply(&table, answer, is_listing);
                    if changed {
                        let pause = match table.table {
                            ControlTable::Routes => ROUTES_PAUSE,
                            ControlTable::Targets => TARGETS_PAUSE,
                            ControlTable::Crashes => CRASHES_PAUSE,
                        };
                        paused = pause.min(table.renewal());
                        tokio::time::sleep(paused).await;
                    }
                }
                Err(SourceError::HistoryGone) => revision = None,
                Err(error) => {
                    revision = None;
                    self.record_failure(&table, sent, &error);
                }
            }
        }
        self.source.close_poll(table.table);
        *table.known.borrow_mut() = KnownTable::default();
        table.wait.set(Duration::MAX);
        table.running.set(false);
    }

    async fn poll(
        &self,
        table: &FollowedTable,
        revision: Option<TableRevision>,
        paused: Duration,
    ) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        let Some(revision) = revision else {
            if table.known.borrow().failing {
                if table.table == ControlTable::Crashes {
                    self.wait_for_routes().await;
                }
                return self.probe(table).await;
            }
            return self.list(table.table).await;
        };
        // The querying processes wait from the last response on, not from this poll.
        let wait = table.renewal().saturating_sub(paused);
        answer_within(
            self.source.answer_timeout(wait),
            self.source.changes_after(table.table, revision, wait),
        )
        .await
    }

    /// Waits while the service does not answer calls for routes, which are made anyway.
    async fn wait_for_routes(&self) {
        let routes = self.followed(ControlTable::Routes);
        let mut changed = routes.changed.subscribe();
        while routes.running.get() && routes.known.borrow().failing {
            changed.mark_unchanged();
            // The sender is not dropped while this process runs.
            drop(tokio::time::timeout(PROBE_INTERVAL, changed.changed()).await);
        }
    }

    async fn list(&self, table: ControlTable) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        answer_within(self.source.answer_timeout(Duration::ZERO), self.source.list(table)).await
    }

    /// Calls a service that does not answer, again before earlier calls time out, until it responds or the
    /// table is no longer queried.
    async fn probe(&self, table: &FollowedTable) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        let mut probes = FuturesUnordered::new();
        while !table.follow_until.get().passed(self.clock.now()) {
            let sent = self.clock.now();
            probes.push(async move { (sent, self.list(table.table).await) });
            // Processes that failed together must not retry together.
            let interval =
                tokio::time::sleep(PROBE_INTERVAL.mul_f64(rand::random::<f64>().mul_add(0.5, 0.75)));
            tokio::pin!(interval);
            loop {
                let (sent, answer) = tokio::select! {
                    () = &mut interval => break,
                    Some(probe) = probes.next() => probe,
                };
                match answer {
                    Ok(answer) => return Ok(answer),
                    Err(error) => self.record_failure(table, sent, &error),
                }
            }
        }
        Err(SourceError::Unavailable("the table is no longer queried".to_owned()))
    }

    fn apply(&self, table: &FollowedTable, answer: SourceAnswer<Vec<TableRow>>, is_listing: bool) {
        let mut known = table.known.borrow_mut();
        known.failing = false;
        known.answered = Some(self.clock.now());
        if let Some(asked) = known.unanswered.take() {
            known.gap = Some(AnswerGap { asked, returned: self.clock.now() });
            info!(self.logger, "table service answers again"; "event" => "dependency_regained",
                "dependency" => "table");
        }
        if is_listing {
            known.apply_listing(answer);
        } else {
            known.apply_changes(answer);
        }
        drop(known);
        table.changed.send_modify(|changes| *changes += 1);
    }

    fn record_failure(&self, table: &FollowedTable, sent: UnixMillis, error: &SourceError) {
        let mut known = table.known.borrow_mut();
        known.failing = true;
        let last = known.unanswered.max(Some(sent));
        if std::mem::replace(&mut known.unanswered, last).is_none() {
            let now = self.clock.now();
            warn!(self.logger, "table service does not answer"; "event" => "dependency_lost",
                "dependency" => "table", "question" => table.table.as_str(), "error" => error.to_string(),
                "call_age_ms" => now.since(sent),
                "answer_age_ms" => known.answered.map(|answered| now.since(answered)));
        }
        drop(known);
        if table.table == ControlTable::Routes {
            self.route_failures.send_modify(|route_failures| *route_failures += 1);
        }
        table.changed.send_modify(|changes| *changes += 1);
    }
}
