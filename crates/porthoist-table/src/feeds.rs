//! Parses feeds of the platform, each of their items by itself, so that one that is invalid hides no other.

use crate::wire::{ChangeFeed, HostEntry, HostFeed, ItemRead};
use porthoist_http::{FieldError, JsonObject, SplitError, split_array};
use serde_json::Value;

/// Error returned when a feed can't be read as a whole.
#[derive(Debug, thiserror::Error)]
pub enum FeedError {
    /// It can't be split into items.
    #[error(transparent)]
    Split(#[from] SplitError),
    /// One of its own fields can't be read.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// One of its own fields is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
}

/// Parses changed items. One without a readable key has an empty key, and one without a readable value has
/// the value null, which no writer leaves.
pub fn parse_change_feed(text: &[u8]) -> Result<ChangeFeed, FeedError> {
    let feed = JsonObject::parse(text)?;
    let revision = required(&feed, "revision")?;
    let items = split_array(feed.member("items")?.ok_or(FeedError::Missing("items"))?)?;
    Ok(ChangeFeed {
        since: required(&feed, "since")?,
        revision,
        items: items.into_iter().map(|item| parse_item(item, revision)).collect(),
    })
}

/// Parses the host list without the entries that can't be read.
pub fn parse_host_feed(text: &[u8]) -> Result<HostFeed, FeedError> {
    let feed = JsonObject::parse(text)?;
    let revision = required(&feed, "revision")?;
    let list = feed.member("hosts")?.filter(|list| *list != b"null");
    let Some(list) = list else { return Ok(HostFeed { revision, hosts: None, unreadable: 0 }) };
    let entries = split_array(list)?;
    let hosts: Vec<HostEntry> =
        entries.iter().filter_map(|entry| serde_json::from_slice(entry).ok()).collect();
    let unreadable = entries.len() - hosts.len();
    Ok(HostFeed { revision, hosts: Some(hosts), unreadable })
}

fn required(feed: &JsonObject<'_>, name: &'static str) -> Result<u64, FeedError> {
    feed.field(name)?.ok_or(FeedError::Missing(name))
}

/// Parses an item of a feed that leads to a revision.
fn parse_item(text: &[u8], revision: u64) -> ItemRead {
    let unreadable = |key: String| ItemRead { key, version: revision, value: Some(Value::Null) };
    let Ok(item) = JsonObject::parse(text) else { return unreadable(String::new()) };
    let Ok(Some(key)) = item.field::<String>("key") else { return unreadable(String::new()) };
    match item.field::<Option<Value>>("value") {
        Ok(value) => {
            let version = item.field("version").ok().flatten().unwrap_or(revision);
            ItemRead { key, version, value: value.flatten() }
        }
        Err(_error) => unreadable(key),
    }
}
