//! Gossip between gateways in fleets of several sizes, on a simulated clock.

mod fleet_addresses;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::fleet::claims::FollowerRole;
use jujubewall_routing::fleet::claims::PlannerRole;
use jujubewall_routing::fleet::claims::RoleClaim;
use jujubewall_routing::fleet::entry_log::EntryLog;
use jujubewall_routing::fleet::follower_election::FollowerElection;
use jujubewall_routing::fleet::follower_election::StoreView;
use jujubewall_routing::fleet::gossip::Gossip;
use jujubewall_routing::fleet::gossip::GossipMessage;
use jujubewall_routing::fleet::gossip::MAX_MESSAGE_BYTES;
use jujubewall_routing::fleet::gossip::PROTOCOL;
use jujubewall_routing::fleet::gossip::Receipt;
use jujubewall_routing::fleet::planner_election::PlannerElection;
use jujubewall_routing::fleet::planner_election::PlannerStep;
use jujubewall_routing::fleet::planner_election::StallDetector;
use jujubewall_routing::fleet::retry_budget::RetryBounds;
use jujubewall_routing::fleet::retry_budget::WindowedRetryBudget;
use jujubewall_routing::fleet::store_answers::StoreAnswers;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::StorePosition;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use self::fleet_addresses::address;
use self::fleet_addresses::index_of;

const DOMAINS: usize = 5;

/// The sizes of the fleets, starting with the smallest deployment.
const SIZES: [usize; 3] = [5, 30, 103];

/// A size beyond all deployments, for what has to hold at any size.
const LARGE: usize = 250;

/// The time between two updates of the roles.
const ROLE_INTERVAL: Duration = Duration::from_millis(100);

/// The time by which the lease outlives a killed planner.
const LEASE: Duration = Duration::from_secs(2);

/// The updates of the follower role for each update of the planner role.
const FOLLOWER_UPDATES_PER_PLANNER_UPDATE: u32 = 4;

/// One gateway, with the state that its messages carry.
struct Gateway {
    gossip: Gossip,
    follower: FollowerElection,
    planner: PlannerElection,
    incarnation: u64,
    config_version: u64,
    is_planner: bool,
    has_lease: bool,
    is_served: bool,
    next_message_at: Instant,
    next_role_update_at: Instant,
    follower_updates: u32,
    sent: u64,
    received: u64,
    takeovers: u32,
}

impl Gateway {
    fn new(index: usize, incarnation: u64, seeds: &[SocketAddr], now: Instant) -> Self {
        let seed = u64::try_from(index).unwrap() * 1_000 + incarnation;
        let domain = u64::try_from(index % DOMAINS).unwrap();
        Self {
            gossip: Gossip::new(address(index), domain, seeds, seed, now),
            follower: FollowerElection::new(),
            planner: PlannerElection::new(),
            incarnation,
            config_version: 1,
            is_planner: false,
            has_lease: false,
            is_served: true,
            next_message_at: now,
            next_role_update_at: now,
            follower_updates: 0,
            sent: 0,
            received: 0,
            takeovers: 0,
        }
    }

    fn follows(&self) -> bool {
        self.follower.is_following() || self.is_planner
    }

    fn claim(&self) -> RoleClaim {
        RoleClaim {
            holder: self.gossip.own_address(),
            domain: self.gossip.domain(),
            incarnation: self.incarnation,
            heartbeat: self.gossip.messages_sent(),
            planner: match (self.is_planner, self.has_lease) {
                (false, _) => PlannerRole::None,
                (true, false) => PlannerRole::Substitute,
                (true, true) => PlannerRole::LeaseHolder,
            },
            follower: match (self.follows(), self.is_served) {
                (false, _) => FollowerRole::None,
                (true, false) => FollowerRole::Unserved,
                (true, true) => FollowerRole::Served,
            },
            instances_position: StorePosition::default(),
            instances_digest: 0,
        }
    }

