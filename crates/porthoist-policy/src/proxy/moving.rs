//! Decides when a request leaves the target that runs it, to be resent or resumed at another one.
//!
//! This handles a group that stalls, becomes slow or is cut off while others work, and a host that
//! stalls while its group works. A move wastes the work that the target has done, and the number of
//! resends is limited. It is worthwhile only if the caller gains an answer in time, or one at all.

use super::forecast::StreamStats;
use super::groups::{GOOD_PASS_MILLIS, GroupStatus};
use porthoist_core::{UnixDeadline, UnixMillis};

/// Minimum time in milliseconds that a request waits for its first event before its target alone is
/// suspected.
const MIN_FIRST_WAIT_MILLIS: f64 = 250.0;
/// Number of mean deviations after which a late first event is considered lost. Usually 99 of 100 arrive
/// within 263 ms, and the mean is 175 ms.
const FIRST_DEVIATIONS: f64 = 5.0;
/// Time in milliseconds that a request waits in a rank's queue for each request beyond the rank's slots:
/// 150 to 200 ms when slots hold streams of 23 events and passes take 80 ms.
const QUEUE_MILLIS_PER_REQUEST: u64 = 200;
/// Time in milliseconds that a request waits for its first event at an unreachable host: twice the usual
/// time elsewhere.
const HOST_SILENT_MILLIS: u64 = 350;
/// Pause in milliseconds after which a stream is resumed elsewhere. Callers leave after 2 s without an
/// event, and the first event elsewhere takes some 200 ms.
const PAUSE_MILLIS: u64 = 800;
/// Minimum time in milliseconds since a request was sent, or since its last event, before it leaves a
/// target. Also the time after which it leaves a stalled group if it can still be in time elsewhere;
/// switching expert maps blocks a group for less.
pub const MIN_WAIT_MILLIS: u64 = 150;
/// Factor by which passes must take longer than elsewhere before a request leaves a group that still
/// works.
const SLOW_FACTOR: f64 = 3.0;
/// Number of events in the longest answers, as a multiple of the mean: 48.5 to 19.4 on the users'
/// routes. In a group slowed by a factor of 12, 14 of 6,900 requests reached their deadline with half of
/// their events.
const LONGEST_ANSWER_FACTOR: f64 = 2.5;
/// Time in milliseconds for which a group must be slow before requests leave it for that reason; even a
/// long switch of expert maps is over by then.
const MIN_SLOW_MILLIS: u64 = 400;

/// Fractions of occupied slots in other groups up to which streams, and requests that can still be in
/// time, move there. Above these, moves only make others late: the 250 streams of two stalled groups
/// filled the third one, whose ranks then refused 190 new requests in a second.
const MAX_OCCUPANCY_FOR_STREAMS: f64 = 0.7;
const MAX_OCCUPANCY_FOR_ON_TIME: f64 = 0.8;
/// Upper bound in milliseconds of the random delay of a move, so that the moves of all processes are not
/// simultaneous.
pub const MAX_MOVE_JITTER_MILLIS: u64 = 400;

/// A request that waits for its target.
#[derive(Debug, Clone, Copy)]
pub struct PendingSend {
    /// When it was sent or its last event arrived.
    pub since: UnixMillis,
    /// Number of events received.
    pub events: u64,
    /// Until when the queue at its target explains that no event has arrived: the latest of
    /// [`queued_until`] since it was sent. The default if no report has shown a queue.
    pub queued_until: UnixDeadline,
    /// Delay of a move in milliseconds, below [`MAX_MOVE_JITTER_MILLIS`].
    pub jitter_millis: u64,
    /// Until when its first event is on time.
    pub on_time_until: UnixDeadline,
    /// When its caller stops waiting.
    pub deadline: UnixDeadline,
}

/// State of its own group and of the alternatives.
#[derive(Debug, Clone, Copy)]
pub struct MoveOptions {
    /// State of its own group.
    pub here: GroupStatus,
    /// Pass time in milliseconds of the best other working group; `None` without one.
    pub elsewhere_millis: Option<f64>,
    /// Fraction of slots that are occupied in working groups.
    pub occupancy: f64,
    /// Whether the process on the target's host is unreachable as well.
    pub host_silent: bool,
    /// Statistics of the service's streams.
    pub streams: StreamStats,
}

