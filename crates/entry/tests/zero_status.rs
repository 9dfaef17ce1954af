//! Targets that reply with status 000, which ends no request in HTTP.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::common::session::TestSystem;

/// Header of the replies that get the status.
const MARK: &str = "x-zero-status";

/// Forwards connections to a target, and replaces the status of marked replies. The stand-in cannot send it itself.
async fn start_proxy(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let (mut requests, mut replies) = caller.into_split();
            let Ok(target) = TcpStream::connect(target).await else { continue };
            let (mut from_target, mut to_target) = target.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut requests, &mut to_target).await });
            tokio::spawn(async move {
                let mut bytes = vec![0; 65_536];
                while let Ok(length @ 1..) = from_target.read(&mut bytes).await {
                    let reply = replace_status(&bytes[..length]);
                    if replies.write_all(&reply).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn replace_status(reply: &[u8]) -> Vec<u8> {
    let head = b"HTTP/1.1 200";
    let is_marked = reply.windows(MARK.len()).any(|part| part == MARK.as_bytes());
    if !is_marked || !reply.starts_with(head) {
        return reply.to_vec();
    }
    [b"HTTP/1.1 000", &reply[head.len()..]].concat()
}

/// Guards against such a reply that counts as an answer, as a part of a search, or as a proof that a write has not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reply_with_status_000_is_no_answer() {
    let mut system = TestSystem::start(Duration::ZERO).await;
    system.docs[1].address = start_proxy(system.docs[1].address).await;
    system.stock.address = start_proxy(system.stock.address).await;
    system.configure().await;
    let caller = &system.caller;
    let before = caller.post("/read/page", "before", &[("vp-key", "k1")]).await.verdict();
    for target in [&system.docs[1], &system.stock] {
        target.set_fault(Some(|reply| reply.set(MARK, "1")));
    }
    let search = caller.post("/search/find", "search", &[]).await.verdict();
    let read = caller.post("/read/page", "read", &[("vp-key", "k1")]).await.verdict();
    let write = caller.post("/write/order", "write", &[]).await.verdict();
    assert_eq!(system.stock.calls("/write"), 1, "the write was sent again");
    let seen = format!("before {before}\nsearch {search}\nread {read}\nwrite {write}");
    insta::assert_snapshot!(seen);
}
