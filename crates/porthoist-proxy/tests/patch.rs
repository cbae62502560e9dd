//! Tests of patches between values.

use porthoist_proxy::patch::ValuePatch;
use proptest::prelude::*;

fn text(records: usize, changed: Option<usize>) -> Vec<u8> {
    let record = |index: usize| {
        let name = if changed == Some(index) { "another" } else { "name" };
        format!("{{\"team\":\"{name}-{index}\",\"key\":\"{:x}\"}},", index * 2_654_435_761)
    };
    (0..records).map(record).collect::<String>().into_bytes()
}

#[test]
fn a_small_change_is_small_at_any_size() {
    for records in [300, 3_000, 41_000] {
        let (earlier, value) = (text(records, None), text(records, Some(records / 2)));
        let patch = ValuePatch::new(3, &earlier, &value);
        assert!(patch.bytes() <= 2_048, "{} bytes for one change in {records} records", patch.bytes());
        assert_eq!(patch.apply(&earlier).as_deref(), Some(value.as_slice()));
    }
}

#[test]
fn changes_to_another_value_are_noticed() {
    let (earlier, value) = (text(300, None), text(300, Some(5)));
    let patch = ValuePatch::new(3, &earlier, &value);
    assert_eq!(patch.apply(&text(300, Some(200))), None);
    assert_eq!(patch.apply(&earlier[..earlier.len() / 2]), None);
    assert_eq!(patch.apply(&[]), None);
}

proptest! {
    #[test]
    fn whatever_changes_is_told(earlier: Vec<u8>, value: Vec<u8>, cut in 0usize..4_096) {
        let joined: Vec<u8> = text(40, None).into_iter().take(cut).chain(value).collect();
        let before: Vec<u8> = text(40, None).into_iter().chain(earlier).collect();
        prop_assert_eq!(ValuePatch::new(1, &before, &joined).apply(&before), Some(joined));
    }
}