/// Why a request leaves a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// Its group has stalled or is unreachable.
    GroupStalled,
    /// Its group is too slow to finish the answer before the deadline.
    GroupSlow,
    /// Its group works, but the target does not respond, and its queue does not explain that.
    TargetSilent,
}

impl MoveCause {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::GroupStalled => "group_stands",
            Self::GroupSlow => "group_slow",
            Self::TargetSilent => "target_silent",
        }
    }
}

/// Until when a request that was sent at `since` may wait in the queue of a rank that holds
/// `beyond_slots` more requests than it has slots.
pub fn queued_until(since: UnixMillis, beyond_slots: u32) -> UnixDeadline {
    UnixDeadline::after(since, QUEUE_MILLIS_PER_REQUEST * u64::from(beyond_slots))
}

/// Whether a request should leave its target now, and why.
pub fn move_cause(send: &PendingSend, options: &MoveOptions, now: UnixMillis) -> Option<MoveCause> {
    let waited = now.since(send.since);
    let target_silent = !options.here.stalled && is_target_silent(send, options, now);
    // Another rank of the same group can serve it as well.
    let elsewhere = options.elsewhere_millis.or_else(|| target_silent.then_some(options.here.millis))?;
    let remaining_millis = send.deadline.0.since(now) as f64;
    if options.streams.first_millis > remaining_millis {
        return None;
    }
    if target_silent {
        return Some(MoveCause::TargetSilent);
    }
    let first = options.streams.first_millis as u64;
    let on_time_elsewhere = send.events == 0 && now.plus(first) <= send.on_time_until.0;
    if options.here.stalled && on_time_elsewhere && waited >= MIN_WAIT_MILLIS {
        return (options.occupancy < MAX_OCCUPANCY_FOR_ON_TIME).then_some(MoveCause::GroupStalled);
    }
    if options.occupancy >= MAX_OCCUPANCY_FOR_STREAMS {
        return None;
    }
    if options.here.stalled && waited >= PAUSE_MILLIS + send.jitter_millis {
        return Some(MoveCause::GroupStalled);
    }
    let remaining_events =
        (options.streams.answer_events - send.events as f64).max(options.streams.answer_events / 2.0);
    let persistently_slow = options.here.slow_for_millis >= MIN_SLOW_MILLIS + send.jitter_millis
        && options.here.millis > SLOW_FACTOR * elsewhere;
    // The length of the answer is unknown, so the request leaves while even the longest can still finish
    // elsewhere.
    let longest = LONGEST_ANSWER_FACTOR * options.streams.answer_events;
    let last_chance = options.streams.first_millis + longest * elsewhere;
    let too_slow = persistently_slow
        && (remaining_events * options.here.millis > remaining_millis || remaining_millis < last_chance);
    let finishes_elsewhere = options.streams.first_millis + remaining_events * elsewhere < remaining_millis;
    (too_slow && finishes_elsewhere).then_some(MoveCause::GroupSlow)
}

/// Whether a target does not respond although its group works. A rank of a working group takes part in
/// every pass, so a request that may wait in its queue shows nothing about the rank.
fn is_target_silent(send: &PendingSend, options: &MoveOptions, now: UnixMillis) -> bool {
    let streams = options.streams;
    let (since, timeout) = match (send.events, options.host_silent) {
        (0, true) => (send.since, HOST_SILENT_MILLIS as f64),
        (0, false) => {
            let first = streams.first_millis + FIRST_DEVIATIONS * streams.first_deviation;
            (send.since.max(send.queued_until.0), first.max(MIN_FIRST_WAIT_MILLIS))
        }
        (_begun, _silent) => (send.since, PAUSE_MILLIS as f64),
    };
    let waited = now.since(since);
    // Where passes are slow, many first events are late and none is lost; moves would only add load.
    (options.host_silent || options.here.millis <= GOOD_PASS_MILLIS) && waited as f64 > timeout
}
