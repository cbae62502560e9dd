//! Settlement of teams' limits with their coordinators among the entries of the zone.

use super::EntryFleet;
use super::targets::SILENCE_TIME;
use crate::duty::routing::{CoordinatorMessage, DueMessage, SettledMessage};
use porthoist_core::{TargetName, TeamName};
use porthoist_policy::limits::coordinator::{SettleAsk, SettleTold};
use porthoist_policy::membership::rendezvous_score;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two looks for teams to settle.
const LOOK_TIME: Duration = Duration::from_millis(200);

type CoordinatorAsks = BTreeMap<TargetName, Vec<(TeamName, SettleAsk)>>;

impl EntryFleet {
    /// Settles due teams for ever, one call to each coordinator at a time.
    pub(crate) async fn settle_limits(self) {
        loop {
            tokio::time::sleep(LOOK_TIME).await;
            let Ok(due) = self.shared.routing.ask(DueMessage).await else { return };
            for (coordinator, asks) in self.by_coordinator(due) {
                tokio::task::spawn_local(self.clone().settle_with(coordinator, asks));
            }
        }
    }

    fn by_coordinator(&self, due: Vec<(TeamName, SettleAsk)>) -> CoordinatorAsks {
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
        let told = if coordinator == self.shared.node {
            self.shared.routing.ask(CoordinatorMessage(sent)).await.ok()
        } else {
            self.settle_remotely(&coordinator, &sent).await
        };
        let told = told.unwrap_or_default();
        let answer = |team: u64| told.iter().find(|one: &&SettleTold| one.team == team).copied();
        let settled = asks.into_iter().map(|(team, ask)| (team, ask, answer(ask.team))).collect();
        // Routing ends only with the process.
        let _told = self.shared.routing.tell(SettledMessage(settled)).await;
    }

    async fn settle_remotely(&self, coordinator: &TargetName, asks: &[SettleAsk]) -> Option<Vec<SettleTold>> {
        let peer = self.peer(coordinator).ok()?;
        tokio::time::timeout(SILENCE_TIME, peer.settle(asks)).await.ok()?.ok()
    }
}
