//! Client of the process next to another rank.

use super::aged_loads::AgedLoads;
use super::convert::{
    MapChanges, layout_of, pack, read_state, read_view, unpack, unpack_counts, unpack_states,
    write_branch_map, write_hosts, write_order,
};
use super::entry_demands::{DemandReport, pack_demand, unpack_demand};
use super::loads_message::{
    IdentifiedHosts, LoadsAnswer, hosts_of, pack_age, pack_pass, pack_requests, read_loads,
};
use super::maps::PeerMaps;
use super::table_update::{
    EntryReport, QueryProgress, RowPieces, ZoneTableUpdate, read_zone_update, write_query,
};
use super::traffic::ControlTraffic;
use crate::rank_capnp::rank_process;
use crate::server::{MessageLimit, vat_network};
use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use porthoist_group::{ExpertLists, OrderAnswer, RankControl, RankFuture, RankObservation};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::proxy::demand::ServiceDemand;
use porthoist_policy::proxy::group_loads::LoadRevision;
use porthoist_policy::roll_forward::{EngineOrder, RankState};
use porthoist_policy::switch::MapVersion;
use porthoist_proxy::TableQuery;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Connect timeout in milliseconds: an isolated host does not answer at all.
const CONNECT_TIMEOUT_MILLIS: u64 = 120;
/// Largest number of pieces that one query fetches: more than any rows that are passed on have.
const MAX_PIECES: usize = 100;
/// Timeout of each further piece: a hundred entries may fetch theirs over one link of 10 Mbit/s.
const PIECE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for acknowledging a report of loads; no newer one is sent meanwhile.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that is closed once it was dropped and no call uses it any more. Otherwise, each dropped connection would
/// stay open at both ends for as long as both processes run.
struct PeerConnection {
    client: rank_process::Client,
    /// Ends the connection when it is dropped.
    _open: oneshot::Sender<()>,
}

impl PeerConnection {
    fn open(stream: TcpStream, traffic: &ControlTraffic) -> Self {
        let network = vat_network(stream, traffic, Side::Client, MessageLimit::RANKS);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: rank_process::Client = system.bootstrap(Side::Server);
        let (open, dropped) = oneshot::channel();
        tokio::task::spawn_local(async move {
            tokio::select! {
                // The reason does not matter here: every pending call fails with its own error.
                ended = system => drop(ended),
                _dropped = dropped => {}
            }
        });
        Self { client, _open: open }
    }
}

/// Client of the process next to another rank. It connects at the first call, and again after each failed one.
pub struct RankPeer {
    address: SocketAddr,
    traffic: ControlTraffic,
    connection: RefCell<Option<Rc<PeerConnection>>>,
    /// The maps that the process is known to have.
    maps: PeerMaps,
    /// The hosts of the loads that were last received from it.
    hosts: RefCell<IdentifiedHosts>,
    /// Identifier of the hosts of the loads that were last sent to it.
    sent_layout: Cell<u64>,
    /// Whether a report of loads is being sent to it.
    sending_loads: Cell<bool>,
}

impl fmt::Debug for RankPeer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RankPeer").field("address", &self.address).finish_non_exhaustive()
    }
}

/// The result of forwarding orders.
#[derive(Debug)]
struct ForwardedOrders<T> {
    answers: T,
    /// Whether the process does not know the base of the map's changes; then no order was carried out.
    unknown_base: bool,
}

/// The observed members of a branch.
#[derive(Debug, Clone, Default)]
pub(super) struct BranchObservation {
    /// States by member.
    pub states: Vec<(usize, RankState)>,
    /// The sum of their counts.
    pub counts: Vec<u32>,
    /// The sum of the demand that entries reported to them.
    pub demand: Option<ServiceDemand>,
}

/// An order to a member of a branch.
pub(super) type MemberOrder = (u16, EngineOrder);

