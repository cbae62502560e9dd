//! Invalid input is refused with a clear reason and the verdict "not run", is counted, and never runs.

use crate::harness::{Call, Fleet, completion};
use hyper::Method;

#[tokio::test]
async fn invalid_requests_are_refused_and_counted() {
    let fleet = Fleet::start(1, 1, 1).await;
    let valid_body = || completion("x", 2, false);
    let cases = [
        (Call::post("/v1/completions", valid_body()).header("porthoist-team", "nobody"), 401, "unauthorized"),
        (
            Call::post("/v1/completions", valid_body()).header("porthoist-team", "guarded"),
            401,
            "unauthorized",
        ),
        (
            Call::post("/v1/completions", valid_body())
                .header("porthoist-team", "guarded")
                .header("authorization", "Bearer wrong"),
            401,
            "unauthorized",
        ),
        (Call::post("/v1/completions", "{\"model\":"), 400, "malformed"),
        (Call::post("/v1/completions", "{\"model\":\"no/name\"}"), 400, "malformed"),
        (Call::post("/v1/completions", "{\"model\":\"unknown\"}"), 404, "unknown_service"),
        (Call::post("/services/refunds/x", ""), 404, "unknown_service"),
        (Call::post("/nowhere", ""), 404, "unknown_service"),
        (
            Call::post("/v1/completions", valid_body()).header("porthoist-deadline", "1000"),
            504,
            "deadline_passed",
        ),
        (Call::post("/v1/completions", valid_body()).header("porthoist-deadline", "soon"), 400, "malformed"),
        (Call::post("/v1/completions", valid_body()).header("porthoist-priority", "10"), 400, "malformed"),
        (
            Call::post("/v1/completions", valid_body()).header("x-long", "a".repeat(20_000)),
            431,
            "header_too_long",
        ),
        (Call::post("/services/vouchers/x", "b".repeat(5_000_000)), 413, "body_too_long"),
        (
            Call::post("/v1/completions", valid_body()).header("idempotency-key", "pt1:broken"),
            400,
            "malformed",
        ),
        (Call::post("/v1/completions", valid_body()).header("porthoist-team", "slow"), 429, "rate_limit"),
    ];
    let mut journal_before = 0;
    for target in 0..fleet.targets.len() {
        journal_before += fleet.journal(target).await.len();
    }
    for (call, status, reason) in cases {
        let before = fleet.counter(0, "porthoist_refusals", reason).await;
        let answer = fleet.call(0, call).await;
        assert_eq!((answer.status, answer.reason().as_str()), (status, reason), "{}", answer.body);
        assert_eq!(answer.verdict(), "not-run");
        assert_eq!(answer.headers["content-type"], "application/problem+json");
        assert_eq!(fleet.counter(0, "porthoist_refusals", reason).await, before + 1, "{reason} is counted");
    }
    let mut journal_after = 0;
    for target in 0..fleet.targets.len() {
        journal_after += fleet.journal(target).await.len();
    }
    assert_eq!(journal_after, journal_before);
    let allowed = Call::post("/v1/completions", valid_body())
        .header("porthoist-team", "guarded")
        .header("authorization", "Bearer caller-secret");
    assert_eq!(fleet.call(0, allowed).await.status, 200);
}

#[tokio::test]
async fn the_operator_endpoint_requires_its_token() {
    let fleet = Fleet::start(1, 1, 0).await;
    let url = format!("http://{}/v1/status", fleet.entries[0].address("operator"));
    for token in ["", "Bearer ", "Bearer wrong-operator-token", TOKEN_WITHOUT_SCHEME] {
        let request = hyper::Request::builder()
            .method(Method::GET)
            .uri(&url)
            .header("authorization", token)
            .body(http_body_util::Full::new(bytes::Bytes::new()))
            .unwrap();
        assert_eq!(fleet.client.fetch(request).await.unwrap().status(), 401);
    }
}

const TOKEN_WITHOUT_SCHEME: &str = crate::harness::TOKEN;

#[tokio::test]
async fn a_peer_without_the_fleet_key_is_refused() {
    let fleet = Fleet::start(1, 1, 0).await;
    let address = fleet.targets[0].daemon.address("fleet").to_owned();
    let local = tokio::task::LocalSet::new();
    let refused = local.run_until(async move {
        let key = porthoist_core::secret::SharedSecret::new("another-key-0123456789");
        porthoist_fleet::FleetPeer::connect(&address, &key).await.map(drop)
    });
    assert_eq!(refused.await.unwrap_err().verdict, porthoist_core::RunVerdict::NotRun);
}
