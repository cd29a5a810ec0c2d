//! The platform's host list as a source, which lags behind the actual state.

use std::collections::HashMap;
use std::net::SocketAddr;

use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use jujubewall_types::member::Role;
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
        let is_live = |host: &&ListedHost| !host.is_leaving;
        let live = hosts.iter().filter(is_live);
        self.listed = live.map(|host| host.peer_address).collect();
        let (candidates, listed) = (&self.candidates, &self.listed);
        self.asked
            .retain(|address, _| candidates.contains(address) || listed.contains(address));
        let members = self.table.by_address();
        for host in hosts {
            self.take_listed(host, &members);
        }
        self.take_unlisted(now, hosts);
        self.finish()
    }

    /// Returns whether this process should read the host list.
    ///
    /// Entries do, since they choose where new work goes, and a process that
    /// looks for the others. So the calls do not grow with the hosts.
    pub fn reads_host_list(&self) -> bool {
        !self.has_joined || self.own_record().role == Role::Entry
    }

    fn take_listed(&mut self, host: &ListedHost, members: &HashMap<SocketAddr, MemberKey>) {
        let Some(key) = members.get(&host.peer_address).copied() else {
            return;
        };
        let entry = &mut self.table.entries[key];
        let before = entry.effective_state();
        entry.listing = if host.is_leaving {
            Listing::Leaving
        } else {
            Listing::Live
        };
        let is_unaware = matches!(
            entry.record.state,
            MemberState::Alive | MemberState::Suspect
        );
        if host.is_leaving && is_unaware {
            self.tell_host_leaving(key);
        }
        if before != self.table.entries[key].effective_state() {
            self.tell_change(key, Some(before));
        }
    }

    /// Tells a member, again at each reading until it says itself that it leaves.
    fn tell_host_leaving(&mut self, key: MemberKey) {
        if key == self.own {
            self.note_host_leaving();
        } else {
            self.send_to(key, MemberMessage::HostLeaving);
        }
    }

    /// Notes, once, that the platform lists this process's host as leaving.
    pub(super) fn note_host_leaving(&mut self) {
        if !self.is_host_leaving {
            self.is_host_leaving = true;
            self.actions.push(MembershipAction::OwnHostLeaving);
        }
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
