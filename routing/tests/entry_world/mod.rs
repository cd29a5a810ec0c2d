//! Gateways that learn upstreams' entries from a simulated store and from each other.
//!
//! The decisions are the library's. The store's calls, the fetches between gateways and the
//! network are simulated in steps of ten milliseconds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::fleet::absences::Absences;
use jujubewall_routing::fleet::claims::FollowerRole;
use jujubewall_routing::fleet::claims::PlannerRole;
use jujubewall_routing::fleet::claims::RoleClaim;
use jujubewall_routing::fleet::entry_bounds::BATCH_PAUSE;
use jujubewall_routing::fleet::entry_bounds::EntryBounds;
use jujubewall_routing::fleet::entry_bounds::SYNC_INTERVAL;
use jujubewall_routing::fleet::entry_log::EntryLog;
use jujubewall_routing::fleet::entry_sync::EntryFetch;
use jujubewall_routing::fleet::entry_sync::EntrySync;
use jujubewall_routing::fleet::entry_sync::OwnEntries;
use jujubewall_routing::fleet::entry_sync::most_followers_have;
use jujubewall_routing::fleet::follower_election::FollowerElection;
use jujubewall_routing::fleet::follower_election::StoreView;
use jujubewall_routing::fleet::gossip::Gossip;
use jujubewall_routing::fleet::gossip::GossipMessage;
use jujubewall_routing::fleet::gossip::PROTOCOL;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_routing::fleet::store_answers::AnswerAges;
use jujubewall_routing::fleet::store_answers::Topic;
use jujubewall_routing::fleet::store_belief::StoreBelief;
use jujubewall_routing::fleet::store_belief::StoreCall;
use jujubewall_routing::fleet::store_timing::CONFIG_FETCH_DELAY;
use jujubewall_routing::fleet::store_timing::CONNECT_TIMEOUT;
use jujubewall_routing::fleet::store_timing::MAX_RETRY_PAUSE;
use jujubewall_routing::fleet::store_timing::MIN_RETRY_PAUSE;
use jujubewall_routing::fleet::store_timing::PROBE_WAIT;
use jujubewall_routing::fleet::store_timing::REPLY_TIMEOUT;
use jujubewall_routing::fleet::store_timing::WATCH_OVERDUE;
use jujubewall_routing::fleet::store_timing::follower_answer_age;
use jujubewall_routing::fleet::store_timing::watch_wait;
use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::StoreEra;
use jujubewall_types::id::StorePosition;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::fleet_addresses::address;
use crate::fleet_addresses::index_of;

/// The number of upstreams.
pub const UPSTREAMS: usize = 20;

const STEP: Duration = Duration::from_millis(10);

/// The number of failure domains of the large fleets.
const DOMAINS: usize = 3;

/// The share of datagrams that the network loses.
const LOSS: f64 = 0.02;

/// The time between two writes of an upstream's entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// How much later a slow store answers.
const SLOW_ANSWER: Duration = Duration::from_millis(600);

/// How the store turns a gateway away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Away {
    /// Every call fails at once, also a watch that waits.
    Refused,
    /// Every new call fails at once; a watch that waits goes on.
    RateLimited,
    /// No connection opens, and open ones are silent.
    Silent,
    /// Connections open, and no call is answered.
    Unanswered,
    /// Every call is answered late.
    Slow,
}

impl Away {
    /// Returns the time after which a call without an answer fails; `None` if calls are
    /// answered in some way.
    const fn answer_timeout(self) -> Option<Duration> {
        match self {
            Self::Silent => Some(CONNECT_TIMEOUT),
            Self::Unanswered => Some(REPLY_TIMEOUT),
            Self::Refused | Self::RateLimited | Self::Slow => None,
        }
    }
}

/// Whether a gateway's process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Life {
    Running,
    /// It was told to stop, and goes on for a while.
    Stopping,
    /// It exists and does nothing.
    Frozen,
    Ended,
}

