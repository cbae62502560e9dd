//! When what is known of the table service's tables must be renewed, and by whom.
//!
//! A connection that has fallen silent looks like one on which nothing happens, so a change is in force in
//! time only if each process knows how old its state is. A state is renewed early enough that a process
//! whose usual source fails can ask a second source, then the table service, and the service once more.

use std::cmp::min;
use std::time::Duration;

/// Time in milliseconds before the end of the bound at which the table service must be called: 100 to spread
/// the calls of many processes, 200 until a call without a response is repeated, and 450 for the response, for
/// scheduling delay and to connect to a target.
const SERVICE_LEAD_MILLIS: u64 = 750;
/// Bound in milliseconds below which all leads shrink in proportion.
const FULL_LEAD_BOUND_MILLIS: u64 = 2_000;
/// Minimum time in milliseconds until the table service is called. Each call has a cost.
const MIN_SERVICE_WAIT_MILLIS: u64 = 300;
/// How much earlier than the call to the table service a state is renewed by the process that reads the table
/// for others: 270 ms for its call and for the way to the others, and 180 for a second such process.
const RENEWAL_LEAD: Duration = Duration::from_millis(450);

/// Maximum interval between calls while the table service does not answer. Others may fail to detect its
/// recovery, which must be known well before changes are expected to be in force in time again, 3 s after it.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Maximum share of [`RENEWAL_LEAD`] in the age at which the table service is called.
const MAX_LEAD_SHARE: f64 = 0.36;

/// Time within which an acknowledged change must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ChangeBound {
    millis: Option<u64>,
}

impl ChangeBound {
    /// Creates a bound from the tightest of several limits in milliseconds.
    pub fn tightest(limits: impl IntoIterator<Item = u64>) -> Self {
        Self { millis: limits.into_iter().min() }
    }

    /// Returns when a state is renewed, or `None` without a bound.
    pub fn schedule(self) -> Option<RenewalSchedule> {
        let bound = self.millis?;
        let lead = SERVICE_LEAD_MILLIS * min(bound, FULL_LEAD_BOUND_MILLIS) / FULL_LEAD_BOUND_MILLIS;
        Some(RenewalSchedule::new(Duration::from_millis((bound - lead).max(MIN_SERVICE_WAIT_MILLIS))))
    }

    /// Returns the time for which a process polls the table service itself, at most `longest`.
    pub fn own_wait(self, longest: Duration) -> Duration {
        self.schedule().map_or(longest, |schedule| longest.min(schedule.renewal()))
    }

    /// Returns the maximum interval between calls of a process to a table service that doesn't answer while others
    /// call it too, at most `longest`.
    pub fn retry_interval(self, longest: Duration) -> Duration {
        self.millis.map_or(longest, |_millis| longest.min(RETRY_INTERVAL))
    }

    /// Returns the age of its state at which a process that has others to query calls the table service, at
    /// most `longest`.
    pub fn service_wait(self, longest: Duration) -> Duration {
        self.schedule().map_or(longest, |schedule| longest.min(schedule.service_wait))
    }
}

/// Ages of a state at which it is renewed. All are measured from the time that the state proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RenewalSchedule {
    service_wait: Duration,
}

impl RenewalSchedule {
    /// Creates a schedule from the age at which the table service is called.
    pub fn new(service_wait: Duration) -> Self {
        Self { service_wait }
    }

    fn lead(self) -> Duration {
        RENEWAL_LEAD.min(self.service_wait.mul_f64(MAX_LEAD_SHARE))
    }

    /// Age at which the process that reads a table for others renews its state.
    pub fn renewal(self) -> Duration {
        self.service_wait.saturating_sub(self.lead())
    }

    /// Age from which a process asks another reader in addition to its usual one.
    pub fn second_reader(self) -> Duration {
        self.service_wait.saturating_sub(self.lead() * 2 / 5)
    }

    /// Age at which a process calls the table service. `spread`, from 0 to 1, keeps processes that lose the
    /// same reader from calling all at once.
    pub fn service_call(self, spread: f64) -> Duration {
        self.service_wait + (self.lead() * 2 / 9).mul_f64(spread.clamp(0.0, 1.0))
    }
}
