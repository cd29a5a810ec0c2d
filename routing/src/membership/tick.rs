//! What is due as time passes.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

use super::action::MembershipActions;
use super::invariant::MembershipInvariant;
use super::machine::Membership;
use super::merge::Spread;
use super::table::MemberKey;

impl Membership {
    /// Does what is due; to be called once in each tick of the settings.
    pub fn on_tick(&mut self, now: Instant) -> MembershipActions {
        self.excuse_pause(now);
        for (sequence, probe) in self.probes.take_due(now) {
            self.escalate(now, sequence, probe);
        }
        self.judge_own_link();
        self.end_suspicions(now);
        self.run_schedule(now);
        self.push_claims();
        self.finish()
    }

    fn run_schedule(&mut self, now: Instant) {
        if now >= self.schedule.probe {
            self.schedule.probe = now + self.settings.probe_period;
            self.probe_next(now);
        }
        if now >= self.schedule.join && !self.has_joined {
            self.schedule.join = now + self.settings.join_period;
            self.join();
        }
        if now >= self.schedule.digest {
            self.schedule.digest = now + self.settings.digest_period;
            self.send_digest();
        }
        if now >= self.schedule.reconnect {
            self.schedule.reconnect = now + self.settings.reconnect_period;
            self.reconnect(now);
            self.forget_dead(now);
        }
        if now >= self.schedule.report {
            self.report_applied(now);
        }
    }

    /// Blames nobody for a time in which this process itself did not run.
    fn excuse_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.schedule.last_tick);
        self.schedule.last_tick = now;
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

    /// Declares the members dead that did not refute in time.
    ///
    /// One that was suspected in private is first suspected in public, so that
    /// it can refute.
    fn end_suspicions(&mut self, now: Instant) {
        for key in self.due_suspicions(now) {
            if self.is_link_suspect {
                let is_private = self.is_private(key);
                self.start_suspicion(now, key, is_private);
                continue;
            }
            if self.is_private(key) && self.table.entries[key].record.state == MemberState::Suspect
            {
                self.outbox.add(key, false);
                self.start_suspicion(now, key, false);
                continue;
            }
            self.invariants
                .check(MembershipInvariant::NoDeathByOwnLink, !self.is_link_suspect);
            let claim = MemberRecord {
                state: MemberState::Dead,
                ..self.table.entries[key].record.clone()
            };
            self.replace(now, key, claim, Spread::Yes);
        }
    }

    fn due_suspicions(&mut self, now: Instant) -> Vec<MemberKey> {
        let entries = &self.table.entries;
        let deadline = |key: MemberKey| Some(entries.get(key)?.suspicion?.deadline);
        self.suspects.retain(|key| deadline(*key).is_some());
        let is_due = |key: &MemberKey| deadline(*key).is_some_and(|deadline| deadline <= now);
        self.suspects.iter().copied().filter(is_due).collect()
    }

    fn is_private(&self, key: MemberKey) -> bool {
        self.table.entries[key]
            .suspicion
            .is_some_and(|suspicion| suspicion.is_private)
    }
}
