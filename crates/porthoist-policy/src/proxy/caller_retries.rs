//! Identifies requests of callers that were refused before and retry.
//!
//! A retry carries a new identifier and mostly arrives at another entry, so only the remaining time that
//! it states can show it. Callers state different remaining times from the start. A request therefore
//! counts as a retry only if it states less than first attempts on its route do, and if this process
//! refused any request of the service, or on the route, within the time in which callers retry.
//!
//! A process that has refused nobody within that time treats every request as a first attempt. In an
//! overload or an outage, the entries see the same loads and all refuse some requests, while a process
//! that refuses none serves first attempts and retries alike, so that the distinction has no effect
//! there. Without this condition, the smallest of each set of first attempts would count as a retry.
//!
//! This handles the retries after an overload or an outage of a service, next to first attempts whose
//! remaining times differ.

use porthoist_core::{ServiceName, UnixDeadline, UnixMillis};
use std::collections::HashMap;

/// Divisor of a caller's remaining time that gives the longest retry delay that it honours.
const RETRY_DELAY_DIVISOR: u64 = 3;
/// Time in milliseconds that a retry may arrive later than its delay, for its new connection.
const RETRY_GRACE_MILLIS: u64 = 500;
/// Tolerance in milliseconds for the remaining time of first attempts on a route, for the time that they
/// spend in the network.
const FIRST_ATTEMPT_TOLERANCE_MILLIS: u64 = 200;
/// Minimum number of first attempts on a route before its retries are distinguished.
const MIN_FIRST_ATTEMPTS: u64 = 32;
/// Number of mean distances between first attempts' remaining times by which a retry must be below the
/// shortest of them. If the times are spread evenly, more than 1 in 100 first attempts are below this
/// limit in fewer than 1 in 100 cases (e^-5).
const MARGIN_DISTANCES: u64 = 5;
/// Number of first attempts after which an earlier set of as many is forgotten.
const GENERATION_ATTEMPTS: u64 = 512;
/// Maximum number of routes and of services with state. The largest configurations have some 1,000
/// routes; more belong to removed ones.
const MAX_ENTRIES: usize = 4_096;

/// A request, as far as it matters to the detection of retries.
#[derive(Debug, Clone, Copy)]
pub struct CallerAttempt<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// The service that it is sent to.
    pub service: &'a ServiceName,
    /// Remaining time in milliseconds that its caller stated when it arrived.
    pub remaining_millis: Option<u64>,
    /// Maximum time in milliseconds that a caller waits on the route.
    pub timeout_millis: u64,
}

impl CallerAttempt<'_> {
    /// Remaining time in milliseconds as far as the route permits it; `None` if the caller stated none.
    fn remaining_millis(&self) -> Option<u64> {
        self.remaining_millis.map(|remaining| remaining.min(self.timeout_millis))
    }
}

/// Remaining times of a set of first attempts.
#[derive(Debug, Clone, Copy, Default)]
struct RemainingSpread {
    attempts: u64,
    shortest_millis: u64,
    longest_millis: u64,
}

impl RemainingSpread {
    fn add(&mut self, remaining_millis: u64) {
        let single =
            Self { attempts: 1, shortest_millis: remaining_millis, longest_millis: remaining_millis };
        *self = self.merged(single);
    }

    fn merged(self, other: Self) -> Self {
        match (self.attempts, other.attempts) {
            (0, _) => other,
            (_, 0) => self,
            _ => Self {
                attempts: self.attempts + other.attempts,
                shortest_millis: self.shortest_millis.min(other.shortest_millis),
                longest_millis: self.longest_millis.max(other.longest_millis),
            },
        }
    }

    /// Remaining time in milliseconds below which a request is no first attempt, once that is known.
    fn retry_limit_millis(&self) -> Option<u64> {
        if self.attempts < MIN_FIRST_ATTEMPTS {
            return None;
        }
        let spread = self.longest_millis - self.shortest_millis;
        let margin = FIRST_ATTEMPT_TOLERANCE_MILLIS + spread * MARGIN_DISTANCES / self.attempts;
        Some(self.shortest_millis.saturating_sub(margin))
    }
}

/// First attempts on one route.
///
/// They are recorded in periods in which callers may retry, and count once a whole such period has
/// followed without a refusal. Requests that arrive shortly before this process refuses the first one may
/// be retries after refusals by other entries.
#[derive(Debug, Clone, Default)]
struct RouteAttempts {
    /// First attempts of the current period.
    recent: RemainingSpread,
    recent_until: UnixDeadline,
    /// First attempts of the period before it.
    previous: RemainingSpread,
    /// First attempts that count: the current generation and the one before it.
    current_generation: RemainingSpread,
    earlier_generation: RemainingSpread,
    /// Longest remaining time in milliseconds of any request.
    longest_millis: u64,
    /// Until when refusals may lead to retries on this route, by all refusals that it has seen.
    refused_until: UnixDeadline,
}

