//! Waiting, refusal and retry delays.

use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::forecast::{CallerRetryDetector, ServiceForecast, WaitDecision, WaitQuery};
use porthoist_policy::proxy::wait_queue::QueueClass::{self, CallerRetry, First, Resent};
use test_case::test_case;

/// Ten slots that are occupied for 1.5 s each, first events after 200 ms, the last one at 1,000 ms.
fn busy() -> ServiceForecast {
    let mut forecast = ServiceForecast::default();
    for _request in 0..11 {
        forecast.request_started(UnixMillis(0));
    }
    forecast.first_event_received(200.0, UnixMillis(1_000));
    forecast.request_ended(Some(1_500.0));
    forecast
}

fn ask(ahead: usize, arrival: u64, class: QueueClass) -> WaitQuery {
    let arrival = UnixMillis(arrival);
    let deadline = UnixDeadline::after(arrival, 8_000);
    WaitQuery { ahead, arrival, latency_millis: 500, deadline, class, rate_limited_millis: None }
}

#[test_case(0, First, Some(1_300); "a place every 150 ms, and 300 to spare")]
#[test_case(1, First, None; "the second place is free too late")]
#[test_case(2, Resent, Some(2_000); "one that was sent already waits for the third")]
#[test_case(3, Resent, None; "but not where that may take a second")]
#[test_case(0, CallerRetry, None; "a caller who came back takes a free place or none")]
fn a_request_waits_only_while_it_can_be_served_in_time(
    ahead: usize,
    class: QueueClass,
    expected: Option<u64>,
) {
    let expected =
        expected.map_or(WaitDecision::Refuse, |until| WaitDecision::Wait(UnixDeadline(UnixMillis(until))));
    assert_eq!(busy().decide(ask(ahead, 1_000, class), UnixMillis(1_000)), expected);
}

#[test]
fn a_group_that_stands_still_gets_a_request_now_and_then() {
    let mut forecast = busy();
    let sent = |forecast: &mut ServiceForecast, from: u64, to: u64| {
        (from..to).step_by(20).filter(|now| forecast.may_send(UnixMillis(*now))).count()
    };
    assert_eq!(sent(&mut forecast, 1_000, 1_600), 30, "up to 600 ms count as a slow pass");
    assert_eq!(sent(&mut forecast, 1_620, 3_620), 4, "two probes a second while nothing is answered");
    assert!(forecast.is_down());
    assert_eq!(forecast.decide(ask(0, 3_700, Resent), UnixMillis(3_700)), WaitDecision::Refuse);
    forecast.event_received(UnixMillis(4_000));
    assert_eq!(sent(&mut forecast, 4_000, 4_200), 10, "it works again");
}

#[test]
fn a_group_that_refuses_at_once_is_tried_ten_times_a_second() {
    let mut forecast = busy();
    let mut sent = 0;
    for now in (2_000..4_000).step_by(10) {
        if forecast.may_send(UnixMillis(now)) {
            sent += 1;
            forecast.refused(UnixMillis(now + 2));
        }
    }
    assert_eq!(sent, 19);
}

#[test]
fn callers_come_back_when_spells_usually_end() {
    let mut forecast = busy();
    let deadline = UnixDeadline(UnixMillis(100_000));
    let mut told = Vec::new();
    for began in [2_000, 12_000, 22_000] {
        assert!(forecast.may_send(UnixMillis(began)), "one probe is sent");
        told.push(forecast.retry_after_millis(deadline, 0.0, 0.0, UnixMillis(began + 100)));
        forecast.event_received(UnixMillis(began + 1_000));
    }
    // No episode was observed at first; then episodes of a second.
    assert_eq!(told, [2_500, 900, 900]);
    forecast.may_send(UnixMillis(32_000));
    assert_eq!(
        forecast.retry_after_millis(deadline, 0.0, 0.0, UnixMillis(37_000)),
        5_000,
        "longer than all earlier episodes"
    );
}

#[test]
fn callers_return_spread_and_with_time_left_to_be_served() {
    let mut forecast = busy();
    forecast.may_send(UnixMillis(2_000));
    let mut told = |deadline: u64, point: f64| {
        forecast.retry_after_millis(UnixDeadline(UnixMillis(deadline)), 0.0, point, UnixMillis(2_000))
    };
    assert_eq!([told(90_000, 0.0), told(90_000, 0.5), told(90_000, 1.0)], [2_500, 2_875, 3_250]);
    assert_eq!(told(5_000, 0.0), 1_000, "a third of what is left");
}

#[test]
fn callers_with_less_time_than_first_tries_came_back() {
    let mut detector = CallerRetryDetector::default();
    let came_back = [Some(8_000), Some(7_900), Some(5_400), None].map(|left| detector.is_retry("r", left));
    assert_eq!(came_back, [false, false, true, false]);
    assert!(!detector.is_retry("other", Some(1_500)));
    // Memory is bounded, whatever routes come and go.
    for route in 0..5_000 {
        detector.is_retry(&format!("r{route}"), Some(8_000));
    }
    assert!(!detector.is_retry("r", Some(5_400)), "forgotten");
}
