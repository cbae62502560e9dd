//! Decisions for services whose capacity is divided among entries.

use super::{MAX_WAITING, RequestScheduler, SlotDecision, SlotError, SlotRequest};
use crate::proxy::balancer::ChosenTarget;
use crate::proxy::capacity::{CapacityRule, CapacityState, GrantState};
use crate::proxy::demand::{PriorityLevel, ServiceDemand};
use crate::proxy::forecast::{ServiceForecast, WaitDecision, WaitQuery};
use crate::proxy::wait_queue::{QueueClass, QueueKey, WaitQueue};
use porthoist_core::{ServiceName, UnixMillis};
use std::collections::HashMap;

impl<W> RequestScheduler<W> {
    /// Sets the services whose capacity is divided among entries.
    pub fn set_capacity_rules(&mut self, rules: HashMap<ServiceName, CapacityRule>) {
        self.meters.retain(|service, _meter| rules.contains_key(service));
        for service in rules.keys() {
            self.meters.entry(service.clone()).or_default();
        }
        self.balancer.set_shared_services(rules.keys());
        self.capacity_rules = rules;
        self.sync_returns();
    }

    /// This process's demand on the services whose capacity is divided among entries.
    pub fn own_demand(&self, now: UnixMillis) -> HashMap<ServiceName, ServiceDemand> {
        self.meters.iter().map(|(service, meter)| (service.clone(), meter.demand(now))).collect()
    }

    /// Decides by the division of the service's capacity, or `None` if nothing is known to divide.
    pub(super) fn decide_shared(&mut self, request: &SlotRequest, now: UnixMillis) -> Option<SlotDecision> {
        if !self.has_shared_capacity(request, now) {
            let level = PriorityLevel(request.priority);
            let withheld = request.ranked && self.balancer.withhold_blind(&request.service, level, now);
            return withheld.then_some(SlotDecision::Refuse(SlotError::Priority));
        }
        let SlotRequest { service, priority, class, .. } = request;
        let ahead = self.waiting.get(service).map_or(0, |queue| queue.ahead(*priority, *class));
        if ahead == 0
            && let Some(chosen) = self.choose_granted(request, now)
        {
            return Some(SlotDecision::Assign(chosen));
        }
        if self.waiting.get(service).is_some_and(|queue| queue.len() >= MAX_WAITING) {
            return Some(SlotDecision::Refuse(SlotError::Full));
        }
        Some(match self.decide_wait(request, ahead, now) {
            WaitDecision::Wait(until) => SlotDecision::Wait(until),
            WaitDecision::Refuse => SlotDecision::Refuse(SlotError::Priority),
        })
    }

    /// Capacity of the services that is divided among entries, as far as reports show it.
    pub fn capacity_states(&self, now: UnixMillis) -> Vec<(ServiceName, CapacityState)> {
        self.balancer.capacity_states(now)
    }

    /// What this process may send to a service at a priority, if its capacity is divided among entries.
    pub fn capacity_grant(
        &self,
        service: &ServiceName,
        level: PriorityLevel,
        now: UnixMillis,
    ) -> Option<GrantState> {
        self.balancer.capacity_grant(service, level, now)
    }

    /// Whether the capacity for a request is divided among entries, and a report shows it.
    pub(super) fn has_shared_capacity(&self, request: &SlotRequest, now: UnixMillis) -> bool {
        request.ranked && self.balancer.knows_shared_capacity(&request.service, now)
    }

