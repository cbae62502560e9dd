//! Admission by priority while more is asked of a service than it can serve on time.
//!
//! A priority may use what is free after a reserve for the more urgent ones: what all entries ask of
//! those until a report can respond. If that is less than what is asked of the priority itself, each
//! entry admits the same fraction of its requests. This divides the free slots by demand, also among
//! entries that get a request less often than a report.

use super::demand::{PriorityLevel, ServiceDemand};
use porthoist_core::UnixMillis;
use std::collections::BTreeMap;

/// Fraction of the free slots that the least urgent priority gets in any case, so that it does not
/// starve.
const LEAST_URGENT_FRACTION: f64 = 0.02;
/// Reserve for a more urgent priority, relative to what is asked of it until a report can respond. The
/// excess covers the ranks that are full while others have free slots, and a rise of the demand that is
/// not known yet.
const RESERVE_FACTOR: f64 = 2.75;
/// Maximum increase of a fraction in one report interval. The effect of an increase is seen two to three
/// reports later; without the limit, the fraction oscillates and overfills the ranks when demand ends.
const MAX_FRACTION_RISE: f64 = 0.1;
/// Weight of a new fraction in the usual one, which must not follow single reports.
const FRACTION_WEIGHT: f64 = 0.1;
/// Fraction of the usual sends that is sent while no report shows what is free.
const BLIND_FRACTION: f64 = 0.25;
/// Lower bound of a fraction, so that the expected wait stays finite.
const MIN_FRACTION: f64 = 0.001;

/// What can be divided among the priorities.
#[derive(Debug, Clone, Copy)]
pub struct LevelSupply<'a> {
    /// Free slots less what all entries have probably sent since the reading.
    pub free: f64,
    /// The same if each rank may hold one request more than it runs.
    pub free_ahead: f64,
    /// Time until a report can show the effect of a send.
    pub response_millis: f64,
    /// Time between two reports of a group.
    pub interval_millis: f64,
    /// Demand of all entries.
    pub demand: &'a ServiceDemand,
    /// Demand of this process.
    pub own: &'a ServiceDemand,
    /// This process's waiting requests.
    pub waiting: &'a BTreeMap<PriorityLevel, usize>,
}

/// What this process may send of one priority.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LevelGrant {
    /// Requests that all entries together may send until the next report.
    pub available: f64,
    /// Fraction of the requests that each entry admits.
    pub fraction: f64,
    /// This process's share of the demand.
    pub share: f64,
}

impl LevelGrant {
    /// Requests that this process may send until the next report.
    pub fn own_requests(&self) -> f64 {
        self.available * self.share
    }
}

#[derive(Debug, Clone, Copy)]
struct LevelState {
    grant: LevelGrant,
    /// Fraction of a request that was admitted but not sent.
    credit: f64,
    /// The same for requests that wait.
    waiting_credit: f64,
    /// Mean fraction over several reports.
    usual_fraction: f64,
    /// Requests that all entries will send until a report can respond.
    sends_per_response: f64,
    /// Requests that waited at the last division.
    waiting: usize,
}

impl LevelState {
    fn new(credit: f64) -> Self {
        let grant = LevelGrant { fraction: 1.0, ..LevelGrant::default() };
        Self { grant, credit, waiting_credit: 0.0, usual_fraction: 1.0, sends_per_response: 0.0, waiting: 0 }
    }
}

/// Admission to one service.
#[derive(Debug, Clone, Default)]
pub struct LevelAdmission {
    levels: BTreeMap<PriorityLevel, LevelState>,
    phase: f64,
    divided: UnixMillis,
    interval_millis: f64,
    /// Whether no group was open at the last division.
    closed: bool,
}

impl LevelAdmission {
    /// Creates the admission of an entry; `phase` differs between entries and is from 0 to 1, so that
    /// the fractions of a request that they round add up.
    pub fn new(phase: f64) -> Self {
        Self { phase, ..Self::default() }
    }

    /// Admits nothing until the next division.
    pub fn close(&mut self) {
        for state in self.levels.values_mut() {
            state.grant = LevelGrant::default();
        }
        self.closed = true;
    }

