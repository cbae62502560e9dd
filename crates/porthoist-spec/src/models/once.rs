//! One key, claimed in the table and run under tickets, by two entries at two targets.
//!
//! Each try of the caller has an entry of its own, which may stop for ever at any point: that is its crash. Offers
//! may be lost, late or repeated; answers may be lost; a write may take effect late or without an answer; targets
//! crash without memory; each refusal of a queue is possible at each offer.

use crate::search::{EventVisitor, ProtocolModel};
use porthoist_core::{IncarnationId, RefusalReason, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_policy::claim::{ClaimAction, ClaimEvent, ClaimMachine, ClaimRow, ClaimRules, VersionedClaim};
use porthoist_policy::gate::{GateDecision, GateKey, GateMachine, GateOffer, GateRules};

const NOW: UnixMillis = UnixMillis(0);
const DEADLINE: UnixDeadline = UnixDeadline(UnixMillis(1));
const FINGERPRINT: u64 = 7;
const TARGETS: usize = 2;
const GATE_CAPACITY: usize = 16;

/// A ticket: target, incarnation and sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTicket {
    target: usize,
    incarnation: IncarnationId,
    sequence: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct EntryTry {
    machine: ClaimMachine<ModelTicket>,
    action: ClaimAction<ModelTicket>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LateWrite {
    expected: Option<u64>,
    row: ClaimRow<ModelTicket>,
}

/// Everything in the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OnceState {
    row: Option<VersionedClaim<ModelTicket>>,
    revision: u64,
    late_writes: Vec<LateWrite>,
    lost_writes: u8,
    gates: Vec<GateMachine>,
    crashes: u8,
    entries: Vec<Option<EntryTry>>,
    refusals: u8,
    lost_offers: u8,
    /// Offers that nobody waits for any more; they may arrive at any time, once or more.
    stray: Vec<ModelTicket>,
    runs: u8,
    not_run_said: bool,
}

/// The model's bounds and rules.
#[derive(Debug, Clone, Copy)]
pub struct OnceModel {
    /// The gates' rules.
    pub gate: GateRules,
    /// The claims' rules.
    pub claim: ClaimRules,
    /// Tries of the caller, through any entry.
    pub tries: usize,
    /// Crashes of targets.
    pub crashes: u8,
    /// Writes that take effect without an answer, late, or not at all.
    pub lost_writes: u8,
    /// Offers whose answer is lost, or that arrive late or never.
    pub lost_offers: u8,
    /// Refusals by a target's queue, and tickets that can't be had.
    pub refusals: u8,
}

impl OnceModel {
    fn gate(&self, target: usize, life: u64) -> GateMachine {
        let incarnation = IncarnationId(target as u64 * 16 + life);
        GateMachine::with_rules(incarnation, GATE_CAPACITY, self.gate)
    }

    fn starts(&self, state: &OnceState, visit: EventVisitor<'_, OnceState>) {
        if state.entries.len() >= self.tries {
            return;
        }
        let mut next = state.clone();
        let entry = next.entries.len();
        let writer = (entry as u64 + 1) << 8;
        let (machine, action) = ClaimMachine::start(FINGERPRINT, writer, self.claim);
        next.entries.push(Some(EntryTry { machine, action }));
        visit(format_args!("a try comes to entry {entry}"), next);
    }

    fn crashes(&self, state: &OnceState, visit: EventVisitor<'_, OnceState>) {
        if state.crashes >= self.crashes {
            return;
        }
        for target in 0..TARGETS {
            // A target without memory has nothing to lose.
            if state.gates[target].remembered() == 0 {
                continue;
            }
            let mut next = state.clone();
            next.crashes += 1;
            next.gates[target] = self.gate(target, u64::from(next.crashes));
            visit(format_args!("target {target} restarts without memory"), next);
        }
    }

    fn entry_events(&self, state: &OnceState, entry: usize, visit: EventVisitor<'_, OnceState>) {
        let Some(own) = &state.entries[entry] else { return };
        match own.action.clone() {
            ClaimAction::Mint => self.mint(state, entry, visit),
            ClaimAction::Write { expected, row } => self.write(state, entry, expected, &row, visit),
            ClaimAction::Read => {
                let found = state.row.clone();
                visit(
                    format_args!("entry {entry} reads the row"),
                    told(state, entry, ClaimEvent::Read(found)),
                );
                if state.lost_writes < self.lost_writes {
                    let mut next = state.clone();
                    next.lost_writes += 1;
                    let label = format_args!("entry {entry} reads in vain");
                    visit(label, told(&next, entry, ClaimEvent::TableUnavailable));
                }
            }
            ClaimAction::Offer(ticket) => self.offer(state, entry, ticket, visit),
            // These are taken by `told` as soon as they are due.
            ClaimAction::Answer | ClaimAction::Refuse(..) => {}
        }
    }

    fn offer(
        &self,
        state: &OnceState,
        entry: usize,
        ticket: ModelTicket,
        visit: EventVisitor<'_, OnceState>,
    ) {
        for admitted in self.admissions(state) {
            let mut next = state.clone();
            let event = arrive(&mut next, ticket, admitted);
            let next = told(&next, entry, event.clone());
            visit(format_args!("entry {entry} offers {ticket:?}, admitted {admitted}: {event:?}"), next);
        }
        if state.lost_offers >= self.lost_offers {
            return;
        }
        let mut lost = state.clone();
        lost.lost_offers += 1;
        if !lost.stray.contains(&ticket) {
            lost.stray.push(ticket);
            lost.stray.sort_unstable();
        }
        let label = format_args!("entry {entry} offers {ticket:?} and hears nothing");
        visit(label, told(&lost, entry, ClaimEvent::OfferLost));
    }

    /// Whether the queue admits an offer; it refuses within the bound.
    fn admissions(&self, state: &OnceState) -> impl Iterator<Item = bool> + use<> {
        let may_refuse = state.refusals < self.refusals;
        [true, false].into_iter().filter(move |admitted| *admitted || may_refuse)
    }

    fn mint(&self, state: &OnceState, entry: usize, visit: EventVisitor<'_, OnceState>) {
        // The targets are alike, so that the first ticket may as well be of the first.
        let untouched = state.gates.iter().all(|gate| gate.remembered() == 0) && state.crashes == 0;
        let targets = if untouched { 1 } else { TARGETS };
        for target in 0..targets {
            let mut minted = state.clone();
            let gate = &mut minted.gates[target];
            let Some(sequence) = gate.mint(NOW, DEADLINE) else { continue };
            let ticket = ModelTicket { target, incarnation: gate.incarnation(), sequence };
            let label = format_args!("entry {entry} gets {ticket:?}");
            visit(label, told(&minted, entry, ClaimEvent::Minted(ticket)));
        }
        if state.refusals < self.refusals {
            let mut next = state.clone();
            next.refusals += 1;
            let none = ClaimEvent::MintFailed(RefusalReason::NoTarget);
            visit(format_args!("entry {entry} gets no ticket"), told(&next, entry, none));
        }
    }

    fn write(
        self,
        state: &OnceState,
        entry: usize,
        expected: Option<u64>,
        row: &ClaimRow<ModelTicket>,
        visit: EventVisitor<'_, OnceState>,
    ) {
        let mut applied = state.clone();
        let event = apply(&mut applied, expected, row);
        let next = told(&applied, entry, event.clone());
        visit(format_args!("entry {entry} writes {:?}: {event:?}", row.state), next);
        if state.lost_writes >= self.lost_writes {
            return;
        }
        applied.lost_writes += 1;
        let label = format_args!("entry {entry} writes {:?}, the answer is lost", row.state);
        visit(label, told(&applied, entry, ClaimEvent::TableUnavailable));
        let mut late = state.clone();
        late.lost_writes += 1;
        late.late_writes.push(LateWrite { expected, row: row.clone() });
        let label = format_args!("entry {entry} writes {:?}, which may come late or never", row.state);
        visit(label, told(&late, entry, ClaimEvent::TableUnavailable));
    }
}

/// An offer arrives at its target, and what the target says.
fn arrive(state: &mut OnceState, ticket: ModelTicket, admitted: bool) -> ClaimEvent<ModelTicket> {
    let key = GateKey::Ticket(ticket.sequence);
    let offer =
        GateOffer { key, incarnation: ticket.incarnation, fingerprint: FINGERPRINT, deadline: DEADLINE };
    let gate = &mut state.gates[ticket.target];
    let mut refused = false;
    let admission = || {
        refused = !admitted;
        if admitted { Ok(()) } else { Err(RefusalReason::Overloaded) }
    };
    let decision = gate.offer(NOW, offer, admission);
    state.refusals += u8::from(refused);
    let gate = &mut state.gates[ticket.target];
    match decision {
        GateDecision::Run => {
            gate.finished(key);
            state.runs += 1;
            ClaimEvent::Answered
        }
        GateDecision::Attach | GateDecision::Replay => ClaimEvent::Answered,
        GateDecision::Refuse(reason, verdict) => ClaimEvent::OfferRefused(reason, verdict),
    }
}

fn apply(
    state: &mut OnceState,
    expected: Option<u64>,
    row: &ClaimRow<ModelTicket>,
) -> ClaimEvent<ModelTicket> {
    let version = state.row.as_ref().map(|claim| claim.version);
    if version != expected {
        return ClaimEvent::Conflict(state.row.clone());
    }
    state.revision += 1;
    state.row = Some(VersionedClaim { version: state.revision, row: row.clone() });
    ClaimEvent::Written(state.revision)
}

/// The entry's machine takes an event; an answer or refusal goes out at once.
fn told(state: &OnceState, entry: usize, event: ClaimEvent<ModelTicket>) -> OnceState {
    let mut next = state.clone();
    let Some(own) = &mut next.entries[entry] else { return next };
    let Some(action) = own.machine.on(event) else { return next };
    match action {
        ClaimAction::Answer => next.entries[entry] = None,
        ClaimAction::Refuse(_reason, verdict) => {
            next.entries[entry] = None;
            next.not_run_said |= verdict == RunVerdict::NotRun;
        }
        action => own.action = action,
    }
    next
}

impl ProtocolModel for OnceModel {
    type State = OnceState;

    fn initial(&self) -> OnceState {
        OnceState {
            row: None,
            revision: 0,
            late_writes: Vec::new(),
            lost_writes: 0,
            gates: (0..TARGETS).map(|target| self.gate(target, 0)).collect(),
            crashes: 0,
            entries: Vec::new(),
            refusals: 0,
            lost_offers: 0,
            stray: Vec::new(),
            runs: 0,
            not_run_said: false,
        }
    }

    fn successors(&self, state: &OnceState, visit: EventVisitor<'_, OnceState>) {
        self.starts(state, visit);
        self.crashes(state, visit);
        for entry in 0..state.entries.len() {
            self.entry_events(state, entry, visit);
        }
        for (index, late) in state.late_writes.iter().enumerate() {
            let mut next = state.clone();
            next.late_writes.remove(index);
            apply(&mut next, late.expected, &late.row);
            visit(format_args!("a late write arrives: {:?}", late.row.state), next);
        }
        for ticket in &state.stray {
            for admitted in self.admissions(state) {
                let mut next = state.clone();
                arrive(&mut next, *ticket, admitted);
                visit(format_args!("{ticket:?} arrives late or again, admitted {admitted}"), next);
            }
        }
    }

    fn violation(&self, state: &OnceState) -> Option<String> {
        if state.runs > 1 {
            return Some("the request ran twice".to_owned());
        }
        (state.not_run_said && state.runs > 0).then(|| "not-run was said, yet it ran".to_owned())
    }
}
