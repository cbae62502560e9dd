//! A rank whose connection brings no reading in time.

use futures::FutureExt as _;
use porthoist_group::{
    DirectGroup, ExpertLists, ExpertMapController, GroupShape, OrderAnswer, RankControl, RankFuture,
    RankObservation, RoundOutcome,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::{EqualShareBounds, EqualShareMap};
use porthoist_policy::roll_forward::{EngineOrder, GroupEpoch, OrderSequence, RankPace, RankState, RankView};
use porthoist_policy::switch::{MapVersion, StepNumber};
use slog::{Discard, Logger, o};
use std::cell::Cell;
use std::rc::Rc;

const RANKS: usize = 4;

/// A connection to an idle rank, which may be silent until it is left behind.
#[derive(Debug, Default)]
struct RankWay {
    rank: usize,
    silent: Cell<bool>,
    resets: Cell<u32>,
    requests: Cell<u32>,
}

impl RankControl for RankWay {
    fn observe(&self, _counts: bool) -> RankFuture<'_, RankObservation> {
        if self.silent.get() {
            return futures::future::pending::<Result<RankObservation, CallError>>().boxed_local();
        }
        let view = RankView {
            epoch: GroupEpoch(1),
            sequence: OrderSequence(0),
            step: StepNumber(1),
            map: MapVersion(0),
            prepared: None,
            armed: None,
            held: None,
            busy: false,
        };
        let state = RankState {
            view,
            group: "g".to_owned(),
            rank: self.rank,
            size: RANKS,
            open: true,
            requests: self.requests.get(),
            pace: RankPace::USUAL,
        };
        async move { Ok(RankObservation { state, counts: Vec::new() }) }.boxed_local()
    }

    fn lists(&self) -> RankFuture<'_, ExpertLists> {
        async { Err(CallError::unknown("not asked")) }.boxed_local()
    }

    fn order<'a>(
        &'a self,
        _order: EngineOrder,
        _map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        async { Err(CallError::unknown("nothing is planned")) }.boxed_local()
    }

    fn reset(&self) {
        self.silent.set(false);
        self.resets.set(self.resets.get() + 1);
    }
}

/// Connections between hosts fell silent, and for 0.9 s no map was planned or switched: the silent ranks' connections were
/// given up only after another 0.6 s of asking for their ranks. Now a round that misses a reading leaves the connections
/// that did not bring it, and the next round reads all ranks: 0.2 s on the same day. The others keep theirs, with the map
/// that was sent over them.
#[tokio::test(start_paused = true)]
async fn connections_that_bring_no_reading_in_time_are_left_at_once() {
    let ways: Vec<Rc<RankWay>> =
        (0..RANKS).map(|rank| Rc::new(RankWay { rank, ..RankWay::default() })).collect();
    let links = ways.iter().map(|way| -> Rc<dyn RankControl> { Rc::<RankWay>::clone(way) });
    let links = DirectGroup::new(links.collect());
    let bounds = EqualShareBounds { places: 4, spare: 2, new_a_rank: 3, move_price: 0.01 };
    let shape = GroupShape { sets: 1, experts: 12, bounds };
    let mut planner = ExpertMapController::new(shape, Logger::root(Discard, o!()));
    assert_eq!(planner.run_load_round(&links, MapVersion(1)).await, RoundOutcome::Idle);
    ways[1].silent.set(true);
    ways[3].silent.set(true);
    // What the others say counts all the same; that some are missing is known.
    ways[2].requests.set(7);
    assert_eq!(planner.run_load_round(&links, MapVersion(1)).await, RoundOutcome::Idle);
    assert_eq!(planner.requests(), [0, 0, 7, 0]);
    assert!(planner.unreachable_since().is_some());
    assert_eq!(ways.iter().map(|way| way.resets.get()).collect::<Vec<u32>>(), [0, 1, 0, 1]);
    assert_eq!(planner.run_load_round(&links, MapVersion(1)).await, RoundOutcome::Idle);
    assert_eq!(planner.unreachable_since(), None);
}
