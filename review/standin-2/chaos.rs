//! Exploration: callers, replicas in trouble and restarts of hosts, with checks of the rules on answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::host::Host;
use crate::host::HostPlan;
use crate::net::Connection;
use crate::net::Message;
use crate::net::ReadEnd;
use crate::store::Store;
use crate::target::Action;
use crate::target::Arrival;
use crate::target::Target;
use crate::target::shed;
use crate::target::success;

pub struct Random(u64);
impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}

fn record(service: &str, id: &str, index: u64) -> [u8; 16] {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in service.bytes().chain(id.bytes()).chain(index.to_be_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let text = format!("{:016x}", hash.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    text.as_bytes().try_into().expect("16 digits")
}

fn part(service: &str, id: &str) -> Vec<u8> {
    (0..20).flat_map(|index| record(service, id, index)).collect()
}

pub fn run(seed: u64, seconds: u64, cores: u32) -> i32 {
    let folder = std::env::temp_dir().join(format!("review-chaos-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let store = Store::start("127.0.0.1:0", |_| {});
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let shards = ["s0", "s1", "s2", "s3"];
    let faults_on = Arc::new(AtomicBool::new(true));
    let mut targets = Vec::new();
    let zones = ["lima-a", "arequipa-a", "trujillo-a"];
    for service in shards.iter().chain(&["page"]) {
        for replica in 0..2 + u64::from(*service == "page") {
            let id = format!("{service}-{replica}");
            let name = id.clone();
            let rng = Mutex::new(Random::new(
                seed ^ (replica + 7)
                    ^ (service.len() as u64) << 8
                    ^ u64::from(service.as_bytes()[1]) << 16,
            ));
            let is_page = *service == "page";
            let service = service.to_string();
            let faults = Arc::clone(&faults_on);
            let target = Target::start(
                &id,
                &service.clone(),
                Arc::clone(&arrivals),
                move |request: &Message| {
                    let request_id =
                        request.header("vanillapick-request-id").unwrap_or("").to_owned();
                    let body = if is_page {
                        let mut text = format!(
                            "{name}|{request_id}|{}|{}|",
                            request.first_line,
                            request.body.len()
                        )
                        .into_bytes();
                        text.extend_from_slice(&request.body[..request.body.len().min(64)]);
                        text
                    } else {
                        part(&service, &request_id)
                    };
                    let good = success(request, &name, &body);
                    let mut rng = rng.lock().expect("no panic before");
                    let work = Duration::from_millis(2 + rng.below(15));
                    if !faults.load(SeqCst) {
                        return (true, Action::Answer(work, good));
                    }
                    match rng.below(100) {
                        0 => (true, Action::Mute),
                        1 => (true, Action::AnswerAndClose(work, good[..good.len() / 2].to_vec())),
                        2 => (
                            true,
                            Action::AnswerThen(
                                work,
                                good.clone(),
                                Duration::from_millis(rng.below(30)),
                                good,
                            ),
                        ),
                        3 => (true, Action::Drop(work)),
                        4..=8 => (
                            false,
                            Action::Answer(
                                Duration::ZERO,
                                shed(request, if rng.below(2) == 0 { 503 } else { 429 }),
                            ),
                        ),
                        9 => {
                            let s = shed(request, 503);
                            (
                                false,
                                Action::AnswerThen(
                                    Duration::ZERO,
                                    s.clone(),
                                    Duration::from_millis(rng.below(20)),
                                    s,
                                ),
                            )
                        }
                        10..=13 => (true, Action::Answer(Duration::from_millis(150), good)),
                        14 => {
                            let stamp = format!("{name}.{request_id}");
                            (
                                true,
                                Action::Answer(
                                    work,
                                    crate::net::reply(
                                        500,
                                        &[
                                            ("Vanillapick-Request-Id", &request_id),
                                            ("Vanillapick-Server-Stamp", &stamp),
                                        ],
                                        b"bad",
                                    ),
                                ),
                            )
                        }
                        _ => (true, Action::Answer(work, good)),
                    }
                },
            );
            let zone = zones[replica as usize % 3];
            store.put(&format!("servers/{id}"), Some(&target.entry(zone, "v1", "ready", 1000, 1)));
            targets.push(target);
        }
    }
    let services: Vec<String> = shards.iter().chain(&["page"]).map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":25,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"coldPerS\":0.0}}")).collect();
    let config = |version: u64| {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-page\",\"host\":\"shop.example\",\"prefix\":\"/page/\",\"kind\":\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"page\",\"maxAttempts\":2,\"allowedRegions\":[]}},{{\"name\":\"r-search\",\"host\":\"shop.example\",\"prefix\":\"/search/\",\"kind\":\"idempotent\",\"timeoutMs\":800,\"targetLatencyMs\":120,\"priority\":1,\"fanoutServices\":[\"s0\",\"s1\",\"s2\",\"s3\"],\"maxAttempts\":2,\"resultLimit\":20,\"minSuccessShare\":0.5,\"allowedRegions\":[]}}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            services.join(",")
        )
    };
    store.put("op/config", Some(&config(1)));
    let hosts: Vec<Host> = (0..6)
        .map(|index| {
            let zone = zones[[0, 0, 0, 1, 2, 2][index]].to_owned();
            Host::start(
                HostPlan {
                    name: format!("frontend-{index}"),
                    zone,
                    store: store.address,
                    cores,
                    config_apply_ms: 3000,
                    grace_s: "6".to_owned(),
                },
                &folder,
                true,
            )
        })
        .collect();
    let addresses: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let ends = Instant::now() + Duration::from_secs(20);
    while !hosts.iter().all(Host::is_ready) {
        assert!(Instant::now() < ends, "hosts are not ready");
        thread::sleep(Duration::from_millis(50));
    }
    let hosts = Arc::new(Mutex::new(hosts));
    let stop = Arc::new(AtomicBool::new(false));
    let findings: Arc<Mutex<Vec<String>>> = Arc::default();
    let results: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let down: Arc<Vec<AtomicU64>> = Arc::new((0..6).map(|_| AtomicU64::new(0)).collect());
    let started = Instant::now();
    let mut clients = Vec::new();
    for client in 0..48_u64 {
        let (addresses, stop, findings, results) =
            (addresses.clone(), Arc::clone(&stop), Arc::clone(&findings), Arc::clone(&results));
        clients.push(thread::spawn(move || {
            let mut rng = Random::new(seed * 1000 + client);
            let mut count = 0;
            let mut kept: Option<Connection> = None;
            let mut home = (client % 6) as usize;
            while !stop.load(SeqCst) {
                count += 1;
                let id = format!("{client:02}x{count:06}");
                let is_search = rng.below(2) == 0;
                let mut connection = match kept.take() { Some(connection) => connection, None => {
                    home = rng.below(6) as usize;
                    match Connection::open(addresses[home], Duration::from_millis(500)) { Ok(connection) => connection, Err(_) => { thread::sleep(Duration::from_millis(20)); continue } } } };
                let length = match rng.below(10) { 0 => 100_000, 1 => 250_000, _ => rng.below(300) } as usize;
                let body: Vec<u8> = (0..length).map(|index| b'a' + ((index as u64 * 7 + client + count) % 26) as u8).collect();
                let path = if is_search { format!("/search/{id}?q=a%20b&x=") } else { format!("/page/{id}/a..b?x=%2F&y=") };
                let head = format!("{} {path} HTTP/1.1\r\nHost: shop.example\r\nVanillapick-Request-Id: {id}\r\nVanillapick-Deadline-Ms: 1500\r\n", if is_search { "GET" } else { "POST" });
                let mut bytes = head.into_bytes();
                if is_search { bytes.extend(b"\r\n") }
                else if rng.below(2) == 0 { bytes.extend(format!("Content-Length: {length}\r\n\r\n").bytes()); bytes.extend(&body) }
                else { bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n"); for piece in body.chunks(7000) { bytes.extend(format!("{:x}\r\n", piece.len()).bytes()); bytes.extend(piece); bytes.extend(b"\r\n"); } bytes.extend(b"0\r\n\r\n"); }
                if !connection.write(&bytes) { results.lock().unwrap().insert(id, "write failed".into()); continue; }
                if rng.below(40) == 0 { thread::sleep(Duration::from_millis(rng.below(60))); results.lock().unwrap().insert(id, "given up".into()); continue; }
                let reply = connection.read_message(Instant::now() + Duration::from_millis(3500));
                let label = match &reply {
                    Ok(reply) => {
                        let status = reply.status();
                        if status == 200 && !is_search {
                            let stamp = reply.header("vanillapick-server-stamp").unwrap_or("").to_owned();
                            let text = String::from_utf8_lossy(&reply.body).into_owned();
                            let target = stamp.split('.').next().unwrap_or("").to_owned();
                            let mut expected = format!("{target}|{id}|POST {path} HTTP/1.1|{length}|");
                            expected.push_str(&String::from_utf8_lossy(&body[..body.len().min(64)]));
                            if !stamp.ends_with(&id) || text != expected { findings.lock().unwrap().push(format!("MIXED {id}: {stamp} {text}")); }
                        }
                        if status == 200 && is_search {
                            let stamps: Vec<&str> = reply.header("vanillapick-part-stamps").unwrap_or("").split(", ").collect();
                            let missing: usize = reply.header("vanillapick-missing-parts").unwrap_or("0").parse().unwrap_or(9);
                            let mut names: Vec<&str> = stamps.iter().map(|stamp| stamp.split('-').next().unwrap_or("")).collect();
                            names.sort_unstable(); names.dedup();
                            let mut records: Vec<Vec<u8>> = names.iter().flat_map(|name| part(name, &id).chunks(16).map(<[u8]>::to_vec).collect::<Vec<_>>()).collect();
                            records.sort(); records.reverse(); records.truncate(20);
                            if names.len() != stamps.len() || names.len() + missing != 4 || !stamps.iter().all(|stamp| stamp.ends_with(&id)) || records.concat() != reply.body {
                                findings.lock().unwrap().push(format!("MIXED {id}: {stamps:?} missing {missing} of {} bytes", reply.body.len()));
                            }
                        }
                        let closes = reply.header("connection").is_some_and(|value| value.contains("close"));
                        if !closes && rng.below(20) != 0 { kept = Some(connection); }
                        format!("{status}")
                    }
                    Err(end) => format!("{end:?}@{home}@{}", started.elapsed().as_millis()),
                };
                if reply.as_ref().is_err_and(|end| *end == ReadEnd::TimedOut) { findings.lock().unwrap().push(format!("TIMED OUT {id} at host {home} at {} ms", started.elapsed().as_millis())); }
                results.lock().unwrap().insert(id, label);
                thread::sleep(Duration::from_millis(rng.below(20)));
            }
        }));
    }
    // Restarts of hosts.
    let mut rng = Random::new(seed + 99);
    let ends = Instant::now() + Duration::from_secs(seconds);
    let mut events = Vec::new();
    while Instant::now() < ends {
        thread::sleep(Duration::from_millis(1500 + rng.below(1500)));
        let index = rng.below(6) as usize;
        let kind = rng.below(3);
        events.push(format!(
            "{} ms: host {index} {}",
            started.elapsed().as_millis(),
            ["TERM", "KILL", "STOP"][kind as usize]
        ));
        match kind {
            0 => {
                let mut hosts = hosts.lock().unwrap();
                hosts[index].signal("-TERM");
                let until = Instant::now() + Duration::from_secs(7);
                while !hosts[index].has_ended() && Instant::now() < until {
                    thread::sleep(Duration::from_millis(20));
                }
                if !hosts[index].has_ended() {
                    findings
                        .lock()
                        .unwrap()
                        .push(format!("host {index} does not end after SIGTERM"));
                    let _ = hosts[index].child.kill();
                }
                hosts[index].restart();
            }
            1 => {
                let mut hosts = hosts.lock().unwrap();
                let _ = hosts[index].child.kill();
                thread::sleep(Duration::from_millis(300));
                hosts[index].restart();
            }
            _ => {
                let hosts = hosts.lock().unwrap();
                hosts[index].signal("-STOP");
                thread::sleep(Duration::from_millis(rng.below(1500)));
                hosts[index].signal("-CONT");
            }
        }
        down[index].store(1, SeqCst);
    }
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_millis(500));
    let arrivals = arrivals.lock().unwrap();
    let results = results.lock().unwrap();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals.iter() {
        if arrival.has_run {
            *runs.entry(&arrival.id).or_default() += 1;
        }
        if arrival.line.starts_with("POST") {
            let (client, count) = arrival
                .id
                .split_once('x')
                .map(|(a, b)| (a.parse::<u64>().unwrap(), b.parse::<u64>().unwrap()))
                .unwrap();
            let is_same = arrival.body.iter().enumerate().all(|(index, byte)| {
                *byte == b'a' + ((index as u64 * 7 + client + count) % 26) as u8
            });
            if !is_same
                || arrival.line != format!("POST /page/{}/a..b?x=%2F&y= HTTP/1.1", arrival.id)
            {
                findings.lock().unwrap().push(format!("UNASKED {} {}", arrival.id, arrival.line));
            }
            if arrival.has_run && runs[arrival.id.as_str()] > 1 {
                findings.lock().unwrap().push(format!("TWICE {}", arrival.id));
            }
            let result = results.get(&arrival.id).map_or("", String::as_str);
            if arrival.has_run && ["503", "429", "408", "421"].contains(&result) {
                findings.lock().unwrap().push(format!("REFUSED {} {result}", arrival.id));
            }
        }
    }
    let mut counts: HashMap<String, usize> = HashMap::new();
    for label in results.values() {
        *counts.entry(label.split('@').next().unwrap_or("").to_owned()).or_default() += 1;
    }
    let findings = findings.lock().unwrap();
    println!(
        "requests {} {counts:?}; arrivals {}; events {}",
        results.len(),
        arrivals.len(),
        events.len()
    );
    for finding in findings.iter().take(20) {
        println!("  {finding}");
    }
    println!("findings {}", findings.len());
    let _ = std::fs::remove_dir_all(&folder);
    i32::from(!findings.is_empty())
}
