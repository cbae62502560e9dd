//! An entry's connection to one target: connecting, heartbeats, and updates to routing.

use super::EntryFleet;
use crate::component::routing::{LoadMessage, TargetMessage};
use porthoist_core::offer::TargetHello;
use porthoist_core::{TargetName, UnixMillis};
use porthoist_fleet::{FleetDigest, FleetError, FleetPeer};
use porthoist_policy::membership::{MemberDigest, MemberTable, ProcessLife};
use porthoist_policy::router::RouteTarget;
use porthoist_table::{HostEntry, HostState};
use slog::{info, warn};
use std::time::Duration;

/// Interval between heartbeats to one target, with up to [`FULL_RATE_TARGETS`] connections.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of connections above which the interval grows with its square, so that total heartbeat traffic
/// shrinks instead of growing. Load then arrives only with answers and refusals.
pub const FULL_RATE_TARGETS: usize = 16;
/// Timeout of heartbeats and other calls to a peer; a heartbeat that exceeds it ends the connection.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Initial delay between connection attempts; it doubles up to [`MAX_RECONNECT_DELAY`].
pub const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between connection attempts.
pub const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

impl EntryFleet {
    /// Maintains the connection to a target until it has left the host list and its connection has ended.
    pub(crate) async fn follow_target(self, first: HostEntry) {
        let name = first.name.clone();
        let mut delay = MIN_RECONNECT_DELAY;
        let mut members = MemberTable::default();
        loop {
            let Some(host) = self.listed_host(&name) else {
                self.remove_target(&name).await;
                return;
            };
            if let Ok(peer) = FleetPeer::connect(&host.address, &self.shared.key).await {
                self.peers.borrow_mut().insert(name.clone(), peer.clone());
                let error = self.exchange_heartbeats(&name, &peer, &mut members).await;
                info!(self.shared.logger, "lost the connection to a target"; "target" => %name, "error" => %error);
                peer.close();
                self.peers.borrow_mut().remove(&name);
                delay = MIN_RECONNECT_DELAY;
            }
            self.shared.view.mark_unreachable(&name);
            let message = LoadMessage { target: name.clone(), load: None, done: None, unreachable: true };
            let _sent = self.shared.routing.tell(message).await;
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    async fn remove_target(&self, name: &TargetName) {
        self.shared.view.remove(name);
        let _sent = self.shared.routing.tell(TargetMessage::Remove(name.clone())).await;
    }

    /// Exchanges heartbeats until one fails.
    async fn exchange_heartbeats(
        &self,
        name: &TargetName,
        peer: &FleetPeer,
        members: &mut MemberTable,
    ) -> FleetError {
        loop {
            let hello = match tokio::time::timeout(PEER_TIMEOUT, peer.hello()).await {
                Err(_elapsed) => return FleetError::unreachable("no heartbeat before the timeout"),
                Ok(Err(error)) => return error,
                Ok(Ok(None)) => return FleetError::unreachable("the peer is not a target"),
                Ok(Ok(Some(hello))) => hello,
            };
            self.apply_hello(name, &hello, members).await;
            if let Err(error) = self.send_missing_changes(peer, hello.revision).await {
                return error;
            }
            let followed = self.peers.borrow().len();
            tokio::time::sleep(heartbeat_interval(followed)).await;
        }
    }

    async fn apply_hello(&self, name: &TargetName, hello: &TargetHello, members: &mut MemberTable) {
        let Some(host) = self.listed_host(name) else { return };
        let now = self.shared.clock.now();
        let known = members.get(name).and_then(|record| record.digest.life);
        let restarted = known.is_none_or(|life| life.incarnation != hello.incarnation);
        if restarted && known.is_some() {
            let _sent = self.shared.routing.tell(TargetMessage::Reset(name.clone())).await;
        }
        let life = if restarted {
            Some(ProcessLife { started: now, incarnation: hello.incarnation })
        } else {
            known
        };
        members.apply(now, member_digest(&host, hello, life));
        let marked_leaving = members.get(name).is_some_and(|record| record.digest.leaving);
        let row = self.shared.config.target(name);
        let drained = row.as_ref().is_some_and(|row| row.drain);
        let leaving = marked_leaving || drained || hello.load.draining;
        let target = RouteTarget {
            name: name.clone(),
            zone: host.zone,
            services: hello.services.clone(),
            weight: row.map_or(1.0, |row| row.weight),
            leaving,
        };
        self.shared.view.update_target(name, hello, leaving);
        let load =
            LoadMessage { target: name.clone(), load: Some(hello.load), done: None, unreachable: false };
        let _sent = self.shared.routing.tell(TargetMessage::Upsert(target)).await;
        let _sent = self.shared.routing.tell(load).await;
    }

    /// Sends the changes a process with an older configuration is missing.
    pub(crate) async fn send_missing_changes(
        &self,
        peer: &FleetPeer,
        revision: u64,
    ) -> Result<(), FleetError> {
        let Some(change) = self.shared.config.change_since(revision) else {
            return Ok(());
        };
        let digest = FleetDigest { change: Some(change), ..self.own_digest() };
        match tokio::time::timeout(PEER_TIMEOUT, peer.gossip(&digest)).await {
            Ok(Ok(_digest)) => Ok(()),
            Ok(Err(error)) => {
                warn!(self.shared.logger, "failed to send the configuration to a peer"; "error" => %error);
                Err(error)
            }
            Err(_elapsed) => Err(FleetError::unreachable("no answer to a gossip digest before the timeout")),
        }
    }
}

/// The heartbeat interval at a number of connections.
pub fn heartbeat_interval(connections: usize) -> Duration {
    scaled_interval(HEARTBEAT_INTERVAL, connections, FULL_RATE_TARGETS)
}

/// Stretches `base` by the square of `count / full_rate` where `count` exceeds `full_rate`.
pub fn scaled_interval(base: Duration, count: usize, full_rate: usize) -> Duration {
    let excess = (count as f64 / full_rate as f64).max(1.0);
    base.mul_f64(excess * excess)
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
