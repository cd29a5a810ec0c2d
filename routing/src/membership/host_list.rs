//! Updates from the platform's host list, which lags behind the actual state.

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
use super::merge::Propagate;
use super::table::MemberKey;

/// One host on the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// The address at which the member on the host accepts connections.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove the host.
    pub is_leaving: bool,
}

impl Membership {
    /// Handles a newly read host list.
    ///
    /// A host listed as leaving gets no new work, whatever its member reports, and the
    /// member is notified. A host that disappears from the list does not affect a member
    /// that answers, but a suspected member on it is declared dead at once.
    pub fn on_host_list(&mut self, now: Instant, hosts: &[ListedHost]) -> MembershipActions {
        let is_live = |host: &&ListedHost| !host.is_leaving;
        let live = hosts.iter().filter(is_live);
        self.listed = live.map(|host| host.peer_address).collect();
        let (candidates, listed) = (&self.candidates, &self.listed);
        self.table_requested_at
            .retain(|address, _| candidates.contains(address) || listed.contains(address));
        let members = self.table.by_address();
        for host in hosts {
            self.apply_listed_host(host, &members);
        }
        self.apply_unlisted_hosts(now, hosts);
        self.finish_event()
    }

    /// Returns whether this process should read the host list.
    ///
    /// Members in the entry role read it because they route new work, and a process
    /// reads it until it has joined. The others do not, so that the number of calls to
    /// the platform does not grow with the number of hosts.
    pub fn reads_host_list(&self) -> bool {
        !self.has_joined || self.own_record().role == Role::Entry
    }

    fn apply_listed_host(&mut self, host: &ListedHost, members: &HashMap<SocketAddr, MemberKey>) {
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
        let has_not_announced = matches!(
            entry.record.state,
            MemberState::Alive | MemberState::Suspect
        );
        if host.is_leaving && has_not_announced {
            self.notify_host_leaving(key);
        }
        if before != self.table.entries[key].effective_state() {
            self.emit_change(key, Some(before));
        }
    }

    /// Notifies a member that its host is leaving.
    ///
    /// Repeated for each host list that is read until the member announces that it is
    /// leaving.
    fn notify_host_leaving(&mut self, key: MemberKey) {
        if key == self.own_key {
            self.emit_own_host_leaving();
        } else {
            self.send_to(key, MemberMessage::HostLeaving);
        }
    }

    /// Emits [`MembershipAction::OwnHostLeaving`] on the first call only.
    pub(super) fn emit_own_host_leaving(&mut self) {
        if !self.is_host_leaving {
            self.is_host_leaving = true;
            self.actions.push(MembershipAction::OwnHostLeaving);
        }
    }

    fn apply_unlisted_hosts(&mut self, now: Instant, hosts: &[ListedHost]) {
        let mut listed: Vec<SocketAddr> = hosts.iter().map(|host| host.peer_address).collect();
        listed.sort_unstable();
        let entries = self.table.entries.iter();
        let unlisted: Vec<MemberKey> = entries
            .filter(|(key, _)| *key != self.own_key)
            .filter(|(_, entry)| entry.listing != Listing::Never)
            .filter(|(_, entry)| listed.binary_search(&entry.record.peer_address).is_err())
            .map(|(key, _)| key)
            .collect();
        for key in unlisted {
            let entry = &self.table.entries[key];
            if entry.suspicion.is_some() && entry.record.state != MemberState::Dead {
                let update = MemberRecord {
                    state: MemberState::Dead,
                    ..entry.record.clone()
                };
                self.replace(now, key, update, Propagate::Yes);
            }
        }
    }
}
