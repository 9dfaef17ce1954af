//! Guards targets against requests that crash them, and other requests against being taken for such.

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
use vanillapick_policy::crash::CrashTable;
use vanillapick_policy::crash::CrashVerdict;
use vanillapick_policy::crash::RequestProgress;
use vanillapick_policy::crash::RetryVerdict;

const MS: Duration = Duration::from_millis(1);
const CRASHER: u64 = 99;

/// Six hosts and a service whose targets die of each attempt of the request.
struct Incident {
    hosts: Vec<CrashTable>,
    shards: u32,
    replicas: u32,
    /// Milliseconds between the losses of one scatter.
    spacing: u32,
    lost: BTreeSet<(u32, u32)>,
    lines: Vec<String>,
}

impl Incident {
    fn new(shards: u32, replicas: u32) -> Self {
        let hosts = vec![CrashTable::new(UNIX_EPOCH); 6];
        Self { hosts, shards, replicas, spacing: 1, lost: BTreeSet::new(), lines: Vec::new() }
    }

    fn spread(&mut self, now: Duration) {
        let news: Vec<_> = self.hosts.iter_mut().flat_map(|host| host.take_news(now)).collect();
        for host in &mut self.hosts {
            news.iter().for_each(|mark| _ = host.import(*mark, now));
        }
    }

