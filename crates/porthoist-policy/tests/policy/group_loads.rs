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
fn choose_rank(balancer: &mut LoadBalancer, now: u64) -> Option<usize> {
    let chosen = balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(now))?;
    chosen.record.id.as_str().trim_start_matches('t').parse().ok()
}

#[test]
fn rank_filled_by_others_gets_no_requests() {
    let mut balancer = balancer(3, 1);
    balancer.update_loads(&loads(&[RANK_LIMIT, 0, RANK_LIMIT]), UnixMillis(0));
    let placed: Vec<Option<usize>> =
        (0..=RANK_LIMIT).map(|_request| choose_rank(&mut balancer, 10)).collect();
    assert_eq!(placed[..8], [Some(1); 8], "more than the process would send of itself");
    assert_eq!(placed[8], None, "all are full");
}

#[test]
fn own_requests_in_report_count_once() {
    let mut balancer = balancer(1, 1);
    assert_eq!(choose_rank(&mut balancer, 0), Some(0));
    balancer.update_loads(&loads(&[RANK_LIMIT]), UnixMillis(10));
    assert_eq!(choose_rank(&mut balancer, 10), None);
    balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Answered(1.0), UnixMillis(20));
    assert_eq!(choose_rank(&mut balancer, 20), Some(0), "the others have seven there");
    assert_eq!(choose_rank(&mut balancer, 20), None);
}

#[test]
fn choice_contains_reported_load_and_its_age() {
    let mut balancer = balancer(1, 1);
    balancer.update_loads(&loads(&[4]), UnixMillis(100));
    let mut chosen = |now| balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(now));
    let report = |requests, age_millis| Some(ReportedRequests { requests, age_millis });
    assert_eq!(chosen(130).expect("there is room").report, report(4, 30));
    assert_eq!(chosen(150).expect("there is room").report, report(5, 50));
    assert_eq!(chosen(100 + REPORT_VALIDITY_MILLIS).expect("there is room").report, None);
}

#[test]
fn expired_report_is_ignored() {
    let mut balancer = balancer(2, 1);
    balancer.update_loads(&loads(&[RANK_LIMIT, RANK_LIMIT]), UnixMillis(0));
    assert_eq!(choose_rank(&mut balancer, REPORT_VALIDITY_MILLIS - 1), None);
    assert!(
        choose_rank(&mut balancer, REPORT_VALIDITY_MILLIS).is_some(),
        "it uses only its own requests again"
    );
}

/// Guards against hiding the requests that this process sent between the reading and the arrival of its
/// report: they are not in the reported number, and a rank that seems free gets too many.
#[test]
fn own_requests_sent_after_reading_are_added() {
    let mut balancer = balancer(1, 1);
    assert_eq!(choose_rank(&mut balancer, 100), Some(0));
    assert_eq!(choose_rank(&mut balancer, 160), Some(0));
    assert_eq!(choose_rank(&mut balancer, 180), Some(0));
    // The reading at 150 contains the first request and four of others.
    balancer.update_loads(&GroupLoads { age_millis: 50, ..loads(&[5]) }, UnixMillis(200));
    let chosen = balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(210));
    let report = chosen.and_then(|chosen| chosen.report);
    assert_eq!(report, Some(ReportedRequests { requests: 7, age_millis: 60 }));
    assert_eq!(choose_rank(&mut balancer, 210), None, "the limit of {RANK_LIMIT} is reached");
}

/// Guards against counting requests that the reading contains as other processes' after they have ended:
/// the rank would seem fuller than it is until the next report.
#[test_case(170, 5; "ended before the report arrived")]
#[test_case(205, 5; "ended after the report arrived")]
#[test_case(140, 6; "ended before the reading")]
fn own_requests_that_ended_since_reading_are_not_counted(ended: u64, others: u32) {
    let mut balancer = balancer(1, 1);
    assert_eq!(choose_rank(&mut balancer, 100), Some(0));
    let end = |balancer: &mut LoadBalancer| {
        balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Answered(1.0), UnixMillis(ended));
    };
    if ended < 200 {
        end(&mut balancer);
    }
    balancer.update_loads(&GroupLoads { age_millis: 50, ..loads(&[6]) }, UnixMillis(200));
    if ended >= 200 {
        end(&mut balancer);
    }
    let chosen = balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(210));
    let report = chosen.and_then(|chosen| chosen.report);
    assert_eq!(report.map(|report| report.requests), Some(others));
}

/// A report is valid for the same time after its arrival, however old its reading is: groups with slow passes
/// would otherwise have no valid reports.
#[test]
fn report_of_old_reading_is_valid_from_its_arrival() {
    let mut balancer = balancer(1, 1);
    balancer.update_loads(&GroupLoads { age_millis: 900, ..loads(&[RANK_LIMIT]) }, UnixMillis(1_000));
    assert_eq!(choose_rank(&mut balancer, 1_000 + REPORT_VALIDITY_MILLIS - 1), None);
    assert!(choose_rank(&mut balancer, 1_000 + REPORT_VALIDITY_MILLIS).is_some());
}

