//! Settings of the proxy role.

use super::reader::{SettingError, SettingReader};
use super::{ADDRESS, DaemonRole};
use argh::FromArgs;
use porthoist_core::{HostName, ZoneName};
use porthoist_policy::proxy::targets::StalenessBound;
use slog::Level;
use std::net::SocketAddr;

/// Pass requests on as they are, by the routes of the platform's table service.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// only check the settings
    #[argh(switch)]
    pub check: bool,
    /// name of the host
    #[argh(option)]
    pub host: Option<String>,
    /// availability zone of the host
    #[argh(option)]
    pub zone: Option<String>,
    /// address for callers, IP:PORT
    #[argh(option)]
    pub callers_listen: Option<String>,
    /// address for the balancer's question whether the process is ready, IP:PORT
    #[argh(option)]
    pub ready_listen: Option<String>,
    /// address for metrics, IP:PORT
    #[argh(option)]
    pub metrics_listen: Option<String>,
    /// address of the platform's table service, IP:PORT
    #[argh(option)]
    pub table: Option<String>,
    /// milliseconds within which a key that was taken away must run nothing any more
    #[argh(option)]
    pub revoke_ms: Option<String>,
    /// milliseconds within which a host must notice that its connections are gone
    #[argh(option)]
    pub notice_ms: Option<String>,
    /// milliseconds after which a target that leaves must get nothing new
    #[argh(option)]
    pub leaving_ms: Option<String>,
    /// true: refuse requests with a key while the configuration held may be out of date; false: go on with it
    #[argh(option)]
    pub refuse_unproven: Option<String>,
    /// seconds between the signal to stop and the end of the process at the latest
    #[argh(option)]
    pub grace_s: Option<String>,
    /// repeats that all processes together may send for each request
    #[argh(option)]
    pub retry_ratio: Option<String>,
    /// seconds over which repeats are counted
    #[argh(option)]
    pub retry_window_s: Option<String>,
    /// repeats in a window that all processes together may send beside the ratio
    #[argh(option)]
    pub retry_slack: Option<String>,
    /// requests of this process that a rank of a group runs at once while the others' are not known
    #[argh(option)]
    pub per_rank: Option<String>,
    /// requests of all processes that a rank of a group runs at once while they are known
    #[argh(option)]
    pub rank_limit: Option<String>,
    /// port of the processes beside engines, which tell the loads of a group; without it, they are not known
    #[argh(option)]
    pub rank_port: Option<String>,
    /// entry processes that send to the same targets, for limits that targets name, while no process beside an engine counts them
    #[argh(option)]
    pub entries: Option<String>,
    /// debug, info, warning or error
    #[argh(option)]
    pub log_level: Option<String>,
}

/// Checked settings of the proxy role.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// Its host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// For callers.
    pub callers_listen: SocketAddr,
    /// For the balancer.
    pub ready_listen: SocketAddr,
    /// For metrics.
    pub metrics_listen: SocketAddr,
    /// The table service.
    pub table: SocketAddr,
    /// Time in milliseconds within which a key that was taken away must run nothing any more.
    pub revoke_millis: u64,
    /// How old what is believed of targets may be.
    pub bound: StalenessBound,
    /// Whether requests with a key are refused while the configuration held may be out of date.
    pub refuse_unproven: bool,
    /// Time in milliseconds from the signal to stop to the end.
    pub grace_millis: u64,
    /// Repeats of all processes for each request.
    pub retry_ratio: f64,
    /// Window in milliseconds over which they are counted.
    pub retry_window_millis: u64,
    /// Repeats of all processes in a window beside the ratio.
    pub retry_slack: f64,
    /// Requests of this process that a rank runs at once while the others' are not known.
    pub per_rank: u32,
    /// Requests of all processes that a rank runs at once while they are known.
    pub rank_limit: u32,
    /// Port of the processes beside engines.
    pub rank_port: Option<u16>,
    /// Entry processes that send to the same targets, while nobody counts them.
    pub entries: u32,
    /// What is logged.
    pub log_level: Level,
}

const SECONDS: &str = "a number of seconds";

fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1_000.0) as u64
}

impl ProxySettings {
    /// Reads and checks all settings; `environment` looks a variable up.
    pub fn load<E>(args: ProxyArgs, environment: E) -> Result<Self, SettingError>
    where
        E: Fn(&str) -> Option<String>,
    {
        let reader = SettingReader { role: DaemonRole::Entry, environment };
        let number = "a number";
        Ok(Self {
            host: reader.value("host", args.host, Some("localhost"), "a host name")?,
            zone: reader.value("zone", args.zone, None, "the name of an availability zone")?,
            callers_listen: reader.value(
                "callers-listen",
                args.callers_listen,
                Some("127.0.0.1:0"),
                ADDRESS,
            )?,
            ready_listen: reader.value("ready-listen", args.ready_listen, Some("127.0.0.1:0"), ADDRESS)?,
            metrics_listen: reader.value(
                "metrics-listen",
                args.metrics_listen,
                Some("127.0.0.1:0"),
                ADDRESS,
            )?,
            table: reader.value("table", args.table, None, ADDRESS)?,
            revoke_millis: reader.millis("revoke-ms", args.revoke_ms, "5000")?,
            bound: StalenessBound::new(
                reader.millis("notice-ms", args.notice_ms, "3000")?,
                reader.millis("leaving-ms", args.leaving_ms, "2000")?,
            ),
            refuse_unproven: reader.value(
                "refuse-unproven",
                args.refuse_unproven,
                Some("true"),
                "true or false",
            )?,
            grace_millis: millis(reader.value("grace-s", args.grace_s, Some("8"), SECONDS)?),
            retry_ratio: reader.value("retry-ratio", args.retry_ratio, Some("0.2"), number)?,
            retry_window_millis: millis(reader.value(
                "retry-window-s",
                args.retry_window_s,
                Some("10"),
                SECONDS,
            )?),
            retry_slack: reader.value("retry-slack", args.retry_slack, Some("0"), number)?,
            rank_limit: reader.value("rank-limit", args.rank_limit, Some("12"), "a whole number")?,
            rank_port: reader.optional("rank-port", args.rank_port, "a port")?,
            per_rank: reader.value("per-rank", args.per_rank, Some("3"), "a whole number")?,
            entries: reader.value("entries", args.entries, Some("0"), "a whole number")?,
            log_level: reader.value(
                "log-level",
                args.log_level,
                Some("info"),
                "debug, info, warning or error",
            )?,
        })
    }
}
