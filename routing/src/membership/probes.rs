//! Probes that wait for their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::table::MemberKey;

/// The largest number of probes on behalf of others that wait at once.
const MAX_RELAYS: usize = 256;

/// How far the tries to reach a member have come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProbePhase {
    /// The member was asked over the open connection.
    Direct,
    /// The member was asked from a new socket and through others.
    Retried,
}

/// A probe that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    /// The member.
    pub(super) target: MemberKey,
    /// How far the tries have come.
    pub(super) phase: ProbePhase,
    /// When the phase ends.
    pub(super) deadline: Instant,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    /// The address of the member that asked.
    pub(super) requester: SocketAddr,
    /// The number of that member's probe.
    pub(super) sequence: u64,
    /// When the relay is given up.
    pub(super) deadline: Instant,
}

/// The probes that wait for their answers, by number.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_sequence: u64,
    waiting: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
}

impl Probes {
    /// Adds a probe and returns its number.
    pub(super) fn add(&mut self, probe: Probe) -> u64 {
        let sequence = self.next_sequence();
        self.waiting.insert(sequence, probe);
        sequence
    }

    /// Adds a probe on behalf of another member, unless too many wait.
    pub(super) fn add_relay(&mut self, relay: Relay) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let sequence = self.next_sequence();
        self.relays.insert(sequence, relay);
        Some(sequence)
    }

    /// Returns whether a probe of `target` waits.
    pub(super) fn awaits(&self, target: MemberKey) -> bool {
        self.waiting.values().any(|probe| probe.target == target)
    }

    /// Ends a probe.
    pub(super) fn take(&mut self, sequence: u64) -> Option<Probe> {
        self.waiting.remove(&sequence)
    }

    /// Ends a probe on behalf of another member.
    pub(super) fn take_relay(&mut self, sequence: u64) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Takes the probes whose phase has ended, and drops relays that were given up.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<(u64, Probe)> {
        self.relays.retain(|_, relay| relay.deadline > now);
        let due = |(_, probe): &(&u64, &Probe)| probe.deadline <= now;
        let due = self.waiting.iter().filter(due);
        let due: Vec<_> = due.map(|(sequence, probe)| (*sequence, *probe)).collect();
        for (sequence, _) in &due {
            self.waiting.remove(sequence);
        }
        due
    }

    /// Keeps a probe under its number for another phase.
    pub(super) fn put_back(&mut self, sequence: u64, probe: Probe) {
        self.waiting.insert(sequence, probe);
    }

    /// Forgets every probe, since a pause of this process spoiled them.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.relays.clear();
    }

    /// Forgets the probes of a member.
    pub(super) fn forget(&mut self, target: MemberKey) {
        self.waiting.retain(|_, probe| probe.target != target);
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
