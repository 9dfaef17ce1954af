//! Requests that crash targets must be stopped, and other requests must not be mistaken for them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::MarkStage;
use vanillapick_policy::crash::CrashDecision;
use vanillapick_policy::crash::CrashTable;
use vanillapick_policy::crash::LossRetryDecision;
use vanillapick_policy::crash::RequestProgress;

const MS: Duration = Duration::from_millis(1);
const CRASHING_REQUEST: u64 = 99;

/// Six hosts and a service in which every attempt of the crashing request kills its target.
struct CrashSimulation {
    hosts: Vec<CrashTable>,
    shards: u32,
    replicas: u32,
    /// Milliseconds between the losses of one search.
    spacing: u32,
    /// Lost targets as shard and replica.
    lost: BTreeSet<(u32, u32)>,
    lines: Vec<String>,
}

impl CrashSimulation {
    fn new(shards: u32, replicas: u32) -> Self {
        let hosts = vec![CrashTable::new(UNIX_EPOCH); 6];
        Self { hosts, shards, replicas, spacing: 1, lost: BTreeSet::new(), lines: Vec::new() }
    }

    fn exchange_marks(&mut self, now: Duration) {
        let updates: Vec<_> =
            self.hosts.iter_mut().flat_map(|host| host.take_updates(now)).collect();
        for host in &mut self.hosts {
            updates.iter().for_each(|mark| _ = host.import(*mark, now));
        }
    }

    /// Sends the crashing request from `host`. Each host starts with a different replica.
    fn send(&mut self, host: usize, now: Duration) {
        let due: Vec<_> = self.hosts.iter().filter_map(CrashTable::next_evaluation).collect();
        due.into_iter().filter(|due| *due < now).for_each(|due| self.exchange_marks(due));
        let decision = self.hosts[host].admit(CRASHING_REQUEST, now);
        let shards = match decision {
            CrashDecision::Normal => self.shards,
            CrashDecision::ProbeOneShard | CrashDecision::SingleTarget => 1,
            CrashDecision::Hold { .. } | CrashDecision::Refuse { .. } => 0,
        };
        // Time, order, shard, replica, and whether the attempt is lost at that time or only its retry is decided again.
        let replica = host as u32 % self.replicas;
        let first = |shard| (now + (5 + shard * self.spacing) * MS, shard, shard, replica, true);
        let mut steps: BTreeSet<_> = (0..shards).map(first).collect();
        let is_probe = shards < self.shards;
        let mut progress = RequestProgress { running: shards, is_probe, ..Default::default() };
        let (before, mut retries, mut order) = (self.lost.len(), 0, 100);
        while let Some((at, _, shard, replica, is_lost)) =
            steps.pop_first().filter(|step| step.0 < now + 2000 * MS)
        {
            order += 1;
            let target = format!("{shard}-{replica}");
            if is_lost {
                self.lost.insert((shard, replica));
                self.hosts[host].record_loss(CRASHING_REQUEST, &target, at);
                progress.lost += 1;
                progress.running -= 1;
            }
            let (retry_at, other) = (at + 5 * MS, (replica + 1) % self.replicas);
            let decision =
                self.hosts[host].may_retry_after_loss(CRASHING_REQUEST, progress, &target, at);
            let next = match decision {
                LossRetryDecision::Stop => None,
                LossRetryDecision::Wait { until } => Some((until, order, shard, replica, false)),
                LossRetryDecision::Retry => Some((retry_at, order, shard, other, true)),
                LossRetryDecision::ProbeOtherShard => {
                    Some((retry_at, order, shard + 1, replica, true))
                }
            };
            let is_retry = u32::from(next.is_some_and(|step| step.4));
            progress.running += is_retry;
            retries += is_retry;
            steps.extend(next);
            self.exchange_marks(at);
        }
        self.lines.push(format!(
            "{:>6} ms host {host}: {decision:?}, {} new targets lost, {retries} retries",
            now.as_millis(),
            self.lost.len() - before
        ));
    }

    fn send_again(&mut self, from: u32, times: u32, every: u32) {
        for index in 0..times {
            self.send(index as usize % 6, (from + index * every) * MS);
        }
    }
}

/// A search that crashes every target must not lose both replicas of a shard, and must not run too often after its
/// mark.
#[test]
fn crashing_search_sent_again() {
    for spacing in [60, 1] {
        let mut simulation = CrashSimulation { spacing, ..CrashSimulation::new(20, 2) };
        simulation.send_again(0, 20, 500);
        let both = |shard| (0..2).all(|replica| simulation.lost.contains(&(shard, replica)));
        assert_eq!((simulation.lost.len(), (0..20).any(both)), (20, false));
        simulation.lines.drain(3..);
        simulation.send_again(61_000, 4, 40_000);
        insta::assert_snapshot!(format!("losses_{spacing}_ms_apart"), simulation.lines.join("\n"));
    }
}

