//! When a host believes to be cut off from all targets.

mod common;

use std::time::Duration;

use common::ms;
use common::record;
use vanillapick_dispatch::target_reach::REACH_TICK;
use vanillapick_dispatch::target_reach::ReachEvidence;
use vanillapick_dispatch::target_reach::ReachMonitor;
use vanillapick_dispatch::target_reach::ReachStep;
use vanillapick_dispatch::target_reach::ReachableView;
use vanillapick_dispatch::target_reach::TargetReach;

const VIEW: ReachableView = ReachableView { targets: 40, pools: 20 };

/// A host whose clock advances by ticks.
#[derive(Default)]
struct TickedHost {
    reach: TargetReach,
    monitor: ReachMonitor,
    now: Duration,
}

impl TickedHost {
    fn send(&self, targets: usize, pools: usize) {
        for target in 0..targets {
            let pool = format!("s{}", target % pools);
            self.reach.record_sent(&record(&format!("t{target}"), &pool, "a"));
        }
    }

    /// Ticks for `time`; returns the steps other than waiting with their times in milliseconds.
    fn tick_for(&mut self, time: Duration) -> Vec<(u128, ReachStep)> {
        let end = self.now + time;
        let mut steps = Vec::new();
        while self.now < end {
            self.now += REACH_TICK;
            let step = self.monitor.tick(&self.reach, VIEW, self.now);
            if step != ReachStep::Wait {
                steps.push((self.now.as_millis(), step));
            }
        }
        steps
    }

    fn verify(&mut self, reaches_target: bool, reaching_hosts: usize) -> String {
        let evidence = ReachEvidence { reaches_target, reaching_hosts, asked_hosts: 4 };
        let change = self.monitor.on_verified(&self.reach, evidence, self.now);
        format!("{change:?}, {:?}", self.reach.link_state(self.now))
    }

    fn probe(&mut self, reaches_target: bool) -> String {
        let change = self.monitor.on_probed(&self.reach, reaches_target, self.now);
        format!("{change:?}, {:?}", self.reach.link_state(self.now))
    }
}

fn silent_host() -> TickedHost {
    let mut host = TickedHost::default();
    host.reach.record_reply(ms(1));
    host.tick_for(REACH_TICK);
    host.send(6, 3);
    host
}

#[test]
fn a_silent_host_is_cut_off_if_no_probe_succeeds_and_others_reach_targets() {
    let mut host = silent_host();
    let suspicion = host.tick_for(ms(300));
    let lines = [
        format!("{suspicion:?}"),
        host.verify(false, 1),
        format!("{:?}", host.tick_for(ms(250))),
        host.probe(false),
        host.probe(true),
        format!("{:?}", host.tick_for(ms(1000))),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

/// Targets that are down or busy must not be taken for a cut.
#[test]
fn a_silent_host_is_not_cut_off_without_the_evidence_of_others() {
    let mut host = silent_host();
    host.tick_for(ms(250));
    assert_eq!(host.verify(false, 0), "None, Unknown");
    assert_eq!(host.verify(true, 3), "None, Unknown");
    host.tick_for(ms(250));
    host.reach.record_reply(host.now);
    assert_eq!(host.verify(false, 3), "None, Reaching", "a reply came during the verification");
}

#[test]
fn few_silent_targets_or_a_single_silent_pool_cause_no_suspicion() {
    for (targets, pools) in [(2, 2), (6, 1)] {
        let mut host = TickedHost::default();
        host.send(targets, pools);
        assert_eq!(host.tick_for(ms(5000)), [], "{targets} targets of {pools} pools");
    }
}

/// A process that was stopped finds the replies to its attempts when it runs again.
#[test]
fn a_host_that_was_stopped_is_not_suspicious() {
    let mut host = silent_host();
    host.tick_for(ms(100));
    host.now += ms(8000);
    assert_eq!(host.tick_for(REACH_TICK), []);
    host.reach.record_reply(host.now);
    assert_eq!(host.tick_for(ms(2000)), []);
}

/// A reply that was under way during the cut shows that the links have returned.
#[test]
fn a_reply_ends_the_cut() {
    let mut host = silent_host();
    host.tick_for(ms(250));
    host.verify(false, 2);
    host.now += ms(100);
    host.reach.record_reply(host.now);
    assert_eq!(host.probe(false), "Some(Restored(100ms)), Reaching");
}
