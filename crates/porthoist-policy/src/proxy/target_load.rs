//! State of one target as one process knows it: its own requests there, the reported ones of others, and
//! recent answers.

use super::backpressure::TargetBackpressure;
use super::balancer::{BalancerSettings, ReportedRequests, RequestWork, SendOutcome};
use super::cold_start::ColdRule;
use super::group_loads::{OthersLoad, OwnHistory, RankLoad};
use super::groups::GroupIndex;
use super::send_turns::{RateSource, SendTurns, SenderPosition, TargetRate, TurnRound};
use super::service_groups::ServiceGroups;
use super::targets::{TargetRecord, TargetState};
use porthoist_core::{ServiceName, TargetName, UnixDeadline, UnixMillis, ZoneName};
use std::sync::Arc;

/// Consecutive failures after which a target is ejected. A single one is common, for example when an
/// idle connection is reset.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection time in milliseconds; it doubles with each further failure.
const EJECT_MILLIS: u64 = 800;
/// Longest ejection time in milliseconds. A target that recovers is used again within this time.
const MAX_EJECT_MILLIS: u64 = 6_400;
/// Cost of a request to another availability zone, as a fraction of one request in flight.
const ZONE_COST: f64 = 0.3;
/// Prompt tokens that cost as much as one request in flight: the mean prompt of the users' streams.
const TOKENS_PER_REQUEST: f64 = 835.0;
/// Requests added to the load of a rank whose process is unreachable. It gets none while others have
/// room and some when they are full: its process alone may have ended while its engine still runs.
const SILENT_PENALTY_REQUESTS: f64 = 4.0;
/// Requests added to the load of a rank whose group is late while another group is not. It is used only
/// when the others are full.
const LATE_PENALTY_REQUESTS: f64 = 4.0;
/// Time in milliseconds for which a rank that refused a request as full, or that left one without an
/// answer although it is alive, gets nothing. The next report
/// ends it earlier; the previous one makes the rank seem free.
const FULL_MILLIS: u64 = 300;
/// Requests added to the load of a target right after it withdrew its limit.
const RETURN_PENALTY_REQUESTS: f64 = 4.0;
/// Factor by which a target's answers must be slower than the service's median to count as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of a new answer in the mean answer time of a target.
const ANSWER_WEIGHT: f64 = 0.2;

/// Order in which targets are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SendTier {
    /// It announces a limit and is due for a request that checks whether it still does.
    Recheck,
    /// It takes requests as far as it has room, or it is cold and this process has a turn. A cold target
    /// can take more than its usual share.
    Free,
    /// It announces a limit under which it may get a request.
    Limited,
}

/// State of one target.
#[derive(Debug, Clone)]
pub(super) struct TargetLoad {
    pub(super) record: Arc<TargetRecord>,
    pub(super) in_flight: u32,
    /// Recent changes of `in_flight`.
    history: OwnHistory,
    tokens: u64,
    others: Option<OthersLoad>,
    /// Its group, once a report has named it.
    pub(super) group: Option<GroupIndex>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<UnixDeadline>,
    /// Until when it counts as full, after it refused a request.
    full_until: Option<UnixDeadline>,
    /// Whether another target was found at its address.
    gone: bool,
    pub(super) mean_millis: Option<f64>,
    /// Backpressure that it signalled.
    pub(super) backpressure: TargetBackpressure,
    /// Whether operators have emptied its zone.
    emptied: bool,
    /// When this process may send to it under a rate limit.
    turns: SendTurns,
}

impl TargetLoad {
    pub(super) fn new(record: Arc<TargetRecord>, backpressure: TargetBackpressure) -> Self {
        Self {
            record,
            in_flight: 0,
            history: OwnHistory::default(),
            tokens: 0,
            others: None,
            group: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            full_until: None,
            gone: false,
            mean_millis: None,
            backpressure,
            emptied: false,
            turns: SendTurns::default(),
        }
    }

    /// Whether a report says that the process next to it is unreachable.
    pub(super) fn silent(&self, now: UnixMillis) -> bool {
        self.others.is_some_and(|others| others.silent(now))
    }

    /// Requests of other processes, if a valid report counts them.
    pub(super) fn others(&self, now: UnixMillis) -> Option<u32> {
        self.others.and_then(|others| others.requests(now))
    }

    /// Known requests at the target, and whether they include those of all processes. Without a valid
    /// report, `assumed` stands for the other processes' requests.
    pub(super) fn requests(&self, assumed: Option<u32>, now: UnixMillis) -> KnownRequests {
        match self.others(now).or(assumed) {
            Some(others) => KnownRequests { count: self.in_flight + others, covers_all: true },
            None => KnownRequests { count: self.in_flight, covers_all: false },
        }
    }

