//! Stand-ins for the review's cases: the platform's store, replicas, clients and a record of what they saw. They use the
//! standard library alone, and all addresses are loopback addresses.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufWriter;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Lines of `record.txt`, with the time since the start of the case.
pub struct CaseRecord {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl CaseRecord {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file =
            File::create(folder.join("record.txt")).expect("the case's folder can be written");
        Arc::new(Self { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {}\n", text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("the record can be written");
    }
}

impl CaseRecord {
    /// Writes the last line and ends the process.
    pub fn finish(&self, status: i32) -> ! {
        let result = match status {
            HELD => "the rule held",
            BROKEN => "the rule was broken",
            _ => "the case could not run",
        };
        self.line(format!("result: {result}"));
        println!("{result}");
        self.file.lock().unwrap().flush().expect("the record can be written");
        std::process::exit(status);
    }
}

/// Whether the case includes its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub first: String,
    /// Names in lowercase.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct HttpStream {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpStream {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn more(&mut self) -> Option<()> {
        let mut piece = [0; 16384];
        let read = self.stream.read(&mut piece).ok()?;
        self.buffer.extend_from_slice(&piece[..read]);
        (read > 0).then_some(())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.more()?;
        }
    }

    fn bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.more()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the head of the next message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> Option<HttpMessage> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(HttpMessage { first, headers, body: Vec::new() });
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads the next complete message; `None` if the connection ends before.
    pub fn read_message(&mut self) -> Option<HttpMessage> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Some(message);
                }
                let piece = self.bytes(size)?;
                message.body.extend(piece);
                self.bytes(2)?;
            }
        }
        let length = message.header("content-length").map_or(0, |text| text.parse().unwrap_or(0));
        message.body = self.bytes(length)?;
        Some(message)
    }

    /// Port of the other side.
    pub fn peer_port(&self) -> u16 {
        self.stream.peer_addr().map_or(0, |peer| peer.port())
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn reply(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        410 => "Gone",
        412 => "Precondition Failed",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.into_bytes(), body.to_vec()].concat()
}

pub fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports")
}

/// Free addresses on loopback, below the range from which the kernel takes the ports of outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: Mutex<u16> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    loop {
        let first = (std::process::id() % 150) as u16 * 90;
        let port = 12_000 + (first + *next) % 18_000;
        *next += 1;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        }
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            let mut table = BTreeMap::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        *at += 1;
                        table.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n".contains(byte)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

/// Text without escapes other than those of single characters, which is all that the hosts write.
fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    let mut text = Vec::new();
    *at += 1;
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                text.push(*bytes.get(*at + 1)?);
                *at += 2;
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let number = piece.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - piece.len()));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= piece.len() { DIGITS[index] as char } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut bytes = Vec::new();
    for piece in digits.chunks(4) {
        let number =
            piece.iter().fold(0, |number, digit| number << 6 | digit) << (6 * (4 - piece.len()));
        bytes.extend(&number.to_be_bytes()[1..piece.len()]);
    }
    bytes
}

// ---------------------------------------------------------------- store

