//! Settings of the rank role.

use super::ADDRESS;
use super::DaemonRole;
use super::reader::{SettingError, SettingReader};
use argh::FromArgs;
use porthoist_core::{HostName, LinkRate, ZoneName};
use slog::Level;
use std::net::SocketAddr;

/// Run next to a rank of a group: plan and switch its expert maps together with the processes next to the
/// other ranks.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "rank")]
pub struct RankArgs {
    /// only validate the settings, then exit
    #[argh(switch)]
    pub check: bool,
    /// name of the host
    #[argh(option)]
    pub host: Option<String>,
    /// availability zone of the host
    #[argh(option)]
    pub zone: Option<String>,
    /// address of the engine next to the process, IP:PORT
    #[argh(option)]
    pub engine: Option<String>,
    /// address for the processes of the other ranks, IP:PORT; they listen on the same port
    #[argh(option)]
    pub rank_listen: Option<String>,
    /// address for metrics, IP:PORT
    #[argh(option)]
    pub metrics_listen: Option<String>,
    /// address of the platform's table service, IP:PORT
    #[argh(option)]
    pub table: Option<String>,
    /// minimum gain of a replica for the group to copy it, as a fraction of one rank's mean load
    #[argh(option)]
    pub move_price: Option<String>,
    /// capacity of the host's link in Mbit/s
    #[argh(option)]
    pub link_mbps: Option<String>,
    /// maximum number of experts that one switch copies to a rank
    #[argh(option)]
    pub new_a_rank: Option<String>,
    /// log level: debug, info, warning or error
    #[argh(option)]
    pub log_level: Option<String>,
}

/// Validated settings of the rank role.
#[derive(Debug, Clone)]
pub struct RankSettings {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address of the engine next to the process.
    pub engine: SocketAddr,
    /// Address for the processes of the other ranks.
    pub rank_listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Minimum gain of a replica for the group to copy it, as a fraction of one rank's mean load.
    pub move_price: f64,
    /// Capacity of the host's link.
    pub link_rate: LinkRate,
    /// Maximum number of experts that one switch copies to a rank.
    pub new_a_rank: usize,
    /// Log level.
    pub log_level: Level,
}

impl RankSettings {
    /// Reads and validates all settings; `environment` looks up a variable.
    pub fn load<E>(args: RankArgs, environment: E) -> Result<Self, SettingError>
    where
        E: Fn(&str) -> Option<String>,
    {
        let reader = SettingReader { role: DaemonRole::Target, environment };
        Ok(Self {
            host: reader.value("host", args.host, Some("localhost"), "a host name")?,
            zone: reader.value("zone", args.zone, None, "the name of an availability zone")?,
            engine: reader.value("engine", args.engine, None, ADDRESS)?,
            rank_listen: reader.value("rank-listen", args.rank_listen, Some("127.0.0.1:0"), ADDRESS)?,
            metrics_listen: reader.value(
                "metrics-listen",
                args.metrics_listen,
                Some("127.0.0.1:0"),
                ADDRESS,
            )?,
            table: reader.value("table", args.table, None, ADDRESS)?,
            move_price: reader.value("move-price", args.move_price, Some("0.6"), "a number")?,
            link_rate: reader.value("link-mbps", args.link_mbps, Some("100"), "megabits a second")?,
            new_a_rank: reader.value("new-a-rank", args.new_a_rank, Some("4"), "a whole number")?,
            log_level: reader.value(
                "log-level",
                args.log_level,
                Some("info"),
                "debug, info, warning or error",
            )?,
        })
    }
}
