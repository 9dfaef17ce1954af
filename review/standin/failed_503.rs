//! A replica runs a request that may run once, and its failure has status 503 without the header that says "not executed".

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::support::*;

/// Clients, which send one request after the other, and the requests of each. A request may run once.
const CLIENTS: usize = 6;
const REQUESTS: usize = 50;

/// Replicas of the service, and those that fail part of their requests: a share of 0.4.
const REPLICAS: usize = 5;
const FAILING_REPLICAS: usize = 2;

/// A failing replica fails this many of each twenty requests: 0.45 of them.
const FAILED_OF_TWENTY: usize = 9;

pub fn run(record: &Arc<CaseRecord>) -> i32 {
    let store = Store::start();
    let replicas: Vec<Arc<Replica>> = (1..=REPLICAS)
        .map(|number| {
            let is_failing = number <= FAILING_REPLICAS && has_trouble();
            let served = Mutex::new(0_usize);
            Replica::start(&format!("r{number}"), record, move |replica, request, stream| {
                replica.record_run(request);
                let count = {
                    let mut served = served.lock().unwrap();
                    *served += 1;
                    *served
                };
                std::thread::sleep(Duration::from_millis(20));
                if !is_failing || FAILED_OF_TWENTY <= count * 7 % 20 {
                    return stream.write(&answer(replica, request, b"order placed"));
                }
                let id = request_id(request);
                let stamp = format!("{}.{id}", replica.id);
                let headers = [
                    ("Vanillapick-Request-Id", id.as_str()),
                    ("Vanillapick-Server-Stamp", stamp.as_str()),
                ];
                replica.say(&format!(
                    "{id} fails after it has run: 503 without Vanillapick-Not-Executed"
                ));
                stream.write(&reply(503, &headers, b"no receipt"))
            })
        })
        .collect();
    let services = ["vitrina".to_owned()];
    put_config(
        &store,
        3,
        &[single_route("reorder", "/orders/", "non_idempotent", "vitrina")],
        &services,
    );
    replicas.iter().for_each(|replica| replica.register(&store, "vitrina", "lima-a"));
    let place = HostPlace::new("frontend-lima-a-1", "lima-a", store.address);
    let Some(host) = Host::start(&place) else { return NOT_RUN };
    std::thread::sleep(Duration::from_millis(500));
    let answers: Mutex<BTreeMap<String, u16>> = Mutex::default();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (answers, address) = (&answers, host.address);
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    let id = format!("c{client}n{number}");
                    let seen = send(address, &Request::post("/orders/new", &id, b"two cartons"));
                    record.line(format!("client: {id} gets {}", seen.describe()));
                    answers.lock().unwrap().insert(id, seen.status());
                }
            });
        }
    });
    let is_broken = check_once(record, &replicas, &answers.lock().unwrap());
    if is_broken { BROKEN } else { HELD }
}
