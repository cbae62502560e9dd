//! Tests of [`ControlWatch`] on virtual time, with a source whose calls hang or fail.

use porthoist_core::{ClockSource, StartMillis, TargetName, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::targets::{TargetChange, TargetRecord, TargetState};
use porthoist_proxy::SourceFuture;
use porthoist_proxy::{
    ControlSource, ControlState, ControlWatch, OperatorUpdate, SourceAnswer, SourceError, TableEra,
    TableRevision,
};
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use test_case::test_case;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Time in milliseconds within which a draining target must be known.
const LEAVING_MILLIS: u64 = 2_000;
/// Time in milliseconds that operators allow a host to detect that its connections are lost.
const NOTICE_MILLIS: u64 = 3_000;
/// Maximum time in milliseconds to send once a target is chosen: the connect timeout.
const SEND_MILLIS: u64 = 400;

/// The runtime's virtual time with an arbitrary origin, plus the time in milliseconds for which the process
/// was suspended.
#[derive(Debug)]
struct RuntimeClock(Instant, Arc<AtomicU64>);

impl ClockSource for RuntimeClock {
    fn now(&self) -> UnixMillis {
        UnixMillis(1_000_000 + self.0.elapsed().as_millis() as u64 + self.1.load(Ordering::Relaxed))
    }
}

/// Fault of the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceFault {
    None,
    /// Calls are refused.
    Refusing,
    /// Calls are never answered.
    Silent,
}

/// A source of targets; its routes never change.
#[derive(Debug)]
struct TableSource {
    began: Instant,
    rows: RefCell<Vec<TargetRecord>>,
    /// Changes with their revisions.
    history: RefCell<Vec<(u64, TargetChange)>>,
    revision: watch::Sender<u64>,
    fault: Cell<SourceFault>,
    /// Incremented to make pending calls for routes lose their connection silently.
    routes_lost: watch::Sender<u64>,
    targets_lost: watch::Sender<u64>,
    /// Whether the next call for targets uses a connection that is already silent.
    next_lost: Cell<bool>,
    /// Latency of a response.
    answer_millis: Cell<u64>,
    /// Number of calls for routes.
    routes_calls: Cell<u64>,
    /// Time in milliseconds for which the process was suspended so far.
    suspended: Arc<AtomicU64>,
    /// Time in milliseconds for which the process is suspended during its first calls.
    suspend_first: Cell<u64>,
}

impl TableSource {
    fn new(targets: &[&str]) -> Rc<Self> {
        Rc::new(Self {
            began: Instant::now(),
            rows: RefCell::new(targets.iter().map(|id| record(id, TargetState::Ready)).collect()),
            history: RefCell::default(),
            revision: watch::Sender::new(1),
            fault: Cell::new(SourceFault::None),
            routes_lost: watch::Sender::new(0),
            targets_lost: watch::Sender::new(0),
            next_lost: Cell::new(false),
            answer_millis: Cell::new(4),
            routes_calls: Cell::new(0),
            suspended: Arc::default(),
            suspend_first: Cell::new(0),
        })
    }

    fn put(&self, id: &str, state: TargetState) {
        self.remove_row(id);
        self.rows.borrow_mut().push(record(id, state));
        self.record_change(TargetChange::Put(record(id, state)));
    }

    fn remove(&self, id: &str) {
        self.remove_row(id);
        self.record_change(TargetChange::Gone(id.parse().unwrap()));
    }

    fn remove_row(&self, id: &str) {
        self.rows.borrow_mut().retain(|row| row.id.as_str() != id);
    }

    fn record_change(&self, change: TargetChange) {
        let revision = *self.revision.borrow() + 1;
        self.history.borrow_mut().push((revision, change));
        self.revision.send_replace(revision);
    }

    fn stamped<T>(&self, value: T) -> SourceAnswer<T> {
        let stamp = self.began.elapsed().as_millis() as u64 + self.suspended.load(Ordering::Relaxed);
        SourceAnswer::of(value, TableRevision::new(TableEra::default(), *self.revision.borrow()), stamp)
    }

    /// Receives a call. Returns if the source answers at all.
    async fn receive(&self) -> Result<(), SourceError> {
        sleep(Duration::from_millis(self.answer_millis.get())).await;
        self.suspended.fetch_add(self.suspend_first.take(), Ordering::Relaxed);
        match self.fault.get() {
            SourceFault::None => Ok(()),
            SourceFault::Refusing => Err(SourceError::Refused(503)),
            SourceFault::Silent => std::future::pending().await,
        }
    }

