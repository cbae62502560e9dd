//! Simulation in virtual time of entries that compete for the slots of three groups. Each entry runs the
//! production scheduler.

use porthoist_core::{ServiceName, StartMillis, UnixDeadline, UnixMillis, ZoneName};
use porthoist_policy::proxy::balancer::{BalancerSettings, ChosenTarget, RequestWork, SendOutcome};
use porthoist_policy::proxy::capacity::CapacityRule;
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::demand::{PriorityLevel, ServiceDemand};
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::pass_time::GroupPass;
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotRequest};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::targets::{TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::Ipv4Addr;

#[path = "contention_engine.rs"]
mod engine;

const GROUPS: usize = 3;
const RANKS: usize = 24;
const SLOTS: usize = 10;
/// Requests that may wait at a rank; it rejects more.
const RANK_QUEUE: usize = 20;
/// Time in milliseconds from a free slot to the pass with the first event; the mean first event is
/// half a pass later.
const PREFILL_MILLIS: u64 = 132;
const DEADLINE_MILLIS: u64 = 8_000;
const DEMAND_DELAY_MILLIS: u64 = 150;
/// Time in milliseconds for which the demand of an entry that reports none still counts.
const DEMAND_EXPIRY_MILLIS: u64 = 1_000;
const START: UnixMillis = UnixMillis(1_700_000_000_000);
pub const END_MILLIS: u64 = 14_000;

/// A stream of the deployment: requests per second, factor and period of its burst, latency objective
/// in milliseconds, and value of a request that is on time.
struct Route {
    rate: f64,
    burst: (f64, u64, u64),
    latency: u64,
    value: f64,
}

/// By priority.
const ROUTES: [Route; 3] = [
    Route { rate: 91.5, burst: (1.9, 5_000, 9_000), latency: 400, value: 3.5 },
    Route { rate: 40.3, burst: (1.0, 0, 0), latency: 400, value: 1.8 },
    Route { rate: 121.0, burst: (2.6, 3_000, 10_000), latency: 1_000, value: 0.92 },
];

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Shared,
    /// Entries without a capacity rule.
    Unshared,
    /// A central queue that sees each slot at once.
    Omniscient,
}

/// What happens during the burst, at 5 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A third of the entries is killed and does not return.
    Killed,
    /// One zone is cut off from the others.
    CutOff,
}

#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct Contention {
    pub entries: usize,
    pub policy: Policy,
    #[builder(default = Fault::None)]
    pub fault: Fault,
    #[builder(default = 1)]
    pub seed: u64,
}

/// Results.
#[derive(Debug, Default, Clone)]
pub struct ContentionReport {
    /// By priority and second: requests, and those on time.
    pub seconds: [Vec<(u32, u32)>; 3],
    /// Sum of the value of requests that were on time.
    pub value: f64,
    pub sends: u32,
    pub rejections: u32,
    /// Slots that were occupied, summed over all passes, and their number.
    pub occupied: (u64, u64),
}

impl ContentionReport {
    /// Fraction of the requests of a priority that were on time, of those that came in these seconds.
    pub fn on_time(&self, priority: usize, from: usize, until: usize) -> f64 {
        let seconds = &self.seconds[priority][from..until];
        let (all, on_time) = seconds.iter().fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
        f64::from(on_time) / f64::from(all)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Caller,
    Waiting,
    Sent { rank: usize, at: u64 },
    Over,
}

#[derive(Debug, Clone)]
struct Request {
    at: u64,
    priority: usize,
    events: u32,
    /// Entries of the first and the second attempt.
    picks: [f64; 2],
    attempt: usize,
    entry: usize,
    stage: Stage,
    started: u64,
    received: u32,
    rejected: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Attempt(usize),
    Timeout(usize, usize),
    Pass(usize),
    Reading(usize),
    Report(usize, u64),
    Kill,
}

#[derive(Default, Clone)]
struct Rank {
    running: Vec<usize>,
    waiting: BTreeMap<(usize, u64), usize>,
}

struct Simulation {
    settings: Contention,
    service: ServiceName,
    records: Vec<TargetRecord>,
    entries: Vec<RequestScheduler<usize>>,
    /// First entry that is alive.
    alive: usize,
    ranks: Vec<Rank>,
    passes: [u64; GROUPS],
    /// Requests that the omniscient scheduler holds.
    central: BTreeMap<(usize, usize), usize>,
    requests: Vec<Request>,
    /// Last demand of each entry.
    own_demands: Vec<ServiceDemand>,
    /// Demand of all entries as each group has summed it.
    demands: [VecDeque<(u64, ServiceDemand)>; GROUPS],
    reports: HashMap<(usize, u64), (u64, GroupLoads)>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    random: Pcg64Mcg,
    report: ContentionReport,
}

/// Runs a simulation.
pub fn simulate(settings: Contention) -> ContentionReport {
    let mut simulation = Simulation::new(settings);
    while let Some(Reverse((at, _sequence, event))) = simulation.events.pop() {
        if at > END_MILLIS + DEADLINE_MILLIS {
            break;
        }
        simulation.handle(event, at);
    }
    simulation.report
}

fn clock(at: u64) -> UnixMillis {
    START.plus(at)
}

fn host(rank: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (rank / RANKS) as u8, (rank % RANKS) as u8 + 1)
}

