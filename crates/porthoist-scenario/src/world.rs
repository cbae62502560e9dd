//! Simulated environment of a scenario: entries, targets and the network between them, on virtual time.

pub mod entry;
pub mod network;
pub mod outcome;
pub(crate) mod ports;
pub mod target;

use crate::backend::FakeRun;
use crate::platform::MemoryPlatform;
use crate::script::{Expectation, Scenario, StepKind, TimedStep};
use entry::EntryNode;
use network::ScenarioNetwork;
use outcome::SentOutcome;
use porthoist_core::{ClockSource, UnixMillis};
use porthoist_operator::{EditProblem, RowEdit, TableEditor};
use porthoist_policy::table::{RowCells, RowKey};
use porthoist_table::{CONFIG_PREFIX, PlatformClient, TableWrite};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use target::TargetNode;
use tokio::time::Instant;

/// Team of all requests.
pub const TEAM: &str = "team";
/// Maximum time to wait for outcomes after the last step.
const SETTLE_TIME: Duration = Duration::from_mins(2);
/// Time at the start of the scenario, in milliseconds since the Unix epoch.
const START_MILLIS: u64 = 1_000_000;

/// Clock that follows the runtime's virtual time.
#[derive(Debug)]
pub struct VirtualClock {
    started: Instant,
}

impl ClockSource for VirtualClock {
    fn now(&self) -> UnixMillis {
        UnixMillis(START_MILLIS + self.started.elapsed().as_millis() as u64)
    }
}

/// Result of a scenario.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScenarioReport {
    /// Violated expectations and guarantees, and wrong responses.
    pub failures: Vec<String>,
    /// Number of requests sent.
    pub sent: usize,
    /// Number of complete responses.
    pub whole: usize,
    /// Number of refusals by verdict.
    pub refused: BTreeMap<String, usize>,
    /// Number of broken streams and of requests whose entry died.
    pub broken: usize,
    /// Number of runs at all back ends.
    pub runs: usize,
    /// Number of non-repeatable requests that ran more than once.
    pub run_twice: usize,
    /// Number of requests that ran although they were refused with the verdict "not-run".
    pub false_not_run: usize,
}

/// State that scenario steps act on.
pub(crate) struct ScenarioWorld {
    pub(crate) started: Instant,
    pub(crate) clock: Arc<VirtualClock>,
    pub(crate) network: Arc<ScenarioNetwork>,
    pub(crate) platform: MemoryPlatform,
    pub(crate) targets: BTreeMap<String, Arc<TargetNode>>,
    entries: BTreeMap<String, Arc<EntryNode>>,
    edits: BTreeMap<String, Result<u64, &'static str>>,
    start_versions: BTreeMap<String, u64>,
    tickets: BTreeMap<String, porthoist_core::TicketText>,
    outcomes: Arc<Mutex<BTreeMap<String, SentOutcome>>>,
    sent: Vec<crate::script::SendSpec>,
}

/// Runs a scenario on virtual time.
pub fn run(scenario: &Scenario) -> ScenarioReport {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime without threads can always be built");
    runtime.block_on(async {
        let mut world = ScenarioWorld::new(scenario).await;
        for step in &scenario.steps {
            world.run_step(step).await;
        }
        world.settle().await;
        world.report(scenario)
    })
}

fn row_value(cells: &RowCells) -> serde_json::Value {
    json!({ "cells": cells, "edit": "start" })
}

fn cells(pairs: &[(&str, &str)]) -> RowCells {
    pairs.iter().map(|(column, cell)| ((*column).to_owned(), (*cell).to_owned())).collect()
}

impl ScenarioWorld {
    async fn new(scenario: &Scenario) -> Self {
        let started = Instant::now();
        let clock = Arc::new(VirtualClock { started });
        let network = Arc::new(ScenarioNetwork::default());
        let platform = MemoryPlatform::default();
        let mut targets = BTreeMap::new();
        let mut rows = vec![cells(&[("kind", "team"), ("name", TEAM), ("weight", "1"), ("rate", "100000")])];
        for spec in &scenario.targets {
            rows.push(cells(&[("kind", "service"), ("name", &spec.service), ("mode", "model")]));
            let node = TargetNode::start(spec.clone(), started, Arc::<VirtualClock>::clone(&clock)).await;
            targets.insert(spec.name.clone(), Arc::new(node));
        }
        rows.dedup();
        let start_versions = write_rows(&platform, &rows).await;
        let mut entries = BTreeMap::new();
        for spec in &scenario.entries {
            let shared = (Arc::clone(&network), platform.clone(), Arc::<VirtualClock>::clone(&clock));
            entries.insert(spec.name.clone(), EntryNode::start(spec, shared, &targets));
        }
        for node in entries.values() {
            node.follow_config(&entries.values().cloned().collect::<Vec<_>>());
        }
        Self {
            started,
            clock,
            network,
            platform,
            targets,
            entries,
            edits: BTreeMap::new(),
            start_versions,
            tickets: BTreeMap::new(),
            outcomes: Arc::default(),
            sent: Vec::new(),
        }
    }