    /// Waits for a later revision, or for the end of the wait.
    async fn newer(&self, revision: u64, wait: Duration) {
        let mut revisions = self.revision.subscribe();
        let newer = revisions.wait_for(|newest| *newest > revision);
        // The end of the wait is a response too.
        let _waited = tokio::time::timeout(wait, newer).await;
    }

    fn changes_after(&self, revision: u64) -> Vec<TargetChange> {
        let history = self.history.borrow();
        history.iter().filter(|(known, _)| *known > revision).map(|(_, change)| change.clone()).collect()
    }
}

/// Awaits the response unless the connection falls silent first.
async fn unless_lost<T>(lost: &watch::Sender<u64>, answer: impl Future<Output = T>) -> T {
    let mut lost = lost.subscribe();
    tokio::select! {
        biased;
        _lost = lost.changed() => std::future::pending().await,
        answer = answer => answer,
    }
}

impl ControlSource for TableSource {
    fn list_routes(&self) -> SourceFuture<'_, OperatorUpdate> {
        Box::pin(unless_lost(&self.routes_lost, async {
            self.receive().await?;
            Ok(self.stamped(OperatorUpdate::default()))
        }))
    }

    fn routes_after(&self, _revision: TableRevision, wait: Duration) -> SourceFuture<'_, OperatorUpdate> {
        self.routes_calls.set(self.routes_calls.get() + 1);
        Box::pin(unless_lost(&self.routes_lost, async move {
            self.receive().await?;
            sleep(wait).await;
            Ok(self.stamped(OperatorUpdate::default()))
        }))
    }

    fn list_targets(&self) -> SourceFuture<'_, Vec<TargetChange>> {
        Box::pin(unless_lost(&self.targets_lost, async {
            self.receive().await?;
            Ok(self.stamped(self.rows.borrow().iter().cloned().map(TargetChange::from).collect()))
        }))
    }

    fn targets_after(&self, revision: TableRevision, wait: Duration) -> SourceFuture<'_, Vec<TargetChange>> {
        Box::pin(unless_lost(&self.targets_lost, async move {
            if self.next_lost.take() {
                std::future::pending::<()>().await;
            }
            self.newer(revision.number, wait).await;
            self.receive().await?;
            Ok(self.stamped(self.changes_after(revision.number)))
        }))
    }
}

fn record(id: &str, state: TargetState) -> TargetRecord {
    let number: u16 = id.trim_start_matches('t').parse().unwrap();
    TargetRecord {
        id: id.parse().unwrap(),
        born: StartMillis::default(),
        service: "records".parse().unwrap(),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        zone: "a".parse().unwrap(),
        slots: 6,
        state,
        cold: ColdStatus::Unknown,
    }
}

/// A running watch.
struct WatchedTable {
    source: Rc<TableSource>,
    state: watch::Receiver<ControlState>,
    clock: Arc<RuntimeClock>,
}

impl WatchedTable {
    /// Starts a watch and lets it run for ten seconds, so that both long polls are pending.
    async fn start(targets: &[&str]) -> Self {
        Self::start_with(targets, 4_600, 0).await
    }

    /// The same with freshness proofs that are valid for the given time in milliseconds, and with a suspension
    /// during the first calls.
    async fn start_with(targets: &[&str], max_proof_age_millis: u64, suspend_first: u64) -> Self {
        let source = TableSource::new(targets);
        source.suspend_first.set(suspend_first);
        let state = watch::Sender::new(ControlState::default());
        let clock = Arc::new(RuntimeClock(Instant::now(), Arc::clone(&source.suspended)));
        let watched =
            Self { source: Rc::clone(&source), state: state.subscribe(), clock: Arc::clone(&clock) };
        let control = ControlWatch::builder()
            .max_proof_age_millis(max_proof_age_millis)
            .source(source)
            .state(state)
            .clock(clock)
            .metrics(Arc::new(MetricsHub::new().unwrap()))
            .logger(Logger::root(Discard, o!()))
            .build();
        tokio::task::spawn_local(async move { control.run().await });
        sleep(Duration::from_secs(10)).await;
        watched
    }

