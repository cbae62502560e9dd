//! Tests of the gate of a target.

use porthoist_core::{IncarnationId, RefusalReason, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_policy::gate::{GateDecision, GateKey, GateMachine, GateOffer};

const INCARNATION: IncarnationId = IncarnationId(7);
const DEADLINE: UnixDeadline = UnixDeadline(UnixMillis(1000));

fn offer(sequence: u64) -> GateOffer {
    GateOffer { key: GateKey::Ticket(sequence), incarnation: INCARNATION, fingerprint: 1, deadline: DEADLINE }
}

#[test]
fn ticket_runs_once_and_answer_is_replayed() {
    let mut gate = GateMachine::new(INCARNATION, 10);
    let ticket = gate.mint(UnixMillis(0), DEADLINE).unwrap();
    assert_eq!(gate.offer(UnixMillis(1), offer(ticket), || Ok(())), GateDecision::Run);
    assert_eq!(gate.offer(UnixMillis(2), offer(ticket), || Ok(())), GateDecision::Attach);
    gate.finished(GateKey::Ticket(ticket));
    assert_eq!(gate.offer(UnixMillis(3), offer(ticket), || Ok(())), GateDecision::Replay);
    gate.answer_dropped(GateKey::Ticket(ticket));
    let gone = GateDecision::Refuse(RefusalReason::AnswerGone, RunVerdict::Ran);
    assert_eq!(gate.offer(UnixMillis(4), offer(ticket), || Ok(())), gone);
}

#[test]
fn refusal_spends_ticket() {
    let mut gate = GateMachine::new(INCARNATION, 10);
    let ticket = gate.mint(UnixMillis(0), DEADLINE).unwrap();
    let refused = gate.offer(UnixMillis(1), offer(ticket), || Err(RefusalReason::Overloaded));
    assert_eq!(refused, GateDecision::Refuse(RefusalReason::Overloaded, RunVerdict::NotRun));
    let spent = GateDecision::Refuse(RefusalReason::TicketSpent, RunVerdict::NotRun);
    assert_eq!(gate.offer(UnixMillis(2), offer(ticket), || Ok(())), spent);
}

#[test]
fn foreign_mismatched_and_expired_offers_may_have_run() {
    let mut gate = GateMachine::new(INCARNATION, 10);
    let ticket = gate.mint(UnixMillis(0), DEADLINE).unwrap();
    let foreign = GateOffer { incarnation: IncarnationId(8), ..offer(ticket) };
    let refused = |reason| GateDecision::Refuse(reason, RunVerdict::MayHaveRun);
    assert_eq!(gate.offer(UnixMillis(1), foreign, || Ok(())), refused(RefusalReason::TicketForeign));
    assert_eq!(gate.offer(UnixMillis(1), offer(ticket), || Ok(())), GateDecision::Run);
    let other = GateOffer { fingerprint: 2, ..offer(ticket) };
    assert_eq!(gate.offer(UnixMillis(2), other, || Ok(())), refused(RefusalReason::KeyMismatch));
    assert_eq!(
        gate.offer(UnixMillis(1000), offer(ticket), || Ok(())),
        refused(RefusalReason::DeadlinePassed)
    );
    assert_eq!(gate.record_count(), 0, "forgotten at the deadline, from which it is refused");
}

#[test]
fn records_are_bounded_and_tickets_reserve_theirs() {
    let mut gate = GateMachine::new(INCARNATION, 2);
    assert!(gate.mint(UnixMillis(0), DEADLINE).is_some());
    assert!(gate.mint(UnixMillis(0), DEADLINE).is_some());
    assert_eq!(gate.mint(UnixMillis(0), DEADLINE), None);
    gate.set_draining(true);
    let refused = gate.offer(UnixMillis(1), offer(1), || Ok(()));
    assert_eq!(refused, GateDecision::Refuse(RefusalReason::Draining, RunVerdict::NotRun));
    gate.set_draining(false);
    let spent = GateDecision::Refuse(RefusalReason::TicketSpent, RunVerdict::NotRun);
    assert_eq!(gate.offer(UnixMillis(2), offer(1), || Ok(())), spent, "draining spent it");
}
