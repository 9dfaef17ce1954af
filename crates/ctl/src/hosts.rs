//! Queries the status of every entry host in the platform's host list.

use std::time::Duration;

use reqwest::Client;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::JoinSet;
use vanillapick_model::host::HostEntry;
use vanillapick_model::table::ConfigRevision;
use vanillapick_platform::PlatformClient;

use crate::error::CommandError;

/// Timeout of the status request to one host. A reachable host replies within milliseconds, and an unreachable one must
/// not delay the others.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// Response of a host to `GET /status`. Missing fields have defaults, because hosts of two versions can run at the same
/// time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct HostStatus {
    pub(crate) host: String,
    pub(crate) domain: String,
    /// Revision that the host has applied; 0 if none.
    pub(crate) revision: ConfigRevision,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    /// The latest revision that the host rejected.
    pub(crate) rejected: Option<RejectedRevision>,
    pub(crate) peer: PeerUsage,
    pub(crate) peers: Vec<PeerView>,
    pub(crate) moves: Vec<MoveView>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct RejectedRevision {
    pub(crate) revision: ConfigRevision,
    pub(crate) findings: Vec<serde_json::Value>,
}

/// Resources used by the exchange with peers since the host started.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct PeerUsage {
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    pub(crate) cpu_us: u64,
}

/// State of a peer as known to a host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct PeerView {
    pub(crate) host: String,
    /// Time since the latest update from the peer; `None` if the peer is known only from the host list.
    pub(crate) age_ms: Option<u64>,
    pub(crate) state: String,
}

/// State of a move at a host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct MoveView {
    pub(crate) route: String,
    #[serde(rename = "move")]
    pub(crate) move_id: String,
    /// Fraction of new traffic that the host sends to the new pool.
    pub(crate) share: f64,
    pub(crate) state: String,
    pub(crate) evidence: serde_json::Value,
    pub(crate) reason: Option<String>,
}

/// An entry of the host list, with the status of the host or the error of the request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct HostResponse {
    #[serde(flatten)]
    pub(crate) entry: HostEntry,
    pub(crate) status: Option<HostStatus>,
    /// Set if `status` is `None`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<String>,
}

/// Queries all hosts concurrently; the responses are sorted by host id.
pub(crate) async fn query_hosts(
    client: &PlatformClient,
) -> Result<Vec<HostResponse>, CommandError> {
    let place = format!("platform {}", client.address());
    let entries = client.hosts().await;
    let entries = entries.map_err(|error| CommandError::from_platform_error(&error, place))?;
    let http = Client::builder()
        .no_proxy()
        .timeout(HOST_TIMEOUT)
        .build()
        .expect("building a client without TLS and proxies cannot fail");
    let mut tasks = JoinSet::new();
    for entry in entries {
        let http = http.clone();
        tasks.spawn(async move {
            match query_host(&http, &entry).await {
                Ok(status) => HostResponse { entry, status: Some(status), error: None },
                Err(error) => HostResponse { entry, status: None, error: Some(error) },
            }
        });
    }
    let mut responses = tasks.join_all().await;
    responses.sort_by(|left, right| left.entry.id.cmp(&right.entry.id));
    Ok(responses)
}

async fn query_host(http: &Client, entry: &HostEntry) -> Result<HostStatus, String> {
    let reply = http.get(format!("http://{}/status", entry.address)).send().await;
    let reply = reply.map_err(|error| error_text(&error))?;
    if !reply.status().is_success() {
        return Err(format!("status {}", reply.status().as_u16()));
    }
    let body = reply.bytes().await.map_err(|error| error_text(&error))?;
    serde_json::from_slice(&body).map_err(|error| format!("its status cannot be read: {error}"))
}

fn error_text(error: &reqwest::Error) -> String {
    let text = if error.is_connect() {
        "no connection"
    } else if error.is_timeout() {
        "no reply in time"
    } else {
        "the connection ended before the reply"
    };
    text.to_owned()
}

/// Age in milliseconds of the most recent update about `host` at any other host.
pub(crate) fn latest_update_age(responses: &[HostResponse], host: &str) -> Option<u64> {
    let statuses = responses.iter().filter_map(|response| response.status.as_ref());
    let views = statuses.flat_map(|status| &status.peers).filter(|view| view.host == host);
    views.filter_map(|view| view.age_ms).min()
}
