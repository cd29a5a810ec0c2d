//! What a process knows about the other members.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::admin::MemberStatus;
use jujubewall_types::admin::StatusAnswer;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

/// One member and when it was last heard of.
#[derive(Clone, Debug)]
pub struct SeenMember {
    /// What is claimed about the member.
    pub record: MemberRecord,
    /// When its applied revision was reported.
    pub reported_at: Instant,
}

/// A handle on the newest list of members.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Arc<ArcSwap<Vec<SeenMember>>>,
}

impl Members {
    /// Replaces the list.
    pub fn replace(&self, members: Vec<SeenMember>) {
        self.list.store(Arc::new(members));
    }

    /// Returns the state of the member at an address.
    pub fn state_of(&self, address: SocketAddr) -> Option<MemberState> {
        let list = self.list.load();
        list.iter()
            .find(|member| member.record.peer_address == address)
            .map(|member| member.record.state)
    }

    /// Describes how far the members have come with `head`.
    pub fn status(&self, head: Revision) -> StatusAnswer {
        let now = Instant::now();
        let list = self.list.load();
        let is_reachable = |state| matches!(state, MemberState::Alive | MemberState::Leaving);
        let mut behind: Vec<_> = list
            .iter()
            .filter(|member| is_reachable(member.record.state))
            .filter(|member| member.record.applied_revision < head)
            .collect();
        behind.sort_by_key(|member| member.record.applied_revision);
        let unreachable = list
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
            members: list.iter().map(|member| status_of(member, now)).collect(),
        }
    }
}

fn status_of(member: &SeenMember, now: Instant) -> MemberStatus {
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
