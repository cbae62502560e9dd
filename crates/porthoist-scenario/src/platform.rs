//! In-memory platform: a table that can be unavailable or lose responses.

use bytes::Bytes;
use porthoist_table::{
    CallError, ChangeFeed, HostEntry, HostFeed, ItemRead, PlatformClient, PlatformFuture, TableWrite,
    TransactAnswer, WriteResult,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct TableState {
    revision: u64,
    items: BTreeMap<String, (u64, Option<Value>)>,
    up: bool,
    lose_answers: u32,
}

/// A platform with an in-memory table. Clones share one table.
#[derive(Debug, Clone)]
pub struct MemoryPlatform(Arc<Mutex<TableState>>);

impl Default for MemoryPlatform {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(TableState { up: true, ..TableState::default() })))
    }
}

impl TableState {
    fn meets_precondition(&self, write: &TableWrite) -> bool {
        let live = self.items.get(&write.key).filter(|(_version, value)| value.is_some());
        write.unconditional || live.map(|(version, _value)| *version) == write.if_version
    }

    fn transact(&mut self, atomic: bool, writes: &[TableWrite]) -> TransactAnswer {
        let all = writes.iter().all(|write| self.meets_precondition(write));
        let any = writes.iter().any(|write| self.meets_precondition(write));
        let committed = if atomic { all } else { any };
        self.revision += u64::from(committed);
        let mut results = Vec::with_capacity(writes.len());
        for write in writes {
            if committed && self.meets_precondition(write) {
                self.items.insert(write.key.clone(), (self.revision, write.value.clone()));
                results.push(WriteResult::Written { version: self.revision });
                continue;
            }
            let found = self.items.get(&write.key).filter(|(_version, value)| value.is_some());
            let version = found.map(|(version, _value)| *version);
            let value = found.and_then(|(_version, value)| value.clone());
            results.push(WriteResult::Conflict { version, value });
        }
        TransactAnswer { revision: self.revision, committed, results }
    }
}

impl MemoryPlatform {
    fn state(&self) -> MutexGuard<'_, TableState> {
        self.0.lock().expect("no thread panics while it holds the table")
    }

    /// Makes the platform available or unavailable.
    pub fn set_up(&self, up: bool) {
        self.state().up = up;
    }

    /// Makes the next `count` transactions take effect without a response.
    pub fn lose_answers(&self, count: u32) {
        self.state().lose_answers = count;
    }

    fn call_table<T>(&self, call: impl FnOnce(&mut TableState) -> T) -> Result<T, CallError> {
        let mut state = self.state();
        if !state.up {
            return Err(CallError::unknown("the platform is away"));
        }
        Ok(call(&mut state))
    }
}

fn ready<T: Send + 'static>(result: Result<T, CallError>) -> PlatformFuture<'static, T> {
    Box::pin(std::future::ready(result))
}

impl PlatformClient for MemoryPlatform {
    fn transact(&self, atomic: bool, writes: Vec<TableWrite>) -> PlatformFuture<'_, TransactAnswer> {
        let result = self.call_table(|state| {
            let answer = state.transact(atomic, &writes);
            let lost = state.lose_answers > 0;
            state.lose_answers = state.lose_answers.saturating_sub(1);
            (answer, lost)
        });
        ready(match result {
            Ok((_answer, true)) => Err(CallError::unknown("the answer was lost")),
            Ok((answer, false)) => Ok(answer),
            Err(error) => Err(error),
        })
    }

    fn item(&self, key: String) -> PlatformFuture<'_, Option<ItemRead>> {
        ready(self.call_table(|state| {
            let (version, value) =
                state.items.get(&key).filter(|(_version, value)| value.is_some()).cloned()?;
            Some(ItemRead { key, version, value })
        }))
    }

    fn changes(&self, prefix: &'static str, since: u64) -> PlatformFuture<'_, ChangeFeed> {
        ready(self.call_table(|state| {
            let own = || state.items.iter().filter(|(key, _item)| key.starts_with(prefix));
            let revision = own().map(|(_key, (version, _value))| *version).max().unwrap_or(0);
            let changed =
                own().filter(|(_key, (version, value))| *version > since && (since > 0 || value.is_some()));
            let read = |(key, (version, value)): (&String, &(u64, Option<Value>))| ItemRead {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            };
            ChangeFeed { since, revision, items: changed.map(read).collect() }
        }))
    }

    fn hosts(&self, known: u64) -> PlatformFuture<'_, HostFeed> {
        ready(self.call_table(|_state| HostFeed { revision: known, hosts: None, unreadable: 0 }))
    }

    fn register(&self, _host: HostEntry) -> PlatformFuture<'_, ()> {
        ready(self.call_table(|_state| ()))
    }

    fn object(&self, _name: String) -> PlatformFuture<'_, Option<Bytes>> {
        ready(self.call_table(|_state| None))
    }

    fn put_object(&self, _name: String, _bytes: Bytes) -> PlatformFuture<'_, ()> {
        ready(self.call_table(|_state| ()))
    }
}
