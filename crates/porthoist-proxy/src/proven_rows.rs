//! Row source in which a response about one table also proves that other tables have not changed.
//!
//! Each response names the newest revision of the whole table service, and its clock. A table that is known
//! up to this revision had not changed by then, whichever table the call was about. Long polls therefore stay
//! open for long, so that changes arrive at once, and a single short call at a time renews the proofs of all
//! tables. If the connection of a long poll has fallen silent, the short call brings what it missed.

use crate::revision::TableRevision;
use crate::rows::{ControlTable, RowSource, TableRow};
use crate::source::{AnswerOrigin, SourceAnswer, SourceError, SourceFuture};
use futures::StreamExt as _;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// How long a long poll stays open. The table service accepts up to 30 s.
const OPEN_POLL_WAIT: Duration = Duration::from_secs(25);
/// Time after which a short call without a response is repeated on another connection.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Multiple of the service's last response time that is waited at least before a call is repeated, so that a
/// slow service does not get twice the calls.
const RETRY_RESPONSE_TIMES: u32 = 3;

type RowsAnswer = Result<SourceAnswer<Vec<TableRow>>, SourceError>;

/// Position of the table service as of one of its responses.
#[derive(Debug, Clone, Copy)]
struct ServicePosition {
    /// Newest revision of all tables.
    revision: TableRevision,
    /// The service's clock, in milliseconds.
    stamp: u64,
    received: Instant,
}

/// A long poll that outlives the call for which it was opened.
struct OpenPoll {
    /// Revision up to which its table is known.
    known: TableRevision,
    response: LocalBoxFuture<'static, RowsAnswer>,
    /// Whether it was opened for the current call.
    is_new: bool,
}

/// Row source that shares proofs between tables. Each table must have one consumer at most.
pub struct ProvenRowSource {
    service: Rc<dyn RowSource>,
    latest: watch::Sender<Option<ServicePosition>>,
    polls: RefCell<HashMap<ControlTable, OpenPoll>>,
    /// When the last response about each table was returned.
    returned: RefCell<HashMap<ControlTable, Instant>>,
    /// Held during a short call, which may prove the other tables too.
    renewal: Mutex<()>,
    response_time: Cell<Duration>,
}

impl fmt::Debug for ProvenRowSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProvenRowSource").field("service", &self.service).finish_non_exhaustive()
    }
}

impl ProvenRowSource {
    /// Creates a source without open polls.
    pub fn new(service: Rc<dyn RowSource>) -> Rc<Self> {
        Rc::new(Self {
            service,
            latest: watch::Sender::new(None),
            polls: RefCell::default(),
            returned: RefCell::default(),
            renewal: Mutex::new(()),
            response_time: Cell::default(),
        })
    }

    /// Closes the open poll of a table that is no longer followed.
    pub fn close_poll(&self, table: ControlTable) {
        self.polls.borrow_mut().remove(&table);
    }

    async fn list_rows(&self, table: ControlTable) -> RowsAnswer {
        self.close_poll(table);
        let answer = self.service.list(table).await?;
        Ok(self.recorded(table, answer))
    }

    /// Waits for changes. After `wait`, a short call shows whether there are any.
    async fn changes(&self, table: ControlTable, revision: TableRevision, wait: Duration) -> RowsAnswer {
        if wait.is_zero() {
            return self.renew(table, revision, None).await;
        }
        let mut latest = self.latest.subscribe();
        let returned = self.returned.borrow().get(&table).copied();
        if let Some(proof) = returned.and_then(|returned| self.proof(table, revision, returned)) {
            return Ok(proof);
        }
        let began = Instant::now();
        let mut poll = self.take_poll(table, revision);
        loop {
            tokio::select! {
                biased;
                response = &mut poll.response => return self.poll_answer(table, revision, response, poll.is_new),
                _changed = latest.changed() => {
                    if let Some(proof) = self.proof(table, revision, began) {
                        self.keep_poll(table, revision, poll);
                        return Ok(proof);
                    }
                }
                () = sleep_until(began + wait) => return self.renew(table, revision, Some(poll)).await,
            }
        }
    }

