//! Simulation in virtual time of entries whose targets restart. Each entry runs the production
//! scheduler.

use porthoist_core::{RequestRate, ServiceName, StartMillis, UnixDeadline, UnixMillis, ZoneName};
use porthoist_policy::proxy::balancer::{BalancerSettings, ChosenTarget, RequestWork, SendOutcome};
use porthoist_policy::proxy::cold_start::{ColdRule, ColdStatus};
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotError, SlotRequest};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Duration of a request at a target in milliseconds.
const RUN_MILLIS: u64 = 200;
/// Requests of one entry that a target runs concurrently.
const SLOTS: u32 = 1;
/// Unix time in milliseconds at which the simulation starts.
const START_UNIX_MILLIS: u64 = 1_700_000_000_000;
/// When targets restart, in milliseconds since the start.
pub const RESTART_MILLIS: u64 = 6_000;
/// Time in milliseconds for which they are cold.
pub const COLD_MILLIS: u64 = 3_000;
/// Requests a second that a cold target can take.
pub const RATE: f64 = 17.0;
/// Permitted requests in a second by the users' rule: one and a half times the rate, plus five.
pub const MAX_PER_SECOND: f64 = 1.5 * RATE + 5.0;
/// Longest time in milliseconds until an entry reads a row.
const MAX_ROW_DELAY_MILLIS: u64 = 800;

#[derive(Debug, Clone, bon::Builder)]
pub struct ColdSettings {
    pub entries: usize,
    #[builder(default = 3)]
    pub zones: usize,
    #[builder(default = 12)]
    pub targets: usize,
    /// Number of targets that restart, beginning with those of the first zone.
    pub cold: usize,
    /// Requests a second of the callers of each entry; more than the targets have room for by default.
    #[builder(default = 80.0)]
    pub rate: f64,
    /// Whether rows announce the restart; otherwise the entries only see broken connections.
    #[builder(default = true)]
    pub rows: bool,
    /// Number of entries that restart while targets are cold and don't know their position for a second.
    #[builder(default)]
    pub killed: usize,
    /// Number of entries that receive no rows and positions from the restart on.
    #[builder(default)]
    pub cut_off: usize,
    /// Maximum difference between the clocks of entries in milliseconds.
    #[builder(default)]
    pub clock_skew_millis: u64,
    #[builder(default = 1)]
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ColdEvent {
    /// A caller sends a request.
    Request {
        entry: usize,
    },
    Answer {
        entry: usize,
        target: usize,
        life: u64,
        lost: bool,
    },
    Turn {
        entry: usize,
    },
    /// An entry reads a row.
    Row {
        entry: usize,
    },
    Kill {
        entry: usize,
    },
    /// An entry learns its position among the entries of its zone.
    Position {
        entry: usize,
    },
}

/// Totals of a simulation.
#[derive(Debug, Default, Clone)]
pub struct ColdReport {
    pub served: usize,
    pub refused_cold: usize,
    pub expired_waiting: usize,
    /// Times of the requests that each restarted target got while it was cold.
    arrivals: BTreeMap<usize, Vec<u64>>,
}

impl ColdReport {
    /// Maximum number of requests that a cold target got in any second.
    pub fn max_per_second(&self) -> usize {
        let max_in_a_second = |times: &Vec<u64>| {
            let within = |from: &u64| times.iter().filter(|at| **at >= *from && **at < from + 1_000).count();
            times.iter().map(within).max().unwrap_or_default()
        };
        self.arrivals.values().map(max_in_a_second).max().unwrap_or_default()
    }

