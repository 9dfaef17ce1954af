//! Tests the lease and revision rules of the platform stand-in, which the tests of other crates rely on.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use vanillapick_lab::platform_stand_in::PlatformStandIn;
use vanillapick_lab::platform_stand_in::key_value_store::KeyValueStore;
use vanillapick_lab::platform_stand_in::key_value_store::WriteConflict;
use vanillapick_lab::platform_stand_in::platform_faults::PlatformFaults;

#[test]
fn a_value_expires_with_its_lease_and_its_revision_is_not_reused() {
    let mut store = KeyValueStore::default();
    let now = Instant::now();
    let lease = store.open_lease(Duration::from_secs(1), now);
    let first = store.put("claim", Bytes::from_static(b"a"), 0, Some(lease)).expect("free key");
    assert!(!store.expire_leases(now + Duration::from_millis(999)));
    assert!(store.expire_leases(now + Duration::from_secs(1)));
    assert_eq!(store.get("claim"), None);
    assert_eq!(
        store.put("claim", Bytes::new(), 0, Some(lease)),
        Err(WriteConflict::Lease),
        "an expired lease cannot hold a value"
    );
    let second = store.put("claim", Bytes::from_static(b"b"), 0, None).expect("free again");
    assert!(first < second);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_reply_leaves_its_effect_and_wakes_the_watch() {
    let platform = PlatformStandIn::launch().await.expect("loopback has a free port");
    platform.set_faults(PlatformFaults { lose_next: 1, ..PlatformFaults::default() });
    let client = reqwest::Client::new();
    let base = format!("http://{}", platform.address());

    let watch = client.get(format!("{base}/watch/a/b?after=0&wait_ms=20000")).send();
    let watch = tokio::spawn(watch);
    let lost = client.put(format!("{base}/kv/a/b?expect=0")).body("x").send().await;
    assert!(lost.is_err(), "the reply is lost");
    let seen = watch.await.expect("task").expect("the watch is answered");
    assert_eq!(seen.headers()["kv-revision"], "1");

    let again = client.put(format!("{base}/kv/a/b?expect=0")).body("y").send().await;
    let again = again.expect("one reply was to be lost");
    assert_eq!(
        (again.status().as_u16(), &again.headers()["kv-revision"]),
        (409, &"1".parse().expect("value"))
    );
    assert_eq!(platform.calls()["put"], 2);
    assert_eq!(platform.value("a/b").expect("kept").value, "x");
    platform.stop();
}