    /// Whether requests may be sent to a target.
    fn is_usable(&self, id: &str) -> bool {
        let id: TargetName = id.parse().unwrap();
        let state = self.state.borrow();
        let mut records = state.targets.records();
        records.any(|record| record.id == id && record.state == TargetState::Ready)
    }

    /// Makes a target leave. Returns the milliseconds until that is known.
    async fn leave(&self, id: &str, how: Leaving) -> u64 {
        match how {
            Leaving::Said => self.source.put(id, TargetState::Draining),
            Leaving::Removed => self.source.remove(id),
        }
        let left = Instant::now();
        while self.is_usable(id) {
            sleep(Duration::from_millis(10)).await;
        }
        left.elapsed().as_millis() as u64
    }
}

/// How a target leaves.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    /// Its row is set to draining.
    Said,
    /// Its row is removed.
    Removed,
}

/// Which pending calls lose their connection.
#[derive(Debug, Clone, Copy)]
enum Lost {
    Routes,
    Targets,
    Both,
}

impl Lost {
    fn silence(self, source: &TableSource) {
        let fall_silent = |lost: &watch::Sender<u64>| lost.send_modify(|count| *count += 1);
        if !matches!(self, Self::Targets) {
            fall_silent(&source.routes_lost);
        }
        if !matches!(self, Self::Routes) {
            fall_silent(&source.targets_lost);
        }
    }
}

