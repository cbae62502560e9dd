//! The client side of a connection to a peer.

use crate::convert::{
    read_digest, read_frame, read_outcome, read_settle_told, write_digest, write_offer, write_settle_asks,
};
use crate::digest::FleetDigest;
use crate::fleet_capnp::{frame_sink, login, node};
use crate::rank::ControlTraffic;
use crate::server::{MessageLimit, failed, vat_network};
use capnp::Error;
use capnp::capability::Rc as CapabilityRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client};
use porthoist_core::offer::TargetHello;
use porthoist_core::secret::SharedSecret;
use porthoist_core::{
    AnswerFrame, LoadReport, OfferOutcome, RefusalReason, RequestOffer, RunVerdict, TeamName, TicketText,
    UnixDeadline,
};
use porthoist_policy::limits::coordinator::{SettleAsk, SettleTold};
use porthoist_policy::switch::{LeaderMessage, RankReply};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

/// Timeout for connecting to a peer and authenticating.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Error of a call that a peer did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason} ({verdict}): {message}")]
pub struct FleetError {
    /// The reason, as counted in metrics.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// What happened.
    pub message: String,
}

impl FleetError {
    /// Creates an error for a peer that could not be reached; nothing was sent.
    pub fn unreachable(message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Self { reason: RefusalReason::Unreachable, verdict: RunVerdict::NotRun, message }
    }

    /// Creates an error for a connection that broke after the call was sent.
    pub fn connection_lost(message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Self { reason: RefusalReason::ConnectionLost, verdict: RunVerdict::MayHaveRun, message }
    }
}

struct FrameReceiver {
    frames: mpsc::Sender<AnswerFrame>,
}

impl frame_sink::Server for FrameReceiver {
    async fn frames(
        self: CapabilityRc<Self>,
        params: frame_sink::FramesParams,
        _results: frame_sink::FramesResults,
    ) -> Result<(), Error> {
        for reader in params.get()?.get_frames()? {
            let frame = read_frame(reader)?;
            self.frames.send(frame).await.map_err(failed)?;
        }
        Ok(())
    }
}

/// An authenticated connection to a peer.
#[derive(Clone)]
pub struct FleetPeer {
    node: node::Client,
    alive: Rc<Cell<bool>>,
    close: Rc<Notify>,
}

impl fmt::Debug for FleetPeer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetPeer").field("alive", &self.alive.get()).finish_non_exhaustive()
    }
}

impl FleetPeer {
    /// Connects and authenticates with the key. If this fails, nothing but the key was sent.
    pub async fn connect(address: &str, key: &SharedSecret) -> Result<Self, FleetError> {
        match tokio::time::timeout(CONNECT_TIMEOUT, Self::connect_without_timeout(address, key)).await {
            Ok(connected) => connected,
            Err(_elapsed) => Err(FleetError::unreachable(format!("{address}: no connection in time"))),
        }
    }

    async fn connect_without_timeout(address: &str, key: &SharedSecret) -> Result<Self, FleetError> {
        let stream = TcpStream::connect(address).await.map_err(FleetError::unreachable)?;
        let traffic = ControlTraffic::default();
        let network = vat_network(stream, &traffic, Side::Client, MessageLimit::OFFERS);
        let mut system = RpcSystem::new(Box::new(network), None);
        let login: login::Client = system.bootstrap(Side::Server);
        let alive = Rc::new(Cell::new(true));
        let ended = Rc::clone(&alive);
        let close = Rc::new(Notify::new());
        let closing = Rc::clone(&close);
        tokio::task::spawn_local(async move {
            // The reason does not matter here: every pending call fails with its own error.
            tokio::select! {
                _ended = system => {}
                () = closing.notified() => {}
            }
            ended.set(false);
        });
        let mut request = login.login_request();
        request.get().set_key(key.expose());
        let response = request.send().promise.await.map_err(FleetError::unreachable)?;
        let results = response.get().map_err(FleetError::unreachable)?;
        let node = results.get_node().map_err(FleetError::unreachable)?;
        Ok(Self { node, alive, close })
    }

    /// Whether the connection is up, as far as this side knows.
    pub fn alive(&self) -> bool {
        self.alive.get()
    }

