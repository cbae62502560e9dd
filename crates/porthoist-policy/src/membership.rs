//! A process's view of the fleet: which targets are alive, in which incarnation, and which are leaving.
//!
//! The view lags behind and only saves round trips. A leaving mark stays until the incarnation changes.

use porthoist_core::{HostName, IncarnationId, ServiceName, TargetName, UnixMillis, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of targets with a record in one process.
pub const MAX_MEMBERS: usize = 4096;

/// One run of a target's process, ordered by start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessLife {
    /// Start time on the process's own clock; used only to choose between two reports.
    pub started: UnixMillis,
    /// Random identifier of the run.
    pub incarnation: IncarnationId,
}

/// One process's report on a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The target.
    pub target: TargetName,
    /// Its host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of the target's fleet listener.
    pub address: String,
    /// The run of its process, if known.
    pub life: Option<ProcessLife>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The services that it runs; empty if unknown.
    pub services: Vec<ServiceName>,
}

/// A target as known to this process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// Merged content of the digests.
    pub digest: MemberDigest,
    /// Time of the last digest.
    pub last_seen: UnixMillis,
}

/// Records of all known targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemberTable {
    records: BTreeMap<TargetName, MemberRecord>,
}

impl MemberTable {
    /// Merges a digest and returns whether the merged content changed.
    pub fn apply(&mut self, now: UnixMillis, digest: MemberDigest) -> bool {
        let Some(record) = self.records.get_mut(&digest.target) else {
            if self.records.len() >= MAX_MEMBERS {
                return false;
            }
            let target = digest.target.clone();
            self.records.insert(target, MemberRecord { digest, last_seen: now });
            return true;
        };
        record.last_seen = record.last_seen.max(now);
        merge(&mut record.digest, digest)
    }

    /// Returns the record of a target.
    pub fn get(&self, target: &TargetName) -> Option<&MemberRecord> {
        self.records.get(target)
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Drops targets without a digest since `before` and returns their names.
    pub fn expire(&mut self, before: UnixMillis) -> Vec<TargetName> {
        let expired = |record: &&MemberRecord| record.last_seen < before;
        let removed: Vec<_> =
            self.records.values().filter(expired).map(|record| record.digest.target.clone()).collect();
        for target in &removed {
            self.records.remove(target);
        }
        removed
    }
}

fn merge(known: &mut MemberDigest, update: MemberDigest) -> bool {
    let older = known.life.is_some() && update.life.is_some() && update.life < known.life;
    if older {
        return false;
    }
    let before = known.clone();
    let restarted = update.life.is_some() && update.life != known.life;
    known.leaving = if restarted { update.leaving } else { known.leaving || update.leaving };
    known.life = update.life.or(known.life);
    known.address = update.address;
    known.zone = update.zone;
    known.host = update.host;
    if !update.services.is_empty() {
        known.services = update.services;
    }
    *known != before
}

/// Returns the rendezvous score of a member for a key; the member with the highest score owns the key.
pub fn rendezvous_score(key: u64, member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}

/// Returns the `count` members with the highest scores for `key`, highest first. All processes get the same result.
pub fn rendezvous_subset<'a, I>(key: u64, members: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut scored: Vec<(u64, &str)> =
        members.into_iter().map(|member| (rendezvous_score(key, member), member)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().take(count).map(|(_score, member)| member).collect()
}
