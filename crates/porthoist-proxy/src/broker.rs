//! Dispatches requests to targets: assigns each a slot, or queues it until the scheduler finds one.

use porthoist_core::{ClockSource, ServiceName, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::backpressure::{BackpressureChange, BackpressureSignals, ObservedChange};
use porthoist_policy::proxy::balancer::{
    BalancerSettings, ChosenTarget, ReportedRequests, RequestWork, SendOutcome,
};
use porthoist_policy::proxy::cold::ColdRule;
use porthoist_policy::proxy::loads::GroupLoads;
use porthoist_policy::proxy::moving::{MoveCause, PendingSend};
use porthoist_policy::proxy::notes::TargetNote;
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision};
use porthoist_policy::proxy::service_groups::GroupSnapshot;
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord, TargetRegistry};
use porthoist_policy::proxy::turns::{EntryPosition, TargetRate};
use porthoist_policy::proxy::zones::EmptiedZones;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

pub use porthoist_policy::proxy::scheduler::{SlotError, SlotRequest};

/// Settings of a [`RequestDispatcher`].
pub type BrokerSettings = BalancerSettings;

/// Receives the slot of a queued request; dropped if the request is refused.
type PlaceReply = oneshot::Sender<TargetPlace>;

/// Assigns slots at targets to requests. Clones share one state.
#[derive(Clone)]
pub struct RequestDispatcher {
    desk: Rc<RefCell<RequestScheduler<PlaceReply>>>,
    clock: Arc<dyn ClockSource>,
}

impl fmt::Debug for RequestDispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RequestDispatcher")
    }
}

/// A slot at a target for one request, released on drop.
pub struct TargetPlace {
    /// The target.
    pub record: Arc<TargetRecord>,
    /// Requests of this process that were in flight at the target before this one.
    pub in_flight: u32,
    /// Load that engines had reported for the target when it was chosen.
    pub report: Option<ReportedRequests>,
    /// State of the target's group when it was chosen, if the target is a rank of a known group.
    pub group: Option<GroupSnapshot>,
    /// Rate limit of the target under which it was chosen.
    pub rate: Option<TargetRate>,
    /// When the slot was assigned.
    pub placed: UnixMillis,
    work: RequestWork,
    outcome: Cell<SendOutcome>,
    broker: RequestDispatcher,
}

impl fmt::Debug for TargetPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetPlace").field("target", &self.record.id).finish_non_exhaustive()
    }
}

