//! Decides whether a request without a slot should wait, and when a refused caller should retry.
//!
//! Both decisions use what this process has observed of the service: how long slots stay occupied, how
//! long a first event takes, and how long earlier outages and overloads lasted. A request waits only
//! while it can still be answered within its latency target; all others are refused at once. This
//! handles a group of ranks near its capacity, whose streams slow each other down, and a group that is
//! down for seconds.

use super::episodes::EpisodeLengths;
use super::groups::{GroupStatus, STALLED_PASS_MILLIS};
use super::returns::{GroupReport, OutageView, QueueState, RefusedCaller, RetryPlan, ReturnPlanner};
use super::wait_queue::QueueClass;
use porthoist_core::{UnixDeadline, UnixMillis};

/// Weight of a new observation in a mean, which covers about ten of them.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// Number of mean deviations after the mean within which a first event is expected; about 19 of 20
/// arrive earlier.
const FIRST_DEVIATIONS: f64 = 2.0;
/// Time in milliseconds without a refusal after which the next one begins a new overload episode; demand
/// shifts are seconds apart.
const OVERLOAD_GAP_MILLIS: u64 = 500;
/// Time in milliseconds without stream events after which a group counts as down. The slowest passes,
/// right after a demand shift, take 350 ms.
const SILENT_MILLIS: u64 = 600;
/// Interval in milliseconds between probes of a group that is down and refuses at once.
const PROBE_MILLIS: u64 = 100;
/// Time in milliseconds for which an unanswered probe keeps others from a group that is down. Requests
/// sent to a stalled group stay there and overfill it when it resumes (25 requests a rank instead of 12,
/// and 8 s of late streams).
const SILENT_PROBE_MILLIS: u64 = 500;
/// Longest wait in milliseconds of a request that is to be resent or resumed. Its caller has already
/// waited, and leaves after some 2 s without an event.
const RESENT_WAIT_MILLIS: u64 = 1_000;
/// Fraction of its possible wait within which a request must expect its slot, because slots become free
/// irregularly.
const WAIT_FRACTION: f64 = 0.6;
/// Divisor of a caller's remaining time that gives its longest retry delay; the rest must suffice to
/// serve it.
const RETRY_DELAY_DIVISOR: u64 = 3;
/// Fraction by which retry delays vary, so that callers don't return together.
const RETRY_DELAY_JITTER: f64 = 0.3;

/// A request without a free slot.
#[derive(Debug, Clone, Copy)]
pub struct WaitQuery {
    /// Number of waiting requests before it.
    pub ahead: usize,
    /// When it arrived.
    pub arrival: UnixMillis,
    /// Time in milliseconds within which its answer or first event is on time.
    pub latency_millis: u64,
    /// When its caller stops waiting.
    pub deadline: UnixDeadline,
    /// Its class in the wait queue.
    pub class: QueueClass,
    /// Mean time in milliseconds between two sends of this process if all targets have rate limits.
    pub rate_limited_millis: Option<f64>,
}

/// What to do with a request without a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Let it wait until then at most; it is expected to be answered in time.
    Wait(UnixDeadline),
    /// Refuse it: it would not be answered in time.
    Refuse,
}

/// Statistics of a service's streams, as one process sees them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamStats {
    /// Mean milliseconds until the first event.
    pub first_millis: f64,
    /// Mean deviation from that.
    pub first_deviation: f64,
    /// Mean number of events in an answer.
    pub answer_events: f64,
}

/// Observations of one service by one process.
#[derive(Debug, Clone, Default)]
pub struct ServiceForecast {
    in_flight: u32,
    slot_millis: Option<f64>,
    first_millis: Option<f64>,
    /// Mean deviation of first events from their mean.
    first_deviation: f64,
    /// Mean number of events in an answer.
    answer_events: Option<f64>,
    last_event: Option<UnixMillis>,
    /// When the next request may probe a group that is down.
    next_probe: UnixDeadline,
    overload: EpisodeLengths,
    outage: EpisodeLengths,
    /// Orders the retries after an outage, if the service's capacity is divided among entries.
    returns: Option<ReturnPlanner>,
}

impl ServiceForecast {
    /// Records that a request got a slot.
    pub fn request_started(&mut self, now: UnixMillis) {
        if self.in_flight == 0 {
            // Silence counts only while an answer is expected.
            self.last_event = Some(self.last_event.map_or(now, |last| last.max(now)));
        }
        self.in_flight += 1;
    }

