//! Model of ranks in lock-step and of leaders that switch their expert map.
//!
//! Every message may arrive at any time or never; arm, commit and abort messages may be repeated. Each rank steps whenever
//! its state machine allows it, which permits more behaviours than lock-step.

use crate::search::{EventVisitor, ProtocolModel};
use porthoist_policy::switch::{
    LeaderBallot, LeaderMachine, LeaderMessage, MapVersion, RankKnowledge, RankMachine, RankReply,
    StepNumber, SwitchRules,
};
use std::collections::{BTreeMap, BTreeSet};

/// Steps between the last started one and the planned switch.
const LEAD_STEPS: u32 = 1;

/// Bounds and rules of the model.
#[derive(Debug, Clone, Copy)]
pub struct SwitchModel {
    /// Rules of the switch.
    pub rules: SwitchRules,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Number of leaders, each with its own ballot and map.
    pub leaders: u32,
    /// Maximum number of steps.
    pub steps: u32,
    /// Maximum number of restarts of a process next to a running rank.
    pub restarts: u8,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SwitchState {
    ranks: Vec<RankMachine>,
    leaders: Vec<Option<LeaderMachine>>,
    orders: BTreeSet<(usize, LeaderMessage)>,
    replies: BTreeSet<(u32, usize, RankReply)>,
    maps_by_step: BTreeMap<StepNumber, BTreeSet<MapVersion>>,
    restarts: u8,
}

impl SwitchModel {
    fn broadcast(&self, state: &mut SwitchState, message: LeaderMessage) {
        for rank in 0..self.ranks {
            state.orders.insert((rank, message));
        }
    }

    fn leader_events(&self, state: &SwitchState, visit: EventVisitor<'_, SwitchState>) {
        for leader in 0..self.leaders {
            let index = leader as usize;
            let mut next = state.clone();
            if let Some(machine) = &mut next.leaders[index] {
                if machine.decided() {
                    continue;
                }
                let message = machine.timeout();
                if let Some(message) = message {
                    self.broadcast(&mut next, message);
                }
                visit(format_args!("leader {leader} times out"), next);
                continue;
            }
            let ballot = LeaderBallot(leader + 1);
            let map = MapVersion(leader + 1);
            let (machine, message) = LeaderMachine::start(ballot, map, LEAD_STEPS, self.ranks, self.rules);
            next.leaders[index] = Some(machine);
            self.broadcast(&mut next, message);
            visit(format_args!("leader {leader} begins"), next);
        }
        for &(leader, rank, reply) in &state.replies {
            let mut next = state.clone();
            next.replies.remove(&(leader, rank, reply));
            let Some(machine) = &mut next.leaders[leader as usize] else {
                continue;
            };
            if let Some(message) = machine.on(rank, reply) {
                self.broadcast(&mut next, message);
            }
            visit(format_args!("leader {leader} receives from rank {rank}: {reply:?}"), next);
        }
    }

    fn rank_events(&self, state: &SwitchState, visit: EventVisitor<'_, SwitchState>) {
        for &(rank, message) in &state.orders {
            let mut next = state.clone();
            if matches!(message, LeaderMessage::Promise(_)) {
                next.orders.remove(&(rank, message));
            }
            if let Some(reply) = next.ranks[rank].on(message, true) {
                next.replies.insert((leader_of(message), rank, reply));
            }
            visit(format_args!("rank {rank} receives {message:?}"), next);
        }
        for rank in 0..self.ranks {
            if state.ranks[rank].started().0 < self.steps {
                let mut next = state.clone();
                if let Some((step, map)) = next.ranks[rank].start_step() {
                    next.maps_by_step.entry(step).or_default().insert(map);
                    visit(format_args!("rank {rank} starts step {} with map {}", step.0, map.0), next);
                }
            }
            if state.restarts < self.restarts {
                let mut next = state.clone();
                next.restarts += 1;
                next.ranks[rank].restart();
                visit(format_args!("the process next to rank {rank} restarts"), next);
            }
        }
    }
}

/// All state that concerns one rank; ranks with equal state are interchangeable.
type RankSlice = (RankMachine, Vec<LeaderMessage>, Vec<(u32, RankReply)>, Vec<RankKnowledge>);

impl SwitchState {
    /// Removes replies to leaders that have decided, which no longer have an effect.
    fn drop_settled_replies(&mut self) {
        let leaders = &self.leaders;
        let decided = |leader: u32| leaders[leader as usize].as_ref().is_some_and(LeaderMachine::decided);
        self.replies.retain(|(leader, _rank, _reply)| !decided(*leader));
    }

    fn rank_slice(&self, rank: usize) -> RankSlice {
        let orders = self.orders.iter().filter(|(to, _message)| *to == rank).map(|(_to, message)| *message);
        let replies = self.replies.iter().filter(|(_leader, from, _reply)| *from == rank);
        let replies = replies.map(|(leader, _from, reply)| (*leader, *reply));
        let rank_knowledge = self.leaders.iter().flatten().map(|leader| leader.rank_knowledge(rank));
        (self.ranks[rank].clone(), orders.collect(), replies.collect(), rank_knowledge.collect())
    }

    /// Renumbers the ranks in the order of their state, so that symmetric states become equal.
    fn sort_ranks(&mut self) {
        let mut slices: Vec<(RankSlice, usize)> =
            (0..self.ranks.len()).map(|rank| (self.rank_slice(rank), rank)).collect();
        slices.sort();
        let mut numbers = vec![0; slices.len()];
        for (number, (_slice, rank)) in slices.iter().enumerate() {
            numbers[*rank] = number;
        }
        self.ranks = slices.into_iter().map(|(rank_slice, _rank)| rank_slice.0).collect();
        self.orders = self.orders.iter().map(|(rank, message)| (numbers[*rank], *message)).collect();
        self.replies =
            self.replies.iter().map(|(leader, rank, reply)| (*leader, numbers[*rank], *reply)).collect();
        for leader in self.leaders.iter_mut().flatten() {
            leader.renumber(&numbers);
        }
    }
}

fn leader_of(message: LeaderMessage) -> u32 {
    let ballot = match message {
        LeaderMessage::Promise(ballot)
        | LeaderMessage::Commit(ballot, _)
        | LeaderMessage::Abort(ballot, _) => ballot,
        LeaderMessage::Arm(switch) => switch.ballot,
    };
    ballot.0 - 1
}

impl ProtocolModel for SwitchModel {
    type State = SwitchState;

    fn initial(&self) -> SwitchState {
        SwitchState {
            ranks: vec![RankMachine::new(MapVersion(0), self.rules); self.ranks],
            leaders: vec![None; self.leaders as usize],
            orders: BTreeSet::new(),
            replies: BTreeSet::new(),
            maps_by_step: BTreeMap::new(),
            restarts: 0,
        }
    }

    fn successors(&self, state: &SwitchState, visit: EventVisitor<'_, SwitchState>) {
        self.leader_events(state, visit);
        self.rank_events(state, visit);
    }

    fn normalize(&self, state: &mut SwitchState) {
        state.drop_settled_replies();
        state.sort_ranks();
    }

    fn violation(&self, state: &SwitchState) -> Option<String> {
        let (step, _maps) = state.maps_by_step.iter().find(|(_step, maps)| maps.len() > 1)?;
        Some(format!("two maps are used in step {}", step.0))
    }
}
