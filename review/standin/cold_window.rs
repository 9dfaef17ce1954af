//! The replicas of a service return cold under traffic, while the configuration states a rate for cold replicas.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use crate::support::*;

const HOSTS: usize = 6;

/// Clients of each host, which send one request after the other with a pause.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(30);

/// Requests per second that a cold replica tolerates, and the bounds `coldOverage` and `coldSlack`.
const COLD_PER_S: f64 = 30.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Time for which replicas are cold after their start.
const WARMUP: Duration = Duration::from_secs(6);

const ROUNDS: u64 = 6;

pub fn run(record: &Arc<CaseRecord>) -> i32 {
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let start = |name: &str| {
        let arrivals = Arc::clone(&arrivals);
        Replica::start(name, record, move |replica, request, stream| {
            arrivals.lock().unwrap().push((Instant::now(), replica.id.clone()));
            std::thread::sleep(Duration::from_millis(5));
            stream.write(&answer(replica, request, b"page"))
        })
    };
    let replicas: Vec<Arc<Replica>> = ["r1", "r2"].iter().map(|name| start(name)).collect();
    let services = ["vitrina".to_owned()];
    put_config(&store, 3, &[single_route("browse", "/page/", "idempotent", "vitrina")], &services);
    let config = store.get("op/config").replace("\"coldPerS\":0.0", "\"coldPerS\":30.0");
    store.put("op/config", &config.replace("\"version\":3", "\"version\":5"));
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let name = format!("frontend-lima-a-{number}");
        hosts.push(Host::spawn(&HostPlace::new(&name, "lima-a", store.address)));
    }
    for host in &mut hosts {
        if !host.wait_until_serving() {
            return NOT_RUN;
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for client in 0..HOSTS * CLIENTS {
            let (is_over, address) = (&is_over, hosts[client % HOSTS].address);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Relaxed) {
                        return;
                    }
                    let id = format!("c{client}n{number}");
                    let seen = send(address, &Request::get("/page/x", &id));
                    record.line(format!("client: {id} gets {}", seen.describe()));
                    std::thread::sleep(PAUSE);
                }
            });
        }
        for round in 0..ROUNDS {
            let cold = if has_trouble() { WARMUP } else { Duration::ZERO };
            record.line(format!("replicas start again, cold for {} ms", cold.as_millis()));
            for replica in &replicas {
                let entry = format!(
                    "{{\"service\":\"vitrina\",\"address\":\"{}\",\"zone\":\"lima-a\",\"version\":\"v1\",\"slots\":2,\
                     \"state\":\"ready\",\"warmupRemainingMs\":{},\"sequence\":1,\"born\":{}}}",
                    replica.address,
                    cold.as_millis(),
                    2000 + round * 10_000
                );
                store.put(&format!("servers/{}", replica.id), &entry);
            }
            std::thread::sleep(Duration::from_secs(5));
            for replica in &replicas {
                store.remove(&format!("servers/{}", replica.id));
            }
            std::thread::sleep(Duration::from_millis(3000));
        }
        is_over.store(true, Relaxed);
    });
    let arrivals = arrivals.lock().unwrap();
    let mut most = 0;
    for replica in &replicas {
        let times: Vec<Instant> =
            arrivals.iter().filter(|(_, id)| *id == replica.id).map(|(at, _)| *at).collect();
        for (index, at) in times.iter().enumerate() {
            let count = times[index..]
                .iter()
                .take_while(|other| **other - *at < Duration::from_secs(1))
                .count();
            most = most.max(count);
        }
    }
    let allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    record.line(format!(
        "at most {most} requests reached a replica in one second; {allowed} are allowed"
    ));
    if has_trouble() && allowed < most as f64 { BROKEN } else { HELD }
}
