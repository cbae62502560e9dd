//! Preference among the targets that have room.

use crate::proxy::send_turns::SenderPosition;
use crate::proxy::target_load::{SendTier, TargetLoad};
use porthoist_core::UnixMillis;

/// The targets of the best tier. Targets with a limit get no requests while others have room, except for
/// an occasional first send that checks their state.
pub(super) fn preferred_targets<'a>(
    targets: impl Iterator<Item = &'a mut TargetLoad>,
    sender: SenderPosition,
    first_send: bool,
    now: UnixMillis,
) -> Vec<&'a mut TargetLoad> {
    let tiered = targets.filter_map(|load| {
        load.set_turns(sender, now);
        Some((load.tier(first_send, now)?, load))
    });
    let tiered: Vec<(SendTier, &mut TargetLoad)> = tiered.collect();
    let best_tier = tiered.iter().map(|(tier, _load)| *tier).min();
    let preferred = tiered.into_iter().filter(|(tier, _load)| Some(*tier) == best_tier);
    preferred.map(|(_tier, load)| load).collect()
}