    /// Sends the crashing request; each host begins with another replica.
    fn send(&mut self, host: usize, now: Duration) {
        let due: Vec<_> = self.hosts.iter().filter_map(CrashTable::next_judgement).collect();
        due.into_iter().filter(|due| *due < now).for_each(|due| self.spread(due));
        let verdict = self.hosts[host].admit(CRASHER, now);
        let shards = match verdict {
            CrashVerdict::Normal => self.shards,
            CrashVerdict::ProbeOneShard | CrashVerdict::SingleTarget => 1,
            CrashVerdict::Hold { .. } | CrashVerdict::Refuse { .. } => 0,
        };
        // Time, order, shard, replica, and whether the attempt is lost at that time or only asked about again.
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
                self.hosts[host].note_loss(CRASHER, &target, at);
                progress.lost += 1;
                progress.running -= 1;
            }
            let (retry_at, other) = (at + 5 * MS, (replica + 1) % self.replicas);
            let asked = self.hosts[host].may_retry_after_loss(CRASHER, progress, &target, at);
            let next = match asked {
                RetryVerdict::Stop => None,
                RetryVerdict::Wait { until } => Some((until, order, shard, replica, false)),
                RetryVerdict::Retry => Some((retry_at, order, shard, other, true)),
                RetryVerdict::ProbeOtherShard => Some((retry_at, order, shard + 1, replica, true)),
            };
            let is_retry = u32::from(next.is_some_and(|step| step.4));
            progress.running += is_retry;
            retries += is_retry;
            steps.extend(next);
            self.spread(at);
        }
        self.lines.push(format!(
            "{:>6} ms host {host}: {verdict:?}, {} new targets lost, {retries} retries",
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

/// A search that crashes each target would take both replicas of a shard, or be tried too often after its mark.
#[test]
fn crashing_search_sent_again() {
    for spacing in [60, 1] {
        let mut incident = Incident { spacing, ..Incident::new(20, 2) };
        incident.send_again(0, 20, 500);
        let both = |shard| (0..2).all(|replica| incident.lost.contains(&(shard, replica)));
        assert_eq!((incident.lost.len(), (0..20).any(both)), (20, false));
        incident.lines.drain(3..);
        incident.send_again(61_000, 4, 40_000);
        insta::assert_snapshot!(format!("losses_{spacing}_ms_apart"), incident.lines.join("\n"));
    }
}

/// A read that crashes each target would take more than two replicas of five.
#[test]
fn crashing_read_sent_again() {
    for every in [100, 500] {
        let mut incident = Incident::new(1, 5);
        incident.send_again(0, 10_000 / every, every);
        assert!(incident.lost.len() <= 2, "{:?}", incident.lines);
        incident.lines.drain(3..);
        insta::assert_snapshot!(format!("read_every_{every}_ms"), incident.lines.join("\n"));
    }
}

/// While crashes are recent, a new crashing request would be scattered at once, or a new good one be held for long.
#[test]
fn requests_while_crashes_are_recent() {
    let mut incident = Incident::new(20, 2);
    incident.send_again(0, 2, 500);
    let mut table = incident.hosts[3].clone();
    assert_eq!(table.admit(1, 600 * MS), CrashVerdict::ProbeOneShard);
    table.note_success(1, 610 * MS);
    assert_eq!(table.admit(1, 620 * MS), CrashVerdict::Normal);
    table.note_loss(2, "7-0", 630 * MS);
    let progress = RequestProgress { lost: 1, is_probe: true, ..Default::default() };
    let verdict = table.may_retry_after_loss(2, progress, "7-0", 680 * MS);
    assert_eq!(verdict, RetryVerdict::ProbeOtherShard);
    assert_eq!(table.admit(3, 92_000 * MS), CrashVerdict::Normal, "crashes are no longer recent");
}

/// Requests that run beside a crashing one would be marked in its place, or hide it.
#[test]
fn crashing_read_among_others() {
    let mut table = CrashTable::new(UNIX_EPOCH);
    let progress = RequestProgress { lost: 1, ..Default::default() };
    for (target, others, now) in [("a", 1..4, 1000 * MS), ("b", 4..6, 1020 * MS)] {
        others.clone().for_each(|other| assert_eq!(table.note_loss(other, target, now), None));
        let told = table.note_loss(CRASHER, target, now);
        assert_eq!(told.map(|mark| mark.stage), (target == "b").then_some(MarkStage::Suspected));
        for other in others {
            let verdict = table.may_retry_after_loss(other, progress, target, now + 50 * MS);
            assert_eq!(verdict, RetryVerdict::Retry);
            table.note_success(other, now + 60 * MS);
            assert_eq!(table.admit(other, now + 70 * MS), CrashVerdict::Normal);
        }
    }
    assert!(!table.may_hedge(CRASHER, progress, 1100 * MS));
    assert_eq!(table.take_news(1220 * MS).last().map(|mark| mark.stage), Some(MarkStage::Marked));
    let retry_after = 60_000 * MS;
    assert_eq!(table.admit(CRASHER, 1220 * MS), CrashVerdict::Refuse { retry_after });
}

/// A request would stay marked, here or at another host, although it has been served or another explains its losses.
#[test]
fn good_requests_are_not_marked_for_long() {
    let mut tables = [CrashTable::new(UNIX_EPOCH), CrashTable::new(UNIX_EPOCH)];
    let [table, peer] = &mut tables;
    for (fingerprint, target) in [(1, "a"), (2, "a"), (1, "b"), (2, "b")] {
        table.note_loss(fingerprint, target, 1000 * MS);
    }
    assert!(!table.take_news(1300 * MS).iter().any(CrashMark::is_confirmed), "two were lost alike");
    assert_eq!(table.admit(1, 1300 * MS), CrashVerdict::SingleTarget);

    table.note_success(3, 5000 * MS);
    for target in ["c", "d"] {
        assert_eq!(table.note_loss(3, target, 5100 * MS), None, "just served");
    }
    for target in ["e", "f", "g"] {
        table.note_loss(4, target, 9000 * MS);
    }
    let marks = table.take_news(9200 * MS);
    marks.iter().for_each(|mark| _ = peer.import(*mark, 9200 * MS));
    assert!(matches!(peer.admit(4, 9300 * MS), CrashVerdict::Refuse { .. }));
    table.note_success(4, 9400 * MS);
    let cleared = table.take_news(9400 * MS);
    cleared.iter().chain(&marks).for_each(|mark| _ = peer.import(*mark, 9400 * MS));
    assert_eq!(peer.admit(4, 9500 * MS), CrashVerdict::Normal);
}

/// A target that dies with many requests in flight would leave them unanswered, or mark one of them.
#[test]
fn lost_target_with_many_requests() {
    let mut table = CrashTable::new(UNIX_EPOCH);
    let progress = RequestProgress { lost: 1, ..Default::default() };
    for fingerprint in 0..8 {
        assert_eq!(table.note_loss(fingerprint, "a", 1000 * MS), None);
    }
    for fingerprint in 0..8 {
        let verdict = table.may_retry_after_loss(fingerprint, progress, "a", 1000 * MS);
        assert_eq!(verdict, RetryVerdict::Retry);
        table.note_success(fingerprint, 1010 * MS);
        assert_eq!(table.admit(fingerprint, 1020 * MS), CrashVerdict::Normal);
    }
    assert_eq!(table.export(), []);
}

/// Good requests would be refused as crashing while targets die: one at a time, or a whole domain of 17 at once.
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
            // Each round has five searches over 20 shards and five reads of one of five replicas in flight.
            let mut calls = Vec::new();
            marked += table.take_news(now).iter().filter(|mark| mark.is_confirmed()).count();
            for index in 0..10 {
                let fingerprint = rng.random_range(0..400) * 10 + index;
                match table.admit(fingerprint, now) {
                    CrashVerdict::Hold { .. } | CrashVerdict::Refuse { .. } => refused += 1,
                    _ if index < 5 => {
                        let target = |shard: u32| shard * 2 + rng.random_range(0..2);
                        calls.extend((0..20).map(target).map(|target| (fingerprint, target)));
                    }
                    _ => calls.push((fingerprint, 100 + rng.random_range(0..5))),
                }
            }
            calls.shuffle(&mut rng);
            let mut all: BTreeMap<u64, RequestProgress> = BTreeMap::new();
            for (fingerprint, target) in &calls {
                let progress = all.entry(*fingerprint).or_default();
                if dying.contains(target) {
                    progress.lost += 1;
                    table.note_loss(*fingerprint, &target.to_string(), now + 10 * MS);
                } else {
                    progress.answered += 1;
                    table.note_success(*fingerprint, now + 10 * MS);
                }
            }
            let later = now + 70 * MS;
            for (fingerprint, target) in calls.iter().filter(|call| dying.contains(&call.1)) {
                let (target, progress) = (target.to_string(), all[fingerprint]);
                let verdict = table.may_retry_after_loss(*fingerprint, progress, &target, later);
                if verdict != RetryVerdict::Retry {
                    stopped += 1;
                    continue;
                }
                retried += 1;
                // In the outage half of the retried reads lose a second target.
                if progress.answered == 0 && dying.len() > 3 && rng.random_bool(0.5) {
                    table.note_loss(*fingerprint, "103", later);
                } else {
                    table.note_success(*fingerprint, later);
                }
            }
        }
    }
    assert_eq!((refused, marked), (0, 0));
    insta::assert_snapshot!(format!("retried {retried}, stopped {stopped}"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    /// Exchange in another order, or twice, would leave hosts with different marks.
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
