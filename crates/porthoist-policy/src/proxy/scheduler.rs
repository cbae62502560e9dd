//! Who gets a place, who waits for one and who is refused: the decisions of one process about all its requests.
//!
//! The caller of this module sends, waits and answers; it only asks here. The same code is driven by a load that is
//! played in virtual time.

use super::backpressure::{BackpressureSignals, ObservedChange};
use super::balancer::{BalancerSettings, ChosenTarget, LoadBalancer, RequestWork, SendOutcome};
use super::cold::ColdRule;
use super::forecast::{PlaceAsk, PlaceForecast, ServiceForecast};
use super::loads::GroupLoads;
use super::moving::{KnownWays, LEAST_WAIT_MILLIS, MoveCause, PendingSend, move_cause};
use super::notes::TargetNote;
use super::service_groups::GroupSnapshot;
use super::targets::{TargetLife, TargetRecord, TargetRegistry};
use super::turns::{EntryPosition, RateSource, TargetRate};
use super::waiting::{QueueClass, WaitList};
use super::zones::EmptiedZones;
use porthoist_core::{ServiceName, TargetName, UnixDeadline, UnixMillis};
use std::collections::HashMap;

/// Requests of one service that wait at most; more are refused at once.
const MAX_WAITING: usize = 512;

/// What a request needs.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The service.
    pub service: ServiceName,
    /// Whether its targets are ranks of a group.
    pub ranked: bool,
    /// The work it brings.
    pub work: RequestWork,
    /// Rank among requests, 0 first.
    pub priority: u8,
    /// Targets that it was sent to already.
    pub tried: Vec<TargetName>,
    /// When it came.
    pub arrival: UnixMillis,
    /// Time in milliseconds within which its answer, or first event, is on time.
    pub latency_millis: u64,
    /// When nobody waits for it any more.
    pub deadline: UnixDeadline,
    /// Its turn among requests of its rank.
    pub class: QueueClass,
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SlotError {
    /// Every target is busy, and none will be free in time.
    #[error("all targets are busy")]
    Busy,
    /// The targets answer nothing, or refuse everything.
    #[error("the targets are down")]
    Down,
    /// No target may take requests.
    #[error("no target serves the service")]
    NoTarget,
    /// Too many requests wait.
    #[error("too many requests wait")]
    Full,
    /// All targets name limits that leave no place in time.
    #[error("the targets take no more requests a second")]
    Limited,
    /// All targets are cold, and leave no place in time.
    #[error("the targets are cold")]
    Cold,
    /// All targets have asked for rest.
    #[error("the targets rest")]
    Resting,
    /// Operators have emptied the zones of all targets.
    #[error("the targets' zones are emptied")]
    Emptied,
}

impl From<RateSource> for SlotError {
    fn from(source: RateSource) -> Self {
        match source {
            RateSource::Announced => Self::Limited,
            RateSource::Cold => Self::Cold,
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone)]
pub enum SlotDecision {
    /// It goes to this target now.
    Assign(ChosenTarget),
    /// It waits until then at most, to be served in time.
    Wait(UnixDeadline),
    /// It is refused.
    Refuse(SlotError),
}

#[derive(Debug)]
struct WaitingRequest<W> {
    demand: SlotRequest,
    waiter: W,
}

/// The decisions of one process; `W` is what its caller needs to go on with a request that waited.
#[derive(Debug)]
pub struct RequestScheduler<W> {
    board: LoadBalancer,
    waiting: HashMap<ServiceName, WaitList<WaitingRequest<W>>>,
    forecasts: HashMap<ServiceName, ServiceForecast>,
}

impl<W> RequestScheduler<W> {
    /// A desk without targets.
    pub fn new(settings: BalancerSettings) -> Self {
        Self { board: LoadBalancer::new(settings), waiting: HashMap::new(), forecasts: HashMap::new() }
    }

    /// Takes the targets believed in now.
    pub fn sync(&mut self, book: &TargetRegistry) {
        self.board.sync(book);
    }

    /// Takes the loads that the engines of a group reported.
    pub fn update_loads(&mut self, loads: &GroupLoads, now: UnixMillis) {
        self.board.take_loads(loads, now);
    }

    /// The groups of a service that began to stand, or go on again, since the last call.
    pub fn group_changes(&mut self, service: &ServiceName, now: UnixMillis) -> Vec<GroupSnapshot> {
        self.board.group_changes(service, now)
    }

    /// Services whose groups are known.
    pub fn grouped_services(&self) -> Vec<ServiceName> {
        self.board.grouped_services()
    }

