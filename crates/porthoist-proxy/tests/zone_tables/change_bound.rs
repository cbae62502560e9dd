//! Time until changes are in force while readers of the zone fail.

use crate::harness::*;
use porthoist_policy::proxy::change_bound::ChangeBound;
use porthoist_policy::proxy::routes::ConfigVersion;
use porthoist_policy::proxy::targets::TargetState;
use porthoist_proxy::{ControlTable, RowValue, TableQuery, TableRevision, TableUpdate, ValueUpdate};
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time within which an acknowledged configuration must be in force.
const APPLY_MILLIS: u64 = 2_000;
/// Time within which a leaving target must receive nothing new.
const LEAVING_MILLIS: u64 = 2_000;
/// Maximum time to send a request once its target is chosen: the connect timeout.
const SEND_MILLIS: u64 = 400;
/// Number of times between two polls of a reader at which it fails.
const PHASES: u64 = 40;

/// What happens to the readers of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ZoneFault {
    None,
    /// The first reader's connections to the table service fall silent, and new ones too.
    FirstSilent,
    AllSilent,
    /// Only the pending calls of the first reader are lost.
    FirstPollsLost,
    FirstFrozen,
    AllFrozen,
    FirstFrozenOtherSilent,
    FirstSlow,
    /// Responses of the first reader arrive late.
    FirstDelayed,
    /// All readers are silent, and the entries' next calls to the table service are lost.
    AllSilentAndCallsLost,
    /// The first reader restarts without a path to the table service.
    FirstRestartsSilent,
    /// The first reader resumes after a suspension, while its path to the table service is silent.
    FirstResumesSilent,
}

const ZONE_FAULTS: [ZoneFault; 12] = [
    ZoneFault::None,
    ZoneFault::FirstSilent,
    ZoneFault::AllSilent,
    ZoneFault::FirstPollsLost,
    ZoneFault::FirstFrozen,
    ZoneFault::AllFrozen,
    ZoneFault::FirstFrozenOtherSilent,
    ZoneFault::FirstSlow,
    ZoneFault::FirstDelayed,
    ZoneFault::AllSilentAndCallsLost,
    ZoneFault::FirstRestartsSilent,
    ZoneFault::FirstResumesSilent,
];

impl ZoneFault {
    fn silence_all(zone: &Deployment) {
        for reader in &zone.peers.readers {
            reader.link.set_silent(true);
        }
    }

    fn apply(self, zone: &Deployment) {
        let [first, second] = [zone.reader(0), zone.reader(1)];
        match self {
            Self::None => {}
            Self::FirstSilent => first.link.set_silent(true),
            Self::AllSilent => Self::silence_all(zone),
            Self::FirstPollsLost => first.link.lose_pending(),
            Self::FirstFrozen => first.fault.set(ReaderFault::Frozen),
            Self::AllFrozen => {
                for reader in &zone.peers.readers {
                    reader.fault.set(ReaderFault::Frozen);
                }
            }
            Self::FirstFrozenOtherSilent => {
                first.fault.set(ReaderFault::Frozen);
                second.link.set_silent(true);
            }
            Self::FirstSlow => first.fault.set(ReaderFault::Slow(1_100)),
            Self::FirstDelayed => first.fault.set(ReaderFault::Delayed(1_500)),
            Self::AllSilentAndCallsLost => {
                Self::silence_all(zone);
                for entry in &zone.entries {
                    entry.link.lose_next();
                }
            }
            Self::FirstRestartsSilent => {
                first.link.set_silent(true);
                first.restart();
            }
            Self::FirstResumesSilent => {
                first.link.set_silent(true);
                first.fault.set(ReaderFault::Frozen);
                let reader = Rc::clone(&zone.peers.readers[0]);
                tokio::task::spawn_local(async move {
                    sleep(Duration::from_millis(700)).await;
                    reader.fault.set(ReaderFault::None);
                });
            }
        }
    }
}

