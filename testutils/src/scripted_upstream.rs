//! An upstream whose answers a test writes byte by byte, and a site with such upstreams only.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway_site::GatewayProcess;
use crate::gateway_site::GatewayStart;
use crate::gateway_site::LAYERS;
use crate::gateway_site::config;
use crate::gateway_site::wait_until;
use crate::http_server::ServerHandle;
use crate::ports::free_address;
use crate::site_store::SiteStore;

/// The time within which an answer ends.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(9);

/// The time in which a new gateway's budget for repeated sends grows: a second to discover
/// its peers, and the window of the budget.
const RETRY_BUDGET_TIME: Duration = Duration::from_millis(2_100);

/// A request as a scripted upstream received it.
#[derive(Clone, Debug)]
pub struct Received {
    /// The identifier of the upstream.
    pub upstream: String,
    /// The path.
    pub path: String,
    /// The request's identifier.
    pub id: String,
    /// The last event that the sender has.
    pub last_event_id: Option<u64>,
    /// The number of the connection among those of the upstream.
    pub connection: usize,
    /// The number of the request on its connection.
    pub position: usize,
}

/// What happens to a connection after an answer's bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum After {
    /// It stays open.
    Keep,
    /// It is closed in order.
    Close,
    /// It is reset after a moment, in which the bytes arrive.
    Reset,
}

/// The bytes of an answer.
#[derive(Clone, Debug)]
pub struct Written {
    /// The parts, with a pause after each.
    pub parts: Vec<(Vec<u8>, Duration)>,
    /// What happens then.
    pub after: After,
}

impl Written {
    /// Returns bytes that are sent at once.
    pub fn new(bytes: impl Into<Vec<u8>>, after: After) -> Self {
        Self {
            parts: vec![(bytes.into(), Duration::ZERO)],
            after,
        }
    }
}

/// Decides how a request is answered.
pub type Script = Arc<dyn Fn(&Received) -> Written + Send + Sync>;

/// A running scripted upstream, which ends when it is dropped.
#[derive(Debug)]
pub struct ScriptedUpstream {
    /// Its address.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    _tasks: JoinSet<()>,
}

impl ScriptedUpstream {
    /// Starts an upstream of `service` and writes its entry under `id`. An engine holds the
    /// whole model.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn start(store: &Arc<SiteStore>, id: &str, service: &str, script: Script) -> Self {
        let upstream = Self::listen(id, script, &report().to_string()).await;
        let entry = entry(service, upstream.address);
        store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
        upstream
    }

    /// Starts an upstream without an entry, which answers `report` when it is asked for its
    /// state.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn listen(id: &str, script: Script, report: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received: Arc<Mutex<Vec<Received>>> = Arc::default();
        let mut tasks = JoinSet::new();
        let server = Server {
            upstream: id.to_owned(),
            script,
            report: format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\
                 content-length: {}\r\n\r\n{report}",
                report.len()
            ),
            log: Arc::clone(&received),
        };
        let server = Arc::new(server);
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            let mut count = 0;
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let server = Arc::clone(&server);
                    let connection = count;
                    count += 1;
                    // The gateway closes connections as it likes.
                    connections.spawn(async move {
                        let _ = server.serve(stream, connection).await;
                    });
                }
            }
        });
        Self {
            address,
            received,
            _tasks: tasks,
        }
    }

    /// Forgets what it has received so far.
    pub fn forget(&self) {
        lock(&self.received).clear();
    }

    /// Returns how often a path was asked for.
    pub fn asked(&self, path: &str) -> usize {
        let received = lock(&self.received);
        received
            .iter()
            .filter(|received| received.path == path)
            .count()
    }

    /// Returns the requests with an identifier that it received.
    pub fn received(&self, id: &str) -> Vec<Received> {
        let received = lock(&self.received);
        received
            .iter()
            .filter(|received| received.id == id)
            .cloned()
            .collect()
    }
}

