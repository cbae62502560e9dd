//! Conversion of ranks' states and orders to and from capnp messages.

use crate::rank_capnp::{branch_map, rank_order, rank_state, rank_view};
use capnp::{Error, primitive_list};
use porthoist_policy::placement::equal_shares::ListChange;
use porthoist_policy::roll_forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankPace, RankState, RankView,
};
use porthoist_policy::switch::{MapVersion, StepNumber};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Decodes a number or none: 0 stands for none, other values for one less.
fn decode_optional(number: u32) -> Option<u32> {
    number.checked_sub(1)
}

/// Encodes a number as one more than its value, and none as 0.
fn encode_optional(number: Option<u32>) -> u32 {
    number.map_or(0, |number| number + 1)
}

pub(crate) fn write_view(mut builder: rank_view::Builder<'_>, view: &RankView) {
    builder.set_epoch(view.epoch.0);
    builder.set_sequence(view.sequence.0);
    builder.set_step(view.step.0);
    builder.set_map(view.map.0);
    builder.set_prepared(encode_optional(view.prepared.map(|version| version.0)));
    builder.set_armed_version(encode_optional(view.armed.map(|armed| armed.version.0)));
    builder.set_armed_step(view.armed.map_or(0, |armed| armed.step.0));
    builder.set_held(encode_optional(view.held.map(|step| step.0)));
    builder.set_busy(view.busy);
}

