//! Gateways as processes of their own, before stand-ins of the users' platform.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use jujubewall_http_client::CallDeadlines;
use jujubewall_http_client::HttpCallError;
use jujubewall_http_client::HttpClient;
use jujubewall_types::layer::LayerRange;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::http_server::ServerHandle;
use crate::ports::free_address;
use crate::program;
use crate::site_runner::RunnerHandle;
use crate::site_runner::SiteRunners;
use crate::site_store::SiteStore;

/// The events of each stream.
pub const EVENTS: u64 = 20;

/// The engines of each zone, of which two can hold the model.
pub const ENGINES_PER_ZONE: u32 = 3;

/// The runners of the plain service.
pub const LEDGERS: u32 = 2;

/// The layers of the model.
pub const LAYERS: u32 = 8;

/// The tokens of each part of a prompt.
const PART_TOKENS: usize = 5;

/// The time within which a process reaches a state.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// The time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a gateway is started.
#[derive(Clone, Debug)]
pub struct GatewayStart<'a> {
    /// The program.
    pub program: &'a Path,
    /// The folder for its settings and its log.
    pub folder: &'a Path,
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub zone: &'a str,
    /// The address of the store.
    pub store: SocketAddr,
    /// The address at which it listens for peers.
    pub peers: SocketAddr,
    /// A peer that it knows.
    pub seed: Option<SocketAddr>,
    /// The repeated sends that are allowed beside a fifth of the requests.
    pub retry_burst: u32,
}

/// A gateway that is killed when it is dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    /// The address for clients.
    pub clients: SocketAddr,
    /// The address at which it says whether it takes connections.
    pub ready: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    log: PathBuf,
}

impl GatewayProcess {
    /// Starts a gateway.
    ///
    /// # Panics
    ///
    /// Panics if its files cannot be written or the program does not start.
    pub fn start(start: &GatewayStart<'_>) -> Self {
        Self::start_changed(start, |_| {})
    }

    /// Starts a gateway whose platform settings `change` changes.
    ///
    /// # Panics
    ///
    /// Panics if its files cannot be written or the program does not start.
    pub fn start_changed(start: &GatewayStart<'_>, change: impl FnOnce(&mut Value)) -> Self {
        let GatewayStart {
            program,
            folder,
            name,
            zone,
            store,
            peers,
            seed,
            retry_burst,
        } = *start;
        let [clients, ready, metrics] = [(); 3].map(|()| free_address());
        let mut document = json!({
            "metrics_port": metrics.port(),
            "platform_settings": {
                "node": name,
                "ip": peers.ip(),
                "zone": zone,
                "listen": {"front": clients, "ready": ready},
                "port_range": [peers.port(), peers.port()],
                "seeds": seed.into_iter().collect::<Vec<_>>(),
                "limits": {"max_fds": 4100},
                "bounds": {
                    "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
                    "retry_budget_ratio": 0.2, "budget_window_s": 1, "retry_budget_burst": retry_burst
                },
                "platform": {"address": store, "min_ttl_ms": 1000}
            }
        });
        change(&mut document["platform_settings"]);
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, document.to_string()).unwrap();
        let log = folder.join(format!("{name}.log"));
        let mut command = Command::new(program);
        command
            .arg("--gateway")
            .env("JUJUBEWALL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(append(&log))
            .kill_on_drop(true);
        let child = program::spawn(&mut command).unwrap();
        Self {
            child,
            clients,
            ready,
            peers,
            log,
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpCallError> {
        Self::send_to(self.clients, request).await
    }

    /// Sends a request to the gateway at an address and reads the whole answer.
    pub async fn send_to(
        clients: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, HttpCallError> {
        client(clients).call(request).await
    }

    /// Returns the lines that the process has logged.
    ///
    /// # Panics
    ///
    /// Panics if the log cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Returns whether the process says that it takes connections.
    ///
    /// # Panics
    ///
    /// Never, as the request is valid.
    pub async fn is_ready(&self) -> bool {
        let request = Request::get("/v1/ready").body(Bytes::new()).unwrap();
        let answer = client(self.ready).call(request).await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns how often the process has counted an event in its metrics.
    ///
    /// # Panics
    ///
    /// Panics if the metrics cannot be read.
    pub async fn event_count(&self, event: &str) -> u64 {
        let request = Request::get("/metrics").body(Bytes::new()).unwrap();
        let answer = client(self.ready).call(request).await.unwrap();
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let name = format!("jujubewall_gateway_events_total{{event=\"{event}\"}}");
        let mut lines = text.lines();
        let count = lines.find_map(|line| line.strip_prefix(&name));
        count.map_or(0, |count| count.trim().parse().unwrap())
    }

    /// Returns how many file descriptors the process has open.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn open_descriptors(&self) -> usize {
        program::open_descriptors(self.child.id().expect("the process runs"))
    }

    /// Returns the most memory that the process has used so far, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn peak_memory_bytes(&self) -> u64 {
        program::peak_memory_bytes(self.child.id().expect("the process runs"))
    }

    /// Sends the termination signal.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub async fn terminate(&self) {
        self.signal("-TERM").await;
    }

    /// Stops the process until it is resumed.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub async fn pause(&self) {
        self.signal("-STOP").await;
    }

