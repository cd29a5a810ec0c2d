//! The processes and stand-ins of one run, and the record of what they saw.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
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

use crate::http;
use crate::http::Message;
use crate::http::Reply;
use crate::relay::Relay;
use crate::store::Store;

/// The port on which the gateways of a site serve clients.
const CLIENT_PORT: u16 = 8227;

/// The record of a run: what was sent, answered and run.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Arc::new(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("a record to write")),
        })
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started_at).as_millis()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>6} ms  {text}\n", self.ms(Instant::now()));
        let mut file = self.file.lock().expect("the record");
        let _ = file.write_all(line.as_bytes());
    }

    /// Notes a result and shows it.
    pub fn tell(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}

/// Returns whether the run plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends a case that could not run; call it only when no process runs any more.
pub fn cannot_run(reason: &str) -> ! {
    println!("the case cannot run: {reason}");
    std::process::exit(2);
}

/// Loopback addresses of which nothing else uses the ports.
pub struct Addresses {
    base: u32,
    next: u32,
}

impl Addresses {
    pub fn new() -> Self {
        for attempt in 0..50 {
            let draw = std::process::id().wrapping_mul(2_654_435_761) >> 8;
            let base = 0x7f28_0000 | (draw.wrapping_add(attempt * 7919) & 0x3f_ff00);
            let is_free = |host: u32, port: u16| {
                TcpListener::bind((Ipv4Addr::from(base + host), port)).is_ok()
            };
            let is_whole_net_free = (1..12).all(|host| {
                [9464, CLIENT_PORT, 8220, 7340]
                    .iter()
                    .all(|port| is_free(host, *port))
            });
            if is_whole_net_free {
                return Self { base, next: 1 };
            }
        }
        cannot_run("no free loopback addresses");
    }

    pub fn next_host(&mut self) -> Ipv4Addr {
        self.next += 1;
        Ipv4Addr::from(self.base + self.next)
    }

    /// Binds a free port of an address of its own.
    pub fn listener(&mut self) -> TcpListener {
        TcpListener::bind((self.next_host(), 0)).expect("a free port")
    }
}

