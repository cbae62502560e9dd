//! Answers that a back end cuts off at any byte, with a close or a reset.

use bytes::Bytes;
use porthoist_core::{
    AttemptId, IncarnationId, RepeatPolicy, RequestId, RequestOffer, RequestPriority, ServiceKind,
    UnixDeadline, UnixMillis,
};
use porthoist_target::{AnswerLog, BackendRunner as _, HttpRunner, LogEnd, RunJob};
use std::net::SocketAddr;
use std::sync::Arc;
use test_case::test_case;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\nX-End: 1\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole";
const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                      13\r\nid: 1\ndata: piece\n\n\r\n14\r\nid: 2\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const UNFRAMED_STREAM: &str =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid: 1\ndata: piece\n\nid: 2\ndata: [DONE]\n\n";

/// A back end that cuts each answer one byte later than the one before.
async fn start_backend(answer: &'static str, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for count in 0..=answer.len() {
            let (mut stream, _peer) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let _read = stream.read(&mut request).await.unwrap();
            stream.write_all(&answer.as_bytes()[..count]).await.unwrap();
            if resets {
                stream.set_zero_linger().unwrap();
            }
        }
    });
    address
}

fn offer(stream: bool) -> RequestOffer {
    RequestOffer {
        attempt: AttemptId { entry: IncarnationId(1), request: RequestId(1), attempt: 0 },
        team: "team".parse().unwrap(),
        service: "service".parse().unwrap(),
        kind: ServiceKind::Plain,
        method: "POST".to_owned(),
        path: "/a".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        deadline: UnixDeadline(UnixMillis(u64::MAX)),
        priority: RequestPriority::default(),
        repeat: RepeatPolicy::Never,
        ticket: None,
        stream,
        resume_after: None,
        prompt_tokens: 0,
        prefix_blocks: Vec::new(),
    }
}

/// Returns the lengths of the cut answers after which a run ended as complete.
async fn completed(answer: &'static str, resets: bool, stream: bool) -> Vec<usize> {
    let runner = HttpRunner::new(format!("http://{}", start_backend(answer, resets).await));
    let mut completed = Vec::new();
    for count in 0..=answer.len() {
        let job = RunJob { offer: Arc::new(offer(stream)), log: AnswerLog::new(0) };
        runner.run(job.clone(), Box::new(|| {})).await;
        match job.log.end().expect("the run has ended") {
            LogEnd::Refused { .. } => {}
            LogEnd::Whole { body, .. } => {
                assert_eq!(body, "whole", "{:?}", &answer[..count]);
                completed.push(count);
            }
            LogEnd::StreamDone => completed.push(count),
        }
    }
    completed
}

/// Guards against a part of an answer that is passed on as the whole.
#[test_case(LENGTH, true; "with a length")]
#[test_case(CHUNKS, true; "in chunks")]
#[test_case(UNFRAMED, false; "without a length")]
#[tokio::test]
async fn cut_answer_is_not_passed_on(answer: &'static str, is_framed: bool) {
    let whole = if is_framed { vec![answer.len()] } else { Vec::new() };
    assert_eq!(completed(answer, false, false).await, whole);
    // A reset may overtake the last bytes.
    assert!(completed(answer, true, false).await.iter().all(|count| whole.contains(count)));
}

/// Guards against a stream that ends as complete without its end mark.
#[test_case(STREAM; "in chunks")]
#[test_case(UNFRAMED_STREAM; "without a length")]
#[tokio::test]
async fn cut_stream_is_not_complete(answer: &'static str) {
    let marked = answer.find("[DONE]\n\n").unwrap() + "[DONE]\n\n".len();
    for resets in [false, true] {
        let completed = completed(answer, resets, true).await;
        assert!(completed.iter().all(|count| *count >= marked), "{completed:?}");
    }
}
