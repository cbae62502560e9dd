//! A simulated zone of entries and readers with faults, on virtual time.

use futures::future::LocalBoxFuture;
use porthoist_core::{ClockSource, StartMillis, UnixMillis, ZoneName};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::change_bound::ChangeBound;
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::routes::{CallerLimits, ConfigVersion, RouteTable};
use porthoist_policy::proxy::targets::{TargetChange, TargetRecord, TargetState};
use porthoist_policy::proxy::zones::{ZoneChange, ZoneUpdate};
use porthoist_proxy::{
    CRASH_POLL_TIMEOUT, ControlSource, ControlState, ControlTable, ControlWatch, OperatorUpdate,
    PeerRowSource, RowSource, RowValue, SourceAnswer, SourceError, SourceFuture, TableEra, TablePeers,
    TableQuery, TableReader, TableRevision, TableRow, TableUpdate,
};
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

/// Maximum age of the proof of routes if revoked keys must run nothing after 5 s.
pub const PROOF_MILLIS: u64 = 4_600;
/// Maximum age of the proof of targets if operators allow 3 s to detect a loss and 2 s until a draining
/// target receives nothing new.
pub const TARGETS_MILLIS: u64 = 4_400;
/// Number of entries of the zone.
pub const ENTRIES: usize = 30;

pub fn logger() -> Logger {
    Logger::root(Discard, o!())
}

/// The runtime's virtual time with an arbitrary origin, which may differ from that of other processes.
#[derive(Debug)]
pub struct RuntimeClock {
    pub began: Instant,
    pub ahead: u64,
    /// Milliseconds in which the host was suspended: its timers stopped, its clock did not.
    pub suspended: AtomicU64,
}

impl RuntimeClock {
    pub fn ahead(millis: u64) -> Arc<Self> {
        Arc::new(Self { began: Instant::now(), ahead: millis, suspended: AtomicU64::new(0) })
    }
}

impl ClockSource for RuntimeClock {
    fn now(&self) -> UnixMillis {
        let suspended = self.suspended.load(Ordering::Relaxed);
        UnixMillis(1_000_000 + self.ahead + suspended + self.began.elapsed().as_millis() as u64)
    }
}

/// Backup of the table service: rows with their versions, and the newest version.
pub type ServiceBackup = (BTreeMap<String, (RowValue, u64)>, u64);

/// The table service.
#[derive(Debug)]
pub struct TableService {
    pub began: Instant,
    pub rows: RefCell<BTreeMap<String, (RowValue, u64)>>,
    pub version: watch::Sender<u64>,
    pub era: Cell<TableEra>,
    /// No call is answered, or each is refused.
    pub silent: Cell<bool>,
    pub refusing: Cell<bool>,
    /// Incremented to lose pending calls.
    pub lost: watch::Sender<u64>,
    /// Incremented to fail pending calls.
    pub reset: watch::Sender<u64>,
    pub calls: Cell<usize>,
    pub answer_millis: Cell<u64>,
    /// Milliseconds by which its clock advanced while the processes' timers were stopped.
    pub ahead: Cell<u64>,
}

impl TableService {
    /// Creates a service with rows.
    pub fn new() -> Rc<Self> {
        let service = Self::empty();
        service.put("a", b"first");
        service.put("b", b"first");
        service
    }

    pub fn empty() -> Rc<Self> {
        Rc::new(Self {
            began: Instant::now(),
            rows: RefCell::default(),
            version: watch::Sender::new(1),
            era: Cell::default(),
            silent: Cell::new(false),
            refusing: Cell::new(false),
            lost: watch::Sender::new(0),
            reset: watch::Sender::new(0),
            calls: Cell::new(0),
            answer_millis: Cell::new(4),
            ahead: Cell::new(0),
        })
    }

    pub fn change(&self, key: &str, value: RowValue) {
        let version = *self.version.borrow() + 1;
        self.rows.borrow_mut().insert(key.to_owned(), (value, version));
        self.version.send_replace(version);
    }

