//! A process is killed during a roll-out to a version that the service was on before.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use crate::support::*;

/// Clients, which send one request after the other to both hosts in turn.
const CLIENTS: usize = 4;

/// Pause between the requests of a client; together about as many as the small sites send to one service.
const PAUSE: Duration = Duration::from_millis(150);

/// One in so many answers of the bad version is a failure.
const FAILED_ANSWERS: usize = 4;

/// Time that operators give the first two roll-outs, and the last one.
const FIRST_DURATION: Duration = Duration::from_secs(12);
const LAST_DURATION: Duration = Duration::from_secs(30);

/// Time from the last order to the kill.
const KILL_AFTER: Duration = Duration::from_secs(3);

/// Bounds of the small sites: `exposureShare`, `exposureSlack` and `rollbackMs`.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: usize = 50;
const ROLLBACK: Duration = Duration::from_millis(5000);

/// Number of bad answers from which `rollbackMs` counts.
const BAD_ANSWERS: usize = 50;

/// One request at a replica of the service.
struct ServiceRun {
    at: Instant,
    is_at_v2: bool,
    is_bad: bool,
}

struct RollOut {
    record: Arc<CaseRecord>,
    store: Arc<Store>,
    runs: Arc<Mutex<Vec<ServiceRun>>>,
    replicas: Vec<(String, Arc<Replica>)>,
}

impl RollOut {
    /// Starts two replicas of a version. Of a bad one, a part of the answers are failures.
    fn start_replicas(&mut self, version: &'static str, name: &str, is_bad: bool) {
        for number in 1..=2 {
            let runs = Arc::clone(&self.runs);
            let id = format!("{version}-{name}{number}");
            let served = Mutex::new(0_usize);
            let replica = Replica::start(&id, &self.record, move |replica, request, stream| {
                let count = {
                    let mut served = served.lock().unwrap();
                    *served += 1;
                    *served
                };
                std::thread::sleep(Duration::from_millis(3));
                let is_bad = is_bad && count.is_multiple_of(FAILED_ANSWERS);
                let run = ServiceRun { at: Instant::now(), is_at_v2: version == "v2", is_bad };
                runs.lock().unwrap().push(run);
                if !is_bad {
                    return stream.write(&answer(replica, request, b"page"));
                }
                let id = request_id(request);
                let stamp = format!("{}.{id}", replica.id);
                let headers = [
                    ("Vanillapick-Request-Id", id.as_str()),
                    ("Vanillapick-Server-Stamp", stamp.as_str()),
                ];
                stream.write(&reply(500, &headers, b"failed"))
            });
            replica.register_version(&self.store, "vitrina", "lima-a", version);
            self.replicas.push((version.to_owned(), replica));
        }
    }

    fn order(&self, version: &str, duration: Duration) {
        self.record.line(format!("operator: orders {version} within {} s", duration.as_secs()));
        let seconds = duration.as_secs();
        let order = format!(
            "{{\"service\":\"vitrina\",\"targetVersion\":\"{version}\",\"durationS\":{seconds}}}"
        );
        self.store.put("op/rollout/vitrina", &order);
    }

    fn status(&self) -> String {
        self.store.get("status/rollout/vitrina")
    }

