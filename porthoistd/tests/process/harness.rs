//! Starts stand-ins and daemons as processes and talks to them.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use porthoist_http::HttpClient;
use porthoist_standin::journal::JournalRun;
use serde_json::{Value, json};
use std::io::{BufRead as _, BufReader};
use std::process::{Child, Command, Output, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Only a hang takes longer.
pub const TEST_TIMEOUT: Duration = Duration::from_mins(1);
pub const FLEET_KEY: &str = "test-fleet-key-0123456789";
pub const TOKEN: &str = "test-operator-token-0123";
/// Time in milliseconds for which the callers' listener stays open after the stop signal.
pub const STOP_LAG_MS: &str = "300";

/// A child process that is killed at the end of the test.
pub struct Process {
    child: Child,
    /// Lines of the form NAME ADDRESS printed at startup.
    addresses: Vec<(String, String)>,
}

impl Process {
    fn start(mut command: Command, lines: usize) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the program starts");
        let mut reader = BufReader::new(child.stdout.take().expect("its output is piped"));
        let mut addresses = Vec::new();
        while addresses.len() < lines {
            let mut line = String::new();
            assert!(reader.read_line(&mut line).unwrap() > 0, "the program ended early: {command:?}");
            let (name, address) = line.trim().split_once(' ').expect("NAME ADDRESS");
            addresses.push((name.to_owned(), address.to_owned()));
        }
        Self { child, addresses }
    }

    pub fn address(&self, name: &str) -> &str {
        let named = self.addresses.iter().find(|(known, _)| known == name);
        &named.expect("the address was printed").1
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id().cast_signed()), signal).unwrap();
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process exits on its own.
    pub async fn wait_for_exit(&mut self) -> std::process::ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the process does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

fn built_binary(package: &str, binary: &str) -> std::path::PathBuf {
    // Uses the profile of the tests, so that nothing is built twice.
    let build = escargot::CargoBuild::new().package(package).bin(binary).current_release();
    build.run().expect("the binary builds").path().to_owned()
}

pub fn standin_path() -> &'static std::path::Path {
    static PATH: OnceLock<std::path::PathBuf> = OnceLock::new();
    PATH.get_or_init(|| built_binary("porthoist-standin", "porthoist-standin"))
}

pub fn tool_path() -> &'static std::path::Path {
    static PATH: OnceLock<std::path::PathBuf> = OnceLock::new();
    PATH.get_or_init(|| built_binary("porthoist-cli", "porthoist"))
}

pub fn standin(arguments: &[&str]) -> Process {
    let mut command = Command::new(standin_path());
    command.args(arguments);
    Process::start(command, 1)
}

/// A separate loopback address for each process, so that no other listener or connection can take the port of
/// a dead process before it restarts.
fn own_address() -> std::net::Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let run = (std::process::id() % 200) as u8;
    std::net::Ipv4Addr::new(127, 1 + run, high, low)
}

fn daemon(platform: &str, arguments: &[&str], lines: usize) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_porthoistd"));
    let address = format!("{}:0", own_address());
    for flag in ["--fleet-listen", "--callers-listen", "--operator-listen"] {
        if !arguments.contains(&flag) {
            command.args([flag, &address]);
        }
    }
    command
        .args(["--platform", platform, "--fleet-key", FLEET_KEY, "--operator-token", TOKEN, "--log", "json"])
        .args(["--log-level", "error"])
        .args(arguments);
    Process::start(command, lines)
}

/// Initial table rows of every test.
fn initial_rows() -> Value {
    let row = |cells: Value| json!({ "cells": cells, "edit": "start" });
    json!({
        "config/team/border": row(json!({"kind": "team", "name": "border", "rate": "100000/s", "concurrency": "10000"})),
        "config/team/slow": row(json!({"kind": "team", "name": "slow", "rate": "0/s"})),
        "config/team/guarded": row(json!({"kind": "team", "name": "guarded",
            "token": porthoist_core::secret::sha256_hex(b"caller-secret")})),
        "config/service/refunds": row(json!({"kind": "service", "name": "refunds", "mode": "model"})),
        "config/service/vouchers": row(json!({"kind": "service", "name": "vouchers", "mode": "plain"})),
    })
}

