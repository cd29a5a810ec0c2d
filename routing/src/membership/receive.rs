//! Messages from other members.

use std::net::SocketAddr;

use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

use super::action::MembershipActions;
use super::claim::supersedes;
use super::digest::bucket_of;
use super::digest::differing;
use super::digest::digest;
use super::machine::Membership;
use super::merge::Spread;
use super::probes::Relay;

impl Membership {
    /// Handles a message from another member.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &Hello,
        message: MemberMessage,
    ) -> MembershipActions {
        if from.member != self.own_record().member {
            self.hear_from(now, from);
        }
        self.receive(now, from, message);
        self.finish()
    }

    fn receive(&mut self, now: Instant, from: &Hello, message: MemberMessage) {
        match message {
            MemberMessage::Probe { sequence, records } => {
                self.merge_all(now, records, Spread::Yes);
                self.answer_probe(from, sequence);
            }
            MemberMessage::ProbeAnswer { sequence, records } => {
                self.merge_all(now, records, Spread::Yes);
                self.end_probe(sequence);
            }
            MemberMessage::ProbeRequest {
                sequence,
                target_address,
            } => self.probe_for(now, from.peer_address, sequence, target_address),
            MemberMessage::Records { records } => self.merge_all(now, records, Spread::Yes),
            MemberMessage::Applied { revision } => self.note_applied(now, from, revision),
            MemberMessage::TableRequest { record } => {
                self.merge(now, *record, Spread::Yes);
                let records = self.table.records().cloned().collect();
                self.send(from.peer_address, MemberMessage::Table { records });
            }
            MemberMessage::Table { records } => {
                self.merge_all(now, records, Spread::No);
                self.has_joined = true;
            }
            MemberMessage::Digest { buckets } => self.answer_digest(from, &buckets),
            MemberMessage::Difference {
                buckets,
                records,
                wants_answer,
            } => {
                if wants_answer {
                    self.answer_difference(from, &buckets, &records);
                }
                self.merge_all(now, records, Spread::Yes);
            }
            MemberMessage::HostLeaving => self.note_host_leaving(),
        }
    }

    /// Takes a message as proof that its sender is there.
    fn hear_from(&mut self, now: Instant, from: &Hello) {
        let Some(key) = self.table.find(&from.member) else {
            self.merge(now, record_of(from), Spread::Yes);
            return;
        };
        let held = &self.table.entries[key].record;
        if from.incarnation > held.incarnation {
            self.merge(now, record_of(from), Spread::Yes);
            return;
        }
        if from.peer_address != held.peer_address {
            return;
        }
        self.note_answer(key);
        let held = &self.table.entries[key].record;
        if matches!(held.state, MemberState::Suspect | MemberState::Dead) {
            let records = vec![held.clone()];
            self.send(from.peer_address, MemberMessage::Records { records });
        }
    }

    fn answer_probe(&mut self, from: &Hello, sequence: u64) {
        let records = self.riders();
        let answer = MemberMessage::ProbeAnswer { sequence, records };
        self.send(from.peer_address, answer);
    }

    fn end_probe(&mut self, sequence: u64) {
        if let Some(probe) = self.probes.take(sequence) {
            if self.table.entries.contains_key(probe.target) {
                self.note_answer(probe.target);
            }
        } else if let Some(relay) = self.probes.take_relay(sequence) {
            let answer = MemberMessage::ProbeAnswer {
                sequence: relay.sequence,
                records: Vec::new(),
            };
            self.send(relay.requester, answer);
        }
    }

    fn probe_for(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        sequence: u64,
        target: SocketAddr,
    ) {
        let relay = Relay {
            requester,
            sequence,
            deadline: now + self.settings.retry_timeout,
        };
        if let Some(sequence) = self.probes.add_relay(relay) {
            let records = Vec::new();
            self.send(target, MemberMessage::Probe { sequence, records });
        }
    }

    fn note_applied(&mut self, now: Instant, from: &Hello, revision: Revision) {
        let Some(key) = self.table.find(&from.member) else {
            return;
        };
        let entry = &mut self.table.entries[key];
        if revision >= entry.record.applied_revision {
            entry.record.applied_revision = revision;
            entry.reported_at = now;
        }
    }

    fn answer_digest(&mut self, from: &Hello, theirs: &[u64]) {
        let buckets = differing(&digest(self.table.records()), theirs);
        if buckets.is_empty() {
            return;
        }
        let difference = MemberMessage::Difference {
            records: self.records_of(&buckets),
            buckets,
            wants_answer: true,
        };
        self.send(from.peer_address, difference);
    }

    /// Returns the claims that the sender of a difference lacks.
    fn answer_difference(&mut self, from: &Hello, buckets: &[u16], theirs: &[MemberRecord]) {
        let is_lacking = |ours: &MemberRecord| {
            let held = theirs.iter().find(|record| record.member == ours.member);
            held.is_none_or(|held| supersedes(ours, held))
        };
        let mut records = self.records_of(buckets);
        records.retain(is_lacking);
        if !records.is_empty() {
            let difference = MemberMessage::Difference {
                buckets: Vec::new(),
                records,
                wants_answer: false,
            };
            self.send(from.peer_address, difference);
        }
    }

    fn records_of(&self, buckets: &[u16]) -> Vec<MemberRecord> {
        let is_asked = |record: &&MemberRecord| {
            let bucket = bucket_of(&record.member);
            buckets.iter().any(|asked| usize::from(*asked) == bucket)
        };
        self.table.records().filter(is_asked).cloned().collect()
    }
}

/// Returns the claim that a handshake makes about its sender.
fn record_of(hello: &Hello) -> MemberRecord {
    MemberRecord {
        member: hello.member.clone(),
        host: hello.host.clone(),
        failure_domain: hello.failure_domain.clone(),
        role: hello.role,
        peer_address: hello.peer_address,
        incarnation: hello.incarnation,
        state: MemberState::Alive,
        applied_revision: Revision::default(),
    }
}