struct StoreItem {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, StoreItem>,
    /// Revision, key, and value unless the key was removed.
    history: Vec<(u64, String, Option<String>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// The platform's store. Values are kept as base64 text.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let state = StoreState { revision: 100, next_lease: 7, ..StoreState::default() };
        let store = Arc::new(Self { address, state: Mutex::new(state), changed: Condvar::new() });
        let accepting = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                std::thread::spawn(move || store.serve(HttpStream::new(stream)));
            }
        });
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(200));
                expiring.end_leases();
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().write(key, Some(base64(value.as_bytes())), 0);
        self.changed.notify_all();
    }

    /// Value of a key as text; empty if there is none.
    pub fn get(&self, key: &str) -> String {
        let state = self.state.lock().unwrap();
        let value = state.items.get(key).map(|item| decode_base64(&item.value));
        String::from_utf8_lossy(&value.unwrap_or_default()).into_owned()
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().write(key, None, 0);
        self.changed.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.leases.remove(&lease);
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            keys.iter().for_each(|key| state.write(key, None, 0));
        }
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: HttpStream) {
        while let Some(call) = stream.read_message() {
            let (status, body) = self.answer(&call);
            let headers = [("Content-Type", "application/json")];
            if !stream.write(&reply(status, &headers, body.as_bytes())) {
                return;
            }
        }
    }

    fn answer(&self, call: &HttpMessage) -> (u16, String) {
        let target = call.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|entry| entry.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        match path {
            "/api/kv-range" => self.range(&text("prefix"), &text("after")),
            "/api/kv-watch" => {
                let after = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                self.watch(&text("prefix"), after, wait)
            }
            "/api/kv-txn" => self.commit(&body),
            "/api/kv-lease" => {
                let time = Duration::from_millis(body.get("ttlMs").number());
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", time.as_millis()))
            }
            _ => {
                let Some(lease) = path.strip_prefix("/api/kv-keep/") else {
                    return (404, "{}".to_owned());
                };
                let mut state = self.state.lock().unwrap();
                let known = state.leases.get_mut(&lease.parse().unwrap_or(0));
                let Some((time, ends)) = known else { return (404, "{}".to_owned()) };
                *ends = Instant::now() + *time;
                (200, format!("{{\"ttlMs\":{}}}", time.as_millis()))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let items: Vec<String> = items
            .filter(|(key, _)| key.starts_with(prefix) && after < key.as_str())
            .map(|(key, item)| item_text(key, Some(&item.value), item.revision, item.lease))
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"currentRev\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let ends = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| after < *revision && key.starts_with(prefix))
                .map(|(revision, key, value)| item_text(key, value.as_ref(), *revision, 0))
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, change: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        for row in change.get("expect").list() {
            let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if known != row.get("revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in change.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in change.get("puts").list() {
            let value = put.get("value").text().to_owned();
            state.write(put.get("key").text(), Some(value), put.get("lease").number());
        }
        for key in change.get("remove").list() {
            state.write(key.text(), None, 0);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl StoreState {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(value) => {
                let item = StoreItem { value: value.clone(), revision, lease };
                self.items.insert(key.to_owned(), item);
            }
            None => drop(self.items.remove(key)),
        }
        self.history.push((revision, key.to_owned(), value));
    }
}

fn item_text(key: &str, value: Option<&String>, revision: u64, lease: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\"lease\":{lease}}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(decoded) if *byte == b'%' => {
                bytes.push(decoded);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------- replicas

type ReplicaScript = dyn Fn(&Replica, &HttpMessage, &mut HttpStream) -> bool + Send + Sync;

/// A replica. Its script serves one request on a connection and returns whether the connection stays open.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub record: Arc<CaseRecord>,
    /// Requests that began to run: id, method and path.
    pub runs: Mutex<Vec<(String, String)>>,
    /// Requests that arrived.
    pub arrivals: Mutex<Vec<String>>,
    /// Whether the replica has ended, so that it serves nothing more.
    pub has_ended: AtomicBool,
    script: Box<ReplicaScript>,
}

impl Replica {
    pub fn start(
        id: &str,
        record: &Arc<CaseRecord>,
        script: impl Fn(&Replica, &HttpMessage, &mut HttpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = listen();
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            record: Arc::clone(record),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            has_ended: AtomicBool::new(false),
            script: Box::new(script),
        });
        let accepting = Arc::clone(&replica);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&accepting);
                std::thread::spawn(move || replica.serve(HttpStream::new(stream)));
            }
        });
        replica
    }

    fn serve(&self, mut stream: HttpStream) {
        while let Some(request) = stream.read_message() {
            if self.has_ended.load(Relaxed) {
                return;
            }
            let id = request_id(&request);
            self.arrivals.lock().unwrap().push(id.clone());
            self.record.line(format!("{}: {id} arrives: {}", self.id, request.first));
            // Any other instance than the one that the call names turns it away.
            let expected = request.header("vanillapick-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let head = [("Vanillapick-Request-Id", id.as_str())];
                if !stream.write(&reply(421, &head, b"")) {
                    return;
                }
                continue;
            }
            if !(self.script)(self, &request, &mut stream) {
                let _ = stream.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    pub fn record_run(&self, request: &HttpMessage) {
        let id = request_id(request);
        self.record.line(format!("{}: {id} begins to run", self.id));
        self.runs.lock().unwrap().push((id, request.first.clone()));
    }

    pub fn say(&self, text: &str) {
        self.record.line(format!("{}: {text}", self.id));
    }

    pub fn register(&self, store: &Store, service: &str, zone: &str) {
        self.register_version(store, service, zone, "v1");
    }

    pub fn register_version(&self, store: &Store, service: &str, zone: &str, version: &str) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":2,\
             \"state\":\"ready\",\"warmupRemainingMs\":0,\"sequence\":1,\"born\":1000}}",
            self.address
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

pub fn request_id(message: &HttpMessage) -> String {
    message.header("vanillapick-request-id").unwrap_or("-").to_owned()
}

/// A good answer to a request.
pub fn answer(replica: &Replica, request: &HttpMessage, body: &[u8]) -> Vec<u8> {
    let id = request_id(request);
    let stamp = format!("{}.{id}", replica.id);
    let headers = [
        ("Vanillapick-Request-Id", id.as_str()),
        ("Vanillapick-Server-Stamp", stamp.as_str()),
        ("Vanillapick-Server-Load", "1,0,2"),
    ];
    reply(200, &headers, body)
}

/// The refusal of a full replica.
pub fn full(request: &HttpMessage) -> Vec<u8> {
    let id = request_id(request);
    let headers = [
        ("Vanillapick-Request-Id", id.as_str()),
        ("Vanillapick-Not-Executed", "1"),
        ("Vanillapick-Server-Load", "2,12,2"),
    ];
    reply(503, &headers, b"")
}

// ---------------------------------------------------------------- configuration

pub fn single_route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":2000,\
         \"targetLatencyMs\":300,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2,\"allowedRegions\":[]}}"
    )
}

pub fn put_config(store: &Store, version: u64, routes: &[String], services: &[String]) {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":25,\"protocol\":\"h1\",\
                 \"tls\":false,\"warmupS\":3.0,\"coldPerS\":0.0}}"
            )
        })
        .collect();
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    );
    store.put("op/config", &config);
}

