//! Runs the offers actor and the back-end jobs of a target.

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

/// Capacity of the actor's mailbox.
const MAILBOX_CAPACITY: usize = 8192;
/// Interval in milliseconds at which the queue drops requests past their deadline.
const QUEUE_TICK_MILLIS: u64 = 20;
/// Interval in milliseconds at which the engine's pace is read.
const PACE_INTERVAL_MILLIS: u64 = 1000;

/// Starts the actor, hands over its reference, and ticks its queue until it stops.
pub async fn run_offers(settings: OffersSettings, handover: oneshot::Sender<ActorRef<OffersActor>>) {
    let actor = OffersActor::spawn_with_mailbox(
        OffersActor::new(settings),
        kameo::mailbox::bounded(MAILBOX_CAPACITY),
    );
    if handover.send(actor.clone()).is_err() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_millis(QUEUE_TICK_MILLIS)).await;
        if actor.tell(QueueTick(None)).await.is_err() {
            return;
        }
    }
}

/// Sets the actor's drain flag from the target's table row and the stop signal.
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

/// Runs each job in its own task and reports its end to the actor.
pub async fn run_backend(
    mut jobs: RingReceiver<RunJob>,
    runner: Arc<dyn BackendRunner>,
    actor: ActorRef<OffersActor>,
    metrics: Arc<MetricsHub>,
) {
    tokio::task::spawn_local(follow_pace(Arc::clone(&runner), actor.clone()));
    while let Some(job) = jobs.receive().await {
        metrics.record_run();
        tokio::task::spawn_local(run_to_end(job, Arc::clone(&runner), actor.clone()));
    }
}

async fn follow_pace(runner: Arc<dyn BackendRunner>, actor: ActorRef<OffersActor>) {
    loop {
        if let Ok(pace) = runner.pace().await {
            let _sent = actor.tell(QueueTick(Some(pace))).await;
        }
        tokio::time::sleep(Duration::from_millis(PACE_INTERVAL_MILLIS)).await;
    }
}

/// Looks up team weights in the configuration in force; the default is 1.
pub fn team_weights(config: Arc<ConfigHub>) -> porthoist_target::offers::TeamWeights {
    Arc::new(move |team: &TeamName| config.team(team).map_or(1.0, |row| row.weight))
}
