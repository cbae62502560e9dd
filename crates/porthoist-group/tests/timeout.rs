//! Adaptive timeouts.

use porthoist_group::AdaptiveTimeout;
use std::time::Duration;

const MINIMUM: Duration = Duration::from_millis(150);

fn millis(times: &[u64]) -> Vec<Duration> {
    times.iter().map(|time| Duration::from_millis(*time)).collect()
}

/// A fixed timeout per rank is too short for whole maps: sending one to 129 ranks takes 1.7 s. With a timeout of 0.9 s
/// every map timed out and was sent again.
#[test]
fn the_timeout_follows_response_times() {
    let mut timeout = AdaptiveTimeout::new(MINIMUM);
    assert_eq!(timeout.get(), MINIMUM, "nothing is known yet");
    timeout.record(&millis(&[10, 12, 14, 90]), 4);
    assert_eq!(timeout.get(), Duration::from_millis(270), "three times the slower quarter");
    for _call in 0..5 {
        timeout.record(&millis(&[20, 20, 20, 20]), 4);
    }
    assert_eq!(timeout.get(), MINIMUM);
}

#[test]
fn the_timeout_doubles_up_to_one_second_while_most_ranks_do_not_answer() {
    let mut timeout = AdaptiveTimeout::new(MINIMUM);
    let mut timeouts = Vec::new();
    for _call in 0..5 {
        timeout.record(&millis(&[40]), 4);
        timeouts.push(timeout.get().as_millis());
    }
    assert_eq!(timeouts, [300, 600, 1_000, 1_000, 1_000]);
    timeout.record(&millis(&[200, 200, 200, 200]), 4);
    assert_eq!(timeout.get(), Duration::from_millis(600));
}

/// One unreachable rank must not lengthen the timeout for the others.
#[test]
fn a_few_unreachable_ranks_do_not_raise_the_timeout() {
    let mut timeout = AdaptiveTimeout::new(MINIMUM);
    for _call in 0..9 {
        timeout.record(&millis(&[30, 30, 30]), 4);
    }
    assert_eq!(timeout.get(), MINIMUM);
}

#[test]
fn a_timeout_without_doubling_stays_at_the_minimum() {
    let mut timeout = AdaptiveTimeout::without_doubling(MINIMUM);
    timeout.record(&[], 4);
    assert_eq!(timeout.get(), MINIMUM);
    timeout.set_minimum(MINIMUM * 2);
    assert_eq!(timeout.get(), MINIMUM * 2);
}