    fn message(&mut self, now: Instant) -> GossipMessage {
        let silence = self.gossip.timing().silence_timeout();
        GossipMessage {
            protocol: PROTOCOL,
            member: MemberName::new(format!("front-{}", self.gossip.own_address().ip())).unwrap(),
            own_claim: self.claim(),
            config_version: self.config_version,
            is_draining: false,
            work: Vec::new(),
            suspects: Vec::new(),
            failing: Vec::new(),
            layers: Vec::new(),
            slowdowns: Vec::new(),
            claims: self.gossip.claims().to_relay(silence, now),
            peers: self.gossip.sample_peers(),
            answer_ages: Vec::new(),
        }
    }
}

/// A fleet on a network that loses some of the messages.
struct Fleet {
    gateways: Vec<Option<Gateway>>,
    lease_holder: Option<usize>,
    loss: f64,
    rng: ChaCha8Rng,
    now: Instant,
    largest_bytes: usize,
}

impl Fleet {
    fn new(size: usize, loss: f64, seed: u64) -> Self {
        let now = Instant::now();
        let seeds: Vec<SocketAddr> = (0..3.min(size)).map(address).collect();
        Self {
            gateways: (0..size)
                .map(|index| Some(Gateway::new(index, 1, &seeds, now)))
                .collect(),
            lease_holder: None,
            loss,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            largest_bytes: 0,
        }
    }

    fn live(&self) -> impl Iterator<Item = &Gateway> {
        self.gateways.iter().flatten()
    }

    fn planners(&self) -> usize {
        self.live().filter(|gateway| gateway.is_planner).count()
    }

    fn run_for(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs the fleet until a condition holds; returns the time that it took.
    fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while self.now < start + limit && !holds(self) {
            self.now += Duration::from_millis(10);
            for index in 0..self.gateways.len() {
                self.step(index);
            }
        }
        self.now - start
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let Some(gateway) = &mut self.gateways[index] else {
            return;
        };
        if gateway.next_role_update_at <= now {
            gateway.next_role_update_at = now + ROLE_INTERVAL;
            let told = gateway.gossip.claims().newest_answers();
            let view = StoreView {
                is_served: gateway.is_served,
                answers: if gateway.follows() && gateway.is_served {
                    StoreAnswers::with_both(now)
                } else {
                    told
                },
            };
            gateway.follower.step(&gateway.gossip, view, now);
            // Only one gateway at a time holds the store's lease.
            gateway.follower_updates += 1;
            let is_due = gateway
                .follower_updates
                .is_multiple_of(FOLLOWER_UPDATES_PER_PLANNER_UPDATE);
            if is_due && !gateway.has_lease && gateway.follows() {
                let step = gateway
                    .planner
                    .step(&gateway.gossip, gateway.is_planner, now);
                if let PlannerStep::TakeOver {
                    plans_without_lease,
                } = step
                {
                    gateway.takeovers += 1;
                    if self.lease_holder.is_none() {
                        self.lease_holder = Some(index);
                        gateway.has_lease = true;
                    }
                    gateway.is_planner = plans_without_lease || gateway.has_lease;
                } else {
                    gateway.is_planner = false;
                }
            }
        }
        while let Some(gateway) = &mut self.gateways[index]
            && gateway.next_message_at <= now
        {
            gateway.next_message_at += gateway.gossip.timing().message_interval();
            let Some(target) = gateway.gossip.next_target(now) else {
                continue;
            };
            let message = gateway.message(now);
            gateway.sent += 1;
            let from = gateway.gossip.own_address();
            let bytes = postcard::to_stdvec(&message).unwrap().len();
            self.largest_bytes = self.largest_bytes.max(bytes);
            if self.rng.random_bool(self.loss) {
                continue;
            }
            if let Some(receiver) = &mut self.gateways[index_of(target)] {
                receiver.received += 1;
                receiver.gossip.on_message(from, &message, now);
                if message.config_version > receiver.config_version {
                    receiver.config_version = message.config_version;
                }
            }
        }
    }

