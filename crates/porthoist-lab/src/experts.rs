//! Simulates expert placement under drifting popularity and compares policies on the same steps.
//!
//! A group of ranks runs in lock-step on tokens whose experts are drawn from a drifting popularity.
//! All policies have the same ranks, slots, lag and costs.

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

/// Settings of the simulation. docs/measurements/EXPERTS.md gives their origin.
#[derive(Debug, Clone, bon::Builder)]
pub struct ExpertsSettings {
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Number of experts in the layer.
    #[builder(default = 128)]
    pub experts: usize,
    /// Expert slots per rank.
    pub slots: usize,
    /// Seed of the random generator.
    pub seed: u64,
    /// Duration in simulated seconds.
    #[builder(default = 1800)]
    pub seconds: u64,
    /// Delay in milliseconds after which popularity is known.
    #[builder(default = 1000)]
    pub lag_millis: u64,
    /// Size of one expert in bytes.
    #[builder(default = 44_000_000)]
    pub expert_bytes: u64,
    /// Bytes per second that the group can load from the weight store.
    #[builder(default = 2_000_000_000)]
    pub store_bytes_per_second: u64,
    /// Stall of the whole group at a switch of the map, in milliseconds.
    #[builder(default = 2.0)]
    pub switch_stall_millis: f64,
    /// Additional stall per loaded expert, in milliseconds.
    #[builder(default = 0.5)]
    pub load_stall_millis: f64,
    /// Drift of popularity and rank speeds.
    #[builder(default)]
    pub drift: DriftSettings,
}

/// Simulation step in milliseconds.
pub const TICK_MILLIS: u64 = 100;
/// Simulated steps per tick.
const STEPS_PER_TICK: usize = 2;
/// Step time of a perfectly balanced, healthy group, in milliseconds.
pub const STEP_MILLIS: f64 = 4.5;
/// Fraction of a step that expert work takes at perfect balance. The rest does not depend on the
/// map.
const EXPERT_FRACTION: f64 = 0.5;
/// Tokens per step times experts per token.
pub const STEP_TOKENS: f64 = 32_768.0;

/// Result of one policy.
#[derive(Debug, Clone, Default)]
pub struct PolicyResult {
    skew: Distribution,
    step_time: Distribution,
    bytes_moved: u64,
    stall_millis: f64,
    switches: u64,
    /// Start in seconds and mean skew in milliseconds of each interval of ten seconds, for the
    /// plot.
    pub skew_over_time: Vec<(f64, f64)>,
}

/// Report row of one policy.
#[derive(Debug, Clone, Serialize)]
pub struct PolicyReport {
    /// Median skew in milliseconds: the slowest rank's time beyond the mean.
    pub skew_p50: f64,
    /// 99th percentile of the skew in milliseconds.
    pub skew_p99: f64,
    /// 99th percentile of the step time in milliseconds, without stalls.
    pub step_time_p99: f64,
    /// Bytes loaded from the weight store.
    pub bytes_moved: u64,
    /// Total stall of the whole group, in milliseconds.
    pub stall_ms: f64,
    /// Number of map switches that loaded experts.
    pub switches: u64,
    /// Each value relative to that of the static map.
    pub ratio_static: BTreeMap<&'static str, f64>,
    /// Each value relative to that of the full re-balance.
    pub ratio_full: BTreeMap<&'static str, f64>,
    /// Fraction of the gap in p99 skew between the static map and the oracle that is closed.
    pub gap_closed_p99: f64,
}

