//! Row source that queries a process which follows the tables for the whole zone, and falls back to the
//! table service.
//!
//! A process calls the table service itself at its start, if no peer answers, and before its known state
//! becomes too old. The number of calls thus grows with zones and not with entries.

use crate::pending_call::PendingCall;
use crate::proven_rows::ProvenRowSource;
use crate::revision::TableRevision;
use crate::rows::{ControlTable, RowSource, TableRow, answer_within};
use crate::source::{AnswerOrigin, SourceAnswer, SourceError, SourceFuture};
use crate::table_copy::{ClockOffset, TableCopy};
use crate::table_reader::{TableQuery, TableUpdate};
use futures::StreamExt as _;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use porthoist_core::{ClockSource, UnixDeadline, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::change_bound::{ChangeBound, RenewalSchedule};
use porthoist_policy::proxy::service_retry::{RetryPatience, ServiceRetry};
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard, Notify, watch};

/// How long a peer may hold back its response. A peer that is silent for longer is suspended or
/// unreachable.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Time beyond the hold within which a peer must respond: network latency within a zone, and scheduling
/// delay on a host with 0.15 of a core.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a peer is avoided that did not answer, or whose own calls fail.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Longest time given to peers to provide news. Calls for rarely needed tables come later by this time while the
/// table service fails.
const MAX_PEER_TIME: Duration = Duration::from_secs(3);
/// Time within which a peer that was queried while the table service is unavailable must respond again.
const PEER_RESPONSE_TIME: Duration = MAX_HOLD.saturating_add(PEER_TIMEOUT);
/// How long peers are given to list crashes after the table service has recovered. They do so after routes.
const CRASHES_PEER_TIME: Duration = Duration::from_millis(600);
/// Interval at which a process without peers checks whether there are any.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a starting process waits for peers to send the tables that it does not need before there are
/// targets.
const START_WAIT: Duration = Duration::from_secs(6);
/// Interval at which a starting process looks for peers.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a process waits for peers if it starts while others serve. Callers may already come to it.
const LATE_START_WAIT: Duration = Duration::from_millis(300);
/// Minimum interval between this process's calls for targets at a start while there is no peer: when a
/// fleet starts, rows come one by one, and each would wake all processes.
const START_PAUSE: Duration = Duration::from_secs(4);

/// Access to the peers that may follow the tables on behalf of others.
pub trait TablePeers: fmt::Debug {
    /// Hosts of the peers, in an order that all processes of the zone agree on.
    fn hosts(&self) -> Vec<Ipv4Addr>;
    /// Queries the peer on a host. Its response must begin within the query's hold time plus
    /// `answer_timeout`. Returns a description of the problem if there is no response.
    fn query(
        &self,
        host: Ipv4Addr,
        query: TableQuery,
        answer_timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<TableUpdate, String>>;
}

/// Why the table service itself is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceCallReason {
    /// Nothing is known yet.
    Start,
    /// No peer answers.
    NoPeer,
    /// The peers' state becomes too old.
    Outdated,
    /// The peers can't provide the requested changes.
    History,
    /// The table service was unavailable.
    Probe,
}

impl ServiceCallReason {
    /// Name in metrics.
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

/// Why a peer is not queried for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AvoidReason {
    /// It did not respond in time.
    Silent,
    /// The table service does not answer its calls.
    Failing,
    /// It should have renewed its state by now.
    Late,
    /// Its response is no newer than what is known.
    Repeating,
}

impl AvoidReason {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Failing => "failing",
            Self::Late => "late",
            Self::Repeating => "repeating",
        }
    }
}

/// A request to the peers for changes of a table.
#[derive(Debug, Clone, Copy)]
struct PeerRequest {
    table: ControlTable,
    after: TableRevision,
    /// Age of the known state at which this process calls the table service.
    wait: Duration,
    /// When a peer should have provided a newer state. The default lies in the past.
    late_at: UnixDeadline,
    /// When peers are no longer waited for.
    until: UnixDeadline,
}

/// Result of a query to a peer.
#[derive(Debug)]
enum PeerOutcome {
    /// Newer rows.
    Answer(SourceAnswer<Vec<TableRow>>),
    /// The peer knows nothing newer.
    Unchanged { failing: bool },
    /// The response says nothing.
    Useless,
    /// The peer can't provide the changes.
    CallService(ServiceCallReason),
}