/// Guards against requests to a target 2.0 to 2.5 s after it began to drain. The poll for targets waited on
/// a connection that had fallen silent, and the known targets were trusted for 25 s without a response. At
/// any phase of the polls, a target that leaves 3 s after the silence or later must be known in time.
#[test_case(Lost::Targets, Leaving::Said)]
#[test_case(Lost::Targets, Leaving::Removed)]
#[test_case(Lost::Routes, Leaving::Said)]
#[test_case(Lost::Routes, Leaving::Removed)]
#[test_case(Lost::Both, Leaving::Said)]
#[test_case(Lost::Both, Leaving::Removed)]
#[tokio::test(start_paused = true)]
async fn leaving_target_is_detected_when_a_connection_is_silent(lost: Lost, how: Leaving) {
    let test = async {
        for phase in (0..4_000).step_by(250) {
            let watched = WatchedTable::start(&["t1", "t2"]).await;
            sleep(Duration::from_millis(phase)).await;
            lost.silence(&watched.source);
            sleep(Duration::from_millis(NOTICE_MILLIS)).await;
            let known = watched.leave("t1", how).await;
            assert!(known + SEND_MILLIS <= LEAVING_MILLIS, "{known} ms at phase {phase}");
            assert!(watched.is_usable("t2"));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against the same fault if the idle connection falls silent during the pause after a change, and
/// the next poll uses it.
#[tokio::test(start_paused = true)]
async fn leaving_target_is_detected_when_an_idle_connection_is_silent() {
    let test = async {
        for phase in (0..800).step_by(100) {
            let watched = WatchedTable::start(&["t1", "t2"]).await;
            watched.source.put("t3", TargetState::Ready);
            sleep(Duration::from_millis(phase + 10)).await;
            watched.source.next_lost.set(true);
            sleep(Duration::from_millis(NOTICE_MILLIS)).await;
            let known = watched.leave("t1", Leaving::Said).await;
            assert!(known + SEND_MILLIS <= LEAVING_MILLIS, "{known} ms at phase {phase}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against treating a silent connection as an outage: a row that disappears later has not expired,
/// so there is no grace period.
#[tokio::test(start_paused = true)]
async fn rows_removed_after_a_silent_connection_get_no_grace_period() {
    let test = async {
        for pause in [3_000, 4_000, 5_000, 6_000, 7_000] {
            let watched = WatchedTable::start(&["t1", "t2"]).await;
            Lost::Both.silence(&watched.source);
            sleep(Duration::from_millis(pause)).await;
            let known = watched.leave("t1", Leaving::Removed).await;
            assert!(known + SEND_MILLIS <= LEAVING_MILLIS, "{known} ms, {pause} ms after the silence");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against dropping targets whose rows expired during an outage of the table service and are written
/// again 1.5 s after its recovery.
#[test_case(SourceFault::Refusing)]
#[test_case(SourceFault::Silent)]
#[tokio::test(start_paused = true)]
async fn rows_expired_in_an_outage_are_kept_for_the_grace_period(fault: SourceFault) {
    let test = async {
        let watched = WatchedTable::start(&["t1", "t2"]).await;
        watched.source.fault.set(fault);
        sleep(Duration::from_secs(7)).await;
        watched.source.remove("t1");
        watched.source.fault.set(SourceFault::None);
        for _step in 0..15 {
            sleep(Duration::from_millis(100)).await;
            assert!(watched.is_usable("t1"), "t1 lives; its row lapsed");
        }
        watched.source.put("t1", TargetState::Ready);
        sleep(Duration::from_secs(3)).await;
        assert!(watched.is_usable("t1"));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against late detection if a target leaves within the pause after another change, also if
/// responses are slow.
#[test_case(4; "usual answers")]
#[test_case(300; "slow answers")]
#[tokio::test(start_paused = true)]
async fn leaving_target_is_detected_within_the_pause_after_a_change(answer_millis: u64) {
    let test = async {
        for pause in (0..1_200).step_by(100) {
            let watched = WatchedTable::start(&["t1", "t2"]).await;
            watched.source.answer_millis.set(answer_millis);
            watched.source.put("t3", TargetState::Ready);
            sleep(Duration::from_millis(pause)).await;
            let known = watched.leave("t1", Leaving::Said).await;
            assert!(known + SEND_MILLIS <= LEAVING_MILLIS, "{known} ms, {pause} ms after a change");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against proofs of routes that expire between two polls, and so against refusals while nothing
/// changes: the polls waited 3.3 s whatever the lifetime of a proof was.
#[test_case(600, 4, 500; "shortest")]
#[test_case(1_100, 300, 500; "short")]
#[test_case(1_600, 800, 500; "short and slow answers")]
#[test_case(2_600, 800, 1_300; "shorter than usual and slow answers")]
#[test_case(4_600, 800, 3_300; "usual")]
#[test_case(59_600, 800, 3_300; "long")]
#[tokio::test(start_paused = true)]
async fn proof_of_routes_is_renewed_before_it_expires(max_age: u64, answer_millis: u64, wait: u64) {
    let test = async {
        let watched = WatchedTable::start_with(&["t1"], max_age, 0).await;
        watched.source.answer_millis.set(answer_millis);
        let before = watched.source.routes_calls.get();
        for _step in 0..2_000 {
            sleep(Duration::from_millis(10)).await;
            let age = watched.state.borrow().routes_proof.age(watched.clock.now()).unwrap();
            assert!(age < max_age, "the proof is {age} ms old");
        }
        let calls = watched.source.routes_calls.get() - before;
        let most = 20_000 / (wait + answer_millis) + 1;
        assert!(calls <= most, "{calls} calls in 20 s");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against the same if a response about routes never comes: the next poll must be in time.
#[test_case(2_600)]
#[test_case(4_600)]
#[tokio::test(start_paused = true)]
async fn proof_of_routes_outlasts_a_lost_response(max_age: u64) {
    let test = async {
        for phase in (0..4_000).step_by(250) {
            let watched = WatchedTable::start_with(&["t1"], max_age, 0).await;
            sleep(Duration::from_millis(phase)).await;
            Lost::Routes.silence(&watched.source);
            for _step in 0..800 {
                sleep(Duration::from_millis(10)).await;
                let age = watched.state.borrow().routes_proof.age(watched.clock.now()).unwrap();
                assert!(age < max_age, "the proof is {age} ms old at phase {phase}");
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against refusals without end after a process was suspended during its first calls. Its bound of
/// the service's clock was then too low by the time of the suspension, so that proofs seemed older than they
/// were, and no poll was short enough to improve it.
#[test_case(1_600, 1_500)]
#[test_case(2_600, 2_500)]
#[test_case(4_600, 3_200)]
#[test_case(4_600, 4_500)]
#[tokio::test(start_paused = true)]
async fn proof_of_routes_recovers_from_suspended_first_calls(max_age: u64, suspend_first: u64) {
    let test = async {
        let watched = WatchedTable::start_with(&["t1"], max_age, suspend_first).await;
        for _step in 0..2_000 {
            sleep(Duration::from_millis(10)).await;
            let age = watched.state.borrow().routes_proof.age(watched.clock.now()).unwrap();
            assert!(age < max_age, "the proof is {age} ms old");
        }
    };
    LocalSet::new().run_until(test).await;
}
