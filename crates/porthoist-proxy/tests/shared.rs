//! Processes of a zone that hear of the tables from one that follows them, on virtual time.

use futures::future::LocalBoxFuture;
use porthoist_core::{BirthMillis, ClockSource, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::routes::{CallerLimits, ConfigVersion, RouteTable};
use porthoist_policy::proxy::targets::{TargetChange, TargetRecord, TargetState};
use porthoist_proxy::{
    ControlSource, ControlState, ControlTable, ControlWatch, NewsAsk, NewsPeers, RowSource, RowValue,
    SharedRows, SourceError, SourceFuture, Stamped, TableNews, TableReader, TableRow,
};
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use test_case::test_case;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

/// How old a proof of routes may be at most where keys that are taken away must run nothing after 5 s.
const PROOF_MILLIS: u64 = 4_600;
/// The same for targets, where operators allow 3 s to notice a loss and 2 s until a leaving target gets nothing new.
const TARGETS_MILLIS: u64 = 4_400;
/// Entries of the zone.
const ENTRIES: usize = 30;

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

/// Time of the runtime, from some moment on, which may be set apart from that of other processes.
#[derive(Debug)]
struct RuntimeClock {
    began: Instant,
    ahead: u64,
    /// Milliseconds in which the host was suspended: its timers stood still, its clock did not.
    suspended: AtomicU64,
}

impl RuntimeClock {
    fn ahead(millis: u64) -> Arc<Self> {
        Arc::new(Self { began: Instant::now(), ahead: millis, suspended: AtomicU64::new(0) })
    }
}

impl ClockSource for RuntimeClock {
    fn now(&self) -> UnixMillis {
        let suspended = self.suspended.load(Ordering::Relaxed);
        UnixMillis(1_000_000 + self.ahead + suspended + self.began.elapsed().as_millis() as u64)
    }
}

/// The table service, or the way of one process to it.
#[derive(Debug)]
struct TableService {
    began: Instant,
    rows: RefCell<BTreeMap<String, (RowValue, u64)>>,
    version: watch::Sender<u64>,
    /// No question is answered, or each is refused.
    silent: Cell<bool>,
    refusing: Cell<bool>,
    /// Questions that wait are lost when it increases.
    lost: watch::Sender<u64>,
    /// Questions that wait fail when it increases.
    reset: watch::Sender<u64>,
    calls: Cell<usize>,
    answer_millis: Cell<u64>,
    /// Milliseconds that its clock went on while the processes' timers stood still.
    ahead: Cell<u64>,
}

impl TableService {
    fn new() -> Rc<Self> {
        let service = Rc::new(Self {
            began: Instant::now(),
            rows: RefCell::default(),
            version: watch::Sender::new(1),
            silent: Cell::new(false),
            refusing: Cell::new(false),
            lost: watch::Sender::new(0),
            reset: watch::Sender::new(0),
            calls: Cell::new(0),
            answer_millis: Cell::new(4),
            ahead: Cell::new(0),
        });
        service.put("a", b"first");
        service.put("b", b"first");
        service
    }

    fn change(&self, key: &str, value: RowValue) {
        let version = *self.version.borrow() + 1;
        self.rows.borrow_mut().insert(key.to_owned(), (value, version));
        self.version.send_replace(version);
    }

    fn put(&self, key: &str, bytes: &[u8]) {
        self.change(key, RowValue::Bytes(bytes.to_vec()));
    }

    fn remove(&self, key: &str) {
        self.change(key, RowValue::Removed);
    }

    fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.lost.send_modify(|lost| *lost += 1);
    }

    fn rows(&self, fits: impl Fn(&RowValue, u64) -> bool) -> Stamped<Vec<TableRow>> {
        let rows = self.rows.borrow();
        let mut fitting: Vec<TableRow> = rows
            .iter()
            .filter(|(_key, (value, version))| fits(value, *version))
            .map(|(key, (value, version))| TableRow {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect();
        fitting.sort_by_key(|row| row.version);
        Stamped::of(
            fitting,
            *self.version.borrow(),
            self.began.elapsed().as_millis() as u64 + self.ahead.get(),
        )
    }

    async fn taken(&self) -> Result<(), SourceError> {
        self.calls.set(self.calls.get() + 1);
        sleep(Duration::from_millis(self.answer_millis.get())).await;
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        if self.refusing.get() { Err(SourceError::Refused(503)) } else { Ok(()) }
    }
}

/// One process's way to the service, which may be cut for it alone.
#[derive(Debug)]
struct ServiceWay {
    service: Rc<TableService>,
    cut: Cell<bool>,
    /// Each question over it fails at once.
    reset: Cell<bool>,
    calls: Cell<usize>,
}

impl ServiceWay {
    fn new(service: &Rc<TableService>) -> Rc<Self> {
        Rc::new(Self {
            service: Rc::clone(service),
            cut: Cell::new(false),
            reset: Cell::new(false),
            calls: Cell::new(0),
        })
    }

    async fn unless_lost<T>(
        &self,
        answer: impl Future<Output = Result<T, SourceError>>,
    ) -> Result<T, SourceError> {
        self.calls.set(self.calls.get() + 1);
        let mut lost = self.service.lost.subscribe();
        let mut reset = self.service.reset.subscribe();
        if self.cut.get() {
            std::future::pending::<()>().await;
        }
        if self.reset.get() {
            sleep(Duration::from_millis(1)).await;
            return Err(SourceError::Unavailable("reset".to_owned()));
        }
        tokio::select! {
            biased;
            _lost = lost.changed() => std::future::pending().await,
            _reset = reset.changed() => Err(SourceError::Unavailable("reset".to_owned())),
            answer = answer => answer,
        }
    }
}

impl RowSource for ServiceWay {
    fn list(&self, _table: ControlTable) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.unless_lost(async {
            self.service.taken().await?;
            Ok(self.service.rows(|value, _version| *value != RowValue::Removed))
        }))
    }

    fn after(&self, _table: ControlTable, revision: u64, wait: Duration) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.unless_lost(async move {
            self.service.taken().await?;
            let mut versions = self.service.version.subscribe();
            let newer = versions.wait_for(|version| *version > revision);
            // The end of the wait is an answer too.
            let _waited = timeout(wait, newer).await;
            if self.service.silent.get() {
                std::future::pending::<()>().await;
            }
            Ok(self.service.rows(|_value, version| version > revision))
        }))
    }
}