/// Returns the entry of a sound upstream; one of the model holds all its layers.
pub fn entry(service: &str, address: SocketAddr) -> Value {
    let mut entry = json!({
        "service": service, "address": address, "zone": "hall", "version": "v1",
        "slots": 8, "cold_remaining_ms": 0, "seq": 1, "state": "ready",
        "born": 1_770_000_000_000_u64,
    });
    if service == "llm" {
        entry["kind"] = json!("card");
        entry["layers"] = json!({"from": 0, "target": LAYERS, "version": 1});
    }
    entry
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the connections of an upstream share.
struct Server {
    upstream: String,
    script: Script,
    report: String,
    log: Arc<Mutex<Vec<Received>>>,
}

impl Server {
    async fn serve(&self, mut stream: TcpStream, connection: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        let mut position = 0;
        loop {
            let Some(mut received) = read_request(&mut stream, &mut bytes).await? else {
                return Ok(());
            };
            received.upstream.clone_from(&self.upstream);
            received.connection = connection;
            received.position = position;
            lock(&self.log).push(received.clone());
            let written = match received.path.as_str() {
                "/health" => Written::new(
                    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
                    After::Close,
                ),
                "/v1/report" | "/v1/order" => Written::new(self.report.clone(), After::Close),
                _ => {
                    position += 1;
                    (self.script)(&received)
                }
            };
            for (part, pause) in written.parts {
                stream.write_all(&part).await?;
                if !pause.is_zero() {
                    sleep(pause).await;
                }
            }
            match written.after {
                After::Keep => {}
                After::Close => return stream.shutdown().await,
                After::Reset => {
                    sleep(Duration::from_millis(50)).await;
                    return stream.set_zero_linger();
                }
            }
        }
    }
}

/// Returns the report of a sound engine that holds the whole model.
pub fn report() -> Value {
    json!({
        "stage": "both", "models": [], "busy": false, "seq": 1, "queued": 0, "running": 0,
        "born": 1_770_000_000_000_u64, "layers": {"from": 0, "target": LAYERS, "version": 1},
        "stalled": [],
    })
}

/// Reads a request with a body of known length.
async fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> std::io::Result<Option<Received>> {
    loop {
        if let Some(end) = find(bytes, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let field = |name: &str| {
                head.lines().find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name)
                        .then(|| value.trim().to_owned())
                })
            };
            let length = field("content-length").and_then(|length| length.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if bytes.len() >= whole {
                bytes.drain(..whole);
                let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
                return Ok(Some(Received {
                    upstream: String::new(),
                    path,
                    id: field("request-id").unwrap_or_default(),
                    last_event_id: field("last-event-id").and_then(|id| id.parse().ok()),
                    connection: 0,
                    position: 0,
                }));
            }
        }
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
    }
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// A store, a gateway, and no upstreams but those that a test starts.
pub struct ScriptedSite {
    /// The store.
    pub store: Arc<SiteStore>,
    /// The gateway.
    pub gateway: GatewayProcess,
    /// The folder for settings and logs.
    pub folder: TempDir,
    store_server: ServerHandle,
}

impl ScriptedSite {
    /// Starts a site in which an engine has memory for the whole model. `change` changes the
    /// configuration.
    ///
    /// # Panics
    ///
    /// Panics if the gateway is not ready in time.
    pub async fn start(program: &Path, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_changed(program, change, |_| {}).await
    }

    /// Starts a site like [`Self::start`]. `change_settings` changes the platform settings of
    /// the gateway.
    ///
    /// # Panics
    ///
    /// Panics if the gateway is not ready in time.
    pub async fn start_changed(
        program: &Path,
        change: impl FnOnce(&mut Value),
        change_settings: impl FnOnce(&mut Value),
    ) -> Self {
        let store = SiteStore::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store_server = store.serve(listener);
        let mut config = config(7);
        config["services"][0]["engine"]["kinds"][0]["mb"] = json!(2_000.0);
        change(&mut config);
        store.put_config(&config);
        let folder = TempDir::new().unwrap();
        let start = GatewayStart {
            program,
            folder: folder.path(),
            name: "front-1",
            zone: "hall",
            store: store_server.address(),
            peers: free_address(),
            seed: None,
            retry_burst: 200,
        };
        let gateway = GatewayProcess::start_changed(&start, change_settings);
        wait_until("the gateway is ready", async || gateway.is_ready().await).await;
        Self {
            store,
            gateway,
            folder,
            store_server,
        }
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_server.address()
    }

