//! All ranks of a group as one party: what reads and orders them all, whatever the way to each.

use crate::rank_control::{ExpertLists, OrderAnswer, RankControl};
use crate::timeout::AdaptiveTimeout;
use futures::future::{LocalBoxFuture, join_all};
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::roll_forward::{EngineOrder, RankState};
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Least time within which a rank's state, counts or lists must come, and a prepare be answered: some ten times the way
/// to the farthest zone.
pub const READING_FLOOR: Duration = Duration::from_millis(150);
/// Least time within which an order that moves no experts must be answered: some five times the way to the farthest
/// zone and back. What was carried out is read back, so an order without an answer is simply given again: a held group
/// must not wait for it.
pub const ORDER_FLOOR: Duration = Duration::from_millis(30);

/// A rank whose process did not tell its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreachableRank {
    /// The rank.
    pub rank: usize,
    /// Why.
    pub error: String,
}

/// What one round of questions brought.
#[derive(Debug, Clone, Default)]
pub struct GroupObservation {
    /// The state of each rank that answered, by rank.
    pub states: Vec<Option<RankState>>,
    /// What the requests of all that answered chose since the last such question, by set and expert.
    pub counts: Vec<u32>,
    /// A rank that did not answer, if any.
    pub unread: Option<UnreachableRank>,
}

impl GroupObservation {
    /// Nothing read of so many ranks.
    pub fn empty(ranks: usize) -> Self {
        Self { states: vec![None; ranks], ..Self::default() }
    }

    /// Adds counts of a part of the group.
    pub fn add_counts(&mut self, counts: &[u32]) {
        if self.counts.len() < counts.len() {
            self.counts.resize(counts.len(), 0);
        }
        for (sum, count) in self.counts.iter_mut().zip(counts) {
            *sum = sum.saturating_add(*count);
        }
    }
}

/// Reads and orders all ranks of one group.
pub trait GroupControl: fmt::Debug {
    /// Ranks in the group.
    fn ranks(&self) -> usize;
    /// The first rank's state alone.
    fn observe_first(&self) -> LocalBoxFuture<'_, Option<RankState>>;
    /// The states of all, the first rank's read before the others', with counts if asked for.
    fn observe(&self, counts: bool) -> LocalBoxFuture<'_, GroupObservation>;
    /// The experts of all, by rank.
    fn lists(&self) -> LocalBoxFuture<'_, Vec<Option<ExpertLists>>>;
    /// Gives orders, with the map that prepares are about; the answers in the order of the orders.
    fn order<'a>(
        &'a self,
        orders: &'a [(usize, EngineOrder)],
        map: Option<&'a EqualShareMap>,
    ) -> LocalBoxFuture<'a, Vec<Option<OrderAnswer>>>;
}

/// Patience with each kind of question.
#[derive(Debug, Clone)]
pub struct GroupTimeouts {
    /// States alone.
    pub states: RefCell<AdaptiveTimeout>,
    /// States and counts.
    pub counts: RefCell<AdaptiveTimeout>,
    /// Lists of experts.
    pub lists: RefCell<AdaptiveTimeout>,
    /// Orders that copy experts; they carry a map.
    pub prepares: RefCell<AdaptiveTimeout>,
    /// Other orders.
    pub orders: RefCell<AdaptiveTimeout>,
    order_floor: Duration,
}

impl Default for GroupTimeouts {
    fn default() -> Self {
        Self::at_least(READING_FLOOR, ORDER_FLOOR)
    }
}

impl GroupTimeouts {
    /// Patience of at least so long with readings, and with orders that move no experts.
    pub fn at_least(reading_floor: Duration, order_floor: Duration) -> Self {
        let reading = || RefCell::new(AdaptiveTimeout::new(reading_floor));
        Self {
            states: reading(),
            counts: reading(),
            lists: reading(),
            prepares: reading(),
            orders: RefCell::new(AdaptiveTimeout::without_doubling(order_floor)),
            order_floor,
        }
    }

    /// That with a question about states.
    pub fn with_states(&self, counts: bool) -> &RefCell<AdaptiveTimeout> {
        if counts { &self.counts } else { &self.states }
    }

