//! Attempts that ended without a reply or a reset, and whose targets may turn out to have crashed.
//!
//! A target that loses its power or its link resets no connection. Its registration shows later that it has started again, or
//! lapses.

use std::collections::HashMap;
use std::time::Duration;

use crate::crash_evidence::TargetLoss;
use crate::crash_evidence::WallTime;
use crate::crash_guard::RequestFingerprint;
use crate::target_record::TargetId;
use crate::target_record::TargetRecord;

/// Time for which a registration can show that a target crashed under an attempt: until it lapses, and a margin.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of targets with such attempts; further ones are not remembered.
const MAX_TARGETS: usize = 256;

/// Maximum number of attempts for one target; further ones are not remembered.
const MAX_ATTEMPTS: usize = 4;

/// The attempts, if they are of one request.
fn of_one_request(attempts: Vec<SilentAttempt>) -> Vec<SilentAttempt> {
    let first = attempts.first().map(|attempt| attempt.fingerprint);
    let is_one = attempts.iter().all(|attempt| Some(attempt.fingerprint) == first);
    if is_one { attempts } else { Vec::new() }
}

/// Attempts by target.
#[derive(Debug, Default)]
pub struct SilentAttempts {
    by_target: HashMap<TargetId, Vec<SilentAttempt>>,
}

/// An attempt that was sent and got no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SilentAttempt {
    pub fingerprint: RequestFingerprint,
    /// Start of the target that the attempt was sent to, as Unix time in milliseconds.
    pub started_ms: u64,
    /// The loss, in case that the target has crashed.
    pub loss: TargetLoss,
}

/// What the registration of a target says now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceState {
    /// The target that started at this time is registered.
    Registered(u64),
    /// The target leaves, and its registration ends without a crash.
    Leaving,
    /// No target is registered.
    Gone,
}

impl InstanceState {
    /// State of a registration.
    pub fn of(record: Option<&TargetRecord>) -> Self {
        match record {
            None => Self::Gone,
            Some(record) if record.draining => Self::Leaving,
            Some(record) => Self::Registered(record.started_ms),
        }
    }
}

impl SilentAttempts {
    /// Remembers an attempt.
    pub fn add(&mut self, attempt: SilentAttempt, now: WallTime) {
        self.by_target.retain(|_, attempts| {
            attempts.retain(|attempt| now < attempt.loss.lost + RETENTION);
            !attempts.is_empty()
        });
        let target = &attempt.loss.target;
        if MAX_TARGETS <= self.by_target.len() && !self.by_target.contains_key(target) {
            return;
        }
        let attempts = self.by_target.entry(TargetId::clone(target)).or_default();
        if attempts.len() < MAX_ATTEMPTS {
            attempts.push(attempt);
        }
    }

    /// Whether no attempts are remembered.
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Takes the attempts whose targets have crashed since, by what `state` says of the registrations. Attempts of several requests
    /// at one target are dropped: the target has ended under all of them.
    pub fn take_crashed(
        &mut self,
        state: impl Fn(&TargetId) -> InstanceState,
        now: WallTime,
    ) -> Vec<SilentAttempt> {
        let mut crashed = Vec::new();
        self.by_target.retain(|target, attempts| {
            attempts.retain(|attempt| now < attempt.loss.lost + RETENTION);
            match state(target) {
                InstanceState::Leaving => attempts.clear(),
                InstanceState::Gone => crashed.extend(of_one_request(std::mem::take(attempts))),
                InstanceState::Registered(started_ms) => {
                    let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(attempts)
                        .into_iter()
                        .partition(|attempt| attempt.started_ms != started_ms);
                    *attempts = running;
                    crashed.extend(of_one_request(ended));
                }
            }
            !attempts.is_empty()
        });
        crashed
    }
}
