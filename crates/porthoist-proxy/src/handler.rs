//! Handles one request: admission, target selection, sending and retries, up to the response or a refusal
//! that states whether the request may have run.

use crate::caller_stream::CallerConnection;
use crate::complete_body::CompleteBody;
use crate::connection_pool::ConnectionPool;
use crate::control::ControlState;
use crate::dispatcher::RequestDispatcher;
use crate::headers::HeaderCodec;
use crate::quarantine::RequestQuarantine;
use crate::reply::{CallerReply, complete_reply, refusal_reply, relayed_headers, streamed_reply};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Version};
use porthoist_core::{ClockSource, RefusalReason, ServiceName, UnixDeadline, UnixMillis};
use porthoist_http::{BodyIntake, ByteBudget};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::caller_retries::CallerRetryDetector;
use porthoist_policy::proxy::capacity::{CapacityRule, CapacityState};
use porthoist_policy::proxy::demand::OwnDemand;
use porthoist_policy::proxy::freshness::FreshnessRule;
use porthoist_policy::proxy::group_loads::GroupLoads;
use porthoist_policy::proxy::limit_notes::TargetNote;
use porthoist_policy::proxy::retry_share::{RetryShare, RetryShareSettings};
use porthoist_policy::proxy::routes::{ConfigVersion, RouteError};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::service_groups::GroupSnapshot;
use porthoist_policy::proxy::targets::TargetLife;
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

mod admission;
mod attempts;
mod backpressure;
mod draining;
mod grant_fields;
mod moving;
mod refusal_log;
mod relay;
mod request_body;
mod request_guard;
mod retries;
mod send_checks;
mod sending;
mod slots;
mod stream_reader;
mod types;

use backpressure::NotePublisher;
use draining::{RequestDrain, cut_refusal};
use grant_fields::GrantFields;
use refusal_log::RefusalLog;
use relay::EventRelay;
use request_guard::{RequestGuard, RequestProgress};
use stream_reader::{StreamReader, StreamStep};
use types::{AdmittedRequest, CompleteAnswer, ProxyRefusal, SendHistory, SentRequest};

/// Event after which a stream resumes; callers send it too.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Maximum size of a response that is buffered before it is forwarded, in bytes.
const MAX_BUFFERED_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Retry delay for callers of a process without a configuration or a current freshness proof, in
/// milliseconds. The balancer needs two health checks, one second apart, to remove the process.
const UNREADY_RETRY_MILLIS: u64 = 1_000;

/// Maximum size in bytes of the read buffer of a target's connection if held bytes are bounded. It is not
/// counted, and hyper's default may grow to 400 kB for each connection.
const BOUNDED_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Minimum interval between two checks for stalled groups, in milliseconds. A check visits all targets:
/// with 1,500 targets and reports from 23 groups, there would be 230 checks a second.
const STALL_CHECK_MILLIS: u64 = 200;

/// Settings of a [`ProxyHandler`].
#[derive(Debug, Clone, bon::Builder)]
pub struct ProxyHandlerSettings {
    /// Whether requests require a freshness proof of the configuration.
    pub freshness: FreshnessRule,
    /// This process's retry budget.
    pub retry_share: RetryShareSettings,
    /// Whether the capacity of all services with ranks is divided among entries, and not only that of
    /// services whose requests have several priorities.
    #[builder(default)]
    pub share_capacity: bool,
    /// Maximum number of bytes held for all callers together; 0 for no bound.
    #[builder(default)]
    pub held_bytes: u64,
    /// Maximum number of idle connections to all targets.
    #[builder(default = usize::MAX)]
    pub idle_targets: usize,
    /// Time in milliseconds after which a response of which its caller reads nothing is cut; 0 for never.
    #[builder(default)]
    pub unread_millis: u64,
}

