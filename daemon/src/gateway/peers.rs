//! Gossip between gateways.
//!
//! The decisions are in `jujubewall_routing::fleet::gossip` and its sibling modules. This
//! module holds the socket, builds the messages, and fetches from peers the configuration
//! and the upstreams' entries that this gateway lacks.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::iter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_platform::site::settings::SiteSettings;
use jujubewall_routing::fleet::claims::FollowerCounts;
use jujubewall_routing::fleet::claims::FollowerRole;
use jujubewall_routing::fleet::claims::RoleClaim;
use jujubewall_routing::fleet::entry_bounds::SYNC_INTERVAL;
use jujubewall_routing::fleet::entry_sync;
use jujubewall_routing::fleet::entry_sync::EntryFetch;
use jujubewall_routing::fleet::entry_sync::EntrySync;
use jujubewall_routing::fleet::entry_sync::OwnEntries;
use jujubewall_routing::fleet::follower_election::FollowerElection;
use jujubewall_routing::fleet::gossip;
use jujubewall_routing::fleet::gossip::Gossip;
use jujubewall_routing::fleet::gossip::GossipMessage;
use jujubewall_routing::fleet::gossip::Receipt;
use jujubewall_routing::fleet::gossip_datagram;
use jujubewall_routing::fleet::gossip_datagram::GossipDatagram;
use jujubewall_routing::fleet::instances::PeerReport;
use jujubewall_routing::fleet::rendezvous;
use jujubewall_routing::fleet::store_answers::AnswerAges;
use jujubewall_routing::fleet::store_timing::CONFIG_FETCH_DELAY;
use jujubewall_types::fleet::FleetConfig;
use jujubewall_types::fleet::Instance;
use jujubewall_types::id::StorePosition;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::gateway::clock;
use crate::gateway::followers;
use crate::gateway::planner;
use crate::gateway::poison;
use crate::gateway::probe;
use crate::gateway::state::Gateway;

/// The path at which a peer serves the configuration.
pub const CONFIG_PATH: &str = "/peer/config";
/// The path at which a peer serves the upstreams' entries: all of them or, with a position
/// in the query, those that have changed since.
pub const INSTANCES_PATH: &str = "/peer/instances";

/// The size of the receive buffer. Larger datagrams do not belong to this protocol.
const DATAGRAM_BUFFER_BYTES: usize = 4 * 1024;

/// The timeout of a request to a peer for what this gateway cannot serve without.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of gateways that probe an upstream which one gateway suspects.
const SUSPICION_PROBERS: usize = 3;

/// Upstreams' entries as one gateway sends them to another.
#[derive(Deserialize, Serialize)]
struct EntriesDocument {
    position: StorePosition,
    /// Whether `entries` holds all entries rather than the changed ones.
    is_whole: bool,
    entries: Vec<Instance>,
    /// The identifiers of upstreams whose entries have been removed.
    gone: Vec<SmolStr>,
}

/// The state of the other gateways, and whether this one follows the store for them.
pub struct Peers {
    gossip: RefCell<Gossip>,
    election: RefCell<FollowerElection>,
    follows: Cell<bool>,
    /// Wakes the tasks that follow the store when this gateway begins to.
    pub began_to_follow: Notify,
    incarnation: u64,
}

impl Peers {
    /// Creates a state that knows only the seed peers. `draw` is a random number.
    pub fn new(settings: &SiteSettings, draw: u64) -> Self {
        let domain = rendezvous::name_digest(settings.failure_domain.as_str());
        let gossip = Gossip::new(
            settings.peer_address,
            domain,
            &settings.seed_peers,
            draw,
            Instant::now(),
        );
        Self {
            gossip: RefCell::new(gossip),
            election: RefCell::new(FollowerElection::new()),
            follows: Cell::new(false),
            began_to_follow: Notify::new(),
            incarnation: clock::unix_ms(),
        }
    }

