//! The rank next to this process.

use porthoist_fleet::EntryDemands;
use porthoist_group::{
    ExpertCounts, ExpertLists, LocalEngine, OrderAnswer, RankControl, RankFuture, RankObservation,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::roll_forward::{EngineOrder, RankView};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout in milliseconds of orders to the own engine, which answers in a few milliseconds. An order that
/// timed out may still have been carried out, and is sent again.
const ORDER_TIMEOUT_MILLIS: u64 = 40;
/// Timeout in milliseconds for reading the own engine's state, counts or lists, which takes a few
/// milliseconds. It is below the 150 ms that a planning process waits for another rank's reading, and bounds
/// how long a dead connection blocks planning; the next reading opens a new connection.
const READ_TIMEOUT_MILLIS: u64 = 120;

/// Time in milliseconds after an order within which a switch goes on, and for which a stopping process waits for the end of
/// one. Copying experts takes the most of it.
pub(super) const MAX_SWITCH_MILLIS: u64 = 1_000;
/// Delay in milliseconds between two readings of an engine whose switch is waited for.
const SWITCH_DELAY_MILLIS: u64 = 10;

/// The engine next to this process, with the expert counts reported so far.
#[derive(Debug)]
pub struct OwnRank {
    engine: Rc<dyn LocalEngine>,
    reported: RefCell<ExpertCounts>,
    /// The demand of the entries that ask this process.
    demands: EntryDemands,
    /// When the engine got its last order from this process.
    last_order: Cell<Option<Instant>>,
    /// Whether the process is stopping and its rank takes part in no new switch.
    leaving: Cell<bool>,
}

impl OwnRank {
    /// Wraps an engine of which nothing has been reported yet.
    pub fn new(engine: Rc<dyn LocalEngine>) -> Self {
        Self::with_demands(engine, EntryDemands::default())
    }

    /// The same, with the demand that entries report to this process.
    pub fn with_demands(engine: Rc<dyn LocalEngine>, demands: EntryDemands) -> Self {
        Self {
            engine,
            reported: RefCell::default(),
            demands,
            last_order: Cell::default(),
            leaving: Cell::default(),
        }
    }

    /// Passes on no order that begins a switch from now on, and waits for the end of one that the rank takes part in. The
    /// group may be held until all its ranks are armed, and would wait for the next process here.
    pub async fn leave_switches(&self) {
        self.leaving.set(true);
        let waiting = async {
            while self.is_switching().await {
                tokio::time::sleep(Duration::from_millis(SWITCH_DELAY_MILLIS)).await;
            }
        };
        // A switch that takes longer waits for another rank, or for a group without work to run a pass.
        drop(tokio::time::timeout(Duration::from_millis(MAX_SWITCH_MILLIS), waiting).await);
    }

    async fn is_switching(&self) -> bool {
        let Ok(state) = read_with_timeout(self.engine.state()).await else { return false };
        let RankView { prepared, armed, held, busy, .. } = state.view;
        let ordered = self.last_order.get().is_some_and(is_recent);
        armed.is_some() || held.is_some() || (busy || prepared.is_some()) && ordered
    }

    /// Expert counts since the last call; zero at the first call, since counts from before this process
    /// started may be minutes old. A restarted engine counts from zero.
    async fn new_counts(&self) -> Result<Vec<u32>, CallError> {
        let newest = self.engine.counts().await?;
        let mut reported = self.reported.borrow_mut();
        if reported.counts.is_empty() {
            reported.clone_from(&newest);
        }
        let known = reported.counts.len() == newest.counts.len() && reported.born == newest.born;
        let known = known && newest.counts.iter().zip(&reported.counts).all(|(now, then)| now >= then);
        let since = |index: usize| newest.counts[index] - if known { reported.counts[index] } else { 0 };
        let new =
            (0..newest.counts.len()).map(|index| u32::try_from(since(index)).unwrap_or(u32::MAX)).collect();
        *reported = newest;
        Ok(new)
    }
}

impl RankControl for OwnRank {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        Box::pin(read_with_timeout(async move {
            let state = self.engine.state().await?;
            let counts = if counts { self.new_counts().await? } else { Vec::new() };
            Ok(RankObservation { state, counts, demand: self.demands.sum() })
        }))
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        Box::pin(read_with_timeout(self.engine.expert_lists()))
    }

    fn order<'a>(
        &'a self,
        order: EngineOrder,
        map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        Box::pin(async move {
            if self.leaving.get() && matches!(order, EngineOrder::Prepare { .. }) {
                return Err(CallError::not_sent("the process next to this rank is stopping"));
            }
            self.last_order.set(Some(Instant::now()));
            let answer = self.engine.order(order, map);
            let answered = tokio::time::timeout(Duration::from_millis(ORDER_TIMEOUT_MILLIS), answer).await;
            let timed_out = || CallError::unknown("the engine did not answer the order");
            let taken = answered.map_err(|_elapsed| timed_out())??;
            let view = self.engine.state().await.ok().map(|state| state.view);
            Ok(OrderAnswer { taken, view })
        })
    }
}

fn is_recent(order: Instant) -> bool {
    order.elapsed() < Duration::from_millis(MAX_SWITCH_MILLIS)
}

async fn read_with_timeout<T>(reading: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    let read = tokio::time::timeout(Duration::from_millis(READ_TIMEOUT_MILLIS), reading).await;
    read.unwrap_or_else(|_elapsed| Err(CallError::not_sent("the engine did not tell its state in time")))
}
