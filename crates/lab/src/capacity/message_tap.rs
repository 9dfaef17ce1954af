//! Proxy that counts the bytes of HTTP headers and bodies between two hosts.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Maximum length of a forwarded message.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Mean sizes in bytes of the requests and responses of one path.
#[derive(Clone, Debug, Serialize)]
pub struct TappedMessage {
    /// Path of the request.
    pub path: String,
    /// Number of requests.
    pub count: usize,
    /// Bytes of the request line and headers.
    pub request_header: f64,
    /// Bytes of the content that the client sends.
    pub request_body: f64,
    /// Bytes of the status line and response headers.
    pub response_header: f64,
    /// Bytes of the content that the server returns.
    pub response_body: f64,
}

/// Bytes of request header, request body, response header and response body.
type MessageSizes = [usize; 4];

type TapRecord = Arc<Mutex<BTreeMap<String, Vec<MessageSizes>>>>;

/// Counting proxy in front of one host.
#[derive(Debug)]
pub struct MessageTap {
    address: SocketAddr,
    record: TapRecord,
    accept_task: JoinHandle<()>,
}

impl MessageTap {
    /// Starts a tap that forwards messages to `host`.
    pub async fn launch(host: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let record = TapRecord::default();
        let kept = Arc::clone(&record);
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let record = Arc::clone(&kept);
                // An error here is a closed connection, which is expected at the end of the measurement.
                tokio::spawn(async move { forward_messages(stream, host, &record).await.ok() });
            }
        });
        Ok(Self { address, record, accept_task })
    }

    /// Returns the address that the tap listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the mean sizes so far, by path.
    pub fn messages(&self) -> Vec<TappedMessage> {
        let record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = record.iter().map(|(path, sizes)| {
            let mean = |at: usize| {
                sizes.iter().map(|sizes| sizes[at]).sum::<usize>() as f64 / sizes.len() as f64
            };
            TappedMessage {
                path: path.clone(),
                count: sizes.len(),
                request_header: mean(0),
                request_body: mean(1),
                response_header: mean(2),
                response_body: mean(3),
            }
        });
        rows.collect()
    }
}

impl Drop for MessageTap {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn forward_messages(
    mut sender: TcpStream,
    host: SocketAddr,
    record: &TapRecord,
) -> io::Result<()> {
    let mut receiver = TcpStream::connect(host).await?;
    loop {
        let (request, request_header) = forward_message(&mut sender, &mut receiver).await?;
        let (response, response_header) = forward_message(&mut receiver, &mut sender).await?;
        let path = request.split(|byte| *byte == b' ').nth(1).unwrap_or_default();
        let path = String::from_utf8_lossy(path).into_owned();
        let sizes = [
            request_header,
            request.len() - request_header,
            response_header,
            response.len() - response_header,
        ];
        let mut record = record.lock().unwrap_or_else(PoisonError::into_inner);
        record.entry(path).or_default().push(sizes);
    }
}

/// Forwards one message, whose body must have a `content-length`, and returns it with the length of its header.
async fn forward_message(from: &mut TcpStream, to: &mut TcpStream) -> io::Result<(Vec<u8>, usize)> {
    let mut message = Vec::new();
    loop {
        if from.read_buf(&mut message).await? == 0 || MAX_MESSAGE_BYTES < message.len() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let end = message.windows(4).position(|window| window == b"\r\n\r\n");
        let Some(header) = end.map(|end| end + 4) else { continue };
        if header + content_length(&message[..header]) <= message.len() {
            to.write_all(&message).await?;
            return Ok((message, header));
        }
    }
}

fn content_length(header: &[u8]) -> usize {
    let text = String::from_utf8_lossy(header).to_ascii_lowercase();
    let line = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    line.and_then(|length| length.trim().parse().ok()).unwrap_or(0)
}
