//! What the process that plans tells of its group: loads, pass times, and that the group is not formed.

use super::{LOADS_MILLIS, RankDuty};
use porthoist_core::UnixDeadline;
use porthoist_policy::proxy::loads::{GroupLoads, LoadRevision, RankLoad, equivalent_requests};
use porthoist_policy::proxy::pass_time::{GroupPass, GroupSample, PassTimer};
use porthoist_policy::roll_forward::{RankState, RankView};

impl RankDuty {
    /// Measures the group's passes by the own rank, which runs each of them with all others.
    pub(super) fn measure_pass(&mut self, own: &RankState) {
        let RankView { epoch, step, .. } = own.view;
        let planner = self.planner.as_ref();
        let working = planner.is_some_and(|planner| planner.requests().iter().any(|at| *at > 0));
        let slowest = planner.and_then(|planner| planner.paces().iter().max().copied());
        let slowest = slowest.unwrap_or_default();
        self.passes.observe(GroupSample { epoch, step, busy: working, slowest }, self.clock.now());
    }

    /// Plans no more. While the group is not formed, entries are told so once; they hear of it again when it is.
    pub(super) fn leave_group(&mut self, own: &RankState) {
        self.planner = None;
        self.passes = PassTimer::default();
        let group = self.group.take();
        let told = self.loads.borrow().clone();
        match (group, told) {
            (Some(group), Some(told)) if !own.open && told.pass != GroupPass::Broken => {
                let revision = LoadRevision(told.revision.0 + 1);
                let broken = GroupLoads { revision, pass: GroupPass::Broken, ..told };
                group.reach.branches().publish_loads(&broken);
                self.loads.send_replace(Some(broken));
            }
            _ => {
                self.loads.send_if_modified(|loads| loads.take().is_some());
            }
        }
    }

    /// Tells the entry processes what runs and waits at each rank.
    pub(super) fn publish_loads(&mut self) {
        let now = self.clock.now();
        if !self.loads_due.passed(now) {
            return;
        }
        let (Some(planner), Some(group)) = (&self.planner, &self.group) else { return };
        // An old reading told anew would hide what entries have sent since: they take their own requests to be in it. While
        // passes were slow and switches long, that filled ranks of 12 slots with 23 to 39 requests.
        if std::mem::replace(&mut self.told_readings, planner.full_reads()) == planner.full_reads() {
            return;
        }
        self.loads_due = UnixDeadline::after(now, LOADS_MILLIS);
        let ranks = group.reach.hosts().iter().enumerate().filter_map(|(rank, host)| {
            let (requests, pace) = (*planner.requests().get(rank)?, *planner.paces().get(rank)?);
            let silent = !planner.is_reachable(rank);
            let requests = equivalent_requests(requests, self.step_requests, pace);
            Some(RankLoad { host: (*host)?, requests, silent })
        });
        // Numbers from the clock rise also from one process that plans to the next.
        let last = self.loads.borrow().as_ref().map_or(0, |loads| loads.revision.0);
        let revision = LoadRevision(now.0.max(last + 1));
        let loads = GroupLoads { revision, pass: self.passes.pass(now), ranks: ranks.collect() };
        group.reach.branches().publish_loads(&loads);
        self.loads.send_replace(Some(loads));
    }
}
