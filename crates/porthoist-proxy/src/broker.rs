//! Gives each request a place at a target, or lets it wait for one, as the desk decides.

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

/// Settings of a broker.
pub type BrokerSettings = BalancerSettings;

/// Takes the target of a request that waited; dropped when the request is to be refused.
type PlaceReply = oneshot::Sender<TargetPlace>;

/// The broker; clones share one state.
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

/// A place at a target, free again when dropped.
pub struct TargetPlace {
    /// The target.
    pub record: Arc<TargetRecord>,
    /// Requests of this process at the target before this one.
    pub in_flight: u32,
    /// What engines had reported of the target when it was chosen.
    pub report: Option<ReportedRequests>,
    /// How the target's group did when it was chosen, if it is known to be a rank of one.
    pub group: Option<GroupSnapshot>,
    /// What bounds the requests that the target takes, within which it was chosen.
    pub rate: Option<TargetRate>,
    /// When it was given.
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
    /// Says how the send ended; without this it counts as abandoned by the caller.
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
    /// A broker without targets.
    pub fn new(settings: BrokerSettings, clock: Arc<dyn ClockSource>) -> Self {
        Self { desk: Rc::new(RefCell::new(RequestScheduler::new(settings))), clock }
    }

    /// Takes the targets believed in now, what operators say of them, and serves those who waited for one.
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

    /// Targets that count as cold now.
    pub fn cold(&self) -> usize {
        self.desk.borrow().cold_targets(self.clock.now())
    }

    fn awaited(&self) -> Vec<ServiceName> {
        self.desk.borrow().awaited_services()
    }

    /// Takes the loads that the engines of a group reported, and serves those who waited for room.
    pub fn update_loads(&self, loads: &GroupLoads) {
        self.desk.borrow_mut().update_loads(loads, self.clock.now());
        self.serve_all_waiting();
    }

    /// The groups that began to stand, or go on again, since the last call.
    pub fn group_changes(&self) -> Vec<GroupSnapshot> {
        let mut desk = self.desk.borrow_mut();
        let services = desk.grouped_services();
        let now = self.clock.now();
        services.iter().flat_map(|service| desk.group_changes(service, now)).collect()
    }

    /// A place, at once or after a wait that is expected to be worth it.
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
        // A target whose time out has ended may be free although nothing was released.
        self.serve_waiting(&service);
        match self.await_place(&service, until, receiver).await {
            Some(Ok(place)) => Ok(place),
            Some(Err(_dropped)) => Err(self.hopeless(&service)),
            None => Err(self.desk.borrow().refusal(&service, self.clock.now())),
        }
    }

    /// Waits for a place until a deadline. Where something bounds what all targets take, time alone makes one free.
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

    /// Takes this process's place among the entries of its zone.
    pub fn set_entry_position(&self, place: Option<EntryPosition>) {
        self.desk.borrow_mut().set_entry_position(place);
    }

    /// Whether a request may still be sent to the target that it was given a place at.
    pub fn stands(&self, place: &TargetPlace) -> bool {
        self.desk.borrow().is_still_valid(&place.record.life(), place.rate, self.clock.now())
    }

    /// Whether a target has said that it leaves.
    pub fn leaves(&self, target: &TargetLife) -> bool {
        self.desk.borrow().is_leaving(target)
    }

    /// After how many milliseconds a caller that is refused should come back.
    pub fn return_millis(&self, service: &ServiceName, deadline: UnixDeadline) -> u64 {
        self.desk.borrow_mut().retry_after_millis(service, deadline, rand::random(), self.clock.now())
    }

    /// Takes that a stream's first event, or an answer, came from a target so many milliseconds after its request had a
    /// place.
    pub fn began(&self, target: &TargetRecord, millis: f64) {
        self.desk.borrow_mut().first_event_received(target, millis, self.clock.now());
    }

    /// Takes what a target says of itself in the answer to a request that was sent at a moment.
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

    /// Takes what another entry tells of a target.
    pub fn told_by_other(&self, note: &TargetNote) -> Option<ObservedChange> {
        self.desk.borrow_mut().apply_note(note, self.clock.now())
    }

    /// Takes that a stream brought an event from a target.
    pub fn heard(&self, target: &TargetRecord) {
        self.desk.borrow_mut().event_received(target, self.clock.now());
    }

    /// Takes that a stream of a service ended with so many events.
    pub fn streamed(&self, service: &ServiceName, events: u64) {
        self.desk.borrow_mut().stream_ended(service, events);
    }

    /// Whether a request is to leave the target that has it, to go on at another one.
    pub fn move_cause(&self, target: &TargetRecord, send: &PendingSend) -> Option<MoveCause> {
        self.desk.borrow().move_cause(target, send, self.clock.now())
    }

    /// Takes that a target's process has ended.
    pub fn died(&self, life: &TargetLife) {
        self.desk.borrow_mut().died(life, self.clock.now());
    }

    /// Takes that a service refused or failed a request.
    pub fn refused(&self, service: &ServiceName) {
        self.desk.borrow_mut().refused(service, self.clock.now());
        self.refuse_hopeless(service);
    }

    /// Requests that wait now.
    pub fn waiting(&self) -> usize {
        self.desk.borrow().waiting()
    }

    /// Requests of this process at a target.
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

    /// Why those that waited for a service are refused before their time.
    fn hopeless(&self, service: &ServiceName) -> SlotError {
        match self.desk.borrow().refusal(service, self.clock.now()) {
            error @ (SlotError::Resting | SlotError::Emptied) => error,
            _other => SlotError::Down,
        }
    }

    /// Refuses those that wait for a service that is down, or whose targets may get nothing.
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
            // A caller that left drops the place at once, which frees it for the next.
            drop(reply.send(self.place_at(chosen, work)));
        }
    }

    fn next_served(&self, service: &ServiceName) -> Option<(PlaceReply, ChosenTarget, RequestWork)> {
        let waits = |reply: &PlaceReply| !reply.is_closed();
        self.desk.borrow_mut().next_ready(service, waits, self.clock.now())
    }
}
