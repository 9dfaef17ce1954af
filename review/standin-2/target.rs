//! Stand-in for replicas.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::Connection;
use crate::net::Message;
use crate::net::reply;

/// What a replica does with a request.
pub enum Action {
    /// Works for this time and answers with these bytes.
    Answer(Duration, Vec<u8>),
    /// Answers and closes the connection.
    AnswerAndClose(Duration, Vec<u8>),
    /// Answers, and writes further bytes after some more time.
    AnswerThen(Duration, Vec<u8>, Duration, Vec<u8>),
    /// Closes the connection without an answer, after this time.
    Drop(Duration),
    /// Never answers.
    Mute,
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub target: String,
    pub id: String,
    pub line: String,
    pub body: Vec<u8>,
    pub has_run: bool,
}

type Script = dyn Fn(&Message) -> (bool, Action) + Send + Sync;

/// Replica on loopback.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    script: Arc<Script>,
    /// Whether the replica's process is down: its port refuses connections.
    is_down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// Interval at which a replica looks for connections and for its own state.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

impl Target {
    /// Starts a replica; the script returns whether the request runs, and what happens.
    pub fn start(
        id: &str,
        service: &str,
        arrivals: Arc<Mutex<Vec<Arrival>>>,
        script: impl Fn(&Message) -> (bool, Action) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let target = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            arrivals,
            script: Arc::new(script),
            is_down: Arc::default(),
            streams: Arc::default(),
        };
        let accepting = target.clone();
        thread::spawn(move || accepting.accept(listener));
        target
    }

    fn accept(self, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(SeqCst) {
                drop(listener.take());
                for stream in self.streams.lock().expect("no panic before").drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                listener.iter().for_each(|listener| drop(listener.set_nonblocking(true)));
                continue;
            };
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.streams.lock().expect("no panic before").push(copy);
                    }
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(Connection::new(stream)));
                }
                Err(_) => thread::sleep(ACCEPT_INTERVAL),
            }
        }
    }

    /// Ends the replica's process, or starts it again at the same address.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, SeqCst);
    }

    fn serve(self, mut connection: Connection) {
        loop {
            let until = Instant::now() + Duration::from_secs(600);
            let Ok(request) = connection.read_message(until) else { return };
            let id = request.header("vanillapick-request-id").unwrap_or("").to_owned();
            let expected = request.header("vanillapick-expect-instance");
            let is_other = expected.is_some_and(|expected| expected != self.id);
            let (has_run, action) = if is_other {
                let headers = [
                    ("Vanillapick-Request-Id", id.as_str()),
                    ("Vanillapick-Instance-Id", &self.id),
                ];
                (false, Action::Answer(Duration::ZERO, reply(421, &headers, b"")))
            } else {
                (self.script)(&request)
            };
            self.arrivals.lock().expect("no panic before").push(Arrival {
                at: Instant::now(),
                target: self.id.clone(),
                id,
                line: request.first_line.clone(),
                body: request.body.clone(),
                has_run,
            });
            match action {
                Action::Answer(time, bytes) => {
                    thread::sleep(time);
                    if !connection.write(&bytes) {
                        return;
                    }
                }
                Action::AnswerAndClose(time, bytes) => {
                    thread::sleep(time);
                    connection.write(&bytes);
                    return;
                }
                Action::AnswerThen(time, bytes, later, more) => {
                    thread::sleep(time);
                    if !connection.write(&bytes) {
                        return;
                    }
                    thread::sleep(later);
                    if !connection.write(&more) {
                        return;
                    }
                }
                Action::Drop(time) => {
                    thread::sleep(time);
                    return;
                }
                Action::Mute => {
                    let _ = connection.read_message(until);
                    return;
                }
            }
        }
    }

    /// Registration in the store.
    pub fn entry(
        &self,
        zone: &str,
        version: &str,
        state: &str,
        born: u64,
        sequence: u64,
    ) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":2,\
             \"state\":\"{state}\",\"warmupRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
            self.service, self.address
        )
    }
}

/// Success of a replica, with a signature that names it and the request.
pub fn success(request: &Message, target: &str, body: &[u8]) -> Vec<u8> {
    let id = request.header("vanillapick-request-id").unwrap_or("");
    let stamp = format!("{target}.{id}");
    reply(200, &[("Vanillapick-Request-Id", id), ("Vanillapick-Server-Stamp", &stamp)], body)
}

/// Statement of a replica that it has not run the request.
pub fn shed(request: &Message, status: u16) -> Vec<u8> {
    let id = request.header("vanillapick-request-id").unwrap_or("");
    reply(status, &[("Vanillapick-Request-Id", id), ("Vanillapick-Not-Executed", "1")], b"")
}