/// A gateway as a process of its own.
pub struct GatewayProcess {
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n";
        let answer = http::call(self.ready, head, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the count of an event, from the metrics.
    pub fn metric(&self, event: &str) -> u64 {
        let head = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n";
        let address = SocketAddr::from((self.clients.ip(), 9464));
        let Ok(answer) = http::call(address, head, b"", Duration::from_secs(1)) else {
            return 0;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let name = format!("event=\"{event}\"");
        let line = text.lines().find(|line| line.contains(&name));
        let count = line.and_then(|line| line.rsplit(' ').next());
        count.and_then(|count| count.parse().ok()).unwrap_or(0)
    }

    pub fn start(&mut self, root: &PathBuf) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let mut command = Command::new(root.join("target/release/jujubewalld"));
        command.arg("--gateway").current_dir(root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("JUJUBEWALL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(failure) => cannot_run(&format!("the gateway does not start: {failure}")),
        }
    }

    /// Sends a signal, such as `KILL`, to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args(["-s", name, &child.id().to_string()])
                .status();
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One run of a case.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// The way of the gateways to the store.
    pub store_relay: Arc<Relay>,
    pub gateways: Vec<GatewayProcess>,
    pub addresses: Addresses,
    pub root: PathBuf,
    folder: PathBuf,
    request_count: Arc<AtomicU64>,
}

impl World {
    /// Starts the store, and prepares one gateway in each of `zones`.
    pub fn new(zones: &[&str]) -> Self {
        let root = std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from);
        let mut addresses = Addresses::new();
        let store = Store::start(addresses.listener());
        let store_relay = Relay::start(addresses.listener(), store.address);
        let folder = std::env::temp_dir().join(format!("gateway-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let template = fs::read_to_string(root.join("deploy/gateway-settings.json.in"));
        let Ok(template) = template else {
            cannot_run("the template of the settings is not found");
        };
        let hosts: Vec<Ipv4Addr> = zones.iter().map(|_| addresses.next_host()).collect();
        let mut gateways = Vec::new();
        for (index, (zone, host)) in zones.iter().zip(&hosts).enumerate() {
            let name = format!("front-{zone}-{}", index + 1);
            let fields = platform_fields(&name, zone, zones, *host, &hosts, store_relay.address);
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, template.replace("{{.|json}}", &fields)).expect("settings");
            gateways.push(GatewayProcess {
                clients: SocketAddr::from((*host, CLIENT_PORT)),
                ready: SocketAddr::from((*host, 8220)),
                log: folder.join(format!("{name}.log")),
                name,
                settings,
                child: None,
            });
        }
        Self {
            record: Record::new(),
            store,
            store_relay,
            gateways,
            addresses,
            root,
            folder,
            request_count: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Starts all gateways and waits until they are ready.
    pub fn start_gateways(&mut self) {
        for gateway in &mut self.gateways {
            gateway.start(&self.root);
            self.record.note(&format!("{} is started", gateway.name));
        }
        let end = Instant::now() + Duration::from_secs(15);
        while !self.gateways.iter().all(GatewayProcess::is_ready) {
            if Instant::now() > end {
                cannot_run("the gateways do not become ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.note("all gateways are ready");
    }

    pub fn client(&self, gateway: usize) -> Client {
        Client {
            address: self.gateways[gateway].clients,
            name: self.gateways[gateway].name.clone(),
            record: Arc::clone(&self.record),
            request_count: Arc::clone(&self.request_count),
        }
    }

    /// Ends the processes and removes what they have written, unless `KEEP` is set.
    pub fn end(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

fn platform_fields(
    name: &str,
    zone: &str,
    zones: &[&str],
    host: Ipv4Addr,
    hosts: &[Ipv4Addr],
    store: SocketAddr,
) -> String {
    let zones: BTreeSet<String> = zones
        .iter()
        .map(|zone| format!("\"{zone}\":\"region\""))
        .collect();
    let zones: Vec<String> = zones.into_iter().collect();
    let seeds: Vec<String> = hosts
        .iter()
        .take(3)
        .map(|host| format!("\"{host}:8229\""))
        .collect();
    format!(
        r#"{{"node":"{name}","role":"gateway","machine_class":"front","serves":["front","control"],
"ip":"{host}","zone":"{zone}","region":"region","zones":{{{zones}}},
"listen":{{"front":"{host}:{CLIENT_PORT}","ready":"{host}:8220","control":"{host}:8229"}},
"port_range":[7340,7355],"seeds":[{seeds}],"bootstrap":true,"counts_as_loss":false,
"limits":{{"cpu_share":0.19,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,
"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,
"max_stretch_ms":5000,"strict_revoke":false,"revoke_ms":5000,"retry_budget_ratio":0.2,
"budget_window_s":10,"retry_budget_burst":200,"recovery_s":12,"pass_ms":120,"retry_after_s":0,
"stall_ms":2500,"fencing_required":false}},
"platform":{{"address":"{store}","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,
"value_bytes":1048576,"min_ttl_ms":1000}}}}"#,
        zones = zones.join(","),
        seeds = seeds.join(",")
    )
}

/// Sends requests to one gateway, each over a connection of its own.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    name: String,
    record: Arc<Record>,
    request_count: Arc<AtomicU64>,
}

impl Client {
    /// Sends a request and returns its identifier and the status of its answer; zero if the
    /// connection ended without a whole one.
    pub fn send(&self, method: &str, path: &str, deadline: Duration) -> (String, u16) {
        self.send_with_key("key-of-desk", method, path, deadline)
    }

    /// Sends an order and closes the connection after `patience`, whatever has come by then.
    pub fn send_and_leave(&self, path: &str, patience: Duration) -> String {
        let number = self.request_count.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{number:016x}");
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 4000\r\nAuthorization: Bearer key-of-desk\r\nContent-Length: 5\r\n\r\norder"
        );
        self.record
            .note(&format!("sent      {id} POST {path} to {}", self.name));
        let left = TcpStream::connect(self.address).and_then(|mut connection| {
            connection.write_all(head.as_bytes())?;
            thread::sleep(patience);
            Ok(())
        });
        let text = if left.is_ok() { "left" } else { "failed" };
        self.record.note(&format!("{text}      {id}"));
        id
    }

    /// Sends a request with an API key.
    pub fn send_with_key(
        &self,
        key: &str,
        method: &str,
        path: &str,
        deadline: Duration,
    ) -> (String, u16) {
        let number = self.request_count.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{number:016x}");
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {}\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n",
            deadline.as_millis()
        );
        self.record.note(&format!(
            "sent      {id} {method} {path} with {key} to {}",
            self.name
        ));
        let answer = http::call(
            self.address,
            &head,
            if method == "POST" { b"order" } else { b"" },
            deadline + Duration::from_secs(1),
        );
        let status = match &answer {
            Ok(answer) if answer.is_whole => answer.status(),
            _ => 0,
        };
        let retry = answer.ok().and_then(|answer| {
            let value = answer.field("retry-after")?;
            Some(format!(" retry-after={value}"))
        });
        self.record.note(&format!(
            "answered  {id} {status} by {}{}",
            self.name,
            retry.unwrap_or_default()
        ));
        (id, status)
    }
}

/// An arrival of a request at a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
}

/// How a runner answers requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// The time that a request takes.
    pub work: Duration,
    /// The time after which a request whose path holds `fatal` crashes the runner.
    pub crash_delay: Duration,
}

/// A stand-in for a runner of a plain service.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u64,
    seq: AtomicU64,
    is_running: Arc<AtomicBool>,
    is_leaving: AtomicBool,
    /// Whether the runner reaches the store.
    pub reaches_store: AtomicBool,
    behaviour: Mutex<Behaviour>,
    arrivals: Mutex<Vec<Arrival>>,
    crashed_at: Mutex<Option<Instant>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Runner {
    pub fn start(world: &mut World, id: &str, service: &str, zone: &str) -> Arc<Self> {
        let listener = world.addresses.listener();
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
            seq: AtomicU64::new(0),
            is_running: Arc::new(AtomicBool::new(true)),
            is_leaving: AtomicBool::new(false),
            reaches_store: AtomicBool::new(true),
            behaviour: Mutex::new(Behaviour {
                work: Duration::from_millis(60),
                ..Behaviour::default()
            }),
            arrivals: Mutex::new(Vec::new()),
            crashed_at: Mutex::new(None),
            record: Arc::clone(&world.record),
            store: Arc::clone(&world.store),
        });
        let served = Arc::clone(&runner);
        http::serve_while(listener, Arc::clone(&runner.is_running), move |request| {
            served.handle(request)
        });
        let beating = Arc::clone(&runner);
        thread::spawn(move || beating.beat());
        runner.record.note(&format!(
            "runner {id} of {service} starts at {}",
            runner.address
        ));
        runner
    }

