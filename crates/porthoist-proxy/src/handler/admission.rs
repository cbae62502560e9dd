//! Admission of requests: route, key, freshness proof and body size.

use super::request_guard::RequestProgress;
use super::types::{AdmittedRequest, ProxyRefusal, priority_rank};
use super::{ProxyHandler, UNREADY_RETRY_MILLIS, host_of, route_refusal_reason};
use crate::headers::RequestMetadata;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use porthoist_core::{PartMark, RefusalReason, ServiceName, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::caller_retries::CallerAttempt;
use porthoist_policy::proxy::routes::{RouteRule, RouteTable, TeamGrant};
use slog::info;
use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Result of matching a request against the routes in force.
struct RoutedRequest {
    rule: Arc<RouteRule>,
    grant: Option<TeamGrant>,
    service: ServiceName,
    ranked: bool,
    body_bytes: usize,
}

impl ProxyHandler {
    pub(super) async fn admit(
        &self,
        metadata: RequestMetadata,
        head: Parts,
        body: Incoming,
        progress: Rc<RequestProgress>,
    ) -> Result<AdmittedRequest, ProxyRefusal> {
        let arrival = progress.arrival;
        let routed = self.route(&metadata, &head, arrival).inspect_err(|refusal| {
            if let Some(millis) = refusal.retry_millis {
                self.retry_detector.borrow_mut().record_unrouted_refusal(millis, arrival);
            }
        })?;
        let RoutedRequest { rule, grant, service, ranked, body_bytes } = routed;
        let wait = metadata.remaining_millis.unwrap_or(rule.timeout_millis).min(rule.timeout_millis);
        let deadline = UnixDeadline::after(arrival, wait);
        let is_caller_retry = self.log_admitted(&metadata, &rule, &service, arrival);
        let body = self.read_body(body, body_bytes, deadline).await?;
        let level = self
            .capacity_rules
            .borrow()
            .get(&service)
            .map(|capacity| capacity.level(priority_rank(&rule, grant.as_ref())));
        let cached_mark = OnceCell::new();
        let parts = metadata.shared_parts.iter().map(|part| PartMark::new(&service, part)).collect();
        Ok(AdmittedRequest {
            metadata,
            head,
            body,
            rule,
            grant,
            service,
            ranked,
            arrival,
            progress,
            deadline,
            is_caller_retry,
            level,
            cached_mark,
            parts,
            last_send: RefCell::default(),
        })
    }

    /// Records that a request is refused. Its caller retries if it is told when.
    pub(super) fn record_refusal(&self, admitted: &AdmittedRequest, refusal: &ProxyRefusal) {
        if refusal.retry_millis.is_some() {
            let attempt = caller_attempt(&admitted.metadata, &admitted.rule, &admitted.service);
            self.retry_detector.borrow_mut().record_refusal(attempt, self.clock.now());
        }
    }

    /// Logs an admitted request. Returns whether its caller was refused before.
    fn log_admitted(
        &self,
        metadata: &RequestMetadata,
        rule: &RouteRule,
        service: &ServiceName,
        arrival: UnixMillis,
    ) -> bool {
        let is_caller_retry =
            self.retry_detector.borrow_mut().observe(caller_attempt(metadata, rule, service), arrival);
        let (version, age) = {
            let state = self.state.borrow();
            let version = state.routes.as_ref().map(|routes| routes.version.0);
            (version, state.routes_proof.age(self.clock.now()))
        };
        info!(self.logger, "admitted"; "event" => "admitted", "request" => &*metadata.attempt,
            "route" => &*rule.name, "service" => service.as_str(), "version" => version, "proof_age_ms" => age,
            "aim_ms" => rule.target_latency_millis, "pause_aim_ms" => rule.target_pause_millis,
            "returned" => is_caller_retry);
        is_caller_retry
    }

    fn route(
        &self,
        metadata: &RequestMetadata,
        head: &Parts,
        arrival: UnixMillis,
    ) -> Result<RoutedRequest, ProxyRefusal> {
        let (routes, proof) = {
            let state = self.state.borrow();
            (state.routes.clone(), state.routes_proof)
        };
        let Some(routes) = routes else {
            return Err(ProxyRefusal::retryable(RefusalReason::NotReady, UNREADY_RETRY_MILLIS));
        };
        let age = proof.age(arrival);
        let rule = self.settings.freshness;
        let outcome = Self::match_route(&routes, metadata, head);
        match &outcome {
            // A newer configuration may allow what this one denies.
            Err(_denial) if !rule.proven(&proof, arrival) => {
                return Err(self.refuse_unproven(metadata, &routes, age));
            }
            Ok(allowed)
                if routes.requires_keys() && !allowed.rule.public && !rule.may_run(&proof, arrival) =>
            {
                return Err(self.refuse_unproven(metadata, &routes, age));
            }
            _ => {}
        }
        outcome
    }

    fn match_route(
        routes: &RouteTable,
        metadata: &RequestMetadata,
        head: &Parts,
    ) -> Result<RoutedRequest, ProxyRefusal> {
        let denied = |error| ProxyRefusal::denied(route_refusal_reason(error));
        let rule = routes.route(host_of(head), head.uri.path()).map_err(denied)?;
        let grant = routes.team(&rule, metadata.key.as_deref()).map_err(denied)?;
        let hash = xxhash_rust::xxh3::xxh3_64(metadata.attempt.as_bytes());
        let service = rule.service(hash).cloned();
        let service = service.ok_or(ProxyRefusal::denied(RefusalReason::UnknownService))?;
        let spec = routes.services.get(&service);
        let ranked = spec.is_some_and(|spec| spec.engine.is_some());
        let body_bytes = routes.limits.body_bytes;
        Ok(RoutedRequest { rule, grant, service, ranked, body_bytes })
    }

    fn refuse_unproven(
        &self,
        metadata: &RequestMetadata,
        routes: &RouteTable,
        age: Option<u64>,
    ) -> ProxyRefusal {
        info!(self.logger, "the configuration may be out of date"; "event" => "unproven",
            "request" => &*metadata.attempt, "version" => routes.version.0, "proof_age_ms" => age);
        ProxyRefusal::retryable(RefusalReason::NotReady, UNREADY_RETRY_MILLIS)
    }
}

fn caller_attempt<'a>(
    metadata: &RequestMetadata,
    rule: &'a RouteRule,
    service: &'a ServiceName,
) -> CallerAttempt<'a> {
    CallerAttempt {
        route: &rule.name,
        service,
        remaining_millis: metadata.remaining_millis,
        timeout_millis: rule.timeout_millis,
    }
}
