//! Bytes of the messages between hosts. Builds that run side by side during an upgrade read them by position, so none may change; a
//! new field goes into a new message, or into one with named fields.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use vanillapick_relay::change_log::PeerChanges;
use vanillapick_relay::forward_wire::ForwardRefusal;
use vanillapick_relay::forward_wire::ForwardReply;
use vanillapick_relay::forward_wire::ForwardRequest;
use vanillapick_relay::parts_wire::PartsMessage;
use vanillapick_relay::parts_wire::PartsRequest;
use vanillapick_relay::wire::StoreItem;
use vanillapick_relay::wire::StorePage;

const TIME: Duration = Duration::from_millis(1500);

fn headers() -> Vec<(String, Bytes)> {
    vec![("host".to_owned(), Bytes::from_static(b"shop"))]
}

/// Name and bytes of a message, which has the same bytes after it was read.
fn line<T: DeserializeOwned + Serialize>(name: &str, message: &T) -> String {
    let encode = |message: &T| rmp_serde::to_vec(message).expect("the message is encodable");
    let encoded = encode(message);
    let read: T = rmp_serde::from_slice(&encoded).expect("its own bytes");
    assert_eq!(encode(&read), encoded, "{name}");
    let text: String = encoded.escape_ascii().map(char::from).collect();
    format!("{name}: {text}")
}

#[test]
fn bytes_of_messages() {
    let body = || Bytes::from_static(b"body");
    let request_id = || Bytes::from_static(b"id");
    let parts_request = PartsRequest {
        version: 1,
        route: "route".to_owned(),
        shards: vec![2, 3],
        prior_attempts: 4,
        confirm_after: TIME,
        first_message: TIME,
        soft_left: TIME,
        left: TIME,
        caller_left: TIME,
        method: "GET".to_owned(),
        uri: "/x".to_owned(),
        request_id: request_id(),
        headers: headers(),
        body: body(),
    };
    let parts_message = PartsMessage {
        request_id: request_id(),
        parts: vec![(2, Bytes::from_static(b"stamp"))],
        records: body(),
        failed: vec![3],
        has_lost_target: true,
        is_last: false,
    };
    let forward_request = ForwardRequest {
        version: 1,
        elapsed: TIME,
        timeout: TIME,
        is_counted: true,
        method: "GET".to_owned(),
        uri: "/x".to_owned(),
        request_id: request_id(),
        headers: headers(),
        body: body(),
    };
    let response = ForwardReply::Response {
        request_id: request_id(),
        status: 200,
        headers: headers(),
        body: body(),
    };
    let refusals = [
        ForwardRefusal::CutOff,
        ForwardRefusal::Leaving,
        ForwardRefusal::Configuration,
        ForwardRefusal::Overloaded(TIME),
        ForwardRefusal::Malformed,
    ];
    let item = |value: Option<&'static [u8]>| StoreItem {
        key: "key".to_owned(),
        value: value.map(Bytes::from_static),
        revision: 5,
    };
    let items = vec![item(Some(b"value")), item(None)];
    let changes = PeerChanges {
        page: StorePage { items, revision: 6, has_more: false, era: 7 },
        expiry_grace_left: TIME,
        has_store: true,
        is_complete: false,
    };
    let mut lines = vec![
        line("PartsRequest", &parts_request),
        line("PartsMessage", &parts_message),
        line("ForwardRequest", &forward_request),
        line("ForwardReply", &response),
        line("PeerChanges", &changes),
    ];
    let refusals = refusals.map(|refusal| line(refusal.label(), &ForwardReply::Refused(refusal)));
    lines.extend(refusals);
    insta::assert_snapshot!(lines.join("\n"));
}
