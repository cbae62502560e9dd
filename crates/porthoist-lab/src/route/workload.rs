//! Simulated arrivals: prompts of mixed length, most of them with a prefix shared with others.

use porthoist_policy::router::BLOCK_TOKENS;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// Number of shared prefixes: templates of receipts and briefings.
const PREFIX_COUNT: usize = 240;
/// Fraction of requests with a shared prefix.
const SHARED_FRACTION: f64 = 0.7;
/// Zipf exponent of the popularity of prefixes.
const PREFIX_ZIPF: f64 = 0.8;

/// A simulated request.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// Arrival time in microseconds.
    pub at: u64,
    /// The entry that receives it.
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
    prefix_lengths: Vec<u32>,
    cumulative_weights: Vec<f64>,
    now: f64,
    next_unique: u64,
}

impl SimWorkload {
    /// Creates a workload with a rate in requests per second.
    pub fn new(seed: u64, rate: f64, entries: usize) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let prefix_lengths = (0..PREFIX_COUNT).map(|_| random.random_range(8..64)).collect();
        let mut total = 0.0;
        let mut cumulative_weights = Vec::with_capacity(PREFIX_COUNT);
        for popularity_rank in 1..=PREFIX_COUNT {
            total += (popularity_rank as f64).powf(-PREFIX_ZIPF);
            cumulative_weights.push(total);
        }
        Self { random, rate, entries, prefix_lengths, cumulative_weights, now: 0.0, next_unique: 1 << 32 }
    }

    /// Generates the next request.
    pub fn next_request(&mut self) -> SimRequest {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.now += -uniform.ln() / self.rate * 1e6;
        let own_blocks = self.random.random_range(2..12_u32);
        let mut blocks: Vec<u64> = Vec::new();
        if self.random.random_bool(SHARED_FRACTION) {
            let prefix = self.prefix();
            let length = u64::from(self.prefix_lengths[prefix]);
            blocks.extend((0..length).map(|block| ((prefix as u64) << 16) | block));
        }
        for _ in 0..own_blocks {
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
        let total_weight = self.cumulative_weights[PREFIX_COUNT - 1];
        let point = self.random.random_range(0.0..total_weight);
        self.cumulative_weights.partition_point(|cumulative_weight| *cumulative_weight < point)
    }
}
