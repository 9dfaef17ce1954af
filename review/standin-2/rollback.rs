//! A bad version is rolled back, and the version that follows it is ordered before the replicas of the bad one have drained.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::reply;
use crate::site::Record;
use crate::site::Site;
use crate::site::call;
use crate::site::config;
use crate::site::route;
use crate::target::Action;
use crate::target::Target;
use crate::target::success;

const REPLICAS: usize = 3;
const CALLERS: u64 = 20;

/// Time between the requests of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(300);

/// Work of a request.
const WORK: Duration = Duration::from_millis(20);

/// One in this many requests fails at the bad version.
const FAILURE_PERIOD: u64 = 2;

/// Time that operators give for each move.
const MOVE_TIME: Duration = Duration::from_secs(15);

/// Time from the end of the first move to the order of the next one, and to the report of the rolled back replicas that they drain.
const NEXT_ORDER: Duration = Duration::from_secs(1);
const DRAIN_START: Duration = Duration::from_secs(6);

/// Bounds of the site: exposureShare and exposureSlack.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// Replicas of one version.
struct Version {
    name: &'static str,
    targets: Vec<(Target, &'static str)>,
    is_stopped: Arc<AtomicBool>,
}

impl Version {
    fn start(site: &Site, name: &'static str, is_bad: bool) -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let start = |number: usize| {
            let id = format!("i-{name}-{number}");
            let (own, stopped) = (id.clone(), Arc::clone(&is_stopped));
            let count = AtomicU64::new(0);
            let target = Target::start(&id, "page", Arc::clone(&site.arrivals), move |request| {
                if stopped.load(SeqCst) {
                    return (false, Action::Drop(Duration::ZERO));
                }
                if is_bad && count.fetch_add(1, SeqCst) % FAILURE_PERIOD == FAILURE_PERIOD - 1 {
                    let id = request.header("vanillapick-request-id").unwrap_or("");
                    let stamp = format!("{own}.{id}");
                    let headers =
                        [("Vanillapick-Request-Id", id), ("Vanillapick-Server-Stamp", &stamp)];
                    return (true, Action::Answer(WORK, reply(500, &headers, b"bad")));
                }
                (true, Action::Answer(WORK, success(request, &own, b"page")))
            });
            (target, ["lima-a", "arequipa-a", "trujillo-a"][number])
        };
        let version = Self { name, targets: (0..REPLICAS).map(start).collect(), is_stopped };
        version.register(site, "ready", 1);
        version
    }

    fn register(&self, site: &Site, state: &str, sequence: u64) {
        for (target, zone) in &self.targets {
            let entry = target.entry(zone, self.name, state, 1_700_000_000_000, sequence);
            site.store.put(&format!("servers/{}", target.id), Some(&entry));
        }
        site.record.line(&format!("the replicas of {} register as {state}", self.name));
    }
}

fn order(site: &Site, version: &str) {
    let seconds = MOVE_TIME.as_secs();
    let text =
        format!("{{\"service\":\"page\",\"targetVersion\":\"{version}\",\"durationS\":{seconds}}}");
    site.store.put("op/rollout/page", Some(&text));
    site.record.line(&format!("the move to {version} is ordered"));
}

/// Waits until the move to a version has ended; returns its last state, empty if it has not ended in time.
fn wait_for_end(site: &Site, version: &str) -> String {
    let until = Instant::now() + MOVE_TIME + Duration::from_secs(3);
    while Instant::now() < until {
        let status = site.store.get("status/rollout/page").unwrap_or_default();
        if status.contains(&format!("\"{version}\"")) && !status.contains("running") {
            site.record.line(&format!("status/rollout/page is {status}"));
            return status;
        }
        thread::sleep(Duration::from_millis(10));
    }
    String::new()
}

pub fn run(record: Record, has_trouble: bool) -> i32 {
    let mut site = Site::new(record.clone());
    let first = Version::start(&site, "v9", false);
    let routes = [route("r-page", "/page/", "idempotent", "page")];
    let document =
        config(1, &routes, &["page"]).replace("\"maxConnections\":25", "\"maxConnections\":96");
    site.store.put("op/config", Some(&document));
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
                    let answer = call(addresses[host], "GET", "/page/1", &id, 1000, b"");
                    let status = answer.map_or(0, |answer| answer.status());
                    answers.lock().expect("no panic before").push((sent, status));
                    thread::sleep(CALL_INTERVAL.saturating_sub(sent.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let second = Version::start(&site, "v10", has_trouble);
    order(&site, "v10");
    let ordered = Instant::now();
    let end = wait_for_end(&site, "v10");
    let ended = Instant::now();
    if end.contains("completed") {
        // The old replicas stop immediately.
        first.is_stopped.store(true, SeqCst);
    }
    thread::sleep(NEXT_ORDER);
    let third = Version::start(&site, "v11", false);
    order(&site, "v11");
    let next = Instant::now();
    if end.contains("rolled_back") {
        thread::sleep(DRAIN_START.saturating_sub(ended.elapsed()));
        second.register(&site, "draining", 2);
    }
    let last = wait_for_end(&site, "v11");
    stop.store(true, SeqCst);
    let is_whole = callers.into_iter().all(|caller| caller.join().is_ok());
    let arrivals = site.arrivals.lock().expect("no panic before");
    let runs = |version: &str, from: Instant, to: Instant| {
        let prefix = format!("i-{version}-");
        let arrivals = arrivals
            .iter()
            .filter(|arrival| arrival.has_run && from <= arrival.at && arrival.at <= to);
        arrivals.filter(|arrival| version.is_empty() || arrival.target.starts_with(&prefix)).count()
    };
    let deadline = ordered + MOVE_TIME;
    let all: usize =
        ["v9", "v10", "v11"].iter().map(|version| runs(version, ordered, deadline)).sum();
    let allowed = all as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
    let exposed = runs("v10", ordered, deadline);
    let window = next + Duration::from_secs(3);
    record.line(&format!(
        "until it was rolled back v10 got {} requests",
        runs("v10", ordered, ended)
    ));
    record.line(&format!(
        "in the 3 s after the next order v9 got {}, v10 {} and v11 {} requests",
        runs("v9", next, window),
        runs("v10", next, window),
        runs("v11", next, window)
    ));
    record.line(&format!(
        "between the order of v10 and its deadline v10 got {exposed} of {all} requests; {allowed:.0} are allowed to a bad version"
    ));
    let answers = answers.lock().expect("no panic before");
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.line(&format!(
        "{served} of {} requests served; {} {} {}",
        answers.len(),
        first.name,
        second.name,
        third.name
    ));
    if !is_whole || served == 0 || end.is_empty() {
        return 2;
    }
    if !has_trouble {
        return i32::from(!end.contains("completed") || !last.contains("completed"));
    }
    i32::from(allowed < exposed as f64)
}