// ---------------------------------------------------------------- hosts

/// A host as the platform starts it: the command of the deploy file, with the settings in a file.
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

pub struct HostPlace<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Where the host sends its calls to the store: the store itself, or a proxy before it.
    pub store: SocketAddr,
    pub initial_start: bool,
}

impl<'a> HostPlace<'a> {
    /// A host of a system that starts for the first time.
    pub fn new(name: &'a str, zone: &'a str, store: SocketAddr) -> Self {
        Self { name, zone, store, initial_start: true }
    }
}

impl Host {
    /// Starts a host and waits until it has a configuration.
    pub fn start(place: &HostPlace<'_>) -> Option<Self> {
        let mut host = Self::spawn(place);
        host.wait_until_serving().then_some(host)
    }

    /// Waits until the host has a configuration; returns whether it has one in time.
    pub fn wait_until_serving(&mut self) -> bool {
        let ends = Instant::now() + Duration::from_secs(15);
        while Instant::now() < ends {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return false;
            }
            let seen = send(self.address, &Request::get("/nowhere/", "probe"));
            if matches!(seen, Outcome::Answer(answer) if answer.status() == 404) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn spawn(place: &HostPlace<'_>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("vp-review-{}-{}", std::process::id(), place.name));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let file = folder.join("node.jsonc");
        let (callers, readiness) = (free_address(), free_address());
        let (peers, parts, metrics) = (free_address(), free_address(), free_address());
        let settings = format!(
            "{{\"host\":\"{}\",\"domain\":\"{}\",\
             \"regions\":{{\"lima-a\":\"lima\",\"arequipa-a\":\"arequipa\",\"trujillo-a\":\"trujillo\"}},\
             \"callers\":\"{callers}\",\"readiness\":\"{readiness}\",\"metrics\":\"{metrics}\",\"peers\":\"{peers}\",\
             \"parts\":\"{parts}\",\"store\":\"{}\",\"initial_start\":{},\
             \"machine\":{{\"cores\":1,\"memory_mb\":260,\"descriptors\":4100}},\
             \"limits\":{{\"extra_ratio\":0.2,\"extra_slack\":52,\"extra_window_s\":10}},\
             \"change_time_ms\":3000,\"stop_grace_s\":6}}",
            place.name, place.zone, place.store, place.initial_start
        );
        std::fs::write(&file, settings).expect("the temporary folder can be written");
        let child = start_process(&folder);
        Self { name: place.name.to_owned(), address: callers, child, folder }
    }

    /// Kills the process or stops it with SIGTERM, and starts it again with the same settings.
    pub fn restart(&mut self, signal: &str) {
        self.signal(signal);
        let _ = self.child.wait();
        let file = self.folder.join("node.jsonc");
        let settings = std::fs::read_to_string(&file).unwrap_or_default();
        let settings = settings.replace("\"initial_start\":true", "\"initial_start\":false");
        std::fs::write(&file, settings).expect("the temporary folder can be written");
        self.child = start_process(&self.folder);
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
    }
}

fn start_process(folder: &Path) -> Child {
    let log = File::options().append(true).create(true).open(folder.join("log.txt"));
    let log = log.expect("the temporary folder can be written");
    Command::new("target/release/vanillapick-relay")
        .arg("run")
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("VANILLAPICK_CONFIG", folder.join("node.jsonc"))
        .stdout(Stdio::from(log))
        .stderr(Stdio::inherit())
        .spawn()
        .expect("target/release/vanillapick-relay is built")
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

// ---------------------------------------------------------------- clients

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    pub fn get(path: &'a str, id: &'a str) -> Self {
        Self { method: "GET", path, id, deadline_ms: 2000, body: b"" }
    }

    pub fn post(path: &'a str, id: &'a str, body: &'a [u8]) -> Self {
        Self { method: "POST", path, id, deadline_ms: 2000, body }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let length = if self.method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", self.body.len())
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: shop.example\r\nVanillapick-Request-Id: {}\r\nVanillapick-Deadline-Ms: {}\r\n{length}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        [head.into_bytes(), self.body.to_vec()].concat()
    }
}

pub enum Outcome {
    Answer(HttpMessage),
    /// The connection ended without a complete answer.
    Closed,
    /// Nothing came until one second after the deadline.
    Nothing,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answer(answer) => answer.status(),
            Outcome::Closed | Outcome::Nothing => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Outcome::Answer(answer) => {
                let stamp = answer.header("vanillapick-server-stamp").unwrap_or("none");
                let text = String::from_utf8_lossy(&answer.body);
                let text: String = text.chars().take(60).collect();
                format!("{} (stamp {stamp}) {:?}", answer.first, text.trim())
            }
            Outcome::Closed => "connection closed without an answer".to_owned(),
            Outcome::Nothing => "no answer".to_owned(),
        }
    }
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, request: &Request<'_>) -> Outcome {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Outcome::Closed;
    };
    exchange(&mut HttpStream::new(stream), request)
}

