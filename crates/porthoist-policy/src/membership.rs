//! What a process believes of the fleet: who lives, in which incarnation, and who is leaving.
//!
//! Beliefs are late by nature; they only spare round trips. A leaving mark stays until the incarnation changes.

use porthoist_core::{HostName, IncarnationId, ServiceName, TargetName, UnixMillis, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most targets that one process keeps a record of.
pub const MAX_MEMBERS: usize = 4096;

/// One life of a target's process, ordered by when it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessLife {
    /// Start on the process's own clock; it decides only which of two reports is preferred.
    pub started: UnixMillis,
    /// Random identifier.
    pub incarnation: IncarnationId,
}

/// What one process says of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The target.
    pub target: TargetName,
    /// Its host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of its fleet listener.
    pub address: String,
    /// Its life, if known.
    pub life: Option<ProcessLife>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The services it runs, if known.
    pub services: Vec<ServiceName>,
}

/// A target as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// The newest digest, merged.
    pub digest: MemberDigest,
    /// When it was last heard of.
    pub heard_at: UnixMillis,
}

/// The records of all targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemberTable {
    records: BTreeMap<TargetName, MemberRecord>,
}

impl MemberTable {
    /// Merges a digest; returns whether anything that matters to routing changed.
    pub fn apply(&mut self, now: UnixMillis, digest: MemberDigest) -> bool {
        let Some(record) = self.records.get_mut(&digest.target) else {
            if self.records.len() >= MAX_MEMBERS {
                return false;
            }
            let target = digest.target.clone();
            self.records.insert(target, MemberRecord { digest, heard_at: now });
            return true;
        };
        record.heard_at = record.heard_at.max(now);
        merge(&mut record.digest, digest)
    }

    /// The record of a target.
    pub fn get(&self, target: &TargetName) -> Option<&MemberRecord> {
        self.records.get(target)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Forgets targets that were not heard of since `before`; returns their names.
    pub fn expire(&mut self, before: UnixMillis) -> Vec<TargetName> {
        let silent = |record: &&MemberRecord| record.heard_at < before;
        let gone: Vec<_> =
            self.records.values().filter(silent).map(|record| record.digest.target.clone()).collect();
        for target in &gone {
            self.records.remove(target);
        }
        gone
    }
}

fn merge(known: &mut MemberDigest, news: MemberDigest) -> bool {
    let older = known.life.is_some() && news.life.is_some() && news.life < known.life;
    if older {
        return false;
    }
    let before = known.clone();
    let reborn = news.life.is_some() && news.life != known.life;
    known.leaving = if reborn { news.leaving } else { known.leaving || news.leaving };
    known.life = news.life.or(known.life);
    known.address = news.address;
    known.zone = news.zone;
    known.host = news.host;
    if !news.services.is_empty() {
        known.services = news.services;
    }
    *known != before
}

/// Rendezvous score of a member for a key: the member with the highest score is the key's home.
pub fn rendezvous_score(key: u64, member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}

/// The `count` members with the highest scores for `key`, highest first; the same on every process.
pub fn rendezvous_subset<'a, I>(key: u64, members: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut scored: Vec<(u64, &str)> =
        members.into_iter().map(|member| (rendezvous_score(key, member), member)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().take(count).map(|(_score, member)| member).collect()
}
