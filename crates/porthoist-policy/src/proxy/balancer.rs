//! Selection of the target for a request.
//!
//! The load balancer counts the requests that this process has in flight. Targets with several failures
//! in a row are ejected for a growing time and then get a single request as a probe.

use super::backpressure::DepartedBackpressure;
use super::capacity::ServiceCapacity;
use super::cold_start::ColdRule;
use super::demand::PriorityLevel;
use super::group_loads::{GroupLoads, RankLoad};
use super::groups::{GroupIndex, GroupTracker};
use super::load_interpretation::choose_by_level;
use super::pass_time::GroupPass;
use super::send_turns::{EntryPosition, SenderPosition, TargetRate, UncountedEntry, assumed_entries};
use super::service_groups::{GroupSnapshot, ServiceGroups};
use super::target_load::{ServiceView, TargetLoad};
use super::targets::{TargetLife, TargetRecord, TargetRegistry, TargetState};
use super::zones::EmptiedZones;
use porthoist_core::{ServiceName, TargetName, UnixMillis, ZoneName};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

mod group_states;
mod limits;
mod liveness;
mod outages;
mod shared_capacity;
mod tiers;

pub use limits::LimitedSupply;
use tiers::preferred_targets;

/// Weight of a new report in this process's share of all requests; some ten reports arrive each second.
const REPORT_WEIGHT: f64 = 0.05;

/// Default of [`BalancerSettings::outage_wait_bytes`]: a tenth of the smallest entry's 160 MB.
pub const DEFAULT_OUTAGE_WAIT_BYTES: u64 = 16 << 20;

/// Work that a request causes at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestWork {
    /// Tokens of its prompt; 0 for requests without one.
    pub prompt_tokens: u64,
    /// Bytes of its body, which this process holds while it waits.
    pub body_bytes: u64,
    /// Its priority in the demand on a service whose capacity is divided among entries.
    pub priority: PriorityLevel,
}

/// How a send to a target ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendOutcome {
    /// An answer arrived after this many milliseconds.
    Answered(f64),
    /// The target refused it because it was full or shutting down.
    Shed,
    /// The send failed.
    Failed,
    /// The connection broke or could not be made, or the target did not respond. The target may have
    /// restarted since.
    Lost,
    /// The target did not respond, although a report shows that it is alive ([`LoadBalancer::is_alive`]).
    /// It has not restarted.
    Unanswered,
    /// Another target uses the address: this life of the target is over, whatever its row says.
    Gone,
    /// The caller disconnected; the state of the target is unknown.
    Abandoned,
}

/// Settings of a load balancer.
#[derive(Debug, Clone, bon::Builder)]
pub struct BalancerSettings {
    /// The availability zone of this process.
    pub zone: ZoneName,
    /// Maximum number of this process's requests at a rank of a group while the requests of other
    /// processes are unknown.
    pub per_rank: u32,
    /// Maximum number of all processes' requests at a rank of a group while they are known.
    pub rank_limit: u32,
    /// Number of entry processes that send to the same targets, used while nobody counts them. Without
    /// it, the number is estimated from the targets.
    pub entries: Option<u32>,
    /// Maximum number of bytes of the requests to one service that wait during an outage.
    #[builder(default = DEFAULT_OUTAGE_WAIT_BYTES)]
    pub outage_wait_bytes: u64,
    /// Seed that makes this process choose differently from others that see the same loads.
    pub seed: u64,
}

impl BalancerSettings {
    fn uncounted(&self, targets: usize) -> UncountedEntry {
        let entries = self.entries.unwrap_or_else(|| assumed_entries(targets));
        UncountedEntry { entries, seed: self.seed }
    }
}

/// A target chosen for a request.
#[derive(Debug, Clone)]
pub struct ChosenTarget {
    /// The target.
    pub record: Arc<TargetRecord>,
    /// Requests of this process at the target before this one.
    pub in_flight: u32,
    /// The reported load of the target, if the report was still valid.
    pub report: Option<ReportedRequests>,
    /// State of the target's group, if it is known to be a rank of one.
    pub group: Option<GroupSnapshot>,
    /// The rate limit under which the target was chosen.
    pub rate: Option<TargetRate>,
}

/// Requests of all processes at a target, as estimated when it was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedRequests {
    /// Reported requests of other processes plus this process's own.
    pub requests: u32,
    /// Time in milliseconds since the engine was read.
    pub age_millis: u64,
}

/// Loads of all targets, as this process knows them.
#[derive(Debug, Clone)]
pub struct LoadBalancer {
    settings: BalancerSettings,
    /// Ordered, so that the same seed gives the same choices.
    loads: BTreeMap<TargetLife, TargetLoad>,
    /// Backpressure of targets whose rows have disappeared.
    departed: DepartedBackpressure,
    /// State of the groups that the targets belong to.
    groups: GroupTracker,
    /// This process's share of the requests in a service's groups, from reports.
    shares: HashMap<ServiceName, f64>,
    /// Rate limits of cold targets, by service.
    cold_rules: HashMap<ServiceName, ColdRule>,
    /// Zones whose targets get no new requests.
    emptied: EmptiedZones,
    /// This process's position among the entries of its zone, once known.
    entry_position: Option<EntryPosition>,
    /// Its position among all senders, derived from the zones of all targets.
    sender: SenderPosition,
    /// Number of choices made, which varies the choice among equal targets.
    choice_count: u64,
    /// Services whose capacity is divided among entries.
    capacities: HashMap<ServiceName, ServiceCapacity>,
}

