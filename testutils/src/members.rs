//! Many memberships joined by a simulated network under a simulated clock.
//!
//! Messages take a random time and may be lost. Members can crash, freeze,
//! start again at a new address, leave, and be cut off by failure domain; a
//! connection can go silent until it is dialled anew.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_protocol::codec;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::hello::PROTOCOL_VERSION;
use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_protocol::member::MemberState;
use jujubewall_protocol::message::Message;
use jujubewall_routing::membership::Membership;
use jujubewall_routing::membership::MembershipAction;
use jujubewall_routing::membership::MembershipActions;
use jujubewall_routing::membership::MembershipSettings;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::member::Role;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// The number of members of which one is an entry.
const MEMBERS_PER_ENTRY: usize = 20;

/// The number of members that the others know as seeds.
const SEED_PEERS: usize = 3;

/// The shortest time that a message takes.
const MIN_LATENCY: Duration = Duration::from_micros(250);

/// How the members and their network are made.
#[derive(Clone, Copy, Debug)]
pub struct MemberNetworkSettings {
    /// The number of members.
    pub members: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The seed of every random choice.
    pub seed: u64,
    /// The longest time that a message takes.
    pub max_latency: Duration,
    /// The share of messages that are lost, in thousandths.
    pub loss_permille: u32,
}

/// What a member has sent and received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberTraffic {
    /// The number of messages sent.
    pub sent: u64,
    /// The encoded size of the messages sent.
    pub sent_bytes: u64,
    /// The encoded size of the messages received.
    pub received_bytes: u64,
}

/// One simulated member.
#[derive(Debug)]
pub struct SimulatedMember {
    /// The decisions.
    pub membership: Membership,
    /// What it has sent and received.
    pub traffic: MemberTraffic,
    /// The number of times that it was told that its own link is suspect.
    pub link_suspicions: u64,
    hello: Hello,
    is_running: bool,
    frozen_until: Option<Instant>,
    next_tick: Instant,
}

/// A message on its way; the order is that of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Envelope {
    arrives: Instant,
    number: u64,
    from: usize,
    to: usize,
    address: SocketAddr,
}

/// The members and their network.
#[derive(Debug)]
pub struct MemberNetwork {
    /// The clock.
    pub now: Instant,
    /// The members, in the order of their creation.
    pub members: Vec<SimulatedMember>,
    settings: MemberNetworkSettings,
    membership: MembershipSettings,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Envelope>>,
    ticks: BinaryHeap<Reverse<(Instant, usize)>>,
    contents: BTreeMap<u64, (Hello, MemberMessage)>,
    addresses: BTreeMap<SocketAddr, usize>,
    last_number: u64,
    cut_domains: BTreeSet<usize>,
    silent: BTreeSet<(usize, usize)>,
}

impl MemberNetwork {
    /// Creates the members, which start at once and know a few seeds.
    pub fn new(settings: MemberNetworkSettings, start: Instant) -> Self {
        let mut network = Self {
            now: start,
            members: Vec::new(),
            settings,
            membership: MembershipSettings::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            queue: BinaryHeap::new(),
            ticks: BinaryHeap::new(),
            contents: BTreeMap::new(),
            addresses: BTreeMap::new(),
            last_number: 0,
            cut_domains: BTreeSet::new(),
            silent: BTreeSet::new(),
        };
        for index in 0..settings.members {
            let member = network.member(index, 0, 1);
            network.addresses.insert(member.hello.peer_address, index);
            network.members.push(member);
        }
        network
    }

    /// Creates members that know one another from the start.
    pub fn new_joined(settings: MemberNetworkSettings, start: Instant) -> Self {
        let mut network = Self::new(settings, start);
        let records: Vec<_> = network
            .members
            .iter()
            .map(|member| member.membership.own_record().clone())
            .collect();
        for index in 0..network.members.len() {
            let from = network.members[index].hello.clone();
            let table = MemberMessage::Table {
                records: records.clone(),
            };
            let member = &mut network.members[index].membership;
            // The reports to entries that follow carry nothing new.
            let _ = member.on_message(start, &from, table);
        }
        network
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.next_event(end) {
            self.now = next;
            self.deliver_due();
            self.tick_due();
        }
        self.now = end;
    }