/// Rows from the peer that follows the tables for the zone, or from the table service.
#[derive(Debug)]
pub struct PeerRowSource {
    table_service: Rc<ProvenRowSource>,
    peers: Rc<dyn TablePeers>,
    /// Position of this process's calls among those of processes that lose the same reader, from 0 to 1. It is
    /// the same for all tables, since the call for one may prove the others.
    spread: f64,
    /// Age of the state at which this process would call the table service, as told to peers that provide
    /// the first rows.
    listing_wait: Duration,
    metrics: Arc<MetricsHub>,
    routes: TableCopy,
    targets: TableCopy,
    crashes: TableCopy,
    /// Notifies that the targets have been listed for the first time.
    targets_listed: Notify,
    /// When targets may be requested again at a start.
    next_targets_call: Cell<UnixDeadline>,
    /// Until when a fleet that starts together may still be without peers.
    fleet_start_end: Cell<UnixDeadline>,
    /// Whether there were targets when they were first listed.
    joined_late: Cell<bool>,
    /// When the table service is called again after a failure.
    retry: watch::Sender<ServiceRetry>,
    /// Held during a call that shows all tables' tasks whether the table service has recovered.
    probe: Mutex<()>,
    /// Offset between the table service's clock and the local one; `None` before the first response.
    clock_offset: Cell<Option<ClockOffset>>,
    /// Peers that are not queried for a while.
    avoided: RefCell<HashMap<Ipv4Addr, UnixDeadline>>,
    /// Includes the time in which the host was suspended, unlike the runtime's timers.
    clock: Arc<dyn ClockSource>,
    logger: Logger,
}

#[bon::bon]
impl PeerRowSource {
    /// Creates a source without any known rows.
    #[builder]
    pub fn new(
        table_service: Rc<dyn RowSource>,
        peers: Rc<dyn TablePeers>,
        /// Time within which changes must be in force.
        #[builder(default)]
        change_bound: ChangeBound,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<MetricsHub>,
        logger: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            table_service: ProvenRowSource::new(table_service),
            peers,
            spread: rand::random(),
            listing_wait: change_bound.service_wait(MAX_PEER_TIME),
            metrics,
            routes: TableCopy::default(),
            targets: TableCopy::default(),
            crashes: TableCopy::default(),
            targets_listed: Notify::new(),
            next_targets_call: Cell::default(),
            fleet_start_end: Cell::default(),
            joined_late: Cell::new(false),
            retry: watch::Sender::new(ServiceRetry::new(change_bound.retry_interval(MAX_PEER_TIME))),
            probe: Mutex::new(()),
            clock_offset: Cell::new(None),
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

    /// Returns the first peer that is neither avoided nor excluded.
    fn first_peer(&self, excluded: &HashSet<Ipv4Addr>) -> Option<Ipv4Addr> {
        let now = self.clock.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_host, until| !until.passed(now));
        self.peers.hosts().into_iter().find(|host| !avoided.contains_key(host) && !excluded.contains(host))
    }

    /// Whether a fleet starts and this process can't serve callers yet. Peers are slow then, and nothing depends
    /// on the age of the state.
    fn is_starting(&self) -> bool {
        let is_unknown = |table: &TableCopy| table.revision.get().is_none();
        let lacks_table = [&self.routes, &self.targets, &self.crashes].into_iter().any(is_unknown);
        lacks_table && !self.fleet_start_end.get().passed(self.clock.now())
    }

    /// Whether a peer other than this one may be queried.
    fn has_other_peer(&self, host: Ipv4Addr) -> bool {
        self.first_peer(&HashSet::from([host])).is_some()
    }

    fn avoid(&self, table: ControlTable, host: Ipv4Addr, reason: AvoidReason) {
        self.metrics.record_avoided_peer(reason.as_str());
        info!(self.logger, "peer is not queried for a while"; "event" => "table_peer_avoided",
            "peer" => host.to_string(), "table" => table.as_str(), "reason" => reason.as_str(),
            "proof_age_ms" => self.proof_age(table));
        let until = self.deadline_in(AVOID_TIME);
        self.avoided.borrow_mut().insert(host, until);
    }

    /// Age of what is known of a table in milliseconds, if it is known.
    fn proof_age(&self, table: ControlTable) -> Option<u64> {
        let proven = self.clock_offset.get()?.local_lower_bound(self.copy(table).stamp.get());
        Some(self.clock.now().since(proven))
    }

