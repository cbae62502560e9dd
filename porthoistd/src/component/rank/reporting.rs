//! Reports on a group by the process that plans for it: loads, pass durations, and that the group has broken
//! up.

use super::{LOADS_INTERVAL_MILLIS, PlanningLoop};
use porthoist_core::UnixDeadline;
use porthoist_fleet::AgedLoads;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad, equivalent_requests};
use porthoist_policy::proxy::pass_time::{GroupPass, GroupSample, PassTimer};
use porthoist_policy::roll_forward::{RankState, RankView};

impl PlanningLoop {
    /// Measures the group's passes by the steps of the own rank, which runs every pass together with all
    /// others.
    pub(super) fn measure_pass(&mut self, own: &RankState) {
        let RankView { epoch, step, .. } = own.view;
        let planner = self.planner.as_ref();
        let working = planner.is_some_and(|planner| planner.requests().iter().any(|at| *at > 0));
        let slowest = planner.and_then(|planner| planner.paces().iter().max().copied());
        let slowest = slowest.unwrap_or_default();
        self.passes.observe(GroupSample { epoch, step, busy: working, slowest }, self.clock.now());
    }

    /// Stops planning. If the group has broken up, entries are told once; they get loads again when it has
    /// re-formed.
    pub(super) fn stop_planning(&mut self, own: &RankState) {
        self.planner = None;
        self.passes = PassTimer::default();
        let group = self.group.take();
        let last_loads = self.loads.borrow().clone();
        match (group, last_loads) {
            (Some(group), Some(last_loads))
                if !own.open && last_loads.received().pass != GroupPass::Broken =>
            {
                let last_loads = last_loads.current();
                let revision = LoadRevision(last_loads.revision.0 + 1);
                let broken = AgedLoads::new(GroupLoads { revision, pass: GroupPass::Broken, ..last_loads });
                group.group_control.branches().publish_loads(&broken);
                self.loads.send_replace(Some(broken));
            }
            _ => {
                self.loads.send_if_modified(|loads| loads.take().is_some());
            }
        }
    }

    /// Reports the running and waiting requests of each rank to the entries.
    pub(super) fn publish_loads(&mut self) {
        let now = self.clock.now();
        if !self.loads_due.passed(now) {
            return;
        }
        let (Some(planner), Some(group)) = (&self.planner, &self.group) else { return };
        // Do not report the same reading twice: an entry of an earlier version assumes that a report includes
        // its own requests, so it would hide what it sent since. With slow passes and long switches, that
        // filled ranks of 12 slots with 23 to 39 requests.
        if std::mem::replace(&mut self.reported_readings, planner.full_reads()) == planner.full_reads() {
            return;
        }
        self.loads_due = UnixDeadline::after(now, LOADS_INTERVAL_MILLIS);
        let ranks = group.group_control.hosts().iter().enumerate().filter_map(|(rank, host)| {
            let (requests, pace) = (*planner.requests().get(rank)?, *planner.paces().get(rank)?);
            let silent = !planner.is_reachable(rank);
            let requests = equivalent_requests(requests, self.step_requests, pace);
            Some(RankLoad { host: (*host)?, requests, silent })
        });
        // Clock-based revisions also increase from one planning process to the next.
        let last = self.loads.borrow().as_ref().map_or(0, |loads| loads.received().revision.0);
        let revision = LoadRevision(now.0.max(last + 1));
        let loads = GroupLoads {
            revision,
            demand: planner.entry_demand().cloned(),
            pass: self.passes.pass(now),
            ranks: ranks.collect(),
            ..GroupLoads::default()
        };
        // The last known requests of silent ranks may be older; their age is left out, since it would make
        // the whole report seem old.
        let loads = AgedLoads::read_at(loads, planner.read_at());
        group.group_control.branches().publish_loads(&loads);
        self.loads.send_replace(Some(loads));
    }
}
