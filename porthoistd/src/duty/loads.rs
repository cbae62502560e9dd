//! The loads duty: asks the processes beside ranks what runs and waits at each rank, so that this process places requests by
//! the loads of all and not only by its own.
//!
//! The process that plans for a group has all others tell its loads on. Each entry asks one of its own zone where there is
//! one: a single process that told 149 entries 12 times a second needed twice its link of 6 Mbit/s. A service may have
//! several groups; a target that no followed process tells of is asked, until all are told of.

use porthoist_core::{ServiceName, ZoneName};
use porthoist_fleet::{LoadsAnswer, RankPeer};
use porthoist_http::CallError;
use porthoist_policy::proxy::loads::{GroupLoads, LoadRevision};
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

/// Time in milliseconds within which a process that plans has something new; its rounds take up to 350.
const ANSWER_MILLIS: u64 = 1_000;
/// Processes that are followed for one group at most: one may stand still, and each tells as much as the others.
const FOLLOWED: usize = 2;
/// Pause between two looks for groups that nothing is known of, in milliseconds.
const PAUSE_MILLIS: u64 = 300;

/// Follows the loads of all groups.
#[derive(Debug, Clone)]
pub struct LoadsDuty {
    /// Port on which the processes beside engines listen.
    pub rank_port: u16,
    /// The availability zone of this process.
    pub zone: ZoneName,
    /// What this process believes of services and targets.
    pub state: watch::Receiver<ControlState>,
    /// Takes each report of any group; one that finds it full is dropped, since a newer one follows.
    pub loads: mpsc::Sender<GroupLoads>,
    /// The log.
    pub logger: Logger,
}

/// Hosts that each followed process tells of.
type ToldHosts = Rc<RefCell<HashMap<SocketAddr, HashSet<Ipv4Addr>>>>;

impl LoadsDuty {
    /// Runs for ever.
    pub async fn run(self) {
        let told = ToldHosts::default();
        loop {
            let found = match self.untold_process(&told) {
                Some(address) => self.find_planner(address).await,
                None => None,
            };
            let Some(planner) = found else {
                tokio::time::sleep(Duration::from_millis(PAUSE_MILLIS)).await;
                continue;
            };
            if told.borrow().contains_key(&planner) {
                // It does not tell of this host yet: the group forms anew.
                tokio::time::sleep(Duration::from_millis(PAUSE_MILLIS)).await;
                continue;
            }
            told.borrow_mut().insert(planner, HashSet::new());
            let (duty, told) = (self.clone(), Rc::clone(&told));
            tokio::task::spawn_local(async move {
                duty.follow_process(planner, &told).await;
                told.borrow_mut().remove(&planner);
            });
        }
    }

    /// The process beside any target of a group that nothing is known of, in this process's zone if there is one.
    fn untold_process(&self, told: &ToldHosts) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let services = &state.routes.as_ref()?.services;
        let ranked = |service: &ServiceName| services.get(service).is_some_and(|spec| spec.engine.is_some());
        let told = told.borrow();
        let known = |host: &Ipv4Addr| told.values().any(|hosts| hosts.contains(host));
        let targets = state.targets.records().filter(|record| ranked(&record.service));
        let hosts = targets.filter_map(|record| match record.address.ip() {
            IpAddr::V4(host) => Some((host, record.zone == self.zone)),
            IpAddr::V6(_host) => None,
        });
        let untold: Vec<(Ipv4Addr, bool)> = hosts.filter(|(host, _near)| !known(host)).collect();
        let near = untold.iter().any(|(_host, near)| *near);
        let hosts = untold.into_iter().filter(|(_host, own_zone)| *own_zone || !near);
        let (host, _near) = hosts.choose(&mut rand::rng())?;
        Some(SocketAddr::from((host, self.rank_port)))
    }

    /// A process that tells the loads of the group of the engine beside another process.
    async fn find_planner(&self, address: SocketAddr) -> Option<SocketAddr> {
        let peer = RankPeer::new(address);
        let asked = peer.loads(LoadRevision::default());
        // No answer is usual where a host or group is down.
        let answer = tokio::time::timeout(Duration::from_millis(ANSWER_MILLIS), asked).await.ok()?.ok()?;
        match answer {
            LoadsAnswer::Loads(_loads) => Some(address),
            LoadsAnswer::Redirect(host) => host.map(|host| SocketAddr::from((host, self.rank_port))),
        }
    }

    /// Publishes the loads that a process tells until it hears of none any more.
    async fn follow_process(&self, address: SocketAddr, told: &ToldHosts) {
        let peer = RankPeer::new(address);
        let mut known = LoadRevision::default();
        let end = loop {
            let asked = tokio::time::timeout(Duration::from_millis(ANSWER_MILLIS), peer.loads(known)).await;
            match asked {
                Ok(Ok(LoadsAnswer::Loads(loads))) => {
                    if known == LoadRevision::default() {
                        info!(self.logger, "loads are known"; "event" => "dependency_regained",
                            "dependency" => "loads", "process" => address.to_string(),
                            "ranks" => loads.ranks.len());
                    }
                    known = loads.revision;
                    let hosts = loads.ranks.iter().map(|rank| rank.host).collect();
                    told.borrow_mut().insert(address, hosts);
                    if self.is_spare(address, &told.borrow()) {
                        return;
                    }
                    self.publish(loads);
                }
                Ok(Ok(LoadsAnswer::Redirect(_host))) => break None,
                Ok(Err(error)) => break Some(error),
                Err(_elapsed) => break Some(CallError::unknown("no loads in time")),
            }
        };
        if known > LoadRevision::default() {
            info!(self.logger, "loads are unknown"; "event" => "dependency_lost", "dependency" => "loads",
                "process" => address.to_string(), "revision" => known.0,
                "error" => end.as_ref().map(ToString::to_string));
        }
    }

    /// Whether enough other processes tell of all hosts that a process tells of: while a group forms, reports lack ranks, and the
    /// processes beside those are found too. Those of other zones are left first.
    fn is_spare(&self, address: SocketAddr, told: &HashMap<SocketAddr, HashSet<Ipv4Addr>>) -> bool {
        let Some(hosts) = told.get(&address) else { return false };
        let order = |address: &SocketAddr| (!self.is_near(address), *address);
        let same = told.iter().filter(|(other, others)| {
            order(other) < order(&address) && hosts.iter().all(|host| others.contains(host))
        });
        !hosts.is_empty() && same.count() >= FOLLOWED
    }

    fn is_near(&self, address: &SocketAddr) -> bool {
        let state = self.state.borrow();
        let mut near = state.targets.records().filter(|record| record.zone == self.zone);
        near.any(|record| record.address.ip() == address.ip())
    }

    fn publish(&self, loads: GroupLoads) {
        if let Err(TrySendError::Full(dropped)) = self.loads.try_send(loads) {
            warn!(self.logger, "a report of loads is dropped"; "event" => "loads_dropped",
                "revision" => dropped.revision.0);
        }
    }
}
