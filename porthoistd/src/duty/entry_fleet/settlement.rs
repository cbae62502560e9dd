//! Settlement of teams' limits with their keepers among the entries of the zone.

use super::EntryFleet;
use super::targets::SILENCE_TIME;
use crate::duty::routing::{DueMessage, KeeperMessage, SettledMessage};
use porthoist_core::{TargetName, TeamName};
use porthoist_policy::limits::keeper::{SettleAsk, SettleTold};
use porthoist_policy::membership::rendezvous_score;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two looks for teams to settle.
const LOOK_TIME: Duration = Duration::from_millis(200);

type KeeperAsks = BTreeMap<TargetName, Vec<(TeamName, SettleAsk)>>;

impl EntryFleet {
    /// Settles due teams for ever, one call to each keeper at a time.
    pub(crate) async fn settle_limits(self) {
        loop {
            tokio::time::sleep(LOOK_TIME).await;
            let Ok(due) = self.shared.routing.ask(DueMessage).await else { return };
            for (keeper, asks) in self.by_keeper(due) {
                tokio::task::spawn_local(self.clone().settle_with(keeper, asks));
            }
        }
    }

    fn by_keeper(&self, due: Vec<(TeamName, SettleAsk)>) -> KeeperAsks {
        let mut grouped = KeeperAsks::new();
        if due.is_empty() {
            return grouped;
        }
        let mut live = self.shared.view.live_peers(&self.shared.zone);
        live.push(self.shared.node.clone());
        for (team, ask) in due {
            let score = |name: &&TargetName| rendezvous_score(ask.team, name.as_str());
            let keeper = live.iter().max_by_key(score).unwrap_or(&self.shared.node);
            grouped.entry(keeper.clone()).or_default().push((team, ask));
        }
        grouped
    }

    async fn settle_with(self, keeper: TargetName, asks: Vec<(TeamName, SettleAsk)>) {
        let sent: Vec<SettleAsk> = asks.iter().map(|(_team, ask)| *ask).collect();
        let told = if keeper == self.shared.node {
            self.shared.routing.ask(KeeperMessage(sent)).await.ok()
        } else {
            self.settle_remotely(&keeper, &sent).await
        };
        let told = told.unwrap_or_default();
        let answer = |team: u64| told.iter().find(|one: &&SettleTold| one.team == team).copied();
        let settled = asks.into_iter().map(|(team, ask)| (team, ask, answer(ask.team))).collect();
        // Routing ends only with the process.
        let _told = self.shared.routing.tell(SettledMessage(settled)).await;
    }

    async fn settle_remotely(&self, keeper: &TargetName, asks: &[SettleAsk]) -> Option<Vec<SettleTold>> {
        let peer = self.peer(keeper).ok()?;
        tokio::time::timeout(SILENCE_TIME, peer.settle(asks)).await.ok()?.ok()
    }
}
