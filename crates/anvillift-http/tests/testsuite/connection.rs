//! Reading of requests, responses and bodies over a loopback socket.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use anvillift_http::{BodyReader, Connection, Framing, HeadLimits, HttpError};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::{task, time};

const MAX_HEAD_BYTES: usize = 1_024;
/// Reads after which others have had a turn.
const MAX_READS_IN_A_ROW: u32 = 256;
const LIMITS: HeadLimits = HeadLimits { bytes: MAX_HEAD_BYTES, fields: 16 };

async fn connected_pair() -> (TcpStream, Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("the address");
    let peer = TcpStream::connect(address).await.expect("a connection");
    let (accepted, _) = listener.accept().await.expect("the connection");
    (peer, Connection::new(accepted))
}

/// Heads and bodies must be read the same way however their bytes are split into
/// packets.
#[rstest]
#[case(1)]
#[case(7)]
#[case(1_000)]
#[tokio::test]
async fn requests_are_read_from_arbitrarily_split_bytes(#[case] chunk_bytes: usize) {
    let (mut peer, mut connection) = connected_pair().await;
    let bytes = b"\r\nPOST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: t\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    let sender = tokio::spawn(async move {
        for chunk in bytes.chunks(chunk_bytes) {
            peer.write_all(chunk).await.expect("a write");
            peer.flush().await.expect("a flush");
        }
        peer
    });
    let head = connection.read_request(LIMITS).await.expect("a head");
    assert_eq!((head.method.as_str(), head.path(), head.query()), ("POST", "/a/b", "c=d"));
    let mut body = BodyReader::new(Framing::of_request(&head).expect("framing"));
    assert_eq!(connection.read_full_body(&mut body, 100).await.expect("a body"), "abcdefg");
    let next = connection.read_request(LIMITS).await.expect("the next head");
    assert_eq!(next.target, "/next");
    drop(sender.await.expect("the sender"));
    assert!(matches!(connection.read_request(LIMITS).await, Err(HttpError::Closed)));
}

#[rstest]
#[case(Framing::Length(10))]
#[case(Framing::Chunked)]
#[tokio::test]
async fn body_truncated_by_a_close_is_incomplete(#[case] framing: Framing) {
    let (mut peer, mut connection) = connected_pair().await;
    peer.write_all(b"5\r\nabcde").await.expect("a write");
    drop(peer);
    let mut body = BodyReader::new(framing);
    let read = connection.read_full_body(&mut body, 100).await;
    assert!(matches!(read, Err(HttpError::Incomplete)), "{read:?}");
    assert!(!body.is_complete());
}

#[tokio::test]
async fn reset_before_the_end_of_a_body_without_length_is_an_error() {
    let (mut peer, mut connection) = connected_pair().await;
    peer.write_all(b"some").await.expect("a write");
    peer.set_zero_linger().expect("the linger option set");
    drop(peer);
    let mut body = BodyReader::new(Framing::UntilClose);
    assert!(connection.read_full_body(&mut body, 100).await.is_err());
}

#[rstest]
#[case(b"zz\r\n")]
#[case(b"-1\r\n")]
#[case(b"3\nabc")]
#[case(b"3\r\nabcd\r\n")]
#[case(b"ffffffffffffffffff\r\n")]
#[tokio::test]
async fn malformed_chunks_are_refused(#[case] bytes: &[u8]) {
    let (mut peer, mut connection) = connected_pair().await;
    peer.write_all(bytes).await.expect("a write");
    let mut body = BodyReader::new(Framing::Chunked);
    let read = connection.read_full_body(&mut body, 100).await;
    assert!(matches!(read, Err(HttpError::MalformedChunk)), "{read:?}");
}

#[tokio::test]
async fn oversized_head_is_refused() {
    let (mut peer, mut connection) = connected_pair().await;
    let line = format!("GET / HTTP/1.1\r\nX: {}\r\n", "a".repeat(2 * MAX_HEAD_BYTES));
    peer.write_all(line.as_bytes()).await.expect("a write");
    let read = connection.read_request(LIMITS).await;
    assert!(matches!(read, Err(HttpError::HeadTooLarge { .. })), "{read:?}");
}

/// Bytes that can't start a response are refused at once, since the end of a head
/// might never arrive.
#[tokio::test]
async fn bytes_that_cannot_start_a_response_are_refused_before_the_head_ends() {
    let (mut peer, mut connection) = connected_pair().await;
    peer.write_all(b"garbage that never ends").await.expect("a write");
    connection.fill().await.expect("bytes");
    assert!(matches!(connection.parse_response(LIMITS), Err(HttpError::MalformedHead { .. })));
}

