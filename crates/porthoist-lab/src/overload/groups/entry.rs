//! One entry process of the play: the daemon's desk, its share of repeats, and the sends that it follows.

use super::super::callers::PlayedCaller;
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

/// Sends of one request at most, as the users' routes allow.
const MAX_ATTEMPTS: usize = 2;
/// The users' retry budget as each process takes its share of it: by request, beside that, and for so many milliseconds.
const SHARE: RetryShareSettings = RetryShareSettings { ratio: 0.16, slack: 2.3, window_millis: 10_000 };

/// A report of one group's loads.
pub(super) struct GroupReport<'a> {
    pub(super) group: usize,
    pub(super) requests: &'a [u32],
    pub(super) pass: GroupPass,
    /// Whether entries take all ranks for one group.
    pub(super) together: bool,
}

/// What becomes of a request.
pub(super) enum EntryAnswer {
    /// It goes to the rank with this number among those of all groups.
    Place(usize),
    Refuse,
}

/// A send that is not at its end.
struct OpenSend {
    place: usize,
    placed: UnixMillis,
    tried: Vec<TargetName>,
}

pub(super) struct EntryDesk {
    desk: RequestScheduler<usize>,
    service: ServiceName,
    records: Vec<TargetRecord>,
    sends: BTreeMap<usize, OpenSend>,
    /// Targets that requests which move were sent to.
    tried: BTreeMap<usize, Vec<TargetName>>,
    share: RetryShare,
    revision: u64,
    /// The last report of each group, where all count as one.
    all: Vec<Vec<u32>>,
}

fn host(place: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (place / RANKS) as u8, (place % RANKS) as u8 + 1)
}

fn record(service: &ServiceName, place: usize, slots: u32) -> TargetRecord {
    TargetRecord {
        id: format!("t{place}").parse().expect("a valid name"),
        born: StartMillis::default(),
        service: service.clone(),
        address: (host(place), 9).into(),
        zone: format!("z{}", place / RANKS).parse().expect("a valid name"),
        slots,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    }
}

impl EntryDesk {
    pub(super) fn new(zone: usize, slots: u32, seed: u64) -> Self {
        let service: ServiceName = "s".parse().expect("a valid name");
        let zone = format!("z{zone}").parse().expect("a valid name");
        let settings =
            BalancerSettings::builder().zone(zone).per_rank(3).rank_limit(slots).seed(seed).build();
        let records: Vec<TargetRecord> =
            (0..GROUPS * RANKS).map(|place| record(&service, place, slots)).collect();
        let mut book = TargetRegistry::default();
        book.apply_listing(records.iter().cloned(), None);
        let mut desk = RequestScheduler::new(settings);
        desk.sync(&book);
        Self {
            desk,
            service,
            records,
            sends: BTreeMap::new(),
            tried: BTreeMap::new(),
            share: RetryShare::new(SHARE),
            revision: 0,
            all: vec![vec![0; RANKS]; GROUPS],
        }
    }

    pub(super) fn take_report(&mut self, report: &GroupReport<'_>, now: UnixMillis) {
        self.revision += 1;
        self.all[report.group] = report.requests.to_vec();
        let rank = |place: usize| RankLoad {
            host: host(place),
            requests: self.all[place / RANKS][place % RANKS],
            silent: false,
        };
        let own = report.group * RANKS..(report.group + 1) * RANKS;
        let (places, pass) =
            if report.together { (0..GROUPS * RANKS, GroupPass::Unknown) } else { (own, report.pass) };
        let loads =
            GroupLoads { revision: LoadRevision(self.revision), pass, ranks: places.map(rank).collect() };
        self.desk.update_loads(&loads, now);
    }

    pub(super) fn ask(&mut self, caller: usize, played: &PlayedCaller, now: UnixMillis) -> EntryAnswer {
        let tried = self.tried.remove(&caller).unwrap_or_default();
        let turn = if tried.is_empty() { QueueClass::First } else { QueueClass::Resent };
        if tried.is_empty() {
            self.share.record_first_send(now);
        }
        let demand = SlotRequest {
            service: self.service.clone(),
            ranked: true,
            work: RequestWork::default(),
            priority: 1,
            tried: tried.clone(),
            arrival: now,
            latency_millis: LATENCY_MILLIS,
            deadline: played.deadline(),
            class: turn,
        };
        let SlotDecision::Assign(chosen) = self.desk.decide(&demand, now) else { return EntryAnswer::Refuse };
        let place = self.records.iter().position(|record| record.id == chosen.record.id);
        let place = place.expect("only known targets are chosen");
        let tried = tried.into_iter().chain([chosen.record.id.clone()]).collect();
        self.sends.insert(caller, OpenSend { place, placed: now, tried });
        EntryAnswer::Place(place)
    }

    /// An event came; `first_millis` after its request was placed, if it was the first.
    pub(super) fn heard(&mut self, place: usize, first_millis: Option<u64>, now: UnixMillis) {
        let record = &self.records[place];
        match first_millis {
            Some(millis) => self.desk.first_event_received(record, millis as f64, now),
            None => self.desk.event_received(record, now),
        }
    }

    pub(super) fn finished(&mut self, caller: usize, events: u32, now: UnixMillis) {
        self.desk.stream_ended(&self.service, u64::from(events));
        self.end(caller, true, now);
    }

    pub(super) fn left(&mut self, caller: usize, now: UnixMillis) {
        self.end(caller, false, now);
    }

    fn end(&mut self, caller: usize, answered: bool, now: UnixMillis) {
        let Some(send) = self.sends.remove(&caller) else { return };
        let held = now.since(send.placed);
        let outcome = if answered { SendOutcome::Answered(held as f64) } else { SendOutcome::Abandoned };
        let life = self.records[send.place].life();
        self.desk.ended(&self.service, &life, RequestWork::default(), outcome, held, now);
        self.tried.insert(caller, send.tried);
    }

    /// Callers whose requests leave their targets now.
    pub(super) fn moving(&mut self, callers: &[PlayedCaller], now: UnixMillis) -> Vec<usize> {
        let mut moving = Vec::new();
        for (caller, send) in &self.sends {
            let played = &callers[*caller];
            if send.tried.len() >= MAX_ATTEMPTS {
                continue;
            }
            let waiting = PendingSend {
                since: played.last_event().unwrap_or(send.placed),
                events: u64::from(played.events_made()),
                jitter_millis: *caller as u64 * 37 % MAX_MOVE_JITTER_MILLIS,
                on_time_until: UnixDeadline::after(played.arrival(), LATENCY_MILLIS),
                deadline: deadline(played.arrival()),
            };
            let cause = self.desk.move_cause(&self.records[send.place], &waiting, now);
            if cause.is_some() && self.share.try_take_optional(now) {
                moving.push(*caller);
            }
        }
        moving
    }
}
