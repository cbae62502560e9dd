//! Settles teams' limits with their coordinators among the entries of the zone.

use super::EntryFleet;
use super::targets::PEER_TIMEOUT;
use crate::component::routing::{CoordinatorMessage, DueTeamsMessage, SettledMessage};
use porthoist_core::{TargetName, TeamName};
use porthoist_policy::limits::coordinator::{SettleAsk, SettleTold};
use porthoist_policy::membership::rendezvous_score;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which teams that are due for settlement are collected.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

type CoordinatorAsks = BTreeMap<TargetName, Vec<(TeamName, SettleAsk)>>;

impl EntryFleet {
    /// Settles the limits of teams that are due, with one concurrent call per coordinator. Returns if routing
    /// ends.
    pub(crate) async fn settle_limits(self) {
        loop {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let Ok(due) = self.shared.routing.ask(DueTeamsMessage).await else { return };
            for (coordinator, asks) in self.group_by_coordinator(due) {
                tokio::task::spawn_local(self.clone().settle_with(coordinator, asks));
            }
        }
    }

    fn group_by_coordinator(&self, due: Vec<(TeamName, SettleAsk)>) -> CoordinatorAsks {
        let mut grouped = CoordinatorAsks::new();
        if due.is_empty() {
            return grouped;
        }
        let mut live = self.shared.view.live_peers(&self.shared.zone);
        live.push(self.shared.node.clone());
        for (team, ask) in due {
            let score = |name: &&TargetName| rendezvous_score(ask.team, name.as_str());
            let coordinator = live.iter().max_by_key(score).unwrap_or(&self.shared.node);
            grouped.entry(coordinator.clone()).or_default().push((team, ask));
        }
        grouped
    }

    async fn settle_with(self, coordinator: TargetName, asks: Vec<(TeamName, SettleAsk)>) {
        let sent: Vec<SettleAsk> = asks.iter().map(|(_team, ask)| *ask).collect();
        let replies = if coordinator == self.shared.node {
            self.shared.routing.ask(CoordinatorMessage(sent)).await.ok()
        } else {
            self.settle_remotely(&coordinator, &sent).await
        };
        let replies = replies.unwrap_or_default();
        let answer = |team: u64| replies.iter().find(|one: &&SettleTold| one.team == team).copied();
        let settled = asks.into_iter().map(|(team, ask)| (team, ask, answer(ask.team))).collect();
        // Routing ends only with the process.
        let _sent = self.shared.routing.tell(SettledMessage(settled)).await;
    }

    async fn settle_remotely(&self, coordinator: &TargetName, asks: &[SettleAsk]) -> Option<Vec<SettleTold>> {
        let peer = self.peer(coordinator).ok()?;
        tokio::time::timeout(PEER_TIMEOUT, peer.settle(asks)).await.ok()?.ok()
    }
}
