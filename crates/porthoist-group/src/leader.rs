//! The leader of one switch. Any rank's process may lead, with a ballot higher than any seen.

use futures::future::BoxFuture;
use porthoist_policy::switch::{
    LeaderBallot, LeaderMachine, LeaderMessage, MapVersion, RankReply, SwitchRules,
};
use std::fmt;
use std::time::Duration;

/// Steps between the last started one and the one at which a switch takes effect, so that normally no step waits.
pub const LEAD_STEPS: u32 = 20;
/// Time after which a switch is aborted if a rank does not reply.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a decision is sent to a rank that does not reply.
const DECISION_ATTEMPTS: u32 = 3;

/// Connection to one rank's process.
pub trait RankLink: fmt::Debug {
    /// Sends a message and returns the rank's reply, if it has one; `None` if the rank did not answer.
    fn send(&self, message: LeaderMessage) -> BoxFuture<'_, Option<Option<RankReply>>>;
}

/// How a switch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchOutcome {
    /// Every rank uses the map from the same step on. It may be the map of an earlier leader's unfinished switch.
    Committed(MapVersion),
    /// The map stays the same.
    Aborted,
}

/// Error of a switch that ended without a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SwitchError {
    /// A rank did not answer.
    #[error("rank {0} did not answer")]
    RankUnreachable(usize),
    /// A rank has promised a higher ballot.
    #[error("another leader has a higher ballot")]
    Superseded,
}

/// Switches a group to a map: promises, arms, then commits if all ranks are armed and aborts otherwise.
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
                broadcast(links, message).await;
                return Ok(SwitchOutcome::Committed(switch.map));
            }
            LeaderMessage::Abort(..) => {
                broadcast(links, message).await;
                return Ok(SwitchOutcome::Aborted);
            }
            LeaderMessage::Promise(_) | LeaderMessage::Arm(_) => {
                message = request_replies(links, &mut leader, message).await?;
            }
        }
    }
}

/// Sends a message to all ranks and returns the next one to send.
async fn request_replies(
    links: &[Box<dyn RankLink>],
    leader: &mut LeaderMachine,
    message: LeaderMessage,
) -> Result<LeaderMessage, SwitchError> {
    let replies =
        futures::future::join_all(links.iter().map(|link| send_with_timeout(link.as_ref(), message))).await;
    let mut next = None;
    for (rank, reply) in replies.into_iter().enumerate() {
        let Some(Some(reply)) = reply else {
            return leader.timeout().ok_or(SwitchError::RankUnreachable(rank));
        };
        next = leader.on(rank, reply).or(next);
    }
    next.or_else(|| leader.timeout()).ok_or(SwitchError::Superseded)
}

async fn send_with_timeout(link: &dyn RankLink, message: LeaderMessage) -> Option<Option<RankReply>> {
    tokio::time::timeout(REPLY_TIMEOUT, link.send(message)).await.ok().flatten()
}

/// Sends a decision to all ranks. A rank that does not receive it waits until a later leader finishes the switch.
async fn broadcast(links: &[Box<dyn RankLink>], message: LeaderMessage) {
    for link in links {
        for _ in 0..DECISION_ATTEMPTS {
            if send_with_timeout(link.as_ref(), message).await.is_some() {
                break;
            }
        }
    }
}
