//! The actor with the last word: gate, queue, kept answers and the drain flag of one target process.
//!
//! Its refusal is proof that the request did not run, because nothing runs but through it.

use crate::log::{AnswerLog, LogEnd, LogFollower};
use crate::runner::RunJob;
use kameo::Actor;
use kameo::message::{Context, Message};
use porthoist_core::{
    AttemptId, ClockSource, IncarnationId, LoadReport, RefusalReason, RepeatPolicy, RequestOffer, RingSender,
    RunVerdict, TargetName, TeamName, TicketKey, TicketText, UnixDeadline, UnixMillis,
};
use porthoist_policy::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionSettings};
use porthoist_policy::gate::{GateDecision, GateKey, GateMachine, GateOffer};
use porthoist_policy::router::prefix::PrefixView;
use porthoist_policy::router::{BLOCK_TOKENS, PREFIX_CAPACITY};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use tokio::sync::watch;

/// Tickets and unrepeatable attempts remembered at most.
pub const GATE_CAPACITY: usize = 200_000;
/// Bytes of finished answers kept at most.
pub const KEPT_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Tickets minted for one call at most.
pub const MAX_TICKET_BATCH: u32 = 256;
/// A ticket's deadline lies at most so far ahead, in milliseconds.
pub const MAX_TICKET_MILLIS: u64 = 24 * 60 * 60 * 1000;

/// The weight of a team as the configuration in force has it.
pub type TeamWeights = Arc<dyn Fn(&TeamName) -> f64 + Send + Sync>;

/// Settings of the actor.
#[derive(bon::Builder)]
pub struct OffersSettings {
    /// The target's name.
    pub target: TargetName,
    /// This life of the process.
    pub incarnation: IncarnationId,
    /// Signs tickets; it dies with the process.
    pub key: TicketKey,
    /// Slots and queue.
    pub admission: AdmissionSettings,
    /// The time.
    pub clock: Arc<dyn ClockSource>,
    /// Requests that start go there.
    pub jobs: RingSender<RunJob>,
    /// Team weights.
    pub weights: TeamWeights,
    /// The load is published there after each change.
    pub load: watch::Sender<LoadReport>,
}

impl fmt::Debug for OffersSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OffersSettings").field("target", &self.target).finish_non_exhaustive()
    }
}

struct OfferRecord {
    offer: Arc<RequestOffer>,
    key: Option<GateKey>,
    log: Arc<AnswerLog>,
}

/// The actor.
#[derive(Actor)]
pub struct OffersActor {
    settings: OffersSettings,
    gate: GateMachine,
    queue: AdmissionQueue,
    active: HashMap<AttemptId, OfferRecord>,
    kept: HashMap<GateKey, Arc<AnswerLog>>,
    kept_order: VecDeque<GateKey>,
    kept_bytes: usize,
    prefixes: PrefixView,
}

impl fmt::Debug for OffersActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OffersActor").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// A refusal with the time after which another try makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// When to come back.
    pub retry_at: Option<UnixMillis>,
}

impl OffersActor {
    /// An actor with an empty queue and memory.
    pub fn new(settings: OffersSettings) -> Self {
        Self {
            gate: GateMachine::new(settings.incarnation, GATE_CAPACITY),
            queue: AdmissionQueue::new(settings.admission),
            active: HashMap::new(),
            kept: HashMap::new(),
            kept_order: VecDeque::new(),
            kept_bytes: 0,
            prefixes: PrefixView::new(PREFIX_CAPACITY),
            settings,
        }
    }

    fn now(&self) -> UnixMillis {
        self.settings.clock.now()
    }

