//! Distribution of a group's loads by the processes next to its ranks.

use super::aged_loads::AgedLoads;
use super::loads_message::LoadsAnswer;
use porthoist_policy::proxy::group_loads::LoadRevision;
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long loads received from another process are valid; afterwards, callers must ask another process.
const RECEIVED_LOADS_LIFETIME: Duration = Duration::from_secs(1);

/// Loads received from another process.
#[derive(Debug, Clone)]
struct ReceivedLoads {
    loads: AgedLoads,
    until: Instant,
}

/// The loads that a process reports to its callers. Clones share one state.
#[derive(Debug, Clone)]
pub struct LoadsPublisher {
    /// The loads that this process publishes while it plans for the group.
    loads: watch::Receiver<Option<AgedLoads>>,
    /// The loads received from the process that plans, possibly through others.
    received: watch::Sender<Option<ReceivedLoads>>,
    /// The host of the process that last read this rank's state.
    last_observer: Rc<Cell<Option<Ipv4Addr>>>,
}

impl LoadsPublisher {
    /// Creates a publisher of the loads that this process computes while it plans.
    pub fn new(loads: watch::Receiver<Option<AgedLoads>>) -> Self {
        Self { loads, received: watch::Sender::new(None), last_observer: Rc::default() }
    }

    /// Stores loads received from another process.
    pub(super) fn receive(&self, loads: AgedLoads) {
        self.received
            .send_replace(Some(ReceivedLoads { loads, until: Instant::now() + RECEIVED_LOADS_LIFETIME }));
    }

    /// Records the host of a process that reads this rank's state.
    pub(super) fn observed_by(&self, host: Ipv4Addr) {
        self.last_observer.set(Some(host));
    }

    /// Waits for loads newer than `after`, as long as this process knows any. Their age includes the time for which this
    /// process has held them.
    pub(super) async fn newer_than(mut self, after: LoadRevision) -> LoadsAnswer {
        let mut updates = self.received.subscribe();
        loop {
            let own = self.loads.borrow_and_update().clone();
            let received = updates.borrow_and_update().clone();
            let received = received.filter(|received| Instant::now() < received.until);
            let until = received.as_ref().map(|received| received.until);
            match own.or(received.map(|received| received.loads)) {
                None => return LoadsAnswer::Redirect(self.last_observer.get()),
                Some(loads) if loads.received().revision > after => {
                    return LoadsAnswer::Loads(loads.current());
                }
                Some(_known) => {}
            }
            let expired = async {
                match until {
                    Some(until) => tokio::time::sleep_until(until).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = self.loads.changed() => if changed.is_err() {
                    return LoadsAnswer::Redirect(None);
                },
                _changed = updates.changed() => {}
                () = expired => {}
            }
        }
    }
}