    /// Resumes a process that was paused.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub async fn resume(&self) {
        self.signal("-CONT").await;
    }

    async fn signal(&self, signal: &str) {
        let id = self.child.id().expect("the process runs").to_string();
        let mut kill = program::spawn(Command::new("kill").args([signal, &id])).unwrap();
        assert!(kill.wait().await.unwrap().success());
    }

    /// Kills the process.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be killed.
    pub async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics if it does not end in time.
    pub async fn ended(&mut self) -> ExitStatus {
        timeout(STATE_TIMEOUT, self.child.wait())
            .await
            .unwrap()
            .unwrap()
    }
}

fn append(path: &Path) -> std::fs::File {
    let mut options = std::fs::OpenOptions::new();
    options.create(true).append(true).open(path).unwrap()
}

/// A store, runners of one model and of one plain service, and a gateway.
pub struct Site {
    /// The store.
    pub store: Arc<SiteStore>,
    store_server: ServerHandle,
    /// The runners.
    pub runners: Arc<SiteRunners>,
    /// The running engines of the model.
    pub engines: Vec<RunnerHandle>,
    ledgers: Vec<RunnerHandle>,
    /// The first gateway.
    pub gateway: GatewayProcess,
    /// The folder for settings and logs.
    pub folder: TempDir,
}

