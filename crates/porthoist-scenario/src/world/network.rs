//! Simulated network between zones, which can be cut off from each other and from the platform.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Name of the platform in cuts.
pub const PLATFORM: &str = "platform";
/// One-way latency within a zone.
const SAME_ZONE: Duration = Duration::from_micros(500);
/// One-way latency between zones.
const OTHER_ZONE: Duration = Duration::from_micros(1500);

/// Network with its current cuts.
#[derive(Debug)]
pub struct ScenarioNetwork {
    cuts: Mutex<BTreeSet<(String, String)>>,
    changed: watch::Sender<u64>,
}

impl Default for ScenarioNetwork {
    fn default() -> Self {
        Self { cuts: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

fn pair(left: &str, right: &str) -> (String, String) {
    if left < right { (left.to_owned(), right.to_owned()) } else { (right.to_owned(), left.to_owned()) }
}

impl ScenarioNetwork {
    fn cuts(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.cuts.lock().expect("no task panics while it holds the cuts")
    }

    /// Cuts the connection between two zones.
    pub fn cut(&self, left: &str, right: &str) {
        self.cuts().insert(pair(left, right));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Restores the connection between two zones.
    pub fn heal(&self, left: &str, right: &str) {
        self.cuts().remove(&pair(left, right));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns whether two zones are connected.
    pub fn connected(&self, left: &str, right: &str) -> bool {
        !self.cuts().contains(&pair(left, right))
    }

    /// Waits until two zones are cut off from each other.
    pub async fn wait_for_cut(&self, left: &str, right: &str) {
        let mut changed = self.changed.subscribe();
        while self.connected(left, right) {
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Returns the one-way latency between two zones.
    pub fn latency(left: &str, right: &str) -> Duration {
        if left == right { SAME_ZONE } else { OTHER_ZONE }
    }
}