/// Guards against a history that grows with the number of requests, and against a wrong count once it is
/// full: the oldest remembered number stands for all earlier ones.
#[test]
fn number_in_reading_is_known_after_many_requests() {
    let mut balancer = balancer(1, 1);
    for at in 0..1_000 {
        assert_eq!(choose_rank(&mut balancer, at), Some(0));
        balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Answered(1.0), UnixMillis(at));
    }
    assert_eq!(choose_rank(&mut balancer, 1_000), Some(0));
    balancer.update_loads(&GroupLoads { age_millis: 5, ..loads(&[4]) }, UnixMillis(1_000));
    let chosen = balancer.choose(&service(), true, RequestWork::default(), &[], UnixMillis(1_001));
    let report = chosen.and_then(|chosen| chosen.report);
    assert_eq!(report.map(|report| report.requests), Some(5), "the last one was sent after the reading");
}

/// Guards against processes that all choose the least loaded rank: forty processes see the same report
/// and send two requests each, and every rank must end near the common level.
#[test]
fn processes_with_same_report_choose_different_ranks() {
    let ranks = 63;
    let before: Vec<u32> = (0..ranks as u32).map(|rank| if rank == 0 { 0 } else { 4 + rank % 3 }).collect();
    let mut after = before.clone();
    for process in 0..40 {
        let mut balancer = balancer(ranks, process);
        balancer.update_loads(&loads(&before), UnixMillis(0));
        for _request in 0..2 {
            after[choose_rank(&mut balancer, 10).expect("there is room")] += 1;
        }
    }
    let most = after.iter().max().copied().unwrap_or_default();
    // The common level is six to seven. If all forty processes chose the least loaded rank, it would
    // reach forty.
    assert!(most <= 10, "{after:?}");
    assert!(after[0] > before[0], "the empty rank gets some");
}

#[test]
fn rank_without_report_counts_as_mean_of_others() {
    let mut balancer = balancer(4, 1);
    balancer
        .update_loads(&GroupLoads { ranks: loads(&[4, 2]).ranks, ..GroupLoads::default() }, UnixMillis(0));
    let mut placed = [0; 4];
    while let Some(rank) = choose_rank(&mut balancer, 10) {
        placed[rank] += 1;
    }
    let room = |others: u32| (RANK_LIMIT - others) as usize;
    assert_eq!(placed, [room(4), room(2), room(3), room(3)]);
}

#[test]
fn silent_rank_gets_requests_only_when_others_are_full() {
    let mut balancer = balancer(2, 1);
    let silent = RankLoad { silent: true, ..loads(&[0]).ranks[0] };
    let ranks = vec![silent, loads(&[0, 0]).ranks[1]];
    balancer.update_loads(&GroupLoads { ranks, ..GroupLoads::default() }, UnixMillis(0));
    let placed: Vec<Option<usize>> = (0..3).map(|_request| choose_rank(&mut balancer, 10)).collect();
    assert_eq!(placed, [Some(1); 3]);
    let later: Vec<Option<usize>> = (0..13).map(|_request| choose_rank(&mut balancer, 10)).collect();
    assert_eq!(later.iter().filter(|rank| **rank == Some(0)).count(), RANK_LIMIT as usize);
}

#[test]
fn rank_that_sheds_gets_no_requests_until_next_report() {
    let mut balancer = balancer(2, 1);
    balancer.update_loads(&loads(&[0, 5]), UnixMillis(0));
    assert_eq!(choose_rank(&mut balancer, 10), Some(0));
    balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Shed, UnixMillis(20));
    assert_eq!([choose_rank(&mut balancer, 30), choose_rank(&mut balancer, 30)], [Some(1); 2]);
    balancer.update_loads(&loads(&[0, 8]), UnixMillis(100));
    assert_eq!(choose_rank(&mut balancer, 110), Some(0));
}

/// Guards against counting the last loads of a broken group as new: its reports repeat the last known
/// loads.
#[test]
fn report_of_broken_group_does_not_refresh_its_loads() {
    let mut balancer = balancer(1, 1);
    balancer.update_loads(&loads(&[RANK_LIMIT - 1]), UnixMillis(0));
    assert_eq!(choose_rank(&mut balancer, 10), Some(0));
    let broken = GroupLoads { pass: GroupPass::Broken, ..loads(&[RANK_LIMIT - 1]) };
    balancer.update_loads(&broken, UnixMillis(20));
    assert_eq!(choose_rank(&mut balancer, 30), None, "the reported loads don't include the own request");
}

/// One of six processes, whose group has stalled: it sends no more than its share until reports resume.
#[test]
fn process_without_reports_keeps_to_its_usual_share() {
    let mut balancer = balancer(2, 1);
    for _request in 0..4 {
        choose_rank(&mut balancer, 0);
    }
    for report in 0..100 {
        balancer.update_loads(&loads(&[12, 12]), UnixMillis(report * 100));
    }
    let expired = UnixMillis(10_000 + REPORT_VALIDITY_MILLIS);
    assert_eq!(
        choose_rank(&mut balancer, expired.0),
        None,
        "a sixth of {RANK_LIMIT} is two at each, and four are there"
    );
    balancer.ended(&life("t0"), RequestWork::default(), SendOutcome::Abandoned, expired);
    assert_eq!(choose_rank(&mut balancer, expired.0), Some(0));
}

/// The load of a slow rank, where an empty step takes as long as five requests.
#[test_case(4, 1_000, 4; "healthy")]
#[test_case(0, 1_600, 3; "somewhat slow")]
#[test_case(4, 1_600, 9; "somewhat slow and busy")]
#[test_case(0, 12_000, 55; "so slow that it gets nothing")]
fn slow_rank_counts_as_more_loaded(requests: u32, pace: u32, expected: u32) {
    assert_eq!(equivalent_requests(requests, 5.0, RankPace(pace)), expected);
}
