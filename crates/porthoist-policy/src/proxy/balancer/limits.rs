//! Limits on sends to targets: their backpressure, notes from other entries, and operators' settings.
//! They are checked before each send.

use super::{LoadBalancer, random_point};
use crate::proxy::backpressure::{BackpressureSignals, ObservedChange};
use crate::proxy::cold_start::ColdRule;
use crate::proxy::limit_notes::TargetNote;
use crate::proxy::send_turns::{EntryPosition, RateSource, SendTurns, SenderPosition, TargetRate};
use crate::proxy::targets::TargetLife;
use crate::proxy::zones::EmptiedZones;
use porthoist_core::{ServiceName, UnixDeadline, UnixMillis, ZoneName};
use std::collections::HashMap;

/// What this process may send to a service whose targets are all rate limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitedSupply {
    /// Mean time in milliseconds between two of its requests.
    pub millis: f64,
    /// When the next request may be sent.
    pub next: UnixDeadline,
    /// What limits most of the targets.
    pub source: RateSource,
}

impl LoadBalancer {
    /// Sets this process's position among the entries of its zone.
    pub fn set_entry_position(&mut self, position: Option<EntryPosition>) {
        self.entry_position = position;
        self.sync_sender();
    }

    pub(super) fn sync_sender(&mut self) {
        let mut zones: Vec<ZoneName> = self.loads.values().map(|load| load.record.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        let uncounted = self.settings.uncounted(self.loads.len());
        self.sender = SenderPosition::new(self.entry_position, &self.settings.zone, &zones, uncounted);
        for capacity in self.capacities.values_mut() {
            capacity.set_sender(self.sender);
        }
    }

    /// Applies the backpressure signals in an answer to a request that was sent at `sent`.
    pub fn apply_signals(
        &mut self,
        life: &TargetLife,
        signals: &BackpressureSignals,
        sent: UnixMillis,
        now: UnixMillis,
    ) -> Vec<ObservedChange> {
        let jitter = random_point(self.settings.seed, self.choice_count);
        self.loads
            .get_mut(life)
            .map_or_else(Vec::new, |load| load.backpressure.apply_signals(signals, sent, jitter, now))
    }

    /// Applies a limit that another entry received from a target.
    pub fn apply_note(&mut self, note: &TargetNote, now: UnixMillis) -> Option<ObservedChange> {
        self.loads.get_mut(&note.life)?.backpressure.apply_note(note, now)
    }

    /// Whether a request that was assigned a slot at a target may still be sent there.
    pub fn is_still_valid(&self, life: &TargetLife, rate: Option<TargetRate>, now: UnixMillis) -> bool {
        self.loads.get(life).is_some_and(|load| load.is_still_valid(rate, now))
    }

    /// Whether a target has announced that it is shutting down.
    pub fn is_leaving(&self, life: &TargetLife) -> bool {
        self.loads.get(life).is_some_and(|load| load.backpressure.is_leaving())
    }

    /// When the first rest period ends, if only rest periods keep a service's requests from its targets.
    pub fn rest_end(&self, service: &ServiceName, now: UnixMillis) -> Option<UnixDeadline> {
        let loads = || self.loads.values().filter(|load| load.record.service == *service);
        let open = loads().any(|load| load.is_open(now));
        if open { None } else { loads().filter_map(|load| load.rest(now)).min() }
    }

    /// Sets the services' limits for cold targets.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceName, ColdRule>) {
        for load in self.loads.values_mut() {
            load.backpressure.set_cold_rule(rules.get(&load.record.service).copied());
        }
        self.cold_rules = rules;
    }

    /// Sets the zones that operators have emptied.
    pub fn set_emptied(&mut self, zones: &EmptiedZones, now: UnixMillis) {
        if self.emptied == *zones {
            return;
        }
        for load in self.loads.values_mut() {
            load.set_emptied(zones.contains(&load.record.zone), now);
        }
        self.emptied = zones.clone();
    }

    /// Whether only emptied zones keep a service's requests from its targets.
    pub fn blocked_by_emptied_zones(&self, service: &ServiceName, now: UnixMillis) -> bool {
        let loads = || self.loads.values().filter(|load| load.record.service == *service);
        !loads().any(|load| load.is_open(now)) && loads().any(|load| load.blocked_by_emptied_zone(now))
    }

    /// Number of targets that count as cold.
    pub fn cold_targets(&self, now: UnixMillis) -> usize {
        let cold = |rate: TargetRate| rate.source == RateSource::Cold;
        self.loads.values().filter(|load| load.rate(now).is_some_and(cold)).count()
    }

    /// What this process may send if all open targets of the service are rate limited, or `None`
    /// otherwise.
    pub fn limited_supply(&self, service: &ServiceName, now: UnixMillis) -> Option<LimitedSupply> {
        let loads =
            || self.loads.values().filter(|load| load.record.service == *service && load.is_open(now));
        let turns: Option<Vec<&SendTurns>> = loads().map(|load| load.turns(now)).collect();
        let turns = turns?;
        let announced =
            loads().filter_map(|load| load.rate(now)).filter(|rate| rate.source == RateSource::Announced);
        let source =
            if 2 * announced.count() > turns.len() { RateSource::Announced } else { RateSource::Cold };
        let rate: f64 = turns.iter().filter_map(|turns| Some(1.0 / turns.millis()?)).sum();
        let next = turns.iter().filter_map(|turns| turns.next(now)).min()?;
        Some(LimitedSupply { millis: 1.0 / rate, next, source })
    }
}
