//! Actor that decides on every request offered to a target process.
//!
//! It owns the gate, the queue, the retained answers and the drain flag. No request runs without it, so its refusal proves
//! that the request did not run.

use crate::answer_log::{AnswerLog, LogEnd, LogFollower};
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

/// Largest number of tickets and non-repeatable attempts that the gate remembers.
pub const GATE_CAPACITY: usize = 200_000;
/// Largest total size of the retained answers in bytes.
pub const MAX_RETAINED_BYTES: usize = 32 * 1024 * 1024;
/// Largest number of tickets minted by one call.
pub const MAX_TICKET_BATCH: u32 = 256;
/// Longest lifetime of a ticket, in milliseconds.
pub const MAX_TICKET_MILLIS: u64 = 24 * 60 * 60 * 1000;

/// Looks up a team's weight in the configuration in force.
pub type TeamWeights = Arc<dyn Fn(&TeamName) -> f64 + Send + Sync>;

/// Settings of the offers actor.
#[derive(bon::Builder)]
pub struct OffersSettings {
    /// The target's name.
    pub target: TargetName,
    /// Identifies this run of the process.
    pub incarnation: IncarnationId,
    /// Signs tickets; never leaves the process.
    pub key: TicketKey,
    /// Settings of the slots and the queue.
    pub admission: AdmissionSettings,
    /// The source of the current time.
    pub clock: Arc<dyn ClockSource>,
    /// Receives the requests to start.
    pub jobs: RingSender<RunJob>,
    /// The weights of teams.
    pub weights: TeamWeights,
    /// Receives the load after each change.
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

/// Decides on offers, queues accepted requests and retains their answers.
#[derive(Actor)]
pub struct OffersActor {
    settings: OffersSettings,
    gate: GateMachine,
    queue: AdmissionQueue,
    active: HashMap<AttemptId, OfferRecord>,
    retained: HashMap<GateKey, Arc<AnswerLog>>,
    /// Keys of the finished answers, the oldest first.
    retained_order: VecDeque<GateKey>,
    /// Total size of the finished answers.
    retained_bytes: usize,
    prefixes: PrefixView,
}

impl fmt::Debug for OffersActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OffersActor").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// A refusal of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The earliest time at which a retry is useful.
    pub retry_at: Option<UnixMillis>,
}

impl OffersActor {
    /// Creates an actor with an empty queue.
    pub fn new(settings: OffersSettings) -> Self {
        Self {
            gate: GateMachine::new(settings.incarnation, GATE_CAPACITY),
            queue: AdmissionQueue::new(settings.admission),
            active: HashMap::new(),
            retained: HashMap::new(),
            retained_order: VecDeque::new(),
            retained_bytes: 0,
            prefixes: PrefixView::new(PREFIX_CAPACITY),
            settings,
        }
    }

    fn now(&self) -> UnixMillis {
        self.settings.clock.now()
    }

