//! Simulation in virtual time of entries whose targets announce limits. Each entry runs the production
//! scheduler.

use porthoist_core::{RequestRate, ServiceName, StartMillis, UnixDeadline, UnixMillis, ZoneName};
use porthoist_policy::proxy::backpressure::{BackpressureChange, BackpressureSignals, SignalValue};
use porthoist_policy::proxy::balancer::{BalancerSettings, ChosenTarget, RequestWork, SendOutcome};
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::limit_notes::{NoteStore, TargetNote};
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotError, SlotRequest};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Duration of a request at a target in milliseconds.
const RUN_MILLIS: u64 = 30;
/// Requests that a target runs concurrently.
const SLOTS: u32 = 6;
/// Interval in milliseconds at which an entry queries the process that follows the tables for its zone.
const QUERY_INTERVAL_MILLIS: u64 = 1_000;
/// Unix time in milliseconds at which the simulation starts.
const START_UNIX_MILLIS: u64 = 1_700_000_000_000;
/// Time in milliseconds until callers leave.
const CALLER_TIMEOUT_MILLIS: u64 = 8_000;
/// Time in milliseconds within which answers are on time.
const TARGET_LATENCY_MILLIS: u64 = 500;

/// A limit that one target announces for some time.
#[derive(Debug, Clone, Copy)]
pub struct SimulatedLimit {
    pub target: usize,
    /// Requests a second.
    pub limit: f64,
    /// Milliseconds since the start.
    pub from: u64,
    pub until: u64,
}

/// What entries assume about their number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryCount {
    /// The actual number.
    Known,
    /// Unknown.
    Unknown,
    /// Each assumes to be the only one.
    OnlyOne,
}

#[derive(Debug, Clone, bon::Builder)]
pub struct FleetSettings {
    pub entries: usize,
    pub zones: usize,
    pub targets: usize,
    /// Requests a second of all callers.
    pub rate: f64,
    pub limits: Vec<SimulatedLimit>,
    pub millis: u64,
    #[builder(default = EntryCount::Known)]
    pub count: EntryCount,
    /// Whether the entries of a zone exchange notes.
    #[builder(default = true)]
    pub exchange_notes: bool,
    /// Number of entries that stall from 8 to 12 s.
    #[builder(default)]
    pub stalled: usize,
    /// Whether entries restart without state, one every 3 s.
    #[builder(default)]
    pub restarts: bool,
    /// Maximum difference between the clocks of entries in milliseconds.
    #[builder(default)]
    pub clock_skew_millis: u64,
    #[builder(default = 1)]
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    /// A caller sends a request.
    Request,
    Answer {
        entry: usize,
        target: usize,
        life: u64,
        sent: u64,
    },
    Turn {
        entry: usize,
    },
    Restart {
        entry: usize,
    },
    /// An entry queries the process that follows the tables for its zone.
    Query {
        entry: usize,
    },
}

/// A request that reached a target.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: u64,
    /// Whether the target had announced its limit to the entry at least half a second before.
    limit_known: bool,
}

/// Totals of a simulation.
#[derive(Debug, Default, Clone)]
pub struct FleetReport {
    pub served: usize,
    pub served_urgent: usize,
    pub refused: usize,
    pub refused_limited: usize,
    arrivals: Vec<Vec<Arrival>>,
}

impl FleetReport {
    /// Maximum number of requests that a target got in any 4 s, starting 3 s after it announced its
    /// limit, from entries that had received the limit from it.
    pub fn max_in_4_s(&self, limit: SimulatedLimit) -> usize {
        let counted = self.arrivals[limit.target].iter().filter(|arrival| arrival.limit_known);
        let times: Vec<u64> = counted.map(|arrival| arrival.at).collect();
        let within = |from: &u64| times.iter().filter(|at| **at >= *from && **at < from + 4_000).count();
        let begins = times.iter().filter(|at| **at >= limit.from + 3_000 && **at + 4_000 < limit.until);
        begins.map(within).max().unwrap_or_default()
    }

    /// Requests a second at a target between two times.
    pub fn rate(&self, target: usize, from: u64, until: u64) -> f64 {
        let within = self.arrivals[target].iter().filter(|arrival| arrival.at >= from && arrival.at < until);
        within.count() as f64 * 1_000.0 / (until - from) as f64
    }
}

struct SimulatedEntry {
    scheduler: RequestScheduler<u64>,
    clock_offset_millis: u64,
    stalled_until: u64,
    /// Notes to pass on to the other entries of its zone.
    notes: NoteStore,
    /// When each target first announced its limit to it.
    first_announced: HashMap<usize, u64>,
    life: u64,
}

