//! Rows of the tables by way of a process that follows them for its whole zone, or from the table service itself.
//!
//! A process asks itself at its start, where no other one answers, and before what it holds would be too old: calls
//! then grow with zones and not with entries.

use crate::reader::{RowUpdate, TableQuery, TableUpdate};
use crate::revision::{TableEra, TableRevision};
use crate::rows::{ControlTable, RowSource, RowValue, TableRow, answer_within};
use crate::source::{AnswerOrigin, SourceError, SourceFuture, Stamped};
use futures::future::LocalBoxFuture;
use porthoist_core::{ClockSource, UnixDeadline, UnixMillis};
use porthoist_metrics::MetricsHub;
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long another process may hold its answer back. One that says nothing for longer is frozen or cut off.
const HOLD: Duration = Duration::from_secs(1);
/// Time beyond that in which its answer must come: the way within a zone, and its turn on a host with 0.15 of a core.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// How long a process that did not answer, or whose own questions fail, is not asked again.
const AVOIDED: Duration = Duration::from_secs(2);
/// Mean time between two questions of this process while the table service is away and others try for it.
const PROBE: Duration = Duration::from_secs(3);

/// How long a process that starts waits for others to tell it what it does not need before there are targets.
const START_TIME: Duration = Duration::from_secs(6);
/// Time between two looks for others to ask meanwhile.
const START_LOOK: Duration = Duration::from_millis(100);
/// How long one waits that starts while others serve: callers may come to it.
const LATE_START_TIME: Duration = Duration::from_millis(300);
/// Least time between two own questions about targets at a start while nobody else can be asked: rows of a fleet that starts come
/// one by one, and each would wake all.
const START_PAUSE: Duration = Duration::from_secs(4);

/// First pause after a failed question where no other process tries; it doubles up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause: readiness must return within a second of the table service's return.
const MAX_PAUSE: Duration = Duration::from_millis(480);

/// The ways to the processes that may follow the tables for others.
pub trait TablePeers: fmt::Debug {
    /// Hosts of the processes to ask, in an order that all processes of the zone agree on.
    fn hosts(&self) -> Vec<Ipv4Addr>;
    /// Asks the process on a host, whose answer must begin to come in the time that the question is held and `answer_timeout`; says why
    /// there is none.
    fn query(
        &self,
        host: Ipv4Addr,
        query: TableQuery,
        answer_timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<TableUpdate, String>>;
}

/// Why the table service itself is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskReason {
    /// Nothing is known yet.
    Start,
    /// No other process answers.
    NoPeer,
    /// What other processes know gets too old.
    Outdated,
    /// Other processes do not pass on what is needed.
    History,
    /// The table service was away.
    Probe,
}

impl AskReason {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::NoPeer => "no_peer",
            Self::Outdated => "outdated",
            Self::History => "history",
            Self::Probe => "probe",
        }
    }
}

/// What this process knows of one table.
#[derive(Debug, Default)]
struct TableCopy {
    rows: RefCell<HashMap<String, TableRow>>,
    revision: Cell<Option<TableRevision>>,
    stamp: Cell<u64>,
}

impl TableCopy {
    fn era(&self) -> TableEra {
        self.revision.get().unwrap_or_default().era
    }

    /// Whether an answer is newer than this copy. Clock values of different eras are not comparable.
    fn is_outdated_by(&self, revision: TableRevision, stamp: u64) -> bool {
        match revision.era.cmp(&self.era()) {
            Ordering::Less => false,
            Ordering::Equal => stamp > self.stamp.get(),
            Ordering::Greater => true,
        }
    }

    /// Rows as they are, with those that are told as changes.
    fn whole_rows(&self, news: Stamped<Vec<RowUpdate>>) -> Option<Stamped<Vec<TableRow>>> {
        let known = self.rows.borrow();
        let Stamped { value, revision, stamp, origin } = news;
        let rows: Option<Vec<TableRow>> = value
            .into_iter()
            .map(|row| {
                let before = known.get(&row.key);
                row.whole(revision.era, before)
            })
            .collect();
        Some(Stamped { value: rows?, revision, stamp, origin })
    }

