//! The experiments come to the same for a seed, and to what their pages say in kind.

use porthoist_lab::experts::{ExpertsSettings, report, run};
use porthoist_lab::limits::{LimitSettings, run as run_limits};
use porthoist_lab::route::{RouteSettings, compare};

#[test]
fn placement_closes_the_gap_with_few_bytes() {
    let settings = ExpertsSettings::builder().ranks(8).slots(20).seed(1).seconds(120).build();
    let rows = report(&run(&settings));
    assert_eq!(serde_json::to_value(&rows).unwrap(), serde_json::to_value(report(&run(&settings))).unwrap());
    let ours = &rows["rambursa"];
    assert!(ours.skew_p99 < rows["static"].skew_p99);
    assert!(ours.bytes_moved * 4 < rows["full"].bytes_moved);
}

#[test]
fn routing_beats_two_choices_and_comes_near_the_omniscient() {
    // The first fifth, in which the caches are cold, is not counted.
    let settings = RouteSettings::builder().seed(1).seconds(50).death(false).build();
    let rows = compare(&settings, 500.0, 0.7);
    let again = compare(&settings, 500.0, 0.7);
    assert_eq!(serde_json::to_value(&rows).unwrap(), serde_json::to_value(&again).unwrap());
    assert!(rows["porthoist"].first_token_p99 * 2.0 < rows["two_choices"].first_token_p99);
    assert!(rows["porthoist"].ratio_omniscient < 1.5, "{}", rows["porthoist"].ratio_omniscient);
}

#[test]
fn limits_hold_with_skewed_entries() {
    let settings =
        LimitSettings::builder().seed(1).teams(10).entries(3).rate(600.0).skew(0.9).seconds(20).build();
    let case = run_limits(&settings, "skewed");
    assert!(case.over_admission < 0.02 && case.unused < 0.05, "{case:?}");
}
