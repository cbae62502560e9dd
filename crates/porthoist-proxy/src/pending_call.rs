//! Calls to the table service that have not ended.

use porthoist_core::UnixMillis;
use porthoist_policy::proxy::service_retry::ServiceRetry;
use tokio::sync::watch;

/// A pending call to the table service. Ends when dropped.
#[derive(Debug)]
pub(crate) struct PendingCall<'a> {
    retry: &'a watch::Sender<ServiceRetry>,
    due: UnixMillis,
}

impl<'a> PendingCall<'a> {
    pub(crate) fn new(retry: &'a watch::Sender<ServiceRetry>, due: UnixMillis) -> Self {
        retry.send_if_modified(|retry| {
            retry.record_call(due);
            false
        });
        Self { retry, due }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.retry.send_if_modified(|retry| {
            retry.end_call(self.due);
            false
        });
    }
}
