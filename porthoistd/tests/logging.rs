//! The log is bounded and never blocks the caller.

use porthoistd::logging::BoundedDrain;
use slog::{Drain, Logger, Never, OwnedKVList, Record, info, o};
use std::sync::{Arc, Mutex};
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