/// Handles the requests of a process and holds the state that they share.
pub struct ProxyHandler {
    settings: ProxyHandlerSettings,
    codec: Rc<dyn HeaderCodec>,
    state: watch::Receiver<ControlState>,
    dispatcher: RequestDispatcher,
    quarantine: Rc<RequestQuarantine>,
    pool: ConnectionPool,
    /// Bytes held for all callers.
    budget: Arc<ByteBudget>,
    intake: Arc<BodyIntake>,
    refusal_log: RefusalLog,
    retry_shares: RefCell<HashMap<ServiceName, RetryShare>>,
    retry_detector: RefCell<CallerRetryDetector>,
    /// Notes for the other entries of the zone.
    note_publisher: RefCell<NotePublisher>,
    /// Receives this process's demand with each load report.
    own_demand: watch::Sender<OwnDemand>,
    in_flight: Cell<u64>,
    /// Whether listed targets have been applied.
    targets_applied: Cell<bool>,
    drain: RequestDrain,
    /// Number of cold targets at the last check.
    cold_targets: Cell<usize>,
    /// Version of the configuration whose capacity rules are applied.
    capacity_version: Cell<Option<ConfigVersion>>,
    /// These rules.
    capacity_rules: RefCell<HashMap<ServiceName, CapacityRule>>,
    /// When stalled groups are checked again.
    next_stall_check: Cell<UnixDeadline>,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
}

impl std::fmt::Debug for ProxyHandler {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ProxyHandler").field("in_flight", &self.in_flight.get()).finish_non_exhaustive()
    }
}

#[bon::bon]
impl ProxyHandler {
    /// Creates a handler.
    #[builder]
    pub fn new(
        settings: ProxyHandlerSettings,
        codec: Rc<dyn HeaderCodec>,
        state: watch::Receiver<ControlState>,
        dispatcher: RequestDispatcher,
        quarantine: Rc<RequestQuarantine>,
        notes: watch::Sender<Vec<TargetNote>>,
        #[builder(default)] own_demand: watch::Sender<OwnDemand>,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<MetricsHub>,
        logger: Logger,
    ) -> Rc<Self> {
        let budget = ByteBudget::new(settings.held_bytes);
        let read_buffer = budget.bounded().then_some(BOUNDED_READ_BUFFER_BYTES);
        let pool =
            ConnectionPool::new(read_buffer, settings.idle_targets, Arc::clone(&clock), Arc::clone(&metrics));
        let observed = Arc::clone(&budget);
        metrics.observe_held_bytes(move || observed.held());
        let drain = RequestDrain::new(dispatcher.clone(), Arc::clone(&clock));
        Rc::new(Self {
            settings,
            codec,
            state,
            dispatcher,
            quarantine,
            pool,
            intake: BodyIntake::new(Arc::clone(&budget), Arc::clone(&clock)),
            budget,
            refusal_log: RefusalLog::default(),
            retry_shares: RefCell::default(),
            retry_detector: RefCell::default(),
            note_publisher: RefCell::new(NotePublisher::new(notes)),
            own_demand,
            in_flight: Cell::new(0),
            targets_applied: Cell::new(false),
            drain,
            cold_targets: Cell::new(0),
            capacity_version: Cell::new(None),
            capacity_rules: RefCell::default(),
            next_stall_check: Cell::default(),
            clock,
            metrics,
            logger,
        })
    }
}

impl ProxyHandler {
    /// Requests whose response is not complete.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Limits on callers in the configuration in force.
    pub fn limits(&self) -> Option<porthoist_policy::proxy::routes::CallerLimits> {
        self.state.borrow().routes.as_ref().map(|routes| routes.limits)
    }

    /// Reads the bodies of requests.
    pub(crate) fn intake(&self) -> &Arc<BodyIntake> {
        &self.intake
    }

    /// The clock of all deadlines.
    pub(crate) fn clock(&self) -> &Arc<dyn ClockSource> {
        &self.clock
    }

    /// Settings of callers' connections.
    pub(crate) fn settings(&self) -> &ProxyHandlerSettings {
        &self.settings
    }

    /// Applies the known targets.
    pub fn sync_targets(&self) {
        let state = self.state.borrow();
        self.targets_applied.set(state.targets_listed);
        let services = state.routes.iter().flat_map(|routes| routes.services.values());
        let rules = services.filter_map(|spec| Some((spec.name.clone(), spec.cold?))).collect();
        // The rules depend on the keys of all teams, of which there are tens of thousands.
        if let Some(routes) = &state.routes
            && self.capacity_version.replace(Some(routes.version)) != Some(routes.version)
        {
            let capacity_rules = routes.capacity_rules(self.settings.share_capacity);
            self.capacity_rules.replace(capacity_rules.clone());
            self.dispatcher.set_capacity_rules(capacity_rules);
        }
        self.dispatcher.sync(&state.targets, rules, &state.emptied_zones);
        let known: HashSet<TargetLife> = state.targets.records().map(|record| record.life()).collect();
        self.pool.prune(|life| known.contains(life));
        self.log_cold_targets();
    }

