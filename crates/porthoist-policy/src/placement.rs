//! Placement of experts on the ranks of a group: which rank holds which expert, and how tokens are shared.
//!
//! The planner changes the map in force by a few replicas, and only if the step time saved over a horizon is worth more
//! than the bytes moved. Changing the shares between replicas costs nothing.

pub mod copy_times;
pub mod demand;
pub mod equal_shares;
pub mod estimate;
pub mod map;
pub mod shares;

use crate::table::PolicyRow;
use map::{ExpertId, ExpertMap, RankId};
use serde::{Deserialize, Serialize};
use shares::{balance_shares, rank_times};

/// Estimates of the group's demand and speed; they lag behind the actual values.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupEstimate {
    /// Share of all tokens that go to each expert; sums to 1.
    pub popularity: Vec<f64>,
    /// Speed of each rank relative to a healthy one.
    pub speed: Vec<f64>,
}

/// A replica loaded onto a rank in place of another expert's replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMove {
    /// The expert to load.
    pub expert: ExpertId,
    /// The rank to load it on.
    pub rank: RankId,
    /// The expert whose replica is replaced.
    pub evict: ExpertId,
}

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct PlannerSettings {
    /// Weight of step-time skew, from the policy row.
    pub skew_weight: f64,
    /// Weight of moved bytes and stalls, from the policy row.
    pub move_weight: f64,
    /// Maximum number of moves in a plan.
    #[builder(default = 12)]
    pub max_moves: usize,
    /// Minimum gain of a move, as a fraction of the mean rank time.
    #[builder(default = 0.01)]
    pub min_gain: f64,
}

impl PlannerSettings {
    /// Reads the settings from the policy row in force.
    pub fn from_row(row: &PolicyRow) -> Self {
        Self::builder().skew_weight(row.skew_weight).move_weight(row.move_weight).build()
    }
}

/// Result of planning.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPlan {
    /// Replicas to load, in this order.
    pub moves: Vec<ExpertMove>,
    /// The map after the moves, including its shares.
    pub map: ExpertMap,
    /// Predicted time of the slowest rank before the moves, relative to a perfect balance.
    pub peak_before: f64,
    /// Predicted time of the slowest rank after the moves, relative to a perfect balance.
    pub peak_after: f64,
}

/// Number of experts considered on the slowest rank.
const HOT_EXPERTS: usize = 4;
/// Number of ranks considered as destinations.
const COOL_RANKS: usize = 6;

/// Adapts the shares to the estimate without moving an expert.
pub fn reshare(map: &ExpertMap, estimate: &GroupEstimate) -> ExpertMap {
    let mut shared = map.clone();
    balance_shares(&mut shared, estimate);
    shared
}

/// Plans the next map from the one in force.
pub fn plan(map: &ExpertMap, estimate: &GroupEstimate, settings: &PlannerSettings) -> PlacementPlan {
    let mut best = reshare(map, estimate);
    let peak_before = peak(&best, estimate);
    let mut current_peak = peak_before;
    let mut moves = Vec::new();
    while moves.len() < settings.max_moves {
        let Some((next_move, next, peak_next)) = best_move(&best, estimate) else { break };
        let gain = current_peak - peak_next;
        if gain * settings.skew_weight < settings.min_gain.max(settings.move_weight * MOVE_PRICE) {
            break;
        }
        moves.push(next_move);
        best = next;
        current_peak = peak_next;
    }
    PlacementPlan { moves, map: best, peak_before, peak_after: current_peak }
}

/// Minimum gain of a move at equal weights, as a fraction of the mean rank time. A move costs about 44 MB and 2 ms;
/// against steps of 4.5 ms over a horizon of half a minute, that equals 0.2% of the time.
pub const MOVE_PRICE: f64 = 0.002;

/// Returns the slowest rank's predicted time relative to a perfect balance.
pub fn peak(map: &ExpertMap, estimate: &GroupEstimate) -> f64 {
    let times = rank_times(map, estimate);
    let total_speed: f64 = estimate.speed.iter().sum();
    times.iter().copied().fold(0.0, f64::max) * total_speed
}

