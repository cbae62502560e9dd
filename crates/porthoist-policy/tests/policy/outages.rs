//! Tests of how long a row may be missing after an outage of the table service.

use porthoist_core::UnixMillis;
use porthoist_policy::proxy::outages::{AnswerGap, EndedOutages, OutageWitness, StalenessBound};
use test_case::test_case;

fn gap(asked: u64, returned: u64) -> AnswerGap {
    AnswerGap { asked: UnixMillis(asked), returned: UnixMillis(returned) }
}

/// Returns the end of the grace period and who noticed its outage.
fn grace(outages: EndedOutages, proven: u64, now: u64) -> Option<(u64, OutageWitness)> {
    let grace = outages.grace(StalenessBound::default(), Some(UnixMillis(proven)), UnixMillis(now));
    grace.map(|grace| (grace.end.0.0, grace.witness))
}

fn outages(gaps: impl IntoIterator<Item = (OutageWitness, AnswerGap)>) -> EndedOutages {
    let mut outages = EndedOutages::default();
    for (witness, gap) in gaps {
        outages.record(witness, gap);
    }
    outages
}

/// Guards against requests to a target that left while only a peer had an outage: it may have left right after the
/// row was last seen, and must get nothing new 2 s later, of which sending may take 0.6 s.
#[test_case(9_000, 10_000 => Some((10_400, OutageWitness::Peer)); "seen before the end of the outage")]
#[test_case(8_600, 10_000 => None; "seen too long ago")]
#[test_case(10_500, 10_600 => Some((11_700, OutageWitness::Peer)); "seen after the outage")]
fn outage_of_a_peer_permits_no_more_than_the_age_of_the_state(
    proven: u64,
    now: u64,
) -> Option<(u64, OutageWitness)> {
    grace(outages([(OutageWitness::Peer, gap(9_500, 10_000))]), proven, now)
}

/// Guards against requests to a target that left at a host whose connections have worked for 3 s again.
#[test_case(9_500 => Some((11_700, OutageWitness::Own)); "noticed soon")]
#[test_case(8_000 => Some((10_900, OutageWitness::Own)); "noticed late")]
#[test_case(7_000 => None; "noticed too late")]
fn own_outage_permits_no_more_than_lost_connections(asked: u64) -> Option<(u64, OutageWitness)> {
    grace(outages([(OutageWitness::Own, gap(asked, 10_000))]), 6_000, 10_000)
}

/// Guards against dropping rows that expired, if a peer notices the same outage.
#[test]
fn own_outage_counts_also_if_a_peer_reports_one() {
    let both = [(OutageWitness::Own, gap(9_500, 10_000)), (OutageWitness::Peer, gap(9_800, 10_100))];
    assert_eq!(grace(outages(both), 8_000, 10_100), Some((11_700, OutageWitness::Own)));
}

#[test]
fn earlier_outage_replaces_no_later_one() {
    let later = (OutageWitness::Own, gap(9_500, 10_000));
    let both = [later, (OutageWitness::Own, gap(1_000, 2_000))];
    assert_eq!(outages(both), outages([later]));
}
