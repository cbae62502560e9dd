//! Ends of answers whose callers send more than a request, read slowly, or are many.

use hyper::body::Incoming;
use hyper::{Request, Response};
use porthoist_http::{HttpResponse, ServerSettings, full_body, serve_until};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Only a hang takes longer.
const HANG_TIMEOUT: Duration = Duration::from_secs(40);
/// Size in bytes of a small receive buffer.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Size in bytes of an answer most of which is held by the buffers of the server.
const ANSWER_BYTES: usize = 400_000;
/// Pause between further requests.
const SEND_PAUSE: Duration = Duration::from_millis(3);
/// Number of further requests.
const MORE_REQUESTS: usize = 100;
const MAX_CONNECTIONS: usize = 4;

/// A server of one large answer for each request.
struct TestServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    ended: JoinHandle<()>,
}

impl TestServer {
    async fn start(settings: ServerSettings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = watch::Sender::new(false);
        let ended = tokio::spawn(serve_until(listener, settings, stop.subscribe(), answer));
        Self { address, stop, ended }
    }

    async fn connect(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(self.address).await.unwrap()
    }
}

async fn answer(_request: Request<Incoming>) -> HttpResponse {
    Response::new(full_body(vec![b'x'; ANSWER_BYTES]))
}

/// Returns a request, which may ask for the connection to be closed.
fn request(closing: bool) -> &'static str {
    if closing {
        "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    } else {
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    }
}

/// Reads until the connection ends, and returns the size of the body.
async fn read_body(mut reading: impl tokio::io::AsyncRead + Unpin) -> usize {
    let mut reply = Vec::new();
    let mut piece = [0; RECEIVE_BUFFER_BYTES as usize];
    let receiving = async {
        while let Ok(read @ 1..) = reading.read(&mut piece).await {
            reply.extend_from_slice(&piece[..read]);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, receiving).await.expect("the connection ends");
    let head = reply.windows(4).position(|window| window == b"\r\n\r\n").expect("there is a head");
    reply.len() - head - 4
}

/// Guards against a reset that overtakes the end of an answer, where bytes of the caller are unread when the connection closes.
#[test_case(false; "closed for its caller")]
#[test_case(true; "closed by the stop")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_whole_though_its_caller_sends_more(stopping: bool) {
    let server = TestServer::start(ServerSettings::default()).await;
    let mut caller = server.connect().await;
    caller.write_all(request(!stopping).as_bytes()).await.unwrap();
    caller.read_exact(&mut [0]).await.unwrap();
    server.stop.send_replace(stopping);
    while stopping && TcpStream::connect(server.address).await.is_ok() {
        tokio::time::sleep(SEND_PAUSE).await;
    }
    let (reading, mut writing) = caller.into_split();
    let sending = tokio::spawn(async move {
        for _ in 0..MORE_REQUESTS {
            // The connection may have been closed.
            drop(writing.write_all(request(false).as_bytes()).await);
            tokio::time::sleep(SEND_PAUSE).await;
        }
    });
    assert_eq!(read_body(reading).await, ANSWER_BYTES);
    sending.await.unwrap();
    server.stop.send_replace(true);
    tokio::time::timeout(HANG_TIMEOUT, server.ended).await.expect("the server ends").unwrap();
}

/// Guards against connections that only wait for their callers' close and keep new ones out.
#[tokio::test(flavor = "multi_thread")]
async fn connections_after_their_last_answer_give_way() {
    let settings = ServerSettings { max_connections: MAX_CONNECTIONS, ..ServerSettings::default() };
    let server = TestServer::start(settings).await;
    let mut answered = Vec::new();
    for _ in 0..4 * MAX_CONNECTIONS {
        let mut caller = server.connect().await;
        caller.write_all(request(true).as_bytes()).await.unwrap();
        assert_eq!(read_body(&mut caller).await, ANSWER_BYTES);
        answered.push(caller);
    }
}
