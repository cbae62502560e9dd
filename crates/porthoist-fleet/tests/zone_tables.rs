//! A process that follows the tables for a zone counts the entries that query it, and passes on what they know of targets.

use futures::FutureExt as _;
use porthoist_core::{ClockSource, RequestRate, StartMillis, UnixMillis};
use porthoist_fleet::{
    ControlTraffic, EntryReport, LoadsPublisher, PeerPool, RankPeer, RankService, ZoneTableUpdate,
    serve_ranks,
};
use porthoist_group::{ExpertLists, OrderAnswer, RankControl, RankFuture, RankObservation};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::proxy::entry_positions::EntryId;
use porthoist_policy::proxy::limit_notes::TargetNote;
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::targets::TargetLife;
use porthoist_policy::roll_forward::EngineOrder;
use porthoist_proxy::{
    ControlTable, RowSource, RowValue, SourceAnswer, SourceFuture, TableEra, TableQuery, TableReader,
    TableRevision, TableRow, TableUpdate, ValueUpdate,
};
use slog::{Discard, Logger, o};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// A clock that tests set.
#[derive(Debug)]
struct ManualClock(AtomicU64);

impl ClockSource for ManualClock {
    fn now(&self) -> UnixMillis {
        UnixMillis(self.0.load(Ordering::Relaxed))
    }
}

const TABLE_ERA: TableEra = TableEra(3);

/// Long enough that only a hang exceeds it.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A table whose rows never change.
#[derive(Debug, Default)]
struct FixedTable(Vec<TableRow>);

impl RowSource for FixedTable {
    fn list(&self, _table: ControlTable) -> SourceFuture<'_, Vec<TableRow>> {
        async { Ok(SourceAnswer::of(self.0.clone(), TableRevision::new(TABLE_ERA, 1), 10)) }.boxed_local()
    }

    fn changes_after(
        &self,
        _table: ControlTable,
        _revision: TableRevision,
        _wait: Duration,
    ) -> SourceFuture<'_, Vec<TableRow>> {
        futures::future::pending().boxed_local()
    }
}

/// A rank without an engine.
#[derive(Debug)]
struct NoEngine;

impl RankControl for NoEngine {
    fn observe(&self, _counts: bool) -> RankFuture<'_, RankObservation> {
        async { Err(CallError::unknown("not asked")) }.boxed_local()
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        async { Err(CallError::unknown("not asked")) }.boxed_local()
    }

    fn order<'a>(
        &'a self,
        _order: EngineOrder,
        _map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        async { Err(CallError::unknown("not asked")) }.boxed_local()
    }
}

async fn start_process(clock: &Arc<ManualClock>) -> RankPeer {
    start_with(clock, FixedTable::default()).await
}

async fn start_with(clock: &Arc<ManualClock>, table: FixedTable) -> RankPeer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shared: Arc<dyn ClockSource> = Arc::<ManualClock>::clone(clock);
    let logger = Logger::root(Discard, o!());
    let serving = RankService::builder()
        .own_rank(Rc::new(NoEngine))
        .publisher(LoadsPublisher::new(watch::Sender::new(None).subscribe()))
        .peers(Rc::new(PeerPool::new(address.port(), ControlTraffic::default())))
        .reader(TableReader::new(Rc::new(table), Arc::clone(&shared), logger))
        .clock(shared)
        .build();
    tokio::task::spawn_local(serve_ranks(listener, Rc::new(serving)));
    RankPeer::new(address)
}

async fn query_table(peer: &RankPeer, entry: u64, notes: &[TargetNote], now: u64) -> ZoneTableUpdate {
    let query = TableQuery {
        table: ControlTable::Targets,
        after: TableRevision::default(),
        stamp: 0,
        hold: Duration::from_millis(10),
        wait: Duration::from_secs(1),
    };
    let notes = notes.iter().map(|note| note.aged(UnixMillis(now))).collect();
    peer.query(query, &EntryReport { entry: EntryId(entry), notes }, TIMEOUT).await.unwrap()
}

