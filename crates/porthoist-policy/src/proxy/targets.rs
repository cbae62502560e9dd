//! The targets that serve a service, as the table last showed them.
//!
//! An address serves one life of a target at a time: a newer row at an address ends the older one's target, whose own row may
//! stay for seconds. After all hosts had lost power, a third of all sends went to lives that were over.
//!
//! A row that is missing in a listing is gone, unless the table service was away just before: then the row gets a
//! short grace, since the target may not have registered again yet.

use porthoist_core::{ServiceName, TargetName, UnixDeadline, UnixMillis, ZoneName};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a target's row may be missing after the table service was away, in milliseconds: its page says that rows which
/// lapsed meanwhile are back within two seconds, and a target that left must get nothing new after two seconds.
const LAPSE_MILLIS: u64 = 1_700;

/// Kept of the time that a belief about targets may be old, in milliseconds: 400 for a new connection to the target, 200 for
/// timers.
const SEND_MILLIS: u64 = 600;

/// How old what is believed of targets may be and still be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeliefBound {
    /// In milliseconds.
    pub millis: u64,
}

impl BeliefBound {
    /// What operators allow, in milliseconds: to notice that a connection is gone, and until a target that leaves gets
    /// nothing new.
    pub fn new(notice_millis: u64, leaving_millis: u64) -> Self {
        Self { millis: (notice_millis + leaving_millis).saturating_sub(SEND_MILLIS) }
    }
}

impl Default for BeliefBound {
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
    /// that fell silent, behind which a target has left. Without that, a target whose row was removed 3.4 s after a silence
    /// was believed in for 1.66 s, and a send took up to 0.4 more of the 2 s.
    pub fn grace(&self, bound: BeliefBound, now: UnixMillis) -> Option<UnixDeadline> {
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

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Identifier of this life; a restart has a new one.
    pub id: TargetName,
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
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// The row is new or changed.
    Put(TargetRecord),
    /// The row was removed.
    Gone(TargetName),
}

/// What a process believes of all targets.
#[derive(Debug, Clone, Default)]
pub struct TargetBook {
    records: HashMap<TargetName, Arc<TargetRecord>>,
    missing: HashMap<TargetName, UnixDeadline>,
}

impl TargetBook {
    /// Takes a whole listing, older rows before newer ones. Rows that it lacks are gone, or at `grace` where the service has
    /// just come back.
    pub fn listed(&mut self, rows: Vec<TargetRecord>, grace: Option<UnixDeadline>) {
        let newest: HashMap<SocketAddr, TargetName> =
            rows.iter().map(|record| (record.address, record.id.clone())).collect();
        let alive = rows.into_iter().filter(|record| newest[&record.address] == record.id);
        let mut listed: HashMap<TargetName, Arc<TargetRecord>> =
            alive.map(|record| (record.id.clone(), Arc::new(record))).collect();
        self.missing.retain(|id, _deadline| !listed.contains_key(id));
        for (id, record) in self.records.drain() {
            if listed.contains_key(&id) || newest.contains_key(&record.address) {
                continue;
            }
            let Some(deadline) = grace else {
                self.missing.remove(&id);
                continue;
            };
            self.missing.entry(id.clone()).or_insert(deadline);
            listed.insert(id, record);
        }
        self.records = listed;
    }

    /// Takes changes in their order. `grace` is as in [`Self::listed`].
    pub fn changed(&mut self, changes: Vec<TargetChange>, grace: Option<UnixDeadline>) {
        for change in changes {
            match change {
                TargetChange::Put(record) => {
                    self.missing.remove(&record.id);
                    self.records.retain(|id, known| known.address != record.address || *id == record.id);
                    self.records.insert(record.id.clone(), Arc::new(record));
                }
                TargetChange::Gone(id) => self.removed(id, grace),
            }
        }
    }

    fn removed(&mut self, id: TargetName, grace: Option<UnixDeadline>) {
        if let Some(deadline) = grace
            && self.records.contains_key(&id)
        {
            self.missing.entry(id).or_insert(deadline);
            return;
        }
        self.missing.remove(&id);
        self.records.remove(&id);
    }

    /// Drops the rows whose grace has ended; returns their names.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<TargetName> {
        let ended: Vec<TargetName> = self
            .missing
            .iter()
            .filter(|(_id, deadline)| deadline.passed(now))
            .map(|(id, _deadline)| id.clone())
            .collect();
        for id in &ended {
            self.missing.remove(id);
            self.records.remove(id);
        }
        ended
    }

    /// When the next grace ends.
    pub fn next_expiry(&self) -> Option<UnixDeadline> {
        self.missing.values().min().copied()
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.records.values()
    }
}
