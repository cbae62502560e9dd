//! Limits under skewed entries, a cut and replaced entries, with the daemon's own limiter and coordinator.

use crate::report::{ratio, rounded};
use porthoist_core::{RequestRate, TeamName, UnixMillis};
use porthoist_policy::limits::coordinator::{LimitCoordinator, SettleAsk, SettleTold};
use porthoist_policy::limits::{EntryLimiter, TeamLimit};
use porthoist_policy::membership::rendezvous_score;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Settings of the experiment.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct LimitSettings {
    /// Seed.
    pub seed: u64,
    /// Teams; one in ten is large and asks for more than its limit.
    pub teams: usize,
    /// Entries in the zone.
    pub entries: usize,
    /// Requests a second asked for by all teams in the zone.
    pub rate: f64,
    /// Part of a large team's requests that come to one entry; the rest is spread evenly.
    pub skew: f64,
    /// Simulated seconds.
    #[builder(default = 60)]
    pub seconds: u64,
    /// Whether two groups of entries can't hear each other for ten seconds.
    #[builder(default = false)]
    pub cut: bool,
    /// Whether one entry is replaced every five seconds.
    #[builder(default = false)]
    pub replace: bool,
}

/// What came of it.
#[derive(Debug, Clone, Serialize)]
pub struct LimitReport {
    /// What the case is.
    pub case: String,
    /// Requests of limited teams admitted beyond the limit, as a part of the limit; outside the cut.
    pub over_admission: f64,
    /// The same during the cut.
    pub over_admission_cut: f64,
    /// Part of a limit that was left unused although more was asked for; outside the cut.
    pub unused: f64,
    /// Part of the requests of teams below their limits that were refused.
    pub refused_below_limit: f64,
    /// Settlement messages a second for each entry, asked and answered.
    pub messages_per_second: f64,
    /// Their bytes a second for each entry, sent and received.
    pub bytes_per_second: f64,
}

/// Bytes of a settlement call and its answer beside their lists: TCP, capnp-rpc and message headers.
const CALL_BYTES: u64 = 240;
/// Bytes of one ask and one answer in the lists.
const ITEM_BYTES: u64 = 48;
/// One tick in milliseconds.
const TICK_MILLIS: u64 = 20;
/// One way between entries, in ticks.
const LATENCY_TICKS: u64 = 1;
const CUT_FROM: u64 = 25_000;
const CUT_UNTIL: u64 = 35_000;
const REPLACE_MILLIS: u64 = 5000;
/// Teams are measured after so long.
const WARM_MILLIS: u64 = 5000;
/// Large teams ask for so many times their limit.
const EXCESS: f64 = 1.5;

struct SimTeam {
    name: TeamName,
    limit: TeamLimit,
    rate: f64,
    large: bool,
    home: usize,
}

struct SimEntry {
    name: String,
    limiter: EntryLimiter,
    coordinator: LimitCoordinator,
}

struct Reply {
    at: u64,
    entry: usize,
    life: u32,
    team: usize,
    ask: SettleAsk,
    told: Option<SettleTold>,
}

#[derive(Default)]
struct Counts {
    admitted: Vec<f64>,
    refused_small: u64,
    asked_small: u64,
    admitted_cut: Vec<f64>,
    messages: u64,
    bytes: u64,
}

struct LimitSimulation {
    settings: LimitSettings,
    random: Pcg64Mcg,
    teams: Vec<SimTeam>,
    entries: Vec<SimEntry>,
    lives: Vec<u32>,
    replies: Vec<Reply>,
    counts: Counts,
}

fn new_entry(index: usize, life: u32, entries: usize) -> SimEntry {
    SimEntry {
        name: format!("entry-{index}-{life}"),
        limiter: EntryLimiter::new(entries as u32),
        coordinator: LimitCoordinator::new(),
    }
}

fn make_teams(settings: &LimitSettings, random: &mut Pcg64Mcg) -> Vec<SimTeam> {
    let large_count = (settings.teams / 10).clamp(1, 20);
    let small_count = settings.teams - large_count;
    let mut teams = Vec::with_capacity(settings.teams);
    for index in 0..settings.teams {
        let large = index < large_count;
        // Large teams ask for half of all requests; the small ones stay at a fifth of their limits.
        let rate = settings.rate * 0.5 / if large { large_count as f64 } else { small_count as f64 };
        let limit = if large { rate / EXCESS } else { (rate * 5.0).max(1.0) };
        teams.push(SimTeam {
            name: format!("team-{index}").parse().expect("valid"),
            limit: TeamLimit { rate: RequestRate(limit), concurrency: u32::MAX },
            rate,
            large,
            home: random.random_range(0..settings.entries),
        });
    }
    teams
}

