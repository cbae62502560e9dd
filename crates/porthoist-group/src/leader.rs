//! The leader of one switch: any rank's process may be it, with a higher ballot than any seen.

use futures::future::BoxFuture;
use porthoist_policy::switch::{
    LeaderBallot, LeaderMachine, LeaderMessage, MapVersion, RankReply, SwitchRules,
};
use std::fmt;
use std::time::Duration;

/// Steps ahead of the last one started at which a switch takes effect, so that no step waits in the ordinary case.
pub const LEAD_STEPS: u32 = 20;
/// A rank that says nothing for so long is not waited for: the switch is aborted.
pub const REPLY_TIME: Duration = Duration::from_secs(2);
/// A decision is told again so often to a rank that does not answer.
const TELL_ROUNDS: u32 = 3;

/// The way to one rank's process.
pub trait RankLink: fmt::Debug {
    /// Sends a message; nothing if the rank could not be heard.
    fn send(&self, message: LeaderMessage) -> BoxFuture<'_, Option<Option<RankReply>>>;
}

/// How a switch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchOutcome {
    /// Decided: every rank uses the map from the same step on. It may be an earlier leader's map that was finished.
    Committed(MapVersion),
    /// Nothing changes.
    Aborted,
}

/// A switch without a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SwitchError {
    /// A rank could not be heard.
    #[error("rank {0} could not be heard")]
    RankSilent(usize),
    /// A rank has promised a higher ballot.
    #[error("another leader has a higher ballot")]
    Overtaken,
}

/// Switches a group to a map: promise, arm, then commit if all ranks are armed, else abort.
pub async fn switch_group(
    links: &[Box<dyn RankLink>],
    ballot: LeaderBallot,
    map: MapVersion,
) -> Result<SwitchOutcome, SwitchError> {
    let rules = SwitchRules::SOUND;
    let (mut leader, mut message) = LeaderMachine::start(ballot, map, LEAD_STEPS, links.len(), rules);
    loop {
        match message {
            LeaderMessage::Commit(_sender, switch) => {
                tell_all(links, message).await;
                return Ok(SwitchOutcome::Committed(switch.map));
            }
            LeaderMessage::Abort(..) => {
                tell_all(links, message).await;
                return Ok(SwitchOutcome::Aborted);
            }
            LeaderMessage::Promise(_) | LeaderMessage::Arm(_) => {
                message = ask_all(links, &mut leader, message).await?;
            }
        }
    }
}

/// Asks all ranks and returns what is told next.
async fn ask_all(
    links: &[Box<dyn RankLink>],
    leader: &mut LeaderMachine,
    message: LeaderMessage,
) -> Result<LeaderMessage, SwitchError> {
    let replies = futures::future::join_all(links.iter().map(|link| heard(link.as_ref(), message))).await;
    let mut next = None;
    for (rank, reply) in replies.into_iter().enumerate() {
        let Some(Some(reply)) = reply else {
            return leader.timeout().ok_or(SwitchError::RankSilent(rank));
        };
        next = leader.on(rank, reply).or(next);
    }
    next.or_else(|| leader.timeout()).ok_or(SwitchError::Overtaken)
}

async fn heard(link: &dyn RankLink, message: LeaderMessage) -> Option<Option<RankReply>> {
    tokio::time::timeout(REPLY_TIME, link.send(message)).await.ok().flatten()
}

/// Tells a decision. A rank that does not hear it holds until a later leader finishes the switch.
async fn tell_all(links: &[Box<dyn RankLink>], message: LeaderMessage) {
    for link in links {
        for _ in 0..TELL_ROUNDS {
            if heard(link.as_ref(), message).await.is_some() {
                break;
            }
        }
    }
}
