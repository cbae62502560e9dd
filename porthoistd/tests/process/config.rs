//! Configuration takes effect everywhere, survives outages and restarts, and never goes back to an older
//! revision.

use crate::harness::{Call, Fleet, completion, eventually};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn revisions(status: &Value) -> Vec<u64> {
    let listed = ["entries", "targets"].into_iter().flat_map(|list| status[list].as_array().unwrap());
    let mut all: Vec<u64> = listed.map(|one| one["revision"].as_u64().unwrap()).collect();
    all.push(status["revision"].as_u64().unwrap());
    all
}

#[tokio::test]
async fn an_accepted_row_takes_effect_in_all_processes() {
    let fleet = Fleet::start(2, 2, 1).await;
    let mut slowest = Duration::ZERO;
    for round in 1..=5 {
        let started = Instant::now();
        let set =
            fleet.tool(round % 2, &["table", "set", "team/border", &format!("rate={}00/s", 900 + round)]);
        assert!(set.status.success(), "{}", String::from_utf8_lossy(&set.stderr));
        let text = String::from_utf8(set.stdout).unwrap();
        let revision: u64 = text.trim().rsplit(' ').next().unwrap().parse().unwrap();
        eventually("the row is in force everywhere", || async {
            revisions(&fleet.status(0).await).iter().all(|seen| *seen >= revision)
        })
        .await;
        slowest = slowest.max(started.elapsed());
    }
    println!("5 rows in force everywhere, the slowest after {} ms", slowest.as_millis());
}

#[tokio::test]
async fn configuration_survives_a_platform_outage_and_restarts() {
    let mut fleet = Fleet::start(2, 2, 0).await;
    let set = fleet.tool(0, &["table", "set", "team/desk", "rate=50/s", "--wait"]);
    assert!(set.status.success(), "{}", String::from_utf8_lossy(&set.stderr));
    let before = fleet.status(1).await["revision"].as_u64().unwrap();
    fleet.set_platform_faults(json!({ "outage": true })).await;

    fleet.entries[0].kill();
    fleet.restart_entry(0);
    fleet.targets[0].daemon.kill();
    fleet.restart_target(0);
    eventually("the new processes have the configuration from their peers", || async {
        let status = fleet.status(0).await;
        status["revision"].as_u64() == Some(before)
            && status["targets"].as_array().is_some_and(|targets| targets.len() == 2)
            && revisions(&status).iter().all(|seen| *seen == before)
    })
    .await;
    for entry in 0..2 {
        let call =
            Call::post("/v1/completions", completion("outage", 2, false)).header("porthoist-team", "desk");
        let answer = fleet.call(entry, call).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    fleet.set_platform_faults(json!({})).await;
    let set = fleet.tool(0, &["table", "set", "team/desk", "rate=60/s", "--wait", "--timeout", "30"]);
    assert!(set.status.success(), "{}", String::from_utf8_lossy(&set.stderr));
    assert!(fleet.status(1).await["revision"].as_u64().unwrap() > before);
}

#[tokio::test]
async fn the_tool_lists_unreachable_processes() {
    let mut fleet = Fleet::start(1, 2, 0).await;
    fleet.targets[1].daemon.kill();
    eventually("the entry has noticed", || async {
        fleet.status(0).await["targets"].as_array().unwrap().iter().any(|target| target["heard"] == false)
    })
    .await;
    let set = fleet.tool(0, &["table", "set", "team/desk", "rate=50/s", "--wait", "--timeout", "2"]);
    assert_eq!(set.status.code(), Some(5));
    let text = String::from_utf8(set.stderr).unwrap();
    assert!(text.contains("can't hear model-1"), "{text}");
    assert!(text.contains("zone-0: in force"), "{text}");
}
