//! Periodic work and timeouts.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

use super::action::MembershipActions;
use super::invariant::MembershipInvariant;
use super::machine::Membership;
use super::merge::Propagate;
use super::table::MemberKey;

impl Membership {
    /// Handles timeouts and periodic work.
    ///
    /// Must be called at the interval [`MembershipSettings::tick`](super::MembershipSettings::tick).
    pub fn on_tick(&mut self, now: Instant) -> MembershipActions {
        self.handle_pause(now);
        for (sequence, probe) in self.probes.take_due(now) {
            self.advance_probe(now, sequence, probe);
        }
        self.evaluate_own_link();
        self.expire_suspicions(now);
        self.run_due_work(now);
        self.push_updates();
        self.finish_event()
    }

    fn run_due_work(&mut self, now: Instant) {
        if now >= self.schedule.probe_at {
            self.schedule.probe_at = now + self.settings.probe_period;
            self.probe_next(now);
        }
        if now >= self.schedule.join_at && !self.has_joined {
            self.schedule.join_at = now + self.settings.join_period;
            self.join(now);
        }
        if now >= self.schedule.digest_at {
            self.schedule.digest_at = now + self.settings.digest_period;
            self.send_digest();
        }
        if now >= self.schedule.reconnect_at {
            self.schedule.reconnect_at = now + self.settings.reconnect_period;
            self.reconnect(now);
            self.remove_expired_dead(now);
        }
        if now >= self.schedule.report_at {
            self.report_applied(now);
        }
    }

    /// Drops probes and restarts suspicion timeouts after a pause of this process.
    ///
    /// A missing answer during a pause says nothing about the other member.
    fn handle_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.schedule.last_tick_at);
        self.schedule.last_tick_at = now;
        if gap < self.settings.pause_threshold {
            return;
        }
        self.probes.clear();
        for entry in self.table.entries.values_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.deadline = now + self.settings.suspicion_timeout;
            }
        }
    }

    /// Declares members dead whose suspicion timed out without a refutation.
    ///
    /// A suspicion that was local to this process is gossiped first and its timeout
    /// restarted, so that the member can refute it; a leaving member is declared dead
    /// without this step. While the own link is suspect, the timeouts are extended instead.
    fn expire_suspicions(&mut self, now: Instant) {
        for key in self.expired_suspicions(now) {
            if self.is_link_suspect {
                let is_local = self.is_locally_suspected(key);
                self.start_suspicion(now, key, is_local);
                continue;
            }
            if self.is_locally_suspected(key)
                && self.table.entries[key].record.state == MemberState::Suspect
            {
                self.outbox.add(key, false);
                self.start_suspicion(now, key, false);
                continue;
            }
            self.invariants
                .check(MembershipInvariant::NoDeathByOwnLink, !self.is_link_suspect);
            let update = MemberRecord {
                state: MemberState::Dead,
                ..self.table.entries[key].record.clone()
            };
            self.replace(now, key, update, Propagate::Yes);
        }
    }

    fn expired_suspicions(&mut self, now: Instant) -> Vec<MemberKey> {
        let entries = &self.table.entries;
        let deadline = |key: MemberKey| Some(entries.get(key)?.suspicion?.deadline);
        self.suspects.retain(|key| deadline(*key).is_some());
        let is_due = |key: &MemberKey| deadline(*key).is_some_and(|deadline| deadline <= now);
        self.suspects.iter().copied().filter(is_due).collect()
    }

    fn is_locally_suspected(&self, key: MemberKey) -> bool {
        self.table.entries[key]
            .suspicion
            .is_some_and(|suspicion| suspicion.is_local)
    }
}
