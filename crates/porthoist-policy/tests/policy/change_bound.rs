//! Tests of when state is renewed so that changes are in force in time.

use porthoist_policy::proxy::change_bound::{ChangeBound, RenewalSchedule};
use std::fmt::Write as _;
use std::time::Duration;
use test_case::test_case;

/// Long-poll timeout without a bound.
const LONGEST: Duration = Duration::from_millis(3_300);
/// Time until a call without a response is repeated, and until the response to the second call.
const REPEAT_MILLIS: u128 = 210;
/// Time to connect to a target.
const CONNECT_MILLIS: u128 = 400;

#[test]
fn ages_follow_from_the_bound() {
    let mut text = String::new();
    for bound in [300, 1_000, 2_000, 3_000, 4_000, 60_000] {
        let schedule = RenewalSchedule::new(ChangeBound::tightest([bound]).service_wait(LONGEST));
        writeln!(
            text,
            "{bound}: renewal {:?}, second reader {:?}, service {:?} to {:?}",
            schedule.renewal(),
            schedule.second_reader(),
            schedule.service_call(0.0),
            schedule.service_call(1.0)
        )
        .unwrap();
    }
    insta::assert_snapshot!(text, @r"
    300: renewal 192ms, second reader 256.8ms, service 300ms to 324ms
    1000: renewal 400ms, second reader 535ms, service 625ms to 675ms
    2000: renewal 800ms, second reader 1.07s, service 1.25s to 1.35s
    3000: renewal 1.8s, second reader 2.07s, service 2.25s to 2.35s
    4000: renewal 2.8s, second reader 3.07s, service 3.25s to 3.35s
    60000: renewal 2.85s, second reader 3.12s, service 3.3s to 3.4s
    ");
}

#[test_case(1_000, 0; "short, without time to connect")]
#[test_case(2_000, CONNECT_MILLIS; "usual")]
#[test_case(5_000, CONNECT_MILLIS; "long")]
fn bound_holds_if_one_call_is_lost(bound: u64, connect_millis: u128) {
    let schedule = ChangeBound::tightest([bound, 60_000]).schedule().unwrap();
    let known = schedule.service_call(1.0).as_millis() + REPEAT_MILLIS;
    assert!(known + connect_millis <= u128::from(bound), "{known} ms of {bound}");
    assert!(schedule.renewal() < schedule.second_reader());
    assert!(schedule.second_reader() < schedule.service_call(0.0));
}

#[test]
fn polls_are_not_shortened_without_a_bound() {
    let bound = ChangeBound::tightest([]);
    assert_eq!(bound.schedule(), None);
    assert_eq!(bound.own_wait(LONGEST), LONGEST);
    assert_eq!(bound.service_wait(LONGEST), LONGEST);
}
