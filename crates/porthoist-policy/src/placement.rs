//! Placement of experts on the ranks of a group: which rank holds which expert, and how its tokens are shared.
//!
//! The planner changes the map in force by the best few replicas, and only when the step time won over a horizon
//! is worth more than the bytes moved. Shares between replicas are set anew at no cost.

pub mod copying;
pub mod demand;
pub mod equal_shares;
pub mod estimate;
pub mod map;
pub mod shares;

use crate::table::PolicyRow;
use map::{ExpertId, ExpertMap, RankId};
use serde::{Deserialize, Serialize};
use shares::{balance_shares, rank_times};

/// What the planner knows of the group: estimates, late by nature.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupEstimate {
    /// Share of all tokens that goes to each expert; sums to 1.
    pub popularity: Vec<f64>,
    /// Speed of each rank relative to a healthy one.
    pub speed: Vec<f64>,
}

/// A replica that is loaded onto a rank in place of another expert's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMove {
    /// The expert to load.
    pub expert: ExpertId,
    /// Where.
    pub rank: RankId,
    /// The expert whose replica goes.
    pub evict: ExpertId,
}

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct PlannerSettings {
    /// Weight of step-time skew, from the table's policy row.
    pub skew_weight: f64,
    /// Weight of moved bytes and stalls, from the table's policy row.
    pub move_weight: f64,
    /// Moves in one plan at most.
    #[builder(default = 12)]
    pub max_moves: usize,
    /// A plan that wins less than this part of the mean rank time is not worth a switch.
    #[builder(default = 0.01)]
    pub min_gain: f64,
}

impl PlannerSettings {
    /// Settings from the policy row in force.
    pub fn from_row(row: &PolicyRow) -> Self {
        Self::builder().skew_weight(row.skew_weight).move_weight(row.move_weight).build()
    }
}

/// What to change.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPlan {
    /// Replicas to load, in order.
    pub moves: Vec<ExpertMove>,
    /// The map after the moves, with its shares.
    pub map: ExpertMap,
    /// Predicted slowest rank's time before, relative to a perfect balance.
    pub peak_before: f64,
    /// The same after.
    pub peak_after: f64,
}

/// Experts looked at on the slowest rank.
const HOT_EXPERTS: usize = 4;
/// Ranks looked at as new homes.
const COOL_RANKS: usize = 6;

/// Sets the shares for the estimate; no expert moves.
pub fn reshare(map: &ExpertMap, estimate: &GroupEstimate) -> ExpertMap {
    let mut shared = map.clone();
    balance_shares(&mut shared, estimate);
    shared
}

/// Plans the next map from the one in force.
pub fn plan(map: &ExpertMap, estimate: &GroupEstimate, settings: &PlannerSettings) -> PlacementPlan {
    let mut best = reshare(map, estimate);
    let peak_before = peak(&best, estimate);
    let mut peak_now = peak_before;
    let mut moves = Vec::new();
    while moves.len() < settings.max_moves {
        let Some((next_move, next, peak_next)) = best_move(&best, estimate) else { break };
        let gain = peak_now - peak_next;
        if gain * settings.skew_weight < settings.min_gain.max(settings.move_weight * MOVE_PRICE) {
            break;
        }
        moves.push(next_move);
        best = next;
        peak_now = peak_next;
    }
    PlacementPlan { moves, map: best, peak_before, peak_after: peak_now }
}

/// The part of the mean rank time that one move must win at equal weights. At about 44 MB and 2 ms a move against
/// steps of 4.5 ms over a horizon of half a minute, a move costs as much as 0.2% of the time.
pub const MOVE_PRICE: f64 = 0.002;

/// The slowest rank's predicted time relative to a perfect balance.
pub fn peak(map: &ExpertMap, estimate: &GroupEstimate) -> f64 {
    let times = rank_times(map, estimate);
    let total_speed: f64 = estimate.speed.iter().sum();
    times.iter().copied().fold(0.0, f64::max) * total_speed
}

fn best_move(map: &ExpertMap, estimate: &GroupEstimate) -> Option<(ExpertMove, ExpertMap, f64)> {
    let times = rank_times(map, estimate);
    let hottest = (0..times.len()).max_by(|left, right| times[*left].total_cmp(&times[*right]))?;
    let mut cool: Vec<usize> = (0..times.len()).filter(|rank| *rank != hottest).collect();
    cool.sort_by(|left, right| times[*left].total_cmp(&times[*right]));
    cool.truncate(COOL_RANKS);
    let mut best: Option<(ExpertMove, ExpertMap, f64)> = None;
    for expert in hot_experts(map, estimate, RankId(hottest as u16)) {
        for rank in cool.iter().map(|rank| RankId(*rank as u16)) {
            if map.holds(rank, expert) {
                continue;
            }
            let Some(evict) = least_useful(map, estimate, rank) else { continue };
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

/// The experts that weigh most on a rank.
fn hot_experts(map: &ExpertMap, estimate: &GroupEstimate, rank: RankId) -> Vec<ExpertId> {
    let mut held: Vec<ExpertId> = map.held(rank).to_vec();
    let weight = |expert: &ExpertId| map.share(*expert, rank) * estimate.popularity[usize::from(expert.0)];
    held.sort_by(|left, right| weight(right).total_cmp(&weight(left)));
    held.truncate(HOT_EXPERTS);
    held
}

/// The replica that a rank can best do without: of an expert held elsewhere too, with the least popularity for each
/// of its replicas.
fn least_useful(map: &ExpertMap, estimate: &GroupEstimate, rank: RankId) -> Option<ExpertId> {
    let spare = map.held(rank).iter().copied().filter(|expert| map.replicas(*expert).len() > 1);
    let use_of = |expert: &ExpertId| {
        estimate.popularity[usize::from(expert.0)] / (map.replicas(*expert).len() - 1) as f64
    };
    spare.min_by(|left, right| use_of(left).total_cmp(&use_of(right)))
}

/// Places all experts anew: replicas for the hottest, then longest first onto the least loaded rank. This is the
/// baseline that moves whatever it likes.
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