    /// Returns the gossip state, with what is known of the other gateways.
    pub fn gossip(&self) -> Ref<'_, Gossip> {
        self.gossip.borrow()
    }

    /// Returns whether this gateway follows the store on behalf of the others.
    pub fn follows(&self) -> bool {
        self.follows.get()
    }

    /// Returns how many other live gateways follow the store, and whether it serves them.
    pub fn follower_counts(&self) -> FollowerCounts {
        let gossip = self.gossip.borrow();
        let live = gossip
            .claims()
            .live_holders(gossip.timing().silence_timeout(), Instant::now());
        let mut counts = FollowerCounts::default();
        for claim in live {
            match claim.follower {
                FollowerRole::None => {}
                FollowerRole::Unserved => counts.unserved += 1,
                FollowerRole::Served => counts.served += 1,
            }
        }
        counts
    }

    /// Returns this gateway's place in the order of the followers that the store serves.
    pub fn follower_rank(&self) -> usize {
        let gossip = self.gossip.borrow();
        let own = gossip.own_address();
        gossip
            .claims()
            .live_holders(gossip.timing().silence_timeout(), Instant::now())
            .filter(|claim| claim.follower == FollowerRole::Served && claim.holder < own)
            .count()
    }

    /// Returns whether a peer that follows the store has newer entries than `position`.
    pub fn has_newer_instances(&self, position: StorePosition) -> bool {
        let gossip = self.gossip.borrow();
        let source = gossip.claims().entry_source(
            gossip.own_address(),
            gossip.domain(),
            gossip.timing().silence_timeout(),
            Instant::now(),
            |claim| claim.instances_position > position,
        );
        source.is_some()
    }

    /// Returns whether most of the peers that follow the store and get answers from it have
    /// entries with this digest.
    pub fn most_followers_have(&self, digest: u64) -> bool {
        let gossip = self.gossip.borrow();
        let silence = gossip.timing().silence_timeout();
        let own = gossip.own_address();
        entry_sync::most_followers_have(digest, own, gossip.claims(), silence, Instant::now())
    }
}

/// Starts to send and receive gossip messages, and to fetch newer data from peers.
pub fn start(gateway: &Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let send_socket = Rc::clone(&socket);
    gateway.spawn_loop("tell", move |gateway| {
        send_loop(gateway, Rc::clone(&send_socket))
    });
    gateway.spawn_loop("listen", move |gateway| {
        receive_loop(gateway, Rc::clone(&socket))
    });
    gateway.spawn_loop("follow_duty", follow_duty_loop);
    gateway.spawn_loop("relay", sync_loop);
}

async fn send_loop(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut next_at = Instant::now();
    loop {
        let interval = gateway.peers.gossip().timing().message_interval();
        // After the process was held up, missed messages are not sent afterwards.
        next_at = (next_at + interval).max(Instant::now());
        sleep_until(next_at).await;
        let now = Instant::now();
        gateway.instances_mut().expire_peer_reports(now);
        let target = gateway.peers.gossip.borrow_mut().next_target(now);
        let Some(target) = target else {
            continue;
        };
        let reports = poison::reports(&gateway, now);
        match gossip_datagram::encode(build_message(&gateway), &reports) {
            Ok(datagram) => {
                // The next message makes up for a lost datagram.
                if let Err(failure) = socket.try_send_to(&datagram, target) {
                    log::debug!("event=telling_lost to={target} reason=\"{failure}\"");
                    gateway.metrics.count("telling_lost");
                } else {
                    gateway.metrics.count_message(datagram.len());
                }
            }
            Err(failure) => warn!("event=telling_failed reason=\"{failure}\""),
        }
    }
}

/// Builds the next message to a peer.
fn build_message(gateway: &Gateway) -> GossipMessage {
    let now = Instant::now();
    let own = own_claim(gateway);
    let own_answers = gateway.store_belief().own_answers();
    let (claims, peers, answer_ages) = {
        let mut gossip = gateway.peers.gossip.borrow_mut();
        let silence = gossip.timing().silence_timeout();
        let claims = gossip.claims().to_relay(silence, now);
        let told = claims
            .iter()
            .map(|claim| gossip.claims().answers_of(claim.holder));
        let answers = iter::once(own_answers).chain(told);
        let answer_ages = answers
            .map(|answers| AnswerAges::new(answers, now))
            .collect();
        (claims, gossip.sample_peers(), answer_ages)
    };
    let instances = gateway.instances();
    GossipMessage {
        protocol: gossip::PROTOCOL,
        member: gateway.settings().member.clone(),
        config_version: gateway.config_version(),
        is_draining: gateway.is_draining(),
        work: instances.work_reports(),
        suspects: instances.suspected_digests(),
        failing: instances.failing_digests(now),
        layers: instances.layer_reports(),
        slowdowns: if own.planner.is_planning() {
            instances.slowdown_reports()
        } else {
            Vec::new()
        },
        own_claim: own,
        claims,
        peers,
        answer_ages,
    }
}

