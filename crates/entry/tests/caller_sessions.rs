//! Snapshot tests of complete sessions from the caller's view. They guard against unintended changes of the responses,
//! against incorrect coverage in an answer and against a write that runs twice.

mod common;

use std::time::Duration;

use insta::assert_snapshot;
use serde_json::Value;

use crate::common::session::TestSystem;
use crate::common::wait_until;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn searches_and_reads_say_what_they_cover() {
    let system = TestSystem::ready().await;
    let caller = &system.caller;
    let mut session = String::new();
    for (path, id, headers) in [
        ("/search/find", "whole", &[][..]),
        ("/read/item", "item", &[]),
        ("/read/page", "page", &[("vp-key", "k1")]),
        ("/read/page", "other-page", &[("vp-key", "k3")]),
        ("/search/nowhere", "lost", &[]),
    ] {
        session += &caller.post(path, id, headers).await.transcript(&format!("{path} {headers:?}"));
    }
    system.docs[1].set_fault(Some(|reply| reply.is_cut = true));
    for path in ["/search/find", "/search/strict"] {
        let received = caller.post(path, "part", &[]).await;
        session += &received.transcript(&format!("{path}, the reply of shard 1 is cut"));
    }
    assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_write_runs_once_and_not_without_the_platform() {
    let system = TestSystem::ready().await;
    let caller = &system.caller;
    let key = [("idempotency-key", "order-1")];
    let mut session = caller.post("/write/order", "plain", &[]).await.transcript("unkeyed write");
    let first = caller.post("/write/order", "keyed", &key).await;
    session += &first.transcript("keyed write");
    // The claim is settled after the response to the caller.
    wait_until(async || system.platform.settled_claims() == 1).await;
    let resent = caller.post("/write/order", "resent", &key).await;
    session += &resent.transcript("resend of the keyed write");
    assert_eq!(resent.body, first.body);

    system.stock.hold(true);
    let slow_key = [("idempotency-key", "order-3")];
    let resend = async {
        wait_until(async || system.stock.calls("/write/0 slow") == 1).await;
        let resent = caller.post("/write/order", "too-early", &slow_key).await;
        system.stock.hold(false);
        resent
    };
    let (slow, early) = tokio::join!(caller.post("/write/order", "slow", &slow_key), resend);
    session += &slow.transcript("slow keyed write");
    session += &early.transcript("resend while the write runs");

    system.platform.set_down(true);
    let key = [("idempotency-key", "order-2")];
    let (keyed, plain) = tokio::join!(
        caller.post("/write/order", "keyed-down", &key),
        caller.post("/write/order", "plain-down", &[]),
    );
    session += &keyed.transcript("keyed write while the platform is down");
    session += &plain.transcript("unkeyed write while the platform is down");
    session += &format!("calls of the target:\n{}", system.stock.log().join("\n"));
    assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_call_ends_at_the_caller_and_at_the_target() {
    let system = TestSystem::ready().await;
    let caller = &system.caller;
    system.stock.hold(true);
    let cancel = async {
        wait_until(async || system.stock.calls("/read/0 slow") == 1).await;
        caller.send(caller.bare("/cancel/slow")).await
    };
    let (read, cancelled) = tokio::join!(caller.post("/read/item", "slow", &[]), cancel);
    wait_until(async || system.stock.calls("cancel slow") == 1).await;
    let again = caller.send(caller.bare("/cancel/slow")).await;
    let after = caller.post("/read/item", "after", &[]).await;
    assert_snapshot!(
        [
            read.transcript("read"),
            cancelled.transcript("cancel"),
            again.transcript("cancel of an ended request"),
            after.transcript("read after the cancel"),
            system.stock.log().join("\n"),
        ]
        .concat()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_is_ready_only_with_a_configuration_and_shows_its_state() {
    let system = TestSystem::start(Duration::ZERO).await;
    let caller = &system.caller;
    let mut session = String::new();
    for path in ["/health", "/ready"] {
        session += &caller.get(path).await.transcript(path);
    }
    let early = caller.post("/search/find", "early", &[]).await;
    session += &early.transcript("search before the first configuration");
    system.configure().await;
    for path in ["/health", "/ready"] {
        session += &caller.get(path).await.transcript(path);
    }
    let mut status = caller.get("/status").await.json();
    for (_, figure) in status["peer"].as_object_mut().expect("an object") {
        *figure = Value::from("[varies]");
    }
    session += &format!("/status\n{status:#}\n/metrics\n");
    let metrics = caller.get("/metrics").await.body;
    let mut names: Vec<_> = metrics
        .lines()
        .filter(|line| !line.starts_with('#') && !line.is_empty())
        .filter_map(|line| line.rsplit_once(' '))
        .map(|(name, _)| name)
        .collect();
    names.sort_unstable();
    session += &names.join("\n");
    assert_snapshot!(session);
}
