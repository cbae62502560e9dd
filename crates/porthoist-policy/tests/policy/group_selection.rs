//! Choice of a group when one of several is slow, silent or broken.

use porthoist_core::{ServiceName, StartMillis, UnixMillis};
use porthoist_policy::proxy::balancer::{BalancerSettings, LoadBalancer, RequestWork, SendOutcome};
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::pass_time::GroupPass;
use porthoist_policy::proxy::steady_pass::SteadyPass;
use porthoist_policy::proxy::targets::{TargetRecord, TargetRegistry, TargetState};
use std::net::Ipv4Addr;

const GROUPS: usize = 3;
const RANKS: usize = 8;
const RANK_LIMIT: u32 = 10;
/// A typical pass time.
const TYPICAL_PASS: GroupPass = GroupPass::Millis(50);

fn service() -> ServiceName {
    "s".parse().expect("a name")
}

fn host(group: usize, rank: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, group as u8, rank as u8)
}

fn record(group: usize, rank: usize) -> TargetRecord {
    TargetRecord {
        id: format!("t{group}-{rank}").parse().expect("a name"),
        born: StartMillis::default(),
        service: service(),
        address: (host(group, rank), 80).into(),
        zone: "a".parse().expect("a name"),
        slots: RANK_LIMIT,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    }
}

fn loads(group: usize, requests: u32, pass: GroupPass) -> GroupLoads {
    let ranks = (0..RANKS).map(|rank| RankLoad { host: host(group, rank), requests, silent: false });
    GroupLoads { revision: LoadRevision(1), pass, ranks: ranks.collect(), ..GroupLoads::default() }
}

/// A balancer with reports from all groups at time 0.
fn balancer(seed: u64, passes: [GroupPass; GROUPS]) -> LoadBalancer {
    let mut registry = TargetRegistry::default();
    let ranks = (0..GROUPS).flat_map(|group| (0..RANKS).map(move |rank| (group, rank)));
    registry.apply_listing(ranks.map(|(group, rank)| record(group, rank)), None);
    let settings = BalancerSettings::builder()
        .zone("a".parse().expect("a name"))
        .per_rank(3)
        .rank_limit(RANK_LIMIT)
        .seed(seed)
        .build();
    let mut balancer = LoadBalancer::new(settings);
    balancer.sync(&registry);
    for (group, pass) in passes.into_iter().enumerate() {
        balancer.update_loads(&loads(group, 4, pass), UnixMillis(0));
    }
    balancer
}

/// Sends one request and ends it at once; returns its group.
fn send_one(balancer: &mut LoadBalancer, now: u64) -> usize {
    let chosen = balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(now));
    let record = chosen.expect("there is room").record;
    balancer.ended(&record.life(), RequestWork::default(), SendOutcome::Answered(10.0), UnixMillis(now));
    let group = record.id.as_str().trim_start_matches('t').split('-').next().expect("a group");
    group.parse().expect("a number")
}

/// Number of requests by group: 30 from each of 20 processes.
fn requests_by_group(passes: [GroupPass; GROUPS], now: u64) -> [usize; GROUPS] {
    let mut counts = [0; GROUPS];
    for seed in 0..20 {
        let mut balancer = balancer(seed, passes);
        for _request in 0..30 {
            counts[send_one(&mut balancer, now)] += 1;
        }
    }
    counts
}

#[test]
fn equal_groups_get_equal_load() {
    let counts = requests_by_group([TYPICAL_PASS; GROUPS], 10);
    assert!(counts.iter().all(|count| (150..250).contains(count)), "{counts:?}");
}

#[test]
fn group_slower_by_factor_12_gets_no_requests() {
    let counts = requests_by_group([TYPICAL_PASS, GroupPass::Millis(600), TYPICAL_PASS], 10);
    assert_eq!(counts[1], 0, "{counts:?}");
}

#[test]
fn slightly_slow_group_gets_fewer_requests() {
    let counts = requests_by_group([TYPICAL_PASS, GroupPass::Millis(90), TYPICAL_PASS], 10);
    assert!(counts[1] > 0 && counts[1] < counts[0], "{counts:?}");
}

/// A rank that is slower by a factor of 12 stretches the passes of a lightly loaded group to some
/// 270 ms, which makes all its streams late.
#[test]
fn late_group_gets_no_requests_while_others_have_room() {
    assert_eq!(requests_by_group([TYPICAL_PASS, GroupPass::Millis(270), TYPICAL_PASS], 10)[1], 0);
}

/// Both pass times are in time, and their measurement has errors.
#[test]
fn groups_with_good_pass_times_are_equal() {
    let counts = requests_by_group([TYPICAL_PASS, GroupPass::Millis(75), TYPICAL_PASS], 10);
    assert!(counts.iter().all(|count| (150..250).contains(count)), "{counts:?}");
}

