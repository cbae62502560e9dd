//! `porthoist-spec`: checks every protocol, or every protocol with one rule disabled at a time.

use argh::FromArgs;
use porthoist_spec::{CheckedModel, SearchReport, all_models};
use std::process::ExitCode;

/// Check porthoist's protocols exhaustively within bounds.
#[derive(Debug, FromArgs)]
struct SpecArgs {
    /// disable one rule at a time; each must lead to a violation
    #[argh(switch)]
    mutants: bool,
    /// use the smaller bounds that the tests use
    #[argh(switch)]
    small: bool,
    /// maximum number of states expanded in one search (default 3000000)
    #[argh(option, default = "3_000_000")]
    limit: usize,
}

fn main() -> ExitCode {
    let args: SpecArgs = argh::from_env();
    let mut all_pass = true;
    for model in all_models(!args.small) {
        all_pass &=
            if args.mutants { check_mutants(&model, args.limit) } else { check_protocol(&model, args.limit) };
    }
    if all_pass { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn check_protocol(model: &CheckedModel, limit: usize) -> bool {
    let report = model.sound.search(limit);
    let result = match (&report.counterexample, report.complete) {
        (Some(_), _) => "BROKEN",
        (None, true) => "holds, every state visited",
        (None, false) => "NOT COMPLETE: the limit was reached",
    };
    println!("{}: {} states, depth {}: {result}", model.name, report.states, report.depth);
    println!("  {}", model.bounds);
    print_counterexample(&report);
    report.counterexample.is_none() && report.complete
}

fn check_mutants(model: &CheckedModel, limit: usize) -> bool {
    let mut all_caught = true;
    for mutant in &model.mutants {
        let report = mutant.search(limit);
        if let Some((property, events)) = &report.counterexample {
            println!("caught: {}: {} ({} events)", mutant.rule, property, events.len());
            continue;
        }
        println!("NOT CAUGHT: {} ({} states)", mutant.rule, report.states);
        all_caught = false;
    }
    all_caught
}

fn print_counterexample(report: &SearchReport) {
    let Some((property, events)) = &report.counterexample else {
        return;
    };
    println!("  violated: {property}");
    for (index, event) in events.iter().enumerate() {
        println!("  {:>3}. {event}", index + 1);
    }
}