    pub fn put(&self, key: &str, bytes: &[u8]) {
        self.change(key, RowValue::Bytes(bytes.to_vec()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, RowValue::Removed);
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.lost.send_modify(|lost| *lost += 1);
    }

    fn revision(&self, version: u64) -> TableRevision {
        TableRevision::new(self.era.get(), version)
    }

    /// Returns the number of a revision. Fails if the revision is not part of the current history.
    pub fn revision_number(&self, revision: TableRevision) -> Result<u64, SourceError> {
        if revision.era != self.era.get() || revision.number > *self.version.borrow() {
            return Err(SourceError::HistoryGone);
        }
        Ok(revision.number)
    }

    pub fn backup(&self) -> ServiceBackup {
        (self.rows.borrow().clone(), *self.version.borrow())
    }

    /// Restores a backup: later writes are lost and their versions are reused.
    pub fn restore(&self, (rows, version): &ServiceBackup) {
        *self.rows.borrow_mut() = rows.clone();
        self.era.set(TableEra(self.era.get().0 + 1));
        self.version.send_replace(*version);
    }

    /// Refuses all calls, including pending ones.
    pub fn refuse_all(&self) {
        self.refusing.set(true);
        self.reset.send_modify(|resets| *resets += 1);
    }

    pub fn rows(&self, fits: impl Fn(&RowValue, u64) -> bool) -> SourceAnswer<Vec<TableRow>> {
        let rows = self.rows.borrow();
        let mut fitting: Vec<TableRow> = rows
            .iter()
            .filter(|(_key, (value, version))| fits(value, *version))
            .map(|(key, (value, version))| TableRow {
                key: key.clone(),
                value: value.clone(),
                version: self.revision(*version),
            })
            .collect();
        fitting.sort_by_key(|row| row.version);
        SourceAnswer::of(
            fitting,
            self.revision(*self.version.borrow()),
            self.began.elapsed().as_millis() as u64 + self.ahead.get(),
        )
    }

    pub async fn receive(&self) -> Result<(), SourceError> {
        self.calls.set(self.calls.get() + 1);
        sleep(Duration::from_millis(self.answer_millis.get())).await;
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        if self.refusing.get() { Err(SourceError::Refused(503)) } else { Ok(()) }
    }
}

/// One process's connection to the service, which may be cut for it alone.
#[derive(Debug)]
pub struct ServiceLink {
    pub service: Rc<TableService>,
    pub cut: Cell<bool>,
    /// Each call over it fails at once.
    pub reset: Cell<bool>,
    pub calls: Cell<usize>,
    /// Incremented to lose this process's pending calls.
    lost: watch::Sender<u64>,
    /// Incremented to fail this process's pending calls.
    rejected: watch::Sender<u64>,
    /// Number of next calls that are never answered.
    lost_next: Cell<usize>,
}

impl ServiceLink {
    pub fn new(service: &Rc<TableService>) -> Rc<Self> {
        Rc::new(Self {
            service: Rc::clone(service),
            cut: Cell::new(false),
            reset: Cell::new(false),
            calls: Cell::new(0),
            lost: watch::Sender::new(0),
            rejected: watch::Sender::new(0),
            lost_next: Cell::new(0),
        })
    }

    /// Loses pending and later calls, or only ends that.
    pub fn set_silent(&self, silent: bool) {
        self.cut.set(silent);
        if silent {
            self.lose_pending();
        }
    }

    /// Rejects pending and later calls, or only ends that.
    pub fn reject(&self, rejecting: bool) {
        self.reset.set(rejecting);
        if rejecting {
            self.rejected.send_modify(|rejected| *rejected += 1);
        }
    }

    /// Loses pending calls.
    pub fn lose_pending(&self) {
        self.lost.send_modify(|lost| *lost += 1);
    }

    /// Loses the next call.
    pub fn lose_next(&self) {
        self.lost_next.set(self.lost_next.get() + 1);
    }

