//! The way to the process beside another rank.

use super::convert::{
    LoadsAnswer, MapChanges, NamedHosts, hosts_of, layout_of, pack, pack_pass, pack_requests, read_loads,
    read_observation, read_view, unpack, unpack_counts, unpack_states, write_branch_map, write_hosts,
    write_order,
};
use super::maps::PeerMaps;
use super::news::{EntryReport, NewsAnswer, RowPieces, ZoneTableUpdate, read_zone, write_ask};
use super::traffic::ControlTraffic;
use crate::rank_capnp::rank_process;
use crate::server::vat_network;
use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use porthoist_group::{ExpertLists, OrderAnswer, RankControl, RankFuture, RankObservation};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::proxy::loads::{GroupLoads, LoadRevision};
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

/// Time for a new connection in milliseconds; a host that was cut off answers nothing at all.
const CONNECT_MILLIS: u64 = 120;
/// Pieces of rows that are asked for in one go, at most: more than all that is passed on has.
const MOST_PIECES: usize = 100;
/// Time in which a further piece must come: a hundred entries may fetch theirs over one link of 10 Mbit/s.
const PIECE_PATIENCE: Duration = Duration::from_secs(2);
/// Time in which a process must say that it took a report of loads; newer ones are not sent meanwhile.
const TELL_PATIENCE: Duration = Duration::from_secs(1);

/// A connection, which is closed once no call needs it any more. Without that, each one that is left stays open at both ends for
/// as long as both processes live.
struct PeerConnection {
    client: rank_process::Client,
    /// Ends the connection when it is dropped.
    _open: oneshot::Sender<()>,
}

impl PeerConnection {
    fn open(stream: TcpStream, traffic: &ControlTraffic) -> Self {
        let mut system = RpcSystem::new(Box::new(vat_network(stream, traffic, Side::Client)), None);
        let client: rank_process::Client = system.bootstrap(Side::Server);
        let (open, left) = oneshot::channel();
        tokio::task::spawn_local(async move {
            tokio::select! {
                // Whatever ends the connection, every pending call has its own error.
                ended = system => drop(ended),
                _left = left => {}
            }
        });
        Self { client, _open: open }
    }
}

/// The process beside another rank. It connects when it is first called, and anew after each failed call.
pub struct RankPeer {
    address: SocketAddr,
    traffic: ControlTraffic,
    connected: RefCell<Option<Rc<PeerConnection>>>,
    /// What the process is known to have of maps.
    maps: PeerMaps,
    /// The hosts that it told loads of.
    hosts: RefCell<NamedHosts>,
    /// The hosts that it was told loads of.
    told_layout: Cell<u64>,
    /// Whether a report of loads is on its way to it.
    telling: Cell<bool>,
}

impl fmt::Debug for RankPeer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RankPeer").field("address", &self.address).finish_non_exhaustive()
    }
}

/// What became of orders to a branch.
#[derive(Debug)]
struct PassedOrders<T> {
    answers: T,
    /// Whether the process does not know the map that the changes are to be made to; then nothing was done.
    unknown_base: bool,
}

/// What the members of a branch said of themselves.
#[derive(Debug, Clone, Default)]
pub(super) struct BranchReading {
    /// States by member.
    pub states: Vec<(usize, RankState)>,
    /// The sum of their counts.
    pub counts: Vec<u32>,
}

/// An order to a member of a branch.
pub(super) type MemberOrder = (u16, EngineOrder);

