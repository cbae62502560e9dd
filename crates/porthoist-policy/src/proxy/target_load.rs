//! What one process knows of one target: its own requests there, others' as reported, and how its answers were.

use super::backpressure::TargetNeed;
use super::balancer::{BalancerSettings, ReportedRequests, RequestWork, SendOutcome};
use super::cold::ColdRule;
use super::groups::GroupIndex;
use super::loads::{OthersLoad, RankLoad};
use super::service_groups::ServicePaces;
use super::targets::{TargetRecord, TargetState};
use super::turns::{RateSource, SendTurns, SenderPosition, TargetRate, TurnRound};
use porthoist_core::{ServiceName, TargetName, UnixDeadline, UnixMillis, ZoneName};
use std::sync::Arc;

/// Failures in a row after which a target gets nothing for a while. One alone is common: a reset of an idle
/// connection, for example.
const FAILURES_TO_EJECT: u32 = 3;
/// First time out in milliseconds; it doubles with each further failure.
const EJECT_MILLIS: u64 = 800;
/// Longest time out in milliseconds. A target that recovers is found again within this time.
const MAX_EJECT_MILLIS: u64 = 6_400;
/// What a request to another availability zone costs, as a part of one request in flight.
const ZONE_COST: f64 = 0.3;
/// Prompt tokens that weigh as much as one request in flight; the mean prompt of the users' streams.
const TOKENS_OF_A_REQUEST: f64 = 835.0;
/// Requests that a rank counts for more whose process is not heard. It gets none while others can take them, and some where
/// they are full: its process alone may have ended, and its engine go on.
const SILENT_REQUESTS: f64 = 4.0;
/// Requests that a rank counts for more whose group is late and another is not: it serves late, where the others are full.
const LATE_REQUESTS: f64 = 4.0;
/// A rank that said it is full gets nothing for so long in milliseconds, or until its next report: an older one makes a
/// full rank seem free.
const FULL_MILLIS: u64 = 300;
/// Requests that a target counts for more right after it took its limit back.
const RETURN_REQUESTS: f64 = 4.0;
/// How much slower than the service's mean a target's answers must be to count as a slow one.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of a new answer in the mean time of a target.
const ANSWER_WEIGHT: f64 = 0.2;

/// Which targets a request is sent to first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SendTier {
    /// It names a limit, and is to be asked whether it still does.
    Asked,
    /// It takes what it has room for, or is cold and it is this process's turn: a cold target bears more than its usual share.
    Free,
    /// It names a limit, within which it may get one.
    Limited,
}

/// What is known of one target.
#[derive(Debug, Clone)]
pub(super) struct TargetLoad {
    pub(super) record: Arc<TargetRecord>,
    pub(super) in_flight: u32,
    tokens: u64,
    others: Option<OthersLoad>,
    /// The group that it is a rank of, once a report told of it.
    pub(super) group: Option<GroupIndex>,
    failures: u32,
    ejections: u32,
    closed_until: Option<UnixDeadline>,
    /// Until when it counts as full, since it said so.
    full_until: Option<UnixDeadline>,
    /// Whether another target was found at its address.
    gone: bool,
    pub(super) mean_millis: Option<f64>,
    /// What it said of itself.
    pub(super) need: TargetNeed,
    /// Whether operators have emptied its zone.
    emptied: bool,
    /// When this process may send to it while something bounds what it takes.
    turns: SendTurns,
}

impl TargetLoad {
    pub(super) fn new(record: Arc<TargetRecord>, need: TargetNeed) -> Self {
        Self {
            record,
            in_flight: 0,
            tokens: 0,
            others: None,
            group: None,
            failures: 0,
            ejections: 0,
            closed_until: None,
            full_until: None,
            gone: false,
            mean_millis: None,
            need,
            emptied: false,
            turns: SendTurns::default(),
        }
    }

    /// Whether a report says that the process beside it is not heard.
    pub(super) fn silent(&self, now: UnixMillis) -> bool {
        self.others.is_some_and(|others| others.silent(now))
    }

    /// Others' requests there, while a report counts.
    pub(super) fn others(&self, now: UnixMillis) -> Option<u32> {
        self.others.and_then(|others| others.requests(now))
    }

