//! A runner of plain calls that answers in bytes of the test's own, which no library
//! would send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::scripted_upstream::entry;
use crate::site_store::SiteStore;

/// The size of the chunks of a body without end, without the lines around it.
const JUNK_CHUNK_BYTES: usize = 4 * 1024;

/// The slots of a runner that takes any number of requests.
const MANY_SLOTS: u32 = 10_000;

/// The bytes that are sent at once by an answer without end.
const ENDLESS_CHUNK_BYTES: usize = 64 * 1024;

/// The bytes that are sent at once, and the pause after them, by a body without end of a runner
/// that takes any number of requests, so that it does not take all of the processor.
const PACED_CHUNK_BYTES: usize = 8 * 1024;
const PACE: Duration = Duration::from_millis(100);

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
    /// Interim answers without end.
    EndlessInterim,
    /// The start of an answer of the request that tells of a failure, with a body that never
    /// ends.
    EndlessFailure,
    /// The start of a stream, with an event that never ends.
    EndlessEvent,
    /// A whole body, with trailers that never end.
    EndlessTrailers,
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
    /// Starts a runner of the service `ledger` with a few slots and writes its entry under `id`.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn start(store: &Arc<SiteStore>, id: &str, answer: RawAnswer) -> Self {
        Self::start_with_entry(store, id, answer, false, |address| entry("ledger", address)).await
    }

    /// Starts a runner of a service that takes any number of requests, and writes its entry
    /// under `id`.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn start_large(
        store: &Arc<SiteStore>,
        id: &str,
        service: &str,
        answer: RawAnswer,
    ) -> Self {
        Self::start_with_entry(store, id, answer, true, |address| {
            let mut entry = entry(service, address);
            entry["slots"] = json!(MANY_SLOTS);
            entry
        })
        .await
    }

    async fn start_with_entry(
        store: &Arc<SiteStore>,
        id: &str,
        answer: RawAnswer,
        is_paced: bool,
        entry: impl FnOnce(SocketAddr) -> Value,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    // The gateway closes a connection on which it has had enough.
                    connections.spawn(async move {
                        let _ = serve(stream, answer, is_paced).await;
                    });
                }
            }
        });
        let key = format!("servers/{id}");
        store.put(&key, entry(address).to_string().as_bytes());
        Self {
            address,
            _tasks: tasks,
        }
    }
}

async fn serve(mut stream: TcpStream, answer: RawAnswer, is_paced: bool) -> std::io::Result<()> {
    let pace = is_paced.then_some(PACE);
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
                endless(&mut stream, b"x-junk: junk\r\n", None).await?;
            }
            RawAnswer::EndlessBody => {
                stream.write_all(head.as_bytes()).await?;
                stream
                    .write_all(b"transfer-encoding: chunked\r\n\r\n")
                    .await?;
                endless(&mut stream, &junk_chunk(), pace).await?;
            }
            RawAnswer::EndlessInterim => {
                endless(
                    &mut stream,
                    b"HTTP/1.1 103 Early Hints\r\nx: junk\r\n\r\n",
                    None,
                )
                .await?;
            }
            RawAnswer::EndlessFailure => {
                let failure = head.replacen("200 OK", "500 Internal Server Error", 1);
                stream.write_all(failure.as_bytes()).await?;
                stream
                    .write_all(b"transfer-encoding: chunked\r\n\r\n")
                    .await?;
                endless(&mut stream, &junk_chunk(), pace).await?;
            }
            RawAnswer::EndlessEvent => {
                stream.write_all(head.as_bytes()).await?;
                stream
                    .write_all(
                        b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
                          6\r\ndata: \r\n",
                    )
                    .await?;
                endless(&mut stream, &junk_chunk(), pace).await?;
            }
            RawAnswer::EndlessTrailers => {
                stream.write_all(head.as_bytes()).await?;
                stream
                    .write_all(b"transfer-encoding: chunked\r\n\r\n4\r\njunk\r\n0\r\n")
                    .await?;
                endless(&mut stream, b"x-junk: junk\r\n", None).await?;
            }
            RawAnswer::EndlessNoise => endless(&mut stream, b"noise ", None).await?,
            RawAnswer::DrippingNoise => loop {
                stream.write_all(b"n").await?;
                sleep(Duration::from_millis(100)).await;
            },
        }
    }
}

/// Returns a chunk of a body without end.
fn junk_chunk() -> Vec<u8> {
    let junk = "junk".repeat(JUNK_CHUNK_BYTES / 4);
    format!("{JUNK_CHUNK_BYTES:x}\r\n{junk}\r\n").into_bytes()
}

/// Sends the same bytes until the connection is closed.
async fn endless(
    stream: &mut TcpStream,
    bytes: &[u8],
    pace: Option<Duration>,
) -> std::io::Result<()> {
    let chunk_bytes = pace.map_or(ENDLESS_CHUNK_BYTES, |_| PACED_CHUNK_BYTES);
    let chunk = bytes.repeat(chunk_bytes.div_ceil(bytes.len()));
    loop {
        stream.write_all(&chunk).await?;
        if let Some(pace) = pace {
            sleep(pace).await;
        }
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
