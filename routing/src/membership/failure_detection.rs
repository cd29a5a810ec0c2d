//! Failure detection by probing the successors on the rings.

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use rand::RngExt as _;
use tokio::time::Instant;

use super::action::MembershipAction;
use super::invariant::MembershipInvariant;
use super::machine::Membership;
use super::merge::Propagate;
use super::probes::Probe;
use super::probes::ProbeStage;
use super::rings::MemberKeys;
use super::rings::RING_COUNT;
use super::table::MemberKey;

impl Membership {
    /// Probes the next successor in round-robin order, unless a probe of it is pending.
    pub(super) fn probe_next(&mut self, now: Instant) {
        let successors = self.table.successors(self.own_key);
        let is_bounded = successors.len() <= RING_COUNT;
        self.invariants
            .check(MembershipInvariant::WatchesBounded, is_bounded);
        if successors.is_empty() {
            return;
        }
        self.probe_cursor = (self.probe_cursor + 1) % successors.len();
        let target = successors[self.probe_cursor];
        if !self.probes.is_pending(target) {
            self.probe(now, target);
        }
    }

    /// Probes a member over the existing connection.
    pub(super) fn probe(&mut self, now: Instant, target: MemberKey) {
        let sequence = self.probes.add(Probe {
            target,
            stage: ProbeStage::Direct,
            deadline: now + self.settings.probe_timeout,
        });
        self.send_probe(target, sequence);
    }

    /// Moves a probe that timed out to its next stage, or records its failure.
    pub(super) fn advance_probe(&mut self, now: Instant, sequence: u64, probe: Probe) {
        if !self.table.entries.contains_key(probe.target) {
            return;
        }
        match probe.stage {
            ProbeStage::Direct => self.retry_probe(now, sequence, probe),
            ProbeStage::Retried => self.handle_failure(now, probe.target),
        }
    }

    /// Records that a member has answered, which clears a local suspicion.
    pub(super) fn record_answer(&mut self, key: MemberKey) {
        let entry = &mut self.table.entries[key];
        entry.is_failing = false;
        if !entry.suspicion.is_some_and(|suspicion| suspicion.is_local) {
            return;
        }
        entry.suspicion = None;
        let before = entry.effective_state();
        if entry.record.state == MemberState::Suspect {
            entry.record.state = MemberState::Alive;
            self.emit_change(key, Some(before));
        }
    }

    /// Probes again over a new socket and indirectly through other members.
    ///
    /// Silence on an existing connection is no evidence of a failed member, since a
    /// device between the two ends may have dropped the connection's state.
    fn retry_probe(&mut self, now: Instant, sequence: u64, probe: Probe) {
        let target_address = self.table.entries[probe.target].record.peer_address;
        self.probes.reinsert(
            sequence,
            Probe {
                stage: ProbeStage::Retried,
                deadline: now + self.settings.retry_timeout,
                ..probe
            },
        );
        let to = target_address;
        self.actions.push(MembershipAction::Redial { to });
        self.send_probe(probe.target, sequence);
        for prober in self.choose_indirect_probers(probe.target) {
            let request = MemberMessage::ProbeRequest {
                sequence,
                target_address,
            };
            self.send_to(prober, request);
        }
    }

    /// Suspects a member that answered neither the direct probe nor its retries.
    ///
    /// A leaving member keeps its state and only gets a local suspicion.
    fn handle_failure(&mut self, now: Instant, key: MemberKey) {
        let entry = &mut self.table.entries[key];
        entry.is_failing = true;
        self.evaluate_own_link();
        let entry = &self.table.entries[key];
        match entry.record.state {
            MemberState::Alive if self.is_link_suspect => self.suspect_locally(now, key),
            MemberState::Alive => {
                let update = MemberRecord {
                    state: MemberState::Suspect,
                    ..entry.record.clone()
                };
                self.replace(now, key, update, Propagate::Yes);
            }
            MemberState::Leaving if entry.suspicion.is_none() => {
                self.start_suspicion(now, key, true);
            }
            _ => {}
        }
    }

    /// Suspects a member without gossiping it, since the own link may be at fault.
    fn suspect_locally(&mut self, now: Instant, key: MemberKey) {
        let before = self.table.entries[key].effective_state();
        self.table.entries[key].record.state = MemberState::Suspect;
        self.start_suspicion(now, key, true);
        self.emit_change(key, Some(before));
    }

    fn send_probe(&mut self, target: MemberKey, sequence: u64) {
        let mut records = self.take_piggybacked_records();
        let held = &self.table.entries[target].record;
        let is_refutable = matches!(held.state, MemberState::Suspect | MemberState::Dead);
        if is_refutable && !records.contains(held) {
            records.push(held.clone());
        }
        self.send_to(target, MemberMessage::Probe { sequence, records });
    }

    /// Chooses random alive members to probe `target` indirectly.
    ///
    /// The candidates are the predecessors of `target`, which already have a connection
    /// to it, and this process's own successors.
    fn choose_indirect_probers(&mut self, target: MemberKey) -> MemberKeys {
        let mut eligible = self.table.predecessors(target);
        eligible.extend(self.table.successors(self.own_key));
        let (own, entries) = (self.own_key, &self.table.entries);
        eligible.retain(|key| {
            let is_other = *key != own && *key != target;
            is_other && entries[*key].record.state == MemberState::Alive
        });
        let mut chosen = MemberKeys::new();
        while chosen.len() < self.settings.indirect_probers && !eligible.is_empty() {
            let index = self.rng.random_range(0..eligible.len());
            let prober = eligible.swap_remove(index);
            if !chosen.contains(&prober) {
                chosen.push(prober);
            }
        }
        chosen
    }
}
