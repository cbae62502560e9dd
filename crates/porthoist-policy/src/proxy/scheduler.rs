//! Decides whether a request is sent, waits or is refused, for all requests of one process.
//!
//! The scheduler only decides; its caller sends, waits and answers. Simulations in virtual time run the
//! same code.

use super::backpressure::{BackpressureSignals, ObservedChange};
use super::balancer::{BalancerSettings, ChosenTarget, LoadBalancer, RequestWork, SendOutcome};
use super::capacity::CapacityRule;
use super::cold_start::ColdRule;
use super::demand::{DemandMeter, PriorityLevel};
use super::forecast::{ServiceForecast, WaitDecision, WaitQuery};
use super::group_loads::GroupLoads;
use super::limit_notes::TargetNote;
use super::returns::RefusedCaller;
use super::send_turns::{EntryPosition, TargetRate};
use super::service_groups::GroupSnapshot;
use super::steady_pass::SteadyPass;
use super::targets::{TargetLife, TargetRecord, TargetRegistry};
use super::wait_queue::{QueueClass, WaitQueue};
use super::zones::EmptiedZones;
use outages::LateSlots;
use porthoist_core::{ServiceName, UnixDeadline, UnixMillis};
use std::collections::HashMap;

mod moves;
mod outages;
mod shared_capacity;
mod slot_requests;

pub use slot_requests::{SlotDecision, SlotError, SlotRequest};

/// Maximum number of waiting requests of one service; further ones are refused at once.
const MAX_WAITING: usize = 512;
/// Maximum number of waiting requests that are passed over because no target is left for them.
const MAX_PASSED_OVER: usize = 16;

#[derive(Debug)]
struct WaitingRequest<W> {
    request: SlotRequest,
    waiter: W,
}

/// The scheduler of one process; `W` is what its caller needs to resume a waiting request.
#[derive(Debug)]
pub struct RequestScheduler<W> {
    balancer: LoadBalancer,
    waiting: HashMap<ServiceName, WaitQueue<WaitingRequest<W>>>,
    forecasts: HashMap<ServiceName, ServiceForecast>,
    /// Services whose capacity is divided among entries.
    capacity_rules: HashMap<ServiceName, CapacityRule>,
    /// This process's demand on these services.
    meters: HashMap<ServiceName, DemandMeter>,
    /// Slots of the current grants that callers may use that are late in any case.
    late_slots: HashMap<ServiceName, LateSlots>,
}

impl<W> RequestScheduler<W> {
    /// Creates a scheduler without targets.
    pub fn new(settings: BalancerSettings) -> Self {
        Self {
            balancer: LoadBalancer::new(settings),
            waiting: HashMap::new(),
            forecasts: HashMap::new(),
            capacity_rules: HashMap::new(),
            meters: HashMap::new(),
            late_slots: HashMap::new(),
        }
    }

    /// Replaces the set of known targets.
    pub fn sync(&mut self, registry: &TargetRegistry) {
        self.balancer.sync(registry);
    }

    /// Applies the loads that the engines of a group reported.
    pub fn update_loads(&mut self, loads: &GroupLoads, now: UnixMillis) {
        self.balancer.update_loads(loads, now);
        self.apply_group_reports(now);
        self.divide_capacities(now);
    }

    /// The groups of a service that stalled or recovered since the last call.
    pub fn group_changes(&mut self, service: &ServiceName, now: UnixMillis) -> Vec<GroupSnapshot> {
        self.balancer.group_changes(service, now)
    }

    /// The pass time of a target's group without the peaks of single passes, as far as recent reports show it.
    pub fn steady_pass(&self, life: &TargetLife, now: UnixMillis) -> Option<SteadyPass> {
        self.balancer.steady_pass(life, now)
    }

    /// Services with known groups.
    pub fn grouped_services(&self) -> Vec<ServiceName> {
        self.balancer.grouped_services()
    }

    /// Decides what to do with a request. If it has to wait, pass it to [`Self::enqueue`].
    pub fn decide(&mut self, request: &SlotRequest, now: UnixMillis) -> SlotDecision {
        let service = &request.service;
        if let Some(meter) = self.meters.get_mut(service) {
            meter.record_asked(PriorityLevel(request.priority), now);
        }
        if let Some(error) = self.closed_reason(service, now) {
            return SlotDecision::Refuse(error);
        }
        self.forecast(service).record_asked(request.class, now);
        if request.ranked && !self.forecast(service).may_send(now) {
            return self.decide_outage(request, now);
        }
        if let Some(decision) = self.decide_shared(request, now) {
            return decision;
        }
        let queue = self.waiting.get(service);
        let (waiting, ahead) =
            queue.map_or((0, 0), |queue| (queue.len(), queue.ahead(request.priority, request.class)));
        // Requests that wait for the end of an outage don't keep others from probing the service.
        if (waiting == 0 || self.is_planned_outage(service))
            && let Some(chosen) = self.choose(request, now)
        {
            return SlotDecision::Assign(chosen);
        }
        if self.is_planned_outage(service) {
            return self.decide_outage(request, now);
        }
        if waiting >= MAX_WAITING {
            return SlotDecision::Refuse(SlotError::Full);
        }
        if !self.balancer.serves(service, now) {
            return SlotDecision::Refuse(SlotError::NoTarget);
        }
        let SlotRequest { arrival, latency_millis, deadline, class, .. } = *request;
        let supply = self.balancer.limited_supply(service, now);
        let rate_limited_millis = supply.map(|supply| supply.millis);
        let query = WaitQuery { ahead, arrival, latency_millis, deadline, class, rate_limited_millis };
        match self.forecast(service).decide(query, now) {
            WaitDecision::Wait(until) => SlotDecision::Wait(until),
            WaitDecision::Refuse => {
                SlotDecision::Refuse(supply.map_or(SlotError::Busy, |supply| supply.source.into()))
            }
        }
    }

