//! Tests of the quarantine of one process.

use porthoist_core::{ClockSource, MarkedHead, PartMark, RequestMark, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::quarantine::{CrashKey, CrashReport, CrashRows, SuspicionLevel};
use porthoist_proxy::quarantine::MarkedRequest;
use porthoist_proxy::{CrashChange, CrashSnapshot, RequestQuarantine, TableEra};
use slog::{Discard, Logger, o};
use std::rc::Rc;
use std::sync::Arc;
use test_case::test_case;
use tokio::sync::{mpsc, watch};

#[derive(Debug)]
struct FixedClock;

impl ClockSource for FixedClock {
    fn now(&self) -> UnixMillis {
        UnixMillis(1_000_000)
    }
}

/// A request that differs from others only by its body.
struct TestRequest(&'static str);

impl TestRequest {
    fn head(&self) -> MarkedHead<'_> {
        MarkedHead { host: "h", path: "/p", team: None, body_bytes: self.0.len() }
    }
}

impl MarkedRequest for TestRequest {
    fn head_digest(&self) -> u64 {
        self.head().digest()
    }

    fn mark(&self) -> RequestMark {
        self.head().mark(self.0.as_bytes())
    }

    fn body_bytes(&self) -> usize {
        self.0.len()
    }

    fn parts(&self) -> &[PartMark] {
        &[]
    }

    fn attempt(&self) -> &str {
        self.0
    }

    fn ranked(&self) -> bool {
        false
    }
}

fn quarantine(
    crashes: &watch::Sender<CrashSnapshot>,
) -> (Rc<RequestQuarantine>, mpsc::Receiver<CrashChange>) {
    let (changes, written_changes) = mpsc::channel(16);
    let quarantine = RequestQuarantine::builder()
        .host("h".parse().unwrap())
        .crashes(crashes.subscribe())
        .changes(changes)
        .clock(Arc::new(FixedClock))
        .metrics(Arc::new(MetricsHub::new().unwrap()))
        .logger(Logger::root(Discard, o!()))
        .build();
    (quarantine, written_changes)
}

fn publish_crashes(crashes: &watch::Sender<CrashSnapshot>, deaths: usize) {
    publish_crashes_in_era(crashes, "other", deaths, TableEra::default());
}

fn publish_crashes_in_era(crashes: &watch::Sender<CrashSnapshot>, by: &str, deaths: usize, era: TableEra) {
    let report = CrashReport { died: UnixMillis(1_000_000), ranked: false, by: by.into(), ambiguous: false };
    let row = |index: usize| {
        (
            CrashKey { mark: TestRequest("x").mark().into(), target: format!("t{index}").into() },
            report.clone(),
        )
    };
    let rows: CrashRows = (0..deaths).map(row).collect();
    crashes.send_replace(CrashSnapshot { rows: Arc::new(rows), listed: true, era });
}

#[test]
fn permit_requested_after_a_wait_considers_new_crashes() {
    let crashes = watch::Sender::new(CrashSnapshot::default());
    let (quarantine, _written_changes) = quarantine(&crashes);
    publish_crashes(&crashes, 1);
    let run = quarantine.begin(&TestRequest("x")).unwrap();
    assert!(run.is_some(), "one death of a plain target: it may run, alone");
    assert_eq!(quarantine.begin(&TestRequest("x")).unwrap_err().level, SuspicionLevel::Watched);
    publish_crashes(&crashes, 3);
    drop(run);
    assert_eq!(quarantine.begin(&TestRequest("x")).unwrap_err().level, SuspicionLevel::Quarantined);
    assert!(quarantine.begin(&TestRequest("y")).unwrap().is_none());
}

#[test]
fn complete_answer_removes_the_crash_rows_of_a_request() {
    let crashes = watch::Sender::new(CrashSnapshot::default());
    let (quarantine, mut written_changes) = quarantine(&crashes);
    publish_crashes(&crashes, 2);
    quarantine.apply_update();
    quarantine.record_answer(&TestRequest("x"));
    let removed: Vec<CrashChange> = std::iter::from_fn(|| written_changes.try_recv().ok()).collect();
    assert_eq!(removed.len(), 2);
    assert!(removed.iter().all(|change| matches!(change, CrashChange::Remove(_))), "{removed:?}");
    assert!(quarantine.begin(&TestRequest("x")).unwrap().is_none());
}

/// Guards against lifting a quarantine because a restore of the table lost its rows.
#[test_case("h", 3; "noted by this process")]
#[test_case("other", 0; "noted by another process")]
fn quarantine_survives_a_restore_of_the_table(by: &str, rewritten: usize) {
    let crashes = watch::Sender::new(CrashSnapshot::default());
    let (quarantine, mut written_changes) = quarantine(&crashes);
    publish_crashes_in_era(&crashes, by, 3, TableEra(1));
    quarantine.apply_update();
    publish_crashes_in_era(&crashes, by, 0, TableEra(2));
    assert_eq!(quarantine.begin(&TestRequest("x")).unwrap_err().level, SuspicionLevel::Quarantined);
    let written: Vec<CrashChange> = std::iter::from_fn(|| written_changes.try_recv().ok()).collect();
    assert_eq!(written.len(), rewritten);
    assert!(written.iter().all(|change| matches!(change, CrashChange::Put(_, _))), "{written:?}");
    // Rows that are removed after they were listed again lift the quarantine.
    publish_crashes_in_era(&crashes, by, 3, TableEra(2));
    quarantine.apply_update();
    publish_crashes_in_era(&crashes, by, 0, TableEra(2));
    assert!(quarantine.begin(&TestRequest("x")).unwrap().is_none());
}