    fn kill(&mut self, index: usize) {
        self.gateways[index] = None;
    }

    fn restart(&mut self, index: usize, incarnation: u64) {
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        self.gateways[index] = Some(Gateway::new(index, incarnation, &seeds, self.now));
    }

    /// Returns the number of followers in each domain.
    fn followers(&self) -> BTreeMap<u64, usize> {
        let mut followers: BTreeMap<u64, usize> = BTreeMap::new();
        for gateway in self.live() {
            let count = followers.entry(gateway.gossip.domain()).or_default();
            *count += usize::from(gateway.follower.is_following());
        }
        followers
    }
}

/// The time within which a fleet has started.
const START: Duration = Duration::from_secs(5);

#[test]
fn test_one_gateway_plans_and_two_of_each_domain_follow_the_store_in_fleets_of_any_size() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 0.02, 7);
        fleet.run_for(START);
        assert_eq!(fleet.planners(), 1, "{size} gateways");
        let expected = 2.min(size / DOMAINS);
        for (domain, followers) in fleet.followers() {
            assert_eq!(followers, expected, "{size} gateways, domain {domain}");
        }
        let asked: u32 = fleet.live().map(|gateway| gateway.takeovers).sum();
        assert!(asked <= 20, "{asked} lease requests");
        let knows_all = |gateway: &Gateway, now| gateway.gossip.live_peers(now).count() == size - 1;
        // Half of the messages go to gateways of other domains.
        let limit = START + fleet.live().next().unwrap().gossip.timing().round() * 4;
        let time = fleet.run_until(limit, |fleet| {
            fleet.live().all(|gateway| knows_all(gateway, fleet.now))
        });
        assert!(time < limit, "{size} gateways");
    }
}

/// Guards against 103 gateways that sent each other a message about every two seconds, took
/// one second of silence for a loss, and had up to seven planners at once.
#[test]
fn test_no_planner_is_taken_for_lost_on_a_sound_network() {
    for size in SIZES.into_iter().chain([LARGE]) {
        let mut fleet = Fleet::new(size, 0.05, 11);
        fleet.run_for(START);
        let before: u32 = fleet.live().map(|gateway| gateway.takeovers).sum();
        fleet.run_for(Duration::from_secs(5));
        let after: u32 = fleet.live().map(|gateway| gateway.takeovers).sum();
        assert_eq!(after, before, "{size} gateways");
        assert_eq!(fleet.planners(), 1, "{size} gateways");
    }
}

#[test]
fn test_messages_that_a_gateway_sends_and_receives_do_not_grow_with_the_fleet() {
    for size in [30, 103, LARGE] {
        let mut fleet = Fleet::new(size, 0.0, 13);
        fleet.run_for(START);
        let before: Vec<(u64, u64)> = fleet
            .live()
            .map(|gateway| (gateway.sent, gateway.received))
            .collect();
        fleet.run_for(Duration::from_secs(2));
        for (gateway, (sent, received)) in fleet.live().zip(before) {
            // A hundred a second, plus the random variation of those received.
            assert!(gateway.sent - sent <= 205, "{size} gateways");
            assert!(gateway.received - received <= 300, "{size} gateways");
        }
        assert!(fleet.largest_bytes <= MAX_MESSAGE_BYTES);
    }
}

/// A version known to one gateway reaches all within an eighth of the shortest time limit
/// for configurations, which leaves the rest for fetching it.
#[test]
fn test_news_of_a_version_reaches_all_gateways() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 0.05, 17);
        fleet.run_for(START);
        fleet.gateways[4].as_mut().unwrap().config_version = 2;
        let time = fleet.run_until(Duration::from_secs(4), |fleet| {
            fleet.live().all(|gateway| gateway.config_version == 2)
        });
        assert!(
            time <= Duration::from_millis(500),
            "{size} gateways: {time:?}"
        );
    }
}

