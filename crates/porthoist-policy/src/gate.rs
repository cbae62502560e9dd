//! The gate of one target process: it decides whether an offer runs, and remembers what ran.
//!
//! Only the incarnation that minted a ticket may run it, and a refusal spends the ticket for ever.

use porthoist_core::{AttemptId, IncarnationId, RefusalReason, RunVerdict, UnixDeadline, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};

/// What an offer is remembered under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GateKey {
    /// A minted ticket, by sequence.
    Ticket(u64),
    /// An attempt without a ticket.
    Attempt(AttemptId),
}

/// What became of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RecordState {
    Minted,
    Running,
    Finished,
    AnswerDropped,
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct GateRecord {
    fingerprint: u64,
    deadline: UnixDeadline,
    state: RecordState,
}

/// An offer as the gate sees it; the caller has checked the ticket's signature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GateOffer {
    /// What it is remembered under.
    pub key: GateKey,
    /// The incarnation that the ticket names, or this one where there is no ticket.
    pub incarnation: IncarnationId,
    /// The request's fingerprint; a repeat must have the same.
    pub fingerprint: u64,
    /// The ticket's deadline, or the request's.
    pub deadline: UnixDeadline,
}

/// The gate's decision on an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GateDecision {
    /// Run it now.
    Run,
    /// It runs already: wait for its answer.
    Attach,
    /// It ran: send the kept answer again.
    Replay,
    /// Refused.
    Refuse(RefusalReason, RunVerdict),
}

/// Rules of the gate that the model checker breaks one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GateRules {
    /// A ticket of another incarnation is refused.
    pub own_incarnation_only: bool,
    /// A refusal is remembered until the ticket's deadline.
    pub refusal_spends: bool,
    /// A run is remembered until the ticket's deadline.
    pub remember_runs: bool,
}

impl GateRules {
    /// The rules in force.
    pub const SOUND: Self = Self { own_incarnation_only: true, refusal_spends: true, remember_runs: true };
}

/// The gate of one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GateMachine {
    incarnation: IncarnationId,
    rules: GateRules,
    draining: bool,
    next_sequence: u64,
    capacity: usize,
    records: BTreeMap<GateKey, GateRecord>,
    expiry: BTreeSet<(UnixDeadline, GateKey)>,
}

impl GateMachine {
    /// A gate that remembers at most `capacity` tickets and attempts.
    pub fn new(incarnation: IncarnationId, capacity: usize) -> Self {
        Self::with_rules(incarnation, capacity, GateRules::SOUND)
    }

    /// A gate with given rules, for the model checker.
    pub fn with_rules(incarnation: IncarnationId, capacity: usize, rules: GateRules) -> Self {
        Self {
            incarnation,
            rules,
            draining: false,
            next_sequence: 1,
            capacity,
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// The incarnation whose tickets may run here.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Whether new work is refused.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Refuses new work from now on, or accepts it again.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Number of records kept.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    /// Reserves the sequence of a new ticket, or nothing when the memory is full or the target is leaving.
    pub fn mint(&mut self, now: UnixMillis, deadline: UnixDeadline) -> Option<u64> {
        self.forget(now);
        if self.draining || self.records.len() >= self.capacity {
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let record = GateRecord { fingerprint: 0, deadline, state: RecordState::Minted };
        self.insert(GateKey::Ticket(sequence), record);
        Some(sequence)
    }

    /// Decides on an offer; `admission` asks the queue and is called only for a first offer.
    pub fn offer(
        &mut self,
        now: UnixMillis,
        offer: GateOffer,
        admission: impl FnOnce() -> Result<(), RefusalReason>,
    ) -> GateDecision {
        self.forget(now);
        if self.rules.own_incarnation_only && offer.incarnation != self.incarnation {
            return GateDecision::Refuse(RefusalReason::TicketForeign, RunVerdict::MayHaveRun);
        }
        if offer.deadline.passed(now) {
            return GateDecision::Refuse(RefusalReason::DeadlinePassed, RunVerdict::MayHaveRun);
        }
        match self.records.get(&offer.key).copied() {
            Some(record) if record.state != RecordState::Minted => Self::repeated(record, offer),
            known => self.first(offer, known.is_some(), admission),
        }
    }

    fn repeated(record: GateRecord, offer: GateOffer) -> GateDecision {
        if record.fingerprint != offer.fingerprint {
            return GateDecision::Refuse(RefusalReason::KeyMismatch, RunVerdict::MayHaveRun);
        }
        match record.state {
            RecordState::Running => GateDecision::Attach,
            RecordState::Finished => GateDecision::Replay,
            RecordState::AnswerDropped => GateDecision::Refuse(RefusalReason::AnswerGone, RunVerdict::Ran),
            RecordState::Minted | RecordState::Refused => {
                GateDecision::Refuse(RefusalReason::TicketSpent, RunVerdict::NotRun)
            }
        }
    }

    fn first(
        &mut self,
        offer: GateOffer,
        reserved: bool,
        admission: impl FnOnce() -> Result<(), RefusalReason>,
    ) -> GateDecision {
        let full = !reserved && self.records.len() >= self.capacity;
        let refusal = if self.draining {
            Some(RefusalReason::Draining)
        } else if full {
            Some(RefusalReason::Overloaded)
        } else {
            admission().err()
        };
        let state = if refusal.is_some() { RecordState::Refused } else { RecordState::Running };
        let remember = match refusal {
            Some(_) => self.rules.refusal_spends && !full,
            None => self.rules.remember_runs,
        };
        if remember {
            let record = GateRecord { fingerprint: offer.fingerprint, deadline: offer.deadline, state };
            self.insert(offer.key, record);
        }
        match refusal {
            Some(reason) => GateDecision::Refuse(reason, RunVerdict::NotRun),
            None => GateDecision::Run,
        }
    }

    /// A queued offer was given up before it ran: its ticket is spent.
    pub fn cancelled(&mut self, key: GateKey) {
        self.set_state(key, RecordState::Refused);
    }

    /// The run ended and its answer is kept.
    pub fn finished(&mut self, key: GateKey) {
        if self.rules.remember_runs {
            self.set_state(key, RecordState::Finished);
        }
    }

    /// The kept answer was dropped; that it ran is still remembered.
    pub fn answer_dropped(&mut self, key: GateKey) {
        self.set_state(key, RecordState::AnswerDropped);
    }

    fn set_state(&mut self, key: GateKey, state: RecordState) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = state;
        }
    }

    fn insert(&mut self, key: GateKey, record: GateRecord) {
        if let Some(old) = self.records.insert(key, record) {
            self.expiry.remove(&(old.deadline, key));
        }
        self.expiry.insert((record.deadline, key));
    }

    fn forget(&mut self, now: UnixMillis) {
        while let Some(&(deadline, key)) = self.expiry.first() {
            if !deadline.passed(now) {
                return;
            }
            self.expiry.pop_first();
            self.records.remove(&key);
        }
    }
}
