//! Closes connections so that the end of an answer is not lost.
//!
//! A connection that is closed while bytes of its peer are unread, or to which more of them come later, is reset. A reset
//! drops what is still to be sent, and may overtake what a peer or a relay has not read (RFC 9112, section 9.6).

use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time for which a connection is read after its last answer.
const LINGER_TIME: Duration = Duration::from_secs(5);
/// Time without a byte after which nothing more is expected of a peer that keeps the connection open.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Bytes that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Bytes that are read at once.
const PIECE_BYTES: usize = 4 * 1024;

/// Reads and discards what arrives until the peer closes the connection, within bounds. Its sending side must have been shut
/// down.
pub async fn linger(stream: &TcpStream) {
    // A connection that is still open after that is closed all the same.
    drop(tokio::time::timeout(LINGER_TIME, discard(stream)).await);
}

async fn discard(stream: &TcpStream) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        let Ok(Ok(())) = tokio::time::timeout(QUIET_TIME, stream.readable()).await else { return };
        match stream.try_read(&mut [0; PIECE_BYTES]) {
            Ok(0) => return,
            Ok(read) => discarded += read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            // The peer has reset the connection.
            Err(_) => return,
        }
    }
}
