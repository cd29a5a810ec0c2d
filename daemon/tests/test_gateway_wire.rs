//! Tests that gateways of this build and of build 6b5cd8c understand each other.

mod old_wire;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use jujubewall_routing::fleet::claims::FollowerRole;
use jujubewall_routing::fleet::claims::PlannerRole;
use jujubewall_routing::fleet::claims::RoleClaim;
use jujubewall_routing::fleet::gossip::GossipMessage;
use jujubewall_routing::fleet::gossip::PROTOCOL;
use jujubewall_routing::fleet::gossip_datagram;
use jujubewall_routing::fleet::gossip_datagram::CrashReports;
use jujubewall_routing::fleet::instances::LayerReport;
use jujubewall_routing::fleet::instances::SlowdownReport;
use jujubewall_routing::fleet::store_answers::AnswerAges;
use jujubewall_routing::fleet::store_answers::StoreAnswers;
use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::GatewayStart;
use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::http_server::HttpHandler;
use jujubewall_testutils::http_server::ServerAnswer;
use jujubewall_testutils::http_server::serve_http;
use jujubewall_testutils::ports::free_address;
use jujubewall_testutils::site_store::SiteStore;
use jujubewall_testutils::site_store::StoreMood;
use jujubewall_types::fleet::FleetConfig;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::id::StoreEra;
use jujubewall_types::id::StorePosition;
use jujubewall_types::layer::LayerRange;
use old_wire::OldEntries;
use old_wire::OldFollowerRole;
use old_wire::OldLayers;
use old_wire::OldMessage;
use old_wire::OldPlannerRole;
use old_wire::OldPosition;
use old_wire::OldState;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The burst of the retry budget, on top of a fifth of the requests.
const RETRY_BURST: u32 = 200;

/// The time between two messages of the old peer.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

/// The time within which the gateway follows the old peer.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(10);

fn claim(last: u8, planner: PlannerRole, follower: FollowerRole) -> RoleClaim {
    let number = u64::from(last);
    RoleClaim {
        holder: SocketAddr::from(([127, 1, 2, last], 7_100)),
        domain: 0xd0_0000 + number,
        incarnation: 1_770_000_000_000 + number,
        heartbeat: 40 + number,
        planner,
        follower,
        instances_position: StorePosition {
            era: StoreEra(2),
            revision: Revision(300 + number),
        },
        instances_digest: 0xfeed_0000_0000_0000 + number,
    }
}

/// The message of which the fixture holds the bytes.
fn message() -> GossipMessage {
    let work = (0x1122_3344_u32, 5_u32, 3_u32, 77_u32);
    let work = postcard::to_stdvec(&work).unwrap();
    GossipMessage {
        protocol: PROTOCOL,
        member: MemberName::new("front-1").unwrap(),
        own_claim: claim(1, PlannerRole::LeaseHolder, FollowerRole::Served),
        config_version: 9,
        is_draining: true,
        work: vec![postcard::from_bytes(&work).unwrap()],
        suspects: vec![0xa1, u64::MAX],
        failing: vec![0xb2],
        layers: vec![
            LayerReport {
                instance: 0xc3,
                layers: Some(LayerRange::new(2, 6)),
            },
            LayerReport {
                instance: 0xc4,
                layers: None,
            },
        ],
        slowdowns: vec![SlowdownReport {
            instance: 0xd4,
            factor: 2.5,
        }],
        claims: vec![
            claim(2, PlannerRole::Substitute, FollowerRole::Unserved),
            claim(3, PlannerRole::None, FollowerRole::None),
        ],
        peers: vec![
            "127.1.2.4:7100".parse().unwrap(),
            "[::1]:7101".parse().unwrap(),
        ],
        answer_ages: Vec::new(),
    }
}

#[test]
fn test_gossip_of_the_old_build_has_the_same_values() {
    let bytes = old_wire::bytes(old_wire::GOSSIP);
    let decoded: GossipMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(decoded, message());
}

/// The old decoder reads a message of this build, whatever follows it.
#[test]
fn test_old_build_reads_gossip_and_ignores_what_follows_it() {
    let old: OldMessage = old_wire::decode_message(&old_wire::bytes(old_wire::GOSSIP)).unwrap();
    // The types of the old build are copied faithfully.
    assert_eq!(
        postcard::to_stdvec(&old).unwrap(),
        old_wire::bytes(old_wire::GOSSIP)
    );
    let mut datagram = postcard::to_stdvec(&message()).unwrap();
    assert_eq!(old_wire::decode_message(&datagram).unwrap(), old);
    datagram.extend([0xff; 40]);
    assert_eq!(old_wire::decode_message(&datagram).unwrap(), old);
}

