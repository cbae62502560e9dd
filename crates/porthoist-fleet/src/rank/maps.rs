//! Expert maps that processes are known to have, so that only changes need to be sent.

use super::convert::MapChanges;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::switch::MapVersion;
use std::cell::RefCell;
use std::collections::VecDeque;

/// Number of cached maps: the one in use, the one being switched to, and one whose switch was aborted.
const MAX_CACHED_MAPS: usize = 3;

/// The last maps that a process received, over any connection, so that a new connection does not need a whole map. With
/// 129 ranks a map has 10 KB, and sending it to all of them takes 1.7 s of a small host's link.
#[derive(Debug, Default)]
pub struct MapCache {
    maps: RefCell<VecDeque<(MapVersion, EqualShareMap)>>,
}

impl MapCache {
    /// Applies changes and returns the resulting map; `None` if their base is unknown or the result differs from the
    /// sender's map.
    pub(super) fn apply(&self, received: MapChanges) -> Option<EqualShareMap> {
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
        if maps.len() > MAX_CACHED_MAPS {
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

/// The maps that a peer is known to have.
#[derive(Debug, Default)]
pub(super) struct PeerMaps {
    /// The last map that the peer acknowledged.
    acknowledged: RefCell<VersionedMap>,
    /// The last map sent over the current connection, which delivers it before anything that is sent later.
    sent: RefCell<VersionedMap>,
}

impl PeerMaps {
    /// Returns a map as changes to the last one that the peer has, or as a whole if it has none.
    pub(super) fn changes(&self, version: MapVersion, map: &EqualShareMap) -> MapChanges {
        let (sent, acknowledged) = (self.sent.borrow(), self.acknowledged.borrow());
        let base = sent.as_ref().or(acknowledged.as_ref());
        MapChanges {
            version,
            base: base.map_or(MapVersion(0), |(version, _map)| *version),
            changes: map.changes_from(base.map(|(_version, map)| map)),
            digest: map.digest(),
        }
    }

    /// Records that a map is being sent.
    pub(super) fn record_sent(&self, version: MapVersion, map: &EqualShareMap) {
        *self.sent.borrow_mut() = Some((version, map.clone()));
    }

    /// Records that the peer acknowledged a map.
    pub(super) fn record_acknowledged(&self, version: MapVersion, map: &EqualShareMap) {
        *self.acknowledged.borrow_mut() = Some((version, map.clone()));
    }

    /// Records that the connection was dropped: a map that was being sent may be lost.
    pub(super) fn connection_dropped(&self) {
        self.sent.borrow_mut().take();
    }

    /// Forgets the peer's maps, after its process restarted.
    pub(super) fn forget(&self) {
        self.acknowledged.borrow_mut().take();
        self.sent.borrow_mut().take();
    }
}
