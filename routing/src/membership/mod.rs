//! Group membership: failure detection and dissemination of member states.
//!
//! Each member probes its successors on a fixed number of hash rings, so that
//! its load does not grow with the size of the fleet. A member that does not
//! answer a direct probe is probed again over a new socket and indirectly
//! through other members. Only then is it suspected, and it can refute the
//! suspicion by raising its incarnation. Updates are gossiped along the same
//! rings. Periodic exchanges of digests repair the differences that lost
//! messages leave behind.
//!
//! The sources of information in descending order of precedence: a member's own
//! heartbeat, its announcement that it is leaving, the platform's host list, and
//! the configured seed addresses.

mod action;
mod digest;
mod entry;
mod failure_detection;
mod gossip;
mod host_list;
mod invariant;
mod join;
mod machine;
mod merge;
mod outbox;
mod own_link;
mod precedence;
mod probes;
mod receive;
mod rings;
mod settings;
mod table;
mod tick;

pub use action::MemberChange;
pub use action::MembershipAction;
pub use action::MembershipActions;
pub use entry::MemberView;
pub use host_list::ListedHost;
pub use invariant::MembershipInvariant;
pub use invariant::MembershipInvariants;
pub use machine::Membership;
pub use settings::MembershipSettings;