impl TargetPlace {
    /// Records how the attempt ended. Without this call it counts as abandoned by the caller.
    pub fn ended(&self, outcome: SendOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for TargetPlace {
    fn drop(&mut self) {
        self.broker.release(self);
    }
}

impl RequestDispatcher {
    /// Creates a dispatcher without targets.
    pub fn new(settings: BrokerSettings, clock: Arc<dyn ClockSource>) -> Self {
        Self { desk: Rc::new(RefCell::new(RequestScheduler::new(settings))), clock }
    }

    /// Applies the known targets and the operators' settings for them, and serves queued requests.
    pub fn sync(&self, book: &TargetRegistry, rules: HashMap<ServiceName, ColdRule>, zones: &EmptiedZones) {
        let mut desk = self.desk.borrow_mut();
        desk.set_cold_rules(rules);
        desk.set_emptied(zones, self.clock.now());
        desk.sync(book);
        drop(desk);
        for service in self.awaited() {
            self.refuse_hopeless(&service);
        }
        self.serve_all_waiting();
    }

    /// Returns the number of cold targets.
    pub fn cold(&self) -> usize {
        self.desk.borrow().cold_targets(self.clock.now())
    }

    fn awaited(&self) -> Vec<ServiceName> {
        self.desk.borrow().awaited_services()
    }

    /// Applies the loads that the engines of a group reported, and serves requests queued for capacity.
    pub fn update_loads(&self, loads: &GroupLoads) {
        self.desk.borrow_mut().update_loads(loads, self.clock.now());
        self.serve_all_waiting();
    }

    /// Returns the groups that stalled or resumed since the last call.
    pub fn group_changes(&self) -> Vec<GroupSnapshot> {
        let mut desk = self.desk.borrow_mut();
        let services = desk.grouped_services();
        let now = self.clock.now();
        services.iter().flat_map(|service| desk.group_changes(service, now)).collect()
    }

    /// Returns a slot at once, or after a wait if one can be expected in time.
    pub async fn place(&self, demand: SlotRequest) -> Result<TargetPlace, SlotError> {
        let service = demand.service.clone();
        let answer = self.desk.borrow_mut().decide(&demand, self.clock.now());
        let (until, receiver) = match answer {
            SlotDecision::Assign(chosen) => return Ok(self.place_at(chosen, demand.work)),
            SlotDecision::Refuse(error) => {
                self.refuse_hopeless(&service);
                return Err(error);
            }
            SlotDecision::Wait(until) => {
                let (reply, receiver) = oneshot::channel();
                self.desk.borrow_mut().enqueue(demand, reply);
                (until, receiver)
            }
        };
        // A target's backoff may have ended without any slot having been released.
        self.serve_waiting(&service);
        match self.await_place(&service, until, receiver).await {
            Some(Ok(place)) => Ok(place),
            Some(Err(_dropped)) => Err(self.hopeless(&service)),
            None => Err(self.desk.borrow().refusal(&service, self.clock.now())),
        }
    }

    /// Waits for a slot until a deadline. If a rate limit bounds all targets, a slot becomes free by time
    /// alone, so the queue is checked again at the next permitted send.
    async fn await_place(
        &self,
        service: &ServiceName,
        until: UnixDeadline,
        mut receiver: oneshot::Receiver<TargetPlace>,
    ) -> Option<Result<TargetPlace, oneshot::error::RecvError>> {
        loop {
            let now = self.clock.now();
            let turn = self.desk.borrow().next_turn(service, now).filter(|turn| *turn < until);
            let patience = turn.unwrap_or(until).remaining(now);
            match tokio::time::timeout(patience, &mut receiver).await {
                Ok(place) => return Some(place),
                Err(_elapsed) if turn.is_some() => self.serve_waiting(service),
                Err(_elapsed) => return None,
            }
        }
    }

    /// Sets this process's position among the entries of its zone.
    pub fn set_entry_position(&self, place: Option<EntryPosition>) {
        self.desk.borrow_mut().set_entry_position(place);
    }

    /// Whether a request may still be sent to the target of its slot.
    pub fn stands(&self, place: &TargetPlace) -> bool {
        self.desk.borrow().is_still_valid(&place.record.life(), place.rate, self.clock.now())
    }

    /// Whether a target has announced that it is draining.
    pub fn leaves(&self, target: &TargetLife) -> bool {
        self.desk.borrow().is_leaving(target)
    }

    /// Returns the time in milliseconds after which a refused caller should retry.
    pub fn return_millis(&self, service: &ServiceName, deadline: UnixDeadline) -> u64 {
        self.desk.borrow_mut().retry_after_millis(service, deadline, rand::random(), self.clock.now())
    }

    /// Records the time in milliseconds from slot to first stream event or response.
    pub fn began(&self, target: &TargetRecord, millis: f64) {
        self.desk.borrow_mut().first_event_received(target, millis, self.clock.now());
    }

    /// Applies the backpressure signals in a target's response to a request sent at the given time.
    pub fn told(
        &self,
        target: &TargetRecord,
        word: &BackpressureSignals,
        sent: UnixMillis,
    ) -> Vec<ObservedChange> {
        let changes = self.desk.borrow_mut().apply_signals(&target.life(), word, sent, self.clock.now());
        if changes.iter().any(|noted| matches!(noted.change, BackpressureChange::Resting(_))) {
            self.refuse_hopeless(&target.service);
        }
        changes
    }

    /// Applies a note about a target from another entry.
    pub fn told_by_other(&self, note: &TargetNote) -> Option<ObservedChange> {
        self.desk.borrow_mut().apply_note(note, self.clock.now())
    }

    /// Records that a stream from a target delivered an event.
    pub fn heard(&self, target: &TargetRecord) {
        self.desk.borrow_mut().event_received(target, self.clock.now());
    }

    /// Records the number of events of a finished stream.
    pub fn streamed(&self, service: &ServiceName, events: u64) {
        self.desk.borrow_mut().stream_ended(service, events);
    }

    /// Returns why a request should move from its current target to another one, if it should.
    pub fn move_cause(&self, target: &TargetRecord, send: &PendingSend) -> Option<MoveCause> {
        self.desk.borrow().move_cause(target, send, self.clock.now())
    }

    /// Records that a target's process has ended.
    pub fn died(&self, life: &TargetLife) {
        self.desk.borrow_mut().died(life, self.clock.now());
    }

    /// Records that a service refused or failed a request.
    pub fn refused(&self, service: &ServiceName) {
        self.desk.borrow_mut().refused(service, self.clock.now());
        self.refuse_hopeless(service);
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.desk.borrow().waiting()
    }

    /// Number of this process's requests in flight at a target.
    pub fn in_flight(&self, target: &TargetLife) -> u32 {
        self.desk.borrow().in_flight(target)
    }

    fn place_at(&self, chosen: ChosenTarget, work: RequestWork) -> TargetPlace {
        let ChosenTarget { record, in_flight, report, group, rate } = chosen;
        TargetPlace {
            record,
            in_flight,
            report,
            group,
            rate,
            placed: self.clock.now(),
            work,
            outcome: Cell::new(SendOutcome::Abandoned),
            broker: self.clone(),
        }
    }

    fn release(&self, place: &TargetPlace) {
        let TargetPlace { record, work, placed, outcome, .. } = place;
        let now = self.clock.now();
        let held = now.since(*placed);
        self.desk.borrow_mut().ended(&record.service, &record.life(), *work, outcome.get(), held, now);
        self.serve_waiting(&record.service);
    }

    /// Why queued requests of a service are refused before their deadline.
    fn hopeless(&self, service: &ServiceName) -> SlotError {
        match self.desk.borrow().refusal(service, self.clock.now()) {
            error @ (SlotError::Resting | SlotError::Emptied) => error,
            _other => SlotError::Down,
        }
    }

    /// Refuses queued requests of a service that is down or whose targets may receive none.
    fn refuse_hopeless(&self, service: &ServiceName) {
        let hopeless = self.desk.borrow_mut().take_unservable(service, self.clock.now());
        drop(hopeless);
    }

    fn serve_all_waiting(&self) {
        for service in self.awaited() {
            self.serve_waiting(&service);
        }
    }

    fn serve_waiting(&self, service: &ServiceName) {
        while let Some((reply, chosen, work)) = self.next_served(service) {
            // If the caller has left, the send fails and drops the slot, which frees it for the next
            // request.
            drop(reply.send(self.place_at(chosen, work)));
        }
    }

    fn next_served(&self, service: &ServiceName) -> Option<(PlaceReply, ChosenTarget, RequestWork)> {
        let waits = |reply: &PlaceReply| !reply.is_closed();
        self.desk.borrow_mut().next_ready(service, waits, self.clock.now())
    }
}
