//! A store and the gateways of a small deployment before it.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::call;
use crate::http::serve;

/// The program of the deploy file, with its argument.
const PROGRAM: [&str; 2] = ["target/release/jujubewalld", "--gateway"];

/// The time for which a step of the set-up may take.
const SETUP_LIMIT: Duration = Duration::from_secs(15);

/// The configuration of the operator, with places for its version and the largest head: a route
/// for orders, one for reads, and one for streams of a model of 12 layers.
const CONFIG: &str = r#"{"version":VERSION,"routes":[
{"name":"orders","host":"desk.example","path_prefix":"/orders/","kind":"unsafe","timeout_ms":4000,
"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"auth_exempt":false},
{"name":"stock","host":"desk.example","path_prefix":"/stock/","kind":"safe","timeout_ms":4000,
"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"auth_exempt":false},
{"name":"notes","host":"desk.example","path_prefix":"/notes/","kind":"streaming",
"timeout_ms":20000,"target_latency_ms":500,"target_gap_ms":200,"priority":1,"service":"llm",
"max_attempts":2,"auth_exempt":false,"sticky":true,"stream_resume":true}],
"services":[{"name":"ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls":false},
{"name":"llm","health_path":"/health","max_conns":978,"protocol":"h1","tls":false,
"engine":{"slots":24,"kv_capacity_tokens":100000,"token_kv_bytes":8000,"link_mbps":480000.0,
"stride":2,"models":[{"name":"m","pace":1.0,"load_s":0.5,"warm_s":1.0}],"step_ms":0.85,
"per_seq_ms":0.004,"context_per_k":0.005,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,
"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":6,"stall_ms":2500,"delays":[],
"usual":{"prompt":10,"answer":40},"layers":12,"layer_mb":100.0,"activation_bytes":1000,
"pipe_mbps":11000.0,"kinds":[{"name":"card","mb":560.0,"pace":1.0,"read_x":1.0}]}}],
"limits":{"max_header_bytes":MAX_HEADER_BYTES,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"hall","api_keys":["key-1"],"priority":1}]}"#;

/// The largest head of a request, as the pages' example of a configuration has it.
pub const DEFAULT_MAX_HEADER_BYTES: usize = 16_384;

/// The start of the first runner, as it says.
const FIRST_BORN_UNIX_MS: usize = 1_770_000_000_000;

/// The items of the store, with the revisions of their last changes.
#[derive(Clone, Default)]
pub struct Items {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// The keys of removed items, with the revisions of their removals.
    removed: BTreeMap<String, u64>,
}

/// The platform's store: it serves reads, watches without leases' effects, and leases.
pub struct Store {
    items: Mutex<Items>,
    /// How often the store has come back from a copy.
    era: AtomicU64,
    is_away: AtomicBool,
}