    /// Closes the connection; pending calls fail.
    pub fn close(&self) {
        self.close.notify_one();
    }

    /// Offers a request; frames of a streamed answer are sent to `frames`. Dropping the future cancels the offer.
    pub async fn offer(
        &self,
        offer: &RequestOffer,
        frames: mpsc::Sender<AnswerFrame>,
    ) -> Result<(OfferOutcome, LoadReport), FleetError> {
        if !self.alive() {
            return Err(FleetError::unreachable("the connection is closed"));
        }
        let mut request = self.node.offer_request();
        write_offer(request.get().init_offer(), offer);
        request.get().set_sink(new_client(FrameReceiver { frames }));
        let response = request.send().promise.await.map_err(FleetError::connection_lost)?;
        let outcome = response
            .get()
            .and_then(super::fleet_capnp::node::offer_results::Reader::get_outcome)
            .map_err(FleetError::connection_lost)?;
        read_outcome(outcome).map_err(FleetError::connection_lost)
    }

    /// Requests tickets, without running a request.
    pub async fn mint(
        &self,
        team: &TeamName,
        count: u32,
        deadline: UnixDeadline,
    ) -> Result<Vec<TicketText>, FleetError> {
        let mut request = self.node.mint_request();
        request.get().set_team(team.as_str());
        request.get().set_count(count);
        request.get().set_deadline(deadline.0.0);
        let response = request.send().promise.await.map_err(FleetError::unreachable)?;
        let results = response.get().map_err(FleetError::unreachable)?;
        let list = results.get_tickets().map_err(FleetError::unreachable)?;
        let ticket = |text: capnp::Result<capnp::text::Reader<'_>>| {
            let text = text.map_err(FleetError::unreachable)?;
            let text = text.to_str().map_err(FleetError::unreachable)?;
            text.parse().map_err(FleetError::unreachable)
        };
        list.iter().map(ticket).collect()
    }

    /// Asks the peer to introduce itself; an entry returns `None`.
    pub async fn hello(&self) -> Result<Option<TargetHello>, FleetError> {
        let response = self.node.hello_request().send().promise.await.map_err(FleetError::unreachable)?;
        let results = response.get().map_err(FleetError::unreachable)?;
        let bytes = results.get_hello().map_err(FleetError::unreachable)?;
        serde_json::from_slice(bytes).map_err(FleetError::unreachable)
    }

    /// Sends a leader's message to the rank next to the peer and returns the rank's reply.
    pub async fn send_leader_message(&self, message: LeaderMessage) -> Result<Option<RankReply>, FleetError> {
        let mut request = self.node.rank_request();
        let bytes = serde_json::to_vec(&message).map_err(FleetError::unreachable)?;
        request.get().set_message(&bytes);
        let response = request.send().promise.await.map_err(FleetError::connection_lost)?;
        let reply = response
            .get()
            .and_then(node::rank_results::Reader::get_reply)
            .map_err(FleetError::connection_lost)?;
        serde_json::from_slice(reply).map_err(FleetError::connection_lost)
    }

    /// Settles teams' limits with their coordinator.
    pub async fn settle(&self, asks: &[SettleAsk]) -> Result<Vec<SettleTold>, FleetError> {
        let mut request = self.node.settle_request();
        write_settle_asks(request.get().init_asks(asks.len() as u32), asks);
        let response = request.send().promise.await.map_err(FleetError::unreachable)?;
        let results = response.get().map_err(FleetError::unreachable)?;
        Ok(read_settle_told(results.get_told().map_err(FleetError::unreachable)?))
    }

    /// Exchanges digests with the peer.
    pub async fn gossip(&self, own: &FleetDigest) -> Result<FleetDigest, FleetError> {
        let mut request = self.node.gossip_request();
        write_digest(request.get().init_digest(), own).map_err(FleetError::unreachable)?;
        let response = request.send().promise.await.map_err(FleetError::unreachable)?;
        let digest = response.get().and_then(node::gossip_results::Reader::get_digest);
        read_digest(digest.map_err(FleetError::unreachable)?).map_err(FleetError::unreachable)
    }
}
