//! Moves of requests away from targets that stall or are too slow while they have them.

use super::RequestScheduler;
use crate::proxy::balancer::SendOutcome;
use crate::proxy::moving::{MIN_WAIT_MILLIS, MoveCause, MoveOptions, PendingSend, move_cause, queued_until};
use crate::proxy::targets::{TargetLife, TargetRecord};
use porthoist_core::{UnixDeadline, UnixMillis};

impl<W> RequestScheduler<W> {
    /// Whether a request should leave its target and continue at another one.
    pub fn move_cause(
        &self,
        target: &TargetRecord,
        send: &PendingSend,
        now: UnixMillis,
    ) -> Option<MoveCause> {
        // Active streams call this about 20 times a second; only a pause justifies looking at all
        // targets.
        if now.since(send.since) < MIN_WAIT_MILLIS {
            return None;
        }
        let forecast = self.forecasts.get(&target.service)?;
        let streams = forecast.stream_stats()?;
        let groups = self.balancer.service_groups(&target.service, now);
        let (here, elsewhere_millis) = match self.balancer.group_of(&target.life()) {
            Some(group) => (groups.status(group)?, groups.best_other_millis(group)),
            // All targets of the service count as one group.
            None => (forecast.group_status(now), None),
        };
        let host_silent = self.balancer.silent(&target.life(), now);
        move_cause(
            send,
            &MoveOptions { here, elsewhere_millis, occupancy: groups.occupancy(), host_silent, streams },
            now,
        )
    }

    /// Until when the known load of a target explains that a request sent there at `since` waits.
    pub fn queued_until(&self, life: &TargetLife, since: UnixMillis, now: UnixMillis) -> UnixDeadline {
        queued_until(since, self.balancer.beyond_slots(life, now))
    }

    /// Records that a request leaves its target; returns the outcome of the send. A silent target is
    /// ejected, and may have restarted, unless a report shows that it is alive.
    pub fn record_move(&mut self, life: &TargetLife, cause: MoveCause, now: UnixMillis) -> SendOutcome {
        match cause {
            MoveCause::GroupStalled | MoveCause::GroupSlow => SendOutcome::Abandoned,
            MoveCause::TargetSilent if self.balancer.is_alive(life, now) => SendOutcome::Unanswered,
            MoveCause::TargetSilent => {
                self.balancer.died(life, now);
                SendOutcome::Lost
            }
        }
    }
}