fn best_move(map: &ExpertMap, estimate: &GroupEstimate) -> Option<(ExpertMove, ExpertMap, f64)> {
    let times = rank_times(map, estimate);
    let hottest = (0..times.len()).max_by(|left, right| times[*left].total_cmp(&times[*right]))?;
    let mut coolest: Vec<usize> = (0..times.len()).filter(|rank| *rank != hottest).collect();
    coolest.sort_by(|left, right| times[*left].total_cmp(&times[*right]));
    coolest.truncate(COOL_RANKS);
    let mut best: Option<(ExpertMove, ExpertMap, f64)> = None;
    for expert in hot_experts(map, estimate, RankId(hottest as u16)) {
        for rank in coolest.iter().map(|rank| RankId(*rank as u16)) {
            if map.holds(rank, expert) {
                continue;
            }
            let Some(evict) = cheapest_eviction(map, estimate, rank) else { continue };
            let mut next = map.clone();
            next.replace(rank, evict, expert);
            balance_shares(&mut next, estimate);
            let peak_next = peak(&next, estimate);
            if best.as_ref().is_none_or(|(_move, _map, peak)| peak_next < *peak) {
                best = Some((ExpertMove { expert, rank, evict }, next, peak_next));
            }
        }
    }
    best
}

/// Returns the experts with the largest load on a rank.
fn hot_experts(map: &ExpertMap, estimate: &GroupEstimate, rank: RankId) -> Vec<ExpertId> {
    let mut held: Vec<ExpertId> = map.held(rank).to_vec();
    let weight = |expert: &ExpertId| map.share(*expert, rank) * estimate.popularity[usize::from(expert.0)];
    held.sort_by(|left, right| weight(right).total_cmp(&weight(left)));
    held.truncate(HOT_EXPERTS);
    held
}

/// Returns the replica to evict from a rank: among experts with other replicas, the one that adds the least popularity
/// to each of those.
fn cheapest_eviction(map: &ExpertMap, estimate: &GroupEstimate, rank: RankId) -> Option<ExpertId> {
    let spare = map.held(rank).iter().copied().filter(|expert| map.replicas(*expert).len() > 1);
    let added_load = |expert: &ExpertId| {
        estimate.popularity[usize::from(expert.0)] / (map.replicas(*expert).len() - 1) as f64
    };
    spare.min_by(|left, right| added_load(left).total_cmp(&added_load(right)))
}

/// Places all experts from scratch: replicates the hottest ones, then assigns replicas by decreasing load to the least
/// loaded rank. Serves as a baseline without regard to the cost of moves.
pub fn place_from_scratch(estimate: &GroupEstimate, ranks: usize, slots: usize) -> ExpertMap {
    let experts = estimate.popularity.len();
    let mut replicas = vec![1_usize; experts];
    for _ in experts..ranks * slots {
        let load = |expert: &usize| estimate.popularity[*expert] / replicas[*expert] as f64;
        let open = (0..experts).filter(|expert| replicas[*expert] < ranks);
        let Some(hottest) = open.max_by(|left, right| load(left).total_cmp(&load(right))) else { break };
        replicas[hottest] += 1;
    }
    let mut order: Vec<(usize, f64)> = Vec::with_capacity(ranks * slots);
    for (expert, count) in replicas.iter().enumerate() {
        let load = estimate.popularity[expert] / *count as f64;
        order.extend(std::iter::repeat_n((expert, load), *count));
    }
    order.sort_by(|left, right| right.1.total_cmp(&left.1));
    let mut map = ExpertMap::empty(experts, ranks);
    let mut loads = vec![0.0; ranks];
    for (expert, load) in order {
        let id = ExpertId(expert as u16);
        let fits = |rank: &usize| {
            let rank = RankId(*rank as u16);
            map.held(rank).len() < slots && !map.holds(rank, id)
        };
        let time = |rank: &usize| (loads[*rank] + load) / estimate.speed[*rank];
        let chosen = (0..ranks).filter(fits).min_by(|left, right| time(left).total_cmp(&time(right)));
        if let Some(rank) = chosen {
            loads[rank] += load;
            map.add(RankId(rank as u16), id);
        }
    }
    map.fill_missing(slots);
    map.share_equally();
    map
}
