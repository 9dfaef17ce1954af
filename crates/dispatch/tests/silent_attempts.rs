//! Attempts without a reply whose targets may have crashed.

use std::time::Duration;

use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::TargetLoss;
use vanillapick_dispatch::silent_attempts::InstanceState;
use vanillapick_dispatch::silent_attempts::SilentAttempt;
use vanillapick_dispatch::silent_attempts::SilentAttempts;

const NOW: Duration = Duration::from_secs(1000);

fn attempt(fingerprint: u64, target: &str) -> SilentAttempt {
    let kind = ReplicaKind { pool: 1, version: 1 };
    let loss =
        TargetLoss { lost: NOW, sent: NOW - Duration::from_secs(1), target: target.into(), kind };
    SilentAttempt { fingerprint, started_ms: 7, loss }
}

fn crashed(attempts: &[SilentAttempt], state: InstanceState, after: Duration) -> usize {
    let mut silent = SilentAttempts::default();
    attempts.iter().for_each(|attempt| silent.add(attempt.clone(), NOW));
    silent.take_crashed(|_| state, NOW + after).len()
}

#[test]
fn the_registration_of_the_target_decides() {
    let second = Duration::from_secs(1);
    let one = [attempt(1, "t1")];
    let counts = [
        crashed(&one, InstanceState::Registered(7), second),
        crashed(&one, InstanceState::Registered(8), second),
        crashed(&one, InstanceState::Gone, second),
        crashed(&one, InstanceState::Leaving, second),
        crashed(&one, InstanceState::Gone, Duration::from_secs(11)),
    ];
    assert_eq!(counts, [0, 1, 1, 0, 0]);
}

/// Guards against marks of requests that ran at targets which went down by themselves (unnepnaptar-kereso, trouble-3).
#[test]
fn a_target_that_ends_under_several_requests_counts_for_none() {
    let second = Duration::from_secs(1);
    let both = [attempt(1, "t1"), attempt(2, "t1"), attempt(1, "t2")];
    assert_eq!(crashed(&both, InstanceState::Gone, second), 1);
}
