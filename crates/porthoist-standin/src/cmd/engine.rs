//! The subcommand `engine`.

use argh::FromArgs;
use porthoist_standin::engine::{EngineFaults, EngineStandin};

/// Serve completions like a model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineArgs {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// time between tokens in milliseconds (default 0)
    #[argh(option, default = "0")]
    step_ms: u64,
    /// duration of a step of the rank group in milliseconds (default 5)
    #[argh(option, default = "5")]
    group_step_ms: u64,
    /// accept orders with any fencing number
    #[argh(switch)]
    ignore_fence: bool,
}

pub(crate) async fn run(args: EngineArgs) -> miette::Result<()> {
    let standin = EngineStandin::new(!args.ignore_fence);
    standin.set_faults(EngineFaults { step_ms: args.step_ms, ..EngineFaults::default() });
    let step = std::time::Duration::from_millis(args.group_step_ms.max(1));
    tokio::spawn(standin.group().run(step));
    super::serve(&args.listen, move |request| standin.clone().handle(request)).await
}
