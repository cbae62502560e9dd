//! What this entry knows about the fleet, shared with the operator endpoint.

use parking_lot::{Mutex, MutexGuard};
use porthoist_core::offer::TargetHello;
use porthoist_core::{LoadReport, TargetName, ZoneName};
use porthoist_operator::{NodeStatus, TargetStatus};
use porthoist_table::{HostEntry, HostRole};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct ViewState {
    targets: BTreeMap<TargetName, TargetStatus>,
    entries: BTreeMap<TargetName, NodeStatus>,
}

/// Targets and entries with their last known state.
#[derive(Debug, Default)]
pub struct FleetView(Mutex<ViewState>);

impl FleetView {
    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.0.lock()
    }

    /// Adds the hosts of the host list. Hosts that were never reached are shown too.
    pub fn add_hosts(&self, hosts: &[HostEntry]) {
        let mut state = self.state();
        for host in hosts {
            let (name, zone) = (host.name.clone(), host.zone.clone());
            match host.role {
                HostRole::Target => {
                    state
                        .targets
                        .entry(name)
                        .or_insert_with_key(|target| unreached_target(target.clone(), zone));
                }
                HostRole::Entry => {
                    state.entries.entry(name).or_insert_with_key(|node| NodeStatus {
                        node: node.clone(),
                        zone,
                        heard: false,
                        revision: 0,
                    });
                }
            }
        }
    }

    /// Updates a target from its heartbeat.
    pub fn update_target(&self, target: &TargetName, hello: &TargetHello, draining: bool) {
        if let Some(status) = self.state().targets.get_mut(target) {
            status.heard = true;
            status.incarnation = Some(hello.incarnation);
            status.revision = hello.revision;
            status.draining = draining;
            status.services.clone_from(&hello.services);
            status.load = hello.load;
        }
    }

    /// Updates an entry from its gossip.
    pub fn update_entry(&self, node: &TargetName, revision: u64) {
        if let Some(status) = self.state().entries.get_mut(node) {
            status.heard = true;
            status.revision = revision;
        }
    }

    /// Marks a process as unreachable.
    pub fn mark_unreachable(&self, name: &TargetName) {
        let mut state = self.state();
        if let Some(status) = state.targets.get_mut(name) {
            status.heard = false;
        }
        if let Some(status) = state.entries.get_mut(name) {
            status.heard = false;
        }
    }

    /// Removes a process that left the host list and is unreachable.
    pub fn remove(&self, name: &TargetName) {
        let mut state = self.state();
        state.targets.remove(name);
        state.entries.remove(name);
    }

    /// Number of other entries that are reachable.
    pub fn reachable_entries(&self) -> usize {
        self.state().entries.values().filter(|status| status.heard).count()
    }

    /// Names of the other reachable entries in `zone`.
    pub fn live_peers(&self, zone: &ZoneName) -> Vec<TargetName> {
        let state = self.state();
        let live = state.entries.values().filter(|status| status.heard && status.zone == *zone);
        live.map(|status| status.node.clone()).collect()
    }

    /// Number of reachable entries in `zone` and in all zones, including this one.
    pub fn live_entries(&self, zone: &ZoneName) -> (u32, u32) {
        let state = self.state();
        let heard = || state.entries.values().filter(|status| status.heard);
        let in_zone = heard().filter(|status| status.zone == *zone).count() as u32;
        (in_zone + 1, heard().count() as u32 + 1)
    }

    /// All targets and other entries.
    pub fn snapshot(&self) -> (Vec<TargetStatus>, Vec<NodeStatus>) {
        let state = self.state();
        (state.targets.values().cloned().collect(), state.entries.values().cloned().collect())
    }
}

fn unreached_target(target: TargetName, zone: ZoneName) -> TargetStatus {
    TargetStatus {
        target,
        zone,
        heard: false,
        incarnation: None,
        revision: 0,
        draining: false,
        services: Vec::new(),
        load: LoadReport::default(),
    }
}
