//! Dispatches requests to targets: assigns each a slot, or queues it until the scheduler finds one.

use porthoist_core::{ClockSource, ServiceName, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::backpressure::{BackpressureChange, BackpressureSignals, ObservedChange};
use porthoist_policy::proxy::balancer::{
    BalancerSettings, ChosenTarget, ReportedRequests, RequestWork, SendOutcome,
};
use porthoist_policy::proxy::capacity::{CapacityRule, CapacityState, GrantState};
use porthoist_policy::proxy::cold_start::ColdRule;
use porthoist_policy::proxy::demand::{PriorityLevel, ServiceDemand};
use porthoist_policy::proxy::group_loads::GroupLoads;
use porthoist_policy::proxy::limit_notes::TargetNote;
use porthoist_policy::proxy::moving::{MoveCause, PendingSend};
use porthoist_policy::proxy::returns::{RefusedCaller, RetryPlan};
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision};
use porthoist_policy::proxy::send_turns::{EntryPosition, TargetRate};
use porthoist_policy::proxy::service_groups::GroupSnapshot;
use porthoist_policy::proxy::steady_pass::SteadyPass;
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord, TargetRegistry};
use porthoist_policy::proxy::zones::EmptiedZones;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

pub use porthoist_policy::proxy::scheduler::{SlotError, SlotRequest};

/// Settings of a [`RequestDispatcher`].
pub type DispatcherSettings = BalancerSettings;

/// Receives the slot of a queued request; dropped if the request is refused.
type SlotSender = oneshot::Sender<TargetSlot>;

/// Assigns slots at targets to requests. Clones share one state.
#[derive(Clone)]
pub struct RequestDispatcher {
    scheduler: Rc<RefCell<RequestScheduler<SlotSender>>>,
    clock: Arc<dyn ClockSource>,
}

impl fmt::Debug for RequestDispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RequestDispatcher")
    }
}

/// A slot at a target for one request, released on drop.
pub struct TargetSlot {
    /// The target.
    pub target: Arc<TargetRecord>,
    /// Requests of this process that were in flight at the target before this one.
    pub in_flight: u32,
    /// Load that engines had reported for the target when it was chosen.
    pub report: Option<ReportedRequests>,
    /// State of the target's group when it was chosen, if the target is a rank of a known group.
    pub group: Option<GroupSnapshot>,
    /// Rate limit of the target under which it was chosen.
    pub rate: Option<TargetRate>,
    /// When the slot was assigned.
    pub assigned: UnixMillis,
    /// Until when the queue at the target explains that no event has arrived, by all reports since the
    /// request was sent: the queue that it joined may since have become shorter.
    queued_until: Cell<UnixDeadline>,
    work: RequestWork,
    outcome: Cell<SendOutcome>,
    /// Whether the target was ejected because it is silent.
    is_ejected: Cell<bool>,
    is_released: Cell<bool>,
    dispatcher: RequestDispatcher,
}

impl fmt::Debug for TargetSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetSlot").field("target", &self.target.id).finish_non_exhaustive()
    }
}

impl TargetSlot {
    /// Records how the attempt ended. Without this call it counts as abandoned by the caller.
    pub fn set_outcome(&self, outcome: SendOutcome) {
        self.outcome.set(outcome);
    }

    /// Records that the target goes on. If it was ejected because it was silent, it can take requests again.
    pub fn record_response(&self) {
        if self.is_ejected.take() {
            self.dispatcher.readmit(&self.target.life());
        }
    }

    /// Whether the slot has been freed.
    pub fn is_released(&self) -> bool {
        self.is_released.get()
    }

    /// Frees the slot before it is dropped.
    pub fn release(&self) {
        if !self.is_released.replace(true) {
            self.dispatcher.release(self);
        }
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.release();
    }
}

impl RequestDispatcher {
    /// Creates a dispatcher without targets.
    pub fn new(settings: DispatcherSettings, clock: Arc<dyn ClockSource>) -> Self {
        Self { scheduler: Rc::new(RefCell::new(RequestScheduler::new(settings))), clock }
    }

