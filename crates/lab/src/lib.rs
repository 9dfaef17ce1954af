//! Stand-ins for the platform and the targets, load generator and experiments. The serving binaries never link this
//! crate.

pub mod http_reply;
pub mod platform_stand_in;
pub mod target_stand_in;
pub mod load_generator;
pub mod json_patch;
pub mod entry_hosts;
pub mod experiment;
pub mod capacity;
pub mod demo;
pub mod replay;
pub mod report;
