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
fn the_timeout_follows_what_answers_take() {
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
fn it_doubles_while_most_do_not_answer_and_no_further_than_a_second() {
    let mut timeout = AdaptiveTimeout::new(MINIMUM);
    let mut seen = Vec::new();
    for _call in 0..5 {
        timeout.record(&millis(&[40]), 4);
        seen.push(timeout.get().as_millis());
    }
    assert_eq!(seen, [300, 600, 1_000, 1_000, 1_000]);
    timeout.record(&millis(&[200, 200, 200, 200]), 4);
    assert_eq!(timeout.get(), Duration::from_millis(600));
}

/// One unreachable rank must not lengthen the timeout for the others.
#[test]
fn a_few_that_are_away_do_not_count() {
    let mut timeout = AdaptiveTimeout::new(MINIMUM);
    for _call in 0..9 {
        timeout.record(&millis(&[30, 30, 30]), 4);
    }
    assert_eq!(timeout.get(), MINIMUM);
}

#[test]
fn what_is_simply_asked_again_does_not_double() {
    let mut timeout = AdaptiveTimeout::without_doubling(MINIMUM);
    timeout.record(&[], 4);
    assert_eq!(timeout.get(), MINIMUM);
    timeout.set_minimum(MINIMUM * 2);
    assert_eq!(timeout.get(), MINIMUM * 2);
}
