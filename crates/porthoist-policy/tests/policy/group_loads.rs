//! Load balancing by the loads that a group's engines report.

use porthoist_core::{ServiceName, StartMillis, TargetName, UnixMillis};
use porthoist_policy::proxy::balancer::{
    BalancerSettings, LoadBalancer, ReportedRequests, RequestWork, SendOutcome,
};
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::group_loads::{
    GroupLoads, LoadRevision, REPORT_VALIDITY_MILLIS, RankLoad, equivalent_requests,
};
use porthoist_policy::proxy::pass_time::GroupPass;
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::roll_forward::RankPace;
use std::net::Ipv4Addr;
use test_case::test_case;

const PER_RANK: u32 = 3;
const RANK_LIMIT: u32 = 8;

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn host(rank: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, rank as u8)
}

fn life(id: &str) -> TargetLife {
    TargetLife::from(id.parse::<TargetName>().unwrap())
}

fn balancer(ranks: usize, seed: u64) -> LoadBalancer {
    let record = |rank: usize| TargetRecord {
        id: format!("t{rank}").parse().unwrap(),
        born: StartMillis::default(),
        service: service(),
        address: (host(rank), 80).into(),
        zone: "a".parse().unwrap(),
        slots: 12,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    };
    let mut registry = TargetRegistry::default();
    registry.apply_listing((0..ranks).map(record), None);
    let settings = BalancerSettings::builder()
        .zone("a".parse().unwrap())
        .per_rank(PER_RANK)
        .rank_limit(RANK_LIMIT)
        .seed(seed)
        .build();
    let mut balancer = LoadBalancer::new(settings);
    balancer.sync(&registry);
    balancer
}

fn loads(requests: &[u32]) -> GroupLoads {
    let ranks = requests.iter().enumerate();
    let ranks =
        ranks.map(|(rank, requests)| RankLoad { host: host(rank), requests: *requests, silent: false });
    GroupLoads { revision: LoadRevision(1), ranks: ranks.collect(), ..GroupLoads::default() }
}

/// Sends one request; returns its rank.
fn place(balancer: &mut LoadBalancer, now: u64) -> Option<usize> {
    let chosen = balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(now))?;
    chosen.record.id.as_str().trim_start_matches('t').parse().ok()
}

#[test]
fn a_rank_that_others_fill_gets_nothing() {
    let mut balancer = balancer(3, 1);
    balancer.update_loads(&loads(&[RANK_LIMIT, 0, RANK_LIMIT]), UnixMillis(0));
    let placed: Vec<Option<usize>> = (0..=RANK_LIMIT).map(|_request| place(&mut balancer, 10)).collect();
    assert_eq!(placed[..8], [Some(1); 8], "more than the process would send of itself");
    assert_eq!(placed[8], None, "all are full");
}

#[test]
fn own_requests_in_a_report_count_once() {
    let mut balancer = balancer(1, 1);
    assert_eq!(place(&mut balancer, 0), Some(0));
    balancer.update_loads(&loads(&[RANK_LIMIT]), UnixMillis(10));
    assert_eq!(place(&mut balancer, 10), None);
    balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Answered(1.0), UnixMillis(20));
    assert_eq!(place(&mut balancer, 20), Some(0), "the others have seven there");
    assert_eq!(place(&mut balancer, 20), None);
}

#[test]
fn a_choice_tells_what_was_reported_and_how_old_it_is() {
    let mut balancer = balancer(1, 1);
    balancer.update_loads(&loads(&[4]), UnixMillis(100));
    let mut chosen = |now| balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(now));
    let report = |requests, age_millis| Some(ReportedRequests { requests, age_millis });
    assert_eq!(chosen(130).expect("there is room").report, report(4, 30));
    assert_eq!(chosen(150).expect("there is room").report, report(5, 50));
    assert_eq!(chosen(100 + REPORT_VALIDITY_MILLIS).expect("there is room").report, None);
}

#[test]
fn an_old_report_counts_no_more() {
    let mut balancer = balancer(2, 1);
    balancer.update_loads(&loads(&[RANK_LIMIT, RANK_LIMIT]), UnixMillis(0));
    assert_eq!(place(&mut balancer, REPORT_VALIDITY_MILLIS - 1), None);
    assert!(place(&mut balancer, REPORT_VALIDITY_MILLIS).is_some(), "it uses only its own requests again");
}

