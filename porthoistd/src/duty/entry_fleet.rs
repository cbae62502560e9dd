//! The fleet duty of an entry: connections to targets, offers, and gossip with other entries.

pub mod gossip;
pub mod settlement;
pub mod targets;
pub mod view;

use crate::config::ConfigHub;
use crate::duty::routing::{EntriesMessage, LoadMessage, RoutingActor};
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use parking_lot::Mutex;
use porthoist_caller::{OfferFailure, OfferPort};
use porthoist_core::secret::SharedSecret;
use porthoist_core::{
    AnswerFrame, ClockSource, OfferOutcome, RefusalReason, RequestOffer, RingReceiver, RingSender,
    RunVerdict, TargetName, TeamName, TicketText, UnixDeadline, ZoneName, bounded_ring,
};
use porthoist_fleet::{FleetError, FleetPeer};
use porthoist_metrics::MetricsHub;
use porthoist_table::{HostEntry, HostRole};
use slog::Logger;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use view::FleetView;

/// Commands that wait at most; more are refused as overload.
const RING: usize = 8192;
/// Targets that one entry keeps connections to at most; beyond that it takes a subset by rendezvous.
pub const TARGET_SUBSET: usize = 128;
/// Entries of its own availability zone that one entry talks to at most; their limits are settled among them.
pub const ZONE_PEERS: usize = 128;
/// Entries of other zones that one entry gossips with at most.
pub const PEER_SUBSET: usize = 8;
/// The list of live entries is counted so often.
const COUNT_TIME: Duration = Duration::from_secs(1);

/// What other duties ask of this one.
#[derive(Debug)]
pub enum FleetCommand {
    /// Offer a request.
    Offer {
        /// The target.
        target: TargetName,
        /// The request.
        offer: Box<RequestOffer>,
        /// Where streamed frames go.
        frames: mpsc::Sender<AnswerFrame>,
        /// Where the outcome goes; closing it gives the offer up.
        reply: oneshot::Sender<Result<OfferOutcome, OfferFailure>>,
    },
    /// Ask for tickets.
    Mint {
        /// The target.
        target: TargetName,
        /// Who may use them.
        team: TeamName,
        /// How many.
        count: u32,
        /// When they end.
        deadline: UnixDeadline,
        /// Where they go.
        reply: oneshot::Sender<Result<Vec<TicketText>, OfferFailure>>,
    },
}

/// The callers' way to this duty.
#[derive(Debug)]
pub struct FleetHandle(Mutex<RingSender<FleetCommand>>);

/// Both ends of the ring of commands.
pub fn fleet_ring() -> (FleetHandle, RingReceiver<FleetCommand>) {
    let (sender, receiver) = bounded_ring(RING);
    (FleetHandle(Mutex::new(sender)), receiver)
}

const OVERLOADED: OfferFailure =
    OfferFailure { reason: RefusalReason::Overloaded, verdict: RunVerdict::NotRun };
const LOST: OfferFailure =
    OfferFailure { reason: RefusalReason::ConnectionLost, verdict: RunVerdict::MayHaveRun };

impl FleetHandle {
    fn send(&self, command: FleetCommand) -> Result<(), OfferFailure> {
        let sent = self.0.lock().try_send(command);
        sent.map_err(|_full| OVERLOADED)
    }
}

impl OfferPort for FleetHandle {
    fn offer(
        &self,
        target: TargetName,
        offer: RequestOffer,
        frames: mpsc::Sender<AnswerFrame>,
    ) -> BoxFuture<'static, Result<OfferOutcome, OfferFailure>> {
        let (reply, answer) = oneshot::channel();
        let sent = self.send(FleetCommand::Offer { target, offer: Box::new(offer), frames, reply });
        Box::pin(async move {
            sent?;
            answer.await.unwrap_or(Err(LOST))
        })
    }

    fn mint(
        &self,
        target: TargetName,
        team: TeamName,
        count: u32,
        deadline: UnixDeadline,
    ) -> BoxFuture<'static, Result<Vec<TicketText>, OfferFailure>> {
        let (reply, answer) = oneshot::channel();
        let sent = self.send(FleetCommand::Mint { target, team, count, deadline, reply });
        Box::pin(async move {
            sent?;
            answer.await.unwrap_or(Err(LOST))
        })
    }
}

/// What every task of the duty shares.
#[derive(Debug)]
pub struct FleetShared {
    /// This entry's name.
    pub node: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Shown to peers.
    pub key: SharedSecret,
    /// Configuration.
    pub config: Arc<ConfigHub>,
    /// Routing.
    pub routing: ActorRef<RoutingActor>,
    /// What operators see.
    pub view: Arc<FleetView>,
    /// The time.
    pub clock: Arc<dyn ClockSource>,
    /// Counters.
    pub metrics: Arc<MetricsHub>,
    /// The host list.
    pub hosts: watch::Sender<Vec<HostEntry>>,
    /// Logs.
    pub logger: Logger,
}

/// The duty on its thread.
#[derive(Clone)]
pub struct EntryFleet {
    pub(crate) shared: Arc<FleetShared>,
    pub(crate) peers: Rc<RefCell<HashMap<TargetName, FleetPeer>>>,
    followed: Rc<RefCell<HashSet<TargetName>>>,
}

impl std::fmt::Debug for EntryFleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryFleet").field("node", &self.shared.node).finish_non_exhaustive()
    }
}

