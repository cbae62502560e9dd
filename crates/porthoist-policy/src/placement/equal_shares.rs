//! Expert maps for several sets of layers, in which the replicas of an expert receive equal shares of its tokens.
//!
//! The planner improves the map in force by small moves, because each rank can take only a few new experts. The load of a
//! slow rank is multiplied by its slowdown, since all ranks wait for it; it ends up with cold experts or none.

use super::map::ExpertId;
use crate::roll_forward::RankPace;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of experts considered on the most loaded rank.
const HOT_EXPERTS: usize = 5;
/// Number of ranks considered for another replica.
const COOL_RANKS: usize = 6;
/// Number of replicas considered for eviction.
const EVICTION_CANDIDATES: usize = 3;
/// Exponent of the norm of the loads that the planner minimizes: high enough for the most loaded rank to dominate, low
/// enough that lowering one of two equal peaks is a gain.
const NORM_EXPONENT: i32 = 8;

/// Experts held by each rank, by set and rank. Clones share the lists: a process keeps a clone for each peer that it has
/// sent the map to, and the lists of 129 ranks take 100 KB.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EqualShareMap {
    sets: Arc<Vec<Vec<Vec<ExpertId>>>>,
}

impl EqualShareMap {
    /// Creates a map from its lists, by set and rank.
    pub fn new(sets: Vec<Vec<Vec<ExpertId>>>) -> Self {
        Self { sets: Arc::new(sets) }
    }

    /// Returns the lists, by set and rank.
    pub fn sets(&self) -> &[Vec<Vec<ExpertId>>] {
        &self.sets
    }

    /// Returns the lists that differ from an earlier map, or all lists if there is none or it has a different shape.
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

    /// Applies changes to an earlier map, or to an empty one.
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

    /// Returns a hash of the map, which is equal for two different maps with a probability of one in 2^64.
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

    /// Returns the number of experts that a rank holds and did not hold in an earlier map.
    pub fn new_experts(&self, earlier: &Self, rank: usize) -> usize {
        let sets = self.sets.iter().zip(earlier.sets.iter());
        sets.map(|(new, old)| new[rank].iter().filter(|expert| !old[rank].contains(expert)).count()).sum()
    }
}

/// New list of the experts that one rank holds in one set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// The set.
    pub set: usize,
    /// The rank.
    pub rank: usize,
    /// The experts that it holds after the change.
    pub experts: Vec<ExpertId>,
}

/// Bounds of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EqualShareBounds {
    /// Maximum number of experts per set that a rank holds.
    pub max_experts: usize,
    /// Maximum number of new experts per set and rank.
    pub max_new_experts: usize,
    /// Maximum number of new experts per rank in all sets together. A rank copies them one after the other.
    pub max_new_per_rank: usize,
    /// Minimum gain of a move that needs a copy, as a fraction of the mean load.
    pub move_price: f64,
}

/// An improved map.
#[derive(Debug, Clone, PartialEq)]
pub struct EqualSharePlan {
    /// The map.
    pub map: EqualShareMap,
    /// Number of replicas to copy.
    pub moves: usize,
    /// Load of the most loaded rank relative to the mean load, averaged over the sets, before the moves.
    pub skew_before: f64,
    /// The same value after the moves.
    pub skew_after: f64,
}

/// Returns the load of each rank in one set; the demand sums to 1.
pub fn rank_loads(ranks: &[Vec<ExpertId>], demand: &[f64]) -> Vec<f64> {
    let copies = copies(ranks, demand.len());
    let load = |expert: &ExpertId| {
        let index = usize::from(expert.0);
        demand[index] / f64::from(copies[index].max(1))
    };
    ranks.iter().map(|held| held.iter().map(load).sum()).collect()
}

/// Returns the load of the most loaded rank relative to the mean load, averaged over the sets.
pub fn skew(map: &EqualShareMap, demand: &[Vec<f64>]) -> f64 {
    let peaks = map.sets.iter().zip(demand).map(|(ranks, demand)| peak(&rank_loads(ranks, demand)));
    peaks.sum::<f64>() / map.sets.len().max(1) as f64
}

/// Returns the load of the most loaded rank relative to the mean load.
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

/// Slowdown factor from which a rank is slow.
const SLOW_FACTOR: f64 = 1.2;
/// Minimum gain of dropping a replica. It costs no copy, so the gain only has to exceed rounding errors.
const MIN_DROP_GAIN: f64 = 1e-3;

