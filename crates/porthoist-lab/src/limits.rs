//! Simulates team limits under skewed arrivals, a network partition and replaced entries, with the
//! daemon's own limiter and coordinator.

use crate::report::{ratio, rounded};
use porthoist_core::{RequestRate, TeamName, UnixMillis};
use porthoist_policy::limits::coordinator::{LimitCoordinator, SettleAsk, SettleTold};
use porthoist_policy::limits::{EntryLimiter, TeamLimit};
use porthoist_policy::membership::rendezvous_score;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Settings of the simulation.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct LimitSettings {
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of teams. One in ten, at least 1 and at most 20, is large and sends more requests
    /// than its limit allows.
    pub teams: usize,
    /// Number of entries in the zone.
    pub entries: usize,
    /// Requests per second of all teams in the zone.
    pub rate: f64,
    /// Fraction of a large team's requests that arrive at one entry. The others are spread evenly.
    pub skew: f64,
    /// Duration in simulated seconds.
    #[builder(default = 60)]
    pub seconds: u64,
    /// Whether a partition separates two groups of entries for ten seconds.
    #[builder(default = false)]
    pub partition: bool,
    /// Whether one entry is replaced every five seconds.
    #[builder(default = false)]
    pub replace: bool,
}

/// Result of one case.
#[derive(Debug, Clone, Serialize)]
pub struct LimitReport {
    /// Name of the case.
    pub case: String,
    /// Requests of large teams admitted beyond the limit, as a fraction of the limit, outside the
    /// partition.
    pub over_admission: f64,
    /// Requests of large teams admitted beyond the limit, as a fraction of the limit, during the
    /// partition.
    pub over_admission_cut: f64,
    /// Fraction of large teams' limits left unused although they sent more requests, outside the
    /// partition.
    pub unused: f64,
    /// Fraction of requests refused to teams that stay below their limits.
    pub refused_below_limit: f64,
    /// Settlement requests and answers per second and entry.
    pub messages_per_second: f64,
    /// Bytes of the settlement messages per second and entry, sent and received.
    pub bytes_per_second: f64,
}

/// Bytes of a settlement call and its answer apart from their lists: TCP, capnp-rpc and message
/// headers.
const CALL_BYTES: u64 = 240;
/// Bytes of one request and one answer in the lists.
const ITEM_BYTES: u64 = 48;
/// Simulation step in milliseconds.
const TICK_MILLIS: u64 = 20;
/// One-way latency between entries, in ticks.
const LATENCY_TICKS: u64 = 1;
const PARTITION_START_MILLIS: u64 = 25_000;
const PARTITION_END_MILLIS: u64 = 35_000;
const REPLACE_INTERVAL_MILLIS: u64 = 5000;
/// Time in milliseconds before teams are measured.
const WARM_UP_MILLIS: u64 = 5000;
/// Request rate of a large team, relative to its limit.
const DEMAND_FACTOR: f64 = 1.5;

struct SimTeam {
    name: TeamName,
    limit: TeamLimit,
    rate: f64,
    large: bool,
    skewed_entry: usize,
}

struct SimEntry {
    name: String,
    limiter: EntryLimiter,
    coordinator: LimitCoordinator,
}

struct PendingReply {
    at: u64,
    entry: usize,
    life: u32,
    team: usize,
    ask: SettleAsk,
    told: Option<SettleTold>,
}

#[derive(Default)]
struct LimitCounts {
    admitted: Vec<f64>,
    refused_small: u64,
    asked_small: u64,
    admitted_partition: Vec<f64>,
    messages: u64,
    bytes: u64,
}

struct LimitSimulation {
    settings: LimitSettings,
    random: Pcg64Mcg,
    teams: Vec<SimTeam>,
    entries: Vec<SimEntry>,
    lives: Vec<u32>,
    replies: Vec<PendingReply>,
    counts: LimitCounts,
}

