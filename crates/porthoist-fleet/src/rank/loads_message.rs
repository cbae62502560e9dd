//! Conversion of a group's loads to and from capnp messages.

use super::aged_loads::millis;
use super::convert::{layout_of, read_hosts, write_hosts};
use super::entry_demands::{pack_demand, unpack_demand};
use crate::rank_capnp::rank_process::loads_results;
use capnp::Error;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::pass_time::GroupPass;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Bit of a rank's byte that marks the process next to it as unreachable.
const UNREACHABLE_BIT: u8 = 0x80;
/// Largest number of requests that a rank's byte can hold.
const MAX_REQUESTS: u8 = 0x7f;

pub(crate) fn pack_requests(loads: &GroupLoads) -> Vec<u8> {
    let byte = |rank: &RankLoad| {
        let requests = u8::try_from(rank.requests).unwrap_or(u8::MAX).min(MAX_REQUESTS);
        if rank.silent { requests | UNREACHABLE_BIT } else { requests }
    };
    loads.ranks.iter().map(byte).collect()
}

/// Loads of a group as they are sent, except for the hosts of its ranks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EncodedLoads<'a> {
    pub revision: u64,
    pub requests: &'a [u8],
    pub pass: u16,
    pub age: u16,
    pub demand: &'a [u8],
}

pub(crate) fn decode_loads(encoded: EncodedLoads<'_>, hosts: &[Ipv4Addr]) -> Result<GroupLoads, Error> {
    let EncodedLoads { revision, requests, pass, age, demand } = encoded;
    let ranks = hosts.iter().zip(requests);
    let ranks = ranks.map(|(host, byte)| RankLoad {
        host: *host,
        requests: u32::from(byte & MAX_REQUESTS),
        silent: byte & UNREACHABLE_BIT != 0,
    });
    Ok(GroupLoads {
        revision: LoadRevision(revision),
        age_millis: age.into(),
        demand: unpack_demand(demand)?,
        pass: unpack_pass(pass),
        ranks: ranks.collect(),
    })
}

/// Encoding of the pass time of a group that is not formed.
const BROKEN_PASS: u16 = u16::MAX;

pub(crate) fn pack_pass(pass: GroupPass) -> u16 {
    match pass {
        GroupPass::Unknown => 0,
        GroupPass::Millis(millis) => millis.clamp(1, BROKEN_PASS - 1),
        GroupPass::Broken => BROKEN_PASS,
    }
}

fn unpack_pass(millis: u16) -> GroupPass {
    match millis {
        0 => GroupPass::Unknown,
        BROKEN_PASS => GroupPass::Broken,
        millis => GroupPass::Millis(millis),
    }
}

/// Encodes an age in milliseconds; older ages than 65,535 are sent as that.
pub(crate) fn pack_age(age_millis: u64) -> u16 {
    u16::try_from(age_millis).unwrap_or(u16::MAX)
}

/// Encodes the time for which a question was held as one more than its milliseconds, since 0 stands for no time.
fn pack_held(held: Duration) -> u16 {
    pack_age(millis(held).saturating_add(1))
}

pub(crate) fn hosts_of(loads: &GroupLoads) -> Vec<Ipv4Addr> {
    loads.ranks.iter().map(|rank| rank.host).collect()
}

/// A process's answer to a query for its group's loads.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadsAnswer {
    /// The loads, as published by the process that plans or received from it.
    Loads(GroupLoads),
    /// The process knows no loads. The process on this host, if one is known, last read its rank's state, and so plans.
    Redirect(Option<Ipv4Addr>),
}

/// Writes an answer to a peer that knows the list of hosts with the identifier `known`. Its question was held for `held`.
pub(crate) fn write_loads(
    mut builder: loads_results::Builder<'_>,
    answer: &LoadsAnswer,
    known: u64,
    held: Duration,
) {
    match answer {
        LoadsAnswer::Redirect(host) => builder.set_planner(host.map_or(0, Ipv4Addr::to_bits)),
        LoadsAnswer::Loads(loads) => {
            builder.set_knows(true);
            builder.set_revision(loads.revision.0);
            builder.set_requests(&pack_requests(loads));
            builder.set_pass(pack_pass(loads.pass));
            builder.set_age_millis(pack_age(loads.age_millis));
            builder.set_held_millis(pack_held(held));
            if let Some(demand) = &loads.demand {
                builder.set_demand(&pack_demand(Some(demand)));
            }
            let hosts = hosts_of(loads);
            let layout = layout_of(&hosts);
            builder.set_layout(layout);
            if layout != known {
                write_hosts(builder.init_hosts(hosts.len() as u32), &hosts);
            }
        }
    }
}

/// A list of hosts with its identifier.
pub(crate) type IdentifiedHosts = Option<(u64, Vec<Ipv4Addr>)>;

/// Reads an answer that came after `waited`. `known` is the last list of hosts that was received, and is replaced by a new
/// one.
///
/// The time that the question and the answer were on their way counts towards the age: after this process was suspended, an
/// answer that arrived long before would otherwise seem new.
pub(crate) fn read_loads(
    reader: loads_results::Reader<'_>,
    known: &mut IdentifiedHosts,
    waited: Duration,
) -> Result<LoadsAnswer, Error> {
    if !reader.get_knows() {
        let host = (reader.get_planner() != 0).then(|| Ipv4Addr::from_bits(reader.get_planner()));
        return Ok(LoadsAnswer::Redirect(host));
    }
    let hosts = read_hosts(reader.get_hosts()?);
    if !hosts.is_empty() {
        *known = Some((reader.get_layout(), hosts));
    }
    let hosts = known.as_ref().filter(|(layout, _hosts)| *layout == reader.get_layout());
    let (_layout, hosts) = hosts.ok_or_else(|| Error::failed("loads of unknown hosts".to_owned()))?;
    let encoded = EncodedLoads {
        revision: reader.get_revision(),
        requests: reader.get_requests()?,
        pass: reader.get_pass(),
        age: reader.get_age_millis(),
        demand: reader.get_demand()?,
    };
    let mut loads = decode_loads(encoded, hosts)?;
    if let Some(held) = reader.get_held_millis().checked_sub(1) {
        loads.age_millis += millis(waited).saturating_sub(held.into());
    }
    Ok(LoadsAnswer::Loads(loads))
}
