//! Routing, load balancing, hedging and retry decisions for requests that are forwarded unchanged to one target or to
//! one target of every shard.
//!
//! The crate does no I/O and reads no clock: times are durations since the start of the process, and random number
//! generators are passed as arguments.

pub mod admission;
pub mod attempt;
pub mod change_source;
pub mod config_document;
pub mod crash_evidence;
pub mod crash_guard;
pub mod dispatch_plan;
pub mod follow_pace;
pub mod forward_pick;
pub mod retry_budget;
pub mod gather;
pub mod host_lease;
pub mod host_record;
pub mod host_quota;
mod known_versions;
pub mod pool_state;
pub mod pool_versions;
pub mod registry;
pub mod request_limit;
pub mod route_table;
pub mod serving_view;
pub mod shard_groups;
pub mod silent_attempts;
pub mod store_position;
pub mod target_pick;
pub mod target_reach;
pub mod target_record;
pub mod target_state;
pub mod unknown_route;
pub mod version_split;
pub mod watch_supervisor;
