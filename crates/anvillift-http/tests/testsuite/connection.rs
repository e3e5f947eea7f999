//! Reading and writing over a socket.

use anvillift_http::{BodyReader, Connection, Framing, HttpError};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const HEAD_BYTES: usize = 1_024;

async fn pair() -> (TcpStream, Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("the address");
    let far = TcpStream::connect(address).await.expect("a connection");
    let (near, _) = listener.accept().await.expect("the connection");
    (far, Connection::new(near))
}

/// Heads and bodies are read alike however their bytes are cut.
#[rstest]
#[case(1)]
#[case(7)]
#[case(1_000)]
#[tokio::test]
async fn requests_are_read_however_their_bytes_arrive(#[case] piece_bytes: usize) {
    let (mut far, mut near) = pair().await;
    let bytes = b"\r\nPOST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: t\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    let sender = tokio::spawn(async move {
        for piece in bytes.chunks(piece_bytes) {
            far.write_all(piece).await.expect("a write");
            far.flush().await.expect("a flush");
        }
        far
    });
    let head = near.read_request(HEAD_BYTES).await.expect("a head");
    assert_eq!((head.method.as_str(), head.path(), head.query()), ("POST", "/a/b", "c=d"));
    let mut body = BodyReader::new(Framing::of_request(&head).expect("framing"));
    assert_eq!(near.read_whole(&mut body, 100).await.expect("a body"), "abcdefg");
    let next = near.read_request(HEAD_BYTES).await.expect("the next head");
    assert_eq!(next.target, "/next");
    drop(sender.await.expect("the sender"));
    assert!(matches!(near.read_request(HEAD_BYTES).await, Err(HttpError::Closed)));
}

#[rstest]
#[case(Framing::Length(10))]
#[case(Framing::Chunked)]
#[tokio::test]
async fn a_body_that_ends_early_is_not_whole(#[case] framing: Framing) {
    let (mut far, mut near) = pair().await;
    far.write_all(b"5\r\nabcde").await.expect("a write");
    drop(far);
    let mut body = BodyReader::new(framing);
    let read = near.read_whole(&mut body, 100).await;
    assert!(matches!(read, Err(HttpError::Incomplete)), "{read:?}");
    assert!(!body.has_ended());
}

#[tokio::test]
async fn a_reset_is_not_the_end_of_a_body_without_length() {
    let (mut far, mut near) = pair().await;
    far.write_all(b"some").await.expect("a write");
    far.set_zero_linger().expect("an option");
    drop(far);
    let mut body = BodyReader::new(Framing::UntilClose);
    assert!(near.read_whole(&mut body, 100).await.is_err());
}

#[rstest]
#[case(b"zz\r\n")]
#[case(b"-1\r\n")]
#[case(b"3\nabc")]
#[case(b"3\r\nabcd\r\n")]
#[case(b"ffffffffffffffffff\r\n")]
#[tokio::test]
async fn malformed_chunks_are_refused(#[case] bytes: &[u8]) {
    let (mut far, mut near) = pair().await;
    far.write_all(bytes).await.expect("a write");
    let mut body = BodyReader::new(Framing::Chunked);
    let read = near.read_whole(&mut body, 100).await;
    assert!(matches!(read, Err(HttpError::Chunk)), "{read:?}");
}

#[tokio::test]
async fn a_head_that_is_too_large_is_refused() {
    let (mut far, mut near) = pair().await;
    let line = format!("GET / HTTP/1.1\r\nX: {}\r\n", "a".repeat(2 * HEAD_BYTES));
    far.write_all(line.as_bytes()).await.expect("a write");
    let read = near.read_request(HEAD_BYTES).await;
    assert!(matches!(read, Err(HttpError::HeadTooLarge { .. })), "{read:?}");
}

/// Bytes that no response begins with are told before a head would end.
#[tokio::test]
async fn what_is_no_response_is_told_at_once() {
    let (mut far, mut near) = pair().await;
    far.write_all(b"garbage that never ends").await.expect("a write");
    near.fill().await.expect("bytes");
    assert!(matches!(near.parse_response(HEAD_BYTES), Err(HttpError::Malformed { .. })));
}

#[tokio::test]
async fn an_idle_connection_with_bytes_or_without_a_peer_is_spent() {
    let (mut far, mut near) = pair().await;
    assert!(!near.is_spent());
    far.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.expect("a write");
    near.fill().await.expect("bytes");
    assert!(near.is_spent());
    let (far, mut near) = pair().await;
    drop(far);
    near.departed().await;
    assert!(near.is_spent());
}
