//! Entry hosts that run in the lab process.

use std::fmt::Debug;
use std::fmt::Formatter;

use vanillapick_entry::link_rule::LinkRule;
use vanillapick_entry::server::EntryServer;
use vanillapick_entry::session_recorder::TraceSender;
use vanillapick_model::host::HostEntry;
use vanillapick_settings::entry_settings::EntrySettings;

/// Entry host that runs until it is stopped, killed or dropped.
pub struct EntryHost {
    server: EntryServer,
}

impl Debug for EntryHost {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("EntryHost").field("entry", &self.entry()).finish()
    }
}

impl EntryHost {
    /// Starts an entry host whose outgoing connections are subject to `rule`.
    pub async fn launch(settings: EntrySettings, rule: LinkRule) -> Result<Self, String> {
        let server =
            EntryServer::launch_with(settings, rule).await.map_err(|error| error.to_string())?;
        Ok(Self { server })
    }

    /// Entry for the platform's host list.
    pub fn entry(&self) -> HostEntry {
        self.server.entry()
    }

    /// Sends the traces of all sessions that start from now on to `sender`.
    pub fn record_sessions(&self, sender: TraceSender) {
        self.server.record_sessions(sender);
    }

    /// Stops gracefully; returns when the last request has completed.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Stops at once, without waiting for requests in flight.
    pub async fn kill(self) {
        self.server.kill().await;
    }
}
