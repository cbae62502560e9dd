//! The group duty of a target that stands beside a rank: it leads the switch to the map that the table's row names.
//!
//! Every rank's process may lead; the lowest rank tries first, the others later, each with a higher ballot.

use crate::config::ConfigHub;
use futures::future::BoxFuture;
use porthoist_core::TargetName;
use porthoist_core::secret::SharedSecret;
use porthoist_fleet::FleetPeer;
use porthoist_group::{GroupEngine as _, HttpGroupEngine, RankLink, SwitchOutcome, switch_group};
use porthoist_policy::switch::{KeptRank, LeaderBallot, LeaderMessage, MapVersion, RankReply};
use porthoist_policy::table::{RowKey, RowKind, TableRow};
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The row in force and the engine are looked at so often.
const LOOK_TIME: Duration = Duration::from_millis(200);
/// Each further rank waits so much longer before it leads.
const RANK_PATIENCE: Duration = Duration::from_millis(1200);
/// Name of the policy row that names the group's map.
pub const PLACEMENT_ROW: &str = "placement";
const MESSAGES: usize = 16;

/// The duty.
#[derive(Debug)]
pub struct GroupDuty {
    /// Fleet addresses of all ranks.
    pub ranks: Vec<SocketAddr>,
    /// Shown to their processes.
    pub key: SharedSecret,
    /// The engine of the own rank.
    pub engine: HttpGroupEngine,
    /// Configuration.
    pub config: Arc<ConfigHub>,
    /// The target's name; the number at its end is its rank.
    pub own: TargetName,
    /// Logs.
    pub logger: Logger,
}

type RankCall = (LeaderMessage, oneshot::Sender<Option<Option<RankReply>>>);

/// The way to a rank's process: a task of the fleet duty holds the connection, which is bound to its thread.
#[derive(Debug)]
struct FleetLink(mpsc::Sender<RankCall>);

impl RankLink for FleetLink {
    fn send(&self, message: LeaderMessage) -> BoxFuture<'_, Option<Option<RankReply>>> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            self.0.send((message, reply)).await.ok()?;
            answer.await.ok().flatten()
        })
    }
}

/// Connects anew for each message that finds no connection.
async fn serve_link(address: SocketAddr, key: SharedSecret, mut calls: mpsc::Receiver<RankCall>) {
    let mut peer: Option<FleetPeer> = None;
    while let Some((message, reply)) = calls.recv().await {
        if peer.as_ref().is_none_or(|peer| !peer.alive()) {
            peer = FleetPeer::connect(&address.to_string(), &key).await.ok();
        }
        let answer = match &peer {
            Some(peer) => peer.rank(message).await.ok(),
            None => None,
        };
        // A leader that waits no longer needs no answer.
        let _sent = reply.send(answer);
    }
}

impl GroupDuty {
    /// Runs for ever on the fleet duty's `LocalSet`.
    pub async fn run(self) {
        let patience = RANK_PATIENCE * self.rank();
        let mut links: Vec<Box<dyn RankLink>> = Vec::with_capacity(self.ranks.len());
        for address in &self.ranks {
            let (sender, calls) = mpsc::channel(MESSAGES);
            tokio::task::spawn_local(serve_link(*address, self.key.clone(), calls));
            links.push(Box::new(FleetLink(sender)));
        }
        loop {
            tokio::time::sleep(LOOK_TIME).await;
            if !self.due().await {
                continue;
            }
            tokio::time::sleep(patience).await;
            if self.due().await
                && let Ok(kept) = self.engine.kept().await
            {
                self.lead(&links, kept).await;
            }
        }
    }

    fn rank(&self) -> u32 {
        let digits = self.own.as_str().rsplit(|letter: char| !letter.is_ascii_digit()).next();
        digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }

    fn wanted(&self) -> MapVersion {
        let key = RowKey { kind: RowKind::Policy, name: PLACEMENT_ROW.to_owned() };
        match self.config.current().row(&key) {
            Some(TableRow::Policy(row)) => MapVersion(row.map),
            _ => MapVersion(0),
        }
    }

    /// Whether the own rank is not on its way to the wanted map, or holds for a decision that did not come.
    async fn due(&self) -> bool {
        let wanted = self.wanted();
        let Ok(kept) = self.engine.kept().await else { return false };
        let planned = kept.committed.map_or(kept.map, |switch| switch.map);
        wanted.0 > 0 && (planned != wanted || kept.armed.is_some())
    }

    async fn lead(&self, links: &[Box<dyn RankLink>], kept: KeptRank) {
        let ballot = LeaderBallot(kept.promised.0 + 1);
        let wanted = self.wanted();
        match switch_group(links, ballot, wanted).await {
            Ok(SwitchOutcome::Committed(map)) => {
                info!(self.logger, "the group switches"; "map" => map.0, "ballot" => ballot.0);
            }
            Ok(SwitchOutcome::Aborted) => info!(self.logger, "the switch is aborted"; "ballot" => ballot.0),
            Err(error) => warn!(self.logger, "the switch is not decided"; "error" => %error),
        }
    }
}
