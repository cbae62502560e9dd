//! Gate of one target process: decides whether an offer runs, and records what ran.
//!
//! Only the incarnation that minted a ticket may run it, and a refusal spends the ticket permanently.

use porthoist_core::{AttemptId, IncarnationId, RefusalReason, RunVerdict, UnixDeadline, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};

/// Key under which an offer is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GateKey {
    /// Sequence of a minted ticket.
    Ticket(u64),
    /// An attempt without a ticket.
    Attempt(AttemptId),
}

/// State of a recorded offer.
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

/// An offer whose ticket signature has already been checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GateOffer {
    /// Key of the record.
    pub key: GateKey,
    /// The incarnation that the ticket names, or the current one without a ticket.
    pub incarnation: IncarnationId,
    /// Fingerprint of the request; a repeated offer must have the same one.
    pub fingerprint: u64,
    /// Deadline of the ticket, or of the request without a ticket.
    pub deadline: UnixDeadline,
}

/// Decision on an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GateDecision {
    /// Run the offer now.
    Run,
    /// The offer is already running: wait for its answer.
    Attach,
    /// The offer has run: send the stored answer again.
    Replay,
    /// The offer is refused.
    Refuse(RefusalReason, RunVerdict),
}

/// Rules of the gate; the model checker disables them one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GateRules {
    /// A ticket of another incarnation is refused.
    pub own_incarnation_only: bool,
    /// A refusal is recorded until the ticket's deadline.
    pub refusal_spends: bool,
    /// A run is recorded until the ticket's deadline.
    pub remember_runs: bool,
}

impl GateRules {
    /// All rules enabled.
    pub const SOUND: Self = Self { own_incarnation_only: true, refusal_spends: true, remember_runs: true };
}

/// Gate of one incarnation of a target process.
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
    /// Creates a gate that records at most `capacity` tickets and attempts.
    pub fn new(incarnation: IncarnationId, capacity: usize) -> Self {
        Self::with_rules(incarnation, capacity, GateRules::SOUND)
    }

    /// Creates a gate with the given rules, for the model checker.
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

    /// Returns the incarnation whose tickets may run here.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Returns whether new work is refused.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Sets whether new work is refused.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Reserves the sequence of a new ticket, or returns `None` if all records are in use or the gate is draining.
    pub fn mint(&mut self, now: UnixMillis, deadline: UnixDeadline) -> Option<u64> {
        self.expire_records(now);
        if self.draining || self.records.len() >= self.capacity {
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let record = GateRecord { fingerprint: 0, deadline, state: RecordState::Minted };
        self.insert(GateKey::Ticket(sequence), record);
        Some(sequence)
    }

    /// Decides on an offer; `admission` asks the queue and is called only for the first offer of a key.
    pub fn offer(
        &mut self,
        now: UnixMillis,
        offer: GateOffer,
        admission: impl FnOnce() -> Result<(), RefusalReason>,
    ) -> GateDecision {
        self.expire_records(now);
        if self.rules.own_incarnation_only && offer.incarnation != self.incarnation {
            return GateDecision::Refuse(RefusalReason::TicketForeign, RunVerdict::MayHaveRun);
        }
        if offer.deadline.passed(now) {
            return GateDecision::Refuse(RefusalReason::DeadlinePassed, RunVerdict::MayHaveRun);
        }
        match self.records.get(&offer.key).copied() {
            Some(record) if record.state != RecordState::Minted => Self::repeated_offer(record, offer),
            known => self.first_offer(offer, known.is_some(), admission),
        }
    }

    fn repeated_offer(record: GateRecord, offer: GateOffer) -> GateDecision {
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

    fn first_offer(
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

    /// Records that a queued offer was cancelled before it ran, which spends its ticket.
    pub fn cancelled(&mut self, key: GateKey) {
        self.set_state(key, RecordState::Refused);
    }

    /// Records that a run ended and its answer is stored.
    pub fn finished(&mut self, key: GateKey) {
        if self.rules.remember_runs {
            self.set_state(key, RecordState::Finished);
        }
    }

    /// Records that a stored answer was dropped; the record of the run remains.
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

    fn expire_records(&mut self, now: UnixMillis) {
        while let Some(&(deadline, key)) = self.expiry.first() {
            if !deadline.passed(now) {
                return;
            }
            self.expiry.pop_first();
            self.records.remove(&key);
        }
    }
}