/// What is wrong with a process that follows the tables for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderFault {
    None,
    /// It answers nothing, and is connected to all the same.
    Frozen,
    /// Connections to it fail at once.
    Gone,
    /// It answers after so many milliseconds.
    Slow(u64),
    /// It says again and again what it said first.
    Repeating,
    /// It says that there is more than it passes on.
    Full,
}

#[derive(Debug)]
struct ReaderProcess {
    reader: RefCell<Rc<TableReader>>,
    way: Rc<ServiceWay>,
    fault: Cell<ReaderFault>,
    first: RefCell<Option<TableNews>>,
}

impl ReaderProcess {
    fn new(service: &Rc<TableService>) -> Rc<Self> {
        let way = ServiceWay::new(service);
        let reader = Self::reader(&way);
        Rc::new(Self {
            reader: RefCell::new(reader),
            way,
            fault: Cell::new(ReaderFault::None),
            first: RefCell::default(),
        })
    }

    fn reader(way: &Rc<ServiceWay>) -> Rc<TableReader> {
        let source: Rc<dyn RowSource> = Rc::<ServiceWay>::clone(way);
        // Its time of day is an hour ahead of the entries'.
        TableReader::new(source, RuntimeClock::ahead(3_600_000), logger())
    }

    /// It begins anew and knows nothing.
    fn restart(&self) {
        *self.reader.borrow_mut() = Self::reader(&self.way);
    }

    async fn news(&self, ask: NewsAsk) -> Result<TableNews, String> {
        match self.fault.get() {
            ReaderFault::Frozen => std::future::pending().await,
            ReaderFault::Gone => return Err("connection refused".to_owned()),
            ReaderFault::Slow(millis) => sleep(Duration::from_millis(millis)).await,
            ReaderFault::Full => return Ok(TableNews::TooMuch),
            ReaderFault::None | ReaderFault::Repeating => {}
        }
        let first = self.first.borrow().clone();
        if self.fault.get() == ReaderFault::Repeating
            && let Some(first) = first
        {
            sleep(Duration::from_millis(50)).await;
            return Ok(first);
        }
        let reader = Rc::clone(&self.reader.borrow());
        let news = reader.news(ask).await;
        if self.fault.get() == ReaderFault::Frozen {
            std::future::pending::<()>().await;
        }
        let mut first = self.first.borrow_mut();
        first.get_or_insert_with(|| news.clone());
        Ok(news)
    }
}

