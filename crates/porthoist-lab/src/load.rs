//! Load on running processes: the same requests through an entry and straight to the engine, in turns.

use crate::report::{Distribution, rounded};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use porthoist_http::HttpClient;
use serde::Serialize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What is asked for, how often and how long.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// URL of the request.
    pub url: String,
    /// Team header, for an entry.
    pub team: String,
    /// Body.
    pub body: String,
    /// Requests a second; 0 sends as fast as the connections allow.
    pub rate: u64,
    /// Connections.
    pub connections: usize,
    /// How long, in milliseconds.
    pub millis: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadResult {
    /// Requests answered with 200.
    pub answered: u64,
    /// Requests refused, with their status.
    pub refused: u64,
    /// Requests without an answer.
    pub failed: u64,
    /// Answers a second.
    pub answers_per_second: f64,
    /// Latency at the median in milliseconds, from the planned time.
    pub p50_ms: f64,
    /// At the 99th percentile.
    pub p99_ms: f64,
    /// At the 99.9th percentile.
    pub p999_ms: f64,
}

#[derive(Debug, Default)]
struct Tally {
    latency: Distribution,
    answered: u64,
    refused: u64,
    failed: u64,
}

/// Sends the load and waits for its end. Latency counts from the planned time, so that a stall is not left out.
pub async fn send(plan: &LoadPlan) -> LoadResult {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let began = Instant::now();
    let ends = began + Duration::from_millis(plan.millis);
    let mut workers = Vec::with_capacity(plan.connections);
    for worker in 0..plan.connections {
        let (plan, tally) = (plan.clone(), Arc::clone(&tally));
        workers.push(tokio::spawn(work(plan, worker, began, ends, tally)));
    }
    for worker in workers {
        // A worker that panicked has already said so.
        drop(worker.await);
    }
    let seconds = began.elapsed().as_secs_f64();
    let tally = tally.lock().expect("no worker panics while it counts");
    LoadResult {
        answered: tally.answered,
        refused: tally.refused,
        failed: tally.failed,
        answers_per_second: rounded(tally.answered as f64 / seconds),
        p50_ms: rounded(tally.latency.at(0.5)),
        p99_ms: rounded(tally.latency.at(0.99)),
        p999_ms: rounded(tally.latency.at(0.999)),
    }
}

async fn work(plan: LoadPlan, worker: usize, began: Instant, ends: Instant, tally: Arc<Mutex<Tally>>) {
    let client = HttpClient::new();
    let gap = if plan.rate == 0 { 0.0 } else { plan.connections as f64 / plan.rate as f64 };
    let offset = gap * worker as f64 / plan.connections as f64;
    let mut own = Tally::default();
    let mut sent = 0_u32;
    loop {
        let planned = match plan.rate {
            0 => Instant::now(),
            _ => began + Duration::from_secs_f64(offset + gap * f64::from(sent)),
        };
        if planned >= ends {
            break;
        }
        tokio::time::sleep_until(planned.into()).await;
        sent += 1;
        let start = if plan.rate == 0 { Instant::now() } else { planned };
        match client.fetch(request(&plan)).await {
            Ok(answer) if answer.status() == 200 => {
                own.answered += 1;
                own.latency.add(start.elapsed().as_secs_f64() * 1000.0);
            }
            Ok(_refused) => own.refused += 1,
            Err(_lost) => own.failed += 1,
        }
    }
    let mut all = tally.lock().expect("no worker panics while it counts");
    all.answered += own.answered;
    all.refused += own.refused;
    all.failed += own.failed;
    all.latency.merge(&own.latency);
}

fn request(plan: &LoadPlan) -> Request<Full<Bytes>> {
    let builder = Request::post(&plan.url).header("content-type", "application/json");
    let builder = if plan.team.is_empty() { builder } else { builder.header("porthoist-team", &plan.team) };
    builder.body(Full::new(Bytes::from(plan.body.clone()))).expect("the plan's URL was checked")
}
