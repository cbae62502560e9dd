//! Tests on virtual time of entries that get the tables from a reader in their zone.

#[path = "zone_tables/change_bound.rs"]
mod change_bound;
#[path = "zone_tables/harness.rs"]
mod harness;
#[path = "zone_tables/outage_end.rs"]
mod outage_end;
#[path = "zone_tables/random_restores.rs"]
mod random_restores;
#[path = "zone_tables/reader_outage.rs"]
mod reader_outage;
#[path = "zone_tables/restores.rs"]
mod restores;

use harness::*;
use porthoist_policy::proxy::routes::ConfigVersion;
use porthoist_policy::proxy::targets::TargetState;
use std::sync::atomic::Ordering;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Calls of a zone of thirty entries in a minute without changes: 20 by the reader of each table, and a few
/// more.
const CALM_CALLS: usize = 60;

#[tokio::test(start_paused = true)]
async fn one_process_calls_the_service_for_its_zone() {
    run_local(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        let before = zone.service.calls.get();
        zone.assert_fresh(Duration::from_mins(1)).await;
        let calls = zone.service.calls.get() - before;
        assert!(calls <= CALM_CALLS, "{calls} calls in a minute");
        let own: usize = zone.entries.iter().map(|entry| entry.link.calls.get()).sum();
        assert!(own <= ENTRIES * 4, "{own} calls of entries since their start");
    })
    .await;
}

/// Guards against proofs that expire between two answers of a reader, and against calls by each entry if
/// proofs are valid for less time than usual. The readers' polls follow the wait of the entries' queries.
#[test_case(600; "shortest")]
#[test_case(1_600; "short")]
#[test_case(2_600; "shorter than usual")]
#[tokio::test(start_paused = true)]
async fn readers_poll_often_enough_for_short_proofs(proof_millis: u64) {
    run_local(async || {
        let zone = Deployment::start_with(ENTRIES, 2, proof_millis).await;
        let own = || zone.entries.iter().map(|entry| entry.link.calls.get()).sum::<usize>();
        let before = own();
        zone.assert_fresh(Duration::from_mins(1)).await;
        let calls = own() - before;
        assert!(calls <= ENTRIES, "{calls} calls of {ENTRIES} entries in a minute");
    })
    .await;
}

/// Guards against slow propagation of changes to the entries of a zone.
#[tokio::test(start_paused = true)]
async fn changes_reach_all_entries_promptly() {
    run_local(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        zone.service.put("b", b"leaving");
        let took = zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
        assert!(took <= 900, "{took} ms, of which the last change may have kept 800");
        zone.service.remove("b");
        zone.until_all(|entry| !entry.targets().contains_key("b")).await;
        zone.service.put("c", b"new");
        zone.until_all(|entry| entry.targets().contains_key("c")).await;
    })
    .await;
}

/// Guards against stale state and late changes in the entries if a reader fails.
#[test_case(ReaderFault::Frozen; "frozen")]
#[test_case(ReaderFault::Gone; "gone")]
#[test_case(ReaderFault::Slow(1_100); "slow, and still in time")]
#[test_case(ReaderFault::Slow(2_500); "too slow")]
#[test_case(ReaderFault::Repeating; "repeating old news")]
#[tokio::test(start_paused = true)]
async fn failed_reader_leaves_no_entry_with_stale_state(fault: ReaderFault) {
    run_local(async || {
        for all in [false, true] {
            let zone = Deployment::start(4, 2).await;
            zone.reader(0).fault.set(fault);
            if all {
                zone.reader(1).fault.set(fault);
            }
            zone.assert_fresh(Duration::from_secs(12)).await;
            zone.service.put("b", b"leaving");
            let took = zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
            assert!(took <= TARGETS_MILLIS + 600, "{took} ms until a leaving target was known");
            zone.assert_fresh(Duration::from_secs(6)).await;
        }
    })
    .await;
}