impl LoadBalancer {
    /// Creates a load balancer without targets.
    pub fn new(settings: BalancerSettings) -> Self {
        let sender = SenderPosition::new(None, &settings.zone, &[], settings.uncounted(0));
        Self {
            settings,
            entry_position: None,
            sender,
            loads: BTreeMap::new(),
            departed: DepartedBackpressure::default(),
            groups: GroupTracker::default(),
            shares: HashMap::new(),
            cold_rules: HashMap::new(),
            emptied: EmptiedZones::default(),
            choice_count: 0,
            capacities: HashMap::new(),
        }
    }

    /// Replaces the set of known targets. Targets that are gone, and earlier lives of targets, stay
    /// while requests are in flight there.
    pub fn sync(&mut self, registry: &TargetRegistry) {
        let known: HashMap<TargetLife, &Arc<TargetRecord>> =
            registry.records().map(|record| (record.life(), record)).collect();
        let kept = |life: &TargetLife, load: &TargetLoad| known.contains_key(life) || load.in_flight > 0;
        for (life, load) in self.loads.extract_if(.., |life, load| !kept(life, load)) {
            self.departed.insert(life, load.backpressure);
        }
        for (life, load) in &mut self.loads {
            if let Some(record) = known.get(life) {
                load.apply_row(record, self.cold_rules.get(&record.service).copied(), false);
                continue;
            }
            let record = TargetRecord { state: TargetState::Draining, ..(*load.record).clone() };
            load.record = Arc::new(record);
        }
        for (life, record) in known {
            if !self.loads.contains_key(&life) {
                let backpressure = self.departed.remove(&life);
                let mut load = TargetLoad::new(Arc::clone(record), backpressure);
                load.apply_row(record, self.cold_rules.get(&record.service).copied(), true);
                load.set_emptied(self.emptied.contains(&record.zone), UnixMillis::default());
                self.loads.insert(life, load);
            }
        }
        self.sync_sender();
    }

