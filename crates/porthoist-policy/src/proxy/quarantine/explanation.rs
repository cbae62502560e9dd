//! Deaths of a part of prompts that other parts explain.

use super::record::{KnownDeath, SuspectRecord};
use super::{QuarantineTracker, RequestBlock, SuspicionLevel};
use porthoist_core::{SuspectMark, UnixDeadline};

/// Time in milliseconds after which a request is sent alone to a group if another part explains all deaths of its only
/// suspect. By then the group has formed again.
pub const EXPLAINED_HOLD_MILLIS: u64 = 5_000;
/// Time in milliseconds after which a request is sent alone if a part with a single death is its only suspect. Extended by
/// up to half this time.
///
/// One more death costs a group 5 s of all its requests. Most parts with a single death are innocent, and a longer hold of
/// a popular one costs more.
pub const CANARY_HOLD_MILLIS: u64 = 15_000;

impl QuarantineTracker {
    /// Shortens the hold of a part in a request with these marks if the evidence against it is weak.
    pub(super) fn weigh_evidence(
        &self,
        block: RequestBlock,
        request_marks: &[SuspectMark],
        is_only_suspect: bool,
    ) -> RequestBlock {
        let record = &self.records[&block.mark];
        if matches!(block.mark, SuspectMark::Request(_)) {
            return block;
        }
        let hold = if self.is_explained(&block.mark, record, request_marks) {
            if record.is_ranked() { EXPLAINED_HOLD_MILLIS } else { 0 }
        } else if is_only_suspect && block.deaths == 1 {
            CANARY_HOLD_MILLIS + (block.mark.spread() % u128::from(CANARY_HOLD_MILLIS / 2)) as u64
        } else {
            return block;
        };
        let until = UnixDeadline::after(record.last_death(), hold).min(block.until);
        RequestBlock { until, level: block.level.min(SuspicionLevel::Held), ..block }
    }

    /// Whether each death of a part has another explanation that no answer has cleared: a part that more targets died under,
    /// or a part of the same prompt. Parts of the request itself explain nothing.
    fn is_explained(
        &self,
        mark: &SuspectMark,
        record: &SuspectRecord,
        request_marks: &[SuspectMark],
    ) -> bool {
        let deaths = record.counted().count();
        record.counted_by_target().all(|(target, death)| {
            let is_same_prompt =
                |known: &KnownDeath| death.report.ambiguous && known.report.by == death.report.by;
            self.records.iter().any(|(other, suspect)| {
                let may_explain =
                    matches!(other, SuspectMark::Part(_)) && other != mark && !request_marks.contains(other);
                may_explain
                    && suspect
                        .counted_death(target)
                        .is_some_and(|known| is_same_prompt(known) || suspect.counted().count() > deaths)
            })
        })
    }
}
