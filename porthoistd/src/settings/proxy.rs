//! Settings of the proxy role.

use super::memory::memory_bounds;
use super::reader::{SettingError, SettingReader};
use super::{ADDRESS, DaemonRole};
use argh::FromArgs;
use porthoist_core::{HostName, ZoneName};
use porthoist_policy::proxy::change_bound::ChangeBound;
use porthoist_policy::proxy::drain::MIN_GRACE_MILLIS;
use porthoist_policy::proxy::memory_bounds::MemoryBounds;
use porthoist_policy::proxy::outages::StalenessBound;
use porthoist_proxy::MIN_PROOF_AGE_MILLIS;
use slog::Level;
use std::net::SocketAddr;

/// Forward requests unchanged, by the routes of the platform's table service.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// only validate the settings, then exit
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
    /// address of the load balancer's readiness checks, IP:PORT
    #[argh(option)]
    pub ready_listen: Option<String>,
    /// address for metrics, IP:PORT
    #[argh(option)]
    pub metrics_listen: Option<String>,
    /// address of the platform's table service, IP:PORT
    #[argh(option)]
    pub table: Option<String>,
    /// milliseconds within which a revoked key must stop working
    #[argh(option)]
    pub revoke_ms: Option<String>,
    /// milliseconds within which a host must detect the loss of its connections
    #[argh(option)]
    pub notice_ms: Option<String>,
    /// milliseconds within which a change of the configuration must be in force
    #[argh(option)]
    pub apply_ms: Option<String>,
    /// milliseconds after which a leaving target must get no new requests
    #[argh(option)]
    pub leaving_ms: Option<String>,
    /// true: refuse requests with a key while the configuration may be out of date; false: keep using it
    #[argh(option)]
    pub refuse_unproven: Option<String>,
    /// maximum number of seconds between the stop signal and the exit of the process, 1 to 3600
    #[argh(option)]
    pub grace_s: Option<String>,
    /// retries that all processes together may send per request
    #[argh(option)]
    pub retry_ratio: Option<String>,
    /// length in seconds of the window in which retries are counted
    #[argh(option)]
    pub retry_window_s: Option<String>,
    /// retries per window that all processes together may send in addition to the ratio
    #[argh(option)]
    pub retry_slack: Option<String>,
    /// requests of this process that a rank runs at once while the load of other processes is unknown
    #[argh(option)]
    pub per_rank: Option<String>,
    /// requests of all processes that a rank runs at once while the load of all processes is known
    #[argh(option)]
    pub rank_limit: Option<String>,
    /// port of the processes next to engines, which report the loads of groups; without it, loads stay
    /// unknown
    #[argh(option)]
    pub rank_port: Option<String>,
    /// number of entry processes that send to the same targets, for limits named by targets; used while no
    /// process next to an engine counts them
    #[argh(option)]
    pub entries: Option<String>,
    /// true: divide the capacity of all services with ranks among entries; false: only that of services
    /// whose requests have several priorities
    #[argh(option)]
    pub share_capacity: Option<String>,
    /// memory in megabytes that the process may use (default: that of the host)
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// maximum number of bytes held for all callers together: 0 for no bound, or at least 1048576 (default: half of the
    /// memory)
    #[argh(option)]
    pub held_bytes: Option<String>,
    /// milliseconds after which a response of which its caller reads nothing is cut; 0 for never
    #[argh(option)]
    pub unread_ms: Option<String>,
    /// bytes of the requests to one service that wait during an outage
    #[argh(option)]
    pub outage_wait_bytes: Option<String>,
    /// log level: debug, info, warning or error
    #[argh(option)]
    pub log_level: Option<String>,
}

/// Validated settings of the proxy role.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address for callers.
    pub callers_listen: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Time in milliseconds within which a revoked key must stop working.
    pub revoke_millis: u64,
    /// Maximum age of what is known about targets.
    pub bound: StalenessBound,
    /// Time within which changes of the configuration and of targets must be in force.
    pub change_bound: ChangeBound,
    /// Whether requests with a key are refused while the configuration may be out of date.
    pub refuse_unproven: bool,
    /// Maximum time in milliseconds from the stop signal to the exit.
    pub grace_millis: u64,
    /// Retries of all processes per request.
    pub retry_ratio: f64,
    /// Length in milliseconds of the window in which retries are counted.
    pub retry_window_millis: u64,
    /// Retries of all processes per window in addition to the ratio.
    pub retry_slack: f64,
    /// Requests of this process that a rank runs at once while the load of other processes is unknown.
    pub per_rank: u32,
    /// Requests of all processes that a rank runs at once while the load of all processes is known.
    pub rank_limit: u32,
    /// Port of the processes next to engines, if they are to be queried for loads.
    pub rank_port: Option<u16>,
    /// Number of entry processes that send to the same targets, used while no process counts them; 0 if
    /// unknown.
    pub entries: u32,
    /// Whether the capacity of all services with ranks is divided among entries.
    pub share_capacity: bool,
    /// Bounds on what callers make the process hold.
    pub memory: MemoryBounds,
    /// Time in milliseconds after which a response of which its caller reads nothing is cut; 0 for never.
    pub unread_millis: u64,
    /// Bytes of the requests to one service that wait during an outage.
    pub outage_wait_bytes: u64,
    /// Log level.
    pub log_level: Level,
}

