//! The state of membership and its interface.

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

/// The instants at which something is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    pub(super) probe: Instant,
    pub(super) digest: Instant,
    pub(super) reconnect: Instant,
    pub(super) join: Instant,
    pub(super) report: Instant,
    pub(super) last_tick: Instant,
}

/// The members as one process knows them.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) table: Table,
    pub(super) own: MemberKey,
    pub(super) probes: Probes,
    pub(super) outbox: Outbox,
    pub(super) schedule: Schedule,
    /// Addresses at which other members may be.
    pub(super) candidates: BTreeSet<SocketAddr>,
    /// The addresses that the platform listed as live when last read.
    pub(super) listed: BTreeSet<SocketAddr>,
    pub(super) has_joined: bool,
    pub(super) is_link_suspect: bool,
    pub(super) is_host_leaving: bool,
    /// The members that have to refute in time, and some that have done so.
    pub(super) suspects: Vec<MemberKey>,
    /// The place among the watched members of the next one to probe.
    pub(super) probe_turn: usize,
    /// The place among the neighbours of the next one to compare digests with.
    pub(super) digest_turn: usize,
    pub(super) invariants: MembershipInvariants,
    pub(super) actions: MembershipActions,
}

impl Membership {
    /// Creates the membership of a process that knows only itself.
    ///
    /// The incarnation in `own` should be higher than in the member's earlier
    /// lives, such as the time of its start; one that is too low is raised when
    /// the process joins. The random choices follow from `seed`.
    pub fn new(
        own: MemberRecord,
        settings: MembershipSettings,
        candidates: &[SocketAddr],
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut table = Table::default();
        let own = table.insert(own, now);
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table,
            own,
            probes: Probes::default(),
            outbox: Outbox::default(),
            schedule: Schedule {
                probe: now,
                digest: now + settings.digest_period,
                reconnect: now + settings.reconnect_period,
                join: now,
                report: now + settings.report_period,
                last_tick: now,
            },
            candidates: candidates.iter().copied().collect(),
            listed: BTreeSet::new(),
            has_joined: false,
            is_link_suspect: false,
            is_host_leaving: false,
            suspects: Vec::new(),
            probe_turn: 0,
            digest_turn: 0,
            invariants: MembershipInvariants::default(),
            actions: Vec::new(),
        }
    }

    /// Adds addresses at which the configuration expects members.
    pub fn add_candidates(&mut self, addresses: &[SocketAddr]) {
        self.candidates.extend(addresses);
    }

    /// Announces that this process takes no new work.
    pub fn leave(&mut self, now: Instant) -> MembershipActions {
        if self.own_record().state == MemberState::Alive {
            let record = MemberRecord {
                state: MemberState::Leaving,
                ..self.own_record().clone()
            };
            self.replace_own(now, record);
            self.tell_entries_of_own();
        }
        self.finish()
    }

    /// Notes the configuration revision that this process has applied, and reports it.
    pub fn set_applied_revision(&mut self, now: Instant, revision: Revision) -> MembershipActions {
        let own = &mut self.table.entries[self.own];
        own.reported_at = now;
        if own.record.applied_revision < revision {
            own.record.applied_revision = revision;
            self.report_applied(now);
        }
        self.finish()
    }

    /// Returns this process's claim about itself.
    pub fn own_record(&self) -> &MemberRecord {
        &self.table.entries[self.own].record
    }

    /// Returns every member that is known, this process and dead ones included.
    pub fn members(&self) -> impl Iterator<Item = MemberView> {
        self.table.entries.values().map(|entry| MemberView {
            record: entry.effective_record(),
            reported_at: entry.reported_at,
        })
    }

    /// Returns the state of a member on which work is routed.
    pub fn state_of(&self, member: &MemberName) -> Option<MemberState> {
        let key = self.table.find(member)?;
        Some(self.table.entries[key].effective_state())
    }

    /// Returns whether this process's own link is thought to be at fault.
    pub const fn is_link_suspect(&self) -> bool {
        self.is_link_suspect
    }

    /// Returns the number of violations of each invariant.
    pub const fn invariants(&self) -> &MembershipInvariants {
        &self.invariants
    }

    /// Ends an event: sends what is urgent and returns the actions.
    pub(super) fn finish(&mut self) -> MembershipActions {
        if self.outbox.take_urgent() {
            self.push_claims();
        }
        let is_present = matches!(
            self.own_record().state,
            MemberState::Alive | MemberState::Leaving
        );
        self.invariants
            .check(MembershipInvariant::SelfIsPresent, is_present);
        std::mem::take(&mut self.actions)
    }

    /// Sends a message to an address.
    pub(super) fn send(&mut self, to: SocketAddr, message: MemberMessage) {
        self.actions.push(MembershipAction::Send { to, message });
    }

    /// Sends a message to a member.
    pub(super) fn send_to(&mut self, key: MemberKey, message: MemberMessage) {
        let to = self.table.entries[key].record.peer_address;
        self.send(to, message);
    }

    /// Tells the surroundings about a member that has changed.
    pub(super) fn tell_change(&mut self, key: MemberKey, before: Option<MemberState>) {
        let record = self.table.entries[key].effective_record();
        let change = MemberChange { before, record };
        self.actions
            .push(MembershipAction::MemberChanged(Box::new(change)));
    }
}
