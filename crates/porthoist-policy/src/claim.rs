//! Claims of callers' idempotency keys: a table row maps each key to a ticket.
//!
//! The row is written before the request is sent. "Not run" is reported for a key only after a conditional write has
//! replaced the refused ticket in its row. A write whose response was lost is recognised by its writer id.

use porthoist_core::{RefusalReason, RunVerdict};

/// Maximum number of tickets for one keyed request.
pub const MAX_TICKETS: u8 = 3;
/// Number of offers with a lost answer after which a request is refused.
pub const MAX_REPLAYS: u8 = 3;
/// Number of consecutive table calls without a response after which a request is refused.
pub const MAX_UNANSWERED_CALLS: u8 = 3;

/// State of a key in its claim row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum ClaimState<T> {
    /// The request runs under this ticket, or not at all.
    Ticket(T),
    /// The request did not run and never will.
    Closed(RefusalReason),
}

/// Table row of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct ClaimRow<T> {
    /// Fingerprint of the request that the key belongs to.
    pub fingerprint: u64,
    /// State of the key.
    pub state: ClaimState<T>,
    /// Unique for each write, so that the writer recognises its own row.
    pub writer: u64,
}

/// A row and its version, as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionedClaim<T> {
    /// Version that a conditional write names.
    pub version: u64,
    /// The row.
    pub row: ClaimRow<T>,
}

/// Action for the driver of a [`ClaimMachine`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimAction<T> {
    /// Request a ticket from a target.
    Mint,
    /// Write the row if its version is `expected`; `None` means that it must be absent.
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
    /// Done: return the answer of the last offer to the caller.
    Answer,
    /// Done: refuse the request.
    Refuse(RefusalReason, RunVerdict),
}

/// Event reported by the driver.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimEvent<T> {
    /// A ticket was minted.
    Minted(T),
    /// No target issued a ticket.
    MintFailed(RefusalReason),
    /// The write took effect with this version.
    Written(u64),
    /// The condition of the write failed; contains the current row, if any.
    Conflict(Option<VersionedClaim<T>>),
    /// The current row, if any.
    Read(Option<VersionedClaim<T>>),
    /// The table did not respond; a write may still take effect.
    TableUnavailable,
    /// The target answered completely.
    Answered,
    /// The target refused the offer.
    OfferRefused(RefusalReason, RunVerdict),
    /// The answer to the offer was lost.
    OfferLost,
}

/// Rules of a claim; the model checker disables them one at a time.
#[expect(clippy::struct_excessive_bools, reason = "each flag is one rule that the checker breaks alone")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRules {
    /// The row is closed before "not run" is reported.
    pub close_before_not_run: bool,
    /// The row is written before the first offer.
    pub claim_before_offer: bool,
    /// An offer with a lost answer is repeated only under the same ticket.
    pub same_ticket_after_loss: bool,
    /// The row is changed only by a conditional write.
    pub conditional_update: bool,
}

impl ClaimRules {
    /// All rules enabled.
    pub const SOUND: Self = Self {
        close_before_not_run: true,
        claim_before_offer: true,
        same_ticket_after_loss: true,
        conditional_update: true,
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

/// State machine of one keyed request at one entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimMachine<T> {
    rules: ClaimRules,
    fingerprint: u64,
    writer: u64,
    tickets: u8,
    replays: u8,
    unanswered_calls: u8,
    reason: RefusalReason,
    step: ClaimStep<T>,
}

impl<T: Clone + PartialEq> ClaimMachine<T> {
    /// Starts a claim. `writer` is random; its low byte is replaced by a counter of writes.
    pub fn start(fingerprint: u64, writer: u64, rules: ClaimRules) -> (Self, ClaimAction<T>) {
        let machine = Self {
            rules,
            fingerprint,
            writer: writer & !0xff,
            tickets: 0,
            replays: 0,
            unanswered_calls: 0,
            reason: RefusalReason::ClaimUnavailable,
            step: ClaimStep::Minting { expected: None },
        };
        (machine, ClaimAction::Mint)
    }