fn own_claim(gateway: &Gateway) -> RoleClaim {
    let gossip = gateway.peers.gossip();
    let follower = if !gateway.peers.follows() || gateway.is_draining() {
        FollowerRole::None
    } else if gateway.is_store_source() {
        FollowerRole::Served
    } else {
        FollowerRole::Unserved
    };
    RoleClaim {
        holder: gossip.own_address(),
        domain: gossip.domain(),
        incarnation: gateway.peers.incarnation,
        heartbeat: gossip.messages_sent(),
        planner: planner::role(gateway),
        follower,
        instances_position: gateway.instances_position(),
        instances_digest: gateway.instances().entries_digest(),
    }
}

async fn receive_loop(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(failure) => {
                // A port-unreachable reply to an earlier datagram is reported here as well.
                log::debug!("event=receive_failed reason=\"{failure}\"");
                continue;
            }
        };
        let datagram = match gossip_datagram::decode(&buffer[..len]) {
            Ok(datagram) if datagram.message.protocol == gossip::PROTOCOL => datagram,
            Ok(_) => {
                gateway.metrics.count("telling_foreign");
                continue;
            }
            Err(failure) => {
                log::debug!("event=telling_unreadable from={from} reason=\"{failure}\"");
                gateway.metrics.count("telling_unreadable");
                continue;
            }
        };
        on_datagram(&gateway, from, &datagram);
    }
}

fn on_datagram(gateway: &Rc<Gateway>, from: SocketAddr, datagram: &GossipDatagram) {
    let message = &datagram.message;
    let now = Instant::now();
    let (receipt, lifetime) = {
        let mut gossip = gateway.peers.gossip.borrow_mut();
        let receipt = gossip.on_message(from, message, now);
        (receipt, gossip.report_lifetime(message.own_claim.domain))
    };
    match receipt {
        Receipt::Ignored => {
            gateway.metrics.count("telling_ignored");
            return;
        }
        Receipt::NewPeer => info!("event=peer member={} address={from}", message.member),
        Receipt::Newer => {}
    }
    if datagram.unknown_extensions > 0 {
        gateway.metrics.count("telling_unknown_part");
    }
    if datagram.is_malformed {
        log::debug!("event=telling_part_unreadable from={from}");
        gateway.metrics.count("telling_part_unreadable");
    }
    poison::apply_reports(gateway, &datagram.reports, "peer");
    let claims = message.claims.iter().chain([&message.own_claim]);
    let newest_era = claims.map(|claim| claim.instances_position.era).max();
    gateway.apply_store_era(newest_era.unwrap_or_default());
    let beliefs = PeerReport {
        work: &message.work,
        suspects: &message.suspects,
        failing: &message.failing,
        lifetime,
    };
    let mut instances = gateway.instances_mut();
    instances.apply_peer_report(&message.member, &beliefs, now);
    if !gateway.receives_changes() {
        instances.apply_layer_reports(&message.layers, now);
    }
    if message.own_claim.planner.is_planning() && !planner::is_planner(gateway) {
        instances.apply_slowdown_reports(&message.slowdowns, now);
    }
    drop(instances);
    gateway.admissions.wake();
    for suspect in &message.suspects {
        let is_chosen =
            gateway
                .peers
                .gossip()
                .is_selected_checker(*suspect, SUSPICION_PROBERS, now);
        if is_chosen {
            probe::probe_suspects_of_peer(gateway, &[*suspect]);
        }
    }
}

/// Decides whether this gateway follows the store.
async fn follow_duty_loop(gateway: Rc<Gateway>) {
    loop {
        sleep(SYNC_INTERVAL).await;
        gateway.weigh_store_answers();
        update_follow_duty(&gateway);
    }
}