    pub async fn unless_lost<T>(
        &self,
        answer: impl Future<Output = Result<T, SourceError>>,
    ) -> Result<T, SourceError> {
        self.calls.set(self.calls.get() + 1);
        let mut lost = self.service.lost.subscribe();
        let mut reset = self.service.reset.subscribe();
        let mut own_lost = self.lost.subscribe();
        let mut own_rejected = self.rejected.subscribe();
        let is_lost = self.lost_next.get() > 0;
        self.lost_next.set(self.lost_next.get().saturating_sub(1));
        if self.cut.get() || is_lost {
            std::future::pending::<()>().await;
        }
        if self.reset.get() {
            sleep(Duration::from_millis(1)).await;
            return Err(SourceError::Unavailable("reset".to_owned()));
        }
        tokio::select! {
            biased;
            _lost = lost.changed() => std::future::pending().await,
            _lost = own_lost.changed() => std::future::pending().await,
            _reset = reset.changed() => Err(SourceError::Unavailable("reset".to_owned())),
            _rejected = own_rejected.changed() => Err(SourceError::Unavailable("reset".to_owned())),
            answer = answer => answer,
        }
    }
}

impl RowSource for ServiceLink {
    fn list(&self, _table: ControlTable) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.unless_lost(async {
            self.service.receive().await?;
            Ok(self.service.rows(|value, _version| *value != RowValue::Removed))
        }))
    }

    fn changes_after(
        &self,
        _table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.unless_lost(async move {
            self.service.receive().await?;
            let era = revision.era;
            let revision = self.service.revision_number(revision)?;
            let mut versions = self.service.version.subscribe();
            let newer = versions.wait_for(|version| *version > revision);
            // The end of the wait is a response too.
            let _waited = timeout(wait, newer).await;
            if self.service.silent.get() {
                std::future::pending::<()>().await;
            }
            let revision = self.service.revision_number(TableRevision::new(era, revision))?;
            Ok(self.service.rows(|_value, version| version > revision))
        }))
    }
}

/// Fault of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderFault {
    None,
    /// It accepts connections but does not respond.
    Frozen,
    /// Connections to it fail at once.
    Gone,
    /// It responds after this many milliseconds.
    Slow(u64),
    /// Its responses arrive this many milliseconds after they were made.
    Delayed(u64),
    /// It repeats its first response.
    Repeating,
    /// It reports that each update is too large.
    Full,
}

#[derive(Debug)]
pub struct ReaderProcess {
    pub reader: RefCell<Rc<TableReader>>,
    pub link: Rc<ServiceLink>,
    pub fault: Cell<ReaderFault>,
    pub first: RefCell<Option<TableUpdate>>,
}

impl ReaderProcess {
    pub fn new(service: &Rc<TableService>) -> Rc<Self> {
        let link = ServiceLink::new(service);
        let reader = Self::reader(&link);
        Rc::new(Self {
            reader: RefCell::new(reader),
            link,
            fault: Cell::new(ReaderFault::None),
            first: RefCell::default(),
        })
    }

    pub fn reader(link: &Rc<ServiceLink>) -> Rc<TableReader> {
        let source: Rc<dyn RowSource> = Rc::<ServiceLink>::clone(link);
        // Its time of day is an hour ahead of the entries'.
        TableReader::new(source, RuntimeClock::ahead(3_600_000), logger())
    }

    /// Replaces the reader by one that knows nothing.
    pub fn restart(&self) {
        *self.reader.borrow_mut() = Self::reader(&self.link);
    }

    pub async fn query(&self, query: TableQuery) -> Result<TableUpdate, String> {
        match self.fault.get() {
            ReaderFault::Frozen => std::future::pending().await,
            ReaderFault::Gone => return Err("connection refused".to_owned()),
            ReaderFault::Slow(millis) => sleep(Duration::from_millis(millis)).await,
            ReaderFault::Full => return Ok(TableUpdate::TooLarge),
            ReaderFault::None | ReaderFault::Delayed(_) | ReaderFault::Repeating => {}
        }
        let first = self.first.borrow().clone();
        if self.fault.get() == ReaderFault::Repeating
            && let Some(first) = first
        {
            sleep(Duration::from_millis(50)).await;
            return Ok(first);
        }
        let reader = Rc::clone(&self.reader.borrow());
        let update = reader.query(query).await;
        match self.fault.get() {
            ReaderFault::Frozen => std::future::pending().await,
            ReaderFault::Delayed(millis) => sleep(Duration::from_millis(millis)).await,
            _ => {}
        }
        let mut first = self.first.borrow_mut();
        first.get_or_insert_with(|| update.clone());
        Ok(update)
    }
}

