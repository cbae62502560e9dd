//! Tests of configuration adoption and of the change history.

use porthoist_policy::adoption::{AdoptOutcome, ChangeHistory, ConfigChange, ConfigState};
use porthoist_policy::table::RowKey;

fn change(since: u64, revision: u64, rows: &[(&str, Option<u64>)]) -> ConfigChange<u64> {
    let rows = rows.iter().map(|(key, value)| (key.parse::<RowKey>().unwrap(), *value)).collect();
    ConfigChange { since, revision, rows }
}

#[test]
fn only_newer_changes_without_gap_are_adopted() {
    let mut state = ConfigState::default();
    assert!(!state.ready());
    assert_eq!(state.adopt(change(3, 4, &[("team/a", Some(1))])), AdoptOutcome::Gap);
    assert_eq!(state.adopt(change(0, 5, &[("team/a", Some(1)), ("team/b", Some(2))])), AdoptOutcome::Adopted);
    assert_eq!(state.adopt(change(0, 5, &[])), AdoptOutcome::Stale);
    assert_eq!(state.adopt(change(0, 4, &[])), AdoptOutcome::Stale);
    assert_eq!(state.adopt(change(5, 6, &[("team/a", None)])), AdoptOutcome::Adopted);
    assert_eq!(state.row(&"team/a".parse().unwrap()), None);
    assert_eq!(state.row(&"team/b".parse().unwrap()), Some(&2));
}

#[test]
fn history_merges_changes_and_drops_old_ones() {
    let mut history = ChangeHistory::new(2);
    assert!(history.since(1).is_none());
    history.push(change(1, 2, &[("team/a", Some(1))]));
    history.push(change(2, 3, &[("team/a", Some(5)), ("team/b", Some(2))]));
    assert_eq!(history.since(1), Some(change(1, 3, &[("team/a", Some(5)), ("team/b", Some(2))])));
    history.push(change(3, 4, &[("team/b", None)]));
    assert_eq!(history.since(1), None, "too old for the history");
    assert_eq!(history.since(2), Some(change(2, 4, &[("team/a", Some(5)), ("team/b", None)])));
}
