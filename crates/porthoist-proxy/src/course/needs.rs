//! Backpressure signals in responses of targets, and their exchange with the other entries of the zone.

use super::ProxyHandler;
use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::backpressure::{
    BackpressureChange, BackpressureSignals, ObservedChange, SignalValue,
};
use porthoist_policy::proxy::notes::{NoteStore, TargetNote};
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord};
use slog::info;
use tokio::sync::watch;

/// Minimum interval between two notes of an unchanged limit, in milliseconds. Other entries fetch notes
/// every second.
const NOTE_MILLIS: u64 = 500;

/// Publishes notes to the other entries of the zone.
#[derive(Debug)]
pub(super) struct NoteOutlet {
    board: NoteStore,
    told: watch::Sender<Vec<TargetNote>>,
    next: UnixDeadline,
}

impl NoteOutlet {
    pub(super) fn new(told: watch::Sender<Vec<TargetNote>>) -> Self {
        Self { board: NoteStore::default(), told, next: UnixDeadline::default() }
    }

    fn tell(&mut self, note: TargetNote, news: bool, now: UnixMillis) {
        self.board.take(note);
        if news || self.next.passed(now) {
            self.next = UnixDeadline::after(now, NOTE_MILLIS);
            self.told.send_replace(self.board.current(now));
        }
    }
}

impl ProxyHandler {
    /// Applies the backpressure signals of a response. A response to another request, or from another
    /// target at the same address, must not be passed here.
    pub(super) fn note_word(&self, target: &TargetRecord, word: &BackpressureSignals, sent: UnixMillis) {
        let changes = self.dispatcher.told(target, word, sent);
        let now = self.clock.now();
        let lifted = changes.iter().any(|noted| matches!(noted.change, BackpressureChange::Lifted(_)));
        let limit = match word.limit {
            SignalValue::Present(rate) => Some((Some(rate), now)),
            SignalValue::Absent | SignalValue::Unreadable => lifted.then_some((None, sent)),
        };
        if let Some((limit, as_of)) = limit {
            let note = TargetNote { life: target.life(), limit, as_of };
            self.outlet.borrow_mut().tell(note, !changes.is_empty(), now);
        }
        for noted in changes {
            self.log_need(&target.life(), noted, "target");
        }
    }

    /// Applies notes from other entries of the zone.
    pub fn apply_notes(&self, notes: &[TargetNote]) {
        for note in notes {
            if let Some(noted) = self.dispatcher.told_by_other(note) {
                self.log_need(&note.life, noted, "zone");
            }
        }
    }

    fn log_need(&self, target: &TargetLife, noted: ObservedChange, told_by: &'static str) {
        let ObservedChange { change, logged } = noted;
        self.metrics.need_change(change.as_str());
        if !logged {
            return;
        }
        let limit =
            if let BackpressureChange::Limited(rate) = change { Some(rate.to_string()) } else { None };
        let rest = if let BackpressureChange::Resting(millis) = change { Some(millis) } else { None };
        let lasted = if let BackpressureChange::Lifted(millis) = change { Some(millis) } else { None };
        info!(self.logger, "backpressure signals of a target changed"; "event" => "target_need",
            "target" => target.id.to_string(), "change" => change.as_str(), "told_by" => told_by,
            "limit" => limit, "rest_ms" => rest, "lasted_ms" => lasted);
    }
}
