//! Model of a group of ranks: every pass produces one event of each running stream and takes as
//! long as the most loaded rank needs.

use super::TICK_MILLIS;
use porthoist_core::UnixMillis;

/// Steps per pass, base time of a step in milliseconds, and time that each running stream adds to a
/// step, as the users' engines have them.
const STEPS_PER_PASS: f64 = 4.0;
const BASE_STEP_MILLIS: f64 = 4.55;
const STEP_MILLIS_PER_STREAM: f64 = 0.905;
/// Fraction of a step spent in experts.
const EXPERT_SHARE: f64 = 0.85;
/// Time in milliseconds that the prefill of a new prompt adds to a pass: 835 tokens at 61 tokens
/// per millisecond.
const PREFILL_MILLIS: f64 = 13.6;
/// A group rejects requests once it has been down for this time in milliseconds.
const REJECT_AFTER_MILLIS: u64 = 1_500;
/// Interval between two load reports, in milliseconds.
const REPORT_INTERVAL_MILLIS: u64 = 160;

/// State of the group.
#[derive(Debug, Clone, Copy)]
pub struct GroupState {
    /// Expert work of the most loaded rank, relative to the mean.
    pub skew: f64,
    /// Whether the group runs no passes.
    pub down: bool,
    /// Factor by which the slowest rank lengthens each pass.
    pub slowdown: f64,
}

/// Loads of the ranks as seen by a rule.
#[derive(Debug, Clone)]
pub struct LoadView {
    /// Revision of the last report.
    pub revision: u64,
    /// Requests at each rank according to the last report.
    pub requests: Vec<u32>,
    /// Whether the group is down now. Only the omniscient rule uses it.
    pub down: bool,
    /// Requests at each rank now. Only the rules with a fixed bound use it.
    pub current_requests: Vec<u32>,
}

/// An event of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamEvent {
    /// Index of the caller.
    pub caller: usize,
    /// Index of the rank.
    pub rank: usize,
    /// Whether it is the first of its stream.
    pub first: bool,
    /// Whether it is the last of its stream.
    pub last: bool,
}

#[derive(Debug, Clone, Copy)]
struct RankStream {
    caller: usize,
    events_sent: u32,
    events: u32,
}

/// A group of ranks and the streams that run there.
#[derive(Debug)]
pub struct RankGroup {
    slots: usize,
    ranks: Vec<Vec<RankStream>>,
    state: GroupState,
    down_since: Option<UnixMillis>,
    /// End of the current pass, in milliseconds.
    pass_end: f64,
    /// Number of passes that produced events.
    passes: u32,
    load_view: LoadView,
    reported_at: UnixMillis,
    now: UnixMillis,
}

impl RankGroup {
    /// Creates a group without streams.
    pub fn new(ranks: usize, slots: u32) -> Self {
        let requests = vec![0; ranks];
        Self {
            slots: slots as usize,
            ranks: vec![Vec::new(); ranks],
            state: GroupState { skew: 1.0, down: false, slowdown: 1.0 },
            passes: 0,
            down_since: None,
            pass_end: 0.0,
            load_view: LoadView { revision: 0, current_requests: requests.clone(), requests, down: false },
            reported_at: UnixMillis(0),
            now: UnixMillis(0),
        }
    }

    /// Sets the state of the group.
    pub fn set_state(&mut self, state: GroupState) {
        self.state = state;
    }

    /// The last load report and the current state.
    pub fn load_view(&self) -> LoadView {
        let current_requests = self.request_counts();
        LoadView { down: self.state.down, current_requests, ..self.load_view.clone() }
    }

    /// Adds a stream. Returns `false` if the group rejects it.
    pub fn add(&mut self, caller: usize, rank: usize, events: u32) -> bool {
        if self.rejects_requests() {
            return false;
        }
        self.ranks[rank].push(RankStream { caller, events_sent: 0, events });
        true
    }

    /// Stops the stream of a caller.
    pub fn cancel(&mut self, caller: usize) {
        for rank in &mut self.ranks {
            rank.retain(|stream| stream.caller != caller);
        }
    }

    /// Runs the passes due until `now` and returns their events.
    pub fn advance(&mut self, now: UnixMillis) -> Vec<StreamEvent> {
        self.now = now;
        self.report(now);
        if self.state.down {
            self.down_since.get_or_insert(now);
            self.pass_end = (now.0 + TICK_MILLIS) as f64;
            return Vec::new();
        }
        self.down_since = None;
        if (now.0 as f64) < self.pass_end {
            return Vec::new();
        }
        let events = self.pass();
        self.passes += u32::from(!events.is_empty());
        self.pass_end = now.0 as f64 + self.pass_millis();
        events
    }

    /// Number of passes that produced events.
    pub fn passes(&self) -> u32 {
        self.passes
    }

    fn rejects_requests(&self) -> bool {
        self.down_since.is_some_and(|since| self.now.since(since) > REJECT_AFTER_MILLIS)
    }

    fn request_counts(&self) -> Vec<u32> {
        self.ranks.iter().map(|rank| rank.len() as u32).collect()
    }

    fn report(&mut self, now: UnixMillis) {
        if now.since(self.reported_at) < REPORT_INTERVAL_MILLIS || self.state.down {
            return;
        }
        self.reported_at = now;
        self.load_view.revision += 1;
        self.load_view.requests = self.request_counts();
    }

    fn pass(&mut self) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        for (rank, streams) in self.ranks.iter_mut().enumerate() {
            for stream in streams.iter_mut().take(self.slots) {
                stream.events_sent += 1;
                let last = stream.events_sent == stream.events;
                events.push(StreamEvent {
                    caller: stream.caller,
                    rank,
                    first: stream.events_sent == 1,
                    last,
                });
            }
            streams.retain(|stream| stream.events_sent < stream.events);
        }
        events
    }

    /// Duration of the next pass in milliseconds.
    fn pass_millis(&self) -> f64 {
        let running = self.ranks.iter().map(|rank| rank.len().min(self.slots)).max().unwrap_or_default();
        let new_streams = |rank: &Vec<RankStream>| {
            rank.iter().take(self.slots).filter(|stream| stream.events_sent == 0).count()
        };
        let prefills = self.ranks.iter().map(new_streams).max().unwrap_or_default();
        let step = BASE_STEP_MILLIS + STEP_MILLIS_PER_STREAM * running as f64;
        let skewed = 1.0 - EXPERT_SHARE + EXPERT_SHARE * self.state.skew;
        STEPS_PER_PASS * step * skewed * self.state.slowdown + PREFILL_MILLIS * prefills as f64
    }
}