/// A read that crashes every target must not lose more than two replicas of five.
#[test]
fn crashing_read_sent_again() {
    for every in [100, 500] {
        let mut simulation = CrashSimulation::new(1, 5);
        simulation.send_again(0, 10_000 / every, every);
        assert!(simulation.lost.len() <= 2, "{:?}", simulation.lines);
        simulation.lines.drain(3..);
        insta::assert_snapshot!(format!("read_every_{every}_ms"), simulation.lines.join("\n"));
    }
}

/// While crashes are recent, a new request must be probed on one shard first, but not delayed for long if it succeeds.
#[test]
fn requests_while_crashes_are_recent() {
    let mut simulation = CrashSimulation::new(20, 2);
    simulation.send_again(0, 2, 500);
    let mut table = simulation.hosts[3].clone();
    assert_eq!(table.admit(1, 600 * MS), CrashDecision::ProbeOneShard);
    table.record_success(1, 610 * MS);
    assert_eq!(table.admit(1, 620 * MS), CrashDecision::Normal);
    table.record_loss(2, "7-0", 630 * MS);
    let progress = RequestProgress { lost: 1, is_probe: true, ..Default::default() };
    let decision = table.may_retry_after_loss(2, progress, "7-0", 680 * MS);
    assert_eq!(decision, LossRetryDecision::ProbeOtherShard);
    assert_eq!(table.admit(3, 92_000 * MS), CrashDecision::Normal, "crashes are no longer recent");
}

/// Requests that run on the same targets as a crashing one must neither be marked in its place nor prevent its mark.
#[test]
fn crashing_read_among_others() {
    let mut table = CrashTable::new(UNIX_EPOCH);
    let progress = RequestProgress { lost: 1, ..Default::default() };
    for (target, others, now) in [("a", 1..4, 1000 * MS), ("b", 4..6, 1020 * MS)] {
        others.clone().for_each(|other| assert_eq!(table.record_loss(other, target, now), None));
        let mark = table.record_loss(CRASHING_REQUEST, target, now);
        assert_eq!(mark.map(|mark| mark.stage), (target == "b").then_some(MarkStage::Suspected));
        for other in others {
            let decision = table.may_retry_after_loss(other, progress, target, now + 50 * MS);
            assert_eq!(decision, LossRetryDecision::Retry);
            table.record_success(other, now + 60 * MS);
            assert_eq!(table.admit(other, now + 70 * MS), CrashDecision::Normal);
        }
    }
    assert!(!table.may_hedge(CRASHING_REQUEST, progress, 1100 * MS));
    assert_eq!(
        table.take_updates(1220 * MS).last().map(|mark| mark.stage),
        Some(MarkStage::Marked)
    );
    let retry_after = 60_000 * MS;
    assert_eq!(table.admit(CRASHING_REQUEST, 1220 * MS), CrashDecision::Refuse { retry_after });
}

/// A request must not remain marked, on this or another host, after it has succeeded or when another request that was
/// lost at the same targets explains its losses.
#[test]
fn good_requests_are_not_marked_for_long() {
    let mut tables = [CrashTable::new(UNIX_EPOCH), CrashTable::new(UNIX_EPOCH)];
    let [table, peer] = &mut tables;
    for (fingerprint, target) in [(1, "a"), (2, "a"), (1, "b"), (2, "b")] {
        table.record_loss(fingerprint, target, 1000 * MS);
    }
    assert!(
        !table.take_updates(1300 * MS).iter().any(CrashMark::is_confirmed),
        "both requests were lost at the same targets"
    );
    assert_eq!(table.admit(1, 1300 * MS), CrashDecision::SingleTarget);

    table.record_success(3, 5000 * MS);
    for target in ["c", "d"] {
        assert_eq!(table.record_loss(3, target, 5100 * MS), None, "the request has just succeeded");
    }
    for target in ["e", "f", "g"] {
        table.record_loss(4, target, 9000 * MS);
    }
    let marks = table.take_updates(9200 * MS);
    marks.iter().for_each(|mark| _ = peer.import(*mark, 9200 * MS));
    assert!(matches!(peer.admit(4, 9300 * MS), CrashDecision::Refuse { .. }));
    table.record_success(4, 9400 * MS);
    let cleared = table.take_updates(9400 * MS);
    cleared.iter().chain(&marks).for_each(|mark| _ = peer.import(*mark, 9400 * MS));
    assert_eq!(peer.admit(4, 9500 * MS), CrashDecision::Normal);
}

/// When a target dies with many requests in flight, all of them must be retried and none marked.
#[test]
fn lost_target_with_many_requests() {
    let mut table = CrashTable::new(UNIX_EPOCH);
    let progress = RequestProgress { lost: 1, ..Default::default() };
    for fingerprint in 0..8 {
        assert_eq!(table.record_loss(fingerprint, "a", 1000 * MS), None);
    }
    for fingerprint in 0..8 {
        let decision = table.may_retry_after_loss(fingerprint, progress, "a", 1000 * MS);
        assert_eq!(decision, LossRetryDecision::Retry);
        table.record_success(fingerprint, 1010 * MS);
        assert_eq!(table.admit(fingerprint, 1020 * MS), CrashDecision::Normal);
    }
    assert_eq!(table.export(), []);
}

