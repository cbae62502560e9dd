//! The expert maps that a process knows, so that others need send it changes only.

use super::convert::MapChanges;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::switch::MapVersion;
use std::cell::RefCell;
use std::collections::VecDeque;

/// Maps kept: the one in use, the one being switched to, and one that a switch was given up with.
const KEPT: usize = 3;

/// The last maps that a process received, whatever connection they came over: a connection that is made anew costs no
/// whole map. With 129 ranks one is 10 KB, and sending it to all took 1.7 s of a small host's link.
#[derive(Debug, Default)]
pub struct MapShelf {
    maps: RefCell<VecDeque<(MapVersion, EqualShareMap)>>,
}

impl MapShelf {
    /// The map that changes lead to; nothing if their base is not known, or leads to another map than its sender has.
    pub(super) fn take(&self, received: MapChanges) -> Option<EqualShareMap> {
        let MapChanges { version, base, changes, digest } = received;
        let base = match base {
            MapVersion(0) => None,
            version => Some(self.get(version)?),
        };
        let map = EqualShareMap::with_changes(base, changes);
        if map.digest() != digest {
            return None;
        }
        let mut maps = self.maps.borrow_mut();
        maps.retain(|(known, _map)| *known != version);
        maps.push_back((version, map.clone()));
        if maps.len() > KEPT {
            maps.pop_front();
        }
        Some(map)
    }

    fn get(&self, version: MapVersion) -> Option<EqualShareMap> {
        let maps = self.maps.borrow();
        maps.iter().find(|(known, _map)| *known == version).map(|(_version, map)| map.clone())
    }
}

/// A map with its version.
type VersionedMap = Option<(MapVersion, EqualShareMap)>;

/// What a peer has of maps.
#[derive(Debug, Default)]
pub(super) struct PeerMaps {
    /// The last one that it said it took.
    answered: RefCell<VersionedMap>,
    /// The last one sent over the present connection, which brings it before whatever is sent later.
    sent: RefCell<VersionedMap>,
}

impl PeerMaps {
    /// A map as changes to the last one that the peer has, or whole.
    pub(super) fn changes(&self, version: MapVersion, map: &EqualShareMap) -> MapChanges {
        let (sent, answered) = (self.sent.borrow(), self.answered.borrow());
        let base = sent.as_ref().or(answered.as_ref());
        MapChanges {
            version,
            base: base.map_or(MapVersion(0), |(version, _map)| *version),
            changes: map.changes_from(base.map(|(_version, map)| map)),
            digest: map.digest(),
        }
    }

    /// Takes that a map is on its way.
    pub(super) fn sending(&self, version: MapVersion, map: &EqualShareMap) {
        *self.sent.borrow_mut() = Some((version, map.clone()));
    }

    /// Takes that the peer has a map now.
    pub(super) fn answered(&self, version: MapVersion, map: &EqualShareMap) {
        *self.answered.borrow_mut() = Some((version, map.clone()));
    }

    /// Takes that the connection is left: what was on its way may be lost.
    pub(super) fn left(&self) {
        self.sent.borrow_mut().take();
    }

    /// Takes that the peer does not know what it was taken to know: its process began anew.
    pub(super) fn forget(&self) {
        self.answered.borrow_mut().take();
        self.sent.borrow_mut().take();
    }
}
