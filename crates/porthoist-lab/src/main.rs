//! `porthoist-lab`: load generator and simulations.

use porthoist_lab::cmd::LabArgs;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> miette::Result<()> {
    let args: LabArgs = argh::from_env();
    let text = porthoist_lab::cmd::run(args)?;
    println!("{text}");
    Ok(())
}
