//! Parsing of callers' requests: any input gives a valid request or a refusal with the verdict "not run".

use bytes::Bytes;
use hyper::Request;
use porthoist_caller::ConfigPort;
use porthoist_caller::request::{CallerKey, RequestDefaults, read_request};
use porthoist_core::{RepeatPolicy, RequestRate, RunVerdict, ServiceKind, ServiceName, TeamName, UnixMillis};
use porthoist_policy::table::{ServiceRow, TeamRow};
use proptest::prelude::*;

#[derive(Debug)]
struct FixedConfig;

impl ConfigPort for FixedConfig {
    fn ready(&self) -> bool {
        true
    }

    fn team(&self, team: &TeamName) -> Option<TeamRow> {
        (team.as_str() == "border").then(|| TeamRow {
            weight: 1.0,
            rate: RequestRate(10.0),
            concurrency: 10,
            priority: porthoist_core::RequestPriority(3),
            token: String::new(),
        })
    }

    fn service(&self, service: &ServiceName) -> Option<ServiceRow> {
        let mode = match service.as_str() {
            "refunds" => ServiceKind::Model,
            "vouchers" => ServiceKind::Plain,
            _ => return None,
        };
        Some(ServiceRow { mode, repeat: None })
    }
}

const DEFAULTS: RequestDefaults = RequestDefaults { deadline_millis: 1000 };

fn read(
    request: hyper::http::request::Builder,
    body: impl Into<Bytes>,
) -> Result<porthoist_caller::request::CallerRequest, porthoist_caller::CallerRefusal> {
    let (head, ()) = request.header("porthoist-team", "border").body(()).unwrap().into_parts();
    read_request(&head, body.into(), UnixMillis(5000), &FixedConfig, DEFAULTS)
}

#[test]
fn defaults_come_from_the_configuration_and_http() {
    let body = r#"{"model":"refunds","prompt":"hello","stream":true}"#;
    let model = read(Request::post("/v1/completions"), body).unwrap();
    assert_eq!((model.repeat, model.stream, model.priority.0), (RepeatPolicy::Safe, true, 3));
    assert_eq!(model.deadline.0, UnixMillis(6000));
    let issue = read(Request::post("/services/vouchers/issue?x=1"), "v").unwrap();
    assert_eq!((issue.repeat, issue.path.as_str()), (RepeatPolicy::Never, "/issue?x=1"));
    let look = read(Request::get("/services/vouchers/7"), "").unwrap();
    assert_eq!(look.repeat, RepeatPolicy::Safe);
}

#[test]
fn internal_headers_are_not_forwarded() {
    let request = Request::get("/services/vouchers/7")
        .header("authorization", "Bearer x")
        .header("accept", "text/plain");
    let request = request.header("porthoist-priority", "9").header("idempotency-key", "mine");
    let read = read(request, "").unwrap();
    assert_eq!(read.headers, [("accept".to_owned(), "text/plain".to_owned())]);
    assert_eq!(read.key, Some(CallerKey::Own("mine".to_owned())));
    assert_eq!(read.priority.0, 9);
}

proptest! {
    #[test]
    fn any_body_is_read_or_refused(body in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Err(refusal) = read(Request::post("/v1/completions"), body) {
            prop_assert_eq!(refusal.verdict, RunVerdict::NotRun);
        }
    }

    #[test]
    fn any_header_is_read_or_refused(
        header in "(porthoist-deadline|porthoist-priority|porthoist-repeat|idempotency-key|last-event-id|authorization)",
        value in "[ -~]{0,80}",
    ) {
        if let Err(refusal) = read(Request::post("/services/vouchers/x").header(header, value), "") {
            prop_assert_eq!(refusal.verdict, RunVerdict::NotRun);
        }
    }

    #[test]
    fn any_path_is_read_or_refused(path in "/[a-z/%._-]{0,60}") {
        if let Err(refusal) = read(Request::post(path), "") {
            prop_assert_eq!(refusal.verdict, RunVerdict::NotRun);
        }
    }
}
