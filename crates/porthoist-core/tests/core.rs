//! Identifiers, clocks, tickets and ring buffers.

use porthoist_core::*;
use proptest::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use test_case::test_case;

#[test_case("refunds" => true; "plain")]
#[test_case("a b" => false; "space")]
#[test_case("" => false; "empty")]
#[test_case("a:b" => false; "colon")]
fn names_consist_of_allowed_characters(text: &str) -> bool {
    text.parse::<TargetName>().is_ok()
}

/// The reading of the boot-time clock, in milliseconds.
static SINCE_BOOT: AtomicU64 = AtomicU64::new(7_000);

#[test]
fn the_clock_includes_suspended_time() {
    let clock = AnchoredClock::with_reading(|| Duration::from_millis(SINCE_BOOT.load(Ordering::Relaxed)));
    let before = clock.now();
    // The host was suspended: only the boot-time clock advances.
    SINCE_BOOT.store(12_500, Ordering::Relaxed);
    assert_eq!(clock.now().since(before), 5_500);
    assert!(UnixDeadline::after(before, 5_000).passed(clock.now()));
}

#[cfg(target_os = "linux")]
#[test]
fn the_default_clock_follows_the_boot_time_clock() {
    let uptime = || {
        let text = std::fs::read_to_string("/proc/uptime").unwrap();
        text.split(' ').next().unwrap().parse::<f64>().unwrap() * 1_000.0
    };
    let clock = AnchoredClock::new();
    let (before, began) = (uptime(), clock.now());
    std::thread::sleep(Duration::from_millis(50));
    let (uptime, clock) = (uptime() - before, clock.now().since(began) as f64);
    assert!((uptime - clock).abs() < 40.0, "{uptime} and {clock} ms");
}

#[test]
fn tickets_are_bound_to_team_and_key() {
    let key = TicketKey::new([7; 32]);
    let target: TargetName = "t1".parse().unwrap();
    let team: TeamName = "border".parse().unwrap();
    let ticket = key.mint(&target, IncarnationId(3), 1, UnixDeadline(UnixMillis(9)), &team);
    let copy: TicketText = ticket.to_string().parse().unwrap();
    assert_eq!(copy, ticket);
    assert!(key.verify(&copy, &team));
    assert!(!key.verify(&copy, &"other".parse().unwrap()));
    assert!(!TicketKey::new([8; 32]).verify(&copy, &team));
}

proptest! {
    #[test]
    fn ticket_parser_never_panics(text in ".{0,200}") {
        let _ = text.parse::<TicketText>();
    }

    #[test]
    fn attempt_ids_round_trip_through_text(entry: u64, request: u64, attempt: u32) {
        let id = AttemptId { entry: IncarnationId(entry), request: RequestId(request), attempt };
        prop_assert_eq!(id.to_string().parse::<AttemptId>().unwrap(), id);
    }
}

#[tokio::test]
async fn rings_reject_values_when_full_and_end_when_the_sender_is_dropped() {
    let (mut sender, mut receiver) = bounded_ring(1);
    sender.try_send(1).unwrap();
    assert_eq!(sender.try_send(2).unwrap_err().0, 2);
    assert_eq!(receiver.receive().await, Some(1));
    drop(sender);
    assert_eq!(receiver.receive().await, None);
}
