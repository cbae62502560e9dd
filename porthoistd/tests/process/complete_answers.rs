//! Every caller gets its complete and correct answer although events are lost, repeated or swapped, or a
//! target is killed during the answer.

use crate::harness::{Call, Fleet, completion, eventually, expected_words, stream_words};
use serde_json::json;

fn streamed_call(prompt: &str, tokens: u32) -> Call<'static> {
    Call::post("/v1/completions", completion(prompt, tokens, true))
}

#[tokio::test]
async fn a_broken_stream_is_resumed_at_the_next_token() {
    let fleet = Fleet::start(1, 2, 0).await;
    for pair in &fleet.targets {
        fleet
            .set_faults(
                pair.backend.address("listening"),
                json!({ "breaks": 1, "break_after": 3, "step_ms": 5 }),
            )
            .await;
    }
    let answer = fleet.call(0, streamed_call("broken", 10)).await;
    assert!(answer.whole);
    assert_eq!(stream_words(&answer.body), expected_words("broken", 10));
    assert!(fleet.counter(0, "porthoist_retries", "stream_resumed").await >= 1);
}

#[tokio::test]
async fn repeated_events_are_delivered_once() {
    let fleet = Fleet::start(1, 1, 0).await;
    fleet.set_faults(fleet.targets[0].backend.address("listening"), json!({ "repeat_events": true })).await;
    let answer = fleet.call(0, streamed_call("twice", 10)).await;
    assert_eq!(stream_words(&answer.body), expected_words("twice", 10));
}

#[tokio::test]
async fn swapped_events_do_not_reach_the_caller() {
    let fleet = Fleet::start(1, 2, 0).await;
    fleet.set_faults(fleet.targets[0].backend.address("listening"), json!({ "swap_events": true })).await;
    for round in 0..10 {
        let prompt = format!("swapped {round}");
        let answer = fleet.call(0, streamed_call(&prompt, 10)).await;
        assert!(answer.whole);
        assert_eq!(stream_words(&answer.body), expected_words(&prompt, 10));
    }
}

#[tokio::test]
async fn a_stream_that_cannot_be_finished_is_visibly_incomplete() {
    let fleet = Fleet::start(1, 1, 0).await;
    fleet
        .set_faults(
            fleet.targets[0].backend.address("listening"),
            json!({ "breaks": 100, "break_after": 2, "step_ms": 5 }),
        )
        .await;
    let answer = fleet.call(0, streamed_call("never whole", 30)).await;
    assert!(!answer.whole, "the connection ends without its last chunk");
    assert!(!answer.body.contains("[DONE]"));
    let words = stream_words(&answer.body);
    assert_eq!(words, expected_words("never whole", 30)[..words.len()]);
}

#[tokio::test]
async fn streams_complete_when_a_target_is_killed() {
    let mut fleet = Fleet::start_with(2, 2, 0, "20").await;
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.address("callers").to_owned()).collect();
    let mut streams = Vec::new();
    for index in 0..20 {
        let base = entries[index % 2].clone();
        streams.push(tokio::spawn(async move {
            let prompt = format!("kill {index}");
            let body = completion(&prompt, 60, true);
            let request = hyper::Request::post(format!("http://{base}/v1/completions"))
                .header("porthoist-team", "border")
                .body(http_body_util::Full::new(bytes::Bytes::from(body)))
                .unwrap();
            let answer = porthoist_http::HttpClient::new().fetch(request).await.unwrap();
            let text = String::from_utf8(answer.body().to_vec()).unwrap();
            assert_eq!(stream_words(&text), expected_words(&prompt, 60));
        }));
    }
    let has_runs = || async { !fleet.journal(0).await.is_empty() };
    eventually("the target has work", has_runs).await;
    fleet.targets[0].daemon.kill();
    for stream in streams {
        stream.await.unwrap();
    }
    let resumed = fleet.counter(0, "porthoist_retries", "stream_resumed").await
        + fleet.counter(1, "porthoist_retries", "stream_resumed").await;
    println!("20 streams, {resumed} resumed elsewhere, 20 whole");
}

#[tokio::test]
async fn a_caller_resumes_its_stream_at_another_entry() {
    let mut fleet = Fleet::start_with(2, 1, 0, "20").await;
    let ticket = fleet.tickets(0, "refunds", 1).await.remove(0);
    let body = completion("resume", 30, true);
    let base = fleet.entries[0].address("callers").to_owned();
    let first = {
        let (body, ticket) = (body.clone(), ticket.clone());
        tokio::spawn(async move {
            let request = hyper::Request::post(format!("http://{base}/v1/completions"))
                .header("porthoist-team", "border")
                .header("idempotency-key", ticket)
                .body(http_body_util::Full::new(bytes::Bytes::from(body)))
                .unwrap();
            porthoist_http::HttpClient::new().fetch(request).await.is_err()
        })
    };
    let has_runs = || async { !fleet.journal(0).await.is_empty() };
    eventually("the request runs", has_runs).await;
    fleet.entries[0].kill();
    assert!(first.await.unwrap(), "the first connection broke");
    let rest =
        Call::post("/v1/completions", body).header("idempotency-key", ticket).header("last-event-id", "4");
    let answer = fleet.call(1, rest).await;
    assert!(answer.whole);
    assert_eq!(stream_words(&answer.body), expected_words("resume", 30)[4..]);
    assert_eq!(fleet.journal(0).await.len(), 1, "it ran once");
}