    /// Fraction of the rate that cold targets got in their last two seconds.
    pub fn rate_fraction_used(&self) -> f64 {
        let sent_late = |times: &Vec<u64>| {
            times.iter().filter(|at| **at >= RESTART_MILLIS + COLD_MILLIS - 2_000).count() as f64
        };
        let all: f64 = self.arrivals.values().map(sent_late).sum();
        all / (2.0 * RATE * self.arrivals.len() as f64)
    }
}

struct SimulatedEntry {
    scheduler: RequestScheduler<u64>,
    clock_offset_millis: u64,
    life: u64,
}

struct ColdFleet {
    settings: ColdSettings,
    entries: Vec<SimulatedEntry>,
    /// The targets before the restart.
    records: Vec<TargetRecord>,
    service: ServiceName,
    events: BinaryHeap<Reverse<(u64, u64, ColdEvent)>>,
    sequence: u64,
    random: Pcg64Mcg,
    report: ColdReport,
}

/// Simulates from before the targets restart until they are warm.
pub fn simulate(settings: &ColdSettings) -> ColdReport {
    let mut fleet = ColdFleet::new(settings.clone());
    while let Some(Reverse((at, _sequence, event))) = fleet.events.pop() {
        if at >= RESTART_MILLIS + COLD_MILLIS {
            break;
        }
        fleet.handle(event, at);
    }
    fleet.report
}

fn zone_name(index: usize) -> ZoneName {
    format!("z{index}").parse().unwrap()
}

impl ColdFleet {
    fn new(settings: ColdSettings) -> Self {
        let service: ServiceName = "s".parse().unwrap();
        let targets_per_zone = settings.targets / settings.zones;
        let record = |index: usize| TargetRecord {
            id: format!("t{index}").parse().unwrap(),
            born: StartMillis::default(),
            service: service.clone(),
            address: format!("10.0.{}.{}:1", index / 250, index % 250).parse().unwrap(),
            zone: zone_name(index / targets_per_zone),
            slots: SLOTS,
            state: TargetState::Ready,
            cold: ColdStatus::Warm,
        };
        let records: Vec<TargetRecord> = (0..settings.targets).map(record).collect();
        let arrivals = (0..settings.cold).map(|index| (index, Vec::new())).collect();
        let mut fleet = Self {
            entries: Vec::new(),
            records,
            service,
            events: BinaryHeap::new(),
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            report: ColdReport { arrivals, ..ColdReport::default() },
            settings,
        };
        for index in 0..fleet.settings.entries {
            let entry = fleet.new_entry(index, 0);
            fleet.entries.push(entry);
            fleet.read_rows(index, 0);
            fleet.schedule(0, ColdEvent::Request { entry: index });
            fleet.schedule(0, ColdEvent::Position { entry: index });
            let row_read_at = RESTART_MILLIS + fleet.random.random_range(0..MAX_ROW_DELAY_MILLIS);
            if index >= fleet.settings.cut_off {
                fleet.schedule(row_read_at, ColdEvent::Row { entry: index });
            }
        }
        for index in 0..fleet.settings.killed {
            fleet.schedule(RESTART_MILLIS + 1_000 + 40 * index as u64, ColdEvent::Kill { entry: index });
        }
        fleet
    }

    fn new_entry(&mut self, index: usize, life: u64) -> SimulatedEntry {
        let zone = zone_name(index % self.settings.zones);
        let settings = BalancerSettings::builder().zone(zone).per_rank(3).rank_limit(12);
        let mut scheduler = RequestScheduler::new(settings.seed(index as u64).build());
        let rule = ColdRule { rate: RequestRate(RATE), millis: COLD_MILLIS };
        scheduler.set_cold_rules(HashMap::from([(self.service.clone(), rule)]));
        let clock_offset_millis = self.random.random_range(0..=self.settings.clock_skew_millis);
        SimulatedEntry { scheduler, clock_offset_millis, life }
    }

    /// Updates an entry with the rows at a time.
    fn read_rows(&mut self, entry: usize, at: u64) {
        let now = self.clock(entry, at);
        let mut records = self.records.clone();
        if at >= RESTART_MILLIS && self.settings.rows {
            for record in &mut records[..self.settings.cold] {
                record.born = StartMillis(1);
                record.cold =
                    ColdStatus::from_remaining((RESTART_MILLIS + COLD_MILLIS).saturating_sub(at), now);
            }
        }
        let mut registry = TargetRegistry::default();
        registry.apply_listing(records, None);
        self.entries[entry].scheduler.sync(&registry);
    }

