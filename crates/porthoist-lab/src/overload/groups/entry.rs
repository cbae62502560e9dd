//! One simulated entry process: the daemon's request scheduler, its share of the retry budget, and
//! its active sends.

use super::super::callers::SimulatedCaller;
use super::super::{LATENCY_MILLIS, deadline};
use super::{GROUPS, RANKS};
use porthoist_core::{ServiceName, StartMillis, TargetName, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::balancer::{BalancerSettings, RequestWork, SendOutcome};
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::moving::{MAX_MOVE_JITTER_MILLIS, PendingSend};
use porthoist_policy::proxy::pass_time::GroupPass;
use porthoist_policy::proxy::retry_share::{RetryShare, RetryShareSettings};
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotRequest};
use porthoist_policy::proxy::targets::{TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Maximum number of sends of one request, as the users' routes allow.
const MAX_ATTEMPTS: usize = 2;
/// Share of the users' retry budget that each process takes: retries per request, additional
/// retries, and the window in milliseconds.
const RETRY_SHARE: RetryShareSettings = RetryShareSettings { ratio: 0.16, slack: 2.3, window_millis: 10_000 };

/// Load report of one group.
pub(super) struct GroupReport<'a> {
    pub(super) group: usize,
    pub(super) requests: &'a [u32],
    pub(super) pass: GroupPass,
    /// Whether entries treat all ranks as one group.
    pub(super) single_group: bool,
}

/// Decision on a request.
pub(super) enum EntryDecision {
    /// Send it to the rank with this index among the ranks of all groups.
    Assign(usize),
    Refuse,
}

/// A send that has not ended.
struct ActiveSend {
    rank_index: usize,
    assigned_at: UnixMillis,
    /// Until when the queue at its rank explains that no event has arrived.
    queued_until: UnixDeadline,
    tried: Vec<TargetName>,
}

pub(super) struct SimulatedEntry {
    scheduler: RequestScheduler<usize>,
    service: ServiceName,
    records: Vec<TargetRecord>,
    sends: BTreeMap<usize, ActiveSend>,
    /// Targets that moved requests were already sent to.
    tried: BTreeMap<usize, Vec<TargetName>>,
    retry_share: RetryShare,
    revision: u64,
    /// The last report of each group, for the case that all ranks count as one group.
    last_reports: Vec<Vec<u32>>,
}

fn host(rank_index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (rank_index / RANKS) as u8, (rank_index % RANKS) as u8 + 1)
}

fn record(service: &ServiceName, rank_index: usize, slots: u32) -> TargetRecord {
    TargetRecord {
        id: format!("t{rank_index}").parse().expect("a valid name"),
        born: StartMillis::default(),
        service: service.clone(),
        address: (host(rank_index), 9).into(),
        zone: format!("z{}", rank_index / RANKS).parse().expect("a valid name"),
        slots,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    }
}

impl SimulatedEntry {
    pub(super) fn new(zone: usize, slots: u32, seed: u64) -> Self {
        let service: ServiceName = "s".parse().expect("a valid name");
        let zone = format!("z{zone}").parse().expect("a valid name");
        let settings =
            BalancerSettings::builder().zone(zone).per_rank(3).rank_limit(slots).seed(seed).build();
        let records: Vec<TargetRecord> =
            (0..GROUPS * RANKS).map(|rank_index| record(&service, rank_index, slots)).collect();
        let mut registry = TargetRegistry::default();
        registry.apply_listing(records.iter().cloned(), None);
        let mut scheduler = RequestScheduler::new(settings);
        scheduler.sync(&registry);
        Self {
            scheduler,
            service,
            records,
            sends: BTreeMap::new(),
            tried: BTreeMap::new(),
            retry_share: RetryShare::new(RETRY_SHARE),
            revision: 0,
            last_reports: vec![vec![0; RANKS]; GROUPS],
        }
    }