const SECONDS: &str = "a number of seconds";
/// Margin in milliseconds subtracted from the time within which a revoked key must stop working: the local
/// clock follows the table service's with an error of some milliseconds.
pub const PROOF_MARGIN_MILLIS: u64 = 400;
/// Minimum time in milliseconds within which a revoked key can be made to stop working. With less, the proof
/// that the configuration is the newest would expire between two polls.
const MIN_REVOKE_MILLIS: u64 = MIN_PROOF_AGE_MILLIS + PROOF_MARGIN_MILLIS;
const REVOKE_RANGE: &str = "milliseconds from 1000 to 3600000";
const _: () = assert!(MIN_REVOKE_MILLIS == 1_000, "REVOKE_RANGE names the minimum");

/// Minimum time in milliseconds within which a change can be made to be in force: a process whose usual source
/// fails must have time to ask others.
const MIN_APPLY_MILLIS: u64 = 1_000;
const APPLY_RANGE: &str = "milliseconds from 1000 to 3600000";

/// Maximum grace period in milliseconds.
const MAX_GRACE_MILLIS: u64 = 3_600_000;
const GRACE_FLAG: &str = "grace-s";
const GRACE_RANGE: &str = "a number of seconds from 1 to 3600";
const _: () = assert!(MIN_GRACE_MILLIS == 1_000, "GRACE_RANGE names the minimum");

fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1_000.0) as u64
}

/// Reads the bound on the time until changes are in force: the tightest of the limits that are set. Without
/// one, the tables are polled as rarely as proofs of freshness permit.
fn change_bound<E>(reader: &SettingReader<E>, args: &ProxyArgs) -> Result<ChangeBound, SettingError>
where
    E: Fn(&str) -> Option<String>,
{
    let is_set = |flag, given: &Option<String>| reader.text(flag, given.clone()).is_some();
    let mut limits = Vec::new();
    if is_set("apply-ms", &args.apply_ms) {
        let given = args.apply_ms.clone();
        limits.push(reader.millis_from(MIN_APPLY_MILLIS, APPLY_RANGE, "apply-ms", given, "")?);
    }
    if is_set("leaving-ms", &args.leaving_ms) {
        limits.push(reader.millis("leaving-ms", args.leaving_ms.clone(), "")?);
    }
    if is_set("revoke-ms", &args.revoke_ms) {
        limits.push(reader.millis_from(
            MIN_REVOKE_MILLIS,
            REVOKE_RANGE,
            "revoke-ms",
            args.revoke_ms.clone(),
            "",
        )?);
    }
    Ok(ChangeBound::tightest(limits))
}

/// Reads the grace period.
fn grace_millis<E>(reader: &SettingReader<E>, given: Option<String>) -> Result<u64, SettingError>
where
    E: Fn(&str) -> Option<String>,
{
    let seconds: f64 = reader.value(GRACE_FLAG, given, Some("8"), GRACE_RANGE)?;
    let grace_millis = millis(seconds);
    if !(MIN_GRACE_MILLIS..=MAX_GRACE_MILLIS).contains(&grace_millis) {
        return Err(SettingReader::<E>::error(GRACE_FLAG, format!("\"{seconds}\" given"), GRACE_RANGE));
    }
    Ok(grace_millis)
}

impl ProxySettings {
    /// Reads and validates all settings; `environment` looks up a variable.
    pub fn load<E>(args: ProxyArgs, environment: E) -> Result<Self, SettingError>
    where
        E: Fn(&str) -> Option<String>,
    {
        let reader = SettingReader { role: DaemonRole::Entry, environment };
        let number = "a number";
        let change_bound = change_bound(&reader, &args)?;
        let revoke_millis =
            reader.millis_from(MIN_REVOKE_MILLIS, REVOKE_RANGE, "revoke-ms", args.revoke_ms, "5000")?;
        let leaving_millis = reader.millis("leaving-ms", args.leaving_ms, "2000")?;
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
            revoke_millis,
            bound: StalenessBound::new(reader.millis("notice-ms", args.notice_ms, "3000")?, leaving_millis),
            change_bound,
            refuse_unproven: reader.value(
                "refuse-unproven",
                args.refuse_unproven,
                Some("true"),
                "true or false",
            )?,
            grace_millis: grace_millis(&reader, args.grace_s)?,
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
            share_capacity: reader.value(
                "share-capacity",
                args.share_capacity,
                Some("false"),
                "true or false",
            )?,
            memory: memory_bounds(&reader, args.memory_mb, args.held_bytes)?,
            unread_millis: reader.millis("unread-ms", args.unread_ms, "0")?,
            outage_wait_bytes: reader.value(
                "outage-wait-bytes",
                args.outage_wait_bytes,
                Some("16777216"),
                "a whole number",
            )?,
            log_level: reader.value(
                "log-level",
                args.log_level,
                Some("info"),
                "debug, info, warning or error",
            )?,
        })
    }
}
