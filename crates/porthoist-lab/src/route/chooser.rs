//! Target choosers of the compared policies.

use super::engine::SimEngine;
use super::workload::SimRequest;
use porthoist_core::{AttemptId, LoadReport, ServiceName, TargetName, UnixDeadline, UnixMillis, ZoneName};
use porthoist_policy::router::{RouteQuery, RouteTarget, Router, RouterSettings};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// Input of a choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceContext<'a> {
    /// Current time in microseconds.
    pub now: u64,
    /// The request.
    pub request: &'a SimRequest,
    /// Deadline of its first token.
    pub deadline: UnixDeadline,
    /// Targets at which the request already failed.
    pub exclude: &'a [usize],
}

/// Chooses targets for one entry.
pub trait TargetChooser: fmt::Debug {
    /// Chooses a target. Only the omniscient policy may look at `engines`.
    fn choose(&mut self, context: &ChoiceContext<'_>, engines: &[SimEngine]) -> Option<usize>;
    /// Records that an attempt was sent.
    fn sent(&mut self, _case: &ChoiceContext<'_>, _target: usize, _attempt: AttemptId) {}
    /// Records the first token of an attempt.
    fn first_token(&mut self, _now: u64, _target: usize, _attempt: AttemptId) {}
    /// Records the end of an attempt.
    fn done(&mut self, _target: usize, _attempt: AttemptId) {}
    /// Records a load report.
    fn report(&mut self, _target: usize, _load: LoadReport) {}
    /// Records a cache event.
    fn cache_event(&mut self, _target: usize, _added: &[u64], _removed: &[u64]) {}
    /// Records that the connection to a target was lost.
    fn connection_lost(&mut self, _now: u64, _target: usize) {}
}

/// Chooses a random target.
#[derive(Debug)]
pub struct RandomChooser {
    random: Pcg64Mcg,
    targets: usize,
}

impl TargetChooser for RandomChooser {
    fn choose(&mut self, context: &ChoiceContext<'_>, _truth: &[SimEngine]) -> Option<usize> {
        let candidates: Vec<usize> =
            (0..self.targets).filter(|target| !context.exclude.contains(target)).collect();
        (!candidates.is_empty()).then(|| candidates[self.random.random_range(0..candidates.len())])
    }
}

/// Chooses the targets in turn.
#[derive(Debug)]
pub struct RoundRobinChooser {
    next: usize,
    targets: usize,
}

impl TargetChooser for RoundRobinChooser {
    fn choose(&mut self, context: &ChoiceContext<'_>, _truth: &[SimEngine]) -> Option<usize> {
        for _ in 0..self.targets {
            self.next = (self.next + 1) % self.targets;
            if !context.exclude.contains(&self.next) {
                return Some(self.next);
            }
        }
        None
    }
}

/// Chooses the least loaded target according to the last reports, among all targets or among a
/// random sample.
#[derive(Debug)]
pub struct ReportedChooser {
    random: Pcg64Mcg,
    loads: Vec<LoadReport>,
    sample_size: Option<usize>,
}

impl TargetChooser for ReportedChooser {
    fn choose(&mut self, context: &ChoiceContext<'_>, _truth: &[SimEngine]) -> Option<usize> {
        let mut candidates: Vec<usize> =
            (0..self.loads.len()).filter(|target| !context.exclude.contains(target)).collect();
        if let Some(sample_size) = self.sample_size {
            while candidates.len() > sample_size {
                let index = self.random.random_range(0..candidates.len());
                candidates.swap_remove(index);
            }
        }
        let key = |target: &usize| {
            let load = &self.loads[*target];
            (load.queued + load.running, load.queued_tokens)
        };
        candidates.into_iter().min_by_key(key)
    }

    fn report(&mut self, target: usize, load: LoadReport) {
        if load.at >= self.loads[target].at {
            self.loads[target] = load;
        }
    }
}

/// Chooses by the actual queues and caches of all targets.
#[derive(Debug)]
pub struct OmniscientChooser;

impl TargetChooser for OmniscientChooser {
    fn choose(&mut self, context: &ChoiceContext<'_>, engines: &[SimEngine]) -> Option<usize> {
        let candidates = (0..engines.len())
            .filter(|target| !context.exclude.contains(target) && !engines[*target].is_down);
        let cost = |target: &usize| engines[*target].actual_millis(context.request);
        candidates.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }
}

/// Chooses with the daemon's router.
#[derive(Debug)]
pub struct RouterChooser {
    router: Router,
    names: Vec<TargetName>,
    service: ServiceName,
}

impl RouterChooser {
    fn new(entry: usize, entries: usize, targets: usize, seed: u64) -> Self {
        let zone = |index: usize| -> ZoneName { format!("zone-{}", index % 3).parse().expect("valid") };
        let settings = RouterSettings::builder()
            .zone(zone(entry))
            .entries(entries as u32)
            .seed(seed ^ entry as u64)
            .build();
        let mut router = Router::new(settings);
        let service: ServiceName = "model".parse().expect("valid");
        let names: Vec<TargetName> =
            (0..targets).map(|index| format!("target-{index:02}").parse().expect("valid")).collect();
        for (index, name) in names.iter().enumerate() {
            router.upsert(RouteTarget {
                name: name.clone(),
                zone: zone(index),
                services: vec![service.clone()],
                weight: 1.0,
                leaving: false,
            });
        }
        Self { router, names, service }
    }

    fn query<'a>(
        service: &'a ServiceName,
        context: &ChoiceContext<'a>,
        exclude: &'a [TargetName],
    ) -> RouteQuery<'a> {
        RouteQuery {
            service,
            now: UnixMillis(context.now / 1000),
            deadline: context.deadline,
            prompt_tokens: context.request.prompt_tokens,
            prefix_blocks: &context.request.blocks,
            exclude,
        }
    }
}

