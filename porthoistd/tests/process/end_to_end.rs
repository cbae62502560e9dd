//! End to end: two zones, two entries, three targets.

use crate::harness::{Call, Fleet, completion, expected_words, stream_words};

#[tokio::test]
async fn requests_are_served_end_to_end() {
    let fleet = Fleet::start(2, 2, 1).await;
    for entry in 0..2 {
        let streamed =
            fleet.call(entry, Call::post("/v1/completions", completion("receipt", 12, true))).await;
        assert_eq!(stream_words(&streamed.body), expected_words("receipt", 12));
        assert!(streamed.whole && streamed.body.ends_with("data: [DONE]\n\n"));

        let whole = fleet.call(entry, Call::post("/v1/completions", completion("receipt", 12, false))).await;
        assert!(whole.body.contains(&expected_words("receipt", 12).join(" ")));

        let plain =
            fleet.call(entry, Call::post("/services/vouchers/issue?shop=7", format!("v{entry}"))).await;
        assert_eq!(plain.status, 200);
        assert!(plain.body.contains("\"path\":\"/issue\""));
        assert_eq!(fleet.runs(&format!("v{entry}")).await, 1);
    }
}

#[tokio::test]
async fn requests_succeed_after_a_target_is_killed() {
    let mut fleet = Fleet::start(2, 2, 1).await;
    fleet.targets[0].daemon.kill();
    for round in 0..40 {
        let prompt = format!("after the kill {round}");
        let answer =
            fleet.call(round % 2, Call::post("/v1/completions", completion(&prompt, 4, round % 4 < 2))).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

#[tokio::test]
async fn explain_shows_the_offers_and_outcome_of_a_request() {
    let fleet = Fleet::start(1, 1, 0).await;
    let answer = fleet.call(0, Call::post("/v1/completions", completion("why", 3, false))).await;
    let request = answer.headers["porthoist-request"].to_str().unwrap();
    let explained = fleet.tool(0, &["explain", request]);
    let text = String::from_utf8(explained.stdout).unwrap();
    assert!(text.contains("offered to model-0"), "{text}");
    assert!(text.contains("answered whole"), "{text}");
}
