//! All open connections to the store go silent, while new ones work; shortly after, the configuration changes.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use crate::support::*;

/// Bounds of the small site `pajilla-busca`: `configApplyMs` and `stableWindowMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);
const STABLE_WINDOW: Duration = Duration::from_millis(5000);

/// Number of times that connections go silent.
const ROUNDS: u64 = 6;

/// Time from the silence to the change of the configuration, and from there to the next round.
const CHANGE_AFTER: Duration = Duration::from_millis(300);
const ROUND_TIME: Duration = Duration::from_millis(10_500);

/// Pause between requests.
const PAUSE: Duration = Duration::from_millis(25);

pub fn run(record: &Arc<CaseRecord>) -> i32 {
    let store = Store::start();
    let proxy = SilentProxy::start(store.address);
    let services = ["vitrina".to_owned(), "despacho".to_owned()];
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    for service in &services {
        for number in 1..=2 {
            let (runs, name) = (Arc::clone(&runs), service.clone());
            let replica = Replica::start(
                &format!("{service}-{number}"),
                record,
                move |replica, request, stream| {
                    runs.lock().unwrap().push((request_id(request), name.clone()));
                    stream.write(&answer(replica, request, b"page"))
                },
            );
            replica.register(&store, service, "lima-a");
        }
    }
    let version = AtomicU64::new(3);
    let write_config = |service: &str| {
        let version = version.fetch_add(7, Relaxed);
        put_config(
            &store,
            version,
            &[single_route("browse", "/page/", "idempotent", service)],
            &services,
        );
    };
    write_config(&services[0]);
    let Some(host) = Host::start(&HostPlace::new("frontend-lima-a-1", "lima-a", proxy.address))
    else {
        return NOT_RUN;
    };
    std::thread::sleep(Duration::from_secs(4));
    let mut stale = 0;
    for round in 0..ROUNDS {
        let silent = Instant::now();
        if has_trouble() {
            let count = proxy.silence();
            record.line(format!("network: open connections to the store go silent, {count} of them opened since the last time"));
        }
        // The rounds begin at different moments of the host's own timers.
        let change_after = CHANGE_AFTER + Duration::from_millis(round * 60);
        std::thread::sleep(change_after);
        let service = &services[(round as usize + 1) % 2];
        write_config(service);
        let acknowledged = Instant::now();
        record
            .line(format!("operator: a version that moves the route to {service} is acknowledged"));
        let due = (acknowledged + CONFIG_APPLY).max(silent + STABLE_WINDOW);
        for number in 0.. {
            if silent + ROUND_TIME <= Instant::now() {
                break;
            }
            let id = format!("n{round}x{number}");
            let sent = Instant::now();
            let seen = send(host.address, &Request::get("/page/x", &id));
            let ran_at =
                runs.lock().unwrap().iter().rev().find(|run| run.0 == id).map(|run| run.1.clone());
            let ran_at = ran_at.unwrap_or_default();
            record.line(format!("client: {id} gets {}, run by {ran_at:?}", seen.describe()));
            if due < sent && !ran_at.is_empty() && ran_at != *service {
                stale += 1;
                record.line(format!(
                    "CONFIG: {id} was sent {} ms after the acknowledgement and {} ms after the silence, and the old \
                     service ran it",
                    (sent - acknowledged).as_millis(),
                    (sent - silent).as_millis()
                ));
            }
            std::thread::sleep(PAUSE);
        }
    }
    record.line(format!(
        "{stale} requests were handled by an old configuration after it had to be replaced"
    ));
    if 0 < stale { BROKEN } else { HELD }
}

/// Proxy in front of the store whose open connections can be silenced: they stay open and pass nothing more.
struct SilentProxy {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
}

impl SilentProxy {
    fn start(store: SocketAddr) -> Self {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let (generation, open) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (current, count) = (Arc::clone(&generation), Arc::clone(&open));
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(store) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let born = current.load(SeqCst);
                let is_silent = {
                    let current = Arc::clone(&current);
                    move || current.load(SeqCst) != born
                };
                count.fetch_add(1, SeqCst);
                let ends = [(client.try_clone(), server.try_clone()), (Ok(server), Ok(client))];
                for (from, to) in ends {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    let is_silent = is_silent.clone();
                    std::thread::spawn(move || pass(from, to, is_silent));
                }
            }
        });
        Self { address, generation, open }
    }

    /// Silences all open connections; returns how many were opened since the last time.
    fn silence(&self) -> u64 {
        self.generation.fetch_add(1, SeqCst);
        self.open.swap(0, SeqCst)
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let mut piece = [0; 16384];
    loop {
        let read = from.read(&mut piece);
        if is_silent() {
            // The connection stays open on both sides until the process ends.
            std::thread::sleep(Duration::from_secs(600));
            return;
        }
        match read {
            Ok(read) if 0 < read => {
                if to.write_all(&piece[..read]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
