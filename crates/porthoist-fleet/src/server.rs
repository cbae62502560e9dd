//! The server side: a peer authenticates with the shared key, then offers requests, asks for tickets and gossips.

use crate::convert::{
    read_digest, read_offer, read_settle_asks, write_digest, write_frames, write_outcome, write_settle_told,
};
use crate::digest::FleetDigest;
use crate::fleet_capnp::{frame_sink, login, node};
use crate::rank::ControlTraffic;
use capnp::Error;
use capnp::capability::Rc as CapabilityRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, new_client};
use futures::future::LocalBoxFuture;
use porthoist_core::offer::TargetHello;
use porthoist_core::secret::SharedSecret;
use porthoist_core::{
    AnswerFrame, LoadReport, OfferOutcome, RequestOffer, TeamName, TicketText, UnixDeadline,
};
use porthoist_http::{SocketPeer, configure_socket};
use porthoist_policy::limits::coordinator::{SettleAsk, SettleTold};
use porthoist_policy::switch::{LeaderMessage, RankReply};
use std::fmt;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

/// Pending answer of a handler.
pub type HandlerFuture<T> = LocalBoxFuture<'static, T>;

/// Sends the frames of a streamed answer to the peer.
#[derive(Clone)]
pub struct FrameSender(frame_sink::Client);

impl fmt::Debug for FrameSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FrameSender")
    }
}

impl FrameSender {
    /// Sends frames and waits until the peer has received them.
    pub async fn send(&self, frames: &[AnswerFrame]) -> Result<(), Error> {
        let mut request = self.0.frames_request();
        write_frames(request.get().init_frames(frames.len() as u32), frames);
        request.send().promise.await?;
        Ok(())
    }
}

/// Handles the calls of a process's peers.
pub trait FleetHandler {
    /// Runs an offer to its end; the future is dropped if the peer cancels the offer.
    fn offer(&self, offer: RequestOffer, sender: FrameSender) -> HandlerFuture<(OfferOutcome, LoadReport)>;
    /// Mints tickets, possibly fewer than asked for.
    fn mint(&self, team: TeamName, count: u32, deadline: UnixDeadline) -> HandlerFuture<Vec<TicketText>>;
    /// Introduces this process; an entry returns `None`.
    fn hello(&self) -> HandlerFuture<Option<TargetHello>>;
    /// Handles a peer's digest and returns this process's own.
    fn gossip(&self, digest: FleetDigest) -> HandlerFuture<FleetDigest>;
    /// Handles a leader's message to the rank next to this process; `None` if there is no rank or it does not answer.
    fn handle_leader_message(&self, message: LeaderMessage) -> HandlerFuture<Option<Option<RankReply>>>;
    /// Settles the limits of teams that this process coordinates; a team without limits is left out.
    fn settle(&self, asks: Vec<SettleAsk>) -> HandlerFuture<Vec<SettleTold>>;
}

struct LoginServer {
    key: SharedSecret,
    handler: Rc<dyn FleetHandler>,
}

impl login::Server for LoginServer {
    async fn login(
        self: CapabilityRc<Self>,
        params: login::LoginParams,
        mut results: login::LoginResults,
    ) -> Result<(), Error> {
        if !self.key.matches(params.get()?.get_key()?) {
            return Err(Error::failed("login refused".to_owned()));
        }
        let server = NodeServer { handler: Rc::clone(&self.handler) };
        results.get().set_node(new_client(server));
        Ok(())
    }
}

struct NodeServer {
    handler: Rc<dyn FleetHandler>,
}

impl node::Server for NodeServer {
    async fn offer(
        self: CapabilityRc<Self>,
        params: node::OfferParams,
        mut results: node::OfferResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let offer = read_offer(reader.get_offer()?)?;
        let sender = FrameSender(reader.get_sink()?);
        let (outcome, load) = self.handler.offer(offer, sender).await;
        write_outcome(results.get().init_outcome(), &outcome, &load);
        Ok(())
    }

