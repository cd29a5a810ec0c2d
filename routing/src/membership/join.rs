//! Joining the group, and reconnecting to lost members.

use std::net::SocketAddr;

use jujubewall_protocol::member::MemberMessage;
use jujubewall_types::member::MemberState;
use rand::RngExt as _;
use tokio::time::Instant;

use super::action::MembershipAction;
use super::entry::MemberEntry;
use super::machine::Membership;
use super::table::MemberKey;

/// The number of addresses that are asked for the member table at once.
const JOIN_FANOUT: usize = 3;

/// A target that may have become reachable again.
#[derive(Clone, Copy, Debug)]
enum ReconnectTarget {
    /// A member that was declared dead without having left.
    Member(MemberKey),
    /// A candidate address at which no member is known.
    Address(SocketAddr),
}

impl Membership {
    /// Asks a few random candidate addresses for the member table.
    ///
    /// Repeated at the join period until one of them has answered.
    pub(super) fn join(&mut self, now: Instant) {
        let mut addresses = self.unknown_addresses();
        for _ in 0..JOIN_FANOUT.min(addresses.len()) {
            let index = self.rng.random_range(0..addresses.len());
            let address = addresses.swap_remove(index);
            self.request_table(now, address);
        }
    }

    /// Tries to reach one random dead member or address without a known member.
    ///
    /// This lets the two sides of a network partition find each other when it heals.
    pub(super) fn reconnect(&mut self, now: Instant) {
        let is_lost =
            |entry: &MemberEntry| entry.record.state == MemberState::Dead && !entry.has_left;
        let members = self.table.entries.iter();
        let members = members.filter(|(_, entry)| is_lost(entry));
        let mut targets: Vec<ReconnectTarget> = members
            .map(|(key, _)| ReconnectTarget::Member(key))
            .collect();
        targets.extend(
            self.unknown_addresses()
                .into_iter()
                .map(ReconnectTarget::Address),
        );
        if targets.is_empty() {
            return;
        }
        match targets[self.rng.random_range(0..targets.len())] {
            ReconnectTarget::Member(key) if !self.probes.is_pending(key) => self.probe(now, key),
            ReconnectTarget::Member(_) => {}
            ReconnectTarget::Address(address) => self.request_table(now, address),
        }
    }

    /// Removes members that have been dead for longer than the retention time.
    pub(super) fn remove_expired_dead(&mut self, now: Instant) {
        let retention = self.settings.dead_retention;
        let is_expired = |entry: &MemberEntry| {
            entry
                .dead_since
                .is_some_and(|since| since + retention <= now)
        };
        let entries = self.table.entries.iter();
        let expired: Vec<_> = entries
            .filter(|(_, entry)| is_expired(entry))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.table.remove(key);
            self.outbox.remove(key);
            self.probes.forget(key);
        }
    }

    /// Asks an address for the member table.
    ///
    /// Redials from a new socket if earlier requests stay unanswered for the reconnect
    /// period, since the existing connection may be dead.
    fn request_table(&mut self, now: Instant, address: SocketAddr) {
        let silent_since = *self.table_requested_at.entry(address).or_insert(now);
        if silent_since + self.settings.reconnect_period <= now {
            self.table_requested_at.insert(address, now);
            let to = address;
            self.actions.push(MembershipAction::Redial { to });
        }
        let record = Box::new(self.own_record().clone());
        self.send(address, MemberMessage::TableRequest { record });
    }

    /// Returns the candidate and listed addresses at which no live member is known.
    fn unknown_addresses(&self) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> = self
            .table
            .records()
            .filter(|record| record.state != MemberState::Dead)
            .map(|record| record.peer_address)
            .collect();
        known.sort_unstable();
        let is_unknown = |address: &&SocketAddr| known.binary_search(address).is_err();
        let expected = self.candidates.union(&self.listed);
        expected.filter(is_unknown).copied().collect()
    }
}