    /// Handles an event and returns the next action. Events that do not fit the current step are ignored.
    pub fn on(&mut self, event: ClaimEvent<T>) -> Option<ClaimAction<T>> {
        match (self.step.clone(), event) {
            (ClaimStep::Minting { expected }, ClaimEvent::Minted(ticket)) => {
                Some(self.claim_with(expected, ticket))
            }
            (ClaimStep::Minting { expected }, ClaimEvent::MintFailed(reason)) => {
                self.reason = reason;
                Some(self.close(expected))
            }
            (ClaimStep::Writing { row, .. }, ClaimEvent::Written(version)) => {
                Some(self.continue_with(version, row))
            }
            (ClaimStep::Writing { expected, row }, ClaimEvent::Conflict(found)) => {
                Some(self.on_conflict(expected, row, found))
            }
            (
                ClaimStep::Writing { expected, row } | ClaimStep::ReadingBack { expected, row },
                ClaimEvent::TableUnavailable,
            ) => Some(self.read_back(expected, row)),
            (ClaimStep::ReadingBack { expected, row }, ClaimEvent::Read(found)) => {
                Some(self.check_write(expected, row, found))
            }
            (ClaimStep::Offering { .. }, ClaimEvent::Answered) => Some(self.finish(ClaimAction::Answer)),
            (ClaimStep::Offering { version, .. }, ClaimEvent::OfferRefused(reason, verdict)) => {
                Some(self.on_refused(version, reason, verdict))
            }
            (ClaimStep::Offering { version, ticket }, ClaimEvent::OfferLost) => {
                Some(self.on_lost(version, ticket))
            }
            _ => None,
        }
    }

    fn finish(&mut self, action: ClaimAction<T>) -> ClaimAction<T> {
        self.step = ClaimStep::Done;
        action
    }

    fn refuse_unknown(&mut self, reason: RefusalReason) -> ClaimAction<T> {
        self.finish(ClaimAction::Refuse(reason, RunVerdict::MayHaveRun))
    }

    fn claim_with(&mut self, expected: Option<u64>, ticket: T) -> ClaimAction<T> {
        self.tickets += 1;
        if !self.rules.claim_before_offer && expected.is_none() {
            return self.offer(0, ticket);
        }
        self.write_row(expected, ClaimState::Ticket(ticket))
    }

    fn close(&mut self, expected: Option<u64>) -> ClaimAction<T> {
        if !self.rules.close_before_not_run {
            return self.finish(ClaimAction::Refuse(self.reason, RunVerdict::NotRun));
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
        self.unanswered_calls += 1;
        if self.unanswered_calls >= MAX_UNANSWERED_CALLS {
            return self.refuse_unknown(RefusalReason::ClaimUnavailable);
        }
        self.step = ClaimStep::ReadingBack { expected, row };
        ClaimAction::Read
    }

    fn check_write(
        &mut self,
        expected: Option<u64>,
        row: ClaimRow<T>,
        found: Option<VersionedClaim<T>>,
    ) -> ClaimAction<T> {
        let version = found.as_ref().map(|claim| claim.version);
        if version == expected {
            // The write has not taken effect yet: send the same row again, under the same condition.
            return self.send_write(expected, row);
        }
        self.on_conflict(expected, row, found)
    }

    fn on_conflict(
        &mut self,
        expected: Option<u64>,
        row: ClaimRow<T>,
        found: Option<VersionedClaim<T>>,
    ) -> ClaimAction<T> {
        let Some(claim) = found else {
            // The row existed and has expired, so it is unknown whether the request ran.
            return self.refuse_unknown(RefusalReason::ClaimUnavailable);
        };
        if claim.row.writer == row.writer {
            return self.continue_with(claim.version, row);
        }
        if !self.rules.conditional_update && expected.is_some() {
            return self.continue_with(claim.version, row);
        }
        self.adopt_claim(claim)
    }

    fn adopt_claim(&mut self, claim: VersionedClaim<T>) -> ClaimAction<T> {
        if claim.row.fingerprint != self.fingerprint {
            return self.refuse_unknown(RefusalReason::KeyMismatch);
        }
        self.continue_with(claim.version, claim.row)
    }

    fn continue_with(&mut self, version: u64, row: ClaimRow<T>) -> ClaimAction<T> {
        self.unanswered_calls = 0;
        match row.state {
            ClaimState::Ticket(ticket) => self.offer(version, ticket),
            ClaimState::Closed(reason) => self.finish(ClaimAction::Refuse(reason, RunVerdict::NotRun)),
        }
    }

    fn offer(&mut self, version: u64, ticket: T) -> ClaimAction<T> {
        self.step = ClaimStep::Offering { version, ticket: ticket.clone() };
        ClaimAction::Offer(ticket)
    }

    fn on_refused(&mut self, version: u64, reason: RefusalReason, verdict: RunVerdict) -> ClaimAction<T> {
        if verdict != RunVerdict::NotRun {
            return self.finish(ClaimAction::Refuse(reason, verdict));
        }
        self.reason = reason;
        let expected = Some(version);
        if self.tickets >= MAX_TICKETS {
            return self.close(expected);
        }
        self.step = ClaimStep::Minting { expected };
        ClaimAction::Mint
    }

    fn on_lost(&mut self, version: u64, ticket: T) -> ClaimAction<T> {
        self.replays += 1;
        if self.replays >= MAX_REPLAYS {
            return self.refuse_unknown(RefusalReason::ConnectionLost);
        }
        if !self.rules.same_ticket_after_loss {
            self.step = ClaimStep::Minting { expected: Some(version) };
            return ClaimAction::Mint;
        }
        self.offer(version, ticket)
    }
}