/// A target process and its back end.
pub struct TargetPair {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub backend: Process,
    pub daemon: Process,
}

/// Entries and targets in two zones, and the platform.
pub struct Fleet {
    pub platform: Process,
    pub entries: Vec<Process>,
    pub targets: Vec<TargetPair>,
    pub client: HttpClient,
    group: String,
}

/// The answer to a caller's request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    /// The body, and whether it was received to its end.
    pub body: String,
    pub whole: bool,
}

impl Answer {
    pub fn verdict(&self) -> &str {
        self.headers.get("porthoist-verdict").map_or("", |value| value.to_str().unwrap())
    }

    pub fn reason(&self) -> String {
        let problem: Value = serde_json::from_str(&self.body).unwrap_or_default();
        problem["reason"].as_str().unwrap_or("").to_owned()
    }
}

pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: String,
}

impl<'a> Call<'a> {
    pub fn post(path: &'a str, body: impl Into<String>) -> Self {
        let headers = vec![("porthoist-team", "border".to_owned())];
        Self { method: Method::POST, path, headers, body: body.into() }
    }

    pub fn header(mut self, name: &'a str, value: impl Into<String>) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.into()));
        self
    }

    fn request(&self, base: &str) -> Request<Full<Bytes>> {
        let mut builder =
            Request::builder().method(self.method.clone()).uri(format!("http://{base}{}", self.path));
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        builder.body(Full::new(Bytes::from(self.body.clone()))).unwrap()
    }
}

pub fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    json!({ "model": "refunds", "prompt": prompt, "max_tokens": tokens, "stream": stream }).to_string()
}

/// The words of a streamed completion.
pub fn stream_words(body: &str) -> Vec<String> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter(|data| *data != "[DONE]");
    events
        .map(|data| {
            serde_json::from_str::<Value>(data).unwrap()["choices"][0]["text"].as_str().unwrap().to_owned()
        })
        .collect()
}

/// The words that the stand-in engine answers.
pub fn expected_words(prompt: &str, tokens: u64) -> Vec<String> {
    (1..=tokens).map(|position| porthoist_standin::engine::answer_word(prompt, position).to_owned()).collect()
}

impl Fleet {
    pub async fn start(entries: usize, models: usize, services: usize) -> Self {
        Self::start_with(entries, models, services, "0").await
    }

