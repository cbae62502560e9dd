//! How each policy chooses a target.

use super::engine::EngineFake;
use super::workload::SimRequest;
use porthoist_core::{AttemptId, LoadReport, ServiceName, TargetName, UnixDeadline, UnixMillis, ZoneName};
use porthoist_policy::router::{RouteQuery, RouteTarget, Router, RouterSettings};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct ChooseCase<'a> {
    /// The present time in microseconds.
    pub now: u64,
    /// The request.
    pub request: &'a SimRequest,
    /// When its first token is due.
    pub deadline: UnixDeadline,
    /// Targets that failed already.
    pub exclude: &'a [usize],
}

/// The choices of one entry.
pub trait TargetChooser: fmt::Debug {
    /// Chooses a target; `truth` is for the omniscient only.
    fn choose(&mut self, case: &ChooseCase<'_>, truth: &[EngineFake]) -> Option<usize>;
    /// An attempt is sent.
    fn sent(&mut self, _case: &ChooseCase<'_>, _target: usize, _attempt: AttemptId) {}
    /// The first token of an attempt came back.
    fn first_token(&mut self, _now: u64, _target: usize, _attempt: AttemptId) {}
    /// An attempt is over.
    fn done(&mut self, _target: usize, _attempt: AttemptId) {}
    /// A load report arrives.
    fn report(&mut self, _target: usize, _load: LoadReport) {}
    /// A cache event arrives.
    fn cache_event(&mut self, _target: usize, _added: &[u64], _removed: &[u64]) {}
    /// A target broke a connection.
    fn lost(&mut self, _now: u64, _target: usize) {}
}

/// Random choice.
#[derive(Debug)]
pub struct RandomChooser {
    random: Pcg64Mcg,
    targets: usize,
}

impl TargetChooser for RandomChooser {
    fn choose(&mut self, case: &ChooseCase<'_>, _truth: &[EngineFake]) -> Option<usize> {
        let open: Vec<usize> = (0..self.targets).filter(|target| !case.exclude.contains(target)).collect();
        (!open.is_empty()).then(|| open[self.random.random_range(0..open.len())])
    }
}

/// One after the other.
#[derive(Debug)]
pub struct RoundRobinChooser {
    next: usize,
    targets: usize,
}

impl TargetChooser for RoundRobinChooser {
    fn choose(&mut self, case: &ChooseCase<'_>, _truth: &[EngineFake]) -> Option<usize> {
        for _ in 0..self.targets {
            self.next = (self.next + 1) % self.targets;
            if !case.exclude.contains(&self.next) {
                return Some(self.next);
            }
        }
        None
    }
}

/// The least loaded by the last report, of all or of two drawn at random.
#[derive(Debug)]
pub struct ReportedChooser {
    random: Pcg64Mcg,
    loads: Vec<LoadReport>,
    drawn: Option<usize>,
}

impl TargetChooser for ReportedChooser {
    fn choose(&mut self, case: &ChooseCase<'_>, _truth: &[EngineFake]) -> Option<usize> {
        let mut open: Vec<usize> =
            (0..self.loads.len()).filter(|target| !case.exclude.contains(target)).collect();
        if let Some(drawn) = self.drawn {
            while open.len() > drawn {
                let index = self.random.random_range(0..open.len());
                open.swap_remove(index);
            }
        }
        let key = |target: &usize| {
            let load = &self.loads[*target];
            (load.queued + load.running, load.queued_tokens)
        };
        open.into_iter().min_by_key(key)
    }

    fn report(&mut self, target: usize, load: LoadReport) {
        if load.at >= self.loads[target].at {
            self.loads[target] = load;
        }
    }
}

/// Sees the true queues and caches of all targets at once.
#[derive(Debug)]
pub struct OmniscientChooser;

impl TargetChooser for OmniscientChooser {
    fn choose(&mut self, case: &ChooseCase<'_>, truth: &[EngineFake]) -> Option<usize> {
        let open = (0..truth.len()).filter(|target| !case.exclude.contains(target) && !truth[*target].dead);
        let cost = |target: &usize| truth[*target].true_millis(case.request);
        open.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }
}

/// The daemon's router.
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
        case: &ChooseCase<'a>,
        exclude: &'a [TargetName],
    ) -> RouteQuery<'a> {
        RouteQuery {
            service,
            now: UnixMillis(case.now / 1000),
            deadline: case.deadline,
            prompt_tokens: case.request.prompt_tokens,
            prefix_blocks: &case.request.blocks,
            exclude,
        }
    }
}

impl TargetChooser for RouterChooser {
    fn choose(&mut self, case: &ChooseCase<'_>, _truth: &[EngineFake]) -> Option<usize> {
        let exclude: Vec<TargetName> =
            case.exclude.iter().map(|target| self.names[*target].clone()).collect();
        let query = Self::query(&self.service, case, &exclude);
        let choice = self.router.choose(&query).ok()?;
        self.names.iter().position(|name| *name == choice.target)
    }

    fn sent(&mut self, case: &ChooseCase<'_>, target: usize, attempt: AttemptId) {
        let query = Self::query(&self.service, case, &[]);
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

    fn lost(&mut self, now: u64, target: usize) {
        self.router.reset(&self.names[target]);
        self.router.unreachable(UnixMillis(now / 1000), &self.names[target]);
    }
}

/// The chooser of one entry under a policy of [`super::POLICIES`].
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
        "least_reported" => Box::new(ReportedChooser { random, loads, drawn: None }),
        "two_choices" => Box::new(ReportedChooser { random, loads, drawn: Some(2) }),
        "omniscient" => Box::new(OmniscientChooser),
        _ => Box::new(RouterChooser::new(entry, entries, targets, seed)),
    }
}
