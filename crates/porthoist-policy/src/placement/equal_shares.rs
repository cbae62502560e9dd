//! Expert maps whose replicas share an expert's tokens evenly, in several sets of layers.
//!
//! The planner improves the map in force by small moves: each rank can take only a few experts that are new to it. A slow
//! rank's load counts as many times as its work takes longer, since all ranks wait for it: it ends with cold experts or
//! none.

use super::map::ExpertId;
use crate::roll_forward::RankPace;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Experts looked at on the most loaded rank.
const HOT_EXPERTS: usize = 5;
/// Ranks looked at as homes for a further replica.
const COOL_RANKS: usize = 6;
/// Replicas looked at to make room for it.
const EVICTED: usize = 3;
/// Exponent of the norm that the planner lowers: high enough for the most loaded rank to count most, low enough that
/// lowering one of two equal peaks is a gain.
const NORM: i32 = 8;

/// Which experts each rank holds, by set and rank. Clones share the lists: a process keeps one for each peer that it sent
/// the map to, and those of 129 ranks are 100 KB.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EqualShareMap {
    sets: Arc<Vec<Vec<Vec<ExpertId>>>>,
}

impl EqualShareMap {
    /// A map from its lists, by set and rank.
    pub fn new(sets: Vec<Vec<Vec<ExpertId>>>) -> Self {
        Self { sets: Arc::new(sets) }
    }

    /// The lists, by set and rank.
    pub fn sets(&self) -> &[Vec<Vec<ExpertId>>] {
        &self.sets
    }

    /// The lists that differ from an earlier map's; all of them if there is none or it has another shape.
    pub fn changes_from(&self, earlier: Option<&Self>) -> Vec<ListChange> {
        let earlier = earlier.filter(|earlier| earlier.shape() == self.shape());
        let mut changes = Vec::new();
        for (set, ranks) in self.sets.iter().enumerate() {
            for (rank, experts) in ranks.iter().enumerate() {
                if earlier.is_none_or(|earlier| earlier.sets[set][rank] != *experts) {
                    changes.push(ListChange { set, rank, experts: experts.clone() });
                }
            }
        }
        changes
    }

    /// An earlier map, or none, with changes made to it.
    pub fn with_changes(earlier: Option<Self>, changes: Vec<ListChange>) -> Self {
        let mut shared = earlier.map(|earlier| earlier.sets).unwrap_or_default();
        let sets = Arc::make_mut(&mut shared);
        for ListChange { set, rank, experts } in changes {
            if sets.len() <= set {
                sets.resize(set + 1, Vec::new());
            }
            let ranks = &mut sets[set];
            if ranks.len() <= rank {
                ranks.resize(rank + 1, Vec::new());
            }
            ranks[rank] = experts;
        }
        Self { sets: shared }
    }

    /// A number that two different maps share only by a chance of one in 2^64.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for experts in self.sets.iter().flatten() {
            hasher.update(&(experts.len() as u64).to_le_bytes());
            for expert in experts {
                hasher.update(&expert.0.to_le_bytes());
            }
        }
        hasher.digest()
    }

    fn shape(&self) -> (usize, usize) {
        (self.sets.len(), self.sets.first().map_or(0, Vec::len))
    }

    /// Experts that are new to a rank beside an earlier map.
    pub fn new_experts(&self, earlier: &Self, rank: usize) -> usize {
        let sets = self.sets.iter().zip(earlier.sets.iter());
        sets.map(|(new, old)| new[rank].iter().filter(|expert| !old[rank].contains(expert)).count()).sum()
    }
}

/// One rank's experts of one set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// The set.
    pub set: usize,
    /// The rank.
    pub rank: usize,
    /// Its experts from now on.
    pub experts: Vec<ExpertId>,
}

/// Bounds of one plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EqualShareBounds {
    /// Experts of a set that a rank holds at most.
    pub places: usize,
    /// Experts of a set that may be new to a rank.
    pub spare: usize,
    /// Experts that may be new to a rank in all sets together: they are copied one after the other.
    pub new_a_rank: usize,
    /// Part of the mean load that a move must win to be worth its copy.
    pub move_price: f64,
}

/// A better map.
#[derive(Debug, Clone, PartialEq)]
pub struct EqualSharePlan {
    /// The map.
    pub map: EqualShareMap,
    /// Replicas to copy.
    pub moves: usize,
    /// Mean over the sets of the most loaded rank's load by the mean load, before.
    pub skew_before: f64,
    /// The same after.
    pub skew_after: f64,
}

