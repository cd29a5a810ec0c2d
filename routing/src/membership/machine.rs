//! The membership state machine and its public interface.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::action::MemberChange;
use super::action::MembershipAction;
use super::action::MembershipActions;
use super::entry::MemberView;
use super::invariant::MembershipInvariant;
use super::invariant::MembershipInvariants;
use super::outbox::Outbox;
use super::probes::Probes;
use super::settings::MembershipSettings;
use super::table::MemberKey;
use super::table::Table;

/// The times at which periodic work is due next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    pub(super) probe_at: Instant,
    pub(super) digest_at: Instant,
    pub(super) reconnect_at: Instant,
    pub(super) join_at: Instant,
    pub(super) report_at: Instant,
    /// When the last tick was handled, to detect pauses of this process.
    pub(super) last_tick_at: Instant,
}

/// One process's view of the group.
///
/// Performs no I/O: each event returns the actions that the caller must carry out.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) table: Table,
    pub(super) own_key: MemberKey,
    pub(super) probes: Probes,
    pub(super) outbox: Outbox,
    pub(super) schedule: Schedule,
    /// Configured addresses at which other members may accept connections.
    pub(super) candidates: BTreeSet<SocketAddr>,
    /// The addresses of the live hosts on the host list that was read last.
    pub(super) listed: BTreeSet<SocketAddr>,
    /// The addresses that have not answered a table request yet, with the time of the
    /// first request since the last redial.
    pub(super) table_requested_at: BTreeMap<SocketAddr, Instant>,
    pub(super) has_joined: bool,
    pub(super) is_link_suspect: bool,
    pub(super) is_host_leaving: bool,
    /// The members with a pending suspicion. May also hold members whose suspicion has
    /// ended; they are removed at the next check.
    pub(super) suspects: Vec<MemberKey>,
    /// The index among the successors of the member that was probed last.
    pub(super) probe_cursor: usize,
    /// The index among the neighbours of the member that was sent a digest last.
    pub(super) digest_cursor: usize,
    pub(super) invariants: MembershipInvariants,
    pub(super) actions: MembershipActions,
}

impl Membership {
    /// Creates the membership of a process that knows only itself.
    ///
    /// The incarnation in `own_record` should be higher than in earlier runs of the
    /// member, for example its start time. One that is too low is raised when the
    /// process joins. `seed` determines all random choices.
    pub fn new(
        own_record: MemberRecord,
        settings: MembershipSettings,
        candidates: &[SocketAddr],
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut table = Table::default();
        let own_key = table.insert(own_record, now);
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table,
            own_key,
            probes: Probes::default(),
            outbox: Outbox::default(),
            schedule: Schedule {
                probe_at: now,
                digest_at: now + settings.digest_period,
                reconnect_at: now + settings.reconnect_period,
                join_at: now,
                report_at: now + settings.report_period,
                last_tick_at: now,
            },
            candidates: candidates.iter().copied().collect(),
            listed: BTreeSet::new(),
            table_requested_at: BTreeMap::new(),
            has_joined: false,
            is_link_suspect: false,
            is_host_leaving: false,
            suspects: Vec::new(),
            probe_cursor: 0,
            digest_cursor: 0,
            invariants: MembershipInvariants::default(),
            actions: Vec::new(),
        }
    }

    /// Adds configured addresses at which members are expected.
    pub fn add_candidates(&mut self, addresses: &[SocketAddr]) {
        self.candidates.extend(addresses);
    }

    /// Announces that this process is leaving and takes no new work.
    pub fn leave(&mut self, now: Instant) -> MembershipActions {
        if self.own_record().state == MemberState::Alive {
            let record = MemberRecord {
                state: MemberState::Leaving,
                ..self.own_record().clone()
            };
            self.replace_own(now, record);
            self.send_own_record_to_entries();
        }
        self.finish_event()
    }

    /// Records the configuration revision that this process has applied, and reports it
    /// if it is new.
    pub fn set_applied_revision(&mut self, now: Instant, revision: Revision) -> MembershipActions {
        let own = &mut self.table.entries[self.own_key];
        own.reported_at = now;
        if own.record.applied_revision < revision {
            own.record.applied_revision = revision;
            self.report_applied(now);
        }
        self.finish_event()
    }

    /// Returns this process's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.table.entries[self.own_key].record
    }

    /// Returns all known members, including this process and dead members.
    pub fn members(&self) -> impl Iterator<Item = MemberView> {
        self.table.entries.values().map(|entry| MemberView {
            record: entry.effective_record(),
            reported_at: entry.reported_at,
        })
    }

    /// Returns the state of a member used for routing; `None` if it is not known.
    pub fn state_of(&self, member: &MemberName) -> Option<MemberState> {
        let key = self.table.find(member)?;
        Some(self.table.entries[key].effective_state())
    }

    /// Returns whether this process suspects its own network link to be at fault.
    pub const fn is_link_suspect(&self) -> bool {
        self.is_link_suspect
    }

    /// Returns the counts of invariant violations.
    pub const fn invariants(&self) -> &MembershipInvariants {
        &self.invariants
    }

    /// Completes an event: pushes urgent updates and returns the collected actions.
    pub(super) fn finish_event(&mut self) -> MembershipActions {
        if self.outbox.take_urgent() {
            self.push_updates();
        }
        let is_present = matches!(
            self.own_record().state,
            MemberState::Alive | MemberState::Leaving
        );
        self.invariants
            .check(MembershipInvariant::SelfIsPresent, is_present);
        std::mem::take(&mut self.actions)
    }

    /// Requests that a message be sent to an address.
    pub(super) fn send(&mut self, to: SocketAddr, message: MemberMessage) {
        self.actions.push(MembershipAction::Send { to, message });
    }

    /// Requests that a message be sent to a member.
    pub(super) fn send_to(&mut self, key: MemberKey, message: MemberMessage) {
        let to = self.table.entries[key].record.peer_address;
        self.send(to, message);
    }

    /// Requests that subscribers be notified of a changed member.
    pub(super) fn emit_change(&mut self, key: MemberKey, before: Option<MemberState>) {
        let record = self.table.entries[key].effective_record();
        let change = MemberChange { before, record };
        self.actions
            .push(MembershipAction::MemberChanged(Box::new(change)));
    }
}