    /// Waits for peers to provide changes. An error states why the table service must be called.
    ///
    /// One peer is queried at a time, and one more from `late_at` on, when the known state is so old that the
    /// first should have provided a newer one.
    async fn query_peers(
        &self,
        request: PeerRequest,
    ) -> Result<SourceAnswer<Vec<TableRow>>, ServiceCallReason> {
        let PeerRequest { late_at, until, .. } = request;
        let mut reason = ServiceCallReason::Outdated;
        let mut pending = FuturesUnordered::new();
        let mut pending_hosts = HashSet::new();
        loop {
            let now = self.clock.now();
            if until.passed(now) {
                return Err(reason);
            }
            let is_late = late_at.passed(now);
            let most = if is_late { 2 } else { 1 };
            while pending.len() < most
                && let Some(host) = self.first_peer(&pending_hosts)
            {
                pending_hosts.insert(host);
                pending.push(self.query_peer(host, request));
            }
            let next_check = if is_late { until } else { late_at.min(until) };
            let (host, response) = tokio::select! {
                Some(response) = pending.next() => response,
                () = tokio::time::sleep(next_check.remaining(now)), if !pending.is_empty() => continue,
                else => return Err(ServiceCallReason::NoPeer),
            };
            pending_hosts.remove(&host);
            match self.peer_answer(host, request, response) {
                PeerOutcome::Answer(answer) => return Ok(self.record_peer_answer(answer)),
                PeerOutcome::CallService(reason) => return Err(reason),
                PeerOutcome::Unchanged { failing: true } => reason = ServiceCallReason::Probe,
                PeerOutcome::Unchanged { failing: false } => reason = ServiceCallReason::Outdated,
                PeerOutcome::Useless => {}
            }
        }
    }

    /// Sends one query. A peer that has had time to renew the state is given little more.
    async fn query_peer(
        &self,
        host: Ipv4Addr,
        request: PeerRequest,
    ) -> (Ipv4Addr, Result<TableUpdate, String>) {
        let PeerRequest { table, after, wait, late_at, until } = request;
        let now = self.clock.now();
        let left = until.remaining(now);
        let hold = match late_at.remaining(now) {
            time if !time.is_zero() => time,
            _ if self.has_other_peer(host) => PEER_TIMEOUT,
            _ => MAX_HOLD,
        };
        let hold = hold.min(MAX_HOLD).min(left);
        let query = TableQuery { table, after, stamp: self.copy(table).stamp.get(), hold, wait };
        // A long response arrives in pieces. The known state must not become too old meanwhile.
        let response = tokio::time::timeout(left + PEER_TIMEOUT, self.peers.query(host, query, PEER_TIMEOUT));
        (host, response.await.unwrap_or_else(|_elapsed| Err("no response in time".to_owned())))
    }

    /// Evaluates a peer's response, and decides whether the peer is to be avoided.
    fn peer_answer(
        &self,
        host: Ipv4Addr,
        request: PeerRequest,
        response: Result<TableUpdate, String>,
    ) -> PeerOutcome {
        let PeerRequest { table, late_at, .. } = request;
        let copy = self.copy(table);
        if response.is_ok() {
            let until = self.deadline_in(PEER_RESPONSE_TIME);
            self.retry.send_if_modified(|retry| {
                retry.record_peer_response(until);
                false
            });
        }
        match response {
            // A response that is not newer than the known state proves nothing. A peer that repeats it must
            // not be queried for ever.
            Ok(TableUpdate::Newer { rows, .. }) if !copy.is_outdated_by(rows.revision, rows.stamp) => {
                self.avoid(table, host, AvoidReason::Repeating);
                PeerOutcome::Useless
            }
            Ok(TableUpdate::Newer { rows, keys, gap }) => {
                // The patch applies to another value than the known one, so the complete row is needed.
                let Some(rows) = copy.apply_patches(rows) else {
                    return PeerOutcome::CallService(ServiceCallReason::History);
                };
                let mut rows = SourceAnswer { origin: AnswerOrigin::Peer { gap, unanswered: None }, ..rows };
                if let Some(keys) = keys {
                    rows.value.extend(copy.removals_except(&keys, rows.revision));
                }
                PeerOutcome::Answer(rows)
            }
            Ok(TableUpdate::Unchanged { failing }) => {
                // What decides is the age of the state. If no peer reaches the table service, the last one
                // responds as soon as it does.
                let reason = match (failing, late_at.passed(self.clock.now())) {
                    (true, _) => Some(AvoidReason::Failing),
                    (false, true) => Some(AvoidReason::Late),
                    (false, false) => None,
                };
                if let Some(reason) = reason.filter(|_reason| self.has_other_peer(host)) {
                    self.avoid(table, host, reason);
                }
                PeerOutcome::Unchanged { failing }
            }
            Ok(TableUpdate::TooLarge) => PeerOutcome::CallService(ServiceCallReason::History),
            Err(_) => {
                self.avoid(table, host, AvoidReason::Silent);
                PeerOutcome::Useless
            }
        }
    }

