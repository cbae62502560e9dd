//! What this entry knows of the fleet, shared with the operators' duty.

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

/// The view.
#[derive(Debug, Default)]
pub struct FleetView(Mutex<ViewState>);

impl FleetView {
    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.0.lock()
    }

    /// Takes the host list: hosts that were never heard are shown too.
    pub fn listed(&self, hosts: &[HostEntry]) {
        let mut state = self.state();
        for host in hosts {
            let (name, zone) = (host.name.clone(), host.zone.clone());
            match host.role {
                HostRole::Target => {
                    state
                        .targets
                        .entry(name)
                        .or_insert_with_key(|target| unheard_target(target.clone(), zone));
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

    /// A target was heard.
    pub fn target_heard(&self, target: &TargetName, hello: &TargetHello, draining: bool) {
        if let Some(status) = self.state().targets.get_mut(target) {
            status.heard = true;
            status.incarnation = Some(hello.incarnation);
            status.revision = hello.revision;
            status.draining = draining;
            status.services.clone_from(&hello.services);
            status.load = hello.load;
        }
    }

    /// An entry was heard.
    pub fn entry_heard(&self, node: &TargetName, revision: u64) {
        if let Some(status) = self.state().entries.get_mut(node) {
            status.heard = true;
            status.revision = revision;
        }
    }

    /// A process can't be heard.
    pub fn silent(&self, name: &TargetName) {
        let mut state = self.state();
        if let Some(status) = state.targets.get_mut(name) {
            status.heard = false;
        }
        if let Some(status) = state.entries.get_mut(name) {
            status.heard = false;
        }
    }

    /// A process is off the host list and not heard.
    pub fn gone(&self, name: &TargetName) {
        let mut state = self.state();
        state.targets.remove(name);
        state.entries.remove(name);
    }

    /// Other entries that are heard.
    pub fn entries_known(&self) -> usize {
        self.state().entries.values().filter(|status| status.heard).count()
    }

    /// Names of the other live entries in `zone`.
    pub fn live_peers(&self, zone: &ZoneName) -> Vec<TargetName> {
        let state = self.state();
        let live = state.entries.values().filter(|status| status.heard && status.zone == *zone);
        live.map(|status| status.node.clone()).collect()
    }

    /// Live entries in `zone` and in all zones, this one included.
    pub fn live_entries(&self, zone: &ZoneName) -> (u32, u32) {
        let state = self.state();
        let heard = || state.entries.values().filter(|status| status.heard);
        let in_zone = heard().filter(|status| status.zone == *zone).count() as u32;
        (in_zone + 1, heard().count() as u32 + 1)
    }

    /// The targets and the other entries.
    pub fn snapshot(&self) -> (Vec<TargetStatus>, Vec<NodeStatus>) {
        let state = self.state();
        (state.targets.values().cloned().collect(), state.entries.values().cloned().collect())
    }
}

fn unheard_target(target: TargetName, zone: ZoneName) -> TargetStatus {
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
