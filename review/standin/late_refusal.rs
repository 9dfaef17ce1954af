//! A full replica sends its refusal a second time, late, on a connection that is in use again for the same request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use crate::support::*;

/// Hosts, with one client each, which sends one request after the other.
const HOSTS: usize = 6;

/// The faulty replica sends second copies in some episodes, with pauses between them.
const EPISODES: u32 = 4;
const EPISODE_TIME: Duration = Duration::from_secs(5);
const EPISODE_PAUSE: Duration = Duration::from_secs(3);

/// The replicas also serve other machines, whose requests come in waves: at the start of each wave they take all slots and
/// places in the queues.
const WAVE_TIME: Duration = Duration::from_millis(120);
const FULL_TIME: Duration = Duration::from_millis(18);

/// Requests that a replica runs at the same time.
const SLOTS: usize = 2;

/// Time that a replica works on a request.
const WORK_TIME: Duration = Duration::from_millis(4);

/// Pause of the client after a refusal, as the host asks for it.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// One in so many answers of the faulty replica is sent twice: 0.04 of them.
const COPIED_ANSWERS: usize = 25;

/// Work of one replica, and the late copies of its answers.
#[derive(Default)]
struct ReplicaFault {
    running: Mutex<usize>,
    ended: Condvar,
    is_on: AtomicBool,
    answers: Mutex<usize>,
    /// Id of the request and second copy of the answer, which goes out where the next answer is expected, by the port of the
    /// connection.
    late: Mutex<BTreeMap<u16, (String, Vec<u8>)>>,
    copies: Mutex<usize>,
}

impl ReplicaFault {
    /// Writes an answer, and keeps a second copy of some of them.
    fn write(&self, replica: &Replica, id: &str, stream: &mut HttpStream, bytes: &[u8]) -> bool {
        let mut answers = self.answers.lock().unwrap();
        *answers += 1;
        if self.is_on.load(Relaxed) && answers.is_multiple_of(COPIED_ANSWERS) {
            replica.say(&format!("a second copy of this answer to {id} will come late"));
            self.late.lock().unwrap().insert(stream.peer_port(), (id.to_owned(), bytes.to_vec()));
        }
        drop(answers);
        stream.write(bytes)
    }

    /// Writes the second copy that is due on this connection.
    fn write_late(&self, replica: &Replica, id: &str, stream: &mut HttpStream) {
        let Some((of, bytes)) = self.late.lock().unwrap().remove(&stream.peer_port()) else {
            return;
        };
        replica.say(&format!(
            "the second copy of an answer to {of} comes where one to {id} is expected"
        ));
        *self.copies.lock().unwrap() += 1;
        stream.write(&bytes);
    }
}

pub fn run(record: &Arc<CaseRecord>) -> i32 {
    let store = Store::start();
    let started = Instant::now();
    let faults: Vec<Arc<ReplicaFault>> = (0..2).map(|_| Arc::default()).collect();
    let replicas: Vec<Arc<Replica>> = faults
        .iter()
        .zip(["r1", "r2"])
        .map(|(fault, name)| {
            let fault = Arc::clone(fault);
            Replica::start(name, record, move |replica, request, stream| {
                let id = request_id(request);
                fault.write_late(replica, &id, stream);
                let in_wave = started.elapsed().as_millis() % WAVE_TIME.as_millis();
                if in_wave < FULL_TIME.as_millis() {
                    replica.say(&format!("{id} is turned away: full, not executed"));
                    return fault.write(replica, &id, stream, &full(request));
                }
                let running = fault.running.lock().unwrap();
                *fault.ended.wait_while(running, |running| SLOTS <= *running).unwrap() += 1;
                replica.record_run(request);
                std::thread::sleep(WORK_TIME);
                *fault.running.lock().unwrap() -= 1;
                fault.ended.notify_one();
                let answer = answer(replica, request, b"order placed");
                fault.write(replica, &id, stream, &answer)
            })
        })
        .collect();
    let services = ["pedidos".to_owned()];
    let routes = [single_route("reorder", "/orders/", "non_idempotent", "pedidos")];
    put_config(&store, 3, &routes, &services);
    replicas.iter().for_each(|replica| replica.register(&store, "pedidos", "lima-a"));
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let name = format!("frontend-lima-a-{number}");
        let Some(host) = Host::start(&HostPlace::new(&name, "lima-a", store.address)) else {
            return NOT_RUN;
        };
        hosts.push(host);
    }
    std::thread::sleep(Duration::from_secs(1));
    let answers: Mutex<BTreeMap<String, u16>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for (client, host) in hosts.iter().enumerate() {
            let (answers, is_over) = (&answers, &is_over);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Relaxed) {
                        return;
                    }
                    let id = format!("c{client}n{number}");
                    let seen =
                        send(host.address, &Request::post("/orders/new", &id, b"two cartons"));
                    record.line(format!("client: {id} gets {}", seen.describe()));
                    answers.lock().unwrap().insert(id, seen.status());
                    if seen.status() == 503 {
                        std::thread::sleep(REFUSAL_PAUSE);
                    }
                }
            });
        }
        for _ in 0..EPISODES {
            std::thread::sleep(EPISODE_PAUSE);
            faults[0].is_on.store(has_trouble(), Relaxed);
            std::thread::sleep(EPISODE_TIME);
            faults[0].is_on.store(false, Relaxed);
        }
        std::thread::sleep(EPISODE_PAUSE);
        is_over.store(true, Relaxed);
    });
    let is_broken = check_once(record, &replicas, &answers.lock().unwrap());
    let copies = *faults[0].copies.lock().unwrap();
    record.line(format!("{copies} late copies"));
    if has_trouble() && copies == 0 {
        return NOT_RUN;
    }
    if is_broken { BROKEN } else { HELD }
}
