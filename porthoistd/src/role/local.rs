//! The local role: entry, targets and stand-ins as threads of one process, to try porthoist out.

use super::{entry, run_until_stopped, target};
use crate::component::spawn_thread;
use crate::settings::DaemonSettings;
use porthoist_http::{ServerSettings, serve_until};
use porthoist_standin::engine::{EngineFaults, EngineStandin};
use porthoist_standin::platform::PlatformStandin;
use porthoist_standin::service::ServiceStandin;
use serde_json::{Value, json};
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time between two tokens of the stand-in engine, in milliseconds.
const STEP_MILLIS: u64 = 20;
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Initial rows of the local table.
pub fn default_rows() -> Vec<(String, Value)> {
    let row = |cells: Value| json!({ "cells": cells, "edit": "start" });
    vec![
        ("config/team/demo".to_owned(), row(json!({ "kind": "team", "name": "demo", "rate": "1000/s" }))),
        ("config/service/demo-model".to_owned(), row(json!({ "kind": "service", "name": "demo-model" }))),
        (
            "config/service/echo".to_owned(),
            row(json!({ "kind": "service", "name": "echo", "mode": "plain" })),
        ),
    ]
}

/// Runs all processes until it is stopped.
pub fn run(settings: DaemonSettings, logger: &Logger) -> io::Result<()> {
    run_until_stopped(logger, |stopping| start(settings, logger, stopping))
}

/// Starts all processes; the returned thread ends when the entry has shut down gracefully.
fn start(
    settings: DaemonSettings,
    logger: &Logger,
    stopping: watch::Sender<bool>,
) -> io::Result<JoinHandle<()>> {
    let platform = PlatformStandin::with_items(default_rows());
    let engine = EngineStandin::new(true);
    engine.set_faults(EngineFaults { step_ms: STEP_MILLIS, ..EngineFaults::default() });
    let service = ServiceStandin::default();
    let platform_address =
        start_standin("platform-standin", &stopping, move |request| platform.clone().handle(request))?;
    let engine_address =
        start_standin("engine-standin", &stopping, move |request| engine.clone().handle(request))?;
    let service_address =
        start_standin("service-standin", &stopping, move |request| service.clone().handle(request))?;

    let mut settings = settings;
    settings.platform = format!("http://{platform_address}");
    for (name, services, backend) in
        [("demo-engine", "demo-model", engine_address), ("demo-echo", "echo", service_address)]
    {
        let mut own = settings.clone();
        own.name = name.parse().map_err(io::Error::other)?;
        own.services = vec![services.parse().map_err(io::Error::other)?];
        own.backend = format!("http://{backend}");
        own.operator_listen = ANY_PORT;
        own.fleet_listen = ANY_PORT;
        target::start(own, logger, stopping.clone())?;
    }
    let token = String::from_utf8_lossy(settings.operator_token.expose()).into_owned();
    let (addresses, callers) = entry::start(settings, logger, stopping)?;
    println!("porthoist listens for callers on http://{}", addresses.callers);
    println!("Stream an answer:");
    println!(
        "  curl -N http://{}/v1/completions -H 'Porthoist-Team: demo' -d '{{\"model\":\"demo-model\",\"prompt\":\"hello\",\"stream\":true}}'",
        addresses.callers
    );
    println!("Change a row:");
    println!(
        "  curl http://{}/v1/table -H 'Authorization: Bearer {token}' -d '{{\"edit\":\"1\",\"rows\":[{{\"cells\":{{\"kind\":\"team\",\"name\":\"desk\",\"rate\":\"5/s\"}},\"if_version\":null}}]}}'",
        addresses.operator
    );
    Ok(callers)
}

fn start_standin<F, R>(name: &str, stopping: &watch::Sender<bool>, handler: F) -> io::Result<SocketAddr>
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = porthoist_http::HttpResponse> + Send + 'static,
{
    let (listener, address) = super::bind(ANY_PORT)?;
    spawn_thread(name, stopping, move || async move {
        let (_keep, never) = watch::channel(false);
        if let Ok(listener) = TcpListener::from_std(listener) {
            serve_until(listener, ServerSettings::default(), never, handler).await;
        }
    })?;
    Ok(address)
}
