//! The word of the platform's host list, which lags behind the truth.

use std::net::SocketAddr;

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

use super::action::MembershipAction;
use super::action::MembershipActions;
use super::entry::Listing;
use super::machine::Membership;
use super::merge::Spread;
use super::table::MemberKey;

/// One host on the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// The address at which the host's process of the system accepts connections.
    pub peer_address: SocketAddr,
    /// Whether the host is about to be taken away.
    pub is_leaving: bool,
}

impl Membership {
    /// Handles the host list as it was last read.
    ///
    /// A leaving host gets no new work, whatever its process says, and its
    /// process is told. A host that has left the list is no reason to give up a
    /// member that answers, but it ends the wait for one that does not.
    pub fn on_host_list(&mut self, now: Instant, hosts: &[ListedHost]) -> MembershipActions {
        for host in hosts {
            self.take_listed(host);
        }
        self.take_unlisted(now, hosts);
        self.finish()
    }

    fn take_listed(&mut self, host: &ListedHost) {
        if !host.is_leaving {
            self.candidates.insert(host.peer_address);
        }
        let Some(key) = self.table.find_address(host.peer_address) else {
            return;
        };
        let entry = &mut self.table.entries[key];
        let before = entry.effective_state();
        entry.listing = if host.is_leaving {
            Listing::Leaving
        } else {
            Listing::Live
        };
        if before == entry.effective_state() {
            return;
        }
        if key == self.own {
            self.actions.push(MembershipAction::OwnHostLeaving);
        } else if host.is_leaving {
            self.send_to(key, MemberMessage::HostLeaving);
        }
        self.tell_change(key, Some(before));
    }

    fn take_unlisted(&mut self, now: Instant, hosts: &[ListedHost]) {
        let mut listed: Vec<SocketAddr> = hosts.iter().map(|host| host.peer_address).collect();
        listed.sort_unstable();
        let entries = self.table.entries.iter();
        let gone: Vec<MemberKey> = entries
            .filter(|(key, _)| *key != self.own)
            .filter(|(_, entry)| entry.listing != Listing::Never)
            .filter(|(_, entry)| listed.binary_search(&entry.record.peer_address).is_err())
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            let entry = &self.table.entries[key];
            self.candidates.remove(&entry.record.peer_address);
            if entry.suspicion.is_some() && entry.record.state != MemberState::Dead {
                let claim = MemberRecord {
                    state: MemberState::Dead,
                    ..entry.record.clone()
                };
                self.replace(now, key, claim, Spread::Yes);
            }
        }
    }
}
