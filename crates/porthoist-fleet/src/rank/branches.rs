//! Two-level fan-out of calls to the ranks of a group.
//!
//! Ranks of one zone form branches of about the square root of the group's size. One member of each branch, its head, calls
//! the others on behalf of the process that plans. The traffic of any process thus grows with the square root of the
//! group's size, and the counts of a branch cross between zones only once. If a head does not answer, the next member of
//! its branch replaces it in the same round.

use super::aged_loads::AgedLoads;
use super::entry_demands::RecentDemands;
use super::peer::{BranchObservation, MemberOrder, PeerPool, RankPeer};
use futures::future::{LocalBoxFuture, join_all};
use porthoist_core::{LinkRate, ZoneName};
use porthoist_group::{
    AdaptiveTimeout, ExpertLists, GroupControl, GroupObservation, GroupTimeouts, OrderAnswer, RankControl,
    UnreachableRank,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::roll_forward::{EngineOrder, RankState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Least number of branches, if there are enough ranks. Groups of up to 13 ranks, whose rounds fit the smallest link, thus
/// need no second hop, which takes about 3 ms between zones.
const MIN_BRANCHES: usize = 12;
/// Number of members that are tried as head of a branch in one round.
const MAX_HEAD_ATTEMPTS: usize = 2;
/// Part of the planning process's timeout that a head has for its members; the rest is for the path to the head.
const MEMBER_TIMEOUT_FRACTION: f64 = 0.6;
/// Factor by which the transfer of a map may exceed the time of its bytes: the links also carry loads and counts.
const MAP_TRANSFER_TIME_FACTOR: u32 = 2;

/// One branch of a group.
#[derive(Debug)]
struct RankBranch {
    hosts: Vec<Ipv4Addr>,
    /// Index of the head in `hosts`.
    head: Cell<usize>,
}

impl RankBranch {
    /// Returns the members' hosts as the head numbers them, the head first.
    fn members(&self) -> Vec<Ipv4Addr> {
        let head = self.head.get();
        let others = self.hosts.iter().enumerate().filter(|(index, _host)| *index != head);
        std::iter::once(self.hosts[head]).chain(others.map(|(_index, host)| *host)).collect()
    }

    fn next_head(&self) {
        self.head.set((self.head.get() + 1) % self.hosts.len());
    }
}

/// A head's answer to a call.
struct HeadAnswer<T> {
    /// The members, as numbered by the head.
    members: Vec<Ipv4Addr>,
    answer: T,
    took: Duration,
}

/// The processes next to ranks, in branches.
#[derive(Debug)]
pub struct RankBranches {
    branches: Vec<RankBranch>,
    /// The demand that entries reported to each branch, by its first host. A branch whose heads do not answer counts as it
    /// last did, for as long as any demand.
    demands: RefCell<RecentDemands<Ipv4Addr>>,
    peers: Rc<PeerPool>,
}

impl RankBranches {
    /// Forms branches of the processes on these hosts.
    pub fn new(hosts: &BTreeMap<Ipv4Addr, ZoneName>, peers: Rc<PeerPool>) -> Self {
        let mut zones: BTreeMap<&ZoneName, Vec<Ipv4Addr>> = BTreeMap::new();
        for (host, zone) in hosts {
            zones.entry(zone).or_default().push(*host);
        }
        let wanted = MIN_BRANCHES.max((hosts.len() as f64).sqrt().ceil() as usize);
        let members = hosts.len().div_ceil(wanted).max(1);
        let branch = |hosts: &[Ipv4Addr]| RankBranch { hosts: hosts.to_vec(), head: Cell::new(0) };
        let branches = zones.values().flat_map(|hosts| hosts.chunks(members)).map(branch).collect();
        Self { branches, demands: RefCell::default(), peers }
    }

    /// Returns the hosts in all branches.
    pub fn hosts(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.branches.iter().flat_map(|branch| branch.hosts.iter().copied())
    }

    /// Calls the head of a branch, or the next member if the head does not answer.
    async fn call_head<T>(
        &self,
        branch: &RankBranch,
        timeout: Duration,
        call: impl AsyncFn(&RankPeer, &[Ipv4Addr]) -> Result<T, CallError>,
    ) -> Option<HeadAnswer<T>> {
        let began = Instant::now();
        for _tried in 0..MAX_HEAD_ATTEMPTS.min(branch.hosts.len()) {
            let members = branch.members();
            let head = self.peers.get(members[0]);
            if let Ok(Ok(answer)) = tokio::time::timeout(timeout, call(&head, &members)).await {
                return Some(HeadAnswer { members, answer, took: began.elapsed() });
            }
            // The connection may never answer again. The other members are reached through a new head.
            head.reset();
            branch.next_head();
        }
        None
    }

    /// Calls the heads of all branches at once and records their response times.
    async fn call_heads<T>(
        &self,
        timeout: &RefCell<AdaptiveTimeout>,
        call: impl AsyncFn(&RankPeer, &[Ipv4Addr], Duration) -> Result<T, CallError>,
    ) -> Vec<HeadAnswer<T>> {
        let allowed = timeout.borrow().get();
        let members = allowed.mul_f64(MEMBER_TIMEOUT_FRACTION);
        let asked = self.branches.iter().map(|branch| {
            self.call_head(branch, allowed, async |head: &RankPeer, hosts: &[Ipv4Addr]| {
                call(head, &hosts[1..], members).await
            })
        });
        let answers: Vec<HeadAnswer<T>> = join_all(asked).await.into_iter().flatten().collect();
        let times: Vec<Duration> = answers.iter().map(|answer| answer.took).collect();
        timeout.borrow_mut().record(&times, self.branches.len());
        answers
    }

    /// Reads the states of all ranks that answer, by host, and the sums of their counts and of the demand of entries.
    pub async fn observe(
        &self,
        counts: bool,
        timeout: &RefCell<AdaptiveTimeout>,
    ) -> (Vec<(Ipv4Addr, RankState)>, GroupObservation) {
        let call = async |head: &RankPeer, others: &[Ipv4Addr], members: Duration| {
            head.observe_members(others, counts, members).await
        };
        let (mut states, mut sum) = (Vec::new(), GroupObservation::default());
        for HeadAnswer { members, answer, .. } in self.call_heads(timeout, call).await {
            let BranchObservation { states: read, counts, demand } = answer;
            sum.add_counts(&counts);
            if let Some(branch) = members.iter().min() {
                self.demands.borrow_mut().record(*branch, demand);
            }
            let hosts = read.into_iter().filter_map(|(member, state)| Some((*members.get(member)?, state)));
            states.extend(hosts);
        }
        sum.demand = self.demands.borrow().sum(|_branch| true);
        (states, sum)
    }

    /// Distributes the newest loads to all processes, without waiting for it to finish.
    pub fn publish_loads(&self, loads: &AgedLoads) {
        for branch in &self.branches {
            let members = branch.members();
            let (head, loads) = (self.peers.get(members[0]), loads.clone());
            tokio::task::spawn_local(async move { head.publish_loads(&loads, &members[1..]).await });
        }
    }

    fn branch_of(&self, host: Ipv4Addr) -> Option<usize> {
        self.branches.iter().position(|branch| branch.hosts.contains(&host))
    }
}

/// A group whose first rank is next to this process.
#[derive(Debug)]
pub struct BranchedGroup {
    own_rank: Rc<dyn RankControl>,
    /// The hosts of the ranks, by rank, as far as they are known. The first one is this process's.
    hosts: Vec<Option<Ipv4Addr>>,
    /// All ranks but the first.
    branches: RankBranches,
    timeouts: Rc<GroupTimeouts>,
    /// Bandwidth of the link of a host next to a rank.
    link_rate: LinkRate,
}

impl BranchedGroup {
    /// Creates the group of the rank next to this process and those on `hosts`, by rank. `timeouts` may come from an
    /// earlier group, to keep what it recorded.
    pub fn new(
        own_rank: Rc<dyn RankControl>,
        hosts: Vec<Option<Ipv4Addr>>,
        branches: RankBranches,
        timeouts: Rc<GroupTimeouts>,
        link_rate: LinkRate,
    ) -> Self {
        Self { own_rank, hosts, branches, timeouts, link_rate }
    }

    /// Returns the hosts of the ranks, by rank, as far as they are known.
    pub fn hosts(&self) -> &[Option<Ipv4Addr>] {
        &self.hosts
    }

    /// Returns the branches of the group.
    pub fn branches(&self) -> &RankBranches {
        &self.branches
    }

    async fn call_own_rank<T>(
        &self,
        timeout: &RefCell<AdaptiveTimeout>,
        call: porthoist_group::RankFuture<'_, T>,
    ) -> Result<T, UnreachableRank> {
        let allowed = timeout.borrow().get();
        let unreachable = |error: String| UnreachableRank { rank: 0, error };
        match tokio::time::timeout(allowed, call).await {
            Ok(answer) => answer.map_err(|error| unreachable(error.to_string())),
            Err(_elapsed) => Err(unreachable("no answer in time".to_owned())),
        }
    }

    async fn observe_all(&self, counts: bool) -> GroupObservation {
        let mut observation = GroupObservation::empty(self.hosts.len());
        let timeout = self.timeouts.for_states(counts);
        match self.call_own_rank(timeout, self.own_rank.observe(counts)).await {
            Ok(observed) => {
                observation.add_counts(&observed.counts);
                observation.add_demand(observed.demand.as_ref());
                observation.states[0] = Some(observed.state);
            }
            Err(unreachable) => {
                observation.unreachable = Some(unreachable);
                return observation;
            }
        }
        let (states, sum) = self.branches.observe(counts, timeout).await;
        observation.add_counts(&sum.counts);
        observation.add_demand(sum.demand.as_ref());
        let ranks: HashMap<Ipv4Addr, usize> =
            self.hosts.iter().enumerate().filter_map(|(rank, host)| Some(((*host)?, rank))).collect();
        for (host, state) in states {
            if let Some(rank) = ranks.get(&host) {
                observation.states[*rank] = Some(state);
            }
        }
        if let Some(rank) = observation.states.iter().position(Option::is_none) {
            let host = self.hosts[rank]
                .map_or_else(|| "its host is not known".to_owned(), |host| format!("no answer of {host}"));
            observation.unreachable = Some(UnreachableRank { rank, error: host });
        }
        observation
    }

    async fn gather_lists(&self) -> Vec<Option<ExpertLists>> {
        let mut lists = vec![None; self.hosts.len()];
        lists[0] = self.call_own_rank(&self.timeouts.lists, self.own_rank.expert_lists()).await.ok();
        let call = async |head: &RankPeer, others: &[Ipv4Addr], members: Duration| {
            head.member_lists(others, members).await
        };
        for HeadAnswer { members, answer, .. } in self.branches.call_heads(&self.timeouts.lists, call).await {
            for (member, list) in answer {
                let host = members.get(member).copied();
                if let Some(rank) = self.hosts.iter().position(|known| known.is_some() && *known == host) {
                    lists[rank] = Some(list);
                }
            }
        }
        lists
    }

    /// Returns the time to transfer the map of prepare orders: from here to all heads, and from a head to the other members
    /// of its branch.
    ///
    /// A whole map for 129 ranks takes 0.4 s of links of 6 Mbit/s. A timeout that does not include this expires for each
    /// such map, which is then sent whole again.
    fn map_transfer_time(&self, orders: &[(usize, EngineOrder)], map: Option<&EqualShareMap>) -> Duration {
        let version = orders.iter().find_map(|(_rank, order)| match order {
            EngineOrder::Prepare { version, .. } => Some(*version),
            _ => None,
        });
        let (Some(version), Some(map)) = (version, map) else { return Duration::ZERO };
        let branches = self.branches.branches.iter();
        let heads = branches.map(|branch| (branch, self.branches.peers.get(branch.hosts[branch.head.get()])));
        let bytes = heads.map(|(branch, head)| (head.map_bytes(version, map), branch.hosts.len() - 1));
        let (to_heads, to_members) = bytes.fold((0, 0), |(to_heads, to_members), (bytes, members)| {
            (to_heads + bytes, to_members.max(bytes * members))
        });
        self.link_rate.transfer_time(to_heads + to_members) * MAP_TRANSFER_TIME_FACTOR
    }

    /// Forwards orders to ranks of one branch; returns the answers with the indices of their orders.
    async fn forward_orders(
        &self,
        branch: &RankBranch,
        orders: &[(usize, Ipv4Addr, EngineOrder)],
        map: Option<&EqualShareMap>,
        timeout: Duration,
    ) -> Option<(Vec<(usize, OrderAnswer)>, Duration)> {
        let call = async |head: &RankPeer, members: &[Ipv4Addr]| {
            let numbered = orders.iter().filter_map(|(_index, host, order)| {
                let member = members.iter().position(|known| known == host)?;
                Some((member as u16, *order))
            });
            let numbered: Vec<MemberOrder> = numbered.collect();
            head.forward_orders(&members[1..], timeout.mul_f64(MEMBER_TIMEOUT_FRACTION), &numbered, map).await
        };
        let HeadAnswer { answer, took, .. } = self.branches.call_head(branch, timeout, call).await?;
        let answers = orders.iter().zip(answer);
        Some((answers.filter_map(|((index, _host, _order), answer)| Some((*index, answer?))).collect(), took))
    }

    async fn send_orders(
        &self,
        orders: &[(usize, EngineOrder)],
        map: Option<&EqualShareMap>,
    ) -> Vec<Option<OrderAnswer>> {
        let timeout = self.timeouts.for_orders(orders);
        let allowed = timeout.borrow().get() + self.map_transfer_time(orders, map);
        let mut answers = vec![None; orders.len()];
        let mut own = None;
        let mut of_branch: BTreeMap<usize, Vec<(usize, Ipv4Addr, EngineOrder)>> = BTreeMap::new();
        for (index, (rank, order)) in orders.iter().enumerate() {
            if *rank == 0 {
                own = Some((index, *order));
                continue;
            }
            // An order to a rank without a known host gets no answer.
            let Some(host) = self.hosts.get(*rank).copied().flatten() else { continue };
            let Some(branch) = self.branches.branch_of(host) else { continue };
            of_branch.entry(branch).or_default().push((index, host, *order));
        }
        let own_answer = async {
            let (index, order) = own?;
            let map = matches!(order, EngineOrder::Prepare { .. }).then_some(map).flatten();
            self.call_own_rank(timeout, self.own_rank.order(order, map))
                .await
                .ok()
                .map(|answer| (index, answer))
        };
        let forwarded = of_branch.iter().map(|(branch, orders)| {
            self.forward_orders(&self.branches.branches[*branch], orders, map, allowed)
        });
        let (own_answer, forwarded) = tokio::join!(own_answer, join_all(forwarded));
        if !of_branch.is_empty() {
            let times: Vec<Duration> = forwarded.iter().flatten().map(|(_answers, took)| *took).collect();
            timeout.borrow_mut().record(&times, of_branch.len());
        }
        let all = forwarded.into_iter().flatten().flat_map(|(answers, _took)| answers).chain(own_answer);
        for (index, answer) in all {
            answers[index] = Some(answer);
        }
        answers
    }
}

impl GroupControl for BranchedGroup {
    fn ranks(&self) -> usize {
        self.hosts.len()
    }

    fn observe_first(&self) -> LocalBoxFuture<'_, Option<RankState>> {
        Box::pin(async {
            let observed = self.call_own_rank(&self.timeouts.states, self.own_rank.observe(false)).await;
            observed.ok().map(|observed| observed.state)
        })
    }

    fn observe(&self, counts: bool) -> LocalBoxFuture<'_, GroupObservation> {
        Box::pin(self.observe_all(counts))
    }

    fn expert_lists(&self) -> LocalBoxFuture<'_, Vec<Option<ExpertLists>>> {
        Box::pin(self.gather_lists())
    }

    fn order<'a>(
        &'a self,
        orders: &'a [(usize, EngineOrder)],
        map: Option<&'a EqualShareMap>,
    ) -> LocalBoxFuture<'a, Vec<Option<OrderAnswer>>> {
        Box::pin(self.send_orders(orders, map))
    }
}