/// The processes that an entry may ask, with the way to each.
#[derive(Debug)]
struct Zone(Vec<Rc<ReaderProcess>>);

impl NewsPeers for Zone {
    fn hosts(&self) -> Vec<Ipv4Addr> {
        (0..self.0.len()).map(|index| Ipv4Addr::new(10, 0, 0, index as u8)).collect()
    }

    fn news(&self, host: Ipv4Addr, ask: NewsAsk) -> LocalBoxFuture<'_, Result<TableNews, String>> {
        Box::pin(self.0[usize::from(host.octets()[3])].news(ask))
    }
}

/// Reads a row's key as a target, and the row `config` as routes.
#[derive(Debug)]
struct PlainSource(Rc<dyn RowSource>);

impl PlainSource {
    fn change(row: &TableRow) -> TargetChange {
        let id: porthoist_core::TargetName = row.key.parse().unwrap();
        match &row.value {
            RowValue::Bytes(bytes) => TargetChange::Put(TargetRecord {
                id,
                born: BirthMillis::default(),
                service: "s".parse().unwrap(),
                address: ([10, 1, 0, row.key.as_bytes()[0]], 80).into(),
                zone: "z".parse().unwrap(),
                slots: 1,
                state: if bytes.starts_with(b"leaving") { TargetState::Draining } else { TargetState::Ready },
            }),
            RowValue::Unreadable(_) => TargetChange::Unusable(id),
            RowValue::Removed => TargetChange::Gone(id),
        }
    }

    fn routes(rows: &[TableRow]) -> Option<RouteTable> {
        let row = rows.iter().rfind(|row| row.key == "a")?;
        let limits = CallerLimits { header_bytes: 1, body_bytes: 1, idle_millis: 1 };
        Some(RouteTable::new(ConfigVersion(row.version), limits, Vec::new(), Vec::new(), None))
    }
}

impl ControlSource for PlainSource {
    fn list_routes(&self) -> SourceFuture<'_, Option<RouteTable>> {
        Box::pin(async { Ok(self.0.list(ControlTable::Routes).await?.map(|rows| Self::routes(&rows))) })
    }

    fn routes_after(&self, revision: u64, wait: Duration) -> SourceFuture<'_, Option<RouteTable>> {
        Box::pin(async move {
            let rows = self.0.after(ControlTable::Routes, revision, wait).await?;
            Ok(rows.map(|rows| Self::routes(&rows)))
        })
    }

    fn list_targets(&self) -> SourceFuture<'_, Vec<TargetChange>> {
        Box::pin(async {
            let rows = self.0.list(ControlTable::Targets).await?;
            Ok(rows.map(|rows| rows.iter().map(Self::change).collect()))
        })
    }

    fn targets_after(&self, revision: u64, wait: Duration) -> SourceFuture<'_, Vec<TargetChange>> {
        Box::pin(async move {
            let rows = self.0.after(ControlTable::Targets, revision, wait).await?;
            Ok(rows.map(|rows| rows.iter().map(Self::change).collect()))
        })
    }

    fn paces_itself(&self) -> bool {
        self.0.paces_itself()
    }

    fn patience(&self, wait: Duration) -> Duration {
        self.0.patience(wait)
    }
}

/// An entry of the zone.
struct Entry {
    state: watch::Receiver<ControlState>,
    way: Rc<ServiceWay>,
    clock: Arc<RuntimeClock>,
}

impl Entry {
    fn start(service: &Rc<TableService>, zone: &Rc<Zone>) -> Self {
        let way = ServiceWay::new(service);
        let clock = RuntimeClock::ahead(0);
        let metrics = Arc::new(MetricsHub::new().unwrap());
        let peers: Rc<dyn NewsPeers> = Rc::<Zone>::clone(zone);
        let shared_clock: Arc<dyn ClockSource> = Arc::<RuntimeClock>::clone(&clock);
        let rows = SharedRows::new(
            Rc::<ServiceWay>::clone(&way),
            peers,
            shared_clock,
            Arc::clone(&metrics),
            logger(),
        );
        let sender = watch::Sender::new(ControlState::default());
        let state = sender.subscribe();
        let watch = ControlWatch::builder()
            .source(Rc::new(PlainSource(rows)))
            .state(sender)
            .clock(Arc::<RuntimeClock>::clone(&clock))
            .metrics(metrics)
            .logger(logger())
            .build();
        tokio::task::spawn_local(async move { watch.run().await });
        Self { state, way, clock }
    }