    /// Prompt tokens believed to be in the engine's cache: what ran here lately.
    fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        self.prefixes.cached_blocks(blocks) as u32 * BLOCK_TOKENS
    }

    fn publish(&self) {
        let load = self.queue.load(self.now(), self.gate.draining());
        self.settings.load.send_replace(load);
    }

    fn gate_offer(&self, offer: &RequestOffer) -> Result<Option<GateOffer>, OfferRefusal> {
        let fingerprint = offer.fingerprint();
        let Some(ticket) = &offer.ticket else {
            let once = offer.repeat == RepeatPolicy::Never;
            return Ok(once.then_some(GateOffer {
                key: GateKey::Attempt(offer.attempt),
                incarnation: self.settings.incarnation,
                fingerprint,
                deadline: offer.deadline,
            }));
        };
        let own = ticket.incarnation == self.settings.incarnation;
        let misdirected = ticket.target != self.settings.target;
        if misdirected || (own && !self.settings.key.verify(ticket, &offer.team)) {
            let (reason, verdict) = (RefusalReason::TicketInvalid, RunVerdict::MayHaveRun);
            return Err(OfferRefusal { reason, verdict, retry_at: None });
        }
        Ok(Some(GateOffer {
            key: GateKey::Ticket(ticket.sequence),
            incarnation: ticket.incarnation,
            fingerprint,
            deadline: ticket.deadline,
        }))
    }

    fn decide(&mut self, offer: &Arc<RequestOffer>) -> Result<LogFollower, OfferRefusal> {
        let now = self.now();
        let gate_offer = self.gate_offer(offer)?;
        let request = AdmissionRequest {
            attempt: offer.attempt,
            team: offer.team.clone(),
            weight: (self.settings.weights)(&offer.team),
            priority: offer.priority,
            prompt_tokens: offer.prompt_tokens.saturating_sub(self.cached_tokens(&offer.prefix_blocks)),
            deadline: offer.deadline,
        };
        let queue = &mut self.queue;
        let mut starts = false;
        let mut retry_at = None;
        let admit = || match queue.offer(now, request) {
            AdmissionDecision::Start => {
                starts = true;
                Ok(())
            }
            AdmissionDecision::Queued => Ok(()),
            AdmissionDecision::Refused(reason, at) => {
                retry_at = Some(at);
                Err(reason)
            }
        };
        let decision = match gate_offer {
            Some(gate_offer) => self.gate.offer(now, gate_offer, admit),
            None if self.gate.draining() => GateDecision::Refuse(RefusalReason::Draining, RunVerdict::NotRun),
            None => admit().map_or_else(
                |reason| GateDecision::Refuse(reason, RunVerdict::NotRun),
                |()| GateDecision::Run,
            ),
        };
        let key = gate_offer.map(|gate_offer| gate_offer.key);
        match decision {
            GateDecision::Run => Ok(self.accept(offer, key, starts)),
            GateDecision::Attach | GateDecision::Replay => {
                self.known_log(key).map(|log| log.follow(offer.resume_after.unwrap_or(0)))
            }
            GateDecision::Refuse(reason, verdict) => Err(OfferRefusal { reason, verdict, retry_at }),
        }
    }

    fn accept(&mut self, offer: &Arc<RequestOffer>, key: Option<GateKey>, starts: bool) -> LogFollower {
        let base = offer.resume_after.unwrap_or(0);
        let log = AnswerLog::new(base);
        // The follower exists before the run starts, so that a run without followers is an abandoned one.
        let follower = log.follow(base);
        if let Some(key) = key {
            self.kept.insert(key, Arc::clone(&log));
        }
        let record = OfferRecord { offer: Arc::clone(offer), key, log: Arc::clone(&log) };
        self.active.insert(offer.attempt, record);
        self.prefixes.insert(&offer.prefix_blocks);
        if starts {
            self.start(offer.attempt);
        }
        follower
    }

    fn known_log(&self, key: Option<GateKey>) -> Result<Arc<AnswerLog>, OfferRefusal> {
        let log = key.and_then(|key| self.kept.get(&key));
        let gone =
            OfferRefusal { reason: RefusalReason::AnswerGone, verdict: RunVerdict::Ran, retry_at: None };
        log.cloned().ok_or(gone)
    }

    fn start(&mut self, attempt: AttemptId) {
        let Some(record) = self.active.get(&attempt) else {
            return;
        };
        let job = RunJob { offer: Arc::clone(&record.offer), log: Arc::clone(&record.log) };
        if self.settings.jobs.try_send(job).is_err() {
            let retry_at = Some(self.queue.retry_at(self.now()));
            self.give_up(attempt, RefusalReason::Overloaded, retry_at);
        }
    }

    /// Refuses a request that was accepted but has not run.
    fn give_up(&mut self, attempt: AttemptId, reason: RefusalReason, retry_at: Option<UnixMillis>) {
        let now = self.now();
        self.queue.finished(now, attempt);
        let Some(record) = self.active.remove(&attempt) else {
            return;
        };
        if let Some(key) = record.key {
            self.gate.cancelled(key);
            self.kept.remove(&key);
        }
        record.log.finish(LogEnd::Refused { reason, verdict: RunVerdict::NotRun, retry_at });
    }

    fn start_waiting(&mut self) {
        let now = self.now();
        for attempt in self.queue.expired(now) {
            self.give_up(attempt, RefusalReason::DeadlinePassed, Some(now));
        }
        for attempt in self.queue.next_starts(now) {
            self.start(attempt);
        }
    }

    fn ended(&mut self, attempt: AttemptId) {
        let now = self.now();
        self.queue.finished(now, attempt);
        if let Some(record) = self.active.remove(&attempt)
            && let Some(key) = record.key
        {
            self.keep(key, &record.log);
        }
        self.start_waiting();
    }

    fn keep(&mut self, key: GateKey, log: &AnswerLog) {
        if let Some(LogEnd::Refused { verdict: RunVerdict::NotRun, .. }) = log.end() {
            self.gate.cancelled(key);
            self.kept.remove(&key);
            return;
        }
        self.gate.finished(key);
        self.kept_bytes += log.size();
        self.kept_order.push_back(key);
        while self.kept_bytes > KEPT_ANSWER_BYTES || self.kept_order.len() > GATE_CAPACITY {
            let Some(oldest) = self.kept_order.pop_front() else {
                return;
            };
            if let Some(dropped) = self.kept.remove(&oldest) {
                self.kept_bytes -= dropped.size();
                self.gate.answer_dropped(oldest);
            }
        }
    }
}

