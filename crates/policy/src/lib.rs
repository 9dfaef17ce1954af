//! Decisions of one entry host on the path of a request.
//!
//! The crate does no I/O and reads no clock: decision time is a [`std::time::Duration`] since process start, wall time
//! and randomness are arguments. That makes sessions replayable from recorded traces.
//!
//! The driver of a session, which does the I/O:
//!
//! - keeps one `HostState`, installs each new configuration, and passes on what status probes and peers say about
//!   targets; a target takes work only once its marks are known;
//! - asks `admission` before it starts a session, and tells it the `service_time` when the session has finished;
//! - starts a `session::RequestSession`, carries out its actions in order, and passes back exactly one event for each
//!   `Send` (also after `Finish`) and one result for each `Claim`;
//! - calls `on_wake` at `next_wake`, which it reads again after each call;
//! - keeps the session until `is_idle`, so that in-flight counts stay exact.

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
