//! Ranks' states and orders, to and from the wire.

use crate::rank_capnp::rank_process::loads_results;
use crate::rank_capnp::{rank_order, rank_state, rank_view};
use capnp::Error;
use porthoist_group::RankObservation;
use porthoist_policy::forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankPace, RankState, RankView,
};
use porthoist_policy::placement::even::ListChange;
use porthoist_policy::proxy::loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::switch::{MapVersion, StepNumber};
use std::net::Ipv4Addr;

fn optional(number: u32) -> Option<u32> {
    number.checked_sub(1)
}

fn present(number: Option<u32>) -> u32 {
    number.map_or(0, |number| number + 1)
}

pub(crate) fn write_view(mut builder: rank_view::Builder<'_>, view: &RankView) {
    builder.set_epoch(view.epoch.0);
    builder.set_sequence(view.sequence.0);
    builder.set_step(view.step.0);
    builder.set_map(view.map.0);
    builder.set_prepared(present(view.prepared.map(|version| version.0)));
    builder.set_armed_version(present(view.armed.map(|armed| armed.version.0)));
    builder.set_armed_step(view.armed.map_or(0, |armed| armed.step.0));
    builder.set_held(present(view.held.map(|step| step.0)));
    builder.set_busy(view.busy);
}

pub(crate) fn read_view(reader: rank_view::Reader<'_>) -> RankView {
    let armed = optional(reader.get_armed_version())
        .map(|version| ArmedMap { version: MapVersion(version), step: StepNumber(reader.get_armed_step()) });
    RankView {
        epoch: GroupEpoch(reader.get_epoch()),
        sequence: OrderSequence(reader.get_sequence()),
        step: StepNumber(reader.get_step()),
        map: MapVersion(reader.get_map()),
        prepared: optional(reader.get_prepared()).map(MapVersion),
        armed,
        held: optional(reader.get_held()).map(StepNumber),
        busy: reader.get_busy(),
    }
}

pub(crate) fn write_state(mut builder: rank_state::Builder<'_>, state: &RankState) {
    write_view(builder.reborrow().init_view(), &state.view);
    builder.set_group(&state.group);
    builder.set_rank(state.rank as u16);
    builder.set_size(state.size as u16);
    builder.set_open(state.open);
    builder.set_requests(u16::try_from(state.requests).unwrap_or(u16::MAX));
    builder.set_pace(u16::try_from(state.pace.0).unwrap_or(u16::MAX));
}

pub(crate) fn read_observation(
    reader: rank_state::Reader<'_>,
    counts: Vec<u32>,
) -> Result<RankObservation, Error> {
    let state = RankState {
        view: read_view(reader.get_view()?),
        group: reader.get_group()?.to_string()?,
        rank: usize::from(reader.get_rank()),
        size: usize::from(reader.get_size()),
        open: reader.get_open(),
        requests: u32::from(reader.get_requests()),
        pace: RankPace(u32::from(reader.get_pace())).max(RankPace::USUAL),
    };
    Ok(RankObservation { state, counts })
}

/// The map of a prepare as changes to one that the receiver may know; version 0 stands for none.
#[derive(Debug, Clone, Default)]
pub(crate) struct MapChanges {
    pub base: MapVersion,
    pub changes: Vec<ListChange>,
}

pub(crate) fn write_order(mut builder: rank_order::Builder<'_>, order: EngineOrder, map: &MapChanges) {
    match order {
        EngineOrder::Prepare { epoch, version, sequence } => {
            builder.set_epoch(epoch.0);
            let mut prepare = builder.init_prepare();
            prepare.set_version(version.0);
            prepare.set_sequence(sequence.0);
            prepare.set_base(map.base.0);
            prepare.set_changes(&pack_changes(&map.changes));
        }
        EngineOrder::Arm { epoch, armed } => {
            builder.set_epoch(epoch.0);
            let mut arm = builder.init_arm();
            arm.set_version(armed.version.0);
            arm.set_step(armed.step.0);
        }
        EngineOrder::Hold { epoch, step } => {
            builder.set_epoch(epoch.0);
            builder.set_hold(step.0);
        }
        EngineOrder::Go { epoch, step } => {
            builder.set_epoch(epoch.0);
            builder.set_go(step.0);
        }
    }
}

