//! What targets ask for on the board: taken from their answers and from other entries, and asked before each send.

use super::{LoadBoard, random_point};
use crate::proxy::needs::{NotedChange, TargetWord};
use crate::proxy::notes::TargetNote;
use crate::proxy::target_load::TargetLoad;
use crate::proxy::targets::TargetLife;
use crate::proxy::turns::{EntryPlace, SendTurns, SenderPlace};
use porthoist_core::{RequestRate, ServiceName, UnixDeadline, UnixMillis, ZoneName};

/// What this process may send to the targets of a service that all name limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitedSupply {
    /// Mean time in milliseconds between two of its requests.
    pub millis: f64,
    /// When the next may be sent.
    pub next: UnixDeadline,
}

impl LoadBoard {
    /// Takes this process's place among the entries of its zone.
    pub fn set_place(&mut self, place: Option<EntryPlace>) {
        self.place = place;
        self.sync_sender();
    }

    pub(super) fn sync_sender(&mut self) {
        let mut zones: Vec<ZoneName> = self.loads.values().map(|load| load.record.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        self.sender = SenderPlace::new(self.place, &self.settings.zone, &zones, self.settings.uncounted());
    }

    /// Takes what a target says of itself in the answer to a request that was sent at a moment.
    pub fn told(
        &mut self,
        life: &TargetLife,
        word: &TargetWord,
        sent: UnixMillis,
        now: UnixMillis,
    ) -> Vec<NotedChange> {
        let spread = random_point(self.settings.seed, self.turn);
        self.loads.get_mut(life).map_or_else(Vec::new, |load| load.need.take(word, sent, spread, now))
    }

    /// Takes what another entry tells of a target.
    pub fn told_by_other(&mut self, note: &TargetNote, now: UnixMillis) -> Option<NotedChange> {
        self.loads.get_mut(&note.life)?.need.take_note(note, now)
    }

    /// Whether a request that was given a place at a target may still be sent there.
    pub fn stands(&self, life: &TargetLife, limit: Option<RequestRate>, now: UnixMillis) -> bool {
        self.loads.get(life).is_some_and(|load| load.stands(limit, now))
    }

    /// Whether a target has said that it leaves.
    pub fn leaves(&self, life: &TargetLife) -> bool {
        self.loads.get(life).is_some_and(|load| load.need.leaves())
    }

    /// When the first rest ends, where nothing but rests keeps a service's requests from its targets.
    pub fn rest_end(&self, service: &ServiceName, now: UnixMillis) -> Option<UnixDeadline> {
        let loads = || self.loads.values().filter(|load| load.record.service == *service);
        let open = loads().any(|load| load.open(now));
        if open { None } else { loads().filter_map(|load| load.rest(now)).min() }
    }

    /// What this process may send, where all targets that take requests of the service name limits.
    pub fn limited_supply(&self, service: &ServiceName, now: UnixMillis) -> Option<LimitedSupply> {
        let loads = self.loads.values().filter(|load| load.record.service == *service && load.open(now));
        let turns: Option<Vec<&SendTurns>> = loads.map(TargetLoad::turns).collect();
        let turns = turns?;
        let rate: f64 = turns.iter().filter_map(|turns| Some(1.0 / turns.millis()?)).sum();
        let next = turns.iter().filter_map(|turns| turns.next(now)).min()?;
        Some(LimitedSupply { millis: 1.0 / rate, next })
    }
}
