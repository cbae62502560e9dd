//! Expert placement under drifting popularity: policies side by side on the same steps.
//!
//! A group of ranks runs in lock-step on tokens whose experts are drawn from a drifting popularity; each policy has
//! the same ranks, slots, lag and costs.

pub mod drift;
pub mod policy;

use crate::report::{Distribution, ratio, rounded};
use drift::{DriftModel, DriftSettings};
use policy::{GroupPolicy, PolicyKind};
use porthoist_policy::placement::map::ExpertMap;
use porthoist_policy::placement::shares::rank_times;
use porthoist_policy::placement::{GroupEstimate, place_from_scratch};
use porthoist_policy::table::PolicyRow;
use serde::Serialize;
use std::collections::BTreeMap;

/// Settings of the experiment; the page docs/measurements/EXPERTS.md says where they come from.
#[derive(Debug, Clone, bon::Builder)]
pub struct ExpertsSettings {
    /// Ranks in the group.
    pub ranks: usize,
    /// Experts in the layer.
    #[builder(default = 128)]
    pub experts: usize,
    /// Expert slots of each rank.
    pub slots: usize,
    /// Seed.
    pub seed: u64,
    /// Simulated seconds.
    #[builder(default = 1800)]
    pub seconds: u64,
    /// Popularity is known so late, in milliseconds.
    #[builder(default = 1000)]
    pub lag_millis: u64,
    /// Bytes of one expert.
    #[builder(default = 44_000_000)]
    pub expert_bytes: u64,
    /// Bytes a second that the weight store gives to the group.
    #[builder(default = 2_000_000_000)]
    pub store_rate: u64,
    /// Stall of the whole group at a switch, in milliseconds.
    #[builder(default = 2.0)]
    pub switch_stall: f64,
    /// Stall for each expert loaded, in milliseconds.
    #[builder(default = 0.5)]
    pub load_stall: f64,
    /// Drift of popularity and speed.
    #[builder(default)]
    pub drift: DriftSettings,
}

/// Time between two looks at the group, in milliseconds.
pub const TICK_MILLIS: u64 = 100;
/// Steps looked at in each tick.
const STEPS_PER_TICK: usize = 2;
/// Time of a step of a perfectly balanced, healthy group, in milliseconds.
pub const STEP_MILLIS: f64 = 4.5;
/// Part of a step that expert work takes at perfect balance; the rest does not depend on the map.
const EXPERT_PART: f64 = 0.5;
/// Tokens of a step times the experts that each goes to.
pub const STEP_TOKENS: f64 = 32_768.0;

/// What one policy came to.
#[derive(Debug, Clone, Default)]
pub struct PolicyResult {
    skew: Distribution,
    step_time: Distribution,
    bytes_moved: u64,
    stall_millis: f64,
    switches: u64,
    /// Mean skew in each ten seconds, for the plot.
    pub course: Vec<(f64, f64)>,
}

/// One policy's row of the report.
#[derive(Debug, Clone, Serialize)]
pub struct PolicyReport {
    /// Skew at the median: the slowest rank's time beyond the mean, in milliseconds.
    pub skew_p50: f64,
    /// The same at the 99th percentile.
    pub skew_p99: f64,
    /// Step time at the 99th percentile, in milliseconds, stalls left out.
    pub step_time_p99: f64,
    /// Bytes loaded from the weight store.
    pub bytes_moved: u64,
    /// Stalls of the whole group, in milliseconds.
    pub stall_ms: f64,
    /// Switches of the map with loads.
    pub switches: u64,
    /// Part of the static map's value, for each key.
    pub ratio_static: BTreeMap<&'static str, f64>,
    /// Part of the full re-balance's value, for each key.
    pub ratio_full: BTreeMap<&'static str, f64>,
    /// Part of the gap between the static map and the oracle that is closed, in p99 skew.
    pub gap_closed_p99: f64,
}

