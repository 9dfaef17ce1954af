//! Client of the platform's key-value store and host list, with configuration edits and idempotency claims built on it.

pub mod body_buffer;
pub mod error;
pub mod reply_body;
pub mod reply_memory;
pub mod transport;
pub mod client;
pub mod config_edit;
pub mod claim;
mod claim_record;

pub use client::PlatformClient;
pub use error::PlatformError;