    /// Estimates the prompt tokens in the engine's cache from the requests that ran here recently.
    fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        self.prefixes.cached_blocks(blocks) as u32 * BLOCK_TOKENS
    }

    fn publish_load(&self) {
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
                self.retained_log(key).map(|log| log.follow(offer.resume_after.unwrap_or(0)))
            }
            GateDecision::Refuse(reason, verdict) => Err(OfferRefusal { reason, verdict, retry_at }),
        }
    }

    fn accept(&mut self, offer: &Arc<RequestOffer>, key: Option<GateKey>, starts: bool) -> LogFollower {
        let base = offer.resume_after.unwrap_or(0);
        let log = AnswerLog::new(base);
        // The follower is created before the run starts, so that a run without followers counts as abandoned.
        let follower = log.follow(base);
        if let Some(key) = key {
            self.retained.insert(key, Arc::clone(&log));
        }
        let record = OfferRecord { offer: Arc::clone(offer), key, log: Arc::clone(&log) };
        self.active.insert(offer.attempt, record);
        self.prefixes.insert(&offer.prefix_blocks);
        if starts {
            self.start(offer.attempt);
        }
        follower
    }

    fn retained_log(&self, key: Option<GateKey>) -> Result<Arc<AnswerLog>, OfferRefusal> {
        let log = key.and_then(|key| self.retained.get(&key));
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
            self.cancel(attempt, RefusalReason::Overloaded, retry_at);
        }
    }

    /// Cancels an accepted request that has not run, and refuses it.
    fn cancel(&mut self, attempt: AttemptId, reason: RefusalReason, retry_at: Option<UnixMillis>) {
        let now = self.now();
        self.queue.finished(now, attempt);
        let Some(record) = self.active.remove(&attempt) else {
            return;
        };
        if let Some(key) = record.key {
            self.gate.cancelled(key);
            self.retained.remove(&key);
        }
        record.log.finish(LogEnd::Refused { reason, verdict: RunVerdict::NotRun, retry_at });
    }

    /// Cancels expired requests and starts waiting ones that have a slot.
    fn start_waiting(&mut self) {
        let now = self.now();
        for attempt in self.queue.expired(now) {
            self.cancel(attempt, RefusalReason::DeadlinePassed, Some(now));
        }
        for attempt in self.queue.next_starts(now) {
            self.start(attempt);
        }
    }

    fn handle_run_end(&mut self, attempt: AttemptId) {
        let now = self.now();
        self.queue.finished(now, attempt);
        if let Some(record) = self.active.remove(&attempt)
            && let Some(key) = record.key
        {
            self.retain(key, &record.log);
        }
        self.start_waiting();
    }

    /// Retains the answer of a finished run, and drops the oldest answers beyond the limits.
    fn retain(&mut self, key: GateKey, log: &AnswerLog) {
        if let Some(LogEnd::Refused { verdict: RunVerdict::NotRun, .. }) = log.end() {
            self.gate.cancelled(key);
            self.retained.remove(&key);
            return;
        }
        self.gate.finished(key);
        self.retained_bytes += log.size();
        self.retained_order.push_back(key);
        while self.retained_bytes > MAX_RETAINED_BYTES || self.retained_order.len() > GATE_CAPACITY {
            let Some(oldest) = self.retained_order.pop_front() else {
                return;
            };
            if let Some(dropped) = self.retained.remove(&oldest) {
                self.retained_bytes -= dropped.size();
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
        self.publish_load();
        decided
    }
}

/// Requests tickets.
#[derive(Debug)]
pub struct MintTickets {
    /// The team that may use them.
    pub team: TeamName,
    /// The number of tickets.
    pub count: u32,
    /// The deadline of the tickets.
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

/// Reports that a run has ended, and its log with it.
#[derive(Debug, Clone, Copy)]
pub struct RunEnded(pub AttemptId);

impl Message<RunEnded> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: RunEnded, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.handle_run_end(msg.0);
        self.publish_load();
    }
}

/// Reports the first event of a run.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent(pub AttemptId);

impl Message<FirstEvent> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: FirstEvent, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.queue.first_token(msg.0);
    }
}

/// Removes a request from the queue if nobody waits for it and it has not started.
#[derive(Debug, Clone, Copy)]
pub struct OfferAbandoned(pub AttemptId);

impl Message<OfferAbandoned> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: OfferAbandoned, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let abandoned = self.active.get(&msg.0).is_some_and(|record| !record.log.is_followed());
        if abandoned && self.queue.is_waiting(msg.0) {
            self.cancel(msg.0, RefusalReason::DeadlinePassed, None);
            self.publish_load();
        }
    }
}

/// A periodic tick, with the engine's pace if it is known.
#[derive(Debug, Clone, Copy)]
pub struct QueueTick(pub Option<crate::runner::EnginePace>);

impl Message<QueueTick> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: QueueTick, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        if let Some(pace) = msg.0 {
            self.queue.set_pace(pace.step_micros, pace.prefill_rate);
        }
        self.start_waiting();
        self.publish_load();
    }
}

/// Sets the drain flag.
#[derive(Debug, Clone, Copy)]
pub struct SetDraining(pub bool);

impl Message<SetDraining> for OffersActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetDraining, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.gate.set_draining(msg.0);
        self.publish_load();
    }
}
