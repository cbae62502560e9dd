//! A request that may not be repeated and has no key: it is sent once, and tried again only on proof.

use crate::search::{EventVisitor, ProtocolModel};
use porthoist_core::{RefusalReason, RepeatPolicy, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_policy::retry::{FailedAttempt, RetryRules};

const NOW: UnixMillis = UnixMillis(0);
const DEADLINE: UnixDeadline = UnixDeadline(UnixMillis(1));

/// The model's rules.
#[derive(Debug, Clone, Copy)]
pub struct UnkeyedModel {
    /// The retry rules.
    pub rules: RetryRules,
    /// Whether a lost answer is called "may have run".
    pub honest: bool,
}

/// Everything in the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UnkeyedState {
    attempts: u32,
    open: bool,
    /// Offers on their way that nobody waits for any more.
    stray: u8,
    runs: u8,
    not_run_said: bool,
}

impl UnkeyedModel {
    fn failed(self, state: &UnkeyedState, reason: RefusalReason, verdict: RunVerdict) -> UnkeyedState {
        let mut next = state.clone();
        next.open = false;
        let failed = FailedAttempt {
            reason,
            verdict,
            repeat: RepeatPolicy::Never,
            partly_delivered: false,
            attempts: state.attempts,
            deadline: DEADLINE,
        };
        if failed.retry_reason_by(NOW, self.rules).is_some() {
            next.open = true;
            next.attempts += 1;
        } else {
            next.not_run_said |= verdict == RunVerdict::NotRun;
        }
        next
    }

    fn lost_verdict(self) -> RunVerdict {
        if self.honest { RunVerdict::MayHaveRun } else { RunVerdict::NotRun }
    }
}

impl ProtocolModel for UnkeyedModel {
    type State = UnkeyedState;

    fn initial(&self) -> UnkeyedState {
        UnkeyedState { attempts: 1, open: true, stray: 0, runs: 0, not_run_said: false }
    }

    fn successors(&self, state: &UnkeyedState, visit: EventVisitor<'_, UnkeyedState>) {
        if state.stray > 0 {
            let mut next = state.clone();
            next.stray -= 1;
            next.runs += 1;
            visit(format_args!("an offer that was given up arrives and runs"), next);
        }
        if !state.open {
            return;
        }
        let refused = self.failed(state, RefusalReason::Overloaded, RunVerdict::NotRun);
        visit(format_args!("the target refuses"), refused);
        let unreachable = self.failed(state, RefusalReason::Unreachable, RunVerdict::NotRun);
        visit(format_args!("the target can't be reached"), unreachable);
        let mut ran = state.clone();
        ran.runs += 1;
        let mut answered = ran.clone();
        answered.open = false;
        visit(format_args!("it runs and the answer arrives"), answered);
        let lost = self.failed(&ran, RefusalReason::ConnectionLost, self.lost_verdict());
        visit(format_args!("it runs and the answer is lost"), lost);
        let mut stray = self.failed(state, RefusalReason::ConnectionLost, self.lost_verdict());
        stray.stray += 1;
        visit(format_args!("the connection breaks while the offer is under way"), stray);
    }

    fn violation(&self, state: &UnkeyedState) -> Option<String> {
        if state.runs > 1 {
            return Some("the request ran twice".to_owned());
        }
        (state.not_run_said && state.runs > 0).then(|| "not-run was said, yet it ran".to_owned())
    }
}