/// Planning state of one set.
struct SetPlan<'a> {
    original: &'a [Vec<ExpertId>],
    ranks: Vec<Vec<ExpertId>>,
    demand: &'a [f64],
    /// Slowdown factor of each rank.
    paces: &'a [f64],
    loads: Vec<f64>,
    /// Each load, relative to the mean load, raised to [`NORM_EXPONENT`]. They are cached because a move changes only a
    /// few; with all loads summed again for each candidate move, a plan for 63 ranks took 73 ms of a core.
    powers: Vec<f64>,
    power_sum: f64,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// Number of experts of each rank that are new to it.
    new_experts: Vec<usize>,
}

/// Adds a replica to a rank, in place of another if the rank is full, or only drops a replica.
#[derive(Debug, Clone, Copy)]
struct ReplicaMove {
    rank: usize,
    expert: Option<ExpertId>,
    evict: Option<ExpertId>,
    gain: f64,
}

impl<'a> SetPlan<'a> {
    fn new(original: &'a [Vec<ExpertId>], demand: &'a [f64], paces: &'a [f64]) -> Self {
        let ranks: Vec<Vec<ExpertId>> = original.iter().map(|held| distinct_experts(held)).collect();
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, held) in ranks.iter().enumerate() {
            for expert in held {
                holders[usize::from(expert.0)].push(rank);
            }
        }
        let loads = paced_loads(&ranks, demand, paces);
        let powers = Vec::new();
        let new_experts = vec![0; original.len()];
        let mut plan =
            Self { original, ranks, demand, paces, loads, powers, power_sum: 0.0, holders, new_experts };
        plan.sum_powers();
        plan
    }

    fn sum_powers(&mut self) {
        self.powers = self.loads.iter().map(|load| self.power(*load)).collect();
        self.power_sum = self.powers.iter().sum();
    }

    fn power(&self, load: f64) -> f64 {
        (load * self.loads.len() as f64).powi(NORM_EXPONENT)
    }

    /// Returns a norm close to the highest load, relative to the mean load of healthy ranks.
    fn norm(&self, power_sum: f64) -> f64 {
        (power_sum.max(0.0) / self.loads.len() as f64).powf(1.0 / f64::from(NORM_EXPONENT))
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

    /// Returns the best move for the most loaded rank; `room` tells which ranks may take new experts.
    fn best_move(&self, bounds: &EqualShareBounds, room: &[bool]) -> Option<ReplicaMove> {
        let hottest =
            (0..self.loads.len()).max_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]))?;
        let mut hot = self.ranks[hottest].clone();
        hot.sort_by(|left, right| self.load_of(*right).total_cmp(&self.load_of(*left)));
        let mut coolest: Vec<usize> = (0..self.loads.len()).filter(|rank| *rank != hottest).collect();
        coolest.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        let mut best: Option<ReplicaMove> = None;
        for expert in hot.into_iter().take(HOT_EXPERTS) {
            let destinations =
                coolest.iter().copied().filter(|rank| self.can_take(*rank, expert, bounds, room));
            for rank in destinations.take(COOL_RANKS) {
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

    /// Returns the best replica to drop from the most loaded rank, if that rank is slow and other ranks hold the expert
    /// too. Dropping costs no copy, so it precedes moves that do. Healthy ranks keep their replicas, which can save copies
    /// after a shift of demand.
    fn best_drop(&self, hottest: usize) -> Option<ReplicaMove> {
        if self.paces[hottest] < SLOW_FACTOR {
            return None;
        }
        let spare = |held: &&ExpertId| self.copies(**held) > 1;
        let drops = self.ranks[hottest].iter().filter(spare).map(|held| ReplicaMove {
            rank: hottest,
            expert: None,
            evict: Some(*held),
            gain: self.gain(hottest, None, Some(*held)),
        });
        drops.max_by(|left, right| left.gain.total_cmp(&right.gain)).filter(|drop| drop.gain > MIN_DROP_GAIN)
    }

    fn can_take(&self, rank: usize, expert: ExpertId, bounds: &EqualShareBounds, room: &[bool]) -> bool {
        if self.ranks[rank].contains(&expert) {
            return false;
        }
        // A replica that the rank holds in the map in force needs no copy.
        self.original[rank].contains(&expert)
            || (self.new_experts[rank] < bounds.max_new_experts && room[rank])
    }

    /// Returns the replicas that may be evicted to make room: those of experts with other replicas, cheapest first.
    fn evictions(&self, rank: usize, expert: ExpertId, bounds: &EqualShareBounds) -> Vec<Option<ExpertId>> {
        if self.ranks[rank].len() < bounds.max_experts {
            return vec![None];
        }
        let spare = |held: &ExpertId| self.copies(*held) > 1 && *held != expert;
        let mut held: Vec<ExpertId> = self.ranks[rank].iter().copied().filter(spare).collect();
        // The cost is the load that each other replica takes over.
        let burden = |held: &ExpertId| {
            let copies = self.copies(*held) as f64;
            self.demand(*held) / (copies * (copies - 1.0))
        };
        held.sort_by(|left, right| burden(left).total_cmp(&burden(right)));
        held.into_iter().take(EVICTION_CANDIDATES).map(Some).collect()
    }

    /// Returns by how much a move lowers the norm of the loads, relative to the mean load.
    fn gain(&self, rank: usize, expert: Option<ExpertId>, evict: Option<ExpertId>) -> f64 {
        let mut power_sum = self.power_sum;
        for (changed, load) in self.changed_loads(rank, expert, evict) {
            power_sum += self.power(load) - self.powers[changed];
        }
        self.norm(self.power_sum) - self.norm(power_sum)
    }

    /// Returns the loads that a move changes, with their ranks.
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
        self.new_experts[rank] = self.ranks[rank].iter().filter(|held| !original.contains(held)).count();
    }
}

