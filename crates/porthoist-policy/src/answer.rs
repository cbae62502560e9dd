//! Assembly of one caller's answer from the frames of its attempts.
//!
//! Frames that are stale, repeated or foreign are dropped and counted; a gap ends the attempt.

use porthoist_core::offer::AnswerDigest;
use porthoist_core::{AnswerFrame, AttemptId};

/// What to do with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FrameVerdict {
    /// Pass it to the caller.
    Deliver,
    /// It belongs to another request or an earlier attempt.
    Foreign,
    /// It was delivered before.
    Repeated,
    /// A frame before it is missing: the attempt can't be trusted any more.
    Gap,
}

/// Counts of frames that were not delivered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DroppedFrames {
    /// Of another request or attempt.
    pub foreign: u64,
    /// Delivered before.
    pub repeated: u64,
}

/// The assembler of one caller's streamed answer.
#[derive(Debug, Clone)]
pub struct AnswerAssembler {
    attempt: AttemptId,
    next_sequence: u64,
    last_event: u64,
    digest: AnswerDigest,
    dropped: DroppedFrames,
}

impl AnswerAssembler {
    /// Starts with the first attempt; `resume_after` is the last event that the caller has, 0 for none.
    pub fn new(attempt: AttemptId, resume_after: u64) -> Self {
        let digest = AnswerDigest::default();
        Self {
            attempt,
            next_sequence: 0,
            last_event: resume_after,
            digest,
            dropped: DroppedFrames::default(),
        }
    }

    /// Moves on to another attempt, which resumes after the last delivered event.
    pub fn restart(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.next_sequence = 0;
        self.digest = AnswerDigest::default();
    }

    /// The last event that was delivered, 0 for none.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Frames that were dropped.
    pub fn dropped(&self) -> DroppedFrames {
        self.dropped
    }

    /// Judges a frame.
    pub fn frame(&mut self, frame: &AnswerFrame) -> FrameVerdict {
        if frame.attempt != self.attempt {
            self.dropped.foreign += 1;
            return FrameVerdict::Foreign;
        }
        if frame.sequence < self.next_sequence {
            self.dropped.repeated += 1;
            return FrameVerdict::Repeated;
        }
        if frame.sequence > self.next_sequence {
            return FrameVerdict::Gap;
        }
        self.next_sequence += 1;
        self.digest.update(&frame.data);
        if frame.event <= self.last_event {
            self.dropped.repeated += 1;
            return FrameVerdict::Repeated;
        }
        if frame.event != self.last_event + 1 {
            return FrameVerdict::Gap;
        }
        self.last_event = frame.event;
        FrameVerdict::Deliver
    }

    /// Whether the attempt's end fits the frames that came.
    pub fn complete(&self, frames: u64, digest: u64) -> bool {
        frames == self.next_sequence && digest == self.digest.value()
    }
}
