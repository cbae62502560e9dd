//! Simulated callers: when they arrive, how long they wait, and when they retry.

use super::{ABANDON_MILLIS, LATENCY_MILLIS, MAX_PAUSE_MILLIS, TICK_MILLIS, deadline};
use crate::overload::group::GroupState;
use porthoist_core::{UnixDeadline, UnixMillis};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Streams per second that the modelled group can serve: 12 ranks with 12 streams each, 24 events
/// per stream, and a pass of about 85 ms.
pub const GROUP_CAPACITY: f64 = 70.0;
/// Mean number of events per stream, as on the users' routes.
const MEAN_STREAM_EVENTS: f64 = 24.0;
/// Start of a disturbance, in milliseconds.
const DISTURBANCE_START_MILLIS: u64 = 10_000;
/// Duration of the rush in milliseconds, and its arrival rate as a multiple of [`GROUP_CAPACITY`].
const RUSH_MILLIS_AND_FACTOR: (u64, f64) = (9_000, 2.2);
/// Time between demand shifts, and time until the expert map has followed a shift, in milliseconds.
const SHIFT_AND_LAG_MILLIS: (u64, u64) = (3_500, 700);
/// Expert skew between a demand shift and the matching map.
const SHIFTED_SKEW: f64 = 3.0;
/// Expert skew with a matching map.
const BALANCED_SKEW: f64 = 1.35;

/// Load pattern on the group.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerLoad {
    /// This fraction of the group's capacity.
    Steady(f64),
    /// 0.9 of the capacity, and 2.2 times the capacity for 9 s.
    Rush,
    /// 0.9 of the capacity, with a demand shift every 3.5 s.
    Shifts,
    /// 0.9 of the capacity, with a group that is down for this many seconds.
    Outage(u64),
    /// 1.3 times the capacity, with a third of the refused callers retrying at once.
    Impatient,
}

impl CallerLoad {
    /// Requested streams per second.
    pub fn rate(self, now: UnixMillis) -> f64 {
        let fraction = match self {
            Self::Steady(fraction) => fraction,
            Self::Rush
                if (DISTURBANCE_START_MILLIS..DISTURBANCE_START_MILLIS + RUSH_MILLIS_AND_FACTOR.0)
                    .contains(&now.0) =>
            {
                RUSH_MILLIS_AND_FACTOR.1
            }
            Self::Rush | Self::Shifts | Self::Outage(_) => 0.9,
            Self::Impatient => 1.3,
        };
        fraction * GROUP_CAPACITY
    }

    /// Number of callers that arrive in one tick.
    pub fn arrivals(self, now: UnixMillis, random: &mut Pcg64Mcg) -> usize {
        let expected = self.rate(now) * TICK_MILLIS as f64 / 1_000.0;
        let whole = expected.floor();
        whole as usize + usize::from(random.random_bool(expected - whole))
    }

    /// State of the group at a time.
    pub fn group_state(self, now: UnixMillis) -> GroupState {
        let skew = match self {
            Self::Shifts if now.0 % SHIFT_AND_LAG_MILLIS.0 < SHIFT_AND_LAG_MILLIS.1 => SHIFTED_SKEW,
            _ => BALANCED_SKEW,
        };
        let down = match self {
            Self::Outage(seconds) => {
                (DISTURBANCE_START_MILLIS..DISTURBANCE_START_MILLIS + seconds * 1_000).contains(&now.0)
            }
            _ => false,
        };
        GroupState { skew, down, slowdown: 1.0 }
    }

    /// Number of events of a new stream.
    pub fn events(self, random: &mut Pcg64Mcg) -> u32 {
        // Uniform between a third and five thirds of the mean.
        (MEAN_STREAM_EVENTS * random.random_range(0.33..1.67)) as u32
    }

    /// Whether a refused caller retries at once and ignores the given delay.
    pub fn retries_at_once(self, random: &mut Pcg64Mcg) -> bool {
        self == Self::Impatient && random.random_bool(0.33)
    }
}

/// Final result of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerOutcome {
    /// All events received, none late.
    InTime,
    /// All events received, at least one late.
    Late,
    /// Refused, with no time left for a retry.
    RefusedOnce,
    /// Refused twice.
    RefusedTwice,
    /// The caller left.
    Left,
    /// No result yet.
    Pending,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerState {
    Waiting,
    Assigned(usize),
    BackingOff(UnixDeadline),
    Ended(CallerOutcome),
}

