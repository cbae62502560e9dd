//! Division of open files between callers and everything else.

use porthoist_policy::proxy::file_bounds::{FileBounds, FileLimit};
use test_case::test_case;

/// Guards against callers that take the files which their own requests need at targets.
#[test_case(256, 96, 48; "few files")]
#[test_case(4_200, 2_068, 1_034; "a usual limit")]
#[test_case(0, 16, 16; "less than the reserve")]
#[test_case(64, 16, 16; "the reserve alone")]
fn callers_get_half_of_the_files_beyond_the_reserve(files: u64, callers: usize, idle_targets: usize) {
    assert_eq!(FileBounds::new(FileLimit(files)), FileBounds { callers, idle_targets });
}

#[test]
fn limit_without_bound_is_accepted() {
    let bounds = FileBounds::new(FileLimit(u64::MAX));
    assert!(bounds.callers > 1_000_000 && bounds.idle_targets > 1_000_000);
}

#[test_case("256 files", Some(256); "as written")]
#[test_case("256", Some(256); "a number")]
#[test_case("-1", None; "a negative number")]
#[test_case("many", None; "a word")]
fn limits_are_parsed_as_written(text: &str, expected: Option<u64>) {
    assert_eq!(text.parse::<FileLimit>().ok(), expected.map(FileLimit));
}
