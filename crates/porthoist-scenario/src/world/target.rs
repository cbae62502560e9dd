//! A target: the daemon's offers actor, which can be killed and restarted, and a back end that keeps running.

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

/// Capacity of the admission queue.
const QUEUE_LENGTH: usize = 64;
/// Interval of queue ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Lifetime of a ticket in milliseconds.
const TICKET_MILLIS: u64 = 3_600_000;

/// State of one run of the target process.
struct TargetProcess {
    actor: ActorRef<OffersActor>,
    load: watch::Receiver<LoadReport>,
    tasks: Vec<JoinHandle<()>>,
}

/// A simulated target host.
pub struct TargetNode {
    /// Settings from the script.
    pub spec: TargetSpec,
    /// Back end of the target.
    pub backend: Arc<FakeBackend>,
    clock: Arc<VirtualClock>,
    process: Mutex<Option<TargetProcess>>,
    restarts: watch::Sender<u64>,
    paused: watch::Sender<bool>,
}

impl std::fmt::Debug for TargetNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetNode").field("name", &self.spec.name).finish_non_exhaustive()
    }
}

impl TargetNode {
    /// Starts the back end and the process.
    pub async fn start(spec: TargetSpec, started: Instant, clock: Arc<VirtualClock>) -> Self {
        let backend = FakeBackend::new(spec.step, started);
        let node = Self {
            spec,
            backend,
            clock,
            process: Mutex::new(None),
            restarts: watch::Sender::new(0),
            paused: watch::Sender::new(false),
        };
        node.restart().await;
        node
    }

    fn process(&self) -> MutexGuard<'_, Option<TargetProcess>> {
        self.process.lock().expect("no task panics while it holds the process")
    }

    /// Returns the actor of the running process.
    pub fn actor(&self) -> Option<ActorRef<OffersActor>> {
        self.process().as_ref().map(|process| process.actor.clone())
    }

    /// Returns the reported load.
    pub fn load(&self) -> LoadReport {
        self.process().as_ref().map(|process| *process.load.borrow()).unwrap_or_default()
    }

    /// Returns a receiver that changes when the process is killed or restarted, which breaks its connections.
    pub fn restarts(&self) -> watch::Receiver<u64> {
        self.restarts.subscribe()
    }

    /// Returns a receiver that tells whether the process is paused.
    pub fn paused(&self) -> watch::Receiver<bool> {
        self.paused.subscribe()
    }

    /// Pauses or resumes the process.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(process) = self.process().take() {
            process.actor.kill();
            for task in process.tasks {
                task.abort();
            }
        }
        self.restarts.send_modify(|count| *count += 1);
    }

    /// Restarts the process with empty state.
    pub async fn restart(&self) {
        self.kill();
        let number = *self.restarts.borrow();
        let (jobs, receiver) = bounded_ring(QUEUE_LENGTH * 2);
        let load = watch::Sender::new(LoadReport::default());
        let load_receiver = load.subscribe();
        let mut key = [0; 32];
        key[0] = number as u8;
        let name = self.spec.name.parse().expect("scenario names are valid");
        let settings = OffersSettings::builder()
            .target(name)
            .incarnation(IncarnationId(number + 1))
            .key(TicketKey::new(key))
            .admission(AdmissionSettings::builder().slots(self.spec.slots).queue(QUEUE_LENGTH).build())
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
        *self.process() = Some(TargetProcess { actor, load: load_receiver, tasks });
        self.restarts.send_modify(|count| *count += 1);
    }

    /// Sets the drain flag.
    pub async fn drain(&self, draining: bool) {
        if let Some(actor) = self.actor() {
            let _sent = actor.tell(SetDraining(draining)).await;
        }
    }

    /// Mints a ticket.
    pub async fn mint(&self, now: UnixMillis) -> Option<TicketText> {
        let team = TEAM.parse().expect("the name is valid");
        let deadline = UnixDeadline::after(now, TICKET_MILLIS);
        let minted = self.actor()?.ask(MintTickets { team, count: 1, deadline }).await;
        minted.ok()?.into_iter().next()
    }

    /// Returns the current time.
    pub fn now(&self) -> UnixMillis {
        self.clock.now()
    }
}

async fn tick(actor: ActorRef<OffersActor>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if actor.tell(QueueTick(None)).await.is_err() {
            return;
        }
    }
}

/// Runs jobs. If the process dies, requests continue at the back end, but their results are lost.
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
