//! Target replies that violate the protocol. The test guards against returning the reply to a different call, and
//! against reporting a write as not run, or sending it again, although it may have run.

mod common;

use insta::assert_snapshot;

use crate::common::session::TestSystem;
use crate::common::target::Fault;

/// Key of a row in shard 0, whose target has no fault.
const KEY_IN_SHARD_0: &str = "k3";

const FAULTS: &[(&str, Fault)] = &[
    ("cut within the body", |reply| reply.is_cut = true),
    ("not JSON", |reply| reply.body = "<html>busy</html>".into()),
    ("half of a JSON body", |reply| reply.body.truncate(reply.body.len() / 2)),
    ("two JSON values", |reply| reply.body = "{\"hits\":[]} {}".into()),
    ("empty body", |reply| reply.body.clear()),
    ("not UTF-8", |reply| reply.body = b"{\"hits\":[],\"a\":\"\xff\"}"[..].into()),
    ("of another request", |reply| reply.set("vp-request-id", "other")),
    ("of another attempt", |reply| reply.set("vp-attempt", "1")),
    ("of another snapshot", |reply| reply.set("vp-snapshot", "6")),
    ("of another shard", |reply| reply.set("vp-shard", "5")),
    ("of another shard map", |reply| reply.set("vp-shard-map", "2")),
    ("shard is no number", |reply| reply.set("vp-shard", "-0.5")),
    ("request id twice", |reply| reply.repeat_header("vp-request-id")),
    ("attempt twice", |reply| reply.repeat_header("vp-attempt")),
    ("snapshot twice", |reply| reply.repeat_header("vp-snapshot")),
    ("shard twice", |reply| reply.repeat_header("vp-shard")),
    ("snapshots twice", |reply| reply.repeat_header("vp-snapshots")),
    ("incarnation twice", |reply| reply.repeat_header("vp-incarnation")),
    ("load twice", |reply| reply.repeat_header("vp-load")),
    ("load is no number", |reply| reply.set("vp-load", "NaN")),
    ("cold twice", |reply| reply.repeat_header("vp-cold")),
    ("draining is no flag", |reply| reply.set("vp-draining", "yes")),
    ("no request id", |reply| reply.remove("vp-request-id")),
    ("no incarnation", |reply| reply.remove("vp-incarnation")),
    ("status 204", |reply| reply.status = 204),
    ("status 404", |reply| reply.status = 404),
    ("status 500", |reply| reply.status = 500),
    ("status 503 without an outcome", |reply| reply.status = 503),
    ("redirect", |reply| {
        reply.status = 307;
        reply.set("location", "/elsewhere");
    }),
    ("refusal without a reason", |reply| {
        reply.status = 503;
        reply.set("vp-outcome", "not_run");
    }),
    ("refusal with an unknown reason", |reply| {
        reply.status = 503;
        reply.set("vp-outcome", "not_run");
        reply.set("vp-reason", "mood");
    }),
    ("refusal with two outcomes", |reply| {
        reply.status = 503;
        reply.set("vp-outcome", "not_run");
        reply.repeat_header("vp-outcome");
        reply.set("vp-reason", "shed");
    }),
    ("refusal of another request", |reply| {
        reply.status = 503;
        reply.set("vp-outcome", "not_run");
        reply.set("vp-reason", "draining");
        reply.set("vp-request-id", "other");
    }),
    ("refusal without a request id", |reply| {
        reply.status = 503;
        reply.set("vp-outcome", "not_run");
        reply.set("vp-reason", "shed");
        reply.remove("vp-request-id");
    }),
    ("refusal without an attempt", |reply| {
        reply.status = 503;
        reply.set("vp-outcome", "not_run");
        reply.set("vp-reason", "shed");
        reply.remove("vp-attempt");
    }),
    ("refusal of another attempt", |reply| {
        reply.status = 503;
        reply.set("vp-outcome", "not_run");
        reply.set("vp-reason", "draining");
        reply.set("vp-attempt", "1");
    }),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reply_that_breaks_the_protocol_is_never_an_answer() {
    // Each fault is tested on a separate host, because a few bad replies mark a target as lost.
    let cases: Vec<_> =
        FAULTS.iter().map(|(name, fault)| tokio::spawn(run_case(name, *fault))).collect();
    let mut lines = Vec::new();
    for case in cases {
        lines.push(case.await.expect("no panic"));
    }
    assert_snapshot!(lines.join("\n"));
}

async fn run_case(name: &str, fault: Fault) -> String {
    let system = TestSystem::ready().await;
    let caller = &system.caller;
    system.docs[1].set_fault(Some(fault));
    system.stock.set_fault(Some(fault));
    let search = caller.post("/search/find", "search", &[]).await.verdict();
    let read = caller.post("/read/page", "read", &[("vp-key", "k1")]).await.verdict();
    let write = caller.post("/write/order", "write", &[]).await.verdict();
    assert_eq!(system.stock.calls("/write"), 1, "{name}: the write was sent again");
    assert_eq!(system.stock.calls("/elsewhere"), 0, "{name}: the write was sent elsewhere");
    let after = caller.post("/read/page", "after", &[("vp-key", KEY_IN_SHARD_0)]).await;
    assert_eq!((after.status, &after.json()["shard"]), (200, &0.into()), "{name}");
    format!("{name}\n  search {search}\n  read {read}\n  write {write}")
}