/// A change that entries must follow.
#[derive(Debug, Clone, Copy)]
enum ZoneChange {
    Routes,
    Targets,
    Crashes,
}

impl ZoneChange {
    fn bound(self) -> u64 {
        match self {
            Self::Routes | Self::Crashes => APPLY_MILLIS,
            Self::Targets => LEAVING_MILLIS - SEND_MILLIS,
        }
    }

    /// Makes the change. Returns the milliseconds until all entries know it.
    async fn make(self, zone: &Deployment) -> u64 {
        match self {
            Self::Routes => zone.service.put("a", b"changed"),
            Self::Targets => zone.service.put("b", b"leaving"),
            Self::Crashes => zone.service.put("crash", b"first"),
        }
        let newest = *zone.service.version.borrow();
        zone.until_all(|entry| match self {
            Self::Routes => entry
                .state
                .borrow()
                .routes
                .as_ref()
                .is_some_and(|routes| routes.version == ConfigVersion(newest)),
            Self::Targets => entry.targets()["b"] == TargetState::Draining,
            Self::Crashes => entry.crash_rows.borrow().contains_key("crash"),
        })
        .await
    }
}

/// Returns the milliseconds until all entries know a change that follows a fault of the readers.
async fn time_to_know(fault: ZoneFault, change: ZoneChange, phase: u64) -> u64 {
    let mut time = 0;
    run_local(async || {
        let bound = ChangeBound::tightest([APPLY_MILLIS, LEAVING_MILLIS]);
        let zone = Deployment::start_bounded(6, 2, bound).await;
        sleep(Duration::from_millis(phase * 97)).await;
        fault.apply(&zone);
        // The change may be acknowledged right after the fault, or while entries look for another source.
        sleep(Duration::from_millis(phase % 4 * 300)).await;
        time = change.make(&zone).await;
    })
    .await;
    time
}

#[tokio::test(start_paused = true)]
async fn changes_are_in_force_in_time_while_readers_fail() {
    let mut late = Vec::new();
    for fault in ZONE_FAULTS {
        for change in [ZoneChange::Routes, ZoneChange::Targets, ZoneChange::Crashes] {
            let mut times = Vec::new();
            for phase in 0..PHASES {
                times.push(time_to_know(fault, change, phase).await);
            }
            times.sort_unstable();
            let over = times.iter().filter(|time| **time > change.bound()).count();
            let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
            println!("{fault:?}, {change:?}: median {median} ms, most {most} ms, {over} of {PHASES} late");
            if over > 0 {
                late.push(format!("{fault:?}, {change:?}: {over} of {PHASES}, {most} ms at most"));
            }
        }
    }
    assert!(late.is_empty(), "late changes: {late:#?}");
}

/// Number of entries of the largest deployment.
const MANY_ENTRIES: usize = 600;
/// Calls per second that the table service of the smallest deployment accepts.
const CALLS_PER_SECOND: usize = 2_000;

#[tokio::test(start_paused = true)]
async fn calls_of_many_entries_are_spread_when_all_readers_fall_silent() {
    run_local(async || {
        let bound = ChangeBound::tightest([APPLY_MILLIS, LEAVING_MILLIS]);
        let zone = Deployment::start_bounded(MANY_ENTRIES, 2, bound).await;
        ZoneFault::silence_all(&zone);
        let mut calls = vec![zone.service.calls.get()];
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
            calls.push(zone.service.calls.get());
        }
        let most_in =
            |steps: usize| calls.windows(steps + 1).map(|window| window[steps] - window[0]).max().unwrap();
        let (most, burst) = (most_in(100), most_in(1));
        assert!(most <= CALLS_PER_SECOND, "{most} calls in a second");
        assert!(burst <= MANY_ENTRIES / 4, "{burst} calls in 10 ms");
    })
    .await;
}