/// Fetches from peers what this gateway does not get from the store.
async fn sync_loop(gateway: Rc<Gateway>) {
    let mut behind_since: Option<Instant> = None;
    let mut entry_sync = EntrySync::new();
    loop {
        sleep(SYNC_INTERVAL).await;
        let now = Instant::now();
        let own_domain = gateway.settings().failure_domain.clone();
        let sharing = gateway.peers.gossip().peer_sharing(own_domain, now);
        gateway.instances_mut().set_peer_sharing(sharing);
        let newer = {
            let version = gateway.config_version();
            let mut gossip = gateway.peers.gossip.borrow_mut();
            gossip.peer_with_newer_config(version, now)
        };
        behind_since = newer.and(behind_since.or(Some(now)));
        // A gateway that follows the store usually gets the configuration from there soon, so
        // the peer is only asked after a while, or at once if there is no configuration yet.
        let is_due = gateway.routes().is_none()
            || !gateway.is_store_source()
            || behind_since.is_some_and(|since| since.elapsed() >= CONFIG_FETCH_DELAY);
        if is_due
            && let Some(peer) = newer
            && let Some(body) = fetch(&gateway, peer, CONFIG_PATH, FETCH_TIMEOUT).await
        {
            match serde_json::from_slice::<FleetConfig>(&body) {
                Ok(config) => gateway.apply_config(config, "peer"),
                Err(failure) => warn!("event=peer_unreadable peer={peer} reason=\"{failure}\""),
            }
        }
        if gateway.is_store_source() {
            entry_sync.on_store_source();
        } else {
            sync_entries(&gateway, &mut entry_sync).await;
        }
    }
}

fn update_follow_duty(gateway: &Gateway) {
    let now = Instant::now();
    let store = gateway.store_view();
    let follows = {
        let gossip = gateway.peers.gossip();
        let mut election = gateway.peers.election.borrow_mut();
        // The planner bases its orders on the entries, so it always follows the store.
        election.step(&gossip, store, now) || planner::is_planner(gateway)
    };
    if gateway.peers.follows.replace(follows) != follows {
        if follows {
            // What calls have shown long ago is no evidence now, and connections that were
            // idle meanwhile may have gone silent.
            gateway.store_belief_mut().forget_link();
            gateway.store().abandon_connections();
            gateway.peers.began_to_follow.notify_waiters();
        }
        let FollowerCounts { served, unserved } = gateway.peers.follower_counts();
        let answered_at = store.answers.complete_until();
        let age_ms = answered_at.map(|at| now.saturating_duration_since(at).as_millis());
        info!(
            "event=follows_store holds={follows} served={served} unserved={unserved} \
             answer_age_ms={}",
            age_ms.map_or_else(|| "none".to_owned(), |age_ms| age_ms.to_string())
        );
    }
}

/// Fetches upstreams' entries from a peer that has newer or other ones.
async fn sync_entries(gateway: &Rc<Gateway>, sync: &mut EntrySync) {
    let bounds = gateway.entry_bounds();
    let own = own_entries(gateway);
    let next = {
        let gossip = gateway.peers.gossip();
        let silence = gossip.timing().silence_timeout();
        sync.next_fetch(&own, gossip.claims(), bounds, silence, Instant::now())
    };
    let timeout = bounds.fetch_timeout();
    match next {
        None => {}
        Some(EntryFetch::Changes(peer)) => {
            let path = format!("{INSTANCES_PATH}?since={}", own.position);
            let applied = fetch_entries(gateway, peer, &path, timeout).await;
            if applied == Applied::Differing {
                info!("event=entries_differ peer={peer} position={}", own.position);
                fetch_entries(gateway, peer, INSTANCES_PATH, timeout).await;
            }
        }
        Some(EntryFetch::All(peer)) => {
            fetch_entries(gateway, peer, INSTANCES_PATH, FETCH_TIMEOUT).await;
        }
        Some(EntryFetch::Differing(peer)) => {
            info!("event=entries_differ peer={peer} position={}", own.position);
            fetch_entries(gateway, peer, INSTANCES_PATH, timeout).await;
        }
    }
}

fn own_entries(gateway: &Gateway) -> OwnEntries {
    let gossip = gateway.peers.gossip();
    OwnEntries {
        address: gossip.own_address(),
        domain: gossip.domain(),
        position: gateway.instances_position(),
        digest: gateway.instances().entries_digest(),
        is_synced: gateway.is_synced(),
    }
}

/// The result of fetching entries from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Applied {
    /// Nothing was applied.
    Nothing,
    /// The entries agree with those of the peer as far as is known.
    Agreeing,
    /// The entries still differ from those of the peer, so a change is missing.
    Differing,
}