    /// Why no target may get a request of the service now, whatever room they have.
    fn closed_reason(&self, service: &ServiceName, now: UnixMillis) -> Option<SlotError> {
        if self.balancer.rest_end(service, now).is_some() {
            return Some(SlotError::Resting);
        }
        self.balancer.blocked_by_emptied_zones(service, now).then_some(SlotError::Emptied)
    }

    /// Adds a request to the wait queue.
    pub fn enqueue(&mut self, request: SlotRequest, waiter: W) {
        let order = self.late_order(&request);
        let queue = self.waiting.entry(request.service.clone()).or_default();
        let (priority, class, item) = (request.priority, request.class, WaitingRequest { request, waiter });
        match order {
            Some(deadline) => queue.add_by_deadline(priority, class, deadline, item),
            None => queue.add(priority, class, item),
        };
    }

    /// The next waiting request that has a slot now. Requests for which `waits` is false are dropped.
    pub fn next_ready(
        &mut self,
        service: &ServiceName,
        waits: impl Fn(&W) -> bool,
        now: UnixMillis,
    ) -> Option<(W, ChosenTarget, RequestWork)> {
        if self.is_planned_outage(service) {
            return None;
        }
        self.demote_late(service, now);
        let mut passed_over = Vec::new();
        loop {
            let (key, first) = self.next_waiting(service, &passed_over, now)?;
            if !waits(&first.waiter) {
                self.waiting.get_mut(service)?.remove(key);
                continue;
            }
            let request = first.request.clone();
            let chosen = if self.has_shared_capacity(&request, now) {
                self.choose_waiting(&request, now)
            } else {
                self.choose(&request, now)
            };
            let Some(chosen) = chosen else {
                // The targets that it was sent to may have room for others.
                if request.tried.is_empty() || passed_over.len() >= MAX_PASSED_OVER {
                    return None;
                }
                passed_over.push(key);
                continue;
            };
            if key.class == QueueClass::CallerRetry {
                self.record_late_send(service);
            }
            let next = self.waiting.get_mut(service)?.remove(key)?;
            return Some((next.waiter, chosen, request.work));
        }
    }

    /// Removes all waiting requests of a service that is down or whose targets accept nothing; the
    /// caller refuses them.
    pub fn take_unservable(&mut self, service: &ServiceName, now: UnixMillis) -> Vec<W> {
        let is_unservable = self.forecast(service).is_down() && !self.plans_returns(service);
        if !is_unservable && self.closed_reason(service, now).is_none() {
            return Vec::new();
        }
        let Some(mut queue) = self.waiting.remove(service) else { return Vec::new() };
        std::iter::from_fn(|| queue.pop()).map(|waiting| waiting.waiter).collect()
    }

    /// Records the end of a send that occupied a slot for `held_millis`.
    pub fn ended(
        &mut self,
        service: &ServiceName,
        target: &TargetLife,
        work: RequestWork,
        outcome: SendOutcome,
        held_millis: u64,
        now: UnixMillis,
    ) {
        self.balancer.ended(target, work, outcome, now);
        if let Some(meter) = self.meters.get_mut(service) {
            meter.record_ended(work.priority);
        }
        let answered = matches!(outcome, SendOutcome::Answered(_millis));
        self.forecast(service).request_ended(answered.then_some(held_millis as f64));
    }

    /// Records the first event of a stream, or a complete answer, and its delay after the request got its
    /// slot.
    pub fn first_event_received(&mut self, target: &TargetRecord, millis: f64, now: UnixMillis) {
        self.balancer.event_received(target, now);
        self.forecast(&target.service).first_event_received(millis, now);
    }

    /// Records the end of a stream and its number of events.
    pub fn stream_ended(&mut self, service: &ServiceName, events: u64) {
        self.forecast(service).stream_ended(events);
    }

    /// Records that a target's process has ended.
    pub fn died(&mut self, life: &TargetLife, now: UnixMillis) {
        self.balancer.died(life, now);
    }

