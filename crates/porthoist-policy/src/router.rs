//! Chooses a target for a request by its cost: the predicted time to first token in milliseconds.
//!
//! The cost is the sum of the expected wait, the prefill of the uncached part of the prompt, and the duration of a step.
//! Load reports lag behind, so the work that this entry has sent since a report is added to it.

use crate::membership::rendezvous_score;
use porthoist_core::{
    AttemptId, LoadReport, RefusalReason, ServiceName, TargetName, UnixDeadline, UnixMillis, ZoneName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};

pub mod prefix;

use prefix::PrefixView;

/// Tokens in one prefix block.
pub const BLOCK_TOKENS: u32 = 64;
/// Number of block hashes kept for each target.
pub const PREFIX_CAPACITY: usize = 8192;
/// Number of leading blocks that select the home target of a prefix.
pub const HOME_PREFIX_BLOCKS: usize = 4;
/// Time for which an unreachable target is avoided, in milliseconds; the next load report ends it.
pub const UNREACHABLE_MILLIS: u64 = 1000;

/// Mean backlog that raises the weight of a prompt's own computation by one, in milliseconds.
pub const BACKLOG_MILLIS_PER_WEIGHT: f64 = 10.0;
/// Maximum weight of a prompt's own computation relative to the wait before it; see docs/measurements/ROUTING.md.
pub const MAX_WORK_WEIGHT: f64 = 8.0;

/// Settings of a [`Router`].
#[derive(Debug, Clone, bon::Builder)]
pub struct RouterSettings {
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Round-trip cost of a target in another zone, in milliseconds.
    #[builder(default = 3.0)]
    pub cross_zone_millis: f64,
    /// Number of candidates, including the home of the prefix; the others are random. All targets are candidates if there
    /// are no more.
    #[builder(default = 16)]
    pub choices: usize,
    /// Maximum weight of the prompt's own computation, which also delays the requests behind it and evicts other prefixes
    /// from the cache.
    #[builder(default = MAX_WORK_WEIGHT)]
    pub work_weight: f64,
    /// Number of entries that send to the same targets, including this one.
    #[builder(default = 1)]
    pub entries: u32,

    /// Seed for the random candidates.
    #[builder(default = 1)]
    pub seed: u64,
}

/// A target that a request may be sent to.
#[derive(Debug, Clone)]
pub struct RouteTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Services that it runs.
    pub services: Vec<ServiceName>,
    /// Share of traffic relative to other targets; 0 excludes it.
    pub weight: f64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Request for which a target is chosen.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Requested service.
    pub service: &'a ServiceName,
    /// Current time.
    pub now: UnixMillis,
    /// Deadline of the request.
    pub deadline: UnixDeadline,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefix blocks.
    pub prefix_blocks: &'a [u64],
    /// Targets that have already refused the request.
    pub exclude: &'a [TargetName],
}

/// A chosen target and the values behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// Chosen target.
    pub target: TargetName,
    /// Cost of the target: its weighted time to first token, in milliseconds.
    pub cost_millis: f64,
    /// Prompt tokens expected in its prefix cache.
    pub cached_tokens: u32,
    /// Number of candidates compared.
    pub candidates: usize,
}

#[derive(Debug, Clone, Copy)]
struct SentAttempt {
    at: UnixMillis,
    tokens: u32,
    prefilled: bool,
}

/// A received first token: all work that reached the target before `sent_at` was done by `seen_at`. Answers arrive
/// without delay, so this is often newer than the last load report.
#[derive(Debug, Clone, Copy, Default)]
struct DrainPoint {
    sent_at: UnixMillis,
    seen_at: UnixMillis,
}

#[derive(Debug)]
struct TargetView {
    target: RouteTarget,
    load: LoadReport,
    sent: HashMap<AttemptId, SentAttempt>,
    prefixes: PrefixView,
    inflow: InflowRate,
    drain_point: DrainPoint,
    unreachable_until: UnixMillis,
}

