//! Settings from flags and environment variables; a flag takes precedence.
//!
//! Every setting is validated before anything starts. An error names the setting, the given value and what is
//! expected.

mod memory;
pub mod proxy;
pub mod rank;
mod reader;

pub use reader::SettingError;

use argh::FromArgs;
use porthoist_core::secret::SharedSecret;
use porthoist_core::{HostName, ServiceName, TargetName, ZoneName};
use porthoist_policy::proxy::memory_bounds::MemoryBounds;
use proxy::ProxyArgs;
use rank::RankArgs;
use reader::SettingReader;
use slog::Level;
use std::net::SocketAddr;
use std::str::FromStr;

/// The daemon of porthoist. Every flag has an environment variable: `--fleet-key` is `PORTHOIST_FLEET_KEY`.
#[derive(Debug, Default, FromArgs)]
pub struct DaemonArgs {
    /// only validate the settings, then exit
    #[argh(switch)]
    pub check: bool,
    /// role of the process: entry, target or local
    #[argh(option)]
    pub role: Option<String>,
    /// name of this process: the name of the target or the entry
    #[argh(option)]
    pub name: Option<String>,
    /// name of the host
    #[argh(option)]
    pub host: Option<String>,
    /// availability zone of the host
    #[argh(option)]
    pub zone: Option<String>,
    /// address for callers, IP:PORT (entry, local)
    #[argh(option)]
    pub callers_listen: Option<String>,
    /// address for other porthoist processes, IP:PORT
    #[argh(option)]
    pub fleet_listen: Option<String>,
    /// address under which peers reach the fleet listener, IP:PORT (default: the listen address)
    #[argh(option)]
    pub fleet_advertise: Option<String>,
    /// address for operators and metrics, IP:PORT
    #[argh(option)]
    pub operator_listen: Option<String>,
    /// URL of the platform, http://IP:PORT
    #[argh(option)]
    pub platform: Option<String>,
    /// URL of the engine or service next to the process, http://IP:PORT (target)
    #[argh(option)]
    pub backend: Option<String>,
    /// services that the back end runs, separated by commas (target)
    #[argh(option)]
    pub services: Option<String>,
    /// fleet addresses of all ranks of the group in rank order, IP:PORT separated by commas (target)
    #[argh(option)]
    pub group: Option<String>,
    /// number of requests that the back end runs concurrently (target)
    #[argh(option)]
    pub slots: Option<String>,
    /// maximum number of queued requests (target)
    #[argh(option)]
    pub queue: Option<String>,
    /// key shared by all porthoist processes, 16 bytes or more
    #[argh(option)]
    pub fleet_key: Option<String>,
    /// operator token, 16 bytes or more
    #[argh(option)]
    pub operator_token: Option<String>,
    /// memory in megabytes that the process may use (entry, local; default: that of the host)
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// default deadline of a request in milliseconds (entry, local)
    #[argh(option)]
    pub deadline_ms: Option<String>,
    /// time in milliseconds between the stop signal and closing the callers' listener (entry)
    #[argh(option)]
    pub stop_lag_ms: Option<String>,
    /// hedged second attempts for slow requests: on or off (entry, local)
    #[argh(option)]
    pub hedge: Option<String>,
    /// log format: json or terminal
    #[argh(option)]
    pub log: Option<String>,
    /// log level: debug, info, warning or error
    #[argh(option)]
    pub log_level: Option<String>,
    #[argh(subcommand)]
    /// a role with settings of its own
    pub command: Option<DaemonCommand>,
}

/// Subcommands: roles with settings of their own.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
#[expect(clippy::large_enum_variant, reason = "only one value exists, parsed at startup")]
pub enum DaemonCommand {
    /// Forwards requests unchanged.
    Proxy(ProxyArgs),
    /// Runs next to a rank of a group.
    Rank(RankArgs),
}

/// Role of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonRole {
    /// Takes callers' requests.
    Entry,
    /// Runs next to a back end.
    Target,
    /// Runs an entry, targets and stand-ins in one process.
    Local,
}

/// Log format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for a terminal.
    Terminal,
}

