//! Switches a rank group to another expert map such that all ranks use the same map in each step.
//!
//! A switch requires the consent of all ranks. That costs a lock-step group nothing, because it cannot step without all
//! its ranks anyway. No store is involved, so a switch works while the platform is down.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Ballot number of a leader; a higher one takes precedence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaderBallot(pub u32);

/// Version of an expert map.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapVersion(pub u32);

/// Number of a step of the group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepNumber(pub u32);

/// A switch for which ranks are armed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ArmedSwitch {
    /// The ballot that armed it.
    pub ballot: LeaderBallot,
    /// The map to switch to.
    pub map: MapVersion,
    /// The first step that uses it.
    pub step: StepNumber,
}

/// Message of a leader to a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// Refuse lower ballots from now on, and report your state.
    Promise(LeaderBallot),
    /// Hold before the step of the switch until the decision.
    Arm(ArmedSwitch),
    /// All ranks are armed: switch. The ballot is the sender's.
    Commit(LeaderBallot, ArmedSwitch),
    /// The switch with the second ballot is cancelled. The first ballot is the sender's.
    Abort(LeaderBallot, LeaderBallot),
}

/// Reply of a rank to a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RankReply {
    /// The ballot is promised; contains the state of the rank.
    Promised {
        /// The promised ballot.
        ballot: LeaderBallot,
        /// The switch that the rank is armed for.
        armed: Option<ArmedSwitch>,
        /// The last switch that it committed.
        committed: Option<ArmedSwitch>,
        /// The last step that it started.
        started: StepNumber,
    },
    /// The rank is armed for the switch with this ballot.
    Armed(LeaderBallot),
    /// The message with this ballot is refused: a higher ballot was promised, the step has begun, an earlier switch is
    /// decided or pending, or the experts are not loaded.
    Refused(LeaderBallot),
}

/// Rules of a switch; the model checker disables them one at a time.
#[expect(clippy::struct_excessive_bools, reason = "each flag is one rule that the checker breaks alone")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SwitchRules {
    /// Ballots lower than the promised one are refused.
    pub keep_promise: bool,
    /// A leader commits only after every rank is armed.
    pub all_armed: bool,
    /// An armed rank does not start the step of the switch before the decision.
    pub hold_armed: bool,
    /// A later leader that finds a commit completes it.
    pub finish_commit: bool,
    /// The engine stores a promise as a fencing number, and a restarted process reads it back.
    pub promise_outlives_restart: bool,
    /// A rank is not armed before an earlier switch has taken effect on it.
    pub one_switch_at_a_time: bool,
}

impl SwitchRules {
    /// All rules enabled.
    pub const SOUND: Self = Self {
        keep_promise: true,
        all_armed: true,
        hold_armed: true,
        finish_commit: true,
        promise_outlives_restart: true,
        one_switch_at_a_time: true,
    };
}

/// State of a rank that its engine stores, so that it survives a restart of the rank's process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedRank {
    /// The promised ballot, which is the highest fencing number that the engine has seen.
    pub promised: LeaderBallot,
    /// The switch that the rank is armed for.
    pub armed: Option<ArmedSwitch>,
    /// The last committed switch.
    pub committed: Option<ArmedSwitch>,
    /// The map of the last started step.
    pub map: MapVersion,
    /// The last started step.
    pub started: StepNumber,
}

