//! Which of the targets that have room come first.

use crate::proxy::target_load::{SendTier, TargetLoad};
use crate::proxy::turns::SenderPosition;
use porthoist_core::UnixMillis;

/// Those that are to get a request before the others: targets in need get none while others have room, but for a first send now
/// and then that asks how they do.
pub(super) fn preferred<'a>(
    open: impl Iterator<Item = &'a mut TargetLoad>,
    sender: SenderPosition,
    first_send: bool,
    now: UnixMillis,
) -> Vec<&'a mut TargetLoad> {
    let tiered = open.filter_map(|load| {
        load.set_turns(sender, now);
        Some((load.tier(first_send, now)?, load))
    });
    let tiered: Vec<(SendTier, &mut TargetLoad)> = tiered.collect();
    let best = tiered.iter().map(|(tier, _load)| *tier).min();
    let best = tiered.into_iter().filter(|(tier, _load)| Some(*tier) == best);
    best.map(|(_tier, load)| load).collect()
}