#[tokio::test]
async fn entries_receive_their_positions_and_the_notes_of_others() {
    let clock = Arc::new(ManualClock(AtomicU64::new(100_000)));
    let scenario = async {
        let peer = start_process(&clock).await;
        assert_eq!(query_table(&peer, 7, &[], 0).await.position, None, "others may not have asked yet");
        assert_eq!(query_table(&peer, 3, &[], 0).await.position, None);
        clock.0.store(104_000, Ordering::Relaxed);
        // The clock of the entry differs from that of the process.
        let life = TargetLife { id: "t".parse().unwrap(), born: StartMillis(5) };
        let heard = TargetNote { life, limit: Some(RequestRate(1.5)), as_of: UnixMillis(9_000) };
        let first = query_table(&peer, 3, std::slice::from_ref(&heard), 9_300).await;
        let second = query_table(&peer, 7, &[], 0).await;
        assert_eq!(first.position, Some(EntryPosition { index: 0, entries: 2 }));
        assert_eq!(second.position, Some(EntryPosition { index: 1, entries: 2 }));
        let received: Vec<TargetNote> =
            second.notes.into_iter().map(|note| note.to_local(UnixMillis(55_000))).collect();
        assert_eq!(received, [TargetNote { as_of: UnixMillis(54_700), ..heard }]);
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test]
async fn queries_without_an_entry_are_not_counted() {
    let clock = Arc::new(ManualClock(AtomicU64::new(100_000)));
    let scenario = async {
        let peer = start_process(&clock).await;
        query_table(&peer, 3, &[], 0).await;
        query_table(&peer, 0, &[], 0).await;
        clock.0.store(104_000, Ordering::Relaxed);
        assert_eq!(query_table(&peer, 0, &[], 0).await.position, None);
        assert_eq!(
            query_table(&peer, 3, &[], 0).await.position,
            Some(EntryPosition { index: 0, entries: 1 })
        );
    };
    LocalSet::new().run_until(scenario).await;
}

/// A row whose bytes hardly compress.
fn noisy_row(bytes: usize) -> TableRow {
    let mut state = 1_u64;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 33) as u8
    };
    let value = RowValue::Bytes((0..bytes).map(|_index| next()).collect());
    TableRow { key: "config".to_owned(), value, version: TableRevision::new(TABLE_ERA, 1) }
}

/// Rows larger than one answer come in pieces; much larger ones must be fetched from the table service.
#[test_case::test_case(100_000, true; "in pieces")]
#[test_case::test_case(200_000, false; "too much")]
#[tokio::test]
async fn a_large_row_is_sent_in_pieces(bytes: usize, sent: bool) {
    let clock = Arc::new(ManualClock(AtomicU64::new(100_000)));
    let scenario = async {
        let row = noisy_row(bytes);
        let peer = start_with(&clock, FixedTable(vec![row.clone()])).await;
        match query_table(&peer, 3, &[], 0).await.update {
            TableUpdate::Newer { rows, .. } => {
                assert!(sent);
                assert_eq!(rows.revision, TableRevision::new(TABLE_ERA, 1));
                assert_eq!(rows.value[0].value, ValueUpdate::Whole(row.value));
            }
            other => assert_eq!((other, sent), (TableUpdate::TooLarge, false)),
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// A dropped connection must be closed. When a rank does not answer, its connection is dropped and another is made. If the
/// old one stays open at both ends, a process next to a rank soon holds 1,970 of its 2,048 files, with 300 hosts as with
/// 1,047.
#[tokio::test]
async fn a_dropped_connection_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = RankPeer::new(listener.local_addr().unwrap());
    let scenario = async {
        for _time in 0..3 {
            let mut observed = peer.observe(false);
            let (mut stream, _address) = tokio::select! {
                accepted = listener.accept() => accepted.unwrap(),
                _answer = &mut observed => panic!("nobody answers"),
            };
            let silent = tokio::time::timeout(Duration::from_millis(20), &mut observed).await;
            silent.unwrap_err();
            peer.reset();
            // The pending call keeps the connection open.
            let mut bytes = Vec::new();
            let ended = tokio::time::timeout(Duration::from_millis(20), stream.read_to_end(&mut bytes)).await;
            assert!(ended.is_err(), "a call is still under way");
            drop(observed);
            tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut bytes))
                .await
                .expect("it is closed")
                .unwrap();
        }
    };
    LocalSet::new().run_until(scenario).await;
}
