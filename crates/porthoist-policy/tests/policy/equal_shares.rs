//! Tests of expert maps with equal shares.

use porthoist_policy::placement::equal_shares::{EqualShareBounds, EqualShareMap, improve, rank_loads, skew};
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::roll_forward::RankPace;
use proptest::prelude::*;

const RANKS: usize = 6;
const EXPERTS: usize = 18;
const MAX_EXPERTS: usize = 4;

/// Assigns the experts to ranks in turn; each rank lists its first expert again at the end.
fn first_map(sets: usize) -> EqualShareMap {
    let held = |rank: usize| {
        (0..MAX_EXPERTS).map(|place| ExpertId(((place * RANKS + rank) % EXPERTS) as u16)).collect()
    };
    EqualShareMap::new(vec![(0..RANKS).map(held).collect(); sets])
}

fn bounds(max_new_experts: usize, max_new_per_rank: usize) -> EqualShareBounds {
    EqualShareBounds { max_experts: MAX_EXPERTS, max_new_experts, max_new_per_rank, move_price: 0.005 }
}

/// A demand that is much higher for some experts.
fn skewed(hot: usize) -> Vec<f64> {
    let weight = |expert: usize| 1.0 / (1.0 + ((expert + EXPERTS - hot) % EXPERTS) as f64);
    let total: f64 = (0..EXPERTS).map(weight).sum();
    (0..EXPERTS).map(|expert| weight(expert) / total).collect()
}

#[test]
fn loads_are_shared_evenly_between_replicas() {
    let map = [vec![ExpertId(0), ExpertId(1)], vec![ExpertId(0)]];
    assert_eq!(rank_loads(&map, &[0.6, 0.4]), [0.7, 0.3]);
}

#[test]
fn skewed_demand_is_balanced_in_few_plans() {
    let demand = vec![skewed(3), skewed(11)];
    let mut map = first_map(2);
    let before = skew(&map, &demand);
    for _plan in 0..4 {
        map = improve(&map, &demand, &[], &bounds(2, 3)).map;
    }
    let after = skew(&map, &demand);
    assert!(before > 1.8 && after < 1.25, "{before} to {after}");
}

#[test]
fn even_demand_moves_no_experts() {
    let demand = vec![vec![1.0 / EXPERTS as f64; EXPERTS]];
    let even = EqualShareMap::new(vec![
        (0..RANKS)
            .map(|rank| (0..3).map(|place| ExpertId((place * RANKS + rank) as u16)).collect())
            .collect(),
    ]);
    let plan = improve(&even, &demand, &[], &bounds(2, 3));
    assert_eq!((plan.moves, plan.map), (0, even));
}

#[test]
fn changes_reproduce_next_map() {
    let first = improve(&first_map(2), &[skewed(3), skewed(11)], &[], &bounds(2, 3)).map;
    let next = improve(&first, &[skewed(4), skewed(11)], &[], &bounds(2, 3)).map;
    assert_ne!(next, first);
    let changes = next.changes_from(Some(&first));
    assert!(changes.len() < 2 * RANKS, "only the lists that differ");
    assert_eq!(EqualShareMap::with_changes(Some(first), changes), next);
    assert_eq!(EqualShareMap::with_changes(None, next.changes_from(None)), next);
}

proptest! {
    #[test]
    fn plan_keeps_every_expert_and_bound(
        weights in prop::collection::vec(0.0_f64..1.0, EXPERTS),
        max_new_experts in 0_usize..3,
        max_new_per_rank in 0_usize..5,
    ) {
        let total = weights.iter().sum::<f64>().max(1e-9);
        let demand = vec![weights.iter().map(|weight| weight / total).collect::<Vec<f64>>(); 2];
        let first = first_map(2);
        let plan = improve(&first, &demand, &[], &bounds(max_new_experts, max_new_per_rank));
        prop_assert!(plan.skew_after <= plan.skew_before + 1e-9);
        for (set, ranks) in plan.map.sets().iter().enumerate() {
            for expert in 0..EXPERTS {
                prop_assert!(ranks.iter().flatten().any(|held| usize::from(held.0) == expert));
            }
            for (rank, held) in ranks.iter().enumerate() {
                let new = held.iter().filter(|expert| !first.sets()[set][rank].contains(expert)).count();
                prop_assert!(held.len() <= MAX_EXPERTS && new <= max_new_experts);
            }
        }
        for rank in 0..RANKS {
            prop_assert!(plan.map.new_experts(&first, rank) <= max_new_per_rank);
        }
    }
}

/// All ranks wait for a slow one, so it must end up with almost no work. After it recovers, it gets its share back.
#[test]
fn slow_rank_is_relieved_and_refilled() {
    let demand = [skewed(3), skewed(11)];
    let ranks = first_map(2).sets()[0].len();
    let slow: Vec<RankPace> =
        (0..ranks).map(|rank| if rank == 1 { RankPace(12_000) } else { RankPace::USUAL }).collect();
    let settled = |mut map: EqualShareMap, paces: &[RankPace]| {
        for _plan in 0..12 {
            map = improve(&map, &demand, paces, &bounds(2, 1)).map;
        }
        map
    };
    let healthy = settled(first_map(2), &[]);
    let before = improve(&healthy, &demand, &slow, &bounds(2, 1)).skew_before;
    let relieved = settled(healthy, &slow);
    let plan = improve(&relieved, &demand, &slow, &bounds(2, 1));
    assert!(before > 8.0, "{before}");
    assert!(plan.skew_before < 2.2, "{}", plan.skew_before);
    assert!(skew(&settled(relieved, &[]), &demand) < 1.5);
}