    /// Requests there of all processes that are known of, and whether all are. Where no report counts for the target but
    /// some do for others of its service, the others' requests are taken to be `assumed`.
    pub(super) fn requests(&self, assumed: Option<u32>, now: UnixMillis) -> KnownRequests {
        match self.others(now).or(assumed) {
            Some(others) => KnownRequests { count: self.in_flight + others, all: true },
            None => KnownRequests { count: self.in_flight, all: false },
        }
    }

    pub(super) fn report(&self, now: UnixMillis) -> Option<ReportedRequests> {
        let others = self.others?;
        let requests = self.in_flight + others.requests(now)?;
        Some(ReportedRequests { requests, age_millis: others.age(now) })
    }

    pub(super) fn open(&self, now: UnixMillis) -> bool {
        if self.record.state != TargetState::Ready || self.gone || self.closed(now) {
            return false;
        }
        match self.closed_until {
            // After its time out, a target gets one request at a time until one succeeds.
            Some(deadline) => deadline.passed(now) && self.in_flight == 0,
            None => true,
        }
    }

    /// Whether it may take a request for a service that was sent to `tried` already.
    pub(super) fn fits(
        &self,
        settings: &BalancerSettings,
        service: &ServiceName,
        group: GroupView,
        tried: &[TargetName],
        now: UnixMillis,
    ) -> bool {
        self.record.service == *service
            && self.open(now)
            && self.has_room(settings, group, now)
            && !tried.contains(&self.record.id)
    }

    /// Whether it must get nothing now, whatever its row says.
    pub(super) fn closed(&self, now: UnixMillis) -> bool {
        self.emptied || self.need.closed(now)
    }

    /// Whether nothing but its zone, which operators have emptied, keeps requests from it.
    pub(super) fn only_emptied(&self, now: UnixMillis) -> bool {
        self.emptied && self.record.state == TargetState::Ready && !self.gone && !self.need.closed(now)
    }

    /// Takes whether operators have emptied its zone.
    pub(super) fn set_emptied(&mut self, emptied: bool, now: UnixMillis) {
        let before = std::mem::replace(&mut self.emptied, emptied);
        if before && !emptied {
            self.need.restored(now);
        }
    }

    /// Takes its row, and what its service's operators say of cold targets.
    pub(super) fn take_row(&mut self, record: &Arc<TargetRecord>, rule: Option<ColdRule>, first_seen: bool) {
        self.need.set_cold_rule(rule);
        self.need.take_row(record.cold, first_seen);
        self.record = Arc::clone(record);
    }

    /// Until when it rests, where that alone keeps requests from it.
    pub(super) fn rest(&self, now: UnixMillis) -> Option<UnixDeadline> {
        let ready = self.record.state == TargetState::Ready && !self.gone && !self.emptied;
        let ready = ready && !self.need.leaves();
        self.need.rest(now).filter(|_until| ready)
    }

    /// Whether a request that was given a place here may still be sent: what the target said meanwhile counts.
    pub(super) fn stands(&self, rate: Option<TargetRate>, now: UnixMillis) -> bool {
        !self.closed(now) && (rate.is_some() || self.rate(now).is_none())
    }

    /// Which requests it may get now, of those that it has room for; nothing while its rate leaves none for this process.
    pub(super) fn tier(&self, first_send: bool, now: UnixMillis) -> Option<SendTier> {
        let Some(TargetRate { source, .. }) = self.rate(now) else { return Some(SendTier::Free) };
        let tier = match source {
            RateSource::Cold => SendTier::Free,
            // A request that was sent in vain already is not the one to ask with.
            RateSource::Announced if first_send && self.need.unheard(now) => SendTier::Asked,
            RateSource::Announced => SendTier::Limited,
        };
        self.turns.free(now).then_some(tier)
    }

    /// Takes by which rounds this process keeps its rate.
    pub(super) fn set_turns(&mut self, sender: SenderPosition, now: UnixMillis) {
        if let Some(rate) = self.rate(now) {
            self.turns.set(TurnRound::new(rate, sender, &self.record.life()), now);
        }
    }

    /// This process's turns, while something bounds what it takes.
    pub(super) fn turns(&self, now: UnixMillis) -> Option<&SendTurns> {
        self.rate(now).map(|_rate| &self.turns)
    }

    /// What it takes from all processes together, while anything bounds that.
    pub(super) fn rate(&self, now: UnixMillis) -> Option<TargetRate> {
        self.need.rate(now)
    }