    /// Writes the entry about every heartbeat interval.
    fn beat(&self) {
        while self.is_running.load(Ordering::SeqCst) && !self.is_leaving.load(Ordering::SeqCst) {
            if self.reaches_store.load(Ordering::SeqCst) {
                let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
                let value = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{seq},\
                     \"born\":{}}}",
                    self.service, self.address, self.zone, self.born
                );
                self.store.put(&format!("servers/{}", self.id), &value);
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("the behaviour") = behaviour;
    }

    /// Leaves without reporting `draining`: the entry is removed, and the runner continues to
    /// serve. Returns when the store has acknowledged the removal.
    pub fn leave_silently(&self) -> Instant {
        self.is_leaving.store(true, Ordering::SeqCst);
        let at = self.store.delete(&format!("servers/{}", self.id));
        self.record.note(&format!(
            "the entry of {} is removed; the runner leaves and serves on",
            self.id
        ));
        at
    }

    pub fn exit(&self) {
        self.is_running.store(false, Ordering::SeqCst);
        self.record.note(&format!("runner {} exits", self.id));
    }

    /// Crashes: the port is closed, and the entry lapses after three heartbeat intervals.
    fn crash(&self) {
        if !self.is_running.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.note(&format!("runner {} crashes", self.id));
        *self.crashed_at.lock().expect("the crash") = Some(Instant::now());
        let store = Arc::clone(&self.store);
        let key = format!("servers/{}", self.id);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            store.delete(&key);
        });
    }

    /// Returns when the runner crashed, if it did.
    pub fn crashed_at(&self) -> Option<Instant> {
        *self.crashed_at.lock().expect("the crash")
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("the arrivals").clone()
    }

    fn handle(&self, request: &Message) -> Reply {
        if !self.is_running.load(Ordering::SeqCst) {
            return Reply::Close;
        }
        let (method, target) = request.request_line();
        let mut fields = vec![("Instance-Id", self.id.clone())];
        fields.push(("born", self.born.to_string()));
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        if is_leaving {
            fields.push(("Server-Leaving", "1".to_owned()));
        }
        if target == "/health" {
            let status = if is_leaving { 503 } else { 200 };
            return Reply::Answer(status, fields, Vec::new());
        }
        let id = request.field("Request-Id").unwrap_or_default().to_owned();
        let expected = request.field("Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record
                .note(&format!("misdirected {id} at {}", self.id));
            return Reply::Answer(421, fields, Vec::new());
        }
        let behaviour = *self.behaviour.lock().expect("the behaviour");
        let has_run = !id.is_empty();
        let arrival = Arrival {
            id: id.clone(),
            at: Instant::now(),
        };
        self.arrivals.lock().expect("the arrivals").push(arrival);
        self.record.note(&format!(
            "{}  {id} {method} {target} at {}",
            if has_run { "runs    " } else { "refused " },
            self.id
        ));
        fields.push(("Request-Id", id));
        if !has_run {
            fields.push(("Not-Run", "1".to_owned()));
            return Reply::Answer(400, fields, Vec::new());
        }
        if target.contains("fatal") {
            thread::sleep(behaviour.crash_delay);
            self.crash();
            return Reply::Close;
        }
        thread::sleep(behaviour.work);
        if !self.is_running.load(Ordering::SeqCst) {
            return Reply::Close;
        }
        fields.push(("Response-Stamp", format!("stamp.{}", self.id)));
        if is_leaving {
            Reply::Last(200, fields, b"done".to_vec())
        } else {
            Reply::Answer(200, fields, b"done".to_vec())
        }
    }
}

/// Returns a configuration with one plain service.
pub fn plain_config(version: u64) -> String {
    config_with_keys(version, &["key-of-desk".to_owned()])
}

/// Returns a configuration with one plain service and a tenant that holds these keys.
pub fn config_with_keys(version: u64, keys: &[String]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-order","host":"desk.example","path_prefix":"/orders/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"bay-ledger","max_attempts":1,"auth_exempt":false}},
{{"name":"r-stock","host":"desk.example","path_prefix":"/stock/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"bay-ledger","max_attempts":2,"auth_exempt":false}}],
"services":[{{"name":"bay-ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"desk","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

/// Returns how often each status was answered, as text.
pub fn statuses(answers: &[(String, u16)]) -> String {
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for (_, status) in answers {
        *counts.entry(*status).or_default() += 1;
    }
    let counts: Vec<String> = counts
        .into_iter()
        .map(|(status, count)| format!("{count} x {status}"))
        .collect();
    counts.join(", ")
}
