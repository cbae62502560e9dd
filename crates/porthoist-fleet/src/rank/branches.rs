//! A group read and ordered through branches.
//!
//! Ranks of one zone stand side by side in branches of about the square root of the group. One member of each, its head,
//! asks the others for the process that plans: what any one sends and receives grows with the square root of the group,
//! and each branch's counts cross between zones once. Where a head does not answer, the next member of its branch stands
//! for it, in the same round.

use super::peer::{BranchReading, MemberOrder, PeerPool, RankPeer};
use futures::future::{LocalBoxFuture, join_all};
use porthoist_core::{LinkRate, ZoneName};
use porthoist_group::{
    AdaptiveTimeout, ExpertLists, GroupControl, GroupObservation, GroupTimeouts, OrderAnswer, RankControl,
    UnreachableRank,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::proxy::loads::GroupLoads;
use porthoist_policy::roll_forward::{EngineOrder, RankState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Branches at least, as long as there are ranks for them: groups of up to 13 ranks, whose rounds fit the smallest link,
/// need no second hop, of some 3 ms between zones.
const LEAST_BRANCHES: usize = 12;
/// Members that are tried as head of a branch in one round.
const HEADS_TRIED: usize = 2;
/// Part of the planning process's patience that a head has with its members: the rest is for the way to the head.
const MEMBERS_PART: f64 = 0.6;
/// Times longer than its bytes take that a map may be on its way: the links carry the group's loads and counts beside it.
const MAP_TIMES: u32 = 2;

/// One branch.
#[derive(Debug)]
struct RankBranch {
    hosts: Vec<Ipv4Addr>,
    /// The member that stands for the others.
    head: Cell<usize>,
}

impl RankBranch {
    /// The hosts of the members as the head numbers them, itself first.
    fn members(&self) -> Vec<Ipv4Addr> {
        let head = self.head.get();
        let others = self.hosts.iter().enumerate().filter(|(index, _host)| *index != head);
        std::iter::once(self.hosts[head]).chain(others.map(|(_index, host)| *host)).collect()
    }

    fn next_head(&self) {
        self.head.set((self.head.get() + 1) % self.hosts.len());
    }
}

/// What a head answered.
struct HeadAnswer<T> {
    /// The members, as the head numbered them.
    members: Vec<Ipv4Addr>,
    answer: T,
    took: Duration,
}

/// Processes beside ranks, in branches.
#[derive(Debug)]
pub struct RankBranches {
    branches: Vec<RankBranch>,
    peers: Rc<PeerPool>,
}

impl RankBranches {
    /// Branches of the processes on these hosts.
    pub fn new(hosts: &BTreeMap<Ipv4Addr, ZoneName>, peers: Rc<PeerPool>) -> Self {
        let mut zones: BTreeMap<&ZoneName, Vec<Ipv4Addr>> = BTreeMap::new();
        for (host, zone) in hosts {
            zones.entry(zone).or_default().push(*host);
        }
        let wanted = LEAST_BRANCHES.max((hosts.len() as f64).sqrt().ceil() as usize);
        let members = hosts.len().div_ceil(wanted).max(1);
        let branch = |hosts: &[Ipv4Addr]| RankBranch { hosts: hosts.to_vec(), head: Cell::new(0) };
        let branches = zones.values().flat_map(|hosts| hosts.chunks(members)).map(branch).collect();
        Self { branches, peers }
    }

    /// Hosts in all branches.
    pub fn hosts(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.branches.iter().flat_map(|branch| branch.hosts.iter().copied())
    }

    /// Has the head of a branch answer, or the member after it.
    async fn through_head<T>(
        &self,
        branch: &RankBranch,
        patience: Duration,
        call: impl AsyncFn(&RankPeer, &[Ipv4Addr]) -> Result<T, CallError>,
    ) -> Option<HeadAnswer<T>> {
        let began = Instant::now();
        for _tried in 0..HEADS_TRIED.min(branch.hosts.len()) {
            let members = branch.members();
            let head = self.peers.get(members[0]);
            if let Ok(Ok(answer)) = tokio::time::timeout(patience, call(&head, &members)).await {
                return Some(HeadAnswer { members, answer, took: began.elapsed() });
            }
            // The connection may be silent for good; the others of the branch are reached through another member.
            head.reset();
            branch.next_head();
        }
        None
    }

    /// Asks all branches at once, and learns from it how long that takes.
    async fn through_heads<T>(
        &self,
        patience: &RefCell<AdaptiveTimeout>,
        call: impl AsyncFn(&RankPeer, &[Ipv4Addr], Duration) -> Result<T, CallError>,
    ) -> Vec<HeadAnswer<T>> {
        let allowed = patience.borrow().get();
        let members = allowed.mul_f64(MEMBERS_PART);
        let asked = self.branches.iter().map(|branch| {
            self.through_head(branch, allowed, async |head: &RankPeer, hosts: &[Ipv4Addr]| {
                call(head, &hosts[1..], members).await
            })
        });
        let answers: Vec<HeadAnswer<T>> = join_all(asked).await.into_iter().flatten().collect();
        let times: Vec<Duration> = answers.iter().map(|answer| answer.took).collect();
        patience.borrow_mut().record(&times, self.branches.len());
        answers
    }

    /// The states of all that answer, by host, and the sum of their counts.
    pub async fn sweep(
        &self,
        counts: bool,
        patience: &RefCell<AdaptiveTimeout>,
    ) -> (Vec<(Ipv4Addr, RankState)>, GroupObservation) {
        let call = async |head: &RankPeer, others: &[Ipv4Addr], members: Duration| {
            head.sweep(others, counts, members).await
        };
        let (mut states, mut sum) = (Vec::new(), GroupObservation::default());
        for HeadAnswer { members, answer, .. } in self.through_heads(patience, call).await {
            let BranchReading { states: read, counts } = answer;
            sum.add_counts(&counts);
            let hosts = read.into_iter().filter_map(|(member, state)| Some((*members.get(member)?, state)));
            states.extend(hosts);
        }
        (states, sum)
    }

    /// Has all tell the newest loads, without waiting for it.
    pub fn publish_loads(&self, loads: &GroupLoads) {
        for branch in &self.branches {
            let members = branch.members();
            let (head, loads) = (self.peers.get(members[0]), loads.clone());
            tokio::task::spawn_local(async move { head.tell(&loads, &members[1..]).await });
        }
    }

    fn branch_of(&self, host: Ipv4Addr) -> Option<usize> {
        self.branches.iter().position(|branch| branch.hosts.contains(&host))
    }
}

/// A group of which this process stands beside the first rank.
#[derive(Debug)]
pub struct BranchedGroup {
    own: Rc<dyn RankControl>,
    /// The hosts of the ranks, by rank, as far as they are known; the first is this process's.
    hosts: Vec<Option<Ipv4Addr>>,
    /// All but the first.
    branches: RankBranches,
    patience: Rc<GroupTimeouts>,
    /// What the link of a host beside a rank carries.
    link: LinkRate,
}

impl BranchedGroup {
    /// The group of the rank beside this process and those on `hosts`, by rank. What was learnt of answers goes on in
    /// `patience`.
    pub fn new(
        own: Rc<dyn RankControl>,
        hosts: Vec<Option<Ipv4Addr>>,
        branches: RankBranches,
        patience: Rc<GroupTimeouts>,
        link: LinkRate,
    ) -> Self {
        Self { own, hosts, branches, patience, link }
    }

    /// The hosts of the ranks, by rank, as far as they are known.
    pub fn hosts(&self) -> &[Option<Ipv4Addr>] {
        &self.hosts
    }

    /// Its branches.
    pub fn branches(&self) -> &RankBranches {
        &self.branches
    }

    async fn own_in_time<T>(
        &self,
        patience: &RefCell<AdaptiveTimeout>,
        call: porthoist_group::RankFuture<'_, T>,
    ) -> Result<T, UnreachableRank> {
        let allowed = patience.borrow().get();
        let unread = |error: String| UnreachableRank { rank: 0, error };
        match tokio::time::timeout(allowed, call).await {
            Ok(answer) => answer.map_err(|error| unread(error.to_string())),
            Err(_elapsed) => Err(unread("no answer in time".to_owned())),
        }
    }

    async fn read_all(&self, counts: bool) -> GroupObservation {
        let mut reading = GroupObservation::empty(self.hosts.len());
        let patience = self.patience.for_states(counts);
        match self.own_in_time(patience, self.own.observe(counts)).await {
            Ok(observed) => {
                reading.add_counts(&observed.counts);
                reading.states[0] = Some(observed.state);
            }
            Err(unread) => {
                reading.unreachable = Some(unread);
                return reading;
            }
        }
        let (states, sum) = self.branches.sweep(counts, patience).await;
        reading.add_counts(&sum.counts);
        let ranks: HashMap<Ipv4Addr, usize> =
            self.hosts.iter().enumerate().filter_map(|(rank, host)| Some(((*host)?, rank))).collect();
        for (host, state) in states {
            if let Some(rank) = ranks.get(&host) {
                reading.states[*rank] = Some(state);
            }
        }
        if let Some(rank) = reading.states.iter().position(Option::is_none) {
            let host = self.hosts[rank]
                .map_or_else(|| "its host is not known".to_owned(), |host| format!("no answer of {host}"));
            reading.unreachable = Some(UnreachableRank { rank, error: host });
        }
        reading
    }

    async fn gather_lists(&self) -> Vec<Option<ExpertLists>> {
        let mut lists = vec![None; self.hosts.len()];
        lists[0] = self.own_in_time(&self.patience.lists, self.own.lists()).await.ok();
        let call = async |head: &RankPeer, others: &[Ipv4Addr], members: Duration| {
            head.gather(others, members).await
        };
        for HeadAnswer { members, answer, .. } in
            self.branches.through_heads(&self.patience.lists, call).await
        {
            for (member, list) in answer {
                let host = members.get(member).copied();
                if let Some(rank) = self.hosts.iter().position(|known| known.is_some() && *known == host) {
                    lists[rank] = Some(list);
                }
            }
        }
        lists
    }

    /// How long the map of prepares is on its way: from here to all heads, and from a head to the others of its branch.
    ///
    /// Of a whole map for 129 ranks, 0.4 s of links of 6 Mbit/s: patience without it gave up on each, which then was sent
    /// whole again.
    fn map_time(&self, orders: &[(usize, EngineOrder)], map: Option<&EqualShareMap>) -> Duration {
        let version = orders.iter().find_map(|(_rank, order)| match order {
            EngineOrder::Prepare { version, .. } => Some(*version),
            _ => None,
        });
        let (Some(version), Some(map)) = (version, map) else { return Duration::ZERO };
        let branches = self.branches.branches.iter();
        let heads = branches.map(|branch| (branch, self.branches.peers.get(branch.hosts[branch.head.get()])));
        let bytes = heads.map(|(branch, head)| (head.map_bytes(version, map), branch.hosts.len() - 1));
        let (here, there) =
            bytes.fold((0, 0), |(here, there), (bytes, members)| (here + bytes, there.max(bytes * members)));
        self.link.transfer_time(here + there) * MAP_TIMES
    }

    /// Orders to ranks of one branch, with their places among all orders.
    async fn pass(
        &self,
        branch: &RankBranch,
        orders: &[(usize, Ipv4Addr, EngineOrder)],
        map: Option<&EqualShareMap>,
        patience: Duration,
    ) -> Option<(Vec<(usize, OrderAnswer)>, Duration)> {
        let call = async |head: &RankPeer, members: &[Ipv4Addr]| {
            let numbered = orders.iter().filter_map(|(_place, host, order)| {
                let member = members.iter().position(|known| known == host)?;
                Some((member as u16, *order))
            });
            let numbered: Vec<MemberOrder> = numbered.collect();
            head.pass(&members[1..], patience.mul_f64(MEMBERS_PART), &numbered, map).await
        };
        let HeadAnswer { answer, took, .. } = self.branches.through_head(branch, patience, call).await?;
        let answers = orders.iter().zip(answer);
        Some((answers.filter_map(|((place, _host, _order), answer)| Some((*place, answer?))).collect(), took))
    }

    async fn order_all(
        &self,
        orders: &[(usize, EngineOrder)],
        map: Option<&EqualShareMap>,
    ) -> Vec<Option<OrderAnswer>> {
        let patience = self.patience.for_orders(orders);
        let allowed = patience.borrow().get() + self.map_time(orders, map);
        let mut answers = vec![None; orders.len()];
        let mut own = None;
        let mut of_branch: BTreeMap<usize, Vec<(usize, Ipv4Addr, EngineOrder)>> = BTreeMap::new();
        for (place, (rank, order)) in orders.iter().enumerate() {
            if *rank == 0 {
                own = Some((place, *order));
                continue;
            }
            // Without a known host there is no answer.
            let Some(host) = self.hosts.get(*rank).copied().flatten() else { continue };
            let Some(branch) = self.branches.branch_of(host) else { continue };
            of_branch.entry(branch).or_default().push((place, host, *order));
        }
        let own_answer = async {
            let (place, order) = own?;
            let map = matches!(order, EngineOrder::Prepare { .. }).then_some(map).flatten();
            self.own_in_time(patience, self.own.order(order, map)).await.ok().map(|answer| (place, answer))
        };
        let passed = of_branch
            .iter()
            .map(|(branch, orders)| self.pass(&self.branches.branches[*branch], orders, map, allowed));
        let (own_answer, passed) = tokio::join!(own_answer, join_all(passed));
        if !of_branch.is_empty() {
            let times: Vec<Duration> = passed.iter().flatten().map(|(_answers, took)| *took).collect();
            patience.borrow_mut().record(&times, of_branch.len());
        }
        let all = passed.into_iter().flatten().flat_map(|(answers, _took)| answers).chain(own_answer);
        for (place, answer) in all {
            answers[place] = Some(answer);
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
            let observed = self.own_in_time(&self.patience.states, self.own.observe(false)).await;
            observed.ok().map(|observed| observed.state)
        })
    }

    fn observe(&self, counts: bool) -> LocalBoxFuture<'_, GroupObservation> {
        Box::pin(self.read_all(counts))
    }

    fn lists(&self) -> LocalBoxFuture<'_, Vec<Option<ExpertLists>>> {
        Box::pin(self.gather_lists())
    }

    fn order<'a>(
        &'a self,
        orders: &'a [(usize, EngineOrder)],
        map: Option<&'a EqualShareMap>,
    ) -> LocalBoxFuture<'a, Vec<Option<OrderAnswer>>> {
        Box::pin(self.order_all(orders, map))
    }
}