    async fn run_step(&mut self, step: &TimedStep) {
        tokio::time::sleep_until(self.started + Duration::from_millis(step.at)).await;
        match &step.kind {
            StepKind::Send(spec) => {
                let ticket = spec.key.as_ref().and_then(|key| key.strip_prefix("ticket:"));
                let ticket = ticket.and_then(|name| self.tickets.get(name)).cloned();
                self.sent.push(spec.clone());
                self.entries[&spec.entry].send(spec, ticket, Arc::clone(&self.outcomes));
            }
            StepKind::Ticket { name, target } => {
                if let Some(ticket) = self.targets[target].mint(self.clock.now()).await {
                    self.tickets.insert(name.clone(), ticket);
                }
            }
            StepKind::Kill(name) => self.kill(name),
            StepKind::Restart(name) => self.restart(name).await,
            StepKind::Pause(name) => self.set_paused(name, true),
            StepKind::Resume(name) => self.set_paused(name, false),
            StepKind::Cut(left, right) => self.network.cut(left, right),
            StepKind::Heal(left, right) => self.network.heal(left, right),
            StepKind::Platform(up) => self.platform.set_up(*up),
            StepKind::LoseAnswers(count) => self.platform.lose_answers(*count),
            StepKind::Drain(name, draining) => self.targets[name].drain(*draining).await,
            StepKind::Slow(name, times) => self.targets[name].backend.slow(*times),
            StepKind::BreakStreams(name, count) => self.targets[name].backend.break_streams(*count),
            StepKind::Edit { name, row, weight, after } => {
                let after = after.as_ref().and_then(|edit| self.edits[edit].ok());
                let version = after.or_else(|| self.start_versions.get(row).copied());
                let committed = self.edit(row, weight, version, name).await;
                self.edits.insert(name.clone(), committed);
            }
        }
    }

    fn kill(&self, name: &str) {
        if let Some(target) = self.targets.get(name) {
            target.kill();
        } else {
            self.entries[name].kill();
        }
    }

    async fn restart(&self, name: &str) {
        if let Some(target) = self.targets.get(name) {
            target.restart().await;
        }
    }

    fn set_paused(&self, name: &str, paused: bool) {
        if let Some(target) = self.targets.get(name) {
            target.set_paused(paused);
        } else {
            self.entries[name].set_paused(paused);
        }
    }

