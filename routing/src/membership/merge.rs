//! Merging of received updates into the member table.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::Incarnation;
use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
use tokio::time::Instant;

use super::action::MembershipAction;
use super::entry::Suspicion;
use super::invariant::MembershipInvariant;
use super::machine::Membership;
use super::precedence::supersedes;
use super::table::MemberKey;

/// Whether updates that are new to this process are gossiped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Propagate {
    /// They are queued for gossip.
    Yes,
    /// They are not queued, since the sender's other neighbours already know them.
    No,
}

impl Membership {
    /// Merges updates received from another member.
    pub(super) fn merge_updates(
        &mut self,
        now: Instant,
        updates: Vec<MemberRecord>,
        propagate: Propagate,
    ) {
        for update in updates {
            self.merge(now, update, propagate);
        }
    }

    /// Merges one update, which may be about this process itself.
    pub(super) fn merge(&mut self, now: Instant, update: MemberRecord, propagate: Propagate) {
        if update.member == self.own_record().member {
            self.merge_own(now, &update);
            return;
        }
        match self.table.find(&update.member) {
            Some(key) => self.merge_known(now, key, update, propagate),
            None if update.state == MemberState::Dead => {}
            None => self.insert(now, update, propagate),
        }
    }

    /// Replaces the record of another member by a newer one.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        key: MemberKey,
        update: MemberRecord,
        propagate: Propagate,
    ) {
        let held = &self.table.entries[key].record;
        self.check_transition(&held.clone(), &update);
        let before = self.table.entries[key].effective_state();
        let is_new_incarnation = update.incarnation > self.table.entries[key].record.incarnation;
        let state = update.state;
        self.table.replace(key, update, now);
        if is_new_incarnation {
            self.table.entries[key].is_failing = false;
            self.probes.forget(key);
        }
        if state == MemberState::Suspect {
            self.start_suspicion(now, key, false);
        }
        if propagate == Propagate::Yes {
            self.outbox.add(key, state == MemberState::Leaving);
        }
        self.emit_change(key, Some(before));
        self.report_to_alive_entry(key, state);
    }

    /// Starts or restarts a member's suspicion timeout.
    pub(super) fn start_suspicion(&mut self, now: Instant, key: MemberKey, is_local: bool) {
        let deadline = now + self.settings.suspicion_timeout;
        let suspicion = Suspicion { deadline, is_local };
        self.table.entries[key].suspicion = Some(suspicion);
        if !self.suspects.contains(&key) {
            self.suspects.push(key);
        }
    }

    /// Replaces this process's own record and queues it for gossip.
    pub(super) fn replace_own(&mut self, now: Instant, record: MemberRecord) {
        let before = self.own_record().state;
        let is_urgent = record.state == MemberState::Leaving;
        self.check_transition(&self.own_record().clone(), &record);
        self.table.replace(self.own_key, record, now);
        self.outbox.add(self.own_key, is_urgent);
        if before != self.own_record().state {
            self.emit_change(self.own_key, Some(before));
        }
    }

    fn insert(&mut self, now: Instant, update: MemberRecord, propagate: Propagate) {
        let state = update.state;
        let key = self.table.insert(update, now);
        if state == MemberState::Suspect {
            self.start_suspicion(now, key, false);
        }
        if propagate == Propagate::Yes {
            self.outbox.add(key, state == MemberState::Leaving);
        }
        self.emit_change(key, None);
        self.report_to_alive_entry(key, state);
    }

    fn merge_known(
        &mut self,
        now: Instant,
        key: MemberKey,
        update: MemberRecord,
        propagate: Propagate,
    ) {
        let entry = &mut self.table.entries[key];
        let applied = update.applied_revision.max(entry.record.applied_revision);
        if applied > entry.record.applied_revision {
            entry.record.applied_revision = applied;
            entry.reported_at = now;
        }
        if !supersedes(&update, &entry.record) {
            return;
        }
        let update = MemberRecord {
            applied_revision: applied,
            ..update
        };
        self.replace(now, key, update, propagate);
    }

    /// Merges an update about this process itself, refuting it if it is wrong.
    ///
    /// Once this process has joined, an update with a newer live process under the same
    /// name at another address is not refuted but reported as a taken name.
    fn merge_own(&mut self, now: Instant, update: &MemberRecord) {
        let own = self.own_record();
        if update.incarnation < own.incarnation {
            return;
        }
        let is_same_address = update.peer_address == own.peer_address;
        let is_same_process = update.incarnation == own.incarnation && is_same_address;
        let is_refutable = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let is_stale_leave = update.state == MemberState::Leaving && own.state != update.state;
        if is_same_process && !is_refutable && !is_stale_leave {
            return;
        }
        let is_newer_process = !is_same_address && update.state == MemberState::Alive;
        if self.has_joined && is_newer_process {
            let by = update.peer_address;
            self.actions.push(MembershipAction::NameTaken { by });
            return;
        }
        self.raise_incarnation(now, update.incarnation);
    }

    /// Refutes an update by raising the own incarnation past `above`.
    fn raise_incarnation(&mut self, now: Instant, above: Incarnation) {
        let record = MemberRecord {
            incarnation: above.next(),
            ..self.own_record().clone()
        };
        self.replace_own(now, record);
    }

    /// Reports the applied revision to a member in the entry role that became alive.
    fn report_to_alive_entry(&mut self, key: MemberKey, state: MemberState) {
        let is_entry = self.table.entries[key].record.role == Role::Entry;
        if is_entry && state == MemberState::Alive {
            self.report_applied_to(key);
        }
    }

    fn check_transition(&mut self, held: &MemberRecord, update: &MemberRecord) {
        let is_rising = update.incarnation >= held.incarnation;
        self.invariants
            .check(MembershipInvariant::IncarnationNeverFalls, is_rising);
        let is_same_incarnation = update.incarnation == held.incarnation;
        let was_leaving = held.state == MemberState::Leaving;
        let is_leaving_or_dead = matches!(update.state, MemberState::Leaving | MemberState::Dead);
        self.invariants.check(
            MembershipInvariant::LeavingIsFinal,
            !was_leaving || !is_same_incarnation || is_leaving_or_dead,
        );
    }
}
