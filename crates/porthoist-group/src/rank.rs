//! The driver of one rank: it takes leaders' messages and has the engine hold the outcome before it replies.

use crate::engine::{GroupEngine, RankOrder};
use porthoist_http::CallError;
use porthoist_policy::switch::{LeaderMessage, RankMachine, RankReply};
use std::sync::Arc;
use tokio::sync::Mutex;

/// The driver. Everything it must remember is kept by the engine, so a restart of its process loses nothing.
#[derive(Debug)]
pub struct RankDriver {
    engine: Arc<dyn GroupEngine>,
    /// One message at a time: what is read from the engine holds until the order is given.
    turn: Mutex<()>,
}

impl RankDriver {
    /// A driver beside an engine.
    pub fn new(engine: Arc<dyn GroupEngine>) -> Self {
        Self { engine, turn: Mutex::new(()) }
    }

    /// Takes a leader's message. Without an answer from the engine there is none to the leader.
    pub async fn handle(&self, message: LeaderMessage) -> Result<Option<RankReply>, CallError> {
        let _turn = self.turn.lock().await;
        let before = self.engine.kept().await?;
        let mut machine = RankMachine::restored(before);
        let reply = machine.on(message, true);
        let hold = machine.kept();
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
