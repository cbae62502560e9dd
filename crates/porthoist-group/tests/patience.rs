//! How long answers are waited for.

use porthoist_group::AdaptiveTimeout;
use std::time::Duration;

const FLOOR: Duration = Duration::from_millis(150);

fn millis(times: &[u64]) -> Vec<Duration> {
    times.iter().map(|time| Duration::from_millis(*time)).collect()
}

/// A whole map for 129 ranks took 1.7 s, a patience of 0.9 s by the number of ranks gave up on it each time, and each was
/// sent anew.
#[test]
fn patience_follows_what_answers_take() {
    let mut patience = AdaptiveTimeout::new(FLOOR);
    assert_eq!(patience.get(), FLOOR, "nothing is known yet");
    patience.took(&millis(&[10, 12, 14, 90]), 4);
    assert_eq!(patience.get(), Duration::from_millis(270), "three times the slower quarter");
    for _question in 0..5 {
        patience.took(&millis(&[20, 20, 20, 20]), 4);
    }
    assert_eq!(patience.get(), FLOOR);
}

#[test]
fn it_doubles_while_most_do_not_answer_and_no_further_than_a_second() {
    let mut patience = AdaptiveTimeout::new(FLOOR);
    let mut seen = Vec::new();
    for _question in 0..5 {
        patience.took(&millis(&[40]), 4);
        seen.push(patience.get().as_millis());
    }
    assert_eq!(seen, [300, 600, 1_000, 1_000, 1_000]);
    patience.took(&millis(&[200, 200, 200, 200]), 4);
    assert_eq!(patience.get(), Duration::from_millis(600));
}

/// One rank that is away must not make the others' questions wait longer.
#[test]
fn a_few_that_are_away_do_not_count() {
    let mut patience = AdaptiveTimeout::new(FLOOR);
    for _question in 0..9 {
        patience.took(&millis(&[30, 30, 30]), 4);
    }
    assert_eq!(patience.get(), FLOOR);
}

#[test]
fn what_is_simply_asked_again_does_not_double() {
    let mut patience = AdaptiveTimeout::without_doubling(FLOOR);
    patience.took(&[], 4);
    assert_eq!(patience.get(), FLOOR);
    patience.set_floor(FLOOR * 2);
    assert_eq!(patience.get(), FLOOR * 2);
}
