//! Log fields that state what a request was granted.

use porthoist_policy::proxy::capacity::GrantState;
use slog::{KV, Record, Result, Serializer};

/// The grant for a request, with the age of the readings that it is derived from. Has no fields for services
/// whose capacity is not divided: each log line takes processor time.
pub(super) struct GrantFields(pub(super) Option<GrantState>);

impl KV for GrantFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        let Some(granted) = self.0 else { return Ok(()) };
        serializer.emit_u8("level", granted.level.0)?;
        serializer.emit_f64("grant", granted.grant.own_requests())?;
        serializer.emit_f64("asked", granted.asked.0)?;
        serializer.emit_u64("grant_age_ms", granted.age_millis)
    }
}
