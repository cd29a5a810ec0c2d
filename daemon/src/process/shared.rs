//! The parts that every role has: network, configuration and membership.

use std::path::Path;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::WrapErr as _;
use jujubewall_control::dissemination::DisseminationSettings;
use jujubewall_control::dissemination::Event;
use jujubewall_control::dissemination::Peer;
use jujubewall_control::dissemination::disseminator::Disseminator;
use jujubewall_control::dissemination::driver::Driver;
use jujubewall_control::dissemination::driver::Outgoing;
use jujubewall_control::dissemination::handle::ConfigHandle;
use jujubewall_platform::http_host_list::HttpHostList;
use jujubewall_platform::http_key_value::HttpKeyValue;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::hello::PROTOCOL_VERSION;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use kameo::actor::ActorRef;
use kameo::actor::Spawn as _;
use kameo::mailbox;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::membership::Members;
use crate::membership::actor::MembershipActor;
use crate::membership::actor::MembershipArgs;
use crate::membership::actor::MembershipEvent;
use crate::metrics::Metrics;
use crate::network::Network;
use crate::network::NetworkEvent;
use crate::network::tls::Identity;
use crate::process::MAILBOX_LEN;
use crate::settings::Settings;

/// The number of events that wait for the dissemination or the members' reader.
const EVENT_QUEUE_LEN: usize = 256;

/// The parts that every role has.
#[derive(Clone)]
pub struct Shared {
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The incarnation with which the process started.
    pub incarnation: Incarnation,
    /// The network.
    pub network: Network,
    /// The key-value service.
    pub service: Arc<dyn KeyValue>,
    /// The configuration in force.
    pub configuration: Arc<ConfigHandle>,
    /// Where events for the dissemination go.
    pub dissemination: mpsc::Sender<Event>,
    /// The members as of their last change.
    pub members: Members,
    /// The actor that knows the members.
    pub membership: ActorRef<MembershipActor>,
}

/// The events that the shared parts give to the role.
pub struct SharedEvents {
    /// The events of the network.
    pub network: mpsc::Receiver<NetworkEvent>,
    /// The events of membership.
    pub members: mpsc::Receiver<MembershipEvent>,
}

impl Shared {
    /// Starts the parts that every role has.
    pub fn start(settings: &Settings) -> eyre::Result<(Self, SharedEvents)> {
        let metrics = Metrics::new();
        let hello = hello(settings);
        let identity = read_identity(settings)?;
        let (network, network_events) = Network::start(
            hello.clone(),
            settings.peer_bind_address,
            identity,
            Arc::clone(&metrics),
        )?;
        let service: Arc<dyn KeyValue> =
            Arc::new(HttpKeyValue::new(settings.platform.key_value_address));
        let configuration = Arc::new(ConfigHandle::new());
        let dissemination = start_dissemination(&hello, &network, &service, &configuration);
        let (member_events, members_receiver) = mpsc::channel(EVENT_QUEUE_LEN);
        let members = Members::default();
        let args = MembershipArgs {
            own: own_record(&hello),
            seed_peers: other_seeds(settings),
            network: network.clone(),
            host_list: Arc::new(HttpHostList::new(settings.platform.host_list_address)),
            members: members.clone(),
            metrics: Arc::clone(&metrics),
            dissemination: dissemination.clone(),
            events: member_events,
        };
        let membership = MembershipActor::spawn_with_mailbox(args, mailbox::bounded(MAILBOX_LEN));
        let shared = Self {
            metrics,
            incarnation: hello.incarnation,
            network,
            service,
            configuration,
            dissemination,
            members,
            membership,
        };
        let events = SharedEvents {
            network: network_events,
            members: members_receiver,
        };
        Ok((shared, events))
    }
}

/// Reads the TLS identity from the files that the settings name.
pub fn read_identity(settings: &Settings) -> eyre::Result<Identity> {
    let read = |path: &Path| {
        std::fs::read(path).wrap_err_with(|| format!("{} cannot be read", path.display()))
    };
    let certificate = read(&settings.tls.certificate_path)?;
    let key = read(&settings.tls.key_path)?;
    let authority = read(&settings.tls.authority_path)?;
    Ok(Identity::from_pem(&certificate, &key, &authority)?)
}

fn hello(settings: &Settings) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        member: settings.member.clone(),
        host: settings.host.clone(),
        failure_domain: settings.failure_domain.clone(),
        role: settings.role,
        incarnation: Incarnation(unix_ms()),
        peer_address: settings.peer_address,
    }
}

fn own_record(hello: &Hello) -> MemberRecord {
    MemberRecord {
        member: hello.member.clone(),
        host: hello.host.clone(),
        failure_domain: hello.failure_domain.clone(),
        role: hello.role,
        peer_address: hello.peer_address,
        incarnation: hello.incarnation,
        state: MemberState::Alive,
        applied_revision: Revision::default(),
    }
}

fn other_seeds(settings: &Settings) -> Vec<std::net::SocketAddr> {
    let seeds = settings.seed_peers.iter().copied();
    seeds
        .filter(|seed| *seed != settings.peer_address)
        .collect()
}

fn start_dissemination(
    hello: &Hello,
    network: &Network,
    service: &Arc<dyn KeyValue>,
    configuration: &Arc<ConfigHandle>,
) -> mpsc::Sender<Event> {
    let own = Peer {
        member: hello.member.clone(),
        failure_domain: hello.failure_domain.clone(),
        address: network.own_address(),
    };
    let disseminator = Disseminator::new(
        own,
        DisseminationSettings::default(),
        rand::random(),
        Instant::now(),
    );
    let (events, events_receiver) = mpsc::channel(EVENT_QUEUE_LEN);
    let (outgoing, outgoing_receiver) = mpsc::channel(EVENT_QUEUE_LEN);
    tokio::spawn(send_all(network.clone(), outgoing_receiver));
    tokio::spawn(Driver::run(
        disseminator,
        Arc::clone(service),
        Arc::clone(configuration),
        outgoing,
        events_receiver,
    ));
    events
}

async fn send_all(network: Network, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some(Outgoing { to, message }) = outgoing.recv().await {
        network.send(to, message);
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