    /// Applies the known targets and the operators' settings for them, and serves queued requests.
    pub fn sync(
        &self,
        registry: &TargetRegistry,
        rules: HashMap<ServiceName, ColdRule>,
        zones: &EmptiedZones,
    ) {
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_cold_rules(rules);
        scheduler.set_emptied(zones, self.clock.now());
        scheduler.sync(registry);
        drop(scheduler);
        for service in self.awaited_services() {
            self.refuse_unservable(&service);
        }
        self.serve_all_queues();
    }

    /// Sets the services whose capacity is divided among entries.
    pub fn set_capacity_rules(&self, rules: HashMap<ServiceName, CapacityRule>) {
        self.scheduler.borrow_mut().set_capacity_rules(rules);
    }

    /// Returns this process's demand on these services.
    pub fn own_demand(&self) -> HashMap<ServiceName, ServiceDemand> {
        self.scheduler.borrow().own_demand(self.clock.now())
    }

    /// Returns the capacity of the services that is divided among entries, as far as reports show it.
    pub fn capacity_states(&self) -> Vec<(ServiceName, CapacityState)> {
        self.scheduler.borrow().capacity_states(self.clock.now())
    }

    /// Returns what this process may send to a service at a priority, if its capacity is divided among
    /// entries.
    pub fn capacity_grant(&self, service: &ServiceName, level: PriorityLevel) -> Option<GrantState> {
        self.scheduler.borrow().capacity_grant(service, level, self.clock.now())
    }

    /// Returns the number of cold targets.
    pub fn cold_targets(&self) -> usize {
        self.scheduler.borrow().cold_targets(self.clock.now())
    }

    fn awaited_services(&self) -> Vec<ServiceName> {
        self.scheduler.borrow().awaited_services()
    }

    /// Applies the loads that the engines of a group reported, and serves requests queued for capacity.
    pub fn update_loads(&self, loads: &GroupLoads) {
        self.scheduler.borrow_mut().update_loads(loads, self.clock.now());
        for service in self.awaited_services() {
            self.refuse_late(&service);
        }
        self.serve_all_queues();
    }

    /// Returns the groups that stalled or resumed since the last call.
    pub fn group_changes(&self) -> Vec<GroupSnapshot> {
        let mut scheduler = self.scheduler.borrow_mut();
        let services = scheduler.grouped_services();
        let now = self.clock.now();
        services.iter().flat_map(|service| scheduler.group_changes(service, now)).collect()
    }

    /// Returns the pass time of a target's group without the peaks of single passes, as far as recent reports show it.
    pub fn steady_pass(&self, target: &TargetLife) -> Option<SteadyPass> {
        self.scheduler.borrow().steady_pass(target, self.clock.now())
    }

    /// Returns a slot at once, or after a wait if one can be expected in time.
    pub async fn acquire_slot(&self, request: SlotRequest) -> Result<TargetSlot, SlotError> {
        let service = request.service.clone();
        let decision = self.scheduler.borrow_mut().decide(&request, self.clock.now());
        let (until, receiver) = match decision {
            SlotDecision::Assign(chosen) => return Ok(self.new_slot(chosen, request.work)),
            SlotDecision::Refuse(error) => {
                self.refuse_unservable(&service);
                return Err(error);
            }
            SlotDecision::Wait(until) => {
                let (reply, receiver) = oneshot::channel();
                self.scheduler.borrow_mut().enqueue(request, reply);
                (until, receiver)
            }
        };
        // Requests that are less urgent may not be served in time now.
        self.refuse_late(&service);
        // A target's backoff may have ended without any slot having been released.
        self.serve_queue(&service);
        match self.await_slot(&service, until, receiver).await {
            Some(Ok(slot)) => Ok(slot),
            Some(Err(_dropped)) => Err(self.queue_error(&service)),
            None => Err(self.scheduler.borrow().refusal(&service, self.clock.now())),
        }
    }

