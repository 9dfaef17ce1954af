//! Tests the counters of the target stand-in. A wrong count would hide faults of the entry host.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use reqwest::RequestBuilder;
use vanillapick_lab::target_stand_in::TargetSetup;
use vanillapick_lab::target_stand_in::TargetStandIn;
use vanillapick_lab::target_stand_in::run_ledger::RunLedger;
use vanillapick_lab::target_stand_in::target_behaviour::TargetBehaviour;
use vanillapick_lab::target_stand_in::target_behaviour::WriteCut;

async fn launch(behaviour: TargetBehaviour) -> (TargetStandIn, Arc<RunLedger>) {
    let ledger = Arc::new(RunLedger::default());
    let setup = TargetSetup {
        id: "t".to_owned(),
        service: "s".to_owned(),
        domain: "lima".to_owned(),
        shard_map: 1,
        shard: 0,
        replica: 0,
        behaviour,
        links: Arc::new(Vec::new()),
        ledger: Arc::clone(&ledger),
        seed: 7,
    };
    (TargetStandIn::launch(setup).await.expect("loopback has a free port"), ledger)
}

/// Time after which a test gives up waiting for a condition, so that it fails instead of hanging.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn call(
    client: &Client,
    target: &TargetStandIn,
    kind: &str,
    id: &str,
    body: &str,
) -> RequestBuilder {
    client
        .post(format!("http://{}/{kind}/0", target.address()))
        .header("vp-request-id", id)
        .header("vp-attempt", "0")
        .header("vp-deadline-ms", "30000")
        .header("vp-snapshot", "1")
        .header("vp-shard-map", "1")
        .body(body.to_owned())
}

async fn wait_until(condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, met).await.expect("the condition is met in time");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_and_shed_calls_are_not_recorded_as_run() {
    let behaviour = TargetBehaviour {
        slots: 1,
        queue: 1,
        median_ms: 20_000.0,
        p99_ms: 20_000.0,
        ..TargetBehaviour::default()
    };
    let (target, ledger) = launch(behaviour).await;
    let client = Client::new();
    let first = tokio::spawn(call(&client, &target, "search", "first", "q").send());
    wait_until(|| ledger.runs("first") == 1).await;
    let second = tokio::spawn(call(&client, &target, "search", "second", "q").send());
    wait_until(|| target.counts().arrived == 2).await;

    let shed = call(&client, &target, "search", "third", "q").send().await.expect("answered");
    assert_eq!(
        (shed.status().as_u16(), &shed.headers()["vp-reason"]),
        (503, &"shed".parse().expect("value"))
    );
    for id in ["second", "first"] {
        let path = format!("http://{}/cancel/{id}/0", target.address());
        client.post(path).send().await.expect("answered");
    }
    let second = second.await.expect("task").expect("answered");
    assert_eq!(second.headers()["vp-outcome"], "not_run");
    assert_eq!(first.await.expect("task").expect("answered").status().as_u16(), 499);
    assert_eq!([ledger.runs("first"), ledger.runs("second"), ledger.runs("third")], [1, 0, 0]);
    let counts = target.counts();
    assert_eq!((counts.max_running, counts.over_slots, counts.cancelled), (1, 1, 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_write_is_recorded_only_if_it_ran() {
    let (target, ledger) = launch(TargetBehaviour::default()).await;
    let client = Client::builder().pool_max_idle_per_host(0).build().expect("client");
    let cuts = [(WriteCut::Before, "b", 0), (WriteCut::During, "d", 1), (WriteCut::After, "a", 1)];
    for (write_cut, id, runs) in cuts {
        target.set_behaviour(TargetBehaviour { write_cut, ..TargetBehaviour::default() });
        call(&client, &target, "write", id, "w").send().await.expect_err("the connection is cut");
        assert_eq!(ledger.runs(id), runs, "{write_cut:?}");
    }
    assert_eq!(ledger.total("").first_runs, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_limit_are_closed_and_a_crash_starts_a_cold_incarnation() {
    let behaviour = TargetBehaviour {
        connections: 1,
        crash_marker: "boom".to_owned(),
        restart_ms: 1,
        ..TargetBehaviour::default()
    };
    let (target, _) = launch(behaviour).await;
    let first = Client::new();
    call(&first, &target, "search", "one", "q").send().await.expect("answered");
    let second = Client::new();
    call(&second, &target, "search", "two", "q").send().await.expect_err("one connection is open");
    assert!(0 < target.counts().over_connections);

    // The client returns its connection to the pool in the background. A request that comes before that uses a new
    // connection, which is over the limit, and does not reach the target.
    while target.counts().crashes == 0 {
        call(&first, &target, "search", "three", "boom").send().await.expect_err("no reply");
    }
    assert_eq!(target.counts().crashes, 1);
    wait_until(|| target.process_state().is_up && target.process_state().incarnation == 2).await;
    let status = format!("http://{}/status", target.address());
    // Another task releases the closed connection, so the first attempts may still be over the limit of 1.
    let reply = loop {
        match Client::new().get(&status).send().await {
            Ok(reply) => break reply,
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    };
    assert_eq!([&reply.headers()["vp-cold"], &reply.headers()["vp-incarnation"]], ["1", "2"]);
}