/// The old decoder reads a message beside the ages of the store's answers.
#[test]
fn test_old_build_reads_gossip_with_ages_of_answers() {
    let now = Instant::now();
    let ages = AnswerAges::new(StoreAnswers::with_both(now), now);
    let mut message = message();
    message.answer_ages = vec![ages; 1 + message.claims.len()];
    let datagram = gossip_datagram::encode(message.clone(), &CrashReports::default()).unwrap();
    let old: OldMessage = old_wire::decode_message(&old_wire::bytes(old_wire::GOSSIP)).unwrap();
    assert_eq!(old_wire::decode_message(&datagram).unwrap(), old);
    assert_eq!(gossip_datagram::decode(&datagram).unwrap().message, message);
}

#[test]
fn test_configuration_of_the_old_build_has_the_same_values() {
    let bytes = old_wire::bytes(old_wire::CONFIG);
    let config: FleetConfig = serde_json::from_slice(&bytes).unwrap();
    let old: Value = serde_json::from_slice(&bytes).unwrap();
    assert_contains(&serde_json::to_value(&config).unwrap(), &old);
    assert_eq!((config.version, config.routes.len()), (7, 3));
}

/// Checks that a document has all fields of an older one, with the same values.
fn assert_contains(new: &Value, old: &Value) {
    match (new, old) {
        (Value::Object(new), Value::Object(old)) => {
            for (name, old) in old {
                let new = new.get(name);
                assert_contains(new.unwrap_or_else(|| panic!("{name} is missing")), old);
            }
        }
        (Value::Array(new), Value::Array(old)) => {
            assert_eq!(new.len(), old.len());
            for (new, old) in new.iter().zip(old) {
                assert_contains(new, old);
            }
        }
        _ => assert_eq!(new, old),
    }
}

/// Serves the documents that a gateway of the old build served.
struct OldDocuments;

#[async_trait]
impl HttpHandler for OldDocuments {
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer {
        let fixture = match (request.uri().path(), request.uri().query()) {
            ("/peer/config", _) => old_wire::CONFIG,
            ("/peer/instances", Some("since=1.4")) => old_wire::ENTRIES_CHANGED,
            ("/peer/instances", None) => old_wire::ENTRIES_WHOLE,
            _ => return ServerAnswer::Closed,
        };
        let body = Bytes::from(old_wire::bytes(fixture));
        ServerAnswer::Reply(Response::new(body))
    }
}

/// A peer that sends messages as the old build does.
struct OldPeer {
    socket: UdpSocket,
    message: OldMessage,
}

impl OldPeer {
    async fn new(address: SocketAddr) -> Self {
        let mut message = old_wire::decode_message(&old_wire::bytes(old_wire::GOSSIP)).unwrap();
        message.own_claim.holder = address;
        message.own_claim.planner = OldPlannerRole::None;
        message.own_claim.follower = OldFollowerRole::None;
        message.config_version = 0;
        message.is_draining = false;
        "front-9".clone_into(&mut message.member);
        message.suspects.clear();
        message.claims.clear();
        message.peers.clear();
        Self {
            socket: UdpSocket::bind(address).await.unwrap(),
            message,
        }
    }

    /// Claims to have entries up to `position`, with the digest in the document.
    fn has_entries(&mut self, position: OldPosition, document: &str) -> u64 {
        let (entries, digest) = old_wire::decode_entries(&old_wire::bytes(document)).unwrap();
        assert_eq!(entries.position, position);
        let claim = &mut self.message.own_claim;
        claim.follower = OldFollowerRole::Served;
        claim.instances_position = position;
        claim.instances_digest = digest;
        self.message.config_version = 7;
        digest
    }

    /// Sends messages until the gateway has sent one that fits.
    async fn exchange_until(
        &mut self,
        gateway: &GatewayProcess,
        fits: impl Fn(&OldMessage) -> bool,
    ) -> OldMessage {
        let end = Instant::now() + FOLLOW_TIMEOUT;
        let mut buffer = vec![0; 4_096];
        loop {
            assert!(Instant::now() < end, "{}", gateway.log());
            self.message.own_claim.heartbeat += 1;
            let datagram = postcard::to_stdvec(&self.message).unwrap();
            self.socket.send_to(&datagram, gateway.peers).await.unwrap();
            let received = timeout(MESSAGE_INTERVAL, self.socket.recv_from(&mut buffer)).await;
            let Ok(Ok((len, from))) = received else {
                continue;
            };
            let message = old_wire::decode_message(&buffer[..len]).unwrap();
            assert_eq!((message.protocol, from), (PROTOCOL, gateway.peers));
            assert_eq!(message.own_claim.holder, gateway.peers);
            if fits(&message) {
                return message;
            }
        }
    }
}