impl PolicyResult {
    fn values(&self) -> [(&'static str, f64); 5] {
        [
            ("skew_p50", self.skew.at(0.5)),
            ("skew_p99", self.skew.at(0.99)),
            ("step_time_p99", self.step_time.at(0.99)),
            ("bytes_moved", self.bytes_moved as f64),
            ("stall_ms", self.stall_millis),
        ]
    }

    fn report(&self, of_static: &Self, of_full: &Self, of_oracle: &Self) -> PolicyReport {
        let ratios = |base: &Self| {
            let pairs = self.values().into_iter().zip(base.values());
            pairs.map(|((key, own), (_key, other))| (key, ratio(own, other))).collect()
        };
        let gap = of_static.skew.at(0.99) - of_oracle.skew.at(0.99);
        PolicyReport {
            skew_p50: rounded(self.skew.at(0.5)),
            skew_p99: rounded(self.skew.at(0.99)),
            step_time_p99: rounded(self.step_time.at(0.99)),
            bytes_moved: self.bytes_moved,
            stall_ms: rounded(self.stall_millis),
            switches: self.switches,
            ratio_static: ratios(of_static),
            ratio_full: ratios(of_full),
            gap_closed_p99: ratio(of_static.skew.at(0.99) - self.skew.at(0.99), gap),
        }
    }
}

/// The policy rows of the two users' profiles.
pub fn profiles() -> [(&'static str, PolicyRow); 2] {
    [
        ("rambursa", PolicyRow { skew_weight: 4.0, move_weight: 1.0, map: 0 }),
        ("sneznik", PolicyRow { skew_weight: 1.0, move_weight: 8.0, map: 0 }),
    ]
}

/// Runs all policies on the same drift and returns their results by name.
pub fn run(settings: &ExpertsSettings) -> BTreeMap<String, PolicyResult> {
    let mut drift = DriftModel::new(settings);
    let initial = drift.truth();
    let map = place_from_scratch(&initial, settings.ranks, settings.slots);
    let mut policies = contestants(settings, &initial, &map);
    let ticks = settings.seconds * 1000 / TICK_MILLIS;
    for tick in 0..ticks {
        let now = tick * TICK_MILLIS;
        drift.advance(now);
        let truth = drift.truth();
        for (_name, policy) in &mut policies {
            policy.advance(now, &truth, drift.observed());
        }
        for _ in 0..STEPS_PER_TICK {
            let step = drift.step();
            for (_name, policy) in &mut policies {
                policy.step(now, &step);
            }
        }
    }
    policies.into_iter().map(|(name, policy)| (name, policy.finish())).collect()
}

fn contestants(
    settings: &ExpertsSettings,
    initial: &GroupEstimate,
    map: &ExpertMap,
) -> Vec<(String, GroupPolicy)> {
    let make = |kind| GroupPolicy::new(kind, settings, initial, map.clone());
    let mut all = vec![
        ("static".to_owned(), make(PolicyKind::Static)),
        ("full".to_owned(), make(PolicyKind::Full)),
        ("oracle".to_owned(), make(PolicyKind::Oracle)),
    ];
    for (name, row) in profiles() {
        all.push((name.to_owned(), make(PolicyKind::Porthoist(row))));
    }
    all
}

/// The report of a run: a row for each policy.
pub fn report(results: &BTreeMap<String, PolicyResult>) -> BTreeMap<String, PolicyReport> {
    let (of_static, of_full, of_oracle) = (&results["static"], &results["full"], &results["oracle"]);
    let row = |(name, result): (&String, &PolicyResult)| {
        (name.clone(), result.report(of_static, of_full, of_oracle))
    };
    results.iter().map(row).collect()
}

impl PolicyResult {
    /// Takes one step on a map.
    pub(crate) fn step(&mut self, now: u64, map: &ExpertMap, step: &GroupEstimate) {
        let healthy = STEP_MILLIS * EXPERT_PART * map.ranks() as f64;
        let times: Vec<f64> = rank_times(map, step).into_iter().map(|time| time * healthy).collect();
        let slowest = times.iter().copied().fold(0.0, f64::max);
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        let skew = slowest - mean;
        self.skew.add(skew);
        self.step_time.add(STEP_MILLIS * (1.0 - EXPERT_PART) + slowest);
        let bin = (now / 10_000) as usize;
        if self.course.len() <= bin {
            self.course.resize(bin + 1, (0.0, 0.0));
        }
        let steps = (10_000 / TICK_MILLIS) as f64 * STEPS_PER_TICK as f64;
        self.course[bin].0 = bin as f64 * 10.0;
        self.course[bin].1 += skew / steps;
    }

    /// Takes a switch of the map that loaded experts.
    pub(crate) fn switched(&mut self, settings: &ExpertsSettings, loads: usize) {
        self.switches += 1;
        self.bytes_moved += loads as u64 * settings.expert_bytes;
        self.stall_millis += settings.switch_stall + settings.load_stall * loads as f64;
    }
}
