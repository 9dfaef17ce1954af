//! A faulty replica answers part of its requests with bytes that are no answer to them: status 101, which nobody asked for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use crate::support::*;

/// Clients, which send one request after the other, and the requests of each.
const CLIENTS: usize = 4;
const REQUESTS: usize = 500;
const PAUSE: Duration = Duration::from_millis(10);

/// Time for which replicas are faulty.
const FAULT_TIME: Duration = Duration::from_secs(5);

/// One in so many requests of a faulty replica gets such bytes: 0.05 of them.
const SPOILT_ANSWERS: usize = 20;

/// Time in which a client waits for more bytes after the ones that it got.
const READ_TIME: Duration = Duration::from_millis(500);

pub fn run(record: &Arc<CaseRecord>) -> i32 {
    let store = Store::start();
    let started: Arc<OnceLock<Instant>> = Arc::default();
    // Three of the five replicas are faulty, a share of 0.6.
    let replicas: Vec<Arc<Replica>> = (1..=5)
        .map(|number| {
            let is_faulty = number <= 3 && has_trouble();
            let served = Mutex::new(0_usize);
            let started = Arc::clone(&started);
            Replica::start(&format!("r{number}"), record, move |replica, request, stream| {
                replica.record_run(request);
                let count = {
                    let mut served = served.lock().unwrap();
                    *served += 1;
                    *served
                };
                let is_over = started.get().is_none_or(|at: &Instant| FAULT_TIME < at.elapsed());
                if !is_faulty || is_over || count % SPOILT_ANSWERS != 5 {
                    return stream.write(&answer(replica, request, b"order placed"));
                }
                let id = request_id(request);
                replica.say(&format!(
                    "{id} gets status 101 in place of an answer; the connection stays open"
                ));
                stream.write(b"HTTP/1.1 101 Switching Protocols\r\n\r\n")
            })
        })
        .collect();
    let services = ["vitrina".to_owned()];
    let routes = [single_route("browse", "/page/", "non_idempotent", "vitrina")];
    put_config(&store, 3, &routes, &services);
    replicas.iter().for_each(|replica| replica.register(&store, "vitrina", "lima-a"));
    let Some(host) = Host::start(&HostPlace::new("frontend-lima-a-1", "lima-a", store.address))
    else {
        return NOT_RUN;
    };
    std::thread::sleep(Duration::from_millis(500));
    started.get_or_init(Instant::now);
    let seen: Mutex<BTreeMap<String, usize>> = Mutex::default();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (seen, host) = (&seen, &host);
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    let id = format!("c{client}n{number}");
                    let line = send_and_read_all(host, &id);
                    record.line(format!("client: {id} gets {line}"));
                    *seen.lock().unwrap().entry(line).or_default() += 1;
                    std::thread::sleep(PAUSE);
                }
            });
        }
    });
    let seen = seen.into_inner().unwrap();
    for (line, count) in &seen {
        record.line(format!("{count} of {} requests: {line}", CLIENTS * REQUESTS));
    }
    let broken: usize =
        seen.iter().filter(|(line, _)| line.starts_with("1")).map(|(_, count)| count).sum();
    if 0 < broken {
        record.line(format!(
            "MIXED: {broken} clients got bytes that are no answer, and nothing after them"
        ));
        return BROKEN;
    }
    HELD
}

/// Sends a request; returns the statuses that come back and how the exchange ends.
fn send_and_read_all(host: &Host, id: &str) -> String {
    let Ok(stream) = std::net::TcpStream::connect(host.address) else {
        return "no connection".to_owned();
    };
    let mut stream = HttpStream::new(stream);
    let _ = stream.stream.set_read_timeout(Some(Duration::from_millis(3000)));
    if !stream.write(&Request::post("/page/x", id, b"two cartons").bytes()) {
        return "no connection".to_owned();
    }
    let Some(first) = stream.read_message() else { return "closed without an answer".to_owned() };
    if 200 <= first.status() {
        return first.status().to_string();
    }
    let started = Instant::now();
    let _ = stream.stream.set_read_timeout(Some(READ_TIME));
    match stream.read_message() {
        Some(next) => format!("{}, then {}", first.status(), next.status()),
        None if started.elapsed() < READ_TIME => {
            format!("{}, then the connection is closed", first.status())
        }
        None => format!("{}, then nothing", first.status()),
    }
}
