//! Assembles one caller's answer from the frames of its attempts.
//!
//! Repeated frames and frames of other attempts are dropped and counted; a missing frame ends the attempt.

use porthoist_core::offer::AnswerDigest;
use porthoist_core::{AnswerFrame, AttemptId};

/// Result of checking a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FrameVerdict {
    /// The frame is next and goes to the caller.
    Deliver,
    /// The frame belongs to another request or an earlier attempt.
    Foreign,
    /// The frame was delivered before.
    Repeated,
    /// An earlier frame is missing, so the rest of the attempt cannot be used.
    Gap,
}

/// Counts of dropped frames.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DroppedFrames {
    /// Frames of another request or attempt.
    pub foreign: u64,
    /// Frames delivered before.
    pub repeated: u64,
}

/// Assembles one caller's streamed answer.
#[derive(Debug, Clone)]
pub struct AnswerAssembler {
    attempt: AttemptId,
    next_sequence: u64,
    last_event: u64,
    digest: AnswerDigest,
    dropped: DroppedFrames,
}

impl AnswerAssembler {
    /// Starts with the first attempt; `resume_after` is the last event that the caller has, or 0.
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

    /// Switches to another attempt, which resumes after the last delivered event.
    pub fn restart(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.next_sequence = 0;
        self.digest = AnswerDigest::default();
    }

    /// Returns the last delivered event, or 0.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Returns the counts of dropped frames.
    pub fn dropped(&self) -> DroppedFrames {
        self.dropped
    }

    /// Checks a frame and advances the answer if it is the next one.
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

    /// Returns whether the frame count and digest at the attempt's end match the received frames.
    pub fn complete(&self, frames: u64, digest: u64) -> bool {
        frames == self.next_sequence && digest == self.digest.value()
    }
}