impl PolicyResult {
    fn values(&self) -> [(&'static str, f64); 5] {
        [
            ("skew_p50", self.skew.value_at(0.5)),
            ("skew_p99", self.skew.value_at(0.99)),
            ("step_time_p99", self.step_time.value_at(0.99)),
            ("bytes_moved", self.bytes_moved as f64),
            ("stall_ms", self.stall_millis),
        ]
    }

    fn report(&self, static_result: &Self, full_result: &Self, oracle_result: &Self) -> PolicyReport {
        let ratios = |base: &Self| {
            let pairs = self.values().into_iter().zip(base.values());
            pairs.map(|((key, value), (_key, base_value))| (key, ratio(value, base_value))).collect()
        };
        let gap = static_result.skew.value_at(0.99) - oracle_result.skew.value_at(0.99);
        PolicyReport {
            skew_p50: rounded(self.skew.value_at(0.5)),
            skew_p99: rounded(self.skew.value_at(0.99)),
            step_time_p99: rounded(self.step_time.value_at(0.99)),
            bytes_moved: self.bytes_moved,
            stall_ms: rounded(self.stall_millis),
            switches: self.switches,
            ratio_static: ratios(static_result),
            ratio_full: ratios(full_result),
            gap_closed_p99: ratio(static_result.skew.value_at(0.99) - self.skew.value_at(0.99), gap),
        }
    }
}

/// Policy rows of the two users' profiles.
pub fn profiles() -> [(&'static str, PolicyRow); 2] {
    [
        ("rambursa", PolicyRow { skew_weight: 4.0, move_weight: 1.0, map: 0 }),
        ("sneznik", PolicyRow { skew_weight: 1.0, move_weight: 8.0, map: 0 }),
    ]
}

/// Simulates all policies with the same drift and returns their results by name.
pub fn run(settings: &ExpertsSettings) -> BTreeMap<String, PolicyResult> {
    let mut drift = DriftModel::new(settings);
    let initial = drift.actual();
    let map = place_from_scratch(&initial, settings.ranks, settings.slots);
    let mut policies = create_policies(settings, &initial, &map);
    let ticks = settings.seconds * 1000 / TICK_MILLIS;
    for tick in 0..ticks {
        let now = tick * TICK_MILLIS;
        drift.advance(now);
        let actual = drift.actual();
        for (_name, policy) in &mut policies {
            policy.advance(now, &actual, drift.observed());
        }
        for _ in 0..STEPS_PER_TICK {
            let step = drift.step();
            for (_name, policy) in &mut policies {
                policy.record_step(now, &step);
            }
        }
    }
    policies.into_iter().map(|(name, policy)| (name, policy.finish())).collect()
}

fn create_policies(
    settings: &ExpertsSettings,
    initial: &GroupEstimate,
    map: &ExpertMap,
) -> Vec<(String, GroupPolicy)> {
    let create = |kind| GroupPolicy::new(kind, settings, initial, map.clone());
    let mut all = vec![
        ("static".to_owned(), create(PolicyKind::Static)),
        ("full".to_owned(), create(PolicyKind::Full)),
        ("oracle".to_owned(), create(PolicyKind::Oracle)),
    ];
    for (name, row) in profiles() {
        all.push((name.to_owned(), create(PolicyKind::Porthoist(row))));
    }
    all
}

/// Creates the report of a run, with one row per policy.
pub fn report(results: &BTreeMap<String, PolicyResult>) -> BTreeMap<String, PolicyReport> {
    let (static_result, full_result, oracle_result) =
        (&results["static"], &results["full"], &results["oracle"]);
    let row = |(name, result): (&String, &PolicyResult)| {
        (name.clone(), result.report(static_result, full_result, oracle_result))
    };
    results.iter().map(row).collect()
}

impl PolicyResult {
    /// Records one step on a map.
    pub(crate) fn record_step(&mut self, now: u64, map: &ExpertMap, step: &GroupEstimate) {
        let expert_millis = STEP_MILLIS * EXPERT_FRACTION * map.ranks() as f64;
        let times: Vec<f64> = rank_times(map, step).into_iter().map(|time| time * expert_millis).collect();
        let slowest = times.iter().copied().fold(0.0, f64::max);
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        let skew = slowest - mean;
        self.skew.add(skew);
        self.step_time.add(STEP_MILLIS * (1.0 - EXPERT_FRACTION) + slowest);
        let bin = (now / 10_000) as usize;
        if self.skew_over_time.len() <= bin {
            self.skew_over_time.resize(bin + 1, (0.0, 0.0));
        }
        let steps = (10_000 / TICK_MILLIS) as f64 * STEPS_PER_TICK as f64;
        self.skew_over_time[bin].0 = bin as f64 * 10.0;
        self.skew_over_time[bin].1 += skew / steps;
    }

    /// Records a map switch that loaded experts.
    pub(crate) fn record_switch(&mut self, settings: &ExpertsSettings, loads: usize) {
        self.switches += 1;
        self.bytes_moved += loads as u64 * settings.expert_bytes;
        self.stall_millis += settings.switch_stall_millis + settings.load_stall_millis * loads as f64;
    }
}