/// Validated settings of the entry, target and local roles.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Role of the process.
    pub role: DaemonRole,
    /// Name of the process.
    pub name: TargetName,
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address for callers.
    pub callers_listen: SocketAddr,
    /// Address for other porthoist processes.
    pub fleet_listen: SocketAddr,
    /// Address under which peers reach the fleet listener, if it differs.
    pub fleet_advertise: Option<SocketAddr>,
    /// Address for operators and metrics.
    pub operator_listen: SocketAddr,
    /// URL of the platform.
    pub platform: String,
    /// URL of the back end; empty if there is none.
    pub backend: String,
    /// Services that the back end runs.
    pub services: Vec<ServiceName>,
    /// Fleet addresses of the group's ranks, in rank order.
    pub group: Vec<SocketAddr>,
    /// Number of requests that the back end runs concurrently.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Key shared by all porthoist processes.
    pub fleet_key: SharedSecret,
    /// Token of operators.
    pub operator_token: SharedSecret,
    /// Bounds on what callers make the process hold.
    pub memory: MemoryBounds,
    /// Default deadline of a request in milliseconds.
    pub deadline_millis: u64,
    /// Time in milliseconds between the stop signal and closing the callers' listener.
    pub stop_lag_millis: u64,
    /// Whether slow attempts are hedged with a second one.
    pub hedge: bool,
    /// Log format.
    pub log_format: LogFormat,
    /// Log level.
    pub log_level: Level,
}

impl FromStr for DaemonRole {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "entry" => Ok(Self::Entry),
            "target" => Ok(Self::Target),
            "local" => Ok(Self::Local),
            _ => Err(()),
        }
    }
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "json" => Ok(Self::Json),
            "terminal" => Ok(Self::Terminal),
            _ => Err(()),
        }
    }
}

struct OnOffFlag(bool);

impl FromStr for OnOffFlag {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "on" => Ok(Self(true)),
            "off" => Ok(Self(false)),
            _ => Err(()),
        }
    }
}

pub(super) const ADDRESS: &str = "an address of the form IP:PORT";
pub(super) const MILLIS: &str = "a whole number of milliseconds";

impl DaemonSettings {
    /// Reads and validates all settings; `environment` looks up a variable.
    pub fn load<E>(args: DaemonArgs, environment: E) -> Result<Self, SettingError>
    where
        E: Fn(&str) -> Option<String>,
    {
        let mut reader = SettingReader { role: DaemonRole::Local, environment };
        reader.role = reader.value("role", args.role, None, "entry, target or local")?;
        let local = reader.role == DaemonRole::Local;
        let local_default = |name| if local { Some(name) } else { None };
        let callers_default = if local { "127.0.0.1:8080" } else { "127.0.0.1:0" };
        let operator_default = if local { "127.0.0.1:8081" } else { "127.0.0.1:0" };
        let advertise = match reader.text("fleet-advertise", args.fleet_advertise) {
            None => None,
            given => Some(reader.value("fleet-advertise", given, None, ADDRESS)?),
        };
        let hedge: OnOffFlag = reader.value("hedge", args.hedge, Some("on"), "on or off")?;
        Ok(Self {
            role: reader.role,
            name: reader.value(
                "name",
                args.name,
                local_default("local"),
                "a name of letters, digits, '-', '_' and '.'",
            )?,
            host: reader.value("host", args.host, Some("localhost"), "a host name")?,
            zone: reader.value(
                "zone",
                args.zone,
                local_default("local"),
                "the name of an availability zone",
            )?,
            callers_listen: reader.value(
                "callers-listen",
                args.callers_listen,
                Some(callers_default),
                ADDRESS,
            )?,
            fleet_listen: reader.value("fleet-listen", args.fleet_listen, Some("127.0.0.1:0"), ADDRESS)?,
            fleet_advertise: advertise,
            operator_listen: reader.value(
                "operator-listen",
                args.operator_listen,
                Some(operator_default),
                ADDRESS,
            )?,
            platform: reader.url("platform", args.platform, !local)?,
            backend: reader.url("backend", args.backend, reader.role == DaemonRole::Target)?,
            services: reader.services(args.services)?,
            group: reader.group(args.group)?,
            slots: reader.value("slots", args.slots, Some("64"), "a whole number")?,
            queue: reader.value("queue", args.queue, Some("512"), "a whole number")?,
            fleet_key: reader.secret("fleet-key", args.fleet_key)?,
            operator_token: reader.secret("operator-token", args.operator_token)?,
            memory: memory::memory_bounds(&reader, args.memory_mb, None)?,
            deadline_millis: reader.value("deadline-ms", args.deadline_ms, Some("30000"), MILLIS)?,
            stop_lag_millis: reader.value("stop-lag-ms", args.stop_lag_ms, Some("2000"), MILLIS)?,
            hedge: hedge.0,
            log_format: reader.value("log", args.log, Some("terminal"), "json or terminal")?,
            log_level: reader.value(
                "log-level",
                args.log_level,
                Some("info"),
                "debug, info, warning or error",
            )?,
        })
    }
}
