//! Joining, and reaching again what was lost.

use std::net::SocketAddr;

use jujubewall_protocol::member::MemberMessage;
use jujubewall_types::member::MemberState;
use rand::RngExt as _;
use tokio::time::Instant;

use super::entry::Entry;
use super::machine::Membership;
use super::table::MemberKey;

/// The number of addresses that are asked for the members at once.
const JOIN_FANOUT: usize = 3;

/// Something that may be reachable again.
#[derive(Clone, Copy, Debug)]
enum Lost {
    /// A member that was declared dead.
    Member(MemberKey),
    /// An address at which no member is known.
    Address(SocketAddr),
}

impl Membership {
    /// Asks a few addresses for the members, until one has answered.
    pub(super) fn join(&mut self) {
        let mut addresses = self.unknown_addresses();
        for _ in 0..JOIN_FANOUT.min(addresses.len()) {
            let place = self.rng.random_range(0..addresses.len());
            let address = addresses.swap_remove(place);
            self.request_table(address);
        }
    }

    /// Tries to reach one dead member or unknown address.
    ///
    /// So the two sides of a cut find one another again when it heals.
    pub(super) fn reconnect(&mut self, now: Instant) {
        let is_lost = |entry: &Entry| entry.record.state == MemberState::Dead && !entry.has_left;
        let members = self.table.entries.iter();
        let members = members.filter(|(_, entry)| is_lost(entry));
        let mut lost: Vec<Lost> = members.map(|(key, _)| Lost::Member(key)).collect();
        lost.extend(self.unknown_addresses().into_iter().map(Lost::Address));
        if lost.is_empty() {
            return;
        }
        match lost[self.rng.random_range(0..lost.len())] {
            Lost::Member(key) if !self.probes.awaits(key) => self.probe(now, key),
            Lost::Member(_) => {}
            Lost::Address(address) => self.request_table(address),
        }
    }

    /// Forgets members that have been dead for long.
    pub(super) fn forget_dead(&mut self, now: Instant) {
        let retention = self.settings.dead_retention;
        let is_old = |entry: &Entry| {
            entry
                .dead_since
                .is_some_and(|since| since + retention <= now)
        };
        let entries = self.table.entries.iter();
        let old: Vec<_> = entries
            .filter(|(_, entry)| is_old(entry))
            .map(|(key, _)| key)
            .collect();
        for key in old {
            self.table.remove(key);
            self.outbox.remove(key);
            self.probes.forget(key);
        }
    }

    fn request_table(&mut self, address: SocketAddr) {
        let record = Box::new(self.own_record().clone());
        self.send(address, MemberMessage::TableRequest { record });
    }

    /// Returns the candidate addresses at which no member is known.
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
