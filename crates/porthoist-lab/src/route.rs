//! Routing under late reports: policies side by side on the same arrivals.
//!
//! Targets are small queueing fakes around the daemon's own admission queue; `porthoist` is the daemon's own router,
//! retry budget and hedge policy, one for each entry.

pub mod chooser;
pub mod engine;
pub mod simulation;
pub mod workload;

use crate::report::{Distribution, ratio, rounded};
use serde::Serialize;
use std::collections::BTreeMap;

/// Settings of the experiment; docs/measurements/ROUTING.md says where they come from.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct RouteSettings {
    /// Seed.
    pub seed: u64,
    /// Targets, spread over three zones.
    #[builder(default = 12)]
    pub targets: usize,
    /// Independent entries.
    #[builder(default = 3)]
    pub entries: usize,
    /// Simulated seconds.
    #[builder(default = 120)]
    pub seconds: u64,
    /// First token within so many milliseconds.
    #[builder(default = 1400)]
    pub contract_millis: u64,
    /// Shortest lag of a report or cache event in milliseconds.
    #[builder(default = 200)]
    pub min_lag: u64,
    /// Longest lag.
    #[builder(default = 2000)]
    pub max_lag: u64,
    /// Part of the cache events that are lost.
    #[builder(default = 0.1)]
    pub lost_events: f64,
    /// Slowness of the straggling target.
    #[builder(default = 1.6)]
    pub straggler: f64,
    /// Whether one target dies for ten seconds in the middle.
    #[builder(default = true)]
    pub death: bool,
    /// Whether all targets of a zone die for ten seconds in the middle.
    #[builder(default = false)]
    pub zone_death: bool,
}

/// What one policy came to at one load.
#[derive(Debug, Clone, Default)]
pub struct RouteResult {
    /// Time to the first token in milliseconds, of answered requests.
    pub first_token: Distribution,
    /// Time from arrival to the final refusal in milliseconds.
    pub refusal_time: Distribution,
    /// Requests that arrived.
    pub asked: u64,
    /// Answered within the contract.
    pub in_contract: u64,
    /// Answered in all.
    pub answered: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Attempts after a refusal or a loss.
    pub retries: u64,
    /// Second attempts beside slow ones.
    pub hedges: u64,
    /// Offers sent.
    pub attempts: u64,
    /// Requests asked in each second, and those of them not answered in the contract.
    pub seconds: Vec<(u64, u64)>,
    /// Requests asked and offers sent while the zone was dead.
    pub outage: (u64, u64),
    /// Prompt tokens asked for and found in a cache.
    pub prompt_tokens: u64,
    /// Found in a cache.
    pub cached_tokens: u64,
}

/// A row of the report.
#[derive(Debug, Clone, Serialize)]
pub struct RouteReport {
    /// First token at the median, in milliseconds.
    pub first_token_p50: f64,
    /// At the 95th percentile.
    pub first_token_p95: f64,
    /// At the 99th percentile.
    pub first_token_p99: f64,
    /// Part of the requests that were not answered within the contract.
    pub contract_misses: f64,
    /// Part of the prompt tokens that were cached.
    pub hit_rate: f64,
    /// Part of the requests that were refused.
    pub refused: f64,
    /// Retries for each request.
    pub retries: f64,
    /// Hedges for each request.
    pub hedges: f64,
    /// Answers within the contract as a part of capacity.
    pub goodput: f64,
    /// Longest time to a refusal in milliseconds, at the 99th percentile.
    pub refusal_p99: f64,
    /// p99 first token as a part of the omniscient policy's.
    pub ratio_omniscient: f64,
}

impl RouteResult {
    fn report(&self, capacity: f64, seconds: f64, omniscient: &Self) -> RouteReport {
        let asked = self.asked as f64;
        let p99 = self.first_token.at(0.99);
        RouteReport {
            first_token_p50: rounded(self.first_token.at(0.5)),
            first_token_p95: rounded(self.first_token.at(0.95)),
            first_token_p99: rounded(p99),
            contract_misses: ratio(asked - self.in_contract as f64, asked),
            hit_rate: ratio(self.cached_tokens as f64, self.prompt_tokens as f64),
            refused: ratio(self.refused as f64, asked),
            retries: ratio(self.retries as f64, asked),
            hedges: ratio(self.hedges as f64, asked),
            goodput: ratio(self.in_contract as f64 / seconds, capacity),
            refusal_p99: rounded(self.refusal_time.at(0.99)),
            ratio_omniscient: ratio(p99, omniscient.first_token.at(0.99)),
        }
    }
}

/// Policies in the order of the report; the last two are the limit and ours.
pub const POLICIES: [&str; 6] =
    ["random", "round_robin", "least_reported", "two_choices", "omniscient", "porthoist"];

/// Requests a second that the omniscient policy answers with at most one in a hundred out of the contract.
pub fn capacity(settings: &RouteSettings) -> f64 {
    let steady = RouteSettings { death: false, seconds: 40, ..*settings };
    let (mut low, mut high) = (0.0, settings.targets as f64 * FLOOD_PER_TARGET);
    for _ in 0..CAPACITY_ROUNDS {
        let rate = f64::midpoint(low, high);
        let result = simulation::run(&steady, "omniscient", rate);
        let kept = result.in_contract as f64 >= 0.99 * result.asked as f64;
        if kept { low = rate } else { high = rate }
    }
    low
}

fn counted_seconds(settings: &RouteSettings) -> f64 {
    settings.seconds as f64 * (1.0 - 1.0 / simulation::WARM_PART as f64)
}

/// Requests a second for each target that are far too many.
const FLOOD_PER_TARGET: f64 = 60.0;
/// Halvings of the range in which the capacity lies.
const CAPACITY_ROUNDS: usize = 9;

/// Runs all policies at a load and reports them.
pub fn compare(settings: &RouteSettings, capacity: f64, load: f64) -> BTreeMap<&'static str, RouteReport> {
    let run = |policy: &&'static str| (*policy, simulation::run(settings, policy, capacity * load));
    let results: BTreeMap<&str, RouteResult> = POLICIES.iter().map(run).collect();
    let omniscient = &results["omniscient"];
    let report = |(name, result): (&&'static str, &RouteResult)| {
        (*name, result.report(capacity, counted_seconds(settings), omniscient))
    };
    results.iter().map(report).collect()
}