/// The readers that an entry may query.
#[derive(Debug)]
pub struct ZoneReaders {
    pub readers: Vec<Rc<ReaderProcess>>,
    /// Whether entries know of them.
    pub known: Cell<bool>,
}

impl TablePeers for ZoneReaders {
    fn hosts(&self) -> Vec<Ipv4Addr> {
        let readers = if self.known.get() { self.readers.len() } else { 0 };
        (0..readers).map(|index| Ipv4Addr::new(10, 0, 0, index as u8)).collect()
    }

    fn query(
        &self,
        host: Ipv4Addr,
        query: TableQuery,
        answer_timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<TableUpdate, String>> {
        let asked = self.readers[usize::from(host.octets()[3])].query(query);
        Box::pin(async move {
            let answered = timeout(query.hold + answer_timeout, asked).await;
            answered.unwrap_or_else(|_elapsed| Err("no news in time".to_owned()))
        })
    }
}

/// Parses each row as a target, row `a` also as routes, and rows `emptied-ZONE` also as emptied zones.
#[derive(Debug)]
pub struct PlainSource(pub Rc<dyn RowSource>);

impl PlainSource {
    pub fn change(row: &TableRow) -> TargetChange {
        let id: porthoist_core::TargetName = row.key.parse().unwrap();
        match &row.value {
            RowValue::Bytes(bytes) => TargetChange::Put(TargetRecord {
                id,
                born: StartMillis::default(),
                service: "s".parse().unwrap(),
                address: ([10, 1, 0, row.key.as_bytes()[0]], 80).into(),
                zone: "z".parse().unwrap(),
                slots: 1,
                state: if bytes.starts_with(b"leaving") { TargetState::Draining } else { TargetState::Ready },
                cold: ColdStatus::Unknown,
            }),
            RowValue::Unreadable(_) => TargetChange::Unusable(id),
            RowValue::Removed => TargetChange::Gone(id),
        }
    }

    /// Returns the zone of an `emptied-ZONE` row.
    pub fn emptied_zone(row: &TableRow) -> Option<ZoneName> {
        row.key.strip_prefix("emptied-").map(|zone| zone.parse().unwrap())
    }

    pub fn routes(rows: &[TableRow]) -> Option<RouteTable> {
        let row = rows.iter().rfind(|row| row.key == "a")?;
        let limits = CallerLimits { header_bytes: 1, body_bytes: 1, idle_millis: 1 };
        let version_text = match &row.value {
            RowValue::Bytes(bytes) => {
                std::str::from_utf8(bytes).ok().and_then(|text| text.strip_prefix("version "))
            }
            RowValue::Unreadable(_) | RowValue::Removed => None,
        };
        let version = version_text.map_or(row.version.number, |version| version.parse().unwrap());
        Some(RouteTable::new(ConfigVersion(version), limits, Vec::new(), Vec::new(), None))
    }
}

impl ControlSource for PlainSource {
    fn list_routes(&self) -> SourceFuture<'_, OperatorUpdate> {
        Box::pin(async {
            let listed = self.0.list(ControlTable::Routes).await?;
            let emptied = |rows: &[TableRow]| rows.iter().filter_map(Self::emptied_zone).collect();
            Ok(listed.map(|rows| OperatorUpdate {
                routes: Self::routes(&rows),
                zones: ZoneUpdate::Listed(emptied(&rows)),
            }))
        })
    }

