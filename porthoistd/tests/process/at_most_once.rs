//! Requests run at most once, and "not run" is only reported for requests that did not run: kills and freezes
//! under load, with retries through another entry.

use crate::harness::{Call, Fleet, eventually};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use nix::sys::signal::Signal;
use porthoist_http::HttpClient;
use serde_json::json;
use std::collections::HashMap;
use std::time::Duration;

/// Outcomes that callers got; requests are identified by their bodies.
#[derive(Debug, Default)]
struct Outcomes {
    answered: usize,
    not_run: Vec<String>,
    unknown: usize,
    sent: usize,
}

/// A request with its idempotency key, as a caller repeats it.
struct KeyedRequest {
    body: String,
    key: Option<String>,
}

const MAX_ATTEMPTS: usize = 8;
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

async fn send_once(client: &HttpClient, base: &str, request: &KeyedRequest) -> Option<(u16, String, String)> {
    let mut builder = Request::post(format!("http://{base}/services/vouchers/issue"))
        .header("porthoist-team", "border")
        .header("porthoist-repeat", "never");
    if let Some(key) = &request.key {
        builder = builder.header("idempotency-key", key);
    }
    let message = builder.body(Full::new(Bytes::from(request.body.clone()))).unwrap();
    let answer = tokio::time::timeout(ATTEMPT_TIMEOUT, client.fetch(message)).await.ok()?.ok()?;
    let header =
        |name: &str| answer.headers().get(name).map_or("", |value| value.to_str().unwrap()).to_owned();
    let text = String::from_utf8(answer.body().to_vec()).unwrap();
    Some((answer.status().as_u16(), header("porthoist-verdict"), text))
}

/// Sends each request, and repeats it through the other entry until the outcome is definite.
async fn send_all(
    client: HttpClient,
    entries: Vec<String>,
    requests: Vec<KeyedRequest>,
    outcomes: &mut Outcomes,
) {
    for (index, request) in requests.iter().enumerate() {
        outcomes.sent += 1;
        let attempts = if request.key.is_some() { MAX_ATTEMPTS } else { 1 };
        let mut definite = false;
        for attempt in 0..attempts {
            let base = &entries[(index + attempt) % entries.len()];
            match send_once(&client, base, request).await {
                Some((200, _, text)) => {
                    assert!(
                        text.contains(&format!("\"body\":\"{}\"", request.body)),
                        "an answer to another request: {text}"
                    );
                    outcomes.answered += 1;
                    definite = true;
                    break;
                }
                Some((_, verdict, _)) if verdict == "not-run" => {
                    outcomes.not_run.push(request.body.clone());
                    definite = true;
                    break;
                }
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        outcomes.unknown += usize::from(!definite);
    }
}

async fn check_journals(fleet: &Fleet, outcomes: &Outcomes) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for target in 0..fleet.targets.len() {
        for run in fleet.journal(target).await {
            *runs.entry(run.body).or_default() += 1;
        }
    }
    let repeated_runs: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated_runs.is_empty(), "run more than once: {repeated_runs:?}");
    let false_reports: Vec<_> = outcomes.not_run.iter().filter(|body| runs.contains_key(*body)).collect();
    assert!(false_reports.is_empty(), "reported as not-run, but in the journal: {false_reports:?}");
    println!(
        "sent {}, answered {}, not-run {}, may-have-run {}, runs {}, doubled 0, foreign 0",
        outcomes.sent,
        outcomes.answered,
        outcomes.not_run.len(),
        outcomes.unknown,
        runs.len()
    );
}

fn entry_addresses(fleet: &Fleet) -> Vec<String> {
    fleet.entries.iter().map(|entry| entry.address("callers").to_owned()).collect()
}

/// Kills, freezes and restarts targets and entries while requests are sent.
async fn inject_faults(fleet: &mut Fleet) {
    let pause = || tokio::time::sleep(Duration::from_millis(400));
    pause().await;
    fleet.targets[0].daemon.kill();
    pause().await;
    fleet.restart_target(0);
    pause().await;
    fleet.targets[1].daemon.signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    fleet.targets[1].daemon.signal(Signal::SIGCONT);
    pause().await;
    fleet.entries[0].kill();
    pause().await;
    fleet.restart_entry(0);
    pause().await;
    fleet.entries[1].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.entries[1].signal(Signal::SIGCONT);
    fleet.targets[1].daemon.kill();
    pause().await;
    fleet.restart_target(1);
}

async fn run_under_faults(fleet: &mut Fleet, batches: Vec<Vec<KeyedRequest>>) -> Outcomes {
    let entries = entry_addresses(fleet);
    let mut tasks = Vec::new();
    for batch in batches {
        let entries = entries.clone();
        let client = HttpClient::new();
        tasks.push(tokio::spawn(async move {
            let mut outcomes = Outcomes::default();
            send_all(client, entries, batch, &mut outcomes).await;
            outcomes
        }));
    }
    inject_faults(fleet).await;
    let mut all = Outcomes::default();
    for task in tasks {
        let outcomes = task.await.unwrap();
        all.sent += outcomes.sent;
        all.answered += outcomes.answered;
        all.unknown += outcomes.unknown;
        all.not_run.extend(outcomes.not_run);
    }
    all
}

async fn slow_down_backends(fleet: &Fleet) {
    for pair in &fleet.targets {
        fleet.set_faults(pair.backend.address("listening"), json!({ "delay_ms": 20 })).await;
    }
}

