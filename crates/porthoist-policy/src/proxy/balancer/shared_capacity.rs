//! Selection of targets of services whose capacity is divided among entries.

use super::{ChosenTarget, LoadBalancer, RequestWork, preferred_targets, random_point, take_slot};
use crate::proxy::capacity::{CapacityState, GrantState, ServiceCapacity};
use crate::proxy::demand::{PriorityLevel, ServiceDemand};
use crate::proxy::group_capacity::{CapacityReport, RankRoom};
use crate::proxy::group_loads::GroupLoads;
use crate::proxy::groups::GroupIndex;
use crate::proxy::pass_time::GroupPass;
use crate::proxy::target_load::TargetLoad;
use crate::proxy::targets::{TargetLife, TargetRecord};
use porthoist_core::{ServiceName, TargetName, UnixMillis};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

impl LoadBalancer {
    /// Sets the services whose capacity is divided among entries.
    pub fn set_shared_services<'a>(&mut self, services: impl Iterator<Item = &'a ServiceName>) {
        let mut known = std::mem::take(&mut self.capacities);
        for service in services {
            let capacity = known.remove(service).unwrap_or_else(|| ServiceCapacity::new(self.sender));
            self.capacities.insert(service.clone(), capacity);
        }
    }

    /// Whether a service's capacity is divided among entries and a valid report of a working group shows
    /// it.
    pub fn knows_shared_capacity(&self, service: &ServiceName, now: UnixMillis) -> bool {
        let Some(capacity) = self.capacities.get(service) else { return false };
        let groups = self.service_groups(service, now);
        // Where all targets have rate limits, only these decide.
        capacity.is_known(|index| groups.is_working(index), now)
            && self.limited_supply(service, now).is_none()
    }

    /// Whether a request of a service whose capacity is divided among entries must not be sent because no
    /// valid report shows what is free. Where no working group ever reported, it may be sent.
    pub fn withhold_blind(&mut self, service: &ServiceName, level: PriorityLevel, now: UnixMillis) -> bool {
        if !self.capacities.contains_key(service) {
            return false;
        }
        let groups = self.service_groups(service, now);
        let Some(capacity) = self.capacities.get_mut(service) else { return false };
        capacity.is_outdated(|index| groups.is_working(index), now) && !capacity.try_admit_blindly(level)
    }

    /// The capacity of a service, if it is divided among entries and known.
    pub fn shared_capacity(
        &mut self,
        service: &ServiceName,
        now: UnixMillis,
    ) -> Option<&mut ServiceCapacity> {
        let known = self.knows_shared_capacity(service, now);
        self.capacities.get_mut(service).filter(|_capacity| known)
    }

    /// Divides a service's free capacity among the priorities.
    pub fn divide_capacity(
        &mut self,
        service: &ServiceName,
        own: &ServiceDemand,
        waiting: &BTreeMap<PriorityLevel, usize>,
        slot_millis: Option<f64>,
        now: UnixMillis,
    ) {
        let groups = self.service_groups(service, now);
        let Some(capacity) = self.capacities.get_mut(service) else { return };
        capacity.divide(own, waiting, |index| groups.is_working(index), slot_millis, now);
    }

    /// Chooses a target of a service whose capacity is divided among entries, and counts the request as
    /// in flight there.
    pub fn choose_shared(
        &mut self,
        service: &ServiceName,
        level: PriorityLevel,
        work: RequestWork,
        tried: &[TargetName],
        now: UnixMillis,
    ) -> Option<ChosenTarget> {
        let groups = self.service_groups(service, now);
        let capacity = self.capacities.get(service)?;
        let probe_due = |group| groups.status(group).is_some_and(|status| status.probe_due);
        // A probe of a group that is still stalled is late, so the least urgent requests are used.
        let probes = capacity.is_least_urgent(level)
            && self.loads.values().any(|load| {
                load.record.service == *service && load.is_open(now) && load.group.is_some_and(probe_due)
            });
        let usable = |load: &&mut TargetLoad| {
            load.record.service == *service
                && load.is_open(now)
                && !load.is_full(now)
                && (probes || !load.silent(now))
                && !tried.contains(&load.record.id)
                && load
                    .group
                    .is_some_and(|group| if probes { probe_due(group) } else { groups.is_working(group) })
        };
        let open = self.loads.values_mut().filter(usable);
        let mut candidates = preferred_targets(open, self.sender, tried.is_empty(), now);
        let hosts: Vec<Ipv4Addr> = candidates.iter().map(|load| host_of(&load.record)).collect();
        let best = if probes {
            let point = random_point(self.settings.seed, self.choice_count);
            (!hosts.is_empty()).then_some((point * hosts.len() as f64) as usize)?.min(hosts.len() - 1)
        } else {
            capacity.choose_host(&hosts, level)?
        };
        self.choice_count = self.choice_count.wrapping_add(1);
        let chosen = take_slot(candidates.swap_remove(best), work, &groups, now);
        self.record_choice(&chosen, now);
        Some(chosen)
    }

    /// Records a send if the capacity of the target's service is divided among entries.
    pub(super) fn record_shared_send(&mut self, record: &TargetRecord, group: GroupIndex, now: UnixMillis) {
        if let Some(capacity) = self.capacities.get_mut(&record.service) {
            capacity.record_send(group, host_of(record), now);
        }
    }

    /// Records the end of a send if the capacity of the target's service is divided among entries.
    pub(super) fn record_shared_end(&mut self, life: &TargetLife, now: UnixMillis) {
        let Some((record, group)) =
            self.loads.get(life).and_then(|load| Some((Arc::clone(&load.record), load.group?)))
        else {
            return;
        };
        if let Some(capacity) = self.capacities.get_mut(&record.service) {
            capacity.record_end(group, host_of(&record), now);
        }
    }

    /// Applies a report to the capacities of the services with targets in the group.
    pub(super) fn apply_shared_report(&mut self, group: GroupIndex, loads: &GroupLoads, now: UnixMillis) {
        if self.capacities.is_empty() {
            return;
        }
        let heard = loads.ranks.iter().filter(|rank| !rank.silent);
        let requests: HashMap<Ipv4Addr, u32> = heard.map(|rank| (rank.host, rank.requests)).collect();
        let mut rooms: HashMap<ServiceName, Vec<RankRoom>> = HashMap::new();
        // Slots of targets that get nothing now, or little because they are cold, would count as free.
        let usable = |load: &&TargetLoad| load.is_open(now) && load.rate(now).is_none();
        for load in self.loads.values().filter(usable) {
            let host = host_of(&load.record);
            if let Some(requests) = requests.get(&host)
                && self.capacities.contains_key(&load.record.service)
            {
                let limit = self.settings.rank_limit.min(load.record.slots);
                let room = RankRoom { host, limit, requests: *requests };
                rooms.entry(load.record.service.clone()).or_default().push(room);
            }
        }
        let reading = UnixMillis(now.0.saturating_sub(loads.age_millis));
        for (service, rooms) in rooms {
            if let Some(capacity) = self.capacities.get_mut(&service) {
                let ranks = if loads.pass == GroupPass::Broken { Vec::new() } else { rooms };
                let report = CapacityReport { revision: loads.revision, reading, ranks };
                capacity.apply_report(group, report, loads.demand.as_ref(), now);
            }
        }
    }

    /// Capacity of the services that is divided among entries, as far as reports show it.
    pub fn capacity_states(&self, now: UnixMillis) -> Vec<(ServiceName, CapacityState)> {
        let states = self.capacities.iter();
        states.filter_map(|(service, capacity)| Some((service.clone(), capacity.state(now)?))).collect()
    }

    /// What this process may send to a service at a priority, if its capacity is divided among entries.
    pub fn capacity_grant(
        &self,
        service: &ServiceName,
        level: PriorityLevel,
        now: UnixMillis,
    ) -> Option<GrantState> {
        let capacity = self.capacities.get(service)?;
        let (grant, asked) = (capacity.grant(level), capacity.asked());
        Some(GrantState { level, grant, asked, age_millis: capacity.state(now)?.age_millis })
    }

    /// Services whose capacity a report of a group describes.
    pub fn shared_services(&self) -> Vec<ServiceName> {
        self.capacities.keys().cloned().collect()
    }
}

fn host_of(record: &TargetRecord) -> Ipv4Addr {
    match record.address.ip() {
        IpAddr::V4(host) => host,
        IpAddr::V6(_address) => Ipv4Addr::UNSPECIFIED,
    }
}
