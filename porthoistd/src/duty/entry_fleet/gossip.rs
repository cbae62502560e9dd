//! Gossip between entries: the configuration revision in force, and changes that a peer lacks.

use super::EntryFleet;
use super::targets::{MAX_RECONNECT_TIME, MIN_RECONNECT_TIME, SILENCE_TIME, spaced};
use crate::duty::routing::CoordinatorMessage;
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

/// Time between two exchanges with one peer, up to [`GOSSIP_PEERS`] peers.
pub const GOSSIP_TIME: Duration = Duration::from_secs(1);
/// Beyond so many peers the time grows with the square of their number; changes come from the table then, and gossip
/// only covers a zone that is cut off from it.
pub const GOSSIP_PEERS: usize = 8;

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

    /// The host list for a peer that lacks it.
    fn hosts_for(&self, wanted: bool) -> Vec<HostEntry> {
        if wanted { self.shared.hosts.borrow().clone() } else { Vec::new() }
    }

    fn take_digest(&self, digest: FleetDigest) {
        self.shared.view.entry_heard(&digest.node, digest.revision);
        self.shared.hosts.send_if_modified(|known| {
            let lacking = known.is_empty() && !digest.hosts.is_empty();
            if lacking {
                known.clone_from(&digest.hosts);
            }
            lacking
        });
        let Some(change) = digest.change else { return };
        let revision = change.revision;
        if self.shared.config.adopt(change) == AdoptOutcome::Adopted {
            info!(self.shared.logger, "configuration in force"; "revision" => revision, "source" => "peer");
        }
    }

    /// Follows another entry until it is off the host list and can't be reached.
    pub(crate) async fn follow_entry(self, first: HostEntry) {
        let name = first.name.clone();
        let mut pause = MIN_RECONNECT_TIME;
        loop {
            let Some(host) = self.listed(&name) else {
                self.shared.view.gone(&name);
                return;
            };
            if let Ok(peer) = FleetPeer::connect(&host.address, &self.shared.key).await {
                self.peers.borrow_mut().insert(name.clone(), peer.clone());
                let error = self.exchanges(&name, &peer).await;
                self.peers.borrow_mut().remove(&name);
                info!(self.shared.logger, "entry lost"; "entry" => %name, "error" => %error);
                peer.close();
                pause = MIN_RECONNECT_TIME;
            }
            self.shared.view.silent(&name);
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RECONNECT_TIME);
        }
    }

    async fn exchanges(&self, name: &TargetName, peer: &FleetPeer) -> FleetError {
        loop {
            let own = self.own_digest();
            let digest = match tokio::time::timeout(SILENCE_TIME, peer.gossip(&own)).await {
                Err(_elapsed) => return FleetError::unreachable("no digest in time"),
                Ok(Err(error)) => return error,
                Ok(Ok(digest)) => digest,
            };
            if digest.node != *name {
                return FleetError::unreachable(format!("{} answers in its place", digest.node));
            }
            let revision = digest.revision;
            let hosts = self.hosts_for(digest.wants_hosts);
            self.take_digest(digest);
            if !hosts.is_empty() {
                let told = FleetDigest { hosts, ..self.own_digest() };
                // The next exchange tells it again if this one is lost.
                drop(tokio::time::timeout(SILENCE_TIME, peer.gossip(&told)).await);
            }
            if let Err(error) = self.bring_up_to_date(peer, revision).await {
                return error;
            }
            let peers = self.shared.view.entries_known();
            tokio::time::sleep(spaced(GOSSIP_TIME, peers, GOSSIP_PEERS)).await;
        }
    }
}

/// An entry answers gossip and nothing else.
impl FleetHandler for EntryFleet {
    fn offer(&self, _offer: RequestOffer, _sender: FrameSender) -> HandlerFuture<(OfferOutcome, LoadReport)> {
        let (reason, verdict) = (RefusalReason::NoTarget, RunVerdict::NotRun);
        let refused = OfferOutcome::Refused { reason, verdict, retry_at: None };
        Box::pin(std::future::ready((refused, LoadReport::default())))
    }

    fn mint(&self, _team: TeamName, _count: u32, _deadline: UnixDeadline) -> HandlerFuture<Vec<TicketText>> {
        Box::pin(std::future::ready(Vec::new()))
    }

    fn rank(&self, _message: LeaderMessage) -> HandlerFuture<Option<Option<RankReply>>> {
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
        self.take_digest(digest);
        Box::pin(std::future::ready(FleetDigest { change, hosts, ..self.own_digest() }))
    }
}