    /// Logs the number of cold targets if it has changed.
    fn log_cold_targets(&self) {
        let cold_targets = self.dispatcher.cold_targets();
        if self.cold_targets.replace(cold_targets) != cold_targets {
            self.metrics.set_cold_targets(cold_targets as u64);
            info!(self.logger, "number of cold targets changed"; "event" => "targets_cold", "count" => cold_targets);
        }
    }

    /// Applies updates of the crash table.
    pub fn update_crashes(&self) {
        self.quarantine.apply_update();
    }

    /// Removes expired crashes. Call periodically.
    pub fn remove_expired_crashes(&self) {
        self.quarantine.remove_expired_crashes();
    }

    /// Sets this process's position among the entries of its zone.
    pub fn set_entry_position(&self, position: Option<EntryPosition>) {
        if let Some(EntryPosition { index, entries }) = position {
            info!(self.logger, "position among the entries of the zone changed"; "event" => "entry_place", "index" => index,
                "entries" => entries);
        }
        self.dispatcher.set_entry_position(position);
    }

    /// Publishes this process's demand, unless there still is none to report.
    fn publish_demand(&self) {
        let newest = self.dispatcher.own_demand();
        self.own_demand.send_if_modified(|demand| {
            let is_reported = !demand.is_empty() || !newest.is_empty();
            *demand = newest;
            is_reported
        });
    }

    /// Applies the loads that the engines of a group reported, and publishes this process's present demand.
    pub fn update_loads(&self, loads: &GroupLoads) {
        self.dispatcher.update_loads(loads);
        self.publish_demand();
        let now = self.clock.now();
        if !self.next_stall_check.get().passed(now) {
            return;
        }
        self.next_stall_check.set(UnixDeadline::after(now, STALL_CHECK_MILLIS));
        self.log_cold_targets();
        for (service, state) in self.dispatcher.capacity_states() {
            let CapacityState { slots, free, share, .. } = state;
            self.metrics.set_capacity(service.as_str(), slots, free, share);
        }
        for GroupSnapshot { index, status } in self.dispatcher.group_changes() {
            let (group, stalled, pass_millis) = (index.as_usize(), status.stalled, status.millis);
            info!(self.logger, "group stalled or resumed"; "event" => "group_pace", "group" => group,
                "standing" => stalled, "pass_ms" => pass_millis);
        }
    }

