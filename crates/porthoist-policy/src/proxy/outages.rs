//! Outages of the table service, and how long a row may be missing after them.
//!
//! A row expires if its target can't renew it, so after an outage rows of active targets may be missing for a
//! while. A row may also be missing because its target has left. What is known of targets may be old after an
//! outage of this process's own calls, for which operators allow time. An outage that a peer reports may be the
//! peer's alone: this process is then expected to know what has left, however long the peer was cut off.

use porthoist_core::{UnixDeadline, UnixMillis};

/// Time in milliseconds for which a row may be missing after the table service was unavailable. Its
/// documentation says that expired rows are back within two seconds, and a target that left must get
/// nothing new after two seconds.
const MISSING_ROW_GRACE_MILLIS: u64 = 1_700;

/// Reserve in milliseconds that is subtracted from the permitted staleness: 400 for a new connection to
/// the target, 200 for timers.
const SEND_RESERVE_MILLIS: u64 = 600;

/// Time in milliseconds within which the end of a grace period is noticed.
pub const EXPIRY_CHECK_MILLIS: u64 = 100;

/// Maximum permitted staleness of what is known about targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// The limit in milliseconds for a process that may have lost its connections.
    pub millis: u64,
    /// The limit in milliseconds for a process whose connections work.
    pub connected_millis: u64,
    /// Time in milliseconds for which a process whose connections work again is still permitted what it was
    /// without them, from the last call that was not answered.
    pub reconnected_millis: u64,
}

impl StalenessBound {
    /// Adds up what operators permit, in milliseconds: the time to notice a lost connection and the time
    /// until a target that is shutting down gets nothing new.
    pub fn new(notice_millis: u64, leaving_millis: u64) -> Self {
        let less_reserve = |millis: u64| millis.saturating_sub(SEND_RESERVE_MILLIS);
        Self {
            millis: less_reserve(notice_millis + leaving_millis),
            connected_millis: less_reserve(leaving_millis),
            reconnected_millis: notice_millis.saturating_sub(EXPIRY_CHECK_MILLIS),
        }
    }

    /// Returns the bound of a process that renews its state as rarely as lost connections permit.
    #[must_use]
    pub fn without_renewal(self) -> Self {
        Self { connected_millis: self.millis, ..self }
    }
}

impl Default for StalenessBound {
    /// The smallest values that a deployment requires: 3 s and 2 s.
    fn default() -> Self {
        Self::new(3_000, 2_000)
    }
}

/// A period without answers from the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerGap {
    /// When the last unanswered request to the service was sent. The service, or only the connection,
    /// became unavailable some time after that.
    pub asked: UnixMillis,
    /// When the first answer arrived.
    pub returned: UnixMillis,
}

impl AnswerGap {
    /// End of the grace period for a row that disappears now, or `None` if it has passed.
    ///
    /// It is counted from the first answer: a row that disappears later may have expired before, but
    /// must be back by the same time. It also ends when information from before the gap would exceed the
    /// permitted staleness. The gap may have been only a silent connection, during which a target has
    /// left.
    pub fn grace(&self, bound: StalenessBound, now: UnixMillis) -> Option<UnixDeadline> {
        let back = UnixDeadline::after(self.returned, MISSING_ROW_GRACE_MILLIS);
        let end = back.min(UnixDeadline::after(self.asked, bound.millis));
        (!end.passed(now)).then_some(end)
    }
}

/// Whose calls were not answered in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageWitness {
    /// This process's.
    Own,
    /// Those of a peer.
    Peer,
}

impl OutageWitness {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
        }
    }
}

/// Permission to use targets whose rows are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GracePeriod {
    /// Its end.
    pub end: UnixDeadline,
    /// Who noticed the outage that is the reason for it.
    pub witness: OutageWitness,
}

/// The latest outages that have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndedOutages {
    own: Option<AnswerGap>,
    peer: Option<AnswerGap>,
}

impl EndedOutages {
    /// Records an outage. One that ended before a known one is ignored.
    pub fn record(&mut self, witness: OutageWitness, gap: AnswerGap) {
        let latest = match witness {
            OutageWitness::Own => &mut self.own,
            OutageWitness::Peer => &mut self.peer,
        };
        if latest.is_none_or(|latest| latest.returned < gap.returned) {
            *latest = Some(gap);
        }
    }

    /// Returns the grace period for a row that disappears now and was last seen at `proven`, if it has not
    /// passed.
    pub fn grace(
        &self,
        bound: StalenessBound,
        proven: Option<UnixMillis>,
        now: UnixMillis,
    ) -> Option<GracePeriod> {
        let period = |gap: Option<AnswerGap>, witness, permitted: Option<UnixDeadline>| {
            let end = gap?.grace(bound, now)?.min(permitted?);
            (!end.passed(now)).then_some(GracePeriod { end, witness })
        };
        let after = |time: UnixMillis, millis| UnixDeadline::after(time, millis);
        let reconnected = self.own.map(|gap| after(gap.asked, bound.reconnected_millis));
        let connected = proven.map(|proven| after(proven, bound.connected_millis));
        let own = period(self.own, OutageWitness::Own, reconnected.max(connected));
        let peer = period(self.peer, OutageWitness::Peer, connected);
        own.into_iter().chain(peer).max_by_key(|grace| grace.end)
    }
}