    /// Waits for a slot until a deadline. If a rate limit bounds all targets, a slot becomes free by time
    /// alone, so the queue is checked again at the next permitted send.
    async fn await_slot(
        &self,
        service: &ServiceName,
        until: UnixDeadline,
        mut receiver: oneshot::Receiver<TargetSlot>,
    ) -> Option<Result<TargetSlot, oneshot::error::RecvError>> {
        loop {
            let now = self.clock.now();
            let turn = self.scheduler.borrow().next_turn(service, now).filter(|turn| *turn < until);
            let timeout_after = turn.unwrap_or(until).remaining(now);
            match tokio::time::timeout(timeout_after, &mut receiver).await {
                Ok(slot) => return Some(slot),
                Err(_elapsed) if turn.is_some() => self.serve_queue(service),
                Err(_elapsed) => return None,
            }
        }
    }

    /// Sets this process's position among the entries of its zone.
    pub fn set_entry_position(&self, position: Option<EntryPosition>) {
        self.scheduler.borrow_mut().set_entry_position(position);
    }

    /// Whether a request may still be sent to the target of its slot.
    pub fn is_still_valid(&self, slot: &TargetSlot) -> bool {
        self.scheduler.borrow().is_still_valid(&slot.target.life(), slot.rate, self.clock.now())
    }

    /// Whether a target has announced that it is draining.
    pub fn is_leaving(&self, target: &TargetLife) -> bool {
        self.scheduler.borrow().is_leaving(target)
    }

    /// Returns when a refused caller should retry.
    pub fn plan_retry(&self, service: &ServiceName, caller: RefusedCaller) -> RetryPlan {
        self.scheduler.borrow_mut().plan_retry(service, caller, rand::random(), self.clock.now())
    }

    /// Records the time in milliseconds from slot to first stream event or response.
    pub fn first_event_received(&self, target: &TargetRecord, millis: f64) {
        let was_down = self.scheduler.borrow().is_planned_outage(&target.service);
        self.scheduler.borrow_mut().first_event_received(target, millis, self.clock.now());
        self.serve_after_outage(was_down, &target.service);
    }

    /// Serves the requests that waited for an event to show the end of an outage.
    fn serve_after_outage(&self, was_down: bool, service: &ServiceName) {
        if was_down {
            self.serve_queue(service);
        }
    }

    /// Applies the backpressure signals in a target's response to a request sent at the given time.
    pub fn apply_signals(
        &self,
        target: &TargetRecord,
        signals: &BackpressureSignals,
        sent: UnixMillis,
    ) -> Vec<ObservedChange> {
        let changes =
            self.scheduler.borrow_mut().apply_signals(&target.life(), signals, sent, self.clock.now());
        if changes.iter().any(|observed| matches!(observed.change, BackpressureChange::Resting(_))) {
            self.refuse_unservable(&target.service);
        }
        changes
    }

    /// Applies a note about a target from another entry.
    pub fn apply_note(&self, note: &TargetNote) -> Option<ObservedChange> {
        self.scheduler.borrow_mut().apply_note(note, self.clock.now())
    }

    /// Records that a stream from a target delivered an event.
    pub fn event_received(&self, target: &TargetRecord) {
        let was_down = self.scheduler.borrow().is_planned_outage(&target.service);
        self.scheduler.borrow_mut().event_received(target, self.clock.now());
        self.serve_after_outage(was_down, &target.service);
    }

    /// Records the number of events of a finished stream.
    pub fn stream_ended(&self, service: &ServiceName, events: u64) {
        self.scheduler.borrow_mut().stream_ended(service, events);
    }

    /// Returns why a request should move from its current target to another one, if it should.
    /// `queued_until` of `send` is set from the slot.
    pub fn move_cause(&self, slot: &TargetSlot, send: &PendingSend) -> Option<MoveCause> {
        let (scheduler, now) = (self.scheduler.borrow(), self.clock.now());
        if send.events == 0 {
            let queued_until = scheduler.queued_until(&slot.target.life(), send.since, now);
            slot.queued_until.set(slot.queued_until.get().max(queued_until));
        }
        let send = PendingSend { queued_until: slot.queued_until.get(), ..*send };
        scheduler.move_cause(&slot.target, &send, now)
    }

