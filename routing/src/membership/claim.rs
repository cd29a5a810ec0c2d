//! The order of claims about one member.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;

/// Returns whether `claim` replaces `held`, which is about the same member.
///
/// A higher incarnation replaces a lower one. Within an incarnation the states
/// only move on, from alive over suspect and leaving to dead; so a member that
/// leaves can no longer be taken for suspect or alive.
pub(super) fn supersedes(claim: &MemberRecord, held: &MemberRecord) -> bool {
    let order = |record: &MemberRecord| (record.incarnation, rank(record.state));
    order(claim) > order(held)
}

const fn rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}
