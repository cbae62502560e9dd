//! Tests of patches between values.

use porthoist_proxy::patch::ValuePatch;
use proptest::prelude::*;

fn team_records(records: usize, changed: Option<usize>) -> Vec<u8> {
    let record = |index: usize| {
        let name = if changed == Some(index) { "another" } else { "name" };
        format!("{{\"team\":\"{name}-{index}\",\"key\":\"{:x}\"}},", index * 2_654_435_761)
    };
    (0..records).map(record).collect::<String>().into_bytes()
}

#[test]
fn patch_of_a_small_change_is_small_at_any_value_size() {
    for records in [300, 3_000, 41_000] {
        let (earlier, value) = (team_records(records, None), team_records(records, Some(records / 2)));
        let patch = ValuePatch::new(3, &earlier, &value);
        assert!(patch.bytes() <= 2_048, "{} bytes for one change in {records} records", patch.bytes());
        assert_eq!(patch.apply(&earlier).as_deref(), Some(value.as_slice()));
    }
}

#[test]
fn patch_is_rejected_for_another_earlier_value() {
    let (earlier, value) = (team_records(300, None), team_records(300, Some(5)));
    let patch = ValuePatch::new(3, &earlier, &value);
    assert_eq!(patch.apply(&team_records(300, Some(200))), None);
    assert_eq!(patch.apply(&earlier[..earlier.len() / 2]), None);
    assert_eq!(patch.apply(&[]), None);
}

proptest! {
    #[test]
    fn patched_value_equals_the_new_value(earlier: Vec<u8>, value: Vec<u8>, cut in 0usize..4_096) {
        let joined: Vec<u8> = team_records(40, None).into_iter().take(cut).chain(value).collect();
        let before: Vec<u8> = team_records(40, None).into_iter().chain(earlier).collect();
        prop_assert_eq!(ValuePatch::new(1, &before, &joined).apply(&before), Some(joined));
    }
}