struct SimulatedFleet {
    settings: FleetSettings,
    entries: Vec<SimulatedEntry>,
    registry: TargetRegistry,
    targets: BTreeMap<TargetLife, usize>,
    service: ServiceName,
    /// Notes that the entries of each zone have passed on.
    zones: Vec<NoteStore>,
    events: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    sequence: u64,
    random: Pcg64Mcg,
    report: FleetReport,
}

fn zone_name(index: usize) -> ZoneName {
    format!("z{index}").parse().unwrap()
}

/// Runs a simulation.
pub fn simulate(settings: &FleetSettings) -> FleetReport {
    let mut fleet = SimulatedFleet::new(settings.clone());
    fleet.schedule(0, FleetEvent::Request);
    for entry in (0..settings.entries).filter(|_entry| settings.exchange_notes) {
        fleet.schedule(entry as u64 * 97 % QUERY_INTERVAL_MILLIS, FleetEvent::Query { entry });
    }
    if settings.restarts {
        for (index, entry) in (0..settings.entries).enumerate() {
            fleet.schedule(3_000 * (index as u64 + 1), FleetEvent::Restart { entry });
        }
    }
    while let Some(Reverse((at, _sequence, event))) = fleet.events.pop() {
        if at >= settings.millis {
            break;
        }
        fleet.handle(event, at);
    }
    fleet.report
}

impl SimulatedFleet {
    fn new(settings: FleetSettings) -> Self {
        let service: ServiceName = "s".parse().unwrap();
        let records = (0..settings.targets).map(|index| TargetRecord {
            id: format!("t{index}").parse().unwrap(),
            born: StartMillis::default(),
            service: service.clone(),
            address: format!("10.0.{}.{}:1", index / 250, index % 250).parse().unwrap(),
            zone: zone_name(index % settings.zones),
            slots: SLOTS,
            state: TargetState::Ready,
            cold: ColdStatus::Unknown,
        });
        let records: Vec<TargetRecord> = records.collect();
        let targets = records.iter().enumerate().map(|(index, record)| (record.life(), index)).collect();
        let mut registry = TargetRegistry::default();
        registry.apply_listing(records, None);
        let report = FleetReport { arrivals: vec![Vec::new(); settings.targets], ..FleetReport::default() };
        let mut fleet = Self {
            entries: Vec::new(),
            registry,
            targets,
            service,
            zones: vec![NoteStore::default(); settings.zones],
            events: BinaryHeap::new(),
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            report,
            settings,
        };
        fleet.entries = (0..fleet.settings.entries).map(|index| fleet.new_entry(index, 0)).collect();
        fleet
    }

    fn new_entry(&mut self, index: usize, life: u64) -> SimulatedEntry {
        let (zones, entries) = (self.settings.zones, self.settings.entries);
        let zone = index % zones;
        let zone_entries = (entries - zone).div_ceil(zones) as u32;
        let position = match self.settings.count {
            EntryCount::Known => Some(EntryPosition { index: (index / zones) as u32, entries: zone_entries }),
            EntryCount::Unknown => None,
            EntryCount::OnlyOne => Some(EntryPosition { index: 0, entries: 1 }),
        };
        let settings = BalancerSettings::builder().zone(zone_name(zone)).per_rank(3).rank_limit(12);
        let mut scheduler = RequestScheduler::new(settings.seed(index as u64).build());
        scheduler.sync(&self.registry);
        scheduler.set_entry_position(position);
        let clock_offset_millis = self.random.random_range(0..=self.settings.clock_skew_millis);
        let stalled_until = if index < self.settings.stalled { 12_000 } else { 0 };
        SimulatedEntry {
            scheduler,
            clock_offset_millis,
            stalled_until,
            notes: NoteStore::default(),
            first_announced: HashMap::new(),
            life,
        }
    }

