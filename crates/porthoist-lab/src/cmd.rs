//! The subcommands, one per file.

pub mod capacity;
pub mod experts;
pub mod groups;
pub mod limits;
pub mod load;
pub mod needs;
pub mod overload;
pub mod route;
pub mod storm;

use argh::FromArgs;

/// Measure porthoist: simulate its decisions in comparison with baselines, and load its processes.
#[derive(Debug, FromArgs)]
pub struct LabArgs {
    #[argh(subcommand)]
    command: LabCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum LabCommand {
    Capacity(capacity::CapacityArgs),
    Experts(experts::ExpertsArgs),
    Groups(groups::GroupsArgs),
    Limits(limits::LimitsArgs),
    Load(load::LoadArgs),
    Needs(needs::NeedsArgs),
    Overload(overload::OverloadArgs),
    Route(route::RouteArgs),
    Storm(storm::StormArgs),
}

/// Runs a subcommand and returns its report.
pub fn run(args: LabArgs) -> miette::Result<String> {
    match args.command {
        LabCommand::Capacity(args) => capacity::run(&args),
        LabCommand::Experts(args) => experts::run(&args),
        LabCommand::Groups(args) => groups::run(&args),
        LabCommand::Limits(args) => limits::run(&args),
        LabCommand::Load(args) => load::run(&args),
        LabCommand::Needs(args) => needs::run(&args),
        LabCommand::Overload(args) => overload::run(&args),
        LabCommand::Route(args) => route::run(&args),
        LabCommand::Storm(args) => storm::run(&args),
    }
}
