//! All ranks of a group use one expert map per step while maps switch and the processes next to the ranks are
//! killed.

use crate::harness::{Fleet, eventually};
use nix::sys::signal::Signal;
use porthoist_standin::group::GroupRecord;
use std::collections::BTreeSet;
use std::time::Duration;

async fn record(fleet: &Fleet, rank: usize) -> GroupRecord {
    let address = fleet.targets[rank].backend.address("listening");
    let url = format!("http://{address}/standin/group");
    fleet.client.json(hyper::Method::GET, &url, None::<&()>).await.unwrap().1
}

/// Checks every step that all ranks have started, and returns the maps used.
async fn check_one_map_per_step(fleet: &Fleet) -> BTreeSet<u32> {
    let mut records = Vec::new();
    for rank in 0..fleet.targets.len() {
        records.push(record(fleet, rank).await);
    }
    let shortest = records.iter().map(|record| record.used.len()).min().unwrap();
    for step in 0..shortest {
        let maps: BTreeSet<_> = records.iter().map(|record| record.used[step]).collect();
        assert_eq!(maps.len(), 1, "two maps in step {}: {maps:?}", step + 1);
    }
    records.iter().flat_map(|record| record.used.iter().map(|map| map.0)).collect()
}

async fn wait_until_all_ranks_use(fleet: &Fleet, map: u32) {
    eventually("all ranks use the map", || async {
        for rank in 0..fleet.targets.len() {
            if record(fleet, rank).await.used.last().is_none_or(|used| used.0 != map) {
                return false;
            }
        }
        true
    })
    .await;
}

fn request_map(fleet: &Fleet, map: u32) {
    let set = fleet.tool(0, &["table", "set", "policy/placement", &format!("map={map}")]);
    assert!(set.status.success(), "{}", String::from_utf8_lossy(&set.stderr));
}

#[tokio::test]
async fn all_ranks_switch_maps_at_the_same_step() {
    let mut fleet = Fleet::start(1, 0, 0).await;
    fleet.add_group(3);
    fleet.wait_until_connected(0).await;
    for map in 1..=4 {
        request_map(&fleet, map);
        wait_until_all_ranks_use(&fleet, map).await;
    }
    assert!(check_one_map_per_step(&fleet).await.is_superset(&(1..=4).collect()));
    let held: u64 = record(&fleet, 0).await.held;
    println!("4 switches, {held} steps of rank 0 held");
}

#[tokio::test]
async fn all_ranks_use_one_map_per_step_under_kills_and_freezes() {
    let mut fleet = Fleet::start(1, 0, 0).await;
    fleet.add_group(3);
    fleet.wait_until_connected(0).await;
    for map in 1..=4_u32 {
        request_map(&fleet, map);
        let victim = (map % 3) as usize;
        tokio::time::sleep(Duration::from_millis(u64::from(map) * 150)).await;
        fleet.targets[victim].daemon.kill();
        let frozen = (victim + 1) % 3;
        fleet.targets[frozen].daemon.signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.targets[frozen].daemon.signal(Signal::SIGCONT);
        fleet.restart_target(victim);
        wait_until_all_ranks_use(&fleet, map).await;
        check_one_map_per_step(&fleet).await;
    }
}

#[tokio::test]
async fn the_planner_replicates_an_expert_that_becomes_popular() {
    let mut fleet = Fleet::start(1, 0, 0).await;
    fleet.add_group(3);
    fleet.wait_until_connected(0).await;
    let set = fleet.tool(0, &["table", "set", "policy/placement", "skew_weight=4", "move_weight=1"]);
    assert!(set.status.success());
    // 6 experts on 3 ranks with 3 slots each; at first all are equally popular, then expert 5 becomes hot.
    let window = |hot: f64| {
        serde_json::json!({
            "tokens": [1000.0, 1000.0, 1000.0, 1000.0, 1000.0, hot], "speeds": [1.0, 1.0, 1.0], "slots": 3,
        })
    };
    let set_counts = async |hot: f64| {
        for pair in &fleet.targets {
            let url = format!("http://{}/standin/experts", pair.backend.address("listening"));
            let (status, _answer): (_, serde_json::Value) =
                fleet.client.json(hyper::Method::POST, &url, Some(&window(hot))).await.unwrap();
            assert!(status.is_success());
        }
    };
    set_counts(1000.0).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    set_counts(20_000.0).await;
    eventually("the group switched to a planned map, loaded on every rank", || async {
        for rank in 0..3 {
            let record = record(&fleet, rank).await;
            let used = record.used.last().copied().unwrap_or_default();
            if used.0 == 0 || !record.loads.iter().any(|load| load.map == used) {
                return false;
            }
        }
        true
    })
    .await;
    check_one_map_per_step(&fleet).await;
    let mut holders = 0;
    for rank in 0..3 {
        let record = record(&fleet, rank).await;
        let last = record.loads.last().unwrap();
        holders += usize::from(last.held.iter().any(|expert| expert.0 == 5));
    }
    assert!(holders >= 2, "the hot expert is on {holders} ranks");
}
