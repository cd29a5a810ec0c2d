//! Taking in claims about members.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::Incarnation;
use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
use tokio::time::Instant;

use super::action::MembershipAction;
use super::claim::supersedes;
use super::entry::Suspicion;
use super::invariant::MembershipInvariant;
use super::machine::Membership;
use super::table::MemberKey;

/// Whether claims that are new here are passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Spread {
    /// They are passed on.
    Yes,
    /// They are not, since the sender's other neighbours know them.
    No,
}

impl Membership {
    /// Takes in claims from another member.
    pub(super) fn merge_all(&mut self, now: Instant, claims: Vec<MemberRecord>, spread: Spread) {
        for claim in claims {
            self.merge(now, claim, spread);
        }
    }

    /// Takes in one claim.
    pub(super) fn merge(&mut self, now: Instant, claim: MemberRecord, spread: Spread) {
        if claim.member == self.own_record().member {
            self.merge_own(now, &claim);
            return;
        }
        match self.table.find(&claim.member) {
            Some(key) => self.merge_known(now, key, claim, spread),
            None if claim.state == MemberState::Dead => {}
            None => self.insert(now, claim, spread),
        }
    }

    /// Replaces the claim about another member by a newer one.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        key: MemberKey,
        claim: MemberRecord,
        spread: Spread,
    ) {
        let held = &self.table.entries[key].record;
        self.check_step(&held.clone(), &claim);
        let before = self.table.entries[key].effective_state();
        let is_new_life = claim.incarnation > self.table.entries[key].record.incarnation;
        let state = claim.state;
        self.table.replace(key, claim, now);
        if is_new_life {
            self.table.entries[key].is_failing = false;
            self.probes.forget(key);
        }
        if state == MemberState::Suspect {
            self.start_suspicion(now, key, false);
        }
        if spread == Spread::Yes {
            self.outbox.add(key, state == MemberState::Leaving);
        }
        self.tell_change(key, Some(before));
        self.greet_entry(key, state);
    }

    /// Starts the wait for a refutation.
    pub(super) fn start_suspicion(&mut self, now: Instant, key: MemberKey, is_private: bool) {
        let deadline = now + self.settings.suspicion_timeout;
        let suspicion = Suspicion {
            deadline,
            is_private,
        };
        self.table.entries[key].suspicion = Some(suspicion);
        if !self.suspects.contains(&key) {
            self.suspects.push(key);
        }
    }

    /// Replaces this process's claim about itself and passes it on.
    pub(super) fn replace_own(&mut self, now: Instant, record: MemberRecord) {
        let before = self.own_record().state;
        let is_urgent = record.state == MemberState::Leaving;
        self.check_step(&self.own_record().clone(), &record);
        self.table.replace(self.own, record, now);
        self.outbox.add(self.own, is_urgent);
        if before != self.own_record().state {
            self.tell_change(self.own, Some(before));
        }
    }

    fn insert(&mut self, now: Instant, claim: MemberRecord, spread: Spread) {
        let state = claim.state;
        let key = self.table.insert(claim, now);
        if state == MemberState::Suspect {
            self.start_suspicion(now, key, false);
        }
        if spread == Spread::Yes {
            self.outbox.add(key, state == MemberState::Leaving);
        }
        self.tell_change(key, None);
        self.greet_entry(key, state);
    }

    fn merge_known(&mut self, now: Instant, key: MemberKey, claim: MemberRecord, spread: Spread) {
        let entry = &mut self.table.entries[key];
        let applied = claim.applied_revision.max(entry.record.applied_revision);
        if applied > entry.record.applied_revision {
            entry.record.applied_revision = applied;
            entry.reported_at = now;
        }
        if !supersedes(&claim, &entry.record) {
            return;
        }
        let claim = MemberRecord {
            applied_revision: applied,
            ..claim
        };
        self.replace(now, key, claim, spread);
    }

    /// Takes in a claim about this process itself.
    fn merge_own(&mut self, now: Instant, claim: &MemberRecord) {
        let own = self.own_record();
        if claim.incarnation < own.incarnation {
            return;
        }
        let is_same_address = claim.peer_address == own.peer_address;
        let is_same_life = claim.incarnation == own.incarnation && is_same_address;
        let is_refutable = matches!(claim.state, MemberState::Suspect | MemberState::Dead);
        let is_stale_leave = claim.state == MemberState::Leaving && own.state != claim.state;
        if is_same_life && !is_refutable && !is_stale_leave {
            return;
        }
        let is_newer_process = !is_same_address && claim.state == MemberState::Alive;
        if self.has_joined && is_newer_process {
            let by = claim.peer_address;
            self.actions.push(MembershipAction::NameTaken { by });
            return;
        }
        self.raise_incarnation(now, claim.incarnation);
    }

    /// Refutes a claim about this process by an incarnation above it.
    fn raise_incarnation(&mut self, now: Instant, above: Incarnation) {
        let record = MemberRecord {
            incarnation: above.next(),
            ..self.own_record().clone()
        };
        self.replace_own(now, record);
    }

    /// Reports the applied revision to an entry that has become reachable.
    fn greet_entry(&mut self, key: MemberKey, state: MemberState) {
        let is_entry = self.table.entries[key].record.role == Role::Entry;
        if is_entry && state == MemberState::Alive {
            self.report_applied_to(key);
        }
    }

    fn check_step(&mut self, held: &MemberRecord, claim: &MemberRecord) {
        let is_rising = claim.incarnation >= held.incarnation;
        self.invariants
            .check(MembershipInvariant::IncarnationNeverFalls, is_rising);
        let is_same_life = claim.incarnation == held.incarnation;
        let was_leaving = held.state == MemberState::Leaving;
        let stays = matches!(claim.state, MemberState::Leaving | MemberState::Dead);
        self.invariants.check(
            MembershipInvariant::LeavingIsFinal,
            !was_leaving || !is_same_life || stays,
        );
    }
}
