//! Precedence between two records of the same member.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;

/// Returns whether `update` replaces `held`, a record of the same member.
///
/// A higher incarnation always wins. Within an incarnation, states advance only
/// in the order alive, suspect, leaving, dead, so that a leaving member can no
/// longer become suspect or alive.
pub(super) fn supersedes(update: &MemberRecord, held: &MemberRecord) -> bool {
    let precedence = |record: &MemberRecord| (record.incarnation, rank(record.state));
    precedence(update) > precedence(held)
}

const fn rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}