    fn routes_after(&self, revision: TableRevision, wait: Duration) -> SourceFuture<'_, OperatorUpdate> {
        Box::pin(async move {
            let rows = self.0.changes_after(ControlTable::Routes, revision, wait).await?;
            let change = |row: &TableRow| {
                let zone = Self::emptied_zone(row)?;
                let removed = row.value == RowValue::Removed;
                Some(if removed { ZoneChange::Restored(zone) } else { ZoneChange::Emptied(zone) })
            };
            let changes = |rows: &[TableRow]| rows.iter().filter_map(change).collect();
            Ok(rows.map(|rows| OperatorUpdate {
                routes: Self::routes(&rows),
                zones: ZoneUpdate::Changed(changes(&rows)),
            }))
        })
    }

    fn list_targets(&self) -> SourceFuture<'_, Vec<TargetChange>> {
        Box::pin(async {
            let rows = self.0.list(ControlTable::Targets).await?;
            Ok(rows.map(|rows| rows.iter().map(Self::change).collect()))
        })
    }

    fn targets_after(&self, revision: TableRevision, wait: Duration) -> SourceFuture<'_, Vec<TargetChange>> {
        Box::pin(async move {
            let rows = self.0.changes_after(ControlTable::Targets, revision, wait).await?;
            Ok(rows.map(|rows| rows.iter().map(Self::change).collect()))
        })
    }

    fn handles_backoff(&self) -> bool {
        self.0.handles_backoff()
    }

    fn failed_call(&self) -> Option<UnixMillis> {
        self.0.failed_call()
    }

    fn is_shared(&self) -> bool {
        self.0.is_shared()
    }

    fn answer_timeout(&self, wait: Duration) -> Duration {
        self.0.answer_timeout(wait)
    }
}

/// An entry of the zone.
pub struct EntryProcess {
    pub state: watch::Receiver<ControlState>,
    pub link: Rc<ServiceLink>,
    pub clock: Arc<RuntimeClock>,
    /// Rows of the crash table, by key.
    pub crash_rows: Rc<RefCell<HashMap<String, RowValue>>>,
}

impl EntryProcess {
    pub fn start(
        service: &Rc<TableService>,
        zone: &Rc<ZoneReaders>,
        proof_millis: u64,
        change_bound: ChangeBound,
    ) -> Self {
        let link = ServiceLink::new(service);
        let clock = RuntimeClock::ahead(0);
        let metrics = Arc::new(MetricsHub::new().unwrap());
        let peers: Rc<dyn TablePeers> = Rc::<ZoneReaders>::clone(zone);
        let shared_clock: Arc<dyn ClockSource> = Arc::<RuntimeClock>::clone(&clock);
        let rows = PeerRowSource::builder()
            .table_service(Rc::<ServiceLink>::clone(&link))
            .peers(peers)
            .change_bound(change_bound)
            .clock(shared_clock)
            .metrics(Arc::clone(&metrics))
            .logger(logger())
            .build();
        let crash_rows = Rc::default();
        if change_bound != ChangeBound::default() {
            let wait = change_bound.service_wait(CRASH_POLL_TIMEOUT);
            tokio::task::spawn_local(follow_crash_rows(
                Rc::<PeerRowSource>::clone(&rows),
                wait,
                Rc::clone(&crash_rows),
            ));
        }
        let sender = watch::Sender::new(ControlState::default());
        let state = sender.subscribe();
        let watch = ControlWatch::builder()
            .max_proof_age_millis(proof_millis)
            .change_bound(change_bound)
            .source(Rc::new(PlainSource(rows)))
            .state(sender)
            .clock(Arc::<RuntimeClock>::clone(&clock))
            .metrics(metrics)
            .logger(logger())
            .build();
        tokio::task::spawn_local(async move { watch.run().await });
        Self { state, link, clock, crash_rows }
    }

    pub fn targets(&self) -> HashMap<String, TargetState> {
        let state = self.state.borrow();
        state.targets.records().map(|record| (record.id.to_string(), record.state)).collect()
    }

    /// Returns the ages of the proofs of routes and of targets, or the maximum without a proof.
    pub fn ages(&self) -> (u64, u64) {
        let state = self.state.borrow();
        let age = |proof: &porthoist_policy::proxy::freshness::FreshnessProof| {
            proof.age(self.clock.now()).unwrap_or(u64::MAX)
        };
        (age(&state.routes_proof), age(&state.targets_proof))
    }
}

