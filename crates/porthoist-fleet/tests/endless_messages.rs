//! Peers that send a message without an end.

use porthoist_core::secret::SharedSecret;
use porthoist_fleet::{FleetPeer, RankPeer};
use porthoist_policy::proxy::group_loads::LoadRevision;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Only a hang takes longer.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);
/// Announced size of the message's only segment in words of 8 bytes: 48 MiB.
const SEGMENT_WORDS: u32 = 6 * 1024 * 1024;
/// Most bytes sent of the message, with the buffers of both kernels.
const MAX_SENT_BYTES: usize = 24 * 1024 * 1024;
static PIECE: [u8; 64 * 1024] = [0; 64 * 1024];

/// Starts a peer that sends a message to each connection, and reports how many bytes were sent until it was closed.
async fn start_peer() -> io::Result<(SocketAddr, mpsc::UnboundedReceiver<usize>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (sent, reports) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _address)) = listener.accept().await {
            let sent = sent.clone();
            tokio::spawn(async move {
                let mut head = vec![0; 4];
                head.extend(SEGMENT_WORDS.to_le_bytes());
                let mut bytes = 0;
                let mut written = stream.write_all(&head).await;
                while written.is_ok() && bytes < SEGMENT_WORDS as usize * 8 {
                    written = stream.write_all(&PIECE).await;
                    bytes += PIECE.len();
                }
                // The test may have ended.
                let _ended = sent.send(bytes);
            });
        }
    });
    Ok((address, reports))
}

/// Guards against a message that is read into memory whatever its size.
#[test_case(false; "of an entry or a target")]
#[test_case(true; "of a process next to a rank")]
#[tokio::test(flavor = "multi_thread")]
async fn message_without_end_is_refused_at_its_head(is_rank: bool) {
    let (address, mut reports) = start_peer().await.unwrap();
    let calling = async {
        let failed = if is_rank {
            RankPeer::new(address).loads(LoadRevision(0)).await.is_err()
        } else {
            FleetPeer::connect(&address.to_string(), &SharedSecret::new("key")).await.is_err()
        };
        assert!(failed, "the message is no answer");
        reports.recv().await.expect("the peer reports")
    };
    let called = tokio::time::timeout(HANG_TIMEOUT, LocalSet::new().run_until(calling)).await;
    let sent = called.expect("the connection is closed");
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes of one message");
}
