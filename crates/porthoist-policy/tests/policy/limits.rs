//! Tests of team limits.

use porthoist_core::{RefusalReason, RequestRate, TeamName, UnixMillis};
use porthoist_policy::limits::coordinator::LimitCoordinator;
use porthoist_policy::limits::{EntryLimiter, IDLE_MILLIS, LAZY_SETTLE_MILLIS, TeamLimit};

fn team() -> TeamName {
    "border".parse().unwrap()
}

fn limit(rate: f64, concurrency: u32) -> TeamLimit {
    TeamLimit { rate: RequestRate(rate), concurrency }
}

/// Sends more requests than the limit allows for some seconds, a tenth of them through the second of two entries.
fn admitted_by_two_entries(coordinator_reachable: bool, seconds: u64) -> u64 {
    let limit = limit(100.0, 1000);
    let mut entries = [EntryLimiter::new(2), EntryLimiter::new(2)];
    let mut coordinator = LimitCoordinator::new();
    let mut admitted = 0;
    for now in 0..seconds * 1000 {
        let now = UnixMillis(10_000 + now);
        let entry = usize::from(now.0.is_multiple_of(10));
        if now.0.is_multiple_of(3) && entries[entry].admit(now, &team(), limit).is_ok() {
            entries[entry].release(&team());
            admitted += 1;
        }
        for limiter in &mut entries {
            for (name, ask) in limiter.due(now) {
                if coordinator_reachable {
                    let reply = coordinator.settle(now, ask, limit);
                    limiter.settled(now, &name, ask, reply);
                } else {
                    limiter.coordinator_unreachable(now, &name);
                }
            }
        }
    }
    admitted
}

#[test]
fn unevenly_spread_team_gets_its_limit_and_no_more() {
    let admitted = admitted_by_two_entries(true, 20);
    assert!((1980..=2150).contains(&admitted), "{admitted} of 2000");
}

#[test]
fn entry_without_coordinator_uses_its_fair_share() {
    let admitted = admitted_by_two_entries(false, 20);
    assert!((1000..=2100).contains(&admitted), "{admitted} of 2000");
}

#[test]
fn team_with_rate_zero_is_refused() {
    let mut entry = EntryLimiter::new(1);
    let refused = entry.admit(UnixMillis(0), &team(), limit(0.0, 10)).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::RateLimit);
}

#[test]
fn concurrency_is_shared_between_entries_and_released() {
    let mut entry = EntryLimiter::new(2);
    let limit = limit(1000.0, 3);
    entry.admit(UnixMillis(0), &team(), limit).unwrap();
    entry.admit(UnixMillis(0), &team(), limit).unwrap();
    let refused = entry.admit(UnixMillis(0), &team(), limit).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::ConcurrencyLimit);
    entry.release(&team());
    entry.admit(UnixMillis(0), &team(), limit).unwrap();
}

#[test]
fn idle_teams_are_dropped() {
    let mut entry = EntryLimiter::new(1);
    entry.admit(UnixMillis(0), &team(), limit(10.0, 3)).unwrap();
    entry.release(&team());
    let settled_at = UnixMillis(LAZY_SETTLE_MILLIS);
    let due = entry.due(settled_at);
    assert_eq!(due.len(), 1, "the debt is settled before the team is forgotten");
    for (name, ask) in due {
        let reply = LimitCoordinator::new().settle(settled_at, ask, limit(10.0, 3));
        entry.settled(settled_at, &name, ask, reply);
    }
    entry.forget_idle(settled_at.plus(IDLE_MILLIS));
    assert_eq!(entry.teams(), 0);
}
