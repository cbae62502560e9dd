//! HTTP server for callers.

use crate::delivery::{AnswerDelivery, AnswerStart};
use crate::handler::RequestHandler;
use crate::ports::{CallerPorts, CallerRefusal, RouteRequest};
use crate::problem::{REQUEST_HEADER, problem_response};
use crate::request::{RequestDefaults, authorized_team, read_request, request_deadline};
use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use porthoist_core::{
    AnswerHead, AttemptId, IncarnationId, RefusalReason, RequestId, ServiceName, TicketText, UnixDeadline,
};
use porthoist_http::{BodyIntake, HttpResponse, IntakeError, full_body, json_response, text_response};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot, watch};

/// Settings of the server for callers.
#[derive(Debug, Clone, bon::Builder)]
pub struct CallerSettings {
    /// Identifies this run of the entry process.
    pub entry: IncarnationId,
    /// Reads the bodies of requests.
    pub intake: Arc<BodyIntake>,
    /// Default deadline, in milliseconds from the arrival of the request.
    #[builder(default = 30_000)]
    pub deadline_millis: u64,
    /// Largest accepted body in bytes.
    #[builder(default = 4 * 1024 * 1024)]
    pub body_bytes: usize,
    /// Largest accepted total size of header names and values in bytes.
    #[builder(default = 16 * 1024)]
    pub header_bytes: usize,
}

/// The server for callers. Clones share their state.
#[derive(Debug, Clone)]
pub struct CallerServer {
    shared: Arc<ServerShared>,
}

#[derive(Debug)]
struct ServerShared {
    settings: CallerSettings,
    ports: CallerPorts,
    next_request: AtomicU64,
    in_flight: AtomicU64,
    stopping: watch::Receiver<bool>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketRequest {
    service: ServiceName,
    #[serde(default = "default_ticket_count")]
    count: u32,
    deadline: Option<UnixDeadline>,
}

fn default_ticket_count() -> u32 {
    1
}

/// Retry delay in milliseconds of callers whose bodies were refused for lack of room.
const MEMORY_RETRY_MILLIS: u64 = 500;
/// Lifetime of tickets that are requested without a deadline, in milliseconds.
const TICKET_MILLIS: u64 = 60 * 60 * 1000;

#[derive(Debug, Serialize)]
struct TicketAnswer {
    tickets: Vec<TicketText>,
}

impl CallerServer {
    /// Creates a server. While `stopping` is `true` it reports that it is not ready, but still handles requests.
    pub fn new(settings: CallerSettings, ports: CallerPorts, stopping: watch::Receiver<bool>) -> Self {
        let (next_request, in_flight) = (AtomicU64::new(1), AtomicU64::new(0));
        Self { shared: Arc::new(ServerShared { settings, ports, next_request, in_flight, stopping }) }
    }

    /// Returns the number of requests that are being handled.
    pub fn in_flight(&self) -> u64 {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Reads the bodies of requests.
    pub fn intake(&self) -> &Arc<BodyIntake> {
        &self.shared.settings.intake
    }

    /// Handles one HTTP request.
    pub async fn handle(self, request: Request<Incoming>) -> HttpResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/livez") => return text_response(StatusCode::OK, "live\n"),
            (&Method::GET, "/readyz") => return self.readiness(),
            _ => {}
        }
        let shared = Arc::clone(&self.shared);
        shared.ports.metrics.record_request();
        let id = RequestId(shared.next_request.fetch_add(1, Ordering::Relaxed));
        let label = format!("{}-{id}", shared.settings.entry);
        let mut response = match self.respond(id, request).await {
            Ok(answered) => answered,
            Err(refusal) => {
                shared.ports.metrics.record_refusal(refusal.reason, refusal.verdict);
                problem_response(shared.ports.clock.now(), &label, &refusal)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&label) {
            response.headers_mut().insert(REQUEST_HEADER, value);
        }
        response
    }

    fn readiness(&self) -> HttpResponse {
        if *self.shared.stopping.borrow() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");
        }
        if !self.shared.ports.config.ready() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        text_response(StatusCode::OK, "ready\n")
    }

