//! What gateways tell each other.
//!
//! Each gateway sends a small datagram to every other several times a second:
//! its work in flight, the upstreams that it suspects, and the versions that it
//! knows. Gateways learn of each other from these datagrams, starting from the
//! platform's seeds. One that the store turns away fetches the configuration and
//! the upstreams' entries from a peer that the store serves.

use std::cell::Ref;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_platform::site::settings::SiteSettings;
use jujubewall_routing::fleet::instances::ToldLayers;
use jujubewall_routing::fleet::instances::ToldSlowdown;
use jujubewall_routing::fleet::instances::ToldWork;
use jujubewall_routing::fleet::planner_watch::PlannerWatch;
use jujubewall_types::fleet::FleetConfig;
use jujubewall_types::fleet::Instance;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::followers;
use crate::gateway::planner;
use crate::gateway::probe;
use crate::gateway::state::Gateway;
use crate::gateway::state::StoreLink;

/// The path at which a peer gives the configuration.
pub const CONFIG_PATH: &str = "/peer/config";
/// The path at which a peer gives the upstreams' entries.
pub const INSTANCES_PATH: &str = "/peer/instances";

/// The shortest time between two datagrams to each peer; load changes little in it.
const MIN_TELL_INTERVAL: Duration = Duration::from_millis(100);

/// The time between datagrams for each known peer, which bounds the messages that
/// each gateway takes in to fifty a second.
const TELL_INTERVAL_PER_PEER: Duration = Duration::from_millis(20);

/// The shortest time between two datagrams even if there is news.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(5);

/// The time after which a silent peer is forgotten.
const PEER_LIFETIME: Duration = Duration::from_secs(20);

/// The time for which a peer's last message says what it knows now.
const FRESH: Duration = Duration::from_millis(1_500);

/// The peers that a datagram names at most, so that it fits into one packet.
const MAX_TOLD_PEERS: usize = 32;

/// The largest datagram.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// The time between two looks at whether a peer knows more.
const RELAY_INTERVAL: Duration = Duration::from_millis(300);

/// The time for which a gateway leaves it to the store to give a newer configuration.
const MAX_BEHIND: Duration = Duration::from_millis(600);

/// The time that a peer's answer may take.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// What a gateway tells the others.
#[derive(Deserialize, Serialize)]
struct Telling {
    member: MemberName,
    config_version: u64,
    instances_revision: Revision,
    has_store: bool,
    is_planner: bool,
    is_draining: bool,
    work: Vec<ToldWork>,
    doubts: Vec<u64>,
    layers: Vec<ToldLayers>,
    /// The slow engines, told by the planner, which asks all of them.
    slowdowns: Vec<ToldSlowdown>,
    peers: Vec<SocketAddr>,
}

/// A peer that has been heard.
#[derive(Clone, Debug)]
struct Peer {
    heard_at: Instant,
    config_version: u64,
    instances_revision: Revision,
    has_store: bool,
}

/// The known gateways.
pub struct PeerDirectory {
    own_address: SocketAddr,
    heard: RefCell<HashMap<SocketAddr, Peer>>,
    /// Addresses that were named and have not been heard yet.
    named: RefCell<HashMap<SocketAddr, Instant>>,
    planner_watch: RefCell<PlannerWatch>,
    news: Notify,
}

impl PeerDirectory {
    /// Creates a directory that knows the seeds only.
    pub fn new(settings: &SiteSettings) -> Self {
        let now = Instant::now();
        let seeds = settings.seed_peers.iter().map(|seed| (*seed, now));
        Self {
            own_address: settings.peer_address,
            heard: RefCell::new(HashMap::new()),
            named: RefCell::new(seeds.collect()),
            planner_watch: RefCell::new(PlannerWatch::new()),
            news: Notify::new(),
        }
    }

    /// Tells the others at once what has just been found.
    pub fn tell_now(&self) {
        self.news.notify_one();
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let heard = self.heard.borrow();
        let named = self.named.borrow();
        heard.keys().chain(named.keys()).copied().collect()
    }

