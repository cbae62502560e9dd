//! The offers and back-end duties of a target.

use crate::config::ConfigHub;
use kameo::actor::{ActorRef, Spawn as _};
use porthoist_caller::ConfigPort as _;
use porthoist_core::{RingReceiver, TargetName, TeamName};
use porthoist_metrics::MetricsHub;
use porthoist_target::offers::{QueueTick, SetDraining};
use porthoist_target::{BackendRunner, OffersActor, OffersSettings, RunJob, run_to_end};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Messages that wait for the actor at most.
const MAILBOX: usize = 8192;
/// The queue looks for passed deadlines so often, in milliseconds.
const TICK_MILLIS: u64 = 20;
/// The engine's pace is asked for so often, in milliseconds.
const PACE_MILLIS: u64 = 1000;

/// Runs the actor: hands its reference over, then ticks for ever.
pub async fn run_offers(settings: OffersSettings, handover: oneshot::Sender<ActorRef<OffersActor>>) {
    let actor = OffersActor::spawn_with_mailbox(OffersActor::new(settings), kameo::mailbox::bounded(MAILBOX));
    if handover.send(actor.clone()).is_err() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MILLIS)).await;
        if actor.tell(QueueTick(None)).await.is_err() {
            return;
        }
    }
}

/// Keeps the drain flag as the table's row and the signal to stop have it.
pub async fn follow_drain(
    actor: ActorRef<OffersActor>,
    target: TargetName,
    config: Arc<ConfigHub>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut revision = config.subscribe();
    loop {
        let row_drains = config.target(&target).is_some_and(|row| row.drain);
        let draining = row_drains || *stopping.borrow_and_update();
        if actor.tell(SetDraining(draining)).await.is_err() {
            return;
        }
        tokio::select! {
            _ = revision.changed() => {}
            changed = stopping.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Starts jobs as they come and reports their ends.
pub async fn run_backend(
    mut jobs: RingReceiver<RunJob>,
    runner: Arc<dyn BackendRunner>,
    actor: ActorRef<OffersActor>,
    metrics: Arc<MetricsHub>,
) {
    tokio::task::spawn_local(follow_pace(Arc::clone(&runner), actor.clone()));
    while let Some(job) = jobs.receive().await {
        metrics.run();
        tokio::task::spawn_local(run_to_end(job, Arc::clone(&runner), actor.clone()));
    }
}

async fn follow_pace(runner: Arc<dyn BackendRunner>, actor: ActorRef<OffersActor>) {
    loop {
        if let Ok(pace) = runner.pace().await {
            let _told = actor.tell(QueueTick(Some(pace))).await;
        }
        tokio::time::sleep(Duration::from_millis(PACE_MILLIS)).await;
    }
}

/// Team weights from the configuration in force.
pub fn team_weights(config: Arc<ConfigHub>) -> porthoist_target::offers::TeamWeights {
    Arc::new(move |team: &TeamName| config.team(team).map_or(1.0, |row| row.weight))
}
