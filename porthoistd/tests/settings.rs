//! Settings from flags and environment variables.

use porthoistd::settings::proxy::{ProxyArgs, ProxySettings};
use porthoistd::settings::{DaemonArgs, DaemonSettings};
use test_case::test_case;

fn environment(name: &str) -> Option<String> {
    let value = match name {
        "PORTHOIST_ROLE" => "target",
        "PORTHOIST_NAME" => "t1",
        "PORTHOIST_ZONE" => "a",
        "PORTHOIST_PLATFORM" => "http://127.0.0.1:7000",
        "PORTHOIST_BACKEND" => "http://127.0.0.1:9000",
        "PORTHOIST_SERVICES" => "refunds,records",
        "PORTHOIST_FLEET_KEY" | "PORTHOIST_OPERATOR_TOKEN" => "0123456789abcdef",
        _ => return None,
    };
    Some(value.to_owned())
}

#[test]
fn flags_take_precedence_over_environment_variables() {
    let args = DaemonArgs { zone: Some("b".to_owned()), ..DaemonArgs::default() };
    let settings = DaemonSettings::load(args, environment).unwrap();
    assert_eq!(settings.zone.as_str(), "b");
    assert_eq!(settings.services.len(), 2);
    assert_eq!(settings.slots, 64);
}

#[test]
fn the_local_role_has_a_default_for_every_setting() {
    let args = DaemonArgs { role: Some("local".to_owned()), ..DaemonArgs::default() };
    let settings = DaemonSettings::load(args, |_name| None).unwrap();
    assert_eq!(settings.callers_listen.to_string(), "127.0.0.1:8080");
}

#[test_case(DaemonArgs { role: Some("king".into()), ..DaemonArgs::default() }, "--role (PORTHOIST_ROLE): \"king\" given"; "role")]
#[test_case(DaemonArgs { name: Some("a b".into()), ..DaemonArgs::default() }, "--name (PORTHOIST_NAME): \"a b\" given"; "name")]
#[test_case(DaemonArgs { slots: Some("few".into()), ..DaemonArgs::default() }, "--slots (PORTHOIST_SLOTS): \"few\" given"; "number")]
#[test_case(DaemonArgs { platform: Some("ftp://x".into()), ..DaemonArgs::default() }, "--platform (PORTHOIST_PLATFORM): \"ftp://x\" given"; "url")]
#[test_case(DaemonArgs { fleet_key: Some("short".into()), ..DaemonArgs::default() }, "--fleet-key (PORTHOIST_FLEET_KEY): 5 bytes given"; "a secret is not shown")]
#[test_case(DaemonArgs { fleet_listen: Some("here".into()), ..DaemonArgs::default() }, "--fleet-listen (PORTHOIST_FLEET_LISTEN): \"here\" given"; "address")]
fn an_error_names_the_invalid_setting(args: DaemonArgs, expected: &str) {
    let error = DaemonSettings::load(args, environment).unwrap_err();
    assert_eq!(error.to_string(), format!("setting {expected}"));
}

#[test_case("1048575", "\"1048575\" given"; "less than an event needs")]
#[test_case("-1", "\"-1\" given"; "negative")]
#[test_case("160MB", "\"160MB\" given"; "with a unit")]
fn invalid_bound_of_held_bytes_is_an_error(bytes: &str, problem: &str) {
    let table = Some("127.0.0.1:7000".to_owned());
    let held_bytes = Some(bytes.to_owned());
    let args = ProxyArgs { zone: Some("a".to_owned()), table, held_bytes, ..ProxyArgs::default() };
    let error = ProxySettings::load(args, |_name| None).unwrap_err();
    assert_eq!(error.to_string(), format!("setting --held-bytes (PORTHOIST_HELD_BYTES): {problem}"));
}

fn memory_args(memory_mb: &str, held_bytes: Option<&str>) -> ProxyArgs {
    ProxyArgs {
        zone: Some("a".to_owned()),
        table: Some("127.0.0.1:7000".to_owned()),
        memory_mb: Some(memory_mb.to_owned()),
        held_bytes: held_bytes.map(str::to_owned),
        ..ProxyArgs::default()
    }
}

/// Guards against a process without a bound that follows from its memory.
#[test_case(memory_args("160", None), 80_000_000; "half of the memory")]
#[test_case(memory_args("160", Some("67108864")), 67_108_864; "a given bound")]
#[test_case(memory_args("160", Some("0")), 0; "no bound if asked for")]
fn bound_of_held_bytes_follows_from_the_memory(args: ProxyArgs, held_bytes: u64) {
    let settings = ProxySettings::load(args, |_name| None).unwrap();
    assert_eq!(settings.memory.held_bytes, held_bytes);
}

