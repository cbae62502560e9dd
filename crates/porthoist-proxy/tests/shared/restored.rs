//! Tests of a table service that is restored from a backup: later writes are lost and their revisions are reused.

use crate::harness::*;
use porthoist_policy::proxy::routes::ConfigVersion;
use porthoist_policy::proxy::targets::TargetState;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;

/// Time within which an accepted change must be in force.
const IN_FORCE_MILLIS: u64 = 2_000;

/// Numbers of writes after the backup.
const LOST_WRITES: [u64; 3] = [1, 8, 40];

/// Whether an entry has adopted the given configuration and knows that target `b` is draining.
fn up_to_date(entry: &Entry, version: u64) -> bool {
    let state = entry.state.borrow();
    let adopted = state.routes.as_ref().is_some_and(|routes| routes.version == ConfigVersion(version));
    adopted && entry.targets()["b"] == TargetState::Draining
}

/// Guards against missing changes whose revisions were already used before the restore.
#[test_case(0; "entries ask the service")]
#[test_case(2; "entries ask readers")]
#[tokio::test(start_paused = true)]
async fn change_after_restore_is_in_force_in_time(readers: usize) {
    play(async || {
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

/// Guards against missing changes when the service reaches the last known revision again before the next question.
#[test_case(0; "entries ask the service")]
#[test_case(2; "entries ask readers")]
#[tokio::test(start_paused = true)]
async fn restore_between_questions_does_not_hide_changes(readers: usize) {
    play(async || {
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