    /// The rows that are not among the keys of all, as removed.
    fn removed(&self, keys: &[String], revision: TableRevision) -> Vec<TableRow> {
        let keys: HashSet<&String> = keys.iter().collect();
        let rows = self.rows.borrow();
        let gone = rows.keys().filter(|key| !keys.contains(key));
        gone.map(|key| TableRow { key: key.clone(), value: RowValue::Removed, version: revision }).collect()
    }
}

/// A moment of the table service's clock with an earlier one of this process's: the answer can't have been made before
/// its question was sent.
#[derive(Debug, Clone, Copy)]
struct ClockOffset {
    sent: UnixMillis,
    era: TableEra,
    stamp: u64,
}

impl ClockOffset {
    fn new(sent: UnixMillis, era: TableEra, stamp: u64) -> Self {
        Self { sent, era, stamp }
    }

    /// With another answer: the one that places the clock latest counts.
    fn tightened(self, sent: UnixMillis, stamp: u64) -> Self {
        let other = Self { sent, stamp, ..self };
        if other.local(stamp) > self.local(stamp) { other } else { self }
    }

    /// When a moment of the table service's clock was, or earlier.
    fn local(self, stamp: u64) -> UnixMillis {
        UnixMillis((self.sent.0 + stamp).saturating_sub(self.stamp))
    }
}

/// Rows from the process that follows the tables for the zone, else from the table service.
#[derive(Debug)]
pub struct PeerRowSource {
    table_service: Rc<dyn RowSource>,
    peers: Rc<dyn TablePeers>,
    metrics: Arc<MetricsHub>,
    routes: TableCopy,
    targets: TableCopy,
    crashes: TableCopy,
    /// Tells that the targets were first listed.
    targets_listed: Notify,
    /// When targets may be asked about again at a start.
    targets_due: Cell<UnixDeadline>,
    /// Until when a fleet that starts together may still lack processes to ask.
    start_over: Cell<UnixDeadline>,
    /// Whether there were targets when they were first listed.
    began_late: Cell<bool>,
    /// When the table service may be asked again after it failed.
    probe_at: Cell<Option<UnixDeadline>>,
    /// The next pause where no other process tries.
    pause: Cell<Duration>,
    /// How the table service's clock lies to this process's; nothing before its first answer.
    clocks: Cell<Option<ClockOffset>>,
    /// Processes that are not asked for a while.
    avoided: RefCell<HashMap<Ipv4Addr, UnixDeadline>>,
    /// Counts the time in which the host was suspended, which the runtime's timers do not.
    clock: Arc<dyn ClockSource>,
    logger: Logger,
}

