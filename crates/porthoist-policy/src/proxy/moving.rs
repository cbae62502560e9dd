//! When a request leaves a target that still has it, to be sent again or resumed at another one.
//!
//! It answers the load of one group of several that stands, turns slow or is cut off, and of one host that stands still
//! while its group goes on. A move wastes what the target did, and the repeats that processes may send are bounded; it is
//! worth it only where the caller gains: an answer in time, or one at all.

use super::forecast::StreamTimes;
use super::groups::{GOOD_PASS_MILLIS, GroupStatus};
use porthoist_core::{UnixDeadline, UnixMillis};

/// Least time in milliseconds that a request waits for its first event before its target alone is suspected.
const LEAST_FIRST_MILLIS: f64 = 250.0;
/// A first event that is late by so many mean deviations is taken to be lost. On a calm day 99 of 100 come within 263 ms
/// and the mean is 175.
const FIRST_DEVIATIONS: f64 = 5.0;
/// Time in milliseconds that a request waits for its first event at a host that is not heard: twice what one takes elsewhere.
const HOST_SILENT_MILLIS: u64 = 350;
/// Pause in milliseconds after which a stream goes on elsewhere. Callers leave after two seconds without an event, and the
/// first event elsewhere takes some 200.
const PAUSE_MILLIS: u64 = 800;
/// Least time in milliseconds since a request was sent, or its last event came, after which it leaves a target, and that
/// after which it leaves a group that stands where it can still be in time elsewhere: a switch of maps holds a group for
/// less.
pub const LEAST_WAIT_MILLIS: u64 = 150;
/// How many times longer than elsewhere passes must take to leave a group that goes on.
const SLOW_FACTOR: f64 = 3.0;
/// The longest answers have so many times the events of the mean one: 48.5 and 19.4 on the users' routes. In a group slow by
/// 12, 14 of 6,900 requests came to their deadline with half of their events.
const LONGEST_ANSWER: f64 = 2.5;
/// Time in milliseconds for which a group must be slow to be left for that: a switch of maps that takes long is over by
/// then.
const LASTING_MILLIS: u64 = 400;

/// Part of the places in other groups up to which streams go on there, and up to which requests do that can still be in
/// time. Above, they would only make others late: the 250 streams of two groups that were held filled the third one, whose
/// ranks then refused 190 new requests in a second.
const ROOM_FOR_STREAMS: f64 = 0.7;
const ROOM_FOR_FIRST: f64 = 0.8;
/// Longest time in milliseconds by which moves are spread, so that those of all processes are not at the same moment.
pub const MAX_MOVE_JITTER_MILLIS: u64 = 400;

/// A request at a target.
#[derive(Debug, Clone, Copy)]
pub struct PendingSend {
    /// When it was sent, or its last event came.
    pub since: UnixMillis,
    /// Events that came.
    pub events: u64,
    /// By how much a move is put off, in milliseconds, at most [`MAX_MOVE_JITTER_MILLIS`].
    pub jitter_millis: u64,
    /// When its first event would be late.
    pub on_time_until: UnixDeadline,
    /// When nobody waits for it any more.
    pub deadline: UnixDeadline,
}

/// What is known of the ways that it has.
#[derive(Debug, Clone, Copy)]
pub struct KnownWays {
    /// How its group does.
    pub here: GroupStatus,
    /// Pass time in milliseconds of the best other group that goes on; nothing without one.
    pub elsewhere_millis: Option<f64>,
    /// Part of the places that is taken in groups that go on.
    pub taken: f64,
    /// Whether the process on the target's host is not heard either.
    pub host_silent: bool,
    /// What streams of the service are like.
    pub streams: StreamTimes,
}

/// Why a request leaves a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// Its group stands, or its way is cut.
    GroupStalled,
    /// Its group is too slow to end the answer before its deadline.
    GroupSlow,
    /// Its group goes on, and the target does not.
    TargetSilent,
}

impl MoveCause {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::GroupStalled => "group_stands",
            Self::GroupSlow => "group_slow",
            Self::TargetSilent => "target_silent",
        }
    }
}

/// Whether a request is to leave its target now.
pub fn move_cause(send: &PendingSend, ways: &KnownWays, now: UnixMillis) -> Option<MoveCause> {
    let waited = now.since(send.since);
    let target_silent = !ways.here.stalled && is_silent(send, ways, waited);
    // Another rank of the same group can take what this one does not.
    let elsewhere = ways.elsewhere_millis.or_else(|| target_silent.then_some(ways.here.millis))?;
    let left = send.deadline.0.since(now) as f64;
    if ways.streams.first_millis > left {
        return None;
    }
    if target_silent {
        return Some(MoveCause::TargetSilent);
    }
    let first = ways.streams.first_millis as u64;
    let on_time_elsewhere = send.events == 0 && now.plus(first) <= send.on_time_until.0;
    if ways.here.stalled && on_time_elsewhere && waited >= LEAST_WAIT_MILLIS {
        return (ways.taken < ROOM_FOR_FIRST).then_some(MoveCause::GroupStalled);
    }
    if ways.taken >= ROOM_FOR_STREAMS {
        return None;
    }
    if ways.here.stalled && waited >= PAUSE_MILLIS + send.jitter_millis {
        return Some(MoveCause::GroupStalled);
    }
    let rest = (ways.streams.answer_events - send.events as f64).max(ways.streams.answer_events / 2.0);
    let lasting = ways.here.slow_for_millis >= LASTING_MILLIS + send.jitter_millis
        && ways.here.millis > SLOW_FACTOR * elsewhere;
    // Nobody knows the rest of a long answer: it leaves while the longest can still end elsewhere.
    let longest = LONGEST_ANSWER * ways.streams.answer_events;
    let last_chance = ways.streams.first_millis + longest * elsewhere;
    let too_slow = lasting && (rest * ways.here.millis > left || left < last_chance);
    let ends_elsewhere = ways.streams.first_millis + rest * elsewhere < left;
    (too_slow && ends_elsewhere).then_some(MoveCause::GroupSlow)
}

/// Whether a target says nothing although its group goes on.
fn is_silent(send: &PendingSend, ways: &KnownWays, waited: u64) -> bool {
    let streams = ways.streams;
    let patience = match (send.events, ways.host_silent) {
        (0, true) => HOST_SILENT_MILLIS as f64,
        (0, false) => {
            (streams.first_millis + FIRST_DEVIATIONS * streams.first_deviation).max(LEAST_FIRST_MILLIS)
        }
        (_begun, _silent) => PAUSE_MILLIS as f64,
    };
    // Where passes are long, many first events are late and none is lost: leaving for that would add to the load.
    (ways.host_silent || ways.here.millis <= GOOD_PASS_MILLIS) && waited as f64 > patience
}
