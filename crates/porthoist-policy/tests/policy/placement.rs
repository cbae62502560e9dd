//! Tests of expert placement.

use porthoist_policy::placement::map::{ExpertId, RankId};
use porthoist_policy::placement::{GroupEstimate, PlannerSettings, peak, place_from_scratch, plan, reshare};

fn zipf(experts: usize, hottest: usize) -> Vec<f64> {
    let weight = |expert: usize| 1.0 / ((expert + experts - hottest) % experts + 1) as f64;
    let weights: Vec<f64> = (0..experts).map(weight).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

fn estimate(hottest: usize) -> GroupEstimate {
    GroupEstimate { popularity: zipf(32, hottest), speed: vec![1.0; 8] }
}

#[test]
fn every_expert_is_placed_and_shares_sum_to_one() {
    let map = place_from_scratch(&estimate(0), 8, 5);
    for expert in 0..32 {
        let total: f64 = map.replicas(ExpertId(expert)).iter().map(|replica| replica.share).sum();
        assert!((total - 1.0).abs() < 1e-9, "expert {expert}: {total}");
    }
    for rank in 0..8 {
        assert!(map.held(RankId(rank)).len() <= 5);
    }
}

#[test]
fn new_shares_alone_relieve_slow_rank() {
    let map = place_from_scratch(&estimate(0), 8, 5);
    let mut slow = estimate(0);
    slow.speed[2] = 0.6;
    let before = peak(&map, &slow);
    let shared = reshare(&map, &slow);
    assert!(peak(&shared, &slow) < before);
    assert_eq!(shared.replicas_missing_in(&map), 0, "no expert moves");
}

#[test]
fn demand_shift_is_answered_by_few_moves() {
    let map = place_from_scratch(&estimate(0), 8, 5);
    let shifted = estimate(17);
    let settings = PlannerSettings::builder().skew_weight(4.0).move_weight(1.0).build();
    let plan = plan(&map, &shifted, &settings);
    assert!(plan.peak_after < plan.peak_before);
    assert_eq!(plan.map.replicas_missing_in(&map), plan.moves.len());
    assert!(plan.moves.len() <= settings.max_moves);
}

#[test]
fn high_move_weight_keeps_map() {
    let map = place_from_scratch(&estimate(0), 8, 5);
    let settings = PlannerSettings::builder().skew_weight(1.0).move_weight(1_000_000.0).build();
    assert_eq!(plan(&map, &estimate(17), &settings).moves, []);
}
