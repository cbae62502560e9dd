//! `porthoistd`: the daemon.

use porthoistd::settings::{DaemonArgs, DaemonSettings};
use porthoistd::{Daemon, logging};

#[cfg(feature = "mimalloc")]
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> miette::Result<()> {
    let mut args: DaemonArgs = argh::from_env();
    if let Some(command) = args.command.take() {
        return command.run();
    }
    let check = args.check;
    let settings = DaemonSettings::load(args, |name| std::env::var(name).ok())?;
    if check {
        println!("the settings are valid");
        return Ok(());
    }
    let (logger, _flush) = logging::logger(settings.log_format, settings.log_level);
    logging::log_panics(logger.clone());
    Daemon::load(settings, logger)?.run()
}
