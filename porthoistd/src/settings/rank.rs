//! Settings of the rank role.

use super::ADDRESS;
use super::DaemonRole;
use super::reader::{SettingError, SettingReader};
use argh::FromArgs;
use porthoist_core::{HostName, LinkRate, ZoneName};
use slog::Level;
use std::net::SocketAddr;

/// Stand beside a rank of a group: plan and switch its expert maps with the processes beside the other ranks.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "rank")]
pub struct RankArgs {
    /// only check the settings
    #[argh(switch)]
    pub check: bool,
    /// name of the host
    #[argh(option)]
    pub host: Option<String>,
    /// availability zone of the host
    #[argh(option)]
    pub zone: Option<String>,
    /// address of the engine beside the process, IP:PORT
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
    /// part of one rank's mean load that a replica must win for the group to be copied
    #[argh(option)]
    pub move_price: Option<String>,
    /// what the host's link carries, in Mbit/s
    #[argh(option)]
    pub link_mbps: Option<String>,
    /// experts that one switch copies to a rank at most
    #[argh(option)]
    pub new_a_rank: Option<String>,
    /// debug, info, warning or error
    #[argh(option)]
    pub log_level: Option<String>,
}

/// Checked settings of the rank role.
#[derive(Debug, Clone)]
pub struct RankSettings {
    /// Its host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The engine.
    pub engine: SocketAddr,
    /// For the other ranks' processes.
    pub rank_listen: SocketAddr,
    /// For metrics.
    pub metrics_listen: SocketAddr,
    /// The table service.
    pub table: SocketAddr,
    /// Part of one rank's mean load that a replica must win for the group.
    pub move_price: f64,
    /// What the host's link carries.
    pub link_rate: LinkRate,
    /// Experts that one switch copies to a rank at most.
    pub new_a_rank: usize,
    /// What is logged.
    pub log_level: Level,
}

impl RankSettings {
    /// Reads and checks all settings; `environment` looks a variable up.
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