    pub(super) fn apply_report(&mut self, report: &GroupReport<'_>, now: UnixMillis) {
        self.revision += 1;
        self.last_reports[report.group] = report.requests.to_vec();
        let rank = |rank_index: usize| RankLoad {
            host: host(rank_index),
            requests: self.last_reports[rank_index / RANKS][rank_index % RANKS],
            silent: false,
        };
        let own = report.group * RANKS..(report.group + 1) * RANKS;
        let (rank_indices, pass) =
            if report.single_group { (0..GROUPS * RANKS, GroupPass::Unknown) } else { (own, report.pass) };
        let loads = GroupLoads {
            revision: LoadRevision(self.revision),
            pass,
            ranks: rank_indices.map(rank).collect(),
            ..GroupLoads::default()
        };
        self.scheduler.update_loads(&loads, now);
    }

    pub(super) fn decide(
        &mut self,
        caller: usize,
        simulated: &SimulatedCaller,
        now: UnixMillis,
    ) -> EntryDecision {
        let tried = self.tried.remove(&caller).unwrap_or_default();
        let queue_class = if tried.is_empty() { QueueClass::First } else { QueueClass::Resent };
        if tried.is_empty() {
            self.retry_share.record_first_send(now);
        }
        let request = SlotRequest {
            service: self.service.clone(),
            ranked: true,
            work: RequestWork::default(),
            priority: 1,
            tried: tried.clone(),
            arrival: now,
            latency_millis: LATENCY_MILLIS,
            deadline: simulated.deadline(),
            class: queue_class,
        };
        let SlotDecision::Assign(chosen) = self.scheduler.decide(&request, now) else {
            return EntryDecision::Refuse;
        };
        let rank_index = self.records.iter().position(|record| record.id == chosen.record.id);
        let rank_index = rank_index.expect("only known targets are chosen");
        let tried = tried.into_iter().chain([chosen.record.id.clone()]).collect();
        let queued_until = UnixDeadline::default();
        self.sends.insert(caller, ActiveSend { rank_index, assigned_at: now, queued_until, tried });
        EntryDecision::Assign(rank_index)
    }

    /// Records an event. `first_millis` is the time since the request was assigned, if it is the
    /// first.
    pub(super) fn event_received(&mut self, rank_index: usize, first_millis: Option<u64>, now: UnixMillis) {
        let record = &self.records[rank_index];
        match first_millis {
            Some(millis) => self.scheduler.first_event_received(record, millis as f64, now),
            None => self.scheduler.event_received(record, now),
        }
    }

    pub(super) fn stream_ended(&mut self, caller: usize, events: u32, now: UnixMillis) {
        self.scheduler.stream_ended(&self.service, u64::from(events));
        self.end_send(caller, true, now);
    }

    pub(super) fn request_abandoned(&mut self, caller: usize, now: UnixMillis) {
        self.end_send(caller, false, now);
    }

    fn end_send(&mut self, caller: usize, answered: bool, now: UnixMillis) {
        let Some(send) = self.sends.remove(&caller) else { return };
        let held_millis = now.since(send.assigned_at);
        let outcome =
            if answered { SendOutcome::Answered(held_millis as f64) } else { SendOutcome::Abandoned };
        let life = self.records[send.rank_index].life();
        self.scheduler.ended(&self.service, &life, RequestWork::default(), outcome, held_millis, now);
        self.tried.insert(caller, send.tried);
    }

    /// Callers whose requests should leave their targets now.
    pub(super) fn requests_to_move(&mut self, callers: &[SimulatedCaller], now: UnixMillis) -> Vec<usize> {
        let mut requests_to_move = Vec::new();
        for (caller, send) in &mut self.sends {
            let simulated = &callers[*caller];
            if send.tried.len() >= MAX_ATTEMPTS {
                continue;
            }
            let target = &self.records[send.rank_index];
            let queued_until = self.scheduler.queued_until(&target.life(), send.assigned_at, now);
            send.queued_until = send.queued_until.max(queued_until);
            let pending = PendingSend {
                queued_until: send.queued_until,
                since: simulated.last_event().unwrap_or(send.assigned_at),
                events: u64::from(simulated.events_received()),
                jitter_millis: *caller as u64 * 37 % MAX_MOVE_JITTER_MILLIS,
                on_time_until: UnixDeadline::after(simulated.arrival(), LATENCY_MILLIS),
                deadline: deadline(simulated.arrival()),
            };
            let cause = self.scheduler.move_cause(target, &pending, now);
            if cause.is_some() && self.retry_share.try_take_optional(now) {
                requests_to_move.push(*caller);
            }
        }
        requests_to_move
    }
}
