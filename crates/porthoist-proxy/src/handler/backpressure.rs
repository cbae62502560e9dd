//! Backpressure signals in responses of targets, and their exchange with the other entries of the zone.

use super::ProxyHandler;
use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::backpressure::{
    BackpressureChange, BackpressureSignals, ObservedChange, SignalValue,
};
use porthoist_policy::proxy::limit_notes::{NoteStore, TargetNote};
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord};
use slog::info;
use tokio::sync::watch;

/// Minimum interval between two notes of an unchanged limit, in milliseconds. Other entries fetch notes
/// every second.
const NOTE_MILLIS: u64 = 500;

/// Publishes notes to the other entries of the zone.
#[derive(Debug)]
pub(super) struct NotePublisher {
    store: NoteStore,
    published: watch::Sender<Vec<TargetNote>>,
    next_publication: UnixDeadline,
}

impl NotePublisher {
    pub(super) fn new(published: watch::Sender<Vec<TargetNote>>) -> Self {
        Self { store: NoteStore::default(), published, next_publication: UnixDeadline::default() }
    }

    fn publish(&mut self, note: TargetNote, changed: bool, now: UnixMillis) {
        self.store.insert(note);
        if changed || self.next_publication.passed(now) {
            self.next_publication = UnixDeadline::after(now, NOTE_MILLIS);
            self.published.send_replace(self.store.current(now));
        }
    }
}

impl ProxyHandler {
    /// Applies the backpressure signals of a response. A response to another request, or from another
    /// target at the same address, must not be passed here.
    pub(super) fn apply_signals(
        &self,
        target: &TargetRecord,
        signals: &BackpressureSignals,
        sent: UnixMillis,
    ) {
        let changes = self.dispatcher.apply_signals(target, signals, sent);
        let now = self.clock.now();
        let lifted = changes.iter().any(|observed| matches!(observed.change, BackpressureChange::Lifted(_)));
        let limit = match signals.limit {
            SignalValue::Present(rate) => Some((Some(rate), now)),
            SignalValue::Absent | SignalValue::Unreadable => lifted.then_some((None, sent)),
        };
        if let Some((limit, as_of)) = limit {
            let note = TargetNote { life: target.life(), limit, as_of };
            self.note_publisher.borrow_mut().publish(note, !changes.is_empty(), now);
        }
        for observed in changes {
            self.log_signal_change(&target.life(), observed, "target");
        }
    }

    /// Applies notes from other entries of the zone.
    pub fn apply_notes(&self, notes: &[TargetNote]) {
        for note in notes {
            if let Some(observed) = self.dispatcher.apply_note(note) {
                self.log_signal_change(&note.life, observed, "zone");
            }
        }
    }

    fn log_signal_change(&self, target: &TargetLife, observed: ObservedChange, source: &'static str) {
        let ObservedChange { change, logged } = observed;
        self.metrics.record_backpressure_change(change.as_str());
        if !logged {
            return;
        }
        let limit =
            if let BackpressureChange::Limited(rate) = change { Some(rate.to_string()) } else { None };
        let rest_millis = if let BackpressureChange::Resting(millis) = change { Some(millis) } else { None };
        let lasted_millis = if let BackpressureChange::Lifted(millis) = change { Some(millis) } else { None };
        info!(self.logger, "backpressure signals of a target changed"; "event" => "target_need",
            "target" => target.id.to_string(), "change" => change.as_str(), "told_by" => source,
            "limit" => limit, "rest_ms" => rest_millis, "lasted_ms" => lasted_millis);
    }
}
