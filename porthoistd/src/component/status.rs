//! Readiness checks of the load balancer, and metrics.

use hyper::{Request, StatusCode};
use porthoist_core::ClockSource;
use porthoist_http::{HttpResponse, ServerSettings, serve_until, text_response};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::freshness::FreshnessRule;
use porthoist_proxy::{ControlState, CrashSnapshot};
use slog::{Logger, info};
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Path of the metrics endpoint.
pub const METRICS_PATH: &str = "/metrics";

/// Serves the readiness and metrics endpoints.
#[derive(Debug)]
pub struct StatusServer {
    /// Path of the readiness endpoint.
    pub ready_path: &'static str,
    /// Last known services and targets.
    pub state: watch::Receiver<ControlState>,
    /// Set when the process starts to shut down.
    pub stopping: watch::Receiver<bool>,
    /// Rule on whether requests need proof that the configuration is the newest.
    pub proof: FreshnessRule,
    /// Crashes attributed to requests.
    pub crashes: watch::Receiver<CrashSnapshot>,
    /// Source of the current time.
    pub clock: Arc<dyn ClockSource>,
    /// Metrics of this process.
    pub metrics: Arc<MetricsHub>,
    /// The logger.
    pub logger: Logger,
    /// The last answer, so that only changes are logged.
    pub last_ready: AtomicBool,
}

impl StatusServer {
    /// Serves both listeners forever.
    pub async fn run(self: Arc<Self>, ready: StdListener, metrics: StdListener) {
        let never = watch::Sender::new(false);
        let checks = Arc::clone(&self);
        let ready = serve_until(
            TcpListener::from_std(ready).expect("the listener is bound and non-blocking"),
            ServerSettings::for_operators(),
            never.subscribe(),
            move |request| {
                let answer = checks.ready(&request);
                async move { answer }
            },
        );
        tokio::join!(ready, serve_metrics(metrics, Arc::clone(&self.metrics)));
    }

    fn ready<B>(&self, request: &Request<B>) -> HttpResponse {
        if request.uri().path() != self.ready_path {
            return text_response(StatusCode::NOT_FOUND, "not found\n");
        }
        let problem = self.problem();
        let ready = problem.is_none();
        if self.last_ready.swap(ready, Ordering::Relaxed) != ready {
            info!(self.logger, "readiness changed"; "event" => "readiness", "ready" => ready, "problem" => problem);
        }
        match problem {
            None => text_response(StatusCode::OK, "ready\n"),
            Some(problem) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{problem}\n")),
        }
    }

    fn problem(&self) -> Option<&'static str> {
        if *self.stopping.borrow() {
            return Some("stopping");
        }
        let state = self.state.borrow();
        if state.routes.is_none() {
            return Some("no configuration");
        }
        if !state.targets_listed {
            return Some("no targets listed");
        }
        // A starting process must not send requests that other entries know to crash targets.
        if !self.crashes.borrow().listed {
            return Some("no deaths listed");
        }
        let may_run = self.proof.may_run(&state.routes_proof, self.clock.now());
        (!may_run).then_some("the configuration may be out of date")
    }
}

/// Serves metrics forever.
pub async fn serve_metrics(listener: StdListener, metrics: Arc<MetricsHub>) {
    let never = watch::Sender::new(false);
    let listener = TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
    serve_until(listener, ServerSettings::for_operators(), never.subscribe(), move |request| {
        let answer = if request.uri().path() == METRICS_PATH {
            text_response(StatusCode::OK, metrics.to_prometheus_text())
        } else {
            text_response(StatusCode::NOT_FOUND, "not found\n")
        };
        async move { answer }
    })
    .await;
}