    /// Records that a request leaves the target of its slot; returns the outcome of the send.
    pub fn record_move(&self, slot: &TargetSlot, cause: MoveCause) -> SendOutcome {
        if slot.is_ejected.get() {
            // A further ejection would only last longer.
            return SendOutcome::Lost;
        }
        let outcome = self.scheduler.borrow_mut().record_move(&slot.target.life(), cause, self.clock.now());
        slot.set_outcome(outcome);
        slot.is_ejected.set(outcome == SendOutcome::Lost);
        outcome
    }

    fn readmit(&self, life: &TargetLife) {
        self.scheduler.borrow_mut().readmit(life);
    }

    /// Records that a target's process has ended.
    pub fn died(&self, life: &TargetLife) {
        self.scheduler.borrow_mut().died(life, self.clock.now());
    }

    /// Records that a service refused or failed a request.
    pub fn refused(&self, service: &ServiceName) {
        self.scheduler.borrow_mut().refused(service, self.clock.now());
        self.refuse_unservable(service);
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.scheduler.borrow().waiting()
    }

    /// Number of this process's requests in flight at a target.
    pub fn in_flight(&self, target: &TargetLife) -> u32 {
        self.scheduler.borrow().in_flight(target)
    }

    fn new_slot(&self, chosen: ChosenTarget, work: RequestWork) -> TargetSlot {
        let ChosenTarget { record, in_flight, report, group, rate } = chosen;
        TargetSlot {
            target: record,
            in_flight,
            report,
            group,
            rate,
            assigned: self.clock.now(),
            queued_until: Cell::default(),
            work,
            outcome: Cell::new(SendOutcome::Abandoned),
            is_ejected: Cell::default(),
            is_released: Cell::new(false),
            dispatcher: self.clone(),
        }
    }

    fn release(&self, slot: &TargetSlot) {
        let TargetSlot { target, work, assigned, outcome, .. } = slot;
        let now = self.clock.now();
        let held = now.since(*assigned);
        self.scheduler.borrow_mut().ended(&target.service, &target.life(), *work, outcome.get(), held, now);
        self.serve_queue(&target.service);
    }

    /// Why queued requests of a service are refused before their deadline.
    fn queue_error(&self, service: &ServiceName) -> SlotError {
        match self.scheduler.borrow().refusal(service, self.clock.now()) {
            error @ (SlotError::Resting | SlotError::Emptied | SlotError::Priority) => error,
            _other => SlotError::Down,
        }
    }

    /// Refuses queued requests of a service that is down or whose targets may receive none.
    fn refuse_unservable(&self, service: &ServiceName) {
        let unservable = self.scheduler.borrow_mut().take_unservable(service, self.clock.now());
        drop(unservable);
    }

    /// Refuses queued requests of a service whose capacity is divided among entries and that can no longer
    /// be served in time.
    fn refuse_late(&self, service: &ServiceName) {
        let late = self.scheduler.borrow_mut().take_late(service, self.clock.now());
        drop(late);
    }

    fn serve_all_queues(&self) {
        for service in self.awaited_services() {
            self.serve_queue(&service);
        }
    }

    fn serve_queue(&self, service: &ServiceName) {
        while let Some((reply, chosen, work)) = self.next_ready(service) {
            // If the caller has left, the send fails and drops the slot, which frees it for the next
            // request.
            drop(reply.send(self.new_slot(chosen, work)));
        }
    }

    fn next_ready(&self, service: &ServiceName) -> Option<(SlotSender, ChosenTarget, RequestWork)> {
        let is_waiting = |reply: &SlotSender| !reply.is_closed();
        self.scheduler.borrow_mut().next_ready(service, is_waiting, self.clock.now())
    }
}
