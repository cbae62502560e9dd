//! A component that panics stops its process, which would otherwise go on without it.

use porthoistd::component::{spawn_task, spawn_thread};
use std::time::Duration;
use test_case::test_case;
use tokio::sync::watch;

/// Only a hang takes longer.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

#[test_case(true; "the task of a component")]
#[test_case(false; "the thread of a component")]
#[tokio::test]
async fn panic_of_a_component_starts_a_graceful_shutdown(in_task: bool) {
    let stopping = watch::Sender::new(false);
    let task_stopping = stopping.clone();
    spawn_thread("component", &stopping, move || async move {
        if in_task {
            spawn_task(&task_stopping, async { panic!("expected by the test") });
            std::future::pending::<()>().await;
        }
        panic!("expected by the test")
    })
    .unwrap();
    let mut stopped = stopping.subscribe();
    let stopping = tokio::time::timeout(TEST_TIMEOUT, stopped.wait_for(|stopping| *stopping)).await;
    assert!(*stopping.expect("the process stops").unwrap());
}

#[tokio::test]
async fn end_of_a_component_does_not_stop_its_process() {
    let stopping = watch::Sender::new(false);
    let task_stopping = stopping.clone();
    let thread = spawn_thread("component", &stopping, move || async move {
        spawn_task(&task_stopping, async {});
        tokio::task::yield_now().await;
    });
    thread.unwrap().join().unwrap();
    assert!(!*stopping.borrow());
}