/// Runs one case.
pub fn run(settings: &LimitSettings, case: &str) -> LimitReport {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let teams = make_teams(settings, &mut random);
    let counts = Counts {
        admitted: vec![0.0; teams.len()],
        admitted_cut: vec![0.0; teams.len()],
        ..Counts::default()
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
    fn cut(&self, now: u64) -> bool {
        self.settings.cut && (CUT_FROM..CUT_UNTIL).contains(&now)
    }

    fn tick(&mut self, now: u64) {
        if self.settings.replace && now > 0 && now.is_multiple_of(REPLACE_MILLIS) {
            self.replace(now);
        }
        self.arrivals(now);
        self.deliver(now);
        self.settle(now);
    }

    fn replace(&mut self, now: u64) {
        let index = (now / REPLACE_MILLIS) as usize % self.entries.len();
        self.lives[index] += 1;
        self.entries[index] = new_entry(index, self.lives[index], self.entries.len());
    }

    fn arrivals(&mut self, now: u64) {
        let cut = self.cut(now);
        let counted = now >= WARM_MILLIS;
        for index in 0..self.teams.len() {
            let mean = self.teams[index].rate * TICK_MILLIS as f64 / 1000.0;
            let count = poisson(&mut self.random, mean);
            for _ in 0..count {
                let entry = self.arriving_entry(index);
                let team = &self.teams[index];
                let admitted =
                    self.entries[entry].limiter.admit(UnixMillis(now), &team.name, team.limit).is_ok();
                if admitted {
                    self.entries[entry].limiter.release(&team.name);
                }
                if !counted {
                    continue;
                }
                if team.large {
                    let kept = if cut { &mut self.counts.admitted_cut } else { &mut self.counts.admitted };
                    kept[index] += f64::from(u8::from(admitted));
                } else {
                    self.counts.asked_small += 1;
                    self.counts.refused_small += u64::from(!admitted);
                }
            }
        }
    }

    fn arriving_entry(&mut self, team: usize) -> usize {
        let skewed = self.teams[team].large && self.random.random_bool(self.settings.skew);
        if skewed { self.teams[team].home } else { self.random.random_range(0..self.entries.len()) }
    }

    fn coordinator_of(&self, team: u64, asking: usize, now: u64) -> Option<usize> {
        let score = |index: &usize| rendezvous_score(team, &self.entries[*index].name);
        let coordinator = (0..self.entries.len()).max_by_key(score)?;
        let apart = self.cut(now) && coordinator % 2 != asking % 2;
        (!apart).then_some(coordinator)
    }

    fn settle(&mut self, now: u64) {
        for entry in 0..self.entries.len() {
            let due = self.entries[entry].limiter.due(UnixMillis(now));
            let mut coordinators: Vec<usize> = Vec::new();
            for (team, ask) in due {
                let index = self.teams.iter().position(|known| known.name == team).expect("the team exists");
                let coordinator = self.coordinator_of(ask.team, entry, now);
                let limit = self.teams[index].limit;
                let told = coordinator.map(|coordinator| {
                    self.entries[coordinator].coordinator.settle(UnixMillis(now), ask, limit)
                });
                let at = now + 2 * LATENCY_TICKS * TICK_MILLIS;
                self.replies.push(Reply { at, entry, life: self.lives[entry], team: index, ask, told });
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

    fn deliver(&mut self, now: u64) {
        let due: Vec<Reply> = self.replies.extract_if(.., |reply| reply.at <= now).collect();
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
        let cut_seconds = if self.settings.cut { (CUT_UNTIL - CUT_FROM) as f64 / 1000.0 } else { 0.0 };
        let seconds = self.settings.seconds as f64 - WARM_MILLIS as f64 / 1000.0 - cut_seconds;
        let (mut limits, mut over, mut over_cut, mut unused) = (0.0, 0.0, 0.0, 0.0);
        for (index, team) in self.teams.iter().enumerate().filter(|(_index, team)| team.large) {
            let limit = team.limit.rate.0;
            limits += limit;
            let admitted = self.counts.admitted[index] / seconds;
            over += (admitted - limit).max(0.0);
            unused += (limit - admitted).max(0.0);
            if self.settings.cut {
                over_cut += (self.counts.admitted_cut[index] / cut_seconds - limit).max(0.0);
            }
        }
        let per_entry = (self.settings.seconds * self.entries.len() as u64) as f64;
        LimitReport {
            case: case.to_owned(),
            over_admission: ratio(over, limits),
            over_admission_cut: ratio(over_cut, limits),
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
