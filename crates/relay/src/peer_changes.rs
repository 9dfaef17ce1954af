//! Exchange of store changes between hosts of a failure domain: the client call and the endpoint.
//!
//! `GET /changes?after=REVISION&era=ERA` replies with [`PeerChanges`] in MessagePack as soon as the host knows later changes, with
//! an empty one after [`PEER_WAIT`], and with status 410 if it has not listed the store in that era.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method as CallMethod;
use rocket::Data;
use rocket::Request;
use rocket::Route;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use rocket::route::Outcome;
use vanillapick_model::peer_message;

use crate::admin_endpoints::serve;
use crate::change_log::PeerChanges;
use crate::relay_host::RelayHost;
use crate::wire::StoreCall;
use crate::wire::StoreEra;
use crate::wire::StorePosition;
use crate::wire::StoreRevision;

/// Maximum delay of a reply. A reply without changes still shows that the host is alive and whether it can reach the store.
pub(crate) const PEER_WAIT: Duration = Duration::from_secs(1);

/// Timeout of a call in addition to [`PEER_WAIT`]. The peer is in the same failure domain, and another one replaces it if
/// it is slow.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a reply confirms that the store is reachable and that its changes are known, which is until the next reply.
pub(crate) const PEER_CONFIRMATION: Duration = PEER_WAIT.saturating_add(PEER_TIMEOUT);

/// Path of the endpoint.
const PATH: &str = "/changes";

/// Builds the call that asks a peer for changes after a position.
pub(crate) fn changes_call(after: StorePosition) -> StoreCall {
    let path = format!("{PATH}?after={}&era={}", after.revision, after.era);
    StoreCall { method: CallMethod::GET, path, body: Bytes::new() }
}

/// Decodes the reply of a peer.
pub(crate) fn read_changes(body: &[u8]) -> Result<PeerChanges, String> {
    peer_message::decode(body).map_err(|error| error.to_string())
}

/// Endpoint that serves the change log to peers.
#[derive(Clone)]
struct ChangesEndpoint {
    host: Arc<RelayHost>,
}

#[rocket::async_trait]
impl Handler for ChangesEndpoint {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let Some(Ok(revision)) = request.query_value::<StoreRevision>("after") else {
            return Outcome::Error(Status::BadRequest);
        };
        let host = &self.host;
        // Older versions of the program name no era.
        let era = match request.query_value::<StoreEra>("era") {
            None => host.changes.era(),
            Some(Ok(era)) => era,
            Some(Err(_)) => return Outcome::Error(Status::BadRequest),
        };
        let after = StorePosition { era, revision };
        let changes =
            host.changes.changes_after(after, PEER_WAIT, PEER_CONFIRMATION, || host.now());
        let Some(changes) = changes.await else {
            return Outcome::Error(Status::Gone);
        };
        match rmp_serde::to_vec(&changes) {
            Ok(body) => Outcome::from(request, body),
            Err(error) => {
                tracing::error!(%error, "encoding changes for a peer failed");
                Outcome::Error(Status::InternalServerError)
            }
        }
    }
}

/// Serves the endpoint if the settings contain an address for it.
pub(crate) fn serve_changes(host: &Arc<RelayHost>) {
    let Some(address) = host.settings.peers else { return };
    let endpoint = ChangesEndpoint { host: Arc::clone(host) };
    serve("changes", address, Route::new(Method::Get, PATH, endpoint));
}
