//! One member with real sockets.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use eyre::Result;
use jujubewall_control::dissemination::DisseminationSettings;
use jujubewall_control::dissemination::Event;
use jujubewall_control::dissemination::Peer;
use jujubewall_control::dissemination::disseminator::Disseminator;
use jujubewall_control::dissemination::driver::Driver;
use jujubewall_control::dissemination::driver::Outgoing;
use jujubewall_control::dissemination::handle::ConfigHandle;
use jujubewall_daemon::metrics::Metrics;
use jujubewall_daemon::network::Network;
use jujubewall_daemon::network::NetworkEvent;
use jujubewall_daemon::network::tls::Identity;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_protocol::codec;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::hello::PROTOCOL_VERSION;
use jujubewall_protocol::message::Message;
use jujubewall_testutils::certificates::TestCertificates;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::member::Role;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The number of events and messages that wait inside a member.
const QUEUE_LEN: usize = 1024;

/// The messages and bytes that members have sent.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    /// Returns the number of messages.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Returns the bytes of the messages, without what QUIC adds.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn count(&self, message: &Message) {
        let len = codec::encode(message).map_or(0, |body| body.len());
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(len as u64, Ordering::Relaxed);
    }
}

/// A running member.
pub struct Member {
    /// What the member tells others about itself.
    pub peer: Peer,
    /// What readers inside the member see.
    pub handle: Arc<ConfigHandle>,
    events: mpsc::Sender<Event>,
    network: Network,
    tasks: [JoinHandle<()>; 3],
}

impl Member {
    /// Starts member number `index` in failure domain number `domain`.
    pub fn start(
        index: usize,
        domain: usize,
        certificates: &TestCertificates,
        service: Arc<dyn KeyValue>,
        traffic: Arc<Traffic>,
    ) -> Result<Self> {
        let hello = hello(index, domain)?;
        let identity = identity(&hello, certificates)?;
        let (network, received) = Network::start(hello.clone(), None, identity, Metrics::new())?;
        let peer = Peer {
            member: hello.member,
            failure_domain: hello.failure_domain,
            address: network.own_address(),
        };
        let handle = Arc::new(ConfigHandle::new());
        let (events, events_receiver) = mpsc::channel(QUEUE_LEN);
        let (outgoing, outgoing_receiver) = mpsc::channel(QUEUE_LEN);
        let settings = DisseminationSettings::default();
        let disseminator = Disseminator::new(peer.clone(), settings, index as u64, Instant::now());
        let driver = Driver::run(
            disseminator,
            service,
            handle.clone(),
            outgoing,
            events_receiver,
        );
        let tasks = [
            tokio::spawn(driver),
            tokio::spawn(send(network.clone(), outgoing_receiver, traffic)),
            tokio::spawn(receive(received, events.clone())),
        ];
        Ok(Self {
            peer,
            handle,
            events,
            network,
            tasks,
        })
    }

    /// Gives the member's disseminator an event.
    pub async fn tell(&self, event: Event) {
        drop(self.events.send(event).await);
    }

    /// Stops the member.
    pub async fn stop(self) {
        for task in self.tasks {
            task.abort();
        }
        self.network.shut_down().await;
    }
}

fn hello(index: usize, domain: usize) -> Result<Hello> {
    Ok(Hello {
        version: PROTOCOL_VERSION,
        member: MemberName::new(format!("member-{index}"))?,
        host: HostName::new(format!("host-{index}"))?,
        failure_domain: FailureDomainName::new(format!("domain-{domain}"))?,
        role: Role::Agent,
        incarnation: Incarnation(1),
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
    })
}

fn identity(hello: &Hello, certificates: &TestCertificates) -> Result<Identity> {
    let issued = certificates.issue(hello.member.as_str());
    Ok(Identity::from_pem(
        issued.certificate_pem.as_bytes(),
        issued.private_key_pem.as_bytes(),
        certificates.authority_pem().as_bytes(),
    )?)
}

async fn send(network: Network, mut outgoing: mpsc::Receiver<Outgoing>, traffic: Arc<Traffic>) {
    while let Some(Outgoing { to, message }) = outgoing.recv().await {
        let message = Message::from(message);
        traffic.count(&message);
        network.send(to, message);
    }
}

async fn receive(mut received: mpsc::Receiver<NetworkEvent>, events: mpsc::Sender<Event>) {
    while let Some(event) = received.recv().await {
        if let NetworkEvent::Received { message, .. } = event
            && let Message::Config(message) = *message
        {
            drop(events.send(Event::Message(message)).await);
        }
    }
}
