//! The engine's part in a rank group: it steps on by itself, holds before an armed step, and keeps a record of the
//! map that each step used.

use crate::{done, read_json};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use porthoist_group::engine::MapLoad;
use porthoist_group::{ExpertWindow, RankOrder};
use porthoist_http::{HttpResponse, json_response};
use porthoist_policy::switch::{LeaderBallot, MapVersion, RankMachine, SavedRank, StepNumber};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Steps recorded at most.
const MAX_STEPS: usize = 1_000_000;

#[derive(Debug, Default)]
struct GroupState {
    kept: SavedRank,
    used: Vec<MapVersion>,
    held: u64,
    window: ExpertWindow,
    loads: Vec<MapLoad>,
}

/// One rank's engine; clones share one state.
#[derive(Debug, Clone, Default)]
pub struct GroupStandin {
    state: Arc<Mutex<GroupState>>,
}

impl GroupState {
    fn step(&mut self) {
        let mut machine = RankMachine::restored(self.kept);
        match machine.start_step() {
            Some((_step, map)) if self.used.len() < MAX_STEPS => {
                self.used.push(map);
                self.kept = machine.saved();
            }
            Some(_full) => {}
            None => self.held += 1,
        }
    }

    fn order(&mut self, order: RankOrder) -> bool {
        let armed_too_late = order.hold.armed.is_some_and(|armed| armed.step <= self.kept.started);
        let newly_armed = order.hold.armed != self.kept.armed;
        if LeaderBallot(order.fence) < self.kept.promised || (newly_armed && armed_too_late) {
            return false;
        }
        self.kept.promised = LeaderBallot(order.fence);
        self.kept.armed = order.hold.armed;
        self.kept.committed = order.hold.committed;
        true
    }
}

impl GroupStandin {
    fn state(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Steps on for ever.
    pub async fn run(self, step: Duration) {
        loop {
            tokio::time::sleep(step).await;
            self.state().step();
        }
    }

    /// What it counted.
    pub fn window_response(&self) -> HttpResponse {
        json_response(StatusCode::OK, &self.state().window)
    }

    /// Sets what it counts from now on.
    pub async fn set_window(&self, request: Request<Incoming>) -> HttpResponse {
        match read_json(request).await {
            Ok(window) => {
                self.state().window = window;
                done()
            }
            Err(response) => response,
        }
    }

    /// Loads experts; they are there at once.
    pub async fn load(&self, request: Request<Incoming>) -> HttpResponse {
        match read_json(request).await {
            Ok(load) => {
                self.state().loads.push(load);
                done()
            }
            Err(response) => response,
        }
    }

    /// What it holds.
    pub fn kept_response(&self) -> HttpResponse {
        json_response(StatusCode::OK, &self.state().kept)
    }

    /// Takes an order.
    pub async fn order(&self, request: Request<Incoming>) -> HttpResponse {
        let order: RankOrder = match read_json(request).await {
            Ok(order) => order,
            Err(response) => return response,
        };
        let mut state = self.state();
        let status = if state.order(order) { StatusCode::OK } else { StatusCode::CONFLICT };
        json_response(status, &state.kept)
    }

    /// The map of each step from 1 on, and how often a step had to wait.
    pub fn record_response(&self) -> HttpResponse {
        let state = self.state();
        let record = GroupRecord {
            used: state.used.clone(),
            held: state.held,
            started: state.kept.started,
            loads: state.loads.clone(),
        };
        json_response(StatusCode::OK, &record)
    }
}

/// What a rank did.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct GroupRecord {
    /// The map of each step, from step 1 on.
    pub used: Vec<MapVersion>,
    /// Times that a step was due and held.
    pub held: u64,
    /// The last step started.
    pub started: StepNumber,
    /// Experts loaded for maps, in order.
    pub loads: Vec<MapLoad>,
}
