//! Checks before each send: the deadline and the crash quarantine.

use super::ProxyHandler;
use super::types::{AdmittedRequest, AnswerEnd, ProxyRefusal, SendHistory};
use crate::connection_pool::{SendFailure, TargetLiveness};
use crate::dispatcher::TargetSlot;
use hyper::StatusCode;
use porthoist_core::{RefusalReason, TargetName};
use porthoist_policy::proxy::targets::{TargetRecord, TargetState};

impl ProxyHandler {
    /// Waits for permission to send a request and for a slot. Crashes reported during the wait are taken
    /// into account.
    pub(super) async fn acquire_permitted_slot(
        &self,
        admitted: &AdmittedRequest,
        history: &mut SendHistory,
    ) -> Result<TargetSlot, ProxyRefusal> {
        self.check_drain(admitted, history)?;
        self.check_quarantine(admitted, history)?;
        let slot = loop {
            let slot = self.request_slot(admitted, history).await?;
            self.check_quarantine(admitted, history)?;
            self.check_deadline(admitted, history)?;
            self.check_drain_at(admitted, history, &slot)?;
            // The target may have sent backpressure signals since the slot was assigned.
            if self.dispatcher.is_still_valid(&slot) {
                break slot;
            }
        };
        if let Some(suspect) = &mut history.suspect {
            suspect.set_target(&slot.target.id);
        }
        Ok(slot)
    }

    /// Returns an error if the deadline has passed. The end of a wait for a slot is not sufficient: the
    /// runtime's timers stop while the host is suspended.
    fn check_deadline(&self, admitted: &AdmittedRequest, history: &SendHistory) -> Result<(), ProxyRefusal> {
        if !admitted.deadline.passed(self.clock.now()) {
            return Ok(());
        }
        if history.may_have_run {
            return Err(ProxyRefusal::unknown(RefusalReason::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT));
        }
        let retry_millis = self.plan_retry(admitted);
        Err(ProxyRefusal::retryable(RefusalReason::DeadlinePassed, retry_millis))
    }

    fn check_quarantine(
        &self,
        admitted: &AdmittedRequest,
        history: &mut SendHistory,
    ) -> Result<(), ProxyRefusal> {
        // A permit from before a wait ends here, so that crashes reported since then are taken into
        // account.
        history.suspect = None;
        match self.quarantine.begin(admitted) {
            Ok(run) => {
                history.suspect = run;
                Ok(())
            }
            Err(_block) if history.may_have_run => {
                Err(ProxyRefusal::unknown(RefusalReason::Quarantined, StatusCode::BAD_GATEWAY))
            }
            Err(block) => {
                let retry_millis = block.until.0.since(self.clock.now());
                Err(ProxyRefusal::retryable(RefusalReason::Quarantined, retry_millis))
            }
        }
    }

    /// After a lost connection, checks whether the target crashed, and records the crash against the
    /// request.
    pub(super) async fn check_lost_target(
        &self,
        admitted: &AdmittedRequest,
        target: &TargetRecord,
        failure: &SendFailure,
        history: &mut SendHistory,
    ) {
        history.suspect = None;
        self.record_lost_target(admitted, target, failure).await;
    }

    /// The same for a request that further attempts are being made for.
    pub(super) async fn record_lost_target(
        &self,
        admitted: &AdmittedRequest,
        target: &TargetRecord,
        failure: &SendFailure,
    ) {
        if !failure.closed || self.is_leaving(target) {
            return;
        }
        let liveness = self.pool.probe(target).await;
        if liveness == TargetLiveness::Dead {
            self.dispatcher.died(&target.life());
        }
        self.quarantine.record_lost_connection(admitted, target, liveness);
    }

    /// Checks the end of a response that only the end of its connection shows: a crash of the target looks the same. So does
    /// that of a target that was draining, which may be killed before its last response is complete.
    pub(super) async fn check_unframed_end(&self, target: &TargetRecord) -> Result<AnswerEnd, SendFailure> {
        match self.pool.probe(target).await {
            TargetLiveness::Alive => Ok(AnswerEnd::Proven),
            TargetLiveness::Unknown => Ok(AnswerEnd::Assumed),
            TargetLiveness::Dead => Err(SendFailure::closed("the target ended with the connection")),
        }
    }

    /// Whether a target is known to be draining, in which case its end is no crash.
    fn is_leaving(&self, target: &TargetRecord) -> bool {
        let life = target.life();
        if self.dispatcher.is_leaving(&life) {
            return true;
        }
        let state = self.state.borrow();
        let known = state.targets.records().find(|record| record.life() == life);
        known.is_none_or(|record| record.state == TargetState::Draining)
    }

    /// Targets to avoid: those already tried and, for a suspected request, those that run another suspected
    /// one, unless no others are left.
    pub(super) fn targets_to_avoid(
        &self,
        admitted: &AdmittedRequest,
        history: &SendHistory,
    ) -> Vec<TargetName> {
        let tried = history.tried.clone();
        if history.suspect.is_none() {
            return tried;
        }
        let avoided = [tried.clone(), self.quarantine.occupied()].concat();
        let state = self.state.borrow();
        let mut targets = state.targets.records().filter(|target| target.service == admitted.service);
        let free = targets.any(|target| target.state == TargetState::Ready && !avoided.contains(&target.id));
        if free { avoided } else { tried }
    }
}
