//! The group duty of a target that stands beside a rank: it leads the switch to the map that the table's row names, or
//! where the row names none to the one that the planner of rank 0 finds best.
//!
//! Every rank's process may lead; the lowest rank tries first, the others later, each with a higher ballot.

use crate::config::ConfigHub;
use futures::future::BoxFuture;
use porthoist_core::TargetName;
use porthoist_core::offer::AnswerDigest;
use porthoist_core::secret::SharedSecret;
use porthoist_fleet::FleetPeer;
use porthoist_group::{
    GroupEngine as _, GroupPlanner, HttpGroupEngine, MapSource, RankLink, SwitchOutcome, switch_group,
};
use porthoist_policy::placement::map::ExpertMap;
use porthoist_policy::switch::{LeaderBallot, LeaderMessage, MapVersion, RankReply, SavedRank};
use porthoist_policy::table::{PolicyRow, RowKey, RowKind, TableRow};
use porthoist_table::{CallError, HttpPlatform, PlatformClient as _};
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
    /// Where maps lie.
    pub maps: PlatformMaps,
    /// Configuration.
    pub config: Arc<ConfigHub>,
    /// The target's name; the number at its end is its rank.
    pub own: TargetName,
    /// Logs.
    pub logger: Logger,
}

/// Expert maps of one group as objects of the platform.
#[derive(Debug)]
pub struct PlatformMaps {
    platform: HttpPlatform,
    group: u64,
}

impl PlatformMaps {
    /// The maps of the group with these ranks, on the platform at `url`.
    pub fn new(url: &str, ranks: &[SocketAddr]) -> Self {
        let names: Vec<String> = ranks.iter().map(ToString::to_string).collect();
        Self { platform: HttpPlatform::new(url), group: AnswerDigest::of(names.join(",").as_bytes()) }
    }

    fn object(&self, version: MapVersion) -> String {
        format!("porthoist-expert-map-{:016x}-{}", self.group, version.0)
    }

    /// Writes a map, before the group switches to it.
    pub async fn put(&self, version: MapVersion, map: &ExpertMap) -> Result<(), CallError> {
        let bytes = serde_json::to_vec(map).map_err(|error| CallError::not_sent(error.to_string()))?;
        self.platform.put_object(self.object(version), bytes.into()).await
    }
}

impl MapSource for PlatformMaps {
    fn map(&self, version: MapVersion) -> BoxFuture<'_, Result<Option<ExpertMap>, CallError>> {
        Box::pin(async move {
            let Some(bytes) = self.platform.object(self.object(version)).await? else { return Ok(None) };
            serde_json::from_slice(&bytes).map(Some).map_err(|error| CallError::unknown(error.to_string()))
        })
    }
}

/// The rank that a target's name ends with.
pub fn rank_of(target: &TargetName) -> u16 {
    let digits = target.as_str().rsplit(|letter: char| !letter.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The map that a rank which holds is to go on with: the one it is armed with.
fn planned_map(kept: &SavedRank) -> MapVersion {
    kept.armed.map_or(kept.map, |switch| switch.map)
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
        let rank = rank_of(&self.own);
        let patience = RANK_PATIENCE * u32::from(rank);
        let mut planner = None;
        let mut links: Vec<Box<dyn RankLink>> = Vec::with_capacity(self.ranks.len());
        for address in &self.ranks {
            let (sender, calls) = mpsc::channel(MESSAGES);
            tokio::task::spawn_local(serve_link(*address, self.key.clone(), calls));
            links.push(Box::new(FleetLink(sender)));
        }
        loop {
            tokio::time::sleep(LOOK_TIME).await;
            if !self.due().await {
                if rank == 0 {
                    self.plan(&links, &mut planner).await;
                }
                continue;
            }
            tokio::time::sleep(patience).await;
            if self.due().await
                && let Ok(kept) = self.engine.kept().await
            {
                let map = if self.wanted().0 > 0 { self.wanted() } else { planned_map(&kept) };
                self.lead(&links, kept, map).await;
            }
        }
    }

    fn row(&self) -> Option<PolicyRow> {
        let key = RowKey { kind: RowKind::Policy, name: PLACEMENT_ROW.to_owned() };
        match self.config.current().row(&key) {
            Some(TableRow::Policy(row)) => Some(row.clone()),
            _ => None,
        }
    }

    fn wanted(&self) -> MapVersion {
        MapVersion(self.row().map_or(0, |row| row.map))
    }

    /// Takes a window and switches the group to the planned map, if the row leaves the map to the planner.
    async fn plan(&self, links: &[Box<dyn RankLink>], planner: &mut Option<GroupPlanner>) {
        let Some(row) = self.row().filter(|row| row.map == 0) else { return };
        let Ok(window) = self.engine.window().await else { return };
        if !window.usable() {
            return;
        }
        let Ok(kept) = self.engine.kept().await else { return };
        let current = kept.committed.map_or(kept.map, |switch| switch.map);
        if planner.is_none() {
            let Ok(map) = self.maps.map(current).await else { return };
            *planner = Some(GroupPlanner::new(&window, map));
        }
        let Some(next) = planner.as_mut().and_then(|planner| planner.plan_window(&window, &row)) else {
            return;
        };
        let version = MapVersion(current.0 + 1);
        if let Err(error) = self.maps.put(version, &next.map).await {
            warn!(self.logger, "the planned map was not written"; "error" => %error);
            return;
        }
        info!(self.logger, "a map is planned"; "map" => version.0, "moves" => next.moves.len(),
            "peak_before" => next.peak_before, "peak_after" => next.peak_after);
        if self.lead(links, kept, version).await
            && let Some(planner) = planner
        {
            planner.set_map(next.map);
        }
    }

    /// Whether the own rank is not on its way to the wanted map, or holds for a decision that did not come.
    async fn due(&self) -> bool {
        let wanted = self.wanted();
        let Ok(kept) = self.engine.kept().await else { return false };
        let planned = kept.committed.map_or(kept.map, |switch| switch.map);
        (wanted.0 > 0 && planned != wanted) || kept.armed.is_some()
    }

    /// Leads a switch to a map; returns whether the group switches to this one.
    async fn lead(&self, links: &[Box<dyn RankLink>], kept: SavedRank, wanted: MapVersion) -> bool {
        let ballot = LeaderBallot(kept.promised.0 + 1);
        match switch_group(links, ballot, wanted).await {
            Ok(SwitchOutcome::Committed(map)) => {
                info!(self.logger, "the group switches"; "map" => map.0, "ballot" => ballot.0);
                return map == wanted;
            }
            Ok(SwitchOutcome::Aborted) => info!(self.logger, "the switch is aborted"; "ballot" => ballot.0),
            Err(error) => warn!(self.logger, "the switch is not decided"; "error" => %error),
        }
        false
    }
}
