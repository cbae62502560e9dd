//! The drain of a process that was told to stop: requests that can't be finished are not started, and those that its
//! end cuts are answered truthfully.

use super::ProxyHandler;
use super::request_guard::RequestProgress;
use super::types::{AdmittedRequest, GroupSend, ProxyRefusal, SendHistory};
use crate::dispatcher::{RequestDispatcher, TargetSlot};
use hyper::StatusCode;
use porthoist_core::{ClockSource, RefusalReason, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::drain::{DrainSchedule, RouteDurations};
use porthoist_policy::proxy::steady_pass::SteadyPass;
use slog::warn;
use std::cell::{Cell, RefCell};
use std::future;
use std::sync::Arc;
use tokio::sync::watch;

/// Retry delay for callers of a process that is shutting down, in milliseconds: another process serves them at once.
pub(super) const SHUTDOWN_RETRY_MILLIS: u64 = 100;

/// The course of the drain, and what is known of the requests that it has to wait for.
#[derive(Debug)]
pub(super) struct RequestDrain {
    /// Present once the process was told to stop.
    schedule: watch::Sender<Option<DrainSchedule>>,
    /// Whether unfinished requests are cut.
    cut: watch::Sender<bool>,
    cut_requests: Cell<u64>,
    /// Streams that ended incomplete since the process was told to stop.
    unfinished_streams: Cell<u64>,
    durations: RefCell<RouteDurations>,
    dispatcher: RequestDispatcher,
    clock: Arc<dyn ClockSource>,
}

impl RequestDrain {
    pub(super) fn new(dispatcher: RequestDispatcher, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            schedule: watch::Sender::default(),
            cut: watch::Sender::default(),
            cut_requests: Cell::new(0),
            unfinished_streams: Cell::new(0),
            durations: RefCell::default(),
            dispatcher,
            clock,
        }
    }

    pub(super) fn has_begun(&self) -> bool {
        self.schedule.borrow().is_some()
    }

    pub(super) fn is_cut(&self) -> bool {
        *self.cut.borrow()
    }

    /// Whether the end of the drain cuts a request that arrived at this time. Later ones are only refused.
    fn cuts(&self, arrival: UnixMillis) -> bool {
        let before_cut = |schedule: &DrainSchedule| !schedule.cut_at.passed(arrival);
        self.is_cut() && self.schedule.borrow().as_ref().is_some_and(before_cut)
    }

    /// Waits until unfinished requests are cut.
    pub(super) async fn until_cut(&self) {
        let mut cut = self.cut.subscribe();
        // `self` holds the sender, so an error is impossible.
        drop(cut.wait_for(|cut| *cut).await);
    }

    /// Records how long an answered request took.
    pub(super) fn record_duration(&self, admitted: &AdmittedRequest, since: UnixMillis) {
        let millis = self.clock.now().since(since);
        let pass = admitted.last_send.borrow().as_ref().and_then(|send| self.mean_pass(send));
        self.durations.borrow_mut().record(&admitted.rule.name, millis, pass);
    }

    /// The mean of the pass times of a request's group when it was sent and now.
    fn mean_pass(&self, send: &GroupSend) -> Option<SteadyPass> {
        let newest = self.dispatcher.steady_pass(&send.target);
        match (send.pass, newest) {
            (Some(pass), Some(newest)) => Some(pass.mean(newest)),
            (pass, newest) => pass.or(newest),
        }
    }

    /// Until when the request may be started at a group with this pass time, if the process was told to stop and the
    /// request may outlast the drain.
    fn latest_start(&self, admitted: &AdmittedRequest, pass: Option<SteadyPass>) -> Option<UnixDeadline> {
        let schedule = (*self.schedule.borrow())?;
        let usual = self.durations.borrow().usual_millis_at(&admitted.rule.name, pass);
        schedule.latest_start(admitted.deadline, usual)
    }

    /// Whether the request can still be finished if it is started now.
    pub(super) fn may_start(&self, admitted: &AdmittedRequest) -> bool {
        self.may_start_at(admitted, None)
    }

    fn may_start_at(&self, admitted: &AdmittedRequest, pass: Option<SteadyPass>) -> bool {
        self.latest_start(admitted, pass).is_none_or(|latest| !latest.passed(self.clock.now()))
    }

    /// Waits until the request can't be finished any more.
    pub(super) async fn until_too_late(&self, admitted: &AdmittedRequest) {
        let mut schedule = self.schedule.subscribe();
        drop(schedule.wait_for(Option::is_some).await);
        let Some(latest) = self.latest_start(admitted, None) else { return future::pending().await };
        tokio::time::sleep(latest.remaining(self.clock.now())).await;
    }
}