/// Good requests must not be refused as crashing while targets die, one at a time or a whole failure domain of 17 at
/// once.
#[test]
fn good_requests_while_targets_die() {
    let (mut refused, mut marked, mut retried, mut stopped) = (0, 0, 0, 0);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = CrashTable::new(UNIX_EPOCH);
        for round in 1..400_u32 {
            let now = round * 100 * MS;
            let dying: BTreeSet<u32> = match rng.random_range(0..20) {
                0 => (0..14).map(|shard| shard * 2).chain([100, 101, 102]).collect(),
                1..6 => BTreeSet::from([rng.random_range(0..40)]),
                _ => BTreeSet::new(),
            };
            // In each round, five searches over 20 shards and five reads of one of five replicas are in flight.
            let mut attempts = Vec::new();
            marked += table.take_updates(now).iter().filter(|mark| mark.is_confirmed()).count();
            for index in 0..10 {
                let fingerprint = rng.random_range(0..400) * 10 + index;
                match table.admit(fingerprint, now) {
                    CrashDecision::Hold { .. } | CrashDecision::Refuse { .. } => refused += 1,
                    _ if index < 5 => {
                        let target = |shard: u32| shard * 2 + rng.random_range(0..2);
                        attempts.extend((0..20).map(target).map(|target| (fingerprint, target)));
                    }
                    _ => attempts.push((fingerprint, 100 + rng.random_range(0..5))),
                }
            }
            attempts.shuffle(&mut rng);
            let mut all: BTreeMap<u64, RequestProgress> = BTreeMap::new();
            for (fingerprint, target) in &attempts {
                let progress = all.entry(*fingerprint).or_default();
                if dying.contains(target) {
                    progress.lost += 1;
                    table.record_loss(*fingerprint, &target.to_string(), now + 10 * MS);
                } else {
                    progress.answered += 1;
                    table.record_success(*fingerprint, now + 10 * MS);
                }
            }
            let later = now + 70 * MS;
            for (fingerprint, target) in attempts.iter().filter(|call| dying.contains(&call.1)) {
                let (target, progress) = (target.to_string(), all[fingerprint]);
                let decision = table.may_retry_after_loss(*fingerprint, progress, &target, later);
                if decision != LossRetryDecision::Retry {
                    stopped += 1;
                    continue;
                }
                retried += 1;
                // In the outage, half of the retried reads lose a second target.
                if progress.answered == 0 && dying.len() > 3 && rng.random_bool(0.5) {
                    table.record_loss(*fingerprint, "103", later);
                } else {
                    table.record_success(*fingerprint, later);
                }
            }
        }
    }
    assert_eq!((refused, marked), (0, 0));
    insta::assert_snapshot!(format!("retried {retried}, stopped {stopped}"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    /// Hosts must agree on the marks regardless of the order in which they receive them, and of repetitions.
    #[test]
    fn marks_merge_in_any_order(raw in vec((0_u64..3, 0_u32..3, 1_u64..500, 0_usize..4), 1..20)) {
        let stages = [MarkStage::Suspected, MarkStage::Marked, MarkStage::Probing, MarkStage::Cleared];
        let marks: Vec<_> = raw.into_iter().map(|(fingerprint, generation, until_ms, stage)| {
            CrashMark { fingerprint, generation, until_ms, stage: stages[stage], mark_count: 1 }
        }).collect();
        let mut forward = CrashTable::new(UNIX_EPOCH);
        let mut backward = CrashTable::new(UNIX_EPOCH);
        marks.iter().for_each(|mark| _ = forward.import(*mark, MS));
        marks.iter().rev().chain(&marks).for_each(|mark| _ = backward.import(*mark, MS));
        assert_eq!(forward.export(), backward.export());
    }
}

/// Guards against losses that count only at the host which saw them.
#[test]
fn losses_at_three_hosts_mark_the_request_at_all() {
    let mut hosts = vec![CrashTable::new(UNIX_EPOCH); 6];
    for (number, host) in hosts.iter_mut().take(3).enumerate() {
        let at = Duration::from_secs(1) + 300 * MS * number as u32;
        host.record_loss(CRASHING_REQUEST, &format!("t{number}"), at);
    }
    let now = Duration::from_secs(6);
    let updates: Vec<_> = hosts.iter_mut().flat_map(|host| host.take_updates(now)).collect();
    for host in &mut hosts {
        updates.iter().for_each(|mark| _ = host.import(*mark, now));
    }
    let refused = hosts.iter_mut().map(|host| host.admit(CRASHING_REQUEST, now));
    let refused = refused.filter(|decision| matches!(decision, CrashDecision::Refuse { .. }));
    assert_eq!(refused.count(), 6);
}
