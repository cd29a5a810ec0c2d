//! Probing of the watched members.

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use rand::RngExt as _;
use tokio::time::Instant;

use super::action::MembershipAction;
use super::invariant::MembershipInvariant;
use super::machine::Membership;
use super::merge::Spread;
use super::probes::Probe;
use super::probes::ProbePhase;
use super::rings::MemberKeys;
use super::rings::RINGS;
use super::table::MemberKey;

impl Membership {
    /// Probes the next watched member.
    pub(super) fn probe_next(&mut self, now: Instant) {
        let watched = self.table.successors(self.own);
        let is_bounded = watched.len() <= RINGS;
        self.invariants
            .check(MembershipInvariant::WatchesBounded, is_bounded);
        if watched.is_empty() {
            return;
        }
        self.probe_turn = (self.probe_turn + 1) % watched.len();
        let target = watched[self.probe_turn];
        if !self.probes.awaits(target) {
            self.probe(now, target);
        }
    }

    /// Probes a member over the open connection.
    pub(super) fn probe(&mut self, now: Instant, target: MemberKey) {
        let sequence = self.probes.add(Probe {
            target,
            phase: ProbePhase::Direct,
            deadline: now + self.settings.probe_timeout,
        });
        self.send_probe(target, sequence);
    }

    /// Goes on with a probe whose phase has ended without an answer.
    pub(super) fn escalate(&mut self, now: Instant, sequence: u64, probe: Probe) {
        if !self.table.entries.contains_key(probe.target) {
            return;
        }
        match probe.phase {
            ProbePhase::Direct => self.retry(now, sequence, probe),
            ProbePhase::Retried => self.fail(now, probe.target),
        }
    }

    /// Notes that a member has answered.
    pub(super) fn note_answer(&mut self, key: MemberKey) {
        let entry = &mut self.table.entries[key];
        entry.is_failing = false;
        if !entry
            .suspicion
            .is_some_and(|suspicion| suspicion.is_private)
        {
            return;
        }
        entry.suspicion = None;
        let before = entry.effective_state();
        if entry.record.state == MemberState::Suspect {
            entry.record.state = MemberState::Alive;
            self.tell_change(key, Some(before));
        }
    }

    /// Tries again from a new socket and through others.
    ///
    /// Silence on an open connection proves nothing about the member, since
    /// something between the two ends may have lost track of the connection.
    fn retry(&mut self, now: Instant, sequence: u64, probe: Probe) {
        let target_address = self.table.entries[probe.target].record.peer_address;
        self.probes.put_back(
            sequence,
            Probe {
                phase: ProbePhase::Retried,
                deadline: now + self.settings.retry_timeout,
                ..probe
            },
        );
        let to = target_address;
        self.actions.push(MembershipAction::Redial { to });
        self.send_probe(probe.target, sequence);
        for helper in self.helpers(probe.target) {
            let request = MemberMessage::ProbeRequest {
                sequence,
                target_address,
            };
            self.send_to(helper, request);
        }
    }

    /// Takes a member that answered no try for suspect.
    fn fail(&mut self, now: Instant, key: MemberKey) {
        let entry = &mut self.table.entries[key];
        entry.is_failing = true;
        self.judge_own_link();
        let entry = &self.table.entries[key];
        match entry.record.state {
            MemberState::Alive if self.is_link_suspect => self.suspect_privately(now, key),
            MemberState::Alive => {
                let claim = MemberRecord {
                    state: MemberState::Suspect,
                    ..entry.record.clone()
                };
                self.replace(now, key, claim, Spread::Yes);
            }
            MemberState::Leaving if entry.suspicion.is_none() => {
                self.start_suspicion(now, key, true);
            }
            _ => {}
        }
    }

    /// Suspects a member without telling others, as the own link may be at fault.
    fn suspect_privately(&mut self, now: Instant, key: MemberKey) {
        let before = self.table.entries[key].effective_state();
        self.table.entries[key].record.state = MemberState::Suspect;
        self.start_suspicion(now, key, true);
        self.tell_change(key, Some(before));
    }

    fn send_probe(&mut self, target: MemberKey, sequence: u64) {
        let mut records = self.riders();
        let held = &self.table.entries[target].record;
        let is_refutable = matches!(held.state, MemberState::Suspect | MemberState::Dead);
        if is_refutable && !records.contains(held) {
            records.push(held.clone());
        }
        self.send_to(target, MemberMessage::Probe { sequence, records });
    }

    /// Chooses members that probe `target` on this one's behalf.
    ///
    /// Those that watch it come first, as they are connected to it.
    fn helpers(&mut self, target: MemberKey) -> MemberKeys {
        let mut helpers = self.table.predecessors(target);
        helpers.extend(self.table.successors(self.own));
        let (own, entries) = (self.own, &self.table.entries);
        helpers.retain(|key| {
            let is_other = *key != own && *key != target;
            is_other && entries[*key].record.state == MemberState::Alive
        });
        let mut chosen = MemberKeys::new();
        while chosen.len() < self.settings.helpers && !helpers.is_empty() {
            let place = self.rng.random_range(0..helpers.len());
            let helper = helpers.swap_remove(place);
            if !chosen.contains(&helper) {
                chosen.push(helper);
            }
        }
        chosen
    }
}
