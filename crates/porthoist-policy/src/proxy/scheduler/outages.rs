//! Outages of services whose capacity is divided among entries.

use super::{MAX_WAITING, RequestScheduler, SlotDecision, SlotError, SlotRequest, WaitingRequest};
use crate::proxy::forecast::{ServiceForecast, WaitDecision, WaitQuery};
use crate::proxy::returns::{CALLER_SILENCE_MILLIS, QueueState, RefusedCaller, RetryPlan};
use crate::proxy::wait_queue::{QueueClass, QueueKey, WaitQueue};
use porthoist_core::{ServiceName, UnixDeadline, UnixMillis};

/// Interval in milliseconds at which callers that are late in any case are granted slots: the usual time
/// between two reports of a group. Several groups report in it, and each report shows all free slots.
const LATE_GRANT_MILLIS: u64 = 100;

/// Slots that callers of one service may use that are late in any case.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LateSlots {
    left: u32,
    renewed: UnixDeadline,
}

impl<W> RequestScheduler<W> {
    /// Records a refusal and returns when the caller should retry; `point` is random between 0 and 1.
    pub fn plan_retry(
        &mut self,
        service: &ServiceName,
        caller: RefusedCaller,
        point: f64,
        now: UnixMillis,
    ) -> RetryPlan {
        let supply = self.balancer.limited_supply(service, now);
        let waiting = self.waiting.get(service).map_or(0, WaitQueue::len);
        let limited_millis = supply.map_or(0.0, |supply| supply.millis * (waiting + 1) as f64);
        let resting_millis = self.balancer.rest_end(service, now).map_or(0, |end| end.0.since(now));
        let min_millis = limited_millis.max(resting_millis as f64);
        self.forecast(service).plan_retry(caller, QueueState { waiting, min_millis }, point, now)
    }

    /// Part of a grant that callers of a service may use that are late in any case.
    pub fn late_share(&self, service: &ServiceName, now: UnixMillis) -> f64 {
        let planner = self.forecasts.get(service).and_then(|forecast| forecast.returns());
        planner.map_or(1.0, |planner| planner.late_share(now))
    }

    /// Whether the order of retries after an outage is planned for a service.
    pub(super) fn plans_returns(&self, service: &ServiceName) -> bool {
        self.capacity_rules.contains_key(service)
    }

    /// Whether a service is down and the order of retries after it is planned.
    pub fn is_planned_outage(&self, service: &ServiceName) -> bool {
        let forecast = self.forecasts.get(service);
        self.plans_returns(service) && forecast.is_some_and(ServiceForecast::is_down)
    }

    /// Sets for which services the order of retries is planned.
    pub(super) fn sync_returns(&mut self) {
        for service in self.capacity_rules.keys() {
            self.forecasts.entry(service.clone()).or_default();
        }
        for (service, forecast) in &mut self.forecasts {
            forecast.set_planned(self.capacity_rules.contains_key(service));
        }
    }

    /// Applies what the groups last reported.
    pub(super) fn apply_group_reports(&mut self, now: UnixMillis) {
        for service in self.capacity_rules.keys() {
            if let Some(report) = self.balancer.group_report(service)
                && let Some(forecast) = self.forecasts.get_mut(service)
            {
                forecast.record_report(report, now);
            }
        }
    }

    /// Decides about a request to a service that is down.
    pub(super) fn decide_outage(&mut self, request: &SlotRequest, now: UnixMillis) -> SlotDecision {
        let service = &request.service;
        if !self.plans_returns(service) {
            return SlotDecision::Refuse(SlotError::Down);
        }
        if !self.balancer.serves(service, now) {
            return SlotDecision::Refuse(SlotError::NoTarget);
        }
        let max_bytes = self.balancer.outage_wait_bytes();
        let queue = self.waiting.entry(service.clone()).or_default();
        // Nothing is taken from the queue during an outage, so callers that have left are removed here.
        queue.retain(|waiting| now.since(waiting.request.arrival) < CALLER_SILENCE_MILLIS);
        let bytes = |waiting: &WaitingRequest<W>| waiting.request.work.body_bytes;
        let held_bytes: u64 = queue.iter().map(bytes).sum();
        if queue.len() >= MAX_WAITING || held_bytes + request.work.body_bytes > max_bytes {
            return SlotDecision::Refuse(SlotError::Full);
        }
        let SlotRequest { arrival, latency_millis, deadline, class, priority, .. } = *request;
        let ahead = queue.ahead(priority, class);
        let query = WaitQuery { ahead, arrival, latency_millis, deadline, class, rate_limited_millis: None };
        match self.forecast(service).decide(query, now) {
            WaitDecision::Wait(until) => SlotDecision::Wait(until),
            WaitDecision::Refuse => SlotDecision::Refuse(SlotError::Down),
        }
    }

    /// Grants callers that are late in any case their share of `slots`, which this process may use until the
    /// next report.
    pub(super) fn grant_late_slots(&mut self, service: &ServiceName, slots: f64, now: UnixMillis) {
        if self.late_slots.get(service).is_some_and(|slots| !slots.renewed.passed(now)) {
            return;
        }
        let left = self.forecast(service).late_slots(slots, now);
        let renewed = UnixDeadline::after(now, LATE_GRANT_MILLIS);
        self.late_slots.insert(service.clone(), LateSlots { left, renewed });
    }

    /// Whether callers that are late in any case have used their share while a service recovers. Without the
    /// share, those that waited would fill the groups at once and make first attempts late.
    pub(super) fn late_share_used(&self, service: &ServiceName, now: UnixMillis) -> bool {
        let planner = self.forecasts.get(service).and_then(|forecast| forecast.returns());
        planner.is_some_and(|planner| planner.is_recovering(now))
            && self.late_slots.get(service).is_none_or(|slots| slots.left == 0)
    }

    /// Records that a caller that is late in any case uses a slot.
    pub(super) fn record_late_send(&mut self, service: &ServiceName) {
        if let Some(slots) = self.late_slots.get_mut(service) {
            slots.left = slots.left.saturating_sub(1);
        }
    }

    /// The first waiting request that may be sent.
    pub(super) fn next_waiting(
        &self,
        service: &ServiceName,
        passed_over: &[QueueKey],
        now: UnixMillis,
    ) -> Option<(QueueKey, &WaitingRequest<W>)> {
        let skips_late = self.late_share_used(service, now);
        let mut entries = self.waiting.get(service)?.entries();
        entries.find(|(key, _waiting)| {
            let is_skipped = skips_late && key.class == QueueClass::CallerRetry;
            !is_skipped && !passed_over.contains(key)
        })
    }

    /// Moves first attempts that have waited until they are late behind those that can be on time.
    pub(super) fn demote_late(&mut self, service: &ServiceName, now: UnixMillis) {
        let Some(forecast) = self.forecasts.get(service).filter(|forecast| forecast.returns().is_some())
        else {
            return;
        };
        let Some(queue) = self.waiting.get_mut(service) else { return };
        queue.demote(|WaitingRequest { request, .. }| {
            let is_late = forecast.is_late(request.arrival, request.latency_millis, now);
            is_late.then_some(request.deadline)
        });
    }

    /// The deadline by which a request is served among those of its class, if it is late in any case.
    pub(super) fn late_order(&self, request: &SlotRequest) -> Option<UnixDeadline> {
        let is_late = request.class == QueueClass::CallerRetry && self.plans_returns(&request.service);
        is_late.then_some(request.deadline)
    }
}
