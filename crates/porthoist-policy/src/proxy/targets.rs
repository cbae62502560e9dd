//! The targets that serve a service, as the table last showed them.
//!
//! An address serves one life of a target at a time: a newer row at an address ends the older one's target, whose own row may
//! stay for seconds. Rows of other
//! writers end nobody: where services are known, only a row of one of them does.
//!
//! A target may start again under the identifier that it had. That is another life, of which nothing is known.
//!
//! A row that is missing in a listing is gone, unless the table service was away just before: then the row gets a
//! short grace, since the target may not have registered again yet.
//!
//! A table service that was restored from a backup may list targets as ready although they have drained or been
//! removed since the backup was made. Rows of such targets are ignored until they change again or a grace period ends.

use super::cold::ColdStatus;
use porthoist_core::{ServiceName, StartMillis, TargetName, UnixDeadline, UnixMillis, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a target's row may be missing after the table service was away, in milliseconds: its page says that rows which
/// lapsed meanwhile are back within two seconds, and a target that left must get nothing new after two seconds.
const LAPSE_MILLIS: u64 = 1_700;

/// Kept of the time that a belief about targets may be old, in milliseconds: 400 for a new connection to the target, 200 for
/// timers.
const SEND_MILLIS: u64 = 600;

/// Maximum number of departed lives that are remembered in case the table service is restored from an older backup.
const MAX_DEPARTED_LIVES: usize = 4_096;

/// Time in milliseconds for which unchanged rows of departed lives are ignored after a restore of the table service. Departures
/// that the restore lost can be written again within this time.
const IGNORED_ROWS_GRACE_MILLIS: u64 = 10_000;

/// How old what is believed of targets may be and still be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// In milliseconds.
    pub millis: u64,
}

impl StalenessBound {
    /// What operators allow, in milliseconds: to notice that a connection is gone, and until a target that leaves gets
    /// nothing new.
    pub fn new(notice_millis: u64, leaving_millis: u64) -> Self {
        Self { millis: (notice_millis + leaving_millis).saturating_sub(SEND_MILLIS) }
    }
}

impl Default for StalenessBound {
    /// The least that is asked of a deployment now: 3 s and 2 s.
    fn default() -> Self {
        Self::new(3_000, 2_000)
    }
}

/// A time in which no answer of the table service came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerGap {
    /// When the last question without an answer was sent. The service, or just the connection, was away from some moment
    /// behind it.
    pub asked: UnixMillis,
    /// When the first answer came.
    pub returned: UnixMillis,
}

impl AnswerGap {
    /// The end of the grace for a row that vanishes now; nothing if it is over.
    ///
    /// It counts from the first answer: a row that vanishes later may have lapsed before, but must be back by the same
    /// time. It is over as well once a belief from before the gap would be too old: a gap may be no more than a connection
    /// that fell silent, behind which a target has left.
    pub fn grace(&self, bound: StalenessBound, now: UnixMillis) -> Option<UnixDeadline> {
        let back = UnixDeadline::after(self.returned, LAPSE_MILLIS);
        let end = back.min(UnixDeadline::after(self.asked, bound.millis));
        (!end.passed(now)).then_some(end)
    }
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It leaves and must get nothing new.
    Draining,
}

/// Names one life of a target: what was seen of another life says nothing of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetLife {
    /// The target.
    pub id: TargetName,
    /// When this life began.
    pub born: StartMillis,
}

impl From<TargetName> for TargetLife {
    /// The only life of a target whose restarts have new identifiers.
    fn from(id: TargetName) -> Self {
        Self { id, born: StartMillis::default() }
    }
}

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Identifier; a restart may have the same one.
    pub id: TargetName,
    /// When this life began; the same for all where a restart always has a new identifier.
    pub born: StartMillis,
    /// The service it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How long it is cold, as far as its row says.
    pub cold: ColdStatus,
}