/// Guards against trusting the known state after a suspension of the host. Its age includes the suspension
/// at once, and it is renewed by the next call, not at the end of the pending one.
#[tokio::test(start_paused = true)]
async fn suspended_time_counts_toward_the_age_of_state() {
    run_local(async || {
        for (phase, frozen) in (0..10).flat_map(|phase| [(phase, false), (phase, true)]) {
            let millis = 6_000;
            let zone = Deployment::start(4, 1).await;
            sleep(Duration::from_millis(phase * 300)).await;
            // The reader does not resume together with the entries.
            zone.reader(0).fault.set(if frozen { ReaderFault::Frozen } else { ReaderFault::None });
            zone.service.ahead.set(millis);
            for entry in &zone.entries {
                entry.clock.suspended.store(millis, Ordering::Relaxed);
                let (routes, targets) = entry.ages();
                assert!(routes >= millis && targets >= millis, "{routes} and {targets} ms old");
            }
            // The query that a reader holds back ends by a timer.
            sleep(Duration::from_millis(1_320)).await;
            zone.assert_fresh(Duration::from_secs(6)).await;
        }
    })
    .await;
}

/// Guards against calling the service without a pause from an entry that can't reach it while the readers
/// report that the update is too large.
#[tokio::test(start_paused = true)]
async fn rejected_entry_calls_the_service_with_backoff() {
    run_local(async || {
        let zone = Deployment::start(4, 2).await;
        zone.entries[0].link.reset.set(true);
        zone.reader(0).fault.set(ReaderFault::Full);
        zone.reader(1).fault.set(ReaderFault::Full);
        let before = zone.entries[0].link.calls.get();
        sleep(Duration::from_secs(8)).await;
        let tried = zone.entries[0].link.calls.get() - before;
        assert!((1..=16).contains(&tried), "{tried} questions in 8 s");
    })
    .await;
}

/// Guards against replacing an entry's state by older state from a reader.
#[tokio::test(start_paused = true)]
async fn older_updates_never_replace_newer_state() {
    run_local(async || {
        let zone = Deployment::start(4, 1).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
        let version = zone.entries[0].state.borrow().routes.as_ref().unwrap().version;
        zone.reader(0).fault.set(ReaderFault::Repeating);
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            for entry in &zone.entries {
                assert_eq!(entry.targets()["b"], TargetState::Draining);
                assert!(entry.state.borrow().routes.as_ref().unwrap().version >= version);
            }
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
}

/// Guards against missing removals from before a restart of the reader.
#[tokio::test(start_paused = true)]
async fn restarted_reader_reports_removals_that_it_missed() {
    run_local(async || {
        let zone = Deployment::start(4, 1).await;
        zone.reader(0).fault.set(ReaderFault::Gone);
        zone.service.remove("b");
        zone.service.put("c", b"new");
        zone.reader(0).restart();
        zone.reader(0).fault.set(ReaderFault::None);
        zone.until_all(|entry| !entry.targets().contains_key("b") && entry.targets().contains_key("c")).await;
        zone.assert_fresh(Duration::from_secs(10)).await;
    })
    .await;
}

/// Guards against staying with a reader that can't reach the table service.
#[tokio::test(start_paused = true)]
async fn entries_leave_a_reader_that_cannot_reach_the_service() {
    run_local(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        zone.reader(0).link.cut.set(true);
        zone.assert_fresh(Duration::from_secs(20)).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
    })
    .await;
}

/// Guards against losing the tables in an entry that alone can't reach the table service.
#[tokio::test(start_paused = true)]
async fn disconnected_entry_gets_the_tables_from_its_zone() {
    run_local(async || {
        let zone = Deployment::start(4, 2).await;
        zone.entries[2].link.cut.set(true);
        zone.assert_fresh(Duration::from_secs(20)).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
    })
    .await;
}

/// Maximum number of calls of a zone of thirty entries in an outage of 8 s. If each entry called for
/// itself, there would be 900.
const OUTAGE_CALLS: usize = 300;

/// Guards against many calls during an outage of the table service, and against late detection of its
/// recovery.
#[test_case(true; "silent")]
#[test_case(false; "refusing")]
#[tokio::test(start_paused = true)]
async fn outage_causes_few_calls_and_recovery_is_detected_in_time(silent: bool) {
    run_local(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        if silent {
            zone.service.set_silent(true);
        } else {
            zone.service.refusing.set(true);
        }
        let before = zone.service.calls.get();
        sleep(Duration::from_secs(8)).await;
        let calls = zone.service.calls.get() - before;
        assert!(calls <= OUTAGE_CALLS, "{calls} calls while it was away");
        for entry in &zone.entries {
            assert!(entry.ages().0 > PROOF_MILLIS, "what nobody can know is not believed to be fresh");
        }
        zone.service.put("b", b"leaving");
        if silent {
            zone.service.set_silent(false);
        } else {
            zone.service.refusing.set(false);
        }
        let took = zone.until_all(|entry| entry.ages().0 < 1_000 && entry.ages().1 < 1_000).await;
        assert!(took <= 1_000, "{took} ms until all had proof again");
        assert!(zone.entries.iter().all(|entry| entry.targets()["b"] == TargetState::Draining));
    })
    .await;
}