/// Sends a request on a connection and reads the answer.
pub fn exchange(stream: &mut HttpStream, request: &Request<'_>) -> Outcome {
    let wait = Duration::from_millis(request.deadline_ms + 1000);
    let _ = stream.stream.set_read_timeout(Some(wait));
    if !stream.write(&request.bytes()) {
        return Outcome::Closed;
    }
    let started = Instant::now();
    match stream.read_message() {
        Some(message) => Outcome::Answer(message),
        None if wait <= started.elapsed() + Duration::from_millis(20) => Outcome::Nothing,
        None => Outcome::Closed,
    }
}

/// Checks the rules TWICE and REFUSED on requests that may run once, by the status that the client of each got; returns whether
/// one is broken.
pub fn check_once(
    record: &CaseRecord,
    replicas: &[Arc<Replica>],
    answers: &BTreeMap<String, u16>,
) -> bool {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for replica in replicas {
        for (id, _) in replica.runs.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    let (mut twice, mut refused) = (0, 0);
    for (id, status) in answers {
        let runs = runs.get(id).copied().unwrap_or(0);
        if 1 < runs {
            twice += 1;
            record.line(format!("TWICE: {id} has run {runs} times; its client got {status}"));
        }
        if matches!(status, 408 | 421 | 429 | 503) && 0 < runs {
            refused += 1;
            record.line(format!("REFUSED: {id} was answered {status} and has run"));
        }
    }
    let sent = answers.len();
    record.line(format!(
        "{sent} requests: {twice} have run twice, {refused} were refused and have run"
    ));
    0 < twice + refused
}
