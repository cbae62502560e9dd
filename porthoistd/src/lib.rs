//! The daemon as a library: load its settings into a [`Daemon`], then run it.
//!
//! Most components run on a thread with a runtime of their own; bounded rings and mailboxes connect them.

pub mod component;
pub mod config;
pub mod logging;
pub mod role;
pub mod settings;

use miette::IntoDiagnostic as _;
use settings::proxy::ProxySettings;
use settings::rank::RankSettings;
use settings::{DaemonCommand, DaemonRole, DaemonSettings, LogFormat};
use slog::{Level, Logger};
use std::io;

/// A daemon that is ready to run.
#[derive(Debug)]
pub struct Daemon {
    settings: DaemonSettings,
    logger: Logger,
}

impl Daemon {
    /// Creates a daemon from validated settings.
    pub fn load(settings: DaemonSettings, logger: Logger) -> miette::Result<Self> {
        Ok(Self { settings, logger })
    }

    /// Runs until a signal stops it and no request is in flight.
    pub fn run(self) -> miette::Result<()> {
        let Self { settings, logger } = self;
        match settings.role {
            DaemonRole::Entry => role::entry::run(settings, &logger),
            DaemonRole::Target => role::target::run(settings, &logger),
            DaemonRole::Local => role::local::run(settings, &logger),
        }
        .into_diagnostic()
    }
}

impl DaemonCommand {
    /// Validates the command's settings and runs its role until a signal stops it.
    pub fn run(self) -> miette::Result<()> {
        let environment = |name: &str| std::env::var(name).ok();
        match self {
            Self::Proxy(args) => {
                let check = args.check;
                let settings = ProxySettings::load(args, environment)?;
                run_checked(check, settings.log_level, |logger| role::proxy::run(settings, logger))
            }
            Self::Rank(args) => {
                let check = args.check;
                let settings = RankSettings::load(args, environment)?;
                run_checked(check, settings.log_level, |logger| role::rank::run(settings, logger))
            }
        }
    }
}

/// Runs a role, or only reports that its settings are valid if `check` is set.
fn run_checked<R>(check: bool, level: Level, role: R) -> miette::Result<()>
where
    R: FnOnce(&Logger) -> io::Result<()>,
{
    if check {
        println!("the settings are valid");
        return Ok(());
    }
    let (logger, _flush) = logging::logger(LogFormat::Json, level);
    logging::log_panics(logger.clone());
    role(&logger).into_diagnostic()
}
