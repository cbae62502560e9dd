//! Replay of the same calls to schedulers with and without rules for contended capacity.

use porthoist_core::{ServiceName, StartMillis, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::balancer::{BalancerSettings, RequestWork, SendOutcome};
use porthoist_policy::proxy::capacity::CapacityRule;
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::pass_time::GroupPass;
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotRequest};
use porthoist_policy::proxy::targets::{TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

const RANKS: u8 = 4;
const STEP_MILLIS: u64 = 10;
const STEPS: u64 = 4_000;

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn record(rank: u8) -> TargetRecord {
    TargetRecord {
        id: format!("t{rank}").parse().unwrap(),
        born: StartMillis::default(),
        service: service(),
        address: ([10, 0, 0, rank], 80).into(),
        zone: "a".parse().unwrap(),
        slots: 4,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    }
}

fn request(random: &mut Pcg64Mcg, now: UnixMillis) -> SlotRequest {
    let classes = [QueueClass::First, QueueClass::First, QueueClass::CallerRetry, QueueClass::Resent];
    SlotRequest {
        service: service(),
        ranked: true,
        work: RequestWork::default(),
        priority: random.random_range(0..3),
        tried: Vec::new(),
        arrival: now,
        latency_millis: 500,
        deadline: UnixDeadline::after(now, random.random_range(1_000..8_000)),
        class: classes[random.random_range(0..classes.len())],
    }
}

/// One line per decision for a service whose group stalls for 1 s to 6 s at a time.
fn replay(rules: &[&str]) -> Vec<String> {
    let mut registry = TargetRegistry::default();
    registry.apply_listing((0..RANKS).map(record), None);
    let settings = BalancerSettings::builder().zone("a".parse().unwrap()).per_rank(4).rank_limit(4).seed(7);
    let mut scheduler: RequestScheduler<u64> = RequestScheduler::new(settings.build());
    let rule = CapacityRule { pause_millis: Some(120), ..CapacityRule::default() };
    let rules = rules.iter().map(|name| (name.parse().unwrap(), rule.clone())).collect::<HashMap<_, _>>();
    scheduler.set_capacity_rules(rules);
    scheduler.sync(&registry);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut running: BTreeMap<(u64, u64), Arc<TargetRecord>> = BTreeMap::new();
    let mut lines = Vec::new();
    for step in 1..STEPS {
        let now = UnixMillis(1_000_000 + step * STEP_MILLIS);
        let cycle = step % 1_000;
        let stalled = (300..400).contains(&cycle) || (500..900).contains(&cycle) && step > 1_000;
        if step % 10 == 0 && step / 1_000 != 2 {
            let pass = if stalled { GroupPass::Millis(600) } else { GroupPass::Millis(60) };
            let host = |rank| RankLoad { host: [10, 0, 0, rank].into(), requests: 2, silent: false };
            let ranks = (0..RANKS).map(host).collect();
            let loads = GroupLoads { revision: LoadRevision(step), pass, ranks, ..GroupLoads::default() };
            scheduler.update_loads(&loads, now);
        }
        if !stalled {
            let done: Vec<(u64, u64)> =
                running.keys().take_while(|(end, _id)| *end <= step).copied().collect();
            for key in done {
                let target = running.remove(&key).unwrap();
                let outcome = SendOutcome::Answered(500.0);
                scheduler.ended(&service(), &target.life(), RequestWork::default(), outcome, 500, now);
            }
            for target in running.values() {
                scheduler.event_received(target, now);
            }
        }
        if random.random::<f64>() < 0.4 {
            let request = request(&mut random, now);
            let deadline = request.deadline;
            match scheduler.decide(&request, now) {
                SlotDecision::Assign(chosen) => {
                    lines.push(format!("{step} assign {}", chosen.record.id));
                    scheduler.first_event_received(&chosen.record, 150.0, now);
                    running.insert((step + 50, step), chosen.record);
                }
                SlotDecision::Wait(until) => {
                    lines.push(format!("{step} wait {}", until.0.0));
                    scheduler.enqueue(request, until.0.0);
                }
                SlotDecision::Refuse(error) => {
                    let point = random.random();
                    let delay = scheduler.retry_after_millis(&service(), deadline, point, now);
                    lines.push(format!("{step} refuse {error:?} {delay}"));
                }
            }
        }
        while let Some((waiter, chosen, _work)) =
            scheduler.next_ready(&service(), |until| *until > now.0, now)
        {
            lines.push(format!("{step} serve {waiter} {}", chosen.record.id));
            running.insert((step + 50, step + 1_000_000 * waiter), chosen.record);
        }
        for waiter in scheduler.take_unservable(&service(), now) {
            lines.push(format!("{step} drop {waiter}"));
        }
    }
    lines
}

/// Guards against changed decisions for services whose capacity is not divided. The digest is that of the
/// decisions before outages were planned.
#[test]
fn decisions_without_rule_are_unchanged() {
    let lines = replay(&[]);
    for kind in [" assign ", " wait ", " refuse Down ", " refuse Busy ", " serve "] {
        assert!(lines.iter().any(|line| line.contains(kind)), "no decision of the kind{kind}");
    }
    assert_eq!(replay(&["other"]), lines, "the rule of another service has no effect");
    assert_eq!((lines.len(), xxh3_64(lines.join("\n").as_bytes())), (2_144, 14_738_154_681_671_743_822));
    assert_ne!(replay(&["s"]), lines, "the replay shows an effect of the rule");
}
