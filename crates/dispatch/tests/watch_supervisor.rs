//! Supervision of a watch in a model of the store that falls silent, cuts watches and drops its history, over every order of these
//! events and one change.

use std::fmt::Write;
use std::time::Duration;

use vanillapick_dispatch::store_position::StorePosition;
use vanillapick_dispatch::watch_supervisor::WatchStep;
use vanillapick_dispatch::watch_supervisor::WatchSupervisor;

/// Times of the model in milliseconds.
type Ms = u64;

/// Step of the model.
const STEP: Ms = 20;

/// Time within which a change must be known.
const CHANGE_TIME: Ms = 3000;

const CHECK_PERIOD: Ms = 1980;
const CALL_TIMEOUT: Ms = 1500;
const WATCH_TIMEOUT: Ms = 21_500;
const RETURN_GRACE: Ms = 300;
const RETRY_DELAY: Ms = 100;

/// End of a run: the change and the events before it, and the time in which it must be known.
const RUN_TIME: Ms = 12_000;

/// Events of one run.
#[derive(Clone, Copy, Debug)]
struct Day {
    /// Time in which calls get no reply, neither then nor later.
    silence: (Ms, Ms),
    /// When waiting watches are cut.
    cut: Ms,
    /// Time in which a watch that arrives is never answered, because the history is dropped.
    drop: (Ms, Ms),
    /// When the store changes.
    change: Ms,
    /// Age of the replies to checks.
    stale_by: Ms,
}

/// What the host does.
#[derive(Clone, Copy, Debug)]
enum Activity {
    Waiting { until: Ms, follows_failure: bool },
    Watching { sent: Ms, is_lost: bool, supervisor: WatchSupervisor, check: Option<Check> },
    Returning { until: Ms, is_lost: bool },
}

#[derive(Clone, Copy, Debug)]
struct Check {
    sent: Ms,
    is_lost: bool,
}

fn is_within(time: Ms, (from, until): (Ms, Ms)) -> bool {
    (from..until).contains(&time)
}

