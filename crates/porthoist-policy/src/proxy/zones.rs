//! Availability zones that operators have emptied. Their targets get no new requests until the zone is
//! restored.

use porthoist_core::{UnixDeadline, UnixMillis, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Time in milliseconds for which a zone stays emptied after a restore of the table service although its
/// row is missing. Operators can write the lost row again within this time.
const UNCONFIRMED_GRACE_MILLIS: u64 = 10_000;

/// A change that operators made to a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// Its targets get no new requests.
    Emptied(ZoneName),
    /// Its targets may get requests again.
    Restored(ZoneName),
}

/// News about emptied zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneUpdate {
    /// All emptied zones.
    Listed(Vec<ZoneName>),
    /// Changes in order.
    Changed(Vec<ZoneChange>),
}

impl Default for ZoneUpdate {
    fn default() -> Self {
        Self::Changed(Vec::new())
    }
}

impl ZoneUpdate {
    /// Whether it changes nothing in any state.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Changed(changes) if changes.is_empty())
    }
}

/// The emptied zones as this process knows them, each with the time at which it learned of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EmptiedZones {
    emptied_since: BTreeMap<ZoneName, UnixMillis>,
    /// Zones that were emptied before the last restore of the table service and have not been reported
    /// as emptied since, with the end of their grace period. Until then, a missing row does not restore
    /// the zone.
    unconfirmed: BTreeMap<ZoneName, UnixDeadline>,
    /// Whether the next update is the first after a restore and is taken to be from the backup.
    awaiting_backup_rows: bool,
}

impl EmptiedZones {
    /// Applies an update; returns the changes that took effect.
    pub fn apply_update(&mut self, update: ZoneUpdate, now: UnixMillis) -> Vec<ZoneChange> {
        let mut keep_unconfirmed = std::mem::take(&mut self.awaiting_backup_rows);
        let changes = match update {
            ZoneUpdate::Changed(changes) => changes,
            ZoneUpdate::Listed(zones) => {
                keep_unconfirmed = true;
                self.difference(zones)
            }
        };
        changes.into_iter().filter(|change| self.apply(change, keep_unconfirmed, now)).collect()
    }

    /// Records that the table service was restored from a backup. Starts the grace period of all emptied
    /// zones. The update in the next call of [`Self::apply_update`] is taken to be from the backup.
    pub fn restored(&mut self, now: UnixMillis) {
        let deadline = UnixDeadline::after(now, UNCONFIRMED_GRACE_MILLIS);
        self.unconfirmed = self.emptied_since.keys().map(|zone| (zone.clone(), deadline)).collect();
        self.awaiting_backup_rows = true;
    }

    /// Restores zones whose grace period has ended; returns the changes.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<ZoneChange> {
        let expired = self.unconfirmed.iter().filter(|(_zone, deadline)| deadline.passed(now));
        let expired: Vec<ZoneChange> =
            expired.map(|(zone, _deadline)| ZoneChange::Restored(zone.clone())).collect();
        expired.into_iter().filter(|change| self.apply(change, false, now)).collect()
    }

    /// The earliest deadline at which [`Self::expire`] restores a zone.
    pub fn next_expiry(&self) -> Option<UnixDeadline> {
        self.unconfirmed.values().min().copied()
    }

    fn difference(&self, listed: Vec<ZoneName>) -> Vec<ZoneChange> {
        let listed: BTreeSet<ZoneName> = listed.into_iter().collect();
        let restored = self.emptied_since.keys().filter(|zone| !listed.contains(*zone)).cloned();
        let restored: Vec<ZoneChange> = restored.map(ZoneChange::Restored).collect();
        restored.into_iter().chain(listed.into_iter().map(ZoneChange::Emptied)).collect()
    }

    /// Returns whether the change took effect. With `keep_unconfirmed`, unconfirmed zones are not
    /// restored.
    fn apply(&mut self, change: &ZoneChange, keep_unconfirmed: bool, now: UnixMillis) -> bool {
        let (ZoneChange::Emptied(zone) | ZoneChange::Restored(zone)) = change;
        let unconfirmed = self.unconfirmed.remove(zone);
        match change {
            ZoneChange::Restored(zone) if keep_unconfirmed && unconfirmed.is_some() => {
                self.unconfirmed.extend(unconfirmed.map(|deadline| (zone.clone(), deadline)));
                false
            }
            ZoneChange::Emptied(zone) if self.contains(zone) => false,
            ZoneChange::Emptied(zone) => self.emptied_since.insert(zone.clone(), now).is_none(),
            ZoneChange::Restored(zone) => self.emptied_since.remove(zone).is_some(),
        }
    }

    /// Whether a zone is emptied.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.emptied_since.contains_key(zone)
    }

    /// The emptied zones with the time at which this process learned of each.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, UnixMillis)> {
        self.emptied_since.iter().map(|(zone, since)| (zone, *since))
    }
}