    /// Records that a slot is free again, and for how many milliseconds an answer had occupied it.
    pub fn request_ended(&mut self, answered_millis: Option<f64>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(millis) = answered_millis {
            self.slot_millis = Some(smoothed(self.slot_millis, millis));
        }
    }

    /// Records the first event of a stream, or a complete answer, and its delay after the request was sent.
    pub fn first_event_received(&mut self, millis: f64, now: UnixMillis) {
        self.event_received(now);
        if let Some(planner) = &mut self.returns {
            planner.record_served(now);
            if planner.spans_outage(millis, now) {
                return;
            }
        }
        let deviation = self.first_millis.map_or(0.0, |first| (millis - first).abs());
        self.first_deviation = smoothed(Some(self.first_deviation), deviation);
        self.first_millis = Some(smoothed(self.first_millis, millis));
    }

    /// Records the end of a stream and its number of events.
    pub fn stream_ended(&mut self, events: u64) {
        self.answer_events = Some(smoothed(self.answer_events, events as f64));
    }

    /// Statistics of the service's streams, or `None` before one has ended.
    pub fn stream_stats(&self) -> Option<StreamStats> {
        let (first_millis, answer_events) = (self.first_millis?, self.answer_events?);
        Some(StreamStats { first_millis, first_deviation: self.first_deviation, answer_events })
    }

    /// Mean milliseconds for which an answered request occupies a slot, or `None` before one has ended.
    pub fn slot_millis(&self) -> Option<f64> {
        self.slot_millis
    }

    /// Records that the service works.
    pub fn event_received(&mut self, now: UnixMillis) {
        self.last_event = Some(now);
        self.end_outage(now);
    }

    fn end_outage(&mut self, now: UnixMillis) {
        if let Some(planner) = self.returns.as_mut().filter(|_planner| self.outage.is_open()) {
            planner.record_recovery(now);
        }
        self.outage.end(now);
    }

    /// Sets whether retries after an outage are ordered.
    pub fn set_planned(&mut self, planned: bool) {
        if planned != self.returns.is_some() {
            self.returns = planned.then(ReturnPlanner::default);
        }
    }

    /// The order of retries after an outage, if it is planned.
    pub fn returns(&self) -> Option<&ReturnPlanner> {
        self.returns.as_ref()
    }

    /// Records that a request was asked for.
    pub fn record_asked(&mut self, class: QueueClass, now: UnixMillis) {
        if let Some(planner) = &mut self.returns {
            planner.record_asked(class, now);
        }
    }

    /// The slots of a grant that callers may use that are late in any case.
    pub fn late_slots(&mut self, grant: f64, now: UnixMillis) -> u32 {
        self.returns.as_mut().map_or(grant as u32, |planner| planner.late_slots(grant, now))
    }

    /// Records whether all groups of the service were last reported as stalled. Has no effect unless
    /// retries are planned.
    pub fn record_report(&mut self, report: GroupReport, now: UnixMillis) {
        let Some(planner) = &mut self.returns else { return };
        let resumed = planner.record_report(report, now);
        let silence = self.last_event.map_or(u64::MAX, |last| now.since(last));
        if report.stalled && silence >= STALLED_PASS_MILLIS {
            self.outage.begin(now);
        } else if resumed && self.outage.is_open() {
            self.last_event = Some(now);
            self.end_outage(now);
        }
    }

    /// Whether the service counts as down.
    pub fn is_down(&self) -> bool {
        self.outage.is_open()
    }

    /// Records that the service refused or failed a request.
    pub fn refused(&mut self, now: UnixMillis) {
        if self.is_silent(now) {
            self.outage.begin(now);
        }
        self.next_probe = self.next_probe.min(UnixDeadline::after(now, PROBE_MILLIS));
    }

    /// Whether a request may be sent to a group whose streams show whether it works. A group that is
    /// down only gets probes.
    pub fn may_send(&mut self, now: UnixMillis) -> bool {
        if self.in_flight > 0 && self.is_silent(now) {
            self.outage.begin(now);
        }
        if !self.is_down() {
            return true;
        }
        let due = self.next_probe.passed(now);
        if due {
            self.next_probe = UnixDeadline::after(now, SILENT_PROBE_MILLIS);
        }
        due
    }

