//! What a process beside a rank tells of its group's loads.

use super::convert::LoadsAnswer;
use porthoist_policy::proxy::loads::{GroupLoads, LoadRevision};
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long loads that another process told are told on; those who asked look elsewhere afterwards.
const TOLD_FOR: Duration = Duration::from_secs(1);

/// Loads that another process told.
#[derive(Debug, Clone)]
struct ToldLoads {
    loads: GroupLoads,
    until: Instant,
}

/// What the processes of a group tell of its loads. Clones share one state.
#[derive(Debug, Clone)]
pub struct LoadsPublisher {
    /// The loads while this process plans for the group.
    loads: watch::Receiver<Option<GroupLoads>>,
    /// The loads as the process that plans told them, perhaps through others.
    told: watch::Sender<Option<ToldLoads>>,
    /// The host of the process that last asked for this rank's state.
    asker: Rc<Cell<Option<Ipv4Addr>>>,
}

impl LoadsPublisher {
    /// An outlet of the loads that this process publishes.
    pub fn new(loads: watch::Receiver<Option<GroupLoads>>) -> Self {
        Self { loads, told: watch::Sender::new(None), asker: Rc::default() }
    }

    /// Takes the loads that another process told.
    pub(super) fn take_told(&self, loads: GroupLoads) {
        self.told.send_replace(Some(ToldLoads { loads, until: Instant::now() + TOLD_FOR }));
    }

    pub(super) fn asked_by(&self, host: Ipv4Addr) {
        self.asker.set(Some(host));
    }

    /// Waits for loads newer than a report, as long as this process hears of any.
    pub(super) async fn newer_than(mut self, after: LoadRevision) -> LoadsAnswer {
        let mut told = self.told.subscribe();
        loop {
            let own = self.loads.borrow_and_update().clone();
            let heard = told.borrow_and_update().clone();
            let heard = heard.filter(|told| Instant::now() < told.until);
            let until = heard.as_ref().map(|told| told.until);
            match own.or(heard.map(|told| told.loads)) {
                None => return LoadsAnswer::Redirect(self.asker.get()),
                Some(loads) if loads.revision > after => return LoadsAnswer::Loads(loads),
                Some(_known) => {}
            }
            let outdated = async {
                match until {
                    Some(until) => tokio::time::sleep_until(until).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = self.loads.changed() => if changed.is_err() {
                    return LoadsAnswer::Redirect(None);
                },
                _changed = told.changed() => {}
                () = outdated => {}
            }
        }
    }
}
