//! Ways to keep a target's limit over entries that can't hear each other: the daemon's turns beside others.
//!
//! All callers want the one target. They come in rushes, so that what an entry may save up while nobody comes shows.

use porthoist_core::{RequestRate, UnixMillis, ZoneName};
use porthoist_policy::proxy::send_turns::{
    EntryPosition, RateSource, SendTurns, SenderPosition, TargetRate, TurnRound, UncountedEntry,
    assumed_entries,
};
use porthoist_policy::proxy::targets::TargetLife;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Targets from which entries assume how many others send, where nobody counts them.
const TARGETS: usize = 100;
/// Span in milliseconds in which requests are counted.
const SPAN_MILLIS: u64 = 4_000;
/// Rushes begin every so many milliseconds and last half of that.
const RUSH_MILLIS: u64 = 20_000;
/// Requests that a caller sends to each entry a second in a rush.
const ENTRY_RATE: f64 = 10.0;
/// Part of the limit that buckets are filled with, as the daemon's turns are.
const GIVEN_PART: f64 = 0.75;
/// Entries that hold the limit where they are chosen by hash.
const CHOSEN: usize = 3;

/// A way to keep a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitWay {
    /// The daemon's: each entry has its turns, by its place.
    Turns,
    /// The same where entries know no place.
    TurnsUncounted,
    /// Each entry has a bucket of one request, filled with its part.
    Buckets,
    /// A few entries, alike for all, have a bucket of one request, filled with their part.
    Chosen,
    /// Each entry keeps the limit for itself.
    Alone,
}

impl LimitWay {
    /// All, in the order in which they are shown.
    pub const ALL: [Self; 5] = [Self::Turns, Self::TurnsUncounted, Self::Buckets, Self::Chosen, Self::Alone];

    /// Its name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Turns => "turns",
            Self::TurnsUncounted => "turns, number unknown",
            Self::Buckets => "a bucket of one each",
            Self::Chosen => "three chosen entries",
            Self::Alone => "each for itself",
        }
    }
}

/// What is played.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct NeedsSettings {
    /// Draws the callers.
    pub seed: u64,
    /// Entries, in one zone.
    pub entries: u32,
    /// The limit.
    pub limit: RequestRate,
    /// Simulated seconds.
    pub seconds: u64,
    /// By how much clocks differ at most, in milliseconds.
    #[builder(default)]
    pub clocks_apart: u64,
}

/// What came of one way.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct NeedsReport {
    /// The way.
    pub way: LimitWay,
    /// The most requests in any 4 s.
    pub most: usize,
    /// How many are allowed: one and a half times the limit, and five.
    pub allowed: usize,
    /// Part of the limit that is used while callers come.
    pub used: f64,
}

/// One entry's permission to send.
enum SendGate {
    Turns(SendTurns),
    Bucket { filled: f64, last: u64, per_milli: f64 },
    Closed,
}

impl SendGate {
    fn take(&mut self, now: u64) -> bool {
        match self {
            Self::Turns(turns) => {
                let free = turns.free(UnixMillis(now));
                if free {
                    turns.take(UnixMillis(now));
                }
                free
            }
            Self::Bucket { filled, last, per_milli } => {
                *filled = (*filled + now.saturating_sub(*last) as f64 * *per_milli).min(1.0);
                *last = now;
                let full = *filled >= 1.0;
                *filled -= if full { 1.0 } else { 0.0 };
                full
            }
            Self::Closed => false,
        }
    }
}

/// Plays one way.
pub fn play(settings: &NeedsSettings, way: LimitWay) -> NeedsReport {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let begin = 1_700_000_000_000;
    let mut entries: Vec<(SendGate, u64)> = (0..settings.entries)
        .map(|index| {
            let ahead = random.random_range(0..=settings.clocks_apart);
            (gate(settings, way, index, UnixMillis(begin + ahead)), ahead)
        })
        .collect();
    let mut sends = Vec::new();
    for milli in 0..settings.seconds * 1_000 {
        if !rush(milli) {
            continue;
        }
        for (gate, ahead) in &mut entries {
            let comes = random.random::<f64>() < ENTRY_RATE / 1_000.0;
            if comes && gate.take(begin + milli + *ahead) {
                sends.push(milli);
            }
        }
    }
    report(settings, way, &sends)
}

fn rush(milli: u64) -> bool {
    milli % RUSH_MILLIS >= RUSH_MILLIS / 2
}

fn gate(settings: &NeedsSettings, way: LimitWay, index: u32, now: UnixMillis) -> SendGate {
    let NeedsSettings { entries, limit, seed, .. } = *settings;
    let bucket = |rate: f64| SendGate::Bucket { filled: 0.0, last: now.0, per_milli: rate / 1_000.0 };
    let turns = |place: Option<EntryPosition>| {
        let zone: ZoneName = "z".parse().expect("a valid name");
        let life = TargetLife::from("t".parse::<porthoist_core::TargetName>().expect("a valid name"));
        let uncounted =
            UncountedEntry { entries: assumed_entries(TARGETS), seed: seed * 1_000 + u64::from(index) };
        let sender = SenderPosition::new(place, &zone, std::slice::from_ref(&zone), uncounted);
        let mut turns = SendTurns::default();
        let rate = TargetRate { rate: limit, source: RateSource::Announced };
        turns.set(TurnRound::new(rate, sender, &life), now);
        SendGate::Turns(turns)
    };
    match way {
        LimitWay::Turns => turns(Some(EntryPosition { index, entries })),
        LimitWay::TurnsUncounted => turns(None),
        LimitWay::Buckets => bucket(GIVEN_PART * limit.0 / f64::from(entries)),
        LimitWay::Chosen if (index as usize) < CHOSEN => {
            bucket(GIVEN_PART * limit.0 / CHOSEN.min(entries as usize) as f64)
        }
        LimitWay::Chosen => SendGate::Closed,
        LimitWay::Alone => bucket(GIVEN_PART * limit.0),
    }
}

fn report(settings: &NeedsSettings, way: LimitWay, sends: &[u64]) -> NeedsReport {
    let within = |from: u64| {
        sends.partition_point(|at| *at < from + SPAN_MILLIS) - sends.partition_point(|at| *at < from)
    };
    let busy = (0..settings.seconds * 1_000).filter(|milli| rush(*milli)).count() as f64 / 1_000.0;
    let span = SPAN_MILLIS as f64 / 1_000.0;
    NeedsReport {
        way,
        most: sends.iter().map(|at| within(*at)).max().unwrap_or_default(),
        allowed: (1.5 * settings.limit.0 * span + 5.0) as usize,
        used: crate::report::rounded(sends.len() as f64 / busy / settings.limit.0),
    }
}