impl RankPeer {
    /// The process at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self::counted(address, ControlTraffic::default())
    }

    /// The same, with bytes counted.
    pub fn counted(address: SocketAddr, traffic: ControlTraffic) -> Self {
        Self {
            address,
            traffic,
            connected: RefCell::default(),
            maps: PeerMaps::default(),
            hosts: RefCell::default(),
            told_layout: Cell::new(0),
            telling: Cell::new(false),
        }
    }

    /// The address of the process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn connected(&self) -> Result<Rc<PeerConnection>, CallError> {
        if let Some(connection) = self.connected.borrow().as_ref() {
            return Ok(Rc::clone(connection));
        }
        let connecting = TcpStream::connect(self.address);
        let connected = tokio::time::timeout(Duration::from_millis(CONNECT_MILLIS), connecting).await;
        let stream = connected
            .map_err(|_elapsed| CallError::not_sent("no connection in time"))?
            .map_err(|error| CallError::not_sent(error.to_string()))?;
        let connection = Rc::new(PeerConnection::open(stream, &self.traffic));
        *self.connected.borrow_mut() = Some(Rc::clone(&connection));
        Ok(connection)
    }

    /// Forgets the connection after a failure.
    fn lost(&self, error: &Error) -> CallError {
        self.reset();
        CallError::unknown(error.to_string())
    }

    /// Loads newer than a report, or where to ask.
    pub async fn loads(&self, after: LoadRevision) -> Result<LoadsAnswer, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.loads_request();
        request.get().set_after(after.0);
        request.get().set_layout(self.hosts.borrow().as_ref().map_or(0, |(layout, _hosts)| *layout));
        let answered = async {
            let response = request.send().promise.await?;
            read_loads(response.get()?, &mut self.hosts.borrow_mut())
        };
        answered.await.map_err(|error: Error| self.lost(&error))
    }

    /// What the process knows of a table, asked by an entry. Rows may come in pieces, of which the first must be there in the
    /// time that the question is held and `patience`.
    pub async fn query(
        &self,
        ask: TableQuery,
        word: &EntryReport,
        patience: Duration,
    ) -> Result<ZoneTableUpdate, CallError> {
        let mut pieces = RowPieces::default();
        let mut time = ask.hold + patience;
        for _piece in 0..MOST_PIECES {
            let asked = tokio::time::timeout(time, self.query_piece(&ask, word, &mut pieces)).await;
            match asked.map_err(|_elapsed| CallError::unknown("no news in time"))?? {
                NewsAnswer::Whole(news) => return Ok(news),
                NewsAnswer::More => time = PIECE_PATIENCE,
            }
        }
        Err(CallError::unknown("the rows changed all the time"))
    }

    async fn query_piece(
        &self,
        ask: &TableQuery,
        word: &EntryReport,
        pieces: &mut RowPieces,
    ) -> Result<NewsAnswer, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.news_request();
        let mut builder = request.get().init_ask();
        write_ask(builder.reborrow(), ask, word);
        pieces.write(builder);
        let answered = async { read_zone(request.send().promise.await?.get()?.get_news()?, pieces) };
        answered.await.map_err(|error: Error| self.lost(&error))
    }

    /// Tells the newest loads, for the process and for those on other hosts. One that has not taken the last report
    /// gets none.
    pub async fn tell(&self, loads: &GroupLoads, others: &[Ipv4Addr]) {
        if self.telling.replace(true) {
            return;
        }
        let told = tokio::time::timeout(TELL_PATIENCE, self.tell_now(loads, others)).await;
        if told.is_err() {
            self.reset();
        }
        self.telling.set(false);
    }

    async fn tell_now(&self, loads: &GroupLoads, others: &[Ipv4Addr]) -> Result<(), CallError> {
        let hosts = hosts_of(loads);
        let layout = layout_of(&hosts);
        let known = self.told_layout.replace(layout) == layout;
        if known && self.send_loads(loads, others, layout, &[]).await? {
            return Ok(());
        }
        self.send_loads(loads, others, layout, &hosts).await.map(|_taken| ())
    }

    /// Sends loads; returns whether the process knows their hosts.
    async fn send_loads(
        &self,
        loads: &GroupLoads,
        others: &[Ipv4Addr],
        layout: u64,
        hosts: &[Ipv4Addr],
    ) -> Result<bool, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.tell_request();
        let mut call = request.get();
        call.set_revision(loads.revision.0);
        call.set_layout(layout);
        call.set_requests(&pack_requests(loads));
        call.set_pass(pack_pass(loads.pass));
        write_hosts(call.reborrow().init_hosts(hosts.len() as u32), hosts);
        write_hosts(call.init_others(others.len() as u32), others);
        let sent = async { Ok(!request.send().promise.await?.get()?.get_unknown_layout()) };
        sent.await.map_err(|error: Error| self.lost(&error))
    }

    /// Reads this process's rank and those on other hosts.
    pub(super) async fn sweep(
        &self,
        others: &[Ipv4Addr],
        counts: bool,
        patience: Duration,
    ) -> Result<BranchReading, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.sweep_request();
        let mut call = request.get();
        call.set_counts(counts);
        call.set_millis(patience.as_millis() as u16);
        write_hosts(call.init_others(others.len() as u32), others);
        let swept = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let states = unpack_states(results.get_states()?)?;
            Ok(BranchReading { states, counts: unpack_counts(results.get_counts()?, results.get_unit()) })
        };
        swept.await.map_err(|error: Error| self.lost(&error))
    }

    /// The experts of this process's rank and of those on other hosts, by member.
    pub(super) async fn gather(
        &self,
        others: &[Ipv4Addr],
        patience: Duration,
    ) -> Result<Vec<(usize, ExpertLists)>, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.gather_request();
        let mut call = request.get();
        call.set_millis(patience.as_millis() as u16);
        write_hosts(call.init_others(others.len() as u32), others);
        let gathered = async {
            let response = request.send().promise.await?;
            unpack(response.get()?.get_lists()?)
        };
        gathered.await.map_err(|error: Error| self.lost(&error))
    }

    /// Passes orders on to members of a branch; the answers by order.
    pub(super) async fn pass(
        &self,
        others: &[Ipv4Addr],
        patience: Duration,
        orders: &[MemberOrder],
        map: Option<&EqualShareMap>,
    ) -> Result<Vec<Option<OrderAnswer>>, CallError> {
        let version = orders.iter().find_map(|(_member, order)| match order {
            EngineOrder::Prepare { version, .. } => Some(*version),
            _ => None,
        });
        let send = async |changes: MapChanges| self.pass_with(others, patience, orders, &changes).await;
        let (Some(version), Some(map)) = (version, map) else {
            return Ok(send(MapChanges::default()).await?.answers);
        };
        self.with_map(version, map, send).await
    }

    /// Bytes that a map takes on its way to the process.
    pub(super) fn map_bytes(&self, version: MapVersion, map: &EqualShareMap) -> usize {
        pack(&self.maps.changes(version, map).changes).len()
    }

    /// Makes a call that carries a map: as changes to the last one that the process took, or whole if it does not know it.
    async fn with_map<T>(
        &self,
        version: MapVersion,
        map: &EqualShareMap,
        send: impl AsyncFn(MapChanges) -> Result<PassedOrders<T>, CallError>,
    ) -> Result<T, CallError> {
        let changes = self.maps.changes(version, map);
        self.maps.sending(version, map);
        let mut passed = send(changes).await?;
        if passed.unknown_base {
            self.maps.forget();
            let whole = self.maps.changes(version, map);
            self.maps.sending(version, map);
            passed = send(whole).await?;
        }
        self.maps.answered(version, map);
        Ok(passed.answers)
    }

    async fn pass_with(
        &self,
        others: &[Ipv4Addr],
        patience: Duration,
        orders: &[MemberOrder],
        map: &MapChanges,
    ) -> Result<PassedOrders<Vec<Option<OrderAnswer>>>, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.pass_request();
        let mut call = request.get();
        call.set_millis(patience.as_millis() as u16);
        call.set_orders(&pack(&orders));
        write_hosts(call.reborrow().init_others(others.len() as u32), others);
        write_branch_map(call.init_map(), map);
        let passed = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let unknown_base = results.get_unknown_base();
            let answers = if unknown_base { Vec::new() } else { unpack(results.get_answers()?)? };
            Ok(PassedOrders { answers, unknown_base })
        };
        passed.await.map_err(|error: Error| self.lost(&error))
    }

    async fn observe_rank(&self, counts: bool) -> Result<RankObservation, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.observe_request();
        request.get().set_counts(counts);
        let observed = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let counts = unpack_counts(results.get_counts()?, results.get_unit());
            read_observation(results.get_state()?, counts)
        };
        observed.await.map_err(|error: Error| self.lost(&error))
    }

    async fn rank_lists(&self) -> Result<ExpertLists, CallError> {
        let connection = self.connected().await?;
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
        lists.await.map_err(|error: Error| self.lost(&error))
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
    ) -> Result<PassedOrders<OrderAnswer>, CallError> {
        let connection = self.connected().await?;
        let mut request = connection.client.order_request();
        write_order(request.get().init_order(), order, map);
        let passed = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let view = if results.has_view() { Some(read_view(results.get_view()?)) } else { None };
            let answers = OrderAnswer { taken: results.get_taken(), view };
            Ok(PassedOrders { answers, unknown_base: results.get_unknown_base() })
        };
        passed.await.map_err(|error: Error| self.lost(&error))
    }
}

