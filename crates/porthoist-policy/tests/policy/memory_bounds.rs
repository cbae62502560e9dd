//! Division of memory between what callers make a process hold and everything else.

use porthoist_policy::proxy::memory_bounds::{MemoryBounds, MemoryBoundsError, MemorySize};
use test_case::test_case;

const SMALL_HOST: MemorySize = MemorySize(160_000_000);

/// Guards against bounds that together exceed the memory, and against too few connections for ordinary callers.
#[test_case(SMALL_HOST, None, 80_000_000, 1_220; "the smallest host")]
#[test_case(MemorySize(512_000_000), None, 256_000_000, 3_906; "a larger host")]
#[test_case(SMALL_HOST, Some(64_000_000), 64_000_000, 1_464; "a given bound")]
#[test_case(SMALL_HOST, Some(120_000_000), 120_000_000, 610; "three quarters")]
#[test_case(SMALL_HOST, Some(0), 0, 2_441; "no bound")]
#[test_case(MemorySize(0), None, 0, 16; "no memory")]
fn memory_is_divided(memory: MemorySize, given: Option<u64>, held_bytes: u64, connections: usize) {
    assert_eq!(MemoryBounds::new(memory, given), Ok(MemoryBounds { held_bytes, connections }));
}

#[test]
fn bound_that_leaves_too_little_is_an_error() {
    let error = MemoryBounds::new(SMALL_HOST, Some(120_000_001)).unwrap_err();
    assert_eq!(error, MemoryBoundsError { held_bytes: 120_000_001, memory: SMALL_HOST });
    assert_eq!(error.to_string(), "120000001 bytes are more than three quarters of 160 MB");
}

#[test_case("160 MB", Some(160_000_000); "as written")]
#[test_case("160", Some(160_000_000); "a number")]
#[test_case("-1", None; "a negative number")]
#[test_case("160 GB", None; "another unit")]
#[test_case("99999999999999999", None; "more than can be counted")]
fn sizes_are_parsed_as_written(text: &str, expected: Option<u64>) {
    assert_eq!(text.parse::<MemorySize>().ok(), expected.map(MemorySize));
}
