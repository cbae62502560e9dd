//! Moves of requests from one target to another.

use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::forecast::StreamStats;
use porthoist_policy::proxy::groups::GroupStatus;
use porthoist_policy::proxy::moving::{MoveCause, MoveOptions, PendingSend, move_cause};
use test_case::test_case;

const USUAL_PASS: f64 = 50.0;

fn status(millis: f64) -> GroupStatus {
    GroupStatus { millis, stalled: millis >= 400.0, slow_for_millis: 0, probe_due: false }
}

fn options(here: f64, elsewhere: Option<f64>) -> MoveOptions {
    let streams = StreamStats { first_millis: 175.0, first_deviation: 20.0, answer_events: 19.0 };
    MoveOptions {
        here: status(here),
        elsewhere_millis: elsewhere,
        occupancy: 0.4,
        host_silent: false,
        streams,
    }
}

/// Sent at time 0, to be on time within 500 ms and answered within 8 s.
fn send(events: u64) -> PendingSend {
    PendingSend {
        since: UnixMillis(0),
        events,
        queued_until: UnixDeadline::default(),
        jitter_millis: 0,
        on_time_until: UnixDeadline(UnixMillis(500)),
        deadline: UnixDeadline(UnixMillis(8_000)),
    }
}

const OTHER: Option<f64> = Some(USUAL_PASS);

#[test_case(0, USUAL_PASS, OTHER, 240 => None; "a usual wait")]
#[test_case(0, USUAL_PASS, OTHER, 290 => Some(MoveCause::TargetSilent); "a target that is silent while its group goes on")]
#[test_case(0, USUAL_PASS, None, 290 => Some(MoveCause::TargetSilent); "another rank of the only group")]
#[test_case(0, 90.0, OTHER, 290 => None; "passes that are slow for all")]
#[test_case(0, 450.0, OTHER, 100 => None; "a hold that ends by itself")]
#[test_case(0, 450.0, OTHER, 200 => Some(MoveCause::GroupStalled); "a group that stands, and time for another")]
#[test_case(0, 450.0, OTHER, 400 => None; "late in any case")]
#[test_case(0, 1_000.0, OTHER, 1_000 => Some(MoveCause::GroupStalled); "before its caller leaves")]
#[test_case(0, 1_000.0, None, 1_000 => None; "nothing goes on elsewhere")]
#[test_case(5, 900.0, OTHER, 600 => None; "a long pass that may be the only one")]
#[test_case(5, USUAL_PASS, OTHER, 600 => None; "a pause")]
#[test_case(5, USUAL_PASS, OTHER, 801 => Some(MoveCause::TargetSilent); "a pause that callers don't bear")]
fn request_leaves_target(events: u64, here: f64, elsewhere: Option<f64>, now: u64) -> Option<MoveCause> {
    move_cause(&send(events), &options(here, elsewhere), UnixMillis(now))
}

#[test_case(300, 600.0 => None; "one long pass")]
#[test_case(900, 600.0 => Some(MoveCause::GroupSlow); "an answer that would not end in time")]
#[test_case(900, 410.0 => None; "an answer that ends in time")]
fn request_leaves_slow_group(slow_for_millis: u64, here: f64) -> Option<MoveCause> {
    let typical = options(here, OTHER);
    let here = GroupStatus { slow_for_millis, ..typical.here };
    move_cause(&send(5), &MoveOptions { here, ..typical }, UnixMillis(600))
}

/// Guards against requests that stay at stalled hosts of a busy group until their callers leave after
/// two seconds.
#[test_case(200.0, 300 => None; "a usual wait in a busy group")]
#[test_case(200.0, 400 => Some(MoveCause::TargetSilent); "far longer")]
fn request_leaves_silent_host(here: f64, now: u64) -> Option<MoveCause> {
    move_cause(&send(0), &MoveOptions { host_silent: true, ..options(here, OTHER) }, UnixMillis(now))
}

/// Guards against overfilling the third group when two of three groups stall and all their streams would
/// move there.
#[test_case(0, 200, 0.7 => Some(MoveCause::GroupStalled); "a request that can be in time")]
#[test_case(0, 200, 0.9 => None; "a request that can be in time, and no room")]
#[test_case(5, 1_000, 0.5 => Some(MoveCause::GroupStalled); "a stream")]
#[test_case(5, 1_000, 0.75 => None; "a stream, and little room")]
fn request_leaves_stalled_group_if_others_have_room(
    events: u64,
    now: u64,
    occupancy: f64,
) -> Option<MoveCause> {
    move_cause(&send(events), &MoveOptions { occupancy, ..options(450.0, OTHER) }, UnixMillis(now))
}

/// An answer of 40 events in a group whose passes take 270 ms, with a deadline 8 s after arrival.
#[test_case(5_000 => None; "time for a usual rest")]
#[test_case(5_600 => Some(MoveCause::GroupSlow); "the last time for a long rest elsewhere")]
fn request_leaves_slow_group_while_long_answer_can_finish_elsewhere(now: u64) -> Option<MoveCause> {
    let typical = options(270.0, OTHER);
    let here = GroupStatus { slow_for_millis: 900, ..typical.here };
    let long = PendingSend { since: UnixMillis(now - 100), ..send(18) };
    move_cause(&long, &MoveOptions { here, ..typical }, UnixMillis(now))
}

#[test]
fn moves_are_delayed_by_jitter() {
    let delayed = PendingSend { jitter_millis: 300, ..send(5) };
    assert_eq!(move_cause(&delayed, &options(900.0, OTHER), UnixMillis(1_000)), None);
    assert_eq!(
        move_cause(&delayed, &options(900.0, OTHER), UnixMillis(1_100)),
        Some(MoveCause::GroupStalled)
    );
}

#[test]
fn request_stays_if_it_cannot_begin_elsewhere_in_time() {
    let short_deadline = PendingSend { deadline: UnixDeadline(UnixMillis(400)), ..send(0) };
    assert_eq!(move_cause(&short_deadline, &options(USUAL_PASS, OTHER), UnixMillis(300)), None);
}