/// Removes repeated experts: one that a rank lists twice is still a single replica.
fn distinct_experts(held: &[ExpertId]) -> Vec<ExpertId> {
    let mut distinct = Vec::with_capacity(held.len());
    for expert in held {
        if !distinct.contains(expert) {
            distinct.push(*expert);
        }
    }
    distinct
}

/// Returns the rank loads multiplied by the ranks' slowdown.
fn paced_loads(ranks: &[Vec<ExpertId>], demand: &[f64], paces: &[f64]) -> Vec<f64> {
    rank_loads(ranks, demand).into_iter().zip(paces).map(|(load, pace)| load * pace).collect()
}

/// Returns the highest load, with loads multiplied by the ranks' slowdown, relative to the mean load and averaged over
/// the sets.
fn paced_skew(map: &EqualShareMap, demand: &[Vec<f64>], paces: &[f64]) -> f64 {
    let peak_load = |loads: Vec<f64>| loads.into_iter().fold(0.0, f64::max) * paces.len() as f64;
    let peaks =
        map.sets.iter().zip(demand).map(|(ranks, demand)| peak_load(paced_loads(ranks, demand, paces)));
    peaks.sum::<f64>() / map.sets.len().max(1) as f64
}

/// Improves a map for the demand of each set, which sums to 1. Ranks without an entry in `paces` are healthy.
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
    let mut room = vec![bounds.max_new_per_rank > 0; ranks];
    let mut candidates: Vec<Option<ReplicaMove>> =
        plans.iter().map(|plan| plan.best_move(bounds, &room)).collect();
    while let Some((set, chosen)) = best_candidate(&candidates, bounds.move_price) {
        plans[set].apply(chosen);
        let new: usize = plans.iter().map(|plan| plan.new_experts[chosen.rank]).sum();
        let has_room = new < bounds.max_new_per_rank;
        if room[chosen.rank] == has_room {
            candidates[set] = plans[set].best_move(bounds, &room);
            continue;
        }
        room[chosen.rank] = has_room;
        candidates = plans.iter().map(|plan| plan.best_move(bounds, &room)).collect();
    }
    let moves = plans.iter().flat_map(|plan| &plan.new_experts).sum();
    let improved = EqualShareMap::new(plans.into_iter().map(|plan| plan.ranks).collect());
    let (skew_before, skew_after) = (paced_skew(map, demand, &paces), paced_skew(&improved, demand, &paces));
    EqualSharePlan { moves, skew_before, skew_after, map: improved }
}

fn best_candidate(candidates: &[Option<ReplicaMove>], price: f64) -> Option<(usize, ReplicaMove)> {
    let available =
        candidates.iter().enumerate().filter_map(|(set, chosen)| chosen.map(|chosen| (set, chosen)));
    let best = available.max_by(|left, right| left.1.gain.total_cmp(&right.1.gain))?;
    let min_gain = if best.1.expert.is_some() { price } else { 0.0 };
    (best.1.gain > min_gain).then_some(best)
}
