//! The switch of a rank group to another expert map, so that all ranks use one map in each step.
//!
//! It needs unanimity, which costs a lock-step group nothing: without all its ranks it does not step anyway. It
//! needs no store, so that a switch works while the platform is down.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of an attempt to lead; a higher one wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaderBallot(pub u32);

/// Version of an expert map.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapVersion(pub u32);

/// Number of a step of the group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepNumber(pub u32);

/// A switch that ranks are armed with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ArmedSwitch {
    /// The ballot that armed it.
    pub ballot: LeaderBallot,
    /// The map to switch to.
    pub map: MapVersion,
    /// The first step that uses it.
    pub step: StepNumber,
}

/// What a leader tells a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// Refuse lower ballots from now on, and say what you have.
    Promise(LeaderBallot),
    /// Hold before the switch's step until the decision.
    Arm(ArmedSwitch),
    /// All ranks were armed: switch. The first ballot is the sender's.
    Commit(LeaderBallot, ArmedSwitch),
    /// The switch with this ballot does not happen. The first ballot is the sender's.
    Abort(LeaderBallot, LeaderBallot),
}

/// What a rank tells a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RankReply {
    /// Promised; what the rank has.
    Promised {
        /// The ballot promised.
        ballot: LeaderBallot,
        /// The switch it is armed with.
        armed: Option<ArmedSwitch>,
        /// The last switch it committed.
        committed: Option<ArmedSwitch>,
        /// The last step it started.
        started: StepNumber,
    },
    /// Armed.
    Armed(LeaderBallot),
    /// Not armed: the step has begun, the experts are not loaded, or a higher ballot was promised.
    Refused(LeaderBallot),
}

/// Rules that the model checker breaks one at a time.
#[expect(clippy::struct_excessive_bools, reason = "each flag is one rule that the checker breaks alone")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SwitchRules {
    /// Lower ballots than the promised one are refused.
    pub keep_promise: bool,
    /// A leader commits only when every rank is armed.
    pub all_armed: bool,
    /// An armed rank does not start the switch's step before the decision.
    pub hold_armed: bool,
    /// A later leader that sees a commit finishes it.
    pub finish_commit: bool,
    /// A promise is kept by the engine as a fencing number and read back by a process that restarts beside it.
    pub promise_outlives_restart: bool,
    /// A rank is not armed while an earlier switch has not taken effect on it.
    pub one_switch_at_a_time: bool,
}

impl SwitchRules {
    /// The rules in force.
    pub const SOUND: Self = Self {
        keep_promise: true,
        all_armed: true,
        hold_armed: true,
        finish_commit: true,
        promise_outlives_restart: true,
        one_switch_at_a_time: true,
    };
}

/// What an engine holds of its rank; it outlives the process beside it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedRank {
    /// The promised ballot: the highest fencing number that the engine has seen.
    pub promised: LeaderBallot,
    /// The switch that it holds for.
    pub armed: Option<ArmedSwitch>,
    /// The last switch that it was told to make.
    pub committed: Option<ArmedSwitch>,
    /// The map of the last step started.
    pub map: MapVersion,
    /// The last step started.
    pub started: StepNumber,
}

/// The process beside one rank.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RankMachine {
    rules: SwitchRules,
    promised: LeaderBallot,
    armed: Option<ArmedSwitch>,
    committed: Option<ArmedSwitch>,
    map: MapVersion,
    started: StepNumber,
}

impl RankMachine {
    /// A rank on its first map.
    pub fn new(map: MapVersion, rules: SwitchRules) -> Self {
        Self { rules, promised: LeaderBallot(0), armed: None, committed: None, map, started: StepNumber(0) }
    }

    /// A rank as its engine holds it, for a process that starts beside it.
    pub fn restored(kept: SavedRank) -> Self {
        let SavedRank { promised, armed, committed, map, started } = kept;
        Self { rules: SwitchRules::SOUND, promised, armed, committed, map, started }
    }

    /// What the engine must hold of this rank.
    pub fn saved(&self) -> SavedRank {
        let Self { promised, armed, committed, map, started, .. } = *self;
        SavedRank { promised, armed, committed, map, started }
    }

    /// The engine has started this step.
    pub fn observe_started(&mut self, started: StepNumber) {
        self.started = self.started.max(started);
    }

