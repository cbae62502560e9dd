//! Free capacity of the groups of a contended service, and its division among entries.
//!
//! This handles more requests than a group can serve on time, sent by many entries that see the same
//! free slots in late reports.

/// What operators configure for a service whose capacity is divided among entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityRule {
    /// Longest pause in milliseconds between two events that all routes of the service permit; `None`
    /// if no route specifies one.
    pub pause_millis: Option<u64>,
}