/// Guards against dropping rows that expired during an outage of which an entry learns only from its
/// reader: they have the same grace period.
#[tokio::test(start_paused = true)]
async fn rows_expired_in_an_outage_have_a_grace_period_in_all_entries() {
    run_local(async || {
        let zone = Deployment::start(4, 1).await;
        // The outage is too short for entries to notice, but the reader notices it.
        zone.service.refusing.set(true);
        zone.service.reset.send_modify(|resets| *resets += 1);
        sleep(Duration::from_millis(800)).await;
        zone.service.remove("b");
        zone.service.refusing.set(false);
        sleep(Duration::from_millis(1_300)).await;
        let own: usize = zone.entries.iter().map(|entry| entry.link.calls.get()).sum();
        assert!(own <= zone.entries.len() * 4, "no entry noticed it itself");
        for entry in &zone.entries {
            assert!(entry.targets().contains_key("b"), "it may be back within two seconds of the return");
        }
        zone.until_all(|entry| !entry.targets().contains_key("b")).await;
    })
    .await;
}

/// Guards against depending on readers: without any, an entry calls the service itself.
#[tokio::test(start_paused = true)]
async fn entries_without_readers_call_the_service() {
    run_local(async || {
        let zone = Deployment::start(2, 0).await;
        zone.assert_fresh(Duration::from_secs(10)).await;
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
    })
    .await;
}

/// Calls sent in the last moments of a silent outage are never answered, although the service has
/// recovered. A change that was accepted then must be in force within this time after the recovery.
const IN_FORCE_MILLIS: u64 = 2_000;

#[test_case(0; "entries that ask for themselves")]
#[test_case(2; "entries that ask others")]
#[tokio::test(start_paused = true)]
async fn change_at_the_end_of_a_silence_is_in_force_in_time(readers: usize) {
    run_local(async || {
        for outage in [1_300, 2_700, 3_300, 3_900, 4_700, 6_100] {
            let zone = Deployment::start(6, readers).await;
            zone.service.set_silent(true);
            sleep(Duration::from_millis(outage)).await;
            zone.service.put("a", b"changed");
            let newest = *zone.service.version.borrow();
            sleep(Duration::from_millis(40)).await;
            zone.service.set_silent(false);
            let adopted = |entry: &EntryProcess| {
                let state = entry.state.borrow();
                state.routes.as_ref().is_some_and(|routes| routes.version == ConfigVersion(newest))
            };
            let took = zone.until_all(adopted).await;
            // A call that is pending when its connection falls silent times out after 4.2 s.
            let waited = 4_200_u64.saturating_sub(outage);
            assert!(took <= IN_FORCE_MILLIS + waited, "{took} ms after an outage of {outage} ms");
        }
    })
    .await;
}

/// Maximum number of an entry's own calls when all processes start: one to list the targets, and one that
/// brings the first of them.
const START_CALLS: usize = 2;

/// Guards against many calls when all processes start before any target is registered. 531 entries made 15
/// to 20 calls each, two thirds of all calls of a day without faults: each entry polled three tables every
/// 1 to 8 s until it knew a reader of its zone. Here that took 18 calls per entry.
#[test_case(2_000, 0, START_CALLS; "rows come after a while")]
#[test_case(40, 0, START_CALLS; "rows come at once")]
#[test_case(2_000, 3_300, START_CALLS + 1; "the first targets have nobody to ask beside them")]
#[tokio::test(start_paused = true)]
async fn simultaneous_start_without_targets_makes_few_calls(first_row: u64, alone_millis: u64, most: usize) {
    run_local(async || {
        let zone = Deployment::begin(TableService::empty(), ENTRIES, 2);
        sleep(Duration::from_millis(first_row)).await;
        zone.service.put("a", b"first");
        for step in 0..alone_millis / 300 {
            zone.service.put(&format!("alone-{step}"), b"first");
            sleep(Duration::from_millis(300)).await;
        }
        sleep(Duration::from_millis(20)).await;
        zone.peers.known.set(true);
        for step in 0..10 {
            zone.service.put(&format!("{}", (b'b' + step) as char), b"first");
            sleep(Duration::from_millis(300)).await;
        }
        let known =
            |entry: &EntryProcess| entry.targets().contains_key("k") && entry.state.borrow().routes.is_some();
        zone.until_all(known).await;
        for entry in &zone.entries {
            assert!(entry.link.calls.get() <= most, "{} calls of one entry", entry.link.calls.get());
        }
        zone.assert_fresh(Duration::from_secs(10)).await;
        // No entry lists again later.
        let own: usize = zone.entries.iter().map(|entry| entry.link.calls.get()).sum();
        assert!(own <= ENTRIES * most, "{own} calls of entries since their start");
    })
    .await;
}

