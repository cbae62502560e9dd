//! The log is bounded, never blocks the caller, and is complete when a process exits.

use porthoistd::logging::{BoundedDrain, flushed_logger, log_panics};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, info, o, warn};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Collects the messages that reach it.
#[derive(Debug, Clone, Default)]
struct MessageCollector(Arc<Mutex<Vec<String>>>);

impl Drain for MessageCollector {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn lines_above_the_limit_are_dropped_and_reported() {
    let collected = MessageCollector::default();
    let logger = Logger::root(BoundedDrain::new(collected.clone(), 3).fuse(), o!());
    for line in 0..10 {
        info!(logger, "line {}", line);
    }
    assert_eq!(*collected.0.lock().unwrap(), ["line 0", "line 1", "line 2"]);
    std::thread::sleep(Duration::from_millis(1_010));
    info!(logger, "line 10");
    assert_eq!(collected.0.lock().unwrap()[3..], ["log lines dropped", "line 10"]);
}

/// Guards against dropping the line that says how a process ended among those that name its requests.
#[test]
fn many_lines_drop_no_warning() {
    let collected = MessageCollector::default();
    let logger = Logger::root(BoundedDrain::new(collected.clone(), 3).fuse(), o!());
    for line in 0..10 {
        info!(logger, "line {}", line);
    }
    warn!(logger, "stopped");
    assert_eq!(*collected.0.lock().unwrap(), ["line 0", "line 1", "line 2", "stopped"]);
}

/// A drain whose writer takes a while, or is blocked.
struct SlowDrain<'a> {
    collector: MessageCollector,
    blocked: &'a Mutex<()>,
}

impl Drain for SlowDrain<'_> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        drop(self.blocked.lock());
        std::thread::sleep(Duration::from_millis(2));
        self.collector.log(record, values)
    }
}

/// Guards against losing the last lines of a process, which say why it ended.
#[test]
fn lines_left_at_the_exit_are_written() {
    static FREE: Mutex<()> = Mutex::new(());
    let collected = MessageCollector::default();
    let drain = SlowDrain { collector: collected.clone(), blocked: &FREE };
    let (logger, flush) = flushed_logger(drain, Level::Info);
    for line in 0..10 {
        info!(logger, "line {}", line);
    }
    drop(flush);
    assert_eq!(collected.0.lock().unwrap().len(), 10);
    info!(logger, "a later line is dropped");
}

/// Guards against an exit that waits for a reader of the log that has stopped reading.
#[test]
fn exit_does_not_wait_for_a_blocked_reader() {
    static BLOCKED: Mutex<()> = Mutex::new(());
    let _blocking: MutexGuard<'_, ()> = BLOCKED.lock().unwrap();
    let drain = SlowDrain { collector: MessageCollector::default(), blocked: &BLOCKED };
    let (logger, flush) = flushed_logger(drain, Level::Info);
    info!(logger, "a line");
    drop(flush);
}

/// Guards against a panic of a task that the runtime catches without a trace.
#[test]
fn panics_are_logged() {
    let collected = MessageCollector::default();
    log_panics(Logger::root(collected.clone().fuse(), o!()));
    let ended = std::thread::spawn(|| panic!("expected by the test")).join();
    assert!(ended.is_err());
    assert_eq!(*collected.0.lock().unwrap(), ["panicked"]);
}
