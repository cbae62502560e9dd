//! The targets of all services, as the table last showed them.
//!
//! An address serves one life of a target at a time. A newer row at an address therefore ends the older
//! row's target, whose own row may stay for seconds. Where services are known, only rows of known
//! services do so; rows of other writers end no target.
//!
//! A target may restart under the same identifier. That is another life, about which nothing is known.
//!
//! A row that is missing in a listing is gone, unless the table service was just unavailable: then the
//! row gets a short grace period, since the target may not have registered again yet.
//!
//! A table service that was restored from a backup may list targets as ready although they have drained
//! or been removed since the backup was made. Rows of such targets are ignored until they change again
//! or a grace period ends.

use super::cold_start::ColdStatus;
use porthoist_core::{ServiceName, StartMillis, TargetName, UnixDeadline, UnixMillis, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of departed lives that are remembered in case the table service is restored from an
/// older backup.
const MAX_DEPARTED_LIVES: usize = 4_096;

/// Time in milliseconds for which unchanged rows of departed lives are ignored after a restore of the
/// table service. Departures that the restore lost can be written again within this time.
const IGNORED_ROWS_GRACE_MILLIS: u64 = 10_000;

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It accepts new requests.
    Ready,
    /// It is shutting down and must get no new requests.
    Draining,
}

/// Identifies one life of a target. Observations of one life say nothing about another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetLife {
    /// The target.
    pub id: TargetName,
    /// When this life began.
    pub born: StartMillis,
}

impl From<TargetName> for TargetLife {
    /// For targets whose restarts get new identifiers, and which therefore have only one life.
    fn from(id: TargetName) -> Self {
        Self { id, born: StartMillis::default() }
    }
}

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Identifier, which may stay the same over a restart.
    pub id: TargetName,
    /// When this life began; equal for all where a restart always gets a new identifier.
    pub born: StartMillis,
    /// The service it runs.
    pub service: ServiceName,
    /// Its listen address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// What its row says about a cold start.
    pub cold: ColdStatus,
}

impl TargetRecord {
    /// Identifies this life.
    pub fn life(&self) -> TargetLife {
        TargetLife { id: self.id.clone(), born: self.born }
    }
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// The row is new or changed.
    Put(TargetRecord),
    /// The row was removed.
    Gone(TargetName),
    /// The row can't be read, so its target must not be used. Unlike a missing row, it gets no grace
    /// period.
    Unusable(TargetName),
}

impl From<TargetRecord> for TargetChange {
    fn from(record: TargetRecord) -> Self {
        Self::Put(record)
    }
}

impl TargetChange {
    /// The target.
    pub fn id(&self) -> &TargetName {
        match self {
            Self::Put(record) => &record.id,
            Self::Gone(id) | Self::Unusable(id) => id,
        }
    }
}

/// The known targets.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    records: HashMap<TargetName, Arc<TargetRecord>>,
    /// Targets whose row is missing, with the end of their grace period.
    missing: HashMap<TargetName, UnixDeadline>,
    /// Services that routes refer to; empty until routes are known.
    known_services: HashSet<ServiceName>,
    departed: DepartedLives,
    /// Lives that departed before the last restore, with the last row of each that was ignored. Rows are
    /// ignored until they change again or [`Self::ignored_until`] passes.
    ignored: HashMap<TargetLife, Option<TargetRecord>>,
    /// Deadline at which rows that are still ignored are applied.
    ignored_until: Option<UnixDeadline>,
    /// Whether the next rows are the first after a restore and therefore come from the backup.
    awaiting_backup_rows: bool,
}

/// The last [`MAX_DEPARTED_LIVES`] lives that started draining or were dropped, oldest first.
#[derive(Debug, Clone, Default)]
struct DepartedLives {
    order: VecDeque<TargetLife>,
    lives: HashSet<TargetLife>,
}

impl DepartedLives {
    fn insert(&mut self, life: TargetLife) {
        if !self.lives.insert(life.clone()) {
            return;
        }
        self.order.push_back(life);
        if self.order.len() > MAX_DEPARTED_LIVES
            && let Some(oldest) = self.order.pop_front()
        {
            self.lives.remove(&oldest);
        }
    }

    fn remove(&mut self, life: &TargetLife) {
        if self.lives.remove(life) {
            self.order.retain(|other| other != life);
        }
    }
}

