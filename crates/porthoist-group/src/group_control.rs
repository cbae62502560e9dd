//! Control over all ranks of a group, however each rank is reached.

use crate::rank_control::{ExpertLists, OrderAnswer, RankControl};
use crate::timeout::AdaptiveTimeout;
use futures::future::{LocalBoxFuture, join_all};
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::proxy::demand::ServiceDemand;
use porthoist_policy::roll_forward::{EngineOrder, RankState};
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Lower bound of the timeouts for reading a rank's state, counts or experts, and for prepare orders: about ten times the
/// latency to the farthest zone.
pub const MIN_READ_TIMEOUT: Duration = Duration::from_millis(150);
/// Lower bound of the timeout for orders that move no experts: about five round trips to the farthest zone. An order
/// without an answer is simply sent again, since the state is read back afterwards and a held group must not wait for the
/// answer.
pub const MIN_ORDER_TIMEOUT: Duration = Duration::from_millis(30);

/// A rank whose state could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreachableRank {
    /// The rank.
    pub rank: usize,
    /// What went wrong.
    pub error: String,
}

/// The result of observing all ranks of a group.
#[derive(Debug, Clone, Default)]
pub struct GroupObservation {
    /// The state of each rank that answered, by rank.
    pub states: Vec<Option<RankState>>,
    /// How often the requests of these ranks chose each expert since the last observation, by set and expert.
    pub counts: Vec<u32>,
    /// Sum of the demand of all entries that report theirs to the processes next to the ranks.
    pub demand: Option<ServiceDemand>,
    /// A rank that did not answer, if any.
    pub unreachable: Option<UnreachableRank>,
}

impl GroupObservation {
    /// Creates an observation of `ranks` ranks in which none has answered.
    pub fn empty(ranks: usize) -> Self {
        Self { states: vec![None; ranks], ..Self::default() }
    }

    /// Adds the counts of a part of the group.
    pub fn add_counts(&mut self, counts: &[u32]) {
        if self.counts.len() < counts.len() {
            self.counts.resize(counts.len(), 0);
        }
        for (sum, count) in self.counts.iter_mut().zip(counts) {
            *sum = sum.saturating_add(*count);
        }
    }

    /// Adds the demand reported to a part of the group.
    pub fn add_demand(&mut self, demand: Option<&ServiceDemand>) {
        if let Some(demand) = demand {
            self.demand.get_or_insert_default().add(demand);
        }
    }
}

/// Control over all ranks of one group.
pub trait GroupControl: fmt::Debug {
    /// Returns the number of ranks in the group.
    fn ranks(&self) -> usize;
    /// Reads only the first rank's state.
    fn observe_first(&self) -> LocalBoxFuture<'_, Option<RankState>>;
    /// Reads the states of all ranks, the first rank's before the others', with counts if asked for.
    fn observe(&self, counts: bool) -> LocalBoxFuture<'_, GroupObservation>;
    /// Reads the experts of all ranks, by rank.
    fn expert_lists(&self) -> LocalBoxFuture<'_, Vec<Option<ExpertLists>>>;
    /// Sends orders to ranks, with the map if they prepare one; returns an answer for each order.
    fn order<'a>(
        &'a self,
        orders: &'a [(usize, EngineOrder)],
        map: Option<&'a EqualShareMap>,
    ) -> LocalBoxFuture<'a, Vec<Option<OrderAnswer>>>;
}

/// The timeouts of each kind of call to a group.
#[derive(Debug, Clone)]
pub struct GroupTimeouts {
    /// Reading states without counts.
    pub states: RefCell<AdaptiveTimeout>,
    /// Reading states with counts.
    pub counts: RefCell<AdaptiveTimeout>,
    /// Reading the experts of ranks.
    pub lists: RefCell<AdaptiveTimeout>,
    /// Orders that copy experts and carry a map.
    pub prepares: RefCell<AdaptiveTimeout>,
    /// All other orders.
    pub orders: RefCell<AdaptiveTimeout>,
    min_order_timeout: Duration,
}

impl Default for GroupTimeouts {
    fn default() -> Self {
        Self::with_minimums(MIN_READ_TIMEOUT, MIN_ORDER_TIMEOUT)
    }
}

impl GroupTimeouts {
    /// Creates timeouts with the given lower bounds for readings and for orders that move no experts.
    pub fn with_minimums(min_read_timeout: Duration, min_order_timeout: Duration) -> Self {
        let read_timeout = || RefCell::new(AdaptiveTimeout::new(min_read_timeout));
        Self {
            states: read_timeout(),
            counts: read_timeout(),
            lists: read_timeout(),
            prepares: read_timeout(),
            orders: RefCell::new(AdaptiveTimeout::without_doubling(min_order_timeout)),
            min_order_timeout,
        }
    }

    /// Returns the timeout for reading states.
    pub fn for_states(&self, counts: bool) -> &RefCell<AdaptiveTimeout> {
        if counts { &self.counts } else { &self.states }
    }

