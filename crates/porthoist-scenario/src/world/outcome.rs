//! What a caller sees of its request in the end.

use crate::backend::token;
use crate::script::SendSpec;
use bytes::Bytes;
use porthoist_caller::delivery::AnswerStart;
use std::io;
use tokio::sync::{mpsc, oneshot};

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SentOutcome {
    /// Its whole answer came.
    Whole,
    /// Refused.
    Refused {
        /// Why.
        reason: String,
        /// not-run, may-have-run or ran.
        verdict: String,
    },
    /// The stream broke off.
    Broken,
    /// The entry died.
    Lost,
    /// Another answer than its own.
    Wrong(String),
}

impl SentOutcome {
    /// The outcome as expectations name it.
    pub fn word(&self) -> &str {
        match self {
            Self::Whole => "whole",
            Self::Refused { .. } => "refused",
            Self::Broken => "broken",
            Self::Lost => "lost",
            Self::Wrong(_) => "wrong",
        }
    }

    /// The verdict of a refusal.
    pub fn verdict(&self) -> &str {
        match self {
            Self::Refused { verdict, .. } => verdict,
            other => other.word(),
        }
    }
}

/// Waits for the outcome of a request and compares its answer with the one it must have.
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
    while let Some(piece) = body.recv().await {
        match piece {
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Err(_broken) => return SentOutcome::Broken,
        }
    }
    let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let Some(("[DONE]", tokens)) = data.split_last().map(|(last, rest)| (*last, rest)) else {
        return SentOutcome::Lost;
    };
    let expected: Vec<Bytes> = (1..=spec.tokens).map(|position| token(&spec.name, position)).collect();
    if tokens.iter().map(|one| one.as_bytes()).eq(expected.iter().map(AsRef::as_ref)) {
        return SentOutcome::Whole;
    }
    SentOutcome::Wrong(text)
}