impl PeerRowSource {
    /// Rows that nothing is known of yet.
    pub fn new(
        table_service: Rc<dyn RowSource>,
        peers: Rc<dyn TablePeers>,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<MetricsHub>,
        logger: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            table_service,
            peers,
            metrics,
            routes: TableCopy::default(),
            targets: TableCopy::default(),
            crashes: TableCopy::default(),
            targets_listed: Notify::new(),
            targets_due: Cell::default(),
            start_over: Cell::default(),
            began_late: Cell::new(false),
            probe_at: Cell::new(None),
            pause: Cell::new(PAUSE),
            clocks: Cell::new(None),
            avoided: RefCell::default(),
            clock,
            logger,
        })
    }

    fn copy(&self, table: ControlTable) -> &TableCopy {
        match table {
            ControlTable::Routes => &self.routes,
            ControlTable::Targets => &self.targets,
            ControlTable::Crashes => &self.crashes,
        }
    }

    /// The first process that is not avoided.
    fn peer(&self) -> Option<Ipv4Addr> {
        let now = self.clock.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_host, until| !until.passed(now));
        self.peers.hosts().into_iter().find(|host| !avoided.contains_key(host))
    }

    /// Whether a process is asked, that is not avoided.
    fn asked(&self, host: Ipv4Addr) -> bool {
        let now = self.clock.now();
        self.avoided.borrow().get(&host).is_none_or(|until| until.passed(now))
    }

    fn avoid(&self, host: Ipv4Addr) {
        let until = self.after(AVOIDED);
        self.avoided.borrow_mut().insert(host, until);
    }

    /// What other processes know after a revision, once it is newer. An error says that the table service is to be asked.
    async fn ask_peers(
        &self,
        table: ControlTable,
        after: TableRevision,
        wait: Duration,
        until: UnixDeadline,
    ) -> Result<Stamped<Vec<TableRow>>, AskReason> {
        let copy = self.copy(table);
        let mut reason = AskReason::Outdated;
        loop {
            let left = until.remaining(self.clock.now());
            if left.is_zero() {
                return Err(reason);
            }
            let Some(host) = self.peer() else { return Err(AskReason::NoPeer) };
            let ask = TableQuery { table, after, stamp: copy.stamp.get(), hold: HOLD.min(left), wait };
            // A long answer comes in pieces; what is known must not get too old meanwhile.
            let asked = self.peers.query(host, ask, ANSWER_TIME);
            match tokio::time::timeout(left + ANSWER_TIME, asked).await {
                // What is no newer than what is known proves nothing: a process that repeats it must not be asked for ever.
                Ok(Ok(TableUpdate::Newer { rows, .. }))
                    if !copy.is_outdated_by(rows.revision, rows.stamp) =>
                {
                    self.avoid(host);
                }
                Ok(Ok(TableUpdate::Newer { rows, keys, gap })) => {
                    // Changes to another value than the one held: the row itself is needed.
                    let Some(rows) = copy.whole_rows(rows) else { return Err(AskReason::History) };
                    let mut rows = Stamped { origin: AnswerOrigin::Peer { gap }, ..rows };
                    if let Some(keys) = keys {
                        rows.value.extend(copy.removed(&keys, rows.revision));
                    }
                    return Ok(rows);
                }
                Ok(Ok(TableUpdate::Nothing { failing })) => {
                    // Another process may reach the table service. Where none does, this one tells at once when it does.
                    if failing && self.peers.hosts().iter().any(|other| *other != host && self.asked(*other))
                    {
                        self.avoid(host);
                    }
                    reason = if failing { AskReason::Probe } else { AskReason::Outdated };
                }
                Ok(Ok(TableUpdate::TooMuch)) => return Err(AskReason::History),
                Ok(Err(_)) | Err(_) => self.avoid(host),
            }
        }
    }

    /// Asks the table service itself.
    async fn ask_itself(
        &self,
        table: ControlTable,
        revision: Option<TableRevision>,
        wait: Duration,
        reason: AskReason,
    ) -> Result<Stamped<Vec<TableRow>>, SourceError> {
        let sent = self.clock.now();
        if table == ControlTable::Targets {
            self.targets_due.set(self.after(START_PAUSE));
        }
        self.metrics.table_asked(reason.as_str());
        info!(self.logger, "the table service itself is asked"; "event" => "table_asked",
            "table" => table.as_str(), "reason" => reason.as_str(), "wait_ms" => wait.as_millis() as u64);
        let question = match revision {
            Some(revision) => self.table_service.after(table, revision, wait),
            None => self.table_service.list(table),
        };
        let answer = answer_within(self.table_service.patience(wait), question).await;
        let answer = answer.and_then(|answer| self.reject_earlier_era(table, answer));
        if let Ok(answer) = &answer {
            let known = self.clocks.get().filter(|known| known.era == answer.revision.era);
            self.clocks.set(Some(known.map_or_else(
                || ClockOffset::new(sent, answer.revision.era, answer.stamp),
                |known| known.tightened(sent, answer.stamp),
            )));
        }
        let failed = matches!(&answer, Err(error) if *error != SourceError::HistoryGone);
        self.probe_at.set(failed.then(|| self.after(self.pause())));
        if !failed {
            self.pause.set(PAUSE);
        }
        answer
    }

    /// Rejects an answer from an earlier era than the copy, which may have been updated by other processes.
    fn reject_earlier_era(
        &self,
        table: ControlTable,
        answer: Stamped<Vec<TableRow>>,
    ) -> Result<Stamped<Vec<TableRow>>, SourceError> {
        if answer.revision.era < self.copy(table).era() {
            return Err(SourceError::Unavailable("answer belongs to an earlier era".to_owned()));
        }
        Ok(answer)
    }

    /// The pause before this process asks the table service again that did not answer.
    fn pause(&self) -> Duration {
        // Processes that failed together must not ask again together.
        let jitter = rand::random::<f64>() + 0.5;
        if self.peer().is_some() {
            return PROBE.mul_f64(jitter);
        }
        let pause = self.pause.get();
        self.pause.set((pause * 2).min(MAX_PAUSE));
        pause.mul_f64(jitter)
    }

    /// Takes an answer into the copy. What is older than the copy changes nothing.
    fn take(&self, table: ControlTable, answer: &Stamped<Vec<TableRow>>, whole: bool) {
        let copy = self.copy(table);
        let mut rows = copy.rows.borrow_mut();
        if whole {
            rows.clear();
        }
        for row in &answer.value {
            let known = rows.get(&row.key).map_or_else(TableRevision::default, |known| known.version);
            if row.version >= known {
                rows.insert(row.key.clone(), row.clone());
            }
        }
        rows.retain(|_key, row| row.value != RowValue::Removed);
        let previous_stamp = if answer.revision.era > copy.era() { 0 } else { copy.stamp.get() };
        copy.stamp.set(previous_stamp.max(answer.stamp));
        copy.revision.set(Some(answer.revision));
    }

    fn whole_copy(&self, table: ControlTable, answer: Stamped<Vec<TableRow>>) -> Stamped<Vec<TableRow>> {
        let rows = self.copy(table).rows.borrow();
        answer.map(|_changes| rows.values().cloned().collect())
    }

    async fn list_shared(&self, table: ControlTable) -> Result<Stamped<Vec<TableRow>>, SourceError> {
        let probe_at = self.probe_at.get();
        let Some(revision) = self.copy(table).revision.get() else {
            self.sleep_until(probe_at).await;
            if let Some(first) = self.first_news(table).await {
                return Ok(first);
            }
            return self.list_itself(table, AskReason::Start).await;
        };
        // Others try for this process too, and only changes are needed of them.
        let heard = self.ask_peers(table, revision, PROBE, self.after(PROBE * 2));
        let listed = async {
            self.sleep_until(probe_at.or_else(|| Some(self.after(Self::peers_time(table))))).await;
            self.list_itself(table, AskReason::Probe).await
        };
        tokio::pin!(heard, listed);
        let reason = tokio::select! {
            answer = &mut heard => match answer {
                Ok(answer) => {
                    self.probe_at.set(None);
                    self.take(table, &answer, false);
                    return Ok(self.whole_copy(table, answer));
                }
                Err(reason) => reason,
            },
            answer = &mut listed => return answer,
        };
        // A host that is cut off from the service hears from others that there is much to fetch, and must not try at once again and
        // again.
        if reason == AskReason::History && probe_at.is_none() {
            return self.list_itself(table, reason).await;
        }
        listed.await
    }

    /// What others know of a table that nothing is known of here. The targets are listed by each process itself: they show whom to
    /// ask, and the answer shows the table service's clock, by which others' news are judged.
    async fn first_news(&self, table: ControlTable) -> Option<Stamped<Vec<TableRow>>> {
        let mut until = self.after(START_TIME * 2);
        let mut known = false;
        while !self.starts_alone(table) && !until.passed(self.clock.now()) {
            if !known && !self.targets.rows.borrow().is_empty() {
                known = true;
                // The first targets may all be without a process to ask.
                until = self.after(if self.began_late.get() { LATE_START_TIME } else { START_TIME });
            }
            if known && self.peer().is_some() {
                let patience = if self.began_late.get() { until } else { self.after(START_TIME) };
                let answer = self.ask_peers(table, TableRevision::default(), PROBE, patience).await;
                if let Ok(answer) = answer {
                    self.take(table, &answer, true);
                    return Some(answer);
                }
            }
            // The listing of the targets decides most.
            drop(tokio::time::timeout(START_LOOK, self.targets_listed.notified()).await);
        }
        None
    }

    /// Whether a table is listed by this process itself at its start. Where targets are known, callers may wait: a hundred
    /// processes that start again together have their routes sooner from the table service than over the link of one host.
    fn starts_alone(&self, table: ControlTable) -> bool {
        match table {
            ControlTable::Targets => true,
            ControlTable::Routes => self.began_late.get(),
            ControlTable::Crashes => false,
        }
    }

    /// How long others are given to tell of a table before it is listed. Deaths are rare, and others need them as much: with the
    /// time for routes, each entry would list them in every outage.
    fn peers_time(table: ControlTable) -> Duration {
        match table {
            ControlTable::Routes | ControlTable::Targets => ANSWER_TIME,
            ControlTable::Crashes => PROBE,
        }
    }

    async fn list_itself(
        &self,
        table: ControlTable,
        reason: AskReason,
    ) -> Result<Stamped<Vec<TableRow>>, SourceError> {
        let answer = self.ask_itself(table, None, Duration::ZERO, reason).await?;
        if table == ControlTable::Targets && self.targets.revision.get().is_none() {
            self.began_late.set(!answer.value.is_empty());
            if answer.value.is_empty() {
                self.start_over.set(self.after(START_TIME * 2));
            }
            self.targets_listed.notify_waiters();
        }
        self.take(table, &answer, true);
        Ok(answer)
    }

    async fn sleep_until(&self, moment: Option<UnixDeadline>) {
        if let Some(moment) = moment {
            tokio::time::sleep(moment.remaining(self.clock.now())).await;
        }
    }

    fn after(&self, time: Duration) -> UnixDeadline {
        UnixDeadline::after(self.clock.now(), time.as_millis() as u64)
    }

    async fn changes_shared(
        &self,
        table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> Result<Stamped<Vec<TableRow>>, SourceError> {
        // News may have been on their way for long: the wait counts from the moment that the last ones prove.
        let known = self.clocks.get().map(|clocks| clocks.local(self.copy(table).stamp.get()));
        let now = self.clock.now();
        let end = UnixDeadline::after(known.unwrap_or(now).min(now), wait.as_millis() as u64);
        let answer = match self.ask_peers(table, revision, wait, end).await {
            Ok(answer) => answer,
            Err(reason) => {
                if reason == AskReason::NoPeer && !self.start_over.get().passed(now) {
                    let pause = self.targets_due.get().remaining(self.clock.now());
                    tokio::time::sleep(pause.min(end.remaining(self.clock.now()))).await;
                }
                // Where others could not be asked at all, the question waits as long as it may.
                let left = end.remaining(self.clock.now());
                self.ask_itself(table, Some(revision), left, reason).await?
            }
        };
        self.take(table, &answer, false);
        Ok(answer)
    }
}

impl RowSource for PeerRowSource {
    fn list(&self, table: ControlTable) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.list_shared(table))
    }

    fn after(
        &self,
        table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.changes_shared(table, revision, wait))
    }

    fn paces_itself(&self) -> bool {
        true
    }

    /// Its own questions have an end each; only others' answers come before them.
    fn patience(&self, wait: Duration) -> Duration {
        self.table_service.patience(wait) + PROBE * 2 + HOLD + ANSWER_TIME
    }
}
