//! The subcommand `service`.

use argh::FromArgs;
use porthoist_standin::service::ServiceStandin;

/// Echo any HTTP request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct ServiceArgs {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
}

pub(crate) async fn run(args: ServiceArgs) -> miette::Result<()> {
    let standin = ServiceStandin::default();
    super::serve(&args.listen, move |request| standin.clone().handle(request)).await
}