fn zone(index: usize) -> ZoneName {
    format!("z{}", index % GROUPS).parse().unwrap()
}

impl Simulation {
    fn new(settings: Contention) -> Self {
        let service: ServiceName = "s".parse().unwrap();
        let record = |rank: usize| TargetRecord {
            id: format!("t{rank}").parse().unwrap(),
            born: StartMillis::default(),
            service: service.clone(),
            address: (host(rank), 9).into(),
            zone: zone(rank / RANKS),
            slots: SLOTS as u32,
            state: TargetState::Ready,
            cold: ColdStatus::Unknown,
        };
        let mut simulation = Self {
            records: (0..GROUPS * RANKS).map(record).collect(),
            service,
            entries: Vec::new(),
            alive: 0,
            ranks: vec![Rank::default(); GROUPS * RANKS],
            passes: [0; GROUPS],
            central: BTreeMap::new(),
            requests: Vec::new(),
            own_demands: vec![ServiceDemand::default(); settings.entries],
            demands: Default::default(),
            reports: HashMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            report: ContentionReport::default(),
            settings,
        };
        simulation.report.seconds = std::array::from_fn(|_| vec![(0, 0); END_MILLIS as usize / 1_000]);
        simulation.entries = (0..settings.entries).map(|index| simulation.entry(index)).collect();
        simulation.add_requests();
        for group in 0..GROUPS {
            simulation.schedule(group as u64 * 27, Event::Pass(group));
            simulation.schedule(group as u64 * 33, Event::Reading(group));
        }
        if settings.fault == Fault::Killed {
            simulation.schedule(5_000, Event::Kill);
        }
        simulation
    }

    fn entry(&self, index: usize) -> RequestScheduler<usize> {
        let entries = (self.settings.entries - index % GROUPS).div_ceil(GROUPS) as u32;
        let settings = BalancerSettings::builder().zone(zone(index)).per_rank(3).rank_limit(SLOTS as u32);
        let mut scheduler = RequestScheduler::new(settings.seed(index as u64).build());
        let mut registry = TargetRegistry::default();
        registry.apply_listing(self.records.iter().cloned(), None);
        scheduler.sync(&registry);
        scheduler.set_entry_position(Some(EntryPosition { index: (index / GROUPS) as u32, entries }));
        if self.settings.policy == Policy::Shared {
            let rule = CapacityRule { pause_millis: Some(120), ..CapacityRule::default() };
            scheduler.set_capacity_rules([(self.service.clone(), rule)].into());
        }
        scheduler
    }

