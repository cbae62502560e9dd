//! Server side of the processes next to ranks.

use super::aged_loads::AgedLoads;
use super::convert::{
    MapChanges, layout_of, pack, pack_counts, pack_states, read_branch_map, read_hosts, read_order, unpack,
    write_state, write_view,
};
use super::entry_demands::{DemandReport, EntryDemands, RecentDemands, pack_demand, unpack_demand};
use super::loads_message::{EncodedLoads, IdentifiedHosts, decode_loads, write_loads};
use super::maps::MapCache;
use super::peer::{MemberOrder, PeerPool};
use super::publisher::LoadsPublisher;
use super::table_update::{
    EntryReport, PackedRows, read_piece_query, read_query, read_report, write_update, write_zone_info,
};
use super::traffic::ControlTraffic;
use crate::rank_capnp::rank_process;
use crate::server::{MessageLimit, failed, vat_network};
use capnp::Error;
use capnp::capability::Rc as CapabilityRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client};
use futures::future::join_all;
use porthoist_core::ClockSource;
use porthoist_group::{GroupObservation, RankControl, RankFuture};
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::proxy::entry_positions::{EntryId, EntryRoster};
use porthoist_policy::proxy::group_loads::LoadRevision;
use porthoist_policy::proxy::limit_notes::{AgedNote, NoteStore};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::roll_forward::EngineOrder;
use porthoist_proxy::TableReader;
use std::cell::RefCell;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Stands for the host of this process among the members of a branch.
const OWN_HOST: Ipv4Addr = Ipv4Addr::UNSPECIFIED;

/// State shared by all connections of one process.
#[derive(Debug, bon::Builder)]
pub struct RankService {
    /// The rank next to this process.
    own_rank: Rc<dyn RankControl>,
    /// Reports the loads of the group.
    publisher: LoadsPublisher,
    /// The processes that it calls as the head of a branch.
    peers: Rc<PeerPool>,
    /// Counts the traffic of the connections that it accepts.
    #[builder(default)]
    traffic: ControlTraffic,
    /// Follows the platform's tables, to answer queries.
    reader: Option<Rc<TableReader>>,
    /// The maps that were received.
    #[builder(skip)]
    maps: MapCache,
    /// The table rows that were last passed on.
    #[builder(skip)]
    packed: RefCell<PackedRows>,
    /// The hosts of the loads that were last received.
    #[builder(skip)]
    hosts: RefCell<IdentifiedHosts>,
    /// The entries that query tables.
    #[builder(skip)]
    entries: RefCell<EntryRoster>,
    /// What these entries know of the backpressure of targets.
    #[builder(skip)]
    notes: RefCell<NoteStore>,
    /// The demand of entries that ask for loads.
    #[builder(default)]
    entry_demands: EntryDemands,
    /// The demand reported to the members of a branch whose head this process is, by host.
    #[builder(skip)]
    member_demands: RefCell<RecentDemands<Ipv4Addr>>,
    /// The clock, which must count the time in which the host was suspended.
    clock: Option<Arc<dyn ClockSource>>,
}

impl RankService {
    /// Handles an entry's report; returns the entry's position among those that query this process.
    fn handle_report(&self, report: EntryReport) -> Option<EntryPosition> {
        let now = self.clock.as_ref()?.now();
        let mut notes = self.notes.borrow_mut();
        for note in report.notes {
            notes.insert(note.to_local(now));
        }
        self.entries.borrow_mut().record_query(report.entry, now)
    }

    /// Returns the recent notes of entries.
    fn recent_notes(&self) -> Vec<AgedNote> {
        let Some(now) = self.clock.as_ref().map(|clock| clock.now()) else { return Vec::new() };
        self.notes.borrow_mut().current(now).iter().map(|note| note.aged(now)).collect()
    }

    /// Returns the members of a branch whose head is this process, its own rank first.
    fn branch_members(&self, others: &[Ipv4Addr]) -> Vec<Rc<dyn RankControl>> {
        let own_rank: Rc<dyn RankControl> = Rc::clone(&self.own_rank);
        let others = others.iter().map(|host| -> Rc<dyn RankControl> { self.peers.get(*host) });
        std::iter::once(own_rank).chain(others).collect()
    }
}

/// One connection of another process.
struct RankServer {
    service: Rc<RankService>,
    /// The address of the other process.
    caller: IpAddr,
}