fn duration(time: Ms) -> Duration {
    Duration::from_millis(time)
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

impl Day {
    fn revision(&self, time: Ms) -> u64 {
        u64::from(self.change <= time)
    }

    /// Whether a watch that was sent at `sent` is lost by now.
    fn loses_watch(&self, sent: Ms, now: Ms) -> bool {
        let fell_silent = self.silence.0 <= now && sent < self.silence.1;
        (fell_silent && self.silence.0 < self.silence.1) || is_within(sent, self.drop)
    }

    /// Plays the day; returns what breaks the rules, if anything does.
    fn play(&self) -> Option<String> {
        let mut known = 0;
        let mut confirmed_until = 0;
        let mut activity = Activity::Waiting { until: 0, follows_failure: false };
        let calm_from = self.change.max(self.silence.1).max(self.drop.1).max(self.cut);
        for now in (0..RUN_TIME).step_by(STEP as usize) {
            activity = self.step(activity, now, &mut known, &mut confirmed_until);
            let is_behind = known < self.revision(now);
            if is_behind && calm_from + CHANGE_TIME <= now {
                return Some(format!("the change is not known at {now}"));
            }
            if is_behind && self.change + CHANGE_TIME <= now && now < confirmed_until {
                return Some(format!("the host claims to be current at {now}"));
            }
        }
        None
    }

    fn step(
        &self,
        activity: Activity,
        now: Ms,
        known: &mut u64,
        confirmed_until: &mut Ms,
    ) -> Activity {
        let failed = Activity::Waiting { until: now + RETRY_DELAY, follows_failure: true };
        match activity {
            Activity::Waiting { until, .. } if now < until => activity,
            Activity::Waiting { follows_failure, .. } => {
                watching(*known, *confirmed_until, follows_failure, now)
            }
            Activity::Returning { until, is_lost } => {
                if !is_lost {
                    *known = self.revision(now);
                    return watching(*known, *confirmed_until, false, now);
                }
                if now < until { activity } else { watching(*known, *confirmed_until, false, now) }
            }
            Activity::Watching { sent, is_lost, mut supervisor, check } => {
                let is_lost = is_lost || self.loses_watch(sent, now);
                if !is_lost && sent < self.cut && self.cut <= now {
                    return failed;
                }
                if !is_lost && sent < now && *known < self.revision(now) {
                    *known = self.revision(now);
                    *confirmed_until = (*confirmed_until).max(sent + CHANGE_TIME);
                    return watching(*known, *confirmed_until, false, now);
                }
                if sent + WATCH_TIMEOUT <= now {
                    return failed;
                }
                let Some(asked) = check else {
                    let is_due = supervisor.next_check() <= duration(now);
                    let check = is_due
                        .then_some(Check { sent: now, is_lost: is_within(now, self.silence) });
                    return Activity::Watching { sent, is_lost, supervisor, check };
                };
                let is_answered = !asked.is_lost && asked.sent < now;
                if !is_answered && now < asked.sent + CALL_TIMEOUT {
                    return Activity::Watching { sent, is_lost, supervisor, check };
                }
                let seen = self.revision(asked.sent.saturating_sub(self.stale_by));
                let reply = is_answered.then(|| position(seen));
                let step = supervisor.after_check(duration(asked.sent), reply, duration(now));
                if let WatchStep::Keep { proven_at } | WatchStep::Renew { proven_at } = step {
                    let proven_at = proven_at.as_millis() as Ms;
                    *confirmed_until = (*confirmed_until).max(proven_at + CHANGE_TIME);
                }
                match step {
                    WatchStep::Renew { .. } | WatchStep::NewEra => {
                        watching(*known, *confirmed_until, false, now)
                    }
                    WatchStep::Overdue => {
                        Activity::Returning { until: now + RETURN_GRACE, is_lost }
                    }
                    WatchStep::Keep { .. } | WatchStep::Unproven => {
                        Activity::Watching { sent, is_lost, supervisor, check: None }
                    }
                }
            }
        }
    }
}

fn watching(known: u64, confirmed_until: Ms, follows_failure: bool, now: Ms) -> Activity {
    let (period, proven_at) = (duration(CHECK_PERIOD), confirmed_until.saturating_sub(CHANGE_TIME));
    let supervisor = WatchSupervisor::new(
        position(known),
        period,
        duration(proven_at),
        follows_failure,
        duration(now),
    );
    Activity::Watching { sent: now, is_lost: false, supervisor, check: None }
}

/// Every order of the events, at intervals that don't divide the periods of the model.
fn days(stale_by: Ms) -> impl Iterator<Item = Day> {
    let spans = |lengths: [Ms; 3]| {
        (0..3500_u64).step_by(460).flat_map(move |from| lengths.map(|length| (from, from + length)))
    };
    spans([0, 700, 2600]).flat_map(move |silence| {
        spans([0, 300, 1900]).flat_map(move |drop| {
            (0..4000).step_by(340).flat_map(move |cut| {
                (0..6000).step_by(740).map(move |change| Day {
                    silence,
                    cut,
                    drop,
                    change,
                    stale_by,
                })
            })
        })
    })
}

/// Guards against a watch that was sent while the store was silent, or while it dropped its history, and that counts as live: the
/// host then serves by an old configuration and answers 404 with certainty.
#[test]
fn a_change_is_known_in_time_after_every_order_of_outage_cut_and_lost_history() {
    let (mut played, mut broken) = (0, Vec::new());
    for day in days(0) {
        played += 1;
        broken.extend(day.play().map(|fault| format!("{day:?}: {fault}")));
    }
    assert!(50_000 < played, "{played} days");
    assert!(broken.is_empty(), "{} of {played} days, first: {}", broken.len(), broken[0]);
}

/// The model shows the fault: with stale replies to checks the host is late or claims to be current.
#[test]
fn stale_checks_prove_nothing() {
    let broken = days(2500).filter(|day| day.play().is_some()).count();
    assert!(0 < broken);
}

/// What each kind of reply proves, for a watch that has a failed check behind it and one that has none.
#[test]
fn the_consequence_of_a_check_depends_on_its_position_and_on_failures_before() {
    let known = StorePosition { era: 1, revision: 50 };
    let at = |era, revision| Some(StorePosition { era, revision });
    let replies = [
        ("no reply", None),
        ("known revision", at(1, 50)),
        ("later revision", at(1, 51)),
        ("earlier revision", at(1, 49)),
        ("earlier era", at(0, 90)),
        ("later era", at(2, 10)),
    ];
    let mut lines = String::new();
    for (name, reply) in replies {
        for has_failed in [false, true] {
            let (start, period) = (duration(1000), duration(CHECK_PERIOD));
            let mut supervisor = WatchSupervisor::new(known, period, start, false, start);
            if has_failed {
                supervisor.after_check(duration(3000), None, duration(4500));
            }
            let step = supervisor.after_check(duration(5000), reply, duration(5010));
            let next = supervisor.next_check();
            writeln!(lines, "{name}, failed before {has_failed}: {step:?}, next check at {next:?}")
                .expect("text can be written");
        }
    }
    insta::assert_snapshot!(lines);
}