/// Guards against a response with a status that no reader after this one accepts, also before its
/// head has ended.
#[rstest::rstest]
#[tokio::test]
async fn status_that_is_none_is_refused(
    #[values("000", "001", "099", "600", "999")] status: &str,
    #[values("", "X: 1\r\n", "X: 1\r\n\r\n")] rest: &str,
) {
    let (mut peer, mut connection) = connected_pair().await;
    let bytes = format!("HTTP/1.1 {status} None\r\n{rest}");
    peer.write_all(bytes.as_bytes()).await.expect("a write");
    connection.fill().await.expect("bytes");
    let parsed = connection.parse_response(LIMITS);
    assert!(matches!(parsed, Err(HttpError::InvalidStatus { .. })), "{parsed:?}");
}

/// Guards against a head that one host accepts and the next one refuses, since the first has added
/// fields to it.
#[tokio::test]
async fn relayed_head_may_have_more_fields() {
    for (limits, is_accepted) in [(LIMITS, false), (LIMITS.of_relayed(), true)] {
        let (mut peer, mut connection) = connected_pair().await;
        let fields: String = (0..17).map(|number| format!("X-{number}: 1\r\n")).collect();
        let bytes = format!("GET / HTTP/1.1\r\n{fields}\r\n");
        peer.write_all(bytes.as_bytes()).await.expect("a write");
        let read = connection.read_request(limits).await;
        assert_eq!(read.is_ok(), is_accepted, "{read:?}");
    }
}

#[tokio::test]
async fn idle_connection_with_bytes_or_closed_by_its_peer_is_stale() {
    let (mut peer, mut connection) = connected_pair().await;
    assert!(!connection.is_stale());
    peer.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.expect("a write");
    connection.fill().await.expect("bytes");
    assert!(connection.is_stale());
    let (peer, mut connection) = connected_pair().await;
    drop(peer);
    connection.wait_for_close().await;
    assert!(connection.is_stale());
}

/// Guards against a reader that reads on without end, and goes through all that it has each time:
/// empty lines before a head looked like its end.
#[rstest]
#[tokio::test]
async fn empty_lines_without_end_are_refused(
    #[values("\r\n", "\n")] line: &str,
    #[values(true, false)] is_request: bool,
) {
    let (mut peer, mut connection) = connected_pair().await;
    let lines = line.repeat(2 * MAX_HEAD_BYTES);
    tokio::spawn(async move {
        // Fails once the connection is closed.
        while peer.write_all(lines.as_bytes()).await.is_ok() {}
    });
    let reading = async {
        if is_request {
            return connection.read_request(LIMITS).await.map(|_| ());
        }
        while connection.parse_response(LIMITS)?.is_none() {
            connection.fill().await?;
        }
        Ok(())
    };
    let read = time::timeout(Duration::from_secs(1), reading).await;
    assert!(matches!(read, Ok(Err(HttpError::HeadTooLarge { .. }))), "{read:?}");
}

/// Some peers send an empty line after a body. Guards against such messages that are refused, and
/// against a bound that counts the empty lines of earlier messages.
#[rstest]
#[tokio::test]
async fn few_empty_lines_before_a_head_are_skipped(#[values("\r\n", "\n")] line: &str) {
    const MESSAGES: usize = 2 * MAX_HEAD_BYTES;
    let (mut peer, mut connection) = connected_pair().await;
    let message = format!("{line}{line}HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n");
    tokio::spawn(async move {
        peer.write_all(message.repeat(MESSAGES).as_bytes()).await.expect("a write");
        peer
    });
    for _ in 0..MESSAGES {
        let head = loop {
            if let Some(head) = connection.parse_response(LIMITS).expect("a proper head") {
                break head;
            }
            connection.fill().await.expect("bytes");
        };
        assert_eq!(head.status, 204);
    }
}

/// Guards against a reader that keeps all others from running as long as its peer sends.
#[tokio::test]
async fn others_run_while_a_fast_peer_is_read() {
    const BODY_BYTES: u64 = 64 * 1024 * 1024;
    let (peer, mut connection) = connected_pair().await;
    let peer = peer.into_std().expect("a socket");
    peer.set_nonblocking(false).expect("a blocking socket");
    let sender = thread::spawn(move || {
        let mut left = BODY_BYTES;
        let chunk = vec![b'x'; 1024 * 1024];
        while left > 0 {
            io::Write::write_all(&mut &peer, &chunk).expect("a write");
            left -= chunk.len() as u64;
        }
    });
    let turns = Rc::new(Cell::new(0_u64));
    let counted = Rc::clone(&turns);
    let tasks = LocalSet::new();
    tasks.spawn_local(async move {
        loop {
            counted.set(counted.get() + 1);
            task::yield_now().await;
        }
    });
    let longest_gap = tasks
        .run_until(async {
            let mut body = BodyReader::new(Framing::Length(BODY_BYTES));
            let (mut gap, mut longest_gap, mut last_turn) = (0, 0, 0);
            while connection.read_body(&mut body).await.expect("a part of the body").is_some() {
                gap = if turns.get() > last_turn { 0 } else { gap + 1 };
                last_turn = turns.get();
                longest_gap = longest_gap.max(gap);
            }
            longest_gap
        })
        .await;
    sender.join().expect("the sender");
    assert!(longest_gap <= MAX_READS_IN_A_ROW, "{longest_gap} reads in a row");
}
