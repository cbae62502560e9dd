//! The language: a KDL node for each process, step and expectation.
//!
//! An unknown word, a missing property or a name that was not declared is an error that shows the line.

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::{Diagnostic, NamedSource, SourceSpan};

/// An error in a script, with the line at fault.
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

/// A scenario.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// What it shows.
    pub name: String,
    /// Names and zones of the entries.
    pub entries: Vec<EntrySpec>,
    /// Targets.
    pub targets: Vec<TargetSpec>,
    /// Steps in the order of their times.
    pub steps: Vec<TimedStep>,
    /// What must hold at the end.
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
    /// The service that it runs; its requests are streamed completions if they have tokens.
    pub service: String,
    /// Requests at once.
    pub slots: u32,
    /// Time of a token, or of a plain call, in milliseconds.
    pub step: u64,
}

/// A request.
#[derive(Debug, Clone)]
pub struct SendSpec {
    /// Name; it is the body too.
    pub name: String,
    /// The entry.
    pub entry: String,
    /// The service.
    pub service: String,
    /// Whether it may not be repeated.
    pub never: bool,
    /// `own:NAME` for a key of the caller's own, `ticket:NAME` for a ticket got by a `ticket` step.
    pub key: Option<String>,
    /// Tokens of a streamed answer; 0 for a plain call.
    pub tokens: u64,
    /// Deadline in milliseconds from the step.
    pub deadline: u64,
    /// The name that the answer is kept under; the request's own where it is not repeated.
    pub label: String,
}

/// What happens in a step.
#[derive(Debug, Clone)]
pub enum StepKind {
    /// A caller sends a request.
    Send(SendSpec),
    /// A caller gets a ticket of a target.
    Ticket {
        /// Its name.
        name: String,
        /// The target.
        target: String,
    },
    /// A process dies without a word.
    Kill(String),
    /// A process starts again without memory.
    Restart(String),
    /// A process stops for a while, unaware.
    Pause(String),
    /// It goes on.
    Resume(String),
    /// Two zones can't hear each other; `platform` is a zone too.
    Cut(String, String),
    /// They can again.
    Heal(String, String),
    /// The platform is away, or back.
    Platform(bool),
    /// So many of its writes take effect without an answer.
    LoseAnswers(u32),
    /// A target drains, or not.
    Drain(String, bool),
    /// A target's step takes so many times longer.
    Slow(String, u64),
    /// So many of a target's streams break after three tokens.
    BreakStreams(String, u64),
    /// An operator edits a row on the version that was in force at the scenario's start or after `after`.
    Edit {
        /// Name of the edit.
        name: String,
        /// The row as KIND/NAME.
        row: String,
        /// Its weight cell.
        weight: String,
        /// The edit whose row this one was read after; without it the row was read at the start.
        after: Option<String>,
    },
}

/// A step with its time.
#[derive(Debug, Clone)]
pub struct TimedStep {
    /// Milliseconds from the start.
    pub at: u64,
    /// What happens.
    pub kind: StepKind,
}

/// What must hold at the end.
#[derive(Debug, Clone)]
pub enum Expectation {
    /// A request's answer: whole, broken, refused or lost.
    Outcome {
        /// The request.
        request: String,
        /// One of them, joined by `|`.
        is: String,
    },
    /// The verdict of a refusal.
    Verdict {
        /// The request.
        request: String,
        /// One of them, joined by `|`.
        is: String,
    },
    /// How often a request ran.
    Runs {
        /// The request.
        request: String,
        /// At least.
        least: usize,
        /// At most.
        most: usize,
    },
    /// How often a target ran anything after a time.
    TargetRuns {
        /// The target.
        target: String,
        /// Milliseconds from the start.
        after: u64,
        /// At most.
        most: usize,
    },
    /// An edit's end: committed, conflict or unknown.
    EditIs {
        /// The edit.
        edit: String,
        /// What it came to.
        is: String,
    },
    /// The weight of a row in force at every entry.
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

    fn only(&self, node: &KdlNode, allowed: &[&str]) -> Result<(), ScriptError> {
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
                self.only(node, &["zone"])?;
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
        self.only(node, &["zone", "service", "slots", "step"])?;
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
                self.only(node, &["at", "target"])?;
                return Ok(StepKind::Ticket {
                    name: self.argument(node, 0)?,
                    target: self.text(node, "target", None)?,
                });
            }
            "lose-answers" => {
                self.only(node, &["at", "count"])?;
                return Ok(StepKind::LoseAnswers(self.number(node, "count", Some(1))? as u32));
            }
            "slow" | "break-streams" => {
                self.only(node, &["at", "times"])?;
                let (target, times) = (self.argument(node, 0)?, self.number(node, "times", Some(1))?);
                let slow = name == "slow";
                return Ok(if slow {
                    StepKind::Slow(target, times)
                } else {
                    StepKind::BreakStreams(target, times)
                });
            }
            _ => self.only(node, &["at"])?,
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
        self.only(node, &["at", "entry", "service", "never", "key", "tokens", "deadline", "label"])?;
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
        self.only(node, &["at", "row", "weight", "after"])?;
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
                self.only(node, &["least", "most"])?;
                let least = self.number(node, "least", Some(0))? as usize;
                let most = self.number(node, "most", Some(u64::from(u32::MAX)))? as usize;
                Ok(Expectation::Runs { request: subject, least, most })
            }
            "target-runs" => {
                self.only(node, &["after", "most"])?;
                let after = self.number(node, "after", Some(0))?;
                let most = self.number(node, "most", None)? as usize;
                Ok(Expectation::TargetRuns { target: subject, after, most })
            }
            "edit-is" => Ok(Expectation::EditIs { edit: subject, is: self.argument(node, 1)? }),
            "in-force" => {
                self.only(node, &["weight"])?;
                Ok(Expectation::InForce { row: subject, weight: self.text(node, "weight", None)? })
            }
            _ => {
                self.only(node, &["answer", "verdict"])?;
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

/// Reads a script.
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