#[test]
fn memory_of_the_host_bounds_held_bytes_by_default() {
    let args = ProxyArgs { memory_mb: None, ..memory_args("", None) };
    assert!(ProxySettings::load(args, |_name| None).unwrap().memory.held_bytes > 16_000_000);
    let args = DaemonArgs { role: Some("local".to_owned()), ..DaemonArgs::default() };
    assert!(DaemonSettings::load(args, |_name| None).unwrap().memory.held_bytes > 16_000_000);
}

#[test_case(memory_args("160", Some("120000001")), "--held-bytes (PORTHOIST_HELD_BYTES): 120000001 bytes are more than three quarters of 160 MB"; "a bound that contradicts the memory")]
#[test_case(memory_args("31", None), "--memory-mb (PORTHOIST_MEMORY_MB): 31 MB given"; "too little memory")]
#[test_case(memory_args("much", None), "--memory-mb (PORTHOIST_MEMORY_MB): \"much\" given"; "no number")]
fn invalid_memory_is_an_error(args: ProxyArgs, expected: &str) {
    let error = ProxySettings::load(args, |_name| None).unwrap_err();
    assert_eq!(error.to_string(), format!("setting {expected}"));
}

#[test]
fn an_error_names_a_missing_setting() {
    let error = DaemonSettings::load(DaemonArgs::default(), |name| {
        environment(name).filter(|_| name != "PORTHOIST_BACKEND")
    });
    assert_eq!(error.unwrap_err().to_string(), "setting --backend (PORTHOIST_BACKEND): not given");
}

/// Guards against overflow: times near `u64::MAX` wrapped around to a small sum, or panicked.
#[test_case("notice-ms", ProxyArgs { notice_ms: Some(u64::MAX.to_string()), ..proxy_args() }; "notice")]
#[test_case("leaving-ms", ProxyArgs { leaving_ms: Some((u64::MAX - 1).to_string()), ..proxy_args() }; "leaving")]
#[test_case("revoke-ms", ProxyArgs { revoke_ms: Some("3600001".to_owned()), ..proxy_args() }; "revoke")]
#[test_case("notice-ms", ProxyArgs { notice_ms: Some("-1".to_owned()), ..proxy_args() }; "negative")]
#[test_case("grace-s", ProxyArgs { grace_s: Some("0".to_owned()), ..proxy_args() }; "no grace period")]
#[test_case("grace-s", ProxyArgs { grace_s: Some("0.999".to_owned()), ..proxy_args() }; "grace period in which nothing ends")]
#[test_case("grace-s", ProxyArgs { grace_s: Some("-8".to_owned()), ..proxy_args() }; "negative grace period")]
#[test_case("grace-s", ProxyArgs { grace_s: Some("NaN".to_owned()), ..proxy_args() }; "grace period that is no number")]
#[test_case("grace-s", ProxyArgs { grace_s: Some("inf".to_owned()), ..proxy_args() }; "endless grace period")]
#[test_case("revoke-ms", ProxyArgs { revoke_ms: Some("999".to_owned()), ..proxy_args() }; "revoke shorter than polls allow")]
fn a_time_out_of_range_is_rejected(flag: &str, args: ProxyArgs) {
    let error = ProxySettings::load(args, |_name| None).unwrap_err().to_string();
    assert!(error.starts_with(&format!("setting --{flag} ")), "{error}");
    assert!(error.contains("given"), "{error}");
}

#[test_case(1_000; "the shortest")]
#[test_case(3_600_000; "the longest")]
fn a_revocation_time_in_range_is_accepted(millis: u64) {
    let args = ProxyArgs { revoke_ms: Some(millis.to_string()), ..proxy_args() };
    assert_eq!(ProxySettings::load(args, |_name| None).unwrap().revoke_millis, millis);
}

#[test_case("1", 1_000; "the shortest")]
#[test_case("2.5", 2_500; "less than the lag of the balancer")]
#[test_case("3600", 3_600_000; "the longest")]
fn a_grace_period_in_range_is_accepted(seconds: &str, millis: u64) {
    let args = ProxyArgs { grace_s: Some(seconds.to_owned()), ..proxy_args() };
    assert_eq!(ProxySettings::load(args, |_name| None).unwrap().grace_millis, millis);
}

#[test]
fn a_time_of_one_hour_is_accepted() {
    let hour = Some("3600000".to_owned());
    let args = ProxyArgs { notice_ms: hour.clone(), leaving_ms: hour, ..proxy_args() };
    let settings = ProxySettings::load(args, |_name| None).unwrap();
    assert_eq!(settings.bound.millis, 7_200_000 - 600);
}

fn proxy_args() -> ProxyArgs {
    ProxyArgs { zone: Some("a".to_owned()), table: Some("127.0.0.1:9".to_owned()), ..ProxyArgs::default() }
}
