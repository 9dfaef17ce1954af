//! Decisions about requests that are forwarded unchanged to one target, or to one target of every shard.
//!
//! Nothing here does I/O or reads a clock: times are durations since the start of the process, and randomness is an
//! argument.

pub mod admission;
pub mod attempt;
pub mod change_source;
pub mod config_document;
pub mod crash_guard;
pub mod dispatch_plan;
pub mod retry_budget;
pub mod gather;
pub mod host_record;
pub mod host_quota;
pub mod pool_state;
pub mod registry;
pub mod route_table;
pub mod serving_view;
pub mod target_pick;
pub mod target_record;
pub mod target_state;
pub mod version_split;