#[test_case(0; "entries ask the service")]
#[test_case(2; "entries ask readers")]
#[tokio::test(start_paused = true)]
async fn calm_hour_makes_one_call_per_renewal(readers: usize) {
    run_local(async || {
        let bound = ChangeBound::tightest([APPLY_MILLIS, LEAVING_MILLIS]);
        let zone = Deployment::start_bounded(3, readers, bound).await;
        let before = zone.service.calls.get();
        sleep(Duration::from_hours(1)).await;
        let calls = zone.service.calls.get() - before;
        let callers = if readers == 0 { zone.entries.len() } else { 1 };
        let renewal = bound.schedule().unwrap().renewal().as_millis() as usize;
        // Three long polls of 25 s, and the renewals.
        let most = callers * (3_600_000 / renewal + 3 * 3_600 / 25) * 102 / 100;
        assert!(calls <= most, "{calls} calls, {most} allowed");
    })
    .await;
}

/// Guards against entries that ask several readers at a start, each of which calls the table service.
#[tokio::test(start_paused = true)]
async fn first_reader_renews_its_state_in_time_from_the_start() {
    run_local(async || {
        let bound = ChangeBound::tightest([APPLY_MILLIS, LEAVING_MILLIS]);
        let zone = Deployment::begin_bounded(TableService::empty(), 6, 2, bound);
        sleep(Duration::from_secs(2)).await;
        zone.service.put("a", b"first");
        // Entries know readers once they know targets.
        sleep(Duration::from_millis(20)).await;
        zone.peers.known.set(true);
        for target in ["c", "d", "e", "f", "g", "h", "i", "j"] {
            sleep(Duration::from_millis(300)).await;
            zone.service.put(target, b"first");
        }
        sleep(Duration::from_secs(3)).await;
        assert!(zone.entries.iter().all(|entry| entry.state.borrow().routes.is_some()));
        assert_eq!(zone.reader(1).link.calls.get(), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn entry_that_starts_beside_a_silent_reader_learns_of_changes_in_time() {
    for phase in 0..PHASES {
        run_local(async || {
            let bound = ChangeBound::tightest([APPLY_MILLIS, LEAVING_MILLIS]);
            let mut zone = Deployment::start_bounded(1, 2, bound).await;
            ZoneFault::FirstSilent.apply(&zone);
            sleep(Duration::from_millis(phase * 53)).await;
            zone.add_entry(bound);
            sleep(Duration::from_millis(phase * 37)).await;
            for change in [ZoneChange::Routes, ZoneChange::Targets] {
                let took = change.make(&zone).await;
                assert!(took <= change.bound(), "{change:?}: {took} ms at phase {phase}");
            }
        })
        .await;
    }
}

/// Value of a target's row as a reader tells it to a process that knows nothing.
async fn told_value(reader: &ReaderProcess, key: &str) -> Option<ValueUpdate> {
    let query = TableQuery {
        table: ControlTable::Targets,
        after: TableRevision::default(),
        stamp: 0,
        hold: Duration::from_millis(100),
        wait: Duration::from_secs(3),
    };
    let TableUpdate::Newer { rows, .. } = reader.query(query).await.unwrap() else { return None };
    rows.value.into_iter().find(|row| row.key == key).map(|row| row.value)
}

#[tokio::test(start_paused = true)]
async fn older_listing_does_not_replace_newer_rows() {
    run_local(async || {
        let zone = Deployment::start(4, 1).await;
        let older = zone.service.backup();
        zone.service.put("b", b"leaving");
        zone.until_all(|entry| entry.targets()["b"] == TargetState::Draining).await;
        // The service answers from an older state without saying so.
        *zone.service.rows.borrow_mut() = older.0;
        zone.service.version.send_replace(older.1);
        for _step in 0..400 {
            sleep(Duration::from_millis(20)).await;
            assert!(zone.entries.iter().all(|entry| entry.targets()["b"] == TargetState::Draining));
        }
        let leaving = ValueUpdate::Whole(RowValue::Bytes(b"leaving".to_vec()));
        assert_eq!(told_value(zone.reader(0), "b").await, Some(leaving));
    })
    .await;
}
