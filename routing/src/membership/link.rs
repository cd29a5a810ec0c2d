//! Telling the loss of members from the loss of this process's own link.

use jujubewall_types::id::FailureDomainName;
use log::warn;
use smallvec::SmallVec;

use super::action::MembershipAction;
use super::machine::Membership;
use super::rings::RINGS;

impl Membership {
    /// Judges whether the own link is at fault.
    ///
    /// It is when at least half of the watched members fail, and they lie in
    /// more than one failure domain: the watched members are a random sample of
    /// the fleet, and one failure domain can be lost as a whole.
    pub(super) fn judge_own_link(&mut self) {
        let is_suspect = self.fails_widely();
        self.set_link_suspect(is_suspect);
    }

    fn fails_widely(&self) -> bool {
        let watched = self.table.successors(self.own);
        let mut domains: SmallVec<[&FailureDomainName; RINGS]> = SmallVec::new();
        let mut failing = 0;
        for key in &watched {
            let entry = &self.table.entries[*key];
            if !entry.is_failing {
                continue;
            }
            failing += 1;
            if !domains.contains(&&entry.record.failure_domain) {
                domains.push(&entry.record.failure_domain);
            }
        }
        let is_many = failing >= self.settings.min_mass_loss && 2 * failing >= watched.len();
        is_many && domains.len() > 1
    }

    fn set_link_suspect(&mut self, is_suspect: bool) {
        if self.is_link_suspect == is_suspect {
            return;
        }
        self.is_link_suspect = is_suspect;
        if is_suspect {
            warn!("many members fail at once: the own link is suspect");
        } else {
            warn!("the own link is no longer suspect");
        }
        self.actions
            .push(MembershipAction::OwnLinkSuspect(is_suspect));
    }
}