/// The call to the store that a gateway makes.
#[derive(Clone, Copy, Debug)]
enum Call {
    None {
        next_at: Instant,
    },
    List {
        begun_at: Instant,
        ends_at: Instant,
    },
    Watch {
        begun_at: Instant,
        ends_at: Instant,
        /// When a second watch begins on a new connection.
        overdue_at: Instant,
        /// Whether its connection has gone silent.
        is_silent: bool,
    },
}

fn id(upstream: usize) -> SmolStr {
    SmolStr::new(format!("i-{upstream}"))
}

fn instance(upstream: usize) -> Instance {
    Instance {
        id: id(upstream),
        service: ServiceName::new("llm").unwrap(),
        address: SocketAddr::from(([10, 9, 0, u8::try_from(upstream).unwrap()], 80)),
        failure_domain: FailureDomainName::new("hall").unwrap(),
        slots: 8,
        state: InstanceState::Ready,
        born_unix_ms: 1,
        layers: None,
        accelerator: None,
    }
}

struct Gateway {
    gossip: Gossip,
    election: FollowerElection,
    sync: EntrySync,
    absences: Absences,
    belief: StoreBelief,
    table: InstanceTable,
    log: EntryLog,
    position: StorePosition,
    watched: u64,
    call: Call,
    changed_at: Instant,
    retry_pause: Duration,
    behind_since: Option<Instant>,
    life: Life,
    incarnation: u64,
    is_synced: bool,
    away: Option<(Away, Instant)>,
    is_cut: bool,
    /// The calls to the store so far.
    calls: u64,
    config_version: u64,
    /// Since when a peer has had a newer configuration.
    config_behind_since: Option<Instant>,
    next_message_at: Instant,
    next_sync_at: Instant,
}

impl Gateway {
    fn new(index: usize, size: usize, domains: usize, seed: u64, now: Instant) -> Self {
        let seeds: Vec<SocketAddr> = (0..3.min(size)).map(address).collect();
        let domain = u64::try_from(index % domains).unwrap();
        let draw = seed * 1_000 + u64::try_from(index).unwrap();
        Self {
            gossip: Gossip::new(address(index), domain, &seeds, draw, now),
            election: FollowerElection::new(),
            sync: EntrySync::new(),
            absences: Absences::new(),
            belief: StoreBelief::new(HEARTBEAT_INTERVAL),
            table: InstanceTable::new(),
            log: EntryLog::new(),
            position: StorePosition::default(),
            watched: 0,
            call: Call::None { next_at: now },
            changed_at: now,
            retry_pause: MIN_RETRY_PAUSE,
            behind_since: None,
            life: Life::Running,
            incarnation: 1,
            is_synced: false,
            away: None,
            is_cut: false,
            calls: 0,
            config_version: 1,
            config_behind_since: None,
            next_message_at: now,
            next_sync_at: now,
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.life, Life::Running | Life::Stopping)
    }

    fn is_draining(&self) -> bool {
        self.life == Life::Stopping
    }

    fn is_store_source(&self) -> bool {
        self.election.is_following()
            && self.belief.is_link_up()
            && self.is_synced
            && self.log.is_running()
    }

    fn away(&self, now: Instant) -> Option<Away> {
        if self.is_cut {
            return Some(Away::Silent);
        }
        self.away
            .filter(|(_, until)| now < *until)
            .map(|(away, _)| away)
    }

