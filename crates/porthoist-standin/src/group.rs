//! Stand-in of one rank of a group: it starts a step at each interval, waits before an armed step, and records the expert
//! map that each step used.

use crate::{empty_response, read_json};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use porthoist_group::engine::MapLoad;
use porthoist_group::{ExpertWindow, RankOrder};
use porthoist_http::{HttpResponse, json_response};
use porthoist_policy::switch::{LeaderBallot, MapVersion, RankMachine, SavedRank, StepNumber};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Maximum number of recorded steps.
const MAX_RECORDED_STEPS: usize = 1_000_000;

#[derive(Debug, Default)]
struct GroupState {
    saved: SavedRank,
    used: Vec<MapVersion>,
    held: u64,
    window: ExpertWindow,
    loads: Vec<MapLoad>,
}

/// The engine of one rank. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct GroupStandin {
    state: Arc<Mutex<GroupState>>,
}

impl GroupState {
    fn start_step(&mut self) {
        let mut machine = RankMachine::restored(self.saved);
        match machine.start_step() {
            Some((_step, map)) if self.used.len() < MAX_RECORDED_STEPS => {
                self.used.push(map);
                self.saved = machine.saved();
            }
            Some(_full) => {}
            None => self.held += 1,
        }
    }

    fn apply_order(&mut self, order: RankOrder) -> bool {
        let armed_too_late = order.hold.armed.is_some_and(|armed| armed.step <= self.saved.started);
        let newly_armed = order.hold.armed != self.saved.armed;
        if LeaderBallot(order.fence) < self.saved.promised || (newly_armed && armed_too_late) {
            return false;
        }
        self.saved.promised = LeaderBallot(order.fence);
        self.saved.armed = order.hold.armed;
        self.saved.committed = order.hold.committed;
        true
    }
}

impl GroupStandin {
    fn state(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Runs steps forever, one per interval.
    pub async fn run(self, interval: Duration) {
        loop {
            tokio::time::sleep(interval).await;
            self.state().start_step();
        }
    }

    /// Responds with the counts of the current window.
    pub fn window_response(&self) -> HttpResponse {
        json_response(StatusCode::OK, &self.state().window)
    }

    /// Sets the counts of the current window.
    pub async fn set_window(&self, request: Request<Incoming>) -> HttpResponse {
        match read_json(request).await {
            Ok(window) => {
                self.state().window = window;
                empty_response()
            }
            Err(response) => response,
        }
    }

    /// Loads experts, which takes no time.
    pub async fn load_experts(&self, request: Request<Incoming>) -> HttpResponse {
        match read_json(request).await {
            Ok(load) => {
                self.state().loads.push(load);
                empty_response()
            }
            Err(response) => response,
        }
    }

    /// Responds with the saved state of the rank.
    pub fn state_response(&self) -> HttpResponse {
        json_response(StatusCode::OK, &self.state().saved)
    }

    /// Applies an order, or refuses it with status 409 if it is outdated or arms a step too late.
    pub async fn apply_order(&self, request: Request<Incoming>) -> HttpResponse {
        let order: RankOrder = match read_json(request).await {
            Ok(order) => order,
            Err(response) => return response,
        };
        let mut state = self.state();
        let status = if state.apply_order(order) { StatusCode::OK } else { StatusCode::CONFLICT };
        json_response(status, &state.saved)
    }

    /// Responds with the [`GroupRecord`].
    pub fn record_response(&self) -> HttpResponse {
        let state = self.state();
        let record = GroupRecord {
            used: state.used.clone(),
            held: state.held,
            started: state.saved.started,
            loads: state.loads.clone(),
        };
        json_response(StatusCode::OK, &record)
    }
}

/// History of a rank.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct GroupRecord {
    /// Map version that each step used, from step 1.
    pub used: Vec<MapVersion>,
    /// Number of times that a due step had to wait.
    pub held: u64,
    /// Last step started.
    pub started: StepNumber,
    /// Expert loads, in order.
    pub loads: Vec<MapLoad>,
}