    fn expire(&self) {
        let is_fresh = |at: &Instant| at.elapsed() < PEER_LIFETIME;
        self.heard
            .borrow_mut()
            .retain(|_, peer| is_fresh(&peer.heard_at));
        self.named.borrow_mut().retain(|_, at| is_fresh(at));
    }

    fn on_telling(&self, from: SocketAddr, telling: &Telling) {
        let mut heard = self.heard.borrow_mut();
        let mut named = self.named.borrow_mut();
        named.remove(&from);
        self.planner_watch.borrow_mut().on_told(
            &telling.member,
            telling.is_planner,
            telling.is_draining,
            Instant::now(),
        );
        let is_new = heard
            .insert(
                from,
                Peer {
                    heard_at: Instant::now(),
                    config_version: telling.config_version,
                    instances_revision: telling.instances_revision,
                    has_store: telling.has_store,
                },
            )
            .is_none();
        if is_new {
            info!("event=peer member={} address={from}", telling.member);
        }
        for peer in &telling.peers {
            if *peer != self.own_address && !heard.contains_key(peer) {
                named.entry(*peer).or_insert_with(Instant::now);
            }
        }
    }

    /// Returns a peer that knows a newer configuration.
    fn with_newer_config(&self, version: u64) -> Option<SocketAddr> {
        let heard = self.heard.borrow();
        heard
            .iter()
            .filter(|(_, peer)| peer.heard_at.elapsed() < FRESH)
            .filter(|(_, peer)| peer.config_version > version)
            .max_by_key(|(_, peer)| peer.config_version)
            .map(|(address, _)| *address)
    }

    /// Returns the number of peers that follow the store as well.
    pub fn followers_of_store(&self) -> u32 {
        let heard = self.heard.borrow();
        let followers = heard
            .values()
            .filter(|peer| peer.has_store && peer.heard_at.elapsed() < FRESH);
        u32::try_from(followers.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a peer that follows the store knows newer entries.
    pub fn know_newer_instances(&self, revision: Revision) -> bool {
        let heard = self.heard.borrow();
        heard.values().any(|peer| {
            peer.has_store && peer.heard_at.elapsed() < FRESH && peer.instances_revision > revision
        })
    }

    /// Returns what the others tell of who plans.
    pub fn planner_watch(&self) -> Ref<'_, PlannerWatch> {
        self.planner_watch.borrow()
    }

    /// Returns a peer that the store serves.
    fn with_store(&self) -> Option<SocketAddr> {
        let heard = self.heard.borrow();
        heard
            .iter()
            .filter(|(_, peer)| peer.has_store && peer.heard_at.elapsed() < FRESH)
            .max_by_key(|(_, peer)| peer.heard_at)
            .map(|(address, _)| *address)
    }
}

/// Starts to tell and to listen.
pub fn start(gateway: &Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    spawn_local(tell_loop(Rc::clone(gateway), Rc::clone(&socket)));
    spawn_local(listen_loop(Rc::clone(gateway), socket));
    spawn_local(relay_loop(Rc::clone(gateway)));
}

async fn tell_loop(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let addresses = gateway.peers.addresses();
        let count = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
        sleep(MIN_NEWS_INTERVAL).await;
        let interval = MIN_TELL_INTERVAL.max(TELL_INTERVAL_PER_PEER * count);
        // Whether there is news or the time has come, all is told.
        let _ = timeout(interval, gateway.peers.news.notified()).await;
        gateway.peers.expire();
        gateway.instances_mut().expire_peers(Instant::now());
        let datagram = match postcard::to_stdvec(&telling(&gateway)) {
            Ok(datagram) => datagram,
            Err(failure) => {
                warn!("event=telling_failed reason=\"{failure}\"");
                continue;
            }
        };
        for address in addresses {
            // A lost datagram is made up for by the next one.
            let _ = socket.try_send_to(&datagram, address);
        }
    }
}

