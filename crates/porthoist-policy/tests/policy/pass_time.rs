//! Pass times derived from the pass counter.

use porthoist_core::UnixMillis;
use porthoist_policy::proxy::pass_time::{GroupPass, GroupSample, PassTimer};
use porthoist_policy::roll_forward::{GroupEpoch, RankPace};
use porthoist_policy::switch::StepNumber;

fn sample(epoch: u32, step: u32, busy: bool) -> GroupSample {
    GroupSample { epoch: GroupEpoch(epoch), step: StepNumber(step), busy, slowest: RankPace::USUAL }
}

/// A timer that has observed these steps of one formation, each at its time.
fn timer(observations: &[(u32, u64)]) -> PassTimer {
    let mut timer = PassTimer::default();
    for (step, at) in observations {
        timer.observe(sample(1, *step, true), UnixMillis(*at));
    }
    timer
}

#[test]
fn pass_time_is_elapsed_time_per_pass() {
    let timer = timer(&[(10, 0), (12, 100), (14, 200)]);
    assert_eq!(timer.pass(UnixMillis(200)), GroupPass::Millis(50));
}

#[test]
fn pass_time_is_unknown_before_second_pass() {
    assert_eq!(timer(&[(10, 0), (10, 80)]).pass(UnixMillis(500)), GroupPass::Unknown);
}

#[test]
fn running_pass_counts_once_longer_than_mean() {
    let timer = timer(&[(10, 0), (11, 50), (12, 100), (12, 480)]);
    assert_eq!(timer.pass(UnixMillis(500)), GroupPass::Millis(400));
}

#[test]
fn slowdown_is_detected_within_two_passes() {
    let timer = timer(&[(10, 0), (11, 50), (12, 650), (13, 1_250)]);
    let GroupPass::Millis(millis) = timer.pass(UnixMillis(1_250)) else { panic!("passes were seen") };
    assert!(millis > 400, "{millis}");
}

#[test]
fn idle_time_does_not_count_as_pass() {
    let mut timer = timer(&[(10, 0), (11, 50)]);
    timer.observe(sample(1, 11, false), UnixMillis(100));
    timer.observe(sample(1, 11, true), UnixMillis(5_000));
    timer.observe(sample(1, 12, true), UnixMillis(5_050));
    assert_eq!(timer.pass(UnixMillis(5_050)), GroupPass::Millis(50));
}

#[test]
fn time_between_formations_does_not_count_as_pass() {
    let mut timer = timer(&[(10, 0), (11, 50)]);
    timer.observe(sample(2, 1, true), UnixMillis(4_000));
    assert_eq!(timer.pass(UnixMillis(4_010)), GroupPass::Millis(50));
}

/// Guards against a group that lost all its requests while it stalled and then counts as stalled until
/// it gets some again.
#[test]
fn idle_group_is_not_slow_after_long_pass() {
    let mut timer = timer(&[(10, 0), (11, 50), (12, 100), (13, 4_100)]);
    timer.observe(sample(1, 13, false), UnixMillis(4_200));
    let GroupPass::Millis(millis) = timer.pass(UnixMillis(4_200)) else { panic!("passes were seen") };
    assert!(millis < 120, "{millis}");
}

/// New requests would find it as slow as before.
#[test]
fn idle_group_with_slow_rank_counts_as_slow() {
    let mut timer = timer(&[(10, 0), (11, 50), (12, 100)]);
    timer.observe(GroupSample { slowest: RankPace(12_000), ..sample(1, 12, false) }, UnixMillis(150));
    assert_eq!(timer.pass(UnixMillis(150)), GroupPass::Millis(600));
}