    /// Divides what is free. Nothing is carried over from the last division.
    pub fn divide(&mut self, supply: &LevelSupply<'_>, now: UnixMillis) {
        let (demand, phase) = (supply.demand, self.phase);
        for level in demand.levels.keys().chain(supply.own.levels.keys()) {
            self.levels.entry(*level).or_insert_with(|| LevelState::new(phase));
        }
        let least_urgent = self.levels.keys().next_back().copied();
        let passed = (now.since(self.divided) as f64 / supply.interval_millis).min(1.0);
        // Groups that have just reopened are empty, and no sends to them are on their way.
        let max_rise = if std::mem::take(&mut self.closed) { 1.0 } else { passed * MAX_FRACTION_RISE };
        self.divided = now;
        self.interval_millis = supply.interval_millis;
        let mut reserved = 0.0;
        for (level, state) in &mut self.levels {
            let asked = demand.asked(*level).0;
            let own = supply.own.asked(*level).0;
            let share = if asked > 0.0 { (own / asked).min(1.0) } else { 0.0 };
            let minimum =
                if Some(*level) == least_urgent { LEAST_URGENT_FRACTION * supply.free } else { 0.0 };
            let free = if Some(*level) == least_urgent { supply.free } else { supply.free_ahead };
            let available = (free - reserved).max(minimum).max(0.0);
            let waiting = supply.waiting.get(level).copied().unwrap_or_default();
            let backlog = if share > 0.0 { waiting as f64 / share } else { 0.0 };
            let wanted = asked * supply.interval_millis / 1_000.0 + backlog;
            let fraction = if wanted > available { available / wanted } else { 1.0 };
            let fraction = fraction.min(state.grant.fraction + max_rise);
            state.grant = LevelGrant { available, fraction, share };
            state.usual_fraction += FRACTION_WEIGHT * (fraction - state.usual_fraction);
            state.waiting = waiting;
            state.waiting_credit =
                (state.waiting_credit.fract() + fraction * passed * waiting as f64).min(waiting as f64 + 1.0);
            reserved += RESERVE_FACTOR * asked * supply.response_millis / 1_000.0;
            state.sends_per_response = fraction * asked * supply.response_millis / 1_000.0;
        }
    }

    /// Requests of a priority that all entries are expected to send until a report can respond.
    pub fn sends_per_response(&self, level: PriorityLevel) -> f64 {
        self.levels.get(&level).map_or(0.0, |state| state.sends_per_response)
    }

    /// Requests per second of a priority that all entries are expected to send.
    pub fn expected_rate(&self, level: PriorityLevel, demand: &ServiceDemand) -> f64 {
        self.grant(level).fraction * demand.asked(level).0
    }

    /// Whether no less urgent priority is known.
    pub fn is_least(&self, level: PriorityLevel) -> bool {
        self.levels.keys().next_back().is_none_or(|least_urgent| level >= *least_urgent)
    }

    /// The known priorities.
    pub fn levels(&self) -> impl Iterator<Item = PriorityLevel> {
        self.levels.keys().copied()
    }

    /// Whether a request may be sent now; uses the grant if so.
    pub fn try_admit(&mut self, level: PriorityLevel) -> bool {
        let Some(state) = self.levels.get_mut(&level) else { return true };
        state.credit += state.grant.fraction;
        let admitted = state.credit >= 1.0;
        state.credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Whether a request may be sent while no report shows what is free.
    pub fn try_admit_blindly(&mut self, level: PriorityLevel) -> bool {
        let Some(state) = self.levels.get_mut(&level) else { return true };
        state.credit += BLIND_FRACTION * state.usual_fraction;
        let admitted = state.credit >= 1.0;
        state.credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Whether a request that waits may be sent now; uses the grant if so.
    pub fn try_admit_waiting(&mut self, level: PriorityLevel) -> bool {
        let Some(state) = self.levels.get_mut(&level) else { return true };
        let admitted = state.waiting_credit >= 1.0;
        state.waiting_credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Expected time in milliseconds between two waiting requests of a priority that get a slot.
    pub fn millis_per_waiting(&self, level: PriorityLevel) -> f64 {
        let Some(state) = self.levels.get(&level) else { return 0.0 };
        self.interval_millis / (state.usual_fraction * (state.waiting + 1) as f64).max(MIN_FRACTION)
    }

    /// Returns a grant that was not used.
    pub fn return_grant(&mut self, level: PriorityLevel) {
        if let Some(state) = self.levels.get_mut(&level) {
            state.credit = (state.credit + 1.0 - state.grant.fraction).max(0.0);
        }
    }

    /// What this process may send of a priority.
    pub fn grant(&self, level: PriorityLevel) -> LevelGrant {
        self.levels.get(&level).map_or_else(LevelGrant::default, |state| state.grant)
    }
}
