//! The settings change while the system runs, and its processes are restarted one after the other.

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

/// The new gracePeriodS: a fraction, and for the run without the disruption a whole number.
const FRACTION: &str = "6.5";
const WHOLE: &str = "7";

/// Starts of one process, and the delay before each.
const STARTS: u32 = 4;
const START_DELAY: Duration = Duration::from_millis(500);

/// Time in which a process is ready after its start.
const READY_TIME: Duration = Duration::from_secs(4);

pub fn run(record: Record, has_trouble: bool) -> i32 {
    let mut site = Site::new(record.clone());
    for number in 0..3_usize {
        let id = format!("i-page-{number}");
        let name = id.clone();
        let target = Target::start(&id, "page", Arc::clone(&site.arrivals), move |request| {
            (true, Action::Answer(Duration::from_millis(5), success(request, &name, b"page")))
        });
        let zone = ["lima-a", "arequipa-a", "trujillo-a"][number];
        let entry = target.entry(zone, "v1", "ready", 1_700_000_000_000, 1);
        site.store.put(&format!("servers/{id}"), Some(&entry));
    }
    let routes = [route("r-page", "/page/", "idempotent", "page")];
    site.store.put("op/config", Some(&config(1, &routes, &["page"])));
    if !site.start_hosts() {
        return 2;
    }
    let addresses = site.callers();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let (known, ends) = (Arc::clone(&answers), Arc::clone(&stop));
    let calling = thread::spawn(move || {
        let mut number = 0;
        while !ends.load(SeqCst) {
            number += 1;
            let id = format!("n{number:05}");
            // A caller whose host is away asks the next ones.
            let statuses = (0..addresses.len()).map(|attempt| {
                let address = addresses[(number + attempt) % addresses.len()];
                call(address, "GET", "/page/1", &id, 500, b"").map_or(0, |answer| answer.status())
            });
            let status = statuses.into_iter().find(|status| *status == 200).unwrap_or(0);
            known.lock().expect("no panic before").push((Instant::now(), status));
            thread::sleep(Duration::from_millis(50));
        }
    });
    thread::sleep(Duration::from_secs(2));
    let value = if has_trouble { FRACTION } else { WHOLE };
    for host in &mut site.hosts {
        host.plan.grace_s = value.to_owned();
        host.write_settings();
        host.signal("-HUP");
        record.line(&format!(
            "the settings of {} change: gracePeriodS = {value}; SIGHUP",
            host.plan.name
        ));
    }
    thread::sleep(Duration::from_secs(1));
    let mut unstarted = 0;
    for host in &mut site.hosts {
        host.signal("-TERM");
        record.line(&format!("{} gets SIGTERM", host.plan.name));
        while !host.has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        let mut is_ready = false;
        for start in 1..=STARTS {
            thread::sleep(START_DELAY);
            host.restart();
            let until = Instant::now() + READY_TIME;
            while !is_ready && !host.has_ended() && Instant::now() < until {
                thread::sleep(Duration::from_millis(50));
                is_ready = host.is_ready();
            }
            if is_ready {
                record.line(&format!("{} is ready after start {start}", host.plan.name));
                break;
            }
            let status = host.child.try_wait().ok().flatten();
            record.line(&format!(
                "{}, start {start}: not ready, ended with {status:?}",
                host.plan.name
            ));
        }
        unstarted += usize::from(!is_ready);
    }
    let last = Instant::now();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, SeqCst);
    let is_whole = calling.join().is_ok();
    let answers = answers.lock().expect("no panic before");
    let served = |from: Option<Instant>| {
        let within = answers.iter().filter(|(at, _)| from.is_none_or(|from| from <= *at));
        let (all, served) = within.fold((0, 0), |(all, served), (_, status)| {
            (all + 1, served + usize::from(*status == 200))
        });
        format!("{served} of {all}")
    };
    record.line(&format!(
        "served in all: {}; after the last restart: {}",
        served(None),
        served(Some(last))
    ));
    record.line(&format!("{unstarted} of {} processes don't start", site.hosts.len()));
    if !is_whole {
        return 2;
    }
    i32::from(unstarted > 0)
}
