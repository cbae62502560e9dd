//! Draining targets and graceful shutdown.

use crate::harness::{Call, Fleet, completion, eventually, expected_words, stream_words};
use nix::sys::signal::Signal;
use std::time::Duration;
use test_case::test_case;
use tokio::task::JoinHandle;

/// Signals that don't end a process before its requests are answered.
const MANY_SIGNALS: [Signal; 8] = [
    Signal::SIGHUP,
    Signal::SIGUSR1,
    Signal::SIGUSR2,
    Signal::SIGTERM,
    Signal::SIGHUP,
    Signal::SIGTERM,
    Signal::SIGINT,
    Signal::SIGQUIT,
];
/// Pause between two signals. Streams that end before the last one make the test less sharp, not wrong.
const SIGNAL_PAUSE: Duration = Duration::from_millis(50);

/// Starts streams through an entry; each task checks its answer.
fn open_streams(fleet: &Fleet, entry: usize, count: usize) -> Vec<JoinHandle<()>> {
    let base = fleet.entries[entry].address("callers").to_owned();
    let stream = |index: usize| {
        let base = base.clone();
        tokio::spawn(async move {
            let prompt = format!("stop {index}");
            let request = hyper::Request::post(format!("http://{base}/v1/completions"))
                .header("porthoist-team", "border")
                .body(http_body_util::Full::new(bytes::Bytes::from(completion(&prompt, 50, true))))
                .unwrap();
            let answer =
                porthoist_http::HttpClient::new().fetch(request).await.expect("the stream is not cut off");
            let text = String::from_utf8(answer.body().to_vec()).unwrap();
            assert_eq!(stream_words(&text), expected_words(&prompt, 50));
            assert!(text.ends_with("data: [DONE]\n\n"));
        })
    };
    (0..count).map(stream).collect()
}

async fn count_runs(fleet: &Fleet) -> usize {
    let mut runs = 0;
    for target in 0..fleet.targets.len() {
        runs += fleet.journal(target).await.len();
    }
    runs
}

/// Guards against signals that end a process with streams in flight.
#[test_case(true; "an entry")]
#[test_case(false; "a target")]
#[tokio::test]
async fn streams_finish_when_their_process_gets_many_signals(is_entry: bool) {
    let mut fleet = Fleet::start_with(1, 2, 0, "20").await;
    let streams = open_streams(&fleet, 0, 20);
    eventually("all streams run", || async { count_runs(&fleet).await == 20 }).await;
    let process = if is_entry { &mut fleet.entries[0] } else { &mut fleet.targets[0].daemon };
    for signal in MANY_SIGNALS {
        process.signal(signal);
        tokio::time::sleep(SIGNAL_PAUSE).await;
    }
    for stream in streams {
        stream.await.unwrap();
    }
    assert!(process.wait_for_exit().await.success());
}

#[tokio::test]
async fn streams_finish_when_their_entry_stops() {
    let mut fleet = Fleet::start_with(1, 2, 0, "20").await;
    let streams = open_streams(&fleet, 0, 20);
    eventually("all streams run", || async { count_runs(&fleet).await == 20 }).await;
    fleet.entries[0].signal(Signal::SIGTERM);
    for stream in streams {
        stream.await.unwrap();
    }
    assert!(fleet.entries[0].wait_for_exit().await.success());
    println!("SIGTERM of an entry: 20 streams, 0 cut off");
}

#[tokio::test]
async fn streams_finish_when_their_target_stops() {
    let mut fleet = Fleet::start_with(1, 2, 0, "20").await;
    let streams = open_streams(&fleet, 0, 20);
    eventually("all streams run", || async { count_runs(&fleet).await == 20 }).await;
    fleet.targets[0].daemon.signal(Signal::SIGTERM);
    for stream in streams {
        stream.await.unwrap();
    }
    assert!(fleet.targets[0].daemon.wait_for_exit().await.success());
    for reason in ["stream_resumed", "connection_lost"] {
        assert_eq!(fleet.counter(0, "porthoist_retries", reason).await, 0, "{reason}");
    }
    println!("SIGTERM of a target: 20 streams, 0 cut off, 0 resumed");
}

#[tokio::test]
async fn a_stopping_entry_is_not_ready_but_finishes_its_streams() {
    let mut fleet = Fleet::start_with(1, 1, 0, "20").await;
    let streams = open_streams(&fleet, 0, 2);
    eventually("the streams run", || async { count_runs(&fleet).await == 2 }).await;
    fleet.entries[0].signal(Signal::SIGTERM);
    let url = format!("http://{}/readyz", fleet.entries[0].address("operator"));
    eventually("it is not ready", || async {
        let request = hyper::Request::get(&url).body(http_body_util::Full::new(bytes::Bytes::new())).unwrap();
        fleet.client.fetch(request).await.unwrap().status() == 503
    })
    .await;
    for stream in streams {
        stream.await.unwrap();
    }
    assert!(fleet.entries[0].wait_for_exit().await.success());
}

#[tokio::test]
async fn a_drained_target_gets_no_new_requests() {
    let fleet = Fleet::start(2, 2, 0).await;
    let drained = fleet.tool(0, &["drain", "model-0", "--wait"]);
    assert!(drained.status.success(), "{}", String::from_utf8_lossy(&drained.stderr));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = fleet.journal(0).await.len();
    for round in 0..60 {
        let call = Call::post("/v1/completions", completion(&format!("drain {round}"), 2, false));
        assert_eq!(fleet.call(round % 2, call).await.status, 200);
    }
    assert_eq!(fleet.journal(0).await.len(), before, "no new work after 2 s");
    assert!(fleet.tool(0, &["drain", "model-0", "--undo", "--wait"]).status.success());
    eventually("it takes work again", || async {
        let call = Call::post("/v1/completions", completion("undone", 2, false));
        fleet.call(0, call).await;
        fleet.journal(0).await.len() > before
    })
    .await;
}