/// Guards against processes that all choose the least loaded rank: forty processes see the same report
/// and send two requests each, and every rank must end near the common level.
#[test]
fn processes_that_see_the_same_report_do_not_choose_the_same_rank() {
    let ranks = 63;
    let before: Vec<u32> = (0..ranks as u32).map(|rank| if rank == 0 { 0 } else { 4 + rank % 3 }).collect();
    let mut after = before.clone();
    for process in 0..40 {
        let mut balancer = balancer(ranks, process);
        balancer.update_loads(&loads(&before), UnixMillis(0));
        for _request in 0..2 {
            after[place(&mut balancer, 10).expect("there is room")] += 1;
        }
    }
    let most = after.iter().max().copied().unwrap_or_default();
    // The common level is six to seven. If all forty processes chose the least loaded rank, it would
    // reach forty.
    assert!(most <= 10, "{after:?}");
    assert!(after[0] > before[0], "the empty rank gets some");
}

#[test]
fn a_rank_without_a_report_counts_as_the_mean_of_the_others() {
    let mut balancer = balancer(4, 1);
    balancer
        .update_loads(&GroupLoads { ranks: loads(&[4, 2]).ranks, ..GroupLoads::default() }, UnixMillis(0));
    let mut placed = [0; 4];
    while let Some(rank) = place(&mut balancer, 10) {
        placed[rank] += 1;
    }
    let taken = |others: u32| (RANK_LIMIT - others) as usize;
    assert_eq!(placed, [taken(4), taken(2), taken(3), taken(3)]);
}

#[test]
fn a_rank_whose_process_is_not_heard_gets_requests_only_where_the_others_are_full() {
    let mut balancer = balancer(2, 1);
    let silent = RankLoad { silent: true, ..loads(&[0]).ranks[0] };
    let ranks = vec![silent, loads(&[0, 0]).ranks[1]];
    balancer.update_loads(&GroupLoads { ranks, ..GroupLoads::default() }, UnixMillis(0));
    let placed: Vec<Option<usize>> = (0..3).map(|_request| place(&mut balancer, 10)).collect();
    assert_eq!(placed, [Some(1); 3]);
    let rest: Vec<Option<usize>> = (0..13).map(|_request| place(&mut balancer, 10)).collect();
    assert_eq!(rest.iter().filter(|rank| **rank == Some(0)).count(), RANK_LIMIT as usize);
}

#[test]
fn a_rank_that_says_it_is_full_gets_nothing_until_its_next_report() {
    let mut balancer = balancer(2, 1);
    balancer.update_loads(&loads(&[0, 5]), UnixMillis(0));
    assert_eq!(place(&mut balancer, 10), Some(0));
    balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Shed, UnixMillis(20));
    assert_eq!([place(&mut balancer, 30), place(&mut balancer, 30)], [Some(1); 2]);
    balancer.update_loads(&loads(&[0, 8]), UnixMillis(100));
    assert_eq!(place(&mut balancer, 110), Some(0));
}

/// Guards against counting the last loads of a broken group as new: its reports repeat the last known
/// loads.
#[test]
fn the_end_of_a_group_makes_its_last_loads_no_fresher() {
    let mut balancer = balancer(1, 1);
    balancer.update_loads(&loads(&[RANK_LIMIT - 1]), UnixMillis(0));
    assert_eq!(place(&mut balancer, 10), Some(0));
    let broken = GroupLoads { pass: GroupPass::Broken, ..loads(&[RANK_LIMIT - 1]) };
    balancer.update_loads(&broken, UnixMillis(20));
    assert_eq!(place(&mut balancer, 30), None, "the reported loads don't include the own request");
}

/// One of six processes, whose group has stalled: it sends no more than its share until reports resume.
#[test]
fn without_reports_a_process_keeps_to_its_usual_part() {
    let mut balancer = balancer(2, 1);
    for _request in 0..4 {
        place(&mut balancer, 0);
    }
    for report in 0..100 {
        balancer.update_loads(&loads(&[12, 12]), UnixMillis(report * 100));
    }
    let gone = UnixMillis(10_000 + REPORT_VALIDITY_MILLIS);
    assert_eq!(
        place(&mut balancer, gone.0),
        None,
        "a sixth of {RANK_LIMIT} is two at each, and four are there"
    );
    balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Abandoned, gone);
    assert_eq!(place(&mut balancer, gone.0), Some(0));
}

/// The load of a slow rank, where an empty step takes as long as five requests.
#[test_case(4, 1_000, 4; "healthy")]
#[test_case(0, 1_600, 3; "somewhat slow")]
#[test_case(4, 1_600, 9; "somewhat slow and busy")]
#[test_case(0, 12_000, 55; "so slow that it gets nothing")]
fn a_slow_rank_counts_as_fuller(requests: u32, pace: u32, expected: u32) {
    assert_eq!(equivalent_requests(requests, 5.0, RankPace(pace)), expected);
}