    fn message(&mut self, now: Instant) -> GossipMessage {
        let silence = self.gossip.timing().silence_timeout();
        let claims = self.gossip.claims().to_relay(silence, now);
        let told = claims
            .iter()
            .map(|claim| self.gossip.claims().answers_of(claim.holder));
        let answers = std::iter::once(self.belief.own_answers()).chain(told);
        let answer_ages = answers
            .map(|answers| AnswerAges::new(answers, now))
            .collect();
        GossipMessage {
            protocol: PROTOCOL,
            member: MemberName::new(format!("front-{}", self.gossip.own_address().ip())).unwrap(),
            own_claim: RoleClaim {
                holder: self.gossip.own_address(),
                domain: self.gossip.domain(),
                incarnation: self.incarnation,
                heartbeat: self.gossip.messages_sent(),
                planner: PlannerRole::None,
                follower: match (
                    self.election.is_following() && !self.is_draining(),
                    self.is_store_source(),
                ) {
                    (false, _) => FollowerRole::None,
                    (true, false) => FollowerRole::Unserved,
                    (true, true) => FollowerRole::Served,
                },
                instances_position: self.position,
                instances_digest: self.table.entries_digest(),
            },
            config_version: self.config_version,
            is_draining: self.is_draining(),
            work: Vec::new(),
            suspects: Vec::new(),
            failing: Vec::new(),
            layers: Vec::new(),
            slowdowns: Vec::new(),
            claims,
            peers: self.gossip.sample_peers(),
            answer_ages,
        }
    }

    fn advance(&mut self, revision: u64) {
        let position = StorePosition {
            era: StoreEra::default(),
            revision: Revision(revision),
        };
        self.position = self.position.max(position);
    }

    fn upsert(&mut self, instance: Instance, now: Instant) {
        self.absences.on_entry(&instance.id);
        self.table.upsert(instance, now);
    }

    fn remove(&mut self, id: &str, now: Instant) {
        match self.belief.rewriting_until(now) {
            Some(until) => self.absences.keep(id, until),
            None => {
                self.table.depart(id, now);
            }
        }
    }

    fn replace(&mut self, instances: &[Instance], now: Instant) {
        for instance in instances {
            self.upsert(instance.clone(), now);
        }
        let known = self
            .table
            .iter()
            .map(|(_, tracked)| tracked.instance.id.clone());
        let gone: Vec<SmolStr> = known
            .filter(|id| instances.iter().all(|instance| instance.id != *id))
            .collect();
        for id in gone {
            self.remove(&id, now);
        }
        self.is_synced = true;
    }

    /// Handles an answer that shows the store's state `at` a time. The calls for the
    /// configuration are made at the same times.
    fn on_answer(&mut self, store: &Store, at: Instant, now: Instant) {
        self.belief.on_call(StoreCall::Answered, now);
        self.belief.on_read(Topic::Config, at, now);
        self.belief.on_read(Topic::Entries, at, now);
        self.retry_pause = MIN_RETRY_PAUSE;
        self.config_version = self.config_version.max(store.config_version);
    }

