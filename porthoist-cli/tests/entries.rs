//! The states of entries as shown to operators.

use porthoist_cli::cmd::entries::{EmptiedZone, EntryState, entries_text, read_metrics};
use porthoist_core::UnixMillis;
use porthoist_metrics::MetricsHub;

const METRICS: &str = r#"# HELP porthoist_config_revision
# TYPE porthoist_config_revision gauge
porthoist_config_revision{otel_scope_name="porthoist"} 12
porthoist_belief_age_milliseconds{table="routes",otel_scope_name="porthoist"} 910
porthoist_belief_age_milliseconds{table="targets",otel_scope_name="porthoist"} 1200
porthoist_table_asked_total{reason="start",otel_scope_name="porthoist"} 2
porthoist_table_asked_total{reason="probe",otel_scope_name="porthoist"} 3
porthoist_cold_targets{otel_scope_name="porthoist"} 4
porthoist_zone_emptied_since_milliseconds{zone="b",otel_scope_name="porthoist"} 88000
porthoist_zone_emptied_since_milliseconds{zone="c",otel_scope_name="porthoist"} 0
porthoist_first_byte_milliseconds_sum NaN
"#;

#[test]
fn entries_that_lag_behind_are_listed_first() {
    let state = read_metrics(METRICS);
    let behind = EntryState { version: 11, ..state.clone() };
    let old = EntryState { routes_age: Some(4_000), emptied: Vec::new(), ..state.clone() };
    let entries = vec![
        ("10.0.0.1:9464".parse().unwrap(), Ok(state)),
        ("10.0.0.2:9464".parse().unwrap(), Ok(behind)),
        ("10.0.0.3:9464".parse().unwrap(), Ok(old)),
        ("10.0.0.4:9464".parse().unwrap(), Err("no answer in time".to_owned())),
        ("10.0.0.5:9464".parse().unwrap(), Ok(read_metrics("nothing that is a metric"))),
    ];
    insta::assert_snapshot!(entries_text(entries, UnixMillis(100_000)), @r"
    entry                  version  routes (ms)  targets (ms)  own questions  cold  emptied zones
    10.0.0.4:9464          no answer in time
    10.0.0.5:9464                0            -             -              0     0  -
    10.0.0.2:9464               11          910          1200              5     4  b for 12 s
    10.0.0.3:9464               12         4000          1200              5     4  -
    10.0.0.1:9464               12          910          1200              5     4  b for 12 s
    ");
}

#[test]
fn exported_metrics_are_parsed() {
    let hub = MetricsHub::new().unwrap();
    hub.set_revision(5);
    hub.set_table_age("routes", 70);
    hub.set_table_age("targets", 80);
    hub.record_table_fallback("start");
    hub.set_cold_targets(3);
    hub.set_zone_emptied("a", 77_000);
    hub.set_zone_emptied("b", 0);
    let emptied = vec![EmptiedZone { zone: "a".to_owned(), since: UnixMillis(77_000) }];
    let expected =
        EntryState { version: 5, routes_age: Some(70), targets_age: Some(80), queries: 1, cold: 3, emptied };
    assert_eq!(read_metrics(&hub.to_prometheus_text()), expected);
}
