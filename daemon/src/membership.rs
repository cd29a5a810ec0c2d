//! What a process knows about the other members.

pub mod actor;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_routing::membership::MemberView;
use jujubewall_types::admin::MemberStatus;
use jujubewall_types::admin::StatusAnswer;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
use tokio::time::Instant;

/// A handle on the list of members as of its last change.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Arc<ArcSwap<MemberList>>,
}

/// The members with an index of their addresses.
#[derive(Debug, Default)]
struct MemberList {
    members: Vec<MemberView>,
    by_address: HashMap<SocketAddr, usize>,
}

impl MemberList {
    fn new(members: Vec<MemberView>) -> Self {
        let mut by_address: HashMap<SocketAddr, usize> = HashMap::new();
        for (index, member) in members.iter().enumerate() {
            let newest = by_address
                .entry(member.record.peer_address)
                .or_insert(index);
            if members[*newest].record.incarnation < member.record.incarnation {
                *newest = index;
            }
        }
        Self {
            members,
            by_address,
        }
    }
}

impl Members {
    /// Replaces the list.
    pub fn replace(&self, members: Vec<MemberView>) {
        self.list.store(Arc::new(MemberList::new(members)));
    }

    /// Returns the newest member that accepts connections at `address`.
    pub fn at(&self, address: SocketAddr) -> Option<MemberRecord> {
        let list = self.list.load();
        let index = list.by_address.get(&address)?;
        Some(list.members[*index].record.clone())
    }

    /// Returns the state of the member at `address`.
    pub fn state_at(&self, address: SocketAddr) -> Option<MemberState> {
        let list = self.list.load();
        let index = list.by_address.get(&address)?;
        Some(list.members[*index].record.state)
    }

    /// Returns the names of the entries that take part.
    pub fn live_entries(&self) -> Vec<MemberName> {
        let list = self.list.load();
        list.members
            .iter()
            .filter(|member| member.record.role == Role::Entry)
            .filter(|member| member.record.state != MemberState::Dead)
            .map(|member| member.record.member.clone())
            .collect()
    }

    /// Returns the addresses of the entries that are not known to be gone or leaving.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let list = self.list.load();
        let is_live = |member: &&MemberView| {
            let state = member.record.state;
            matches!(state, MemberState::Alive | MemberState::Suspect)
        };
        list.members
            .iter()
            .filter(|member| member.record.role == Role::Entry)
            .filter(is_live)
            .map(|member| member.record.peer_address)
            .collect()
    }

    /// Returns the address of a member.
    pub fn address_of(&self, name: &MemberName) -> Option<SocketAddr> {
        let list = self.list.load();
        let mut members = list.members.iter();
        let member = members.find(|member| member.record.member == *name)?;
        Some(member.record.peer_address)
    }
}

/// Describes how far `members` have come with `head`.
pub fn status(members: &[MemberView], head: Revision) -> StatusAnswer {
    let now = Instant::now();
    let is_reachable = |state| matches!(state, MemberState::Alive | MemberState::Leaving);
    let mut behind: Vec<_> = members
        .iter()
        .filter(|member| is_reachable(member.record.state))
        .filter(|member| member.record.applied_revision < head)
        .collect();
    behind.sort_by_key(|member| member.record.applied_revision);
    let unreachable = members
        .iter()
        .filter(|member| !is_reachable(member.record.state));
    StatusAnswer {
        head,
        is_in_force: behind.is_empty(),
        slowest: behind
            .iter()
            .map(|member| member.record.member.clone())
            .collect(),
        unreachable: unreachable
            .map(|member| member.record.member.clone())
            .collect(),
        members: members
            .iter()
            .map(|member| status_of(member, now))
            .collect(),
    }
}

fn status_of(member: &MemberView, now: Instant) -> MemberStatus {
    let record = &member.record;
    let age = now.saturating_duration_since(member.reported_at);
    MemberStatus {
        member: record.member.clone(),
        host: record.host.clone(),
        failure_domain: record.failure_domain.clone(),
        role: record.role,
        state: record.state,
        applied_revision: record.applied_revision,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}