    /// Number of known requests beyond the target's slots; 0 without a valid report.
    pub(super) fn beyond_slots(&self, now: UnixMillis) -> u32 {
        let known = self.requests(None, now);
        if known.covers_all { known.count.saturating_sub(self.record.slots) } else { 0 }
    }

    pub(super) fn report(&self, now: UnixMillis) -> Option<ReportedRequests> {
        let others = self.others?;
        let requests = self.in_flight + others.requests(now)?;
        Some(ReportedRequests { requests, age_millis: others.age(now) })
    }

    pub(super) fn is_open(&self, now: UnixMillis) -> bool {
        if self.record.state != TargetState::Ready || self.gone || self.is_closed(now) {
            return false;
        }
        match self.ejected_until {
            // After an ejection, a target gets one request at a time until one succeeds.
            Some(deadline) => deadline.passed(now) && self.in_flight == 0,
            None => true,
        }
    }

    /// Whether it can take a request of a service that was already sent to `tried`.
    pub(super) fn can_take(
        &self,
        settings: &BalancerSettings,
        service: &ServiceName,
        view: ServiceView,
        tried: &[TargetName],
        now: UnixMillis,
    ) -> bool {
        self.record.service == *service
            && self.is_open(now)
            && self.has_room(settings, view, now)
            && !tried.contains(&self.record.id)
    }

    /// Whether it must get nothing now, whatever its row says.
    pub(super) fn is_closed(&self, now: UnixMillis) -> bool {
        self.emptied || self.backpressure.is_closed(now)
    }

    /// Whether only the emptying of its zone keeps requests from it.
    pub(super) fn blocked_by_emptied_zone(&self, now: UnixMillis) -> bool {
        self.emptied
            && self.record.state == TargetState::Ready
            && !self.gone
            && !self.backpressure.is_closed(now)
    }

    /// Sets whether operators have emptied its zone.
    pub(super) fn set_emptied(&mut self, emptied: bool, now: UnixMillis) {
        let was_emptied = std::mem::replace(&mut self.emptied, emptied);
        if was_emptied && !emptied {
            self.backpressure.zone_restored(now);
        }
    }

    /// Applies its row and its service's limit for cold targets.
    pub(super) fn apply_row(&mut self, record: &Arc<TargetRecord>, rule: Option<ColdRule>, first_seen: bool) {
        self.backpressure.set_cold_rule(rule);
        self.backpressure.apply_row(record.cold, first_seen);
        self.record = Arc::clone(record);
    }

    /// The end of its rest period, if nothing else keeps requests from it.
    pub(super) fn rest(&self, now: UnixMillis) -> Option<UnixDeadline> {
        let ready = self.record.state == TargetState::Ready && !self.gone && !self.emptied;
        let ready = ready && !self.backpressure.is_leaving();
        self.backpressure.rest(now).filter(|_until| ready)
    }

    /// Whether a request that was assigned a slot here may still be sent, after signals that arrived
    /// meanwhile.
    pub(super) fn is_still_valid(&self, rate: Option<TargetRate>, now: UnixMillis) -> bool {
        !self.is_closed(now) && (rate.is_some() || self.rate(now).is_none())
    }

    /// Its current tier for requests that it has room for; `None` while its rate limit leaves no turn
    /// for this process.
    pub(super) fn tier(&self, first_send: bool, now: UnixMillis) -> Option<SendTier> {
        let Some(TargetRate { source, .. }) = self.rate(now) else { return Some(SendTier::Free) };
        let tier = match source {
            RateSource::Cold => SendTier::Free,
            // A request that was already sent in vain is not used to check a limit.
            RateSource::Announced if first_send && self.backpressure.needs_recheck(now) => SendTier::Recheck,
            RateSource::Announced => SendTier::Limited,
        };
        self.turns.free(now).then_some(tier)
    }

    /// Sets the rounds in which this process keeps to the rate limit.
    pub(super) fn set_turns(&mut self, sender: SenderPosition, now: UnixMillis) {
        if let Some(rate) = self.rate(now) {
            self.turns.set(TurnRound::new(rate, sender, &self.record.life()), now);
        }
    }

    /// This process's turns under a rate limit, or `None` without a limit.
    pub(super) fn turns(&self, now: UnixMillis) -> Option<&SendTurns> {
        self.rate(now).map(|_rate| &self.turns)
    }

    /// Its rate limit for all processes together, if it has one.
    pub(super) fn rate(&self, now: UnixMillis) -> Option<TargetRate> {
        self.backpressure.rate(now)
    }

    /// Whether it refused a request as full a moment ago.
    pub(super) fn is_full(&self, now: UnixMillis) -> bool {
        self.full_until.is_some_and(|deadline| !deadline.passed(now))
    }

