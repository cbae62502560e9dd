//! Requests for slots, and the decisions on them.

use crate::proxy::balancer::{ChosenTarget, RequestWork};
use crate::proxy::send_turns::RateSource;
use crate::proxy::wait_queue::QueueClass;
use porthoist_core::{ServiceName, TargetName, UnixDeadline, UnixMillis};

/// A request that needs a slot at a target.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The service.
    pub service: ServiceName,
    /// Whether the service's targets are ranks of a group.
    pub ranked: bool,
    /// The work that it causes.
    pub work: RequestWork,
    /// Priority class, 0 first.
    pub priority: u8,
    /// Targets that it was already sent to.
    pub tried: Vec<TargetName>,
    /// When it arrived.
    pub arrival: UnixMillis,
    /// Time in milliseconds within which its answer or first event is on time.
    pub latency_millis: u64,
    /// When its caller stops waiting.
    pub deadline: UnixDeadline,
    /// Its class among waiting requests of the same priority.
    pub class: QueueClass,
}

/// Why there is no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SlotError {
    /// All targets are busy, and none will have room in time.
    #[error("all targets are busy")]
    Busy,
    /// The targets answer nothing or refuse everything.
    #[error("the targets are down")]
    Down,
    /// No target may take requests.
    #[error("no target serves the service")]
    NoTarget,
    /// Too many requests wait.
    #[error("too many requests are waiting")]
    Full,
    /// All targets announce limits that leave no slot in time.
    #[error("the targets have reached their rate limits")]
    Limited,
    /// All targets are cold and leave no slot in time.
    #[error("the targets are cold")]
    Cold,
    /// What is free is needed for more urgent requests.
    #[error("the free capacity is needed for more urgent requests")]
    Priority,
    /// All targets have asked for a rest period.
    #[error("all targets have asked for a rest period")]
    Resting,
    /// Operators have emptied the zones of all targets.
    #[error("the targets' zones are emptied")]
    Emptied,
}

impl From<RateSource> for SlotError {
    fn from(source: RateSource) -> Self {
        match source {
            RateSource::Announced => Self::Limited,
            RateSource::Cold => Self::Cold,
        }
    }
}

/// What to do with a request.
#[derive(Debug, Clone)]
pub enum SlotDecision {
    /// Send it to this target now.
    Assign(ChosenTarget),
    /// Let it wait until then at most, to be answered in time.
    Wait(UnixDeadline),
    /// Refuse it.
    Refuse(SlotError),
}
