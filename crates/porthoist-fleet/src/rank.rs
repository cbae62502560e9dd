//! The processes beside the ranks of one group: each shows its engine to the others and passes orders on to it.

use crate::rank_capnp::rank_process;
use crate::rank_convert::{
    LoadsAnswer, MapChanges, pack_counts, read_loads, read_observation, read_order, read_view, unpack_counts,
    write_loads, write_order, write_state, write_view,
};
use crate::server::{failed, vat_network};
use capnp::Error;
use capnp::capability::Rc as CapabilityRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client};
use porthoist_group::{HeldLink, OrderAnswer, RankFuture, RankLists, RankObservation};
use porthoist_http::CallError;
use porthoist_policy::forward::EngineOrder;
use porthoist_policy::placement::even::EvenMap;
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::proxy::loads::{GroupLoads, LoadRevision};
use porthoist_policy::switch::MapVersion;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time for a new connection in milliseconds; a host that was cut off answers nothing at all.
const CONNECT_MILLIS: u64 = 120;

/// A map that both sides of a connection know.
type SharedMap = RefCell<Option<(MapVersion, EvenMap)>>;

/// What the processes of a group tell of its loads.
#[derive(Debug, Clone)]
pub struct LoadsOutlet {
    /// The loads while this process plans for the group.
    pub loads: watch::Receiver<Option<GroupLoads>>,
    /// The host of the process that last asked for this rank's state: the one that plans.
    planner: Rc<Cell<Option<Ipv4Addr>>>,
}

impl LoadsOutlet {
    /// An outlet of the loads that this process publishes.
    pub fn new(loads: watch::Receiver<Option<GroupLoads>>) -> Self {
        Self { loads, planner: Rc::default() }
    }

    /// Waits for loads newer than a report, unless another process plans.
    async fn newer_than(mut self, after: LoadRevision) -> LoadsAnswer {
        loop {
            match self.loads.borrow_and_update().as_ref() {
                None => return LoadsAnswer::Elsewhere(self.planner.get()),
                Some(loads) if loads.revision > after => return LoadsAnswer::Loads(loads.clone()),
                Some(_known) => {}
            }
            if self.loads.changed().await.is_err() {
                return LoadsAnswer::Elsewhere(None);
            }
        }
    }
}

struct RankServer {
    link: Rc<dyn HeldLink>,
    outlet: LoadsOutlet,
    /// Where the connection comes from.
    caller: IpAddr,
    /// The last map received over this connection.
    received: SharedMap,
}

impl RankServer {
    /// The whole map of a prepare; nothing if its base is not the last one received.
    fn whole_map(&self, version: MapVersion, map: MapChanges) -> Option<EvenMap> {
        let mut received = self.received.borrow_mut();
        let base = match received.take() {
            _ if map.base == MapVersion(0) => None,
            Some((known, base)) if known == map.base => Some(base),
            _ => return None,
        };
        let whole = EvenMap::with_changes(base, map.changes);
        *received = Some((version, whole.clone()));
        Some(whole)
    }
}

impl rank_process::Server for RankServer {
    async fn observe(
        self: CapabilityRc<Self>,
        params: rank_process::ObserveParams,
        mut results: rank_process::ObserveResults,
    ) -> Result<(), Error> {
        if let IpAddr::V4(host) = self.caller {
            self.outlet.planner.set(Some(host));
        }
        let observed = self.link.observe(params.get()?.get_counts()).await.map_err(failed)?;
        let mut builder = results.get();
        write_state(builder.reborrow().init_state(), &observed.state);
        let (counts, unit) = pack_counts(&observed.counts);
        builder.set_counts(&counts);
        builder.set_unit(unit);
        Ok(())
    }

    async fn lists(
        self: CapabilityRc<Self>,
        _params: rank_process::ListsParams,
        mut results: rank_process::ListsResults,
    ) -> Result<(), Error> {
        let lists = self.link.lists().await.map_err(failed)?;
        let mut builder = results.get();
        builder.set_version(lists.version.0);
        let mut sets = builder.init_experts(lists.experts.len() as u32);
        for (set, experts) in lists.experts.iter().enumerate() {
            let mut list = sets.reborrow().init(set as u32, experts.len() as u32);
            for (index, expert) in experts.iter().enumerate() {
                list.set(index as u32, expert.0);
            }
        }
        Ok(())
    }

    async fn order(
        self: CapabilityRc<Self>,
        params: rank_process::OrderParams,
        mut results: rank_process::OrderResults,
    ) -> Result<(), Error> {
        let (order, changes) = read_order(params.get()?.get_order()?)?;
        let map = match (order, changes) {
            (EngineOrder::Prepare { version, .. }, Some(changes)) => {
                let Some(map) = self.whole_map(version, changes) else {
                    results.get().set_unknown_base(true);
                    return Ok(());
                };
                Some(map)
            }
            _ => None,
        };
        let answer = self.link.order(order, map.as_ref()).await.map_err(failed)?;
        let mut results = results.get();
        results.set_taken(answer.taken);
        if let Some(view) = &answer.view {
            write_view(results.init_view(), view);
        }
        Ok(())
    }

    async fn loads(
        self: CapabilityRc<Self>,
        params: rank_process::LoadsParams,
        mut results: rank_process::LoadsResults,
    ) -> Result<(), Error> {
        let after = LoadRevision(params.get()?.get_after());
        let answer = self.outlet.clone().newer_than(after).await;
        write_loads(results.get(), &answer);
        Ok(())
    }
}

