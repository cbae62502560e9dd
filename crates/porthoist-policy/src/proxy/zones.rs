//! Availability zones that operators have emptied: their targets get nothing new until they are taken back.

use porthoist_core::{UnixDeadline, UnixMillis, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Time in milliseconds for which a zone stays emptied after a restore of the table service although its row is missing.
/// Operators can write the lost row again within this time.
const UNCONFIRMED_GRACE_MILLIS: u64 = 10_000;

/// What operators say of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// Its targets are to get nothing new.
    Emptied(ZoneName),
    /// They may get requests again.
    Restored(ZoneName),
}

/// News of emptied zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneUpdate {
    /// All that are emptied.
    Listed(Vec<ZoneName>),
    /// Changes in their order.
    Changed(Vec<ZoneChange>),
}

impl Default for ZoneUpdate {
    fn default() -> Self {
        Self::Changed(Vec::new())
    }
}

impl ZoneUpdate {
    /// Whether it changes nothing, whatever is known.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Changed(changes) if changes.is_empty())
    }
}

/// The zones that are emptied, as this process believes, with the moment at which it learnt of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EmptiedZones {
    since: BTreeMap<ZoneName, UnixMillis>,
    /// Zones that were emptied before the last restore and have not been reported as emptied since, with the end of their
    /// grace. A missing row does not take these zones back before that.
    unconfirmed: BTreeMap<ZoneName, UnixDeadline>,
    /// Whether the next news is the first after a restore and is taken to be from the backup.
    awaiting_backup_rows: bool,
}

impl EmptiedZones {
    /// Takes news; returns what they changed.
    pub fn take(&mut self, news: ZoneUpdate, now: UnixMillis) -> Vec<ZoneChange> {
        let mut keep_unconfirmed = std::mem::take(&mut self.awaiting_backup_rows);
        let changes = match news {
            ZoneUpdate::Changed(changes) => changes,
            ZoneUpdate::Listed(zones) => {
                keep_unconfirmed = true;
                self.difference(zones)
            }
        };
        changes.into_iter().filter(|change| self.apply(change, keep_unconfirmed, now)).collect()
    }

    /// Records that the table service was restored from a backup. Starts the grace of all emptied zones. The news of the
    /// next call of [`Self::take`] is taken to be from the backup.
    pub fn restored(&mut self, now: UnixMillis) {
        let deadline = UnixDeadline::after(now, UNCONFIRMED_GRACE_MILLIS);
        self.unconfirmed = self.since.keys().map(|zone| (zone.clone(), deadline)).collect();
        self.awaiting_backup_rows = true;
    }

    /// Takes back zones whose grace after a restore has ended; returns what this changed.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<ZoneChange> {
        let expired = self.unconfirmed.iter().filter(|(_zone, deadline)| deadline.passed(now));
        let expired: Vec<ZoneChange> =
            expired.map(|(zone, _deadline)| ZoneChange::Restored(zone.clone())).collect();
        expired.into_iter().filter(|change| self.apply(change, false, now)).collect()
    }

    /// The earliest deadline at which [`Self::expire`] takes back a zone.
    pub fn next_expiry(&self) -> Option<UnixDeadline> {
        self.unconfirmed.values().min().copied()
    }

    fn difference(&self, listed: Vec<ZoneName>) -> Vec<ZoneChange> {
        let listed: BTreeSet<ZoneName> = listed.into_iter().collect();
        let restored = self.since.keys().filter(|zone| !listed.contains(*zone)).cloned();
        let restored: Vec<ZoneChange> = restored.map(ZoneChange::Restored).collect();
        restored.into_iter().chain(listed.into_iter().map(ZoneChange::Emptied)).collect()
    }

    /// Returns whether the change took effect. With `keep_unconfirmed`, unconfirmed zones are not taken back.
    fn apply(&mut self, change: &ZoneChange, keep_unconfirmed: bool, now: UnixMillis) -> bool {
        let (ZoneChange::Emptied(zone) | ZoneChange::Restored(zone)) = change;
        let unconfirmed = self.unconfirmed.remove(zone);
        match change {
            ZoneChange::Restored(zone) if keep_unconfirmed && unconfirmed.is_some() => {
                self.unconfirmed.extend(unconfirmed.map(|deadline| (zone.clone(), deadline)));
                false
            }
            ZoneChange::Emptied(zone) if self.contains(zone) => false,
            ZoneChange::Emptied(zone) => self.since.insert(zone.clone(), now).is_none(),
            ZoneChange::Restored(zone) => self.since.remove(zone).is_some(),
        }
    }

    /// Whether a zone is emptied.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.since.contains_key(zone)
    }

    /// Each with the moment at which this process learnt of it.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, UnixMillis)> {
        self.since.iter().map(|(zone, since)| (zone, *since))
    }
}
