//! Connection pool of one target, limited to this host's share of the target's connections.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use reqwest::Client;

use crate::entry_host::lock;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between the end of a call and the next use of its client. The client returns its connection to its pool in a
/// background task; if it were used earlier, it would open a second connection.
pub(crate) const CONNECTION_RETURN_DELAY: Duration = Duration::from_millis(1);

/// Number of times that an attempt waits [`CONNECTION_RETURN_DELAY`] for a client.
const MAX_RETURN_WAITS: u32 = 4;

/// Connections to one target. Each client holds at most one connection and is used by one call at a time, which
/// bounds the connections to the target by the number of clients. The pool of a shared client would open another
/// connection while an idle one is being returned.
pub(crate) struct TargetLink {
    clients: Mutex<ClientPool>,
}

struct ClientPool {
    /// Longest idle first, because a client that is reused immediately after a call may open a second connection.
    idle: VecDeque<Client>,
    /// Number of clients, idle and in use.
    client_count: u32,
    /// Maximum number of clients, which is this host's share of the target's connections. Clients above it are dropped
    /// when their call ends.
    limit: u32,
    /// Whether a cancel request or a status probe uses a client.
    is_control_in_use: bool,
}

/// Purpose for which a client is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClientPurpose {
    /// An attempt.
    Call,
    /// A cancel request or a status probe.
    Control,
}

impl Default for TargetLink {
    fn default() -> Self {
        Self {
            clients: Mutex::new(ClientPool {
                idle: VecDeque::new(),
                client_count: 0,
                limit: u32::MAX,
                is_control_in_use: false,
            }),
        }
    }
}

impl TargetLink {
    /// Takes a client for an attempt; if none is available, waits briefly for one to be returned.
    pub(crate) async fn acquire_with_wait(&self) -> Option<Client> {
        for _ in 0..MAX_RETURN_WAITS {
            if let Some(client) = self.acquire(ClientPurpose::Call) {
                return Some(client);
            }
            tokio::time::sleep(CONNECTION_RETURN_DELAY).await;
        }
        self.acquire(ClientPurpose::Call)
    }

    /// Takes a client for one call; `None` if all connections of the share are in use. Cancel requests and probes
    /// together use at most one client at a time.
    pub(crate) fn acquire(&self, purpose: ClientPurpose) -> Option<Client> {
        let mut clients = lock(&self.clients);
        if purpose == ClientPurpose::Control {
            if clients.is_control_in_use {
                return None;
            }
            clients.is_control_in_use = true;
        }
        let client = clients.acquire();
        if client.is_none() && purpose == ClientPurpose::Control {
            clients.is_control_in_use = false;
        }
        client
    }

    pub(crate) fn release(&self, client: Client, purpose: ClientPurpose) {
        let mut clients = lock(&self.clients);
        if purpose == ClientPurpose::Control {
            clients.is_control_in_use = false;
        }
        if clients.limit < clients.client_count {
            clients.client_count -= 1;
        } else {
            clients.idle.push_back(client);
        }
    }

    pub(crate) fn set_limit(&self, limit: u32) {
        let mut clients = lock(&self.clients);
        clients.limit = limit;
        while clients.limit < clients.client_count && clients.idle.pop_front().is_some() {
            clients.client_count -= 1;
        }
    }
}

impl ClientPool {
    fn acquire(&mut self) -> Option<Client> {
        if let Some(client) = self.idle.pop_front() {
            return Some(client);
        }
        if self.limit <= self.client_count {
            return None;
        }
        self.client_count += 1;
        let builder = Client::builder()
            .pool_max_idle_per_host(1)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .tcp_nodelay(true)
            // Following a redirect would run the call at an address that is not in the tables.
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy();
        // The builder cannot fail without TLS and a proxy.
        Some(builder.build().unwrap_or_default())
    }
}
