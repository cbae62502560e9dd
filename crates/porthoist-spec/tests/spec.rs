//! Checks that the protocols hold within the small bounds, and that every mutant is caught.

use porthoist_spec::all_models;
use test_case::test_case;

const LIMIT: usize = 3_000_000;

#[test_case(0; "at most once")]
#[test_case(1; "unkeyed")]
#[test_case(2; "expert map switch of 2 ranks")]
#[test_case(3; "expert map switch of 3 ranks")]
#[test_case(4; "configuration")]
#[test_case(5; "roll-forward switch")]
#[test_case(6; "held groups")]
#[test_case(7; "formations")]
#[test_case(8; "relays")]
#[test_case(9; "relays and formations")]
fn protocol_holds(index: usize) {
    let model = &all_models(false)[index];
    let report = model.sound.search(LIMIT);
    assert_eq!(report.counterexample, None, "{}", model.name);
    assert!(report.complete, "{}: the limit was reached", model.name);
}

#[test_case(0; "at most once")]
#[test_case(1; "unkeyed")]
#[test_case(2; "expert map switch of 2 ranks")]
#[test_case(3; "expert map switch of 3 ranks")]
#[test_case(4; "configuration")]
#[test_case(5; "roll-forward switch")]
#[test_case(6; "held groups")]
#[test_case(7; "formations")]
#[test_case(8; "relays")]
#[test_case(9; "relays and formations")]
fn mutants_are_caught(index: usize) {
    let model = &all_models(false)[index];
    for mutant in &model.mutants {
        let report = mutant.search(LIMIT);
        assert!(report.counterexample.is_some(), "{}: not caught: {}", model.name, mutant.rule);
    }
}