fn new_entry(index: usize, life: u32, entries: usize) -> SimEntry {
    SimEntry {
        name: format!("entry-{index}-{life}"),
        limiter: EntryLimiter::new(entries as u32),
        coordinator: LimitCoordinator::new(),
    }
}

fn create_teams(settings: &LimitSettings, random: &mut Pcg64Mcg) -> Vec<SimTeam> {
    let large_count = (settings.teams / 10).clamp(1, 20);
    let small_count = settings.teams - large_count;
    let mut teams = Vec::with_capacity(settings.teams);
    for index in 0..settings.teams {
        let large = index < large_count;
        // Large teams send half of all requests; small ones stay at a fifth of their limits.
        let rate = settings.rate * 0.5 / if large { large_count as f64 } else { small_count as f64 };
        let limit = if large { rate / DEMAND_FACTOR } else { (rate * 5.0).max(1.0) };
        teams.push(SimTeam {
            name: format!("team-{index}").parse().expect("valid"),
            limit: TeamLimit { rate: RequestRate(limit), concurrency: u32::MAX },
            rate,
            large,
            skewed_entry: random.random_range(0..settings.entries),
        });
    }
    teams
}

/// Simulates one case.
pub fn run(settings: &LimitSettings, case: &str) -> LimitReport {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let teams = create_teams(settings, &mut random);
    let counts = LimitCounts {
        admitted: vec![0.0; teams.len()],
        admitted_partition: vec![0.0; teams.len()],
        ..LimitCounts::default()
    };
    let mut simulation = LimitSimulation {
        settings: *settings,
        random,
        teams,
        entries: (0..settings.entries).map(|index| new_entry(index, 0, settings.entries)).collect(),
        lives: vec![0; settings.entries],
        replies: Vec::new(),
        counts,
    };
    let mut now = 0;
    while now < settings.seconds * 1000 {
        simulation.tick(now);
        now += TICK_MILLIS;
    }
    simulation.report(case)
}

impl LimitSimulation {
    fn is_partitioned(&self, now: u64) -> bool {
        self.settings.partition && (PARTITION_START_MILLIS..PARTITION_END_MILLIS).contains(&now)
    }

    fn tick(&mut self, now: u64) {
        if self.settings.replace && now > 0 && now.is_multiple_of(REPLACE_INTERVAL_MILLIS) {
            self.replace(now);
        }
        self.add_arrivals(now);
        self.deliver_replies(now);
        self.settle(now);
    }

    fn replace(&mut self, now: u64) {
        let index = (now / REPLACE_INTERVAL_MILLIS) as usize % self.entries.len();
        self.lives[index] += 1;
        self.entries[index] = new_entry(index, self.lives[index], self.entries.len());
    }

    fn add_arrivals(&mut self, now: u64) {
        let partitioned = self.is_partitioned(now);
        let measured = now >= WARM_UP_MILLIS;
        for index in 0..self.teams.len() {
            let mean = self.teams[index].rate * TICK_MILLIS as f64 / 1000.0;
            let count = poisson(&mut self.random, mean);
            for _ in 0..count {
                let entry = self.choose_entry(index);
                let team = &self.teams[index];
                let admitted =
                    self.entries[entry].limiter.admit(UnixMillis(now), &team.name, team.limit).is_ok();
                if admitted {
                    self.entries[entry].limiter.release(&team.name);
                }
                if !measured {
                    continue;
                }
                if team.large {
                    let admitted_counts = if partitioned {
                        &mut self.counts.admitted_partition
                    } else {
                        &mut self.counts.admitted
                    };
                    admitted_counts[index] += f64::from(u8::from(admitted));
                } else {
                    self.counts.asked_small += 1;
                    self.counts.refused_small += u64::from(!admitted);
                }
            }
        }
    }

    fn choose_entry(&mut self, team: usize) -> usize {
        let skewed = self.teams[team].large && self.random.random_bool(self.settings.skew);
        if skewed { self.teams[team].skewed_entry } else { self.random.random_range(0..self.entries.len()) }
    }

