//! Several gateways before one store, with clients that call each of them all the while.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tempfile::TempDir;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::gateway_site::GatewayProcess;
use crate::gateway_site::GatewayStart;
use crate::gateway_site::config_with;
use crate::gateway_site::neighbour_at;
use crate::gateway_site::request;
use crate::gateway_site::wait_until;
use crate::ports::free_address;
use crate::site_runner::RunnerHandle;
use crate::site_runner::SiteRunners;
use crate::site_store::SiteStore;
use crate::site_store::StoreMood;
use crate::store_door::StoreDoor;

/// The runners of the plain service.
const RUNNERS: usize = 3;

/// The time between two requests to one gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// A repeat budget that is never used up.
const AMPLE_BURST: u32 = 1_000;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The identifier.
    pub id: String,
    /// The index of the gateway.
    pub gateway: usize,
    /// The key.
    pub key: String,
    /// When it was sent.
    pub at: Instant,
    /// The status of its answer; `None` if it got none.
    pub status: Option<u16>,
}

/// A gateway and its own way to the store.
struct Member {
    name: String,
    zone: String,
    peers: SocketAddr,
    door: StoreDoor,
    process: GatewayProcess,
}

#[derive(Default)]
struct Traffic {
    /// The address of each gateway for clients; `None` while it is stopped.
    addresses: Vec<Option<SocketAddr>>,
    key: String,
    sent: Vec<SentRequest>,
    count: usize,
}

/// A store, runners of a plain service, several gateways and their clients.
pub struct GatewayFleet {
    /// The store.
    pub store: Arc<SiteStore>,
    /// The runners.
    pub runners: Arc<SiteRunners>,
    handles: Vec<RunnerHandle>,
    members: Vec<Member>,
    program: PathBuf,
    folder: TempDir,
    traffic: Arc<Mutex<Traffic>>,
    clients: JoinSet<()>,
    version: u64,
}

impl GatewayFleet {
    /// Starts a gateway in each of the zones, and clients with one of the `keys`, and waits
    /// until all gateways serve.
    ///
    /// # Panics
    ///
    /// Panics if they do not serve in time.
    pub async fn start(program: &Path, zones: &[&str], keys: &[&str]) -> Self {
        let store = SiteStore::new();
        store.put_config(&config_with(7, keys, 8_000));
        let runners = SiteRunners::new(&store, 1);
        let mut handles = Vec::new();
        for index in 0..RUNNERS {
            let id = format!("ledger-{index}");
            handles.push(runners.start(&id, "ledger", "hall", None).await);
        }
        let mut fleet = Self {
            store,
            runners,
            handles,
            members: Vec::new(),
            program: program.to_owned(),
            folder: TempDir::new().unwrap(),
            traffic: Arc::default(),
            clients: JoinSet::new(),
            version: 7,
        };
        let first = free_address();
        for (index, zone) in zones.iter().enumerate() {
            let peers = match u8::try_from(index).unwrap() {
                0 => first,
                index => neighbour_at(first, index),
            };
            let door = StoreDoor::new(&fleet.store).await;
            let name = format!("front-{index}");
            let process = fleet.start_process(&name, zone, peers, door.address());
            fleet.members.push(Member {
                name,
                zone: (*zone).to_owned(),
                peers,
                door,
                process,
            });
        }
        for member in &fleet.members {
            wait_until("all gateways are ready", async || {
                member.process.is_ready().await
            })
            .await;
        }
        fleet.start_clients(keys[0]);
        fleet
    }

    fn start_process(
        &self,
        name: &str,
        zone: &str,
        peers: SocketAddr,
        store: SocketAddr,
    ) -> GatewayProcess {
        let mut seeds = self.members.iter().map(|member| member.peers);
        GatewayProcess::start(&GatewayStart {
            program: &self.program,
            folder: self.folder.path(),
            name,
            zone,
            store,
            peers,
            seed: seeds.find(|seed| *seed != peers),
            retry_burst: AMPLE_BURST,
        })
    }

    fn start_clients(&mut self, key: &str) {
        {
            let mut traffic = lock(&self.traffic);
            key.clone_into(&mut traffic.key);
            let addresses = self.members.iter();
            traffic.addresses = addresses
                .map(|member| Some(member.process.clients))
                .collect();
        }
        for gateway in 0..self.members.len() {
            let traffic = Arc::clone(&self.traffic);
            self.clients.spawn(async move {
                loop {
                    tokio::spawn(call(Arc::clone(&traffic), gateway));
                    sleep(REQUEST_INTERVAL).await;
                }
            });
        }
    }