impl Site {
    /// Starts a site with two copies of the model, and waits until it serves.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start(program: &Path, retry_burst: u32) -> Self {
        Self::start_with_engines(program, retry_burst, ENGINES_PER_ZONE).await
    }

    /// Starts a site with so many engines in each zone, and waits until it serves.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start_with_engines(
        program: &Path,
        retry_burst: u32,
        engines_per_zone: u32,
    ) -> Self {
        Self::start_with_runners(program, retry_burst, engines_per_zone, LEDGERS).await
    }

    /// Starts a site with so many engines in each zone and so many runners of the plain
    /// service, and waits until it serves.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start_with_runners(
        program: &Path,
        retry_burst: u32,
        engines_per_zone: u32,
        ledger_count: u32,
    ) -> Self {
        let store = SiteStore::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store_server = store.serve(listener);
        store.put_config(&config(7));
        let runners = SiteRunners::new(&store, EVENTS);
        let mut engines = Vec::new();
        for zone in ["hall", "apron"] {
            for index in 0..engines_per_zone {
                let id = format!("{zone}-{index}");
                engines.push(runners.start(&id, "llm", zone, Some("card")).await);
            }
        }
        let mut ledgers = Vec::new();
        for index in 0..ledger_count {
            let id = format!("ledger-{index}");
            ledgers.push(runners.start(&id, "ledger", "hall", None).await);
        }
        let folder = TempDir::new().unwrap();
        let address = store_server.address();
        let peers = free_address();
        let gateway = GatewayProcess::start(&GatewayStart {
            program,
            folder: folder.path(),
            name: "front-1",
            zone: "hall",
            store: address,
            peers,
            seed: None,
            retry_burst,
        });
        let site = Self {
            store,
            store_server,
            runners,
            engines,
            ledgers,
            gateway,
            folder,
        };
        site.wait_until_served().await;
        site
    }

    async fn wait_until_served(&self) {
        wait_until("the gateway is ready", async || {
            self.gateway.is_ready().await
        })
        .await;
        wait_until("two copies are placed", async || {
            self.runners.held_layers() >= 2 * LAYERS
        })
        .await;
        wait_until("every engine holds layers", async || {
            let mut ids = self.engines.iter().map(RunnerHandle::id);
            ids.all(|id| self.runners.layers_of(id).is_some())
        })
        .await;
        wait_until("a stream is served", async || {
            let answer = self.send(stream_request("warm-up")).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    }

    /// Sends a request to the gateway and reads the whole answer.
    pub async fn send(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpCallError> {
        self.gateway.send(request).await
    }

    /// Starts another gateway, which knows the first one unless it replaces it.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start_another(
        &self,
        program: &Path,
        name: &str,
        peers: SocketAddr,
        retry_burst: u32,
    ) -> GatewayProcess {
        GatewayProcess::start(&GatewayStart {
            program,
            folder: self.folder.path(),
            name,
            zone: "hall",
            store: self.store_address(),
            peers,
            seed: (peers != self.gateway.peers).then_some(self.gateway.peers),
            retry_burst,
        })
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_server.address()
    }

    /// Ends one engine in each zone that alone holds some layer there, so that every path
    /// contains a lost engine and the zone lacks layers until they are placed anew.
    ///
    /// # Panics
    ///
    /// Panics if others hold all layers of each.
    pub fn end_sole_holders(&mut self) {
        let zone_of = |id: &str| id.split('-').next().unwrap_or_default().to_owned();
        for zone in ["hall", "apron"] {
            let held: Vec<(String, LayerRange)> = self
                .engine_ids()
                .into_iter()
                .filter(|id| zone_of(id) == zone)
                .filter_map(|id| Some((id.clone(), self.runners.layers_of(&id)?)))
                .collect();
            let is_sole_holder = |id: &str, layers: LayerRange| {
                (layers.first..layers.end).any(|layer| {
                    let mut others = held.iter().filter(|(other, _)| other != id);
                    others.all(|(_, layers)| !layers.contains(layer))
                })
            };
            let sole = held.iter().find(|(id, layers)| is_sole_holder(id, *layers));
            let (lost, _) = sole.expect("some engine holds layers alone");
            self.engines.retain(|engine| engine.id() != lost);
        }
    }

    /// Waits until all runners run again and all engines hold layers.
    ///
    /// # Panics
    ///
    /// Panics if they do not in time.
    pub async fn wait_until_repaired(&self) {
        wait_until("all engines hold layers again", async || {
            let running = self.runners.running("llm");
            let mut running = running.iter();
            running.len() == self.engines.len()
                && running.all(|id| self.runners.layers_of(id).is_some())
                && self.runners.running("ledger").len() == self.ledgers.len()
        })
        .await;
    }

    /// Returns the identifiers of the engines.
    pub fn engine_ids(&self) -> Vec<String> {
        self.engines
            .iter()
            .map(|engine| engine.id().to_owned())
            .collect()
    }

    /// Returns the runners on which a request ran.
    pub fn ran(&self, id: &str) -> Vec<String> {
        let ran = self.runners.ran();
        let ran = ran.into_iter().filter(|ran| ran.id == id);
        ran.map(|ran| ran.runner).collect()
    }
}

fn client(address: SocketAddr) -> HttpClient {
    let deadlines = CallDeadlines::new(Duration::from_secs(1), Duration::from_secs(10));
    HttpClient::new(address, deadlines)
}

/// Returns an address for the peers of another gateway.
///
/// Peers listen on the same port, each on a host of its own.
///
/// # Panics
///
/// Panics if the address is not IPv4.
pub fn neighbour(peers: SocketAddr) -> SocketAddr {
    neighbour_at(peers, 1)
}

/// Returns an address for the peers of another gateway, the `index`-th one from 1 on.
///
/// # Panics
///
/// Panics if the address is not IPv4.
pub fn neighbour_at(peers: SocketAddr, index: u8) -> SocketAddr {
    let IpAddr::V4(ip) = peers.ip() else {
        panic!("hosts of tests have IPv4 addresses");
    };
    let [_, b, c, d] = ip.octets();
    let host = [127, b ^ 0x80, c ^ (index - 1), d];
    SocketAddr::from((host, peers.port()))
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold in time.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + STATE_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < end, "waited in vain until {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns a configuration as the operator writes it.
pub fn config(version: u64) -> Value {
    config_with(version, &["key-1", "key-2"], 8_000)
}

/// Returns a configuration with the keys of its account and the time for which a stream
/// may take, in milliseconds.
pub fn config_with(version: u64, keys: &[&str], stream_timeout_ms: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "notes", "host": "desk.example", "path_prefix": "/notes/",
             "kind": "streaming", "timeout_ms": stream_timeout_ms, "target_latency_ms": 500, "priority": 1,
             "service": "llm", "max_attempts": 2, "stream_resume": true, "target_gap_ms": 200},
            {"name": "orders", "host": "desk.example", "path_prefix": "/orders/",
             "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
             "service": "ledger", "max_attempts": 1},
            {"name": "stock", "host": "desk.example", "path_prefix": "/stock/",
             "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
             "service": "ledger", "max_attempts": 2}
        ],
        "services": [
            {"name": "llm", "health_path": "/health", "max_conns": 100,
             "engine": {
                "slots": 8, "token_kv_bytes": 8000, "step_ms": 1.0, "read_per_s": 100_000.0,
                "models": [{"name": "m", "load_s": 0.1}], "loads_at_once": 6, "stall_ms": 2500,
                "usual": {"prompt": 10, "answer": 40}, "layers": LAYERS, "layer_mb": 100.0,
                "activation_bytes": 1000, "pipe_mbps": 1000,
                "kinds": [{"name": "card", "mb": 600.0, "pace": 1.0, "read_x": 1.0}]}},
            {"name": "ledger", "health_path": "/health", "max_conns": 100}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hall", "api_keys": keys, "priority": 1}]
    })
}