impl EntryFleet {
    /// The duty; it must live on a `LocalSet`.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self { shared, peers: Rc::default(), followed: Rc::default() }
    }

    /// Serves commands until the callers' end is gone.
    pub async fn run(self, mut commands: RingReceiver<FleetCommand>) {
        tokio::task::spawn_local(self.clone().follow_hosts());
        tokio::task::spawn_local(self.clone().count_entries());
        tokio::task::spawn_local(self.clone().settle_limits());
        while let Some(command) = commands.receive().await {
            match command {
                FleetCommand::Offer { target, offer, frames, reply } => {
                    tokio::task::spawn_local(self.clone().offer(target, offer, frames, reply));
                }
                FleetCommand::Mint { target, team, count, deadline, reply } => {
                    tokio::task::spawn_local(self.clone().mint(target, team, count, deadline, reply));
                }
            }
        }
    }

    fn peer(&self, target: &TargetName) -> Result<FleetPeer, FleetError> {
        let peers = self.peers.borrow();
        let alive = peers.get(target).filter(|peer| peer.alive());
        alive.cloned().ok_or_else(|| FleetError::unreachable("not connected"))
    }

    async fn offer(
        self,
        target: TargetName,
        offer: Box<RequestOffer>,
        frames: mpsc::Sender<AnswerFrame>,
        mut reply: oneshot::Sender<Result<OfferOutcome, OfferFailure>>,
    ) {
        let attempt = offer.attempt;
        let outcome = match self.peer(&target) {
            Ok(peer) => tokio::select! {
                outcome = peer.offer(&offer, frames) => Some(outcome),
                () = reply.closed() => None,
            },
            Err(error) => Some(Err(error)),
        };
        let failed = matches!(&outcome, Some(Err(_)));
        let load = outcome.as_ref().and_then(|ended| ended.as_ref().ok()).map(|(_outcome, load)| *load);
        let message = LoadMessage { target, load, done: Some(attempt), unreachable: failed };
        // Routing ends only with the process.
        let _told = self.shared.routing.tell(message).await;
        let Some(ended) = outcome else { return };
        let answer = ended.map(|(outcome, _load)| outcome).map_err(|error| failure(&error));
        drop(reply.send(answer));
    }

    async fn mint(
        self,
        target: TargetName,
        team: TeamName,
        count: u32,
        deadline: UnixDeadline,
        reply: oneshot::Sender<Result<Vec<TicketText>, OfferFailure>>,
    ) {
        let minted = match self.peer(&target) {
            Ok(peer) => peer.mint(&team, count, deadline).await,
            Err(error) => Err(error),
        };
        drop(reply.send(minted.map_err(|error| failure(&error))));
    }

    /// Keeps a task for each host on the list that this entry follows.
    async fn follow_hosts(self) {
        let mut hosts = self.shared.hosts.subscribe();
        loop {
            let list = hosts.borrow_and_update().clone();
            self.shared.view.listed(&list);
            for host in self.followed_hosts(list) {
                if self.followed.borrow_mut().insert(host.name.clone()) {
                    tokio::task::spawn_local(self.clone().follow_host(host));
                }
            }
            if hosts.changed().await.is_err() {
                return;
            }
        }
    }

    /// The hosts that this entry keeps a connection to: a deterministic subset where there are many.
    fn followed_hosts(&self, list: Vec<HostEntry>) -> Vec<HostEntry> {
        use porthoist_policy::membership::rendezvous_subset;
        let key = porthoist_core::offer::AnswerDigest::of(self.shared.node.as_str().as_bytes());
        let names = |role| {
            let of_role = list.iter().filter(move |host| host.role == role && host.name != self.shared.node);
            of_role.map(|host| host.name.as_str())
        };
        let mut chosen: HashSet<String> = HashSet::new();
        for name in rendezvous_subset(key, names(HostRole::Target), TARGET_SUBSET) {
            chosen.insert(name.to_owned());
        }
        let own_zone = |host: &&HostEntry| host.zone == self.shared.zone && host.role == HostRole::Entry;
        let near = list.iter().filter(own_zone).map(|host| host.name.as_str());
        let near = near.filter(|name| *name != self.shared.node.as_str());
        for name in rendezvous_subset(key, near, ZONE_PEERS) {
            chosen.insert(name.to_owned());
        }
        for name in rendezvous_subset(key, names(HostRole::Entry), PEER_SUBSET) {
            chosen.insert(name.to_owned());
        }
        list.into_iter().filter(|host| chosen.contains(host.name.as_str())).collect()
    }

    async fn follow_host(self, host: HostEntry) {
        let name = host.name.clone();
        match host.role {
            HostRole::Target => self.clone().follow_target(host).await,
            HostRole::Entry => self.clone().follow_entry(host).await,
        }
        self.followed.borrow_mut().remove(&name);
    }

    /// The present line of the host list for a name.
    pub(crate) fn listed(&self, name: &TargetName) -> Option<HostEntry> {
        self.shared.hosts.borrow().iter().find(|host| host.name == *name).cloned()
    }

    async fn count_entries(self) {
        loop {
            let (zone, all) = self.shared.view.live_entries(&self.shared.zone);
            // Routing ends only with the process.
            let _told = self.shared.routing.tell(EntriesMessage { zone, all }).await;
            tokio::time::sleep(COUNT_TIME).await;
        }
    }
}

fn failure(error: &FleetError) -> OfferFailure {
    OfferFailure { reason: error.reason, verdict: error.verdict }
}
