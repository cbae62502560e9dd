//! Checks that the simulations are reproducible from a seed and agree in kind with the documented
//! measurements.

use porthoist_core::RequestRate;
use porthoist_lab::experts::{ExpertsSettings, report, run};
use porthoist_lab::limits::{LimitSettings, run as run_limits};
use porthoist_lab::overload::callers::CallerLoad;
use porthoist_lab::overload::groups::{GroupFault, compare as compare_groups};
use porthoist_lab::overload::{OverloadSettings, compare as compare_rules};
use porthoist_lab::route::{RouteSettings, compare};
use porthoist_lab::target_limits::{LimitMethod, TargetLimitSettings, simulate};
use test_case::test_case;

#[test]
fn planner_reduces_skew_with_fewer_bytes_than_a_full_rebalance() {
    let settings = ExpertsSettings::builder().ranks(8).slots(20).seed(1).seconds(120).build();
    let rows = report(&run(&settings));
    assert_eq!(serde_json::to_value(&rows).unwrap(), serde_json::to_value(report(&run(&settings))).unwrap());
    let ours = &rows["rambursa"];
    assert!(ours.skew_p99 < rows["static"].skew_p99);
    assert!(ours.bytes_moved * 4 < rows["full"].bytes_moved);
}

#[test]
fn router_halves_p99_of_two_choices_and_stays_near_omniscient() {
    // The first fifth of the run, in which the caches are cold, is not measured.
    let settings = RouteSettings::builder().seed(1).seconds(50).target_crash(false).build();
    let rows = compare(&settings, 500.0, 0.7);
    let again = compare(&settings, 500.0, 0.7);
    assert_eq!(serde_json::to_value(&rows).unwrap(), serde_json::to_value(&again).unwrap());
    assert!(rows["porthoist"].first_token_p99 * 2.0 < rows["two_choices"].first_token_p99);
    assert!(rows["porthoist"].ratio_omniscient < 1.5, "{}", rows["porthoist"].ratio_omniscient);
}

#[test]
fn team_limits_hold_with_skewed_entries() {
    let settings =
        LimitSettings::builder().seed(1).teams(10).entries(3).rate(600.0).skew(0.9).seconds(20).build();
    let case = run_limits(&settings, "skewed");
    assert!(case.over_admission < 0.02 && case.unused < 0.05, "{case:?}");
}

/// With turns, a limit of 1 request per second holds for any number of entries, also with clocks 5
/// s apart. If the number of entries is unknown, it holds for up to 149 entries. Buckets of one
/// request each let 42 requests pass in 4 s with 42 entries, where 11 are allowed.
#[test]
fn turns_enforce_a_target_limit_for_any_number_of_entries() {
    for clocks_apart in [0, 5_000] {
        for entries in [3, 7, 42, 149, 600] {
            let settings = TargetLimitSettings::builder().seed(1).entries(entries).limit(RequestRate(1.0));
            let settings = settings.seconds(100).max_clock_offset_millis(clocks_apart).build();
            let turns = simulate(&settings, LimitMethod::Turns);
            assert!(turns.most <= turns.allowed && turns.used >= 0.6, "{entries} entries: {turns:?}");
            let uncounted = simulate(&settings, LimitMethod::TurnsUncounted);
            assert!(entries > 149 || uncounted.most <= uncounted.allowed, "{entries} entries: {uncounted:?}");
        }
    }
    let settings =
        TargetLimitSettings::builder().seed(1).entries(42).limit(RequestRate(1.0)).seconds(100).build();
    let buckets = simulate(&settings, LimitMethod::Buckets);
    assert!(buckets.most > buckets.allowed, "{buckets:?}");
}

/// Maximum 99th percentile of the waiting time in milliseconds of requests that are then refused.
const MAX_REFUSED_WAIT_MILLIS: f64 = 20.0;

