//! Guards against deviations from the platform's protocol and against treating a call as without effect when only its reply
//! was lost.

mod stand_in;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use insta::assert_snapshot;
use vanillapick_platform::PlatformClient;
use vanillapick_platform::PlatformError;
use vanillapick_platform::client::WatchEvent;

use crate::stand_in::Fault;
use crate::stand_in::StandIn;

const TIMEOUT: Duration = Duration::from_secs(20);

#[rocket::async_test]
async fn every_call_follows_the_protocol() {
    let platform = StandIn::start().await;
    platform.set_hosts(r#"[{"id":"entry-1","domain":"lima","address":"127.0.0.1:7401"}]"#);
    let client = PlatformClient::new(platform.address, TIMEOUT);
    let key = "vanillapick/a b";

    let mut results = vec![
        format!("{:?}", client.get(key).await),
        format!("{:?}", client.put(key, "one", 0, None).await),
        format!("{:?}", client.put(key, "two", 0, None).await),
        format!("{:?}", client.get(key).await),
        format!("{:?}", client.watch(key, 0, 0, TIMEOUT).await),
        format!("{:?}", client.watch(key, 0, 1, Duration::from_millis(1)).await),
        format!("{:?}", client.create_lease(Duration::from_secs(9)).await),
        format!("{:?}", client.put(key, "two", 1, Some("1")).await),
        format!("{:?}", client.renew_lease("1").await),
        format!("{:?}", client.renew_lease("2").await),
        format!("{:?}", client.delete(key, 1).await),
        format!("{:?}", client.delete(key, 2).await),
        format!("{:?}", client.hosts().await),
    ];
    assert_eq!(client.calls(), 13);
    results.push(platform.take_call_log());
    assert_snapshot!(results.join("\n"));
}

#[rocket::async_test]
async fn a_watch_ends_with_the_change() {
    let platform = StandIn::start().await;
    let client = PlatformClient::new(platform.address, TIMEOUT);
    let watch = client.watch("key", 0, 0, TIMEOUT);
    let change = async { platform.write("key", "new") };
    let (event, ()) = rocket::tokio::join!(watch, change);
    assert!(matches!(event, Ok(WatchEvent::Changed(stored)) if stored.value == "new"));
}

#[rocket::async_test]
async fn failures_tell_whether_the_call_may_have_taken_effect() {
    let platform = StandIn::start().await;
    let client = PlatformClient::new(platform.address, TIMEOUT);

    platform.fail("PUT", Fault::LoseReply);
    let lost = client.put("key", "one", 0, None).await.expect_err("the reply is lost");
    assert!(matches!(lost, PlatformError::ReplyLost { .. }), "{lost:?}");
    assert!(lost.may_have_taken_effect());
    assert_eq!(platform.read("key"), "one");

    platform.fail("PUT", Fault::Refuse);
    let refused = client.put("key", "two", 1, None).await.expect_err("the call is refused");
    assert_eq!(refused, PlatformError::Unavailable);
    assert!(!refused.may_have_taken_effect());

    platform.fail("PUT", Fault::Stall);
    // The connect timeout is half of this, which must suffice on a busy machine.
    let short_timeout_client = PlatformClient::new(platform.address, Duration::from_millis(500));
    let late = short_timeout_client.put("key", "two", 1, None).await.expect_err("no reply comes");
    assert_eq!(late, PlatformError::TimedOut);
    assert!(late.may_have_taken_effect());

    // Nothing listens on the discard port of loopback.
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let client = PlatformClient::new(nowhere, TIMEOUT);
    let unsent = client.put("key", "two", 1, None).await.expect_err("nobody listens");
    assert!(matches!(unsent, PlatformError::NotSent { .. }), "{unsent:?}");
    assert!(!unsent.may_have_taken_effect());
}

#[rocket::async_test]
async fn a_malformed_reply_is_no_value() {
    let platform = StandIn::start().await;
    platform.set_hosts("[{\"id\":1}]");
    let client = PlatformClient::new(platform.address, TIMEOUT);
    let hosts = client.hosts().await;
    assert!(matches!(hosts, Err(PlatformError::Malformed { uncertain: false, .. })), "{hosts:?}");
}
