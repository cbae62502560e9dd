//! Waiting, refusal and retry delays.

use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::forecast::{ServiceForecast, WaitDecision, WaitQuery};
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

fn query(ahead: usize, arrival: u64, class: QueueClass) -> WaitQuery {
    let arrival = UnixMillis(arrival);
    let deadline = UnixDeadline::after(arrival, 8_000);
    WaitQuery { ahead, arrival, latency_millis: 500, deadline, class, rate_limited_millis: None }
}

#[test_case(0, First, Some(1_300); "a place every 150 ms, and 300 to spare")]
#[test_case(1, First, None; "the second place is free too late")]
#[test_case(2, Resent, Some(2_000); "one that was sent already waits for the third")]
#[test_case(3, Resent, None; "but not where that may take a second")]
#[test_case(0, CallerRetry, None; "a caller who came back takes a free place or none")]
fn request_waits_only_if_served_in_time(ahead: usize, class: QueueClass, expected: Option<u64>) {
    let expected =
        expected.map_or(WaitDecision::Refuse, |until| WaitDecision::Wait(UnixDeadline(UnixMillis(until))));
    assert_eq!(busy().decide(query(ahead, 1_000, class), UnixMillis(1_000)), expected);
}

#[test]
fn stalled_group_gets_occasional_probes() {
    let mut forecast = busy();
    let sent = |forecast: &mut ServiceForecast, from: u64, to: u64| {
        (from..to).step_by(20).filter(|now| forecast.may_send(UnixMillis(*now))).count()
    };
    assert_eq!(sent(&mut forecast, 1_000, 1_600), 30, "up to 600 ms count as a slow pass");
    assert_eq!(sent(&mut forecast, 1_620, 3_620), 4, "two probes a second while nothing is answered");
    assert!(forecast.is_down());
    assert_eq!(forecast.decide(query(0, 3_700, Resent), UnixMillis(3_700)), WaitDecision::Refuse);
    forecast.event_received(UnixMillis(4_000));
    assert_eq!(sent(&mut forecast, 4_000, 4_200), 10, "it works again");
}

#[test]
fn refusing_group_is_probed_ten_times_a_second() {
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
fn retry_delay_follows_length_of_earlier_episodes() {
    let mut forecast = busy();
    let deadline = UnixDeadline(UnixMillis(100_000));
    let mut delays = Vec::new();
    for began in [2_000, 12_000, 22_000] {
        assert!(forecast.may_send(UnixMillis(began)), "one probe is sent");
        delays.push(forecast.retry_after_millis(deadline, 0.0, 0.0, UnixMillis(began + 100)));
        forecast.event_received(UnixMillis(began + 1_000));
    }
    // No episode was observed at first; then episodes of a second.
    assert_eq!(delays, [2_500, 900, 900]);
    forecast.may_send(UnixMillis(32_000));
    assert_eq!(
        forecast.retry_after_millis(deadline, 0.0, 0.0, UnixMillis(37_000)),
        5_000,
        "longer than all earlier episodes"
    );
}

#[test]
fn retry_delay_varies_and_leaves_time_to_be_served() {
    let mut forecast = busy();
    forecast.may_send(UnixMillis(2_000));
    let mut delay = |deadline: u64, point: f64| {
        forecast.retry_after_millis(UnixDeadline(UnixMillis(deadline)), 0.0, point, UnixMillis(2_000))
    };
    assert_eq!([delay(90_000, 0.0), delay(90_000, 0.5), delay(90_000, 1.0)], [2_500, 2_875, 3_250]);
    assert_eq!(delay(5_000, 0.0), 1_000, "a third of what is left");
}
