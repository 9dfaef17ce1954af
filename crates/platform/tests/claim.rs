//! Guards against two holders running the same request and against a key that stays blocked after its release.

mod stand_in;

use std::time::Duration;

use bytes::Bytes;
use insta::assert_snapshot;
use vanillapick_platform::PlatformClient;
use vanillapick_platform::claim::ClaimOutcome;
use vanillapick_platform::claim::ClaimResult;
use vanillapick_platform::claim::HeldClaim;
use vanillapick_platform::claim::claim;
use vanillapick_platform::claim::record_outcome;
use vanillapick_platform::claim::release_unconfirmed;

use crate::stand_in::Fault;
use crate::stand_in::StandIn;

const KEY: &str = "vanillapick/claims/k";

async fn start() -> (StandIn, PlatformClient) {
    let platform = StandIn::start().await;
    let client = PlatformClient::new(platform.address, Duration::from_secs(20));
    (platform, client)
}

async fn held(client: &PlatformClient, nonce: &str) -> HeldClaim {
    match claim(client, "k", nonce, "9").await {
        ClaimResult::Held(held) => held,
        other => panic!("the claim is not held: {other:?}"),
    }
}

#[rocket::async_test]
async fn an_answer_is_given_again_and_not_run_again() {
    let (platform, client) = start().await;
    for body in [Bytes::from_static(b"{\"done\":1}"), Bytes::from_static(&[0xff, 0])] {
        platform.remove(KEY);
        let first = held(&client, "n1").await;
        assert_eq!(claim(&client, "k", "n2", "9").await, ClaimResult::InProgress);
        record_outcome(&client, &first, ClaimOutcome::Ran(body.clone()))
            .await
            .expect("it is settled");
        assert_eq!(claim(&client, "k", "n3", "9").await, ClaimResult::AlreadyRan(body));
    }
    assert_snapshot!(format!("{}\n{}", platform.take_call_log(), platform.read(KEY)));
}

#[rocket::async_test]
async fn a_released_key_can_be_claimed_again_and_an_unknown_one_cannot() {
    let (platform, client) = start().await;
    let first = held(&client, "n1").await;
    record_outcome(&client, &first, ClaimOutcome::Released).await.expect("it is settled");
    let second = held(&client, "n2").await;
    // A repeated release by the first holder must leave the second claim in place.
    record_outcome(&client, &first, ClaimOutcome::Released).await.expect("it was settled before");
    let late = record_outcome(&client, &first, ClaimOutcome::Ran(Bytes::new())).await;
    assert!(late.is_err(), "a claim of another holder was overwritten");
    record_outcome(&client, &second, ClaimOutcome::Unknown).await.expect("it is settled");
    assert_eq!(claim(&client, "k", "n3", "9").await, ClaimResult::OutcomeUnknown);
    assert_snapshot!(platform.take_call_log());
}

#[rocket::async_test]
async fn lost_replies_are_settled_by_the_nonce() {
    let (platform, client) = start().await;
    platform.fail("PUT", Fault::LoseReply);
    let first = held(&client, "n1").await;
    platform.fail("PUT", Fault::LoseReply);
    record_outcome(&client, &first, ClaimOutcome::Released).await.expect("it is settled");
    platform.fail("PUT", Fault::LoseRequest);
    let second = held(&client, "n2").await;
    platform.fail("PUT", Fault::LoseRequest);
    record_outcome(&client, &second, ClaimOutcome::Unknown).await.expect("it is settled");
    assert_snapshot!(platform.take_call_log());
}

#[rocket::async_test]
async fn an_unreachable_store_refuses_and_the_claim_can_be_abandoned() {
    let (platform, client) = start().await;
    platform.fail("PUT", Fault::Refuse);
    let refused = claim(&client, "k", "n1", "9").await;
    assert!(
        matches!(refused, ClaimResult::Unavailable { may_be_stored: false, .. }),
        "{refused:?}"
    );

    platform.fail("PUT", Fault::LoseReply);
    for _ in 0..4 {
        platform.fail("GET", Fault::Refuse);
        platform.fail("PUT", Fault::Refuse);
    }
    let lost = claim(&client, "k", "n2", "9").await;
    assert!(matches!(lost, ClaimResult::Unavailable { may_be_stored: true, .. }), "{lost:?}");
    platform.clear_faults();

    assert_eq!(claim(&client, "k", "n3", "9").await, ClaimResult::InProgress);
    release_unconfirmed(&client, "k", "n2", "9").await.expect("the claim is released");
    held(&client, "n4").await;
    assert_snapshot!(platform.take_call_log());
}
