//! Serving process of an entry host that forwards requests of callers to the targets registered in a store.
//!
//! The protocols of callers, targets and the store are supplied as a [`wire::PlatformWire`], so this crate contains no
//! header names or document formats of a platform.

pub mod admin_endpoints;
pub mod caller_server;
pub mod change_log;
pub mod crash_wire;
pub mod log_limiter;
pub mod host_registration;
pub mod move_tracker;
mod parts_confirmation;
pub mod parts_wire;
pub mod process;
mod refusal_exchange;
pub mod relay_host;
pub mod relay_server;
pub mod request_flow;
pub mod reply_status;
pub mod store_client;
pub mod store_follower;
pub mod target_connections;
pub mod wire;
mod budget_report;
mod caller_response;
mod crash_exchange;
mod crash_state;
mod kept_connection;
mod connection_table;
mod forward_client;
mod forward_server;
pub mod forward_wire;
mod loop_delay;
mod metered_stream;
mod part_peers;
mod parts_client;
mod parts_server;
mod peer_changes;
mod reach_monitor;
mod graceful_shutdown;
mod request_fingerprint;
mod request_limits;
mod request_log;
mod sent_requests;
mod shared_write;
mod target_attempt;
