//! Tests of a table service that is restored from a backup: later writes are lost and their revisions
//! are reused.

use crate::harness::*;
use porthoist_policy::proxy::routes::ConfigVersion;
use porthoist_policy::proxy::targets::TargetState;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time within which an accepted change must be in force.
const IN_FORCE_MILLIS: u64 = 2_000;

/// Numbers of writes after the backup.
const LOST_WRITES: [u64; 3] = [1, 8, 40];

/// Whether an entry has adopted the given configuration and knows that target `b` is draining.
fn up_to_date(entry: &EntryProcess, version: u64) -> bool {
    let state = entry.state.borrow();
    let adopted = state.routes.as_ref().is_some_and(|routes| routes.version == ConfigVersion(version));
    adopted && entry.targets()["b"] == TargetState::Draining
}

/// Guards against missing changes whose revisions were already used before the restore.
#[test_case(0; "entries ask the service")]
#[test_case(2; "entries ask readers")]
#[tokio::test(start_paused = true)]
async fn change_after_restore_is_in_force_in_time(readers: usize) {
    run_local(async || {
        for lost in LOST_WRITES {
            let zone = Deployment::start(6, readers).await;
            let backup = zone.service.backup();
            for row in 0..lost {
                zone.service.put(&format!("{}", char::from(b'c' + (row % 20) as u8)), b"lost");
                sleep(Duration::from_millis(50)).await;
            }
            zone.service.refuse_all();
            sleep(Duration::from_millis(2_500)).await;
            zone.service.restore(&backup);
            zone.service.refusing.set(false);
            sleep(Duration::from_millis(3_300)).await;
            zone.service.put("a", b"version 1000");
            zone.service.put("b", b"leaving");
            let took = zone.until_all(|entry| up_to_date(entry, 1_000)).await;
            assert!(took <= IN_FORCE_MILLIS, "{took} ms, {lost} writes were lost");
        }
    })
    .await;
}

/// Guards against missing changes when the service reaches the last known revision again before the next
/// poll.
#[test_case(0; "entries ask the service")]
#[test_case(2; "entries ask readers")]
#[tokio::test(start_paused = true)]
async fn restore_between_polls_does_not_hide_changes(readers: usize) {
    run_local(async || {
        for lost in LOST_WRITES {
            let zone = Deployment::start(6, readers).await;
            let backup = zone.service.backup();
            for _row in 0..lost {
                zone.service.put("c", b"lost");
            }
            // Processes that follow the targets pause after a change. The restore happens during this pause.
            sleep(Duration::from_millis(100)).await;
            zone.service.restore(&backup);
            zone.service.put("a", b"version 1000");
            zone.service.put("b", b"leaving");
            for _row in 0..lost {
                zone.service.put("d", b"new");
            }
            let took = zone.until_all(|entry| up_to_date(entry, 1_000)).await;
            assert!(took <= IN_FORCE_MILLIS, "{took} ms, {lost} writes were lost");
        }
    })
    .await;
}

/// Time after a restore at which a target writes its lost row again.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Asserts that a condition holds for all entries throughout the given duration.
async fn assert_all_during(zone: &Deployment, duration: Duration, holds: impl Fn(&EntryProcess) -> bool) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        for (number, entry) in zone.entries.iter().enumerate() {
            assert!(holds(entry), "entry {number}: {:?}", entry.targets());
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// How a target departs.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Draining,
    Removed,
}

impl Departure {
    fn write(self, zone: &Deployment) {
        match self {
            Self::Draining => zone.service.put("b", b"leaving"),
            Self::Removed => zone.service.remove("b"),
        }
    }
}

/// Guards against sending requests to a target that departed after the backup, which still lists it as ready.
#[test_case(0, Departure::Draining, 2_500; "draining, entries ask the service")]
#[test_case(0, Departure::Removed, 2_500; "removed, entries ask the service")]
#[test_case(2, Departure::Draining, 2_500; "draining, entries ask readers")]
#[test_case(2, Departure::Removed, 2_500; "removed, entries ask readers")]
#[test_case(0, Departure::Removed, 0; "removed, restore without an outage")]
#[tokio::test(start_paused = true)]
async fn departed_target_is_not_ready_after_restore(
    readers: usize,
    departure: Departure,
    outage_millis: u64,
) {
    run_local(async || {
        let zone = Deployment::start(6, readers).await;
        let backup = zone.service.backup();
        departure.write(&zone);
        let not_ready = |entry: &EntryProcess| entry.targets().get("b") != Some(&TargetState::Ready);
        zone.until_all(not_ready).await;
        sleep(Duration::from_secs(1)).await;
        if outage_millis > 0 {
            zone.service.refuse_all();
            sleep(Duration::from_millis(outage_millis)).await;
        }
        zone.service.restore(&backup);
        zone.service.refusing.set(false);
        // Pending polls are answered once the version exceeds the requested one.
        zone.service.put("d", b"ready");
        zone.service.put("d", b"ready");
        assert_all_during(&zone, REWRITE_DELAY, not_ready).await;
        departure.write(&zone);
        assert_all_during(&zone, Duration::from_secs(5), not_ready).await;
        zone.service.put("b", b"ready again");
        zone.until_all(|entry| entry.targets().get("b") == Some(&TargetState::Ready)).await;
    })
    .await;
}