/// Follows the crash table as long as the process runs.
async fn follow_crash_rows(
    source: Rc<PeerRowSource>,
    wait: Duration,
    crash_rows: Rc<RefCell<HashMap<String, RowValue>>>,
) {
    let mut revision = None;
    loop {
        let answer = match revision {
            None => source.list(ControlTable::Crashes).await,
            Some(revision) => source.changes_after(ControlTable::Crashes, revision, wait).await,
        };
        revision = answer.as_ref().ok().map(|answer| answer.revision);
        let rows = answer.map_or_else(|_error| Vec::new(), |answer| answer.value);
        crash_rows.borrow_mut().extend(rows.into_iter().map(|row| (row.key, row.value)));
        sleep(Duration::from_millis(10)).await;
    }
}

/// A zone of entries and readers.
pub struct Deployment {
    pub service: Rc<TableService>,
    pub peers: Rc<ZoneReaders>,
    pub entries: Vec<EntryProcess>,
    /// Age up to which a proof of routes is valid.
    proof_millis: u64,
}

impl Deployment {
    pub async fn start(entries: usize, readers: usize) -> Self {
        Self::start_with(entries, readers, PROOF_MILLIS).await
    }

    /// The same with proofs of routes that are valid for the given time in milliseconds.
    pub async fn start_with(entries: usize, readers: usize, proof_millis: u64) -> Self {
        let deployment =
            Self::begin_with(TableService::new(), entries, readers, proof_millis, ChangeBound::default());
        sleep(Duration::from_secs(5)).await;
        deployment
    }

    /// The same with a bound on the time until changes are in force.
    pub async fn start_bounded(entries: usize, readers: usize, change_bound: ChangeBound) -> Self {
        let deployment = Self::begin_with(TableService::new(), entries, readers, PROOF_MILLIS, change_bound);
        sleep(Duration::from_secs(5)).await;
        deployment
    }

    /// Starts all processes at once. The entries know of the readers if there are rows.
    pub fn begin(service: Rc<TableService>, entries: usize, readers: usize) -> Self {
        Self::begin_with(service, entries, readers, PROOF_MILLIS, ChangeBound::default())
    }

    /// The same with a bound on the time until changes are in force.
    pub fn begin_bounded(
        service: Rc<TableService>,
        entries: usize,
        readers: usize,
        change_bound: ChangeBound,
    ) -> Self {
        Self::begin_with(service, entries, readers, PROOF_MILLIS, change_bound)
    }

    fn begin_with(
        service: Rc<TableService>,
        entries: usize,
        readers: usize,
        proof_millis: u64,
        change_bound: ChangeBound,
    ) -> Self {
        let known = Cell::new(!service.rows.borrow().is_empty());
        let readers = (0..readers).map(|_reader| ReaderProcess::new(&service)).collect();
        let peers = Rc::new(ZoneReaders { readers, known });
        let start = |_entry| EntryProcess::start(&service, &peers, proof_millis, change_bound);
        let entries = (0..entries).map(start).collect();
        Self { service, peers, entries, proof_millis }
    }

    /// Starts one more entry.
    pub fn add_entry(&mut self, change_bound: ChangeBound) {
        self.entries.push(EntryProcess::start(&self.service, &self.peers, self.proof_millis, change_bound));
    }

    pub fn reader(&self, index: usize) -> &ReaderProcess {
        &self.peers.readers[index]
    }

    /// Asserts for a time that no entry's proofs become too old.
    pub async fn assert_fresh(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for (number, entry) in self.entries.iter().enumerate() {
                let (routes, targets) = entry.ages();
                assert!(
                    routes <= self.proof_millis,
                    "entry {number}: the proof of routes is {routes} ms old"
                );
                assert!(targets <= TARGETS_MILLIS, "entry {number}: that of targets is {targets} ms old");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the condition holds for all entries. Returns the milliseconds that this took.
    pub async fn until_all(&self, seen: impl Fn(&EntryProcess) -> bool) -> u64 {
        let began = Instant::now();
        while !self.entries.iter().all(&seen) {
            assert!(began.elapsed() < Duration::from_secs(30), "not all entries see it");
            sleep(Duration::from_millis(10)).await;
        }
        began.elapsed().as_millis() as u64
    }
}

pub async fn run_local(test: impl AsyncFnOnce()) {
    LocalSet::new().run_until(test()).await;
}
