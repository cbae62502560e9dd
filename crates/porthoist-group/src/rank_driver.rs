//! The driver of one rank, which handles leaders' messages and has the engine save the outcome before it replies.

use crate::engine::{GroupEngine, RankOrder};
use futures::future::BoxFuture;
use porthoist_http::CallError;
use porthoist_policy::placement::map::{ExpertMap, RankId};
use porthoist_policy::switch::{LeaderMessage, MapVersion, RankMachine, RankReply};
use std::fmt;
use std::sync::Arc;
use tokio::sync::Mutex;

/// Storage of the contents of expert maps.
pub trait MapSource: fmt::Debug + Send + Sync {
    /// Returns a map's content; `None` if the version has no content.
    fn map(&self, version: MapVersion) -> BoxFuture<'_, Result<Option<ExpertMap>, CallError>>;
}

/// Handles the switches of one rank. The engine saves all its state, so a restart of its process loses nothing.
#[derive(Debug)]
pub struct RankDriver {
    engine: Arc<dyn GroupEngine>,
    maps: Arc<dyn MapSource>,
    rank: RankId,
    /// Serializes messages: the state read from the engine must not change before the order is sent.
    message_lock: Mutex<()>,
}

impl RankDriver {
    /// Creates the driver of a rank next to its engine.
    pub fn new(engine: Arc<dyn GroupEngine>, maps: Arc<dyn MapSource>, rank: RankId) -> Self {
        Self { engine, maps, rank, message_lock: Mutex::new(()) }
    }

    /// Has the engine load the rank's experts of the map to be armed. Returns whether they are loaded; a map without
    /// content needs none.
    async fn load_experts(&self, message: LeaderMessage) -> Result<bool, CallError> {
        let LeaderMessage::Arm(switch) = message else { return Ok(true) };
        let Some(map) = self.maps.map(switch.map).await? else { return Ok(true) };
        if usize::from(self.rank.0) >= map.ranks() {
            return Ok(false);
        }
        self.engine.load(switch.map, map.held(self.rank).to_vec()).await
    }

    /// Handles a leader's message. If the engine does not answer, neither does the driver.
    pub async fn handle(&self, message: LeaderMessage) -> Result<Option<RankReply>, CallError> {
        let _guard = self.message_lock.lock().await;
        let loaded = self.load_experts(message).await?;
        let before = self.engine.saved_state().await?;
        let mut machine = RankMachine::restored(before);
        let reply = machine.on(message, loaded);
        let hold = machine.saved();
        if hold == before {
            return Ok(reply);
        }
        let accepted = self.engine.order(RankOrder { fence: hold.promised.0, hold }).await?;
        if accepted {
            return Ok(reply);
        }
        // Between the reading and the order, the engine began the step or saw a higher fencing number.
        Ok(reply.map(|_reply| RankReply::Refused(ballot_of(message))))
    }
}

fn ballot_of(message: LeaderMessage) -> porthoist_policy::switch::LeaderBallot {
    match message {
        LeaderMessage::Promise(ballot)
        | LeaderMessage::Commit(ballot, _)
        | LeaderMessage::Abort(ballot, _) => ballot,
        LeaderMessage::Arm(switch) => switch.ballot,
    }
}