    /// That with orders.
    pub fn with_orders(&self, orders: &[(usize, EngineOrder)]) -> &RefCell<AdaptiveTimeout> {
        let copies = orders.iter().any(|(_rank, order)| matches!(order, EngineOrder::Prepare { .. }));
        if copies {
            return &self.prepares;
        }
        // An order goes the way of a question about states, and asks the engine twice. Without that, orders that always
        // took longer than the least time would teach nothing.
        let reading = self.states.borrow().usual() * 2;
        self.orders.borrow_mut().set_floor(self.order_floor.max(reading));
        &self.orders
    }
}

/// A group each of whose ranks is asked straight: for groups in memory, and to compare other ways with.
#[derive(Debug, Default)]
pub struct DirectGroup {
    links: Vec<Rc<dyn RankControl>>,
    patience: GroupTimeouts,
}

impl DirectGroup {
    /// The group of these ranks, the first one first.
    pub fn new(links: Vec<Rc<dyn RankControl>>) -> Self {
        Self { links, patience: GroupTimeouts::default() }
    }

    /// The same with another patience.
    #[must_use]
    pub fn with_patience(self, patience: GroupTimeouts) -> Self {
        Self { patience, ..self }
    }

    /// Waits for the answers of some ranks; of those that do not come in time the connection is left.
    async fn ask<T>(
        &self,
        patience: &RefCell<AdaptiveTimeout>,
        calls: impl Iterator<Item = (usize, crate::rank_control::RankFuture<'_, T>)>,
        leave_silent: bool,
    ) -> Vec<Result<T, UnreachableRank>> {
        let allowed = patience.borrow().get();
        let began = Instant::now();
        let pending = calls.map(|(rank, call)| async move {
            match tokio::time::timeout(allowed, call).await {
                Ok(Ok(answer)) => Ok((answer, began.elapsed())),
                Ok(Err(error)) => Err(UnreachableRank { rank, error: error.to_string() }),
                Err(_elapsed) => {
                    if leave_silent {
                        // It may be silent for good. Only this rank's: the others keep the map sent over theirs.
                        self.links[rank].reset();
                    }
                    Err(UnreachableRank { rank, error: "no answer in time".to_owned() })
                }
            }
        });
        let answers = join_all(pending).await;
        let times: Vec<Duration> = answers.iter().flatten().map(|(_answer, time)| *time).collect();
        patience.borrow_mut().took(&times, answers.len());
        answers.into_iter().map(|answer| answer.map(|(answer, _time)| answer)).collect()
    }
}

impl GroupControl for DirectGroup {
    fn ranks(&self) -> usize {
        self.links.len()
    }

    fn observe_first(&self) -> LocalBoxFuture<'_, Option<RankState>> {
        Box::pin(async {
            let asked = self.links.first()?.observe(false);
            let answered = self.ask(&self.patience.states, std::iter::once((0, asked)), false).await;
            answered.into_iter().next()?.ok().map(|observed| observed.state)
        })
    }

    fn observe(&self, counts: bool) -> LocalBoxFuture<'_, GroupObservation> {
        Box::pin(async move {
            let mut reading = GroupObservation::empty(self.links.len());
            let patience = self.patience.with_states(counts);
            for ranks in [0..1.min(self.links.len()), 1.min(self.links.len())..self.links.len()] {
                let calls = ranks.clone().map(|rank| (rank, self.links[rank].observe(counts)));
                let answers = self.ask(patience, calls, true).await;
                for (rank, answer) in ranks.zip(answers) {
                    match answer {
                        Ok(observed) => {
                            reading.add_counts(&observed.counts);
                            reading.states[rank] = Some(observed.state);
                        }
                        Err(unread) => reading.unread = Some(unread),
                    }
                }
            }
            reading
        })
    }

    fn lists(&self) -> LocalBoxFuture<'_, Vec<Option<ExpertLists>>> {
        Box::pin(async {
            let calls = self.links.iter().enumerate().map(|(rank, link)| (rank, link.lists()));
            self.ask(&self.patience.lists, calls, false).await.into_iter().map(Result::ok).collect()
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
                (*rank, self.links[*rank].order(*order, map))
            });
            let patience = self.patience.with_orders(orders);
            self.ask(patience, calls, false).await.into_iter().map(Result::ok).collect()
        })
    }
}
