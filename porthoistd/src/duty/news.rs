//! Whom this process asks about the platform's tables: processes beside ranks in its own zone.

use futures::future::LocalBoxFuture;
use porthoist_core::ZoneName;
use porthoist_fleet::PeerPool;
use porthoist_proxy::{ControlState, NewsAsk, NewsPeers, TableNews};
use std::net::{IpAddr, Ipv4Addr};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// Processes of a zone that may follow the tables for it: the first, and those that stand in for it. All entries of the
/// zone agree on them, since they believe in the same targets.
const READERS: usize = 3;

/// The processes beside ranks in one zone.
#[derive(Debug)]
pub struct ZonePeers {
    zone: ZoneName,
    state: watch::Receiver<ControlState>,
    peers: PeerPool,
}

impl ZonePeers {
    /// Those of a zone, as far as `state` knows its targets.
    pub fn new(zone: ZoneName, state: watch::Receiver<ControlState>, peers: PeerPool) -> Self {
        Self { zone, state, peers }
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
        Box::pin(async move { peer.news(ask).await.map_err(|error| error.to_string()) })
    }
}
