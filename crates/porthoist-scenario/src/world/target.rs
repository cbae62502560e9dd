//! A target: the daemon's offers actor in one life, beside a back end that outlives it.

use super::{TEAM, VirtualClock};
use crate::backend::{FakeBackend, FakeRunner};
use crate::script::TargetSpec;
use kameo::actor::{ActorRef, Spawn as _};
use porthoist_core::{
    ClockSource, IncarnationId, LoadReport, RingReceiver, TicketKey, TicketText, UnixDeadline, UnixMillis,
    bounded_ring,
};
use porthoist_policy::admission::AdmissionSettings;
use porthoist_target::offers::{MintTickets, QueueTick, SetDraining};
use porthoist_target::{BackendRunner, OffersActor, OffersSettings, RunJob, run_to_end};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const QUEUE: usize = 64;
const TICK: Duration = Duration::from_millis(20);
const TICKET_MILLIS: u64 = 3_600_000;

/// One life of the process.
struct TargetLife {
    actor: ActorRef<OffersActor>,
    load: watch::Receiver<LoadReport>,
    tasks: Vec<JoinHandle<()>>,
}

/// The target.
pub struct TargetNode {
    /// What the script says.
    pub spec: TargetSpec,
    /// The back end.
    pub backend: Arc<FakeBackend>,
    clock: Arc<VirtualClock>,
    life: Mutex<Option<TargetLife>>,
    lives: watch::Sender<u64>,
    paused: watch::Sender<bool>,
}

impl std::fmt::Debug for TargetNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetNode").field("name", &self.spec.name).finish_non_exhaustive()
    }
}

impl TargetNode {
    /// Starts the back end and the first life.
    pub async fn start(spec: TargetSpec, began: Instant, clock: Arc<VirtualClock>) -> Self {
        let backend = FakeBackend::new(spec.step, began);
        let node = Self {
            spec,
            backend,
            clock,
            life: Mutex::new(None),
            lives: watch::Sender::new(0),
            paused: watch::Sender::new(false),
        };
        node.restart().await;
        node
    }

    fn life(&self) -> MutexGuard<'_, Option<TargetLife>> {
        self.life.lock().expect("no task panics while it holds the life")
    }

    /// The actor of the present life.
    pub fn actor(&self) -> Option<ActorRef<OffersActor>> {
        self.life().as_ref().map(|life| life.actor.clone())
    }

    /// Its load.
    pub fn load(&self) -> LoadReport {
        self.life().as_ref().map(|life| *life.load.borrow()).unwrap_or_default()
    }

    /// Follows the lives: a change means that connections broke.
    pub fn lives(&self) -> watch::Receiver<u64> {
        self.lives.subscribe()
    }

    /// Follows whether the process is paused.
    pub fn paused(&self) -> watch::Receiver<bool> {
        self.paused.subscribe()
    }

    /// Pauses the process, or lets it go on.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// The process dies.
    pub fn kill(&self) {
        if let Some(life) = self.life().take() {
            life.actor.kill();
            for task in life.tasks {
                task.abort();
            }
        }
        self.lives.send_modify(|count| *count += 1);
    }

    /// A new life without memory.
    pub async fn restart(&self) {
        self.kill();
        let number = *self.lives.borrow();
        let (jobs, receiver) = bounded_ring(QUEUE * 2);
        let load = watch::Sender::new(LoadReport::default());
        let load_seen = load.subscribe();
        let mut key = [0; 32];
        key[0] = number as u8;
        let name = self.spec.name.parse().expect("scenario names are valid");
        let settings = OffersSettings::builder()
            .target(name)
            .incarnation(IncarnationId(number + 1))
            .key(TicketKey::new(key))
            .admission(AdmissionSettings::builder().slots(self.spec.slots).queue(QUEUE).build())
            .clock(Arc::<VirtualClock>::clone(&self.clock))
            .jobs(jobs)
            .weights(Arc::new(|_team| 1.0))
            .load(load)
            .build();
        let actor = OffersActor::spawn(OffersActor::new(settings));
        actor.wait_for_startup().await;
        let runner = Arc::new(FakeRunner(Arc::clone(&self.backend)));
        let tasks = vec![
            tokio::spawn(tick(actor.clone())),
            tokio::spawn(run_jobs(receiver, runner, actor.clone(), self.paused())),
        ];
        *self.life() = Some(TargetLife { actor, load: load_seen, tasks });
        self.lives.send_modify(|count| *count += 1);
    }

    /// Sets the drain flag.
    pub async fn drain(&self, draining: bool) {
        if let Some(actor) = self.actor() {
            let _told = actor.tell(SetDraining(draining)).await;
        }
    }

    /// Mints a ticket.
    pub async fn mint(&self, now: UnixMillis) -> Option<TicketText> {
        let team = TEAM.parse().expect("the name is valid");
        let deadline = UnixDeadline::after(now, TICKET_MILLIS);
        let minted = self.actor()?.ask(MintTickets { team, count: 1, deadline }).await;
        minted.ok()?.into_iter().next()
    }

    /// The present time.
    pub fn now(&self) -> UnixMillis {
        self.clock.now()
    }
}

async fn tick(actor: ActorRef<OffersActor>) {
    loop {
        tokio::time::sleep(TICK).await;
        if actor.tell(QueueTick(None)).await.is_err() {
            return;
        }
    }
}

/// Runs jobs; when the process dies the requests at the back end go on, as they would, but nobody hears of them.
async fn run_jobs(
    mut jobs: RingReceiver<RunJob>,
    runner: Arc<FakeRunner>,
    actor: ActorRef<OffersActor>,
    mut paused: watch::Receiver<bool>,
) {
    while let Some(job) = jobs.receive().await {
        if paused.wait_for(|paused| !*paused).await.is_err() {
            return;
        }
        let runner: Arc<dyn BackendRunner> = Arc::<FakeRunner>::clone(&runner);
        tokio::spawn(run_to_end(job, runner, actor.clone()));
    }
}