/// Guards against permanently ignoring a removed target that registers again between a restore and the
/// first answer after it.
#[test_case(0; "entries ask the service")]
#[test_case(2; "entries ask readers")]
#[tokio::test(start_paused = true)]
async fn target_registered_again_before_first_answer_after_restore_is_used(readers: usize) {
    run_local(async || {
        let zone = Deployment::start(6, readers).await;
        let backup = zone.service.backup();
        zone.service.remove("b");
        zone.until_all(|entry| !entry.targets().contains_key("b")).await;
        zone.service.refuse_all();
        sleep(Duration::from_millis(2_500)).await;
        zone.service.restore(&backup);
        zone.service.put("b", b"ready");
        zone.service.refusing.set(false);
        let took = zone.until_all(|entry| entry.targets().get("b") == Some(&TargetState::Ready)).await;
        assert!(took <= 12_000, "{took} ms");
    })
    .await;
}

/// Guards against dropping a target that is missing from the backup and registers again after the restore.
#[test_case(0, 2_500; "entries ask the service")]
#[test_case(2, 2_500; "entries ask readers")]
#[test_case(0, 0; "restore without an outage")]
#[tokio::test(start_paused = true)]
async fn target_registered_after_backup_is_kept_after_restore(readers: usize, outage_millis: u64) {
    run_local(async || {
        let zone = Deployment::start(6, readers).await;
        let backup = zone.service.backup();
        zone.service.put("c", b"ready");
        let known = |entry: &EntryProcess| entry.targets().contains_key("c");
        zone.until_all(known).await;
        sleep(Duration::from_secs(1)).await;
        if outage_millis > 0 {
            zone.service.refuse_all();
            sleep(Duration::from_millis(outage_millis)).await;
        }
        zone.service.restore(&backup);
        zone.service.refusing.set(false);
        // Pending polls are answered once the version exceeds the requested one.
        zone.service.put("d", b"ready");
        zone.service.put("d", b"ready");
        assert_all_during(&zone, REWRITE_DELAY, known).await;
        zone.service.put("c", b"ready");
        assert_all_during(&zone, Duration::from_secs(5), known).await;
    })
    .await;
}

/// Longer than the time for which a zone stays emptied after a restore if its row is not written again.
const BEYOND_ZONE_GRACE: Duration = Duration::from_secs(11);

/// Guards against requests to a zone that was emptied after the backup, and against keeping the zone
/// emptied for ever if its row is not written again.
#[test_case(0, true; "written again, entries ask the service")]
#[test_case(2, true; "written again, entries ask readers")]
#[test_case(0, false; "not written again, entries ask the service")]
#[test_case(2, false; "not written again, entries ask readers")]
#[tokio::test(start_paused = true)]
async fn zone_emptied_after_backup_stays_emptied_after_restore(readers: usize, written_again: bool) {
    run_local(async || {
        let zone = Deployment::start(6, readers).await;
        let backup = zone.service.backup();
        zone.service.put("emptied-z", b"");
        let emptied =
            |entry: &EntryProcess| entry.state.borrow().emptied_zones.contains(&"z".parse().unwrap());
        zone.until_all(emptied).await;
        sleep(Duration::from_secs(1)).await;
        zone.service.refuse_all();
        sleep(Duration::from_millis(2_500)).await;
        zone.service.restore(&backup);
        zone.service.refusing.set(false);
        assert_all_during(&zone, REWRITE_DELAY, emptied).await;
        if written_again {
            zone.service.put("emptied-z", b"");
            assert_all_during(&zone, BEYOND_ZONE_GRACE, emptied).await;
            zone.service.remove("emptied-z");
        } else {
            sleep(BEYOND_ZONE_GRACE).await;
        }
        let took = zone.until_all(|entry| !emptied(entry)).await;
        assert!(took <= IN_FORCE_MILLIS, "{took} ms");
    })
    .await;
}
