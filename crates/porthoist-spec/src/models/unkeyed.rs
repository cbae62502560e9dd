//! Model of a request without a key that must not be repeated: it is retried only on proof that it did not run.

use crate::search::{EventVisitor, ProtocolModel};
use porthoist_core::{RefusalReason, RepeatPolicy, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_policy::retry::{FailedAttempt, RetryRules};

const NOW: UnixMillis = UnixMillis(0);
const DEADLINE: UnixDeadline = UnixDeadline(UnixMillis(1));

/// Rules of the model.
#[derive(Debug, Clone, Copy)]
pub struct UnkeyedModel {
    /// Rules of retries.
    pub rules: RetryRules,
    /// Whether a lost answer is reported as "may have run".
    pub lost_may_have_run: bool,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UnkeyedState {
    attempts: u32,
    /// Whether the entry waits for the answer to an attempt.
    waiting: bool,
    /// Offers in transit that the entry no longer waits for.
    orphaned_offers: u8,
    runs: u8,
    not_run_reported: bool,
}

impl UnkeyedModel {
    fn failed(self, state: &UnkeyedState, reason: RefusalReason, verdict: RunVerdict) -> UnkeyedState {
        let mut next = state.clone();
        next.waiting = false;
        let failed = FailedAttempt {
            reason,
            verdict,
            repeat: RepeatPolicy::Never,
            partly_delivered: false,
            attempts: state.attempts,
            deadline: DEADLINE,
        };
        if failed.retry_reason_with(NOW, self.rules).is_some() {
            next.waiting = true;
            next.attempts += 1;
        } else {
            next.not_run_reported |= verdict == RunVerdict::NotRun;
        }
        next
    }

    fn lost_verdict(self) -> RunVerdict {
        if self.lost_may_have_run { RunVerdict::MayHaveRun } else { RunVerdict::NotRun }
    }
}

impl ProtocolModel for UnkeyedModel {
    type State = UnkeyedState;

    fn initial(&self) -> UnkeyedState {
        UnkeyedState { attempts: 1, waiting: true, orphaned_offers: 0, runs: 0, not_run_reported: false }
    }

    fn successors(&self, state: &UnkeyedState, visit: EventVisitor<'_, UnkeyedState>) {
        if state.orphaned_offers > 0 {
            let mut next = state.clone();
            next.orphaned_offers -= 1;
            next.runs += 1;
            visit(format_args!("an abandoned offer arrives and runs"), next);
        }
        if !state.waiting {
            return;
        }
        let refused = self.failed(state, RefusalReason::Overloaded, RunVerdict::NotRun);
        visit(format_args!("the target refuses"), refused);
        let unreachable = self.failed(state, RefusalReason::Unreachable, RunVerdict::NotRun);
        visit(format_args!("the target can't be reached"), unreachable);
        let mut ran = state.clone();
        ran.runs += 1;
        let mut answered = ran.clone();
        answered.waiting = false;
        visit(format_args!("the request runs and the answer arrives"), answered);
        let lost = self.failed(&ran, RefusalReason::ConnectionLost, self.lost_verdict());
        visit(format_args!("the request runs and the answer is lost"), lost);
        let mut orphaned = self.failed(state, RefusalReason::ConnectionLost, self.lost_verdict());
        orphaned.orphaned_offers += 1;
        visit(format_args!("the connection breaks while the offer is in transit"), orphaned);
    }

    fn violation(&self, state: &UnkeyedState) -> Option<String> {
        if state.runs > 1 {
            return Some("the request ran twice".to_owned());
        }
        (state.not_run_reported && state.runs > 0)
            .then(|| "not-run was reported, but the request ran".to_owned())
    }
}