/// Router of one entry.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    views: BTreeMap<TargetName, TargetView>,
    random: Pcg64Mcg,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(settings: RouterSettings) -> Self {
        let random = Pcg64Mcg::seed_from_u64(settings.seed);
        Self { settings, views: BTreeMap::new(), random }
    }

    /// Adds a target or replaces its properties; its load and cache view are kept.
    pub fn upsert(&mut self, target: RouteTarget) {
        if let Some(view) = self.views.get_mut(&target.name) {
            view.target = target;
            return;
        }
        let name = target.name.clone();
        let view = TargetView {
            target,
            load: LoadReport::default(),
            sent: HashMap::new(),
            prefixes: PrefixView::new(PREFIX_CAPACITY),
            inflow: InflowRate::default(),
            drain_point: DrainPoint::default(),
            unreachable_until: UnixMillis(0),
        };
        self.views.insert(name, view);
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &TargetName) {
        self.views.remove(target);
    }

    /// Returns the known targets with their last load reports.
    pub fn targets(&self) -> impl Iterator<Item = (&RouteTarget, &LoadReport)> {
        self.views.values().map(|view| (&view.target, &view.load))
    }

    /// Sets the number of entries that send to the same targets.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries.max(1);
    }

    /// Applies a load report unless it is older than the last one.
    pub fn report(&mut self, target: &TargetName, load: LoadReport) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        if load.at < view.load.at {
            return;
        }
        view.load = load;
        view.unreachable_until = UnixMillis(0);
        if load.draining {
            view.target.leaving = true;
        }
    }

    /// Sets whether a target is leaving.
    pub fn set_leaving(&mut self, target: &TargetName, leaving: bool) {
        if let Some(view) = self.views.get_mut(target) {
            view.target.leaving = leaving;
        }
    }

    /// Records that an attempt was sent to a target.
    pub fn sent(&mut self, now: UnixMillis, target: &TargetName, attempt: AttemptId, query: &RouteQuery<'_>) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        let cached = view.prefixes.cached_blocks(query.prefix_blocks) as u32 * BLOCK_TOKENS;
        let tokens = query.prompt_tokens.saturating_sub(cached);
        view.sent.insert(attempt, SentAttempt { at: now, tokens, prefilled: false });
        view.inflow.add(now, f64::from(tokens));
        view.prefixes.insert(query.prefix_blocks);
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, now: UnixMillis, target: &TargetName, attempt: AttemptId) {
        let Some(view) = self.views.get_mut(target) else { return };
        let Some(sent) = view.sent.get_mut(&attempt) else { return };
        sent.prefilled = true;
        if sent.at >= view.drain_point.sent_at {
            view.drain_point = DrainPoint { sent_at: sent.at, seen_at: now };
        }
    }

    /// Records the end of an attempt.
    pub fn done(&mut self, target: &TargetName, attempt: AttemptId) {
        if let Some(view) = self.views.get_mut(target) {
            view.sent.remove(&attempt);
        }
    }

    /// Resets the load and cache view of a target whose process has restarted.
    pub fn reset(&mut self, target: &TargetName) {
        if let Some(view) = self.views.get_mut(target) {
            view.load = LoadReport { at: view.load.at, ..LoadReport::default() };
            view.prefixes = PrefixView::new(PREFIX_CAPACITY);
            view.drain_point = DrainPoint::default();
        }
    }

    /// Avoids an unreachable target for [`UNREACHABLE_MILLIS`] or until its next report.
    pub fn unreachable(&mut self, now: UnixMillis, target: &TargetName) {
        if let Some(view) = self.views.get_mut(target) {
            view.unreachable_until = now.plus(UNREACHABLE_MILLIS);
        }
    }

    /// Applies the cache events of a target: added and removed blocks.
    pub fn cache_events(&mut self, target: &TargetName, added: &[u64], removed: &[u64]) {
        if let Some(view) = self.views.get_mut(target) {
            view.prefixes.insert(added);
            view.prefixes.remove(removed);
        }
    }

    /// Removes blocks that turned out to be missing in a target's cache.
    pub fn cache_missed(&mut self, target: &TargetName, missing: &[u64]) {
        self.cache_events(target, &[], missing);
    }

    /// Chooses the candidate with the lowest cost.
    pub fn choose(&mut self, query: &RouteQuery<'_>) -> Result<RouteChoice, RefusalReason> {
        let names = self.candidates(query);
        let candidates = names.len();
        let weight = self.work_weight(&names, query.now);
        let mut best: Option<RouteChoice> = None;
        for name in names {
            let view = &self.views[&name];
            let (cost_millis, cached_tokens) = self.cost(view, query, weight);
            if best.as_ref().is_none_or(|choice| cost_millis < choice.cost_millis) {
                best = Some(RouteChoice { target: name, cost_millis, cached_tokens, candidates });
            }
        }
        best.ok_or(RefusalReason::NoTarget)
    }

    fn candidates(&mut self, query: &RouteQuery<'_>) -> Vec<TargetName> {
        let is_usable = |view: &&TargetView| view.is_usable(query) && view.unreachable_until <= query.now;
        let mut views: Vec<&TargetView> = self.views.values().filter(is_usable).collect();
        if views.is_empty() {
            views = self.views.values().filter(|view| view.is_usable(query)).collect();
        }
        if views.len() <= self.settings.choices {
            return views.into_iter().map(|view| view.target.name.clone()).collect();
        }
        let mut chosen = Vec::with_capacity(self.settings.choices + 1);
        if let Some(home) = home_target(&views, query.prefix_blocks) {
            chosen.push(home);
        }
        while chosen.len() < self.settings.choices {
            let index = self.random.random_range(0..views.len());
            chosen.push(views.swap_remove(index).target.name.clone());
        }
        chosen
    }

    /// Returns the weight of a prompt's own computation, which grows from 1 with the mean backlog of the candidates.
    fn work_weight(&self, names: &[TargetName], now: UnixMillis) -> f64 {
        let mut total = 0.0;
        for name in names {
            let view = &self.views[name];
            if view.load.prefill_rate > 0 {
                let rate = f64::from(view.load.prefill_rate) / 1000.0;
                total += self.backlog_tokens(view, now, rate) / rate;
            }
        }
        let mean = total / names.len().max(1) as f64;
        (1.0 + mean / BACKLOG_MILLIS_PER_WEIGHT).min(self.settings.work_weight)
    }

    fn cost(&self, view: &TargetView, query: &RouteQuery<'_>, work_weight: f64) -> (f64, u32) {
        let load = &view.load;
        let unreported = view.unreported();
        let age = query.now.since(load.at) as f64;
        let slot_millis = f64::from(load.slot_micros) / 1000.0;
        let drained = if slot_millis > 0.0 { age / slot_millis } else { 0.0 };
        let reported = (f64::from(load.running + load.queued) - drained).max(0.0);
        let occupied = reported + unreported.requests;
        let waiting = (occupied + 1.0 - f64::from(load.slots.max(1))).max(0.0);
        let slot_wait = waiting * slot_millis;
        let rate = f64::from(load.prefill_rate.max(1)) / 1000.0;
        let cached = view.prefixes.cached_blocks(query.prefix_blocks) as u32 * BLOCK_TOKENS;
        let cached = cached.min(query.prompt_tokens);
        let (backlog, own) = if load.prefill_rate == 0 {
            (0.0, 0.0)
        } else {
            let backlog = self.backlog_tokens(view, query.now, rate) / rate;
            (backlog, f64::from(query.prompt_tokens - cached) / rate)
        };
        let step_millis = f64::from(load.step_micros) / 1000.0;

        let zone = if view.target.zone == self.settings.zone { 0.0 } else { self.settings.cross_zone_millis };
        let cost = slot_wait + backlog + own * work_weight + step_millis + zone;
        // Breaks ties in favour of the least occupied target, so that requests are not all sent to the first name.
        let occupancy = occupied / f64::from(load.slots.max(1));
        ((cost + occupancy) / view.target.weight, cached)
    }

    /// Estimates the prompt tokens waiting at a target, from the newer of its last load report and last first token.
    fn backlog_tokens(&self, view: &TargetView, now: UnixMillis, rate: f64) -> f64 {
        let newer = view.drain_point.seen_at > view.load.at;
        let (known, since, at) = if newer {
            (0.0, view.drain_point.sent_at, view.drain_point.seen_at)
        } else {
            (view.load.queued_tokens as f64, view.load.at, view.load.at)
        };
        let others = f64::from(self.settings.entries - 1) * view.inflow.rate(now) * now.since(since) as f64;
        let mut own = 0.0;
        let mut unanswered = 0.0;
        for sent in view.sent.values() {
            let tokens = f64::from(sent.tokens);
            own += if sent.at >= since && !(newer && sent.prefilled) { tokens } else { 0.0 };
            unanswered += if sent.prefilled { 0.0 } else { tokens };
        }
        let done = rate * now.since(at) as f64;
        (known + own + others - done).max(unanswered)
    }
}

