//! Whether a request may be sent at all: time is left, and no targets died of it.

use super::ProxyHandler;
use super::parts::{AdmittedRequest, CourseRefusal, SendRecord};
use crate::broker::TargetPlace;
use crate::exchange::{SendFailure, TargetLiveness};
use hyper::StatusCode;
use porthoist_core::{RefusalReason, TargetName};
use porthoist_policy::proxy::targets::{TargetRecord, TargetState};

impl ProxyHandler {
    /// Permission to send a request, and a place for it. What is heard of it while it waits for one counts too.
    pub(super) async fn permit_and_place(
        &self,
        admitted: &AdmittedRequest,
        record: &mut SendRecord,
    ) -> Result<TargetPlace, CourseRefusal> {
        self.take_permit(admitted, record)?;
        let place = loop {
            let place = self.find_place(admitted, record).await?;
            self.take_permit(admitted, record)?;
            self.check_deadline(admitted, record)?;
            // The target may have asked for less between the place and now.
            if self.dispatcher.stands(&place) {
                break place;
            }
        };
        if let Some(suspect) = &mut record.suspect {
            suspect.at(&place.record.id);
        }
        Ok(place)
    }

    /// Whether there is time left. The end of a wait for a place does not tell: the runtime's timers stand still while the host
    /// is suspended.
    fn check_deadline(&self, admitted: &AdmittedRequest, record: &SendRecord) -> Result<(), CourseRefusal> {
        if !admitted.deadline.passed(self.clock.now()) {
            return Ok(());
        }
        if record.may_have_run {
            return Err(CourseRefusal::unknown(RefusalReason::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT));
        }
        let retry_millis = self.dispatcher.return_millis(&admitted.service, admitted.deadline);
        Err(CourseRefusal::later(RefusalReason::DeadlinePassed, retry_millis))
    }

    fn take_permit(&self, admitted: &AdmittedRequest, record: &mut SendRecord) -> Result<(), CourseRefusal> {
        // A run that was permitted before a wait ends, so that it is asked for anew with what was heard since.
        record.suspect = None;
        match self.quarantine.begin(admitted) {
            Ok(run) => {
                record.suspect = run;
                Ok(())
            }
            Err(_kept) if record.may_have_run => {
                Err(CourseRefusal::unknown(RefusalReason::Quarantined, StatusCode::BAD_GATEWAY))
            }
            Err(kept) => {
                let retry_millis = kept.until.0.since(self.clock.now());
                Err(CourseRefusal::later(RefusalReason::Quarantined, retry_millis))
            }
        }
    }

    /// Finds out whether a target whose connection ended has died, which is held against the request.
    pub(super) async fn note_lost(
        &self,
        admitted: &AdmittedRequest,
        target: &TargetRecord,
        failure: &SendFailure,
        record: &mut SendRecord,
    ) {
        record.suspect = None;
        if !failure.closed || self.is_leaving(target) {
            return;
        }
        let liveness = self.pool.probe(target).await;
        if liveness == TargetLiveness::Dead {
            self.dispatcher.died(&target.life());
        }
        self.quarantine.lost(admitted, target, liveness);
    }

    /// Whether a target is known to leave, so that its end is no surprise.
    fn is_leaving(&self, target: &TargetRecord) -> bool {
        let life = target.life();
        if self.dispatcher.leaves(&life) {
            return true;
        }
        let state = self.state.borrow();
        let known = state.targets.records().find(|record| record.life() == life);
        known.is_none_or(|record| record.state == TargetState::Draining)
    }

    /// Targets that a request was sent to, and for a suspected one those with others of its kind, unless there are no more.
    pub(super) fn places_to_avoid(&self, admitted: &AdmittedRequest, record: &SendRecord) -> Vec<TargetName> {
        let tried = record.tried.clone();
        if record.suspect.is_none() {
            return tried;
        }
        let avoided = [tried.clone(), self.quarantine.occupied()].concat();
        let state = self.state.borrow();
        let mut targets = state.targets.records().filter(|target| target.service == admitted.service);
        let free = targets.any(|target| target.state == TargetState::Ready && !avoided.contains(&target.id));
        if free { avoided } else { tried }
    }
}
