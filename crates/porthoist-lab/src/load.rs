//! Load on running processes: the same requests through an entry and directly to the engine, in
//! turns.

use crate::report::{Distribution, rounded};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use porthoist_http::HttpClient;
use serde::Serialize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Requests to send, their rate and the duration.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// URL of the requests.
    pub url: String,
    /// Value of the team header, for requests to an entry; empty for none.
    pub team: String,
    /// Body of the requests.
    pub body: String,
    /// Requests per second; 0 sends as fast as the connections allow.
    pub rate: u64,
    /// Number of connections.
    pub connections: usize,
    /// Duration in milliseconds.
    pub millis: u64,
}

/// Result of one load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadResult {
    /// Number of requests answered with status 200.
    pub answered: u64,
    /// Number of requests answered with another status.
    pub refused: u64,
    /// Number of requests without an answer.
    pub failed: u64,
    /// Answers per second.
    pub answers_per_second: f64,
    /// Median latency in milliseconds, from the planned send time.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_ms: f64,
}

#[derive(Debug, Default)]
struct LoadCounts {
    latency: Distribution,
    answered: u64,
    refused: u64,
    failed: u64,
}

/// Sends the load and waits until it ends. Latency counts from the planned send time, so that a
/// stall includes the requests it delayed.
pub async fn send(plan: &LoadPlan) -> LoadResult {
    let total = Arc::new(Mutex::new(LoadCounts::default()));
    let started_at = Instant::now();
    let ends_at = started_at + Duration::from_millis(plan.millis);
    let mut workers = Vec::with_capacity(plan.connections);
    for worker in 0..plan.connections {
        let (plan, total) = (plan.clone(), Arc::clone(&total));
        workers.push(tokio::spawn(run_worker(plan, worker, started_at, ends_at, total)));
    }
    for worker in workers {
        // The panic message of a worker is already printed.
        drop(worker.await);
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let total = total.lock().expect("no worker panics while it counts");
    LoadResult {
        answered: total.answered,
        refused: total.refused,
        failed: total.failed,
        answers_per_second: rounded(total.answered as f64 / seconds),
        p50_ms: rounded(total.latency.value_at(0.5)),
        p99_ms: rounded(total.latency.value_at(0.99)),
        p999_ms: rounded(total.latency.value_at(0.999)),
    }
}

async fn run_worker(
    plan: LoadPlan,
    worker: usize,
    started_at: Instant,
    ends_at: Instant,
    total: Arc<Mutex<LoadCounts>>,
) {
    let client = HttpClient::new();
    let interval = if plan.rate == 0 { 0.0 } else { plan.connections as f64 / plan.rate as f64 };
    let offset = interval * worker as f64 / plan.connections as f64;
    let mut counts = LoadCounts::default();
    let mut sent = 0_u32;
    loop {
        let planned_at = match plan.rate {
            0 => Instant::now(),
            _ => started_at + Duration::from_secs_f64(offset + interval * f64::from(sent)),
        };
        if planned_at >= ends_at {
            break;
        }
        tokio::time::sleep_until(planned_at.into()).await;
        sent += 1;
        let measured_from = if plan.rate == 0 { Instant::now() } else { planned_at };
        match client.fetch(request(&plan)).await {
            Ok(answer) if answer.status() == 200 => {
                counts.answered += 1;
                counts.latency.add(measured_from.elapsed().as_secs_f64() * 1000.0);
            }
            Ok(_refused) => counts.refused += 1,
            Err(_error) => counts.failed += 1,
        }
    }
    let mut total = total.lock().expect("no worker panics while it counts");
    total.answered += counts.answered;
    total.refused += counts.refused;
    total.failed += counts.failed;
    total.latency.merge(&counts.latency);
}

fn request(plan: &LoadPlan) -> Request<Full<Bytes>> {
    let builder = Request::post(&plan.url).header("content-type", "application/json");
    let builder = if plan.team.is_empty() { builder } else { builder.header("porthoist-team", &plan.team) };
    builder.body(Full::new(Bytes::from(plan.body.clone()))).expect("the plan's URL was checked")
}
