//! Passing claims and applied revisions on.

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
use tokio::time::Instant;

use super::digest::digest;
use super::machine::Membership;
use super::table::MemberKey;

impl Membership {
    /// Pushes the claims that are new to every watched member.
    pub(super) fn push_claims(&mut self) {
        let keys = self.outbox.take_pushes();
        let records = self.records(&keys);
        if records.is_empty() {
            return;
        }
        for key in self.table.successors(self.own) {
            let records = records.clone();
            self.send_to(key, MemberMessage::Records { records });
        }
    }

    /// Returns the claims that ride on the next probe or answer.
    pub(super) fn riders(&mut self) -> Vec<MemberRecord> {
        let keys = self.outbox.take_riders();
        self.records(&keys)
    }

    /// Sends a digest to the next neighbour.
    pub(super) fn send_digest(&mut self) {
        let mut neighbours = self.table.successors(self.own);
        neighbours.extend(self.table.predecessors(self.own));
        if neighbours.is_empty() {
            return;
        }
        self.digest_turn = (self.digest_turn + 1) % neighbours.len();
        let buckets = digest(self.table.records());
        self.send_to(
            neighbours[self.digest_turn],
            MemberMessage::Digest { buckets },
        );
    }

    /// Reports the applied revision to every entry.
    pub(super) fn report_applied(&mut self, now: Instant) {
        self.schedule.report = now + self.settings.report_period;
        for key in self.reachable_entries() {
            self.report_applied_to(key);
        }
    }

    /// Reports the applied revision to one entry.
    pub(super) fn report_applied_to(&mut self, key: MemberKey) {
        let revision = self.own_record().applied_revision;
        self.send_to(key, MemberMessage::Applied { revision });
    }

    /// Sends this process's claim about itself to every entry.
    pub(super) fn tell_entries_of_own(&mut self) {
        for key in self.reachable_entries() {
            let records = vec![self.own_record().clone()];
            self.send_to(key, MemberMessage::Records { records });
        }
    }

    fn reachable_entries(&self) -> Vec<MemberKey> {
        let entries = self.table.entries.iter();
        let is_reachable = |key: MemberKey, record: &MemberRecord| {
            key != self.own && record.role == Role::Entry && record.state != MemberState::Dead
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