#[test]
fn broken_group_gets_no_requests() {
    assert_eq!(requests_by_group([TYPICAL_PASS, TYPICAL_PASS, GroupPass::Broken], 10)[2], 0);
}

#[test]
fn all_groups_get_requests_if_all_have_stalled() {
    let counts = requests_by_group([GroupPass::Millis(900); GROUPS], 10);
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}

/// Groups 1 and 2 send neither events nor reports: their link is cut, or they have stalled.
#[test]
fn silent_group_gets_no_requests() {
    for seed in 0..20 {
        let mut balancer = balancer(seed, [TYPICAL_PASS; GROUPS]);
        balancer.update_loads(&loads(0, 4, TYPICAL_PASS), UnixMillis(700));
        let groups: Vec<usize> = (0..30).map(|_request| send_one(&mut balancer, 700)).collect();
        assert_eq!(groups, [0; 30]);
    }
}

#[test]
fn groups_stay_distinct_when_rank_moves() {
    let mut balancer = balancer(1, [TYPICAL_PASS; GROUPS]);
    let mut grown = loads(1, 4, TYPICAL_PASS);
    grown.ranks.insert(0, RankLoad { host: host(0, 0), requests: 4, silent: false });
    let mut shrunk = loads(0, 4, GroupPass::Broken);
    shrunk.ranks.remove(0);
    balancer.update_loads(&grown, UnixMillis(10));
    balancer.update_loads(&shrunk, UnixMillis(10));
    let groups: Vec<usize> = (0..60).map(|_request| send_one(&mut balancer, 20)).collect();
    assert!(groups.contains(&1) && groups.contains(&2), "{groups:?}");
    assert!(groups.iter().filter(|group| **group == 0).count() < 20, "only the rank that moved: {groups:?}");
}

/// An event from one target describes its group, even if the reporting process has gone.
#[test]
fn events_show_that_group_without_reports_works() {
    let mut balancer = balancer(1, [TYPICAL_PASS; GROUPS]);
    for group in 0..2 {
        balancer.update_loads(&loads(group, 4, TYPICAL_PASS), UnixMillis(700));
    }
    balancer.event_received(&record(2, 5), UnixMillis(690));
    let groups: Vec<usize> = (0..60).map(|_request| send_one(&mut balancer, 700)).collect();
    assert!(groups.contains(&2), "{groups:?}");
}

/// The reports of a group may never resume, because the process that made them has gone.
#[test]
fn silent_group_gets_occasional_probes() {
    let mut balancer = balancer(1, [TYPICAL_PASS; GROUPS]);
    let mut probes = 0;
    for now in (2_000..8_000).step_by(50) {
        for group in 0..2 {
            balancer.update_loads(&loads(group, 4, TYPICAL_PASS), UnixMillis(now));
        }
        probes += usize::from(send_one(&mut balancer, now) == 2);
    }
    assert!((1..=3).contains(&probes), "{probes} in 6 s");
}

#[test]
fn group_change_is_reported_once() {
    let mut balancer = balancer(1, [TYPICAL_PASS; GROUPS]);
    send_one(&mut balancer, 10);
    balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(10)).expect("there is room");
    let mut changes = |pass, at| {
        (0..GROUPS).for_each(|group| balancer.update_loads(&loads(group, 4, TYPICAL_PASS), UnixMillis(at)));
        balancer.update_loads(&loads(1, 4, pass), UnixMillis(at));
        let changes = balancer.group_changes(&service(), UnixMillis(at));
        changes.iter().map(|group| (group.index.as_usize(), group.status.stalled)).collect::<Vec<_>>()
    };
    assert_eq!(changes(TYPICAL_PASS, 20), []);
    assert_eq!(changes(GroupPass::Broken, 30), [(1, true)]);
    assert_eq!(changes(GroupPass::Broken, 40), []);
    assert_eq!(changes(TYPICAL_PASS, 50), [(1, false)]);
}

/// Guards against an estimate by a single pass, for example one that a switch of maps held.
#[test]
fn steady_pass_leaves_out_peaks() {
    let mut balancer = balancer(1, [TYPICAL_PASS; GROUPS]);
    let target = record(0, 0).life();
    let steady = |balancer: &LoadBalancer, now| balancer.steady_pass(&target, UnixMillis(now));
    balancer.update_loads(&loads(0, 4, GroupPass::Millis(300)), UnixMillis(200));
    assert_eq!(steady(&balancer, 200), Some(SteadyPass::new(50)));
    balancer.update_loads(&loads(0, 4, GroupPass::Millis(280)), UnixMillis(500));
    assert_eq!(steady(&balancer, 500), Some(SteadyPass::new(280)), "it is slow for long");
    balancer.update_loads(&loads(0, 4, GroupPass::Unknown), UnixMillis(600));
    assert_eq!(steady(&balancer, 600), None);
    assert_eq!(balancer.steady_pass(&record(1, 0).life(), UnixMillis(600)), None, "no report for long");
}
