//! Members joined by a network in memory, under the paused clock.

pub mod gate;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use jujubewall_control::dissemination::DisseminationSettings;
use jujubewall_control::dissemination::Event;
use jujubewall_control::dissemination::Peer;
use jujubewall_control::dissemination::disseminator::Disseminator;
use jujubewall_control::dissemination::driver::Driver;
use jujubewall_control::dissemination::driver::Outgoing;
use jujubewall_control::dissemination::handle::ConfigHandle;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_protocol::config::ConfigMessage;
use jujubewall_testutils::key_value::FakeKeyValue;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const QUEUE_LEN: usize = 1024;
const MAX_DELAY_MS: u64 = 3;

/// What the network does, and where each member takes its events.
struct Links {
    receivers: HashMap<SocketAddr, (usize, mpsc::Sender<Event>)>,
    cut_domains: HashSet<usize>,
    lose_permille: u32,
    damage_permille: u32,
    bytes: u64,
    rng: ChaCha8Rng,
}

pub struct Node {
    pub handle: Arc<ConfigHandle>,
    pub domain: usize,
    events: mpsc::Sender<Event>,
    tasks: [JoinHandle<()>; 2],
}

pub struct Fleet {
    pub service: FakeKeyValue,
    pub nodes: Vec<Node>,
    links: Arc<Mutex<Links>>,
    peers: Vec<Peer>,
    domains: usize,
    starts: u64,
}

impl Fleet {
    pub fn new(size: usize, domains: usize, seed: u64) -> Self {
        let links = Links {
            receivers: HashMap::new(),
            cut_domains: HashSet::new(),
            lose_permille: 0,
            damage_permille: 0,
            bytes: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let mut fleet = Self {
            service: FakeKeyValue::with_seed(seed),
            nodes: Vec::new(),
            links: Arc::new(Mutex::new(links)),
            peers: (0..size)
                .map(|index| peer(index, index % domains))
                .collect(),
            domains,
            starts: seed,
        };
        for index in 0..size {
            let node = fleet.start(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Cuts a failure domain from all others, and from the service if it is told so.
    pub fn cut(&self, domain: usize) {
        self.links.lock().unwrap().cut_domains.insert(domain);
    }

    pub fn heal(&self) {
        self.links.lock().unwrap().cut_domains.clear();
    }

    pub fn set_faulty(&self, lose_permille: u32, damage_permille: u32) {
        let mut links = self.links.lock().unwrap();
        links.lose_permille = lose_permille;
        links.damage_permille = damage_permille;
    }

    pub fn bytes(&self) -> u64 {
        self.links.lock().unwrap().bytes
    }

    /// Replaces a member by a new process that knows nothing.
    pub fn replace(&mut self, index: usize) {
        for task in &self.nodes[index].tasks {
            task.abort();
        }
        self.nodes[index] = self.start(index);
    }

    pub fn send(&self, index: usize, event: Event) {
        drop(self.sender(index).try_send(event));
    }

    pub fn sender(&self, index: usize) -> mpsc::Sender<Event> {
        self.nodes[index].events.clone()
    }

    pub fn revisions(&self) -> Vec<Revision> {
        self.nodes
            .iter()
            .map(|node| node.handle.revision())
            .collect()
    }

    /// Waits until every member has `revision`; returns how long each one took.
    pub async fn settle(&self, revision: Revision, limit: Duration) -> Option<Vec<Duration>> {
        let started_at = Instant::now();
        let mut times = Vec::new();
        for node in &self.nodes {
            let mut receiver = node.handle.subscribe();
            let reached = receiver.wait_for(|applied| *applied >= revision);
            let wait = limit.saturating_sub(started_at.elapsed());
            tokio::time::timeout(wait, reached).await.ok()?.ok()?;
            times.push(started_at.elapsed());
        }
        Some(times)
    }

    fn start(&mut self, index: usize) -> Node {
        self.starts += 1;
        let own = self.peers[index].clone();
        let domain = index % self.domains;
        let address = own.address;
        let handle = Arc::new(ConfigHandle::new());
        let (events, events_receiver) = mpsc::channel(QUEUE_LEN);
        let (outgoing, outgoing_receiver) = mpsc::channel(QUEUE_LEN);
        let settings = DisseminationSettings::default();
        let disseminator = Disseminator::new(own, settings, self.starts, Instant::now());
        let service: Arc<dyn KeyValue> = Arc::new(self.service.clone());
        let run = Driver::run(
            disseminator,
            service,
            handle.clone(),
            outgoing,
            events_receiver,
        );
        let mut links = self.links.lock().unwrap();
        links.receivers.insert(address, (domain, events.clone()));
        let carry = carry(self.links.clone(), domain, outgoing_receiver);
        events.try_send(Event::Members(self.peers.clone())).unwrap();
        Node {
            handle,
            domain,
            events,
            tasks: [tokio::spawn(run), tokio::spawn(carry)],
        }
    }
}

fn peer(index: usize, domain: usize) -> Peer {
    let port = u16::try_from(index + 1).unwrap();
    Peer {
        member: MemberName::new(format!("m{index}")).unwrap(),
        failure_domain: FailureDomainName::new(format!("d{domain}")).unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

async fn carry(links: Arc<Mutex<Links>>, from: usize, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some(Outgoing { to, message }) = outgoing.recv().await {
        let Some((receiver, message, delay)) = route(&links, from, to, message) else {
            continue;
        };
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            drop(receiver.send(Event::Message(message)).await);
        });
    }
}

fn route(
    links: &Mutex<Links>,
    from: usize,
    to: SocketAddr,
    mut message: ConfigMessage,
) -> Option<(mpsc::Sender<Event>, ConfigMessage, Duration)> {
    let mut links = links.lock().unwrap();
    let (domain, receiver) = links.receivers.get(&to)?.clone();
    let is_cut = |domain| links.cut_domains.contains(&domain);
    if domain != from && (is_cut(domain) || is_cut(from)) {
        return None;
    }
    let (lose, damage) = (links.lose_permille, links.damage_permille);
    if links.rng.random_ratio(lose, 1000) {
        return None;
    }
    if links.rng.random_ratio(damage, 1000) {
        let position = links.rng.random_range(0..64 * 1024);
        damage_message(&mut message, position);
    }
    links.bytes += size_bytes(&message);
    let delay = Duration::from_millis(links.rng.random_range(0..=MAX_DELAY_MS));
    Some((receiver, message, delay))
}

fn damage_message(message: &mut ConfigMessage, position: usize) {
    let ConfigMessage::Update { head, chunks } = message else {
        return;
    };
    let target = chunks.first_mut().map_or(head, |chunk| &mut chunk.content);
    let mut bytes = target.to_vec();
    if let Some(index) = position.checked_rem(bytes.len()) {
        bytes[index] ^= 0x01;
    }
    *target = bytes.into();
}

fn size_bytes(message: &ConfigMessage) -> u64 {
    let encoded = jujubewall_protocol::codec::encode(message);
    encoded.map_or(0, |bytes| bytes.len() as u64)
}