#[tokio::test]
async fn requests_with_tickets_run_at_most_once_under_kills_and_freezes() {
    let mut fleet = Fleet::start(2, 0, 2).await;
    slow_down_backends(&fleet).await;
    let mut batches = Vec::new();
    for batch in 0..6 {
        let tickets = fleet.tickets(batch % 2, "vouchers", 60).await;
        let keyed = |(index, ticket)| KeyedRequest { body: format!("t{batch}-{index}"), key: Some(ticket) };
        batches.push(tickets.into_iter().enumerate().map(keyed).collect());
    }
    let outcomes = run_under_faults(&mut fleet, batches).await;
    check_journals(&fleet, &outcomes).await;
    assert!(outcomes.answered > 0);
}

#[tokio::test]
async fn requests_with_caller_chosen_keys_run_at_most_once_under_kills_and_freezes() {
    let mut fleet = Fleet::start(2, 0, 2).await;
    slow_down_backends(&fleet).await;
    let batches = (0..6).map(|batch| {
        let keyed = |index| {
            let body = format!("k{batch}-{index}");
            KeyedRequest { key: Some(format!("key-{body}")), body }
        };
        (0..60).map(keyed).collect()
    });
    let outcomes = run_under_faults(&mut fleet, batches.collect()).await;
    check_journals(&fleet, &outcomes).await;
    assert!(outcomes.answered > 0);
}

#[tokio::test]
async fn requests_without_keys_run_at_most_once_under_kills_and_freezes() {
    let mut fleet = Fleet::start(2, 0, 2).await;
    slow_down_backends(&fleet).await;
    let batches = (0..6).map(|batch| {
        (0..100).map(|index| KeyedRequest { body: format!("u{batch}-{index}"), key: None }).collect()
    });
    let outcomes = run_under_faults(&mut fleet, batches.collect()).await;
    check_journals(&fleet, &outcomes).await;
    assert!(outcomes.answered > 0);
}

#[tokio::test]
async fn concurrent_requests_with_one_key_through_two_entries_run_once() {
    let fleet = Fleet::start(2, 0, 2).await;
    slow_down_backends(&fleet).await;
    for round in 0..30 {
        let body = format!("race-{round}");
        let call =
            || Call::post("/services/vouchers/issue", body.clone()).header("idempotency-key", body.clone());
        let (first, second) = tokio::join!(fleet.call(0, call()), fleet.call(1, call()));
        assert_eq!((first.status, second.status), (200, 200), "{} {}", first.body, second.body);
        assert_eq!(first.body, second.body);
        assert_eq!(fleet.runs(&body).await, 1);
    }
}

#[tokio::test]
async fn a_request_runs_once_when_the_answer_to_its_claim_is_lost() {
    let fleet = Fleet::start(1, 0, 1).await;
    for round in 0..5 {
        let body = format!("lost-{round}");
        fleet.set_platform_faults(json!({ "lose_answers": 1 })).await;
        let call =
            Call::post("/services/vouchers/issue", body.clone()).header("idempotency-key", body.clone());
        let answer = fleet.call(0, call).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(fleet.runs(&body).await, 1);
    }
}

#[tokio::test]
async fn caller_chosen_keys_are_refused_while_the_table_is_unavailable() {
    let fleet = Fleet::start(1, 0, 1).await;
    fleet.set_platform_faults(json!({ "outage": true })).await;
    let call = || Call::post("/services/vouchers/issue", "dark").header("idempotency-key", "dark");
    let answer = fleet.call(0, call()).await;
    assert_eq!((answer.status, answer.reason().as_str()), (503, "claim_unavailable"));
    assert_eq!(
        answer.verdict(),
        "may-have-run",
        "nothing is known about the key while the table is unavailable"
    );
    assert_eq!(fleet.runs("dark").await, 0);
    fleet.set_platform_faults(json!({})).await;
    eventually("the key works again", || async { fleet.call(0, call()).await.status == 200 }).await;
    assert_eq!(fleet.runs("dark").await, 1);
}

#[tokio::test]
async fn tickets_work_while_the_platform_is_unavailable() {
    let fleet = Fleet::start(2, 0, 2).await;
    fleet.set_platform_faults(json!({ "outage": true })).await;
    let tickets = fleet.tickets(0, "vouchers", 3).await;
    for (index, ticket) in tickets.iter().enumerate() {
        let body = format!("away-{index}");
        let call =
            || Call::post("/services/vouchers/issue", body.clone()).header("idempotency-key", ticket.clone());
        let first = fleet.call(0, call()).await;
        let again = fleet.call(1, call()).await;
        assert_eq!((first.status, again.status), (200, 200));
        assert_eq!(first.body, again.body, "the kept answer is replayed");
        assert_eq!(fleet.runs(&body).await, 1);
    }
}

#[tokio::test]
async fn a_ticket_of_an_earlier_incarnation_is_reported_as_may_have_run() {
    let mut fleet = Fleet::start(1, 0, 1).await;
    let ticket = fleet.tickets(0, "vouchers", 1).await.remove(0);
    let call = || Call::post("/services/vouchers/issue", "old").header("idempotency-key", ticket.clone());
    assert_eq!(fleet.call(0, call()).await.status, 200);
    fleet.targets[0].daemon.kill();
    fleet.restart_target(0);
    eventually("the new incarnation answers", || async {
        fleet.call(0, call()).await.reason() == "ticket_foreign"
    })
    .await;
    assert_eq!(fleet.call(0, call()).await.verdict(), "may-have-run");
    assert_eq!(fleet.runs("old").await, 1);
}
