//! When this process may send to a target that bears only so many requests a second, so that all processes together keep to
//! its rate.
//!
//! The rate holds for all processes together, and none of them can hear the others in time. Time is cut into rounds, in
//! which each process has one turn, at a moment that follows from its place among them. A turn that is not used lapses, so that
//! the turns of many processes never come to one burst. Whoever does not know its place takes many others for granted: an
//! error sends less, never more.

use super::targets::TargetLife;
use porthoist_core::{RequestRate, UnixDeadline, UnixMillis, ZoneName};
use std::fmt;

/// Part of a limit that is given out: the rest bears processes that are not counted yet, and clocks that are apart.
const GIVEN_PART: f64 = 0.75;
/// Requests a second that all processes together may send to a target at least, whatever it names: one that nothing is sent to
/// could never say that it takes more again.
const LEAST_RATE: f64 = 0.25;
/// Time in milliseconds after which a turn at a target that names a limit lapses.
const NAMED_LAPSE_MILLIS: u64 = 1_000;
/// Time in milliseconds after which a turn at a cold target lapses: it is counted by the second, and turns that were saved up may
/// come on top of a second's.
const COLD_LAPSE_MILLIS: u64 = 600;
/// Entries that are assumed for each target known: deployments have about one. Far too many leave callers without cold targets in the
/// first seconds after a restart of all; up to twice as many as are assumed keep to what cold targets survive.
const ENTRIES_A_TARGET: u32 = 2;
/// Entries that are assumed at least.
const LEAST_ENTRIES: u32 = 100;

/// Entries that are taken for granted where nobody counts them and no setting tells.
pub fn assumed_entries(targets: usize) -> u32 {
    LEAST_ENTRIES.max(ENTRIES_A_TARGET.saturating_mul(u32::try_from(targets).unwrap_or(u32::MAX)))
}

/// A process's place among the entry processes of its availability zone, by an order that all agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPosition {
    /// Entries before it.
    pub index: u32,
    /// All entries.
    pub entries: u32,
}

/// What an entry goes by while nobody has told it its place.
#[derive(Debug, Clone, Copy)]
pub struct UncountedEntry {
    /// All entries that send to the same targets.
    pub entries: u32,
    /// Tells this entry from others.
    pub seed: u64,
}

/// A process's place among all that send to the same targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SenderPosition {
    /// How many send, if all zones have as many entries as this one: with shares by zone their sum is right either way.
    count: f64,
    /// Part of a round that is over when its turn comes.
    phase: f64,
}

impl SenderPosition {
    /// The place of an entry of `zone`, with targets in `zones`, which are in order.
    pub fn new(
        place: Option<EntryPosition>,
        zone: &ZoneName,
        zones: &[ZoneName],
        uncounted: UncountedEntry,
    ) -> Self {
        let Some(EntryPosition { index: before, entries }) =
            place.filter(|place| place.index < place.entries)
        else {
            let UncountedEntry { entries, seed } = uncounted;
            let phase = unit(xxhash_rust::xxh3::xxh3_64(&seed.to_le_bytes()));
            return Self { count: f64::from(entries.max(1)), phase };
        };
        // A zone without targets takes a share as well; it counts as one more.
        let (index, known) = match zones.binary_search(zone) {
            Ok(index) => (index, zones.len()),
            Err(index) => (index, zones.len() + 1),
        };
        let (zones, entries) = (known as f64, f64::from(entries));
        Self { count: zones * entries, phase: (f64::from(before) + index as f64 / zones) / entries }
    }
}

/// A number between 0 and 1 from a hash.
fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Why a target takes only so many requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateSource {
    /// It names a limit in its answers.
    Announced,
    /// It is cold.
    Cold,
}

impl RateSource {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "named",
            Self::Cold => "cold",
        }
    }

    fn lapse_millis(self) -> u64 {
        match self {
            Self::Announced => NAMED_LAPSE_MILLIS,
            Self::Cold => COLD_LAPSE_MILLIS,
        }
    }
}

/// Requests that a target takes from all processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetRate {
    /// How many.
    pub rate: RequestRate,
    /// Why not more.
    pub source: RateSource,
}

impl fmt::Display for TargetRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.rate, self.source.as_str())
    }
}

/// The rounds of one target, as one process sees them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnRound {
    millis: f64,
    phase: f64,
    lapse_millis: u64,
}

impl TurnRound {
    /// The rounds of a target that bears a rate. Different targets' rounds begin at different moments.
    pub fn new(rate: TargetRate, sender: SenderPosition, life: &TargetLife) -> Self {
        let TargetRate { rate: RequestRate(allowed), source } = rate;
        let given = (GIVEN_PART * allowed).max(LEAST_RATE);
        let target = xxhash_rust::xxh3::xxh3_64_with_seed(life.id.as_str().as_bytes(), life.born.0);
        Self {
            millis: 1_000.0 * sender.count / given,
            phase: (sender.phase + unit(target)).fract(),
            lapse_millis: source.lapse_millis(),
        }
    }

    /// Mean time in milliseconds between two turns of this process.
    pub fn millis(&self) -> f64 {
        self.millis
    }

    /// Turns of this process that have begun.
    fn begun(&self, now: UnixMillis) -> u64 {
        (now.0 as f64 / self.millis - self.phase + 1.0).max(0.0) as u64
    }

    fn next(&self, now: UnixMillis) -> UnixDeadline {
        let next = (self.begun(now) as f64 + self.phase) * self.millis;
        UnixDeadline(UnixMillis(next.ceil() as u64).max(now.plus(1)))
    }
}

/// Turns of one process at one target.
#[derive(Debug, Clone, Default)]
pub struct SendTurns {
    round: Option<TurnRound>,
    used: u64,
    used_at: UnixMillis,
}

impl SendTurns {
    /// Takes the rounds that hold now. Turns of other rounds are over.
    pub fn set(&mut self, round: TurnRound, now: UnixMillis) {
        if self.round != Some(round) {
            self.round = Some(round);
            self.used = round.begun(now);
        }
    }

    /// Whether a request may be sent now.
    pub fn free(&self, now: UnixMillis) -> bool {
        let Some(round) = self.round else { return false };
        // Rounds that change often must not bring turns closer together.
        let apart = now.since(self.used_at) as f64 >= round.millis / 2.0;
        let spaced = round.millis <= round.lapse_millis as f64 || apart;
        spaced && round.begun(now) > self.lapsed(round, now)
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now: UnixMillis) {
        let Some(round) = self.round else { return };
        self.used = self.lapsed(round, now) + 1;
        self.used_at = now;
    }

    /// When the next turn begins; nothing without a limit.
    pub fn next(&self, now: UnixMillis) -> Option<UnixDeadline> {
        self.round.map(|round| round.next(now))
    }

    /// Mean time in milliseconds between two turns; nothing without a limit.
    pub fn millis(&self) -> Option<f64> {
        self.round.map(|round| round.millis())
    }

    /// Turns that were used or have lapsed.
    fn lapsed(&self, round: TurnRound, now: UnixMillis) -> u64 {
        let before = UnixMillis(now.0.saturating_sub(round.lapse_millis));
        self.used.max(round.begun(before))
    }
}
