//! Whom this process asks about the platform's tables: processes beside ranks in its own zone. They tell it besides which place
//! it has among the entries of the zone.

use futures::future::LocalBoxFuture;
use porthoist_core::{ClockSource, HostName, ZoneName};
use porthoist_fleet::{PeerPool, PlacedNews};
use porthoist_policy::proxy::entries::{BelievedPlace, EntryId};
use porthoist_policy::proxy::turns::EntryPlace;
use porthoist_proxy::{ControlState, NewsAsk, NewsPeers, TableNews};
use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// Processes of a zone that may follow the tables for it: the first, and those that stand in for it. All entries of the
/// zone agree on them, since they believe in the same targets.
const READERS: usize = 3;

/// The processes beside ranks in one zone.
#[derive(Debug, bon::Builder)]
pub struct ZonePeers {
    zone: ZoneName,
    /// The host of this process.
    host: HostName,
    /// What this process believes of services and targets.
    state: watch::Receiver<ControlState>,
    peers: PeerPool,
    clock: Arc<dyn ClockSource>,
    /// Takes the place of this process among the entries of the zone.
    place: watch::Sender<Option<EntryPlace>>,
    #[builder(skip)]
    believed: Cell<BelievedPlace>,
}

impl ZonePeers {
    /// Never 0, which names nobody.
    fn entry(&self) -> EntryId {
        EntryId(xxh3_64(self.host.as_str().as_bytes()).max(1))
    }

    fn take_place(&self, told: Option<EntryPlace>) {
        let mut believed = self.believed.get();
        if believed.told(told, self.clock.now()) {
            self.place.send_replace(believed.place());
        }
        self.believed.set(believed);
    }
}

impl NewsPeers for ZonePeers {
    /// By a hash of their addresses, so that another target changes the choice of few entries.
    fn hosts(&self) -> Vec<Ipv4Addr> {
        let state = self.state.borrow();
        let Some(routes) = &state.routes else { return Vec::new() };
        let ranked = |service| routes.services.get(service).is_some_and(|spec| spec.engine.is_some());
        let near =
            state.targets.records().filter(|record| record.zone == self.zone && ranked(&record.service));
        let hosts = near.filter_map(|record| match record.address.ip() {
            IpAddr::V4(host) => Some((xxh3_64(&host.octets()), host)),
            IpAddr::V6(_host) => None,
        });
        let mut hosts: Vec<(u64, Ipv4Addr)> = hosts.collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts.into_iter().take(READERS).map(|(_hash, host)| host).collect()
    }

    fn news(&self, host: Ipv4Addr, ask: NewsAsk) -> LocalBoxFuture<'_, Result<TableNews, String>> {
        let peer = self.peers.get(host);
        Box::pin(async move {
            let PlacedNews { news, place } =
                peer.news(ask, self.entry()).await.map_err(|error| error.to_string())?;
            self.take_place(place);
            Ok(news)
        })
    }
}
