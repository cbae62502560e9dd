//! The table service comes back from a copy: what was written since is gone, and its revisions are given out again.

use crate::harness::*;
use porthoist_policy::proxy::routes::ConfigVersion;
use porthoist_policy::proxy::targets::TargetState;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;

/// A change that is accepted must be in force within this time.
const IN_FORCE_MILLIS: u64 = 2_000;

/// Rows written after the copy was made.
const LOST_ROWS: [u64; 3] = [1, 8, 40];

/// Whether an entry has the newest routes and knows that target `b` leaves.
fn up_to_date(entry: &Entry, version: u64) -> bool {
    let state = entry.state.borrow();
    let adopted = state.routes.as_ref().is_some_and(|routes| routes.version == ConfigVersion(version));
    adopted && entry.targets()["b"] == TargetState::Draining
}

/// Guards against changes that are missed because their revisions were seen before the restore.
#[test_case(0; "entries that ask for themselves")]
#[test_case(2; "entries that ask others")]
#[tokio::test(start_paused = true)]
async fn a_change_after_a_restore_is_in_force_in_time(readers: usize) {
    play(async || {
        for lost in LOST_ROWS {
            let zone = Deployment::start(6, readers).await;
            let copy = zone.service.copy();
            for row in 0..lost {
                zone.service.put(&format!("{}", char::from(b'c' + (row % 20) as u8)), b"lost");
                sleep(Duration::from_millis(50)).await;
            }
            zone.service.refuse_all();
            sleep(Duration::from_millis(2_500)).await;
            zone.service.restore(&copy);
            zone.service.refusing.set(false);
            sleep(Duration::from_millis(3_300)).await;
            zone.service.put("a", b"version 1000");
            zone.service.put("b", b"leaving");
            let took = zone.until_all(|entry| up_to_date(entry, 1_000)).await;
            assert!(took <= IN_FORCE_MILLIS, "{took} ms, {lost} rows were lost");
        }
    })
    .await;
}

/// Guards against changes that are missed where the service has reached the known revision again before the next question.
#[test_case(0; "entries that ask for themselves")]
#[test_case(2; "entries that ask others")]
#[tokio::test(start_paused = true)]
async fn a_restore_between_two_questions_hides_no_change(readers: usize) {
    play(async || {
        for lost in LOST_ROWS {
            let zone = Deployment::start(6, readers).await;
            let copy = zone.service.copy();
            for _row in 0..lost {
                zone.service.put("c", b"lost");
            }
            // The processes that follow the targets pause after a change.
            sleep(Duration::from_millis(100)).await;
            zone.service.restore(&copy);
            zone.service.put("a", b"version 1000");
            zone.service.put("b", b"leaving");
            for _row in 0..lost {
                zone.service.put("d", b"new");
            }
            let took = zone.until_all(|entry| up_to_date(entry, 1_000)).await;
            assert!(took <= IN_FORCE_MILLIS, "{took} ms, {lost} rows were lost");
        }
    })
    .await;
}
