//! A service moves to a version of which a part of the responses arrives several times slower.

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

const REPLICAS: u64 = 3;
const CALLERS: u64 = 30;

/// Time between the requests of one caller, if it is answered in time.
const CALL_INTERVAL: Duration = Duration::from_millis(500);

/// Work of a request, and its multiple for the slow part of the new version.
const WORK: Duration = Duration::from_millis(250);
const SLOW_FACTOR: u32 = 6;

/// One in this many requests at the new version is slow.
const SLOW_PERIOD: u64 = 2;

/// Time that callers wait.
const DEADLINE_MS: u64 = 1200;

/// Time that operators give for the move.
const MOVE_TIME: Duration = Duration::from_secs(15);

/// Bounds of the site: exposureShare, exposureSlack and rollbackMs.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_TIME: Duration = Duration::from_millis(5000);

/// Answer of a replica and when it was due.
type BadAnswers = Arc<Mutex<Vec<Instant>>>;

fn start(
    site: &Site,
    id: String,
    version: &'static str,
    is_stopped: Arc<AtomicBool>,
    bad: BadAnswers,
    has_trouble: bool,
) -> Target {
    let log = site.record.clone();
    let count = AtomicU64::new(0);
    let name = id.clone();
    Target::start(&id, "orders", Arc::clone(&site.arrivals), move |request| {
        if is_stopped.load(SeqCst) {
            return (false, Action::Drop(Duration::ZERO));
        }
        let request_id = request.header("vanillapick-request-id").unwrap_or("").to_owned();
        let left = request.header("vanillapick-deadline-ms").and_then(|text| text.parse().ok());
        let left = Duration::from_millis(left.unwrap_or(0));
        let is_slow = has_trouble
            && version == "v2"
            && count.fetch_add(1, SeqCst) % SLOW_PERIOD == SLOW_PERIOD - 1;
        let work = if is_slow { WORK * SLOW_FACTOR } else { WORK };
        log.line(&format!(
            "{name} ({version}) begins request {request_id}, {} ms",
            work.as_millis()
        ));
        if is_slow {
            bad.lock().expect("no panic before").push(Instant::now() + work.min(left));
        }
        if work <= left {
            return (true, Action::Answer(work, success(request, &name, b"placed")));
        }
        // A replica stops work at the deadline that it receives, and says so.
        let stamp = format!("{name}.{request_id}");
        let headers =
            [("Vanillapick-Request-Id", request_id.as_str()), ("Vanillapick-Server-Stamp", &stamp)];
        (true, Action::Answer(left, reply(504, &headers, b"too late")))
    })
}