/// Load of each rank in one set; the demand sums to 1.
pub fn rank_loads(ranks: &[Vec<ExpertId>], demand: &[f64]) -> Vec<f64> {
    let copies = copies(ranks, demand.len());
    let load = |expert: &ExpertId| {
        let index = usize::from(expert.0);
        demand[index] / f64::from(copies[index].max(1))
    };
    ranks.iter().map(|held| held.iter().map(load).sum()).collect()
}

/// Mean over the sets of the most loaded rank's load by the mean load.
pub fn skew(map: &EqualShareMap, demand: &[Vec<f64>]) -> f64 {
    let peaks = map.sets.iter().zip(demand).map(|(ranks, demand)| peak(&rank_loads(ranks, demand)));
    peaks.sum::<f64>() / map.sets.len().max(1) as f64
}

/// The most loaded rank's load by the mean load.
fn peak(loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    loads.iter().copied().fold(0.0, f64::max) * loads.len() as f64 / total
}

fn copies(ranks: &[Vec<ExpertId>], experts: usize) -> Vec<u32> {
    let mut copies = vec![0; experts];
    for expert in ranks.iter().flatten() {
        copies[usize::from(expert.0)] += 1;
    }
    copies
}

/// A rank whose work takes so many times longer is slow.
const SLOW_PACE: f64 = 1.2;
/// Least gain of a replica that is only dropped, which costs no copy: beyond rounding.
const DROP_GAIN: f64 = 1e-3;

/// One set while it is planned.
struct SetPlan<'a> {
    original: &'a [Vec<ExpertId>],
    ranks: Vec<Vec<ExpertId>>,
    demand: &'a [f64],
    /// How many times longer each rank's work takes.
    paces: &'a [f64],
    loads: Vec<f64>,
    /// Of each load in units of the mean one, to the norm's exponent: a move changes a few of them. With all loads summed anew
    /// for each move that is looked at, a plan for 63 ranks took 73 ms of a core.
    powers: Vec<f64>,
    power_sum: f64,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    new: Vec<usize>,
}

/// A further replica on a rank, in place of another where it is full, or a replica that is only dropped.
#[derive(Debug, Clone, Copy)]
struct ReplicaMove {
    rank: usize,
    expert: Option<ExpertId>,
    evict: Option<ExpertId>,
    gain: f64,
}

