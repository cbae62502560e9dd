//! Choice of a target for a request, as a cost in milliseconds until its first token.
//!
//! The cost is the expected wait, the prefill of what is not cached there, and the pace of the group's steps. Load
//! reports are late, so they are corrected by what this entry itself sent since.

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
/// Block hashes kept for each target.
pub const PREFIX_CAPACITY: usize = 8192;
/// Blocks whose hash names the home of a prefix.
pub const HOME_BLOCKS: usize = 4;
/// Added to the cost of a target that could not be reached, until it is heard again, in milliseconds.
pub const UNREACHABLE_MILLIS: u64 = 1000;

/// The weight of a prompt's own computation grows by one for each so many milliseconds of mean backlog.
pub const WEIGHT_MILLIS: f64 = 10.0;
/// Highest weight of a prompt's own computation against the wait before it; see docs/measurements/ROUTING.md.
pub const WORK_WEIGHT: f64 = 8.0;

/// Settings of a router.
#[derive(Debug, Clone, bon::Builder)]
pub struct RouterSettings {
    /// The entry's own availability zone.
    pub zone: ZoneName,
    /// Added to the cost of a target in another zone, in milliseconds, there and back.
    #[builder(default = 3.0)]
    pub cross_zone_millis: f64,
    /// Random candidates beside the prefix's home; all targets where there are no more.
    #[builder(default = 16)]
    pub choices: usize,
    /// Weight of the prompt's own computation: it delays everyone behind it too, and what it puts into a cache drives
    /// something else out.
    #[builder(default = WORK_WEIGHT)]
    pub work_weight: f64,
    /// Entries that send to the same targets, this one included.
    #[builder(default = 1)]
    pub entries: u32,

    /// Seed of the random choices.
    #[builder(default = 1)]
    pub seed: u64,
}

/// A target that may be chosen.
#[derive(Debug, Clone)]
pub struct RouteTarget {
    /// Its name.
    pub name: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The services it runs.
    pub services: Vec<ServiceName>,
    /// Share of traffic relative to others; 0 takes it out.
    pub weight: f64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The service asked for.
    pub service: &'a ServiceName,
    /// The present time.
    pub now: UnixMillis,
    /// When the answer is due.
    pub deadline: UnixDeadline,
    /// Estimated prompt length.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefix blocks.
    pub prefix_blocks: &'a [u64],
    /// Targets that refused already.
    pub exclude: &'a [TargetName],
}

/// A choice and the numbers behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// The target.
    pub target: TargetName,
    /// Predicted time to the first token in milliseconds.
    pub cost_millis: f64,
    /// Prompt tokens expected in its cache.
    pub cached_tokens: u32,
    /// Candidates compared.
    pub candidates: usize,
}

#[derive(Debug, Clone, Copy)]
struct SentAttempt {
    at: UnixMillis,
    tokens: u32,
    prefilled: bool,
}

/// A first token that came back: all work that reached the target before `sent_at` was done by `seen_at`. Answers
/// come at once, so this is often newer than the last load report.
#[derive(Debug, Clone, Copy, Default)]
struct ClearPoint {
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
    clear: ClearPoint,
    unreachable_until: UnixMillis,
}

/// The router of one entry.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    views: BTreeMap<TargetName, TargetView>,
    random: Pcg64Mcg,
}

impl Router {
    /// A router without targets.
    pub fn new(settings: RouterSettings) -> Self {
        let random = Pcg64Mcg::seed_from_u64(settings.seed);
        Self { settings, views: BTreeMap::new(), random }
    }

