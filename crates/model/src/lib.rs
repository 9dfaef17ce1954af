//! The objects of a vanillapick system and the bodies and headers its processes exchange.
//!
//! The crate does no I/O and reads no clock. Ids are aliases of plain types because they are text or numbers on
//! every wire format in use.

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
pub mod wall_clock;
