//! Follows the platform's table and host list, and keeps this process registered on the list.

use crate::config::ConfigHub;
use porthoist_core::{RunVerdict, TargetName};
use porthoist_operator::edit::config_change;
use porthoist_policy::adoption::{AdoptOutcome, ConfigChange};
use porthoist_policy::membership::rendezvous_score;
use porthoist_table::{CONFIG_PREFIX, HostEntry, HostRole, PlatformClient, SNAPSHOT_OBJECT};
use rand::RngExt as _;
use slog::{Logger, info, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Base interval in milliseconds at which an entry polls the table.
pub const ENTRY_POLL_MILLIS: u64 = 500;
/// Milliseconds added to the interval for each entry on the host list, which bounds the table's total read
/// rate at any fleet size.
pub const POLL_MILLIS_PER_ENTRY: u64 = 4;
/// Interval in milliseconds at which a target polls the table; entries push changes to it sooner.
pub const TARGET_POLL_MILLIS: u64 = 10_000;
/// Initial interval in milliseconds at which a process without configuration polls. It doubles up to
/// [`MAX_FIRST_POLL_MILLIS`], so that a zone starting all at once does not flood the table.
const FIRST_POLL_MILLIS: u64 = 100;
/// Maximum interval in milliseconds at which a process without configuration polls.
const MAX_FIRST_POLL_MILLIS: u64 = 2000;
/// Interval in milliseconds at which a process renews its registration.
const REGISTER_INTERVAL_MILLIS: u64 = 30_000;

/// Polls the platform and publishes the configuration and the host list.
#[derive(Debug)]
pub struct PlatformWatch {
    /// The platform.
    pub client: Arc<dyn PlatformClient>,
    /// Adopts configuration changes.
    pub config: Arc<ConfigHub>,
    /// Receives the host list.
    pub hosts: watch::Sender<Vec<HostEntry>>,
    /// Whether the platform answered the last call.
    pub platform_heard: Arc<AtomicBool>,
    /// This process's entry on the host list.
    pub own: HostEntry,
    /// Last known revision of the host list.
    pub hosts_revision: AtomicU64,
    /// The logger.
    pub logger: Logger,
}

impl PlatformWatch {
    /// Runs forever.
    pub async fn run(self) {
        let mut since_registration = u64::MAX;
        let mut first_poll_millis = FIRST_POLL_MILLIS;
        loop {
            if since_registration >= REGISTER_INTERVAL_MILLIS && self.register().await {
                since_registration = 0;
            }
            self.poll().await;
            if !self.config.current().ready() {
                self.adopt_snapshot().await;
            }
            let delay =
                jittered(if self.config.current().ready() { self.poll_millis() } else { first_poll_millis });
            first_poll_millis = (first_poll_millis * 2).min(MAX_FIRST_POLL_MILLIS);
            since_registration = since_registration.saturating_add(delay);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// The poll interval at the current fleet size.
    fn poll_millis(&self) -> u64 {
        match self.own.role {
            HostRole::Target => TARGET_POLL_MILLIS,
            HostRole::Entry => {
                let entries = self.hosts.borrow().iter().filter(|host| host.role == HostRole::Entry).count();
                ENTRY_POLL_MILLIS + POLL_MILLIS_PER_ENTRY * entries as u64
            }
        }
    }

    async fn register(&self) -> bool {
        self.client.register(self.own.clone()).await.is_ok()
    }

    async fn poll(&self) {
        let since = self.config.revision();
        let heard = match self.client.changes(CONFIG_PREFIX, since).await {
            Ok(feed) => {
                let (change, unreadable) = config_change(feed);
                for key in unreadable {
                    warn!(self.logger, "unreadable row; its previous value stays in force"; "key" => key);
                }
                self.adopt(change).await;
                true
            }
            Err(error) => {
                warn!(self.logger, "failed to read changes from the table"; "error" => %error);
                error.verdict != RunVerdict::NotRun && error.message.starts_with("status")
            }
        };
        self.platform_heard.store(heard, Ordering::Relaxed);
        let known = self.hosts_revision.load(Ordering::Relaxed);
        let Ok(feed) = self.client.hosts(known).await else { return };
        self.hosts_revision.store(feed.revision, Ordering::Relaxed);
        if feed.unreadable > 0 {
            warn!(self.logger, "unreadable entries of the host list"; "entries" => feed.unreadable);
        }
        if let Some(hosts) = feed.hosts
            && !hosts.is_empty()
        {
            self.hosts.send_if_modified(|known| {
                let changed = *known != hosts;
                *known = hosts;
                changed
            });
        }
    }

    async fn adopt(&self, change: ConfigChange) {
        let revision = change.revision;
        if self.config.adopt(change) != AdoptOutcome::Adopted {
            return;
        }
        info!(self.logger, "configuration in force"; "revision" => revision, "source" => "table");
        if self.writes_snapshot() {
            self.put_snapshot().await;
        }
    }

    /// Whether this process writes the snapshot: the entry with the highest rendezvous score does. Two
    /// concurrent writers do no harm.
    fn writes_snapshot(&self) -> bool {
        let hosts = self.hosts.borrow();
        let entries = hosts.iter().filter(|host| host.role == HostRole::Entry).map(|host| &host.name);
        let score = |name: &&TargetName| rendezvous_score(0, name.as_str());
        self.own.role == HostRole::Entry
            && entries.max_by_key(score).is_none_or(|name| *name == self.own.name)
    }

    async fn put_snapshot(&self) {
        let Ok(bytes) = serde_json::to_vec(&self.config.current().snapshot()) else {
            return;
        };
        if let Err(error) = self.client.put_object(SNAPSHOT_OBJECT.to_owned(), bytes.into()).await {
            warn!(self.logger, "failed to write the configuration snapshot"; "error" => %error);
        }
    }

    async fn adopt_snapshot(&self) {
        let Ok(Some(bytes)) = self.client.object(SNAPSHOT_OBJECT.to_owned()).await else {
            return;
        };
        match serde_json::from_slice::<ConfigChange>(&bytes) {
            Ok(change) => {
                let revision = change.revision;
                if self.config.adopt(change) == AdoptOutcome::Adopted {
                    info!(self.logger, "configuration in force"; "revision" => revision, "source" => "snapshot");
                }
            }
            Err(error) => warn!(self.logger, "failed to parse the configuration snapshot"; "error" => %error),
        }
    }
}

/// Varies an interval by up to 25 % at random, so that processes do not poll in step.
fn jittered(millis: u64) -> u64 {
    rand::rng().random_range(millis * 3 / 4..=millis * 5 / 4)
}
