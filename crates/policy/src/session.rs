//! Sessions of any kind behind a common interface.

use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::attempt::AttemptEvent;
use crate::attempt::ClaimResult;
use crate::attempt::SessionAction;
use crate::host_state::HostState;
use crate::read::ReadSession;
use crate::request::SessionRequest;
use crate::search::SearchSession;
use crate::write::WriteSession;

/// State machine for a request of any kind.
#[derive(Debug)]
pub enum RequestSession {
    Search(SearchSession),
    Read(ReadSession),
    Write(WriteSession),
}

impl RequestSession {
    /// Starts a session and returns its first actions.
    pub fn start(
        host: &Arc<HostState>,
        request: SessionRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        match request {
            SessionRequest::Search(request) => {
                let (session, actions) = SearchSession::start(host, request, now, rng);
                (Self::Search(session), actions)
            }
            SessionRequest::Read(request) => {
                let (session, actions) = ReadSession::start(host, request, now, rng);
                (Self::Read(session), actions)
            }
            SessionRequest::Write(request) => {
                let (session, actions) = WriteSession::start(host, request, now, rng);
                (Self::Write(session), actions)
            }
        }
    }

    /// Starts a session for a request that may crash targets. Writes need no additional precautions, because they are
    /// only retried after proof that they were not executed.
    pub fn start_cautious(
        host: &Arc<HostState>,
        request: SessionRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        match request {
            SessionRequest::Search(request) => {
                let (session, actions) = SearchSession::start_cautious(host, request, now, rng);
                (Self::Search(session), actions)
            }
            SessionRequest::Read(request) => {
                let (session, actions) = ReadSession::start_cautious(host, request, now, rng);
                (Self::Read(session), actions)
            }
            SessionRequest::Write(_) => Self::start(host, request, now, rng),
        }
    }

    /// Handles the end of an attempt, even after the caller has been answered.
    pub fn on_event(
        &mut self,
        event: AttemptEvent,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SessionAction> {
        match self {
            Self::Search(session) => session.on_event(event, now, rng),
            Self::Read(session) => session.on_event(event, now, rng),
            Self::Write(session) => session.on_event(event, now, rng),
        }
    }

    /// Handles the result of a claim. Does nothing in searches and reads.
    pub fn on_claim(
        &mut self,
        result: ClaimResult,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SessionAction> {
        match self {
            Self::Search(_) | Self::Read(_) => Vec::new(),
            Self::Write(session) => session.on_claim(result, now, rng),
        }
    }

    /// Sends all due attempts and finishes at the deadline. Calling it early has no effect.
    pub fn on_wake(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<SessionAction> {
        match self {
            Self::Search(session) => session.on_wake(now, rng),
            Self::Read(session) => session.on_wake(now, rng),
            Self::Write(session) => session.on_wake(now, rng),
        }
    }

    /// Cancels the session on behalf of the caller.
    pub fn on_cancel(&mut self, now: Duration) -> Vec<SessionAction> {
        match self {
            Self::Search(session) => session.on_cancel(now),
            Self::Read(session) => session.on_cancel(now),
            Self::Write(session) => session.on_cancel(now),
        }
    }

    /// Refuses the request because its fingerprint was marked as crashing targets.
    pub fn on_crash_mark(&mut self, now: Duration) -> Vec<SessionAction> {
        match self {
            Self::Search(session) => session.on_crash_mark(now),
            Self::Read(session) => session.on_crash_mark(now),
            Self::Write(session) => session.on_crash_mark(now),
        }
    }

    /// Returns when to call [`Self::on_wake`], or `None` once the caller has been answered.
    pub fn next_wake(&self) -> Option<Duration> {
        match self {
            Self::Search(session) => session.next_wake(),
            Self::Read(session) => session.next_wake(),
            Self::Write(session) => session.next_wake(),
        }
    }

    /// Returns the time that the targets took. Admission uses it as a latency sample, taken when the session finishes.
    pub fn service_time(&self, now: Duration) -> Duration {
        match self {
            Self::Search(session) => session.service_time(now),
            Self::Read(session) => session.service_time(now),
            Self::Write(session) => session.service_time(now),
        }
    }

    /// Returns whether the caller has been answered.
    pub fn is_finished(&self) -> bool {
        match self {
            Self::Search(session) => session.is_finished(),
            Self::Read(session) => session.is_finished(),
            Self::Write(session) => session.is_finished(),
        }
    }

    /// Returns whether the caller has been answered, no attempt is running and no claim result is pending.
    pub fn is_idle(&self) -> bool {
        match self {
            Self::Search(session) => session.is_idle(),
            Self::Read(session) => session.is_idle(),
            Self::Write(session) => session.is_idle(),
        }
    }
}