    fn on_call_failed(&mut self, begun_at: Instant, now: Instant) {
        self.belief.on_call(StoreCall::Failed { begun_at }, now);
        self.call = Call::None {
            next_at: now + self.retry_pause,
        };
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    fn follow(&mut self, store: &Store, bounds: EntryBounds, now: Instant) {
        if !self.election.is_following() {
            self.log.stop();
            self.call = Call::None { next_at: now };
            return;
        }
        let away = self.away(now);
        match self.call {
            Call::None { next_at } if now >= next_at => {
                if self.log.is_running() {
                    self.count_call();
                    self.call = Call::Watch {
                        begun_at: now,
                        ends_at: now + PROBE_WAIT,
                        overdue_at: now + PROBE_WAIT + WATCH_OVERDUE,
                        is_silent: false,
                    };
                    return;
                }
                self.count_call();
                let time = match away {
                    Some(Away::Silent) => CONNECT_TIMEOUT + REPLY_TIMEOUT,
                    Some(Away::Unanswered) => REPLY_TIMEOUT,
                    Some(Away::Slow) => SLOW_ANSWER,
                    _ => STEP,
                };
                self.call = Call::List {
                    begun_at: now,
                    ends_at: now + time,
                };
            }
            Call::List { begun_at, ends_at } if now >= ends_at => {
                if away.is_some_and(|away| away != Away::Slow) {
                    self.on_call_failed(begun_at, now);
                    return;
                }
                self.on_answer(store, begun_at, now);
                self.replace(&store.list(), now);
                self.advance(store.newest_entry);
                self.log.restart(Revision(store.revision));
                self.watched = store.revision;
                self.changed_at = now;
                self.begin_watch(now);
            }
            Call::Watch { begun_at, .. } => {
                self.watch(store, now);
                if matches!(self.call, Call::Watch { begun_at: at, .. } if at == begun_at) {
                    self.check_behind(bounds, now);
                }
            }
            Call::None { .. } | Call::List { .. } => {}
        }
    }

    /// Counts a call for each topic.
    const fn count_call(&mut self) {
        self.calls += 2;
    }

    fn begin_watch(&mut self, now: Instant) {
        let followers = self.served_peers(now) + 1;
        let wait = watch_wait(self.rank(now), followers, now - self.changed_at);
        self.behind_since = None;
        self.count_call();
        self.call = Call::Watch {
            begun_at: now,
            ends_at: now + wait,
            overdue_at: now + wait + WATCH_OVERDUE,
            is_silent: false,
        };
    }

    /// Returns the number of other gateways that follow the store and are served.
    fn served_peers(&self, now: Instant) -> usize {
        let silence = self.gossip.timing().silence_timeout();
        let live = self.gossip.claims().live_holders(silence, now);
        live.filter(|claim| claim.follower == FollowerRole::Served)
            .count()
    }

    fn rank(&self, now: Instant) -> usize {
        let silence = self.gossip.timing().silence_timeout();
        let live = self.gossip.claims().live_holders(silence, now);
        let own = self.gossip.own_address();
        live.filter(|claim| claim.follower == FollowerRole::Served && claim.holder < own)
            .count()
    }

    fn watch(&mut self, store: &Store, now: Instant) {
        let Call::Watch {
            begun_at,
            ends_at,
            overdue_at,
            is_silent,
        } = self.call
        else {
            return;
        };
        let was_overdue = now > overdue_at;
        let overdue_at = if ends_at > begun_at + PROBE_WAIT && self.is_answer_overdue(now) {
            overdue_at.min(now)
        } else {
            overdue_at
        };
        self.call = Call::Watch {
            begun_at,
            ends_at,
            overdue_at,
            is_silent,
        };
        let away = self.away(now);
        let link = if is_silent { Some(Away::Silent) } else { away };
        let is_overdue = now >= overdue_at;
        if is_overdue && !was_overdue {
            self.count_call();
        }
        match link {
            Some(Away::Refused) => return self.on_call_failed(begun_at, now),
            Some(Away::RateLimited) if now >= ends_at.min(overdue_at) => {
                return self.on_call_failed(begun_at, now);
            }
            // A second watch on a new connection is answered at once, or fails as well.
            Some(Away::Silent | Away::Unanswered)
                if let Some(timeout) = away.and_then(Away::answer_timeout) =>
            {
                if now >= overdue_at + timeout {
                    self.on_call_failed(overdue_at, now);
                }
                return;
            }
            Some(Away::Silent) if !is_overdue => return,
            _ => {}
        }
        let late = match away {
            Some(Away::Slow) => SLOW_ANSWER,
            _ => Duration::ZERO,
        };
        let has_changed = store.changed_at + late <= now && store.revision > self.watched;
        if has_changed {
            self.on_answer(store, now - late, now);
            for (revision, upstream) in store.changes_after(self.watched) {
                self.advance(revision);
                self.log.note(Revision(revision), &id(upstream));
                if store.entries.contains(&upstream) {
                    self.upsert(instance(upstream), now);
                } else {
                    self.remove(&id(upstream), now);
                }
            }
            self.watched = store.revision;
            self.changed_at = now;
            self.begin_watch(now + BATCH_PAUSE);
        } else if now >= ends_at.min(overdue_at) + late {
            self.on_answer(store, now - late, now);
            self.begin_watch(now);
        }
    }

    /// Returns whether it is this gateway's turn to ask the store beside its watch.
    fn is_answer_overdue(&self, now: Instant) -> bool {
        let answers = self.belief.answers().newest(self.belief.own_answers());
        let answered_at = answers.answered_at(Topic::Entries);
        answered_at.is_some_and(|at| {
            now.saturating_duration_since(at) >= follower_answer_age(self.rank(now))
        })
    }

    fn check_behind(&mut self, bounds: EntryBounds, now: Instant) {
        if !self.is_behind(now) {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= bounds.max_behind() {
            self.log.stop();
            self.call = Call::None { next_at: now };
        }
    }

    fn is_behind(&self, now: Instant) -> bool {
        let silence = self.gossip.timing().silence_timeout();
        let mut live = self.gossip.claims().live_holders(silence, now);
        live.any(|claim| {
            claim.follower == FollowerRole::Served && claim.instances_position > self.position
        })
    }

    fn weigh_answers(&mut self, now: Instant) {
        let told = self.gossip.claims().newest_answers();
        let silence = self.gossip.timing().silence_timeout();
        let mut live = self.gossip.claims().live_holders(silence, now);
        let is_other_unserved = live.any(|claim| claim.follower == FollowerRole::Unserved);
        self.belief.weigh(told, is_other_unserved, now);
    }

    fn remove_absent(&mut self, now: Instant) {
        if self.belief.is_away() {
            return;
        }
        let mut absent = self.absences.take_overdue(now);
        if self.absences.missing().next().is_some() {
            let digest = self.table.entries_digest_without(self.absences.missing());
            let silence = self.gossip.timing().silence_timeout();
            let own = self.gossip.own_address();
            if most_followers_have(digest, own, self.gossip.claims(), silence, now)
                && self.belief.end_rewriting(now)
            {
                absent.extend(self.absences.take_all());
            }
        }
        for id in absent {
            self.remove(&id, now);
        }
    }

    fn next_fetch(&mut self, bounds: EntryBounds, now: Instant) -> Option<EntryFetch> {
        if self.is_store_source() {
            self.sync.on_store_source();
            return None;
        }
        let own = OwnEntries {
            address: self.gossip.own_address(),
            domain: self.gossip.domain(),
            position: self.position,
            digest: self.table.entries_digest(),
            is_synced: self.is_synced,
        };
        let silence = self.gossip.timing().silence_timeout();
        self.sync
            .next_fetch(&own, self.gossip.claims(), bounds, silence, now)
    }
}

/// The store's entries and the history of their changes.
struct Store {
    revision: u64,
    newest_entry: u64,
    entries: BTreeSet<usize>,
    changes: Vec<(u64, usize)>,
    changed_at: Instant,
    config_version: u64,
}

impl Store {
    fn list(&self) -> Vec<Instance> {
        self.entries
            .iter()
            .map(|upstream| instance(*upstream))
            .collect()
    }

    fn change(&mut self, upstream: usize, is_present: bool, now: Instant) {
        self.changed_at = now;
        self.revision += 1;
        if is_present {
            self.entries.insert(upstream);
            self.newest_entry = self.revision;
        } else {
            self.entries.remove(&upstream);
        }
        self.changes.push((self.revision, upstream));
    }

    /// Returns the last change of each upstream after a revision, in order.
    fn changes_after(&self, after: u64) -> BTreeMap<u64, usize> {
        let later = self
            .changes
            .iter()
            .filter(|(revision, _)| *revision > after);
        later.copied().collect()
    }
}

/// Gateways, their network and the store.
pub struct World {
    gateways: Vec<Gateway>,
    domains: usize,
    seed: u64,
    store: Store,
    bound: Duration,
    /// The time between two changes of an entry, as in a release.
    change_interval: Option<Duration>,
    next_change_at: Instant,
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
}

impl World {
    /// Creates a fleet that starts with all upstreams in the store.
    pub fn new(size: usize, bound: Duration, seed: u64) -> Self {
        Self::with_domains(size, DOMAINS, bound, seed)
    }

    /// Creates a fleet in so many failure domains that starts with all upstreams in the store.
    pub fn with_domains(size: usize, domains: usize, bound: Duration, seed: u64) -> Self {
        let now = Instant::now();
        let mut store = Store {
            revision: 10,
            newest_entry: 10,
            entries: BTreeSet::new(),
            changes: Vec::new(),
            changed_at: now,
            config_version: 1,
        };
        for upstream in 0..UPSTREAMS {
            store.change(upstream, true, now);
        }
        Self {
            gateways: (0..size)
                .map(|index| Gateway::new(index, size, domains, seed, now))
                .collect(),
            domains,
            seed,
            store,
            bound,
            change_interval: None,
            next_change_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: now,
            now,
        }
    }

    /// Lets the store turn a share of the gateways away for some time.
    pub fn turn_away(&mut self, share: f64, away: Away, time: Duration) {
        let chosen = self.sample(share);
        self.turn_these_away(&chosen, away, time);
    }

    /// Lets the store turn some gateways away for some time.
    pub fn turn_these_away(&mut self, chosen: &[usize], away: Away, time: Duration) {
        let until = self.now + time;
        for &index in chosen {
            self.gateways[index].away = Some((away, until));
        }
    }

    /// Tells gateways to stop: they go on for a while, and no longer hold a role.
    pub fn stop(&mut self, chosen: &[usize]) {
        for &index in chosen {
            self.gateways[index].life = Life::Stopping;
        }
    }

    /// Freezes the processes of gateways.
    pub fn freeze(&mut self, chosen: &[usize]) {
        for &index in chosen {
            self.gateways[index].life = Life::Frozen;
        }
    }

    /// Lets frozen gateways go on; what was sent to them meanwhile is lost.
    pub fn thaw(&mut self, chosen: &[usize]) {
        for &index in chosen {
            let gateway = &mut self.gateways[index];
            gateway.life = Life::Running;
            gateway.next_message_at = self.now;
        }
    }

    /// Ends gateways.
    pub fn end(&mut self, chosen: &[usize]) {
        for &index in chosen {
            self.gateways[index].life = Life::Ended;
        }
    }

    /// Returns the gateways that follow the store.
    pub fn followers(&self) -> Vec<usize> {
        let follows = |index: &usize| {
            let gateway = &self.gateways[*index];
            gateway.is_running() && gateway.election.is_following()
        };
        (0..self.gateways.len()).filter(follows).collect()
    }

    /// Returns the number of calls to the store so far.
    pub fn calls(&self) -> u64 {
        self.gateways.iter().map(|gateway| gateway.calls).sum()
    }

    /// Returns the number of gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Returns the failure domain of a gateway.
    pub const fn domain_of(&self, index: usize) -> usize {
        index % self.domains
    }

    /// Writes a newer configuration. Returns its version.
    pub fn change_config(&mut self) -> u64 {
        self.store.config_version += 1;
        self.store.revision += 1;
        self.store.changed_at = self.now;
        self.store.config_version
    }

    /// Returns whether all of these gateways apply a configuration.
    pub fn is_config_applied(&self, gateways: &[usize], version: u64) -> bool {
        let mut versions = gateways
            .iter()
            .map(|index| self.gateways[*index].config_version);
        versions.all(|applied| applied >= version)
    }

    /// Returns whether some of these gateways use an upstream.
    pub fn is_known_to_any(&self, gateways: &[usize], upstream: usize) -> bool {
        let id = id(upstream);
        let mut tables = gateways.iter().map(|index| &self.gateways[*index].table);
        tables.any(|table| table.by_id(&id).is_some())
    }

    /// Makes the open connections of all gateways to the store go silent.
    pub fn silence_links(&mut self) {
        for gateway in &mut self.gateways {
            if let Call::Watch { is_silent, .. } = &mut gateway.call {
                *is_silent = true;
            }
        }
    }

    /// Closes the connections of all watches that wait.
    pub fn cut_watches(&mut self) {
        for gateway in &mut self.gateways {
            if let Call::Watch {
                begun_at, ends_at, ..
            } = gateway.call
                && ends_at > self.now + STEP
            {
                gateway.on_call_failed(begun_at, self.now);
            }
        }
    }

    /// Kills all gateways that follow the store.
    pub fn kill_followers(&mut self) -> Vec<usize> {
        let killed = self.followers();
        self.end(&killed);
        killed
    }

    /// Starts killed gateways again.
    pub fn restart(&mut self, killed: &[usize]) {
        let size = self.gateways.len();
        for &index in killed {
            let seed = self.seed + 1;
            self.gateways[index] = Gateway::new(index, size, self.domains, seed, self.now);
            self.gateways[index].incarnation =
                u64::try_from((self.now - self.start).as_millis()).unwrap();
        }
    }

    /// Cuts a share of the gateways off from the store and from the others; they still reach
    /// each other.
    pub fn partition(&mut self, share: f64) -> Vec<usize> {
        let cut = self.sample(share);
        for &index in &cut {
            self.gateways[index].is_cut = true;
        }
        cut
    }

    /// Changes the entry of an upstream that stays at regular intervals from now on.
    pub fn change_entries_every(&mut self, interval: Duration) {
        self.change_interval = Some(interval);
        self.next_change_at = self.now + interval;
    }

    /// Ends a partition.
    pub fn rejoin(&mut self, cut: &[usize]) {
        for &index in cut {
            self.gateways[index].is_cut = false;
        }
    }

    fn sample(&mut self, share: f64) -> Vec<usize> {
        let size = self.gateways.len();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = (share * size as f64).round() as usize;
        let mut chosen: Vec<usize> = (0..size).collect();
        for index in 0..count {
            let other = self.rng.random_range(index..size);
            chosen.swap(index, other);
        }
        chosen.truncate(count);
        chosen
    }

    /// Removes the entry of an upstream that leaves.
    pub fn remove_upstream(&mut self, upstream: usize) {
        self.store.change(upstream, false, self.now);
    }

    /// Removes all entries, as the store does when their leases end while it is down.
    pub fn lapse_entries(&mut self) {
        for upstream in 0..UPSTREAMS {
            self.store.change(upstream, false, self.now);
        }
    }

    /// Writes the entry of an upstream.
    pub fn write_entry(&mut self, upstream: usize) {
        self.store.change(upstream, true, self.now);
    }

    /// Writes the entries of all upstreams from `first` on again.
    pub fn rewrite_entries(&mut self, first: usize) {
        for upstream in first..UPSTREAMS {
            self.store.change(upstream, true, self.now);
        }
    }

    /// Returns whether some gateway uses an upstream.
    pub fn is_known(&self, upstream: usize) -> bool {
        let id = id(upstream);
        let connected = self.running().filter(|gateway| !gateway.is_cut);
        connected
            .into_iter()
            .any(|gateway| gateway.table.by_id(&id).is_some())
    }

    /// Returns whether every gateway uses an upstream.
    pub fn is_known_to_all(&self, upstream: usize) -> bool {
        let id = id(upstream);
        self.running()
            .all(|gateway| gateway.table.by_id(&id).is_some())
    }

    fn running(&self) -> impl Iterator<Item = &Gateway> {
        self.gateways.iter().filter(|gateway| gateway.is_running())
    }

    /// Returns whether some gateway believes that the store is away for all.
    pub fn is_any_belief_away(&self) -> bool {
        self.running().any(|gateway| gateway.belief.is_away())
    }

    /// Runs for some time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until a condition holds; returns the time that it took.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while self.now < start + limit && !holds(self) {
            self.now += STEP;
            if let Some(interval) = self.change_interval
                && self.next_change_at <= self.now
            {
                self.next_change_at += interval;
                self.store.change(UPSTREAMS - 1, true, self.now);
            }
            for index in 0..self.gateways.len() {
                self.step(index);
            }
        }
        self.now - start
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        if !gateway.is_running() {
            return;
        }
        let bounds = EntryBounds::new(self.bound, gateway.gossip.timing());
        gateway.follow(&self.store, bounds, now);
        if gateway.next_sync_at <= now {
            gateway.next_sync_at = now + SYNC_INTERVAL;
            gateway.weigh_answers(now);
            let view = StoreView {
                is_served: gateway.belief.is_link_up(),
                answers: gateway.belief.answers(),
            };
            let before = gateway.election.is_following();
            if gateway.election.step(&gateway.gossip, view, now) && !before {
                gateway.belief.forget_link();
            }
            gateway.remove_absent(now);
            self.fetch_config(index);
            let gateway = &mut self.gateways[index];
            if let Some(fetch) = gateway.next_fetch(bounds, now) {
                self.fetch(index, fetch);
            }
        }
        self.send_messages(index);
    }