    /// Returns the timeout for a batch of orders.
    pub fn for_orders(&self, orders: &[(usize, EngineOrder)]) -> &RefCell<AdaptiveTimeout> {
        let copies = orders.iter().any(|(_rank, order)| matches!(order, EngineOrder::Prepare { .. }));
        if copies {
            return &self.prepares;
        }
        // An order takes the same path as reading states, but calls the engine twice. If orders always timed out at the
        // lower bound, no response time would ever be recorded that could raise it.
        let read_time = self.states.borrow().typical() * 2;
        self.orders.borrow_mut().set_minimum(self.min_order_timeout.max(read_time));
        &self.orders
    }
}

/// A group whose ranks are called directly, for groups in memory and as a reference for other implementations.
#[derive(Debug, Default)]
pub struct DirectGroup {
    ranks: Vec<Rc<dyn RankControl>>,
    timeouts: GroupTimeouts,
}

impl DirectGroup {
    /// Creates a group of these ranks, in rank order.
    pub fn new(ranks: Vec<Rc<dyn RankControl>>) -> Self {
        Self { ranks, timeouts: GroupTimeouts::default() }
    }

    /// Replaces the timeouts.
    #[must_use]
    pub fn with_timeouts(self, timeouts: GroupTimeouts) -> Self {
        Self { timeouts, ..self }
    }

    /// Calls some ranks and waits for their answers; may drop the connections of ranks that do not answer in time.
    async fn call<T>(
        &self,
        timeout: &RefCell<AdaptiveTimeout>,
        calls: impl Iterator<Item = (usize, crate::rank_control::RankFuture<'_, T>)>,
        reset_silent: bool,
    ) -> Vec<Result<T, UnreachableRank>> {
        let limit = timeout.borrow().get();
        let began = Instant::now();
        let pending = calls.map(|(rank, call)| async move {
            match tokio::time::timeout(limit, call).await {
                Ok(Ok(answer)) => Ok((answer, began.elapsed())),
                Ok(Err(error)) => Err(UnreachableRank { rank, error: error.to_string() }),
                Err(_elapsed) => {
                    if reset_silent {
                        // The connection may never answer again. Only this one is dropped: the other ranks keep the map
                        // that was sent over theirs.
                        self.ranks[rank].reset();
                    }
                    Err(UnreachableRank { rank, error: "no answer in time".to_owned() })
                }
            }
        });
        let answers = join_all(pending).await;
        let times: Vec<Duration> = answers.iter().flatten().map(|(_answer, time)| *time).collect();
        timeout.borrow_mut().record(&times, answers.len());
        answers.into_iter().map(|answer| answer.map(|(answer, _time)| answer)).collect()
    }
}

impl GroupControl for DirectGroup {
    fn ranks(&self) -> usize {
        self.ranks.len()
    }

    fn observe_first(&self) -> LocalBoxFuture<'_, Option<RankState>> {
        Box::pin(async {
            let call = self.ranks.first()?.observe(false);
            let answers = self.call(&self.timeouts.states, std::iter::once((0, call)), false).await;
            answers.into_iter().next()?.ok().map(|observed| observed.state)
        })
    }

    fn observe(&self, counts: bool) -> LocalBoxFuture<'_, GroupObservation> {
        Box::pin(async move {
            let mut observation = GroupObservation::empty(self.ranks.len());
            let timeout = self.timeouts.for_states(counts);
            for ranks in [0..1.min(self.ranks.len()), 1.min(self.ranks.len())..self.ranks.len()] {
                let calls = ranks.clone().map(|rank| (rank, self.ranks[rank].observe(counts)));
                let answers = self.call(timeout, calls, true).await;
                for (rank, answer) in ranks.zip(answers) {
                    match answer {
                        Ok(observed) => {
                            observation.add_counts(&observed.counts);
                            observation.add_demand(observed.demand.as_ref());
                            observation.states[rank] = Some(observed.state);
                        }
                        Err(unreachable) => observation.unreachable = Some(unreachable),
                    }
                }
            }
            observation
        })
    }

    fn expert_lists(&self) -> LocalBoxFuture<'_, Vec<Option<ExpertLists>>> {
        Box::pin(async {
            let calls = self.ranks.iter().enumerate().map(|(index, rank)| (index, rank.expert_lists()));
            self.call(&self.timeouts.lists, calls, false).await.into_iter().map(Result::ok).collect()
        })
    }

    fn order<'a>(
        &'a self,
        orders: &'a [(usize, EngineOrder)],
        map: Option<&'a EqualShareMap>,
    ) -> LocalBoxFuture<'a, Vec<Option<OrderAnswer>>> {
        Box::pin(async move {
            let calls = orders.iter().map(|(rank, order)| {
                let map = matches!(order, EngineOrder::Prepare { .. }).then_some(map).flatten();
                (*rank, self.ranks[*rank].order(*order, map))
            });
            let timeout = self.timeouts.for_orders(orders);
            self.call(timeout, calls, false).await.into_iter().map(Result::ok).collect()
        })
    }
}