impl<'a> SetPlan<'a> {
    fn new(original: &'a [Vec<ExpertId>], demand: &'a [f64], paces: &'a [f64]) -> Self {
        let ranks: Vec<Vec<ExpertId>> = original.iter().map(|held| without_repeats(held)).collect();
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, held) in ranks.iter().enumerate() {
            for expert in held {
                holders[usize::from(expert.0)].push(rank);
            }
        }
        let loads = paced_loads(&ranks, demand, paces);
        let powers = Vec::new();
        let new = vec![0; original.len()];
        let mut plan = Self { original, ranks, demand, paces, loads, powers, power_sum: 0.0, holders, new };
        plan.sum_powers();
        plan
    }

    fn sum_powers(&mut self) {
        self.powers = self.loads.iter().map(|load| self.power(*load)).collect();
        self.power_sum = self.powers.iter().sum();
    }

    fn power(&self, load: f64) -> f64 {
        (load * self.loads.len() as f64).powi(NORM)
    }

    /// A norm close to the highest load, in units of the mean load of healthy ranks.
    fn norm(&self, power_sum: f64) -> f64 {
        (power_sum.max(0.0) / self.loads.len() as f64).powf(1.0 / f64::from(NORM))
    }

    fn holders(&self, expert: ExpertId) -> &[usize] {
        &self.holders[usize::from(expert.0)]
    }

    fn copies(&self, expert: ExpertId) -> usize {
        self.holders(expert).len()
    }

    fn demand(&self, expert: ExpertId) -> f64 {
        self.demand[usize::from(expert.0)]
    }

    fn load_of(&self, expert: ExpertId) -> f64 {
        self.demand(expert) / self.copies(expert).max(1) as f64
    }

    /// The best move for the most loaded rank; `room` says whether a rank may take something new.
    fn best_move(&self, bounds: &EqualShareBounds, room: &[bool]) -> Option<ReplicaMove> {
        let hottest =
            (0..self.loads.len()).max_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]))?;
        let mut hot = self.ranks[hottest].clone();
        hot.sort_by(|left, right| self.load_of(*right).total_cmp(&self.load_of(*left)));
        let mut cool: Vec<usize> = (0..self.loads.len()).filter(|rank| *rank != hottest).collect();
        cool.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        let mut best: Option<ReplicaMove> = None;
        for expert in hot.into_iter().take(HOT_EXPERTS) {
            let homes = cool.iter().copied().filter(|rank| self.takes(*rank, expert, bounds, room));
            for rank in homes.take(COOL_RANKS) {
                for evict in self.evictions(rank, expert, bounds) {
                    let gain = self.gain(rank, Some(expert), evict);
                    if best.as_ref().is_none_or(|best| gain > best.gain) {
                        best = Some(ReplicaMove { rank, expert: Some(expert), evict, gain });
                    }
                }
            }
        }
        self.best_drop(hottest).or(best)
    }

    /// The replica that the most loaded rank, if it is slow, best gives up to those that others hold already. It costs no
    /// copy, so it goes before any move that does. Healthy ranks keep theirs: after a shift of demand they are the copies
    /// that need not be made.
    fn best_drop(&self, hottest: usize) -> Option<ReplicaMove> {
        if self.paces[hottest] < SLOW_PACE {
            return None;
        }
        let spare = |held: &&ExpertId| self.copies(**held) > 1;
        let drops = self.ranks[hottest].iter().filter(spare).map(|held| ReplicaMove {
            rank: hottest,
            expert: None,
            evict: Some(*held),
            gain: self.gain(hottest, None, Some(*held)),
        });
        drops.max_by(|left, right| left.gain.total_cmp(&right.gain)).filter(|drop| drop.gain > DROP_GAIN)
    }

    fn takes(&self, rank: usize, expert: ExpertId, bounds: &EqualShareBounds, room: &[bool]) -> bool {
        if self.ranks[rank].contains(&expert) {
            return false;
        }
        // A replica that the map in force has is no copy.
        self.original[rank].contains(&expert) || (self.new[rank] < bounds.spare && room[rank])
    }

    /// What may go to make room: replicas of experts that are elsewhere too, the least loaded first.
    fn evictions(&self, rank: usize, expert: ExpertId, bounds: &EqualShareBounds) -> Vec<Option<ExpertId>> {
        if self.ranks[rank].len() < bounds.places {
            return vec![None];
        }
        let spare = |held: &ExpertId| self.copies(*held) > 1 && *held != expert;
        let mut held: Vec<ExpertId> = self.ranks[rank].iter().copied().filter(spare).collect();
        // What the other replicas must take over counts.
        let burden = |held: &ExpertId| {
            let copies = self.copies(*held) as f64;
            self.demand(*held) / (copies * (copies - 1.0))
        };
        held.sort_by(|left, right| burden(left).total_cmp(&burden(right)));
        held.into_iter().take(EVICTED).map(Some).collect()
    }

    /// What a move lowers the norm of the loads by, in units of the mean load.
    fn gain(&self, rank: usize, expert: Option<ExpertId>, evict: Option<ExpertId>) -> f64 {
        let mut power_sum = self.power_sum;
        for (changed, load) in self.changed_loads(rank, expert, evict) {
            power_sum += self.power(load) - self.powers[changed];
        }
        self.norm(self.power_sum) - self.norm(power_sum)
    }

    /// The loads that a move changes, by rank.
    fn changed_loads(
        &self,
        rank: usize,
        expert: Option<ExpertId>,
        evict: Option<ExpertId>,
    ) -> Vec<(usize, f64)> {
        let mut changed: Vec<(usize, f64)> = vec![(rank, self.loads[rank])];
        let mut add = |index: usize, load: f64| {
            let known = changed.iter_mut().find(|(known, _load)| *known == index);
            match known {
                Some((_index, known)) => *known += load,
                None => changed.push((index, self.loads[index] + load)),
            }
        };
        if let Some(expert) = expert {
            let copies = self.copies(expert) as f64;
            let relief = self.demand(expert) / copies - self.demand(expert) / (copies + 1.0);
            for holder in self.holders(expert) {
                add(*holder, -relief * self.paces[*holder]);
            }
            add(rank, self.demand(expert) / (copies + 1.0) * self.paces[rank]);
        }
        if let Some(evict) = evict {
            let copies = self.copies(evict) as f64;
            let burden = self.demand(evict) / (copies - 1.0) - self.demand(evict) / copies;
            for holder in self.holders(evict).iter().filter(|holder| **holder != rank) {
                add(*holder, burden * self.paces[*holder]);
            }
            add(rank, -self.demand(evict) / copies * self.paces[rank]);
        }
        changed
    }

    fn apply(&mut self, chosen: ReplicaMove) {
        let ReplicaMove { rank, expert, evict, .. } = chosen;
        for (changed, load) in self.changed_loads(rank, expert, evict) {
            self.loads[changed] = load;
        }
        self.sum_powers();
        if let Some(evict) = evict {
            self.ranks[rank].retain(|held| *held != evict);
            self.holders[usize::from(evict.0)].retain(|holder| *holder != rank);
        }
        if let Some(expert) = expert {
            self.ranks[rank].push(expert);
            self.holders[usize::from(expert.0)].push(rank);
        }
        let original = &self.original[rank];
        self.new[rank] = self.ranks[rank].iter().filter(|held| !original.contains(held)).count();
    }
}

