//! The requests that crashed targets, as shown to operators.

use porthoist_cli::cmd::quarantine::{find_mark, quarantine_text};
use porthoist_core::UnixMillis;
use porthoist_policy::proxy::quarantine::{CrashKey, CrashReport, CrashRows};

const FIRST: &str = "0123456789abcdef0123456789abcdef0000000000000001";
const OTHER: &str = "0177777789abcdef0123456789abcdef0000000000000002";

const PART: &str = "p89abcdef0123456789abcdef01234567";

fn rows() -> CrashRows {
    let row = |mark: &str, target: &str, died: u64| {
        let key: CrashKey = format!("{mark}/{target}").parse().unwrap();
        (key, CrashReport { died: UnixMillis(died), ranked: true, by: "entry-1".into(), ambiguous: false })
    };
    CrashRows::from([
        row(OTHER, "i-9@0", 95_000),
        row(PART, "i-8@0", 95_000),
        row(FIRST, "i-1@0", 90_000),
        row(FIRST, "i-2@0", 98_000),
        row(FIRST, "i-3@0", 99_000),
    ])
}

#[test]
fn requests_and_parts_with_the_most_crashes_are_listed_first() {
    insta::assert_snapshot!(quarantine_text(&rows(), UnixMillis(100_000)), @r"
    mark          level       deaths  kept (s)  targets that died (seen by)
    0123456789ab  quarantined      3       599  i-1@0 (entry-1) i-2@0 (entry-1) i-3@0 (entry-1)
    0177777789ab  held             1        56  i-9@0 (entry-1)
    p89abcdef012  held             1        66  i-8@0 (entry-1)
    ");
    assert_eq!(quarantine_text(&rows(), UnixMillis(99_000_000)), "nothing is held or quarantined\n");
}

#[test]
fn a_unique_prefix_of_a_mark_identifies_its_request_or_part() {
    assert_eq!(find_mark(&rows(), "0123").unwrap(), FIRST.parse().unwrap());
    assert_eq!(find_mark(&rows(), "01").unwrap_err().to_string(), "\"01\" is ambiguous: it begins 2 marks");
    assert_eq!(find_mark(&rows(), "p89").unwrap(), PART.parse().unwrap());
    for digits in ["ff", ""] {
        let problem = find_mark(&rows(), digits).unwrap_err().to_string();
        assert_eq!(problem, format!("no crash is recorded under a mark {digits:?}"));
    }
}
