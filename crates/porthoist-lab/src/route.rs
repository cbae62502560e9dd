//! Simulates routing with delayed load reports and compares policies on the same arrivals.
//!
//! Targets are small queueing models around the daemon's own admission queue. The `porthoist`
//! policy is the daemon's own router, retry budget and hedge policy, with one instance per entry.

pub mod chooser;
pub mod engine;
pub mod simulation;
pub mod workload;

use crate::report::{Distribution, ratio, rounded};
use serde::Serialize;
use std::collections::BTreeMap;

/// Settings of the simulation. docs/measurements/ROUTING.md gives their origin.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct RouteSettings {
    /// Seed of the random generators.
    pub seed: u64,
    /// Number of targets, spread over three zones.
    #[builder(default = 12)]
    pub targets: usize,
    /// Number of independent entries.
    #[builder(default = 3)]
    pub entries: usize,
    /// Duration in simulated seconds.
    #[builder(default = 120)]
    pub seconds: u64,
    /// Contract: time in milliseconds within which the first token is due.
    #[builder(default = 1400)]
    pub contract_millis: u64,
    /// Minimum delay of a report or cache event in milliseconds.
    #[builder(default = 200)]
    pub min_lag_millis: u64,
    /// Maximum delay of a report or cache event in milliseconds.
    #[builder(default = 2000)]
    pub max_lag_millis: u64,
    /// Fraction of cache events that are lost.
    #[builder(default = 0.1)]
    pub lost_events: f64,
    /// Factor by which the straggling target is slower.
    #[builder(default = 1.6)]
    pub straggler: f64,
    /// Whether one target crashes halfway through the run and is down for ten seconds.
    #[builder(default = true)]
    pub target_crash: bool,
    /// Whether all targets of a zone crash halfway through the run and are down for ten seconds.
    #[builder(default = false)]
    pub zone_outage: bool,
}

/// Result of one policy at one load.
#[derive(Debug, Clone, Default)]
pub struct RouteResult {
    /// Time to first token of answered requests, in milliseconds.
    pub first_token: Distribution,
    /// Time from arrival to the final refusal, in milliseconds.
    pub refusal_time: Distribution,
    /// Number of requests that arrived.
    pub asked: u64,
    /// Number of requests answered within the contract.
    pub in_contract: u64,
    /// Number of requests answered.
    pub answered: u64,
    /// Number of requests finally refused.
    pub refused: u64,
    /// Number of attempts after a refusal or a lost connection.
    pub retries: u64,
    /// Number of hedges: second attempts that run beside a slow first one.
    pub hedges: u64,
    /// Number of offers sent.
    pub attempts: u64,
    /// For each second, the number of requests that arrived and how many of them were not answered
    /// within the contract.
    pub seconds: Vec<(u64, u64)>,
    /// Requests that arrived and offers sent during the zone outage.
    pub outage: (u64, u64),
    /// Prompt tokens of all offers that reached a running target.
    pub prompt_tokens: u64,
    /// Prompt tokens of these offers that were found in a cache.
    pub cached_tokens: u64,
}

/// One row of the report.
#[derive(Debug, Clone, Serialize)]
pub struct RouteReport {
    /// Median time to first token in milliseconds.
    pub first_token_p50: f64,
    /// 95th percentile of the time to first token in milliseconds.
    pub first_token_p95: f64,
    /// 99th percentile of the time to first token in milliseconds.
    pub first_token_p99: f64,
    /// Fraction of requests not answered within the contract.
    pub contract_misses: f64,
    /// Fraction of prompt tokens that were cached.
    pub hit_rate: f64,
    /// Fraction of requests refused.
    pub refused: f64,
    /// Retries per request.
    pub retries: f64,
    /// Hedges per request.
    pub hedges: f64,
    /// Rate of answers within the contract, as a fraction of capacity.
    pub goodput: f64,
    /// 99th percentile of the time to a refusal in milliseconds.
    pub refusal_p99: f64,
    /// p99 time to first token relative to the omniscient policy's.
    pub ratio_omniscient: f64,
}

impl RouteResult {
    fn report(&self, capacity: f64, seconds: f64, omniscient: &Self) -> RouteReport {
        let asked = self.asked as f64;
        let p99 = self.first_token.value_at(0.99);
        RouteReport {
            first_token_p50: rounded(self.first_token.value_at(0.5)),
            first_token_p95: rounded(self.first_token.value_at(0.95)),
            first_token_p99: rounded(p99),
            contract_misses: ratio(asked - self.in_contract as f64, asked),
            hit_rate: ratio(self.cached_tokens as f64, self.prompt_tokens as f64),
            refused: ratio(self.refused as f64, asked),
            retries: ratio(self.retries as f64, asked),
            hedges: ratio(self.hedges as f64, asked),
            goodput: ratio(self.in_contract as f64 / seconds, capacity),
            refusal_p99: rounded(self.refusal_time.value_at(0.99)),
            ratio_omniscient: ratio(p99, omniscient.first_token.value_at(0.99)),
        }
    }
}

/// Policies in report order. The last two are the upper bound and porthoist's own.
pub const POLICIES: [&str; 6] =
    ["random", "round_robin", "least_reported", "two_choices", "omniscient", "porthoist"];

/// Requests per second at which the omniscient policy still answers 99% of the requests within the
/// contract.
pub fn capacity(settings: &RouteSettings) -> f64 {
    let steady = RouteSettings { target_crash: false, seconds: 40, ..*settings };
    let (mut low, mut high) = (0.0, settings.targets as f64 * MAX_RATE_PER_TARGET);
    for _ in 0..CAPACITY_BISECTIONS {
        let rate = f64::midpoint(low, high);
        let result = simulation::run(&steady, "omniscient", rate);
        let sustained = result.in_contract as f64 >= 0.99 * result.asked as f64;
        if sustained { low = rate } else { high = rate }
    }
    low
}

fn measured_seconds(settings: &RouteSettings) -> f64 {
    settings.seconds as f64 * (1.0 - 1.0 / simulation::WARM_UP_DIVISOR as f64)
}

/// Upper bound of the capacity search, in requests per second and target. It is far above the
/// capacity.
const MAX_RATE_PER_TARGET: f64 = 60.0;
/// Number of bisection steps of the capacity search.
const CAPACITY_BISECTIONS: usize = 9;

/// Simulates all policies at a load, given as a fraction of capacity.
pub fn compare(settings: &RouteSettings, capacity: f64, load: f64) -> BTreeMap<&'static str, RouteReport> {
    let run = |policy: &&'static str| (*policy, simulation::run(settings, policy, capacity * load));
    let results: BTreeMap<&str, RouteResult> = POLICIES.iter().map(run).collect();
    let omniscient = &results["omniscient"];
    let report = |(name, result): (&&'static str, &RouteResult)| {
        (*name, result.report(capacity, measured_seconds(settings), omniscient))
    };
    results.iter().map(report).collect()
}
