//! `porthoist-spec`: searches every protocol, or every protocol with one rule broken.

use argh::FromArgs;
use porthoist_spec::{CheckedModel, SearchReport, all_models};
use std::process::ExitCode;

/// Search porthoist's protocols exhaustively within bounds.
#[derive(Debug, FromArgs)]
struct SpecArgs {
    /// break one rule at a time; every break must be found
    #[argh(switch)]
    mutants: bool,
    /// use the smaller bounds of the tests
    #[argh(switch)]
    small: bool,
    /// states expanded at most for one search (default 3000000)
    #[argh(option, default = "3_000_000")]
    limit: usize,
}

fn main() -> ExitCode {
    let args: SpecArgs = argh::from_env();
    let mut sound = true;
    for model in all_models(!args.small) {
        sound &= if args.mutants { mutants_caught(&model, args.limit) } else { holds(&model, args.limit) };
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn holds(model: &CheckedModel, limit: usize) -> bool {
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

fn mutants_caught(model: &CheckedModel, limit: usize) -> bool {
    let mut all = true;
    for mutant in &model.mutants {
        let report = mutant.search(limit);
        if let Some((promise, events)) = &report.counterexample {
            println!("caught: {}: {} ({} events)", mutant.rule, promise, events.len());
            continue;
        }
        println!("NOT CAUGHT: {} ({} states)", mutant.rule, report.states);
        all = false;
    }
    all
}

fn print_counterexample(report: &SearchReport) {
    let Some((promise, events)) = &report.counterexample else {
        return;
    };
    println!("  broken: {promise}");
    for (index, event) in events.iter().enumerate() {
        println!("  {:>3}. {event}", index + 1);
    }
}
