//! Breadth-first search of a model's states, which finds a shortest path to a violation.

use pathfinding::directed::dijkstra::{build_path, dijkstra_partial};
use std::cell::Cell;
use std::fmt;
use std::hash::Hash;
use std::rc::Rc;

/// Receives an event and the state that it leads to. The event is formatted only if it is displayed.
pub type EventVisitor<'a, S> = &'a mut dyn FnMut(fmt::Arguments<'_>, S);

/// Transition system of a protocol and its faults.
pub trait ProtocolModel {
    /// State of processes, table and network.
    type State: Clone + Eq + Hash + fmt::Debug;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;
    /// Visits every event that is possible in a state.
    fn successors(&self, state: &Self::State, visit: EventVisitor<'_, Self::State>);
    /// Describes the property that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
    /// Replaces a state by the representative of its equivalence class.
    fn normalize(&self, _state: &mut Self::State) {}
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchReport {
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of events on the longest of the shortest paths.
    pub depth: usize,
    /// The violated property and the events that lead to it.
    pub counterexample: Option<(String, Vec<String>)>,
    /// Whether every reachable state was visited.
    pub complete: bool,
}

/// Searches until a property is violated, all states are visited, or `limit` states have been expanded.
pub fn search<M: ProtocolModel>(model: &M, limit: usize) -> SearchReport {
    let initial = Rc::new(model.initial());
    let expanded = Cell::new(0_usize);
    let next = |state: &Rc<M::State>| {
        expanded.set(expanded.get() + 1);
        let mut found = Vec::new();
        model.successors(state, &mut |_event, mut next| {
            model.normalize(&mut next);
            if next != **state {
                found.push((Rc::new(next), 1_usize));
            }
        });
        found
    };
    let stop = |state: &Rc<M::State>| model.violation(state).is_some() || expanded.get() >= limit;
    let (reached, stopped) = dijkstra_partial(&initial, next, stop);
    let depth = reached.values().map(|(_parent, cost)| *cost).max().unwrap_or(0);
    let counterexample = stopped.as_ref().and_then(|state| {
        let property = model.violation(state)?;
        Some((property, path_events(model, &build_path(state, &reached))))
    });
    let complete = stopped.is_none();
    SearchReport { states: reached.len() + 1, depth, counterexample, complete }
}

fn path_events<M: ProtocolModel>(model: &M, path: &[Rc<M::State>]) -> Vec<String> {
    let event = |pair: &[Rc<M::State>]| {
        let mut label = None;
        model.successors(&pair[0], &mut |event, mut next| {
            model.normalize(&mut next);
            if label.is_none() && next == *pair[1] {
                label = Some(event.to_string());
            }
        });
        label.unwrap_or_default()
    };
    path.windows(2).map(event).collect()
}