impl ProxyHandler {
    /// Begins the drain: requests that can't be finished by its end are refused, and every further response asks
    /// the caller to close the connection.
    pub fn stop(&self, schedule: DrainSchedule) {
        self.drain.schedule.send_replace(Some(schedule));
    }

    /// Ends the drain: refuses the requests that have not run, and ends those that may have.
    pub fn cut(&self) {
        self.intake.close();
        self.drain.cut.send_replace(true);
    }

    /// Requests that the end of the drain has cut, and those whose response is not complete.
    pub fn cut_off(&self) -> u64 {
        self.drain.cut_requests.get() + self.in_flight()
    }

    /// Streams that ended incomplete since the process was told to stop.
    pub fn unfinished_streams(&self) -> u64 {
        self.drain.unfinished_streams.get()
    }

    /// Counts a stream that ends incomplete.
    pub(super) fn record_unfinished_stream(&self) {
        self.metrics.record_broken_stream();
        if self.drain.has_begun() {
            self.drain.unfinished_streams.set(self.drain.unfinished_streams.get() + 1);
        }
    }

    /// Refuses a request that can't be finished by the end of the drain.
    pub(super) fn check_drain(
        &self,
        admitted: &AdmittedRequest,
        history: &SendHistory,
    ) -> Result<(), ProxyRefusal> {
        if self.drain.may_start(admitted) { Ok(()) } else { Err(shutdown_refusal(history.may_have_run)) }
    }

    /// Does the same once a slot is chosen, by what is known of the target's group, and notes the send.
    pub(super) fn check_drain_at(
        &self,
        admitted: &AdmittedRequest,
        history: &SendHistory,
        slot: &TargetSlot,
    ) -> Result<(), ProxyRefusal> {
        let target = slot.target.life();
        let pass = self.dispatcher.steady_pass(&target);
        if !self.drain.may_start_at(admitted, pass) {
            return Err(shutdown_refusal(history.may_have_run));
        }
        admitted.last_send.replace(Some(GroupSend { target, pass }));
        Ok(())
    }

    /// Logs and counts a request if the end of the drain cuts it. Returns whether it does.
    pub(super) fn record_cut(&self, attempt: &str, progress: &RequestProgress) -> bool {
        if !self.drain.cuts(progress.arrival) {
            return false;
        }
        let verdict = progress.verdict();
        self.drain.cut_requests.set(self.drain.cut_requests.get() + 1);
        self.metrics.record_cut_at_stop(verdict);
        warn!(self.logger, "request cut at the end of the grace period"; "event" => "cut_at_stop",
            "request" => attempt, "age_ms" => self.clock.now().since(progress.arrival),
            "target" => progress.target().map(|target| target.to_string()), "verdict" => verdict.as_str(),
            "events" => progress.events());
        true
    }
}

/// Returns how a request ends that the end of the drain cuts before its response has begun.
pub(super) fn cut_refusal(admitted: &AdmittedRequest) -> ProxyRefusal {
    shutdown_refusal(admitted.progress.verdict() != RunVerdict::NotRun)
}

/// Ends a request that can't be finished because the process shuts down.
pub(super) fn shutdown_refusal(may_have_run: bool) -> ProxyRefusal {
    if may_have_run {
        return ProxyRefusal::unknown(RefusalReason::ShuttingDown, StatusCode::GATEWAY_TIMEOUT);
    }
    ProxyRefusal::retryable(RefusalReason::ShuttingDown, SHUTDOWN_RETRY_MILLIS)
}