    /// Adds a target or replaces what is known of it; its load and cache view stay.
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
            clear: ClearPoint::default(),
            unreachable_until: UnixMillis(0),
        };
        self.views.insert(name, view);
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &TargetName) {
        self.views.remove(target);
    }

    /// The targets known.
    pub fn targets(&self) -> impl Iterator<Item = (&RouteTarget, &LoadReport)> {
        self.views.values().map(|view| (&view.target, &view.load))
    }

    /// Sets how many entries send to the same targets.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries.max(1);
    }

    /// Takes a load report; older ones than the last are ignored.
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

    /// Marks a target as leaving or staying.
    pub fn set_leaving(&mut self, target: &TargetName, leaving: bool) {
        if let Some(view) = self.views.get_mut(target) {
            view.target.leaving = leaving;
        }
    }

    /// Counts an attempt as sent.
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

    /// The first token of an attempt came back.
    pub fn first_token(&mut self, now: UnixMillis, target: &TargetName, attempt: AttemptId) {
        let Some(view) = self.views.get_mut(target) else { return };
        let Some(sent) = view.sent.get_mut(&attempt) else { return };
        sent.prefilled = true;
        if sent.at >= view.clear.sent_at {
            view.clear = ClearPoint { sent_at: sent.at, seen_at: now };
        }
    }

    /// Counts an attempt as over.
    pub fn done(&mut self, target: &TargetName, attempt: AttemptId) {
        if let Some(view) = self.views.get_mut(target) {
            view.sent.remove(&attempt);
        }
    }

    /// A target's process began a new life: nothing known of its queue and cache holds any more.
    pub fn reset(&mut self, target: &TargetName) {
        if let Some(view) = self.views.get_mut(target) {
            view.load = LoadReport { at: view.load.at, ..LoadReport::default() };
            view.prefixes = PrefixView::new(PREFIX_CAPACITY);
            view.clear = ClearPoint::default();
        }
    }

    /// Avoids a target that could not be reached, for a while.
    pub fn unreachable(&mut self, now: UnixMillis, target: &TargetName) {
        if let Some(view) = self.views.get_mut(target) {
            view.unreachable_until = now.plus(UNREACHABLE_MILLIS);
        }
    }

    /// Takes cache events of a target: blocks that came and blocks that went.
    pub fn cache_events(&mut self, target: &TargetName, added: &[u64], removed: &[u64]) {
        if let Some(view) = self.views.get_mut(target) {
            view.prefixes.insert(added);
            view.prefixes.remove(removed);
        }
    }

    /// A prompt's cached part was shorter than believed: the rest is gone there.
    pub fn cache_missed(&mut self, target: &TargetName, missing: &[u64]) {
        self.cache_events(target, &[], missing);
    }

    /// Chooses a target.
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
        let usable = |view: &&TargetView| view.usable(query) && view.unreachable_until <= query.now;
        let mut views: Vec<&TargetView> = self.views.values().filter(usable).collect();
        if views.is_empty() {
            views = self.views.values().filter(|view| view.usable(query)).collect();
        }
        if views.len() <= self.settings.choices {
            return views.into_iter().map(|view| view.target.name.clone()).collect();
        }
        let mut chosen = Vec::with_capacity(self.settings.choices + 1);
        if let Some(home) = home_of(&views, query.prefix_blocks) {
            chosen.push(home);
        }
        while chosen.len() < self.settings.choices {
            let index = self.random.random_range(0..views.len());
            chosen.push(views.swap_remove(index).target.name.clone());
        }
        chosen
    }

    /// Weight of a prompt's own computation: little while the targets are idle, more the longer their queues are.
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
        (1.0 + mean / WEIGHT_MILLIS).min(self.settings.work_weight)
    }

    fn cost(&self, view: &TargetView, query: &RouteQuery<'_>, work_weight: f64) -> (f64, u32) {
        let load = &view.load;
        let unseen = view.unseen();
        let age = query.now.since(load.at) as f64;
        let slot_millis = f64::from(load.slot_micros) / 1000.0;
        let drained = if slot_millis > 0.0 { age / slot_millis } else { 0.0 };
        let reported = (f64::from(load.running + load.queued) - drained).max(0.0);
        let occupied = reported + unseen.requests;
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
        let pace = f64::from(load.step_micros) / 1000.0;

        let zone = if view.target.zone == self.settings.zone { 0.0 } else { self.settings.cross_zone_millis };
        let cost = slot_wait + backlog + own * work_weight + pace + zone;
        // Among idle targets the least occupied one wins, so that equal costs don't all go to one name.
        let tie = occupied / f64::from(load.slots.max(1));
        ((cost + tie) / view.target.weight, cached)
    }

    /// Prompt tokens that wait at a target now, from the newest thing known of it: a load report or a first token.
    fn backlog_tokens(&self, view: &TargetView, now: UnixMillis, rate: f64) -> f64 {
        let newer = view.clear.seen_at > view.load.at;
        let (known, since, at) = if newer {
            (0.0, view.clear.sent_at, view.clear.seen_at)
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

fn home_of(views: &[&TargetView], blocks: &[u64]) -> Option<TargetName> {
    let key = *blocks.get(HOME_BLOCKS - 1).or(blocks.last())?;
    let score = |view: &&&TargetView| rendezvous_score(key, view.target.name.as_str());
    views.iter().max_by_key(score).map(|view| view.target.name.clone())
}

/// Time over which the inflow to a target is averaged, in milliseconds.
const INFLOW_MILLIS: f64 = 2000.0;

/// Tokens a millisecond that this entry sends to a target; the other entries are taken to send alike.
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

struct UnseenWork {
    requests: f64,
    tokens: f64,
}

impl TargetView {
    fn usable(&self, query: &RouteQuery<'_>) -> bool {
        let target = &self.target;
        !target.leaving
            && target.weight > 0.0
            && target.services.contains(query.service)
            && !query.exclude.contains(&target.name)
    }

    /// Work that this entry sent since the last report.
    fn unseen(&self) -> UnseenWork {
        let since = |sent: &&SentAttempt| sent.at >= self.load.at;
        let mut unseen = UnseenWork { requests: 0.0, tokens: 0.0 };
        for sent in self.sent.values().filter(since) {
            unseen.requests += 1.0;
            unseen.tokens += f64::from(sent.tokens);
        }
        unseen
    }
}
