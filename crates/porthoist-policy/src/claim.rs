//! Claims of callers' own idempotency keys: key to ticket, one row in the table.
//!
//! The row is written before the request is sent. "Not run" is said of a key only after its row was moved away
//! from the refused ticket by a conditional write; a write whose answer was lost is recognised by its writer id.

use porthoist_core::{RefusalReason, RunVerdict};

/// Most tickets that one keyed request goes through before it is refused.
pub const MAX_TICKETS: u8 = 3;
/// Most offers of one ticket whose answer was lost.
pub const MAX_REPLAYS: u8 = 3;
/// Most table calls without an answer in a row.
pub const MAX_SILENT_CALLS: u8 = 3;

/// What a claim row says about its key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum ClaimState<T> {
    /// The request runs under this ticket or not at all.
    Ticket(T),
    /// The request did not run and never will.
    Closed(RefusalReason),
}

/// A claim row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct ClaimRow<T> {
    /// Fingerprint of the request that the key belongs to.
    pub fingerprint: u64,
    /// What the key stands for.
    pub state: ClaimState<T>,
    /// Unique for each write, so that its writer recognises it.
    pub writer: u64,
}

/// A row as read: its version and content.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionedClaim<T> {
    /// Version for a conditional write.
    pub version: u64,
    /// The row.
    pub row: ClaimRow<T>,
}

/// What the machine asks its driver to do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimAction<T> {
    /// Get a ticket from a target.
    Mint,
    /// Write the row if its version is `expected` (`None`: absent).
    Write {
        /// Version that the row must have.
        expected: Option<u64>,
        /// The new row.
        row: ClaimRow<T>,
    },
    /// Read the row.
    Read,
    /// Offer the request under this ticket.
    Offer(T),
    /// Done: the answer that the last offer gave goes to the caller.
    Answer,
    /// Done: refuse.
    Refuse(RefusalReason, RunVerdict),
}

/// What the driver reports.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimEvent<T> {
    /// A ticket was minted.
    Minted(T),
    /// No ticket could be had.
    MintFailed(RefusalReason),
    /// The write took effect with this version.
    Written(u64),
    /// The write's condition failed; the row in force, if any.
    Conflict(Option<VersionedClaim<T>>),
    /// The row as read.
    Read(Option<VersionedClaim<T>>),
    /// The table did not answer; a write may still take effect.
    TableUnavailable,
    /// The target answered in full.
    Answered,
    /// The target refused.
    OfferRefused(RefusalReason, RunVerdict),
    /// The offer's answer was lost.
    OfferLost,
}

/// Rules that the model checker breaks one at a time.
#[expect(clippy::struct_excessive_bools, reason = "each flag is one rule that the checker breaks alone")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRules {
    /// The row is closed before "not run" is said.
    pub close_before_not_run: bool,
    /// The row is written before the first offer.
    pub claim_before_offer: bool,
    /// A lost offer is repeated only under the same ticket.
    pub same_ticket_after_loss: bool,
    /// The row moves only by a conditional write.
    pub conditional_move: bool,
}

impl ClaimRules {
    /// The rules in force.
    pub const SOUND: Self = Self {
        close_before_not_run: true,
        claim_before_offer: true,
        same_ticket_after_loss: true,
        conditional_move: true,
    };
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ClaimStep<T> {
    Minting { expected: Option<u64> },
    Writing { expected: Option<u64>, row: ClaimRow<T> },
    ReadingBack { expected: Option<u64>, row: ClaimRow<T> },
    Offering { version: u64, ticket: T },
    Done,
}

/// One keyed request at one entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimMachine<T> {
    rules: ClaimRules,
    fingerprint: u64,
    writer: u64,
    tickets: u8,
    replays: u8,
    silent: u8,
    reason: RefusalReason,
    step: ClaimStep<T>,
}

impl<T: Clone + PartialEq> ClaimMachine<T> {
    /// Starts a claim; `writer` is random and the low byte counts its writes.
    pub fn start(fingerprint: u64, writer: u64, rules: ClaimRules) -> (Self, ClaimAction<T>) {
        let machine = Self {
            rules,
            fingerprint,
            writer: writer & !0xff,
            tickets: 0,
            replays: 0,
            silent: 0,
            reason: RefusalReason::ClaimUnavailable,
            step: ClaimStep::Minting { expected: None },
        };
        (machine, ClaimAction::Mint)
    }

    /// Takes an event and returns the next action; events that don't fit the present step change nothing.
    pub fn on(&mut self, event: ClaimEvent<T>) -> Option<ClaimAction<T>> {
        match (self.step.clone(), event) {
            (ClaimStep::Minting { expected }, ClaimEvent::Minted(ticket)) => {
                Some(self.write(expected, ticket))
            }
            (ClaimStep::Minting { expected }, ClaimEvent::MintFailed(reason)) => {
                self.reason = reason;
                Some(self.close(expected))
            }
            (ClaimStep::Writing { row, .. }, ClaimEvent::Written(version)) => Some(self.holds(version, row)),
            (ClaimStep::Writing { expected, row }, ClaimEvent::Conflict(found)) => {
                Some(self.lost_race(expected, row, found))
            }
            (
                ClaimStep::Writing { expected, row } | ClaimStep::ReadingBack { expected, row },
                ClaimEvent::TableUnavailable,
            ) => Some(self.read_back(expected, row)),
            (ClaimStep::ReadingBack { expected, row }, ClaimEvent::Read(found)) => {
                Some(self.recognise(expected, row, found))
            }
            (ClaimStep::Offering { .. }, ClaimEvent::Answered) => Some(self.done(ClaimAction::Answer)),
            (ClaimStep::Offering { version, .. }, ClaimEvent::OfferRefused(reason, verdict)) => {
                Some(self.refused(version, reason, verdict))
            }
            (ClaimStep::Offering { version, ticket }, ClaimEvent::OfferLost) => {
                Some(self.lost(version, ticket))
            }
            _ => None,
        }
    }