impl RankServer {
    fn record_observer(&self) {
        if let IpAddr::V4(host) = self.caller {
            self.service.publisher.observed_by(host);
        }
    }
}

impl fmt::Debug for RankServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RankServer").field("caller", &self.caller).finish_non_exhaustive()
    }
}

/// Waits for a member's answer; drops the connection to a member that does not answer in time.
async fn with_timeout<T>(
    member: &Rc<dyn RankControl>,
    timeout: Duration,
    call: RankFuture<'_, T>,
) -> Option<T> {
    // The error is dropped: the caller only needs to know that the member did not answer.
    match tokio::time::timeout(timeout, call).await {
        Ok(answer) => answer.ok(),
        Err(_elapsed) => {
            member.reset();
            None
        }
    }
}

impl rank_process::Server for RankServer {
    async fn observe(
        self: CapabilityRc<Self>,
        params: rank_process::ObserveParams,
        mut results: rank_process::ObserveResults,
    ) -> Result<(), Error> {
        self.record_observer();
        let observed = self.service.own_rank.observe(params.get()?.get_counts()).await.map_err(failed)?;
        let mut builder = results.get();
        write_state(builder.reborrow().init_state(), &observed.state);
        let (counts, unit) = pack_counts(&observed.counts);
        builder.set_counts(&counts);
        builder.set_unit(unit);
        if let Some(demand) = &observed.demand {
            builder.set_demand(&pack_demand(Some(demand)));
        }
        Ok(())
    }

    async fn lists(
        self: CapabilityRc<Self>,
        _params: rank_process::ListsParams,
        mut results: rank_process::ListsResults,
    ) -> Result<(), Error> {
        let lists = self.service.own_rank.expert_lists().await.map_err(failed)?;
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
        let map = match changes {
            Some(changes) => {
                let Some(map) = self.service.maps.apply(changes) else {
                    results.get().set_unknown_base(true);
                    return Ok(());
                };
                Some(map)
            }
            None => None,
        };
        let answer = self.service.own_rank.order(order, map.as_ref()).await.map_err(failed)?;
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
        let params = params.get()?;
        if let Some(report) = read_demand_report(params)? {
            self.service.entry_demands.record(report);
        }
        let asked = Instant::now();
        let answer = self.service.publisher.clone().newer_than(LoadRevision(params.get_after())).await;
        write_loads(results.get(), &answer, params.get_layout(), asked.elapsed());
        Ok(())
    }

    async fn sweep(
        self: CapabilityRc<Self>,
        params: rank_process::SweepParams,
        mut results: rank_process::SweepResults,
    ) -> Result<(), Error> {
        self.record_observer();
        let params = params.get()?;
        let (counts, timeout) = (params.get_counts(), Duration::from_millis(params.get_millis().into()));
        let others = read_hosts(params.get_others()?);
        let members = self.service.branch_members(&others);
        let asked = members.iter().map(|member| with_timeout(member, timeout, member.observe(counts)));
        let answers = join_all(asked).await;
        let hosts: Vec<Ipv4Addr> = std::iter::once(OWN_HOST).chain(others).collect();
        let mut sum = GroupObservation::default();
        let mut states = Vec::with_capacity(answers.len());
        for (member, observed) in answers.into_iter().enumerate() {
            let Some(observed) = observed else { continue };
            sum.add_counts(&observed.counts);
            states.push((member, observed.state));
            self.service.member_demands.borrow_mut().record(hosts[member], observed.demand);
        }
        let demand = self.service.member_demands.borrow().sum(|host| hosts.contains(host));
        let mut builder = results.get();
        builder.set_states(&pack_states(&states));
        let (counts, unit) = pack_counts(&sum.counts);
        builder.set_counts(&counts);
        builder.set_unit(unit);
        if let Some(demand) = &demand {
            builder.set_demand(&pack_demand(Some(demand)));
        }
        Ok(())
    }

    async fn gather(
        self: CapabilityRc<Self>,
        params: rank_process::GatherParams,
        mut results: rank_process::GatherResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let timeout = Duration::from_millis(params.get_millis().into());
        let members = self.service.branch_members(&read_hosts(params.get_others()?));
        let asked = members.iter().map(|member| with_timeout(member, timeout, member.expert_lists()));
        let answers = join_all(asked).await.into_iter().enumerate();
        let lists: Vec<_> = answers.filter_map(|(member, lists)| Some((member, lists?))).collect();
        results.get().set_lists(&pack(&lists));
        Ok(())
    }

