//! Errors that prevent an entry host from starting.

use std::io;
use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;

/// Reason why an entry host could not start.
#[derive(Debug, Display, Error)]
pub enum EntryError {
    /// The server could not listen on the configured address.
    #[display("cannot listen on {address}: {reason}; help: choose a free address in \"listen\"")]
    Listen {
        /// Value of `listen` in the settings.
        address: SocketAddr,
        /// Error reported by the HTTP server.
        reason: String,
    },
    /// The worker threads could not be started.
    #[display("cannot start the worker threads: {source}; help: lower \"workers\"")]
    Runtime {
        /// Error reported by the operating system.
        source: io::Error,
    },
}