    /// The last step started.
    pub fn started(&self) -> StepNumber {
        self.started
    }

    /// The switch it holds for, if any.
    pub fn armed(&self) -> Option<ArmedSwitch> {
        self.armed
    }

    /// The map that the next step would use, or nothing while the rank must hold.
    pub fn next_step(&self) -> Option<(StepNumber, MapVersion)> {
        let next = StepNumber(self.started.0 + 1);
        let held = self.armed.is_some_and(|armed| next >= armed.step);
        if held && self.rules.hold_armed {
            return None;
        }
        let map = match self.committed {
            Some(switch) if next >= switch.step => switch.map,
            _ => self.map,
        };
        Some((next, map))
    }

    /// Starts the next step; returns it with its map, or nothing while the rank must hold.
    pub fn start_step(&mut self) -> Option<(StepNumber, MapVersion)> {
        let (step, map) = self.next_step()?;
        self.started = step;
        self.map = map;
        Some((step, map))
    }

    /// The process restarts beside the running rank. What the engine keeps is read back from it: the map, the armed
    /// and the committed switch, the step, and the promise, which was given to it as a fencing number. A group whose
    /// engines keep no fencing number is formed anew instead.
    pub fn restart(&mut self) {
        if !self.rules.promise_outlives_restart {
            self.promised = LeaderBallot(0);
        }
    }

    fn accepts(&self, ballot: LeaderBallot) -> bool {
        ballot >= self.promised || !self.rules.keep_promise
    }

    /// Takes a leader's message; `loaded` says whether the map's experts are loaded.
    pub fn on(&mut self, message: LeaderMessage, loaded: bool) -> Option<RankReply> {
        match message {
            LeaderMessage::Promise(ballot) => Some(self.promise(ballot)),
            LeaderMessage::Arm(switch) => Some(self.arm(switch, loaded)),
            LeaderMessage::Commit(sender, switch) => {
                self.commit(sender, switch);
                None
            }
            LeaderMessage::Abort(sender, ballot) => {
                self.abort(sender, ballot);
                None
            }
        }
    }

    fn promise(&mut self, ballot: LeaderBallot) -> RankReply {
        if !self.accepts(ballot) {
            return RankReply::Refused(ballot);
        }
        self.promised = self.promised.max(ballot);
        let Self { armed, committed, started, .. } = *self;
        RankReply::Promised { ballot, armed, committed, started }
    }

    fn arm(&mut self, switch: ArmedSwitch, loaded: bool) -> RankReply {
        let decided = self.committed.is_some_and(|committed| committed.ballot >= switch.ballot);
        let begun = self.started >= switch.step;
        let pending = self.committed.is_some_and(|committed| self.started < committed.step);
        let pending = pending && self.rules.one_switch_at_a_time;
        if !self.accepts(switch.ballot) || decided || begun || pending || !loaded {
            return RankReply::Refused(switch.ballot);
        }
        self.promised = self.promised.max(switch.ballot);
        self.armed = Some(switch);
        RankReply::Armed(switch.ballot)
    }

    fn commit(&mut self, sender: LeaderBallot, switch: ArmedSwitch) {
        if self.accepts(sender) && self.armed == Some(switch) {
            self.armed = None;
            self.committed = Some(switch);
        }
    }

