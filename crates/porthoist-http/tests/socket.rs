//! Socket options of connections, and clients that drop dead connections.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use porthoist_http::{HttpClient, ServerSettings, SocketPeer, configure_socket, serve_until, text_response};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[test_case(SocketPeer::Control => (1_000, 1_000, 2, 2_000))]
#[test_case(SocketPeer::Target => (1_000, 1_000, 2, 300))]
#[test_case(SocketPeer::Caller => (1_000, 1_000, 2, 10_000))]
#[tokio::test]
async fn socket_options_match_the_peer_kind(peer: SocketPeer) -> (u128, u128, u32, u128) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    configure_socket(&stream, peer).unwrap();
    let socket = SockRef::from(&stream);
    assert!(stream.nodelay().unwrap() && socket.keepalive().unwrap());
    let unacknowledged = socket.tcp_user_timeout().unwrap().unwrap();
    (
        socket.tcp_keepalive_time().unwrap().as_millis(),
        socket.tcp_keepalive_interval().unwrap().as_millis(),
        socket.tcp_keepalive_retries().unwrap(),
        unacknowledged.as_millis(),
    )
}

/// Starts a server that never answers the path `/hang`.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let never = watch::Sender::new(false);
        serve_until(listener, ServerSettings::default(), never.subscribe(), |request| async move {
            if request.uri().path() == "/hang" {
                std::future::pending::<()>().await;
            }
            text_response(hyper::StatusCode::OK, "here")
        })
        .await;
    });
    address
}

/// Starts a proxy to a server that counts the connections.
async fn start_counting_proxy(server: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut downstream, _peer)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut upstream = TcpStream::connect(server).await.unwrap();
                // Both connections end when copying ends, whatever the reason.
                drop(tokio::io::copy_bidirectional(&mut downstream, &mut upstream).await);
            });
        }
    });
    (address, count)
}

fn get(address: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    Request::get(format!("http://{address}{path}")).body(Full::default()).unwrap()
}

#[test_case("/fine" => 2; "an answered call keeps them")]
#[test_case("/hang" => 4; "a call that is given up leaves them behind")]
#[tokio::test]
async fn only_unanswered_calls_drop_idle_connections(path: &str) -> usize {
    let (address, connections) = start_counting_proxy(start_server().await).await;
    let client = HttpClient::new();
    // Two calls at the same time, so that two connections become idle.
    let (first, second) = tokio::join!(client.fetch(get(address, "/a")), client.fetch(get(address, "/b")));
    assert!(first.is_ok() && second.is_ok());
    let call = client.fetch(get(address, path));
    let answered = tokio::time::timeout(Duration::from_millis(200), call).await;
    assert_eq!(answered.is_ok(), path == "/fine");
    let (first, second) = tokio::join!(client.fetch(get(address, "/a")), client.fetch(get(address, "/b")));
    assert!(first.is_ok() && second.is_ok());
    connections.load(Ordering::Relaxed)
}
