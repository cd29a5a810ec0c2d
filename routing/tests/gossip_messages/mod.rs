//! Messages of gateways that hold no role.

use jujubewall_routing::fleet::claims::FollowerRole;
use jujubewall_routing::fleet::claims::PlannerRole;
use jujubewall_routing::fleet::claims::RoleClaim;
use jujubewall_routing::fleet::gossip::Gossip;
use jujubewall_routing::fleet::gossip::GossipMessage;
use jujubewall_routing::fleet::gossip::PROTOCOL;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::StorePosition;
use tokio::time::Instant;

/// Returns the next message of a gateway.
pub fn message(gossip: &mut Gossip, now: Instant) -> GossipMessage {
    let silence = gossip.timing().silence_timeout();
    GossipMessage {
        protocol: PROTOCOL,
        member: MemberName::new(format!("front-{}", gossip.own_address().ip())).unwrap(),
        own_claim: RoleClaim {
            holder: gossip.own_address(),
            domain: gossip.domain(),
            incarnation: 1,
            heartbeat: gossip.messages_sent(),
            planner: PlannerRole::None,
            follower: FollowerRole::None,
            instances_position: StorePosition::default(),
            instances_digest: 0,
        },
        config_version: 1,
        is_draining: false,
        work: Vec::new(),
        suspects: Vec::new(),
        failing: Vec::new(),
        layers: Vec::new(),
        slowdowns: Vec::new(),
        claims: gossip.claims().to_relay(silence, now),
        peers: gossip.sample_peers(),
        answer_ages: Vec::new(),
    }
}
