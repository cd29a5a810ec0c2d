//! A runner of plain calls that answers in bytes of the test's own, which no library
//! would send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::site_store::SiteStore;

/// The bytes that are sent at once by an answer without end.
const ENDLESS_CHUNK_BYTES: usize = 64 * 1024;

/// What a raw runner answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RawAnswer {
    /// Each request gets the answer of the one before it on the connection once more, and
    /// then its own.
    CopyFirst,
    /// A head that never ends.
    EndlessHead,
    /// The start of an answer of the request, with a body that never ends.
    EndlessBody,
    /// Bytes that are no answer, without end.
    EndlessNoise,
    /// Bytes that are no answer, one now and then.
    DrippingNoise,
}

/// A running raw runner, which ends when it is dropped.
#[derive(Debug)]
pub struct RawRunner {
    /// Its address.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl RawRunner {
    /// Starts a runner of the service `ledger` and writes its entry under `id`.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn start(store: &Arc<SiteStore>, id: &str, answer: RawAnswer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    // The gateway closes a connection on which it has had enough.
                    connections.spawn(async move {
                        let _ = serve(stream, answer).await;
                    });
                }
            }
        });
        let entry = json!({
            "service": "ledger", "address": address, "zone": "hall", "version": "v1",
            "slots": 8, "cold_remaining_ms": 0, "seq": 1, "state": "ready",
            "born": 1_770_000_000_000_u64,
        });
        let key = format!("servers/{id}");
        store.put(&key, entry.to_string().as_bytes());
        Self {
            address,
            _tasks: tasks,
        }
    }
}

async fn serve(mut stream: TcpStream, answer: RawAnswer) -> std::io::Result<()> {
    let mut before: Option<Vec<u8>> = None;
    loop {
        let Some(request_id) = read_request(&mut stream).await? else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\nresponse-stamp: raw\r\n\
             keep-alive: timeout=30\r\n"
        );
        match answer {
            RawAnswer::CopyFirst => {
                if let Some(copy) = &before {
                    stream.write_all(copy).await?;
                }
                let body = format!("answer {request_id}");
                let own = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
                stream.write_all(own.as_bytes()).await?;
                before = Some(own.into_bytes());
            }
            RawAnswer::EndlessHead => {
                stream.write_all(head.as_bytes()).await?;
                endless(&mut stream, b"x-junk: junk\r\n").await?;
            }
            RawAnswer::EndlessBody => {
                stream.write_all(head.as_bytes()).await?;
                stream
                    .write_all(b"transfer-encoding: chunked\r\n\r\n")
                    .await?;
                endless(&mut stream, b"4\r\njunk\r\n").await?;
            }
            RawAnswer::EndlessNoise => endless(&mut stream, b"noise ").await?,
            RawAnswer::DrippingNoise => loop {
                stream.write_all(b"n").await?;
                sleep(Duration::from_millis(100)).await;
            },
        }
    }
}

/// Sends the same bytes until the connection is closed.
async fn endless(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let chunk = bytes.repeat(ENDLESS_CHUNK_BYTES / bytes.len());
    loop {
        stream.write_all(&chunk).await?;
    }
}

/// Reads a request with a body of known length; returns its identifier.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let field = |name: &str| {
            let lines = head.lines();
            let mut values = lines.filter_map(|line| line.strip_prefix(name));
            values.next().map(|value| value.trim().to_owned())
        };
        let length = field("content-length:").and_then(|length| length.parse::<usize>().ok());
        if body.len() >= length.unwrap_or(0) {
            return Ok(Some(field("request-id:").unwrap_or_default()));
        }
    }
}