    /// Ends the ejection of a target that was silent and goes on.
    pub fn readmit(&mut self, life: &TargetLife) {
        self.balancer.readmit(life);
    }

    /// Applies the backpressure signals in an answer to a request that was sent at `sent`.
    pub fn apply_signals(
        &mut self,
        life: &TargetLife,
        signals: &BackpressureSignals,
        sent: UnixMillis,
        now: UnixMillis,
    ) -> Vec<ObservedChange> {
        self.balancer.apply_signals(life, signals, sent, now)
    }

    /// Applies a limit that another entry received from a target.
    pub fn apply_note(&mut self, note: &TargetNote, now: UnixMillis) -> Option<ObservedChange> {
        self.balancer.apply_note(note, now)
    }

    /// Records a stream event from a target.
    pub fn event_received(&mut self, target: &TargetRecord, now: UnixMillis) {
        self.balancer.event_received(target, now);
        self.forecast(&target.service).event_received(now);
    }

    /// Records that a service refused or failed a request.
    pub fn refused(&mut self, service: &ServiceName, now: UnixMillis) {
        self.forecast(service).refused(now);
    }

    /// Whether a target has announced that it is shutting down.
    pub fn is_leaving(&self, life: &TargetLife) -> bool {
        self.balancer.is_leaving(life)
    }

    /// Delay in milliseconds after which a refused caller should retry; `point` is random between 0 and
    /// 1.
    pub fn retry_after_millis(
        &mut self,
        service: &ServiceName,
        deadline: UnixDeadline,
        point: f64,
        now: UnixMillis,
    ) -> u64 {
        let caller = RefusedCaller { class: QueueClass::First, deadline };
        self.plan_retry(service, caller, point, now).after_millis
    }

    /// Why a request is refused that has waited without getting a slot.
    pub fn refusal(&self, service: &ServiceName, now: UnixMillis) -> SlotError {
        if let Some(error) = self.closed_reason(service, now) {
            return error;
        }
        if self.balancer.knows_shared_capacity(service, now) {
            return SlotError::Priority;
        }
        match (self.balancer.serves(service, now), self.balancer.limited_supply(service, now)) {
            (false, _) => SlotError::NoTarget,
            (true, Some(supply)) => supply.source.into(),
            (true, None) => SlotError::Busy,
        }
    }

    /// Whether a request that was assigned a slot at a target may still be sent there.
    pub fn is_still_valid(&self, life: &TargetLife, rate: Option<TargetRate>, now: UnixMillis) -> bool {
        self.balancer.is_still_valid(life, rate, now)
    }

    /// Sets the services' limits for cold targets.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceName, ColdRule>) {
        self.balancer.set_cold_rules(rules);
    }

    /// Sets the zones that operators have emptied.
    pub fn set_emptied(&mut self, zones: &EmptiedZones, now: UnixMillis) {
        self.balancer.set_emptied(zones, now);
    }

    /// Number of targets that count as cold.
    pub fn cold_targets(&self, now: UnixMillis) -> usize {
        self.balancer.cold_targets(now)
    }

    /// When the next waiting request of a service may be sent even if no slot is released.
    pub fn next_turn(&self, service: &ServiceName, now: UnixMillis) -> Option<UnixDeadline> {
        self.balancer.limited_supply(service, now).map(|supply| supply.next)
    }

    /// Sets this process's position among the entries of its zone.
    pub fn set_entry_position(&mut self, position: Option<EntryPosition>) {
        self.balancer.set_entry_position(position);
    }

    /// Services with waiting requests.
    pub fn awaited_services(&self) -> Vec<ServiceName> {
        let queues = self.waiting.iter().filter(|(_service, queue)| !queue.is_empty());
        queues.map(|(service, _queue)| service.clone()).collect()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.values().map(WaitQueue::len).sum()
    }

    /// Number of this process's requests at a target.
    pub fn in_flight(&self, target: &TargetLife) -> u32 {
        self.balancer.in_flight(target)
    }

    fn choose(&mut self, request: &SlotRequest, now: UnixMillis) -> Option<ChosenTarget> {
        let SlotRequest { service, ranked, work, tried, .. } = request;
        let chosen = self.balancer.choose(service, *ranked, *work, tried, now)?;
        self.record_start(request, now);
        Some(chosen)
    }

    fn record_start(&mut self, request: &SlotRequest, now: UnixMillis) {
        self.forecast(&request.service).request_started(now);
        if let Some(meter) = self.meters.get_mut(&request.service) {
            meter.record_started(request.work.priority);
        }
    }

    fn forecast(&mut self, service: &ServiceName) -> &mut ServiceForecast {
        if !self.forecasts.contains_key(service) {
            self.forecasts.insert(service.clone(), ServiceForecast::default());
        }
        self.forecasts.get_mut(service).expect("it was added above")
    }
}
