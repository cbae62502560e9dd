//! Follows the loads of rank groups, as reported by the processes next to their ranks, so that this process
//! places requests by the load of all entries and not only its own.
//!
//! The process that plans for a group has the other rank processes forward its load reports. Each entry asks
//! one of its own zone if there is one: a single process that reported to 149 entries 12 times a second
//! needed twice its 6 Mbit/s link. A service may have several groups; targets that no followed process
//! reports on are queried until all are covered.

use crate::component::spawn_task;
use porthoist_core::{ServiceName, ZoneName};
use porthoist_fleet::{AgedLoads, DemandReport, LoadsAnswer, RankPeer};
use porthoist_http::CallError;
use porthoist_policy::proxy::demand::OwnDemand;
use porthoist_policy::proxy::entry_positions::EntryId;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision};
use porthoist_proxy::ControlState;
use rand::seq::IteratorRandom as _;
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};

/// Timeout in milliseconds of a load query. A planning process has a new report within this time; its rounds
/// take up to 350 ms.
const QUERY_TIMEOUT_MILLIS: u64 = 1_000;
/// Maximum number of processes followed per group. Each reports the same; a second one covers a stalled
/// process.
const MAX_FOLLOWED: usize = 2;
/// Delay in milliseconds between searches for groups without known loads.
const SEARCH_DELAY_MILLIS: u64 = 300;
/// Longest time in milliseconds for which the next query waits for the demand that the callers thread
/// publishes with each report. That takes it a few milliseconds; without waiting, the reported demand would
/// be older by a round of the planning process.
const DEMAND_WAIT_MILLIS: u64 = 10;

/// Follows the loads of all groups and forwards their reports.
#[derive(Debug, Clone)]
pub struct LoadsWatch {
    /// Port on which the processes next to engines listen.
    pub rank_port: u16,
    /// The availability zone of this process.
    pub zone: ZoneName,
    /// Last known services and targets.
    pub state: watch::Receiver<ControlState>,
    /// Receives the reports of all groups. A report is dropped if this is full, since a newer one follows.
    pub loads: mpsc::Sender<AgedLoads>,
    /// Identifies this process to those next to ranks.
    pub entry: EntryId,
    /// This process's demand, which it reports to one followed process of each group.
    pub own_demand: watch::Receiver<OwnDemand>,
    /// The logger.
    pub logger: Logger,
}

/// Hosts covered by the reports of each followed process.
type ReportedHosts = Rc<RefCell<HashMap<SocketAddr, HashSet<Ipv4Addr>>>>;

impl LoadsWatch {
    /// Runs forever; must run on a `LocalSet`.
    pub async fn run(self) {
        let reported = ReportedHosts::default();
        loop {
            let found = match self.unfollowed_process(&reported) {
                Some(address) => self.find_planner(address).await,
                None => None,
            };
            let Some(planner) = found else {
                tokio::time::sleep(Duration::from_millis(SEARCH_DELAY_MILLIS)).await;
                continue;
            };
            if reported.borrow().contains_key(&planner) {
                // Its reports do not cover this host yet: the group is forming.
                tokio::time::sleep(Duration::from_millis(SEARCH_DELAY_MILLIS)).await;
                continue;
            }
            reported.borrow_mut().insert(planner, HashSet::new());
            let (watch, reported) = (self.clone(), Rc::clone(&reported));
            spawn_task(async move {
                watch.follow_process(planner, &reported).await;
                reported.borrow_mut().remove(&planner);
            });
        }
    }

