//! `porthoist-standin`: runs one stand-in as a process.

mod cmd;

use argh::FromArgs;

/// Stand-ins for the platform, model engines and plain services, for testing only.
#[derive(Debug, FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Platform(cmd::platform::PlatformArgs),
    Engine(cmd::engine::EngineArgs),
    Service(cmd::service::ServiceArgs),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> miette::Result<()> {
    let args: StandinArgs = argh::from_env();
    match args.command {
        StandinCommand::Platform(args) => cmd::platform::run(args).await,
        StandinCommand::Engine(args) => cmd::engine::run(args).await,
        StandinCommand::Service(args) => cmd::service::run(args).await,
    }
}
