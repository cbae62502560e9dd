//! Backpressure from targets: limits across all entries, how they end, and what callers get.

use crate::backpressure_simulation::{EntryCount, FleetReport, FleetSettings, SimulatedLimit, simulate};
use porthoist_core::{RequestRate, ServiceName, StartMillis, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::backpressure::{
    BackpressureChange, BackpressureSignals, ObservedChange, SignalValue, TargetBackpressure,
};
use porthoist_policy::proxy::balancer::{BalancerSettings, LoadBalancer, RequestWork};
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::entry_positions::{EntryId, EntryRoster, PositionTracker};
use porthoist_policy::proxy::group_loads::{GroupLoads, RankLoad};
use porthoist_policy::proxy::limit_notes::{NoteStore, TargetNote};
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotRequest};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::targets::{TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use test_case::test_case;

const TARGETS: usize = 9;

/// One and a half times what a limit permits in 4 s, plus five.
fn permitted(limit: f64) -> usize {
    (6.0 * limit + 5.0).floor() as usize
}

fn limits(targets: usize, limit: f64, from: u64, until: u64) -> Vec<SimulatedLimit> {
    (0..targets).map(|target| SimulatedLimit { target, limit, from, until }).collect()
}

/// Ten requests a second at each entry.
fn total_rate(entries: usize) -> f64 {
    10.0 * entries as f64
}

fn max_in_4_s(report: &FleetReport, limits: &[SimulatedLimit]) -> usize {
    limits.iter().map(|limit| report.max_in_4_s(*limit)).max().unwrap()
}

/// Requests a second at all targets together.
fn used_rate(report: &FleetReport, from: u64, until: u64) -> f64 {
    (0..TARGETS).map(|target| report.rate(target, from, until)).sum()
}

/// Numbers of entries and zones in current deployments, and expected in two years.
#[test_case(3, 1; "three entries")]
#[test_case(7, 3; "seven entries in unequal zones")]
#[test_case(42, 3; "42 entries")]
#[test_case(570, 9; "570 entries")]
fn limits_of_all_targets_are_kept_and_used(entries: usize, zones: usize) {
    for limit in [0.0, 0.5, 1.0, 6.0, 40.0] {
        let limited = limits(TARGETS, limit, 2_000, 30_000);
        let settings = FleetSettings::builder().entries(entries).zones(zones).targets(TARGETS);
        let settings = settings.rate(total_rate(entries)).limits(limited.clone()).millis(30_000).build();
        let report = simulate(&settings);
        let most = max_in_4_s(&report, &limited);
        assert!(most <= permitted(limit), "limit {limit}: {most} in 4 s");
        let (used, all) = (used_rate(&report, 10_000, 28_000), TARGETS as f64 * limit);
        assert!(used >= 0.6 * all.min(total_rate(entries)), "limit {limit}: {used} a second of {all}");
    }
}

#[test_case(EntryCount::Known, 0, false, 0; "each knows its place")]
#[test_case(EntryCount::Unknown, 0, false, 0; "their number is not known")]
#[test_case(EntryCount::Known, 10, false, 0; "some stand still")]
#[test_case(EntryCount::Known, 0, true, 0; "they begin anew one after the other")]
#[test_case(EntryCount::Known, 0, false, 5_000; "their clocks are apart")]
fn limit_is_kept(count: EntryCount, stalled: usize, restarts: bool, clock_skew_millis: u64) {
    for seed in 1..=5 {
        let limited = limits(TARGETS, 1.0, 2_000, 40_000);
        let settings = FleetSettings::builder().entries(42).zones(3).targets(TARGETS).rate(total_rate(42));
        let settings = settings.limits(limited.clone()).millis(40_000).seed(seed).count(count);
        let settings =
            settings.stalled(stalled).restarts(restarts).clock_skew_millis(clock_skew_millis).build();
        let most = max_in_4_s(&simulate(&settings), &limited);
        assert!(most <= permitted(1.0), "seed {seed}: {most} in 4 s");
    }
}

/// The check detects entries that each use the whole limit.
#[test]
fn entries_that_each_use_whole_limit_exceed_it() {
    let limited = limits(TARGETS, 1.0, 2_000, 40_000);
    let settings = FleetSettings::builder().entries(42).zones(1).targets(TARGETS).rate(total_rate(42));
    let settings = settings.limits(limited.clone()).millis(40_000).count(EntryCount::OnlyOne).build();
    assert!(max_in_4_s(&simulate(&settings), &limited) > 2 * permitted(1.0));
}

/// While some targets announce limits, the others take the load, and the limited ones get an occasional
/// request.
/// Half of a target's fair share must be back within `back_by` milliseconds after it withdrew its limit.
/// With notes between entries this takes 9,000, 10,000 and 11,000 ms, without them 7,000, 30,000 and
/// over 98,000 ms (three seeds each).
#[test_case(7, 3, 12_000; "seven entries")]
#[test_case(42, 3, 12_000; "42 entries")]
#[test_case(570, 9, 24_000; "570 entries")]
fn other_targets_take_load_until_limit_ends(entries: usize, zones: usize, back_by: u64) {
    let limited = limits(2, 1.0, 2_000, 22_000);
    let settings = FleetSettings::builder().entries(entries).zones(zones).targets(TARGETS);
    let settings =
        settings.rate(total_rate(entries)).limits(limited.clone()).millis(24_000 + back_by).build();
    let report = simulate(&settings);
    assert_eq!(report.refused, 0);
    for limit in limited {
        let asked = report.max_in_4_s(limit);
        assert!((1..=5).contains(&asked), "{asked} in 4 s while it announces a limit");
        let back = report.rate(limit.target, 22_000 + back_by, 24_000 + back_by);
        let fair = total_rate(entries) / TARGETS as f64;
        assert!(back > 0.5 * fair, "{back} a second of {fair} after its end");
    }
}

fn signals(limit: SignalValue<RequestRate>, matches_request: bool) -> BackpressureSignals {
    BackpressureSignals { limit, matches_request, ..BackpressureSignals::default() }
}

fn named(rate: f64) -> SignalValue<RequestRate> {
    SignalValue::Present(RequestRate(rate))
}

#[test_case(signals(named(2.0), false), Some(2.0); "another limit")]
#[test_case(signals(SignalValue::Absent, true), None; "an answer without one")]
#[test_case(signals(SignalValue::Absent, false), Some(1.0); "an answer that names no request")]
#[test_case(signals(SignalValue::Unreadable, true), Some(1.0); "a value that can't be read")]
fn last_conclusive_answer_sets_limit(then: BackpressureSignals, limit: Option<f64>) {
    let mut state = TargetBackpressure::default();
    state.apply_signals(&signals(named(1.0), true), UnixMillis(1_000), 0.0, UnixMillis(1_000));
    state.apply_signals(&then, UnixMillis(2_000), 0.0, UnixMillis(2_000));
    assert_eq!(state.limit().map(|limit| limit.rate.0), limit);
}

#[test]
fn answer_to_earlier_request_does_not_lift_limit() {
    let mut state = TargetBackpressure::default();
    let (answer, now) = (signals(SignalValue::Absent, true), UnixMillis);
    state.apply_signals(&signals(named(1.0), true), now(900), 0.0, now(1_000));
    state.apply_signals(&answer, now(950), 0.0, now(6_000));
    assert!(state.limit().is_some(), "the answer may be older than the limit");
    state.apply_signals(&answer, now(1_000), 0.0, now(6_100));
    assert!(state.limit().is_none());
}

fn note(limit: Option<f64>, as_of: u64) -> TargetNote {
    TargetNote { life: record(1).life(), limit: limit.map(RequestRate), as_of: UnixMillis(as_of) }
}

/// Notes that arrive after the target announced a limit of 1 at 10 s, and the limit that is kept.
#[test_case((Some(2.0), 10_100), Some(2.0); "another limit")]
#[test_case((Some(2.0), 9_900), Some(1.0); "a limit from before")]
#[test_case((None, 11_500), None; "its end")]
#[test_case((None, 10_500), Some(1.0); "an end that may be older than it seems")]
fn note_applies_only_if_newer(received: (Option<f64>, u64), limit: Option<f64>) {
    let mut state = TargetBackpressure::default();
    state.apply_signals(&signals(named(1.0), true), UnixMillis(9_990), 0.0, UnixMillis(10_000));
    state.apply_note(&note(received.0, received.1), UnixMillis(12_000));
    assert_eq!(state.limit().map(|limit| limit.rate.0), limit);
}

#[test]
fn note_sets_limit_before_target_announces_it() {
    let mut state = TargetBackpressure::default();
    let observed = state.apply_note(&note(Some(1.0), 10_000), UnixMillis(11_000)).unwrap();
    assert_eq!(observed.change, BackpressureChange::Limited(RequestRate(1.0)));
    assert!(!state.needs_recheck(UnixMillis(13_000)), "another entry has just checked it");
}

#[test]
fn note_keeps_its_age_across_clocks_and_expires() {
    let mut store = NoteStore::default();
    store.insert(note(Some(1.0), 100_000).aged(UnixMillis(100_400)).to_local(UnixMillis(7_400)));
    assert_eq!(store.current(UnixMillis(7_500)), [note(Some(1.0), 7_000)]);
    store.insert(note(None, 6_000));
    assert_eq!(store.current(UnixMillis(8_000)), [note(Some(1.0), 7_000)], "an older note changes nothing");
    assert_eq!(store.current(UnixMillis(15_000)), []);
}

#[test]
fn frequent_changes_are_counted_but_rarely_logged() {
    let mut state = TargetBackpressure::default();
    let answers = [signals(named(1.0), true), signals(SignalValue::Absent, true)];
    let changes: Vec<ObservedChange> = (0..100)
        .flat_map(|step| {
            state.apply_signals(
                &answers[step % 2],
                UnixMillis(10_000 + 9 * step as u64),
                0.0,
                UnixMillis(10_000 + 9 * step as u64),
            )
        })
        .collect();
    assert_eq!((changes.len(), changes.iter().filter(|change| change.logged).count()), (100, 1));
    assert_eq!(changes[0].change, BackpressureChange::Limited(RequestRate(1.0)));
    assert_eq!(changes[1].change, BackpressureChange::Lifted(9));
}

fn record(born: u64) -> TargetRecord {
    TargetRecord {
        id: "t".parse().unwrap(),
        born: StartMillis(born),
        service: "s".parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 12,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    }
}

fn balancer(registry: &TargetRegistry) -> LoadBalancer {
    let settings = BalancerSettings::builder().zone("a".parse().unwrap()).per_rank(3).rank_limit(12).seed(1);
    let mut balancer = LoadBalancer::new(settings.build());
    balancer.sync(registry);
    balancer
}

/// Whether the only target gets a request without a rate limit.
fn gets_request(balancer: &mut LoadBalancer, now: u64) -> bool {
    let work = RequestWork::default();
    let chosen = balancer.choose(&"s".parse().unwrap(), true, work, &[], UnixMillis(now));
    chosen.is_some_and(|chosen| chosen.rate.is_none())
}

#[test]
fn limit_outlasts_listing_and_report_but_not_new_life() {
    let mut registry = TargetRegistry::default();
    registry.apply_listing([record(1)], None);
    let mut balancer = balancer(&registry);
    assert!(gets_request(&mut balancer, 1_000));
    balancer.apply_signals(
        &record(1).life(),
        &signals(named(0.0), true),
        UnixMillis(1_100),
        UnixMillis(1_100),
    );
    assert!(!gets_request(&mut balancer, 1_200));
    registry.apply_listing([record(1)], None);
    balancer.sync(&registry);
    let rank = RankLoad { host: "10.0.0.1".parse().unwrap(), requests: 1, silent: false };
    let loads = GroupLoads { ranks: vec![rank], ..GroupLoads::default() };
    balancer.update_loads(&loads, UnixMillis(1_300));
    assert!(!gets_request(&mut balancer, 1_400));
    registry.apply_changes(vec![record(2).into()], None);
    balancer.sync(&registry);
    assert!(gets_request(&mut balancer, 1_500));
}

fn rest(millis: u64) -> BackpressureSignals {
    BackpressureSignals { rest_millis: SignalValue::Present(millis), ..BackpressureSignals::default() }
}

#[test]
fn rest_period_is_never_shortened() {
    let mut state = TargetBackpressure::default();
    let mut apply = |signals: BackpressureSignals, at| {
        let changes = state.apply_signals(&signals, UnixMillis(at), 0.0, UnixMillis(at));
        let changes: Vec<&str> = changes.iter().map(|observed| observed.change.as_str()).collect();
        (changes.join(" "), state.rest(UnixMillis(at)).map(|until| until.0.0))
    };
    let answer = signals(SignalValue::Absent, true);
    assert_eq!(apply(rest(3_000), 1_000), ("resting".to_owned(), Some(4_000)));
    assert_eq!(apply(rest(500), 1_100), (String::new(), Some(4_000)), "a shorter one does not end it");
    assert_eq!(
        apply(answer, 1_200),
        (String::new(), Some(4_000)),
        "nor does an answer to an earlier request"
    );
    assert_eq!(apply(rest(3_000), 2_000), (String::new(), Some(5_000)));
    assert_eq!(apply(answer, 5_000), ("rested".to_owned(), None));
}

#[test]
fn end_of_rest_period_varies_with_jitter() {
    let end = |jitter: f64| {
        let mut state = TargetBackpressure::default();
        state.apply_signals(&rest(3_000), UnixMillis(0), jitter, UnixMillis(0));
        state.rest(UnixMillis(1)).unwrap().0.0
    };
    assert_eq!((end(0.0), end(0.5), end(1.0)), (3_000, 3_150, 3_300));
}

#[test]
fn rest_period_outlasts_missing_row() {
    let mut registry = TargetRegistry::default();
    registry.apply_listing([record(1)], None);
    let mut balancer = balancer(&registry);
    balancer.apply_signals(&record(1).life(), &rest(3_000), UnixMillis(1_000), UnixMillis(1_000));
    balancer.sync(&TargetRegistry::default());
    balancer.sync(&registry);
    assert!(!gets_request(&mut balancer, 2_000));
    assert!(gets_request(&mut balancer, 4_500));
}

#[test]
fn leaving_target_gets_no_requests_until_new_life() {
    let mut registry = TargetRegistry::default();
    registry.apply_listing([record(1)], None);
    let mut balancer = balancer(&registry);
    let leaving = BackpressureSignals { leaving: true, ..BackpressureSignals::default() };
    balancer.apply_signals(&record(1).life(), &leaving, UnixMillis(1_000), UnixMillis(1_000));
    balancer.apply_signals(
        &record(1).life(),
        &signals(SignalValue::Absent, true),
        UnixMillis(1_100),
        UnixMillis(1_100),
    );
    assert!(!gets_request(&mut balancer, 60_000), "an answer to an earlier request does not withdraw it");
    balancer.sync(&TargetRegistry::default());
    balancer.sync(&registry);
    assert!(!gets_request(&mut balancer, 61_000), "nor does its row");
    assert_eq!(balancer.rest_end(&"s".parse().unwrap(), UnixMillis(61_000)), None);
    registry.apply_changes(vec![record(2).into()], None);
    balancer.sync(&registry);
    assert!(gets_request(&mut balancer, 62_000), "another life is another target");
}

#[test]
fn waiting_requests_are_refused_once_all_targets_rest() {
    let mut registry = TargetRegistry::default();
    registry.apply_listing([record(1)], None);
    let settings = BalancerSettings::builder().zone("a".parse().unwrap()).per_rank(3).rank_limit(12).seed(1);
    let mut scheduler: RequestScheduler<&str> = RequestScheduler::new(settings.build());
    scheduler.sync(&registry);
    let service: ServiceName = "s".parse().unwrap();
    scheduler.enqueue(slot_request(&service, 1_000), "waits");
    assert!(scheduler.take_unservable(&service, UnixMillis(1_100)).is_empty());
    scheduler.apply_signals(&record(1).life(), &rest(2_000), UnixMillis(1_150), UnixMillis(1_200));
    assert_eq!(scheduler.take_unservable(&service, UnixMillis(1_200)), ["waits"]);
    assert_eq!(
        scheduler.refusal(&service, UnixMillis(1_200)).to_string(),
        "all targets have asked for a rest period"
    );
}

#[test]
fn assigned_slot_is_invalid_after_backpressure() {
    let mut registry = TargetRegistry::default();
    registry.apply_listing([record(1)], None);
    for (signals, valid) in
        [(signals(named(1.0), true), false), (rest(2_000), false), (signals(SignalValue::Absent, true), true)]
    {
        let mut balancer = balancer(&registry);
        let work = RequestWork::default();
        let chosen = balancer.choose(&"s".parse().unwrap(), true, work, &[], UnixMillis(900)).unwrap();
        balancer.apply_signals(&record(1).life(), &signals, UnixMillis(1_000), UnixMillis(1_000));
        assert_eq!(
            balancer.is_still_valid(&chosen.record.life(), chosen.rate, UnixMillis(1_100)),
            valid,
            "{signals:?}"
        );
    }
}

fn slot_request(service: &ServiceName, at: u64) -> SlotRequest {
    SlotRequest {
        service: service.clone(),
        ranked: true,
        work: RequestWork::default(),
        priority: 1,
        tried: Vec::new(),
        arrival: UnixMillis(at),
        latency_millis: 500,
        deadline: UnixDeadline(UnixMillis(at + 9_000)),
        class: QueueClass::First,
    }
}

/// Guards against taking a group for down when all its ranks have asked for a rest period: callers
/// return when the first one ends.
#[test]
fn retry_delay_covers_first_rest_period() {
    let mut registry = TargetRegistry::default();
    registry.apply_listing([record(1)], None);
    let settings = BalancerSettings::builder().zone("a".parse().unwrap()).per_rank(3).rank_limit(12).seed(1);
    let mut scheduler: RequestScheduler<()> = RequestScheduler::new(settings.build());
    scheduler.sync(&registry);
    let service: ServiceName = "s".parse().unwrap();
    let decide = |scheduler: &mut RequestScheduler<()>, at: u64| match scheduler
        .decide(&slot_request(&service, at), UnixMillis(at))
    {
        SlotDecision::Assign(_chosen) => "placed".to_owned(),
        SlotDecision::Wait(_until) => "waits".to_owned(),
        SlotDecision::Refuse(error) => error.to_string(),
    };
    scheduler.apply_signals(&record(1).life(), &rest(2_000), UnixMillis(1_000), UnixMillis(1_000));
    assert_eq!(decide(&mut scheduler, 1_500), "all targets have asked for a rest period");
    let delay =
        scheduler.retry_after_millis(&service, UnixDeadline(UnixMillis(10_500)), 0.0, UnixMillis(1_500));
    assert!((1_500..=3_000).contains(&delay), "{delay}");
    assert_eq!(decide(&mut scheduler, 3_300), "placed");
}

fn position(index: u32, entries: u32) -> EntryPosition {
    EntryPosition { index, entries }
}

#[test]
fn entries_are_counted_after_all_have_queried() {
    let mut roster = EntryRoster::default();
    let mut query = |entry: u64, at: u64| roster.record_query(EntryId(entry), UnixMillis(at));
    assert_eq!(query(5, 100_000), None);
    assert_eq!(query(9, 101_000), None, "other entries may not have queried yet");
    assert_eq!(query(5, 103_000), Some(position(0, 2)));
    assert_eq!(query(7, 104_000), Some(position(1, 3)));
    assert_eq!(query(7, 105_000), Some(position(1, 3)), "a restarted entry keeps its position");
    assert_eq!(query(5, 112_000), Some(position(0, 2)), "an entry without queries is dropped after 10 s");
    assert_eq!(query(5, 140_000), None, "a process that stalled starts counting again");
}

#[test]
fn lower_entry_count_is_adopted_after_delay() {
    let mut tracker = PositionTracker::default();
    let mut update = |answer, at| {
        tracker.update(answer, UnixMillis(at));
        tracker.position()
    };
    assert_eq!(update(None, 1_000), None);
    assert_eq!(update(Some(position(1, 14)), 2_000), Some(position(1, 14)));
    assert_eq!(
        update(Some(position(0, 2)), 3_000),
        Some(position(1, 14)),
        "entries switch to another process, one after the other"
    );
    assert_eq!(update(None, 4_000), Some(position(1, 14)), "that process has just started counting");
    assert_eq!(update(Some(position(1, 15)), 5_000), Some(position(1, 15)));
    assert_eq!(update(Some(position(0, 2)), 35_000), Some(position(0, 2)));
}