    async fn pass(
        self: CapabilityRc<Self>,
        params: rank_process::PassParams,
        mut results: rank_process::PassResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let timeout = Duration::from_millis(params.get_millis().into());
        let orders: Vec<MemberOrder> = unpack(params.get_orders()?)?;
        let prepares = orders.iter().any(|(_member, order)| matches!(order, EngineOrder::Prepare { .. }));
        let map = if prepares {
            let changes: MapChanges = read_branch_map(params.get_map()?)?;
            let Some(map) = self.service.maps.apply(changes) else {
                results.get().set_unknown_base(true);
                return Ok(());
            };
            Some(map)
        } else {
            None
        };
        let members = self.service.branch_members(&read_hosts(params.get_others()?));
        let sent =
            orders.iter().map(|(member, order)| send_order(&members, *member, *order, map.as_ref(), timeout));
        let answers = join_all(sent).await;
        results.get().set_answers(&pack(&answers));
        Ok(())
    }

    async fn tell(
        self: CapabilityRc<Self>,
        params: rank_process::TellParams,
        mut results: rank_process::TellResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let mut known = self.service.hosts.borrow_mut();
        let hosts = read_hosts(params.get_hosts()?);
        if !hosts.is_empty() {
            *known = Some((layout_of(&hosts), hosts));
        }
        let Some((_layout, hosts)) = known.as_ref().filter(|(layout, _hosts)| *layout == params.get_layout())
        else {
            results.get().set_unknown_layout(true);
            return Ok(());
        };
        let encoded = EncodedLoads {
            revision: params.get_revision(),
            requests: params.get_requests()?,
            pass: params.get_pass(),
            age: params.get_age_millis(),
            demand: params.get_demand()?,
        };
        let loads = AgedLoads::new(decode_loads(encoded, hosts)?);
        for host in read_hosts(params.get_others()?) {
            let (peer, loads) = (self.service.peers.get(host), loads.clone());
            tokio::task::spawn_local(async move { peer.publish_loads(&loads, &[]).await });
        }
        self.service.publisher.receive(loads);
        Ok(())
    }

    async fn news(
        self: CapabilityRc<Self>,
        params: rank_process::NewsParams,
        mut results: rank_process::NewsResults,
    ) -> Result<(), Error> {
        let message = params.get()?.get_ask()?;
        let (query, report) = (read_query(message)?, read_report(message)?);
        let reader = self.service.reader.as_ref();
        let reader = reader.ok_or_else(|| Error::failed("this process follows no tables".to_owned()))?;
        let position = report.and_then(|report| self.service.handle_report(report));
        let update = reader.query(query).await;
        let mut builder = results.get().init_news();
        write_zone_info(builder.reborrow(), position, &self.service.recent_notes());
        write_update(builder, &update, read_piece_query(message), &mut self.service.packed.borrow_mut());
        Ok(())
    }
}

/// Reads the demand that an entry reports; `None` if the caller reports none.
fn read_demand_report(params: rank_process::loads_params::Reader<'_>) -> Result<Option<DemandReport>, Error> {
    let entry = EntryId(params.get_entry());
    let demand = unpack_demand(params.get_demand()?)?;
    Ok((entry != EntryId(0)).then_some(DemandReport { entry, demand }))
}

/// Sends an order to a member; `None` if there is no such member or it does not answer.
async fn send_order(
    members: &[Rc<dyn RankControl>],
    index: u16,
    order: EngineOrder,
    map: Option<&EqualShareMap>,
    timeout: Duration,
) -> Option<porthoist_group::OrderAnswer> {
    let member = members.get(usize::from(index))?;
    let map = matches!(order, EngineOrder::Prepare { .. }).then_some(map).flatten();
    // An order without an answer may still be carried out, so the connection is kept.
    tokio::time::timeout(timeout, member.order(order, map)).await.ok()?.ok()
}

/// Serves the processes of other ranks on the current `LocalSet` until the future is dropped.
pub async fn serve_ranks(listener: TcpListener, service: Rc<RankService>) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let server = RankServer { service: Rc::clone(&service), caller: address.ip() };
        let process: rank_process::Client = new_client(server);
        let network = vat_network(stream, &service.traffic, Side::Server, MessageLimit::RANKS);
        let system = RpcSystem::new(Box::new(network), Some(process.client));
        tokio::task::spawn_local(async move {
            // Connections end for ordinary reasons; each call on them fails with its own error.
            drop(system.await);
        });
    }
}
