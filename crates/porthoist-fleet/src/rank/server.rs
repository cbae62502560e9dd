//! What the process beside a rank does for the others.

use super::convert::{
    MapChanges, NamedHosts, joined_loads, layout_of, pack, pack_counts, pack_states, read_branch_map,
    read_hosts, read_order, unpack, write_loads, write_state, write_view,
};
use super::maps::MapShelf;
use super::news::{EntryReport, PackedRows, read_ask, read_piece_ask, read_word, write_news, write_zone};
use super::outlet::LoadsPublisher;
use super::peer::{MemberOrder, PeerPool};
use super::traffic::ControlTraffic;
use crate::rank_capnp::rank_process;
use crate::server::{failed, vat_network};
use capnp::Error;
use capnp::capability::Rc as CapabilityRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client};
use futures::future::join_all;
use porthoist_core::ClockSource;
use porthoist_group::{GroupObservation, RankControl, RankFuture};
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::proxy::entries::EntryRoster;
use porthoist_policy::proxy::loads::LoadRevision;
use porthoist_policy::proxy::notes::{AgedNote, NoteStore};
use porthoist_policy::proxy::turns::EntryPosition;
use porthoist_policy::roll_forward::EngineOrder;
use porthoist_proxy::TableReader;
use std::cell::RefCell;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// What all connections of one process share.
#[derive(Debug, bon::Builder)]
pub struct RankService {
    /// The rank beside this process.
    link: Rc<dyn RankControl>,
    /// What it tells of its group's loads.
    publisher: LoadsPublisher,
    /// The processes that it calls when it stands for a branch.
    peers: Rc<PeerPool>,
    /// Counts the bytes of the connections that it accepts.
    #[builder(default)]
    traffic: ControlTraffic,
    /// Follows the platform's tables for those who ask.
    reader: Option<Rc<TableReader>>,
    /// The maps that it knows.
    #[builder(skip)]
    maps: MapShelf,
    /// The rows of tables that it last passed on.
    #[builder(skip)]
    packed: RefCell<PackedRows>,
    /// The hosts that it was last told loads of.
    #[builder(skip)]
    hosts: RefCell<NamedHosts>,
    /// The entries that ask it about tables.
    #[builder(skip)]
    entries: RefCell<EntryRoster>,
    /// What those have heard of targets in need.
    #[builder(skip)]
    notes: RefCell<NoteStore>,
    /// Counts the time in which the host was suspended.
    clock: Option<Arc<dyn ClockSource>>,
}

impl RankService {
    /// Takes what an entry tells; returns its place among those that ask.
    fn take_word(&self, word: EntryReport) -> Option<EntryPosition> {
        let now = self.clock.as_ref()?.now();
        let mut notes = self.notes.borrow_mut();
        for note in word.notes {
            notes.take(note.to_local(now));
        }
        self.entries.borrow_mut().record_query(word.entry, now)
    }

    /// What entries have told lately.
    fn told_notes(&self) -> Vec<AgedNote> {
        let Some(now) = self.clock.as_ref().map(|clock| clock.now()) else { return Vec::new() };
        self.notes.borrow_mut().current(now).iter().map(|note| note.aged(now)).collect()
    }

    /// The members of a branch that this process stands for, itself first.
    fn branch(&self, others: &[Ipv4Addr]) -> Vec<Rc<dyn RankControl>> {
        let own: Rc<dyn RankControl> = Rc::clone(&self.link);
        let others = others.iter().map(|host| -> Rc<dyn RankControl> { self.peers.get(*host) });
        std::iter::once(own).chain(others).collect()
    }
}

/// One connection.
struct RankServer {
    serving: Rc<RankService>,
    /// Where it comes from.
    caller: IpAddr,
}

impl RankServer {
    fn note_asker(&self) {
        if let IpAddr::V4(host) = self.caller {
            self.serving.publisher.asked_by(host);
        }
    }
}

impl fmt::Debug for RankServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RankServer").field("caller", &self.caller).finish_non_exhaustive()
    }
}