/// Runs the move; without `has_replicas`, none of the new version ever starts.
pub fn run(record: Record, has_trouble: bool, has_replicas: bool) -> i32 {
    let mut site = Site::new(record.clone());
    let bad: BadAnswers = Arc::default();
    let (old_stopped, new_stopped) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let register = |site: &Site, version: &'static str, stopped: &Arc<AtomicBool>| {
        for number in 0..REPLICAS {
            let id = format!("i-{version}-{number}");
            let target = start(
                site,
                id.clone(),
                version,
                Arc::clone(stopped),
                Arc::clone(&bad),
                has_trouble,
            );
            let zone = ["lima-a", "arequipa-a", "trujillo-a"][number as usize % 3];
            let entry = target.entry(zone, version, "ready", 1_700_000_000_000, 1);
            site.store
                .put(&format!("servers/{id}"), Some(&entry.replace("\"slots\":2", "\"slots\":32")));
        }
    };
    register(&site, "v1", &old_stopped);
    let routes = [route("r-orders", "/orders/", "non_idempotent", "orders")];
    let document =
        config(1, &routes, &["orders"]).replace("\"maxConnections\":25", "\"maxConnections\":300");
    site.store.put("op/config", Some(&document));
    if !site.start_hosts() {
        return 2;
    }
    let addresses = site.callers();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (addresses, answers, record, stop) =
                (addresses.clone(), Arc::clone(&answers), record.clone(), Arc::clone(&stop));
            thread::spawn(move || {
                let mut number = 0;
                thread::sleep(CALL_INTERVAL * caller as u32 / CALLERS as u32);
                while !stop.load(SeqCst) {
                    number += 1;
                    let (id, sent) = (format!("c{caller:02}n{number:04}"), Instant::now());
                    let host = (caller + number) as usize % addresses.len();
                    let answer =
                        call(addresses[host], "POST", "/orders/1", &id, DEADLINE_MS, b"order");
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("request {id} is answered {status}"));
                    answers.lock().expect("no panic before").push((sent, status));
                    thread::sleep(CALL_INTERVAL.saturating_sub(sent.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    // The order, and the new replicas beside the old ones.
    let order = format!(
        "{{\"service\":\"orders\",\"targetVersion\":\"v2\",\"durationS\":{}}}",
        MOVE_TIME.as_secs()
    );
    site.store.put("op/rollout/orders", Some(&order));
    let ordered = Instant::now();
    record.line("the move to v2 is ordered");
    if has_replicas {
        register(&site, "v2", &new_stopped);
    }
    let deadline = ordered + MOVE_TIME;
    let mut known = String::new();
    while Instant::now() < deadline + Duration::from_secs(6) {
        thread::sleep(Duration::from_millis(20));
        let status = site.store.get("status/rollout/orders").unwrap_or_default();
        if status != known {
            record.line(&format!("status/rollout/orders is {status}"));
            known = status;
            if known.contains("completed") {
                old_stopped.store(true, SeqCst);
            }
        }
    }
    stop.store(true, SeqCst);
    let is_whole = callers.into_iter().all(|caller| caller.join().is_ok());
    let arrivals = site.arrivals.lock().expect("no panic before");
    let in_move = |at: Instant| ordered <= at && at <= deadline;
    let all = arrivals.iter().filter(|arrival| arrival.has_run && in_move(arrival.at));
    let (all, new): (Vec<_>, Vec<_>) =
        (all.clone().collect(), all.filter(|arrival| arrival.target.starts_with("i-v2")).collect());
    let allowed = all.len() as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
    let mut bad = bad.lock().expect("no panic before").clone();
    bad.sort();
    let late = bad.get(49).map_or(0, |fiftieth| {
        let until = *fiftieth + ROLLBACK_TIME + Duration::from_millis(100);
        arrivals
            .iter()
            .filter(|arrival| arrival.target.starts_with("i-v2") && until < arrival.at)
            .count()
    });
    let answers = answers.lock().expect("no panic before");
    let count = |from: Instant, to: Instant| {
        let within: Vec<u16> = answers
            .iter()
            .filter(|(sent, _)| from <= *sent && *sent < to)
            .map(|(_, status)| *status)
            .collect();
        format!(
            "{} of {} served",
            within.iter().filter(|status| **status == 200).count(),
            within.len()
        )
    };
    record.line(&format!("before the order: {}", count(ordered - Duration::from_secs(3), ordered)));
    record.line(&format!(
        "after the move's deadline: {}",
        count(deadline, deadline + Duration::from_secs(5))
    ));
    record.line(&format!(
        "between the order and its deadline v2 got {} of {} requests, of which {allowed:.0} are allowed to a bad version",
        new.len(),
        all.len()
    ));
    record.line(&format!(
        "bad answers of v2: {}; requests at v2 later than 5 s after the 50th: {late}",
        bad.len()
    ));
    record.line(&format!("status/rollout/orders is {known}"));
    if !is_whole || all.is_empty() {
        return 2;
    }
    if !has_replicas {
        return i32::from(known.contains("completed"));
    }
    if !has_trouble {
        return i32::from(!known.contains("completed"));
    }
    i32::from(allowed < new.len() as f64 || late > 0)
}
