//! Decisions for proxied requests.

use porthoist_core::{ServiceName, StartMillis, TargetName, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::balancer::{BalancerSettings, LoadBalancer, RequestWork, SendOutcome};
use porthoist_policy::proxy::capacity::PriorityRank;
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::freshness::{FreshnessProof, StampedAnswer};
use porthoist_policy::proxy::outages::{AnswerGap, StalenessBound};
use porthoist_policy::proxy::retry_share::{RetryShare, RetryShareSettings};
use porthoist_policy::proxy::routes::{
    CallerLimits, ConfigVersion, EngineModel, RouteError, RouteKind, RouteRule, RouteTable, ServiceSpec,
    TeamGrant, WeightedService,
};
use porthoist_policy::proxy::targets::{TargetChange, TargetLife, TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::{QueueClass, WaitQueue};
use std::collections::HashMap;
use test_case::test_case;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn rule(prefix: &str, services: &[(&str, u32)]) -> RouteRule {
    let services =
        services.iter().map(|(service, weight)| WeightedService { service: name(service), weight: *weight });
    RouteRule {
        name: prefix.into(),
        prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        timeout_millis: 1_000,
        target_latency_millis: 500,
        target_pause_millis: 120,
        priority: 1,
        max_attempts: 2,
        public: prefix.contains("public"),
        services: services.collect(),
    }
}

fn table() -> RouteTable {
    let limits = CallerLimits { header_bytes: 1, body_bytes: 1, idle_millis: 1 };
    let routes = ["/", "/a/", "/a/b/", "/public/"]
        .map(|prefix| (Box::from("Host.example"), rule(prefix, &[("s", 1)])));
    let grant = TeamGrant { team: name("team"), priority: None };
    let keys = HashMap::from([(Box::from("key"), grant)]);
    RouteTable::new(ConfigVersion(1), limits, Vec::new(), routes.into(), Some(keys))
}

#[test_case("host.example", "/a/b/c" => Ok("/a/b/".to_owned()); "the longest prefix")]
#[test_case("HOST.EXAMPLE:80", "/a/bc" => Ok("/a/".to_owned()); "case and port of the host do not matter")]
#[test_case("host.example", "/" => Ok("/".to_owned()); "the whole prefix")]
#[test_case("other.example", "/a/" => Err(RouteError::NoRoute); "unknown host")]
#[test_case("host.example", "a" => Err(RouteError::NoRoute); "no prefix")]
fn host_and_path_select_route(host: &str, path: &str) -> Result<String, RouteError> {
    table().route(host, path).map(|rule| rule.prefix.to_string())
}

#[test_case("/a/", Some("key") => Ok(true); "known")]
#[test_case("/a/", Some("old") => Err(RouteError::UnknownKey); "unknown")]
#[test_case("/a/", None => Err(RouteError::UnknownKey); "missing")]
#[test_case("/public/", None => Ok(false); "public")]
#[test_case("/public/", Some("old") => Ok(false); "public with an unknown key")]
fn key_selects_team(path: &str, key: Option<&str>) -> Result<bool, RouteError> {
    let table = table();
    let rule = table.route("host.example", path)?;
    table.team(&rule, key).map(|grant| grant.is_some())
}

#[test]
fn services_are_chosen_by_weight_and_hash() {
    let rule = rule("/", &[("left", 90), ("right", 10), ("none", 0)]);
    let counts = (0..1_000).fold(HashMap::new(), |mut counts: HashMap<String, u32>, hash| {
        *counts.entry(rule.service(hash).unwrap().to_string()).or_default() += 1;
        counts
    });
    assert_eq!(counts, HashMap::from([("left".to_owned(), 900), ("right".to_owned(), 100)]));
    assert_eq!(rule.service(77), rule.service(77));
}

/// A table with a route of each kind and priority, and teams with these priorities.
fn contended_table(routes: &[(RouteKind, u8)], teams: &[Option<u8>]) -> RouteTable {
    let limits = CallerLimits { header_bytes: 1, body_bytes: 1, idle_millis: 1 };
    let engine = EngineModel {
        slots: 4,
        memory_tokens: 1_000,
        step_millis: 1.0,
        request_millis: 1.0,
        stride: 1,
        read_tokens_per_milli: 1.0,
        sets: 1,
        experts: 4,
        max_experts: 3,
        max_new_experts: 1,
        expert_share: 0.5,
    };
    let spec = ServiceSpec { name: name("s"), engine: Some(engine), cold: None };
    let routes = routes.iter().enumerate().map(|(index, (kind, priority))| {
        let rule = RouteRule { kind: *kind, priority: *priority, ..rule(&format!("/{index}/"), &[("s", 1)]) };
        (Box::from("h"), rule)
    });
    let grant = |priority: &Option<u8>| TeamGrant { team: name("team"), priority: *priority };
    let keys = teams.iter().enumerate().map(|(index, team)| (format!("key{index}").into(), grant(team)));
    RouteTable::new(ConfigVersion(1), limits, vec![spec], routes.collect(), Some(keys.collect()))
}

const STREAM: RouteKind = RouteKind::Events { resumable: true };

/// Guards against a division of capacity on deployments whose streams have one priority, whatever their teams
/// and plain routes have.
#[test_case(&[(STREAM, 1), (STREAM, 1)], &[Some(1)], false => false; "one priority")]
#[test_case(&[(STREAM, 1), (STREAM, 1)], &[Some(0), Some(1), None], false => false; "teams that differ")]
#[test_case(&[(STREAM, 1), (RouteKind::Once, 2)], &[Some(1)], false => false; "a plain route that differs")]
#[test_case(&[(STREAM, 0), (STREAM, 2)], &[Some(1)], false => true; "streams that differ")]
#[test_case(&[(STREAM, 1)], &[Some(1)], true => true; "all services by the setting")]
fn capacity_is_divided_if_streams_differ(
    routes: &[(RouteKind, u8)],
    teams: &[Option<u8>],
    share_all: bool,
) -> bool {
    !contended_table(routes, teams).capacity_rules(share_all).is_empty()
}

/// Guards against a team's priority that hides those of the routes: where all teams have the same one, urgent
/// requests that can't wait were refused before the others.
#[test]
fn levels_follow_team_and_then_route() {
    let table = contended_table(&[(STREAM, 0), (STREAM, 2)], &[Some(1), Some(0), None]);
    let rules = table.capacity_rules(false);
    let rule = &rules[&name::<ServiceName>("s")];
    let level = |team, route| rule.level(PriorityRank { team, route }).0;
    let levels = [level(0, 0), level(0, 2), level(1, 0), level(1, 2), level(2, 2)];
    assert_eq!(levels, [0, 1, 2, 3, 4]);
}

fn answer(sent: u64, received: u64, stamp: u64) -> StampedAnswer {
    StampedAnswer { sent: UnixMillis(sent), received: UnixMillis(received), stamp }
}

#[test]
fn long_poll_proves_freshness_up_to_its_end() {
    let mut proof = FreshnessProof::default();
    assert_eq!(proof.age(UnixMillis(5_000)), None);
    proof.record_answer(answer(1_000, 1_004, 50));
    assert_eq!(proof.age(UnixMillis(1_004)), Some(4));
    // Sent at 1,010, answered at 1,850 of the service's clock.
    proof.record_answer(answer(1_010, 2_804, 1_850));
    assert_eq!(proof.age(UnixMillis(2_804)), Some(4));
}

#[test]
fn delayed_answer_proves_freshness_only_up_to_its_stamp() {
    let mut proof = FreshnessProof::default();
    proof.record_answer(answer(1_000, 1_004, 50));
    // The process was suspended between the service's answer and reading it.
    proof.record_answer(answer(1_010, 9_000, 60));
    assert_eq!(proof.age(UnixMillis(9_000)), Some(7_990));
}

#[test]
fn answer_after_clock_reset_proves_freshness_from_its_request() {
    let mut proof = FreshnessProof::default();
    proof.record_answer(answer(10_000, 10_004, 9_000));
    proof.record_answer(answer(20_000, 20_004, 5));
    assert_eq!(proof.age(UnixMillis(20_004)), Some(4));
}

#[test]
fn retries_stay_within_share_of_sliding_window() {
    let mut share = RetryShare::new(RetryShareSettings { ratio: 0.1, slack: 1.0, window_millis: 1_000 });
    for millis in 0..20 {
        share.record_first_send(UnixMillis(millis));
    }
    let taken = (0..10).filter(|_retry| share.try_take(UnixMillis(20))).count();
    assert_eq!(taken, 3);
    // Sends and retries that are older than the window no longer count.
    assert!(share.try_take(UnixMillis(1_500)));
    assert!(!share.try_take(UnixMillis(1_501)));
}

fn life(id: &str) -> TargetLife {
    TargetLife::from(name::<TargetName>(id))
}

fn record(id: &str, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: name(id),
        born: StartMillis::default(),
        service: name("s"),
        address: ([127, 0, 0, 1], id.trim_start_matches('t').parse().unwrap()).into(),
        zone: name("a"),
        slots: 2,
        state,
        cold: ColdStatus::Unknown,
    }
}

#[test]
fn newer_row_at_address_ends_older_target() {
    let row = |id: &str| TargetRecord { id: name(id), ..record("t1", TargetState::Ready) };
    let mut registry = TargetRegistry::default();
    registry.apply_listing(vec![row("old"), row("newer"), record("t2", TargetState::Ready)], None);
    assert_eq!(ids(&registry), ["newer", "t2"]);
    registry.apply_changes(vec![TargetChange::Put(row("newest"))], None);
    assert_eq!(ids(&registry), ["newest", "t2"]);
    // The end of the older row does not affect the newer one.
    registry.apply_changes(vec![TargetChange::Gone(name("newer"))], None);
    assert_eq!(ids(&registry), ["newest", "t2"]);
    // A row that expires while the table service is unavailable gets no grace if a newer life uses its
    // address.
    registry.apply_listing(vec![row("last")], Some(UnixDeadline(UnixMillis(100))));
    assert_eq!(ids(&registry), ["last", "t2"]);
}

/// Guards against a row from a backup ending the target that has since taken over its address.
#[test]
fn backup_row_does_not_end_newer_life_at_its_address() {
    let mut registry = TargetRegistry::default();
    let row =
        |id: &str| TargetRecord { address: ([10, 0, 0, 9], 80).into(), ..record(id, TargetState::Ready) };
    registry.apply_listing(vec![row("t1")], None);
    registry.apply_changes(vec![row("t2").into()], None);
    registry.restored(UnixMillis(0));
    registry.apply_listing(vec![row("t1")], Some(UnixDeadline(UnixMillis(100))));
    assert_eq!(ids(&registry), ["t2"]);
    registry.apply_changes(vec![row("t2").into()], None);
    registry.apply_listing(vec![row("t1"), row("t2")], None);
    assert_eq!(ids(&registry), ["t2"]);
}

fn ids(registry: &TargetRegistry) -> Vec<String> {
    let mut ids: Vec<String> = registry.records().map(|record| record.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn missing_row_is_dropped_at_once_without_outage() {
    let mut registry = TargetRegistry::default();
    registry.apply_listing(vec![record("t1", TargetState::Ready), record("t2", TargetState::Ready)], None);
    registry.apply_listing(vec![record("t1", TargetState::Ready)], None);
    assert_eq!(ids(&registry), ["t1"]);
    registry.apply_changes(vec![TargetChange::Gone(name("t1"))], None);
    assert_eq!(ids(&registry), Vec::<String>::new());
}

#[test]
fn missing_row_has_grace_period_after_outage() {
    let grace = Some(UnixDeadline(UnixMillis(100)));
    let mut registry = TargetRegistry::default();
    registry.apply_listing(["t1", "t2", "t3"].map(|id| record(id, TargetState::Ready)), None);
    registry.apply_listing(vec![record("t1", TargetState::Ready)], grace);
    registry.apply_changes(vec![TargetChange::Gone(name("t1"))], grace);
    assert_eq!(ids(&registry), ["t1", "t2", "t3"]);
    // A second listing does not extend the grace, and a row that is back needs none.
    registry.apply_listing(vec![record("t2", TargetState::Ready)], Some(UnixDeadline(UnixMillis(900))));
    assert_eq!(registry.expire(UnixMillis(99)), Vec::<TargetName>::new());
    let mut expired = registry.expire(UnixMillis(100));
    expired.sort();
    assert_eq!(expired, ["t1", "t3"].map(name::<TargetName>));
    assert_eq!(ids(&registry), ["t2"]);
}

/// The service returned at 10 s, and the last unanswered request was sent at 9.5 s. A target that left
/// at 10.2 s must get nothing new after 12.2 s, whenever the removal of its row is read.
#[test_case(10_000 => Some(11_700); "missing in the first listing")]
#[test_case(10_800 => Some(11_700); "removed just after the return")]
#[test_case(11_699 => Some(11_700); "removed at its end")]
#[test_case(11_700 => None; "removed later")]
fn grace_period_counts_from_return_of_table_service(now: u64) -> Option<u64> {
    let gap = AnswerGap { asked: UnixMillis(9_500), returned: UnixMillis(10_000) };
    gap.grace(StalenessBound::default(), UnixMillis(now)).map(|end| end.0.0)
}

/// A request sent at 6 s was not answered until 10 s, so the connection may have been silent since 6 s.
/// A target that left at 9 s must get nothing new after 11 s, of which a new connection may take 0.4 s.
#[test_case(10_000 => Some(10_400); "missing in the first listing")]
#[test_case(10_400 => None; "removed later")]
fn grace_period_ends_at_staleness_bound(now: u64) -> Option<u64> {
    let gap = AnswerGap { asked: UnixMillis(6_000), returned: UnixMillis(10_000) };
    gap.grace(StalenessBound::default(), UnixMillis(now)).map(|end| end.0.0)
}

fn balancer(records: Vec<TargetRecord>) -> LoadBalancer {
    let mut registry = TargetRegistry::default();
    registry.apply_listing(records, None);
    let settings = BalancerSettings::builder().zone(name("a")).per_rank(3).rank_limit(12).seed(1).build();
    let mut balancer = LoadBalancer::new(settings);
    balancer.sync(&registry);
    balancer
}

fn choose(balancer: &mut LoadBalancer, now: u64) -> Option<String> {
    let service: ServiceName = name("s");
    let chosen = balancer.choose(&service, false, RequestWork::default(), &[], UnixMillis(now))?;
    Some(chosen.record.id.to_string())
}

#[test]
fn requests_spread_until_all_targets_are_full() {
    let mut balancer = balancer(vec![record("t1", TargetState::Ready), record("t2", TargetState::Ready)]);
    let mut chosen: Vec<String> = (0..4).filter_map(|_request| choose(&mut balancer, 0)).collect();
    chosen.sort();
    assert_eq!(chosen, ["t1", "t1", "t2", "t2"]);
    assert_eq!(choose(&mut balancer, 0), None);
    balancer.ended(&life("t2"), RequestWork::default(), SendOutcome::Answered(1.0), UnixMillis(1));
    assert_eq!(choose(&mut balancer, 1).as_deref(), Some("t2"));
}

#[test]
fn target_whose_address_is_taken_gets_no_requests() {
    let mut balancer = balancer(vec![record("t1", TargetState::Ready), record("t2", TargetState::Ready)]);
    let work = RequestWork::default();
    assert!(choose(&mut balancer, 0).is_some() && choose(&mut balancer, 0).is_some());
    assert!(balancer.ended(&life("t1"), work, SendOutcome::Gone, UnixMillis(1)));
    balancer.ended(&life("t2"), work, SendOutcome::Answered(1.0), UnixMillis(1));
    let choose_later = |balancer: &mut LoadBalancer| choose(balancer, 60_000);
    assert_eq!(
        [choose_later(&mut balancer), choose_later(&mut balancer), choose_later(&mut balancer)],
        [Some("t2".into()), Some("t2".into()), None]
    );
}

#[test]
fn draining_target_gets_no_requests() {
    let mut balancer = balancer(vec![record("t1", TargetState::Draining)]);
    assert_eq!(choose(&mut balancer, 0), None);
}

#[test]
fn failing_target_is_ejected_and_probed() {
    let mut balancer = balancer(vec![record("t1", TargetState::Ready)]);
    let fail = |balancer: &mut LoadBalancer, now: u64| {
        assert!(choose(balancer, now).is_some());
        balancer.ended(&life("t1"), RequestWork::default(), SendOutcome::Failed, UnixMillis(now))
    };
    assert_eq!(
        [fail(&mut balancer, 0), fail(&mut balancer, 0), fail(&mut balancer, 0)],
        [false, false, true]
    );
    assert_eq!(choose(&mut balancer, 799), None);
    // One request at a time is the probe; its failure doubles the ejection time.
    assert!(fail(&mut balancer, 800));
    assert_eq!(choose(&mut balancer, 2_399), None);
    assert!(choose(&mut balancer, 2_400).is_some());
    assert_eq!(choose(&mut balancer, 2_400), None);
    balancer.ended(&life("t1"), RequestWork::default(), SendOutcome::Answered(1.0), UnixMillis(2_500));
    assert!(choose(&mut balancer, 2_500).is_some() && choose(&mut balancer, 2_500).is_some());
}

fn born(id: &str, born: u64) -> TargetRecord {
    TargetRecord { born: StartMillis(born), ..record(id, TargetState::Ready) }
}

/// A new life inherits nothing: neither ejection nor load, answer times or a lost address.
#[test_case(SendOutcome::Failed; "after failures")]
#[test_case(SendOutcome::Gone; "after another target was found at its address")]
#[test_case(SendOutcome::Answered(9_000.0); "after slow answers")]
fn new_life_inherits_no_state(outcome: SendOutcome) {
    let mut registry = TargetRegistry::default();
    registry.apply_listing([born("t1", 100)], None);
    let settings = BalancerSettings::builder().zone(name("a")).per_rank(3).rank_limit(12).seed(1).build();
    let mut balancer = LoadBalancer::new(settings);
    balancer.sync(&registry);
    let old = born("t1", 100).life();
    // Until it is no longer chosen.
    for _send in 0..3 {
        if choose(&mut balancer, 0).is_none() {
            break;
        }
        balancer.ended(&old, RequestWork::default(), outcome, UnixMillis(0));
    }
    // One more request is still in flight there.
    let in_flight = choose(&mut balancer, 0).is_some();
    registry.apply_changes([TargetChange::Put(born("t1", 200))].into(), None);
    balancer.sync(&registry);
    let new = born("t1", 200).life();
    assert_eq!((balancer.in_flight(&old), balancer.in_flight(&new)), (u32::from(in_flight), 0));
    assert!((0..2).all(|_slot| choose(&mut balancer, 1).is_some()), "both slots are free");
    assert_eq!(choose(&mut balancer, 1), None);
    balancer.ended(&old, RequestWork::default(), SendOutcome::Failed, UnixMillis(2));
    assert_eq!(balancer.in_flight(&new), 2, "the end of the earlier life's request frees nothing");
}

/// Once services are known, a row of an unknown service ends no target, while a row of a known service
/// does.
#[test]
fn row_of_unknown_service_ends_no_target() {
    let foreign =
        TargetRecord { id: name("x"), service: name("unnamed"), ..record("t1", TargetState::Ready) };
    let mut registry = TargetRegistry::default();
    registry.apply_listing([record("t1", TargetState::Ready)], None);
    assert!(!registry.set_services([name("s")]), "all known targets belong to configured services");
    registry.apply_changes(vec![TargetChange::Put(foreign.clone())], None);
    assert_eq!(ids(&registry), ["t1", "x"]);
    registry.apply_changes(
        vec![TargetChange::Put(TargetRecord { id: name("t9"), ..record("t1", TargetState::Ready) })],
        None,
    );
    assert_eq!(ids(&registry), ["t9"]);
    // Before services are known, the row may have ended a target, so all rows have to be listed again.
    let mut early = TargetRegistry::default();
    early.apply_listing([record("t1", TargetState::Ready), foreign], None);
    assert!(early.set_services([name("s")]));
}

#[test]
fn unusable_row_has_no_grace_period() {
    let grace = Some(UnixDeadline(UnixMillis(100)));
    let mut registry = TargetRegistry::default();
    registry.apply_listing(["t1", "t2", "t3"].map(|id| record(id, TargetState::Ready)), None);
    registry.apply_changes(vec![TargetChange::Unusable(name("t1"))], grace);
    assert_eq!(ids(&registry), ["t2", "t3"]);
    registry
        .apply_listing([TargetChange::Unusable(name("t2")), record("t3", TargetState::Ready).into()], grace);
    assert_eq!(ids(&registry), ["t3"]);
    assert_eq!(registry.next_expiry(), None);
}

#[test]
fn waiting_requests_are_served_by_priority_class_and_arrival() {
    let mut queue = WaitQueue::default();
    queue.add(2, QueueClass::First, "low");
    queue.add(1, QueueClass::CallerRetry, "returned");
    queue.add(1, QueueClass::First, "first");
    let gone = queue.add(1, QueueClass::First, "gone");
    queue.add(1, QueueClass::First, "second");
    queue.add(1, QueueClass::Resent, "repeated");
    assert_eq!(queue.remove(gone), Some("gone"));
    let ahead =
        [QueueClass::Resent, QueueClass::First, QueueClass::CallerRetry].map(|class| queue.ahead(1, class));
    assert_eq!(ahead, [1, 3, 4]);
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["repeated", "first", "second", "returned", "low"]);
}
