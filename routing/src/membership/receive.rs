//! Handling of messages from other members.

use std::net::SocketAddr;

use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

use super::action::MembershipActions;
use super::digest::bucket_of;
use super::digest::differing_buckets;
use super::digest::digest;
use super::machine::Membership;
use super::merge::Propagate;
use super::precedence::supersedes;
use super::probes::Relay;

impl Membership {
    /// Handles a message from the member that identified itself as `from` in the handshake.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &Hello,
        message: MemberMessage,
    ) -> MembershipActions {
        if from.member != self.own_record().member {
            self.record_contact(now, from);
        }
        self.receive(now, from, message);
        self.finish_event()
    }

    fn receive(&mut self, now: Instant, from: &Hello, message: MemberMessage) {
        match message {
            MemberMessage::Probe { sequence, records } => {
                self.merge_updates(now, records, Propagate::Yes);
                self.answer_probe(from, sequence);
            }
            MemberMessage::ProbeAnswer { sequence, records } => {
                self.merge_updates(now, records, Propagate::Yes);
                self.end_probe(sequence);
            }
            MemberMessage::ProbeRequest {
                sequence,
                target_address,
            } => self.relay_probe(now, from.peer_address, sequence, target_address),
            MemberMessage::Records { records } => self.merge_updates(now, records, Propagate::Yes),
            MemberMessage::Applied { revision } => {
                self.record_applied_revision(now, from, revision);
            }
            MemberMessage::TableRequest { record } => {
                self.merge(now, *record, Propagate::Yes);
                let records = self.table.records().cloned().collect();
                self.send(from.peer_address, MemberMessage::Table { records });
            }
            MemberMessage::Table { records } => {
                self.merge_updates(now, records, Propagate::No);
                self.has_joined = true;
                self.table_requested_at.remove(&from.peer_address);
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
                self.merge_updates(now, records, Propagate::Yes);
            }
            MemberMessage::HostLeaving => self.emit_own_host_leaving(),
        }
    }

    /// Records a message as evidence that its sender is alive.
    ///
    /// A sender that is held as suspect or dead is sent that record, so that it can
    /// refute it.
    fn record_contact(&mut self, now: Instant, from: &Hello) {
        let Some(key) = self.table.find(&from.member) else {
            self.merge(now, record_from_hello(from), Propagate::Yes);
            return;
        };
        let held = &self.table.entries[key].record;
        if from.incarnation > held.incarnation {
            self.merge(now, record_from_hello(from), Propagate::Yes);
            return;
        }
        if from.peer_address != held.peer_address {
            return;
        }
        self.record_answer(key);
        let held = &self.table.entries[key].record;
        if matches!(held.state, MemberState::Suspect | MemberState::Dead) {
            let records = vec![held.clone()];
            self.send(from.peer_address, MemberMessage::Records { records });
        }
    }

    fn answer_probe(&mut self, from: &Hello, sequence: u64) {
        let records = self.take_piggybacked_records();
        let answer = MemberMessage::ProbeAnswer { sequence, records };
        self.send(from.peer_address, answer);
    }

    fn end_probe(&mut self, sequence: u64) {
        if let Some(probe) = self.probes.take(sequence) {
            if self.table.entries.contains_key(probe.target) {
                self.record_answer(probe.target);
            }
        } else if let Some(relay) = self.probes.take_relay(sequence) {
            let answer = MemberMessage::ProbeAnswer {
                sequence: relay.sequence,
                records: Vec::new(),
            };
            self.send(relay.requester, answer);
        }
    }

    fn relay_probe(
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

    fn record_applied_revision(&mut self, now: Instant, from: &Hello, revision: Revision) {
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
        let buckets = differing_buckets(&digest(self.table.records()), theirs);
        if buckets.is_empty() {
            return;
        }
        let difference = MemberMessage::Difference {
            records: self.records_in(&buckets),
            buckets,
            wants_answer: true,
        };
        self.send(from.peer_address, difference);
    }

    /// Sends back the records that the sender of a difference lacks or holds outdated.
    fn answer_difference(&mut self, from: &Hello, buckets: &[u16], theirs: &[MemberRecord]) {
        let is_lacking = |ours: &MemberRecord| {
            let held = theirs.iter().find(|record| record.member == ours.member);
            held.is_none_or(|held| supersedes(ours, held))
        };
        let mut records = self.records_in(buckets);
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

    fn records_in(&self, buckets: &[u16]) -> Vec<MemberRecord> {
        let is_requested = |record: &&MemberRecord| {
            let bucket = bucket_of(&record.member);
            buckets
                .iter()
                .any(|requested| usize::from(*requested) == bucket)
        };
        self.table.records().filter(is_requested).cloned().collect()
    }
}

/// Builds the record of a sender from its handshake, as alive.
fn record_from_hello(hello: &Hello) -> MemberRecord {
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