fn telling(gateway: &Gateway) -> Telling {
    let instances = gateway.instances();
    let mut peers: Vec<SocketAddr> = gateway.peers.heard.borrow().keys().copied().collect();
    peers.truncate(MAX_TOLD_PEERS);
    let is_planner = planner::is_planner(gateway);
    Telling {
        member: gateway.settings().member.clone(),
        config_version: gateway.config_version(),
        instances_revision: gateway.instances_revision(),
        has_store: gateway.store_link() == StoreLink::Up && gateway.is_synced(),
        is_planner,
        is_draining: gateway.is_draining(),
        work: instances.told_work(),
        doubts: instances.told_doubts(Instant::now()),
        layers: instances.told_layers(),
        slowdowns: if is_planner {
            instances.told_slowdowns()
        } else {
            Vec::new()
        },
        peers,
    }
}

async fn listen_loop(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(failure) => {
                // An address that no longer listens is reported here as well.
                log::debug!("event=receive_failed reason=\"{failure}\"");
                continue;
            }
        };
        let telling: Telling = match postcard::from_bytes(&buffer[..len]) {
            Ok(telling) => telling,
            Err(failure) => {
                warn!("event=telling_unreadable from={from} reason=\"{failure}\"");
                continue;
            }
        };
        gateway.peers.on_telling(from, &telling);
        gateway.instances_mut().on_told_work(
            &telling.member,
            &telling.work,
            &telling.doubts,
            Instant::now(),
        );
        if gateway.store_link() != StoreLink::Up {
            gateway.instances_mut().on_told_layers(&telling.layers);
        }
        if telling.is_planner && !planner::is_planner(&gateway) {
            let slowdowns = &telling.slowdowns;
            gateway.instances_mut().on_told_slowdowns(slowdowns);
        }
        if !telling.doubts.is_empty() {
            probe::look_into(&gateway, &telling.doubts);
        }
    }
}

/// Fetches from peers what the store does not give.
async fn relay_loop(gateway: Rc<Gateway>) {
    let mut behind_since: Option<Instant> = None;
    loop {
        sleep(RELAY_INTERVAL).await;
        let newer = gateway.peers.with_newer_config(gateway.config_version());
        behind_since = newer.and(behind_since.or_else(|| Some(Instant::now())));
        // The store is about to give it as well, unless there is none at all yet.
        let is_due = gateway.routes().is_none()
            || behind_since.is_some_and(|since| since.elapsed() >= MAX_BEHIND);
        if is_due
            && let Some(peer) = newer
            && let Some(config) = fetch::<FleetConfig>(peer, CONFIG_PATH).await
        {
            gateway.apply_config(config, "peer");
        }
        let is_lost = gateway.store_link() != StoreLink::Up || !gateway.is_synced();
        if is_lost
            && let Some(peer) = gateway.peers.with_store()
            && let Some(instances) = fetch::<Vec<Instance>>(peer, INSTANCES_PATH).await
        {
            followers::replace_instances(&gateway, instances, "peer");
        }
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(peer: SocketAddr, path: &str) -> Option<T> {
    let (is_success, body) = timeout(RELAY_TIMEOUT, probe::get(peer, path))
        .await
        .ok()??;
    if !is_success {
        return None;
    }
    match serde_json::from_slice(&body) {
        Ok(document) => Some(document),
        Err(failure) => {
            warn!("event=peer_unreadable peer={peer} path={path} reason=\"{failure}\"");
            None
        }
    }
}

/// Returns the configuration in force for a peer.
pub fn config_document(gateway: &Gateway) -> Option<Bytes> {
    let routes = gateway.routes()?;
    serde_json::to_vec(routes.config()).ok().map(Bytes::from)
}

/// Returns the upstreams' entries for a peer, unless this gateway lost the store too.
pub fn instances_document(gateway: &Gateway) -> Option<Bytes> {
    if gateway.store_link() != StoreLink::Up || !gateway.is_synced() {
        return None;
    }
    let instances = gateway.instances();
    let entries: Vec<&Instance> = instances
        .iter()
        .map(|(_, tracked)| &tracked.instance)
        .collect();
    serde_json::to_vec(&entries).ok().map(Bytes::from)
}