pub(crate) fn read_view(reader: rank_view::Reader<'_>) -> RankView {
    let armed = decode_optional(reader.get_armed_version())
        .map(|version| ArmedMap { version: MapVersion(version), step: StepNumber(reader.get_armed_step()) });
    RankView {
        epoch: GroupEpoch(reader.get_epoch()),
        sequence: OrderSequence(reader.get_sequence()),
        step: StepNumber(reader.get_step()),
        map: MapVersion(reader.get_map()),
        prepared: decode_optional(reader.get_prepared()).map(MapVersion),
        armed,
        held: decode_optional(reader.get_held()).map(StepNumber),
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

pub(crate) fn read_state(reader: rank_state::Reader<'_>) -> Result<RankState, Error> {
    Ok(RankState {
        view: read_view(reader.get_view()?),
        group: reader.get_group()?.to_string()?,
        rank: usize::from(reader.get_rank()),
        size: usize::from(reader.get_size()),
        open: reader.get_open(),
        requests: u32::from(reader.get_requests()),
        pace: RankPace(u32::from(reader.get_pace())).max(RankPace::USUAL),
    })
}

/// The map of a prepare order, as changes to a base that the receiver may know; base 0 stands for none.
#[derive(Debug, Clone, Default)]
pub(crate) struct MapChanges {
    pub version: MapVersion,
    pub base: MapVersion,
    pub changes: Vec<ListChange>,
    /// Digest of the whole map.
    pub digest: u64,
}

pub(crate) fn write_branch_map(mut builder: branch_map::Builder<'_>, map: &MapChanges) {
    builder.set_version(map.version.0);
    builder.set_base(map.base.0);
    builder.set_changes(&pack(&map.changes));
    builder.set_digest(map.digest);
}

pub(crate) fn read_branch_map(reader: branch_map::Reader<'_>) -> Result<MapChanges, Error> {
    Ok(MapChanges {
        version: MapVersion(reader.get_version()),
        base: MapVersion(reader.get_base()),
        changes: unpack(reader.get_changes()?)?,
        digest: reader.get_digest(),
    })
}

/// States of a branch's members. Equal parts are stored once, since all ranks of a group normally agree in them.
#[derive(Debug, Default, Serialize, Deserialize)]
struct WireStates {
    alike: Vec<SharedState>,
    members: Vec<MemberState>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SharedState {
    /// The view with sequence number 0.
    view: RankView,
    group: String,
    size: usize,
    open: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct MemberState {
    member: u16,
    /// Index in [`WireStates::alike`].
    alike: u16,
    sequence: OrderSequence,
    rank: u16,
    requests: u32,
    pace: RankPace,
}

/// Encodes states by member of a branch.
pub(crate) fn pack_states(states: &[(usize, RankState)]) -> Vec<u8> {
    let mut wire = WireStates::default();
    for (member, state) in states {
        let view = RankView { sequence: OrderSequence(0), ..state.view };
        let alike = SharedState { view, group: state.group.clone(), size: state.size, open: state.open };
        let known = wire.alike.iter().position(|known| *known == alike);
        let place = known.unwrap_or_else(|| {
            wire.alike.push(alike);
            wire.alike.len() - 1
        });
        wire.members.push(MemberState {
            member: *member as u16,
            alike: place as u16,
            sequence: state.view.sequence,
            rank: state.rank as u16,
            requests: state.requests,
            pace: state.pace,
        });
    }
    pack(&wire)
}

/// Decodes states by member of a branch.
pub(crate) fn unpack_states(bytes: &[u8]) -> Result<Vec<(usize, RankState)>, Error> {
    let WireStates { alike, members } = unpack(bytes)?;
    let state = |member: MemberState| {
        let alike = alike.get(usize::from(member.alike));
        let alike = alike.ok_or_else(|| {
            Error::failed("the state of a member refers to a shared state that does not exist".to_owned())
        })?;
        let state = RankState {
            view: RankView { sequence: member.sequence, ..alike.view },
            group: alike.group.clone(),
            rank: usize::from(member.rank),
            size: alike.size,
            open: alike.open,
            requests: member.requests,
            pace: member.pace,
        };
        Ok((usize::from(member.member), state))
    };
    members.into_iter().map(state).collect()
}

/// Encodes a value with postcard.
pub(crate) fn pack(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("postcard can encode any list of numbers")
}

/// Decodes a value with postcard.
pub(crate) fn unpack<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).map_err(|error| Error::failed(error.to_string()))
}

pub(crate) fn write_hosts(mut list: primitive_list::Builder<'_, u32>, hosts: &[Ipv4Addr]) {
    for (index, host) in hosts.iter().enumerate() {
        list.set(index as u32, host.to_bits());
    }
}

pub(crate) fn read_hosts(list: primitive_list::Reader<'_, u32>) -> Vec<Ipv4Addr> {
    list.iter().map(Ipv4Addr::from_bits).collect()
}

/// Returns an identifier of a list of hosts, so that the list is not sent again to a peer that knows it; never 0.
pub(crate) fn layout_of(hosts: &[Ipv4Addr]) -> u64 {
    let bytes: Vec<u8> = hosts.iter().flat_map(Ipv4Addr::octets).collect();
    xxhash_rust::xxh3::xxh3_64(&bytes).max(1)
}

pub(crate) fn write_order(mut builder: rank_order::Builder<'_>, order: EngineOrder, map: &MapChanges) {
    match order {
        EngineOrder::Prepare { epoch, version, sequence } => {
            builder.set_epoch(epoch.0);
            let mut prepare = builder.init_prepare();
            prepare.set_version(version.0);
            prepare.set_sequence(sequence.0);
            prepare.set_base(map.base.0);
            prepare.set_changes(&pack(&map.changes));
            prepare.set_digest(map.digest);
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
            let map = MapChanges {
                version: MapVersion(prepare.get_version()),
                base: MapVersion(prepare.get_base()),
                changes: unpack(prepare.get_changes()?)?,
                digest: prepare.get_digest(),
            };
            (order, Some(map))
        }
        rank_order::Arm(arm) => {
            let armed = ArmedMap { version: MapVersion(arm.get_version()), step: StepNumber(arm.get_step()) };
            (EngineOrder::Arm { epoch, armed }, None)
        }
        rank_order::Hold(step) => (EngineOrder::Hold { epoch, step: StepNumber(step) }, None),
        rank_order::Go(step) => (EngineOrder::Go { epoch, step: StepNumber(step) }, None),
    })
}

/// Largest count that a byte can hold.
const MAX_BYTE_COUNT: f32 = 255.0;

/// Encodes counts as bytes, in units of the second value.
pub(crate) fn pack_counts(counts: &[u32]) -> (Vec<u8>, f32) {
    let highest = counts.iter().copied().max().unwrap_or(0);
    let unit = (highest as f32 / MAX_BYTE_COUNT).max(1.0);
    (counts.iter().map(|count| (*count as f32 / unit).round() as u8).collect(), unit)
}

/// Decodes counts from bytes in units of `unit`.
pub(crate) fn unpack_counts(bytes: &[u8], unit: f32) -> Vec<u32> {
    bytes.iter().map(|byte| (f32::from(*byte) * unit).round() as u32).collect()
}
