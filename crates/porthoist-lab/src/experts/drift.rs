//! Model of expert popularity that drifts in slow waves, as at a border rush hour, and jumps, as
//! when a weather front moves in, and of ranks that straggle at times.

use super::{ExpertsSettings, STEP_TOKENS};
use porthoist_policy::placement::GroupEstimate;
use rand::seq::SliceRandom as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::f64::consts::TAU;

/// Parameters of the changes of popularity and speed.
#[derive(Debug, Clone, Copy)]
pub struct DriftSettings {
    /// Exponent of the Zipf distribution of popularity.
    pub zipf: f64,
    /// Period of the slow wave of popularity, in seconds. Each expert has its own phase.
    pub wave_period_seconds: f64,
    /// Amplitude of the wave in the logarithm of the popularity.
    pub wave_amplitude: f64,
    /// Mean time between two jumps, in seconds.
    pub jump_interval_seconds: f64,
    /// Number of most popular experts that are swapped with random ones in a jump.
    pub jump_experts: usize,
    /// Mean time between two straggler phases, in seconds.
    pub straggler_interval_seconds: f64,
    /// Duration of a straggler phase, in seconds.
    pub straggler_duration_seconds: f64,
    /// Relative speed of the straggling rank.
    pub straggler_speed: f64,
}

impl Default for DriftSettings {
    fn default() -> Self {
        Self {
            zipf: 0.8,
            wave_period_seconds: 900.0,
            wave_amplitude: 0.5,
            jump_interval_seconds: 300.0,
            jump_experts: 8,
            straggler_interval_seconds: 400.0,
            straggler_duration_seconds: 40.0,
            straggler_speed: 0.7,
        }
    }
}

/// Token counts and rank speeds of one observation window, which become known with a delay.
#[derive(Debug, Clone)]
pub struct DelayedWindow {
    /// Time at which the window becomes known, in milliseconds.
    pub known_at: u64,
    /// Tokens of each expert.
    pub tokens: Vec<f64>,
    /// Measured speed of each rank.
    pub speeds: Vec<f64>,
}

/// Length of an observation window in milliseconds.
pub const WINDOW_MILLIS: u64 = 500;
/// Steps per window.
const WINDOW_STEPS: f64 = 100.0;
/// Relative standard deviation of a measured speed.
const SPEED_ERROR: f64 = 0.01;

/// Popularity of the experts and speeds of the ranks over time.
#[derive(Debug)]
pub struct DriftModel {
    settings: DriftSettings,
    lag_millis: u64,
    random: Pcg64Mcg,
    /// Experts sorted by popularity, the most popular first.
    popularity_order: Vec<usize>,
    phases: Vec<f64>,
    popularity: Vec<f64>,
    speed: Vec<f64>,
    next_jump: f64,
    next_straggler: f64,
    straggler_end: f64,
    pending: VecDeque<DelayedWindow>,
    observed: Vec<DelayedWindow>,
    next_window: u64,
}

