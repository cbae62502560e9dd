//! Tests of the admission queue of a target.

use porthoist_core::{
    AttemptId, IncarnationId, RefusalReason, RequestId, RequestPriority, UnixDeadline, UnixMillis,
};
use porthoist_policy::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionSettings};

fn attempt(number: u64) -> AttemptId {
    AttemptId { entry: IncarnationId(1), request: RequestId(number), attempt: 0 }
}

fn request(number: u64, team: &str, weight: f64, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        attempt: attempt(number),
        team: team.parse().unwrap(),
        weight,
        priority: RequestPriority(priority),
        prompt_tokens: 0,
        deadline: UnixDeadline(UnixMillis(100_000)),
    }
}

fn queue(slots: u32) -> AdmissionQueue {
    AdmissionQueue::new(AdmissionSettings::builder().slots(slots).queue(100).build())
}

/// Repeatedly finishes the running request and returns the order in which the others start.
fn start_order(queue: &mut AdmissionQueue, first: u64) -> Vec<u64> {
    let (mut running, mut order) = (attempt(first), Vec::new());
    loop {
        queue.finished(UnixMillis(10), running);
        let Some(next) = queue.next_starts(UnixMillis(10)).pop() else { return order };
        order.push(next.request.0);
        running = next;
    }
}

#[test]
fn urgent_requests_start_first() {
    let mut queue = queue(1);
    assert_eq!(queue.offer(UnixMillis(0), request(0, "a", 1.0, 5)), AdmissionDecision::Start);
    for (number, priority) in [(1, 1), (2, 9), (3, 5)] {
        assert_eq!(
            queue.offer(UnixMillis(0), request(number, "a", 1.0, priority)),
            AdmissionDecision::Queued
        );
    }
    assert_eq!(start_order(&mut queue, 0), [2, 3, 1]);
}

#[test]
fn slots_are_shared_between_teams_by_weight() {
    let mut queue = queue(1);
    queue.offer(UnixMillis(0), request(0, "x", 1.0, 5));
    for number in 1..=8 {
        queue.offer(UnixMillis(0), request(number, "light", 1.0, 5));
    }
    for number in 11..=18 {
        queue.offer(UnixMillis(0), request(number, "heavy", 3.0, 5));
    }
    let first_eight = &start_order(&mut queue, 0)[..8];
    assert_eq!(first_eight.iter().filter(|number| **number > 10).count(), 6, "{first_eight:?}");
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused() {
    let mut queue =
        AdmissionQueue::new(AdmissionSettings::builder().slots(1).queue(9).prefill_rate(1000).build());
    let late = AdmissionRequest {
        prompt_tokens: 2000,
        deadline: UnixDeadline(UnixMillis(1400)),
        ..request(1, "a", 1.0, 5)
    };
    let decision = queue.offer(UnixMillis(0), late);
    assert!(
        matches!(decision, AdmissionDecision::Refused(RefusalReason::DeadlineUnreachable, _)),
        "{decision:?}"
    );
    assert_eq!(queue.load(UnixMillis(0), false).queued_tokens, 0);
}

#[test]
fn queued_request_expires_at_its_deadline() {
    let mut queue = queue(1);
    queue.offer(UnixMillis(0), request(0, "a", 1.0, 5));
    let waiting = AdmissionRequest { deadline: UnixDeadline(UnixMillis(500)), ..request(1, "a", 1.0, 5) };
    assert_eq!(queue.offer(UnixMillis(0), waiting), AdmissionDecision::Queued);
    assert!(queue.is_waiting(attempt(1)));
    assert_eq!(queue.expired(UnixMillis(499)), []);
    assert_eq!(queue.expired(UnixMillis(500)), [attempt(1)]);
    assert!(!queue.is_waiting(attempt(1)));
}

#[test]
fn full_queue_refuses_with_retry_time() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::builder().slots(1).queue(1).build());
    queue.offer(UnixMillis(0), request(0, "a", 1.0, 5));
    queue.offer(UnixMillis(0), request(1, "a", 1.0, 5));
    let decision = queue.offer(UnixMillis(0), request(2, "a", 1.0, 5));
    let AdmissionDecision::Refused(RefusalReason::Overloaded, retry_at) = decision else {
        panic!("{decision:?}");
    };
    assert!(retry_at > UnixMillis(0));
}
