//! Tests that shifts of demand are distinguished from the noise of windows with few requests.

use porthoist_policy::placement::demand::{DemandChange, DemandEstimator};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const SETS: usize = 3;
const EXPERTS: usize = 96;
/// Number of requests in a window.
const REQUESTS: usize = 40;
/// Counts that each choice of an expert adds.
const COUNTS_PER_CHOICE: u64 = 300;
/// Number of experts that a request chooses in a set.
const CHOSEN: usize = 8;

/// Counts of a window whose requests prefer the experts after `centre`; each chooses a few of them many times.
fn window(random: &mut Pcg64Mcg, centre: usize) -> Vec<u64> {
    let mut counts = vec![0; SETS * EXPERTS];
    for _request in 0..REQUESTS {
        for set in 0..SETS {
            for _choice in 0..CHOSEN {
                let offset = random.random_range(0..EXPERTS / 4) + random.random_range(0..EXPERTS / 4);
                let expert = (centre + offset) % EXPERTS;
                counts[set * EXPERTS + expert] += COUNTS_PER_CHOICE;
            }
        }
    }
    counts
}

fn distance(estimate: &[Vec<f64>], centre: usize) -> f64 {
    let mut random = Pcg64Mcg::seed_from_u64(99);
    let mut sums = vec![0; SETS * EXPERTS];
    for _window in 0..200 {
        for (sum, count) in sums.iter_mut().zip(window(&mut random, centre)) {
            *sum += count;
        }
    }
    let total = sums.iter().sum::<u64>() as f64 / SETS as f64;
    let pairs = estimate.iter().flatten().zip(&sums);
    pairs.map(|(known, sum)| (known - *sum as f64 / total).abs()).sum::<f64>() / 2.0 / SETS as f64
}

#[test]
fn steady_demand_shows_no_shift() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut estimator = DemandEstimator::new(SETS, EXPERTS);
    let mut changes: BTreeMap<String, usize> = BTreeMap::new();
    for _window in 0..1_000 {
        *changes.entry(format!("{:?}", estimator.add_window(&window(&mut random, 0)))).or_default() += 1;
    }
    // The first window sets the estimate and counts as a shift.
    assert_eq!(changes, BTreeMap::from([("Shifted".to_owned(), 1), ("Steady".to_owned(), 999)]));
}

#[test]
fn shift_is_confirmed_by_next_window() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut estimator = DemandEstimator::new(SETS, EXPERTS);
    for shift in 1..20 {
        for _window in 0..20 {
            estimator.add_window(&window(&mut random, shift * 30));
        }
        let changes = [0, 1, 2].map(|_window| estimator.add_window(&window(&mut random, (shift + 1) * 30)));
        assert_eq!(
            changes,
            [DemandChange::PossibleShift, DemandChange::Shifted, DemandChange::Steady],
            "shift {shift}"
        );
    }
}

#[test]
fn estimate_after_shift_is_mean_of_later_windows() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut estimator = DemandEstimator::new(SETS, EXPERTS);
    for _window in 0..20 {
        estimator.add_window(&window(&mut random, 0));
    }
    let mut errors = Vec::new();
    for _window in 0..10 {
        estimator.add_window(&window(&mut random, 48));
        errors.push(distance(estimator.demand(), 48));
    }
    // The first window changes nothing. From the second on, the error decreases with the square root of their number.
    assert!(errors[0] > 0.4, "{errors:?}");
    assert!(errors[1] < 0.2, "{errors:?}");
    assert!(errors[9] < errors[1] * 0.5, "{errors:?}");
}

#[test]
fn counts_of_other_shape_are_ignored() {
    let mut estimator = DemandEstimator::new(SETS, EXPERTS);
    let before = estimator.demand().to_vec();
    assert_eq!(estimator.add_window(&[5; EXPERTS]), DemandChange::Steady);
    assert_eq!(estimator.add_window(&[0; SETS * EXPERTS]), DemandChange::Steady);
    assert_eq!(estimator.demand(), before);
}

/// A shift before the usual deviation is learned must not be learned as noise, which would hide later shifts.
#[test]
fn early_shift_does_not_hide_later_shifts() {
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let mut estimator = DemandEstimator::new(SETS, EXPERTS);
    for centre in [0, 30, 30, 30] {
        estimator.add_window(&window(&mut random, centre));
    }
    let mut shifts = 0;
    for shift in 2..8 {
        for _window in 0..12 {
            let changes = estimator.add_window(&window(&mut random, shift * 30));
            shifts += u32::from(changes == DemandChange::Shifted);
        }
    }
    assert_eq!(shifts, 6);
}