/// A killed planner is replaced by one gateway within the silence timeout and the
/// propagation time.
#[test]
fn test_killed_planner_is_replaced_by_one_gateway() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 0.02, 19);
        fleet.run_for(START);
        let planner = fleet.lease_holder.unwrap();
        // Its lease outlives it.
        fleet.kill(planner);
        let time = fleet.run_until(Duration::from_secs(10), |fleet| fleet.planners() > 0);
        assert!(time <= LEASE, "{size} gateways: {time:?}");
        assert!(
            time >= Duration::from_millis(900),
            "{size} gateways: {time:?}"
        );
        fleet.run_for(Duration::from_secs(5));
        assert_eq!(fleet.planners(), 1, "{size} gateways");
    }
}

/// Simulates many processes that are killed at the same moment and restart.
#[test]
fn test_roles_are_held_again_after_half_or_all_gateways_were_killed() {
    for (size, share) in [(30, 1), (30, 2), (103, 1), (103, 2)] {
        let mut fleet = Fleet::new(size, 0.02, 23);
        fleet.run_for(START);
        // The lease of a killed planner expires before the planner is back.
        if fleet.lease_holder.is_some_and(|holder| holder % share == 0) {
            fleet.lease_holder = None;
        }
        for index in (0..size).filter(|index| index % share == 0) {
            // The clock may have been set back meanwhile.
            fleet.restart(index, if index % 3 == 0 { 0 } else { 2 });
        }
        fleet.run_for(START);
        assert_eq!(fleet.planners(), 1, "{size} gateways");
        for (domain, followers) in fleet.followers() {
            assert_eq!(followers, 2, "{size} gateways, domain {domain}");
        }
    }
}

/// Guards against a retry storm after all gateways were killed: each took a part of the
/// common burst according to the load that it assumed, and together they took it three
/// times.
#[test]
fn test_retries_of_all_gateways_stay_within_the_common_budget_after_a_restart() {
    let size = 103;
    let mut fleet = Fleet::new(size, 0.02, 41);
    fleet.run_for(START);
    for index in 0..size {
        fleet.restart(index, 2);
    }
    let service = ServiceName::new("desk").unwrap();
    let bounds = RetryBounds {
        ratio: 0.2,
        burst: 390.0,
        window: Duration::from_secs(10),
    };
    let start = fleet.now;
    let mut budgets: Vec<WindowedRetryBudget> = (0..size)
        .map(|_| WindowedRetryBudget::new(bounds, start))
        .collect();
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for step in 0..140_usize {
        fleet.run_for(Duration::from_millis(100));
        let now = fleet.now;
        for (index, budget) in budgets.iter_mut().enumerate() {
            let share = fleet.gateways[index].as_ref().unwrap().gossip.equal_share();
            // About 340 requests a second, most of them at some of the gateways.
            if (index + step) % (1 + index % 5) == 0 {
                budget.on_request(&service, now);
                requests.push(now);
            }
            while budget.try_retry(&service, share, now) {
                repeats.push(now);
            }
        }
    }
    for step in 0..140 {
        let from = start + Duration::from_millis(100) * step;
        let within = |times: &[Instant]| {
            let times = times.iter();
            times
                .filter(|at| **at >= from && **at < from + bounds.window)
                .count() as f64
        };
        let allowed = bounds.ratio * within(&requests) + bounds.burst;
        let sent = within(&repeats);
        assert!(
            sent <= allowed,
            "{sent} retries, {allowed} allowed from step {step}"
        );
    }
    assert!(repeats.len() > 300, "only {} retries", repeats.len());
}

