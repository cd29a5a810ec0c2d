//! Which members are there, and in what state.
//!
//! Every member watches the same small number of others along several rings,
//! each a different order of all members, so that its load does not grow with
//! the fleet. A member that does not answer is tried again from a new socket
//! and through other members before it is suspected, and it may refute the
//! suspicion by raising its incarnation. Claims spread along the same rings,
//! and digests close the gaps that lost messages leave.
//!
//! The sources are ranked: a member's own heartbeat, its announcement that it leaves,
//! the platform's host list, the configured seed addresses.

mod action;
mod claim;
mod digest;
mod entry;
mod host_list;
mod invariant;
mod join;
mod link;
mod machine;
mod merge;
mod outbox;
mod probes;
mod receive;
mod rings;
mod settings;
mod spread;
mod table;
mod tick;
mod watch;

pub use action::MemberChange;
pub use action::MembershipAction;
pub use action::MembershipActions;
pub use entry::MemberView;
pub use host_list::ListedHost;
pub use invariant::MembershipInvariant;
pub use invariant::MembershipInvariants;
pub use machine::Membership;
pub use settings::MembershipSettings;
