//! Claims on idempotency keys that callers choose; concurrent writes are batched into one table transaction.

use futures::future::BoxFuture;
use parking_lot::Mutex;
use porthoist_caller::ClaimPort;
use porthoist_core::{RingReceiver, RingSender, TicketText, bounded_ring};
use porthoist_policy::claim::{ClaimEvent, ClaimRow, VersionedClaim};
use porthoist_table::{CLAIM_PREFIX, ItemRead, PlatformClient, TableWrite, WriteResult};
use serde_json::Value;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Capacity of the queue of claim calls; calls beyond it get [`ClaimEvent::TableUnavailable`].
const RING_CAPACITY: usize = 1024;
/// Maximum number of writes in one transaction.
pub const MAX_BATCH: usize = 64;

#[derive(Debug)]
struct PendingWrite {
    write: TableWrite,
    reply: oneshot::Sender<ClaimEvent<TicketText>>,
}

#[derive(Debug)]
enum ClaimCall {
    Write(PendingWrite),
    Read { key: String, reply: oneshot::Sender<ClaimEvent<TicketText>> },
}

/// Sends claim calls to the claims task.
#[derive(Debug)]
pub struct ClaimHandle(Mutex<RingSender<ClaimCall>>);

/// Receiving end of the claim queue.
#[derive(Debug)]
pub struct ClaimCalls(RingReceiver<ClaimCall>);

/// Creates the claim queue and returns both ends.
pub fn claim_ring() -> (ClaimHandle, ClaimCalls) {
    let (sender, receiver) = bounded_ring(RING_CAPACITY);
    (ClaimHandle(Mutex::new(sender)), ClaimCalls(receiver))
}

impl ClaimHandle {
    async fn call(
        &self,
        make: impl FnOnce(oneshot::Sender<ClaimEvent<TicketText>>) -> ClaimCall,
    ) -> ClaimEvent<TicketText> {
        let (reply, answer) = oneshot::channel();
        let sent = self.0.lock().try_send(make(reply));
        if sent.is_err() {
            return ClaimEvent::TableUnavailable;
        }
        answer.await.unwrap_or(ClaimEvent::TableUnavailable)
    }
}

impl ClaimPort for ClaimHandle {
    fn write(
        &self,
        key: String,
        expected: Option<u64>,
        row: ClaimRow<TicketText>,
    ) -> BoxFuture<'_, ClaimEvent<TicketText>> {
        Box::pin(async move {
            let Ok(value) = serde_json::to_value(row) else {
                return ClaimEvent::TableUnavailable;
            };
            let key = format!("{CLAIM_PREFIX}{key}");
            let write = TableWrite { key, if_version: expected, unconditional: false, value: Some(value) };
            self.call(|reply| ClaimCall::Write(PendingWrite { write, reply })).await
        })
    }

    fn read(&self, key: String) -> BoxFuture<'_, ClaimEvent<TicketText>> {
        Box::pin(async move {
            let key = format!("{CLAIM_PREFIX}{key}");
            self.call(|reply| ClaimCall::Read { key, reply }).await
        })
    }
}

/// Serves claim calls until the sending end is dropped.
pub async fn serve_claims(mut calls: ClaimCalls, platform: Arc<dyn PlatformClient>) {
    while let Some(call) = calls.0.receive().await {
        let mut batch = Vec::new();
        dispatch(call, &mut batch, &platform);
        while batch.len() < MAX_BATCH {
            let Some(call) = calls.0.try_receive() else { break };
            dispatch(call, &mut batch, &platform);
        }
        if !batch.is_empty() {
            tokio::task::spawn_local(write_batch(batch, Arc::clone(&platform)));
        }
    }
}

fn dispatch(call: ClaimCall, batch: &mut Vec<PendingWrite>, platform: &Arc<dyn PlatformClient>) {
    match call {
        // Two writes to one key must not share a transaction: the second would see the first one's effect.
        ClaimCall::Write(pending) if batch.iter().any(|other| other.write.key == pending.write.key) => {
            tokio::task::spawn_local(write_batch(vec![pending], Arc::clone(platform)));
        }
        ClaimCall::Write(pending) => batch.push(pending),
        ClaimCall::Read { key, reply } => {
            let platform = Arc::clone(platform);
            tokio::task::spawn_local(async move {
                let event = match platform.item(key).await {
                    Ok(item) => ClaimEvent::Read(item.and_then(read_claim)),
                    Err(_unreachable) => ClaimEvent::TableUnavailable,
                };
                // The caller may have disconnected.
                drop(reply.send(event));
            });
        }
    }
}

async fn write_batch(batch: Vec<PendingWrite>, platform: Arc<dyn PlatformClient>) {
    let writes = batch.iter().map(|pending| pending.write.clone()).collect();
    let answer = platform.transact(false, writes).await;
    let mut results = answer.map(|answer| answer.results.into_iter()).ok();
    for pending in batch {
        let result = results.as_mut().and_then(Iterator::next);
        let event = result.map_or(ClaimEvent::TableUnavailable, write_event);
        drop(pending.reply.send(event));
    }
}

fn write_event(result: WriteResult) -> ClaimEvent<TicketText> {
    match result {
        WriteResult::Written { version } => ClaimEvent::Written(version),
        WriteResult::Conflict { version, value } => {
            let claim = version.zip(value).and_then(|(version, value)| versioned_claim(version, value));
            ClaimEvent::Conflict(claim)
        }
    }
}

fn read_claim(item: ItemRead) -> Option<VersionedClaim<TicketText>> {
    versioned_claim(item.version, item.value?)
}

fn versioned_claim(version: u64, value: Value) -> Option<VersionedClaim<TicketText>> {
    let row = serde_json::from_value(value).ok()?;
    Some(VersionedClaim { version, row })
}
