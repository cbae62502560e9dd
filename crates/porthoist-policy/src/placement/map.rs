//! The expert map: which rank holds which experts, and each replica's share of its expert's tokens.

use serde::{Deserialize, Serialize};

/// An expert of a layer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExpertId(pub u16);

/// A rank of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankId(pub u16);

/// One replica of an expert.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ExpertReplica {
    /// Where it is.
    pub rank: RankId,
    /// Its part of the expert's tokens; the replicas' shares sum to 1.
    pub share: f64,
}

/// The map.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExpertMap {
    replicas: Vec<Vec<ExpertReplica>>,
    held: Vec<Vec<ExpertId>>,
}

impl ExpertMap {
    /// A map without any replica.
    pub fn empty(experts: usize, ranks: usize) -> Self {
        Self { replicas: vec![Vec::new(); experts], held: vec![Vec::new(); ranks] }
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.held.len()
    }

    /// Number of experts.
    pub fn experts(&self) -> usize {
        self.replicas.len()
    }

    /// The replicas of an expert.
    pub fn replicas(&self, expert: ExpertId) -> &[ExpertReplica] {
        &self.replicas[usize::from(expert.0)]
    }

    pub(crate) fn replicas_mut(&mut self, expert: ExpertId) -> &mut [ExpertReplica] {
        &mut self.replicas[usize::from(expert.0)]
    }

    /// The experts that a rank holds.
    pub fn held(&self, rank: RankId) -> &[ExpertId] {
        &self.held[usize::from(rank.0)]
    }

    /// Whether a rank holds an expert.
    pub fn holds(&self, rank: RankId, expert: ExpertId) -> bool {
        self.held(rank).contains(&expert)
    }

    /// A rank's share of an expert's tokens.
    pub fn share(&self, expert: ExpertId, rank: RankId) -> f64 {
        let replica = self.replicas(expert).iter().find(|replica| replica.rank == rank);
        replica.map_or(0.0, |replica| replica.share)
    }

    /// Adds a replica without a share.
    pub fn add(&mut self, rank: RankId, expert: ExpertId) {
        self.held[usize::from(rank.0)].push(expert);
        self.replicas[usize::from(expert.0)].push(ExpertReplica { rank, share: 0.0 });
    }

    /// Removes a replica; its share goes to the others.
    pub fn remove(&mut self, rank: RankId, expert: ExpertId) {
        self.held[usize::from(rank.0)].retain(|held| *held != expert);
        let replicas = &mut self.replicas[usize::from(expert.0)];
        replicas.retain(|replica| replica.rank != rank);
        let total: f64 = replicas.iter().map(|replica| replica.share).sum();
        let count = replicas.len() as f64;
        for replica in replicas {
            replica.share = if total > 0.0 { replica.share / total } else { 1.0 / count };
        }
    }

    /// Puts one expert's replica in another's place.
    pub fn replace(&mut self, rank: RankId, evict: ExpertId, expert: ExpertId) {
        self.remove(rank, evict);
        self.add(rank, expert);
    }

    /// Gives each replica of an expert the same share.
    pub fn share_equally(&mut self) {
        for replicas in &mut self.replicas {
            let count = replicas.len() as f64;
            for replica in replicas {
                replica.share = 1.0 / count;
            }
        }
    }

    /// Gives every expert without a replica a place on the emptiest rank.
    pub fn fill_missing(&mut self, slots: usize) {
        for expert in 0..self.experts() {
            let id = ExpertId(expert as u16);
            if !self.replicas(id).is_empty() {
                continue;
            }
            let free = (0..self.ranks()).filter(|rank| self.held[*rank].len() < slots);
            if let Some(rank) = free.min_by_key(|rank| self.held[*rank].len()) {
                self.add(RankId(rank as u16), id);
            }
        }
    }

    /// Replicas of `self` that `other` does not have: what must be loaded to come from `other` to `self`.
    pub fn replicas_missing_in(&self, other: &Self) -> usize {
        let missing = |rank: usize| {
            let id = RankId(rank as u16);
            self.held(id).iter().filter(|expert| !other.holds(id, **expert)).count()
        };
        (0..self.ranks()).map(missing).sum()
    }
}
