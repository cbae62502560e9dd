//! The driver of one rank: it takes leaders' messages and has the engine hold the outcome before it replies.

use crate::engine::{GroupEngine, RankOrder};
use futures::future::BoxFuture;
use porthoist_http::CallError;
use porthoist_policy::placement::map::{ExpertMap, RankId};
use porthoist_policy::switch::{LeaderMessage, MapVersion, RankMachine, RankReply};
use std::fmt;
use std::sync::Arc;
use tokio::sync::Mutex;

/// Where the content of expert maps lies.
pub trait MapSource: fmt::Debug + Send + Sync {
    /// A map's content; nothing where its version was named without one.
    fn map(&self, version: MapVersion) -> BoxFuture<'_, Result<Option<ExpertMap>, CallError>>;
}

/// The driver. Everything it must remember is kept by the engine, so a restart of its process loses nothing.
#[derive(Debug)]
pub struct RankDriver {
    engine: Arc<dyn GroupEngine>,
    maps: Arc<dyn MapSource>,
    rank: RankId,
    /// One message at a time: what is read from the engine holds until the order is given.
    turn: Mutex<()>,
}

impl RankDriver {
    /// A driver of a rank beside its engine.
    pub fn new(engine: Arc<dyn GroupEngine>, maps: Arc<dyn MapSource>, rank: RankId) -> Self {
        Self { engine, maps, rank, turn: Mutex::new(()) }
    }

    /// Whether the engine has the rank's experts of a map; a map without content needs none.
    async fn loaded(&self, message: LeaderMessage) -> Result<bool, CallError> {
        let LeaderMessage::Arm(switch) = message else { return Ok(true) };
        let Some(map) = self.maps.map(switch.map).await? else { return Ok(true) };
        if usize::from(self.rank.0) >= map.ranks() {
            return Ok(false);
        }
        self.engine.load(switch.map, map.held(self.rank).to_vec()).await
    }

    /// Takes a leader's message. Without an answer from the engine there is none to the leader.
    pub async fn handle(&self, message: LeaderMessage) -> Result<Option<RankReply>, CallError> {
        let _turn = self.turn.lock().await;
        let loaded = self.loaded(message).await?;
        let before = self.engine.kept().await?;
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
        // The engine began the step, or saw a higher number, between the reading and the order.
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
