//! Outages of all groups of a service, and the order in which refused callers retry after them.
//!
//! This handles a group that is stalled for 1 to 12 s, plus all callers that send requests meanwhile.
//! Each caller makes one retry. If all of them retry at once, or before the group has recovered, they are
//! refused for good, or they make the first attempts of others late. Each entry plans the retries of the
//! callers that it refused, at the rate at which it was served before; entries exchange nothing.

use super::episodes::EpisodeLengths;
use super::forecast::{WaitDecision, WaitQuery};
use super::wait_queue::QueueClass;
use porthoist_core::{UnixDeadline, UnixMillis};

/// Time in milliseconds without an event after which a caller leaves.
pub(super) const CALLER_SILENCE_MILLIS: u64 = 2_000;
/// Expected milliseconds until a first event before one was observed: that of a group at 9 of 10 slots.
const INITIAL_FIRST_MILLIS: f64 = 250.0;
/// Longest wait in milliseconds of a request that is to be resent or resumed. Its caller has already
/// waited.
const RESENT_WAIT_MILLIS: u64 = 1_000;
/// Divisor of a caller's remaining time that gives its longest retry delay.
const RETRY_DELAY_DIVISOR: u64 = 3;
/// Part of a grant that callers which are late in any case may use while first attempts come. They take
/// it of each grant, so that 0.5 fills a group that an outage has emptied within half a second, and first
/// attempts become late. With 0.13, 0.029 of the callers of an outage of 3 s are refused twice, with 0.16
/// 0.005.
const LATE_SHARE: f64 = 0.16;
/// Fraction of the rate served before the outage at which refused callers retry; the rest is for first
/// attempts. With 0.4, more callers of an outage of 3 s are refused twice (0.038 instead of 0.029 at a
/// late share of 0.13).
const TURN_FRACTION: f64 = 0.25;
/// Smallest assumed rate of served requests per second.
const MIN_RATE: f64 = 1.0;
/// Smallest probability of a recovery in time with which a request waits until its caller leaves. A
/// refused retry is lost for certain, so that the wait pays for the caller long before it is likely to
/// succeed.
const MIN_RECOVERY_CHANCE: f64 = 0.25;
/// Time constant in milliseconds of measured rates.
const RATE_MILLIS: f64 = 2_000.0;
/// Time in milliseconds without a first attempt after which none are coming.
const ATTEMPT_GAP_MILLIS: u64 = 500;

/// Number of events per second, as of the last event.
#[derive(Debug, Clone, Copy, Default)]
struct EventRate {
    per_second: f64,
    updated: UnixMillis,
}

impl EventRate {
    fn record(&mut self, now: UnixMillis) {
        let decay = (-(now.since(self.updated) as f64) / RATE_MILLIS).exp();
        self.per_second = self.per_second * decay + 1_000.0 / RATE_MILLIS;
        self.updated = now;
    }
}

/// What the reports of a service's groups say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupReport {
    /// Whether all groups are stalled.
    pub stalled: bool,
    /// Whether all groups lack a rank, so that they have to form anew.
    pub forming: bool,
}

/// What is known about the current outage and the service before it.
#[derive(Debug, Clone, Copy)]
pub struct OutageView<'a> {
    /// Lengths of earlier outages, and the age of the current one.
    pub lengths: &'a EpisodeLengths,
    /// Milliseconds within which a first event is expected; `None` before one was observed.
    pub first_event_millis: Option<f64>,
}

impl OutageView<'_> {
    /// Milliseconds for which a first attempt can wait and still be on time.
    pub fn on_time_wait(&self, latency_millis: u64) -> u64 {
        latency_millis.saturating_sub(self.first_event())
    }

    /// Milliseconds for which a request can wait until its caller leaves.
    fn silent_wait(&self) -> u64 {
        CALLER_SILENCE_MILLIS.saturating_sub(self.first_event())
    }

    fn first_event(&self) -> u64 {
        self.first_event_millis.unwrap_or(INITIAL_FIRST_MILLIS) as u64
    }
}

/// A caller whose request is refused.
#[derive(Debug, Clone, Copy)]
pub struct RefusedCaller {
    /// Class of its request.
    pub class: QueueClass,
    /// When it stops waiting.
    pub deadline: UnixDeadline,
}