impl TargetChooser for RouterChooser {
    fn choose(&mut self, context: &ChoiceContext<'_>, _truth: &[SimEngine]) -> Option<usize> {
        let exclude: Vec<TargetName> =
            context.exclude.iter().map(|target| self.names[*target].clone()).collect();
        let query = Self::query(&self.service, context, &exclude);
        let choice = self.router.choose(&query).ok()?;
        self.names.iter().position(|name| *name == choice.target)
    }

    fn sent(&mut self, context: &ChoiceContext<'_>, target: usize, attempt: AttemptId) {
        let query = Self::query(&self.service, context, &[]);
        self.router.sent(query.now, &self.names[target], attempt, &query);
    }

    fn first_token(&mut self, now: u64, target: usize, attempt: AttemptId) {
        self.router.first_token(UnixMillis(now / 1000), &self.names[target], attempt);
    }

    fn done(&mut self, target: usize, attempt: AttemptId) {
        self.router.done(&self.names[target], attempt);
    }

    fn report(&mut self, target: usize, load: LoadReport) {
        self.router.report(&self.names[target], load);
    }

    fn cache_event(&mut self, target: usize, added: &[u64], removed: &[u64]) {
        self.router.cache_events(&self.names[target], added, removed);
    }

    fn connection_lost(&mut self, now: u64, target: usize) {
        self.router.reset(&self.names[target]);
        self.router.unreachable(UnixMillis(now / 1000), &self.names[target]);
    }
}

/// Creates the chooser of one entry for a policy in [`super::POLICIES`].
pub fn chooser(
    policy: &str,
    entry: usize,
    entries: usize,
    targets: usize,
    seed: u64,
) -> Box<dyn TargetChooser> {
    let random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(entry as u64));
    let loads = vec![LoadReport::default(); targets];
    match policy {
        "random" => Box::new(RandomChooser { random, targets }),
        "round_robin" => Box::new(RoundRobinChooser { next: entry, targets }),
        "least_reported" => Box::new(ReportedChooser { random, loads, sample_size: None }),
        "two_choices" => Box::new(ReportedChooser { random, loads, sample_size: Some(2) }),
        "omniscient" => Box::new(OmniscientChooser),
        _ => Box::new(RouterChooser::new(entry, entries, targets, seed)),
    }
}
