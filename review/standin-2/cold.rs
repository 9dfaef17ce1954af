//! All replicas of a service crash and start again under their ids, cold.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::site::Record;
use crate::site::Site;
use crate::site::call;
use crate::site::config;
use crate::site::route;
use crate::target::Action;
use crate::target::Target;
use crate::target::success;

const REPLICAS: u64 = 3;
const CALLERS: u64 = 48;

/// Time between the requests of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(150);

/// Requests per second that a cold replica tolerates, and the bounds of the site: coldOverage and coldSlack.
const COLD_PER_S: f64 = 10.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Time for which the replicas are down, and for which they are cold after that.
const DOWN_TIME: Duration = Duration::from_secs(3);
const COLD_TIME: Duration = Duration::from_secs(3);

/// Time from the start of a replica to its first registration, less than a heartbeat.
const REGISTRATION_DELAY: Duration = Duration::from_millis(300);

/// Requests in one second above which a cold replica crashes, well above what it tolerates.
const CRASH_RATE: usize = 40;

/// Time that the script goes on after the crash.
const WATCH_TIME: Duration = Duration::from_secs(25);

/// A replica and what it knows of its own start.
struct Replica {
    target: Target,
    zone: &'static str,
    state: Arc<ReplicaState>,
}

#[derive(Default)]
struct ReplicaState {
    /// Starts during traffic.
    starts: Mutex<Vec<Instant>>,
    /// Requests since the last start.
    since_start: Mutex<Vec<Instant>>,
    has_crashed: AtomicBool,
}

impl ReplicaState {
    /// Counts a request; returns whether the replica crashes under it.
    fn count(&self) -> bool {
        let now = Instant::now();
        let is_cold = self
            .starts
            .lock()
            .expect("no panic before")
            .last()
            .is_some_and(|start| now < *start + COLD_TIME);
        let mut times = self.since_start.lock().expect("no panic before");
        times.push(now);
        let in_second =
            times.iter().filter(|at| now.duration_since(**at) < Duration::from_secs(1)).count();
        let crashes = is_cold && CRASH_RATE < in_second;
        crashes && !self.has_crashed.swap(true, SeqCst)
    }
}

impl Replica {
    /// Lets the process be down for a while, starts it again under its id, and registers it.
    fn crash_and_return(&self, site_store: &crate::store::Store, record: &Record, born: u64) {
        self.target.set_down(true);
        thread::sleep(DOWN_TIME);
        self.state.since_start.lock().expect("no panic before").clear();
        let started = Instant::now();
        self.state.starts.lock().expect("no panic before").push(started);
        self.state.has_crashed.store(false, SeqCst);
        record.line(&format!("{} starts again under its id, cold", self.target.id));
        self.target.set_down(false);
        thread::sleep(REGISTRATION_DELAY);
        let left = COLD_TIME.saturating_sub(started.elapsed()).as_millis();
        let entry = self.target.entry(self.zone, "v1", "ready", born, 1);
        let entry =
            entry.replace("\"warmupRemainingMs\":0", &format!("\"warmupRemainingMs\":{left}"));
        site_store.put(&format!("servers/{}", self.target.id), Some(&entry));
        record.line(&format!("{} is registered, cold for {left} ms more", self.target.id));
    }
}

