//! Tests of bodies that are collected in pieces.

use http_body_util::BodyExt as _;
use porthoist_http::{BudgetExceeded, ByteBudget, PieceCollector};
use test_case::test_case;

const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Collects a body from data of one size.
fn collect(budget: &std::sync::Arc<ByteBudget>, announced: Option<u64>, data_bytes: usize) -> PieceCollector {
    let mut collector = PieceCollector::new(budget.guard(), announced);
    let body: Vec<u8> = (0..BODY_BYTES).map(|index| index as u8).collect();
    for data in body.chunks(data_bytes) {
        collector.try_push(data).unwrap();
    }
    collector
}

/// Guards against capacity that is not counted, and against much more capacity than content.
#[test_case(None, 1; "single bytes")]
#[test_case(None, 300; "small chunks")]
#[test_case(None, 16_000; "pieces as they are read")]
#[test_case(None, 1_000_000; "large chunks")]
#[test_case(Some(BODY_BYTES as u64), 16_000; "an announced length")]
fn held_bytes_are_the_capacity(announced: Option<u64>, data_bytes: usize) {
    let budget = ByteBudget::new(4 * BODY_BYTES as u64);
    let collector = collect(&budget, announced, data_bytes);
    assert_eq!(collector.held(), budget.held());
    let unused = collector.held() - BODY_BYTES as u64;
    assert!(unused <= if announced.is_some() { 0 } else { 64 * 1024 }, "{unused} bytes unused");
    let body = collector.finish();
    assert!(body.pieces().count() < 600, "{} pieces", body.pieces().count());
}

/// Guards against pieces that are lost, repeated or out of order.
#[test_case(7; "small pieces")]
#[test_case(16_384; "pieces as they are read")]
#[test_case(200_000; "large pieces")]
#[tokio::test]
async fn body_is_the_data_in_order(data_bytes: usize) {
    let budget = ByteBudget::new(4 * BODY_BYTES as u64);
    let expected: Vec<u8> = (0..BODY_BYTES).map(|index| index as u8).collect();
    let whole = collect(&budget, None, data_bytes).finish_whole();
    assert_eq!(whole, expected);
    drop(whole);
    let body = collect(&budget, None, data_bytes).finish();
    assert_eq!((body.len(), body.pieces().map(<[u8]>::len).sum::<usize>()), (BODY_BYTES, BODY_BYTES));
    assert_eq!(body.clone().collect().await.unwrap().to_bytes(), expected);
    drop(body);
    assert_eq!(budget.held(), 0);
}

/// Guards against a refused body that stays counted or loses what it had.
#[test]
fn data_beyond_the_budget_is_refused() {
    let budget = ByteBudget::new(1_000_000);
    let mut collector = PieceCollector::new(budget.guard(), None);
    let data = vec![b'x'; 600_000];
    collector.try_push(&data).unwrap();
    assert_eq!(collector.try_push(&data), Err(BudgetExceeded(1_000_000)));
    assert_eq!((collector.len(), budget.held()), (600_000, 600_000));
    drop(collector);
    assert_eq!(budget.held(), 0);
}

#[test]
fn empty_body_holds_nothing() {
    let budget = ByteBudget::new(1_000);
    let body = PieceCollector::new(budget.guard(), Some(0)).finish();
    assert!(body.is_empty());
    assert_eq!((body.pieces().count(), budget.held()), (0, 0));
}
