//! Tests of the budget for bytes held for callers.

use bytes::Bytes;
use porthoist_http::byte_budget::{BudgetExceeded, ByteBudget, SMALL_BODY_BYTES};
use std::time::Duration;
use test_case::test_case;
use tokio::task::JoinSet;

/// Guards against bytes that stay counted after their holder has ended.
#[test]
fn dropped_guard_releases_its_bytes() {
    let budget = ByteBudget::new(1_000);
    let mut first = budget.guard();
    let mut second = budget.guard();
    first.try_grow(300, SMALL_BODY_BYTES).unwrap();
    second.try_grow(200, SMALL_BODY_BYTES).unwrap();
    assert_eq!(budget.held(), 500);
    drop(first);
    assert_eq!(budget.held(), 200);
    second.clear();
    assert_eq!((budget.held(), second.bytes()), (0, 0));
}

/// Guards against bodies that take the share of responses, without which no request ends.
#[test_case(750, true; "up to three quarters")]
#[test_case(751, false; "beyond three quarters")]
fn bodies_leave_a_quarter_to_responses(bytes: usize, fits: bool) {
    let budget = ByteBudget::new(1_000);
    assert_eq!(budget.fits_request(bytes as u64), fits);
    let grown = budget.guard().try_grow(bytes, SMALL_BODY_BYTES);
    assert_eq!(grown, if fits { Ok(()) } else { Err(BudgetExceeded(1_000)) });
    assert_eq!(budget.held(), 0);
}

/// Guards against large bodies that keep ordinary requests out.
#[test_case(657, true; "up to seven eighths of the room for bodies")]
#[test_case(658, false; "into the room of small bodies")]
fn large_bodies_leave_an_eighth_to_small_ones(bytes: usize, fits: bool) {
    let budget = ByteBudget::new(1_000);
    let mut held = budget.guard();
    assert_eq!(held.try_grow(bytes, SMALL_BODY_BYTES + 1).is_ok(), fits);
    held.try_grow(750 - held.bytes() as usize, SMALL_BODY_BYTES).unwrap();
    assert!(budget.fits_request(0) && !budget.fits_request(1));
    assert!(budget.fits_request_after(1, 1));
}

/// Guards against a refused body that stays counted.
#[test]
fn failed_growth_changes_nothing() {
    let budget = ByteBudget::new(1_000);
    let mut held = budget.guard();
    held.try_grow(700, SMALL_BODY_BYTES).unwrap();
    assert_eq!(held.try_grow(100, SMALL_BODY_BYTES), Err(BudgetExceeded(1_000)));
    assert_eq!((held.bytes(), budget.held()), (700, 700));
    assert_eq!(held.try_grow(usize::MAX, SMALL_BODY_BYTES), Err(BudgetExceeded(1_000)));
}

/// Guards against a response that waits on although bytes were released.
#[tokio::test(start_paused = true)]
async fn response_waits_for_released_bytes() {
    let budget = ByteBudget::new(1_000);
    let mut body = budget.guard();
    body.try_grow(700, SMALL_BODY_BYTES).unwrap();
    let mut response = budget.guard();
    response.grow(300).await.unwrap();
    let waiting = tokio::time::timeout(Duration::from_secs(5), response.grow(100));
    assert!(waiting.await.is_err(), "nothing was released");
    assert_eq!(budget.held(), 1_000);
    let release = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(body);
    };
    let (grown, ()) = tokio::join!(response.grow(100), release);
    assert_eq!((grown, budget.held()), (Ok(()), 400));
}

/// Guards against a response that waits for bytes which only it holds.
#[tokio::test]
async fn response_beyond_the_bound_fails_at_once() {
    let budget = ByteBudget::new(1_000);
    let mut response = budget.guard();
    response.grow(900).await.unwrap();
    assert_eq!(response.grow(101).await, Err(BudgetExceeded(1_000)));
    assert_eq!(budget.held(), 900);
}

/// Guards against a buffer that is no longer counted while a part of it is still to be written.
#[tokio::test]
async fn attached_bytes_are_held_until_the_last_reference_is_dropped() {
    let budget = ByteBudget::new(1_000);
    let mut read = budget.guard();
    read.grow(10).await.unwrap();
    let mut event = read.split(6).attach(Bytes::from_static(b"event\n"));
    assert_eq!((read.bytes(), budget.held()), (4, 10));
    let rest = event.split_off(3);
    drop((read, event));
    assert_eq!((budget.held(), rest.as_ref()), (6, &b"nt\n"[..]));
    drop(rest);
    assert_eq!(budget.held(), 0);
}

#[tokio::test]
async fn unbounded_budget_counts_nothing() {
    let budget = ByteBudget::new(0);
    let mut held = budget.guard();
    held.try_grow(usize::MAX, SMALL_BODY_BYTES).unwrap();
    held.grow(usize::MAX).await.unwrap();
    assert!(budget.fits_request(u64::MAX));
    let buffer = Bytes::from_static(b"unchanged");
    let attached = held.split(9).attach(buffer.clone());
    assert_eq!((attached.as_ptr(), budget.held()), (buffer.as_ptr(), 0));
}

/// Guards against responses without an end that hold all room and wait for each other.
#[tokio::test(start_paused = true)]
async fn endless_responses_do_not_wait_for_each_other() {
    const STEP_BYTES: usize = SMALL_BODY_BYTES as usize + 1;
    const MAX_BYTES: u64 = 8 * STEP_BYTES as u64;
    let budget = ByteBudget::new(2 * MAX_BYTES);
    let mut reads = JoinSet::new();
    for _response in 0..16 {
        let mut response = budget.guard();
        reads.spawn(async move {
            while response.bytes() < MAX_BYTES {
                response.grow(STEP_BYTES).await.unwrap();
                tokio::task::yield_now().await;
            }
        });
    }
    let read = tokio::time::timeout(Duration::from_secs(5), reads.join_all()).await;
    assert!(read.is_ok(), "responses wait for each other");
    assert_eq!(budget.held(), 0);
}

/// Guards against large responses that keep small ones and requests out.
#[tokio::test(start_paused = true)]
async fn large_responses_leave_room_to_small_ones_and_requests() {
    const STEP_BYTES: usize = SMALL_BODY_BYTES as usize + 1;
    let budget = ByteBudget::new(32 * STEP_BYTES as u64);
    let mut responses = (0..20).map(|_response| budget.guard()).collect::<Vec<_>>();
    let leading = responses[0].grow(16 * STEP_BYTES).await;
    assert_eq!(leading, Ok(()));
    // The second one takes the lead, and all others wait.
    for response in &mut responses[1..] {
        let _waited = tokio::time::timeout(Duration::from_secs(1), response.grow(STEP_BYTES)).await;
    }
    assert_eq!(budget.held(), 17 * STEP_BYTES as u64);
    assert!(budget.fits_request(SMALL_BODY_BYTES));
    let mut small = budget.guard();
    small.grow(SMALL_BODY_BYTES as usize).await.unwrap();
}
