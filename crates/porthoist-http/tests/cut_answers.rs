//! Answers that a server cuts off at any byte, with a close or a reset.

use http_body_util::Full;
use hyper::Request;
use porthoist_http::HttpClient;
use std::net::SocketAddr;
use test_case::test_case;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const BODY: &str = "whole";

/// How an answer states where its body ends.
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nwho\r\n2\r\nle\r\n0\r\nX-End: 1\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const OLD: &str = "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nwhole";
const IDENTITY: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwhole";

/// A server that cuts each answer one byte later than the one before.
async fn start_server(answer: &'static str, resets: bool) -> SocketAddr {
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

/// Returns the lengths of the cut answers that the client took for whole ones.
async fn accepted(answer: &'static str, resets: bool) -> Vec<usize> {
    let address = start_server(answer, resets).await;
    let client = HttpClient::new();
    let mut accepted = Vec::new();
    for count in 0..=answer.len() {
        let request = Request::get(format!("http://{address}/")).body(Full::default()).unwrap();
        if let Ok(response) = client.fetch_framed(request).await {
            assert_eq!(response.body(), BODY, "{:?}", &answer[..count]);
            accepted.push(count);
        }
    }
    accepted
}

/// Guards against a part of an answer that is taken for the whole.
#[test_case(LENGTH, true; "with a length")]
#[test_case(CHUNKS, true; "in chunks")]
#[test_case(INTERIM, true; "after interim responses")]
#[test_case(OLD, true; "of HTTP/1.0")]
#[test_case(UNFRAMED, false; "without a length")]
#[test_case(IDENTITY, false; "with an encoding without chunks")]
#[tokio::test]
async fn cut_answer_is_an_error(answer: &'static str, is_framed: bool) {
    let whole = if is_framed { vec![answer.len()] } else { Vec::new() };
    assert_eq!(accepted(answer, false).await, whole);
    // A reset may overtake the last bytes.
    assert!(accepted(answer, true).await.iter().all(|count| whole.contains(count)));
}
