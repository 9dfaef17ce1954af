//! State that entry hosts share: membership, configuration spread, marks and evidence.
//!
//! The crate does no I/O and reads no clock: time is a `Duration` since process start, wall time is milliseconds since
//! 1970, and randomness is an argument.

pub mod membership;
pub mod marks;
pub mod evidence;
pub mod urgent;
pub mod origin_row;
pub mod replicated_config;
pub mod shared_state;
pub mod exchange;
pub mod peer_options;
pub mod peer_status;
pub mod peer_state;
mod peer_tick;
mod peer_messages;
pub mod table_edit;
pub mod simulation;
pub mod sample_table;