    /// A random process next to a target whose group has no known loads; one of this process's zone if there
    /// is any.
    fn unfollowed_process(&self, reported: &ReportedHosts) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let services = &state.routes.as_ref()?.services;
        let ranked = |service: &ServiceName| services.get(service).is_some_and(|spec| spec.engine.is_some());
        let reported = reported.borrow();
        let known = |host: &Ipv4Addr| reported.values().any(|hosts| hosts.contains(host));
        let targets = state.targets.records().filter(|record| ranked(&record.service));
        let hosts = targets.filter_map(|record| match record.address.ip() {
            IpAddr::V4(host) => Some((host, record.zone == self.zone)),
            IpAddr::V6(_host) => None,
        });
        let unreported: Vec<(Ipv4Addr, bool)> = hosts.filter(|(host, _own_zone)| !known(host)).collect();
        let any_in_own_zone = unreported.iter().any(|(_host, own_zone)| *own_zone);
        let hosts = unreported.into_iter().filter(|(_host, own_zone)| *own_zone || !any_in_own_zone);
        let (host, _own_zone) = hosts.choose(&mut rand::rng())?;
        Some(SocketAddr::from((host, self.rank_port)))
    }

    /// The process that reports the loads of the group at `address`: that one, or the one it redirects to.
    async fn find_planner(&self, address: SocketAddr) -> Option<SocketAddr> {
        let peer = RankPeer::new(address);
        let reply = peer.loads(LoadRevision::default());
        // A host or group that is down gives no answer.
        let answer =
            tokio::time::timeout(Duration::from_millis(QUERY_TIMEOUT_MILLIS), reply).await.ok()?.ok()?;
        match answer {
            LoadsAnswer::Loads(_loads) => Some(address),
            LoadsAnswer::Redirect(host) => host.map(|host| SocketAddr::from((host, self.rank_port))),
        }
    }

    /// Publishes the reports of a process until it stops reporting or becomes redundant.
    async fn follow_process(&self, address: SocketAddr, reported: &ReportedHosts) {
        let peer = RankPeer::new(address);
        let mut last_revision = LoadRevision::default();
        let mut own_demand = self.own_demand.clone();
        let error = loop {
            let report = self.demand_report(address, &reported.borrow());
            let reply = peer.loads_for_entry(last_revision, report.as_ref());
            let reply = tokio::time::timeout(Duration::from_millis(QUERY_TIMEOUT_MILLIS), reply).await;
            match reply {
                Ok(Ok(LoadsAnswer::Loads(loads))) => {
                    if last_revision == LoadRevision::default() {
                        info!(self.logger, "loads available"; "event" => "dependency_regained",
                            "dependency" => "loads", "process" => address.to_string(),
                            "ranks" => loads.ranks.len());
                    }
                    last_revision = loads.revision;
                    let hosts = loads.ranks.iter().map(|rank| rank.host).collect();
                    reported.borrow_mut().insert(address, hosts);
                    if self.is_redundant(address, &reported.borrow()) {
                        return;
                    }
                    own_demand.mark_unchanged();
                    self.publish(loads);
                    if !own_demand.borrow().is_empty() {
                        // Without an update, the last known demand is reported.
                        let wait = Duration::from_millis(DEMAND_WAIT_MILLIS);
                        drop(tokio::time::timeout(wait, own_demand.changed()).await);
                    }
                }
                Ok(Ok(LoadsAnswer::Redirect(_host))) => break None,
                Ok(Err(error)) => break Some(error),
                Err(_elapsed) => break Some(CallError::unknown("no load report before the timeout")),
            }
        };
        if last_revision > LoadRevision::default() {
            info!(self.logger, "loads unavailable"; "event" => "dependency_lost", "dependency" => "loads",
                "process" => address.to_string(), "revision" => last_revision.0,
                "error" => error.as_ref().map(ToString::to_string));
        }
    }

    /// Whether enough other followed processes cover all hosts that this one covers. While a group forms,
    /// reports lack ranks, and the processes next to the missing ones are followed as well. Processes of
    /// other zones are dropped first.
    fn is_redundant(&self, address: SocketAddr, reported: &HashMap<SocketAddr, HashSet<Ipv4Addr>>) -> bool {
        let Some(hosts) = reported.get(&address) else { return false };
        let priority = |address: &SocketAddr| (!self.in_own_zone(address), *address);
        let covering = reported.iter().filter(|(other, others)| {
            priority(other) < priority(&address) && hosts.iter().all(|host| others.contains(host))
        });
        !hosts.is_empty() && covering.count() >= MAX_FOLLOWED
    }

    /// What this process reports with its next query to `address`: its demand on the service of the group, if
    /// that is one whose capacity is divided, and nothing else. Of several followed processes that report the
    /// same hosts, the first one gets the demand, so that it is not counted twice.
    fn demand_report(
        &self,
        address: SocketAddr,
        reported: &HashMap<SocketAddr, HashSet<Ipv4Addr>>,
    ) -> Option<DemandReport> {
        let hosts = reported.get(&address)?;
        let own_demand = self.own_demand.borrow();
        if own_demand.is_empty() {
            return None;
        }
        let demand = own_demand.get(&self.service_of(hosts)?)?;
        let priority = |address: &SocketAddr| (!self.in_own_zone(address), *address);
        let own_priority = priority(&address);
        let first = !reported.iter().any(|(other, others)| {
            priority(other) < own_priority && hosts.iter().any(|host| others.contains(host))
        });
        Some(DemandReport { entry: self.entry, demand: first.then(|| demand.clone()) })
    }

    /// The service of the targets on some hosts.
    fn service_of(&self, hosts: &HashSet<Ipv4Addr>) -> Option<ServiceName> {
        let state = self.state.borrow();
        let mut records = state.targets.records();
        let here = |ip: IpAddr| matches!(ip, IpAddr::V4(host) if hosts.contains(&host));
        records.find(|record| here(record.address.ip())).map(|record| record.service.clone())
    }

    fn in_own_zone(&self, address: &SocketAddr) -> bool {
        let state = self.state.borrow();
        let mut records = state.targets.records().filter(|record| record.zone == self.zone);
        records.any(|record| record.address.ip() == address.ip())
    }

    fn publish(&self, loads: GroupLoads) {
        if let Err(TrySendError::Full(dropped)) = self.loads.try_send(AgedLoads::new(loads)) {
            warn!(self.logger, "load report dropped"; "event" => "loads_dropped",
                "revision" => dropped.received().revision.0);
        }
    }
}