/// An expert that a rank lists twice is one replica all the same.
fn without_repeats(held: &[ExpertId]) -> Vec<ExpertId> {
    let mut once = Vec::with_capacity(held.len());
    for expert in held {
        if !once.contains(expert) {
            once.push(*expert);
        }
    }
    once
}

/// Loads that count as many times as each rank's work takes longer.
fn paced_loads(ranks: &[Vec<ExpertId>], demand: &[f64], paces: &[f64]) -> Vec<f64> {
    rank_loads(ranks, demand).into_iter().zip(paces).map(|(load, pace)| load * pace).collect()
}

/// Mean over the sets of the most loaded rank's load, slow ranks' counted as long as they take, by the mean load.
fn paced_skew(map: &EqualShareMap, demand: &[Vec<f64>], paces: &[f64]) -> f64 {
    let most = |loads: Vec<f64>| loads.into_iter().fold(0.0, f64::max) * paces.len() as f64;
    let peaks = map.sets.iter().zip(demand).map(|(ranks, demand)| most(paced_loads(ranks, demand, paces)));
    peaks.sum::<f64>() / map.sets.len().max(1) as f64
}

/// Improves a map for a demand by set; each set's demand sums to 1. Ranks whose pace is not given are healthy.
pub fn improve(
    map: &EqualShareMap,
    demand: &[Vec<f64>],
    paces: &[RankPace],
    bounds: &EqualShareBounds,
) -> EqualSharePlan {
    let ranks = map.sets.first().map_or(0, Vec::len);
    let factor = |rank: usize| paces.get(rank).copied().unwrap_or_default().factor();
    let paces: Vec<f64> = (0..ranks).map(factor).collect();
    let mut plans: Vec<SetPlan<'_>> =
        map.sets.iter().zip(demand).map(|(ranks, demand)| SetPlan::new(ranks, demand, &paces)).collect();
    let mut room = vec![bounds.new_a_rank > 0; ranks];
    let mut candidates: Vec<Option<ReplicaMove>> =
        plans.iter().map(|plan| plan.best_move(bounds, &room)).collect();
    while let Some((set, chosen)) = best_candidate(&candidates, bounds.move_price) {
        plans[set].apply(chosen);
        let new: usize = plans.iter().map(|plan| plan.new[chosen.rank]).sum();
        let open = new < bounds.new_a_rank;
        if room[chosen.rank] == open {
            candidates[set] = plans[set].best_move(bounds, &room);
            continue;
        }
        room[chosen.rank] = open;
        candidates = plans.iter().map(|plan| plan.best_move(bounds, &room)).collect();
    }
    let moves = plans.iter().flat_map(|plan| &plan.new).sum();
    let better = EqualShareMap::new(plans.into_iter().map(|plan| plan.ranks).collect());
    let (skew_before, skew_after) = (paced_skew(map, demand, &paces), paced_skew(&better, demand, &paces));
    EqualSharePlan { moves, skew_before, skew_after, map: better }
}

fn best_candidate(candidates: &[Option<ReplicaMove>], price: f64) -> Option<(usize, ReplicaMove)> {
    let offers = candidates.iter().enumerate().filter_map(|(set, chosen)| chosen.map(|chosen| (set, chosen)));
    let best = offers.max_by(|left, right| left.1.gain.total_cmp(&right.1.gain))?;
    let least = if best.1.expert.is_some() { price } else { 0.0 };
    (best.1.gain > least).then_some(best)
}
