//! State that entry hosts replicate to each other: membership, configuration, target marks and evidence of moves.
//!
//! The crate performs no I/O and reads no clock: time is a `Duration` since process start, wall time is in milliseconds
//! since 1970, and random number generators are arguments.

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