impl DriftModel {
    /// Creates a model from the settings and their seed.
    pub fn new(settings: &ExpertsSettings) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
        let mut popularity_order: Vec<usize> = (0..settings.experts).collect();
        popularity_order.shuffle(&mut random);
        let phases = (0..settings.experts).map(|_| random.random_range(0.0..TAU)).collect();
        let drift = settings.drift;
        let next_jump = exponential(&mut random, drift.jump_interval_seconds);
        let next_straggler = exponential(&mut random, drift.straggler_interval_seconds);
        let mut model = Self {
            settings: drift,
            lag_millis: settings.lag_millis,
            random,
            popularity_order,
            phases,
            popularity: Vec::new(),
            speed: vec![1.0; settings.ranks],
            next_jump,
            next_straggler,
            straggler_end: 0.0,
            pending: VecDeque::new(),
            observed: Vec::new(),
            next_window: 0,
        };
        model.set_popularity(0.0);
        model
    }

    /// Actual popularity and speeds.
    pub fn actual(&self) -> GroupEstimate {
        GroupEstimate { popularity: self.popularity.clone(), speed: self.speed.clone() }
    }

    /// Windows that became known in this tick.
    pub fn observed(&self) -> &[DelayedWindow] {
        &self.observed
    }

    /// Advances to a time in milliseconds.
    pub fn advance(&mut self, now: u64) {
        let seconds = now as f64 / 1000.0;
        if seconds >= self.next_jump {
            self.next_jump = seconds + exponential(&mut self.random, self.settings.jump_interval_seconds);
            self.jump();
        }
        self.update_straggler(seconds);
        self.set_popularity(seconds);
        self.observed.clear();
        if now >= self.next_window {
            self.next_window = now + WINDOW_MILLIS;
            let window = self.window(now);
            self.pending.push_back(window);
        }
        while self.pending.front().is_some_and(|window| window.known_at <= now) {
            self.observed.extend(self.pending.pop_front());
        }
    }

    /// Swaps the most popular experts with random ones, which become popular.
    fn jump(&mut self) {
        let experts = self.popularity_order.len();
        for popularity_rank in 0..self.settings.jump_experts.min(experts / 2) {
            let other = self.random.random_range(0..experts);
            self.popularity_order.swap(popularity_rank, other);
        }
    }

    fn update_straggler(&mut self, seconds: f64) {
        if seconds >= self.straggler_end {
            self.speed.fill(1.0);
        }
        if seconds >= self.next_straggler {
            self.next_straggler =
                seconds + exponential(&mut self.random, self.settings.straggler_interval_seconds);
            self.straggler_end = seconds + self.settings.straggler_duration_seconds;
            self.speed.fill(1.0);
            let rank = self.random.random_range(0..self.speed.len());
            self.speed[rank] = self.settings.straggler_speed;
        }
    }

    fn set_popularity(&mut self, seconds: f64) {
        let mut popularity = vec![0.0; self.popularity_order.len()];
        for (popularity_rank, expert) in self.popularity_order.iter().enumerate() {
            let wave = (TAU * seconds / self.settings.wave_period_seconds + self.phases[*expert]).sin();
            let zipf = ((popularity_rank + 1) as f64).powf(-self.settings.zipf);
            popularity[*expert] = zipf * (self.settings.wave_amplitude * wave).exp();
        }
        let sum: f64 = popularity.iter().sum();
        self.popularity = popularity.into_iter().map(|weight| weight / sum).collect();
    }

    fn window(&mut self, now: u64) -> DelayedWindow {
        let total = STEP_TOKENS * WINDOW_STEPS;
        let tokens = noisy_counts(&mut self.random, &self.popularity, total);
        let mut speeds = self.speed.clone();
        for speed in &mut speeds {
            *speed *= 1.0 + SPEED_ERROR * normal(&mut self.random);
        }
        DelayedWindow { known_at: now + WINDOW_MILLIS + self.lag_millis, tokens, speeds }
    }

    /// The tokens of one step as fractions, with the actual speeds.
    pub fn step(&mut self) -> GroupEstimate {
        let counts = noisy_counts(&mut self.random, &self.popularity, STEP_TOKENS);
        let sum: f64 = counts.iter().sum();
        let popularity = counts.into_iter().map(|count| count / sum).collect();
        GroupEstimate { popularity, speed: self.speed.clone() }
    }
}

/// Token counts with the noise of independent draws.
fn noisy_counts(random: &mut Pcg64Mcg, popularity: &[f64], total: f64) -> Vec<f64> {
    let count = |share: &f64| {
        let mean = share * total;
        (mean + mean.sqrt() * normal(random)).max(0.0)
    };
    popularity.iter().map(count).collect()
}

fn normal(random: &mut Pcg64Mcg) -> f64 {
    let radius: f64 = random.random_range(f64::EPSILON..1.0);
    let angle: f64 = random.random_range(0.0..TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

fn exponential(random: &mut Pcg64Mcg, mean: f64) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    -mean * uniform.ln()
}