    fn fetch_config(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let version = gateway.config_version;
        let newer = gateway.gossip.peer_with_newer_config(version, now);
        let since = newer.and(gateway.config_behind_since.or(Some(now)));
        gateway.config_behind_since = since;
        let is_due = !gateway.is_store_source()
            || since.is_some_and(|since| now - since >= CONFIG_FETCH_DELAY);
        let is_cut = gateway.is_cut;
        if is_due && let Some(peer) = newer {
            let source = &self.gateways[index_of(peer)];
            if source.is_running() && source.is_cut == is_cut {
                self.gateways[index].config_version = version.max(source.config_version);
            }
        }
    }

    fn fetch(&mut self, index: usize, fetch: EntryFetch) {
        let (peer, since) = match fetch {
            EntryFetch::Changes(peer) => (peer, Some(self.gateways[index].position.revision)),
            EntryFetch::All(peer) | EntryFetch::Differing(peer) => (peer, None),
        };
        let now = self.now;
        let source = &self.gateways[index_of(peer)];
        let is_reachable = source.is_running() && source.is_cut == self.gateways[index].is_cut;
        if !is_reachable || !source.is_store_source() {
            return;
        }
        let (position, digest) = (source.position, source.table.entries_digest());
        let all: Vec<Instance> = source
            .table
            .iter()
            .map(|(_, tracked)| tracked.instance.clone())
            .filter(|instance| source.table.by_id(&instance.id).is_some())
            .collect();
        let changed = since.and_then(|since| source.log.since(since));
        let changed = changed.map(|ids| ids.into_iter().cloned().collect::<Vec<_>>());
        let gateway = &mut self.gateways[index];
        gateway.weigh_answers(now);
        match changed {
            None => gateway.replace(&all, now),
            Some(ids) => {
                for id in ids {
                    match all.iter().find(|instance| instance.id == id) {
                        Some(instance) => gateway.upsert(instance.clone(), now),
                        None => gateway.remove(&id, now),
                    }
                }
            }
        }
        gateway.position = gateway.position.max(position);
        if gateway.table.entries_digest() != digest {
            gateway.replace(&all, now);
        }
    }

    fn send_messages(&mut self, index: usize) {
        let now = self.now;
        while self.gateways[index].next_message_at <= now {
            let gateway = &mut self.gateways[index];
            gateway.next_message_at += gateway.gossip.timing().message_interval();
            let Some(target) = gateway.gossip.next_target(now) else {
                continue;
            };
            let message = gateway.message(now);
            let from = gateway.gossip.own_address();
            let is_cut = gateway.is_cut != self.gateways[index_of(target)].is_cut;
            if !is_cut && !self.rng.random_bool(LOSS) {
                let receiver = &mut self.gateways[index_of(target)];
                if !receiver.is_running() {
                    continue;
                }
                receiver.gossip.on_message(from, &message, now);
            }
        }
    }
}