impl TargetRegistry {
    /// Sets the configured services. Returns whether they changed and some known target belongs to none
    /// of them: rows that such a target replaced may be valid after all.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = ServiceName>) -> bool {
        let services: HashSet<ServiceName> = services.into_iter().collect();
        let changed = services != self.known_services;
        self.known_services = services;
        changed && self.records.values().any(|record| !self.known_services.contains(&record.service))
    }

    /// Applies a complete listing, sorted from older to newer rows. Rows that it lacks are removed, or
    /// at `grace` if the service was just unavailable.
    pub fn apply_listing<R>(&mut self, rows: impl IntoIterator<Item = R>, grace: Option<UnixDeadline>)
    where
        R: Into<TargetChange>,
    {
        let rows: Vec<TargetChange> = rows.into_iter().map(Into::into).collect();
        let seen: HashSet<TargetName> = rows.iter().map(TargetChange::id).cloned().collect();
        let unlisted: Vec<TargetName> =
            self.records.keys().filter(|id| !seen.contains(*id)).cloned().collect();
        for id in unlisted {
            self.remove_after_grace(id, grace);
        }
        self.ignored.retain(|life, _row| seen.contains(&life.id));
        self.awaiting_backup_rows = false;
        let rows = self.withhold_ignored(rows);
        // A row that the listing lacks gets no grace if a newer life uses its address.
        self.apply(rows, grace);
    }

    /// Records that the table service was restored from a backup. The rows of the next call of
    /// [`Self::apply_listing`] or [`Self::apply_changes`] are taken to be from the backup; those of
    /// departed lives are ignored for a grace period from `now`.
    pub fn restored(&mut self, now: UnixMillis) {
        self.ignored = self.departed.lives.iter().map(|life| (life.clone(), None)).collect();
        self.ignored_until = Some(UnixDeadline::after(now, IGNORED_ROWS_GRACE_MILLIS));
        self.awaiting_backup_rows = true;
    }

    /// Applies changes in order. `grace` is as in [`Self::apply_listing`].
    pub fn apply_changes(&mut self, changes: Vec<TargetChange>, grace: Option<UnixDeadline>) {
        if std::mem::take(&mut self.awaiting_backup_rows) {
            let changes = self.withhold_ignored(changes);
            return self.apply(changes, grace);
        }
        let changed_ids: HashSet<&TargetName> = changes.iter().map(TargetChange::id).collect();
        self.ignored.retain(|life, _row| !changed_ids.contains(&life.id));
        self.apply(changes, grace);
    }

    /// Stores rows of ignored lives in [`Self::ignored`] and returns the other changes. A draining row says
    /// what is known of a departed life, so it isn't withheld.
    fn withhold_ignored(&mut self, mut changes: Vec<TargetChange>) -> Vec<TargetChange> {
        changes.retain(|change| {
            let TargetChange::Put(record) = change else {
                self.ignored.retain(|life, _row| life.id != *change.id());
                return true;
            };
            if record.state == TargetState::Draining && !address_in_use(&self.records, record) {
                self.ignored.remove(&record.life());
                return true;
            }
            let Some(row) = self.ignored.get_mut(&record.life()) else { return true };
            *row = Some(record.clone());
            false
        });
        changes
    }

    /// Applies the rows that are still ignored, except those whose address another target uses.
    fn apply_ignored(&mut self) {
        self.ignored_until = None;
        for record in std::mem::take(&mut self.ignored).into_values().flatten() {
            if !address_in_use(&self.records, &record) {
                self.put(record);
            }
        }
    }

    fn apply(&mut self, changes: Vec<TargetChange>, grace: Option<UnixDeadline>) {
        for change in changes {
            match change {
                TargetChange::Put(record) => self.put(record),
                TargetChange::Gone(id) => self.remove_after_grace(id, grace),
                TargetChange::Unusable(id) => self.remove_after_grace(id, None),
            }
        }
    }

    fn put(&mut self, record: TargetRecord) {
        self.missing.remove(&record.id);
        match record.state {
            TargetState::Ready => self.departed.remove(&record.life()),
            TargetState::Draining => self.departed.insert(record.life()),
        }
        if self.known_services.is_empty() || self.known_services.contains(&record.service) {
            let is_replaced = |known: &TargetRecord| known.address == record.address && known.id != record.id;
            let ids: Vec<TargetName> = self
                .records
                .values()
                .filter(|known| is_replaced(known))
                .map(|known| known.id.clone())
                .collect();
            for id in ids {
                self.drop_record(&id);
            }
        }
        self.records.insert(record.id.clone(), Arc::new(record));
    }

    fn remove_after_grace(&mut self, id: TargetName, grace: Option<UnixDeadline>) {
        if let Some(deadline) = grace
            && self.records.contains_key(&id)
        {
            self.missing.entry(id).or_insert(deadline);
            return;
        }
        self.drop_record(&id);
    }

    fn drop_record(&mut self, id: &TargetName) {
        self.missing.remove(id);
        if let Some(record) = self.records.remove(id) {
            self.departed.insert(record.life());
        }
    }

    /// Drops the rows whose grace period has ended and applies ignored rows once theirs has ended; returns
    /// the names of the dropped rows.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<TargetName> {
        if self.ignored_until.is_some_and(|deadline| deadline.passed(now)) {
            self.apply_ignored();
        }
        let expired: Vec<TargetName> = self
            .missing
            .iter()
            .filter(|(_id, deadline)| deadline.passed(now))
            .map(|(id, _deadline)| id.clone())
            .collect();
        for id in &expired {
            self.drop_record(id);
        }
        expired
    }

    /// When the next grace period ends.
    pub fn next_expiry(&self) -> Option<UnixDeadline> {
        self.missing.values().copied().chain(self.ignored_until).min()
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.records.values()
    }
}

/// Whether another target uses the address of a record.
fn address_in_use(records: &HashMap<TargetName, Arc<TargetRecord>>, record: &TargetRecord) -> bool {
    records.values().any(|known| known.address == record.address && known.id != record.id)
}