    /// What becomes of a request now. One that is to wait is handed over with [`Self::keep`].
    pub fn decide(&mut self, demand: &SlotRequest, now: UnixMillis) -> SlotDecision {
        let service = &demand.service;
        if let Some(error) = self.closed(service, now) {
            return SlotDecision::Refuse(error);
        }
        if demand.ranked && !self.forecast(service).may_send(now) {
            return SlotDecision::Refuse(SlotError::Down);
        }
        let list = self.waiting.get(service);
        let (waiting, ahead) =
            list.map_or((0, 0), |list| (list.len(), list.ahead(demand.priority, demand.class)));
        if waiting == 0
            && let Some(chosen) = self.choose(demand, now)
        {
            return SlotDecision::Assign(chosen);
        }
        if waiting >= MAX_WAITING {
            return SlotDecision::Refuse(SlotError::Full);
        }
        if !self.board.serves(service, now) {
            return SlotDecision::Refuse(SlotError::NoTarget);
        }
        let SlotRequest { arrival, latency_millis, deadline, class: turn, .. } = *demand;
        let supply = self.board.limited_supply(service, now);
        let limited_millis = supply.map(|supply| supply.millis);
        let ask = PlaceAsk { ahead, arrival, latency_millis, deadline, turn, limited_millis };
        match self.forecast(service).ask(ask, now) {
            PlaceForecast::Wait(until) => SlotDecision::Wait(until),
            PlaceForecast::Refuse => {
                SlotDecision::Refuse(supply.map_or(SlotError::Busy, |supply| supply.source.into()))
            }
        }
    }

    /// Why no target may get a request of the service now, whatever room they have.
    fn closed(&self, service: &ServiceName, now: UnixMillis) -> Option<SlotError> {
        if self.board.rest_end(service, now).is_some() {
            return Some(SlotError::Resting);
        }
        self.board.emptied(service, now).then_some(SlotError::Emptied)
    }

    /// Lets a request wait.
    pub fn enqueue(&mut self, demand: SlotRequest, waiter: W) {
        let list = self.waiting.entry(demand.service.clone()).or_default();
        list.add(demand.priority, demand.class, WaitingRequest { demand, waiter });
    }

    /// The next request that waited and has a place now. Those that `waits` says have gone are forgotten.
    pub fn next_ready(
        &mut self,
        service: &ServiceName,
        waits: impl Fn(&W) -> bool,
        now: UnixMillis,
    ) -> Option<(W, ChosenTarget, RequestWork)> {
        loop {
            let first = self.waiting.get(service)?.first()?;
            if !waits(&first.waiter) {
                self.waiting.get_mut(service)?.pop();
                continue;
            }
            let demand = first.demand.clone();
            let chosen = self.choose(&demand, now)?;
            let served = self.waiting.get_mut(service)?.pop()?;
            return Some((served.waiter, chosen, demand.work));
        }
    }

    /// Those that wait for a service that is down, or whose targets may get nothing: they are to be refused now.
    pub fn take_unservable(&mut self, service: &ServiceName, now: UnixMillis) -> Vec<W> {
        if !self.forecast(service).down() && self.closed(service, now).is_none() {
            return Vec::new();
        }
        let Some(mut list) = self.waiting.remove(service) else { return Vec::new() };
        std::iter::from_fn(|| list.pop()).map(|waiting| waiting.waiter).collect()
    }

    /// Takes the end of a send that had a place for so many milliseconds.
    pub fn ended(
        &mut self,
        service: &ServiceName,
        target: &TargetLife,
        work: RequestWork,
        outcome: SendOutcome,
        held_millis: u64,
        now: UnixMillis,
    ) {
        self.board.ended(target, work, outcome, now);
        let answered = matches!(outcome, SendOutcome::Answered(_millis));
        self.forecast(service).freed(answered.then_some(held_millis as f64));
    }

    /// Takes that a stream's first event, or an answer, came from a target so many milliseconds after its request had a
    /// place.
    pub fn first_event_received(&mut self, target: &TargetRecord, millis: f64, now: UnixMillis) {
        self.board.heard(target, now);
        self.forecast(&target.service).began(millis, now);
    }

    /// Takes that a stream of a service ended with so many events.
    pub fn stream_ended(&mut self, service: &ServiceName, events: u64) {
        self.forecast(service).streamed(events);
    }

    /// Whether a request is to leave the target that has it, to go on at another one.
    pub fn move_cause(
        &self,
        target: &TargetRecord,
        send: &PendingSend,
        now: UnixMillis,
    ) -> Option<MoveCause> {
        // Streams that go on are asked about 20 times a second each; only silence is worth a look at all targets.
        if now.since(send.since) < LEAST_WAIT_MILLIS {
            return None;
        }
        let forecast = self.forecasts.get(&target.service)?;
        let streams = forecast.streams()?;
        let paces = self.board.paces(&target.service, now);
        let (here, elsewhere_millis) = match self.board.group_of(&target.life()) {
            Some(group) => (paces.pace(group)?, paces.best_other(group)),
            // All targets of the service count as one group.
            None => (forecast.pace(now), None),
        };
        let host_silent = self.board.silent(&target.life(), now);
        move_cause(
            send,
            &KnownWays { here, elsewhere_millis, taken: paces.taken(), host_silent, streams },
            now,
        )
    }