/// What a member answers within the caller's patience; the connection of one that does not is left.
async fn in_time<T>(link: &Rc<dyn RankControl>, patience: Duration, call: RankFuture<'_, T>) -> Option<T> {
    // Why a member says nothing matters only to the caller, who sees that it is missing.
    match tokio::time::timeout(patience, call).await {
        Ok(answer) => answer.ok(),
        Err(_elapsed) => {
            link.reset();
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
        self.note_asker();
        let observed = self.serving.link.observe(params.get()?.get_counts()).await.map_err(failed)?;
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
        let lists = self.serving.link.lists().await.map_err(failed)?;
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
                let Some(map) = self.serving.maps.take(changes) else {
                    results.get().set_unknown_base(true);
                    return Ok(());
                };
                Some(map)
            }
            None => None,
        };
        let answer = self.serving.link.order(order, map.as_ref()).await.map_err(failed)?;
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
        let answer = self.serving.publisher.clone().newer_than(LoadRevision(params.get_after())).await;
        write_loads(results.get(), &answer, params.get_layout());
        Ok(())
    }

    async fn sweep(
        self: CapabilityRc<Self>,
        params: rank_process::SweepParams,
        mut results: rank_process::SweepResults,
    ) -> Result<(), Error> {
        self.note_asker();
        let params = params.get()?;
        let (counts, patience) = (params.get_counts(), Duration::from_millis(params.get_millis().into()));
        let members = self.serving.branch(&read_hosts(params.get_others()?));
        let asked = members.iter().map(|member| in_time(member, patience, member.observe(counts)));
        let answers = join_all(asked).await;
        let mut sum = GroupObservation::default();
        let mut states = Vec::with_capacity(answers.len());
        for (member, observed) in answers.into_iter().enumerate() {
            let Some(observed) = observed else { continue };
            sum.add_counts(&observed.counts);
            states.push((member, observed.state));
        }
        let mut builder = results.get();
        builder.set_states(&pack_states(&states));
        let (counts, unit) = pack_counts(&sum.counts);
        builder.set_counts(&counts);
        builder.set_unit(unit);
        Ok(())
    }

    async fn gather(
        self: CapabilityRc<Self>,
        params: rank_process::GatherParams,
        mut results: rank_process::GatherResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let patience = Duration::from_millis(params.get_millis().into());
        let members = self.serving.branch(&read_hosts(params.get_others()?));
        let asked = members.iter().map(|member| in_time(member, patience, member.lists()));
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
        let patience = Duration::from_millis(params.get_millis().into());
        let orders: Vec<MemberOrder> = unpack(params.get_orders()?)?;
        let prepares = orders.iter().any(|(_member, order)| matches!(order, EngineOrder::Prepare { .. }));
        let map = if prepares {
            let changes: MapChanges = read_branch_map(params.get_map()?)?;
            let Some(map) = self.serving.maps.take(changes) else {
                results.get().set_unknown_base(true);
                return Ok(());
            };
            Some(map)
        } else {
            None
        };
        let members = self.serving.branch(&read_hosts(params.get_others()?));
        let given =
            orders.iter().map(|(member, order)| give(&members, *member, *order, map.as_ref(), patience));
        let answers = join_all(given).await;
        results.get().set_answers(&pack(&answers));
        Ok(())
    }

    async fn tell(
        self: CapabilityRc<Self>,
        params: rank_process::TellParams,
        mut results: rank_process::TellResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let mut known = self.serving.hosts.borrow_mut();
        let hosts = read_hosts(params.get_hosts()?);
        if !hosts.is_empty() {
            *known = Some((layout_of(&hosts), hosts));
        }
        let Some((_layout, hosts)) = known.as_ref().filter(|(layout, _hosts)| *layout == params.get_layout())
        else {
            results.get().set_unknown_layout(true);
            return Ok(());
        };
        let loads = joined_loads(params.get_revision(), hosts, params.get_requests()?, params.get_pass());
        for host in read_hosts(params.get_others()?) {
            let (peer, loads) = (self.serving.peers.get(host), loads.clone());
            tokio::task::spawn_local(async move { peer.tell(&loads, &[]).await });
        }
        self.serving.publisher.take_told(loads);
        Ok(())
    }

    async fn news(
        self: CapabilityRc<Self>,
        params: rank_process::NewsParams,
        mut results: rank_process::NewsResults,
    ) -> Result<(), Error> {
        let asked = params.get()?.get_ask()?;
        let (ask, word) = (read_ask(asked)?, read_word(asked)?);
        let reader = self.serving.reader.as_ref();
        let reader = reader.ok_or_else(|| Error::failed("this process follows no tables".to_owned()))?;
        let place = word.and_then(|word| self.serving.take_word(word));
        let news = reader.query(ask).await;
        let mut builder = results.get().init_news();
        write_zone(builder.reborrow(), place, &self.serving.told_notes());
        write_news(builder, &news, read_piece_ask(asked), &mut self.serving.packed.borrow_mut());
        Ok(())
    }
}

/// Gives an order to a member, if there is such a one.
async fn give(
    members: &[Rc<dyn RankControl>],
    member: u16,
    order: EngineOrder,
    map: Option<&EqualShareMap>,
    patience: Duration,
) -> Option<porthoist_group::OrderAnswer> {
    let link = members.get(usize::from(member))?;
    let map = matches!(order, EngineOrder::Prepare { .. }).then_some(map).flatten();
    // An order without an answer may be carried out all the same: the connection stays.
    tokio::time::timeout(patience, link.order(order, map)).await.ok()?.ok()
}

/// Accepts the processes of other ranks on the present `LocalSet` until the future is dropped.
pub async fn serve_ranks(listener: TcpListener, serving: Rc<RankService>) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let server = RankServer { serving: Rc::clone(&serving), caller: address.ip() };
        let process: rank_process::Client = new_client(server);
        let network = vat_network(stream, &serving.traffic, Side::Server);
        let system = RpcSystem::new(Box::new(network), Some(process.client));
        tokio::task::spawn_local(async move {
            // The connection's end is normal; every call on it has its own error.
            drop(system.await);
        });
    }
}
