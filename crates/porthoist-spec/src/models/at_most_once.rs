//! Model of one idempotency key that two entries claim in the table and run under tickets at two targets.
//!
//! Each try of the caller uses its own entry, which may stop forever at any point; that models a crash. Offers may be
//! lost, delayed or repeated, and answers may be lost. A write may take effect late or without a response. Targets restart
//! without their state, and a queue may refuse any offer.

use crate::search::{EventVisitor, ProtocolModel};
use porthoist_core::{IncarnationId, RefusalReason, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_policy::claim::{ClaimAction, ClaimEvent, ClaimMachine, ClaimRow, ClaimRules, VersionedClaim};
use porthoist_policy::gate::{GateDecision, GateKey, GateMachine, GateOffer, GateRules};

const NOW: UnixMillis = UnixMillis(0);
const DEADLINE: UnixDeadline = UnixDeadline(UnixMillis(1));
const FINGERPRINT: u64 = 7;
const TARGETS: usize = 2;
const GATE_CAPACITY: usize = 16;

/// A ticket of the model.
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

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AtMostOnceState {
    row: Option<VersionedClaim<ModelTicket>>,
    revision: u64,
    late_writes: Vec<LateWrite>,
    lost_writes: u8,
    gates: Vec<GateMachine>,
    crashes: u8,
    entries: Vec<Option<EntryTry>>,
    refusals: u8,
    lost_offers: u8,
    /// Offers that no entry waits for; they may arrive at any time, more than once.
    orphaned_offers: Vec<ModelTicket>,
    runs: u8,
    not_run_reported: bool,
}

/// Bounds and rules of the model.
#[derive(Debug, Clone, Copy)]
pub struct AtMostOnceModel {
    /// Rules of the gates.
    pub gate: GateRules,
    /// Rules of the claims.
    pub claim: ClaimRules,
    /// Maximum number of tries by the caller, each through its own entry.
    pub tries: usize,
    /// Maximum number of target crashes.
    pub crashes: u8,
    /// Maximum number of table calls without a response, including writes that take effect late or never.
    pub lost_writes: u8,
    /// Maximum number of offers whose answer is lost, or that arrive late or never.
    pub lost_offers: u8,
    /// Maximum number of refusals: by a target's queue, or of a ticket.
    pub refusals: u8,
}

impl AtMostOnceModel {
    fn gate(&self, target: usize, life: u64) -> GateMachine {
        let incarnation = IncarnationId(target as u64 * 16 + life);
        GateMachine::with_rules(incarnation, GATE_CAPACITY, self.gate)
    }

    fn start_events(&self, state: &AtMostOnceState, visit: EventVisitor<'_, AtMostOnceState>) {
        if state.entries.len() >= self.tries {
            return;
        }
        let mut next = state.clone();
        let entry = next.entries.len();
        let writer = (entry as u64 + 1) << 8;
        let (machine, action) = ClaimMachine::start(FINGERPRINT, writer, self.claim);
        next.entries.push(Some(EntryTry { machine, action }));
        visit(format_args!("entry {entry} receives a try"), next);
    }

    fn crash_events(&self, state: &AtMostOnceState, visit: EventVisitor<'_, AtMostOnceState>) {
        if state.crashes >= self.crashes {
            return;
        }
        for target in 0..TARGETS {
            // A target without records loses nothing.
            if state.gates[target].record_count() == 0 {
                continue;
            }
            let mut next = state.clone();
            next.crashes += 1;
            next.gates[target] = self.gate(target, u64::from(next.crashes));
            visit(format_args!("target {target} restarts without its state"), next);
        }
    }

    fn entry_events(&self, state: &AtMostOnceState, entry: usize, visit: EventVisitor<'_, AtMostOnceState>) {
        let Some(current) = &state.entries[entry] else { return };
        match current.action.clone() {
            ClaimAction::Mint => self.mint(state, entry, visit),
            ClaimAction::Write { expected, row } => self.write(state, entry, expected, &row, visit),
            ClaimAction::Read => {
                let found = state.row.clone();
                visit(
                    format_args!("entry {entry} reads the row"),
                    handle_event(state, entry, ClaimEvent::Read(found)),
                );
                if state.lost_writes < self.lost_writes {
                    let mut next = state.clone();
                    next.lost_writes += 1;
                    let label = format_args!("entry {entry} reads the row without a response");
                    visit(label, handle_event(&next, entry, ClaimEvent::TableUnavailable));
                }
            }
            ClaimAction::Offer(ticket) => self.offer(state, entry, ticket, visit),
            // `handle_event` executes these immediately.
            ClaimAction::Answer | ClaimAction::Refuse(..) => {}
        }
    }

    fn offer(
        &self,
        state: &AtMostOnceState,
        entry: usize,
        ticket: ModelTicket,
        visit: EventVisitor<'_, AtMostOnceState>,
    ) {
        for admitted in self.admissions(state) {
            let mut next = state.clone();
            let event = deliver_offer(&mut next, ticket, admitted);
            let next = handle_event(&next, entry, event.clone());
            visit(format_args!("entry {entry} offers {ticket:?}, admitted {admitted}: {event:?}"), next);
        }
        if state.lost_offers >= self.lost_offers {
            return;
        }
        let mut lost = state.clone();
        lost.lost_offers += 1;
        if !lost.orphaned_offers.contains(&ticket) {
            lost.orphaned_offers.push(ticket);
            lost.orphaned_offers.sort_unstable();
        }
        let label = format_args!("entry {entry} offers {ticket:?} and gets no answer");
        visit(label, handle_event(&lost, entry, ClaimEvent::OfferLost));
    }

    /// Returns the possible decisions of a queue on an offer; refusals are bounded.
    fn admissions(&self, state: &AtMostOnceState) -> impl Iterator<Item = bool> + use<> {
        let may_refuse = state.refusals < self.refusals;
        [true, false].into_iter().filter(move |admitted| *admitted || may_refuse)
    }

    fn mint(&self, state: &AtMostOnceState, entry: usize, visit: EventVisitor<'_, AtMostOnceState>) {
        // The targets are symmetric, so the first ticket always comes from the first target.
        let untouched = state.gates.iter().all(|gate| gate.record_count() == 0) && state.crashes == 0;
        let targets = if untouched { 1 } else { TARGETS };
        for target in 0..targets {
            let mut minted = state.clone();
            let gate = &mut minted.gates[target];
            let Some(sequence) = gate.mint(NOW, DEADLINE) else { continue };
            let ticket = ModelTicket { target, incarnation: gate.incarnation(), sequence };
            let label = format_args!("entry {entry} gets {ticket:?}");
            visit(label, handle_event(&minted, entry, ClaimEvent::Minted(ticket)));
        }
        if state.refusals < self.refusals {
            let mut next = state.clone();
            next.refusals += 1;
            let none = ClaimEvent::MintFailed(RefusalReason::NoTarget);
            visit(format_args!("entry {entry} gets no ticket"), handle_event(&next, entry, none));
        }
    }

    fn write(
        self,
        state: &AtMostOnceState,
        entry: usize,
        expected: Option<u64>,
        row: &ClaimRow<ModelTicket>,
        visit: EventVisitor<'_, AtMostOnceState>,
    ) {
        let mut applied = state.clone();
        let event = apply_write(&mut applied, expected, row);
        let next = handle_event(&applied, entry, event.clone());
        visit(format_args!("entry {entry} writes {:?}: {event:?}", row.state), next);
        if state.lost_writes >= self.lost_writes {
            return;
        }
        applied.lost_writes += 1;
        let label = format_args!("entry {entry} writes {:?}, the response is lost", row.state);
        visit(label, handle_event(&applied, entry, ClaimEvent::TableUnavailable));
        let mut late = state.clone();
        late.lost_writes += 1;
        late.late_writes.push(LateWrite { expected, row: row.clone() });
        let label = format_args!("entry {entry} writes {:?}, which takes effect late or never", row.state);
        visit(label, handle_event(&late, entry, ClaimEvent::TableUnavailable));
    }
}

/// Delivers an offer to its target and returns the target's response.
fn deliver_offer(
    state: &mut AtMostOnceState,
    ticket: ModelTicket,
    admitted: bool,
) -> ClaimEvent<ModelTicket> {
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

fn apply_write(
    state: &mut AtMostOnceState,
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

/// Passes an event to the entry's state machine; an answer or a refusal ends the try immediately.
fn handle_event(state: &AtMostOnceState, entry: usize, event: ClaimEvent<ModelTicket>) -> AtMostOnceState {
    let mut next = state.clone();
    let Some(current) = &mut next.entries[entry] else { return next };
    let Some(action) = current.machine.on(event) else { return next };
    match action {
        ClaimAction::Answer => next.entries[entry] = None,
        ClaimAction::Refuse(_reason, verdict) => {
            next.entries[entry] = None;
            next.not_run_reported |= verdict == RunVerdict::NotRun;
        }
        action => current.action = action,
    }
    next
}

impl ProtocolModel for AtMostOnceModel {
    type State = AtMostOnceState;

    fn initial(&self) -> AtMostOnceState {
        AtMostOnceState {
            row: None,
            revision: 0,
            late_writes: Vec::new(),
            lost_writes: 0,
            gates: (0..TARGETS).map(|target| self.gate(target, 0)).collect(),
            crashes: 0,
            entries: Vec::new(),
            refusals: 0,
            lost_offers: 0,
            orphaned_offers: Vec::new(),
            runs: 0,
            not_run_reported: false,
        }
    }

    fn successors(&self, state: &AtMostOnceState, visit: EventVisitor<'_, AtMostOnceState>) {
        self.start_events(state, visit);
        self.crash_events(state, visit);
        for entry in 0..state.entries.len() {
            self.entry_events(state, entry, visit);
        }
        for (index, late) in state.late_writes.iter().enumerate() {
            let mut next = state.clone();
            next.late_writes.remove(index);
            apply_write(&mut next, late.expected, &late.row);
            visit(format_args!("a late write arrives: {:?}", late.row.state), next);
        }
        for ticket in &state.orphaned_offers {
            for admitted in self.admissions(state) {
                let mut next = state.clone();
                deliver_offer(&mut next, *ticket, admitted);
                visit(format_args!("{ticket:?} arrives late or again, admitted {admitted}"), next);
            }
        }
    }

    fn violation(&self, state: &AtMostOnceState) -> Option<String> {
        if state.runs > 1 {
            return Some("the request ran twice".to_owned());
        }
        (state.not_run_reported && state.runs > 0)
            .then(|| "not-run was reported, but the request ran".to_owned())
    }
}