    async fn edit(
        &self,
        row: &str,
        weight: &str,
        version: Option<u64>,
        edit: &str,
    ) -> Result<u64, &'static str> {
        let key: RowKey = row.parse().map_err(|_row| "unreadable")?;
        let kind = key.kind.to_string();
        let cells = cells(&[("kind", &kind), ("name", &key.name), ("weight", weight)]);
        let editor = TableEditor::new(Arc::new(self.platform.clone()));
        match editor.commit(&[RowEdit { cells, if_version: version, remove: false }], edit).await {
            Ok(answer) => Ok(answer.revision),
            Err(EditProblem::Conflict { .. }) => Err("conflict"),
            Err(EditProblem::Cell { .. }) => Err("cell"),
            Err(EditProblem::Platform { .. }) => Err("unknown"),
        }
    }

    /// Waits until every request has an outcome, and at least 10 s.
    async fn settle(&self) {
        let ends = Instant::now() + SETTLE_TIME;
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let known = self.outcomes.lock().expect("no task panics").len();
            let quiet = Instant::now() + Duration::from_secs(110) >= ends;
            if (known >= self.sent.len() && quiet) || Instant::now() >= ends {
                return;
            }
        }
    }

    fn runs(&self) -> Vec<FakeRun> {
        self.targets.values().flat_map(|target| target.backend.runs()).collect()
    }

    fn report(&self, scenario: &Scenario) -> ScenarioReport {
        let outcomes = self.outcomes.lock().expect("no task panics").clone();
        let runs = self.runs();
        let mut report =
            ScenarioReport { sent: self.sent.len(), runs: runs.len(), ..ScenarioReport::default() };
        for outcome in outcomes.values() {
            match outcome {
                SentOutcome::Whole => report.whole += 1,
                SentOutcome::Refused { verdict, .. } => {
                    *report.refused.entry(verdict.clone()).or_default() += 1;
                }
                SentOutcome::Broken | SentOutcome::Lost => report.broken += 1,
                SentOutcome::Wrong(text) => report.failures.push(format!("a wrong answer: {text}")),
            }
        }
        if outcomes.len() < self.sent.len() {
            report.failures.push(format!("{} requests have no outcome", self.sent.len() - outcomes.len()));
        }
        self.check_guarantees(&outcomes, &runs, &mut report);
        for expectation in &scenario.expectations {
            if let Some(failure) = self.check_expectation(expectation, &outcomes, &runs) {
                report.failures.push(failure);
            }
        }
        report
    }

    /// Checks the guarantees that hold in every scenario.
    fn check_guarantees(
        &self,
        outcomes: &BTreeMap<String, SentOutcome>,
        runs: &[FakeRun],
        report: &mut ScenarioReport,
    ) {
        for spec in &self.sent {
            let count = runs.iter().filter(|run| run.request == spec.name).count();
            if spec.never && count > 1 {
                report.run_twice += 1;
                report.failures.push(format!("{} ran {count} times", spec.name));
            }
            let not_run = matches!(
                outcomes.get(&spec.label),
                Some(SentOutcome::Refused { verdict, .. }) if verdict == "not-run"
            );
            if not_run && count > 0 {
                report.false_not_run += 1;
                report.failures.push(format!("{} was called not run, and ran", spec.name));
            }
        }
    }

    fn check_expectation(
        &self,
        expectation: &Expectation,
        outcomes: &BTreeMap<String, SentOutcome>,
        runs: &[FakeRun],
    ) -> Option<String> {
        match expectation {
            Expectation::Outcome { request, is } => {
                let found = outcomes.get(request).map_or("none", SentOutcome::name);
                (!is.split('|').any(|word| word == found)).then(|| format!("{request} is {found}, not {is}"))
            }
            Expectation::Verdict { request, is } => {
                let found = outcomes.get(request).map_or("none", SentOutcome::verdict);
                let outcome = outcomes.get(request);
                (!is.split('|').any(|word| word == found))
                    .then(|| format!("{request} has the verdict {found}, not {is}: {outcome:?}"))
            }
            Expectation::Runs { request, least, most } => {
                let count = runs.iter().filter(|run| run.request == *request).count();
                (!(*least..=*most).contains(&count)).then(|| format!("{request} ran {count} times"))
            }
            Expectation::TargetRuns { target, after, most } => {
                let late =
                    self.targets[target].backend.runs().into_iter().filter(|run| run.at >= *after).count();
                (late > *most).then(|| format!("{target} ran {late} requests after {after} ms"))
            }
            Expectation::EditIs { edit, is } => {
                let found = match self.edits.get(edit) {
                    Some(Ok(_revision)) => "committed",
                    Some(Err(word)) => word,
                    None => "none",
                };
                (found != is).then(|| format!("edit {edit} is {found}, not {is}"))
            }
            Expectation::InForce { row, weight } => {
                let differs = |node: &&Arc<EntryNode>| node.weight(row).as_deref() != Some(weight.as_str());
                let node = self.entries.values().find(differs)?;
                Some(format!("{row} has the weight {:?} in force at {}", node.weight(row), node.name()))
            }
        }
    }
}

async fn write_rows(platform: &MemoryPlatform, rows: &[RowCells]) -> BTreeMap<String, u64> {
    let mut versions = BTreeMap::new();
    for row in rows {
        let name = format!("{}/{}", row["kind"], row["name"]);
        let key = format!("{CONFIG_PREFIX}{name}");
        let write = TableWrite { key, if_version: None, unconditional: true, value: Some(row_value(row)) };
        if let Ok(answer) = platform.transact(true, vec![write]).await {
            versions.insert(name, answer.revision);
        }
    }
    versions
}
