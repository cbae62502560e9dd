//! Runs every script in tests/scenarios twice. All expectations must hold, and both runs must give the same report.

use porthoist_scenario::{parse, run};
use std::path::Path;

fn scripts() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios");
    let mut scripts = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "kdl") {
            let name = path.file_name().unwrap().to_str().unwrap().to_owned();
            scripts.push((name, std::fs::read_to_string(&path).unwrap()));
        }
    }
    scripts.sort();
    scripts
}

#[test]
fn scenarios_hold() {
    let mut table = String::new();
    let mut failures = Vec::new();
    for (file, text) in scripts() {
        let scenario = parse(&file, &text).unwrap_or_else(|error| panic!("{:?}", miette::Report::new(error)));
        let report = run(&scenario);
        let line = format!(
            "{file}: sent {}, whole {}, refused {:?}, broken or lost {}, runs {}, doubled {}, untrue {}\n",
            report.sent,
            report.whole,
            report.refused,
            report.broken,
            report.runs,
            report.run_twice,
            report.false_not_run
        );
        table.push_str(&line);
        failures.extend(report.failures.iter().map(|failure| format!("{file}: {failure}")));
        assert_eq!(run(&scenario), report, "{file} comes to the same twice");
    }
    println!("{table}");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    insta::assert_snapshot!(table);
}

#[test]
fn an_unknown_word_is_an_error_with_its_line() {
    let error = parse("bad.kdl", "scenario \"bad\"\nexplode \"t1\" at=5\n").unwrap_err();
    let shown = format!("{:?}", miette::Report::new(error));
    assert!(shown.contains("unknown word \"explode\""), "{shown}");
    assert!(shown.contains("bad.kdl:2:1"), "{shown}");
}

#[test]
fn an_unknown_property_is_an_error() {
    let error = parse("bad.kdl", "send \"r\" at=5 entry=\"e\" service=\"s\" colour=\"red\"\n").unwrap_err();
    assert!(error.to_string().contains("has no property colour"), "{error}");
}