fn home_target(views: &[&TargetView], blocks: &[u64]) -> Option<TargetName> {
    let key = *blocks.get(HOME_PREFIX_BLOCKS - 1).or(blocks.last())?;
    let score = |view: &&&TargetView| rendezvous_score(key, view.target.name.as_str());
    views.iter().max_by_key(score).map(|view| view.target.name.clone())
}

/// Time constant of the moving average of inflow, in milliseconds.
const INFLOW_MILLIS: f64 = 2000.0;

/// Tokens per millisecond that this entry sends to a target; the other entries are assumed to send as many.
#[derive(Debug, Default, Clone, Copy)]
struct InflowRate {
    tokens: f64,
    at: UnixMillis,
}

impl InflowRate {
    fn decayed(&self, now: UnixMillis) -> f64 {
        self.tokens * (-(now.since(self.at) as f64) / INFLOW_MILLIS).exp()
    }

    fn add(&mut self, now: UnixMillis, tokens: f64) {
        self.tokens = self.decayed(now) + tokens;
        self.at = now;
    }

    fn rate(&self, now: UnixMillis) -> f64 {
        self.decayed(now) / INFLOW_MILLIS
    }
}

struct UnreportedWork {
    requests: f64,
    tokens: f64,
}

impl TargetView {
    fn is_usable(&self, query: &RouteQuery<'_>) -> bool {
        let target = &self.target;
        !target.leaving
            && target.weight > 0.0
            && target.services.contains(query.service)
            && !query.exclude.contains(&target.name)
    }

    /// Returns the work that this entry has sent since the last load report.
    fn unreported(&self) -> UnreportedWork {
        let after_report = |sent: &&SentAttempt| sent.at >= self.load.at;
        let mut unreported = UnreportedWork { requests: 0.0, tokens: 0.0 };
        for sent in self.sent.values().filter(after_report) {
            unreported.requests += 1.0;
            unreported.tokens += f64::from(sent.tokens);
        }
        unreported
    }
}
