//! What a process knows about the other members.

pub mod actor;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use jujubewall_routing::membership::MemberView;
use jujubewall_types::admin::MemberStatus;
use jujubewall_types::admin::StatusAnswer;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
use tokio::time::Instant;

/// A handle on the list of members as of its last change.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Arc<ArcSwap<Vec<MemberView>>>,
}

impl Members {
    /// Replaces the list.
    pub fn replace(&self, members: Vec<MemberView>) {
        self.list.store(Arc::new(members));
    }

    /// Returns the state of each member by its address.
    pub fn states(&self) -> HashMap<SocketAddr, MemberState> {
        let list = self.list.load();
        list.iter()
            .map(|member| (member.record.peer_address, member.record.state))
            .collect()
    }

    /// Returns the names of the entries that take part.
    pub fn live_entries(&self) -> Vec<MemberName> {
        let list = self.list.load();
        list.iter()
            .filter(|member| member.record.role == Role::Entry)
            .filter(|member| member.record.state != MemberState::Dead)
            .map(|member| member.record.member.clone())
            .collect()
    }

    /// Returns the incarnation of the member that accepts connections at `address`.
    pub fn incarnation_at(&self, address: SocketAddr) -> Option<Incarnation> {
        let list = self.list.load();
        let members = list.iter().map(|member| &member.record);
        let members = members.filter(|record| record.peer_address == address);
        members.map(|record| record.incarnation).max()
    }

    /// Returns the address of a member.
    pub fn address_of(&self, name: &MemberName) -> Option<SocketAddr> {
        let list = self.list.load();
        let member = list.iter().find(|member| member.record.member == *name);
        member.map(|member| member.record.peer_address)
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
