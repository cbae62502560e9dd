//! Stand-in of the platform: table, object store and host list.

use crate::{broken_response, empty_response, query_parameter, read_json};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use porthoist_http::body::typed_response;
use porthoist_http::{HttpResponse, json_response, text_response};
use porthoist_table::wire::TransactRequest;
use porthoist_table::{ChangeFeed, HostEntry, HostFeed, ItemRead, TableWrite, TransactAnswer, WriteResult};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Faults of the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call fails with status 503.
    pub outage: bool,
    /// Delay of every call in milliseconds.
    pub delay_ms: u64,
    /// Number of transactions that take effect but get no response.
    pub lose_answers: u32,
    /// Whether the host list stays as it was when this was set.
    pub freeze_hosts: bool,
}

#[derive(Debug, Clone)]
struct TableItem {
    version: u64,
    value: Option<Value>,
}

#[derive(Debug, Default)]
struct PlatformState {
    revision: u64,
    items: BTreeMap<String, TableItem>,
    objects: BTreeMap<String, Bytes>,
    hosts: BTreeMap<String, HostEntry>,
    hosts_revision: u64,
    frozen_hosts: Option<Vec<HostEntry>>,
    faults: PlatformFaults,
    calls: u64,
}

/// A platform in memory. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformState {
    fn meets_precondition(&self, write: &TableWrite) -> bool {
        let version = self.items.get(&write.key).filter(|item| item.value.is_some()).map(|item| item.version);
        write.unconditional || version == write.if_version
    }

    fn conflict(&self, write: &TableWrite) -> WriteResult {
        let item = self.items.get(&write.key).filter(|item| item.value.is_some());
        WriteResult::Conflict {
            version: item.map(|item| item.version),
            value: item.and_then(|item| item.value.clone()),
        }
    }

    fn apply(&mut self, write: &TableWrite) -> WriteResult {
        let item = TableItem { version: self.revision, value: write.value.clone() };
        self.items.insert(write.key.clone(), item);
        WriteResult::Written { version: self.revision }
    }

    fn transact(&mut self, request: &TransactRequest) -> TransactAnswer {
        let all_met = request.writes.iter().all(|write| self.meets_precondition(write));
        let any_met = request.writes.iter().any(|write| self.meets_precondition(write));
        let committed = if request.atomic { all_met } else { any_met };
        if committed {
            self.revision += 1;
        }
        let mut results = Vec::with_capacity(request.writes.len());
        for write in &request.writes {
            let effective = committed && self.meets_precondition(write);
            results.push(if effective { self.apply(write) } else { self.conflict(write) });
        }
        TransactAnswer { revision: self.revision, committed, results }
    }

    fn changes(&self, prefix: &str, since: u64) -> ChangeFeed {
        let matches = |(key, item): &(&String, &TableItem)| {
            key.starts_with(prefix) && item.version > since && (since > 0 || item.value.is_some())
        };
        let read = |(key, item): (&String, &TableItem)| ItemRead {
            key: key.clone(),
            version: item.version,
            value: item.value.clone(),
        };
        let items = self.items.iter().filter(matches).map(read).collect();
        ChangeFeed { since, revision: self.revision, items }
    }

    fn item(&self, key: &str) -> Option<ItemRead> {
        let item = self.items.get(key).filter(|item| item.value.is_some())?;
        Some(ItemRead { key: key.to_owned(), version: item.version, value: item.value.clone() })
    }

    fn host_feed(&self, known: u64) -> HostFeed {
        let revision = self.hosts_revision;
        HostFeed { revision, hosts: (known != revision).then(|| self.host_list()), unreadable: 0 }
    }

    fn host_list(&self) -> Vec<HostEntry> {
        self.frozen_hosts.clone().unwrap_or_else(|| self.hosts.values().cloned().collect())
    }
}

impl PlatformStandin {
    /// Creates a platform whose table contains `items`, pairs of key and value.
    pub fn with_items(items: Vec<(String, Value)>) -> Self {
        let standin = Self::default();
        let write =
            |(key, value)| TableWrite { key, if_version: None, unconditional: true, value: Some(value) };
        let writes = items.into_iter().map(write).collect();
        standin.state().transact(&TransactRequest { atomic: true, writes });
        standin
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.state();
        state.frozen_hosts = None;
        state.hosts_revision += 1;
        if faults.freeze_hosts {
            state.frozen_hosts = Some(state.host_list());
        }
        state.faults = faults;
    }

    /// Number of calls so far, without fault settings.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        if path.starts_with("/standin/") {
            return self.control_response(&path, request).await;
        }
        let faults = {
            let mut state = self.state();
            state.calls += 1;
            state.faults.clone()
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/table/transact") => self.transact(request).await,
            (Method::GET, "/v1/table/item") => {
                let key = query_parameter(&request, "key").unwrap_or_default();
                json_response(StatusCode::OK, &self.state().item(&key))
            }
            (Method::GET, "/v1/table/changes") => self.changes_response(&request),
            (Method::GET, "/v1/hosts") => {
                let known =
                    query_parameter(&request, "known").and_then(|text| text.parse().ok()).unwrap_or(0);
                json_response(StatusCode::OK, &self.state().host_feed(known))
            }
            (Method::POST, "/v1/hosts") => self.register(request).await,
            (method, path) if path.starts_with("/v1/objects/") => {
                self.object_response(method, path, request).await
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn control_response(&self, path: &str, request: Request<Incoming>) -> HttpResponse {
        if path != "/standin/faults" {
            return text_response(StatusCode::NOT_FOUND, "no such switch");
        }
        match read_json(request).await {
            Ok(faults) => {
                self.set_faults(faults);
                empty_response()
            }
            Err(response) => response,
        }
    }

    async fn transact(&self, request: Request<Incoming>) -> HttpResponse {
        let request: TransactRequest = match read_json(request).await {
            Ok(request) => request,
            Err(response) => return response,
        };
        let mut state = self.state();
        let answer = state.transact(&request);
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return broken_response();
        }
        json_response(StatusCode::OK, &answer)
    }

    fn changes_response(&self, request: &Request<Incoming>) -> HttpResponse {
        let prefix = query_parameter(request, "prefix").unwrap_or_default();
        let since = query_parameter(request, "since").and_then(|text| text.parse().ok()).unwrap_or(0);
        json_response(StatusCode::OK, &self.state().changes(&prefix, since))
    }

    async fn register(&self, request: Request<Incoming>) -> HttpResponse {
        let entry: HostEntry = match read_json(request).await {
            Ok(entry) => entry,
            Err(response) => return response,
        };
        let mut state = self.state();
        let old = state.hosts.insert(entry.name.to_string(), entry.clone());
        if old != Some(entry) {
            state.hosts_revision += 1;
        }
        drop(state);
        empty_response()
    }

    async fn object_response(&self, method: Method, path: &str, request: Request<Incoming>) -> HttpResponse {
        let name = path.trim_start_matches("/v1/objects/").to_owned();
        if method == Method::PUT {
            let Ok(body) = request.into_body().collect().await else {
                return broken_response();
            };
            self.state().objects.insert(name, body.to_bytes());
            return empty_response();
        }
        match self.state().objects.get(&name) {
            Some(bytes) => typed_response(StatusCode::OK, "application/octet-stream", bytes.clone()),
            None => text_response(StatusCode::NOT_FOUND, "no such object"),
        }
    }
}
