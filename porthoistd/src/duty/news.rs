//! Whom this process asks about the platform's tables: processes beside ranks in its own zone. They tell it besides which place
//! it has among the entries of the zone, and what the others have heard of targets in need.

use futures::future::LocalBoxFuture;
use porthoist_core::{ClockSource, HostName, ServiceName, ZoneName};
use porthoist_fleet::{EntryReport, PeerPool, ZoneTableUpdate};
use porthoist_policy::proxy::entries::{EntryId, PositionTracker};
use porthoist_policy::proxy::notes::{AgedNote, TargetNote};
use porthoist_policy::proxy::targets::TargetRecord;
use porthoist_policy::proxy::turns::EntryPosition;
use porthoist_proxy::{ControlState, ControlTable, TablePeers, TableQuery, TableUpdate};
use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
    place: watch::Sender<Option<EntryPosition>>,
    /// What this process has heard of targets in need.
    own_notes: watch::Receiver<Vec<TargetNote>>,
    /// Takes what others of the zone have heard.
    zone_notes: watch::Sender<Vec<TargetNote>>,
    #[builder(skip)]
    believed: Cell<PositionTracker>,
}

impl ZonePeers {
    /// What is told with a question. One table is asked about at any time, which is enough for notes.
    fn word(&self, table: ControlTable, host: Ipv4Addr) -> EntryReport {
        let now = self.clock.now();
        if !self.near(host) {
            // A process of another zone counts its own entries.
            return EntryReport { entry: EntryId(0), notes: Vec::new() };
        }
        let notes: Vec<AgedNote> = match table {
            ControlTable::Targets => self.own_notes.borrow().iter().map(|note| note.aged(now)).collect(),
            ControlTable::Routes | ControlTable::Crashes => Vec::new(),
        };
        // Never 0, which names nobody.
        EntryReport { entry: EntryId(xxh3_64(self.host.as_str().as_bytes()).max(1)), notes }
    }

    fn near(&self, host: Ipv4Addr) -> bool {
        let state = self.state.borrow();
        let mut near = state.targets.records().filter(|record| record.zone == self.zone);
        near.any(|record| record.address.ip() == IpAddr::V4(host))
    }

    /// Hosts of processes beside ranks in an order: those that are first are asked first.
    fn ordered(&self, near: bool, order: impl Fn(Ipv4Addr) -> u64) -> Vec<Ipv4Addr> {
        let state = self.state.borrow();
        // While no services are known, any target may be a rank.
        let ranked = |service: &ServiceName| {
            let routes = state.routes.as_ref();
            routes.is_none_or(|routes| routes.services.get(service).is_some_and(|spec| spec.engine.is_some()))
        };
        let fits =
            |record: &&Arc<TargetRecord>| (record.zone == self.zone) == near && ranked(&record.service);
        let hosts = state.targets.records().filter(fits).filter_map(|record| match record.address.ip() {
            IpAddr::V4(host) => Some((order(host), host)),
            IpAddr::V6(_host) => None,
        });
        let mut hosts: Vec<(u64, Ipv4Addr)> = hosts.collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts.into_iter().take(READERS).map(|(_hash, host)| host).collect()
    }

    fn take_notes(&self, notes: Vec<AgedNote>) {
        if notes.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.zone_notes.send_replace(notes.into_iter().map(|note| note.to_local(now)).collect());
    }

    fn take_place(&self, told: Option<EntryPosition>) {
        let mut believed = self.believed.get();
        if believed.update(told, self.clock.now()) {
            self.place.send_replace(believed.place());
        }
        self.believed.set(believed);
    }
}

impl TablePeers for ZonePeers {
    /// Those of the zone by a hash of their addresses, so that another target changes the choice of few entries. Before the zone has
    /// any, those of others, among which each entry chooses for itself.
    fn hosts(&self) -> Vec<Ipv4Addr> {
        let near = self.ordered(true, |host| xxh3_64(&host.octets()));
        if !near.is_empty() {
            return near;
        }
        let seed = xxh3_64(self.host.as_str().as_bytes());
        self.ordered(false, |host| xxh3_64_with_seed(&host.octets(), seed))
    }

    fn query(
        &self,
        host: Ipv4Addr,
        query: TableQuery,
        answer_timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<TableUpdate, String>> {
        let peer = self.peers.get(host);
        Box::pin(async move {
            let answer = peer.query(query, &self.word(query.table, host), answer_timeout).await;
            let ZoneTableUpdate { update, position, notes } = answer.map_err(|error| error.to_string())?;
            self.take_place(position);
            self.take_notes(notes);
            Ok(update)
        })
    }
}