    fn reachable_coordinator(&self, team: u64, entry: usize, now: u64) -> Option<usize> {
        let score = |index: &usize| rendezvous_score(team, &self.entries[*index].name);
        let coordinator = (0..self.entries.len()).max_by_key(score)?;
        let unreachable = self.is_partitioned(now) && coordinator % 2 != entry % 2;
        (!unreachable).then_some(coordinator)
    }

    fn settle(&mut self, now: u64) {
        for entry in 0..self.entries.len() {
            let due = self.entries[entry].limiter.due(UnixMillis(now));
            let mut coordinators: Vec<usize> = Vec::new();
            for (team, ask) in due {
                let index = self.teams.iter().position(|known| known.name == team).expect("the team exists");
                let coordinator = self.reachable_coordinator(ask.team, entry, now);
                let limit = self.teams[index].limit;
                let told = coordinator.map(|coordinator| {
                    self.entries[coordinator].coordinator.settle(UnixMillis(now), ask, limit)
                });
                let at = now + 2 * LATENCY_TICKS * TICK_MILLIS;
                self.replies.push(PendingReply {
                    at,
                    entry,
                    life: self.lives[entry],
                    team: index,
                    ask,
                    told,
                });
                if let Some(coordinator) = coordinator.filter(|coordinator| *coordinator != entry) {
                    self.counts.bytes += 2 * ITEM_BYTES;
                    if !coordinators.contains(&coordinator) {
                        coordinators.push(coordinator);
                    }
                }
            }
            self.counts.messages += 2 * coordinators.len() as u64;
            self.counts.bytes += 2 * CALL_BYTES * coordinators.len() as u64;
        }
    }

    fn deliver_replies(&mut self, now: u64) {
        let due: Vec<PendingReply> = self.replies.extract_if(.., |reply| reply.at <= now).collect();
        for reply in due {
            if reply.life != self.lives[reply.entry] {
                continue;
            }
            let limiter = &mut self.entries[reply.entry].limiter;
            let team = &self.teams[reply.team].name;
            match reply.told {
                Some(told) => limiter.settled(UnixMillis(now), team, reply.ask, told),
                None => limiter.coordinator_unreachable(UnixMillis(now), team),
            }
        }
    }

    fn report(&self, case: &str) -> LimitReport {
        let partition_seconds = if self.settings.partition {
            (PARTITION_END_MILLIS - PARTITION_START_MILLIS) as f64 / 1000.0
        } else {
            0.0
        };
        let seconds = self.settings.seconds as f64 - WARM_UP_MILLIS as f64 / 1000.0 - partition_seconds;
        let (mut limits, mut over_admitted, mut over_admitted_partition, mut unused) = (0.0, 0.0, 0.0, 0.0);
        for (index, team) in self.teams.iter().enumerate().filter(|(_index, team)| team.large) {
            let limit = team.limit.rate.0;
            limits += limit;
            let admitted = self.counts.admitted[index] / seconds;
            over_admitted += (admitted - limit).max(0.0);
            unused += (limit - admitted).max(0.0);
            if self.settings.partition {
                over_admitted_partition +=
                    (self.counts.admitted_partition[index] / partition_seconds - limit).max(0.0);
            }
        }
        let per_entry = (self.settings.seconds * self.entries.len() as u64) as f64;
        LimitReport {
            case: case.to_owned(),
            over_admission: ratio(over_admitted, limits),
            over_admission_cut: ratio(over_admitted_partition, limits),
            unused: ratio(unused, limits),
            refused_below_limit: ratio(self.counts.refused_small as f64, self.counts.asked_small as f64),
            messages_per_second: rounded(self.counts.messages as f64 / per_entry),
            bytes_per_second: rounded(self.counts.bytes as f64 / per_entry),
        }
    }
}

fn poisson(random: &mut Pcg64Mcg, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = random.random();
    let mut count = 0;
    while product > limit {
        count += 1;
        product *= random.random::<f64>();
    }
    count
}