    fn targets(&self) -> HashMap<String, TargetState> {
        let state = self.state.borrow();
        state.targets.records().map(|record| (record.id.to_string(), record.state)).collect()
    }

    /// How old the proofs of routes and of targets are; as old as anything without one.
    fn ages(&self) -> (u64, u64) {
        let state = self.state.borrow();
        let age = |proof: &porthoist_policy::proxy::freshness::FreshnessProof| {
            proof.age(self.clock.now()).unwrap_or(u64::MAX)
        };
        (age(&state.proof), age(&state.targets_proof))
    }
}

/// A zone of entries with some processes that may follow the tables for them.
struct Deployment {
    service: Rc<TableService>,
    zone: Rc<Zone>,
    entries: Vec<Entry>,
}

impl Deployment {
    async fn start(entries: usize, readers: usize) -> Self {
        let service = TableService::new();
        let zone = Rc::new(Zone((0..readers).map(|_reader| ReaderProcess::new(&service)).collect()));
        let entries = (0..entries).map(|_entry| Entry::start(&service, &zone)).collect();
        let deployment = Self { service, zone, entries };
        sleep(Duration::from_secs(5)).await;
        deployment
    }

    fn reader(&self, index: usize) -> &ReaderProcess {
        &self.zone.0[index]
    }

    /// Watches for a time that no entry's proofs get too old.
    async fn stay_fresh(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for (number, entry) in self.entries.iter().enumerate() {
                let (routes, targets) = entry.ages();
                assert!(routes <= PROOF_MILLIS, "entry {number}: the proof of routes is {routes} ms old");
                assert!(targets <= TARGETS_MILLIS, "entry {number}: that of targets is {targets} ms old");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until all entries see it; returns the milliseconds that this took.
    async fn until_all(&self, seen: impl Fn(&Entry) -> bool) -> u64 {
        let began = Instant::now();
        while !self.entries.iter().all(&seen) {
            assert!(began.elapsed() < Duration::from_secs(30), "not all entries see it");
            sleep(Duration::from_millis(10)).await;
        }
        began.elapsed().as_millis() as u64
    }
}

async fn play(test: impl AsyncFnOnce()) {
    LocalSet::new().run_until(test()).await;
}

/// Calls of a zone of thirty entries in a calm minute: 20 by the process that follows each table, and some.
const CALM_CALLS: usize = 60;

#[tokio::test(start_paused = true)]
async fn one_process_asks_for_a_zone_in_calm_times() {
    play(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        let before = zone.service.calls.get();
        zone.stay_fresh(Duration::from_mins(1)).await;
        let calls = zone.service.calls.get() - before;
        assert!(calls <= CALM_CALLS, "{calls} calls in a minute");
        let own: usize = zone.entries.iter().map(|entry| entry.way.calls.get()).sum();
        assert!(own <= ENTRIES * 4, "{own} calls of entries since their start");
    })
    .await;
}

/// Changes are known in all entries within what a hop takes, however they come.
#[tokio::test(start_paused = true)]
async fn changes_are_passed_on_at_once() {
    play(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        zone.service.put("b", b"leaving");
        let took = zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
        assert!(took <= 900, "{took} ms, of which the last change may have kept 800");
        zone.service.remove("b");
        zone.until_all(|entry| !entry.targets().contains_key("b")).await;
        zone.service.put("c", b"new");
        zone.until_all(|entry| entry.targets().contains_key("c")).await;
    })
    .await;
}

