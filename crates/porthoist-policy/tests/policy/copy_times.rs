//! Tests of the plan size derived from observed copy and switch times.

use porthoist_policy::placement::copy_times::CopyTimes;
use test_case::test_case;

fn times(copy_millis: f64, switch_millis: f64) -> CopyTimes {
    let mut times = CopyTimes::default();
    for copies in 1..=5 {
        times.record_copies(copies, copy_millis * copies as f64);
        times.record_switch(switch_millis);
    }
    times
}

#[test_case(400.0, 150.0, 1; "a slow link")]
#[test_case(100.0, 200.0, 3; "a link four times faster")]
#[test_case(10.0, 200.0, 4; "copies that take next to nothing")]
fn copies_per_rank_follow_observed_times(copy_millis: f64, switch_millis: f64, expected: usize) {
    assert_eq!(times(copy_millis, switch_millis).copies_per_rank(4), expected);
}

#[test]
fn first_plan_has_one_copy_per_rank() {
    assert_eq!(CopyTimes::default().copies_per_rank(4), 1);
}

#[test]
fn copy_delayed_by_lost_order_is_ignored() {
    let mut times = times(400.0, 150.0);
    times.record_copies(1, 6_000.0);
    assert_eq!(times.copy_millis(), Some(400.0));
}
