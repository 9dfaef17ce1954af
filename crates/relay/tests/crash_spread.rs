//! Spread of evidence on crashing requests over the hosts of the aimed size, in virtual time.

use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use vanillapick_dispatch::crash_guard::CrashGuard;
use vanillapick_dispatch::crash_guard::CrashNews;
use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::crash_guard::TargetLoss;
use vanillapick_relay::crash_wire::encode_evidence;

const HOSTS: usize = 480;

/// Time between messages, hosts that each goes to, and messages with the same news, as the relay sends them.
const PERIOD: Duration = Duration::from_millis(100);
const FANOUT: usize = 4;
const ROUNDS: u32 = 3;

const START: Duration = Duration::from_secs(1_700_000_000);

struct Fleet {
    guards: Vec<CrashGuard>,
    fresh: Vec<Vec<(CrashNews, u32)>>,
    rng: SmallRng,
    messages: usize,
    bytes: usize,
    busiest: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            guards: (0..HOSTS).map(|_| CrashGuard::default()).collect(),
            fresh: vec![Vec::new(); HOSTS],
            rng: SmallRng::seed_from_u64(1),
            messages: 0,
            bytes: 0,
            busiest: 0,
        }
    }

    fn lose(&mut self, host: usize, fingerprint: RequestFingerprint, target: usize) {
        let kind = ReplicaKind { pool: target as u32, version: 1 };
        let target = format!("i-{target:010}").into();
        let loss = TargetLoss { lost: START, sent: START - Duration::from_millis(5), target, kind };
        self.guards[host].record_loss(fingerprint, loss, START);
    }

    /// Lets all hosts send their news once.
    fn exchange(&mut self, now: Duration) {
        for host in 0..HOSTS {
            self.guards[host].tick(now);
            let news = self.guards[host].take_news();
            if !news.is_empty() {
                self.fresh[host].push((news, ROUNDS));
            }
            let mut message = CrashNews::default();
            for (news, rounds) in &mut self.fresh[host] {
                *rounds -= 1;
                message.losses.extend(news.losses.iter().cloned());
                message.answers.extend(news.answers.iter().copied());
                message.marks.extend(news.marks.iter().copied());
            }
            self.fresh[host].retain(|(_, rounds)| 0 < *rounds);
            if message.is_empty() {
                continue;
            }
            let size = encode_evidence(&message).expect("it is encodable").len();
            self.busiest = self.busiest.max(size);
            for _ in 0..FANOUT {
                let peer = self.rng.random_range(0..HOSTS);
                self.guards[peer].merge(message.clone(), now);
                self.messages += 1;
                self.bytes += size;
            }
        }
    }

    /// Exchanges for this time; returns a line for each change of the number of hosts with a mark.
    fn run(&mut self, time: Duration) -> String {
        let mut lines = String::new();
        let mut before = 0;
        let mut now = START;
        while now < START + time {
            now += PERIOD;
            self.exchange(now);
            let marked = self.guards.iter().filter(|guard| guard.marks().next().is_some()).count();
            if marked != before {
                let at = (now - START).as_millis();
                writeln!(lines, "{at} ms: {marked} hosts have a mark").expect("a string");
                before = marked;
            }
        }
        let hosts = HOSTS;
        let (messages, bytes) = (self.messages / hosts, self.bytes / hosts);
        writeln!(lines, "a host sends {messages} messages with {bytes} bytes").expect("a string");
        writeln!(lines, "largest message: {} bytes", self.busiest).expect("a string");
        lines
    }
}

#[test]
fn a_crashing_request_is_marked_by_all_hosts_without_the_store() {
    let mut fleet = Fleet::new();
    for host in [3, 200, 470] {
        fleet.lose(host, 1, host);
    }
    insta::assert_snapshot!(fleet.run(Duration::from_secs(3)));
    assert!(fleet.guards.iter().all(|guard| guard.is_marked(1)));
}

/// Guards against an outage that floods the hosts, or marks requests. No loss is explained by an answer, which is the worst case.
#[test]
fn an_outage_of_a_failure_domain_marks_nothing_and_is_bounded() {
    let mut fleet = Fleet::new();
    for host in 0..HOSTS {
        for request in 0..2 {
            for shard in 0..3 {
                let number = host * 2 + request;
                fleet.lose(host, 1000 + number as u64, (number * 7 + shard * 31) % 245);
            }
        }
    }
    insta::assert_snapshot!(fleet.run(Duration::from_secs(3)));
    assert!(fleet.guards.iter().all(|guard| guard.marks().next().is_none()));
}
