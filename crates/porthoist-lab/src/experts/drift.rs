//! Popularity that drifts as at a border rush hour and jumps as when a front moves in; ranks that straggle at times.

use super::{ExpertsSettings, STEP_TOKENS};
use porthoist_policy::placement::GroupEstimate;
use rand::seq::SliceRandom as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::f64::consts::TAU;

/// How popularity and speed change.
#[derive(Debug, Clone, Copy)]
pub struct DriftSettings {
    /// Exponent of the Zipf distribution of popularity.
    pub zipf: f64,
    /// Time of a slow wave of popularity, in seconds; each expert has a phase of its own.
    pub wave_seconds: f64,
    /// Height of that wave, as a part of the logarithm's unit.
    pub wave_height: f64,
    /// Time between two jumps, in seconds, on average.
    pub jump_seconds: f64,
    /// Experts that change places with others in a jump.
    pub jump_experts: usize,
    /// Time between two straggling phases, in seconds, on average.
    pub straggler_seconds: f64,
    /// Length of a straggling phase, in seconds.
    pub straggler_length: f64,
    /// Speed of the straggling rank.
    pub straggler_speed: f64,
}

impl Default for DriftSettings {
    fn default() -> Self {
        Self {
            zipf: 0.8,
            wave_seconds: 900.0,
            wave_height: 0.5,
            jump_seconds: 300.0,
            jump_experts: 8,
            straggler_seconds: 400.0,
            straggler_length: 40.0,
            straggler_speed: 0.7,
        }
    }
}

/// Popularity counts and rank speeds of one window, known late.
#[derive(Debug, Clone)]
pub struct LateWindow {
    /// When the window becomes known, in milliseconds.
    pub known_at: u64,
    /// Tokens of each expert.
    pub tokens: Vec<f64>,
    /// Measured speed of each rank.
    pub speeds: Vec<f64>,
}

/// Length of an observation window in milliseconds.
pub const WINDOW_MILLIS: u64 = 500;
/// Steps in a window.
const WINDOW_STEPS: f64 = 100.0;
/// Error of a measured speed.
const SPEED_ERROR: f64 = 0.01;

/// The world that the group runs in.
#[derive(Debug)]
pub struct DriftModel {
    settings: DriftSettings,
    lag: u64,
    random: Pcg64Mcg,
    /// Rank in popularity of each expert.
    order: Vec<usize>,
    phases: Vec<f64>,
    popularity: Vec<f64>,
    speed: Vec<f64>,
    next_jump: f64,
    next_straggler: f64,
    straggler_ends: f64,
    pending: VecDeque<LateWindow>,
    observed: Vec<LateWindow>,
    next_window: u64,
}

impl DriftModel {
    /// A world from the settings' seed.
    pub fn new(settings: &ExpertsSettings) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
        let mut order: Vec<usize> = (0..settings.experts).collect();
        order.shuffle(&mut random);
        let phases = (0..settings.experts).map(|_| random.random_range(0.0..TAU)).collect();
        let drift = settings.drift;
        let next_jump = exponential(&mut random, drift.jump_seconds);
        let next_straggler = exponential(&mut random, drift.straggler_seconds);
        let mut model = Self {
            settings: drift,
            lag: settings.lag_millis,
            random,
            order,
            phases,
            popularity: Vec::new(),
            speed: vec![1.0; settings.ranks],
            next_jump,
            next_straggler,
            straggler_ends: 0.0,
            pending: VecDeque::new(),
            observed: Vec::new(),
            next_window: 0,
        };
        model.set_popularity(0.0);
        model
    }

    /// The true popularity and speeds.
    pub fn truth(&self) -> GroupEstimate {
        GroupEstimate { popularity: self.popularity.clone(), speed: self.speed.clone() }
    }

    /// Windows that became known in this tick.
    pub fn observed(&self) -> &[LateWindow] {
        &self.observed
    }

    /// Moves on to a time in milliseconds.
    pub fn advance(&mut self, now: u64) {
        let seconds = now as f64 / 1000.0;
        if seconds >= self.next_jump {
            self.next_jump = seconds + exponential(&mut self.random, self.settings.jump_seconds);
            self.jump();
        }
        self.straggle(seconds);
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

    /// Some experts change places: half of them come to the head.
    fn jump(&mut self) {
        let experts = self.order.len();
        for place in 0..self.settings.jump_experts.min(experts / 2) {
            let other = self.random.random_range(0..experts);
            self.order.swap(place, other);
        }
    }

    fn straggle(&mut self, seconds: f64) {
        if seconds >= self.straggler_ends {
            self.speed.fill(1.0);
        }
        if seconds >= self.next_straggler {
            self.next_straggler = seconds + exponential(&mut self.random, self.settings.straggler_seconds);
            self.straggler_ends = seconds + self.settings.straggler_length;
            self.speed.fill(1.0);
            let rank = self.random.random_range(0..self.speed.len());
            self.speed[rank] = self.settings.straggler_speed;
        }
    }

    fn set_popularity(&mut self, seconds: f64) {
        let mut popularity = vec![0.0; self.order.len()];
        for (place, expert) in self.order.iter().enumerate() {
            let wave = (TAU * seconds / self.settings.wave_seconds + self.phases[*expert]).sin();
            let zipf = ((place + 1) as f64).powf(-self.settings.zipf);
            popularity[*expert] = zipf * (self.settings.wave_height * wave).exp();
        }
        let sum: f64 = popularity.iter().sum();
        self.popularity = popularity.into_iter().map(|weight| weight / sum).collect();
    }

    fn window(&mut self, now: u64) -> LateWindow {
        let total = STEP_TOKENS * WINDOW_STEPS;
        let tokens = noisy_counts(&mut self.random, &self.popularity, total);
        let mut speeds = self.speed.clone();
        for speed in &mut speeds {
            *speed *= 1.0 + SPEED_ERROR * normal(&mut self.random);
        }
        LateWindow { known_at: now + WINDOW_MILLIS + self.lag, tokens, speeds }
    }

    /// The tokens of one step, as shares, with the true speeds.
    pub fn step(&mut self) -> GroupEstimate {
        let counts = noisy_counts(&mut self.random, &self.popularity, STEP_TOKENS);
        let sum: f64 = counts.iter().sum();
        let popularity = counts.into_iter().map(|count| count / sum).collect();
        GroupEstimate { popularity, speed: self.speed.clone() }
    }
}

/// Counts with the noise of independent draws.
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