    /// Waits for the end of a roll-out to `version`; returns whether it was completed. The replicas of the other version end at
    /// that moment.
    fn wait_for_end(&mut self, version: &str, time: Duration) -> Option<bool> {
        let ends = Instant::now() + time;
        let target = format!("\"targetVersion\":\"{version}\"");
        while Instant::now() < ends {
            let status = self.status();
            let is_completed = status.contains("completed");
            if status.contains(&target) && (is_completed || status.contains("rolled_back")) {
                self.record.line(format!("operator: reads {status}"));
                if is_completed {
                    self.end_replicas(|known| known != version);
                }
                return Some(is_completed);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    fn end_replicas(&mut self, is_ended: impl Fn(&str) -> bool) {
        for (_, replica) in self.replicas.iter().filter(|(version, _)| is_ended(version)) {
            replica.has_ended.store(true, Relaxed);
            self.store.remove(&format!("servers/{}", replica.id));
            replica.say("ends");
        }
        self.replicas.retain(|(version, _)| !is_ended(version));
    }
}

pub fn run(record: &Arc<CaseRecord>) -> i32 {
    let store = Store::start();
    let services = ["vitrina".to_owned()];
    put_config(&store, 3, &[single_route("browse", "/page/", "idempotent", "vitrina")], &services);
    let mut service = RollOut {
        record: Arc::clone(record),
        store: Arc::clone(&store),
        runs: Arc::default(),
        replicas: Vec::new(),
    };
    service.start_replicas("v1", "a", false);
    let mut hosts = Vec::new();
    for name in ["frontend-lima-a-1", "frontend-lima-a-2"] {
        let Some(host) = Host::start(&HostPlace::new(name, "lima-a", store.address)) else {
            return NOT_RUN;
        };
        hosts.push(host);
    }
    let addresses: Vec<_> = hosts.iter().map(|host| host.address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    for client in 0..CLIENTS {
        let (stop, addresses, record) = (Arc::clone(&stop), addresses.clone(), Arc::clone(record));
        std::thread::spawn(move || {
            for number in 0.. {
                if stop.load(Relaxed) {
                    return;
                }
                let id = format!("c{client}n{number}");
                let address = addresses[(client + number) % addresses.len()];
                let seen = send(address, &Request::get("/page/x", &id));
                if seen.status() != 200 {
                    record.line(format!("client: {id} gets {}", seen.describe()));
                }
                std::thread::sleep(PAUSE);
            }
        });
    }
    std::thread::sleep(Duration::from_secs(1));
    let status = run_orders(&mut service, &mut hosts);
    stop.store(true, Relaxed);
    std::thread::sleep(Duration::from_millis(200));
    status
}

fn run_orders(service: &mut RollOut, hosts: &mut [Host]) -> i32 {
    let record = Arc::clone(&service.record);
    service.order("v2", FIRST_DURATION);
    service.start_replicas("v2", "a", false);
    if service.wait_for_end("v2", FIRST_DURATION * 2) != Some(true) {
        return NOT_RUN;
    }
    // Planned work: the machines are stopped and started in turn.
    for host in hosts.iter_mut() {
        record.line(format!("platform: {} gets SIGTERM and starts again", host.name));
        host.restart("-TERM");
        if !host.wait_until_serving() {
            return NOT_RUN;
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    service.order("v1", FIRST_DURATION);
    service.start_replicas("v1", "b", false);
    if service.wait_for_end("v1", FIRST_DURATION * 2) != Some(true) {
        return NOT_RUN;
    }
    std::thread::sleep(Duration::from_secs(2));
    service.runs.lock().unwrap().clear();
    service.order("v2", LAST_DURATION);
    let ordered = Instant::now();
    service.start_replicas("v2", "b", true);
    std::thread::sleep(KILL_AFTER);
    if has_trouble() {
        record.line(format!("platform: {} is killed and starts again", hosts[0].name));
        hosts[0].restart("-KILL");
    }
    let left = LAST_DURATION.saturating_sub(ordered.elapsed());
    let is_completed = service.wait_for_end("v2", left + Duration::from_secs(5));
    record.line(format!("the last roll-out ended after {:.1} s", ordered.elapsed().as_secs_f64()));
    std::thread::sleep((LAST_DURATION + Duration::from_secs(1)).saturating_sub(ordered.elapsed()));
    check(&record, &service.runs.lock().unwrap(), is_completed)
}

fn check(record: &CaseRecord, runs: &[ServiceRun], is_completed: Option<bool>) -> i32 {
    let at_new = runs.iter().filter(|run| run.is_at_v2).count();
    let allowed = (runs.len() as f64 * EXPOSURE_SHARE) as usize + EXPOSURE_SLACK;
    let bad: Vec<Instant> = runs.iter().filter(|run| run.is_bad).map(|run| run.at).collect();
    let late = bad
        .get(BAD_ANSWERS - 1)
        .map_or(0, |at| runs.iter().filter(|run| run.is_at_v2 && *at + ROLLBACK < run.at).count());
    record.line(format!(
        "bad version: {at_new} of {} requests, {allowed} allowed; {} bad answers; {late} requests over {} s after the 50th; \
         completed: {is_completed:?}",
        runs.len(),
        bad.len(),
        ROLLBACK.as_secs()
    ));
    if allowed < at_new || 0 < late {
        record.line("EXPOSURE: the bad version got too many requests");
        return BROKEN;
    }
    HELD
}
