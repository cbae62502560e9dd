//! Arrivals: prompts of mixed length, most of them with a prefix shared with others.

use porthoist_policy::router::BLOCK_TOKENS;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// Shared prefixes: templates of receipts and briefings.
const PREFIXES: usize = 240;
/// Part of the requests with a shared prefix.
const SHARED_PART: f64 = 0.7;
/// Exponent of the prefixes' popularity.
const PREFIX_ZIPF: f64 = 0.8;

/// One request.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// When it arrives, in microseconds.
    pub at: u64,
    /// The entry that takes it.
    pub entry: usize,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Answer length in tokens.
    pub answer_tokens: u32,
    /// Hashes of the prompt's blocks.
    pub blocks: Arc<[u64]>,
}

/// Generates requests from a seed.
#[derive(Debug)]
pub struct SimWorkload {
    random: Pcg64Mcg,
    rate: f64,
    entries: usize,
    lengths: Vec<u32>,
    weights: Vec<f64>,
    now: f64,
    next_unique: u64,
}

impl SimWorkload {
    /// Requests at a rate a second.
    pub fn new(seed: u64, rate: f64, entries: usize) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let lengths = (0..PREFIXES).map(|_| random.random_range(8..64)).collect();
        let mut total = 0.0;
        let mut weights = Vec::with_capacity(PREFIXES);
        for place in 1..=PREFIXES {
            total += (place as f64).powf(-PREFIX_ZIPF);
            weights.push(total);
        }
        Self { random, rate, entries, lengths, weights, now: 0.0, next_unique: 1 << 32 }
    }

    /// The next request.
    pub fn next_request(&mut self) -> SimRequest {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.now += -uniform.ln() / self.rate * 1e6;
        let own = self.random.random_range(2..12_u32);
        let mut blocks: Vec<u64> = Vec::new();
        if self.random.random_bool(SHARED_PART) {
            let prefix = self.prefix();
            let length = u64::from(self.lengths[prefix]);
            blocks.extend((0..length).map(|block| ((prefix as u64) << 16) | block));
        }
        for _ in 0..own {
            blocks.push(self.next_unique);
            self.next_unique += 1;
        }
        SimRequest {
            at: self.now as u64,
            entry: self.random.random_range(0..self.entries),
            prompt_tokens: blocks.len() as u32 * BLOCK_TOKENS,
            answer_tokens: self.random.random_range(16..200),
            blocks: blocks.into(),
        }
    }

    fn prefix(&mut self) -> usize {
        let last = self.weights[PREFIXES - 1];
        let drawn = self.random.random_range(0.0..last);
        self.weights.partition_point(|weight| *weight < drawn)
    }
}
