//! Outcome of a request as its caller sees it.

use crate::backend::token;
use crate::script::SendSpec;
use bytes::Bytes;
use porthoist_caller::delivery::AnswerStart;
use std::io;
use tokio::sync::{mpsc, oneshot};

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SentOutcome {
    /// The complete response arrived.
    Whole,
    /// The request was refused.
    Refused {
        /// Reason of the refusal.
        reason: String,
        /// `not-run`, `may-have-run` or `ran`.
        verdict: String,
    },
    /// The stream broke.
    Broken,
    /// The entry died or the stream ended early.
    Lost,
    /// The response differs from the expected one.
    Wrong(String),
}

impl SentOutcome {
    /// Returns the name of the outcome in expectations.
    pub fn name(&self) -> &str {
        match self {
            Self::Whole => "whole",
            Self::Refused { .. } => "refused",
            Self::Broken => "broken",
            Self::Lost => "lost",
            Self::Wrong(_) => "wrong",
        }
    }

    /// Returns the verdict of a refusal, or the name of another outcome.
    pub fn verdict(&self) -> &str {
        match self {
            Self::Refused { verdict, .. } => verdict,
            other => other.name(),
        }
    }
}

/// Waits for the outcome of a request and compares the response with the expected one.
pub(super) async fn collect(start: oneshot::Receiver<AnswerStart>, spec: &SendSpec) -> SentOutcome {
    match start.await {
        Err(_dead) => SentOutcome::Lost,
        Ok(AnswerStart::Refused(refusal)) => {
            SentOutcome::Refused { reason: refusal.reason.to_string(), verdict: refusal.verdict.to_string() }
        }
        Ok(AnswerStart::Whole(_head, body)) if body == spec.name => SentOutcome::Whole,
        Ok(AnswerStart::Whole(_head, body)) => {
            SentOutcome::Wrong(String::from_utf8_lossy(&body).into_owned())
        }
        Ok(AnswerStart::Streaming(body)) => collect_stream(body, spec).await,
    }
}

async fn collect_stream(mut body: mpsc::Receiver<Result<Bytes, io::Error>>, spec: &SendSpec) -> SentOutcome {
    let mut text = String::new();
    while let Some(chunk) = body.recv().await {
        match chunk {
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Err(_broken) => return SentOutcome::Broken,
        }
    }
    let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let Some(("[DONE]", tokens)) = data.split_last().map(|(last, rest)| (*last, rest)) else {
        return SentOutcome::Lost;
    };
    let expected: Vec<Bytes> = (1..=spec.tokens).map(|position| token(&spec.name, position)).collect();
    if tokens.iter().map(|text| text.as_bytes()).eq(expected.iter().map(AsRef::as_ref)) {
        return SentOutcome::Whole;
    }
    SentOutcome::Wrong(text)
}