/// Whatever the process that follows the tables does, no belief gets too old, and changes are known in time.
#[test_case(ReaderFault::Frozen; "frozen")]
#[test_case(ReaderFault::Gone; "gone")]
#[test_case(ReaderFault::Slow(1_100); "slow, and still in time")]
#[test_case(ReaderFault::Slow(2_500); "too slow")]
#[test_case(ReaderFault::Repeating; "repeating old news")]
#[tokio::test(start_paused = true)]
async fn a_reader_that_fails_makes_no_belief_too_old(fault: ReaderFault) {
    play(async || {
        for all in [false, true] {
            let zone = Deployment::start(4, 2).await;
            zone.reader(0).fault.set(fault);
            if all {
                zone.reader(1).fault.set(fault);
            }
            zone.stay_fresh(Duration::from_secs(12)).await;
            zone.service.put("b", b"leaving");
            let took = zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
            assert!(took <= TARGETS_MILLIS + 600, "{took} ms until a leaving target was known");
            zone.stay_fresh(Duration::from_secs(6)).await;
        }
    })
    .await;
}

/// Hosts are suspended and wake: what they believed is as old as it is at once, and is renewed by their next question, not at
/// the end of the one that they had asked before.
#[tokio::test(start_paused = true)]
async fn suspended_time_makes_beliefs_old() {
    play(async || {
        for (phase, frozen) in (0..10).flat_map(|phase| [(phase, false), (phase, true)]) {
            let millis = 6_000;
            let zone = Deployment::start(4, 1).await;
            sleep(Duration::from_millis(phase * 300)).await;
            // The process that they asked does not wake with them.
            zone.reader(0).fault.set(if frozen { ReaderFault::Frozen } else { ReaderFault::None });
            zone.service.ahead.set(millis);
            for entry in &zone.entries {
                entry.clock.suspended.store(millis, Ordering::Relaxed);
                let (routes, targets) = entry.ages();
                assert!(routes >= millis && targets >= millis, "{routes} and {targets} ms old");
            }
            // The question that another process holds back ends by a timer.
            sleep(Duration::from_millis(1_320)).await;
            zone.stay_fresh(Duration::from_secs(6)).await;
        }
    })
    .await;
}

/// An entry that is cut off from the service, while others say that there is much to fetch, tries it now and then only.
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_does_not_try_without_a_pause() {
    play(async || {
        let zone = Deployment::start(4, 2).await;
        zone.entries[0].way.reset.set(true);
        zone.reader(0).fault.set(ReaderFault::Full);
        zone.reader(1).fault.set(ReaderFault::Full);
        let before = zone.entries[0].way.calls.get();
        sleep(Duration::from_secs(8)).await;
        let tried = zone.entries[0].way.calls.get() - before;
        assert!((1..=16).contains(&tried), "{tried} questions in 8 s");
    })
    .await;
}

/// A process that knows less than an entry changes nothing of what the entry knows.
#[tokio::test(start_paused = true)]
async fn old_news_never_follow_newer_ones() {
    play(async || {
        let zone = Deployment::start(4, 1).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
        let version = zone.entries[0].state.borrow().routes.as_ref().unwrap().version;
        zone.reader(0).fault.set(ReaderFault::Repeating);
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            for entry in &zone.entries {
                assert_eq!(entry.targets()["b"], TargetState::Draining);
                assert!(entry.state.borrow().routes.as_ref().unwrap().version >= version);
            }
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
}

/// A process that begins anew knows no removals of before, and what it tells holds all the same.
#[tokio::test(start_paused = true)]
async fn a_reader_that_begins_anew_tells_of_removals_that_it_did_not_see() {
    play(async || {
        let zone = Deployment::start(4, 1).await;
        zone.reader(0).fault.set(ReaderFault::Gone);
        zone.service.remove("b");
        zone.service.put("c", b"new");
        zone.reader(0).restart();
        zone.reader(0).fault.set(ReaderFault::None);
        zone.until_all(|entry| !entry.targets().contains_key("b") && entry.targets().contains_key("c")).await;
        zone.stay_fresh(Duration::from_secs(10)).await;
    })
    .await;
}

/// One whose own way to the table service is cut says so, and another one is asked.
#[tokio::test(start_paused = true)]
async fn a_reader_that_is_cut_off_from_the_service_is_left_for_another() {
    play(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        zone.reader(0).way.cut.set(true);
        zone.stay_fresh(Duration::from_secs(20)).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
    })
    .await;
}

/// An entry that alone can't reach the table service hears of it from its zone, with the true age.
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_hears_of_the_tables_from_its_zone() {
    play(async || {
        let zone = Deployment::start(4, 2).await;
        zone.entries[2].way.cut.set(true);
        zone.stay_fresh(Duration::from_secs(20)).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
    })
    .await;
}

/// What an outage of 8 s may cost a zone of thirty entries in calls; each asking for itself made 900.
const OUTAGE_CALLS: usize = 300;

/// While the table service is away for all, few ask for it; its return is known at once.
#[test_case(true; "silent")]
#[test_case(false; "refusing")]
#[tokio::test(start_paused = true)]
async fn few_ask_while_the_service_is_away_and_all_know_of_its_return(silent: bool) {
    play(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        if silent {
            zone.service.set_silent(true);
        } else {
            zone.service.refusing.set(true);
        }
        let before = zone.service.calls.get();
        sleep(Duration::from_secs(8)).await;
        let calls = zone.service.calls.get() - before;
        assert!(calls <= OUTAGE_CALLS, "{calls} calls while it was away");
        for entry in &zone.entries {
            assert!(entry.ages().0 > PROOF_MILLIS, "what nobody can know is not believed to be fresh");
        }
        zone.service.put("b", b"leaving");
        if silent {
            zone.service.set_silent(false);
        } else {
            zone.service.refusing.set(false);
        }
        let took = zone.until_all(|entry| entry.ages().0 < 1_000 && entry.ages().1 < 1_000).await;
        assert!(took <= 1_000, "{took} ms until all had proof again");
        assert!(zone.entries.iter().all(|entry| entry.targets()["b"] == TargetState::Draining));
    })
    .await;
}

