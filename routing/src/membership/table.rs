//! The member table, indexed by name and by ring position.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::MemberName;
use jujubewall_types::member::MemberState;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::time::Instant;

use super::entry::Listing;
use super::entry::MemberEntry;
use super::rings::MemberKeys;
use super::rings::Rings;

new_key_type! {
    /// Identifies a member in the table.
    pub(super) struct MemberKey;
}

/// All known members, including dead ones until they are removed.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) entries: SlotMap<MemberKey, MemberEntry>,
    by_name: HashMap<MemberName, MemberKey>,
    rings: Rings,
}

impl Table {
    /// Adds a member, whose name must not be in the table yet.
    pub(super) fn insert(&mut self, record: MemberRecord, now: Instant) -> MemberKey {
        let name = record.member.clone();
        let is_present = record.state != MemberState::Dead;
        let key = self.entries.insert(MemberEntry::new(record, now));
        if is_present {
            self.rings.insert(key, &name);
        }
        self.by_name.insert(name, key);
        key
    }

    /// Returns the key of the member with a name.
    pub(super) fn find(&self, name: &MemberName) -> Option<MemberKey> {
        self.by_name.get(name).copied()
    }

    /// Indexes the members by the address at which they accept connections.
    ///
    /// If several share an address, the one whose state comes first in
    /// [`MemberState`] is returned, so that a live member wins over a dead one.
    pub(super) fn by_address(&self) -> HashMap<SocketAddr, MemberKey> {
        let mut members: Vec<_> = self.entries.iter().collect();
        members.sort_by_key(|(_, entry)| Reverse(entry.record.state));
        let address_and_key =
            |(key, entry): (MemberKey, &MemberEntry)| (entry.record.peer_address, key);
        members.into_iter().map(address_and_key).collect()
    }

    /// Replaces a member's record and updates the rings and the fields that depend on it.
    pub(super) fn replace(&mut self, key: MemberKey, record: MemberRecord, now: Instant) {
        let name = record.member.clone();
        let entry = &mut self.entries[key];
        let is_new_incarnation = record.incarnation > entry.record.incarnation;
        let is_dead = record.state == MemberState::Dead;
        entry.has_left = entry.record.state == MemberState::Leaving && !is_new_incarnation;
        entry.dead_since = is_dead.then_some(now);
        entry.suspicion = None;
        if is_new_incarnation && record.peer_address != entry.record.peer_address {
            entry.listing = Listing::Never;
        }
        entry.record = record;
        if is_dead {
            self.rings.remove(key, &name);
        } else {
            self.rings.insert(key, &name);
        }
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, key: MemberKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.rings.remove(key, &entry.record.member);
            self.by_name.remove(&entry.record.member);
        }
    }

    /// Returns the members that `key` probes.
    pub(super) fn successors(&self, key: MemberKey) -> MemberKeys {
        self.rings.successors(key, &self.entries[key].record.member)
    }

    /// Returns the members that probe `key`.
    pub(super) fn predecessors(&self, key: MemberKey) -> MemberKeys {
        self.rings
            .predecessors(key, &self.entries[key].record.member)
    }

    /// Returns the records of all members.
    pub(super) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }
}
