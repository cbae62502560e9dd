//! Randomized selection among loads that other processes see as well, with a delay.
//!
//! If each process took the least loaded target, all would take the same one until the next report.
//! Instead, the requests expected until then are distributed over the targets up to a common level, and
//! each target is chosen with the probability of its share of them (load interpretation, after Dahlin).

/// Requests per target that all processes are expected to send between two reports: 0.8 (160 ms) to 1.4
/// (330 ms) in the users' deployments.
const EXPECTED_PER_TARGET: f64 = 1.0;

/// Chooses the index of a load; `point` is random between 0 and 1. Returns `None` without loads.
pub(crate) fn choose_by_level(loads: &[f64], point: f64) -> Option<usize> {
    let level = common_level(loads, EXPECTED_PER_TARGET * loads.len() as f64);
    let room = |load: &f64| (level - load).max(0.0);
    let total: f64 = loads.iter().map(room).sum();
    let mut remaining = point * total;
    for (index, load) in loads.iter().enumerate() {
        let room = room(load);
        if room > 0.0 && remaining < room {
            return Some(index);
        }
        remaining -= room;
    }
    // Reached only through rounding errors.
    (0..loads.len()).min_by(|left, right| loads[*left].total_cmp(&loads[*right]))
}

/// The level that the loads reach after `expected` more requests.
fn common_level(loads: &[f64], expected: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut level = 0.0;
    for (index, load) in sorted.iter().enumerate() {
        sum += load;
        let filled = (sum + expected) / (index + 1) as f64;
        level = filled;
        if sorted.get(index + 1).is_none_or(|next| filled <= *next) {
            break;
        }
    }
    level
}
