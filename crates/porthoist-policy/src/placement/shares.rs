//! Shares between the replicas of an expert: tokens flow from slower replicas to faster ones until they are even.

use super::GroupEstimate;
use super::map::{ExpertId, ExpertMap};

/// Passes over all replicated experts at most.
const PASSES: usize = 24;
/// Below this part of the mean time a difference is even enough.
const EVEN: f64 = 0.002;

/// Predicted time of each rank, as its tokens by its speed.
pub fn rank_times(map: &ExpertMap, estimate: &GroupEstimate) -> Vec<f64> {
    let mut times = vec![0.0; map.ranks()];
    for (expert, popularity) in estimate.popularity.iter().enumerate() {
        for replica in map.replicas(ExpertId(expert as u16)) {
            let rank = usize::from(replica.rank.0);
            times[rank] += popularity * replica.share / estimate.speed[rank];
        }
    }
    times
}

/// Evens the ranks' times out by shares alone.
pub fn balance_shares(map: &mut ExpertMap, estimate: &GroupEstimate) {
    let mut times = rank_times(map, estimate);
    let even = EVEN / estimate.speed.iter().sum::<f64>();
    let replicated: Vec<ExpertId> = (0..map.experts())
        .map(|expert| ExpertId(expert as u16))
        .filter(|expert| map.replicas(*expert).len() > 1)
        .collect();
    for _ in 0..PASSES {
        let mut moved = false;
        for expert in &replicated {
            moved |= even_out(map, *expert, estimate, &mut times, even);
        }
        if !moved {
            return;
        }
    }
}

/// Moves tokens of one expert from its slowest replica to its fastest; returns whether it mattered.
fn even_out(
    map: &mut ExpertMap,
    expert: ExpertId,
    estimate: &GroupEstimate,
    times: &mut [f64],
    even: f64,
) -> bool {
    let popularity = estimate.popularity[usize::from(expert.0)];
    if popularity <= 0.0 {
        return false;
    }
    let replicas = map.replicas_mut(expert);
    let time = |index: &usize| times[usize::from(replicas[*index].rank.0)];
    let loaded = (0..replicas.len()).filter(|index| replicas[*index].share > 0.0);
    let Some(slow) = loaded.max_by(|left, right| time(left).total_cmp(&time(right))) else { return false };
    let Some(fast) = (0..replicas.len()).min_by(|left, right| time(left).total_cmp(&time(right))) else {
        return false;
    };
    let (slow_rank, fast_rank) = (usize::from(replicas[slow].rank.0), usize::from(replicas[fast].rank.0));
    let difference = times[slow_rank] - times[fast_rank];
    if difference <= even {
        return false;
    }
    let (slow_speed, fast_speed) = (estimate.speed[slow_rank], estimate.speed[fast_rank]);
    let wanted = difference / (1.0 / slow_speed + 1.0 / fast_speed);
    let tokens = wanted.min(replicas[slow].share * popularity);
    replicas[slow].share -= tokens / popularity;
    replicas[fast].share += tokens / popularity;
    times[slow_rank] -= tokens / slow_speed;
    times[fast_rank] += tokens / fast_speed;
    true
}
