//! Scenario language: one KDL node for each process, step and expectation.
//!
//! Unknown nodes and properties, and missing or malformed properties, are errors that show the line.

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::{Diagnostic, NamedSource, SourceSpan};

/// An error in a script, with its location.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(code(porthoist::scenario))]
pub struct ScriptError {
    message: String,
    #[source_code]
    source_text: NamedSource<String>,
    #[label("here")]
    span: SourceSpan,
}

/// A parsed scenario.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// What the scenario shows.
    pub name: String,
    /// Entries.
    pub entries: Vec<EntrySpec>,
    /// Targets.
    pub targets: Vec<TargetSpec>,
    /// Steps, ordered by time.
    pub steps: Vec<TimedStep>,
    /// Expectations to check at the end.
    pub expectations: Vec<Expectation>,
}

/// An entry.
#[derive(Debug, Clone)]
pub struct EntrySpec {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// A target.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it runs. Requests with tokens get streamed completions.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time for each token or plain call, in milliseconds.
    pub step: u64,
}

/// A request.
#[derive(Debug, Clone)]
pub struct SendSpec {
    /// Name, which is also sent in the body.
    pub name: String,
    /// Entry that gets the request.
    pub entry: String,
    /// Requested service.
    pub service: String,
    /// Whether the request must not be repeated.
    pub never: bool,
    /// `own:NAME` for a key chosen by the caller, `ticket:NAME` for a ticket of a `ticket` step.
    pub key: Option<String>,
    /// Number of tokens of a streamed response; 0 for a plain call.
    pub tokens: u64,
    /// Deadline in milliseconds, from the time of the step.
    pub deadline: u64,
    /// Name under which the outcome is recorded. The default is the request's name.
    pub label: String,
}

/// Action of a step.
#[derive(Debug, Clone)]
pub enum StepKind {
    /// A caller sends a request.
    Send(SendSpec),
    /// A caller gets a ticket from a target.
    Ticket {
        /// Name of the ticket.
        name: String,
        /// The target.
        target: String,
    },
    /// A process is killed.
    Kill(String),
    /// A process restarts with empty state.
    Restart(String),
    /// A process is paused.
    Pause(String),
    /// A paused process resumes.
    Resume(String),
    /// Cuts the network between two zones; `platform` counts as a zone.
    Cut(String, String),
    /// Restores the network between two zones.
    Heal(String, String),
    /// The platform becomes available (`true`) or unavailable.
    Platform(bool),
    /// This many of the next platform transactions take effect without a response.
    LoseAnswers(u32),
    /// A target starts or stops draining.
    Drain(String, bool),
    /// A target's steps become this many times longer.
    Slow(String, u64),
    /// This many of a target's streams break after three tokens.
    BreakStreams(String, u64),
    /// An operator edits a row, based on its version at the start or after the edit `after`.
    Edit {
        /// Name of the edit.
        name: String,
        /// The row as KIND/NAME.
        row: String,
        /// New value of the weight cell.
        weight: String,
        /// Edit after which the operator read the row; at the start of the scenario if not given.
        after: Option<String>,
    },
}

/// A step and its time.
#[derive(Debug, Clone)]
pub struct TimedStep {
    /// Milliseconds from the start.
    pub at: u64,
    /// Action of the step.
    pub kind: StepKind,
}

/// A condition that must hold at the end.
#[derive(Debug, Clone)]
pub enum Expectation {
    /// Outcome of a request: whole, broken, refused or lost.
    Outcome {
        /// The request.
        request: String,
        /// Allowed values, separated by `|`.
        is: String,
    },
    /// Verdict of a refusal.
    Verdict {
        /// The request.
        request: String,
        /// Allowed values, separated by `|`.
        is: String,
    },
    /// Number of runs of a request.
    Runs {
        /// The request.
        request: String,
        /// Minimum.
        least: usize,
        /// Maximum.
        most: usize,
    },
    /// Number of requests that a target ran from a given time.
    TargetRuns {
        /// The target.
        target: String,
        /// Milliseconds from the start.
        after: u64,
        /// Maximum.
        most: usize,
    },
    /// Result of an edit: committed, conflict or unknown.
    EditIs {
        /// The edit.
        edit: String,
        /// Expected result.
        is: String,
    },
    /// Weight of a row in force at every entry.
    InForce {
        /// The row.
        row: String,
        /// Its weight.
        weight: String,
    },
}

