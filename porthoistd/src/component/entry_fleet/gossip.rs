//! Gossip between entries: the revision of the configuration in force, and changes a peer is missing.

use super::EntryFleet;
use super::targets::{MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY, PEER_TIMEOUT, scaled_interval};
use crate::component::routing::CoordinatorMessage;
use porthoist_core::offer::TargetHello;
use porthoist_core::{LoadReport, RequestOffer, TeamName, TicketText, UnixDeadline};
use porthoist_core::{OfferOutcome, RefusalReason, RunVerdict, TargetName};
use porthoist_fleet::{FleetDigest, FleetError, FleetHandler, FleetPeer, FrameSender, HandlerFuture};
use porthoist_policy::adoption::AdoptOutcome;
use porthoist_policy::limits::coordinator::{SettleAsk, SettleTold};
use porthoist_policy::switch::{LeaderMessage, RankReply};
use porthoist_table::HostEntry;
use slog::info;
use std::time::Duration;

/// Interval between exchanges with one peer, with up to [`FULL_RATE_PEERS`] peers.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of peers above which the interval grows with its square. Changes come from the table; gossip only
/// serves a zone that is cut off from it.
pub const FULL_RATE_PEERS: usize = 8;

impl EntryFleet {
    pub(crate) fn own_digest(&self) -> FleetDigest {
        FleetDigest {
            node: self.shared.node.clone(),
            zone: self.shared.zone.clone(),
            revision: self.shared.config.revision(),
            change: None,
            wants_hosts: self.shared.hosts.borrow().is_empty(),
            hosts: Vec::new(),
        }
    }

    /// The host list, if the peer asked for it.
    fn hosts_for(&self, wanted: bool) -> Vec<HostEntry> {
        if wanted { self.shared.hosts.borrow().clone() } else { Vec::new() }
    }

    fn apply_digest(&self, digest: FleetDigest) {
        self.shared.view.update_entry(&digest.node, digest.revision);
        self.shared.hosts.send_if_modified(|known| {
            let missing = known.is_empty() && !digest.hosts.is_empty();
            if missing {
                known.clone_from(&digest.hosts);
            }
            missing
        });
        let Some(change) = digest.change else { return };
        let revision = change.revision;
        if self.shared.config.adopt(change) == AdoptOutcome::Adopted {
            info!(self.shared.logger, "configuration in force"; "revision" => revision, "source" => "peer");
        }
    }

    /// Gossips with another entry until it has left the host list and its connection has ended.
    pub(crate) async fn follow_entry(self, first: HostEntry) {
        let name = first.name.clone();
        let mut delay = MIN_RECONNECT_DELAY;
        loop {
            let Some(host) = self.listed_host(&name) else {
                self.shared.view.remove(&name);
                return;
            };
            if let Ok(peer) = FleetPeer::connect(&host.address, &self.shared.key).await {
                self.peers.borrow_mut().insert(name.clone(), peer.clone());
                let error = self.exchange_digests(&name, &peer).await;
                self.peers.borrow_mut().remove(&name);
                info!(self.shared.logger, "lost the connection to an entry"; "entry" => %name, "error" => %error);
                peer.close();
                delay = MIN_RECONNECT_DELAY;
            }
            self.shared.view.mark_unreachable(&name);
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    async fn exchange_digests(&self, name: &TargetName, peer: &FleetPeer) -> FleetError {
        loop {
            let own = self.own_digest();
            let digest = match tokio::time::timeout(PEER_TIMEOUT, peer.gossip(&own)).await {
                Err(_elapsed) => return FleetError::unreachable("no gossip digest before the timeout"),
                Ok(Err(error)) => return error,
                Ok(Ok(digest)) => digest,
            };
            if digest.node != *name {
                return FleetError::unreachable(format!("connected to {} instead", digest.node));
            }
            let revision = digest.revision;
            let hosts = self.hosts_for(digest.wants_hosts);
            self.apply_digest(digest);
            if !hosts.is_empty() {
                let reply = FleetDigest { hosts, ..self.own_digest() };
                // If this exchange is lost, the next one sends the host list again.
                drop(tokio::time::timeout(PEER_TIMEOUT, peer.gossip(&reply)).await);
            }
            if let Err(error) = self.send_missing_changes(peer, revision).await {
                return error;
            }
            let peers = self.shared.view.reachable_entries();
            tokio::time::sleep(scaled_interval(GOSSIP_INTERVAL, peers, FULL_RATE_PEERS)).await;
        }
    }
}

/// An entry answers gossip and limit settlements; it refuses everything else.
impl FleetHandler for EntryFleet {
    fn offer(&self, _offer: RequestOffer, _sender: FrameSender) -> HandlerFuture<(OfferOutcome, LoadReport)> {
        let (reason, verdict) = (RefusalReason::NoTarget, RunVerdict::NotRun);
        let refused = OfferOutcome::Refused { reason, verdict, retry_at: None };
        Box::pin(std::future::ready((refused, LoadReport::default())))
    }

    fn mint(&self, _team: TeamName, _count: u32, _deadline: UnixDeadline) -> HandlerFuture<Vec<TicketText>> {
        Box::pin(std::future::ready(Vec::new()))
    }

    fn handle_leader_message(&self, _message: LeaderMessage) -> HandlerFuture<Option<Option<RankReply>>> {
        Box::pin(std::future::ready(None))
    }

    fn settle(&self, asks: Vec<SettleAsk>) -> HandlerFuture<Vec<SettleTold>> {
        let routing = self.shared.routing.clone();
        Box::pin(async move { routing.ask(CoordinatorMessage(asks)).await.unwrap_or_default() })
    }

    fn hello(&self) -> HandlerFuture<Option<TargetHello>> {
        Box::pin(std::future::ready(None))
    }

    fn gossip(&self, digest: FleetDigest) -> HandlerFuture<FleetDigest> {
        let change = self.shared.config.change_since(digest.revision);
        let hosts = self.hosts_for(digest.wants_hosts);
        self.apply_digest(digest);
        Box::pin(std::future::ready(FleetDigest { change, hosts, ..self.own_digest() }))
    }
}
