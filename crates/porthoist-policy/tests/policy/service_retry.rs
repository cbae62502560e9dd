//! Tests of when a process calls the table service again after a failed call.

use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::service_retry::{RetryPatience, ServiceRetry};
use std::time::Duration;

/// Maximum interval between calls while peers respond.
const INTERVAL: Duration = Duration::from_millis(1_500);
const PATIENCE: RetryPatience = RetryPatience { peers: Duration::from_millis(300), failing: Duration::ZERO };

fn at(millis: u64) -> UnixMillis {
    UnixMillis(millis)
}

fn next_call(retry: &ServiceRetry) -> u64 {
    retry.next_call(at(0), PATIENCE).0.0
}

/// Returns the state after a call from 100 to 1,000 failed while a peer is expected to respond until 1,400.
fn failed_with_peer(random: f64) -> ServiceRetry {
    let mut retry = ServiceRetry::new(INTERVAL);
    retry.record_peer_response(UnixDeadline(at(1_400)));
    retry.record_failure(at(100), at(1_000), random);
    retry
}

#[test]
fn interval_while_peers_respond_is_never_longer_than_the_maximum() {
    for random in [0.0, 0.3, 0.999] {
        let mut retry = failed_with_peer(random);
        retry.record_peer_response(UnixDeadline(at(60_000)));
        let next_call = next_call(&retry);
        assert!((1_300..=1_600).contains(&next_call), "{next_call}");
    }
}

/// Guards against a wait that was set while peers responded and goes on when they are lost.
#[test]
fn lost_peers_bring_the_next_call_forward() {
    let mut retry = failed_with_peer(0.999);
    assert_eq!(next_call(&retry), 1_400, "the last peer may still respond");
    assert!(retry.lose_peers(at(1_010)));
    assert!(next_call(&retry) <= 1_090);
    assert!(!retry.lose_peers(at(1_020)), "they are lost once");
}

#[test]
fn peers_that_respond_again_put_the_next_call_off() {
    let mut retry = failed_with_peer(0.999);
    retry.lose_peers(at(1_010));
    retry.record_peer_response(UnixDeadline(at(60_000)));
    assert_eq!(next_call(&retry), 1_599);
}

#[test]
fn backoff_without_peers_doubles_up_to_its_maximum() {
    let mut retry = ServiceRetry::new(INTERVAL);
    let backoffs: Vec<u64> = (0..6)
        .map(|_call| {
            retry.record_failure(at(0), at(10), 0.5);
            next_call(&retry) - 10
        })
        .collect();
    assert_eq!(backoffs, [60, 120, 240, 480, 480, 480]);
    retry.record_answer(at(10), at(20));
    retry.record_failure(at(30), at(40), 0.5);
    assert_eq!(next_call(&retry), 100);
}

/// Guards against a call of an outage that times out after the service has answered again.
#[test]
fn failure_of_a_call_older_than_an_answered_one_is_ignored() {
    let mut retry = ServiceRetry::new(INTERVAL);
    retry.record_answer(at(500), at(510));
    retry.record_failure(at(490), at(1_390), 0.5);
    assert!(!retry.is_failing());
    retry.record_failure(at(600), at(1_500), 0.5);
    assert!(retry.is_failing());
}

#[test]
fn other_tables_are_awaited_from_peers_once_the_service_has_recovered() {
    let mut retry = failed_with_peer(0.5);
    retry.record_answer(at(1_290), at(1_300));
    assert_eq!(next_call(&retry), 1_600);
    let mut alone = failed_with_peer(0.5);
    alone.lose_peers(at(1_100));
    alone.record_answer(at(1_290), at(1_300));
    assert_eq!(next_call(&alone), 1_300, "nobody else provides them");
}

#[test]
fn rarely_needed_table_is_requested_after_the_others() {
    let retry = failed_with_peer(0.5);
    let rare = RetryPatience { failing: Duration::from_secs(3), ..PATIENCE };
    assert_eq!(retry.next_call(at(0), rare).0.0, next_call(&retry) + 3_000);
}

/// Guards against taking the time of an earlier failure for that of the latest unanswered call.
#[test]
fn pending_call_shows_that_an_outage_goes_on() {
    let mut retry = failed_with_peer(0.5);
    retry.record_call(at(1_300));
    assert_eq!(retry.unanswered(at(1_390)), Some(at(100)), "the answer may be on its way");
    assert_eq!(retry.unanswered(at(1_400)), Some(at(1_300)));
    retry.record_answer(at(1_300), at(1_410));
    assert_eq!(retry.unanswered(at(2_000)), None);
}

#[test]
fn first_pending_call_is_no_sign_of_an_outage_while_it_may_be_repeated() {
    let mut retry = ServiceRetry::new(INTERVAL);
    retry.record_call(at(100));
    assert_eq!(retry.unanswered(at(499)), None);
    assert_eq!(retry.unanswered(at(500)), Some(at(100)));
    retry.end_call(at(100));
    assert_eq!(retry.unanswered(at(500)), None, "a peer has answered before it");
}