/// What delays the retry of a refused caller in addition to an outage.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueState {
    /// Number of requests to the service that wait.
    pub waiting: usize,
    /// Milliseconds until the rate limits of the targets permit a send.
    pub min_millis: f64,
}

/// What the time of a planned retry follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryTime {
    /// The expected recovery and the caller's turn after it.
    Recovery,
    /// The caller's deadline, which leaves too little time for the recovery or its turn.
    Deadline,
}

impl RetryTime {
    /// All values.
    pub const ALL: [Self; 2] = [Self::Recovery, Self::Deadline];

    /// The value of the label `when` in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Recovery => "recovery",
            Self::Deadline => "deadline",
        }
    }
}

/// When a refused caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPlan {
    /// Delay in milliseconds.
    pub after_millis: u64,
    /// What it follows from, if the retry was given a turn.
    pub when: Option<RetryTime>,
}

/// Orders the retries of the callers that one process refuses during an outage of one service.
#[derive(Debug, Clone, Default)]
pub struct ReturnPlanner {
    /// First events of this process's requests.
    served: EventRate,
    /// Refused first attempts.
    refused: EventRate,
    /// When a first attempt was last asked for.
    last_attempt: UnixMillis,
    /// The latest planned retry.
    last_turn: UnixMillis,
    /// When the last outage ended.
    recovered: Option<UnixMillis>,
    /// Times that the groups took to form anew.
    forming: EpisodeLengths,
    report: GroupReport,
    /// Fraction of a slot that late callers have not been given yet.
    late_fraction: f64,
}

impl ReturnPlanner {
    /// Records the first event of one of this process's requests.
    pub fn record_served(&mut self, now: UnixMillis) {
        self.served.record(now);
    }

    /// Records that a request was asked for.
    pub fn record_asked(&mut self, class: QueueClass, now: UnixMillis) {
        if class == QueueClass::First {
            self.last_attempt = now;
        }
    }

    /// Records the end of an outage.
    pub fn record_recovery(&mut self, now: UnixMillis) {
        self.recovered = Some(now);
    }

    /// Records what the groups report; returns whether they have just resumed.
    pub fn record_report(&mut self, report: GroupReport, now: UnixMillis) -> bool {
        if report.forming {
            self.forming.begin(now);
        } else {
            self.forming.end(now);
        }
        let before = std::mem::replace(&mut self.report, report);
        before.stalled && !report.stalled
    }

    /// Whether a first event that took so long belongs to a request that was sent before the group
    /// recovered. Its time says nothing about later ones.
    pub fn spans_outage(&self, first_millis: f64, now: UnixMillis) -> bool {
        self.recovered.is_some_and(|recovered| first_millis > now.since(recovered) as f64)
    }

    /// Part of a grant that callers may use that are late in any case: at most half while first attempts
    /// come, and all of it otherwise.
    pub fn late_share(&self, now: UnixMillis) -> f64 {
        if now.since(self.last_attempt) < ATTEMPT_GAP_MILLIS { LATE_SHARE } else { 1.0 }
    }

    /// The slots of a grant that callers may use that are late in any case. Fractions add up over grants,
    /// to less than one slot: an entry with grants of one or two slots would never serve a late caller.
    pub fn late_slots(&mut self, grant: f64, now: UnixMillis) -> u32 {
        let slots = grant * self.late_share(now) + self.late_fraction;
        self.late_fraction = slots.fract();
        (slots as u32).min(grant.ceil() as u32)
    }

    /// Decides whether a request waits during an outage, or shortly after it. `None` leaves the decision
    /// to the rules for other times.
    pub fn decide(&self, query: &WaitQuery, outage: OutageView<'_>, now: UnixMillis) -> Option<WaitDecision> {
        let end = |wait: u64| UnixDeadline::after(query.arrival, wait).min(query.deadline);
        let until = match query.class {
            QueueClass::Resent => end(RESENT_WAIT_MILLIS),
            QueueClass::First | QueueClass::CallerRetry => end(outage.silent_wait()),
        };
        let millis = until.0.since(now) as f64;
        if outage.lengths.is_open() {
            let is_likely = self.chance_within(outage.lengths, millis, now) >= MIN_RECOVERY_CHANCE;
            let until = match query.class {
                _any if is_likely => until,
                QueueClass::First if self.extends_reach(query, until, outage.lengths, now) => until,
                QueueClass::First => end(outage.on_time_wait(query.latency_millis)),
                QueueClass::Resent | QueueClass::CallerRetry => return Some(WaitDecision::Refuse),
            };
            Some(wait_until(until, now))
        } else if self.is_recovering(now) {
            let interval = self.served_millis().max(query.rate_limited_millis.unwrap_or_default());
            let expected = interval * (query.ahead + 1) as f64;
            Some(if expected <= millis { wait_until(until, now) } else { WaitDecision::Refuse })
        } else {
            None
        }
    }