pub(crate) fn read_order(reader: rank_order::Reader<'_>) -> Result<(EngineOrder, Option<MapChanges>), Error> {
    let epoch = GroupEpoch(reader.get_epoch());
    Ok(match reader.which()? {
        rank_order::Prepare(prepare) => {
            let order = EngineOrder::Prepare {
                epoch,
                version: MapVersion(prepare.get_version()),
                sequence: OrderSequence(prepare.get_sequence()),
            };
            let changes = unpack_changes(prepare.get_changes()?)?;
            (order, Some(MapChanges { base: MapVersion(prepare.get_base()), changes }))
        }
        rank_order::Arm(arm) => {
            let armed = ArmedMap { version: MapVersion(arm.get_version()), step: StepNumber(arm.get_step()) };
            (EngineOrder::Arm { epoch, armed }, None)
        }
        rank_order::Hold(step) => (EngineOrder::Hold { epoch, step: StepNumber(step) }, None),
        rank_order::Go(step) => (EngineOrder::Go { epoch, step: StepNumber(step) }, None),
    })
}

/// What a process answers to a question about its group's loads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadsAnswer {
    /// It plans for the group; the loads.
    Loads(GroupLoads),
    /// Another process plans, on this host if it is known.
    Elsewhere(Option<Ipv4Addr>),
}

pub(crate) fn write_loads(mut builder: loads_results::Builder<'_>, answer: &LoadsAnswer) {
    match answer {
        LoadsAnswer::Elsewhere(host) => builder.set_planner(host.map_or(0, Ipv4Addr::to_bits)),
        LoadsAnswer::Loads(loads) => {
            builder.set_plans(true);
            builder.set_revision(loads.revision.0);
            let requests = loads.ranks.iter().map(|rank| u8::try_from(rank.requests).unwrap_or(u8::MAX));
            builder.set_requests(&requests.collect::<Vec<u8>>());
            let mut hosts = builder.init_hosts(loads.ranks.len() as u32);
            for (index, rank) in loads.ranks.iter().enumerate() {
                hosts.set(index as u32, rank.host.to_bits());
            }
        }
    }
}

pub(crate) fn read_loads(reader: loads_results::Reader<'_>) -> Result<LoadsAnswer, Error> {
    if !reader.get_plans() {
        let host = (reader.get_planner() != 0).then(|| Ipv4Addr::from_bits(reader.get_planner()));
        return Ok(LoadsAnswer::Elsewhere(host));
    }
    let hosts = reader.get_hosts()?;
    let ranks = hosts.iter().zip(reader.get_requests()?);
    let ranks = ranks
        .map(|(host, requests)| RankLoad { host: Ipv4Addr::from_bits(host), requests: u32::from(*requests) });
    let revision = LoadRevision(reader.get_revision());
    Ok(LoadsAnswer::Loads(GroupLoads { revision, ranks: ranks.collect() }))
}

/// Changes of a map as bytes.
pub(crate) fn pack_changes(changes: &[ListChange]) -> Vec<u8> {
    postcard::to_allocvec(changes).expect("lists of numbers can always be encoded")
}

/// Changes of a map from bytes.
pub(crate) fn unpack_changes(bytes: &[u8]) -> Result<Vec<ListChange>, Error> {
    postcard::from_bytes(bytes).map_err(|error| Error::failed(format!("the changes of a map: {error}")))
}

/// Largest count in a byte.
const COUNT_STEPS: f32 = 255.0;

/// Counts as bytes in units of the second value.
pub(crate) fn pack_counts(counts: &[u32]) -> (Vec<u8>, f32) {
    let highest = counts.iter().copied().max().unwrap_or(0);
    let unit = (highest as f32 / COUNT_STEPS).max(1.0);
    (counts.iter().map(|count| (*count as f32 / unit).round() as u8).collect(), unit)
}

/// Counts from bytes.
pub(crate) fn unpack_counts(bytes: &[u8], unit: f32) -> Vec<u32> {
    bytes.iter().map(|byte| (f32::from(*byte) * unit).round() as u32).collect()
}