/// State machine of the process next to one rank.
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
    /// Creates a rank with its first map.
    pub fn new(map: MapVersion, rules: SwitchRules) -> Self {
        Self { rules, promised: LeaderBallot(0), armed: None, committed: None, map, started: StepNumber(0) }
    }

    /// Restores a rank from the state stored in its engine, for a restarted process.
    pub fn restored(saved: SavedRank) -> Self {
        let SavedRank { promised, armed, committed, map, started } = saved;
        Self { rules: SwitchRules::SOUND, promised, armed, committed, map, started }
    }

    /// Returns the state that the engine must store.
    pub fn saved(&self) -> SavedRank {
        let Self { promised, armed, committed, map, started, .. } = *self;
        SavedRank { promised, armed, committed, map, started }
    }

    /// Records that the engine has started a step.
    pub fn observe_started(&mut self, started: StepNumber) {
        self.started = self.started.max(started);
    }

    /// Returns the last started step.
    pub fn started(&self) -> StepNumber {
        self.started
    }

    /// Returns the switch that the rank is armed for, if any.
    pub fn armed(&self) -> Option<ArmedSwitch> {
        self.armed
    }

    /// Returns the next step and its map, or `None` while the rank must hold.
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

    /// Starts the next step and returns it with its map, or returns `None` while the rank must hold.
    pub fn start_step(&mut self) -> Option<(StepNumber, MapVersion)> {
        let (step, map) = self.next_step()?;
        self.started = step;
        self.map = map;
        Some((step, map))
    }

    /// Restarts the process next to a running rank. It reads back the state stored in the engine: the map, the armed and
    /// the committed switch, the step, and the promise, which the engine stores as a fencing number. A group whose engines
    /// store no fencing number must be formed again instead.
    pub fn restart(&mut self) {
        if !self.rules.promise_outlives_restart {
            self.promised = LeaderBallot(0);
        }
    }

    fn accepts(&self, ballot: LeaderBallot) -> bool {
        ballot >= self.promised || !self.rules.keep_promise
    }

    /// Handles a leader's message; `loaded` tells whether the experts of the map are loaded.
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
        let already_started = self.started >= switch.step;
        let pending = self.committed.is_some_and(|committed| self.started < committed.step);
        let pending = pending && self.rules.one_switch_at_a_time;
        if !self.accepts(switch.ballot) || decided || already_started || pending || !loaded {
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

/// A leader's knowledge of one rank: its promise, and whether it is armed.
pub type RankKnowledge = (Option<RankReply>, bool);

/// State machine of a leader that tries to switch the group.
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
    /// Starts by requesting promises. The switch is planned `lead_steps` after the last step that any rank has started.
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

    /// Returns the leader's knowledge of a rank: its promise, and whether it is armed.
    pub fn rank_knowledge(&self, rank: usize) -> RankKnowledge {
        match &self.phase {
            LeaderPhase::Promising(replies) => (replies.get(&rank).copied(), false),
            LeaderPhase::Arming { armed, .. } => (None, armed.contains(&rank)),
            LeaderPhase::Decided => (None, false),
        }
    }

    /// Renumbers the ranks, so that the model checker can identify states that differ only in their order.
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

    /// Returns whether the leader has decided.
    pub fn decided(&self) -> bool {
        self.phase == LeaderPhase::Decided
    }

    /// Handles a rank's reply and returns the message to all ranks, if any.
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
        let mut last_commit: Option<ArmedSwitch> = None;
        let mut any_armed = false;
        for reply in replies.values() {
            if let RankReply::Promised { committed, started, armed, .. } = reply {
                last = last.max(started.0);
                last_commit = last_commit.max(*committed);
                any_armed |= armed.is_some();
            }
        }
        let unfinished = last_commit.filter(|_switch| any_armed && self.rules.finish_commit);
        if let Some(switch) = unfinished.filter(|switch| any_armed_for(replies, *switch)) {
            self.phase = LeaderPhase::Decided;
            return LeaderMessage::Commit(self.ballot, switch);
        }
        let step = StepNumber(last + self.lead_steps);
        let switch = ArmedSwitch { ballot: self.ballot, map: self.map, step };
        self.phase = LeaderPhase::Arming { armed: Vec::new(), switch };
        LeaderMessage::Arm(switch)
    }

    /// Aborts an undecided switch after a rank refused or did not reply in time.
    pub fn timeout(&mut self) -> Option<LeaderMessage> {
        let arming = matches!(self.phase, LeaderPhase::Arming { .. });
        let decided = self.decided();
        self.phase = LeaderPhase::Decided;
        (arming && !decided).then_some(LeaderMessage::Abort(self.ballot, self.ballot))
    }
}

fn any_armed_for(replies: &BTreeMap<usize, RankReply>, switch: ArmedSwitch) -> bool {
    let armed = |reply: &RankReply| match reply {
        RankReply::Promised { armed, .. } => *armed == Some(switch),
        _ => false,
    };
    replies.values().any(armed)
}