/// Under a load beyond the group's capacity, porthoist gains more credit than the fixed-wait rule,
/// which lets requests wait for 0.24 of the target latency and has fixed retry delays. With seed 1,
/// the fixed-wait rule reached 0.807, 0.644, 0.516, 0.712 and 0.739 in these cases, and refused
/// requests only after 120 ms.
#[test_case(CallerLoad::Steady(1.2), 0.05; "a fifth too much")]
#[test_case(CallerLoad::Steady(1.4), 0.08; "two fifths too much")]
#[test_case(CallerLoad::Steady(1.6), 0.08; "three fifths too much")]
#[test_case(CallerLoad::Rush, 0.02; "a rush for nine seconds")]
#[test_case(CallerLoad::Impatient, 0.04; "callers who repeat at once")]
fn unservable_requests_are_refused_early_and_others_served_on_time(load: CallerLoad, gain: f64) {
    for seed in 1..=3 {
        let rows = compare_rules(&OverloadSettings::builder().seed(seed).load(load).build());
        let (ours, fixed) = (&rows["porthoist"], &rows["fixed_wait"]);
        assert!(ours.credit > fixed.credit + gain, "seed {seed}: {ours:?} {fixed:?}");
        assert!(ours.refused_wait_p99 < MAX_REFUSED_WAIT_MILLIS, "seed {seed}: {ours:?}");
        assert!(ours.late < 0.03, "seed {seed}: {ours:?}");
    }
}

/// After an outage, porthoist must not lose credit against fixed retry delays: service resumes as
/// soon as the outage ends.
#[test_case(1; "a second")]
#[test_case(3; "three seconds")]
#[test_case(6; "six seconds")]
#[test_case(10; "ten seconds")]
fn outage_costs_no_more_than_with_fixed_retry_delays(seconds: u64) {
    for seed in 1..=3 {
        let rows =
            compare_rules(&OverloadSettings::builder().seed(seed).load(CallerLoad::Outage(seconds)).build());
        let (ours, fixed) = (&rows["porthoist"], &rows["fixed_wait"]);
        assert!(ours.credit > fixed.credit - 0.015, "seed {seed}: {ours:?} {fixed:?}");
    }
}

#[test_case(0.6)]
#[test_case(1.0)]
fn load_within_capacity_is_served_on_time(fraction: f64) {
    let settings = OverloadSettings::builder().seed(1).load(CallerLoad::Steady(fraction)).build();
    let rows = compare_rules(&settings);
    assert!(rows["porthoist"].in_time > 0.99, "{:?}", rows["porthoist"]);
    let again = compare_rules(&settings);
    assert_eq!(serde_json::to_value(&rows).unwrap(), serde_json::to_value(&again).unwrap());
}

/// One of three groups is disturbed at a third of the total capacity. With all ranks treated as one
/// group, 0.009 to 0.113 of all streams were lost (seeds 1 to 3); with each group judged by itself
/// 0.005 to 0.041; with moves 0.000 to 0.006.
#[test_case(GroupFault::Slow; "a rank slow by 12")]
#[test_case(GroupFault::Held; "a group held for four seconds")]
#[test_case(GroupFault::CutOff; "a zone cut off")]
fn disturbed_group_loses_few_requests_if_other_groups_have_capacity(fault: GroupFault) {
    for seed in 1..=3 {
        let ways = compare_groups(fault, 20, seed);
        let (together, by_group, moving) = (&ways["together"], &ways["by group"], &ways["moving"]);
        assert!(by_group.credit > together.credit, "seed {seed}: {by_group:?} {together:?}");
        assert!(moving.credit > by_group.credit, "seed {seed}: {moving:?} {by_group:?}");
        assert!(moving.lost < together.lost / 3.0, "seed {seed}: {moving:?} {together:?}");
    }
}

#[test]
fn requests_do_not_move_without_a_fault() {
    let ways = compare_groups(GroupFault::None, 20, 1);
    assert!(ways["moving"].moves < 0.001, "{:?}", ways["moving"]);
    assert!(ways["moving"].in_time > 0.99, "{:?}", ways["moving"]);
}