/// Builds a request for `path` with the key of a client account.
///
/// # Panics
///
/// Panics if the path is not valid.
pub fn request(method: &str, path: &str, id: &str) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "desk.example")
        .header("authorization", "Bearer key-1")
        .header("request-id", id)
        .header("deadline-ms", "6000")
        .body(Bytes::from_static(b"body"))
        .unwrap()
}

/// Builds a request that is answered by a stream.
///
/// # Panics
///
/// Panics if the identifier is not valid.
pub fn stream_request(id: &str) -> Request<Bytes> {
    let mut request = request("POST", "/notes/1", id);
    let counts = "10,40".parse().unwrap();
    request.headers_mut().insert("token-counts", counts);
    request
}

/// Builds a request that is answered by a stream and whose prompt has these parts.
///
/// # Panics
///
/// Panics if an identifier is not valid.
pub fn stream_request_with_prompt(id: &str, parts: &[&str]) -> Request<Bytes> {
    with_prompt(stream_request(id), parts)
}

/// Sets the parts of the prompt of a request that is answered by a stream.
///
/// # Panics
///
/// Panics if an identifier is not valid.
pub fn with_prompt(mut request: Request<Bytes>, parts: &[&str]) -> Request<Bytes> {
    let entries: Vec<String> = parts
        .iter()
        .map(|part| format!("{part}:{PART_TOKENS}"))
        .collect();
    let tokens = PART_TOKENS * parts.len();
    let fields = request.headers_mut();
    fields.insert("prompt-prefix", entries.join(",").parse().unwrap());
    fields.insert("token-counts", format!("{tokens},40").parse().unwrap());
    request
}

/// Returns whether an answer names its request and the runner that gave it.
pub fn is_own_answer(answer: &Response<Bytes>, id: &str) -> bool {
    let fields = answer.headers();
    fields.get("request-id").is_some_and(|value| value == id)
        && fields.contains_key("response-stamp")
}

/// Returns the events of a whole stream.
pub fn all_events() -> String {
    let events: Vec<String> = (0..EVENTS)
        .map(|id| format!("id: {id}\ndata: word\n\n"))
        .collect();
    events.concat()
}
