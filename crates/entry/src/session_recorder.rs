//! Records session traces for the lab. A host without a trace receiver records nothing.

use std::sync::OnceLock;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use vanillapick_policy::host_state::HostState;
use vanillapick_policy::request::SessionRequest;
use vanillapick_policy::trace::SessionTrace;
use vanillapick_policy::trace::TraceHead;
use vanillapick_policy::trace::TraceStep;

use crate::crash_guard::StartMode;

/// Channel for the trace of each session, sent when all of its attempts have ended.
pub type TraceSender = UnboundedSender<SessionTrace>;

/// Trace channel of a host; set at most once.
pub type TraceSlot = OnceLock<TraceSender>;

/// Trace of a running session, empty if the session is not recorded.
pub struct SessionRecorder {
    running: Option<(TraceSender, SessionTrace)>,
}

impl SessionRecorder {
    /// Captures the decision state from which the session starts, if the host has a trace receiver.
    pub fn start(
        slot: &TraceSlot,
        host: &HostState,
        request: &SessionRequest,
        mode: StartMode,
        seed: u64,
        now: Duration,
    ) -> Self {
        let running = slot.get().map(|sender| {
            let mut head = TraceHead::capture(host, request.clone(), seed, now);
            head.cautious = mode == StartMode::Cautious;
            (sender.clone(), SessionTrace { head, steps: Vec::new() })
        });
        Self { running }
    }

    /// Adds a step; `step` is called only if the session is recorded.
    pub fn record(&mut self, step: impl FnOnce() -> TraceStep) {
        if let Some((_, trace)) = &mut self.running {
            trace.steps.push(step());
        }
    }

    /// Sends the completed trace to the receiver.
    pub fn finish(self) {
        if let Some((sender, trace)) = self.running {
            // The receiver is dropped when the experiment ends.
            let _ = sender.send(trace);
        }
    }
}