    async fn respond(
        &self,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, CallerRefusal> {
        let ports = &self.shared.ports;
        if !ports.config.ready() {
            let detail = "no configuration is in force yet";
            return Err(CallerRefusal::not_run(RefusalReason::NotReady, detail));
        }
        let (head, body) = request.into_parts();
        self.check_headers(&head.headers)?;
        // Callers without a key must not make the process hold their bodies.
        authorized_team(&head.headers, ports.config.as_ref())?;
        let defaults = RequestDefaults { deadline_millis: self.shared.settings.deadline_millis };
        let deadline = request_deadline(&head.headers, ports.clock.now(), defaults)?;
        let body = self.read_body(body, deadline).await?;
        if head.uri.path() == "/porthoist/v1/tickets" {
            return self.mint_tickets(id, &head.headers, &body).await;
        }
        let parsed = read_request(&head, body, ports.clock.now(), ports.config.as_ref(), defaults)?;
        let (sender, start) = oneshot::channel();
        let entry = self.shared.settings.entry;
        let first = AttemptId { entry, request: id, attempt: 0 };
        let delivery = AnswerDelivery::new(first, parsed.resume_after, sender);
        let handler = RequestHandler::new(ports.clone(), entry, id, parsed, delivery);
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            handler.run().await;
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        });
        match start.await {
            Ok(AnswerStart::Streaming(body)) => Ok(stream_response(body)),
            Ok(AnswerStart::Whole(head, body)) => Ok(whole_response(&head, body)),
            Ok(AnswerStart::Refused(refusal)) => {
                let label = format!("{entry}-{id}");
                Ok(problem_response(ports.clock.now(), &label, &refusal))
            }
            Err(_dropped) => {
                Ok(text_response(StatusCode::INTERNAL_SERVER_ERROR, "the request was abandoned\n"))
            }
        }
    }

    fn check_headers(&self, headers: &HeaderMap) -> Result<(), CallerRefusal> {
        let total: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let limit = self.shared.settings.header_bytes;
        if total <= limit {
            return Ok(());
        }
        let detail = format!("headers have {total} bytes; at most {limit} are accepted");
        Err(CallerRefusal::not_run(RefusalReason::HeaderTooLong, detail))
    }

    async fn read_body(&self, body: Incoming, deadline: UnixDeadline) -> Result<Bytes, CallerRefusal> {
        let Self { shared } = self;
        let read = shared.settings.intake.read_whole(body, shared.settings.body_bytes, deadline).await;
        read.map_err(|error| {
            let reason = match error {
                IntakeError::TooLong(_limit) => RefusalReason::BodyTooLong,
                IntakeError::Late => RefusalReason::DeadlinePassed,
                IntakeError::NoRoom => RefusalReason::MemoryLimit,
                IntakeError::Stalled => RefusalReason::BodyStalled,
                IntakeError::Closed => RefusalReason::ShuttingDown,
                IntakeError::Broken(_) => RefusalReason::Malformed,
            };
            let refusal = CallerRefusal::not_run(reason, error.to_string());
            let is_retryable = matches!(
                reason,
                RefusalReason::MemoryLimit | RefusalReason::BodyStalled | RefusalReason::ShuttingDown
            );
            let retry_at = is_retryable.then(|| shared.ports.clock.now().plus(MEMORY_RETRY_MILLIS));
            CallerRefusal { retry_at, ..refusal }
        })
    }

    async fn mint_tickets(
        &self,
        id: RequestId,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<HttpResponse, CallerRefusal> {
        let ports = &self.shared.ports;
        let (team, _priority) = authorized_team(headers, ports.config.as_ref())?;
        let ticket_request: TicketRequest = serde_json::from_slice(body).map_err(|error| {
            CallerRefusal::not_run(
                RefusalReason::Malformed,
                format!("the body is not a ticket request: {error}"),
            )
        })?;
        let now = ports.clock.now();
        let deadline = ticket_request.deadline.unwrap_or(UnixDeadline::after(now, TICKET_MILLIS));
        let route_request = RouteRequest {
            attempt: AttemptId { entry: self.shared.settings.entry, request: id, attempt: 0 },
            team: team.clone(),
            service: ticket_request.service,
            deadline,
            prompt_tokens: 0,
            prefix_blocks: Arc::from([]),
            exclude: Vec::new(),
            admit: true,
            retry: false,
            peek: true,
        };
        let reply = ports.routing.route(route_request).await?;
        let minted =
            ports.offers.mint(reply.choice.target, team.clone(), ticket_request.count, deadline).await;
        ports.routing.release(team);
        match minted {
            Ok(tickets) => Ok(json_response(StatusCode::OK, &TicketAnswer { tickets })),
            Err(failure) => Err(CallerRefusal::not_run(failure.reason, "no ticket could be minted")),
        }
    }
}

fn stream_response(receiver: mpsc::Receiver<Result<Bytes, io::Error>>) -> HttpResponse {
    let pieces = futures::stream::unfold(receiver, |mut receiver| async {
        let piece = receiver.recv().await?;
        Some((piece, receiver))
    });
    let body = StreamBody::new(pieces.map(|piece| piece.map(Frame::data)));
    let mut response = Response::new(body.boxed_unsync());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response.headers_mut().insert("cache-control", HeaderValue::from_static("no-store"));
    response
}

fn whole_response(head: &AnswerHead, body: Bytes) -> HttpResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