/// Rows that lapsed in an outage are missing for some time after it. An entry that heard of the outage only from the
/// process it asks keeps them for the same grace.
#[tokio::test(start_paused = true)]
async fn rows_that_lapsed_in_an_outage_have_their_grace_with_all() {
    play(async || {
        let zone = Deployment::start(4, 1).await;
        // Too short for entries to miss an answer, and noticed by the process that they ask.
        zone.service.refusing.set(true);
        zone.service.reset.send_modify(|resets| *resets += 1);
        sleep(Duration::from_millis(800)).await;
        zone.service.remove("b");
        zone.service.refusing.set(false);
        sleep(Duration::from_millis(1_300)).await;
        let own: usize = zone.entries.iter().map(|entry| entry.way.calls.get()).sum();
        assert!(own <= zone.entries.len() * 4, "no entry noticed it itself");
        for entry in &zone.entries {
            assert!(entry.targets().contains_key("b"), "it may be back within two seconds of the return");
        }
        zone.until_all(|entry| !entry.targets().contains_key("b")).await;
    })
    .await;
}

/// Without any process to ask, an entry does as it always did.
#[tokio::test(start_paused = true)]
async fn a_zone_without_readers_asks_for_itself() {
    play(async || {
        let zone = Deployment::start(2, 0).await;
        zone.stay_fresh(Duration::from_secs(10)).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
    })
    .await;
}

/// Questions that went out in the last moments of a silent outage get no answer, though the service is back. A change that
/// was accepted then must be in force within what operators allow after the return.
const IN_FORCE_MILLIS: u64 = 2_000;

#[test_case(0; "entries that ask for themselves")]
#[test_case(2; "entries that ask others")]
#[tokio::test(start_paused = true)]
async fn a_change_of_the_last_moments_of_a_silence_is_in_force_in_time(readers: usize) {
    play(async || {
        for outage in [1_300, 2_700, 3_300, 3_900, 4_700, 6_100] {
            let zone = Deployment::start(6, readers).await;
            zone.service.set_silent(true);
            sleep(Duration::from_millis(outage)).await;
            zone.service.put("a", b"changed");
            let newest = *zone.service.version.borrow();
            sleep(Duration::from_millis(40)).await;
            zone.service.set_silent(false);
            let adopted = |entry: &Entry| {
                let state = entry.state.borrow();
                state.routes.as_ref().is_some_and(|routes| routes.version == ConfigVersion(newest))
            };
            let took = zone.until_all(adopted).await;
            // A question that waits when its connection falls silent is given up after 4.2 s.
            let waited = 4_200_u64.saturating_sub(outage);
            assert!(took <= IN_FORCE_MILLIS + waited, "{took} ms after an outage of {outage} ms");
        }
    })
    .await;
}