/// Accepts the processes of other ranks on the present `LocalSet` until the future is dropped.
pub async fn serve_ranks(listener: TcpListener, link: Rc<dyn HeldLink>, outlet: LoadsOutlet) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let server = RankServer {
            link: Rc::clone(&link),
            outlet: outlet.clone(),
            caller: address.ip(),
            received: RefCell::new(None),
        };
        let process: rank_process::Client = new_client(server);
        let system = RpcSystem::new(Box::new(vat_network(stream, Side::Server)), Some(process.client));
        tokio::task::spawn_local(async move {
            // The connection's end is normal; every call on it has its own error.
            drop(system.await);
        });
    }
}

/// The process beside another rank. It connects when it is first called, and anew after each failed call.
pub struct RankPeer {
    address: SocketAddr,
    connected: RefCell<Option<rank_process::Client>>,
    /// The last map sent over the present connection.
    sent: SharedMap,
}

impl fmt::Debug for RankPeer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RankPeer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl RankPeer {
    /// The process at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connected: RefCell::new(None), sent: RefCell::new(None) }
    }

    async fn client(&self) -> Result<rank_process::Client, CallError> {
        if let Some(client) = self.connected.borrow().as_ref() {
            return Ok(client.clone());
        }
        let connecting = TcpStream::connect(self.address);
        let connected = tokio::time::timeout(Duration::from_millis(CONNECT_MILLIS), connecting).await;
        let stream = connected
            .map_err(|_elapsed| CallError::not_sent("no connection in time"))?
            .map_err(|error| CallError::not_sent(error.to_string()))?;
        let mut system = RpcSystem::new(Box::new(vat_network(stream, Side::Client)), None);
        let client: rank_process::Client = system.bootstrap(Side::Server);
        tokio::task::spawn_local(async move {
            // Whatever ends the connection, every pending call has its own error.
            drop(system.await);
        });
        *self.connected.borrow_mut() = Some(client.clone());
        Ok(client)
    }

    /// Forgets the connection after a failure.
    fn lost(&self, error: &Error) -> CallError {
        self.reset();
        CallError::unknown(error.to_string())
    }

    /// The address of the process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Loads newer than a report, or where to ask.
    pub async fn loads(&self, after: LoadRevision) -> Result<LoadsAnswer, CallError> {
        let mut request = self.client().await?.loads_request();
        request.get().set_after(after.0);
        let answered = async {
            let response = request.send().promise.await?;
            read_loads(response.get()?)
        };
        answered.await.map_err(|error: Error| self.lost(&error))
    }

    async fn observe_rank(&self, counts: bool) -> Result<RankObservation, CallError> {
        let mut request = self.client().await?.observe_request();
        request.get().set_counts(counts);
        let observed = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let counts = unpack_counts(results.get_counts()?, results.get_unit());
            read_observation(results.get_state()?, counts)
        };
        observed.await.map_err(|error: Error| self.lost(&error))
    }

    async fn rank_lists(&self) -> Result<RankLists, CallError> {
        let request = self.client().await?.lists_request();
        let lists = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let mut experts = Vec::new();
            for list in results.get_experts()? {
                experts.push(list?.iter().map(ExpertId).collect());
            }
            Ok(RankLists { version: MapVersion(results.get_version()), experts })
        };
        lists.await.map_err(|error: Error| self.lost(&error))
    }

    async fn pass_order(&self, order: EngineOrder, map: Option<&EvenMap>) -> Result<OrderAnswer, CallError> {
        let (EngineOrder::Prepare { version, .. }, Some(map)) = (order, map) else {
            return Ok(self.send_order(order, &MapChanges::default()).await?.answer);
        };
        let changes = {
            let sent = self.sent.borrow();
            let base = sent.as_ref().map_or(MapVersion(0), |(version, _map)| *version);
            MapChanges { base, changes: map.changes_from(sent.as_ref().map(|(_version, map)| map)) }
        };
        *self.sent.borrow_mut() = Some((version, map.clone()));
        let passed = self.send_order(order, &changes).await?;
        if !passed.unknown_base {
            return Ok(passed.answer);
        }
        let whole = MapChanges { base: MapVersion(0), changes: map.changes_from(None) };
        Ok(self.send_order(order, &whole).await?.answer)
    }

    async fn send_order(&self, order: EngineOrder, map: &MapChanges) -> Result<PassedOrder, CallError> {
        let mut request = self.client().await?.order_request();
        write_order(request.get().init_order(), order, map);
        let passed = async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let view = if results.has_view() { Some(read_view(results.get_view()?)) } else { None };
            let answer = OrderAnswer { taken: results.get_taken(), view };
            Ok(PassedOrder { answer, unknown_base: results.get_unknown_base() })
        };
        passed.await.map_err(|error: Error| self.lost(&error))
    }
}

/// An order that reached the process beside an engine.
#[derive(Debug, Clone, Copy)]
struct PassedOrder {
    answer: OrderAnswer,
    /// Whether the process does not know the map that the changes are to be made to; then nothing was done.
    unknown_base: bool,
}

impl HeldLink for RankPeer {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        Box::pin(self.observe_rank(counts))
    }

    fn lists(&self) -> RankFuture<'_, RankLists> {
        Box::pin(self.rank_lists())
    }

    fn order<'a>(&'a self, order: EngineOrder, map: Option<&'a EvenMap>) -> RankFuture<'a, OrderAnswer> {
        Box::pin(self.pass_order(order, map))
    }

    fn reset(&self) {
        self.connected.borrow_mut().take();
        self.sent.borrow_mut().take();
    }
}