    /// Waits until the gateway, which begins with no budget for repeated sends, has one.
    pub async fn wait_for_retry_budget(&self) {
        sleep(RETRY_BUDGET_TIME).await;
    }

    /// Starts an upstream, and waits until the gateway knows it.
    ///
    /// # Panics
    ///
    /// Panics if the gateway does not know it in time.
    pub async fn upstream(&self, id: &str, service: &str, script: Script) -> ScriptedUpstream {
        let upstream = ScriptedUpstream::start(&self.store, id, service, script).await;
        wait_until("the upstream is known", async || {
            self.gateway
                .log()
                .contains(&format!("event=upstream id={id} "))
        })
        .await;
        upstream
    }

    /// Sends a request over a new connection and reads all bytes of the answer.
    ///
    /// # Panics
    ///
    /// Panics if no answer ends in time.
    pub async fn raw_answer(&self, method: &str, path: &str, id: &str) -> RawReply {
        self.raw_answer_in(method, path, id, "HTTP/1.1").await
    }

    /// Sends a request of a version of HTTP and reads all bytes of the answer.
    ///
    /// # Panics
    ///
    /// Panics if no answer ends in time.
    pub async fn raw_answer_in(
        &self,
        method: &str,
        path: &str,
        id: &str,
        version: &str,
    ) -> RawReply {
        let mut client = TcpStream::connect(self.gateway.clients).await.unwrap();
        let request = format!(
            "{method} {path} {version}\r\nhost: desk.example\r\nauthorization: Bearer key-1\r\n\
             request-id: {id}\r\ndeadline-ms: 6000\r\ntoken-counts: 10,40\r\n\
             connection: close\r\ncontent-length: 4\r\n\r\nbody"
        );
        client.write_all(request.as_bytes()).await.unwrap();
        RawReply::read(&mut client).await
    }
}

/// An answer as a client finds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawReply {
    /// The status, zero without one.
    pub status: u16,
    /// The head.
    pub head: String,
    /// The body as far as it came, without the lines around chunks.
    pub body: String,
    /// Whether a client takes the answer as complete.
    pub is_complete: bool,
}

impl RawReply {
    /// Reads all bytes of an answer, until its connection ends.
    ///
    /// # Panics
    ///
    /// Panics if it does not end in time.
    pub async fn read(client: &mut TcpStream) -> Self {
        let mut bytes = Vec::new();
        let mut is_reset = false;
        let read = async {
            loop {
                match client.read_buf(&mut bytes).await {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(_) => {
                        is_reset = true;
                        return;
                    }
                }
            }
        };
        timeout(ANSWER_TIMEOUT, read)
            .await
            .expect("the answer ends");
        Self::new(&bytes, is_reset)
    }

    fn new(bytes: &[u8], is_reset: bool) -> Self {
        let split = find(bytes, b"\r\n\r\n").unwrap_or(bytes.len());
        let head = String::from_utf8_lossy(&bytes[..split]).to_ascii_lowercase();
        let rest = bytes.get(split + 4..).unwrap_or_default();
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"))
            .and_then(|length| length.trim().parse::<usize>().ok());
        let (body, is_complete) = if head.contains("transfer-encoding: chunked") {
            dechunk(rest)
        } else {
            let is_whole = length.map_or(!is_reset, |length| rest.len() == length);
            (rest.to_vec(), is_whole)
        };
        Self {
            status: status.unwrap_or(0),
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_complete,
        }
    }
}

/// Joins the chunks of a body; returns whether the last one was there.
fn dechunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = find(bytes, b"\r\n") {
        let size = std::str::from_utf8(&bytes[..end]).unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let rest = &bytes[end + 2..];
        let known = size.min(rest.len());
        body.extend_from_slice(&rest[..known]);
        bytes = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
