//! The rank next to this process.

use porthoist_fleet::EntryDemands;
use porthoist_group::{
    ExpertCounts, ExpertLists, LocalEngine, OrderAnswer, RankControl, RankFuture, RankObservation,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::roll_forward::EngineOrder;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Timeout in milliseconds of orders to the own engine, which answers in a few milliseconds. An order that
/// timed out may still have been carried out, and is sent again.
const ORDER_TIMEOUT_MILLIS: u64 = 40;
/// Timeout in milliseconds for reading the own engine's state, counts or lists, which takes a few
/// milliseconds. It is below the 150 ms that a planning process waits for another rank's reading, and bounds
/// how long a dead connection blocks planning; the next reading opens a new connection.
const READ_TIMEOUT_MILLIS: u64 = 120;

/// The engine next to this process, with the expert counts reported so far.
#[derive(Debug)]
pub struct OwnRank {
    engine: Rc<dyn LocalEngine>,
    reported: RefCell<ExpertCounts>,
    /// The demand of the entries that ask this process.
    demands: EntryDemands,
}

impl OwnRank {
    /// Wraps an engine of which nothing has been reported yet.
    pub fn new(engine: Rc<dyn LocalEngine>) -> Self {
        Self::with_demands(engine, EntryDemands::default())
    }

    /// The same, with the demand that entries report to this process.
    pub fn with_demands(engine: Rc<dyn LocalEngine>, demands: EntryDemands) -> Self {
        Self { engine, reported: RefCell::default(), demands }
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
            let answer = self.engine.order(order, map);
            let answered = tokio::time::timeout(Duration::from_millis(ORDER_TIMEOUT_MILLIS), answer).await;
            let timed_out = || CallError::unknown("the engine did not answer the order");
            let taken = answered.map_err(|_elapsed| timed_out())??;
            let view = self.engine.state().await.ok().map(|state| state.view);
            Ok(OrderAnswer { taken, view })
        })
    }
}

async fn read_with_timeout<T>(reading: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    let read = tokio::time::timeout(Duration::from_millis(READ_TIMEOUT_MILLIS), reading).await;
    read.unwrap_or_else(|_elapsed| Err(CallError::not_sent("the engine did not tell its state in time")))
}
