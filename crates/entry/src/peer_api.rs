//! Endpoints for other entry hosts.

use rocket::Data;
use rocket::data::ByteUnit;
use rocket::http::Status;
use rocket::post;

use crate::host_slot::HostHandle;

/// Maximum size of a peer message in bytes, which fits a configuration of maximum size and the rest of the state.
const MAX_MESSAGE_BYTES: u64 = 4 * 1024 * 1024;

#[post("/peer/exchange", data = "<data>")]
pub(crate) async fn exchange(host: HostHandle, data: Data<'_>) -> (Status, Vec<u8>) {
    take_message(host, data).await
}

#[post("/peer/push", data = "<data>")]
pub(crate) async fn push(host: HostHandle, data: Data<'_>) -> (Status, Vec<u8>) {
    take_message(host, data).await
}

async fn take_message(host: HostHandle, data: Data<'_>) -> (Status, Vec<u8>) {
    let Ok(body) = data.open(ByteUnit::Byte(MAX_MESSAGE_BYTES)).into_bytes().await else {
        return (Status::BadRequest, Vec::new());
    };
    if !body.is_complete() {
        return (Status::PayloadTooLarge, Vec::new());
    }
    match host.peers.take_message(&host, &body.into_inner()) {
        Some(reply) => (Status::Ok, reply),
        None => (Status::BadRequest, Vec::new()),
    }
}
