//! Tests of the pace at which a host follows the store, in virtual time.

use std::time::Duration;

use vanillapick_dispatch::follow_pace::FollowPace;
use vanillapick_dispatch::follow_pace::FollowStep;

/// Maximum delay between watches.
const MAX_DELAY: Duration = Duration::from_millis(1600);

/// Number of changes that the modelled store returns at a time.
const PAGE_CHANGES: usize = 500;

/// Time of one call of the modelled store: a round trip between regions and the store's own time.
const CALL_TIME: Duration = Duration::from_millis(28);

/// A host that follows a modelled store; the newest configuration is the change at revision `config`.
struct ModelHost {
    pace: FollowPace,
    revision: usize,
    now: Duration,
    calls: usize,
    config_applied: Option<Duration>,
}

impl ModelHost {
    fn new(starts: Duration) -> Self {
        Self {
            pace: FollowPace::default(),
            revision: 0,
            now: starts,
            calls: 0,
            config_applied: None,
        }
    }

    /// Follows the store until it knows all of `changes`; `per_s` more arrive each second.
    fn catch_up(&mut self, changes: usize, config: usize, per_s: f64) {
        loop {
            let newest = changes + (self.now.as_secs_f64() * per_s) as usize;
            if newest <= self.revision {
                return;
            }
            let page = PAGE_CHANGES.min(newest - self.revision);
            self.revision += page;
            self.calls += 1;
            self.now += CALL_TIME;
            if config <= self.revision {
                self.config_applied.get_or_insert(self.now);
            }
            match self.pace.after_page(page, CALL_TIME, MAX_DELAY, self.now) {
                FollowStep::ReadOrders => {
                    self.calls += 1;
                    self.now += CALL_TIME;
                    self.config_applied.get_or_insert(self.now);
                }
                FollowStep::Watch(delay) if !self.pace.is_behind() => {
                    self.now += delay;
                    return;
                }
                FollowStep::Watch(delay) => self.now += delay,
            }
        }
    }
}

/// Guards against hosts that serve by an old configuration for seconds after they reach the store again, and against a
/// fleet that overloads the store when it does so.
#[test]
fn three_hundred_hosts_catch_up_after_an_outage() {
    let mut hosts: Vec<ModelHost> =
        (0..300).map(|number| ModelHost::new(Duration::from_millis(10 * number))).collect();
    for host in &mut hosts {
        host.catch_up(9_000, 8_900, 250.0);
    }
    let elapsed =
        |number: usize, until: Duration| until - Duration::from_millis(10 * number as u64);
    let config = hosts.iter().enumerate().map(|(number, host)| {
        elapsed(number, host.config_applied.expect("the configuration is read"))
    });
    let all = hosts.iter().enumerate().map(|(number, host)| elapsed(number, host.now));
    let calls: usize = hosts.iter().map(|host| host.calls).sum();
    insta::assert_snapshot!(format!(
        "newest configuration within {:?}, everything within {:?}, {} calls of each host",
        config.max().expect("there are hosts"),
        all.max().expect("there are hosts"),
        calls / hosts.len(),
    ));
}

/// Guards against a call for each of many changes in quick succession, and against a long delay after a single one.
#[test]
fn changes_in_quick_succession_share_watches() {
    let mut pace = FollowPace::default();
    let mut steps = Vec::new();
    let mut now = Duration::ZERO;
    for (changes, waited_ms) in
        [(1, 5000), (3, 10), (2, 10), (4, 10), (2, 10), (1, 900), (0, 20_000)]
    {
        now += Duration::from_millis(waited_ms);
        let step = pace.after_page(changes, Duration::from_millis(waited_ms), MAX_DELAY, now);
        steps.push(format!("{changes} after {waited_ms} ms: {step:?}"));
    }
    insta::assert_snapshot!(steps.join("\n"));
}