    /// Takes that a target's process has ended.
    pub fn died(&mut self, life: &TargetLife, now: UnixMillis) {
        self.board.died(life, now);
    }

    /// Takes what a target says of itself in the answer to a request that was sent at a moment.
    pub fn apply_signals(
        &mut self,
        life: &TargetLife,
        word: &BackpressureSignals,
        sent: UnixMillis,
        now: UnixMillis,
    ) -> Vec<ObservedChange> {
        self.board.told(life, word, sent, now)
    }

    /// Takes what another entry tells of a target.
    pub fn apply_note(&mut self, note: &TargetNote, now: UnixMillis) -> Option<ObservedChange> {
        self.board.told_by_other(note, now)
    }

    /// Takes that a stream brought an event from a target.
    pub fn event_received(&mut self, target: &TargetRecord, now: UnixMillis) {
        self.board.heard(target, now);
        self.forecast(&target.service).heard(now);
    }

    /// Takes that a service refused or failed a request.
    pub fn refused(&mut self, service: &ServiceName, now: UnixMillis) {
        self.forecast(service).refused(now);
    }

    /// Whether a target has said that it leaves.
    pub fn is_leaving(&self, life: &TargetLife) -> bool {
        self.board.leaves(life)
    }

    /// After how many milliseconds a caller that is refused should come back; `point` is random between 0 and 1.
    pub fn retry_after_millis(
        &mut self,
        service: &ServiceName,
        deadline: UnixDeadline,
        point: f64,
        now: UnixMillis,
    ) -> u64 {
        let supply = self.board.limited_supply(service, now);
        let waiting = self.waiting.get(service).map_or(0, WaitList::len);
        let limited = supply.map_or(0.0, |supply| supply.millis * (waiting + 1) as f64);
        let resting = self.board.rest_end(service, now).map_or(0, |end| end.0.since(now));
        let least = limited.max(resting as f64);
        self.forecast(service).return_millis(deadline, least, point, now)
    }

    /// Why a request that waited in vain is refused.
    pub fn refusal(&self, service: &ServiceName, now: UnixMillis) -> SlotError {
        if let Some(error) = self.closed(service, now) {
            return error;
        }
        match (self.board.serves(service, now), self.board.limited_supply(service, now)) {
            (false, _) => SlotError::NoTarget,
            (true, Some(supply)) => supply.source.into(),
            (true, None) => SlotError::Busy,
        }
    }

    /// Whether a request that was given a place at a target may still be sent there.
    pub fn is_still_valid(&self, life: &TargetLife, rate: Option<TargetRate>, now: UnixMillis) -> bool {
        self.board.stands(life, rate, now)
    }

    /// Takes what services' operators say of cold targets.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceName, ColdRule>) {
        self.board.set_cold_rules(rules);
    }

    /// Takes the zones that operators have emptied.
    pub fn set_emptied(&mut self, zones: &EmptiedZones, now: UnixMillis) {
        self.board.set_emptied(zones, now);
    }

    /// Targets that count as cold now.
    pub fn cold_targets(&self, now: UnixMillis) -> usize {
        self.board.cold(now)
    }

    /// When the next request of a service that waits may be sent although nothing was released.
    pub fn next_turn(&self, service: &ServiceName, now: UnixMillis) -> Option<UnixDeadline> {
        self.board.limited_supply(service, now).map(|supply| supply.next)
    }

    /// Takes this process's place among the entries of its zone.
    pub fn set_entry_position(&mut self, place: Option<EntryPosition>) {
        self.board.set_place(place);
    }

    /// Services that requests wait for.
    pub fn awaited_services(&self) -> Vec<ServiceName> {
        let lists = self.waiting.iter().filter(|(_service, list)| !list.is_empty());
        lists.map(|(service, _list)| service.clone()).collect()
    }

    /// Requests that wait now.
    pub fn waiting(&self) -> usize {
        self.waiting.values().map(WaitList::len).sum()
    }

    /// Requests of this process at a target.
    pub fn in_flight(&self, target: &TargetLife) -> u32 {
        self.board.in_flight(target)
    }

    fn choose(&mut self, demand: &SlotRequest, now: UnixMillis) -> Option<ChosenTarget> {
        let SlotRequest { service, ranked, work, tried, .. } = demand;
        let chosen = self.board.choose(service, *ranked, *work, tried, now)?;
        self.forecast(service).placed(now);
        Some(chosen)
    }

    fn forecast(&mut self, service: &ServiceName) -> &mut ServiceForecast {
        if !self.forecasts.contains_key(service) {
            self.forecasts.insert(service.clone(), ServiceForecast::default());
        }
        self.forecasts.get_mut(service).expect("it was added above")
    }
}
