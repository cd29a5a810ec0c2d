//! Gossip of updates, digests, and reports of applied revisions.

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
use tokio::time::Instant;

use super::digest::digest;
use super::machine::Membership;
use super::table::MemberKey;

impl Membership {
    /// Pushes the queued updates to every successor.
    pub(super) fn push_updates(&mut self) {
        let keys = self.outbox.take_pushes();
        let records = self.records(&keys);
        if records.is_empty() {
            return;
        }
        for key in self.table.successors(self.own_key) {
            let records = records.clone();
            self.send_to(key, MemberMessage::Records { records });
        }
    }

    /// Dequeues the records to piggyback on the next probe or answer.
    pub(super) fn take_piggybacked_records(&mut self) -> Vec<MemberRecord> {
        let keys = self.outbox.take_piggybacked();
        self.records(&keys)
    }

    /// Sends a digest to the next neighbour in round-robin order.
    pub(super) fn send_digest(&mut self) {
        let mut neighbours = self.table.successors(self.own_key);
        neighbours.extend(self.table.predecessors(self.own_key));
        if neighbours.is_empty() {
            return;
        }
        self.digest_cursor = (self.digest_cursor + 1) % neighbours.len();
        let buckets = digest(self.table.records());
        self.send_to(
            neighbours[self.digest_cursor],
            MemberMessage::Digest { buckets },
        );
    }

    /// Reports the applied revision to every member in the entry role that is not dead.
    pub(super) fn report_applied(&mut self, now: Instant) {
        self.schedule.report_at = now + self.settings.report_period;
        for key in self.reachable_entry_members() {
            self.report_applied_to(key);
        }
    }

    /// Reports the applied revision to one member in the entry role.
    pub(super) fn report_applied_to(&mut self, key: MemberKey) {
        let revision = self.own_record().applied_revision;
        self.send_to(key, MemberMessage::Applied { revision });
    }

    /// Sends this process's own record to every member in the entry role that is not dead.
    pub(super) fn send_own_record_to_entries(&mut self) {
        for key in self.reachable_entry_members() {
            let records = vec![self.own_record().clone()];
            self.send_to(key, MemberMessage::Records { records });
        }
    }

    fn reachable_entry_members(&self) -> Vec<MemberKey> {
        let entries = self.table.entries.iter();
        let is_reachable = |key: MemberKey, record: &MemberRecord| {
            key != self.own_key && record.role == Role::Entry && record.state != MemberState::Dead
        };
        entries
            .filter(|(key, entry)| is_reachable(*key, &entry.record))
            .map(|(key, _)| key)
            .collect()
    }

    fn records(&self, keys: &[MemberKey]) -> Vec<MemberRecord> {
        let record = |key: &MemberKey| Some(self.table.entries.get(*key)?.record.clone());
        keys.iter().filter_map(record).collect()
    }
}
