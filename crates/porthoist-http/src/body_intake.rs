//! Reads the bodies of requests within a budget of memory.
//!
//! While there is room, a body may take as long as its deadline permits. If room runs short, the body that has kept
//! it without progress gives way: its request has not run, and its caller can send it again.

use crate::byte_budget::ByteBudget;
use crate::pieced_body::{PieceCollector, PiecedBody};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use parking_lot::Mutex;
use porthoist_core::{ClockSource, UnixDeadline, UnixMillis};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Time in milliseconds without progress after which a body may be ended in favor of another request.
pub const STALL_MILLIS: u64 = 200;
/// Bytes that count as progress. A body that trickles in does not progress.
const PROGRESS_BYTES: usize = 4 * 1024;

/// Bytes of a refused body that are read and discarded, so that the answer is not lost: a server that closes a
/// connection with unread bytes resets it, and the caller may never see why.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Time in milliseconds for which a refused body is read.
const DISCARD_MILLIS: u64 = 5_000;
/// Time in milliseconds for which a refused body may pause. A caller that has stopped sending reads the answer.
const DISCARD_PAUSE_MILLIS: u64 = 500;
/// Number of refused bodies that are read at the same time. The connections of others close after their answers.
const MAX_DISCARDED_BODIES: usize = 64;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum IntakeError {
    /// The body is longer than the limit in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The body was not complete at its deadline.
    #[error("the body was not complete in time")]
    Late,
    /// The process holds too many bytes.
    #[error("there is no room for the body")]
    NoRoom,
    /// The body made no progress and was ended in favor of other requests.
    #[error("the body made no progress while room was short")]
    Stalled,
    /// The process is shutting down.
    #[error("the body was not complete when the process shut down")]
    Closed,
    /// The body broke off, or its framing is wrong.
    #[error("the body can't be read: {0}")]
    Broken(#[from] hyper::Error),
}

/// What is short if a body has to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScarceRoom {
    /// The body that has held most for longest gives way.
    Memory,
    /// The body that has made no progress for longest gives way.
    Connections,
}

/// Reads bodies within a budget.
pub struct BodyIntake {
    budget: Arc<ByteBudget>,
    clock: Arc<dyn ClockSource>,
    /// Bodies that are being read, in the order of their arrival.
    arriving: Mutex<BTreeMap<u64, Arc<ArrivingBody>>>,
    next_id: AtomicU64,
    /// Number of refused bodies whose rests are being read.
    discarding: AtomicUsize,
    /// Whether the process no longer reads bodies.
    closed: AtomicBool,
}

impl fmt::Debug for BodyIntake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyIntake")
            .field("budget", &self.budget)
            .field("arriving", &self.arriving.lock().len())
            .finish_non_exhaustive()
    }
}

/// A body that is being read.
#[derive(Debug)]
struct ArrivingBody {
    state: Mutex<ArrivalState>,
    /// Notified when another task ends the body.
    ended: Notify,
}

#[derive(Debug)]
struct ArrivalState {
    /// `None` once the body has been ended.
    collector: Option<PieceCollector>,
    /// When the body last made progress.
    progress_at: UnixMillis,
    /// Bytes that have arrived since then.
    bytes_since: usize,
}

impl ArrivalState {
    /// Bytes held by a body that may give way, and the time since it has made progress.
    fn stalled(&self, now: UnixMillis) -> Option<(u64, u64)> {
        let stalled_millis = now.since(self.progress_at);
        let held = self.collector.as_ref()?.held();
        (stalled_millis >= STALL_MILLIS).then_some((held, stalled_millis))
    }

    fn record_progress(&mut self, bytes: usize, now: UnixMillis) {
        self.bytes_since += bytes;
        if self.bytes_since >= PROGRESS_BYTES {
            self.bytes_since = 0;
            self.progress_at = now;
        }
    }
}

/// Removes a body from those that are being read.
struct ArrivalGuard<'a> {
    intake: &'a BodyIntake,
    id: u64,
    arriving: Arc<ArrivingBody>,
}

impl Drop for ArrivalGuard<'_> {
    fn drop(&mut self) {
        self.intake.arriving.lock().remove(&self.id);
    }
}

impl BodyIntake {
    /// Creates an intake of bodies whose bytes are held in `budget`.
    pub fn new(budget: Arc<ByteBudget>, clock: Arc<dyn ClockSource>) -> Arc<Self> {
        Arc::new(Self {
            budget,
            clock,
            arriving: Mutex::default(),
            next_id: AtomicU64::new(0),
            discarding: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
        })
    }

    /// Reads a body of up to `limit` bytes until the deadline. If it is refused, the rest is discarded within bounds.
    pub async fn read(
        self: &Arc<Self>,
        body: Incoming,
        limit: usize,
        deadline: UnixDeadline,
    ) -> Result<PiecedBody, IntakeError> {
        Ok(self.read_pieces(body, limit, deadline).await?.finish())
    }

    /// Reads a body like [`Self::read`], and returns it in one piece.
    pub async fn read_whole(
        self: &Arc<Self>,
        body: Incoming,
        limit: usize,
        deadline: UnixDeadline,
    ) -> Result<Bytes, IntakeError> {
        Ok(self.read_pieces(body, limit, deadline).await?.finish_whole())
    }

    async fn read_pieces(
        self: &Arc<Self>,
        mut body: Incoming,
        limit: usize,
        deadline: UnixDeadline,
    ) -> Result<PieceCollector, IntakeError> {
        let result = match self.check_announced(&body, limit) {
            Ok(()) => {
                let remaining = deadline.remaining(self.clock.now());
                let reading = tokio::time::timeout(remaining, self.collect(&mut body, limit)).await;
                reading.unwrap_or(Err(IntakeError::Late))
            }
            Err(error) => Err(error),
        };
        if matches!(result, Err(IntakeError::TooLong(_) | IntakeError::NoRoom)) {
            self.discard(body, deadline);
        }
        result
    }