impl RankPeer {
    /// Creates a client of the process at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_traffic(address, ControlTraffic::default())
    }

    /// Creates a client whose traffic is counted.
    pub fn with_traffic(address: SocketAddr, traffic: ControlTraffic) -> Self {
        Self {
            address,
            traffic,
            connection: RefCell::default(),
            maps: PeerMaps::default(),
            hosts: RefCell::default(),
            sent_layout: Cell::new(0),
            sending_loads: Cell::new(false),
        }
    }

    /// Returns the address of the process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn connect(&self) -> Result<Rc<PeerConnection>, CallError> {
        if let Some(connection) = self.connection.borrow().as_ref() {
            return Ok(Rc::clone(connection));
        }
        let connecting = TcpStream::connect(self.address);
        let connected = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MILLIS), connecting).await;
        let stream = connected
            .map_err(|_elapsed| CallError::not_sent("no connection in time"))?
            .map_err(|error| CallError::not_sent(error.to_string()))?;
        let connection = Rc::new(PeerConnection::open(stream, &self.traffic));
        *self.connection.borrow_mut() = Some(Rc::clone(&connection));
        Ok(connection)
    }

    /// Drops the connection after a failed call, and returns the call's error.
    fn connection_failed(&self, error: &Error) -> CallError {
        self.reset();
        CallError::unknown(error.to_string())
    }

    /// Queries for loads newer than `after`; the process may name another one to ask.
    pub async fn loads(&self, after: LoadRevision) -> Result<LoadsAnswer, CallError> {
        self.loads_for_entry(after, None).await
    }

    /// The same for an entry, which reports its demand with it.
    pub async fn loads_for_entry(
        &self,
        after: LoadRevision,
        report: Option<&DemandReport>,
    ) -> Result<LoadsAnswer, CallError> {
        let connection = self.connect().await?;
        let mut request = connection.client.loads_request();
        request.get().set_after(after.0);
        request.get().set_layout(self.hosts.borrow().as_ref().map_or(0, |(layout, _hosts)| *layout));
        if let Some(report) = report {
            request.get().set_entry(report.entry.0);
            if report.demand.is_some() {
                request.get().set_demand(&pack_demand(report.demand.as_ref()));
            }
        }
        let answered = async {
            let asked = Instant::now();
            let response = request.send().promise.await?;
            read_loads(response.get()?, &mut self.hosts.borrow_mut(), asked.elapsed())
        };
        answered.await.map_err(|error: Error| self.connection_failed(&error))
    }

    /// Queries a table on behalf of an entry. Rows may come in pieces; the first one must come within `timeout` plus the
    /// time for which the process may hold the query.
    pub async fn query(
        &self,
        query: TableQuery,
        report: &EntryReport,
        timeout: Duration,
    ) -> Result<ZoneTableUpdate, CallError> {
        let mut pieces = RowPieces::default();
        let mut limit = query.hold + timeout;
        for _piece in 0..MAX_PIECES {
            let asked = tokio::time::timeout(limit, self.query_piece(&query, report, &mut pieces)).await;
            match asked.map_err(|_elapsed| CallError::unknown("no table update in time"))?? {
                QueryProgress::Complete(update) => return Ok(update),
                QueryProgress::Incomplete => limit = PIECE_TIMEOUT,
            }
        }
        Err(CallError::unknown("the rows kept changing"))
    }

    async fn query_piece(
        &self,
        query: &TableQuery,
        report: &EntryReport,
        pieces: &mut RowPieces,
    ) -> Result<QueryProgress, CallError> {
        let connection = self.connect().await?;
        let mut request = connection.client.news_request();
        let mut builder = request.get().init_ask();
        write_query(builder.reborrow(), query, report);
        pieces.write(builder);
        let answered = async { read_zone_update(request.send().promise.await?.get()?.get_news()?, pieces) };
        answered.await.map_err(|error: Error| self.connection_failed(&error))
    }

    /// Sends the newest loads to the process, which forwards them to those on `others`. Sends nothing while the last report
    /// is not acknowledged.
    pub async fn publish_loads(&self, loads: &AgedLoads, others: &[Ipv4Addr]) {
        if self.sending_loads.replace(true) {
            return;
        }
        let sent = tokio::time::timeout(REPORT_TIMEOUT, self.publish_loads_now(loads, others)).await;
        if sent.is_err() {
            self.reset();
        }
        self.sending_loads.set(false);
    }

    async fn publish_loads_now(&self, loads: &AgedLoads, others: &[Ipv4Addr]) -> Result<(), CallError> {
        let hosts = hosts_of(loads.received());
        let layout = layout_of(&hosts);
        let known = self.sent_layout.replace(layout) == layout;
        if known && self.send_loads(loads, others, layout, &[]).await? {
            return Ok(());
        }
        self.send_loads(loads, others, layout, &hosts).await.map(|_taken| ())
    }

    /// Sends loads; returns whether the process knew their hosts.
    async fn send_loads(
        &self,
        loads: &AgedLoads,
        others: &[Ipv4Addr],
        layout: u64,
        hosts: &[Ipv4Addr],
    ) -> Result<bool, CallError> {
        let connection = self.connect().await?;
        let loads = loads.current();
        let mut request = connection.client.tell_request();
        let mut call = request.get();
        call.set_revision(loads.revision.0);
        call.set_layout(layout);
        call.set_requests(&pack_requests(&loads));
        call.set_pass(pack_pass(loads.pass));
        call.set_age_millis(pack_age(loads.age_millis));
        if loads.demand.is_some() {
            call.set_demand(&pack_demand(loads.demand.as_ref()));
        }
        write_hosts(call.reborrow().init_hosts(hosts.len() as u32), hosts);
        write_hosts(call.init_others(others.len() as u32), others);
        let sent = async { Ok(!request.send().promise.await?.get()?.get_unknown_layout()) };
        sent.await.map_err(|error: Error| self.connection_failed(&error))
    }

    /// Reads the process's rank and, through it, those on other hosts.
    pub(super) async fn observe_members(
        &self,
        others: &[Ipv4Addr],
        counts: bool,
        member_timeout: Duration,
    ) -> Result<BranchObservation, CallError> {
        let connection = self.connect().await?;
        let mut request = connection.client.sweep_request();
        let mut call = request.get();
        call.set_counts(counts);
        call.set_millis(member_timeout.as_millis() as u16);
        write_hosts(call.init_others(others.len() as u32), others);
        let observed = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let states = unpack_states(results.get_states()?)?;
            let counts = unpack_counts(results.get_counts()?, results.get_unit());
            Ok(BranchObservation { states, counts, demand: unpack_demand(results.get_demand()?)? })
        };
        observed.await.map_err(|error: Error| self.connection_failed(&error))
    }

    /// Reads the experts of the process's rank and, through it, of those on other hosts, by member.
    pub(super) async fn member_lists(
        &self,
        others: &[Ipv4Addr],
        member_timeout: Duration,
    ) -> Result<Vec<(usize, ExpertLists)>, CallError> {
        let connection = self.connect().await?;
        let mut request = connection.client.gather_request();
        let mut call = request.get();
        call.set_millis(member_timeout.as_millis() as u16);
        write_hosts(call.init_others(others.len() as u32), others);
        let gathered = async {
            let response = request.send().promise.await?;
            unpack(response.get()?.get_lists()?)
        };
        gathered.await.map_err(|error: Error| self.connection_failed(&error))
    }

    /// Sends orders to members of a branch through the process; returns an answer for each order.
    pub(super) async fn forward_orders(
        &self,
        others: &[Ipv4Addr],
        member_timeout: Duration,
        orders: &[MemberOrder],
        map: Option<&EqualShareMap>,
    ) -> Result<Vec<Option<OrderAnswer>>, CallError> {
        let version = orders.iter().find_map(|(_member, order)| match order {
            EngineOrder::Prepare { version, .. } => Some(*version),
            _ => None,
        });
        let send = async |changes: MapChanges| {
            self.forward_orders_with(others, member_timeout, orders, &changes).await
        };
        let (Some(version), Some(map)) = (version, map) else {
            return Ok(send(MapChanges::default()).await?.answers);
        };
        self.with_map(version, map, send).await
    }

    /// Returns the bytes that sending a map to the process takes.
    pub(super) fn map_bytes(&self, version: MapVersion, map: &EqualShareMap) -> usize {
        pack(&self.maps.changes(version, map).changes).len()
    }

    /// Makes a call that carries a map: as changes to the last one that the process has, or as a whole if it has lost that.
    async fn with_map<T>(
        &self,
        version: MapVersion,
        map: &EqualShareMap,
        send: impl AsyncFn(MapChanges) -> Result<ForwardedOrders<T>, CallError>,
    ) -> Result<T, CallError> {
        let changes = self.maps.changes(version, map);
        self.maps.record_sent(version, map);
        let mut forwarded = send(changes).await?;
        if forwarded.unknown_base {
            self.maps.forget();
            let whole = self.maps.changes(version, map);
            self.maps.record_sent(version, map);
            forwarded = send(whole).await?;
        }
        self.maps.record_acknowledged(version, map);
        Ok(forwarded.answers)
    }

    async fn forward_orders_with(
        &self,
        others: &[Ipv4Addr],
        member_timeout: Duration,
        orders: &[MemberOrder],
        map: &MapChanges,
    ) -> Result<ForwardedOrders<Vec<Option<OrderAnswer>>>, CallError> {
        let connection = self.connect().await?;
        let mut request = connection.client.pass_request();
        let mut call = request.get();
        call.set_millis(member_timeout.as_millis() as u16);
        call.set_orders(&pack(&orders));
        write_hosts(call.reborrow().init_others(others.len() as u32), others);
        write_branch_map(call.init_map(), map);
        let forwarded = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let unknown_base = results.get_unknown_base();
            let answers = if unknown_base { Vec::new() } else { unpack(results.get_answers()?)? };
            Ok(ForwardedOrders { answers, unknown_base })
        };
        forwarded.await.map_err(|error: Error| self.connection_failed(&error))
    }

    async fn observe_rank(&self, counts: bool) -> Result<RankObservation, CallError> {
        let connection = self.connect().await?;
        let mut request = connection.client.observe_request();
        request.get().set_counts(counts);
        let observed = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let counts = unpack_counts(results.get_counts()?, results.get_unit());
            let demand = unpack_demand(results.get_demand()?)?;
            Ok(RankObservation { state: read_state(results.get_state()?)?, counts, demand })
        };
        observed.await.map_err(|error: Error| self.connection_failed(&error))
    }

    async fn read_expert_lists(&self) -> Result<ExpertLists, CallError> {
        let connection = self.connect().await?;
        let request = connection.client.lists_request();
        let lists = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let mut experts = Vec::new();
            for list in results.get_experts()? {
                experts.push(list?.iter().map(ExpertId).collect());
            }
            Ok(ExpertLists { version: MapVersion(results.get_version()), experts })
        };
        lists.await.map_err(|error: Error| self.connection_failed(&error))
    }

    async fn order_rank(
        &self,
        order: EngineOrder,
        map: Option<&EqualShareMap>,
    ) -> Result<OrderAnswer, CallError> {
        let send = async |changes: MapChanges| self.order_with(order, &changes).await;
        let (EngineOrder::Prepare { version, .. }, Some(map)) = (order, map) else {
            return Ok(send(MapChanges::default()).await?.answers);
        };
        self.with_map(version, map, send).await
    }

    async fn order_with(
        &self,
        order: EngineOrder,
        map: &MapChanges,
    ) -> Result<ForwardedOrders<OrderAnswer>, CallError> {
        let connection = self.connect().await?;
        let mut request = connection.client.order_request();
        write_order(request.get().init_order(), order, map);
        let forwarded = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let view = if results.has_view() { Some(read_view(results.get_view()?)) } else { None };
            let answers = OrderAnswer { taken: results.get_taken(), view };
            Ok(ForwardedOrders { answers, unknown_base: results.get_unknown_base() })
        };
        forwarded.await.map_err(|error: Error| self.connection_failed(&error))
    }
}