    fn schedule(&mut self, at: u64, event: ColdEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn clock(&self, entry: usize, at: u64) -> UnixMillis {
        UnixMillis(START_UNIX_MILLIS + at + self.entries[entry].clock_offset_millis)
    }

    fn handle(&mut self, event: ColdEvent, at: u64) {
        match event {
            ColdEvent::Request { entry } => self.request_arrives(entry, at),
            ColdEvent::Answer { entry, target, life, lost } => self.answer(entry, target, life, lost, at),
            ColdEvent::Turn { entry } => self.serve_waiting(entry, at),
            ColdEvent::Row { entry } => self.read_rows(entry, at),
            ColdEvent::Position { entry } => {
                let (zones, entries) = (self.settings.zones, self.settings.entries);
                let zone_entries = (entries - entry % zones).div_ceil(zones) as u32;
                let position = EntryPosition { index: (entry / zones) as u32, entries: zone_entries };
                self.entries[entry].scheduler.set_entry_position(Some(position));
            }
            ColdEvent::Kill { entry } => {
                let life = self.entries[entry].life + 1;
                self.entries[entry] = self.new_entry(entry, life);
                self.read_rows(entry, at);
                self.schedule(at + 1_000, ColdEvent::Position { entry });
            }
        }
    }

    fn request_arrives(&mut self, entry: usize, at: u64) {
        let pause = -(1_000.0 / self.settings.rate) * (1.0 - self.random.random::<f64>()).ln();
        let next = at as f64 + pause + self.random.random::<f64>();
        self.schedule(next as u64, ColdEvent::Request { entry });
        let now = self.clock(entry, at);
        let request = SlotRequest {
            service: self.service.clone(),
            ranked: false,
            work: RequestWork::default(),
            priority: 1,
            tried: Vec::new(),
            arrival: now,
            latency_millis: 500,
            deadline: UnixDeadline::after(now, 8_000),
            class: QueueClass::First,
        };
        let scheduler = &mut self.entries[entry].scheduler;
        match scheduler.decide(&request, now) {
            SlotDecision::Assign(chosen) => self.send(entry, &chosen, at),
            SlotDecision::Wait(until) => {
                scheduler.enqueue(request, at + until.0.since(now));
                self.next_turn(entry, at);
            }
            SlotDecision::Refuse(error) => self.report.refused_cold += usize::from(error == SlotError::Cold),
        }
    }

    fn target_index(&self, life: &TargetLife) -> usize {
        let index = self.records.iter().position(|record| record.id == life.id);
        index.expect("targets stay")
    }

    fn next_turn(&mut self, entry: usize, at: u64) {
        let now = self.clock(entry, at);
        if let Some(turn) = self.entries[entry].scheduler.next_turn(&self.service, now) {
            self.schedule(at + turn.0.since(now), ColdEvent::Turn { entry });
        }
    }

    fn serve_waiting(&mut self, entry: usize, at: u64) {
        let now = self.clock(entry, at);
        let expired = std::cell::Cell::new(0);
        let waits = |until: &u64| {
            expired.set(expired.get() + usize::from(*until <= at));
            *until > at
        };
        while let Some((_until, chosen, _work)) =
            self.entries[entry].scheduler.next_ready(&self.service, waits, now)
        {
            self.send(entry, &chosen, at);
        }
        self.report.expired_waiting += expired.get();
        if self.entries[entry].scheduler.waiting() > 0 {
            self.next_turn(entry, at);
        }
    }

    fn send(&mut self, entry: usize, chosen: &ChosenTarget, at: u64) {
        let target = self.target_index(&chosen.record.life());
        let restarts = target < self.settings.cold;
        // Requests that run when a target ends are lost, as are those sent to the life that has ended.
        let is_newest_life = chosen.record.born == StartMillis(u64::from(restarts && self.settings.rows));
        let life_ends = if at < RESTART_MILLIS { at + RUN_MILLIS >= RESTART_MILLIS } else { !is_newest_life };
        let lost = restarts && life_ends;
        if restarts && at >= RESTART_MILLIS && is_newest_life {
            self.report.arrivals.entry(target).or_default().push(at);
        }
        self.report.served += usize::from(!lost);
        let life = self.entries[entry].life;
        self.schedule(at + RUN_MILLIS, ColdEvent::Answer { entry, target, life, lost });
    }

    fn answer(&mut self, entry: usize, target: usize, life: u64, lost: bool, at: u64) {
        if self.entries[entry].life != life {
            return;
        }
        let now = self.clock(entry, at);
        let outcome = if lost { SendOutcome::Lost } else { SendOutcome::Answered(RUN_MILLIS as f64) };
        let id = self.records[target].id.clone();
        let lives = [0, 1].map(|born| TargetLife { id: id.clone(), born: StartMillis(born) });
        let scheduler = &mut self.entries[entry].scheduler;
        if let Some(life) = lives.iter().find(|life| scheduler.in_flight(life) > 0) {
            scheduler.ended(&self.service, life, RequestWork::default(), outcome, RUN_MILLIS, now);
        }
        self.serve_waiting(entry, at);
    }
}