    /// Serves one request of a connection.
    pub(crate) async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<CallerConnection>,
    ) -> CallerReply {
        let arrival = self.clock.now();
        // The process can report ready before this thread has applied the first list of targets; its first
        // callers would be refused without a target.
        if !self.targets_applied.get() {
            self.sync_targets();
        }
        self.metrics.record_request();
        self.in_flight.set(self.in_flight.get() + 1);
        let (head, body) = request.into_parts();
        let metadata = self.codec.parse_request(&head.headers);
        let attempt =
            metadata.as_ref().map_or_else(|_error| Arc::from("-"), |metadata| Arc::clone(&metadata.attempt));
        connection.begin_request(&attempt);
        let progress = RequestProgress::new(arrival);
        let guard = RequestGuard {
            handler: Rc::clone(&self),
            attempt: Arc::clone(&attempt),
            connection,
            progress: Rc::clone(&progress),
            answered: Cell::new(false),
            completed: Cell::new(false),
            unfinished: Cell::new(false),
        };
        let admitted = match metadata {
            Ok(metadata) => self.admit(metadata, head, body, progress).await,
            Err(error) => {
                info!(self.logger, "unreadable headers"; "event" => "malformed", "error" => error.to_string());
                Err(ProxyRefusal::denied(RefusalReason::Malformed))
            }
        };
        let outcome = match admitted {
            Ok(admitted) => {
                admitted.progress.set_admitted();
                let admitted = Rc::new(admitted);
                let outcome = self.run(Rc::clone(&admitted), guard).await;
                outcome.inspect_err(|(refusal, _guard)| self.record_refusal(&admitted, refusal))
            }
            Err(refusal) => Err((refusal, guard)),
        };
        let mut close = self.drain.has_begun();
        let mut reply = match outcome {
            Ok(reply) => reply,
            Err((refusal, guard)) => {
                guard.completed.set(true);
                let is_cut = refusal.reason == RefusalReason::ShuttingDown && guard.cut();
                if !is_cut {
                    self.log_refusal(&refusal, &attempt, arrival);
                }
                close |= refusal.leaves_body_unread();
                self.refuse(refusal, &attempt)
            }
        };
        if close {
            reply.headers_mut().insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    fn log_refusal(&self, refusal: &ProxyRefusal, attempt: &str, arrival: UnixMillis) {
        let ProxyRefusal { reason, status, verdict, retry_millis, grant } = *refusal;
        let now = self.clock.now();
        if let Some(skipped) = self.refusal_log.permit(refusal, now) {
            info!(self.logger, "request refused"; "event" => "refused", "request" => attempt,
                "reason" => reason.as_str(), "status" => status.as_u16(), "verdict" => verdict.as_str(),
                "retry_ms" => retry_millis, "held_ms" => now.since(arrival), "skipped_lines" => skipped,
                "held_bytes" => refusal.leaves_body_unread().then(|| self.budget.held()), GrantFields(grant));
        }
    }

    fn refuse(&self, refusal: ProxyRefusal, attempt: &str) -> CallerReply {
        let ProxyRefusal { reason, status, verdict, retry_millis, .. } = refusal;
        self.metrics.record_refusal(reason, verdict);
        let mut reply = refusal_reply(status, reason, retry_millis);
        self.codec.write_attempt(attempt, reply.headers_mut());
        reply
    }

    /// Sends a request until it is answered, and begins the response, unless the end of a drain cuts it before.
    async fn run(
        self: &Rc<Self>,
        admitted: Rc<AdmittedRequest>,
        guard: RequestGuard,
    ) -> Result<CallerReply, (ProxyRefusal, RequestGuard)> {
        let mut history = SendHistory::default();
        let sent = tokio::select! {
            biased;
            sent = self.send_until_answered(&admitted, &mut history, None) => sent,
            () = self.drain.until_cut() => Err(cut_refusal(&admitted)),
        };
        match sent {
            Ok(SentRequest::Stream(reader, step)) => {
                Ok(self.relay_stream(admitted, *reader, step, history, guard))
            }
            Ok(SentRequest::Complete(answer)) => Ok(self.relay_complete(&admitted, answer, guard)),
            Err(refusal) => Err((refusal, guard)),
        }
    }

    fn relay_complete(
        &self,
        admitted: &AdmittedRequest,
        answer: CompleteAnswer,
        guard: RequestGuard,
    ) -> CallerReply {
        let millis = self.clock.now().since(admitted.arrival);
        self.metrics.record_answer(millis as f64);
        if !answer.status.is_server_error() {
            self.drain.record_duration(admitted, answer.assigned);
        }
        info!(self.logger, "answered"; "event" => "answered", "request" => &*admitted.metadata.attempt,
            "target" => answer.target.id.to_string(), "status" => answer.status.as_u16(), "took_ms" => millis);
        guard.answered.set(true);
        guard.connection.begin_response();
        let body = CompleteBody::watched(answer.body, Box::new(guard));
        complete_reply(answer.status, relayed_headers(answer.headers), body)
    }

    fn relay_stream(
        self: &Rc<Self>,
        admitted: Rc<AdmittedRequest>,
        reader: StreamReader,
        first_step: Option<StreamStep>,
        history: SendHistory,
        guard: RequestGuard,
    ) -> CallerReply {
        let status = reader.head().status;
        let headers = relayed_headers(reader.head().headers.clone());
        // HTTP/1.0 has no chunks.
        if admitted.head.version <= Version::HTTP_10 {
            guard.connection.delimit_body();
        }
        guard.connection.begin_response();
        let relay = EventRelay::new(Rc::clone(self), admitted, reader, first_step, history, guard);
        streamed_reply(status, headers, relay.into_body())
    }

    /// Time left until a deadline.
    fn remaining_time(&self, deadline: UnixDeadline) -> Duration {
        deadline.remaining(self.clock.now())
    }
}

fn header_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn host_of(head: &Parts) -> &str {
    head.uri.host().or_else(|| header_text(&head.headers, HOST)).unwrap_or_default()
}

fn route_refusal_reason(error: RouteError) -> RefusalReason {
    match error {
        RouteError::NoRoute => RefusalReason::UnknownService,
        RouteError::UnknownKey => RefusalReason::Unauthorized,
    }
}
