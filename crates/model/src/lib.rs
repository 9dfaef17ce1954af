//! Shared data types of vanillapick, and the headers and bodies exchanged between its processes.
//!
//! This crate performs no I/O and reads no clock. Ids are aliases of plain types because every wire format represents
//! them as text or numbers.

pub mod host;
pub mod failure_domain;
pub mod link;
pub mod contract;
pub mod target;
pub mod pool;
pub mod route;
pub mod table;
pub mod snapshot;
pub mod call;
pub mod answer;
pub mod crash_mark;
pub mod hash;
pub mod millis;
pub mod peer_message;
pub mod wall_clock;