    async fn mint(
        self: CapabilityRc<Self>,
        params: node::MintParams,
        mut results: node::MintResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let team = reader.get_team()?.to_str()?.parse().map_err(failed)?;
        let deadline = UnixDeadline(porthoist_core::UnixMillis(reader.get_deadline()));
        let tickets = self.handler.mint(team, reader.get_count(), deadline).await;
        let mut list = results.get().init_tickets(tickets.len() as u32);
        for (index, ticket) in tickets.iter().enumerate() {
            list.set(index as u32, ticket.to_string());
        }
        Ok(())
    }

    async fn hello(
        self: CapabilityRc<Self>,
        _params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> Result<(), Error> {
        let hello = self.handler.hello().await;
        let bytes = serde_json::to_vec(&hello).map_err(failed)?;
        results.get().set_hello(&bytes);
        Ok(())
    }

    async fn gossip(
        self: CapabilityRc<Self>,
        params: node::GossipParams,
        mut results: node::GossipResults,
    ) -> Result<(), Error> {
        let digest = read_digest(params.get()?.get_digest()?)?;
        let own = self.handler.gossip(digest).await;
        write_digest(results.get().init_digest(), &own)
    }

    async fn rank(
        self: CapabilityRc<Self>,
        params: node::RankParams,
        mut results: node::RankResults,
    ) -> Result<(), Error> {
        let message = serde_json::from_slice(params.get()?.get_message()?).map_err(failed)?;
        let reply = self
            .handler
            .handle_leader_message(message)
            .await
            .ok_or_else(|| failed("the rank does not answer"))?;
        let bytes = serde_json::to_vec(&reply).map_err(failed)?;
        results.get().set_reply(&bytes);
        Ok(())
    }

    async fn settle(
        self: CapabilityRc<Self>,
        params: node::SettleParams,
        mut results: node::SettleResults,
    ) -> Result<(), Error> {
        let asks = read_settle_asks(params.get()?.get_asks()?);
        let told = self.handler.settle(asks).await;
        write_settle_told(results.get().init_told(told.len() as u32), &told);
        Ok(())
    }
}

pub(crate) fn failed(error: impl fmt::Display) -> Error {
    Error::failed(error.to_string())
}

/// Serves peers on the current `LocalSet` until the future is dropped.
pub async fn serve_fleet(listener: TcpListener, key: SharedSecret, handler: Rc<dyn FleetHandler>) {
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let server = LoginServer { key: key.clone(), handler: Rc::clone(&handler) };
        let login: login::Client = new_client(server);
        let network = vat_network(stream, &ControlTraffic::default(), Side::Server, MessageLimit::OFFERS);
        let system = RpcSystem::new(Box::new(network), Some(login.client));
        tokio::task::spawn_local(async move {
            // Connections end for ordinary reasons; each call on them fails with its own error.
            drop(system.await);
        });
    }
}

/// Maximum size in bytes of a message of a peer. A larger one is refused at its head, before it takes memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MessageLimit(usize);

impl MessageLimit {
    /// Offers and their answers, with the largest answer of a back end twice, as reading counts too.
    pub(crate) const OFFERS: Self = Self(32 * 1024 * 1024);
    /// Maps, loads and pieces of tables.
    pub(crate) const RANKS: Self = Self(4 * 1024 * 1024);
}

pub(crate) fn vat_network(
    stream: TcpStream,
    traffic: &ControlTraffic,
    side: Side,
    limit: MessageLimit,
) -> VatNetwork<impl futures::AsyncRead + Unpin + use<>> {
    // Without these options, latency is higher and a dead peer is noticed later.
    drop(configure_socket(&stream, SocketPeer::Control));
    let (reader, writer) = stream.into_split();
    let reader = futures::io::BufReader::new(traffic.count_stream(reader).compat());
    let writer = futures::io::BufWriter::new(traffic.count_stream(writer).compat_write());
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(limit.0 / size_of::<capnp::Word>()));
    VatNetwork::new(reader, writer, side, options)
}
