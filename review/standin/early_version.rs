//! Replicas of another version start beside the old ones, before any order to move there.

use std::sync::Arc;
use std::time::Duration;

use crate::support::*;

/// Requests of the case.
const REQUESTS: usize = 60;

pub fn run(record: &Arc<CaseRecord>) -> i32 {
    let store = Store::start();
    let start = |version: &'static str| -> Vec<Arc<Replica>> {
        (1..=2)
            .map(|number| {
                let replica = Replica::start(
                    &format!("{version}-{number}"),
                    record,
                    |replica, request, stream| {
                        replica.record_run(request);
                        stream.write(&answer(replica, request, b"page"))
                    },
                );
                replica.register_version(&store, "vitrina", "lima-a", version);
                replica
            })
            .collect()
    };
    let services = ["vitrina".to_owned()];
    put_config(&store, 3, &[single_route("browse", "/page/", "idempotent", "vitrina")], &services);
    start("v9");
    let Some(host) = Host::start(&HostPlace::new("frontend-lima-a-1", "lima-a", store.address))
    else {
        return NOT_RUN;
    };
    std::thread::sleep(Duration::from_millis(500));
    record.line("platform: no order to roll out is written");
    let new = if has_trouble() { start("v10") } else { Vec::new() };
    std::thread::sleep(Duration::from_secs(2));
    for number in 0..REQUESTS {
        let id = format!("a{number}");
        let seen = send(host.address, &Request::get("/page/x", &id));
        record.line(format!("client: {id} gets {}", seen.describe()));
        std::thread::sleep(Duration::from_millis(20));
    }
    let runs: usize = new.iter().map(|replica| replica.runs.lock().unwrap().len()).sum();
    record.line(format!("{runs} of {REQUESTS} requests ran at a version that no order names"));
    if 0 < runs {
        record.line("ROUTE: requests ran at a version to which no configuration sent them");
        return BROKEN;
    }
    HELD
}