    /// Returns the number of gateways.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no gateway.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the lines that a gateway has logged.
    pub fn log(&self, gateway: usize) -> String {
        self.members[gateway].process.log()
    }

    /// Returns the gateways that follow the store.
    pub fn followers(&self) -> Vec<usize> {
        let follows = |gateway: &usize| {
            let log = self.log(*gateway);
            let mut changes = log.lines().filter(|line| line.contains("follows_store"));
            changes
                .next_back()
                .is_some_and(|line| line.contains("holds=true"))
        };
        (0..self.len()).filter(follows).collect()
    }

    /// Makes all open connections of all gateways to the store go silent.
    pub fn silence_store_links(&self) {
        for member in &self.members {
            member.door.silence_open_connections();
        }
    }

    /// Lets the store treat calls of some gateways in another way than those of the others.
    pub fn turn_away(&self, gateways: &[usize], mood: StoreMood) {
        for gateway in gateways {
            self.members[*gateway].door.set_mood(mood);
        }
    }

    /// Tells gateways to stop, as planned work does. Clients no longer call them.
    pub async fn terminate(&mut self, gateways: &[usize]) {
        for gateway in gateways {
            lock(&self.traffic).addresses[*gateway] = None;
            self.members[*gateway].process.terminate().await;
        }
    }

    /// Waits until gateways that were told to stop have ended.
    pub async fn wait_ended(&mut self, gateways: &[usize]) {
        for gateway in gateways {
            self.members[*gateway].process.ended().await;
        }
    }

    /// Kills gateways at the same moment.
    pub async fn kill(&mut self, gateways: &[usize]) {
        for gateway in gateways {
            lock(&self.traffic).addresses[*gateway] = None;
            self.members[*gateway].process.kill().await;
        }
    }

    /// Starts gateways again that were killed.
    pub fn restart(&mut self, gateways: &[usize]) {
        for &gateway in gateways {
            let member = &self.members[gateway];
            let store = member.door.address();
            let process = self.start_process(&member.name, &member.zone, member.peers, store);
            lock(&self.traffic).addresses[gateway] = Some(process.clients);
            self.members[gateway].process = process;
        }
    }

    /// Writes a configuration with these keys, as the operator does.
    pub fn configure(&mut self, keys: &[&str]) {
        self.version += 3;
        let config = config_with(self.version, keys, 8_000);
        self.store.put_config(&config);
    }

    /// Lets the clients use another key.
    pub fn use_key(&self, key: &str) {
        key.clone_into(&mut lock(&self.traffic).key);
    }

    /// Removes the entry of a runner, which serves on, and starts another one. Returns when
    /// the store has acknowledged that the runner is gone.
    pub async fn replace_runner(&mut self, index: usize) -> Instant {
        self.runners.remove_entry(&format!("ledger-{index}"));
        let removed_at = Instant::now();
        let id = format!("ledger-{}", self.handles.len());
        let handle = self.runners.start(&id, "ledger", "hall", None).await;
        self.handles.push(handle);
        removed_at
    }

    /// Returns the requests so far whose answers have arrived.
    pub fn sent(&self) -> Vec<SentRequest> {
        lock(&self.traffic).sent.clone()
    }

    /// Returns the requests that began to run at a runner later than a time and were sent
    /// later than another one.
    pub fn runs_at(&self, runner: &str, after: Instant, sent_after: Instant) -> Vec<SentRequest> {
        let ran = self.runners.ran();
        let late = ran
            .iter()
            .filter(|ran| ran.runner == runner && ran.at > after);
        let sent = self.sent();
        late.filter_map(|late| sent.iter().find(|sent| sent.id == late.id))
            .filter(|sent| sent.at > sent_after)
            .cloned()
            .collect()
    }
}

async fn call(traffic: Arc<Mutex<Traffic>>, gateway: usize) {
    let (address, key, id) = {
        let mut traffic = lock(&traffic);
        let Some(address) = traffic.addresses[gateway] else {
            return;
        };
        traffic.count += 1;
        let id = format!("r-{gateway}-{}", traffic.count);
        (address, traffic.key.clone(), id)
    };
    let mut call = request("GET", "/stock/1", &id);
    let value = format!("Bearer {key}").parse().unwrap();
    call.headers_mut().insert("authorization", value);
    let at = Instant::now();
    let answer = GatewayProcess::send_to(address, call).await;
    let status = answer.ok().map(|answer| answer.status().as_u16());
    lock(&traffic).sent.push(SentRequest {
        id,
        gateway,
        key,
        at,
        status,
    });
}

fn lock(traffic: &Mutex<Traffic>) -> MutexGuard<'_, Traffic> {
    traffic.lock().unwrap_or_else(PoisonError::into_inner)
}