    fn abort(&mut self, sender: LeaderBallot, ballot: LeaderBallot) {
        let armed = self.armed.is_some_and(|armed| armed.ballot == ballot);
        if self.accepts(sender) && armed {
            self.armed = None;
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum LeaderPhase {
    Promising(BTreeMap<usize, RankReply>),
    Arming { armed: Vec<usize>, switch: ArmedSwitch },
    Decided,
}

/// What a leader has heard from one rank.
pub type HeardRank = (Option<RankReply>, bool);

/// A leader's attempt to switch the group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaderMachine {
    rules: SwitchRules,
    ballot: LeaderBallot,
    map: MapVersion,
    lead_steps: u32,
    ranks: usize,
    phase: LeaderPhase,
}

impl LeaderMachine {
    /// Begins with a promise; the switch will be `lead_steps` after the last step that any rank started.
    pub fn start(
        ballot: LeaderBallot,
        map: MapVersion,
        lead_steps: u32,
        ranks: usize,
        rules: SwitchRules,
    ) -> (Self, LeaderMessage) {
        let phase = LeaderPhase::Promising(BTreeMap::new());
        (Self { rules, ballot, map, lead_steps, ranks, phase }, LeaderMessage::Promise(ballot))
    }

    /// What it has heard from a rank: its promise, and whether it is armed.
    pub fn heard(&self, rank: usize) -> HeardRank {
        match &self.phase {
            LeaderPhase::Promising(replies) => (replies.get(&rank).copied(), false),
            LeaderPhase::Arming { armed, .. } => (None, armed.contains(&rank)),
            LeaderPhase::Decided => (None, false),
        }
    }

    /// Gives each rank another number; the checker takes groups for the same that differ only in it.
    pub fn renumber(&mut self, numbers: &[usize]) {
        match &mut self.phase {
            LeaderPhase::Promising(replies) => {
                *replies = replies.iter().map(|(rank, reply)| (numbers[*rank], *reply)).collect();
            }
            LeaderPhase::Arming { armed, .. } => {
                for rank in armed.iter_mut() {
                    *rank = numbers[*rank];
                }
                armed.sort_unstable();
            }
            LeaderPhase::Decided => {}
        }
    }

    /// Whether it has decided.
    pub fn decided(&self) -> bool {
        self.phase == LeaderPhase::Decided
    }

    /// Takes a rank's reply and returns what to tell all ranks, if anything.
    pub fn on(&mut self, rank: usize, reply: RankReply) -> Option<LeaderMessage> {
        match (&mut self.phase, reply) {
            (LeaderPhase::Promising(replies), RankReply::Promised { ballot, .. })
                if ballot == self.ballot =>
            {
                replies.insert(rank, reply);
                if replies.len() < self.ranks {
                    return None;
                }
                let replies = std::mem::take(replies);
                Some(self.promised(&replies))
            }
            (LeaderPhase::Arming { armed, switch }, RankReply::Armed(ballot)) if ballot == self.ballot => {
                if !armed.contains(&rank) {
                    armed.push(rank);
                }
                let needed = if self.rules.all_armed { self.ranks } else { self.ranks - 1 };
                if armed.len() < needed {
                    return None;
                }
                let switch = *switch;
                self.phase = LeaderPhase::Decided;
                Some(LeaderMessage::Commit(self.ballot, switch))
            }
            (LeaderPhase::Arming { .. }, RankReply::Refused(ballot)) if ballot == self.ballot => {
                self.timeout()
            }
            _ => None,
        }
    }

    fn promised(&mut self, replies: &BTreeMap<usize, RankReply>) -> LeaderMessage {
        let mut last = 0;
        let mut newest: Option<ArmedSwitch> = None;
        let mut open = false;
        for reply in replies.values() {
            if let RankReply::Promised { committed, started, armed, .. } = reply {
                last = last.max(started.0);
                newest = newest.max(*committed);
                open |= armed.is_some();
            }
        }
        let unfinished = newest.filter(|_switch| open && self.rules.finish_commit);
        if let Some(switch) = unfinished.filter(|switch| armed_with(replies, *switch)) {
            self.phase = LeaderPhase::Decided;
            return LeaderMessage::Commit(self.ballot, switch);
        }
        let step = StepNumber(last + self.lead_steps);
        let switch = ArmedSwitch { ballot: self.ballot, map: self.map, step };
        self.phase = LeaderPhase::Arming { armed: Vec::new(), switch };
        LeaderMessage::Arm(switch)
    }

    /// Not all ranks answered in time, or one refused: the switch is aborted if it was not decided.
    pub fn timeout(&mut self) -> Option<LeaderMessage> {
        let arming = matches!(self.phase, LeaderPhase::Arming { .. });
        let decided = self.decided();
        self.phase = LeaderPhase::Decided;
        (arming && !decided).then_some(LeaderMessage::Abort(self.ballot, self.ballot))
    }
}

fn armed_with(replies: &BTreeMap<usize, RankReply>, switch: ArmedSwitch) -> bool {
    let armed = |reply: &RankReply| match reply {
        RankReply::Promised { armed, .. } => *armed == Some(switch),
        _ => false,
    };
    replies.values().any(armed)
}
