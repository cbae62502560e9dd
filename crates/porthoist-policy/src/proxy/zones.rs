//! Availability zones that operators have emptied: their targets get nothing new until they are taken back.

use porthoist_core::{UnixMillis, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

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
pub enum ZoneNews {
    /// All that are emptied.
    Listed(Vec<ZoneName>),
    /// Changes in their order.
    Changed(Vec<ZoneChange>),
}

impl Default for ZoneNews {
    fn default() -> Self {
        Self::Changed(Vec::new())
    }
}

impl ZoneNews {
    /// Whether it changes nothing, whatever is known.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Changed(changes) if changes.is_empty())
    }
}

/// The zones that are emptied, as this process believes, with the moment at which it learnt of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EmptiedZones {
    since: BTreeMap<ZoneName, UnixMillis>,
}

impl EmptiedZones {
    /// Takes news; returns what they changed.
    pub fn take(&mut self, news: ZoneNews, now: UnixMillis) -> Vec<ZoneChange> {
        let changes = match news {
            ZoneNews::Changed(changes) => changes,
            ZoneNews::Listed(zones) => self.difference(zones),
        };
        changes.into_iter().filter(|change| self.apply(change, now)).collect()
    }

    fn difference(&self, listed: Vec<ZoneName>) -> Vec<ZoneChange> {
        let listed: BTreeSet<ZoneName> = listed.into_iter().collect();
        let restored = self.since.keys().filter(|zone| !listed.contains(*zone)).cloned();
        let restored: Vec<ZoneChange> = restored.map(ZoneChange::Restored).collect();
        restored.into_iter().chain(listed.into_iter().map(ZoneChange::Emptied)).collect()
    }

    fn apply(&mut self, change: &ZoneChange, now: UnixMillis) -> bool {
        match change {
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
