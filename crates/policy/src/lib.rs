//! Request-handling decisions of an entry host.
//!
//! This crate performs no I/O and reads no clock. Callers pass in the monotonic time (a [`std::time::Duration`] since
//! process start), the wall-clock time and a random number generator, so sessions can be replayed from recorded traces.
//!
//! The driver performs the I/O of a session and must:
//!
//! - keep one `HostState`, install each new configuration, and report the target status received from probes and
//!   peers; a target receives no work until its marks are known;
//! - ask `admission` before starting a session, and report the `service_time` when the session has finished;
//! - start a `session::RequestSession`, perform its actions in order, and return exactly one event for each `Send`
//!   (even after `Finish`) and one result for each `Claim`;
//! - call `on_wake` at the time given by `next_wake`, which may change after each call;
//! - keep the session until `is_idle` returns true, so that in-flight counts stay accurate.

pub mod attempt;
pub mod host_state;
pub mod serving_view;
pub mod target_state;
pub mod admission;
pub mod pin;
pub mod pick;
pub mod budget;
pub mod hedge;
pub mod gather;
pub mod request;
pub mod search;
pub mod read;
pub mod write;
pub mod shares;
pub mod cold;
pub mod crash;
pub mod version_move;
pub mod session;
pub mod trace;
pub mod counters;
pub mod request_plan;
pub mod per_kind;
pub mod micros;

mod attempt_log;
mod crash_probe;
mod sticky_flag;
mod latency_estimate;
mod limit_control;
mod scatter;
mod scatter_scope;
mod scatter_send;
mod scatter_time;
mod shard_progress;
