//! Balances the shares of an expert's replicas by moving tokens from slower replicas to faster ones.

use super::GroupEstimate;
use super::map::{ExpertId, ExpertMap};

/// Maximum number of passes over all replicated experts.
const MAX_PASSES: usize = 24;
/// Differences below this fraction of the mean time are tolerated.
const TOLERANCE: f64 = 0.002;

/// Returns the predicted time of each rank: its tokens divided by its speed.
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

/// Balances the ranks' times by changing shares only.
pub fn balance_shares(map: &mut ExpertMap, estimate: &GroupEstimate) {
    let mut times = rank_times(map, estimate);
    let tolerance = TOLERANCE / estimate.speed.iter().sum::<f64>();
    let replicated: Vec<ExpertId> = (0..map.experts())
        .map(|expert| ExpertId(expert as u16))
        .filter(|expert| map.replicas(*expert).len() > 1)
        .collect();
    for _ in 0..MAX_PASSES {
        let mut moved = false;
        for expert in &replicated {
            moved |= balance_expert(map, *expert, estimate, &mut times, tolerance);
        }
        if !moved {
            return;
        }
    }
}

/// Moves tokens of an expert from its slowest replica to its fastest; returns whether any were moved.
fn balance_expert(
    map: &mut ExpertMap,
    expert: ExpertId,
    estimate: &GroupEstimate,
    times: &mut [f64],
    tolerance: f64,
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
    if difference <= tolerance {
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
