//! A replica fails part of the orders that it runs, with its own status 503.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
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

const REPLICAS: u64 = 5;
const CALLERS: u64 = 12;
const CALL_TIME: Duration = Duration::from_secs(12);

/// One in this many requests fails at the replica in trouble.
const FAILURE_PERIOD: u64 = 3;

pub fn run(record: Record, has_trouble: bool) -> i32 {
    let mut site = Site::new(record.clone());
    let born = 1_700_000_000_000;
    for number in 0..REPLICAS {
        let id = format!("i-order-{number}");
        let (name, log) = (id.clone(), record.clone());
        let count = AtomicU64::new(0);
        let target = Target::start(&id, "orders", Arc::clone(&site.arrivals), move |request| {
            let order = String::from_utf8_lossy(&request.body).into_owned();
            let request_id = request.header("vanillapick-request-id").unwrap_or("");
            log.line(&format!("{name} runs request {request_id}: {order}"));
            let work = Duration::from_millis(20);
            let is_failure = count.fetch_add(1, SeqCst) % FAILURE_PERIOD == FAILURE_PERIOD - 1;
            if has_trouble && number == 0 && is_failure {
                // The order is placed, and what the replica does after that fails. There is no Vanillapick-Not-Executed.
                let stamp = format!("{name}.{request_id}");
                let headers =
                    [("Vanillapick-Request-Id", request_id), ("Vanillapick-Server-Stamp", &stamp)];
                log.line(&format!("{name} answers request {request_id} with its own 503"));
                return (true, Action::Answer(work, reply(503, &headers, b"the ledger is away")));
            }
            (true, Action::Answer(work, success(request, &name, order.as_bytes())))
        });
        let zone = ["lima-a", "arequipa-a", "trujillo-a"][number as usize % 3];
        site.store.put(&format!("servers/{id}"), Some(&target.entry(zone, "v1", "ready", born, 1)));
    }
    let routes = [route("r-orders", "/orders/", "non_idempotent", "orders")];
    site.store.put("op/config", Some(&config(1, &routes, &["orders"])));
    if !site.start_hosts() {
        return 2;
    }
    let addresses = site.callers();
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let until = Instant::now() + CALL_TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (addresses, answers, record) =
                (addresses.clone(), Arc::clone(&answers), record.clone());
            thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    // A caller repeats an order only after a promise, with a new id.
                    for attempt in 0..2 {
                        let id = format!("c{caller:02}n{number:04}a{attempt}");
                        let order = format!("order {caller}/{number}");
                        let host = (caller + number + attempt) as usize % addresses.len();
                        let answer =
                            call(addresses[host], "POST", "/orders/1", &id, 2000, order.as_bytes());
                        let status = answer.as_ref().map_or(0, |answer| answer.status());
                        record.line(&format!("request {id} ({order}) is answered {status}"));
                        answers.lock().expect("no panic before").push((id, status));
                        if status != 503 && status != 429 {
                            break;
                        }
                        let wait = answer.ok().and_then(|answer| {
                            answer.header("retry-after").and_then(|text| text.parse::<f64>().ok())
                        });
                        thread::sleep(Duration::from_secs_f64(
                            wait.unwrap_or(0.05).clamp(0.0, 0.6),
                        ));
                    }
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    let is_whole = callers.into_iter().all(|caller| caller.join().is_ok());
    thread::sleep(Duration::from_millis(500));
    let arrivals = site.arrivals.lock().expect("no panic before");
    let answers = answers.lock().expect("no panic before");
    let mut orders: HashMap<String, usize> = HashMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.has_run) {
        *orders.entry(String::from_utf8_lossy(&arrival.body).into_owned()).or_default() += 1;
    }
    let has_run = |id: &str| arrivals.iter().any(|arrival| arrival.has_run && arrival.id == id);
    let refused: Vec<&String> = answers
        .iter()
        .filter(|(id, status)| [408, 421, 429, 503].contains(status) && has_run(id))
        .map(|(id, _)| id)
        .collect();
    let doubled = orders.values().filter(|runs| 1 < **runs).count();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.line(&format!("{} requests, {served} served, {} runs", answers.len(), arrivals.len()));
    refused
        .iter()
        .for_each(|id| record.line(&format!("REFUSED: request {id} was refused and has run")));
    record.line(&format!(
        "{} requests were answered 503, 429, 408 or 421 and have run; {doubled} orders ran twice",
        refused.len()
    ));
    if !is_whole || served == 0 {
        return 2;
    }
    i32::from(!refused.is_empty())
}