impl TargetRecord {
    /// The life that it is about.
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
    /// The row can't be read: it names no target to use, and unlike one that is missing it has no grace.
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

/// What a process believes of all targets.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    records: HashMap<TargetName, Arc<TargetRecord>>,
    missing: HashMap<TargetName, UnixDeadline>,
    /// Services that routes are known for; empty while none are.
    named: HashSet<ServiceName>,
    departed: DepartedLives,
    /// Lives that departed before the last restore, with the last row of each that was ignored. Rows are ignored until they
    /// change again or [`Self::ignored_until`] passes.
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
    /// Takes the services that are configured from now on. Returns whether others were named before and a target of none of
    /// them is known: what its row ended may hold after all.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = ServiceName>) -> bool {
        let services: HashSet<ServiceName> = services.into_iter().collect();
        let news = services != self.named;
        self.named = services;
        news && self.records.values().any(|record| !self.named.contains(&record.service))
    }

    /// Takes a whole listing, older rows before newer ones. Rows that it lacks are gone, or at `grace` where the service has
    /// just come back.
    pub fn apply_listing<R>(&mut self, rows: impl IntoIterator<Item = R>, grace: Option<UnixDeadline>)
    where
        R: Into<TargetChange>,
    {
        let rows: Vec<TargetChange> = rows.into_iter().map(Into::into).collect();
        let seen: HashSet<TargetName> = rows.iter().map(TargetChange::id).cloned().collect();
        let lacking: Vec<TargetName> =
            self.records.keys().filter(|id| !seen.contains(*id)).cloned().collect();
        for id in lacking {
            self.removed(id, grace);
        }
        self.ignored.retain(|life, _row| seen.contains(&life.id));
        self.awaiting_backup_rows = false;
        let rows = self.withhold_ignored(rows);
        // A row that the listing lacks does not outlive another life at its address.
        self.apply(rows, grace);
    }

    /// Records that the table service was restored from a backup. The rows of the next call of [`Self::listed`] or
    /// [`Self::changed`] are taken to be from the backup; those of departed lives are ignored for a grace period from `now`.
    pub fn restored(&mut self, now: UnixMillis) {
        self.ignored = self.departed.lives.iter().map(|life| (life.clone(), None)).collect();
        self.ignored_until = Some(UnixDeadline::after(now, IGNORED_ROWS_GRACE_MILLIS));
        self.awaiting_backup_rows = true;
    }

    /// Takes changes in their order. `grace` is as in [`Self::listed`].
    pub fn apply_changes(&mut self, changes: Vec<TargetChange>, grace: Option<UnixDeadline>) {
        if std::mem::take(&mut self.awaiting_backup_rows) {
            let changes = self.withhold_ignored(changes);
            return self.apply(changes, grace);
        }
        let changed_ids: HashSet<&TargetName> = changes.iter().map(TargetChange::id).collect();
        self.ignored.retain(|life, _row| !changed_ids.contains(&life.id));
        self.apply(changes, grace);
    }

    /// Stores rows of ignored lives in [`Self::ignored`] and returns the other changes.
    fn withhold_ignored(&mut self, mut changes: Vec<TargetChange>) -> Vec<TargetChange> {
        changes.retain(|change| {
            let TargetChange::Put(record) = change else {
                self.ignored.retain(|life, _row| life.id != *change.id());
                return true;
            };
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
            let address_in_use =
                |known: &Arc<TargetRecord>| known.address == record.address && known.id != record.id;
            if !self.records.values().any(address_in_use) {
                self.put(record);
            }
        }
    }

    fn apply(&mut self, changes: Vec<TargetChange>, grace: Option<UnixDeadline>) {
        for change in changes {
            match change {
                TargetChange::Put(record) => self.put(record),
                TargetChange::Gone(id) => self.removed(id, grace),
                TargetChange::Unusable(id) => self.removed(id, None),
            }
        }
    }

    fn put(&mut self, record: TargetRecord) {
        self.missing.remove(&record.id);
        match record.state {
            TargetState::Ready => self.departed.remove(&record.life()),
            TargetState::Draining => self.departed.insert(record.life()),
        }
        if self.named.is_empty() || self.named.contains(&record.service) {
            let ended = |known: &TargetRecord| known.address == record.address && known.id != record.id;
            let ids: Vec<TargetName> =
                self.records.values().filter(|known| ended(known)).map(|known| known.id.clone()).collect();
            for id in ids {
                self.drop_record(&id);
            }
        }
        self.records.insert(record.id.clone(), Arc::new(record));
    }

    fn removed(&mut self, id: TargetName, grace: Option<UnixDeadline>) {
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

    /// Drops the rows whose grace has ended and applies ignored rows once theirs has; returns the names of dropped rows.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<TargetName> {
        if self.ignored_until.is_some_and(|deadline| deadline.passed(now)) {
            self.apply_ignored();
        }
        let ended: Vec<TargetName> = self
            .missing
            .iter()
            .filter(|(_id, deadline)| deadline.passed(now))
            .map(|(id, _deadline)| id.clone())
            .collect();
        for id in &ended {
            self.drop_record(id);
        }
        ended
    }

    /// When the next grace ends.
    pub fn next_expiry(&self) -> Option<UnixDeadline> {
        self.missing.values().copied().chain(self.ignored_until).min()
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.records.values()
    }
}
