//! The subcommand `platform`.

use argh::FromArgs;
use miette::{Context, IntoDiagnostic};
use porthoist_standin::platform::PlatformStandin;
use serde_json::Value;
use std::collections::BTreeMap;

/// Serve a table, an object store and a host list from memory.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArgs {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// file with the initial table items: a JSON object that maps keys to values
    #[argh(option)]
    items: Option<String>,
}

pub(crate) async fn run(args: PlatformArgs) -> miette::Result<()> {
    let items = match args.items {
        Some(path) => read_items(&path)?,
        None => Vec::new(),
    };
    let standin = PlatformStandin::with_items(items);
    super::serve(&args.listen, move |request| standin.clone().handle(request)).await
}

fn read_items(path: &str) -> miette::Result<Vec<(String, Value)>> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read the items file {path:?}"))?;
    let items: BTreeMap<String, Value> =
        serde_json::from_str(&text).into_diagnostic().wrap_err("the items file is not a JSON object")?;
    Ok(items.into_iter().collect())
}
