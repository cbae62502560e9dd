//! Schedules sends to targets with a rate limit, so that all processes together keep to it.
//!
//! The limit applies to all processes together, and they cannot coordinate in time. Time is divided into
//! rounds in which each process has one turn, at a moment derived from its position among them. An
//! unused turn expires, so that the turns of many processes never add up to a burst. A process that does
//! not know its position assumes many others, so that an error sends too little rather than too much.

use super::targets::TargetLife;
use porthoist_core::{RequestRate, UnixDeadline, UnixMillis, ZoneName};
use std::fmt;

/// Fraction of a limit that is used. The rest absorbs processes that are not counted yet and clock
/// differences.
const USED_FRACTION: f64 = 0.75;
/// Minimum number of requests a second that all processes together may send, whatever limit the target
/// announces. A target without requests could never announce a higher limit.
const MIN_RATE: f64 = 0.25;
/// Time in milliseconds after which an unused turn at a target with an announced limit expires.
const ANNOUNCED_EXPIRY_MILLIS: u64 = 1_000;
/// Time in milliseconds after which an unused turn at a cold target expires. Its limit is checked for
/// each second, and saved turns would add to those of the next second.
const COLD_EXPIRY_MILLIS: u64 = 600;
/// Entries assumed per known target; deployments have about one. A far higher number would leave callers
/// without cold targets in the first seconds after all have restarted. Up to twice as many entries as
/// assumed stay within what cold targets survive.
const ENTRIES_PER_TARGET: u32 = 2;
/// Minimum number of assumed entries.
const MIN_ENTRIES: u32 = 100;

/// Number of entries to assume while nobody counts them and no setting gives it.
pub fn assumed_entries(targets: usize) -> u32 {
    MIN_ENTRIES.max(ENTRIES_PER_TARGET.saturating_mul(u32::try_from(targets).unwrap_or(u32::MAX)))
}

/// A process's position among the entry processes of its availability zone, in an order that all agree
/// on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPosition {
    /// Number of entries before it.
    pub index: u32,
    /// Number of all entries.
    pub entries: u32,
}

/// What an entry uses until it learns its position.
#[derive(Debug, Clone, Copy)]
pub struct UncountedEntry {
    /// Number of entries that send to the same targets.
    pub entries: u32,
    /// Distinguishes this entry from others.
    pub seed: u64,
}

/// A process's position among all that send to the same targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SenderPosition {
    /// Number of senders if every zone has as many entries as this one. Since each zone uses its own
    /// count, the total rate is right even where the counts differ.
    count: f64,
    /// Fraction of a round before its turn.
    phase: f64,
}

impl SenderPosition {
    /// The position of an entry of `zone`, for targets in `zones`, which are sorted.
    pub fn new(
        position: Option<EntryPosition>,
        zone: &ZoneName,
        zones: &[ZoneName],
        uncounted: UncountedEntry,
    ) -> Self {
        let Some(EntryPosition { index: entry_index, entries }) =
            position.filter(|position| position.index < position.entries)
        else {
            let UncountedEntry { entries, seed } = uncounted;
            let phase = unit_interval(xxhash_rust::xxh3::xxh3_64(&seed.to_le_bytes()));
            return Self { count: f64::from(entries.max(1)), phase };
        };
        // A zone without targets also sends, so it counts as one more.
        let (zone_index, zone_count) = match zones.binary_search(zone) {
            Ok(index) => (index, zones.len()),
            Err(index) => (index, zones.len() + 1),
        };
        let (zones, entries) = (zone_count as f64, f64::from(entries));
        Self { count: zones * entries, phase: (f64::from(entry_index) + zone_index as f64 / zones) / entries }
    }

    /// Number of senders.
    pub fn count(&self) -> f64 {
        self.count
    }

    /// Position of this sender among all, from 0 to 1.
    pub fn phase(&self) -> f64 {
        self.phase
    }
}

/// A number between 0 and 1 from a hash.
fn unit_interval(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Why a target has a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateSource {
    /// It announces a limit in its answers.
    Announced,
    /// It is cold.
    Cold,
}

impl RateSource {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "named",
            Self::Cold => "cold",
        }
    }

    fn expiry_millis(self) -> u64 {
        match self {
            Self::Announced => ANNOUNCED_EXPIRY_MILLIS,
            Self::Cold => COLD_EXPIRY_MILLIS,
        }
    }
}

/// Rate limit of a target for all processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetRate {
    /// Requests a second.
    pub rate: RequestRate,
    /// Why it is limited.
    pub source: RateSource,
}

impl fmt::Display for TargetRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.rate, self.source.as_str())
    }
}

/// The rounds of one target as one process sees them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnRound {
    millis: f64,
    phase: f64,
    expiry_millis: u64,
}

impl TurnRound {
    /// The rounds of a target with a rate limit. Rounds of different targets begin at different moments.
    pub fn new(rate: TargetRate, sender: SenderPosition, life: &TargetLife) -> Self {
        let TargetRate { rate: RequestRate(allowed), source } = rate;
        let used = (USED_FRACTION * allowed).max(MIN_RATE);
        let target = xxhash_rust::xxh3::xxh3_64_with_seed(life.id.as_str().as_bytes(), life.born.0);
        Self {
            millis: 1_000.0 * sender.count / used,
            phase: (sender.phase + unit_interval(target)).fract(),
            expiry_millis: source.expiry_millis(),
        }
    }

    /// Mean time in milliseconds between two turns of this process.
    pub fn millis(&self) -> f64 {
        self.millis
    }

    /// Number of turns of this process that have begun.
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
    /// Sets the current rounds. Turns of earlier rounds expire.
    pub fn set(&mut self, round: TurnRound, now: UnixMillis) {
        if self.round != Some(round) {
            self.round = Some(round);
            self.used = round.begun(now);
        }
    }

    /// Whether a request may be sent now.
    pub fn free(&self, now: UnixMillis) -> bool {
        let Some(round) = self.round else { return false };
        // Frequent changes of the rounds must not bring turns closer together.
        let far_apart = now.since(self.used_at) as f64 >= round.millis / 2.0;
        let spaced = round.millis <= round.expiry_millis as f64 || far_apart;
        spaced && round.begun(now) > self.spent(round, now)
    }

    /// Uses a turn for a request that is sent now.
    pub fn take(&mut self, now: UnixMillis) {
        let Some(round) = self.round else { return };
        self.used = self.spent(round, now) + 1;
        self.used_at = now;
    }

    /// When the next turn begins, or `None` without a limit.
    pub fn next(&self, now: UnixMillis) -> Option<UnixDeadline> {
        self.round.map(|round| round.next(now))
    }

    /// Mean time in milliseconds between two turns, or `None` without a limit.
    pub fn millis(&self) -> Option<f64> {
        self.round.map(|round| round.millis())
    }

    /// Number of turns that were used or have expired.
    fn spent(&self, round: TurnRound, now: UnixMillis) -> u64 {
        let oldest = UnixMillis(now.0.saturating_sub(round.expiry_millis));
        self.used.max(round.begun(oldest))
    }
}