    /// Whether a first attempt should wait for as long as its caller does because its turn comes later
    /// than its caller would retry. The wait delays its retry, which can wait once more.
    fn extends_reach(
        &self,
        query: &WaitQuery,
        until: UnixDeadline,
        lengths: &EpisodeLengths,
        now: UnixMillis,
    ) -> bool {
        let recovery = self.recovery_millis(lengths, now) as u64;
        let wait = until.0.since(now);
        let reach = 2 * wait + latest_delay(query.deadline, until.0);
        self.turn_delay(recovery, query.ahead, now) > latest_delay(query.deadline, now) && recovery <= reach
    }

    fn chance_within(&self, lengths: &EpisodeLengths, millis: f64, now: UnixMillis) -> f64 {
        let chance = lengths.chance_within(millis, now);
        if self.forming.is_open() { chance.max(self.forming.chance_within(millis, now)) } else { chance }
    }

    /// Expected milliseconds until the group recovers; 0 if it works.
    fn recovery_millis(&self, lengths: &EpisodeLengths, now: UnixMillis) -> f64 {
        if !lengths.is_open() {
            0.0
        } else if self.forming.is_open() && !self.forming.is_empty() {
            self.forming.expected_remainder(now)
        } else {
            lengths.longest_remainder(now)
        }
    }

    /// Plans the retry of a refused caller. `None` leaves it to the rules for other times.
    pub fn plan(
        &mut self,
        caller: RefusedCaller,
        lengths: &EpisodeLengths,
        queue: QueueState,
        now: UnixMillis,
    ) -> Option<RetryPlan> {
        if !lengths.is_open() && !self.is_recovering(now) {
            return None;
        }
        let latest = latest_delay(caller.deadline, now);
        if caller.class != QueueClass::First {
            // Its caller makes no further retry, so it needs no turn.
            return Some(RetryPlan { after_millis: latest.max(1), when: None });
        }
        self.refused.record(now);
        let recovery = self.recovery_millis(lengths, now).max(queue.min_millis) as u64;
        let turn = self.turn_delay(recovery, queue.waiting, now);
        let when = if turn <= latest { RetryTime::Recovery } else { RetryTime::Deadline };
        let after_millis = turn.min(latest).max(1);
        self.last_turn = self.last_turn.max(UnixMillis(now.0 + after_millis));
        Some(RetryPlan { after_millis, when: Some(when) })
    }

    /// Milliseconds until the next turn, with a recovery in `recovery` milliseconds. The requests that wait
    /// are served before.
    fn turn_delay(&self, recovery: u64, waiting: usize, now: UnixMillis) -> u64 {
        let spacing = (self.served_millis() / TURN_FRACTION).ceil() as u64;
        (self.last_turn.0 + spacing).saturating_sub(now.0).max(recovery + spacing * waiting as u64)
    }

    /// Milliseconds between two requests that this entry's share of the group serves. An entry that has
    /// served nothing yet assumes the rate of the first attempts that it refuses.
    fn served_millis(&self) -> f64 {
        let rate = if self.served.per_second > 0.0 { self.served } else { self.refused };
        1_000.0 / rate.per_second.max(MIN_RATE)
    }

    /// Whether planned retries may still arrive after an outage.
    pub(super) fn is_recovering(&self, now: UnixMillis) -> bool {
        let Some(recovered) = self.recovered else { return false };
        now.since(recovered.max(self.last_turn)) < CALLER_SILENCE_MILLIS
    }
}

fn wait_until(until: UnixDeadline, now: UnixMillis) -> WaitDecision {
    if until.passed(now) { WaitDecision::Refuse } else { WaitDecision::Wait(until) }
}

/// Longest delay in milliseconds after which a caller retries.
fn latest_delay(deadline: UnixDeadline, now: UnixMillis) -> u64 {
    deadline.0.since(now) / RETRY_DELAY_DIVISOR
}
