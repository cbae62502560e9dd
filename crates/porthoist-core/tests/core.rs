//! Identifiers, tickets and rings.

use porthoist_core::*;
use proptest::prelude::*;
use test_case::test_case;

#[test_case("refunds" => true; "plain")]
#[test_case("a b" => false; "space")]
#[test_case("" => false; "empty")]
#[test_case("a:b" => false; "colon")]
fn names(text: &str) -> bool {
    text.parse::<TargetName>().is_ok()
}

#[test]
fn ticket_is_bound_to_team_and_key() {
    let key = TicketKey::new([7; 32]);
    let target: TargetName = "t1".parse().unwrap();
    let team: TeamName = "border".parse().unwrap();
    let ticket = key.mint(&target, IncarnationId(3), 1, UnixDeadline(UnixMillis(9)), &team);
    let copy: TicketText = ticket.to_string().parse().unwrap();
    assert_eq!(copy, ticket);
    assert!(key.signed(&copy, &team));
    assert!(!key.signed(&copy, &"other".parse().unwrap()));
    assert!(!TicketKey::new([8; 32]).signed(&copy, &team));
}

proptest! {
    #[test]
    fn ticket_parser_never_panics(text in ".{0,200}") {
        let _ = text.parse::<TicketText>();
    }

    #[test]
    fn attempt_round_trips(entry: u64, request: u64, attempt: u32) {
        let id = AttemptId { entry: IncarnationId(entry), request: RequestId(request), attempt };
        prop_assert_eq!(id.to_string().parse::<AttemptId>().unwrap(), id);
    }
}

#[tokio::test]
async fn ring_refuses_when_full_and_ends_when_abandoned() {
    let (mut sender, mut receiver) = bounded_ring(1);
    sender.try_send(1).unwrap();
    assert_eq!(sender.try_send(2).unwrap_err().0, 2);
    assert_eq!(receiver.receive().await, Some(1));
    drop(sender);
    assert_eq!(receiver.receive().await, None);
}
