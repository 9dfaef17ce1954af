//! Makes the host available to the endpoints. The host is created after binding, because its entry in the host list
//! contains the bound port.

use std::ops::Deref;
use std::sync::Arc;
use std::sync::OnceLock;

use rocket::Request;
use rocket::http::Status;
use rocket::request::FromRequest;
use rocket::request::Outcome;

use crate::entry_host::EntryHost;

/// Holds the host. It is set once, after binding and before the first request is accepted.
#[derive(Clone, Default)]
pub struct HostSlot {
    host: Arc<OnceLock<Arc<EntryHost>>>,
}

impl HostSlot {
    /// Sets the host; later calls have no effect.
    pub fn set(&self, host: Arc<EntryHost>) {
        let _ = self.host.set(host);
    }

    /// Returns the host, or `None` before it is set.
    pub fn get(&self) -> Option<Arc<EntryHost>> {
        self.host.get().map(Arc::clone)
    }
}

/// Request guard that gives an endpoint access to the host.
pub struct HostHandle(Arc<EntryHost>);

impl Deref for HostHandle {
    type Target = Arc<EntryHost>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for HostHandle {
    type Error = &'static str;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let host = request.rocket().state::<HostSlot>().and_then(|slot| slot.host.get());
        match host {
            Some(host) => Outcome::Success(Self(Arc::clone(host))),
            None => Outcome::Error((Status::ServiceUnavailable, "the host is starting")),
        }
    }
}
