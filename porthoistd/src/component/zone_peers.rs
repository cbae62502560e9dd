//! Selects the processes that this one queries about the platform's tables: processes next to ranks,
//! preferably in its own zone. Their answers also carry this process's position among the zone's entries and
//! other entries' notes on targets under pressure.

use futures::future::LocalBoxFuture;
use porthoist_core::{ClockSource, HostName, ServiceName, ZoneName};
use porthoist_fleet::{EntryReport, PeerPool, ZoneTableUpdate};
use porthoist_policy::proxy::entry_positions::{EntryId, PositionTracker};
use porthoist_policy::proxy::limit_notes::{AgedNote, TargetNote};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::targets::TargetRecord;
use porthoist_proxy::{ControlState, ControlTable, TablePeers, TableQuery, TableUpdate};
use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of processes of a zone that follow the tables for its entries: one, and its substitutes.
/// All entries of the zone agree on them because they know the same targets.
const MAX_READERS: usize = 3;

/// Identifies an entry on a host to the processes next to ranks; never 0, which means no entry.
pub fn entry_id(host: &HostName) -> EntryId {
    EntryId(xxh3_64(host.as_str().as_bytes()).max(1))
}

/// Queries the processes next to ranks in one zone.
#[derive(Debug, bon::Builder)]
pub struct ZonePeers {
    zone: ZoneName,
    /// Host of this process.
    host: HostName,
    /// Last known services and targets.
    state: watch::Receiver<ControlState>,
    peers: PeerPool,
    clock: Arc<dyn ClockSource>,
    /// Receives this process's position among the entries of the zone.
    position: watch::Sender<Option<EntryPosition>>,
    /// Notes of this process on targets under pressure.
    own_notes: watch::Receiver<Vec<TargetNote>>,
    /// Receives the notes of the zone's other entries.
    zone_notes: watch::Sender<Vec<TargetNote>>,
    #[builder(skip)]
    tracker: Cell<PositionTracker>,
}

impl ZonePeers {
    /// What this process sends along with a query. Notes travel only with queries of the targets table, one
    /// of which is pending at any time.
    fn entry_report(&self, table: ControlTable, host: Ipv4Addr) -> EntryReport {
        let now = self.clock.now();
        if !self.in_own_zone(host) {
            // A process of another zone counts only its own zone's entries.
            return EntryReport { entry: EntryId(0), notes: Vec::new() };
        }
        let notes: Vec<AgedNote> = match table {
            ControlTable::Targets => self.own_notes.borrow().iter().map(|note| note.aged(now)).collect(),
            ControlTable::Routes | ControlTable::Crashes => Vec::new(),
        };
        EntryReport { entry: entry_id(&self.host), notes }
    }

    fn in_own_zone(&self, host: Ipv4Addr) -> bool {
        let state = self.state.borrow();
        let mut records = state.targets.records().filter(|record| record.zone == self.zone);
        records.any(|record| record.address.ip() == IpAddr::V4(host))
    }

    /// The first hosts of processes next to ranks, sorted by `order`.
    fn sorted_hosts(&self, own_zone: bool, order: impl Fn(Ipv4Addr) -> u64) -> Vec<Ipv4Addr> {
        let state = self.state.borrow();
        // While the services are unknown, any target may be a rank.
        let ranked = |service: &ServiceName| {
            let routes = state.routes.as_ref();
            routes.is_none_or(|routes| routes.services.get(service).is_some_and(|spec| spec.engine.is_some()))
        };
        let matches =
            |record: &&Arc<TargetRecord>| (record.zone == self.zone) == own_zone && ranked(&record.service);
        let hosts = state.targets.records().filter(matches).filter_map(|record| match record.address.ip() {
            IpAddr::V4(host) => Some((order(host), host)),
            IpAddr::V6(_host) => None,
        });
        let mut hosts: Vec<(u64, Ipv4Addr)> = hosts.collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts.into_iter().take(MAX_READERS).map(|(_hash, host)| host).collect()
    }

    fn apply_notes(&self, notes: Vec<AgedNote>) {
        if notes.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.zone_notes.send_replace(notes.into_iter().map(|note| note.to_local(now)).collect());
    }

    fn apply_position(&self, position: Option<EntryPosition>) {
        let mut tracker = self.tracker.get();
        if tracker.update(position, self.clock.now()) {
            self.position.send_replace(tracker.position());
        }
        self.tracker.set(tracker);
    }
}

impl TablePeers for ZonePeers {
    /// Hosts of the zone, ordered by a hash of their addresses, so that a new target changes the choice of
    /// few entries. If the zone has none, hosts of other zones, in a different order for each entry.
    fn hosts(&self) -> Vec<Ipv4Addr> {
        let own_zone_hosts = self.sorted_hosts(true, |host| xxh3_64(&host.octets()));
        if !own_zone_hosts.is_empty() {
            return own_zone_hosts;
        }
        let seed = xxh3_64(self.host.as_str().as_bytes());
        self.sorted_hosts(false, |host| xxh3_64_with_seed(&host.octets(), seed))
    }

    fn query(
        &self,
        host: Ipv4Addr,
        query: TableQuery,
        answer_timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<TableUpdate, String>> {
        let peer = self.peers.get(host);
        Box::pin(async move {
            let answer = peer.query(query, &self.entry_report(query.table, host), answer_timeout).await;
            let ZoneTableUpdate { update, position, notes } = answer.map_err(|error| error.to_string())?;
            self.apply_position(position);
            self.apply_notes(notes);
            Ok(update)
        })
    }
}
