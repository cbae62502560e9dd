//! `porthoist`: the operator command-line tool.

use porthoist_cli::{ToolArgs, ToolError};
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: ToolArgs = argh::from_env();
    match porthoist_cli::run(args).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            let code = exit_code(&error);
            eprintln!("{:?}", miette::Report::new(error));
            code
        }
    }
}

fn exit_code(error: &ToolError) -> ExitCode {
    ExitCode::from(error.exit_status())
}