    fn schedule(&mut self, at: u64, event: FleetEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn clock(&self, entry: usize, at: u64) -> UnixMillis {
        UnixMillis(START_UNIX_MILLIS + at + self.entries[entry].clock_offset_millis)
    }

    fn handle(&mut self, event: FleetEvent, at: u64) {
        match event {
            FleetEvent::Request => self.request_arrives(at),
            FleetEvent::Answer { entry, target, life, sent } => self.answer(entry, target, life, sent, at),
            FleetEvent::Turn { entry } => self.serve_waiting(entry, at),
            FleetEvent::Query { entry } => self.query(entry, at),
            FleetEvent::Restart { entry } => {
                let life = self.entries[entry].life + 1;
                self.entries[entry] = self.new_entry(entry, life);
            }
        }
    }

    /// Exchanges notes with the other entries of the zone through a process with its own clock.
    fn query(&mut self, entry: usize, at: u64) {
        self.schedule(at + QUERY_INTERVAL_MILLIS, FleetEvent::Query { entry });
        if (8_000..self.entries[entry].stalled_until).contains(&at) {
            return;
        }
        let (now, zone_now) = (self.clock(entry, at), UnixMillis(at + 77));
        let zone = entry % self.settings.zones;
        for note in self.entries[entry].notes.current(now) {
            self.zones[zone].insert(note.aged(now).to_local(zone_now));
        }
        for note in self.zones[zone].current(zone_now) {
            self.entries[entry].scheduler.apply_note(&note.aged(zone_now).to_local(now), now);
        }
    }

    fn request_arrives(&mut self, at: u64) {
        let entry = self.random.random_range(0..self.settings.entries);
        let pause = -(1_000.0 / self.settings.rate) * (1.0 - self.random.random::<f64>()).ln();
        // Several callers may arrive in the same millisecond.
        let next = (at as f64 + pause + self.random.random::<f64>()) as u64;
        self.schedule(next, FleetEvent::Request);
        let stalled = (8_000..self.entries[entry].stalled_until).contains(&at);
        let at = if stalled { self.entries[entry].stalled_until } else { at };
        let now = self.clock(entry, at);
        let priority = u8::from(self.random.random::<f64>() > 0.2) + 1;
        let request = SlotRequest {
            service: self.service.clone(),
            ranked: false,
            work: RequestWork::default(),
            priority,
            tried: Vec::new(),
            arrival: now,
            latency_millis: TARGET_LATENCY_MILLIS,
            deadline: UnixDeadline::after(now, CALLER_TIMEOUT_MILLIS),
            class: QueueClass::First,
        };
        let scheduler = &mut self.entries[entry].scheduler;
        match scheduler.decide(&request, now) {
            SlotDecision::Assign(chosen) => self.send(entry, &chosen, priority, at),
            SlotDecision::Wait(_until) => {
                scheduler.enqueue(request, at + TARGET_LATENCY_MILLIS);
                self.next_turn(entry, at);
            }
            SlotDecision::Refuse(error) => {
                self.report.refused += 1;
                self.report.refused_limited += usize::from(error == SlotError::Limited);
            }
        }
    }

    fn next_turn(&mut self, entry: usize, at: u64) {
        let now = self.clock(entry, at);
        if let Some(turn) = self.entries[entry].scheduler.next_turn(&self.service, now) {
            self.schedule(at + turn.0.since(now), FleetEvent::Turn { entry });
        }
    }

    fn serve_waiting(&mut self, entry: usize, at: u64) {
        let now = self.clock(entry, at);
        let waits = |until: &u64| *until > at;
        while let Some((_until, chosen, _work)) =
            self.entries[entry].scheduler.next_ready(&self.service, waits, now)
        {
            self.send(entry, &chosen, 0, at);
        }
        if self.entries[entry].scheduler.waiting() > 0 {
            self.next_turn(entry, at);
        }
    }

    fn send(&mut self, entry: usize, chosen: &ChosenTarget, priority: u8, at: u64) {
        let target = self.targets[&chosen.record.life()];
        let limit_known =
            self.entries[entry].first_announced.get(&target).is_some_and(|first| first + 500 <= at);
        self.report.arrivals[target].push(Arrival { at, limit_known });
        self.report.served += 1;
        self.report.served_urgent += usize::from(priority == 1);
        let life = self.entries[entry].life;
        self.schedule(at + RUN_MILLIS, FleetEvent::Answer { entry, target, life, sent: at });
    }

    fn answer(&mut self, entry: usize, target: usize, life: u64, sent: u64, at: u64) {
        if self.entries[entry].life != life {
            return;
        }
        let announced = self
            .settings
            .limits
            .iter()
            .find(|limit| limit.target == target && (limit.from..limit.until).contains(&at));
        let limit =
            announced.map_or(SignalValue::Absent, |limit| SignalValue::Present(RequestRate(limit.limit)));
        let signals = BackpressureSignals { limit, matches_request: true, ..BackpressureSignals::default() };
        let (clock_sent, now) = (self.clock(entry, sent), self.clock(entry, at));
        let record = self.registry.records().find(|record| self.targets[&record.life()] == target);
        let target_life = record.expect("targets stay").life();
        let simulated = &mut self.entries[entry];
        if announced.is_some() {
            simulated.first_announced.entry(target).or_insert(at);
        }
        let changes = simulated.scheduler.apply_signals(&target_life, &signals, clock_sent, now);
        let lifted = changes.iter().any(|observed| matches!(observed.change, BackpressureChange::Lifted(_)));
        let limit = announced.map(|limit| RequestRate(limit.limit));
        if limit.is_some() || lifted {
            let as_of = if lifted { clock_sent } else { now };
            simulated.notes.insert(TargetNote { life: target_life.clone(), limit, as_of });
        }
        let outcome = SendOutcome::Answered((at - sent) as f64);
        simulated.scheduler.ended(
            &self.service,
            &target_life,
            RequestWork::default(),
            outcome,
            at - sent,
            now,
        );
        self.serve_waiting(entry, at);
    }
}