    /// Lets time pass until `holds` or `limit` has passed; returns the time it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(self.membership.tick);
        }
        Some(self.now - start)
    }

    /// Stops a member without an announcement.
    pub fn crash(&mut self, index: usize) {
        self.members[index].is_running = false;
        let address = self.members[index].hello.peer_address;
        self.addresses.remove(&address);
    }

    /// Starts a stopped member again, at a new address and with a clock that may lag.
    pub fn restart(&mut self, index: usize, life: u16, incarnation: u64) {
        let member = self.member(index, life, incarnation);
        self.addresses.insert(member.hello.peer_address, index);
        self.members[index] = member;
    }

    /// Stops a member's clock for a while; what arrives meanwhile waits.
    pub fn freeze(&mut self, index: usize, time: Duration) {
        self.members[index].frozen_until = Some(self.now + time);
    }

    /// Cuts a failure domain off from the others.
    pub fn cut(&mut self, domain: usize) {
        self.cut_domains.insert(domain);
    }

    /// Joins a failure domain to the others again.
    pub fn heal(&mut self, domain: usize) {
        self.cut_domains.remove(&domain);
    }

    /// Makes the connection between two members go silent until one dials anew.
    pub fn silence(&mut self, a: usize, b: usize) {
        self.silent.insert((a.min(b), a.max(b)));
    }

    /// Announces that a member leaves.
    pub fn leave(&mut self, index: usize) {
        let now = self.now;
        let actions = self.members[index].membership.leave(now);
        self.carry_out(index, actions);
    }

    /// Applies a configuration revision at a member.
    pub fn apply(&mut self, index: usize, revision: Revision) {
        let now = self.now;
        let member = &mut self.members[index].membership;
        let actions = member.set_applied_revision(now, revision);
        self.carry_out(index, actions);
    }

    /// Sets the share of messages that are lost.
    pub fn set_loss_permille(&mut self, loss_permille: u32) {
        self.settings.loss_permille = loss_permille;
    }

    /// Returns the failure domain of a member.
    pub fn domain(&self, index: usize) -> usize {
        index % self.settings.domains
    }

    /// Returns the indices of the members that run.
    pub fn running(&self) -> Vec<usize> {
        let is_running = |index: &usize| self.members[*index].is_running;
        (0..self.members.len()).filter(is_running).collect()
    }

    /// Returns the state of member `about` as member `at` knows it.
    pub fn state(&self, at: usize, about: usize) -> Option<MemberState> {
        let name = &self.members[about].hello.member;
        self.members[at].membership.state_of(name)
    }

    /// Returns whether every running member knows `about` in one of `states`.
    pub fn all_know(&self, about: usize, states: &[MemberState]) -> bool {
        let knows = |at: usize| {
            self.state(at, about)
                .is_some_and(|state| states.contains(&state))
        };
        self.running()
            .into_iter()
            .all(|at| at == about || knows(at))
    }

    /// Returns whether every running member knows every running member as alive.
    pub fn is_settled(&self) -> bool {
        let running = self.running();
        running.iter().all(|at| self.knows_alive(*at, &running))
    }

    /// Forgets the traffic counted so far.
    pub fn reset_traffic(&mut self) {
        for member in &mut self.members {
            member.traffic = MemberTraffic::default();
        }
    }

    fn knows_alive(&self, at: usize, expected: &[usize]) -> bool {
        expected
            .iter()
            .all(|index| self.state(at, *index) == Some(MemberState::Alive))
    }

    fn member(&mut self, index: usize, life: u16, incarnation: u64) -> SimulatedMember {
        let hello = self.hello(index, life, incarnation);
        let record = MemberRecord {
            member: hello.member.clone(),
            host: hello.host.clone(),
            failure_domain: hello.failure_domain.clone(),
            role: hello.role,
            peer_address: hello.peer_address,
            incarnation: hello.incarnation,
            state: MemberState::Alive,
            applied_revision: Revision::default(),
        };
        let seeds: Vec<_> = (0..SEED_PEERS.min(self.settings.members))
            .filter(|seed| *seed != index)
            .map(|seed| address(seed, 0))
            .collect();
        let seed = self.rng.random();
        let next_tick = self.now + self.membership.tick.mul_f64(self.rng.random());
        self.ticks.push(Reverse((next_tick, index)));
        SimulatedMember {
            membership: Membership::new(record, self.membership, &seeds, seed, self.now),
            traffic: MemberTraffic::default(),
            link_suspicions: 0,
            hello,
            is_running: true,
            frozen_until: None,
            next_tick,
        }
    }

    fn hello(&self, index: usize, life: u16, incarnation: u64) -> Hello {
        let is_entry = index.is_multiple_of(MEMBERS_PER_ENTRY);
        let name = |text: String| MemberName::new(text).expect("the name is valid");
        Hello {
            version: PROTOCOL_VERSION,
            member: name(format!("member-{index}")),
            host: HostName::new(format!("host-{index}")).expect("the name is valid"),
            failure_domain: FailureDomainName::new(format!("domain-{}", self.domain(index)))
                .expect("the name is valid"),
            role: if is_entry { Role::Entry } else { Role::Agent },
            incarnation: Incarnation(incarnation),
            peer_address: address(index, life),
        }
    }

    fn next_event(&self, end: Instant) -> Option<Instant> {
        let arrival = self.queue.peek().map(|Reverse(next)| next.arrives);
        let tick = self.ticks.peek().map(|Reverse((at, _))| *at);
        let next = arrival.into_iter().chain(tick).min();
        next.filter(|next| *next <= end)
            .map(|next| next.max(self.now))
    }

    fn tick_due(&mut self) {
        let next = self.ticks.peek();
        if next.is_none_or(|Reverse((at, _))| *at > self.now) {
            return;
        }
        let Some(Reverse((at, index))) = self.ticks.pop() else {
            return;
        };
        let member = &mut self.members[index];
        if !member.is_running || member.next_tick != at {
            return;
        }
        let frozen_until = member.frozen_until.filter(|until| *until > self.now);
        let next = frozen_until.unwrap_or(self.now + self.membership.tick);
        member.next_tick = next;
        self.ticks.push(Reverse((next, index)));
        if frozen_until.is_none() {
            let actions = member.membership.on_tick(self.now);
            self.carry_out(index, actions);
        }
    }

    fn deliver_due(&mut self) {
        let next = self.queue.peek();
        if next.is_none_or(|Reverse(next)| next.arrives > self.now) {
            return;
        }
        let Some(Reverse(envelope)) = self.queue.pop() else {
            return;
        };
        let Some((hello, message)) = self.contents.remove(&envelope.number) else {
            return;
        };
        let is_there = self.addresses.get(&envelope.address) == Some(&envelope.to);
        if is_there && self.members[envelope.to].is_running {
            self.deliver(envelope, hello, message);
        }
    }

    fn deliver(&mut self, envelope: Envelope, hello: Hello, message: MemberMessage) {
        let member = &mut self.members[envelope.to];
        if let Some(until) = member.frozen_until.filter(|until| *until > self.now) {
            self.contents.insert(envelope.number, (hello, message));
            let arrives = until + MIN_LATENCY;
            self.queue.push(Reverse(Envelope {
                arrives,
                ..envelope
            }));
            return;
        }
        member.traffic.received_bytes += encoded_bytes(&message);
        let actions = member.membership.on_message(self.now, &hello, message);
        self.carry_out(envelope.to, actions);
    }

    fn carry_out(&mut self, index: usize, actions: MembershipActions) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.post(index, to, message),
                MembershipAction::Redial { to } => self.redial(index, to),
                MembershipAction::OwnLinkSuspect(true) => self.members[index].link_suspicions += 1,
                _ => {}
            }
        }
    }

    fn redial(&mut self, from: usize, to: SocketAddr) {
        if let Some(to) = self.addresses.get(&to) {
            self.silent.remove(&(from.min(*to), from.max(*to)));
        }
    }

    fn post(&mut self, from: usize, address: SocketAddr, message: MemberMessage) {
        let traffic = &mut self.members[from].traffic;
        traffic.sent += 1;
        traffic.sent_bytes += encoded_bytes(&message);
        let Some(to) = self.addresses.get(&address).copied() else {
            return;
        };
        let is_lost = self.rng.random_range(0..1000) < self.settings.loss_permille;
        if is_lost || !self.is_open(from, to) {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let latency = self
            .rng
            .random_range(MIN_LATENCY..=self.settings.max_latency);
        let hello = self.members[from].hello.clone();
        self.contents.insert(number, (hello, message));
        self.queue.push(Reverse(Envelope {
            arrives: self.now + latency,
            number,
            from,
            to,
            address,
        }));
    }

    fn is_open(&self, from: usize, to: usize) -> bool {
        let is_cut = |index| self.cut_domains.contains(&self.domain(index));
        let is_same_domain = self.domain(from) == self.domain(to);
        let is_silent = self.silent.contains(&(from.min(to), from.max(to)));
        !is_silent && (is_same_domain || !(is_cut(from) || is_cut(to)))
    }
}

fn address(index: usize, life: u16) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000 + life))
}

fn encoded_bytes(message: &MemberMessage) -> u64 {
    let body = codec::encode(&Message::from(message.clone())).expect("the message is encodable");
    body.len() as u64
}
