//! Tests of the judgement of silent connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::link::LinkAction;
use jujubewall_routing::link::LinkMonitor;
use jujubewall_routing::link::LinkSettings;
use proptest::prelude::*;
use tokio::time::Instant;

/// The bound within which a silent connection is noticed and judged.
const BOUND: Duration = Duration::from_millis(1_500);

fn address(index: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + index))
}

/// How a peer behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Behaviour {
    /// It answers.
    Answers,
    /// Its open connection swallows all, but a new one works.
    DeadConnection,
    /// It does not answer on any connection.
    Gone,
}

struct Run {
    monitor: LinkMonitor,
    now: Instant,
    peers: Vec<Behaviour>,
    log: Vec<(Instant, LinkAction)>,
}

impl Run {
    fn new(peers: u16) -> Self {
        let mut monitor = LinkMonitor::new(LinkSettings::default());
        let now = Instant::now();
        for index in 0..peers {
            monitor.on_connected(now, address(index));
        }
        let peers = vec![Behaviour::Answers; usize::from(peers)];
        Self {
            monitor,
            now,
            peers,
            log: Vec::new(),
        }
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(next) = self.monitor.next_wakeup().filter(|&next| next <= end) {
            self.now = next.max(self.now);
            let actions = self.monitor.on_tick(self.now);
            self.apply(actions);
        }
        self.now = end;
    }

    fn apply(&mut self, actions: Vec<LinkAction>) {
        for action in actions {
            self.log.push((self.now, action));
            let (LinkAction::Ping { peer } | LinkAction::Redial { peer }) = action else {
                continue;
            };
            let behaviour = &mut self.peers[usize::from(peer.port() - 9_000)];
            let is_dial = matches!(action, LinkAction::Redial { .. });
            let answers = *behaviour == Behaviour::Answers
                || (is_dial && *behaviour == Behaviour::DeadConnection);
            if answers {
                *behaviour = Behaviour::Answers;
                let actions = self.monitor.on_connected(self.now, peer);
                self.apply(actions);
            }
        }
    }

    fn lost(&self) -> Vec<SocketAddr> {
        let lost = self.log.iter().filter_map(|(_, action)| match action {
            LinkAction::PeerLost { peer } => Some(*peer),
            _ => None,
        });
        lost.collect()
    }

    fn saw(&self, action: LinkAction) -> bool {
        self.log.iter().any(|(_, seen)| *seen == action)
    }
}

#[test]
fn test_dead_connection_does_not_condemn_the_host() {
    let mut run = Run::new(8);
    run.peers[3] = Behaviour::DeadConnection;
    run.advance(BOUND);
    assert!(run.saw(LinkAction::Redial { peer: address(3) }));
    run.advance(BOUND);
    assert_eq!(run.lost(), []);
    assert_eq!(run.monitor.silent_peers(), 0);
}

#[test]
fn test_gone_peer_is_lost_within_the_bound_and_once() {
    let mut run = Run::new(8);
    run.peers[3] = Behaviour::Gone;
    assert!(LinkSettings::default().bound() <= BOUND);
    run.advance(BOUND);
    assert_eq!(run.lost(), [address(3)]);
    run.advance(BOUND * 10);
    assert_eq!(run.lost(), [address(3)]);
    run.peers[3] = Behaviour::Answers;
    run.advance(BOUND * 2);
    assert_eq!(run.monitor.silent_peers(), 0);
}

#[test]
fn test_many_silent_peers_speak_against_the_own_link() {
    let mut run = Run::new(8);
    run.peers.fill(Behaviour::Gone);
    run.advance(BOUND * 10);
    assert!(run.saw(LinkAction::OwnLinkSuspect));
    assert_eq!(run.lost(), []);
    run.peers.fill(Behaviour::Answers);
    run.peers[5] = Behaviour::Gone;
    run.advance(BOUND);
    assert!(run.saw(LinkAction::OwnLinkBack));
    run.advance(BOUND);
    assert_eq!(run.lost(), [address(5)]);
}

#[test]
fn test_a_lost_failure_domain_is_judged() {
    let mut run = Run::new(9);
    run.peers[..3].fill(Behaviour::Gone);
    run.advance(BOUND);
    assert_eq!(run.lost().len(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A peer that answers new connections is never lost, whatever the others do.
    #[test]
    fn test_random_answering_peers_are_never_lost(
        changes in proptest::collection::vec((0_usize..9, 0_u8..3, 0_u64..2_000), 1..40),
    ) {
        let mut run = Run::new(9);
        let mut may_be_lost = [false; 9];
        for (index, behaviour, wait_ms) in changes {
            run.peers[index] = match behaviour {
                0 => Behaviour::Answers,
                1 => Behaviour::DeadConnection,
                _ => Behaviour::Gone,
            };
            may_be_lost[index] |= behaviour == 2;
            run.advance(Duration::from_millis(wait_ms));
            let is_allowed = |peer: &SocketAddr| may_be_lost[usize::from(peer.port() - 9_000)];
            prop_assert!(run.lost().iter().all(is_allowed));
        }
        run.peers.fill(Behaviour::Answers);
        run.advance(BOUND * 2);
        prop_assert_eq!(run.monitor.silent_peers(), 0);
        prop_assert!(!run.monitor.is_own_link_suspect());
    }
}