impl RankControl for RankPeer {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        Box::pin(self.observe_rank(counts))
    }

    fn lists(&self) -> RankFuture<'_, ExpertLists> {
        Box::pin(self.rank_lists())
    }

    fn order<'a>(
        &'a self,
        order: EngineOrder,
        map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        Box::pin(self.order_rank(order, map))
    }

    fn reset(&self) {
        self.connected.borrow_mut().take();
        self.maps.left();
    }
}

/// The processes that this one calls, by host. All listen on the same port.
#[derive(Debug)]
pub struct PeerPool {
    port: u16,
    traffic: ControlTraffic,
    peers: RefCell<HashMap<Ipv4Addr, Rc<RankPeer>>>,
}

impl PeerPool {
    /// A pool without peers.
    pub fn new(port: u16, traffic: ControlTraffic) -> Self {
        Self { port, traffic, peers: RefCell::default() }
    }

    /// The process on a host.
    pub fn get(&self, host: Ipv4Addr) -> Rc<RankPeer> {
        let mut peers = self.peers.borrow_mut();
        let new = || Rc::new(RankPeer::counted((host, self.port).into(), self.traffic.clone()));
        Rc::clone(peers.entry(host).or_insert_with(new))
    }

    /// Forgets the processes on all other hosts.
    pub fn retain(&self, hosts: &HashSet<Ipv4Addr>) {
        self.peers.borrow_mut().retain(|host, _peer| hosts.contains(host));
    }
}