    /// Chooses the best target that can take one more request, and counts the request as in flight
    /// there.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        ranked: bool,
        work: RequestWork,
        tried: &[TargetName],
        now: UnixMillis,
    ) -> Option<ChosenTarget> {
        let view = ServiceView {
            ranked,
            own_limit: self.own_limit(service),
            assumed: if ranked { self.mean_other_requests(service, now) } else { None },
        };
        let reported = view.assumed.is_some();
        let median_millis = self.median_answer_millis(service);
        let groups = self.service_groups(service, now);
        self.choice_count = self.choice_count.wrapping_add(1);
        let mut candidates: Vec<&mut TargetLoad> = {
            let (settings, sender) = (&self.settings, self.sender);
            let loads = self.loads.values_mut();
            let can_take = |load: &&mut TargetLoad| load.can_take(settings, service, view, tried, now);
            let open = loads.filter(can_take).filter(|load| groups.is_open(load.group));
            preferred_targets(open, sender, tried.is_empty(), now)
        };
        let costs: Vec<f64> = candidates
            .iter()
            .map(|load| load.cost(&self.settings.zone, median_millis, view, &groups, now))
            .collect();
        let best = if reported {
            choose_by_level(&costs, random_point(self.settings.seed, self.choice_count))?
        } else {
            let choice = self.choice_count;
            (0..costs.len()).min_by(|left, right| {
                let order = costs[*left].total_cmp(&costs[*right]);
                let tie = |index: usize| tie_break(&candidates[index].record.id, choice);
                order.then_with(|| tie(*left).cmp(&tie(*right)))
            })?
        };
        let chosen = take_slot(candidates.swap_remove(best), work, &groups, now);
        self.record_choice(&chosen, now);
        Some(chosen)
    }

    fn record_choice(&mut self, chosen: &ChosenTarget, now: UnixMillis) {
        let Some(GroupSnapshot { index, status }) = chosen.group else { return };
        if status.probe_due {
            self.groups.record_probe(index, now);
        }
        self.record_shared_send(&chosen.record, index, now);
    }

    /// Records the end of a send. Returns whether the target is ejected because of it.
    pub fn ended(
        &mut self,
        life: &TargetLife,
        work: RequestWork,
        outcome: SendOutcome,
        now: UnixMillis,
    ) -> bool {
        self.record_shared_end(life, now);
        let Some(load) = self.loads.get_mut(life) else { return false };
        load.ended(work, outcome, now)
    }

    /// Records that a target's process has ended. Unlike after a failure, which the request itself may
    /// have caused, the target is ejected at once. Otherwise it would seem idle and attract the retries
    /// of other requests.
    pub fn died(&mut self, life: &TargetLife, now: UnixMillis) {
        let Some(load) = self.loads.get_mut(life) else { return };
        load.died(now);
    }

    /// Ends the ejection of a target that was silent and goes on.
    pub fn readmit(&mut self, life: &TargetLife) {
        if let Some(load) = self.loads.get_mut(life) {
            load.readmit();
        }
    }

    /// Whether any target of the service can take requests now or once it has room.
    pub fn serves(&self, service: &ServiceName, now: UnixMillis) -> bool {
        let mut loads = self.loads.values();
        loads.any(|load| load.record.service == *service && (load.is_open(now) || load.in_flight > 0))
    }

    /// Whether a report says that the process next to a target is unreachable.
    pub fn silent(&self, life: &TargetLife, now: UnixMillis) -> bool {
        self.loads.get(life).is_some_and(|load| load.silent(now))
    }

    /// The group of a target, if a report has named it.
    pub fn group_of(&self, life: &TargetLife) -> Option<GroupIndex> {
        self.loads.get(life)?.group
    }

    /// Records an event from a target.
    pub fn event_received(&mut self, record: &TargetRecord, now: UnixMillis) {
        if let IpAddr::V4(host) = record.address.ip() {
            self.groups.event_received(host, now);
        }
    }

    /// Applies the loads that the engines of a group reported.
    pub fn update_loads(&mut self, loads: &GroupLoads, now: UnixMillis) {
        let group = self.groups.apply_report(loads, now);
        let by_host: HashMap<Ipv4Addr, &RankLoad> =
            loads.ranks.iter().map(|rank| (rank.host, rank)).collect();
        let (mut own, mut all, mut service) = (0, 0, None);
        self.apply_shared_report(group, loads, now);
        for load in self.loads.values_mut() {
            let IpAddr::V4(host) = load.record.address.ip() else { continue };
            if let Some(rank) = by_host.get(&host) {
                load.group = Some(group);
                if loads.pass == GroupPass::Broken {
                    // Some rank of the group may restart.
                    load.backpressure.suspect_restart();
                    // These loads are old. Applied again, they would hide what this process has sent
                    // since.
                    continue;
                }
                own += load.apply_report(rank, loads.read_at(now), now);
                all += rank.requests;
                service = Some(load.record.service.clone());
            }
        }
        // A process that has just started does not know its share yet.
        if let Some(service) = service
            && own > 0
        {
            let current_share = f64::from(own) / f64::from(own.max(all));
            let share = self.shares.entry(service).or_insert(current_share);
            *share += REPORT_WEIGHT * (current_share - *share);
        }
    }

    /// Mean of other processes' requests at the targets with a valid report, or `None` without one.
    fn mean_other_requests(&self, service: &ServiceName, now: UnixMillis) -> Option<u32> {
        let loads = self.loads.values().filter(|load| load.record.service == *service);
        let counts: Vec<u32> = loads.filter_map(|load| load.others(now)).collect();
        let ranks = u32::try_from(counts.len()).ok().filter(|ranks| *ranks > 0)?;
        Some((counts.iter().sum::<u32>() + ranks / 2) / ranks)
    }

    /// This process's usual share of a rank's limit, used while no report is valid. With three requests
    /// a rank from each of six processes, a group that stalled for 4 s without reports was overfilled by
    /// half.
    fn own_limit(&self, service: &ServiceName) -> u32 {
        let Some(share) = self.shares.get(service) else { return self.settings.per_rank };
        let own = share * f64::from(self.settings.rank_limit);
        (own.ceil() as u32).clamp(1, self.settings.rank_limit)
    }

    /// Requests in flight at a target.
    pub fn in_flight(&self, life: &TargetLife) -> u32 {
        self.loads.get(life).map_or(0, |load| load.in_flight)
    }

    /// Median of the targets' mean answer times.
    fn median_answer_millis(&self, service: &ServiceName) -> Option<f64> {
        let of_service = self.loads.values().filter(|load| load.record.service == *service);
        let mut means: Vec<f64> = of_service.filter_map(|load| load.mean_millis).collect();
        if means.is_empty() {
            return None;
        }
        means.sort_by(f64::total_cmp);
        Some(means[means.len() / 2])
    }
}

/// Counts a send to a target and returns what is known of it.
fn take_slot(
    load: &mut TargetLoad,
    work: RequestWork,
    groups: &ServiceGroups,
    now: UnixMillis,
) -> ChosenTarget {
    let (in_flight, report, rate) = (load.in_flight, load.report(now), load.rate(now));
    load.count_send(work, now);
    let group = load.group.and_then(|index| Some(GroupSnapshot { index, status: groups.status(index)? }));
    ChosenTarget { record: Arc::clone(&load.record), in_flight, report, group, rate }
}

/// A pseudo-random number between 0 and 1 for one choice.
fn random_point(seed: u64, choice: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&choice.to_le_bytes(), seed);
    hash as f64 / u64::MAX as f64
}

/// Orders equal targets differently for each choice.
fn tie_break(id: &TargetName, choice: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), choice)
}
