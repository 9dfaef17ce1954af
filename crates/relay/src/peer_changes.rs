//! Changes of the store between hosts of a failure domain: the call and the page that answers it.
//!
//! `GET /changes?after=REVISION` is answered with [`PeerChanges`] in MessagePack as soon as the host knows of later changes,
//! with an empty one after [`PEER_WAIT`], and with status 410 if the changes are not kept any more.

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

use crate::admin_endpoints::serve;
use crate::change_log::PeerChanges;
use crate::relay_host::RelayHost;
use crate::wire::StoreCall;
use crate::wire::StoreRevision;

/// Longest time that a call is held back. An answer without changes says that the host runs and whether it has the store.
pub(crate) const PEER_WAIT: Duration = Duration::from_secs(1);

/// Time for an answer beyond that. The other host is in the same failure domain; a slow one is replaced by another.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Path of the page.
const PATH: &str = "/changes";

/// Asks another host for changes after a revision.
pub(crate) fn changes_call(after: StoreRevision) -> StoreCall {
    let path = format!("{PATH}?after={after}");
    StoreCall { method: CallMethod::GET, path, body: Bytes::new() }
}

/// Reads what another host answers.
pub(crate) fn read_changes(body: &[u8]) -> Result<PeerChanges, String> {
    rmp_serde::from_slice(body).map_err(|error| error.to_string())
}

/// Answers other hosts.
#[derive(Clone)]
struct ChangesPage {
    host: Arc<RelayHost>,
}

#[rocket::async_trait]
impl Handler for ChangesPage {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let Some(Ok(after)) = request.query_value::<StoreRevision>("after") else {
            return Outcome::Error(Status::BadRequest);
        };
        let host = &self.host;
        let changes = host.changes.changes_after(after, PEER_WAIT, || host.now()).await;
        let Some(changes) = changes else {
            return Outcome::Error(Status::Gone);
        };
        match rmp_serde::to_vec(&changes) {
            Ok(body) => Outcome::from(request, body),
            Err(error) => {
                tracing::error!(%error, "changes cannot be written");
                Outcome::Error(Status::InternalServerError)
            }
        }
    }
}

/// Serves the page, if the settings name its address.
pub(crate) fn serve_changes(host: &Arc<RelayHost>) {
    let Some(address) = host.settings.peers else { return };
    let page = ChangesPage { host: Arc::clone(host) };
    serve("changes", address, Route::new(Method::Get, PATH, page));
}
