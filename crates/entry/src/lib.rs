//! The server process of an entry host: accepts requests from callers, calls targets and returns the results. It also
//! follows the configuration and exchanges state with its peers. The decision logic is in `vanillapick-policy` and
//! `vanillapick-fleet`.

pub mod command;
pub mod server;
pub mod entry_host;
pub mod entry_error;
pub mod host_lifecycle;
pub mod host_slot;
pub mod link_rule;
pub mod caller_api;
pub mod call_headers;
pub mod call_response;
pub mod request_flow;
pub mod running_calls;
pub mod admission_gate;
pub mod session_driver;
pub mod session_recorder;
pub mod idempotency_claim;
pub mod target_client;
pub mod target_link;
pub mod target_prober;
pub mod limit_shares;
pub mod crash_guard;
pub mod move_tracker;
pub mod move_recorder;
pub mod store_follower;
pub mod peer_api;
pub mod peer_link;
pub mod metrics_page;
pub mod status_page;