    fn has_room(&self, settings: &BalancerSettings, group: GroupView, now: UnixMillis) -> bool {
        if self.full_until.is_some_and(|deadline| !deadline.passed(now)) {
            return false;
        }
        let known = self.requests(group.assumed, now);
        match (group.ranked, known.all) {
            (true, true) => known.count < settings.rank_limit.min(self.record.slots),
            (true, false) => known.count < group.own_limit,
            (false, _) => self.in_flight < self.record.slots,
        }
    }

    /// What one more request costs there, in units of a request in flight. Where its group is slower than others, a
    /// request weighs as much more: groups are filled so that their passes become alike.
    pub(super) fn cost(
        &self,
        own_zone: &ZoneName,
        usual: Option<f64>,
        group: GroupView,
        paces: &ServicePaces,
        now: UnixMillis,
    ) -> f64 {
        let zone = if self.record.zone == *own_zone { 0.0 } else { ZONE_COST };
        let slowness = match (self.mean_millis, usual) {
            (Some(mean), Some(usual)) if mean > usual * SLOW_FACTOR => mean / usual,
            _ => 1.0,
        };
        let tokens = self.tokens as f64 / TOKENS_OF_A_REQUEST;
        let slowness = slowness * paces.factor(self.group);
        let silence = if self.silent(now) { SILENT_REQUESTS } else { 0.0 };
        let lateness = if paces.late(self.group) { LATE_REQUESTS } else { 0.0 };
        let returning = RETURN_REQUESTS * self.need.returning(now);
        let requests = f64::from(self.requests(group.assumed, now).count);
        (requests + tokens + silence + lateness + returning + 1.0) * slowness + zone
    }

    /// Takes the end of a send. Returns whether the target gets nothing for a while from now on.
    pub(super) fn ended(&mut self, work: RequestWork, outcome: SendOutcome, now: UnixMillis) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(work.prompt_tokens);
        match outcome {
            SendOutcome::Answered(millis) => {
                self.answered(millis);
                false
            }
            SendOutcome::Failed => self.failed(now),
            SendOutcome::Lost => {
                self.need.suspect_start();
                self.failed(now)
            }
            SendOutcome::Gone => !std::mem::replace(&mut self.gone, true),
            SendOutcome::Shed => {
                self.full_until = self.group.map(|_group| UnixDeadline::after(now, FULL_MILLIS));
                false
            }
            SendOutcome::Abandoned => false,
        }
    }

    /// Takes that the target's process has ended.
    pub(super) fn died(&mut self, now: UnixMillis) {
        self.failures = self.failures.max(FAILURES_TO_EJECT - 1);
        self.need.suspect_start();
        self.failed(now);
    }

    /// Counts a request there.
    pub(super) fn take(&mut self, work: RequestWork, now: UnixMillis) {
        self.in_flight += 1;
        self.tokens += work.prompt_tokens;
        if self.rate(now).is_some() {
            self.turns.take(now);
        }
    }

    /// Takes what a report says of it.
    pub(super) fn take_report(&mut self, rank: &RankLoad, now: UnixMillis) {
        self.others = Some(OthersLoad::reported(rank, self.in_flight, now));
        if rank.silent {
            self.need.suspect_start();
        }
        self.full_until = None;
    }

    fn answered(&mut self, millis: f64) {
        let mean = self.mean_millis.map_or(millis, |mean| mean + ANSWER_WEIGHT * (millis - mean));
        self.mean_millis = Some(mean);
        self.failures = 0;
        self.ejections = 0;
        self.closed_until = None;
    }

    fn failed(&mut self, now: UnixMillis) -> bool {
        self.failures += 1;
        let trial = self.closed_until.is_some();
        if self.failures < FAILURES_TO_EJECT && !trial {
            return false;
        }
        let time_out = (EJECT_MILLIS << self.ejections.min(8)).min(MAX_EJECT_MILLIS);
        self.closed_until = Some(UnixDeadline::after(now, time_out));
        self.ejections += 1;
        true
    }
}

/// What is known of all targets of a service together.
#[derive(Debug, Clone, Copy)]
pub(super) struct GroupView {
    /// Whether they are ranks of groups.
    pub(super) ranked: bool,
    /// Others' requests at a target that no report counts for: the mean of those with one. A group whose report is missing
    /// is then neither preferred nor starved.
    pub(super) assumed: Option<u32>,
    /// Requests of this process that a rank runs at once while no report counts.
    pub(super) own_limit: u32,
}

/// Requests at a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownRequests {
    pub(super) count: u32,
    /// Whether those of all processes are counted, not only of this one.
    all: bool,
}
