//! Expert map: the experts that each rank holds, and each replica's share of its expert's tokens.

use serde::{Deserialize, Serialize};

/// Index of an expert in its layer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExpertId(pub u16);

/// Index of a rank in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankId(pub u16);

/// A replica of an expert.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ExpertReplica {
    /// The rank that holds it.
    pub rank: RankId,
    /// Its share of the expert's tokens; the shares of all replicas sum to 1.
    pub share: f64,
}

/// Experts by rank, and replicas by expert.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExpertMap {
    replicas: Vec<Vec<ExpertReplica>>,
    held: Vec<Vec<ExpertId>>,
}

impl ExpertMap {
    /// Creates a map without replicas.
    pub fn empty(experts: usize, ranks: usize) -> Self {
        Self { replicas: vec![Vec::new(); experts], held: vec![Vec::new(); ranks] }
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of experts.
    pub fn experts(&self) -> usize {
        self.replicas.len()
    }

    /// Returns the replicas of an expert.
    pub fn replicas(&self, expert: ExpertId) -> &[ExpertReplica] {
        &self.replicas[usize::from(expert.0)]
    }

    pub(crate) fn replicas_mut(&mut self, expert: ExpertId) -> &mut [ExpertReplica] {
        &mut self.replicas[usize::from(expert.0)]
    }

    /// Returns the experts that a rank holds.
    pub fn held(&self, rank: RankId) -> &[ExpertId] {
        &self.held[usize::from(rank.0)]
    }

    /// Returns whether a rank holds an expert.
    pub fn holds(&self, rank: RankId, expert: ExpertId) -> bool {
        self.held(rank).contains(&expert)
    }

    /// Returns a rank's share of an expert's tokens, or 0 if it does not hold the expert.
    pub fn share(&self, expert: ExpertId, rank: RankId) -> f64 {
        let replica = self.replicas(expert).iter().find(|replica| replica.rank == rank);
        replica.map_or(0.0, |replica| replica.share)
    }

    /// Adds a replica with a share of 0.
    pub fn add(&mut self, rank: RankId, expert: ExpertId) {
        self.held[usize::from(rank.0)].push(expert);
        self.replicas[usize::from(expert.0)].push(ExpertReplica { rank, share: 0.0 });
    }

    /// Removes a replica and distributes its share to the others.
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

    /// Replaces one expert's replica on a rank by another's.
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

    /// Places each expert without a replica on the rank with the fewest experts.
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

    /// Returns the number of replicas that `other` lacks, which must be loaded to change from `other` to `self`.
    pub fn replicas_missing_in(&self, other: &Self) -> usize {
        let missing = |rank: usize| {
            let id = RankId(rank as u16);
            self.held(id).iter().filter(|expert| !other.holds(id, **expert)).count()
        };
        (0..self.ranks()).map(missing).sum()
    }
}
