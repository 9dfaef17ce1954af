//! The serving process of a host that forwards requests to targets which a store registers.
//!
//! What is spoken with callers, targets and the store comes as a [`wire::PlatformWire`]; the crate knows no names of it.

pub mod admin_pages;
pub mod caller_server;
pub mod change_log;
pub mod decision_log;
pub mod host_registration;
pub mod move_keeper;
pub mod process;
pub mod relay_host;
pub mod relay_server;
pub mod request_flow;
pub mod store_client;
pub mod store_follower;
pub mod target_link;
pub mod wire;
mod caller_answer;
mod crash_marks;
mod kept_connection;
mod link_table;
mod loop_delay;
mod peer_changes;
mod planned_stop;
mod request_log;
mod target_attempt;
