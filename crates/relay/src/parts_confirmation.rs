//! Confirmations that the sender of a request for parts has received the first message. Without one, the owner of the group sends no
//! second attempts: the sender may have given it up and asked another owner, which has them.
//!
//! `POST /confirm` with the id that the request had in its header `confirmation`, in the same header. Owners of earlier versions
//! ignore both.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio::sync::oneshot;

use crate::part_peers::PartPeer;
use crate::part_peers::peer_call;
use crate::relay_host::RelayHost;

/// Path of the endpoint.
pub(crate) const CONFIRM_PATH: &str = "/confirm";

/// Header with a [`ConfirmationId`] in decimal digits.
const CONFIRMATION: HeaderName = HeaderName::from_static("confirmation");

/// Identifies one request for parts at the host that gets it; drawn at random by the host that sends it.
pub(crate) type ConfirmationId = u64;

/// Groups of this host whose first message is to be confirmed.
#[derive(Default)]
pub(crate) struct ExpectedConfirmations {
    waiting: Mutex<HashMap<ConfirmationId, oneshot::Sender<()>>>,
}

/// Confirmation of one group, which is expected until this is dropped.
pub(crate) struct GroupConfirmation {
    host: Arc<RelayHost>,
    /// `None` if the sender of the request confirms nothing, as earlier versions of the program.
    id: Option<ConfirmationId>,
    received: Option<oneshot::Receiver<()>>,
    is_received: bool,
}

impl ExpectedConfirmations {
    fn waiting(&self) -> MutexGuard<'_, HashMap<ConfirmationId, oneshot::Sender<()>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes a confirmation on to its group, if that has not ended.
    pub(crate) fn confirm(&self, headers: &HeaderMap) {
        let waiting = read_id(headers).and_then(|id| self.waiting().remove(&id));
        let is_expected = waiting.is_some_and(|waiting| waiting.send(()).is_ok());
        let result = if is_expected { "confirmed" } else { "not_expected" };
        metrics::counter!("vanillapick_groups_confirmed_total", "result" => result).increment(1);
    }
}

impl GroupConfirmation {
    /// Expects the confirmation that a request for parts announces in its headers.
    pub(crate) fn expect(host: &Arc<RelayHost>, headers: &HeaderMap) -> Self {
        let id = read_id(headers);
        let received = id.map(|id| {
            let (sender, receiver) = oneshot::channel();
            host.confirmations.waiting().insert(id, sender);
            receiver
        });
        Self { host: Arc::clone(host), id, received, is_received: false }
    }

    pub(crate) fn is_received(&self) -> bool {
        self.is_received
    }

    /// Waits for the confirmation, for ever if there is none or it has been received.
    pub(crate) async fn receive(&mut self) {
        let Some(receiver) = &mut self.received else { return std::future::pending().await };
        // An error says that another request has announced the same id; that is no confirmation.
        self.is_received = receiver.await.is_ok();
        self.received = None;
    }
}

impl Drop for GroupConfirmation {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.host.confirmations.waiting().remove(&id);
        }
    }
}

fn read_id(headers: &HeaderMap) -> Option<ConfirmationId> {
    headers.get(CONFIRMATION)?.to_str().ok()?.parse().ok()
}

/// Announces that the first message of a group will be confirmed.
pub(crate) fn announce(call: &mut Request<Full<Bytes>>, id: ConfirmationId) {
    call.headers_mut().insert(CONFIRMATION, HeaderValue::from(id));
}

/// Tells the owner of a group that its first message has arrived.
pub(crate) async fn confirm(host: Arc<RelayHost>, peer: Arc<PartPeer>, id: ConfirmationId) {
    let mut call = peer_call(Method::POST, CONFIRM_PATH, Bytes::new());
    announce(&mut call, id);
    let told = peer.tell(call, || host.now()).await;
    let result = if told.is_ok_and(|status| status.is_success()) { "told" } else { "failed" };
    metrics::counter!("vanillapick_group_confirmations_total", "result" => result).increment(1);
}