async fn fetch_entries(
    gateway: &Rc<Gateway>,
    peer: SocketAddr,
    path: &str,
    limit: Duration,
) -> Applied {
    let Some(body) = fetch(gateway, peer, path, limit).await else {
        return Applied::Nothing;
    };
    let (document, digest) = match decode_entries(&body) {
        Ok(decoded) => decoded,
        Err(failure) => {
            warn!("event=peer_unreadable peer={peer} path={path} reason=\"{failure}\"");
            return Applied::Nothing;
        }
    };
    // Meanwhile the entries have been read from the store itself, which takes precedence.
    if gateway.is_store_source() {
        return Applied::Nothing;
    }
    gateway.apply_store_era(document.position.era);
    // The peer may be the first one that the store serves again.
    gateway.weigh_store_answers();
    // An answer from an earlier era may contain entries that the store has lost since.
    if document.position.era < gateway.instances_position().era {
        return Applied::Nothing;
    }
    if document.is_whole {
        followers::replace_instances(gateway, document.entries, "peer");
    } else {
        followers::change_instances(gateway, document.entries, &document.gone);
    }
    gateway.advance_instances_position(document.position);
    let own_digest = gateway.instances().entries_digest();
    if digest.is_none_or(|digest| digest == own_digest) {
        Applied::Agreeing
    } else {
        Applied::Differing
    }
}

/// Decodes a document of entries and the digest that follows it. Gateways of earlier
/// versions send no digest.
fn decode_entries(body: &[u8]) -> Result<(EntriesDocument, Option<u64>), postcard::Error> {
    let (document, rest) = postcard::take_from_bytes(body)?;
    let digest = match rest {
        [] => None,
        rest => Some(postcard::from_bytes(rest)?),
    };
    Ok((document, digest))
}

async fn fetch(
    gateway: &Rc<Gateway>,
    peer: SocketAddr,
    path: &str,
    limit: Duration,
) -> Option<Bytes> {
    let (is_success, body) = timeout(limit, probe::get_document(gateway, peer, path))
        .await
        .ok()??;
    is_success.then_some(body)
}

/// Returns the configuration in force, encoded for a peer; `None` if there is none.
pub fn config_document(gateway: &Gateway) -> Option<Bytes> {
    let routes = gateway.routes()?;
    bytes_or_log(serde_json::to_vec(routes.config()))
}

/// Returns the upstreams' entries, encoded for a peer: those that have changed since the
/// position in `query`, or all if it has none or the changes are not known that far back.
/// Returns `None` if this gateway does not have them from the store itself.
pub fn instances_document(gateway: &Gateway, query: Option<&str>) -> Option<Bytes> {
    if !gateway.is_store_source() {
        return None;
    }
    let since = query.and_then(|query| query.strip_prefix("since="));
    let since = since.and_then(|since| since.parse::<StorePosition>().ok());
    let era = gateway.instances_position().era;
    let since = since.filter(|since| since.era == era);
    let instances = gateway.instances();
    let log = gateway.entry_log();
    let changed = since.and_then(|since| log.since(since.revision));
    let document = match &changed {
        Some(ids) => EntriesDocument {
            position: gateway.instances_position(),
            is_whole: false,
            entries: ids
                .iter()
                .filter_map(|id| instances.by_id(id))
                .map(|tracked| tracked.instance.clone())
                .collect(),
            gone: ids
                .iter()
                .filter(|id| instances.by_id(id).is_none())
                .map(|id| (*id).clone())
                .collect(),
        },
        None => EntriesDocument {
            position: gateway.instances_position(),
            is_whole: true,
            entries: instances
                .iter()
                .map(|(_, tracked)| tracked.instance.clone())
                .collect(),
            gone: Vec::new(),
        },
    };
    // Readers of earlier versions skip what follows the document.
    bytes_or_log(postcard::to_stdvec(&(document, instances.entries_digest())))
}

fn bytes_or_log<E: std::fmt::Display>(body: Result<Vec<u8>, E>) -> Option<Bytes> {
    match body {
        Ok(body) => Some(Bytes::from(body)),
        Err(failure) => {
            warn!("event=document_failed reason=\"{failure}\"");
            None
        }
    }
}