    /// Ends the body that gives way to other requests. Returns whether there was one.
    pub fn end_stalled(&self, scarce: ScarceRoom) -> bool {
        let now = self.clock.now();
        let arriving = self.arriving.lock();
        let stalled = arriving.values().filter_map(|body| {
            let (held, stalled_millis) = body.state.lock().stalled(now)?;
            let weight = match scarce {
                ScarceRoom::Memory => held.saturating_mul(stalled_millis),
                ScarceRoom::Connections => stalled_millis,
            };
            (weight > 0).then_some((weight, body))
        });
        let Some((_weight, body)) = stalled.max_by_key(|(weight, _body)| *weight) else { return false };
        body.end();
        true
    }

    /// Whether a body is being read, which may have to give way soon.
    pub fn has_arriving(&self) -> bool {
        !self.arriving.lock().is_empty()
    }

    /// Whether a body may give way now.
    pub fn has_stalled(&self) -> bool {
        let now = self.clock.now();
        self.arriving.lock().values().any(|body| body.state.lock().stalled(now).is_some())
    }

    /// Ends all bodies that are being read, and reads no more.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        for body in self.arriving.lock().values() {
            body.end();
        }
    }

    /// Refuses a body whose announced length exceeds the limit, or can't fit even if all stalled bodies give way.
    fn check_announced(&self, body: &Incoming, limit: usize) -> Result<(), IntakeError> {
        if self.closed.load(Ordering::Relaxed) {
            return Err(IntakeError::Closed);
        }
        let announced = body.size_hint().lower();
        if announced > limit as u64 {
            return Err(IntakeError::TooLong(limit));
        }
        let fits = self.budget.fits_request(announced)
            || self.budget.fits_request_after(self.stalled_bytes(), announced);
        if fits { Ok(()) } else { Err(IntakeError::NoRoom) }
    }

    fn stalled_bytes(&self) -> u64 {
        let now = self.clock.now();
        let arriving = self.arriving.lock();
        arriving.values().filter_map(|body| body.state.lock().stalled(now)).map(|(held, _millis)| held).sum()
    }

    async fn collect(&self, body: &mut Incoming, limit: usize) -> Result<PieceCollector, IntakeError> {
        let arrival = self.begin(body.size_hint().exact());
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = arrival.arriving.ended.notified() => return Err(self.end_error()),
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame?.into_data() else { continue };
            self.store(&arrival.arriving, &data, limit)?;
        }
        let collector = arrival.arriving.state.lock().collector.take();
        collector.ok_or_else(|| self.end_error())
    }

    fn begin(&self, announced: Option<u64>) -> ArrivalGuard<'_> {
        let state = ArrivalState {
            collector: Some(PieceCollector::new(self.budget.guard(), announced)),
            progress_at: self.clock.now(),
            bytes_since: 0,
        };
        let arriving = Arc::new(ArrivingBody { state: Mutex::new(state), ended: Notify::new() });
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.arriving.lock().insert(id, Arc::clone(&arriving));
        ArrivalGuard { intake: self, id, arriving }
    }

    /// Stores data of a body once stalled bodies have given way to it.
    fn store(&self, arriving: &ArrivingBody, data: &[u8], limit: usize) -> Result<(), IntakeError> {
        loop {
            let mut state = arriving.state.lock();
            let now = self.clock.now();
            let Some(collector) = &mut state.collector else { return Err(self.end_error()) };
            if collector.len() + data.len() > limit {
                state.collector = None;
                return Err(IntakeError::TooLong(limit));
            }
            if collector.try_push(data).is_ok() {
                state.record_progress(data.len(), now);
                return Ok(());
            }
            // Arriving data is progress: the body must not give way to itself.
            state.progress_at = now;
            drop(state);
            if !self.end_stalled(ScarceRoom::Memory) {
                arriving.state.lock().collector = None;
                return Err(IntakeError::NoRoom);
            }
        }
    }

    /// Why a body was ended by another task.
    fn end_error(&self) -> IntakeError {
        if self.closed.load(Ordering::Relaxed) { IntakeError::Closed } else { IntakeError::Stalled }
    }

    /// Reads and discards the rest of a body while its refusal is sent.
    fn discard(self: &Arc<Self>, mut body: Incoming, deadline: UnixDeadline) {
        if self.discarding.fetch_add(1, Ordering::Relaxed) >= MAX_DISCARDED_BODIES {
            self.discarding.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let intake = Arc::clone(self);
        let remaining = deadline.remaining(self.clock.now()).min(Duration::from_millis(DISCARD_MILLIS));
        tokio::spawn(async move {
            let reading = async {
                let mut discarded = 0;
                let pause = Duration::from_millis(DISCARD_PAUSE_MILLIS);
                while let Ok(Some(Ok(frame))) = tokio::time::timeout(pause, body.frame()).await {
                    discarded += frame.data_ref().map_or(0, Bytes::len);
                    if discarded > MAX_DISCARDED_BYTES {
                        break;
                    }
                }
            };
            // The connection closes if time runs out.
            drop(tokio::time::timeout(remaining, reading).await);
            intake.discarding.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

impl ArrivingBody {
    /// Releases what has been collected, and tells the reader.
    fn end(&self) {
        self.state.lock().collector = None;
        self.ended.notify_one();
    }
}