pub fn run(record: Record, has_trouble: bool) -> i32 {
    let mut site = Site::new(record.clone());
    let born = 1_700_000_000_000;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-page-{number}");
        let (name, state, log) = (id.clone(), Arc::<ReplicaState>::default(), record.clone());
        let counted = Arc::clone(&state);
        let target = Target::start(&id, "page", Arc::clone(&site.arrivals), move |request| {
            if counted.count() {
                log.line(&format!(
                    "{name} crashes: more than {CRASH_RATE} requests in one second while cold"
                ));
            }
            if counted.has_crashed.load(SeqCst) {
                return (true, Action::Drop(Duration::ZERO));
            }
            (true, Action::Answer(Duration::from_millis(5), success(request, &name, b"page")))
        });
        let zone = ["lima-a", "arequipa-a", "trujillo-a"][number as usize % 3];
        site.store.put(&format!("servers/{id}"), Some(&target.entry(zone, "v1", "ready", born, 1)));
        replicas.push(Replica { target, zone, state });
    }
    let routes = [route("r-page", "/page/", "idempotent", "page")];
    let document = config(1, &routes, &["page"]);
    let document = document.replace("\"coldPerS\":0.0", &format!("\"coldPerS\":{COLD_PER_S:.1}"));
    site.store.put(
        "op/config",
        Some(&document.replace("\"maxConnections\":25", "\"maxConnections\":96")),
    );
    if !site.start_hosts() {
        return 2;
    }
    let addresses = site.callers();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (addresses, answers, stop) =
                (addresses.clone(), Arc::clone(&answers), Arc::clone(&stop));
            thread::spawn(move || {
                let mut number = 0;
                thread::sleep(CALL_INTERVAL * caller as u32 / CALLERS as u32);
                while !stop.load(SeqCst) {
                    number += 1;
                    let (id, sent) = (format!("c{caller:02}n{number:04}"), Instant::now());
                    let host = (caller + number) as usize % addresses.len();
                    let answer =
                        call(addresses[host], "GET", &format!("/page/{id}"), &id, 1000, b"");
                    let status = answer.map_or(0, |answer| answer.status());
                    answers.lock().expect("no panic before").push((sent, status));
                    thread::sleep(CALL_INTERVAL.saturating_sub(sent.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        record.line("all replicas of the service crash");
        replicas.iter().for_each(|replica| replica.state.has_crashed.store(true, SeqCst));
    }
    let restarting: Vec<_> = replicas
        .iter()
        .map(|replica| {
            let (target, zone, state) =
                (replica.target.clone(), replica.zone, Arc::clone(&replica.state));
            let replica = Replica { target, zone, state };
            let (store, record, stop) = (site.store.clone(), record.clone(), Arc::clone(&stop));
            thread::spawn(move || {
                let mut born = born;
                while !stop.load(SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                    if replica.state.has_crashed.load(SeqCst) {
                        born += 10_000;
                        replica.crash_and_return(&store, &record, born);
                    }
                }
            })
        })
        .collect();
    thread::sleep(WATCH_TIME);
    stop.store(true, SeqCst);
    let is_whole = callers.into_iter().all(|caller| caller.join().is_ok());
    restarting.into_iter().for_each(|thread| drop(thread.join()));
    let arrivals = site.arrivals.lock().expect("no panic before");
    let allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    let mut worst = 0;
    for replica in &replicas {
        let id = &replica.target.id;
        let starts = replica.state.starts.lock().expect("no panic before");
        for start in starts.iter() {
            let times: Vec<Instant> = arrivals
                .iter()
                .filter(|arrival| {
                    arrival.target == *id && *start <= arrival.at && arrival.at < *start + COLD_TIME
                })
                .map(|arrival| arrival.at)
                .collect();
            let in_second = |first: &Instant| {
                times
                    .iter()
                    .filter(|at| first <= *at && **at < *first + Duration::from_secs(1))
                    .count()
            };
            let most = times.iter().map(in_second).max().unwrap_or(0);
            record.line(&format!(
                "{id}, cold from {} ms on, got {most} requests in one second; {allowed} are allowed",
                record.ms(*start)
            ));
            worst = worst.max(most);
        }
    }
    let answers = answers.lock().expect("no panic before");
    let mut seconds: std::collections::BTreeMap<u128, (usize, usize)> =
        std::collections::BTreeMap::new();
    for (sent, status) in answers.iter() {
        let second = seconds.entry(record.ms(*sent) / 1000).or_default();
        second.0 += 1;
        second.1 += usize::from(*status == 200);
    }
    for (second, (all, served)) in &seconds {
        record.line(&format!("second {second}: {served} of {all} requests served"));
    }
    if !is_whole || answers.is_empty() {
        return 2;
    }
    i32::from(allowed < worst as f64)
}
