//! The subcommands, a file for each.

pub mod experts;
pub mod limits;
pub mod load;
pub mod route;

use argh::FromArgs;

/// Measure porthoist: experiments with its decisions against baselines, and load on its processes.
#[derive(Debug, FromArgs)]
pub struct LabArgs {
    #[argh(subcommand)]
    command: LabCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum LabCommand {
    Experts(experts::ExpertsArgs),
    Limits(limits::LimitsArgs),
    Load(load::LoadArgs),
    Route(route::RouteArgs),
}

/// Runs a command and returns its report.
pub fn run(args: LabArgs) -> miette::Result<String> {
    match args.command {
        LabCommand::Experts(args) => experts::run(&args),
        LabCommand::Limits(args) => limits::run(&args),
        LabCommand::Load(args) => load::run(&args),
        LabCommand::Route(args) => route::run(&args),
    }
}