struct ScriptReader<'a> {
    file: &'a str,
    text: &'a str,
}

impl ScriptReader<'_> {
    fn error(&self, node: &KdlNode, message: impl Into<String>) -> ScriptError {
        ScriptError {
            message: message.into(),
            source_text: NamedSource::new(self.file, self.text.to_owned()),
            span: node.span(),
        }
    }

    fn argument(&self, node: &KdlNode, index: usize) -> Result<String, ScriptError> {
        let value = node.get(index).and_then(KdlValue::as_string);
        let missing =
            || self.error(node, format!("{} needs a name as its argument {}", node.name(), index + 1));
        value.map(str::to_owned).ok_or_else(missing)
    }

    fn text(&self, node: &KdlNode, property: &str, default: Option<&str>) -> Result<String, ScriptError> {
        let value = node.get(property).and_then(KdlValue::as_string).or(default);
        let missing = || self.error(node, format!("{} needs the property {property}", node.name()));
        value.map(str::to_owned).ok_or_else(missing)
    }

    fn number(&self, node: &KdlNode, property: &str, default: Option<u64>) -> Result<u64, ScriptError> {
        let Some(value) = node.get(property) else {
            let missing = || self.error(node, format!("{} needs the property {property}", node.name()));
            return default.ok_or_else(missing);
        };
        let number = value.as_integer().and_then(|number| u64::try_from(number).ok());
        number.ok_or_else(|| {
            self.error(node, format!("{property} must be a whole number that is not negative"))
        })
    }

    fn flag(&self, node: &KdlNode, property: &str) -> Result<bool, ScriptError> {
        let Some(value) = node.get(property) else { return Ok(false) };
        value.as_bool().ok_or_else(|| self.error(node, format!("{property} must be #true or #false")))
    }

    fn check_properties(&self, node: &KdlNode, allowed: &[&str]) -> Result<(), ScriptError> {
        for entry in node.entries() {
            let Some(name) = entry.name() else { continue };
            if !allowed.contains(&name.value()) {
                let known = allowed.join(", ");
                let message = format!("{} has no property {name}; it has {known}", node.name());
                return Err(self.error(node, message));
            }
        }
        Ok(())
    }

    fn node(&self, node: &KdlNode, scenario: &mut Scenario) -> Result<(), ScriptError> {
        match node.name().value() {
            "scenario" => scenario.name = self.argument(node, 0)?,
            "entry" => {
                self.check_properties(node, &["zone"])?;
                let spec = EntrySpec { name: self.argument(node, 0)?, zone: self.text(node, "zone", None)? };
                scenario.entries.push(spec);
            }
            "target" => scenario.targets.push(self.target(node)?),
            "expect" | "runs" | "target-runs" | "edit-is" | "in-force" => {
                scenario.expectations.push(self.expectation(node)?);
            }
            _ => {
                let kind = self.step(node)?;
                scenario.steps.push(TimedStep { at: self.number(node, "at", None)?, kind });
            }
        }
        Ok(())
    }

    fn target(&self, node: &KdlNode) -> Result<TargetSpec, ScriptError> {
        self.check_properties(node, &["zone", "service", "slots", "step"])?;
        Ok(TargetSpec {
            name: self.argument(node, 0)?,
            zone: self.text(node, "zone", None)?,
            service: self.text(node, "service", None)?,
            slots: self.number(node, "slots", Some(8))? as u32,
            step: self.number(node, "step", Some(10))?,
        })
    }

    fn step(&self, node: &KdlNode) -> Result<StepKind, ScriptError> {
        let name = node.name().value();
        match name {
            "send" => return Ok(StepKind::Send(self.send(node)?)),
            "edit" => return self.edit(node),
            "ticket" => {
                self.check_properties(node, &["at", "target"])?;
                return Ok(StepKind::Ticket {
                    name: self.argument(node, 0)?,
                    target: self.text(node, "target", None)?,
                });
            }
            "lose-answers" => {
                self.check_properties(node, &["at", "count"])?;
                return Ok(StepKind::LoseAnswers(self.number(node, "count", Some(1))? as u32));
            }
            "slow" | "break-streams" => {
                self.check_properties(node, &["at", "times"])?;
                let (target, times) = (self.argument(node, 0)?, self.number(node, "times", Some(1))?);
                let slow = name == "slow";
                return Ok(if slow {
                    StepKind::Slow(target, times)
                } else {
                    StepKind::BreakStreams(target, times)
                });
            }
            _ => self.check_properties(node, &["at"])?,
        }
        Ok(match name {
            "kill" => StepKind::Kill(self.argument(node, 0)?),
            "restart" => StepKind::Restart(self.argument(node, 0)?),
            "pause" => StepKind::Pause(self.argument(node, 0)?),
            "resume" => StepKind::Resume(self.argument(node, 0)?),
            "cut" => StepKind::Cut(self.argument(node, 0)?, self.argument(node, 1)?),
            "heal" => StepKind::Heal(self.argument(node, 0)?, self.argument(node, 1)?),
            "platform-down" => StepKind::Platform(false),
            "platform-up" => StepKind::Platform(true),
            "drain" => StepKind::Drain(self.argument(node, 0)?, true),
            "undrain" => StepKind::Drain(self.argument(node, 0)?, false),
            other => return Err(self.error(node, format!("unknown word {other:?}; see docs/SCENARIOS.md"))),
        })
    }

    fn send(&self, node: &KdlNode) -> Result<SendSpec, ScriptError> {
        self.check_properties(
            node,
            &["at", "entry", "service", "never", "key", "tokens", "deadline", "label"],
        )?;
        let name = self.argument(node, 0)?;
        Ok(SendSpec {
            entry: self.text(node, "entry", None)?,
            service: self.text(node, "service", None)?,
            never: self.flag(node, "never")?,
            key: node.get("key").and_then(KdlValue::as_string).map(str::to_owned),
            tokens: self.number(node, "tokens", Some(0))?,
            deadline: self.number(node, "deadline", Some(30_000))?,
            label: self.text(node, "label", Some(&name))?,
            name,
        })
    }

    fn edit(&self, node: &KdlNode) -> Result<StepKind, ScriptError> {
        self.check_properties(node, &["at", "row", "weight", "after"])?;
        Ok(StepKind::Edit {
            name: self.argument(node, 0)?,
            row: self.text(node, "row", None)?,
            weight: self.text(node, "weight", None)?,
            after: node.get("after").and_then(KdlValue::as_string).map(str::to_owned),
        })
    }

    fn expectation(&self, node: &KdlNode) -> Result<Expectation, ScriptError> {
        let subject = self.argument(node, 0)?;
        match node.name().value() {
            "runs" => {
                self.check_properties(node, &["least", "most"])?;
                let least = self.number(node, "least", Some(0))? as usize;
                let most = self.number(node, "most", Some(u64::from(u32::MAX)))? as usize;
                Ok(Expectation::Runs { request: subject, least, most })
            }
            "target-runs" => {
                self.check_properties(node, &["after", "most"])?;
                let after = self.number(node, "after", Some(0))?;
                let most = self.number(node, "most", None)? as usize;
                Ok(Expectation::TargetRuns { target: subject, after, most })
            }
            "edit-is" => Ok(Expectation::EditIs { edit: subject, is: self.argument(node, 1)? }),
            "in-force" => {
                self.check_properties(node, &["weight"])?;
                Ok(Expectation::InForce { row: subject, weight: self.text(node, "weight", None)? })
            }
            _ => {
                self.check_properties(node, &["answer", "verdict"])?;
                if node.get("verdict").is_some() {
                    return Ok(Expectation::Verdict {
                        request: subject,
                        is: self.text(node, "verdict", None)?,
                    });
                }
                Ok(Expectation::Outcome { request: subject, is: self.text(node, "answer", None)? })
            }
        }
    }
}

/// Parses a script.
pub fn parse(file: &str, text: &str) -> Result<Scenario, ScriptError> {
    let reader = ScriptReader { file, text };
    let document: KdlDocument = text.parse().map_err(|error: kdl::KdlError| {
        let first = error.diagnostics.first();
        ScriptError {
            message: first.and_then(|problem| problem.message.clone()).unwrap_or_else(|| error.to_string()),
            source_text: NamedSource::new(file, text.to_owned()),
            span: first.map_or_else(|| SourceSpan::from(0), |problem| problem.span),
        }
    })?;
    let mut scenario = Scenario::default();
    for node in document.nodes() {
        reader.node(node, &mut scenario)?;
    }
    scenario.steps.sort_by_key(|step| step.at);
    Ok(scenario)
}
