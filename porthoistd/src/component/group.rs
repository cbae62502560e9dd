//! Leads map switches of a group of ranks from the target process next to each rank. The map is the one the
//! table's policy row names or, if the row names none, the best one found by the planner of rank 0.
//!
//! The process of any rank may lead. The lowest rank tries first, the others after a delay, each with a
//! higher ballot.

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

/// Interval at which the policy row and the engine are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before leading, multiplied by the rank.
const LEADER_DELAY: Duration = Duration::from_millis(1200);
/// Name of the policy row that selects the group's map.
pub const PLACEMENT_ROW: &str = "placement";
const LINK_CAPACITY: usize = 16;

/// Leads map switches of one group.
#[derive(Debug)]
pub struct GroupLeader {
    /// Fleet addresses of all ranks, in rank order.
    pub ranks: Vec<SocketAddr>,
    /// Key that authenticates this process to the others.
    pub key: SharedSecret,
    /// The engine of this rank.
    pub engine: HttpGroupEngine,
    /// Storage of the expert maps.
    pub maps: PlatformMaps,
    /// The configuration in force.
    pub config: Arc<ConfigHub>,
    /// Name of this target; the number at its end is its rank.
    pub own: TargetName,
    /// The logger.
    pub logger: Logger,
}

/// Expert maps of one group, stored as objects of the platform.
#[derive(Debug)]
pub struct PlatformMaps {
    platform: HttpPlatform,
    group: u64,
}

impl PlatformMaps {
    /// Creates access to the maps of the group with these ranks, on the platform at `url`.
    pub fn new(url: &str, ranks: &[SocketAddr]) -> Self {
        let names: Vec<String> = ranks.iter().map(ToString::to_string).collect();
        Self { platform: HttpPlatform::new(url), group: AnswerDigest::of(names.join(",").as_bytes()) }
    }

    fn object_name(&self, version: MapVersion) -> String {
        format!("porthoist-expert-map-{:016x}-{}", self.group, version.0)
    }

    /// Writes a map. This must happen before the group switches to it.
    pub async fn put(&self, version: MapVersion, map: &ExpertMap) -> Result<(), CallError> {
        let bytes = serde_json::to_vec(map).map_err(|error| CallError::not_sent(error.to_string()))?;
        self.platform.put_object(self.object_name(version), bytes.into()).await
    }
}

impl MapSource for PlatformMaps {
    fn map(&self, version: MapVersion) -> BoxFuture<'_, Result<Option<ExpertMap>, CallError>> {
        Box::pin(async move {
            let Some(bytes) = self.platform.object(self.object_name(version)).await? else { return Ok(None) };
            serde_json::from_slice(&bytes).map(Some).map_err(|error| CallError::unknown(error.to_string()))
        })
    }
}

