//! The fleet side of an entry: connections to targets, offers, and gossip with other entries.

pub mod gossip;
pub mod settlement;
pub mod targets;
pub mod view;

use crate::component::routing::{EntriesMessage, LoadMessage, RoutingActor};
use crate::component::spawn_task;
use crate::config::ConfigHub;
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

/// Capacity of the command queue; commands beyond it are refused as overload.
const RING_CAPACITY: usize = 8192;
/// Maximum number of targets one entry stays connected to; beyond it the entry picks a subset by rendezvous
/// hashing.
pub const TARGET_SUBSET: usize = 128;
/// Maximum number of entries of its own availability zone that one entry connects to. Team limits are settled
/// among them.
pub const ZONE_PEERS: usize = 128;
/// Maximum number of entries, of any zone, that one entry connects to besides [`ZONE_PEERS`].
pub const PEER_SUBSET: usize = 8;
/// Interval at which the live entries are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// A command from another thread.
#[derive(Debug)]
pub enum FleetCommand {
    /// Offers a request to a target.
    Offer {
        /// The target.
        target: TargetName,
        /// The request.
        offer: Box<RequestOffer>,
        /// Receives the streamed frames.
        frames: mpsc::Sender<AnswerFrame>,
        /// Receives the outcome; closing it abandons the offer.
        reply: oneshot::Sender<Result<OfferOutcome, OfferFailure>>,
    },
    /// Requests tickets from a target.
    Mint {
        /// The target.
        target: TargetName,
        /// The team that may use the tickets.
        team: TeamName,
        /// Number of tickets.
        count: u32,
        /// When the tickets expire.
        deadline: UnixDeadline,
        /// Receives the tickets.
        reply: oneshot::Sender<Result<Vec<TicketText>, OfferFailure>>,
    },
}

/// Sends commands to the fleet thread.
#[derive(Debug)]
pub struct FleetHandle(Mutex<RingSender<FleetCommand>>);

/// Creates the command queue and returns both ends.
pub fn fleet_ring() -> (FleetHandle, RingReceiver<FleetCommand>) {
    let (sender, receiver) = bounded_ring(RING_CAPACITY);
    (FleetHandle(Mutex::new(sender)), receiver)
}

const OVERLOADED: OfferFailure =
    OfferFailure { reason: RefusalReason::Overloaded, verdict: RunVerdict::NotRun };
const CONNECTION_LOST: OfferFailure =
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
            answer.await.unwrap_or(Err(CONNECTION_LOST))
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
            answer.await.unwrap_or(Err(CONNECTION_LOST))
        })
    }
}

/// State shared by all tasks of [`EntryFleet`].
#[derive(Debug)]
pub struct FleetShared {
    /// This entry's name.
    pub node: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Key that authenticates this process to its peers.
    pub key: SharedSecret,
    /// The configuration in force.
    pub config: Arc<ConfigHub>,
    /// The routing actor.
    pub routing: ActorRef<RoutingActor>,
    /// Fleet state shown to operators.
    pub view: Arc<FleetView>,
    /// Source of the current time.
    pub clock: Arc<dyn ClockSource>,
    /// Metrics of this process.
    pub metrics: Arc<MetricsHub>,
    /// The host list of the platform.
    pub hosts: watch::Sender<Vec<HostEntry>>,
    /// The logger.
    pub logger: Logger,
}

/// Connections to targets and entries, and the tasks that maintain them.
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
    /// Creates the fleet side. It spawns local tasks, so it must run on a `LocalSet`.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self { shared, peers: Rc::default(), followed: Rc::default() }
    }

    /// Serves commands until the sending end is dropped.
    pub async fn run(self, mut commands: RingReceiver<FleetCommand>) {
        spawn_task(self.clone().follow_hosts());
        spawn_task(self.clone().count_entries());
        spawn_task(self.clone().settle_limits());
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
        // The routing actor runs as long as the process.
        let _sent = self.shared.routing.tell(message).await;
        let Some(ended) = outcome else { return };
        let answer = ended.map(|(outcome, _load)| outcome).map_err(|error| offer_failure(&error));
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
        drop(reply.send(minted.map_err(|error| offer_failure(&error))));
    }

    /// Runs one task for each followed host of the host list.
    async fn follow_hosts(self) {
        let mut hosts = self.shared.hosts.subscribe();
        loop {
            let list = hosts.borrow_and_update().clone();
            self.shared.view.add_hosts(&list);
            for host in self.followed_hosts(list) {
                if self.followed.borrow_mut().insert(host.name.clone()) {
                    spawn_task(self.clone().follow_host(host));
                }
            }
            if hosts.changed().await.is_err() {
                return;
            }
        }
    }

    /// The hosts this entry connects to: a deterministic subset if there are many.
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
        let zone_entries = list.iter().filter(own_zone).map(|host| host.name.as_str());
        let zone_entries = zone_entries.filter(|name| *name != self.shared.node.as_str());
        for name in rendezvous_subset(key, zone_entries, ZONE_PEERS) {
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

    /// The current host list entry of `name`.
    pub(crate) fn listed_host(&self, name: &TargetName) -> Option<HostEntry> {
        self.shared.hosts.borrow().iter().find(|host| host.name == *name).cloned()
    }

    async fn count_entries(self) {
        loop {
            let (zone, all) = self.shared.view.live_entries(&self.shared.zone);
            // The routing actor runs as long as the process.
            let _sent = self.shared.routing.tell(EntriesMessage { zone, all }).await;
            tokio::time::sleep(COUNT_INTERVAL).await;
        }
    }
}

fn offer_failure(error: &FleetError) -> OfferFailure {
    OfferFailure { reason: error.reason, verdict: error.verdict }
}
