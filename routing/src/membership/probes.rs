//! Bookkeeping of probes that have not been answered yet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::table::MemberKey;

/// The maximum number of pending probes on behalf of other members.
const MAX_RELAYS: usize = 256;

/// The stage of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProbeStage {
    /// The probe was sent over the existing connection.
    Direct,
    /// The probe was sent again over a new socket and indirectly through other members.
    Retried,
}

/// A probe that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    /// The member that is probed.
    pub(super) target: MemberKey,
    /// The current stage.
    pub(super) stage: ProbeStage,
    /// When the current stage times out.
    pub(super) deadline: Instant,
}

/// An indirect probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    /// The address of the member that requested the probe.
    pub(super) requester: SocketAddr,
    /// The requester's sequence number, under which it expects the answer.
    pub(super) sequence: u64,
    /// When the relayed probe is dropped.
    pub(super) deadline: Instant,
}

/// The unanswered probes, keyed by this process's sequence numbers.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_sequence: u64,
    pending: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
}

impl Probes {
    /// Adds a probe and returns its sequence number.
    pub(super) fn add(&mut self, probe: Probe) -> u64 {
        let sequence = self.next_sequence();
        self.pending.insert(sequence, probe);
        sequence
    }

    /// Adds a probe on behalf of another member and returns its sequence number, or
    /// `None` if too many are pending.
    pub(super) fn add_relay(&mut self, relay: Relay) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let sequence = self.next_sequence();
        self.relays.insert(sequence, relay);
        Some(sequence)
    }

    /// Returns whether a probe of `target` is pending.
    pub(super) fn is_pending(&self, target: MemberKey) -> bool {
        self.pending.values().any(|probe| probe.target == target)
    }

    /// Removes and returns a probe.
    pub(super) fn take(&mut self, sequence: u64) -> Option<Probe> {
        self.pending.remove(&sequence)
    }

    /// Removes and returns a probe on behalf of another member.
    pub(super) fn take_relay(&mut self, sequence: u64) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Removes and returns the probes whose stage has timed out, and drops expired relays.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<(u64, Probe)> {
        self.relays.retain(|_, relay| relay.deadline > now);
        let due = |(_, probe): &(&u64, &Probe)| probe.deadline <= now;
        let due = self.pending.iter().filter(due);
        let due: Vec<_> = due.map(|(sequence, probe)| (*sequence, *probe)).collect();
        for (sequence, _) in &due {
            self.pending.remove(sequence);
        }
        due
    }

    /// Adds a probe again under its sequence number for its next stage.
    pub(super) fn reinsert(&mut self, sequence: u64, probe: Probe) {
        self.pending.insert(sequence, probe);
    }

    /// Drops all probes. Used after a pause of this process, when a missing answer says
    /// nothing about the target.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }

    /// Drops the probes of a member.
    pub(super) fn forget(&mut self, target: MemberKey) {
        self.pending.retain(|_, probe| probe.target != target);
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