    /// State of the service as a single group, where its groups are unknown: the time without events
    /// counts as a pass.
    pub fn group_status(&self, now: UnixMillis) -> GroupStatus {
        let silence = self.last_event.map_or(u64::MAX, |last| now.since(last));
        GroupStatus {
            millis: silence as f64,
            stalled: silence >= STALLED_PASS_MILLIS,
            slow_for_millis: 0,
            probe_due: false,
        }
    }

    fn is_silent(&self, now: UnixMillis) -> bool {
        self.last_event.is_none_or(|last| now.since(last) > SILENT_MILLIS)
    }

    /// Whether a first attempt that has waited since `arrival` is late in any case. Only known if retries
    /// are planned.
    pub fn is_late(&self, arrival: UnixMillis, latency_millis: u64, now: UnixMillis) -> bool {
        let planner = self.returns.as_ref();
        planner.is_some_and(|_planner| now.since(arrival) > self.outage_view().on_time_wait(latency_millis))
    }

    /// Decides whether a request without a free slot should wait.
    pub fn decide(&self, query: WaitQuery, now: UnixMillis) -> WaitDecision {
        let planned =
            self.returns.as_ref().and_then(|planner| planner.decide(&query, self.outage_view(), now));
        if let Some(decision) = planned {
            return decision;
        }
        if self.is_down() {
            return WaitDecision::Refuse;
        }
        let first_event_millis = self.late_first_millis().unwrap_or_default();
        let on_time_wait = query.latency_millis.saturating_sub(first_event_millis as u64);
        let wait = match query.class {
            QueueClass::First => on_time_wait,
            QueueClass::Resent => on_time_wait.max(RESENT_WAIT_MILLIS),
            // First attempts would overtake it again and again.
            QueueClass::CallerRetry => return WaitDecision::Refuse,
        };
        let until = UnixDeadline::after(query.arrival, wait).min(query.deadline);
        let expected = match query.rate_limited_millis {
            Some(millis) => millis * (query.ahead + 1) as f64,
            None => self.expected_wait(query.ahead),
        };
        if expected < WAIT_FRACTION * until.0.since(now) as f64 {
            WaitDecision::Wait(until)
        } else {
            WaitDecision::Refuse
        }
    }

    /// Milliseconds within which a first event is expected, or `None` before one was observed.
    fn late_first_millis(&self) -> Option<f64> {
        Some(self.first_millis? + FIRST_DEVIATIONS * self.first_deviation)
    }

    fn outage_view(&self) -> OutageView<'_> {
        OutageView { lengths: &self.outage, first_event_millis: self.late_first_millis() }
    }

    /// Expected milliseconds until a request with `ahead` others before it gets a slot, at the observed
    /// rate.
    fn expected_wait(&self, ahead: usize) -> f64 {
        let slot_millis = self.slot_millis.unwrap_or_default();
        slot_millis * (ahead + 1) as f64 / f64::from(self.in_flight.max(1))
    }

    /// Records a refusal and returns when the caller should retry, in its turn if retries are planned.
    /// `point` is random between 0 and 1.
    pub fn plan_retry(
        &mut self,
        caller: RefusedCaller,
        queue: QueueState,
        point: f64,
        now: UnixMillis,
    ) -> RetryPlan {
        if let Some(planner) = &mut self.returns
            && let Some(plan) = planner.plan(caller, &self.outage, queue, now)
        {
            return plan;
        }
        let after_millis = self.retry_after_millis(caller.deadline, queue.min_millis, point, now);
        RetryPlan { after_millis, when: None }
    }

    /// Records a refusal and returns the caller's retry delay in milliseconds: at least `min_millis`
    /// as far as its deadline permits. `point` is random between 0 and 1.
    pub fn retry_after_millis(
        &mut self,
        deadline: UnixDeadline,
        min_millis: f64,
        point: f64,
        now: UnixMillis,
    ) -> u64 {
        if now.since(self.overload.last_confirmed()) > OVERLOAD_GAP_MILLIS {
            let last = self.overload.last_confirmed();
            self.overload.end(last);
        }
        self.overload.begin(now);
        let episode = if self.is_down() { &self.outage } else { &self.overload };
        let remainder = episode.expected_remainder(now).max(min_millis) * (1.0 + RETRY_DELAY_JITTER * point);
        let longest = deadline.0.since(now) / RETRY_DELAY_DIVISOR;
        (remainder as u64).min(longest).max(1)
    }
}

fn smoothed(known: Option<f64>, new: f64) -> f64 {
    known.map_or(new, |known| known + OBSERVATION_WEIGHT * (new - known))
}