    fn has_room(&self, settings: &BalancerSettings, view: ServiceView, now: UnixMillis) -> bool {
        if self.is_full(now) {
            return false;
        }
        let known = self.requests(view.assumed, now);
        match (view.ranked, known.covers_all) {
            (true, true) => known.count < settings.rank_limit.min(self.record.slots),
            (true, false) => known.count < view.own_limit,
            (false, _) => self.in_flight < self.record.slots,
        }
    }

    /// Cost of one more request, in units of a request in flight. Requests at a group that is slower
    /// than others cost more, so that the pass times of the groups converge.
    pub(super) fn cost(
        &self,
        own_zone: &ZoneName,
        median_millis: Option<f64>,
        view: ServiceView,
        groups: &ServiceGroups,
        now: UnixMillis,
    ) -> f64 {
        let zone = if self.record.zone == *own_zone { 0.0 } else { ZONE_COST };
        let slowness = match (self.mean_millis, median_millis) {
            (Some(mean), Some(median_millis)) if mean > median_millis * SLOW_FACTOR => mean / median_millis,
            _ => 1.0,
        };
        let tokens = self.tokens as f64 / TOKENS_PER_REQUEST;
        let slowness = slowness * groups.cost_factor(self.group);
        let silence = if self.silent(now) { SILENT_PENALTY_REQUESTS } else { 0.0 };
        let lateness = if groups.is_late(self.group) { LATE_PENALTY_REQUESTS } else { 0.0 };
        let returning = RETURN_PENALTY_REQUESTS * self.backpressure.return_fraction_left(now);
        let requests = f64::from(self.requests(view.assumed, now).count);
        (requests + tokens + silence + lateness + returning + 1.0) * slowness + zone
    }

    /// Records the end of a send. Returns whether the target is ejected because of it.
    pub(super) fn ended(&mut self, work: RequestWork, outcome: SendOutcome, now: UnixMillis) -> bool {
        self.history.record(self.in_flight, now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(work.prompt_tokens);
        match outcome {
            SendOutcome::Answered(millis) => {
                self.answered(millis);
                false
            }
            SendOutcome::Failed => self.failed(now),
            SendOutcome::Lost => {
                self.backpressure.suspect_restart();
                self.failed(now)
            }
            SendOutcome::Gone => !std::mem::replace(&mut self.gone, true),
            SendOutcome::Shed | SendOutcome::Unanswered => {
                self.full_until = self.group.map(|_group| UnixDeadline::after(now, FULL_MILLIS));
                false
            }
            SendOutcome::Abandoned => false,
        }
    }

    /// Records that the target's process has ended.
    pub(super) fn died(&mut self, now: UnixMillis) {
        self.failures = self.failures.max(FAILURES_TO_EJECT - 1);
        self.backpressure.suspect_restart();
        self.failed(now);
    }

    /// Counts a request that is sent now.
    pub(super) fn count_send(&mut self, work: RequestWork, now: UnixMillis) {
        self.history.record(self.in_flight, now);
        self.in_flight += 1;
        self.tokens += work.prompt_tokens;
        if self.rate(now).is_some() {
            self.turns.take(now);
        }
    }

    /// Applies the load of the target as read at `read_at`. Returns the number of this process's own
    /// requests that it contains.
    pub(super) fn apply_report(&mut self, rank: &RankLoad, read_at: UnixMillis, now: UnixMillis) -> u32 {
        let own = self.history.contained(read_at, self.in_flight);
        self.others = Some(OthersLoad::reported(rank, own, read_at, now));
        if rank.silent {
            self.backpressure.suspect_restart();
        }
        self.full_until = None;
        own
    }

    fn answered(&mut self, millis: f64) {
        let mean = self.mean_millis.map_or(millis, |mean| mean + ANSWER_WEIGHT * (millis - mean));
        self.mean_millis = Some(mean);
        self.readmit();
    }

    /// Ends an ejection, and forgets the failures that led to it.
    pub(super) fn readmit(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    fn failed(&mut self, now: UnixMillis) -> bool {
        self.failures += 1;
        let was_ejected = self.ejected_until.is_some();
        if self.failures < FAILURES_TO_EJECT && !was_ejected {
            return false;
        }
        let ejection_millis = (EJECT_MILLIS << self.ejections.min(8)).min(MAX_EJECT_MILLIS);
        self.ejected_until = Some(UnixDeadline::after(now, ejection_millis));
        self.ejections += 1;
        true
    }
}

/// State that all targets of a service share.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceView {
    /// Whether they are ranks of groups.
    pub(super) ranked: bool,
    /// Assumed requests of other processes at a target without a valid report: the mean of the targets
    /// with one. A group whose report is missing is then neither preferred nor starved.
    pub(super) assumed: Option<u32>,
    /// Maximum number of this process's requests at a rank without a valid report.
    pub(super) own_limit: u32,
}

/// Number of requests at a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownRequests {
    pub(super) count: u32,
    /// Whether the count covers all processes or only this one.
    covers_all: bool,
}