/// Simulates a store that rejects the gateways that follow it, and serves others.
#[test]
fn test_gateways_that_the_store_rejects_leave_the_role_to_others() {
    let mut fleet = Fleet::new(103, 0.02, 29);
    fleet.run_for(START);
    for gateway in fleet.gateways.iter_mut().flatten() {
        if gateway.follower.is_following() {
            gateway.is_served = false;
        }
    }
    let time = fleet.run_until(Duration::from_secs(10), |fleet| {
        let served = fleet
            .live()
            .filter(|gateway| gateway.follower.is_following() && gateway.is_served);
        let domains: BTreeSet<u64> = served.map(|gateway| gateway.gossip.domain()).collect();
        domains.len() == DOMAINS
    });
    assert!(time <= Duration::from_secs(4), "{time:?}");
}

/// While the store is unavailable for all, few gateways ask it at a time.
#[test]
fn test_few_gateways_ask_an_unavailable_store() {
    let mut fleet = Fleet::new(103, 0.02, 31);
    fleet.run_for(START);
    for gateway in fleet.gateways.iter_mut().flatten() {
        gateway.is_served = false;
    }
    for _ in 0..40 {
        fleet.run_for(Duration::from_millis(250));
        let following = fleet
            .live()
            .filter(|gateway| gateway.follower.is_following())
            .count();
        assert!(following <= 4 * DOMAINS, "{following} at once");
    }
}

#[test]
fn test_draining_or_silent_planner_is_replaced_but_not_before() {
    let now = Instant::now();
    let claim = |index: usize, beat: u64, planner: PlannerRole| RoleClaim {
        holder: address(index),
        domain: 0,
        incarnation: 1,
        heartbeat: beat,
        planner,
        follower: match planner {
            PlannerRole::None => FollowerRole::None,
            _ => FollowerRole::Served,
        },
        instances_position: StorePosition::default(),
        instances_digest: 0,
    };
    let mut gateway = Gateway::new(0, 1, &[], now);
    let send = |gossip: &mut Gossip, claim: RoleClaim, at: Instant| {
        let mut message = Gateway::new(1, 1, &[], now).message(at);
        message.own_claim = claim;
        gossip.on_message(claim.holder, &message, at)
    };
    let silence = gateway.gossip.timing().silence_timeout();
    // When a fleet starts, the winner of the lease is about to announce it.
    assert!(!gateway.gossip.claims().has_lost_planner(silence, now));
    send(
        &mut gateway.gossip,
        claim(1, 1, PlannerRole::LeaseHolder),
        now,
    );
    assert!(gateway.gossip.claims().has_planner(silence, now));
    // It drains: its streams last for seconds, in which it does not plan.
    send(&mut gateway.gossip, claim(1, 2, PlannerRole::None), now);
    assert!(gateway.gossip.claims().has_lost_planner(silence, now));
    assert_eq!(
        gateway.planner.step(&gateway.gossip, false, now),
        PlannerStep::Defer
    );
    let soon = now + Duration::from_millis(600);
    let step = gateway.planner.step(&gateway.gossip, false, soon);
    assert_eq!(
        step,
        PlannerStep::TakeOver {
            plans_without_lease: true
        }
    );
    // Another gateway plans, and falls silent.
    send(
        &mut gateway.gossip,
        claim(2, 1, PlannerRole::Substitute),
        soon,
    );
    assert_eq!(
        gateway.planner.step(&gateway.gossip, false, soon),
        PlannerStep::Defer
    );
    let later = soon + Duration::from_millis(900);
    assert!(gateway.gossip.claims().has_planner(silence, later));
    let lost = soon + Duration::from_millis(1_100);
    assert!(gateway.gossip.claims().has_lost_planner(silence, lost));
}

