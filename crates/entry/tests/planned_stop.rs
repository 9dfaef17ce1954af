//! Planned stop of a host. The tests guard against interrupting a request and against refusing requests while the
//! balancer still sends them.

mod common;

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::common::session::TestSystem;
use crate::common::wait_until;

/// Long enough for a few requests on a busy machine.
const BALANCER_LAG: Duration = Duration::from_secs(2);

/// More than the buffers of a loopback connection hold.
const LARGE_REPLY: usize = 32 * 1024 * 1024;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_serves_through_the_lag_and_answers_what_runs() {
    let system = TestSystem::start(BALANCER_LAG).await;
    system.configure().await;
    let TestSystem { host, caller, stock, docs: _docs, platform: _platform } = system;
    stock.hold(true);
    let running = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.post("/write/order", "running", &[]).await })
    };
    wait_until(async || stock.calls("/write/0 running") == 1).await;

    let calls = async {
        assert_eq!(
            caller.status("/ready").await,
            503,
            "the balancer must learn of the stop at once"
        );
        let during = caller.post("/search/find", "during", &[]).await;
        assert_eq!(during.verdict(), "200 missing []");
        // After the lag the host refuses new requests, but still waits for running ones.
        let refused = "503 stopping not_run";
        wait_until(async || caller.post("/search/find", "late", &[]).await.verdict() == refused)
            .await;
        assert!(!running.is_finished());
        stock.hold(false);
        running.await.expect("no panic")
    };
    let ((), written) = tokio::join!(host.stop(), calls);
    assert_eq!((written.status, written.body.as_str()), (200, r#"{"run":1,"shard":0}"#));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_sends_replies_whole_to_slow_callers() {
    let system = TestSystem::ready().await;
    let TestSystem { host, stock, docs: _docs, platform: _platform, .. } = system;
    stock.set_fault(Some(|reply| reply.body = format!("\"{}\"", "a".repeat(LARGE_REPLY)).into()));
    let address = host.address();
    let mut stream = TcpStream::connect(address).await.expect("listens");
    let head = "POST /read/item HTTP/1.1\r\nhost: a\r\nvp-request-id: large\r\nvp-deadline-ms: 30000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut reply = vec![0];
    stream.read_exact(&mut reply).await.expect("the reply has begun");
    let stop = tokio::spawn(host.stop());
    // The host no longer listens when the stop reaches its last phase.
    wait_until(async || TcpStream::connect(address).await.is_err()).await;
    stream.read_to_end(&mut reply).await.expect("the reply is whole");
    assert!(LARGE_REPLY < reply.len(), "{} bytes came", reply.len());
    stop.await.expect("no panic");
}
