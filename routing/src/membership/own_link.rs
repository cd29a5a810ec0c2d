//! Detection of faults of this process's own network link.

use jujubewall_types::id::FailureDomainName;
use log::warn;
use smallvec::SmallVec;

use super::action::MembershipAction;
use super::machine::Membership;
use super::rings::RING_COUNT;

impl Membership {
    /// Updates whether this process suspects its own link.
    ///
    /// The link is suspect if at least half of the successors, and at least the configured
    /// minimum, fail and these lie in more than one failure domain. The successors are a random sample of the fleet,
    /// and the loss of a whole failure domain must not count as a fault of the link.
    pub(super) fn evaluate_own_link(&mut self) {
        let is_suspect = self.has_widespread_failures();
        self.set_link_suspect(is_suspect);
    }

    fn has_widespread_failures(&self) -> bool {
        let successors = self.table.successors(self.own_key);
        let mut domains: SmallVec<[&FailureDomainName; RING_COUNT]> = SmallVec::new();
        let mut failing = 0;
        for key in &successors {
            let entry = &self.table.entries[*key];
            if !entry.is_failing {
                continue;
            }
            failing += 1;
            if !domains.contains(&&entry.record.failure_domain) {
                domains.push(&entry.record.failure_domain);
            }
        }
        let has_enough_failures =
            failing >= self.settings.min_failing_members && 2 * failing >= successors.len();
        has_enough_failures && domains.len() > 1
    }

    fn set_link_suspect(&mut self, is_suspect: bool) {
        if self.is_link_suspect == is_suspect {
            return;
        }
        self.is_link_suspect = is_suspect;
        if is_suspect {
            warn!("probes fail across several failure domains: suspecting this process's own link");
        } else {
            warn!("this process's own link is no longer suspect");
        }
        self.actions
            .push(MembershipAction::OwnLinkSuspect(is_suspect));
    }
}