#[test]
fn test_forged_and_old_messages_change_nothing() {
    let now = Instant::now();
    let mut gateway = Gateway::new(0, 1, &[], now);
    let mut other = Gateway::new(1, 1, &[], now);
    let old = other.message(now);
    other.gossip.next_target(now);
    other.config_version = 5;
    let new = other.message(now);
    let from = other.gossip.own_address();
    let on = |gateway: &mut Gateway, from, message: &GossipMessage| {
        gateway.gossip.on_message(from, message, now)
    };
    assert_eq!(on(&mut gateway, address(9), &new), Receipt::Ignored);
    assert_eq!(on(&mut gateway, from, &new), Receipt::NewPeer);
    assert_eq!(on(&mut gateway, from, &new), Receipt::Ignored);
    assert_eq!(on(&mut gateway, from, &old), Receipt::Ignored);
    let (_, peer) = gateway.gossip.live_peers(now).next().unwrap();
    assert_eq!(peer.config_version, 5);
    // A claim about this gateway is not accepted from others.
    let mut forged = other.message(now);
    forged.own_claim.heartbeat = 9;
    forged.claims = vec![gateway.claim()];
    on(&mut gateway, from, &forged);
    let silence = gateway.gossip.timing().silence_timeout();
    let own = gateway.gossip.own_address();
    assert!(
        gateway
            .gossip
            .claims()
            .live_holders(silence, now)
            .all(|claim| claim.holder != own)
    );
}

#[test]
fn test_large_messages_are_made_to_fit() {
    let now = Instant::now();
    let mut message = Gateway::new(1, 1, &[], now).message(now);
    message.peers = (0..500).map(address).collect();
    message.claims = (0..500).map(|_| message.own_claim).collect();
    let size = |message: &GossipMessage| postcard::to_stdvec(message).unwrap().len();
    message.fit(size, MAX_MESSAGE_BYTES);
    assert!(size(&message) <= MAX_MESSAGE_BYTES);
    assert!(!message.claims.is_empty());
}

/// Few gateways check a suspicion that was reported to all, from different domains.
#[test]
fn test_three_gateways_of_three_domains_check_a_suspicion() {
    let mut fleet = Fleet::new(103, 0.0, 37);
    fleet.run_for(START);
    for subject in 0..50 {
        let chosen: Vec<u64> = fleet
            .live()
            .filter(|gateway| gateway.gossip.is_selected_checker(subject, 3, fleet.now))
            .map(|gateway| gateway.gossip.domain())
            .collect();
        let domains: BTreeSet<u64> = chosen.iter().copied().collect();
        assert_eq!((chosen.len(), domains.len()), (3, 3));
    }
}

/// Simulates a suspended planner: the runtime's clock stood still meanwhile.
#[test]
fn test_stalled_process_notices_it_by_the_clock_that_includes_suspension() {
    let mut watch = StallDetector::new(Duration::from_secs(100));
    assert!(!watch.has_stalled(Duration::from_millis(100_150)));
    assert!(watch.has_stalled(Duration::from_millis(103_200)));
    assert!(!watch.has_stalled(Duration::from_millis(103_300)));
}

#[test]
fn test_changes_since_a_revision_are_complete_or_none() {
    let mut log = EntryLog::new();
    log.note(Revision(3), "early");
    assert_eq!(log.since(Revision(2)), None);
    log.restart(Revision(10));
    log.note(Revision(11), "a");
    log.note(Revision(12), "b");
    log.note(Revision(13), "a");
    assert_eq!(log.since(Revision(9)), None);
    assert_eq!(log.since(Revision(11)).unwrap().len(), 2);
    assert_eq!(log.since(Revision(13)).unwrap().len(), 0);
    for revision in 14..4_014 {
        log.note(Revision(revision), "c");
    }
    assert_eq!(log.since(Revision(11)), None);
    log.stop();
    assert_eq!(log.since(Revision(4_013)), None);
}

fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(any::<u8>(), 0..2_000)
}

proptest! {
    #![proptest_config(ProptestConfig::default())]

    #[test]
    fn test_random_bytes_are_no_message_and_harm_nothing(bytes in any_bytes()) {
        if let Ok(message) = postcard::from_bytes::<GossipMessage>(&bytes) {
            let now = Instant::now();
            let mut gossip = Gossip::new(address(0), 0, &[], 1, now);
            gossip.on_message(message.own_claim.holder, &message, now);
            gossip.next_target(now);
        }
    }
}