/// One caller and the state of its request.
#[derive(Debug, Clone)]
pub struct SimulatedCaller {
    events: u32,
    events_received: u32,
    arrival: UnixMillis,
    submitted_at: UnixMillis,
    assigned_at: UnixMillis,
    last_event: Option<UnixMillis>,
    late: bool,
    refusals: u32,
    state: CallerState,
}

impl SimulatedCaller {
    /// Creates a caller that arrives now.
    pub fn new(events: u32, now: UnixMillis) -> Self {
        Self {
            events: events.max(1),
            events_received: 0,
            arrival: now,
            submitted_at: now,
            assigned_at: now,
            last_event: None,
            late: false,
            refusals: 0,
            state: CallerState::Waiting,
        }
    }

    /// Number of events of its stream.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// When the caller gives up.
    pub fn deadline(&self) -> UnixDeadline {
        deadline(self.arrival)
    }

    /// When its request was assigned to a rank.
    pub fn assigned_at(&self) -> UnixMillis {
        self.assigned_at
    }

    /// Whether it was refused before.
    pub fn is_retry(&self) -> bool {
        self.refusals > 0
    }

    /// Whether it waits for a decision or a free rank.
    pub fn is_waiting(&self) -> bool {
        self.state == CallerState::Waiting
    }

    /// Whether it has a final result.
    pub fn has_ended(&self) -> bool {
        matches!(self.state, CallerState::Ended(_))
    }

    /// Whether its delay before a retry has passed.
    pub fn retry_due(&self, now: UnixMillis) -> bool {
        matches!(self.state, CallerState::BackingOff(until) if until.passed(now))
    }

    /// Its result so far.
    pub fn outcome(&self) -> CallerOutcome {
        match self.state {
            CallerState::Ended(outcome) => outcome,
            _ => CallerOutcome::Pending,
        }
    }

    pub(super) fn submit(&mut self, now: UnixMillis) {
        self.submitted_at = now;
        self.state = CallerState::Waiting;
    }

    pub(super) fn assign(&mut self, rank: usize, now: UnixMillis) {
        self.assigned_at = now;
        self.state = CallerState::Assigned(rank);
    }

    /// Records a refusal with a delay before a retry. Returns how long the request had waited, in
    /// milliseconds.
    pub(super) fn refuse(&mut self, millis: u64, now: UnixMillis) -> u64 {
        self.refusals += 1;
        let until = UnixDeadline::after(now, millis);
        self.state = if self.refusals > 1 {
            CallerState::Ended(CallerOutcome::RefusedTwice)
        } else if until >= self.deadline() {
            CallerState::Ended(CallerOutcome::RefusedOnce)
        } else {
            CallerState::BackingOff(until)
        };
        now.since(self.submitted_at)
    }

    /// When it arrived.
    pub fn arrival(&self) -> UnixMillis {
        self.arrival
    }

    /// When it received its last event.
    pub fn last_event(&self) -> Option<UnixMillis> {
        self.last_event
    }

    /// Number of events received.
    pub fn events_received(&self) -> u32 {
        self.events_received
    }

    /// Number of events still to be received.
    pub fn events_remaining(&self) -> u32 {
        self.events - self.events_received
    }

    /// The rank that it is assigned to.
    pub fn assigned_rank(&self) -> Option<usize> {
        match self.state {
            CallerState::Assigned(rank) => Some(rank),
            _ => None,
        }
    }

    /// Records an event. Returns whether it is the first.
    pub(super) fn receive_event(&mut self, now: UnixMillis) -> bool {
        let late = match self.last_event {
            None => now.since(self.arrival) > LATENCY_MILLIS,
            Some(last) => now.since(last) as f64 > MAX_PAUSE_MILLIS,
        };
        self.late |= late;
        self.events_received += 1;
        self.last_event.replace(now).is_none()
    }

    pub(super) fn finish(&mut self, _now: UnixMillis) {
        let outcome = if self.late { CallerOutcome::Late } else { CallerOutcome::InTime };
        self.state = CallerState::Ended(outcome);
    }

    /// Leaves if it has timed out. Returns the rank that it was assigned to.
    pub(super) fn leave_on_timeout(&mut self, now: UnixMillis) -> Option<usize> {
        let rank = match self.state {
            CallerState::Waiting => None,
            CallerState::Assigned(rank) => Some(rank),
            CallerState::BackingOff(_) | CallerState::Ended(_) => return None,
        };
        let last_activity = self.last_event.unwrap_or(self.submitted_at);
        if now.since(last_activity) <= ABANDON_MILLIS && !self.deadline().passed(now) {
            return None;
        }
        self.state = CallerState::Ended(CallerOutcome::Left);
        rank
    }
}