/// The rank number at the end of a target's name, or 0.
pub fn rank_of(target: &TargetName) -> u16 {
    let digits = target.as_str().rsplit(|letter: char| !letter.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The map a held rank continues with: that of the switch it is armed for, otherwise its current one.
fn planned_map(saved: &SavedRank) -> MapVersion {
    saved.armed.map_or(saved.map, |switch| switch.map)
}

type RankCall = (LeaderMessage, oneshot::Sender<Option<Option<RankReply>>>);

/// Sends messages to a rank's process. The connection is bound to its thread, so a local task owns it.
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

/// Serves one rank's messages; reconnects when a message finds no live connection.
async fn serve_link(address: SocketAddr, key: SharedSecret, mut calls: mpsc::Receiver<RankCall>) {
    let mut peer: Option<FleetPeer> = None;
    while let Some((message, reply)) = calls.recv().await {
        if peer.as_ref().is_none_or(|peer| !peer.alive()) {
            peer = FleetPeer::connect(&address.to_string(), &key).await.ok();
        }
        let answer = match &peer {
            Some(peer) => peer.send_leader_message(message).await.ok(),
            None => None,
        };
        // The leader may have stopped waiting.
        let _sent = reply.send(answer);
    }
}

impl GroupLeader {
    /// Runs forever; must run on a `LocalSet`.
    pub async fn run(self) {
        let rank = rank_of(&self.own);
        let delay = LEADER_DELAY * u32::from(rank);
        let mut planner = None;
        let mut links: Vec<Box<dyn RankLink>> = Vec::with_capacity(self.ranks.len());
        for address in &self.ranks {
            let (sender, calls) = mpsc::channel(LINK_CAPACITY);
            tokio::task::spawn_local(serve_link(*address, self.key.clone(), calls));
            links.push(Box::new(FleetLink(sender)));
        }
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if !self.switch_needed().await {
                if rank == 0 {
                    self.plan_switch(&links, &mut planner).await;
                }
                continue;
            }
            tokio::time::sleep(delay).await;
            if self.switch_needed().await
                && let Ok(saved) = self.engine.saved_state().await
            {
                let map = if self.requested_map().0 > 0 { self.requested_map() } else { planned_map(&saved) };
                self.lead_switch(&links, saved, map).await;
            }
        }
    }

    fn placement_row(&self) -> Option<PolicyRow> {
        let key = RowKey { kind: RowKind::Policy, name: PLACEMENT_ROW.to_owned() };
        match self.config.current().row(&key) {
            Some(TableRow::Policy(row)) => Some(row.clone()),
            _ => None,
        }
    }

    fn requested_map(&self) -> MapVersion {
        MapVersion(self.placement_row().map_or(0, |row| row.map))
    }

    /// Reads a window of expert counts and, if the row leaves the map to the planner, switches the group to
    /// the map it plans.
    async fn plan_switch(&self, links: &[Box<dyn RankLink>], planner: &mut Option<GroupPlanner>) {
        let Some(row) = self.placement_row().filter(|row| row.map == 0) else { return };
        let Ok(window) = self.engine.window().await else { return };
        if !window.usable() {
            return;
        }
        let Ok(saved) = self.engine.saved_state().await else { return };
        let current = saved.committed.map_or(saved.map, |switch| switch.map);
        if planner.is_none() {
            let Ok(map) = self.maps.map(current).await else { return };
            *planner = Some(GroupPlanner::new(&window, map));
        }
        let Some(next) = planner.as_mut().and_then(|planner| planner.plan_window(&window, &row)) else {
            return;
        };
        let version = MapVersion(current.0 + 1);
        if let Err(error) = self.maps.put(version, &next.map).await {
            warn!(self.logger, "failed to write the planned map"; "error" => %error);
            return;
        }
        info!(self.logger, "planned a new map"; "map" => version.0, "moves" => next.moves.len(),
            "peak_before" => next.peak_before, "peak_after" => next.peak_after);
        if self.lead_switch(links, saved, version).await
            && let Some(planner) = planner
        {
            planner.set_map(next.map);
        }
    }

    /// Whether a switch must be led: this rank is not switching to the requested map, or it is armed for a
    /// switch that was never decided.
    async fn switch_needed(&self) -> bool {
        let requested = self.requested_map();
        let Ok(saved) = self.engine.saved_state().await else { return false };
        let planned = saved.committed.map_or(saved.map, |switch| switch.map);
        (requested.0 > 0 && planned != requested) || saved.armed.is_some()
    }

    /// Leads a switch to `requested`; returns whether the group commits to that map.
    async fn lead_switch(
        &self,
        links: &[Box<dyn RankLink>],
        saved: SavedRank,
        requested: MapVersion,
    ) -> bool {
        let ballot = LeaderBallot(saved.promised.0 + 1);
        match switch_group(links, ballot, requested).await {
            Ok(SwitchOutcome::Committed(map)) => {
                info!(self.logger, "map switch committed"; "map" => map.0, "ballot" => ballot.0);
                return map == requested;
            }
            Ok(SwitchOutcome::Aborted) => info!(self.logger, "map switch aborted"; "ballot" => ballot.0),
            Err(error) => warn!(self.logger, "map switch undecided"; "error" => %error),
        }
        false
    }
}