impl Store {
    /// Starts a store with a configuration, and returns it with its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            items: Mutex::default(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
        });
        store.put_config(7, DEFAULT_MAX_HEADER_BYTES);
        let served = Arc::clone(&store);
        let address = serve(move |request| served.answer(request));
        (store, address)
    }

    /// Writes a version of the configuration, as the operator does.
    pub fn put_config(&self, version: u64, max_header_bytes: usize) {
        let config = CONFIG.replace("MAX_HEADER_BYTES", &max_header_bytes.to_string());
        self.put(
            "op/config",
            &config.replace("VERSION", &version.to_string()),
        );
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().expect("no writer has failed");
        items.revision += 1;
        let revision = items.revision;
        items.removed.remove(key);
        items
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut items = self.items.lock().expect("no writer has failed");
        items.revision += 1;
        let revision = items.revision;
        items.items.remove(key);
        items.removed.insert(key.to_owned(), revision);
    }

    /// Writes the entry of a runner of the service.
    pub fn put_runner(&self, id: &str, address: SocketAddr, index: usize) {
        let born = FIRST_BORN_UNIX_MS + index;
        let entry = format!(
            r#"{{"service":"ledger","address":"{address}","zone":"hall","version":"v1","slots":6,
"state":"ready","cold_remaining_ms":0,"seq":1,"born":{born}}}"#
        );
        self.put(&format!("servers/{id}"), &entry);
    }

    /// Returns a copy of the items.
    pub fn copy(&self) -> Items {
        self.items.lock().expect("no writer has failed").clone()
    }

    /// Makes the store turn all calls away.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
    }

    /// Lets the store serve again, from a copy of its items.
    pub fn come_back(&self, copy: Items) {
        *self.items.lock().expect("no writer has failed") = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    fn answer(&self, request: &Message) -> Message {
        let reply = self.serve(request);
        let reply = if self.is_away.load(Ordering::SeqCst) {
            Message::reply(503, "{}")
        } else {
            reply
        };
        let era = self.era.load(Ordering::SeqCst);
        reply.with("store-era", &era.to_string())
    }

    fn serve(&self, request: &Message) -> Message {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.replace("%2F", "/")))
            .collect();
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let reply = match (request.method(), path) {
            ("GET", "/v1/kv-key") => match self.item(text("key")) {
                Some(item) => Message::reply(200, &item),
                None => Message::reply(404, "{}"),
            },
            ("GET", "/v1/kv-range") => {
                let (items, revision) = self.changed(text("path_prefix"), 0);
                let body = format!(
                    r#"{{"items":[{items}],"has_more":false,"store_revision":{revision}}}"#
                );
                Message::reply(200, &body)
            }
            ("GET", "/v1/kv-watch") => {
                let after = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let (events, revision) = self.changed(text("path_prefix"), after);
                    if after > revision {
                        break Message::reply(410, "{}");
                    }
                    if self.is_away.load(Ordering::SeqCst) {
                        break Message::reply(503, "{}");
                    }
                    if !events.is_empty() || Instant::now() >= end {
                        let body =
                            format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
                        break Message::reply(200, &body);
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            }
            ("POST", "/v1/kv-lease") => Message::reply(200, r#"{"lease":1,"ttl_ms":2000}"#),
            ("POST", "/v1/kv-txn") => Message::reply(200, r#"{"revision":1}"#),
            _ => Message::reply(200, r#"{"ttl_ms":2000}"#),
        };
        reply.with("content-type", "application/json")
    }

    fn item(&self, key: &str) -> Option<String> {
        let items = self.items.lock().expect("no writer has failed");
        items.items.get(key).map(|item| item_json(key, item))
    }

    /// Returns the items under a prefix that have changed since a revision, and the revision.
    fn changed(&self, prefix: &str, after: u64) -> (String, u64) {
        let items = self.items.lock().expect("no writer has failed");
        let mut changed: Vec<String> = items
            .items
            .iter()
            .filter(|(key, (_, revision))| key.starts_with(prefix) && *revision > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        if after > 0 {
            let removed = items.removed.iter();
            let removed = removed.filter(|(key, at)| key.starts_with(prefix) && **at > after);
            changed.extend(removed.map(|(key, revision)| {
                format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#)
            }));
        }
        (changed.join(","), items.revision)
    }
}

fn item_json(key: &str, (value, revision): &(String, u64)) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            text.push(if index <= chunk.len() {
                char::from(DIGITS[digit as usize])
            } else {
                '='
            });
        }
    }
    text
}

/// A gateway, killed when it is dropped.
pub struct Gateway {
    child: Child,
    /// The address for clients.
    pub clients: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// Starts the gateway with a number from 1 on, before a store.
    pub fn start(folder: &PathBuf, number: u8, store: SocketAddr) -> Self {
        let ip = format!("127.0.7.{number}");
        let free = || {
            let listener = TcpListener::bind((ip.as_str(), 0)).expect("there is a free port");
            listener.local_addr().expect("a listener has an address")
        };
        let [clients, ready, metrics, peers] = [free(), free(), free(), free()];
        let settings = format!(
            r#"{{"metrics_port":{},"platform_settings":{{"node":"front-hall-{number}","ip":"{ip}",
"zone":"hall","listen":{{"front":"{clients}","ready":"{ready}"}},"port_range":[{},{}],"seeds":[],
"heartbeat_ms":1200,"limits":{{"memory_mb":260,"max_fds":4100}},
"bounds":{{"drain_ms":2000,"grace_s":8,"config_apply_ms":2000,"retry_budget_ratio":0.2,
"budget_window_s":10,"retry_budget_burst":200}},
"platform":{{"address":"{store}","min_ttl_ms":1000}}}}}}"#,
            metrics.port(),
            peers.port(),
            peers.port(),
        );
        let path = folder.join(format!("front-hall-{number}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = fs::File::create(folder.join(format!("front-hall-{number}.log")));
        let child = Command::new(PROGRAM[0])
            .arg(PROGRAM[1])
            .env("JUJUBEWALL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .spawn()
            .expect("the program of the deploy file is built");
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let mut pids = pids.expect("the process ids can be written");
        writeln!(pids, "{}", child.id()).expect("the process ids can be written");
        let gateway = Self {
            child,
            clients,
            ready,
        };
        let end = Instant::now() + SETUP_LIMIT;
        while !gateway.is_ready() {
            assert!(Instant::now() < end, "the gateway does not get ready");
            thread::sleep(Duration::from_millis(50));
        }
        gateway
    }

    fn is_ready(&self) -> bool {
        let request = Message {
            first_line: "GET /v1/ready HTTP/1.1".to_owned(),
            ..Message::default()
        }
        .with("host", "ready");
        call(self.ready, &request, Duration::from_secs(1))
            .is_ok_and(|reply| reply.target() == "200")
    }
}