impl RankControl for RankPeer {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        Box::pin(self.observe_rank(counts))
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        Box::pin(self.read_expert_lists())
    }

    fn order<'a>(
        &'a self,
        order: EngineOrder,
        map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        Box::pin(self.order_rank(order, map))
    }

    fn reset(&self) {
        self.connection.borrow_mut().take();
        self.maps.connection_dropped();
    }
}

/// Clients of the processes that this one calls, by host. All processes listen on the same port.
#[derive(Debug)]
pub struct PeerPool {
    port: u16,
    traffic: ControlTraffic,
    peers: RefCell<HashMap<Ipv4Addr, Rc<RankPeer>>>,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new(port: u16, traffic: ControlTraffic) -> Self {
        Self { port, traffic, peers: RefCell::default() }
    }

    /// Returns the client of the process on a host.
    pub fn get(&self, host: Ipv4Addr) -> Rc<RankPeer> {
        let mut peers = self.peers.borrow_mut();
        let new = || Rc::new(RankPeer::with_traffic((host, self.port).into(), self.traffic.clone()));
        Rc::clone(peers.entry(host).or_insert_with(new))
    }

    /// Removes the clients of processes on all other hosts.
    pub fn retain(&self, hosts: &HashSet<Ipv4Addr>) {
        self.peers.borrow_mut().retain(|host, _peer| hosts.contains(host));
    }
}
