//! Breadth-first search of a model's states; the path to a bad state is a shortest counterexample.

use pathfinding::directed::dijkstra::{build_path, dijkstra_partial};
use std::cell::Cell;
use std::fmt;
use std::hash::Hash;
use std::rc::Rc;

/// Takes one event and the state that it leads to; the event is put into words only when it is shown.
pub type EventVisitor<'a, S> = &'a mut dyn FnMut(fmt::Arguments<'_>, S);

/// A protocol with its faults as a transition system.
pub trait ProtocolModel {
    /// All that processes, table and network hold.
    type State: Clone + Eq + Hash + fmt::Debug;

    /// The state at the start.
    fn initial(&self) -> Self::State;
    /// Visits every event possible in a state.
    fn successors(&self, state: &Self::State, visit: EventVisitor<'_, Self::State>);
    /// The promise that a state breaks, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
    /// Replaces a state by the one that stands for all that are like it.
    fn normalize(&self, _state: &mut Self::State) {}
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchReport {
    /// Distinct states reached.
    pub states: usize,
    /// Events on the longest shortest path.
    pub depth: usize,
    /// The broken promise and the events that lead to it.
    pub counterexample: Option<(String, Vec<String>)>,
    /// Whether every reachable state was visited.
    pub complete: bool,
}

/// Searches until a promise is broken, all states are visited, or `limit` states were expanded.
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
        let promise = model.violation(state)?;
        Some((promise, events(model, &build_path(state, &reached))))
    });
    let complete = stopped.is_none();
    SearchReport { states: reached.len() + 1, depth, counterexample, complete }
}

fn events<M: ProtocolModel>(model: &M, path: &[Rc<M::State>]) -> Vec<String> {
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