    /// A target for a request that has not waited.
    fn choose_granted(&mut self, request: &SlotRequest, now: UnixMillis) -> Option<ChosenTarget> {
        let level = PriorityLevel(request.priority);
        let late_share_used = self.late_share_used(&request.service, now);
        let capacity = self.balancer.shared_capacity(&request.service, now)?;
        // A caller's retry is late in any case and would take the place of a request that is not.
        if request.class == QueueClass::CallerRetry
            && (late_share_used || capacity.grant(level).fraction < 1.0)
        {
            return None;
        }
        // A request that a target already had is not thinned out again.
        if request.class != QueueClass::Resent && !capacity.try_admit(level) {
            return None;
        }
        let chosen = self.choose_shared(request, now);
        if chosen.is_none()
            && request.class != QueueClass::Resent
            && let Some(capacity) = self.balancer.shared_capacity(&request.service, now)
        {
            capacity.return_grant(level);
        }
        if chosen.is_some() && request.class == QueueClass::CallerRetry {
            self.record_late_send(&request.service);
        }
        chosen
    }

    /// A target for a request that has waited.
    pub(super) fn choose_waiting(&mut self, request: &SlotRequest, now: UnixMillis) -> Option<ChosenTarget> {
        let capacity = self.balancer.shared_capacity(&request.service, now)?;
        if !capacity.try_admit_waiting(PriorityLevel(request.priority)) {
            return None;
        }
        self.choose_shared(request, now)
    }

    fn choose_shared(&mut self, request: &SlotRequest, now: UnixMillis) -> Option<ChosenTarget> {
        let SlotRequest { service, work, tried, .. } = request;
        let chosen =
            self.balancer.choose_shared(service, PriorityLevel(request.priority), *work, tried, now)?;
        self.record_start(request, now);
        Some(chosen)
    }

    fn decide_wait(&mut self, request: &SlotRequest, ahead: usize, now: UnixMillis) -> WaitDecision {
        let SlotRequest { arrival, latency_millis, deadline, class, .. } = *request;
        let level = PriorityLevel(request.priority);
        let Some(capacity) = self.balancer.shared_capacity(&request.service, now) else {
            return WaitDecision::Refuse;
        };
        let rate_limited_millis = Some(capacity.millis_per_waiting(level));
        let query = WaitQuery { ahead, arrival, latency_millis, deadline, class, rate_limited_millis };
        self.forecast(&request.service).decide(query, now)
    }

    /// Divides the free capacity of each service anew after a report.
    pub(super) fn divide_capacities(&mut self, now: UnixMillis) {
        for service in self.balancer.shared_services() {
            let Some(meter) = self.meters.get(&service) else { continue };
            let own = meter.demand(now);
            let waiting = self.waiting.get(&service).map(WaitQueue::levels).unwrap_or_default();
            let slot_millis = self.forecasts.get(&service).and_then(ServiceForecast::slot_millis);
            self.balancer.divide_capacity(&service, &own, &waiting, slot_millis, now);
            let state = self.balancer.shared_capacity(&service, now).and_then(|capacity| capacity.state(now));
            let slots = state.map_or(0.0, |state| state.free * state.share);
            self.grant_late_slots(&service, slots, now);
        }
    }

    /// Removes the waiting requests of a service that can no longer be on time because more urgent ones
    /// have arrived or less is granted; the caller refuses them.
    pub fn take_late(&mut self, service: &ServiceName, now: UnixMillis) -> Vec<W> {
        if !self.balancer.knows_shared_capacity(service, now) {
            return Vec::new();
        }
        let Some(queue) = self.waiting.get(service) else { return Vec::new() };
        let requests: Vec<(QueueKey, SlotRequest)> =
            queue.entries().map(|(key, waiting)| (key, waiting.request.clone())).collect();
        let mut ahead = 0;
        let mut late = Vec::new();
        for (key, request) in requests {
            match self.decide_wait(&request, ahead, now) {
                WaitDecision::Wait(_until) => ahead += 1,
                WaitDecision::Refuse => late.push(key),
            }
        }
        if late.is_empty() {
            return Vec::new();
        }
        let Some(queue) = self.waiting.get_mut(service) else { return Vec::new() };
        late.into_iter().filter_map(|key| queue.remove(key)).map(|waiting| waiting.waiter).collect()
    }
}
