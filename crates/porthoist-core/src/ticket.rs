//! Tickets: permissions to run one request once, valid only at the target incarnation that minted them.

use crate::deadline::{UnixDeadline, UnixMillis};
use crate::ids::{IncarnationId, TargetName, TeamName};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::str::FromStr;

const TAG_BYTES: usize = 16;
const TAG_DIGITS: usize = TAG_BYTES * 2;
const PREFIX: &str = "pt1";

/// A ticket as callers receive it; its text form is an `Idempotency-Key`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TicketText {
    /// The target that minted it.
    pub target: TargetName,
    /// The incarnation of the target that minted it.
    pub incarnation: IncarnationId,
    /// Number of the ticket within that incarnation.
    pub sequence: u64,
    /// The target remembers the ticket until this time and refuses it afterwards.
    pub deadline: UnixDeadline,
    tag: u128,
}

/// The secret with which one incarnation signs its tickets; it never leaves the process.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

impl TicketKey {
    /// Creates a key from 32 random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Signs a ticket for `team`.
    pub fn mint(
        &self,
        target: &TargetName,
        incarnation: IncarnationId,
        sequence: u64,
        deadline: UnixDeadline,
        team: &TeamName,
    ) -> TicketText {
        let mut ticket = TicketText { target: target.clone(), incarnation, sequence, deadline, tag: 0 };
        ticket.tag = self.tag(&ticket, team);
        ticket
    }

    /// Whether this key signed `ticket` for `team`.
    pub fn verify(&self, ticket: &TicketText, team: &TeamName) -> bool {
        use subtle::ConstantTimeEq;
        self.tag(ticket, team).ct_eq(&ticket.tag).into()
    }

    fn tag(&self, ticket: &TicketText, team: &TeamName) -> u128 {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any key length is accepted");
        mac.update(ticket.target.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(team.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(&ticket.incarnation.0.to_be_bytes());
        mac.update(&ticket.sequence.to_be_bytes());
        mac.update(&ticket.deadline.0.0.to_be_bytes());
        let full = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        u128::from_be_bytes(tag)
    }
}

impl fmt::Display for TicketText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { target, incarnation, sequence, deadline, tag } = self;
        write!(f, "{PREFIX}:{target}:{incarnation}:{sequence}:{deadline}:{tag:032x}")
    }
}

/// Error of parsing a ticket.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a ticket: {0}")]
pub struct TicketError(&'static str);

impl FromStr for TicketText {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let parts: Vec<&str> = text.split(':').collect();
        let [prefix, target, incarnation, sequence, deadline, tag] = parts[..] else {
            return Err(TicketError("expected six parts joined by ':'"));
        };
        if prefix != PREFIX {
            return Err(TicketError("unknown prefix"));
        }
        if tag.len() != TAG_DIGITS {
            return Err(TicketError("the tag has 32 hexadecimal digits"));
        }
        let millis: u64 = deadline.parse().map_err(|_parse| TicketError("bad deadline"))?;
        Ok(Self {
            target: target.parse().map_err(|_parse| TicketError("bad target name"))?,
            incarnation: incarnation.parse().map_err(|_parse| TicketError("bad incarnation"))?,
            sequence: sequence.parse().map_err(|_parse| TicketError("bad sequence"))?,
            deadline: UnixDeadline(UnixMillis(millis)),
            tag: u128::from_str_radix(tag, 16).map_err(|_parse| TicketError("bad tag"))?,
        })
    }
}

impl TryFrom<String> for TicketText {
    type Error = TicketError;

    fn try_from(text: String) -> Result<Self, TicketError> {
        text.parse()
    }
}

impl From<TicketText> for String {
    fn from(ticket: TicketText) -> Self {
        ticket.to_string()
    }
}