    /// Adds the requests of all callers; they are the same for each policy and number of entries.
    fn add_requests(&mut self) {
        let mut random = Pcg64Mcg::seed_from_u64(self.settings.seed);
        for (priority, Route { rate, burst: (factor, from, until), .. }) in ROUTES.iter().enumerate() {
            let mut at = 0.0;
            while at < END_MILLIS as f64 {
                let rate = if (*from..*until).contains(&(at as u64)) { rate * factor } else { *rate };
                at -= 1_000.0 / rate * (1.0 - random.random::<f64>()).ln();
                let request = Request {
                    at: at as u64,
                    priority,
                    events: random.random_range(8..=38),
                    picks: [random.random(), random.random()],
                    attempt: 0,
                    entry: 0,
                    stage: Stage::Caller,
                    started: 0,
                    received: 0,
                    rejected: 0,
                };
                if request.at < END_MILLIS {
                    self.report.seconds[priority][request.at as usize / 1_000].0 += 1;
                    self.schedule(request.at, Event::Attempt(self.requests.len()));
                    self.requests.push(request);
                }
            }
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event, at: u64) {
        match event {
            Event::Attempt(index) => self.attempt(index, at),
            Event::Timeout(index, attempt) => {
                let request = &self.requests[index];
                if request.stage == Stage::Waiting && request.attempt == attempt {
                    self.refuse(index, at);
                }
            }
            Event::Pass(group) => self.pass(group, at),
            Event::Reading(group) => self.read(group, at),
            Event::Report(group, revision) => self.deliver(group, revision, at),
            Event::Kill => self.kill(at),
        }
    }

    fn attempt(&mut self, index: usize, at: u64) {
        if self.settings.policy == Policy::Omniscient {
            self.central.insert((self.requests[index].priority, index), index);
            return self.fill_centrally(at);
        }
        let request = &mut self.requests[index];
        request.attempt += 1;
        // The busiest entry gets three times as much as the least busy one.
        let pick = request.picks[request.attempt - 1];
        let pick = if pick < 0.5 { pick } else { 0.5 + (pick - 0.5) * (pick - 0.5) * 2.0 };
        request.entry = self.alive + (pick * (self.entries.len() - self.alive) as f64) as usize;
        let class = if request.attempt > 1 { QueueClass::CallerRetry } else { QueueClass::First };
        self.decide(index, class, at);
    }

    fn decide(&mut self, index: usize, class: QueueClass, at: u64) {
        let request = &self.requests[index];
        let (entry, now) = (request.entry, clock(at));
        let tried = match request.stage {
            Stage::Sent { rank, .. } => vec![self.records[rank].id.clone()],
            _ => Vec::new(),
        };
        let slot_request = SlotRequest {
            service: self.service.clone(),
            ranked: true,
            work: RequestWork {
                prompt_tokens: 835,
                priority: PriorityLevel(request.priority as u8),
                body_bytes: 0,
            },
            priority: request.priority as u8,
            tried,
            arrival: now,
            latency_millis: ROUTES[request.priority].latency,
            deadline: UnixDeadline::after(clock(request.at), DEADLINE_MILLIS),
            class,
        };
        match self.entries[entry].decide(&slot_request, now) {
            SlotDecision::Assign(chosen) => self.send(index, &chosen, at),
            SlotDecision::Wait(until) => {
                self.requests[index].stage = Stage::Waiting;
                self.entries[entry].enqueue(slot_request, index);
                let attempt = self.requests[index].attempt;
                self.schedule(until.0.since(START), Event::Timeout(index, attempt));
            }
            SlotDecision::Refuse(_error) => self.refuse(index, at),
        }
        self.serve(entry, at);
    }

    fn refuse(&mut self, index: usize, at: u64) {
        let Request { at: arrival, entry, attempt, .. } = self.requests[index];
        let deadline = UnixDeadline::after(clock(arrival), DEADLINE_MILLIS);
        let point = self.random.random();
        let after = self.entries[entry].retry_after_millis(&self.service, deadline, point, clock(at));
        self.requests[index].stage = if attempt > 1 { Stage::Over } else { Stage::Caller };
        if attempt == 1 {
            self.schedule(at + after, Event::Attempt(index));
        }
    }

    /// Does what the dispatcher does when slots may be free.
    fn serve(&mut self, entry: usize, at: u64) {
        if self.entries[entry].waiting() == 0 {
            return;
        }
        let mut late = self.entries[entry].take_unservable(&self.service, clock(at));
        late.extend(self.entries[entry].take_late(&self.service, clock(at)));
        for index in late {
            if self.requests[index].stage == Stage::Waiting {
                self.refuse(index, at);
            }
        }
        loop {
            let waits = |index: &usize| self.requests[*index].stage == Stage::Waiting;
            let Some((index, chosen, _work)) =
                self.entries[entry].next_ready(&self.service, waits, clock(at))
            else {
                break;
            };
            self.send(index, &chosen, at);
        }
    }
}