/// Guards against a long start of an entry without any reader.
#[tokio::test(start_paused = true)]
async fn start_without_peers_is_not_delayed_for_long() {
    run_local(async || {
        let zone = Deployment::begin(TableService::empty(), 2, 0);
        let began = Instant::now();
        zone.service.put("a", b"first");
        zone.until_all(|entry| entry.state.borrow().routes.is_some()).await;
        assert!(began.elapsed() <= Duration::from_millis(6_200), "{:?}", began.elapsed());
        let late = Deployment::begin(TableService::new(), 2, 0);
        let began = Instant::now();
        late.until_all(|entry| entry.state.borrow().routes.is_some()).await;
        assert!(began.elapsed() <= Duration::from_millis(50), "{:?}", began.elapsed());
    })
    .await;
}

/// A configuration of 1,500 routes, of which a change alters one.
fn large_row(change: usize) -> Vec<u8> {
    let route = |index: usize| {
        let service = if index == 7 { format!("moved-{change}") } else { "s".to_owned() };
        format!(
            "{{\"prefix\":\"/r{index}/\",\"key\":\"{}\",\"service\":\"{service}\"}},",
            index * 7_919 % 104_729
        )
    };
    (0..1_500).map(route).collect::<String>().into_bytes()
}

/// Guards against fetching a large row from the table service after each change. With a configuration of
/// 260 routes and 333 teams, each of 531 entries fetched the whole row after each of seven changes.
#[tokio::test(start_paused = true)]
async fn change_of_a_large_row_reaches_all_without_calls_of_entries() {
    run_local(async || {
        let zone = Deployment::start(ENTRIES, 2).await;
        zone.service.put("a", &large_row(0));
        sleep(Duration::from_secs(2)).await;
        let own = || -> usize { zone.entries.iter().map(|entry| entry.link.calls.get()).sum() };
        let before = own();
        for change in 1..8 {
            zone.service.put("a", &large_row(change));
            sleep(Duration::from_millis(370)).await;
        }
        let newest = *zone.service.version.borrow();
        let adopted = |entry: &EntryProcess| {
            let state = entry.state.borrow();
            state.routes.as_ref().is_some_and(|routes| routes.version == ConfigVersion(newest))
        };
        let took = zone.until_all(adopted).await;
        assert!(took <= 500, "{took} ms");
        assert_eq!(own(), before);
    })
    .await;
}

/// Guards against stale state in hosts that the table service rejects, if the zone's readers still know the
/// tables. Half of the zone is rejected, including one reader.
#[tokio::test(start_paused = true)]
async fn hosts_rejected_by_the_service_use_the_readers_of_their_zone() {
    run_local(async || {
        let zone = Deployment::start(ENTRIES, 3).await;
        zone.service.put("a", &large_row(0));
        sleep(Duration::from_secs(3)).await;
        for entry in zone.entries.iter().step_by(2) {
            entry.link.reset.set(true);
        }
        zone.reader(0).link.reset.set(true);
        zone.service.reset.send_modify(|resets| *resets += 1);
        for change in 1..6 {
            zone.service.put("a", &large_row(change));
            zone.assert_fresh(Duration::from_millis(1_500)).await;
        }
        let newest = *zone.service.version.borrow();
        for entry in &zone.entries {
            let state = entry.state.borrow();
            assert_eq!(state.routes.as_ref().unwrap().version, ConfigVersion(newest));
        }
    })
    .await;
}
