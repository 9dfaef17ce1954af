//! Requests that violate the protocol. The tests guard against running a malformed request, against a refusal without
//! its reason, and against a host that stops serving after one.

mod common;

use insta::assert_snapshot;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::common::session::LONG_DEADLINE_MS;
use crate::common::session::TestSystem;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Path and headers of a request that must be refused.
type BadRequest = (&'static str, &'static [(&'static str, &'static str)]);

const ID: (&str, &str) = ("vp-request-id", "bad");
const DEADLINE: (&str, &str) = ("vp-deadline-ms", LONG_DEADLINE_MS);

const BAD_REQUESTS: &[BadRequest] = &[
    ("/search/nowhere", &[ID, DEADLINE]),
    ("/search/../status", &[ID, DEADLINE]),
    ("/delete/find", &[ID, DEADLINE]),
    ("/read/find", &[ID, DEADLINE]),
    ("/write/item", &[ID, DEADLINE]),
    ("/search/find", &[ID]),
    ("/search/find", &[ID, ("vp-deadline-ms", "0")]),
    ("/search/find", &[ID, ("vp-deadline-ms", "-5")]),
    ("/search/find", &[ID, ("vp-deadline-ms", "+5")]),
    ("/search/find", &[ID, ("vp-deadline-ms", "60001")]),
    ("/search/find", &[ID, ("vp-deadline-ms", "99999999999999999999999")]),
    ("/search/find", &[ID, ("vp-deadline-ms", "soon")]),
    ("/search/find", &[ID, ("vp-deadline-ms", "")]),
    ("/search/find", &[DEADLINE]),
    ("/search/find", &[DEADLINE, ("vp-request-id", "")]),
    ("/search/find", &[DEADLINE, ("vp-request-id", "a/b")]),
    ("/search/find", &[DEADLINE, ("vp-request-id", "ä")]),
    (
        "/search/find",
        &[
            DEADLINE,
            ("vp-request-id", "a0123456789012345678901234567890123456789012345678901234567890123"),
        ],
    ),
    ("/search/find", &[ID, ID, DEADLINE]),
    ("/search/find", &[ID, DEADLINE, DEADLINE]),
    ("/read/page", &[ID, DEADLINE, ("vp-key", "a"), ("vp-key", "b")]),
    ("/read/page", &[ID, DEADLINE]),
    ("/write/revise", &[ID, DEADLINE]),
    ("/write/order", &[ID, DEADLINE, ("idempotency-key", "")]),
    ("/write/order", &[ID, DEADLINE, ("idempotency-key", "two words")]),
    ("/write/order", &[ID, DEADLINE, ("idempotency-key", "ä")]),
    ("/write/order", &[ID, DEADLINE, ("idempotency-key", "a"), ("idempotency-key", "a")]),
    ("/search/find", &[("vp-deadline-ms", "0"), ("idempotency-key", "")]),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_bad_request_is_refused_with_its_reason_and_not_run() {
    let system = TestSystem::ready().await;
    let caller = &system.caller;
    let mut lines = Vec::new();
    for (path, headers) in BAD_REQUESTS {
        let request = headers.iter().fold(caller.bare(path), |request, (name, value)| {
            request.header(*name, value.as_bytes())
        });
        let received = caller.send(request.body("{}")).await;
        lines.push(format!("{path} {headers:?}\n  {} {}", received.status, received.body));
    }
    let long_key = "k".repeat(129);
    let long = caller.post("/write/order", "long-key", &[("idempotency-key", &long_key)]).await;
    lines.push(format!("idempotency key of 129 characters\n  {} {}", long.status, long.body));
    for target in system.docs.iter().chain([&system.stock]) {
        assert_eq!(target.log(), [""; 0], "a refused request was sent");
    }
    let served = caller.post("/search/find", "after", &[]).await;
    assert_eq!((served.status, &served.json()["coverage"]["answered"]), (200, &2.into()));
    assert_snapshot!(lines.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_longest_body_is_served_and_a_longer_one_refused() {
    let system = TestSystem::ready().await;
    let caller = &system.caller;
    let mut verdicts = Vec::new();
    for length in [0, MAX_BODY_BYTES, MAX_BODY_BYTES + 1, 20 * MAX_BODY_BYTES] {
        let request = caller.bare("/write/order").header(ID.0, ID.1).header(DEADLINE.0, DEADLINE.1);
        verdicts.push(caller.send(request.body(vec![b'a'; length])).await.verdict());
    }
    let refused = "413 body_too_large not_run";
    assert_eq!(verdicts, ["200", "200", refused, refused]);
    let lengths: Vec<_> = system.stock.log().iter().map(|line| line.matches('a').count()).collect();
    // The request id "bad" contains another `a`.
    assert_eq!(lengths, [1, MAX_BODY_BYTES + 1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_that_are_no_whole_request_run_nothing_and_end_nothing() {
    let system = TestSystem::ready().await;
    let head = format!(
        "POST /write/order HTTP/1.1\r\nhost: a\r\nvp-request-id: cut\r\nvp-deadline-ms: {LONG_DEADLINE_MS}\r\n"
    );
    for bytes in [
        "\0\x01\x02 nothing\r\n\r\n".to_owned(),
        format!("{head}content-length: 10\r\n\r\nhalf"),
        format!("{head}content-length: -1\r\n\r\n"),
        format!("{head}content-length: 1\r\ncontent-length: 2\r\n\r\nab"),
        format!("{head}content-length: 100\r\n\r\nmore than the bytes that are peeked"),
        format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n"),
        format!("{head}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        format!("{head}transfer-encoding: chunked\r\n\r\n16\r\nmore than what is seen\r\n"),
    ] {
        let mut stream = TcpStream::connect(system.host.address()).await.expect("listens");
        stream.write_all(bytes.as_bytes()).await.expect("sent");
        stream.shutdown().await.expect("ended");
        let mut reply = Vec::new();
        // The host may close the connection before reading all bytes, which the socket reports as an error.
        let _ = stream.read_to_end(&mut reply).await;
        let reply = String::from_utf8_lossy(&reply);
        assert!(!reply.starts_with("HTTP/1.1 200"), "{bytes:?} was answered with {reply}");
    }
    assert_eq!(system.stock.calls("/write"), 0);
    assert_eq!(system.caller.post("/write/order", "after", &[]).await.status, 200);
}