/// Offers a request.
#[derive(Debug)]
pub struct OfferRequest(pub Arc<RequestOffer>);

impl Message<OfferRequest> for OffersActor {
    type Reply = Result<LogFollower, OfferRefusal>;

    async fn handle(&mut self, msg: OfferRequest, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let decided = self.decide(&msg.0);
        self.publish();
        decided
    }
}

/// Asks for tickets.
#[derive(Debug)]
pub struct MintTickets {
    /// The team that may use them.
    pub team: TeamName,
    /// How many.
    pub count: u32,
    /// When they end.
    pub deadline: UnixDeadline,
}

impl Message<MintTickets> for OffersActor {
    type Reply = Vec<TicketText>;

    async fn handle(&mut self, msg: MintTickets, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.now();
        let latest = UnixDeadline::after(now, MAX_TICKET_MILLIS);
        let deadline = msg.deadline.min(latest);
        let OffersSettings { target, incarnation, key, .. } = &self.settings;
        let mut tickets = Vec::new();
        for _ in 0..msg.count.min(MAX_TICKET_BATCH) {
            let Some(sequence) = self.gate.mint(now, deadline) else {
                break;
            };
            tickets.push(key.mint(target, *incarnation, sequence, deadline, &msg.team));
        }
        tickets
    }
}

/// A run is over; its log has its end.
#[derive(Debug, Clone, Copy)]
pub struct RunEnded(pub AttemptId);

impl Message<RunEnded> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: RunEnded, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.ended(msg.0);
        self.publish();
    }
}

/// The first event of a run came.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent(pub AttemptId);

impl Message<FirstEvent> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: FirstEvent, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.queue.first_token(msg.0);
    }
}

/// Nobody waits for a request any more: it leaves the queue if it has not started.
#[derive(Debug, Clone, Copy)]
pub struct OfferAbandoned(pub AttemptId);

impl Message<OfferAbandoned> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: OfferAbandoned, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let waiting = self.active.get(&msg.0).is_some_and(|record| !record.log.followed());
        if waiting && self.queue.is_waiting(msg.0) {
            self.give_up(msg.0, RefusalReason::DeadlinePassed, None);
            self.publish();
        }
    }
}

/// The passing of time, and the engine's pace where it is known.
#[derive(Debug, Clone, Copy)]
pub struct QueueTick(pub Option<crate::runner::EnginePace>);

impl Message<QueueTick> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: QueueTick, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        if let Some(pace) = msg.0 {
            self.queue.set_pace(pace.step_micros, pace.prefill_rate);
        }
        self.start_waiting();
        self.publish();
    }
}

/// Sets the drain flag.
#[derive(Debug, Clone, Copy)]
pub struct SetDraining(pub bool);

impl Message<SetDraining> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetDraining, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.gate.set_draining(msg.0);
        self.publish();
    }
}