    /// Calls the table service itself.
    async fn call_service(
        &self,
        table: ControlTable,
        revision: Option<TableRevision>,
        wait: Duration,
        reason: ServiceCallReason,
    ) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        let sent = self.clock.now();
        let _pending = PendingCall::new(&self.retry, sent.plus(wait.as_millis() as u64));
        if table == ControlTable::Targets {
            self.next_targets_call.set(self.deadline_in(START_PAUSE));
        }
        self.metrics.record_table_fallback(reason.as_str());
        info!(self.logger, "calling the table service"; "event" => "table_asked",
            "table" => table.as_str(), "reason" => reason.as_str(), "wait_ms" => wait.as_millis() as u64,
            "proof_age_ms" => self.proof_age(table));
        let call = match revision {
            Some(revision) => self.table_service.changes_after(table, revision, wait),
            None => self.table_service.list(table),
        };
        let answer = answer_within(self.table_service.answer_timeout(wait), call).await;
        let answer = answer.and_then(|answer| self.reject_earlier_era(table, answer));
        if let Ok(answer) = &answer
            && answer.origin == AnswerOrigin::Source
        {
            let known = self.clock_offset.get().filter(|known| known.era == answer.revision.era);
            self.clock_offset.set(Some(known.map_or_else(
                || ClockOffset::new(sent, answer.revision.era, answer.stamp),
                |known| known.refined(sent, answer.stamp),
            )));
        }
        let failed = matches!(&answer, Err(error) if *error != SourceError::HistoryGone);
        let now = self.clock.now();
        self.retry.send_modify(|retry| {
            if failed {
                retry.record_failure(sent, now, rand::random());
            } else {
                retry.record_answer(sent, now);
            }
        });
        answer
    }

    /// Records that a peer has provided news, and adds which call of this process is still unanswered.
    fn record_peer_answer(&self, answer: SourceAnswer<Vec<TableRow>>) -> SourceAnswer<Vec<TableRow>> {
        let now = self.clock.now();
        let unanswered = self.retry.borrow().unanswered(now);
        self.retry.send_modify(|retry| retry.record_recovery(now));
        match answer.origin {
            AnswerOrigin::Peer { gap, .. } => {
                SourceAnswer { origin: AnswerOrigin::Peer { gap, unanswered }, ..answer }
            }
            AnswerOrigin::Source | AnswerOrigin::EarlierCall => answer,
        }
    }

    /// Rejects a response from an earlier era than the copy, which peers may have updated.
    fn reject_earlier_era(
        &self,
        table: ControlTable,
        answer: SourceAnswer<Vec<TableRow>>,
    ) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        if answer.revision.era < self.copy(table).era() {
            return Err(SourceError::Unavailable("response belongs to an earlier era".to_owned()));
        }
        Ok(answer)
    }

    fn listing_of_copy(
        &self,
        table: ControlTable,
        answer: SourceAnswer<Vec<TableRow>>,
    ) -> SourceAnswer<Vec<TableRow>> {
        let rows = self.copy(table).rows.borrow();
        answer.map(|_changes| rows.values().cloned().collect())
    }

    async fn list_via_peers(&self, table: ControlTable) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        let Some(revision) = self.copy(table).revision.get() else {
            let turn = self.probe_turn(RetryPatience::default()).await;
            drop(turn);
            if let Some(first) = self.query_peers_at_start(table).await {
                return Ok(first);
            }
            return self.list_from_service(table, ServiceCallReason::Start).await;
        };
        let listed = async {
            let _turn = self.probe_turn(Self::patience(table)).await;
            self.list_from_service(table, ServiceCallReason::Probe).await
        };
        tokio::pin!(listed);
        let from_peers = tokio::select! {
            from_peers = self.changes_for_listing(table, revision) => from_peers,
            answer = &mut listed => return answer,
        };
        match from_peers {
            Some(answer) => {
                self.copy(table).apply(&answer, false);
                Ok(self.listing_of_copy(table, answer))
            }
            // A host that can't reach the service learns from peers that the update is too large, and must not
            // call the service again and again without a pause.
            None if self.retry.borrow().is_failing() => listed.await,
            None => self.list_from_service(table, ServiceCallReason::History).await,
        }
    }

    /// Queries peers until one provides the changes that a listing needs; they call the table service too.
    /// Returns `None` if they can't provide them.
    async fn changes_for_listing(
        &self,
        table: ControlTable,
        revision: TableRevision,
    ) -> Option<SourceAnswer<Vec<TableRow>>> {
        loop {
            let request = PeerRequest {
                table,
                after: revision,
                wait: self.listing_wait,
                late_at: UnixDeadline::default(),
                until: self.deadline_in(MAX_PEER_TIME * 2),
            };
            match self.query_peers(request).await {
                Ok(answer) => return Some(answer),
                Err(ServiceCallReason::History) => return None,
                Err(ServiceCallReason::NoPeer) => self.wait_for_peer(table).await,
                Err(_not_renewed) => {}
            }
        }
    }

    /// Waits until a peer may be queried.
    async fn wait_for_peer(&self, table: ControlTable) {
        let now = self.clock.now();
        let mut responded = false;
        self.retry.send_modify(|retry| responded = retry.lose_peers(now));
        if responded {
            info!(self.logger, "no peer responds"; "event" => "table_peers_lost", "table" => table.as_str(),
                "proof_age_ms" => self.proof_age(table));
        }
        while self.first_peer(&HashSet::new()).is_none() {
            tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        }
    }

    /// Waits until the table service is to be called. One call at a time shows whether it has recovered.
    async fn probe_turn(&self, patience: RetryPatience) -> MutexGuard<'_, ()> {
        let began = self.clock.now();
        let mut retry = self.retry.subscribe();
        loop {
            let next_call = retry.borrow_and_update().next_call(began, patience);
            if !next_call.passed(self.clock.now()) {
                tokio::select! {
                    () = tokio::time::sleep(next_call.remaining(self.clock.now())) => {}
                    _changed = retry.changed() => {}
                }
                continue;
            }
            let turn = self.probe.lock().await;
            if self.retry.borrow().next_call(began, patience).passed(self.clock.now()) {
                return turn;
            }
        }
    }

    /// Asks peers for a table of which nothing is known. Each process lists the targets itself: they show
    /// which peers there are, and the response shows the table service's clock, which is needed to judge
    /// the peers' updates.
    async fn query_peers_at_start(&self, table: ControlTable) -> Option<SourceAnswer<Vec<TableRow>>> {
        let mut until = self.deadline_in(START_WAIT * 2);
        let mut has_targets = false;
        while !self.lists_from_service_at_start(table) && !until.passed(self.clock.now()) {
            if !has_targets && !self.targets.rows.borrow().is_empty() {
                has_targets = true;
                // The first targets may all be without a peer.
                until = self.deadline_in(if self.joined_late.get() { LATE_START_WAIT } else { START_WAIT });
            }
            if has_targets && self.first_peer(&HashSet::new()).is_some() {
                let deadline = if self.joined_late.get() { until } else { self.deadline_in(START_WAIT) };
                let request = PeerRequest {
                    table,
                    after: TableRevision::default(),
                    wait: self.listing_wait,
                    late_at: deadline,
                    until: deadline,
                };
                let answer = self.query_peers(request).await;
                if let Ok(answer) = answer {
                    self.copy(table).apply(&answer, true);
                    return Some(answer);
                }
            }
            // The list of targets is what usually ends the wait.
            drop(tokio::time::timeout(START_CHECK_INTERVAL, self.targets_listed.notified()).await);
        }
        None
    }

    /// Whether this process lists a table itself at its start. If targets are known, callers may be
    /// waiting: a hundred processes that restart together get their routes sooner from the table service
    /// than over the link of one host.
    fn lists_from_service_at_start(&self, table: ControlTable) -> bool {
        match table {
            ControlTable::Targets => true,
            ControlTable::Routes => self.joined_late.get(),
            ControlTable::Crashes => false,
        }
    }

    /// How long a table is awaited before the service is called for it.
    fn patience(table: ControlTable) -> RetryPatience {
        match table {
            ControlTable::Routes | ControlTable::Targets => {
                RetryPatience { peers: PEER_TIMEOUT, failing: Duration::ZERO }
            }
            // Crashes are rare, and the peers need them as much. Otherwise each entry would list them in
            // every outage.
            ControlTable::Crashes => RetryPatience { peers: CRASHES_PEER_TIME, failing: MAX_PEER_TIME },
        }
    }

    async fn list_from_service(
        &self,
        table: ControlTable,
        reason: ServiceCallReason,
    ) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        let answer = self.call_service(table, None, Duration::ZERO, reason).await?;
        if table == ControlTable::Targets && self.targets.revision.get().is_none() {
            self.joined_late.set(!answer.value.is_empty());
            if answer.value.is_empty() {
                self.fleet_start_end.set(self.deadline_in(START_WAIT * 2));
            }
            self.targets_listed.notify_waiters();
        }
        self.copy(table).apply(&answer, true);
        Ok(self.listing_of_copy(table, answer))
    }

    fn deadline_in(&self, time: Duration) -> UnixDeadline {
        UnixDeadline::after(self.clock.now(), time.as_millis() as u64)
    }

    async fn changes_via_peers(
        &self,
        table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> Result<SourceAnswer<Vec<TableRow>>, SourceError> {
        // The latest update may have been delayed, so the schedule counts from the time that it proves.
        let now = self.clock.now();
        let stamp = self.copy(table).stamp.get();
        let proven = self.clock_offset.get().map_or(now, |offset| offset.local_lower_bound(stamp).min(now));
        let schedule = RenewalSchedule::new(if self.is_starting() { wait.max(START_PAUSE) } else { wait });
        let deadline = |age: Duration| UnixDeadline::after(proven, age.as_millis() as u64);
        let call_at = deadline(schedule.service_call(self.spread));
        let from_peers = self.query_peers(PeerRequest {
            table,
            after: revision,
            wait,
            late_at: deadline(schedule.second_reader()),
            until: call_at,
        });
        let answer = match from_peers.await {
            Ok(answer) => answer,
            Err(reason) => {
                if reason == ServiceCallReason::NoPeer && !self.fleet_start_end.get().passed(now) {
                    let delay = self.next_targets_call.get().remaining(self.clock.now());
                    tokio::time::sleep(delay.min(call_at.remaining(self.clock.now()))).await;
                }
                // If there was no peer at all, the call waits as long as it may.
                let left = deadline(schedule.renewal()).remaining(self.clock.now());
                let from_service = self.call_service(table, Some(revision), left, reason);
                // Peers that have just become known are queried one at a time.
                let is_first_query = reason == ServiceCallReason::NoPeer;
                let late_at =
                    if is_first_query { self.deadline_in(PEER_TIMEOUT) } else { UnixDeadline::default() };
                let from_peers = self.query_peers(PeerRequest {
                    table,
                    after: revision,
                    wait,
                    late_at,
                    until: self.deadline_in(MAX_PEER_TIME),
                });
                // This host may be the one that can't reach the service.
                tokio::select! {
                    answer = from_service => answer?,
                    Ok(answer) = from_peers => answer,
                }
            }
        };
        self.copy(table).apply(&answer, false);
        Ok(answer)
    }
}

impl RowSource for PeerRowSource {
    fn list(&self, table: ControlTable) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.list_via_peers(table))
    }

    fn changes_after(
        &self,
        table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.changes_via_peers(table, revision, wait))
    }

    fn handles_backoff(&self) -> bool {
        true
    }

    fn failed_call(&self) -> Option<UnixMillis> {
        self.retry.borrow().failed()
    }

    fn is_shared(&self) -> bool {
        true
    }

    /// Each call to the table service has a timeout of its own; queries to peers come before it.
    fn answer_timeout(&self, wait: Duration) -> Duration {
        self.table_service.answer_timeout(wait) + MAX_PEER_TIME * 2 + MAX_HOLD + PEER_TIMEOUT
    }
}