    /// `step_ms` is the time between two tokens of the engines.
    pub async fn start_with(entries: usize, models: usize, services: usize, step_ms: &str) -> Self {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), initial_rows().to_string()).unwrap();
        let platform = standin(&["platform", "--items", file.path().to_str().unwrap()]);
        let mut fleet = Self {
            platform,
            entries: Vec::new(),
            targets: Vec::new(),
            client: HttpClient::new(),
            group: String::new(),
        };
        for index in 0..models {
            let backend = standin(&["engine", "--step-ms", step_ms]);
            fleet.add_target(&format!("model-{index}"), "refunds", index, backend);
        }
        for index in 0..services {
            fleet.add_target(&format!("plain-{index}"), "vouchers", index, standin(&["service"]));
        }
        for index in 0..entries {
            let entry = fleet.entry(index, &[]);
            fleet.entries.push(entry);
        }
        for index in 0..entries {
            fleet.wait_until_connected(index).await;
        }
        fleet
    }

    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.address("listening"))
    }

    pub fn entry(&self, index: usize, extra_arguments: &[&str]) -> Process {
        let (name, zone) = (format!("entry-{index}"), format!("zone-{}", index % 2));
        let mut arguments =
            vec!["--role", "entry", "--name", &name, "--zone", &zone, "--stop-lag-ms", STOP_LAG_MS];
        arguments.extend_from_slice(extra_arguments);
        daemon(&self.platform_url(), &arguments, 3)
    }

    fn target_daemon(
        &self,
        name: &str,
        zone: &str,
        service: &str,
        backend: &str,
        extra_arguments: &[&str],
    ) -> Process {
        let mut arguments = vec![
            "--role",
            "target",
            "--name",
            name,
            "--zone",
            zone,
            "--services",
            service,
            "--backend",
            backend,
        ];
        arguments.extend_from_slice(extra_arguments);
        daemon(&self.platform_url(), &arguments, 2)
    }

    fn add_target(&mut self, name: &str, service: &str, index: usize, backend: Process) {
        let zone = format!("zone-{}", index % 2);
        let url = format!("http://{}", backend.address("listening"));
        let daemon = self.target_daemon(name, &zone, service, &url, &[]);
        let (name, service) = (name.to_owned(), service.to_owned());
        self.targets.push(TargetPair { name, zone, service, backend, daemon });
    }

    /// Adds the ranks of a group, each a target process with its own engine.
    pub fn add_group(&mut self, ranks: usize) {
        let ports: Vec<_> =
            (0..ranks).map(|_| std::net::TcpListener::bind((own_address(), 0)).unwrap()).collect();
        let addresses: Vec<String> =
            ports.iter().map(|port| port.local_addr().unwrap().to_string()).collect();
        drop(ports);
        self.group = addresses.join(",");
        for (rank, address) in addresses.iter().enumerate() {
            let backend = standin(&["engine", "--group-step-ms", "5"]);
            let (name, zone, service) = (format!("rank-{rank}"), "zone-0".to_owned(), "refunds".to_owned());
            let url = format!("http://{}", backend.address("listening"));
            let extra_arguments = ["--group", &self.group, "--fleet-listen", address];
            let daemon = self.target_daemon(&name, &zone, &service, &url, &extra_arguments);
            self.targets.push(TargetPair { name, zone, service, backend, daemon });
        }
    }

    /// Restarts a target's process at its previous address with the same back end.
    pub fn restart_target(&mut self, index: usize) {
        let pair = &self.targets[index];
        let address = pair.daemon.address("fleet").to_owned();
        let url = format!("http://{}", pair.backend.address("listening"));
        let (name, zone, service) = (pair.name.clone(), pair.zone.clone(), pair.service.clone());
        let mut extra_arguments = vec!["--fleet-listen", &address];
        if name.starts_with("rank-") {
            extra_arguments.extend(["--group", &self.group]);
        }
        let daemon = self.target_daemon(&name, &zone, &service, &url, &extra_arguments);
        self.targets[index].daemon = daemon;
    }

    pub fn restart_entry(&mut self, index: usize) {
        let addresses =
            ["callers", "operator", "fleet"].map(|name| self.entries[index].address(name).to_owned());
        let [callers, operator, fleet] = &addresses;
        let extra_arguments =
            ["--callers-listen", callers, "--operator-listen", operator, "--fleet-listen", fleet];
        self.entries[index] = self.entry(index, &extra_arguments);
    }

    pub async fn status(&self, entry: usize) -> Value {
        self.operator_get(entry, "/v1/status").await
    }

    pub async fn operator_get(&self, entry: usize, path: &str) -> Value {
        let request = Request::builder()
            .uri(format!("http://{}{path}", self.entries[entry].address("operator")))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::new(Bytes::new()))
            .unwrap();
        // Uses a new connection, since the entry may have been restarted.
        let answer = HttpClient::new().fetch(request).await.unwrap();
        serde_json::from_slice(answer.body()).unwrap_or_default()
    }

    pub async fn metrics(&self, entry: usize) -> String {
        let url = format!("http://{}/metrics", self.entries[entry].address("operator"));
        let request = Request::builder().uri(url).body(Full::new(Bytes::new())).unwrap();
        String::from_utf8(self.client.fetch(request).await.unwrap().body().to_vec()).unwrap()
    }

    /// Value of a counter for `reason`, or 0 if it is missing.
    pub async fn counter(&self, entry: usize, name: &str, reason: &str) -> u64 {
        let label = format!("reason=\"{reason}\"");
        let text = self.metrics(entry).await;
        let line = text.lines().find(|line| line.starts_with(name) && line.contains(&label));
        line.and_then(|line| line.rsplit(' ').next()).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Waits until an entry reaches every target and entry.
    pub async fn wait_until_connected(&self, entry: usize) {
        let (targets, entries) = (self.targets.len(), self.entries.len() - 1);
        eventually("the entry reaches everyone", || async {
            let status = self.status(entry).await;
            let heard = |list: &Value| {
                list.as_array().map_or(0, |list| list.iter().filter(|one| one["heard"] == true).count())
            };
            heard(&status["targets"]) == targets && heard(&status["entries"]) == entries
        })
        .await;
    }

    pub async fn call(&self, entry: usize, call: Call<'_>) -> Answer {
        self.try_call(entry, &call).await.expect("the entry answers")
    }

    /// Sends a caller's request; `None` if the entry was unreachable or disconnected before the response
    /// head.
    pub async fn try_call(&self, entry: usize, call: &Call<'_>) -> Option<Answer> {
        let base = self.entries[entry].address("callers").to_owned();
        let response = self.client.send(call.request(&base)).await.ok()?;
        Some(read_answer(response).await)
    }

    /// Runs the operator command-line tool against an entry.
    pub fn tool(&self, entry: usize, arguments: &[&str]) -> Output {
        let operator = format!("http://{}", self.entries[entry].address("operator"));
        let mut command = Command::new(tool_path());
        command.args(["--operator", &operator, "--token", TOKEN]).args(arguments).env("NO_COLOR", "1");
        command.output().unwrap()
    }

    pub async fn set_faults(&self, address: &str, faults: Value) {
        // Uses a new connection: an idle one may just be closed by the other end.
        let (status, _answer): (_, Value) = HttpClient::new()
            .json(Method::POST, &format!("http://{address}/standin/faults"), Some(&faults))
            .await
            .unwrap();
        assert!(status.is_success());
    }

    pub async fn set_platform_faults(&self, faults: Value) {
        self.set_faults(self.platform.address("listening"), faults).await;
    }

    pub async fn journal(&self, target: usize) -> Vec<JournalRun> {
        let url = format!("http://{}/standin/journal", self.targets[target].backend.address("listening"));
        self.client.json(Method::GET, &url, None::<&()>).await.unwrap().1
    }

    /// How often the back ends ran a request with this body.
    pub async fn runs(&self, body: &str) -> usize {
        let mut runs = 0;
        for target in 0..self.targets.len() {
            runs += self.journal(target).await.iter().filter(|run| run.body == body).count();
        }
        runs
    }

    /// Requests tickets for a service through an entry.
    pub async fn tickets(&self, entry: usize, service: &str, count: u32) -> Vec<String> {
        let body = json!({ "service": service, "count": count }).to_string();
        let answer = self.call(entry, Call::post("/porthoist/v1/tickets", body)).await;
        let value: Value = serde_json::from_str(&answer.body).unwrap();
        serde_json::from_value(value["tickets"].clone())
            .unwrap_or_else(|_| panic!("no tickets: {}", answer.body))
    }
}

async fn read_answer(response: Response<hyper::body::Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let (mut bytes, mut whole) = (Vec::new(), true);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Err(_broken) => {
                whole = false;
                break;
            }
        }
    }
    Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8(bytes).unwrap(),
        whole,
    }
}

/// Waits until a condition holds.
pub async fn eventually<F, R>(what: &str, condition: F)
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}
