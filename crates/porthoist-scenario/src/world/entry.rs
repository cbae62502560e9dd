//! An entry: the daemon's request handler on ports with simulated failures.

use super::network::ScenarioNetwork;
use super::outcome::{SentOutcome, collect};
use super::ports::{EntryPort, EntryShared};
use super::target::TargetNode;
use super::{TEAM, VirtualClock};
use crate::backend::request_body;
use crate::platform::MemoryPlatform;
use crate::script::{EntrySpec, SendSpec};
use porthoist_caller::CallerPorts;
use porthoist_caller::delivery::AnswerDelivery;
use porthoist_caller::handler::RequestHandler;
use porthoist_caller::request::{CallerKey, CallerRequest};
use porthoist_core::offer::AnswerDigest;
use porthoist_core::{
    AttemptId, ClockSource, IncarnationId, RepeatPolicy, RequestId, RequestPriority, ServiceKind, TicketText,
    UnixDeadline,
};
use porthoist_metrics::MetricsHub;
use porthoist_policy::adoption::ConfigState;
use porthoist_policy::router::{RouteTarget, Router, RouterSettings};
use porthoist_policy::table::RowKey;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// Interval at which an entry reads the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(500);

type Outcomes = Arc<Mutex<BTreeMap<String, SentOutcome>>>;
type SharedParts = (Arc<ScenarioNetwork>, MemoryPlatform, Arc<VirtualClock>);

/// A simulated entry process.
#[derive(Debug)]
pub struct EntryNode {
    shared: Arc<EntryShared>,
    ports: CallerPorts,
    incarnation: IncarnationId,
    next_request: AtomicU64,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

fn services(targets: &BTreeMap<String, Arc<TargetNode>>) -> Vec<RouteTarget> {
    let route = |node: &Arc<TargetNode>| RouteTarget {
        name: node.spec.name.parse().expect("scenario names are valid"),
        zone: node.spec.zone.parse().expect("scenario names are valid"),
        services: vec![node.spec.service.parse().expect("scenario names are valid")],
        weight: 1.0,
        leaving: false,
    };
    targets.values().map(route).collect()
}

impl EntryNode {
    /// Starts an entry that can route to all targets.
    pub fn start(
        spec: &EntrySpec,
        common: SharedParts,
        targets: &BTreeMap<String, Arc<TargetNode>>,
    ) -> Arc<Self> {
        let (network, platform, clock) = common;
        let zone = spec.zone.parse().expect("scenario names are valid");
        let mut router = Router::new(RouterSettings::builder().zone(zone).build());
        for target in services(targets) {
            router.upsert(target);
        }
        let shared = Arc::new(EntryShared {
            name: spec.name.clone(),
            zone: spec.zone.clone(),
            network,
            platform,
            clock: Arc::clone(&clock),
            targets: targets.clone(),
            router: Mutex::new(router),
            config: Mutex::new(ConfigState::default()),
            paused: watch::Sender::new(false),
        });
        let ports = CallerPorts {
            routing: Arc::new(EntryPort(Arc::clone(&shared))),
            offers: Arc::new(EntryPort(Arc::clone(&shared))),
            claims: Arc::new(EntryPort(Arc::clone(&shared))),
            config: Arc::new(EntryPort(Arc::clone(&shared))),
            clock,
            metrics: Arc::new(MetricsHub::new().expect("a registry of its own has no clashes")),
            decisions: Arc::default(),
        };
        let incarnation = IncarnationId(AnswerDigest::of(spec.name.as_bytes()));
        let (next_request, tasks) = (AtomicU64::new(1), Mutex::default());
        Arc::new(Self { shared, ports, incarnation, next_request, tasks })
    }

    /// Returns the entry's name.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Starts a task that adopts configuration changes from the table and the other entries.
    pub fn follow_config(&self, others: &[Arc<Self>]) {
        let shared = Arc::clone(&self.shared);
        let others: Vec<Arc<EntryShared>> = others.iter().map(|other| Arc::clone(&other.shared)).collect();
        tokio::spawn(async move {
            loop {
                shared.adopt_from_table().await;
                shared.adopt_from_peers(&others);
                tokio::time::sleep(CONFIG_INTERVAL).await;
            }
        });
    }

    /// Returns the weight cell of a row in force.
    pub fn weight(&self, row: &str) -> Option<String> {
        let key: RowKey = row.parse().ok()?;
        let config = self.shared.config.lock().expect("no task panics");
        config.row(&key).and_then(|found| found.to_cells(&key).get("weight").cloned())
    }

    /// Pauses or resumes the process.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Kills the process: all requests in progress are lost.
    pub fn kill(&self) {
        for task in self.tasks.lock().expect("no task panics").drain(..) {
            task.abort();
        }
    }

    /// Sends a request from a caller and records its outcome.
    pub fn send(&self, spec: &SendSpec, ticket: Option<TicketText>, outcomes: Outcomes) {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let request = self.request(spec, ticket);
        let (sender, start) = oneshot::channel();
        let first = AttemptId { entry: self.incarnation, request: id, attempt: 0 };
        let delivery = AnswerDelivery::new(first, None, sender);
        let handler = RequestHandler::new(self.ports.clone(), self.incarnation, id, request, delivery);
        let task = tokio::spawn(handler.run());
        self.tasks.lock().expect("no task panics").push(task);
        let spec = spec.clone();
        tokio::spawn(async move {
            let outcome = collect(start, &spec).await;
            outcomes.lock().expect("no task panics").insert(spec.label, outcome);
        });
    }

    fn request(&self, spec: &SendSpec, ticket: Option<TicketText>) -> CallerRequest {
        let own = spec.key.as_ref().and_then(|key| key.strip_prefix("own:"));
        let own = own.map(|key| CallerKey::Own(key.to_owned()));
        CallerRequest {
            team: TEAM.parse().expect("the name is valid"),
            service: spec.service.parse().expect("scenario names are valid"),
            kind: ServiceKind::Model,
            method: "POST".to_owned(),
            path: "/run".to_owned(),
            headers: Vec::new(),
            body: request_body(&spec.name, spec.tokens),
            deadline: UnixDeadline::after(self.shared.clock.now(), spec.deadline),
            priority: RequestPriority::default(),
            repeat: if spec.never { RepeatPolicy::Never } else { RepeatPolicy::Safe },
            stream: spec.tokens > 0,
            resume_after: None,
            key: ticket.map(CallerKey::Ticket).or(own),
            prompt_tokens: 0,
            prefix_blocks: Arc::from([]),
        }
    }
}
