//! One target as an entry follows it: connect, heartbeat, tell routing what it is.

use super::EntryFleet;
use crate::duty::routing::{LoadMessage, TargetMessage};
use porthoist_core::offer::TargetHello;
use porthoist_core::{TargetName, UnixMillis};
use porthoist_fleet::{FleetDigest, FleetError, FleetPeer};
use porthoist_policy::membership::{MemberDigest, MemberTable, ProcessLife};
use porthoist_policy::router::RouteTarget;
use porthoist_table::{HostEntry, HostState};
use slog::{info, warn};
use std::time::Duration;

/// Time between two heartbeats to a target, up to [`HEARTBEAT_TARGETS`] connections.
pub const HEARTBEAT_TIME: Duration = Duration::from_millis(500);
/// Beyond so many connections the time grows with the square of their number, so that the bytes of all
/// heartbeats shrink rather than grow; load then travels on answers and refusals alone.
pub const HEARTBEAT_TARGETS: usize = 16;
/// A heartbeat without an answer for so long ends the connection.
pub const SILENCE_TIME: Duration = Duration::from_millis(1500);
/// First pause between two attempts to connect; it doubles up to [`MAX_RECONNECT_TIME`].
pub const MIN_RECONNECT_TIME: Duration = Duration::from_millis(50);
/// Longest pause between two attempts to connect.
pub const MAX_RECONNECT_TIME: Duration = Duration::from_secs(2);

impl EntryFleet {
    /// Follows a target until it is off the host list and can't be reached.
    pub(crate) async fn follow_target(self, first: HostEntry) {
        let name = first.name.clone();
        let mut pause = MIN_RECONNECT_TIME;
        let mut members = MemberTable::default();
        loop {
            let Some(host) = self.listed(&name) else {
                self.forget(&name).await;
                return;
            };
            if let Ok(peer) = FleetPeer::connect(&host.address, &self.shared.key).await {
                self.peers.borrow_mut().insert(name.clone(), peer.clone());
                let error = self.heartbeats(&name, &peer, &mut members).await;
                info!(self.shared.logger, "target lost"; "target" => %name, "error" => %error);
                peer.close();
                self.peers.borrow_mut().remove(&name);
                pause = MIN_RECONNECT_TIME;
            }
            self.shared.view.silent(&name);
            let message = LoadMessage { target: name.clone(), load: None, done: None, unreachable: true };
            let _told = self.shared.routing.tell(message).await;
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RECONNECT_TIME);
        }
    }

    async fn forget(&self, name: &TargetName) {
        self.shared.view.gone(name);
        let _told = self.shared.routing.tell(TargetMessage::Remove(name.clone())).await;
    }

    /// Exchanges heartbeats until one fails.
    async fn heartbeats(&self, name: &TargetName, peer: &FleetPeer, members: &mut MemberTable) -> FleetError {
        loop {
            let hello = match tokio::time::timeout(SILENCE_TIME, peer.hello()).await {
                Err(_elapsed) => return FleetError::unreachable("no heartbeat in time"),
                Ok(Err(error)) => return error,
                Ok(Ok(None)) => return FleetError::unreachable("the peer is not a target"),
                Ok(Ok(Some(hello))) => hello,
            };
            self.heard(name, &hello, members).await;
            if let Err(error) = self.bring_up_to_date(peer, hello.revision).await {
                return error;
            }
            let followed = self.peers.borrow().len();
            tokio::time::sleep(heartbeat_time(followed)).await;
        }
    }

    async fn heard(&self, name: &TargetName, hello: &TargetHello, members: &mut MemberTable) {
        let Some(host) = self.listed(name) else { return };
        let now = self.shared.clock.now();
        let known = members.get(name).and_then(|record| record.digest.life);
        let reborn = known.is_none_or(|life| life.incarnation != hello.incarnation);
        if reborn && known.is_some() {
            let _told = self.shared.routing.tell(TargetMessage::Reset(name.clone())).await;
        }
        let life =
            if reborn { Some(ProcessLife { started: now, incarnation: hello.incarnation }) } else { known };
        members.apply(now, member_digest(&host, hello, life));
        let sticky = members.get(name).is_some_and(|record| record.digest.leaving);
        let row = self.shared.config.target(name);
        let drained = row.as_ref().is_some_and(|row| row.drain);
        let leaving = sticky || drained || hello.load.draining;
        let target = RouteTarget {
            name: name.clone(),
            zone: host.zone,
            services: hello.services.clone(),
            weight: row.map_or(1.0, |row| row.weight),
            leaving,
        };
        self.shared.view.target_heard(name, hello, leaving);
        let load =
            LoadMessage { target: name.clone(), load: Some(hello.load), done: None, unreachable: false };
        let _told = self.shared.routing.tell(TargetMessage::Upsert(target)).await;
        let _told = self.shared.routing.tell(load).await;
    }

    /// Tells a process with an older configuration what it lacks.
    pub(crate) async fn bring_up_to_date(&self, peer: &FleetPeer, revision: u64) -> Result<(), FleetError> {
        let Some(change) = self.shared.config.change_since(revision) else {
            return Ok(());
        };
        let digest = FleetDigest { change: Some(change), ..self.own_digest() };
        match tokio::time::timeout(SILENCE_TIME, peer.gossip(&digest)).await {
            Ok(Ok(_digest)) => Ok(()),
            Ok(Err(error)) => {
                warn!(self.shared.logger, "a peer did not take the configuration"; "error" => %error);
                Err(error)
            }
            Err(_elapsed) => Err(FleetError::unreachable("no answer to a digest in time")),
        }
    }
}

/// Time between two heartbeats at so many connections.
pub fn heartbeat_time(connections: usize) -> Duration {
    spaced(HEARTBEAT_TIME, connections, HEARTBEAT_TARGETS)
}

/// A time that grows with the square of a number beyond a free one.
pub fn spaced(time: Duration, number: usize, free: usize) -> Duration {
    let excess = (number as f64 / free as f64).max(1.0);
    time.mul_f64(excess * excess)
}

fn member_digest(host: &HostEntry, hello: &TargetHello, life: Option<ProcessLife>) -> MemberDigest {
    MemberDigest {
        target: host.name.clone(),
        host: host.host.clone(),
        zone: host.zone.clone(),
        address: host.address.clone(),
        life: life.or(Some(ProcessLife { started: UnixMillis(0), incarnation: hello.incarnation })),
        leaving: host.state == HostState::Leaving,
        services: hello.services.clone(),
    }
}
