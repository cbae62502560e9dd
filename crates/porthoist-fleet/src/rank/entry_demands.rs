//! Demand of entries, as reported to the processes next to ranks.

use super::convert::{pack, unpack};
use capnp::Error;
use porthoist_core::RequestRate;
use porthoist_policy::proxy::demand::{LevelDemand, PriorityLevel, ServiceDemand};
use porthoist_policy::proxy::entry_positions::EntryId;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a reported demand counts. Entries report theirs with each question for loads, several times a second.
const DEMAND_LIFETIME: Duration = Duration::from_secs(1);
/// Unit of encoded rates, per request per second. At an entry out of hundreds, a priority may be asked once in many seconds.
const RATE_UNITS: f64 = 1_000.0;

/// What an entry reports with a question for loads.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandReport {
    /// The entry.
    pub entry: EntryId,
    /// Its demand on the service; `None` if it reports that to another process of the group.
    pub demand: Option<ServiceDemand>,
}

/// The last demand of several sources, each of which counts for [`DEMAND_LIFETIME`].
#[derive(Debug, Clone)]
pub(super) struct RecentDemands<K> {
    reported: BTreeMap<K, (ServiceDemand, Instant)>,
}

impl<K> Default for RecentDemands<K> {
    fn default() -> Self {
        Self { reported: BTreeMap::new() }
    }
}

impl<K: Ord> RecentDemands<K> {
    /// Records the demand of a source; `None` if it has none any more.
    pub(super) fn record(&mut self, source: K, demand: Option<ServiceDemand>) {
        let now = Instant::now();
        self.reported.retain(|_source, (_demand, until)| now < *until);
        match demand {
            Some(demand) => self.reported.insert(source, (demand, now + DEMAND_LIFETIME)),
            None => self.reported.remove(&source),
        };
    }

    /// Returns the sum over the sources that `counts` selects; `None` if none of them has reported lately.
    pub(super) fn sum(&self, counts: impl Fn(&K) -> bool) -> Option<ServiceDemand> {
        let now = Instant::now();
        let valid = self.reported.iter().filter(|(source, (_demand, until))| now < *until && counts(source));
        valid.fold(None, |sum: Option<ServiceDemand>, (_source, (demand, _until))| {
            let mut sum = sum.unwrap_or_default();
            sum.add(demand);
            Some(sum)
        })
    }
}

/// The demand of the entries that report theirs to one process. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct EntryDemands {
    entries: Rc<RefCell<RecentDemands<EntryId>>>,
}

impl EntryDemands {
    /// Records the report of an entry.
    pub fn record(&self, report: DemandReport) {
        let demand = report.demand.map(|demand| ServiceDemand { entries: 1, ..demand });
        self.entries.borrow_mut().record(report.entry, demand);
    }

    /// Returns the sum over all entries that reported theirs in the last second; `None` if none did.
    pub fn sum(&self) -> Option<ServiceDemand> {
        self.entries.borrow().sum(|_entry| true)
    }
}

/// Demand as it is sent. Rates are in units of 1 / [`RATE_UNITS`] per second: three priorities take 15 to 25 bytes.
#[derive(Debug, Serialize, Deserialize)]
struct EncodedDemand {
    entries: u32,
    /// Priority, rate and running requests.
    levels: Vec<(u8, u32, u32)>,
}

/// Encodes a demand; none is empty.
pub(super) fn pack_demand(demand: Option<&ServiceDemand>) -> Vec<u8> {
    let Some(ServiceDemand { levels, entries }) = demand else { return Vec::new() };
    let level = |(level, demand): (&PriorityLevel, &LevelDemand)| {
        let units = (demand.asked.0 * RATE_UNITS).round().clamp(0.0, f64::from(u32::MAX)) as u32;
        (level.0, units, demand.running)
    };
    pack(&EncodedDemand { entries: *entries, levels: levels.iter().map(level).collect() })
}

/// Decodes a demand; an earlier version sends none.
pub(super) fn unpack_demand(bytes: &[u8]) -> Result<Option<ServiceDemand>, Error> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let EncodedDemand { entries, levels } = unpack(bytes)?;
    let level = |(level, units, running): (u8, u32, u32)| {
        let asked = RequestRate(f64::from(units) / RATE_UNITS);
        (PriorityLevel(level), LevelDemand { asked, running })
    };
    Ok(Some(ServiceDemand { levels: levels.into_iter().map(level).collect(), entries }))
}