    /// Makes a short call, unless another table's call turns out to prove this table. An open poll may bring a
    /// change meanwhile.
    async fn renew(
        &self,
        table: ControlTable,
        revision: TableRevision,
        mut poll: Option<OpenPoll>,
    ) -> RowsAnswer {
        let began = Instant::now();
        let renewed = async {
            // A call that takes long must not delay this one.
            let turn = tokio::time::timeout(self.retry_delay(), self.renewal.lock()).await;
            if let Some(proof) = self.proof(table, revision, began) {
                return Ok(proof);
            }
            let answer = self.call_twice(table, revision).await;
            drop(turn);
            answer.map(|answer| self.recorded(table, answer))
        };
        let answer = match &mut poll {
            None => renewed.await,
            Some(OpenPoll { response, is_new, .. }) => {
                tokio::select! {
                    biased;
                    response = response => return self.poll_answer(table, revision, response, *is_new),
                    answer = renewed => answer,
                }
            }
        };
        if let (Ok(answer), Some(poll)) = (&answer, poll)
            && answer.value.is_empty()
        {
            self.keep_poll(table, answer.revision, poll);
        }
        answer
    }

    /// Calls the service, and once more on another connection if there is no response.
    async fn call_twice(&self, table: ControlTable, revision: TableRevision) -> RowsAnswer {
        let call = || async move {
            let began = Instant::now();
            let answer = self.service.changes_after(table, revision, Duration::ZERO).await;
            self.response_time.set(began.elapsed());
            answer
        };
        let mut calls = FuturesUnordered::from_iter([call()]);
        tokio::select! {
            Some(answer) = calls.next() => return answer,
            () = sleep(self.retry_delay()) => {}
        }
        self.service.drop_idle_connections();
        calls.push(call());
        calls.next().await.unwrap_or_else(|| Err(SourceError::Unavailable("no call".to_owned())))
    }

    fn retry_delay(&self) -> Duration {
        RETRY_DELAY.max(self.response_time.get() * RETRY_RESPONSE_TIMES)
    }

    /// Returns the open poll of a table, or a new one.
    fn take_poll(&self, table: ControlTable, revision: TableRevision) -> OpenPoll {
        let open = self.polls.borrow_mut().remove(&table);
        if let Some(poll) = open.filter(|poll| poll.known == revision) {
            return poll;
        }
        let service = Rc::clone(&self.service);
        let response = async move { service.changes_after(table, revision, OPEN_POLL_WAIT).await };
        OpenPoll { known: revision, response: Box::pin(response), is_new: true }
    }

    fn keep_poll(&self, table: ControlTable, known: TableRevision, poll: OpenPoll) {
        self.polls.borrow_mut().insert(table, OpenPoll { known, is_new: false, ..poll });
    }

    /// The response to a poll that an earlier call opened may have been made before this call, so it says
    /// nothing about the offset of the service's clock.
    fn poll_answer(
        &self,
        table: ControlTable,
        revision: TableRevision,
        response: RowsAnswer,
        is_new: bool,
    ) -> RowsAnswer {
        let mut answer = response?;
        if !is_new {
            answer.origin = AnswerOrigin::EarlierCall;
        }
        answer.revision = answer.revision.max(revision);
        Ok(self.recorded(table, answer))
    }

    /// Records the service's position and that the answer is returned.
    fn recorded(
        &self,
        table: ControlTable,
        answer: SourceAnswer<Vec<TableRow>>,
    ) -> SourceAnswer<Vec<TableRow>> {
        let received = Instant::now();
        let position = ServicePosition { revision: answer.revision, stamp: answer.stamp, received };
        let is_newer = |known: &ServicePosition| {
            (position.revision.era, position.stamp) > (known.revision.era, known.stamp)
        };
        if self.latest.borrow().as_ref().is_none_or(is_newer) {
            self.latest.send_replace(Some(position));
        }
        self.returned.borrow_mut().insert(table, received);
        answer
    }

    /// Returns a response without changes if another call since `since` shows that there are none.
    fn proof(
        &self,
        table: ControlTable,
        revision: TableRevision,
        since: Instant,
    ) -> Option<SourceAnswer<Vec<TableRow>>> {
        let position = (*self.latest.borrow())?;
        let proves = position.received > since
            && position.revision.era == revision.era
            && position.revision.number <= revision.number;
        proves.then(|| {
            self.returned.borrow_mut().insert(table, position.received);
            SourceAnswer {
                origin: AnswerOrigin::EarlierCall,
                ..SourceAnswer::of(Vec::new(), revision, position.stamp)
            }
        })
    }
}

impl RowSource for ProvenRowSource {
    fn list(&self, table: ControlTable) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.list_rows(table))
    }

    fn changes_after(
        &self,
        table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> SourceFuture<'_, Vec<TableRow>> {
        Box::pin(self.changes(table, revision, wait))
    }

    fn drop_idle_connections(&self) {
        self.service.drop_idle_connections();
    }

    fn answer_timeout(&self, wait: Duration) -> Duration {
        self.service.answer_timeout(wait)
    }
}