    fn done(&mut self, action: ClaimAction<T>) -> ClaimAction<T> {
        self.step = ClaimStep::Done;
        action
    }

    fn unknown(&mut self, reason: RefusalReason) -> ClaimAction<T> {
        self.done(ClaimAction::Refuse(reason, RunVerdict::MayHaveRun))
    }

    fn write(&mut self, expected: Option<u64>, ticket: T) -> ClaimAction<T> {
        self.tickets += 1;
        if !self.rules.claim_before_offer && expected.is_none() {
            return self.offer(0, ticket);
        }
        self.write_row(expected, ClaimState::Ticket(ticket))
    }

    fn close(&mut self, expected: Option<u64>) -> ClaimAction<T> {
        if !self.rules.close_before_not_run {
            return self.done(ClaimAction::Refuse(self.reason, RunVerdict::NotRun));
        }
        self.write_row(expected, ClaimState::Closed(self.reason))
    }

    fn write_row(&mut self, expected: Option<u64>, state: ClaimState<T>) -> ClaimAction<T> {
        self.writer += 1;
        let row = ClaimRow { fingerprint: self.fingerprint, state, writer: self.writer };
        self.send_write(expected, row)
    }

    fn send_write(&mut self, expected: Option<u64>, row: ClaimRow<T>) -> ClaimAction<T> {
        self.step = ClaimStep::Writing { expected, row: row.clone() };
        ClaimAction::Write { expected, row }
    }

    fn read_back(&mut self, expected: Option<u64>, row: ClaimRow<T>) -> ClaimAction<T> {
        self.silent += 1;
        if self.silent >= MAX_SILENT_CALLS {
            return self.unknown(RefusalReason::ClaimUnavailable);
        }
        self.step = ClaimStep::ReadingBack { expected, row };
        ClaimAction::Read
    }

    fn recognise(
        &mut self,
        expected: Option<u64>,
        row: ClaimRow<T>,
        found: Option<VersionedClaim<T>>,
    ) -> ClaimAction<T> {
        let version = found.as_ref().map(|claim| claim.version);
        if version == expected {
            // The write has not taken effect yet: the same row again, under the same condition.
            return self.send_write(expected, row);
        }
        self.lost_race(expected, row, found)
    }

    fn lost_race(
        &mut self,
        expected: Option<u64>,
        row: ClaimRow<T>,
        found: Option<VersionedClaim<T>>,
    ) -> ClaimAction<T> {
        let Some(claim) = found else {
            // The row is gone although it was there: expired, so nothing is known of the key.
            return self.unknown(RefusalReason::ClaimUnavailable);
        };
        if claim.row.writer == row.writer {
            return self.holds(claim.version, row);
        }
        if !self.rules.conditional_move && expected.is_some() {
            return self.holds(claim.version, row);
        }
        self.follow(claim)
    }

    fn follow(&mut self, claim: VersionedClaim<T>) -> ClaimAction<T> {
        if claim.row.fingerprint != self.fingerprint {
            return self.unknown(RefusalReason::KeyMismatch);
        }
        self.holds(claim.version, claim.row)
    }

    fn holds(&mut self, version: u64, row: ClaimRow<T>) -> ClaimAction<T> {
        self.silent = 0;
        match row.state {
            ClaimState::Ticket(ticket) => self.offer(version, ticket),
            ClaimState::Closed(reason) => self.done(ClaimAction::Refuse(reason, RunVerdict::NotRun)),
        }
    }

    fn offer(&mut self, version: u64, ticket: T) -> ClaimAction<T> {
        self.step = ClaimStep::Offering { version, ticket: ticket.clone() };
        ClaimAction::Offer(ticket)
    }

    fn refused(&mut self, version: u64, reason: RefusalReason, verdict: RunVerdict) -> ClaimAction<T> {
        if verdict != RunVerdict::NotRun {
            return self.done(ClaimAction::Refuse(reason, verdict));
        }
        self.reason = reason;
        let expected = Some(version);
        if self.tickets >= MAX_TICKETS {
            return self.close(expected);
        }
        self.step = ClaimStep::Minting { expected };
        ClaimAction::Mint
    }

    fn lost(&mut self, version: u64, ticket: T) -> ClaimAction<T> {
        self.replays += 1;
        if self.replays >= MAX_REPLAYS {
            return self.unknown(RefusalReason::ConnectionLost);
        }
        if !self.rules.same_ticket_after_loss {
            self.step = ClaimStep::Minting { expected: Some(version) };
            return ClaimAction::Mint;
        }
        self.offer(version, ticket)
    }
}