/// A gateway that knows the site only from a peer of the old build ends up with the entries
/// that the peer has: it tells their digest.
#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_learns_all_from_a_peer_of_the_old_build() {
    let store = SiteStore::new();
    store.set_mood(StoreMood::Refusing(503));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store_server = store.serve(listener);
    let peers = free_address();
    let old_address = neighbour(peers);
    let listener = TcpListener::bind(old_address).await.unwrap();
    let _documents = serve_http(listener, Arc::new(OldDocuments));
    let folder = tempfile::TempDir::new().unwrap();
    let gateway = GatewayProcess::start(&GatewayStart {
        program: Path::new(PROGRAM),
        folder: folder.path(),
        name: "front-1",
        zone: "hall",
        store: store_server.address(),
        peers,
        seed: Some(old_address),
        retry_burst: RETRY_BURST,
    });
    let mut old = OldPeer::new(old_address).await;
    for (position, document) in [
        (old_wire::WHOLE_POSITION, old_wire::ENTRIES_WHOLE),
        (old_wire::CHANGED_POSITION, old_wire::ENTRIES_CHANGED),
    ] {
        let digest = old.has_entries(position, document);
        let told = old
            .exchange_until(&gateway, |told| {
                told.config_version == 7 && told.own_claim.instances_position == position
            })
            .await;
        assert_eq!(told.own_claim.instances_digest, digest, "{}", gateway.log());
    }
    let log = gateway.log();
    for line in [
        "event=config version=7 before=0 source=peer",
        "event=upstream id=hall-0 service=llm address=127.0.0.1:7201 state=ready layers=0..4",
        "event=upstream id=hall-1 service=llm address=127.0.0.1:7202 state=ready layers=2..6",
        "event=upstream id=ledger-0 service=ledger address=127.0.0.1:7203 state=draining",
        "event=upstream_gone id=ledger-0",
    ] {
        assert!(log.contains(line), "{line}: {log}");
    }
    assert!(!log.contains("event=entries_differ"), "{log}");
    assert!(!log.contains("event=peer_unreadable"), "{log}");
}

/// A peer of the old build reads what this build sends: messages, entries, configuration and
/// the planner's value in the store.
#[tokio::test(flavor = "multi_thread")]
async fn test_old_build_reads_all_that_a_gateway_sends() {
    let site = Site::start(Path::new(PROGRAM), RETRY_BURST).await;
    let gateway = &site.gateway;
    let mut old = OldPeer::new(neighbour(gateway.peers)).await;
    let told = old
        .exchange_until(gateway, |told| {
            told.own_claim.planner == OldPlannerRole::LeaseHolder
                && told.own_claim.follower == OldFollowerRole::Served
        })
        .await;
    assert_eq!(told.member, "front-1");
    assert_eq!(told.config_version, 7);
    let get = async |path: &str| {
        let request = Request::get(path).header("host", "peer");
        let request = request.body(Bytes::new()).unwrap();
        let answer = GatewayProcess::send_to(gateway.peers, request).await;
        answer.unwrap().into_body()
    };
    let (entries, _): (OldEntries, u64) =
        old_wire::decode_entries(&get("/peer/instances").await).unwrap();
    assert!(entries.is_whole);
    for entry in &entries.entries {
        let kind = site.runners.kind(&entry.id).unwrap();
        let layers = site.runners.layers_of(&entry.id);
        let layers = layers.map(|layers| OldLayers {
            first: layers.first,
            end: layers.end,
        });
        assert_eq!(
            (&entry.service, &entry.failure_domain, &entry.accelerator),
            (&kind.service, &kind.zone, &kind.accelerator)
        );
        assert_eq!((entry.state, entry.slots), (OldState::Ready, 8));
        assert_eq!(entry.layers, layers);
    }
    assert_eq!(entries.entries.len(), site.engines.len() + 2);
    wait_until("the digest of the entries is told", async || {
        let (entries, digest) = old_wire::decode_entries(&get("/peer/instances").await).unwrap();
        let claim = old.exchange_until(gateway, |_| true).await.own_claim;
        (claim.instances_position, claim.instances_digest) == (entries.position, digest)
    })
    .await;
    let config: Value = serde_json::from_slice(&get("/peer/config").await).unwrap();
    let old_config = old_wire::bytes(old_wire::CONFIG);
    assert_contains(&config, &serde_json::from_slice(&old_config).unwrap());
    let planner = site.store.value("jujubewall/planner").unwrap();
    let planner = base64::engine::general_purpose::STANDARD.decode(planner);
    assert_eq!(planner.unwrap(), old_wire::bytes(old_wire::PLANNER));
}
