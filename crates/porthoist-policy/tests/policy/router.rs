//! Tests of target selection.

use porthoist_core::{
    AttemptId, IncarnationId, LoadReport, RefusalReason, RequestId, ServiceName, TargetName, UnixDeadline,
    UnixMillis,
};
use porthoist_policy::router::{RouteQuery, RouteTarget, Router, RouterSettings};

fn name(index: usize) -> TargetName {
    format!("t{index}").parse().unwrap()
}

fn service() -> ServiceName {
    "refunds".parse().unwrap()
}

fn load(at: u64, queued_tokens: u64) -> LoadReport {
    LoadReport {
        slots: 8,
        slot_micros: 10_000,
        prefill_rate: 10_000,
        step_micros: 4500,
        queued_tokens,
        at: UnixMillis(at),
        ..LoadReport::default()
    }
}

fn router(targets: usize) -> Router {
    let mut router = Router::new(RouterSettings::builder().zone("a".parse().unwrap()).build());
    for index in 0..targets {
        let zone = if index == 0 { "a" } else { "b" };
        router.upsert(RouteTarget {
            name: name(index),
            zone: zone.parse().unwrap(),
            services: vec![service()],
            weight: 1.0,
            leaving: false,
        });
        router.report(&name(index), load(1, 0));
    }
    router
}

fn query<'a>(service: &'a ServiceName, blocks: &'a [u64], exclude: &'a [TargetName]) -> RouteQuery<'a> {
    RouteQuery {
        service,
        now: UnixMillis(1),
        deadline: UnixDeadline(UnixMillis(2000)),
        prompt_tokens: blocks.len() as u32 * 64,
        prefix_blocks: blocks,
        exclude,
    }
}

fn chosen(router: &mut Router, blocks: &[u64], exclude: &[TargetName]) -> Result<TargetName, RefusalReason> {
    router.choose(&query(&service(), blocks, exclude)).map(|choice| choice.target)
}

#[test]
fn own_zone_is_preferred() {
    assert_eq!(chosen(&mut router(3), &[], &[]), Ok(name(0)));
}

#[test]
fn unusable_targets_are_not_chosen() {
    let mut router = router(3);
    router.set_leaving(&name(0), true);
    assert_eq!(chosen(&mut router, &[], &[name(1)]), Ok(name(2)));
    assert_eq!(chosen(&mut router, &[], &[name(1), name(2)]), Err(RefusalReason::NoTarget));
    let other: ServiceName = "vouchers".parse().unwrap();
    assert_eq!(router.choose(&query(&other, &[], &[])).unwrap_err(), RefusalReason::NoTarget);
}

#[test]
fn cached_prefix_attracts_requests_until_queue_is_long() {
    let mut router = router(3);
    let blocks: Vec<u64> = (0..30).collect();
    router.cache_events(&name(2), &blocks, &[]);
    assert_eq!(chosen(&mut router, &blocks, &[]), Ok(name(2)));
    router.report(&name(2), load(2, 100_000));
    assert_eq!(chosen(&mut router, &blocks, &[]), Ok(name(0)));
}

#[test]
fn older_report_is_ignored() {
    let mut router = router(2);
    router.report(&name(0), load(10, 0));
    router.report(&name(0), load(5, 1_000_000));
    assert_eq!(chosen(&mut router, &[], &[]), Ok(name(0)));
}

#[test]
fn work_sent_since_report_counts_until_first_token() {
    let mut router = router(2);
    let blocks: Vec<u64> = (0..30).collect();
    let attempt = AttemptId { entry: IncarnationId(1), request: RequestId(1), attempt: 0 };
    router.sent(UnixMillis(2), &name(0), attempt, &query(&service(), &blocks, &[]));
    let others: Vec<u64> = (100..102).collect();
    assert_eq!(chosen(&mut router, &others, &[]), Ok(name(1)));
    router.first_token(UnixMillis(400), &name(0), attempt);
    assert_eq!(chosen(&mut router, &others, &[]), Ok(name(0)));
}

#[test]
fn unreachable_target_is_avoided_while_another_is_usable() {
    let mut router = router(2);
    router.unreachable(UnixMillis(1), &name(0));
    assert_eq!(chosen(&mut router, &[], &[]), Ok(name(1)));
    assert_eq!(chosen(&mut router, &[], &[name(1)]), Ok(name(0)), "better than none");
}
