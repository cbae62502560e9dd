//! Cold targets and emptied zones: the load on targets from all entries together, and the answers to
//! callers.

use crate::cold_start_simulation::{ColdSettings, MAX_PER_SECOND, simulate};
use porthoist_core::{RequestRate, ServiceName, StartMillis, UnixDeadline, UnixMillis, ZoneName};
use porthoist_policy::proxy::backpressure::{BackpressureSignals, SignalValue};
use porthoist_policy::proxy::balancer::{BalancerSettings, RequestWork, SendOutcome};
use porthoist_policy::proxy::cold_start::{ColdRule, ColdStatus};
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotRequest};
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_policy::proxy::targets::{TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use porthoist_policy::proxy::zones::{EmptiedZones, ZoneChange, ZoneUpdate};
use std::collections::HashMap;
use test_case::test_case;

/// Guards against entries that ignore a cold start: each of 42 entries found a returned target idle and
/// sent to it, 32 requests in a second where 30.5 are permitted. Without a cold rule, the simulation
/// exceeds the limit at each size.
#[test_case(6, 1; "one target before 6 entries")]
#[test_case(42, 1; "one target before 42 entries")]
#[test_case(600, 1; "one target before 600 entries")]
#[test_case(6, 4; "a zone before 6 entries")]
#[test_case(42, 4; "a zone before 42 entries")]
#[test_case(600, 4; "a zone before 600 entries")]
#[test_case(42, 12; "all targets before 42 entries")]
fn cold_target_gets_no_more_than_permitted(entries: usize, cold: usize) {
    for seed in 1..4 {
        let report = simulate(&ColdSettings::builder().entries(entries).cold(cold).seed(seed).build());
        assert!(
            report.max_per_second() as f64 <= MAX_PER_SECOND,
            "seed {seed}: {} in a second",
            report.max_per_second()
        );
        assert!(
            report.rate_fraction_used() >= 0.6,
            "seed {seed}: {} of the rate used",
            report.rate_fraction_used()
        );
    }
}

#[test_case(14, 0, 0; "entries are killed")]
#[test_case(0, 14, 0; "entries are cut off")]
#[test_case(14, 14, 5_000; "both while clocks are apart")]
fn cold_target_limit_holds_while(killed: usize, cut_off: usize, clock_skew_millis: u64) {
    for seed in 1..4 {
        let settings = ColdSettings::builder().entries(42).cold(4).seed(seed).killed(killed);
        let report = simulate(&settings.cut_off(cut_off).clock_skew_millis(clock_skew_millis).build());
        assert!(
            report.max_per_second() as f64 <= MAX_PER_SECOND,
            "seed {seed}: {} in a second",
            report.max_per_second()
        );
        assert!(
            report.rate_fraction_used() >= 0.4,
            "seed {seed}: {} of the rate used",
            report.rate_fraction_used()
        );
    }
}

#[test]
fn broken_connections_make_target_cold_before_its_row() {
    // Entries whose connections broke hold back; the others continue at 8 requests a second per target.
    let report = simulate(&ColdSettings::builder().entries(42).cold(4).rate(2.3).rows(false).build());
    assert!(report.max_per_second() as f64 <= MAX_PER_SECOND, "{} in a second", report.max_per_second());
}

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn record(name: &str, born: u64, cold: ColdStatus) -> TargetRecord {
    TargetRecord {
        id: name.parse().unwrap(),
        born: StartMillis(born),
        service: service(),
        address: format!("10.0.0.{}:1", name.as_bytes()[0]).parse().unwrap(),
        zone: zone(name),
        slots: 12,
        state: TargetState::Ready,
        cold,
    }
}

/// A process that is the only entry, with one target in each zone. A zone has the name of its target.
struct SingleEntry {
    scheduler: RequestScheduler<()>,
    registry: TargetRegistry,
    zones: EmptiedZones,
}

impl SingleEntry {
    fn new(records: impl IntoIterator<Item = TargetRecord>) -> Self {
        let settings = BalancerSettings::builder().zone(zone("a")).per_rank(3).rank_limit(12).seed(1).build();
        let mut registry = TargetRegistry::default();
        registry.apply_listing(records, None);
        let mut scheduler = RequestScheduler::new(settings);
        let rule = ColdRule { rate: RequestRate(4.0), millis: 3_000 };
        scheduler.set_cold_rules(HashMap::from([(service(), rule)]));
        scheduler.set_entry_position(Some(EntryPosition { index: 0, entries: 1 }));
        scheduler.sync(&registry);
        Self { scheduler, registry, zones: EmptiedZones::default() }
    }

    fn update_zones(&mut self, update: ZoneUpdate, at: u64) {
        self.zones.apply_update(update, UnixMillis(at));
        self.scheduler.set_emptied(&self.zones, UnixMillis(at));
    }

    fn decide_at(&mut self, at: u64) -> String {
        let request = SlotRequest {
            service: service(),
            ranked: false,
            work: RequestWork::default(),
            priority: 1,
            tried: Vec::new(),
            arrival: UnixMillis(at),
            latency_millis: 500,
            deadline: UnixDeadline::after(UnixMillis(at), 8_000),
            class: QueueClass::First,
        };
        match self.scheduler.decide(&request, UnixMillis(at)) {
            SlotDecision::Assign(chosen) => chosen.record.id.to_string(),
            SlotDecision::Wait(_until) => "waits".to_owned(),
            SlotDecision::Refuse(error) => error.to_string(),
        }
    }

    /// Number of times a target is chosen for a hundred requests within a second.
    fn count_sends(&mut self, target: &str, from: u64) -> usize {
        (0..100).filter(|index| self.decide_at(from + 10 * index) == target).count()
    }
}

#[test]
fn emptied_zone_gets_no_requests_and_is_cold_once_restored() {
    let mut entry = SingleEntry::new([record("a", 0, ColdStatus::Warm), record("b", 0, ColdStatus::Warm)]);
    let chosen = entry.decide_at(1_000);
    let life = entry.registry.records().find(|record| record.id.as_str() == chosen).unwrap().life();
    assert!(entry.scheduler.is_still_valid(&life, None, UnixMillis(1_000)));
    entry.update_zones(
        ZoneUpdate::Changed(vec![ZoneChange::Emptied(life.id.as_str().parse().unwrap())]),
        1_100,
    );
    assert!(
        !entry.scheduler.is_still_valid(&life, None, UnixMillis(1_101)),
        "a slot assigned earlier is no longer valid"
    );
    assert_eq!(entry.count_sends(&chosen, 1_200), 0);
    let mut restored = SingleEntry::new([record("a", 0, ColdStatus::Warm), record("b", 0, ColdStatus::Warm)]);
    restored.update_zones(ZoneUpdate::Listed(vec![zone("a")]), 1_000);
    restored.update_zones(ZoneUpdate::Changed(vec![ZoneChange::Restored(zone("a"))]), 20_000);
    let cold = restored.count_sends("a", 20_010);
    assert!((1..=4).contains(&cold), "{cold} requests in the first second after its return");
    assert_eq!(restored.scheduler.cold_targets(UnixMillis(22_000)), 1);
    assert_eq!(restored.scheduler.cold_targets(UnixMillis(23_500)), 0);
}

#[test]
fn new_and_waiting_requests_are_refused_while_all_zones_are_emptied() {
    let mut entry = SingleEntry::new([record("a", 0, ColdStatus::Warm), record("b", 0, ColdStatus::Warm)]);
    entry.update_zones(ZoneUpdate::Listed(vec![zone("a"), zone("b"), zone("unknown")]), 1_000);
    assert_eq!(entry.decide_at(1_001), "the targets' zones are emptied");
    assert_eq!(
        entry.scheduler.refusal(&service(), UnixMillis(1_002)).to_string(),
        "the targets' zones are emptied"
    );
    entry.update_zones(ZoneUpdate::Listed(vec![zone("b")]), 2_000);
    assert!((0..10).any(|step| entry.decide_at(2_900 + 100 * step) == "a"), "it gets requests again");
}

#[test]
fn each_zone_change_takes_effect_once() {
    let mut zones = EmptiedZones::default();
    let emptied = ZoneChange::Emptied(zone("a"));
    let restored = ZoneChange::Restored(zone("a"));
    let all = vec![emptied.clone(), emptied.clone(), restored.clone(), restored.clone(), emptied.clone()];
    let effective = zones.apply_update(ZoneUpdate::Changed(all), UnixMillis(1));
    assert_eq!(effective, [emptied.clone(), restored.clone(), emptied]);
    assert_eq!(zones.apply_update(ZoneUpdate::Listed(Vec::new()), UnixMillis(2)), [restored]);
    assert!(ZoneUpdate::default().is_empty());
    assert!(!ZoneUpdate::Listed(Vec::new()).is_empty(), "a listing may restore zones");
}

/// What makes a target cold, and when it is warm again.
#[test]
fn only_time_makes_target_warm() {
    let until = |at| ColdStatus::Until(UnixDeadline(UnixMillis(at)));
    let mut entry = SingleEntry::new([record("a", 1, until(2_000))]);
    let cold = |entry: &SingleEntry, at: u64| entry.scheduler.cold_targets(UnixMillis(at)) == 1;
    assert_eq!([1_000, 1_999, 2_000].map(|at| cold(&entry, at)), [true, true, false]);
    // The row of the same life says that it became cold again, then that it is warm.
    for (status, cold_until) in
        [(until(6_000), 6_000), (ColdStatus::Warm, 6_000), (ColdStatus::Unknown, 6_000)]
    {
        entry.registry.apply_changes(vec![record("a", 1, status).into()], None);
        entry.scheduler.sync(&entry.registry);
        assert_eq!([cold_until - 1, cold_until].map(|at| cold(&entry, at)), [true, false], "{status:?}");
    }
    // Its own answer announces a cold time.
    let answer =
        BackpressureSignals { cold_millis: SignalValue::Present(500), ..BackpressureSignals::default() };
    let life = record("a", 1, ColdStatus::Warm).life();
    entry.scheduler.apply_signals(&life, &answer, UnixMillis(7_000), UnixMillis(7_000));
    assert_eq!([7_499, 7_500].map(|at| cold(&entry, at)), [true, false]);
    // Its connection broke. It may have restarted at any time until it answers, and counts as cold for
    // the whole cold time after that.
    entry.scheduler.ended(
        &service(),
        &life,
        RequestWork::default(),
        SendOutcome::Lost,
        10,
        UnixMillis(8_000),
    );
    let answered = BackpressureSignals { matches_request: true, ..BackpressureSignals::default() };
    assert!(cold(&entry, 60_000));
    entry.scheduler.apply_signals(&life, &answered, UnixMillis(61_000), UnixMillis(61_000));
    assert_eq!([63_999, 64_000].map(|at| cold(&entry, at)), [true, false]);
    // Another life whose row says nothing about a cold start.
    entry.registry.apply_changes(vec![record("a", 2, ColdStatus::Unknown).into()], None);
    entry.scheduler.sync(&entry.registry);
    assert!(cold(&entry, 70_000));
}

#[test]
fn service_without_cold_rule_has_no_cold_targets() {
    let mut entry = SingleEntry::new([record("a", 1, ColdStatus::Until(UnixDeadline(UnixMillis(9_000))))]);
    entry.scheduler.set_cold_rules(HashMap::new());
    assert_eq!(entry.scheduler.cold_targets(UnixMillis(1_000)), 0);
    assert_eq!(entry.decide_at(1_000), "a");
}

#[test]
fn cold_time_is_bounded() {
    assert_eq!(ColdStatus::from_remaining(0, UnixMillis(5)), ColdStatus::Warm);
    let huge = ColdStatus::from_remaining(u64::MAX, UnixMillis(5));
    assert_eq!(huge, ColdStatus::Until(UnixDeadline(UnixMillis(600_005))));
}