impl RouteAttempts {
    /// Time in milliseconds after a refusal within which callers retry.
    fn retry_millis(&self) -> u64 {
        self.longest_millis / RETRY_DELAY_DIVISOR + RETRY_GRACE_MILLIS
    }

    fn record_first_attempt(&mut self, remaining_millis: u64, now: UnixMillis) {
        if self.recent_until.passed(now) {
            if self.current_generation.attempts >= GENERATION_ATTEMPTS {
                self.earlier_generation = std::mem::take(&mut self.current_generation);
            }
            self.current_generation = self.current_generation.merged(self.previous);
            self.previous = std::mem::take(&mut self.recent);
            self.recent_until = UnixDeadline::after(now, self.retry_millis());
        }
        self.recent.add(remaining_millis);
    }

    /// Records until when refusals may lead to retries. After a new refusal, discards first attempts that
    /// may have been retries after refusals by other entries.
    fn extend_refused(&mut self, until: UnixDeadline) {
        if until <= self.refused_until {
            return;
        }
        self.refused_until = until;
        self.recent = RemainingSpread::default();
        self.previous = RemainingSpread::default();
        self.recent_until = UnixDeadline::default();
    }

    fn is_below_first_attempts(&self, remaining_millis: u64) -> bool {
        let counted = self.current_generation.merged(self.earlier_generation);
        counted.retry_limit_millis().is_some_and(|limit| remaining_millis < limit)
    }
}

/// Identifies callers' retries, for all routes of one process.
#[derive(Debug, Clone, Default)]
pub struct CallerRetryDetector {
    routes: HashMap<Box<str>, RouteAttempts>,
    /// Until when refusals on a service may lead to retries.
    services: HashMap<ServiceName, UnixDeadline>,
    /// Until when refusals of requests without a known service may lead to retries.
    refused_until: UnixDeadline,
}

impl CallerRetryDetector {
    /// Records a request that arrives; returns whether it is a caller's retry.
    pub fn observe(&mut self, attempt: CallerAttempt<'_>, now: UnixMillis) -> bool {
        let Some(remaining) = attempt.remaining_millis() else { return false };
        let refused_until = self.services.get(attempt.service).copied().unwrap_or_default();
        let refused_until = refused_until.max(self.refused_until);
        let route = self.route(attempt.route);
        route.longest_millis = route.longest_millis.max(remaining);
        route.extend_refused(refused_until);
        if route.refused_until.passed(now) {
            route.record_first_attempt(remaining, now);
            return false;
        }
        route.is_below_first_attempts(remaining)
    }

    /// Records that this process refused a request and told its caller to retry.
    pub fn record_refusal(&mut self, attempt: CallerAttempt<'_>, now: UnixMillis) {
        let route = self.route(attempt.route);
        // A caller that states no remaining time waits as long as the route permits.
        let waits = attempt.remaining_millis().unwrap_or(attempt.timeout_millis);
        route.longest_millis = route.longest_millis.max(waits);
        let until = UnixDeadline::after(now, route.retry_millis());
        route.extend_refused(until);
        self.extend_service(attempt.service, until, now);
    }

    /// Records that this process refused a request whose service is not known, and told its caller to
    /// retry after `retry_millis`.
    pub fn record_unrouted_refusal(&mut self, retry_millis: u64, now: UnixMillis) {
        let until = UnixDeadline::after(now, retry_millis + RETRY_GRACE_MILLIS);
        self.refused_until = self.refused_until.max(until);
    }

    fn extend_service(&mut self, service: &ServiceName, until: UnixDeadline, now: UnixMillis) {
        if let Some(known) = self.services.get_mut(service) {
            *known = (*known).max(until);
            return;
        }
        if self.services.len() >= MAX_ENTRIES {
            self.services.retain(|_service, until| !until.passed(now));
        }
        if self.services.len() >= MAX_ENTRIES {
            // Counting a refusal for all services only pauses learning for that time.
            self.refused_until = self.refused_until.max(until);
            return;
        }
        self.services.insert(service.clone(), until);
    }

    fn route(&mut self, name: &str) -> &mut RouteAttempts {
        if !self.routes.contains_key(name) {
            if self.routes.len() >= MAX_ENTRIES {
                self.routes.clear();
            }
            self.routes.insert(name.into(), RouteAttempts::default());
        }
        self.routes.get_mut(name).expect("it was added above")
    }
}
