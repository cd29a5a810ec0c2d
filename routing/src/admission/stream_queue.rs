//! The streams of one service that wait at one gateway: by rank, then by fair queueing over
//! accounts, then by the time left.

use std::collections::BTreeMap;
use std::collections::HashMap;

use jujubewall_types::id::AccountName;
use jujubewall_types::priority::Priority;
use tokio::time::Instant;

use super::fair_queue::FairQueue;

/// The priority of all streams within an account; ranks are told apart before.
const PRIORITY: Priority = Priority::Normal;

/// Identifies a waiting stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StreamTicket(u64);

/// Where a stream waits.
#[derive(Debug)]
struct Place {
    rank: u32,
    account: AccountName,
}

/// The waiting streams.
#[derive(Debug)]
pub(super) struct StreamQueue {
    ranks: BTreeMap<u32, FairQueue<StreamTicket>>,
    places: HashMap<StreamTicket, Place>,
    next_ticket: u64,
    epoch: Instant,
}

impl StreamQueue {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            ranks: BTreeMap::new(),
            places: HashMap::new(),
            next_ticket: 0,
            epoch: now,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn contains(&self, ticket: StreamTicket) -> bool {
        self.places.contains_key(&ticket)
    }

    /// Returns the stream that is served next.
    pub(super) fn head(&self) -> Option<StreamTicket> {
        let mut ranks = self.ranks.values();
        ranks.find_map(|queue| queue.peek().copied())
    }

    /// Returns whether a stream of the same or a more urgent rank waits.
    pub(super) fn has_ahead(&self, rank: u32) -> bool {
        let mut ranks = self.ranks.range(..=rank);
        ranks.any(|(_, queue)| queue.len() > 0)
    }

    /// Returns the number of streams that are served before a new one.
    pub(super) fn count_ahead(&self, rank: u32, account: &AccountName, weight: u32) -> u64 {
        let more_urgent: usize = self.ranks.range(..rank).map(|(_, queue)| queue.len()).sum();
        let same = self.ranks.get(&rank);
        more_urgent as u64 + same.map_or(0, |queue| queue.cost_ahead(account, weight))
    }

    pub(super) fn push(
        &mut self,
        rank: u32,
        account: &AccountName,
        weight: u32,
        start_by: Instant,
    ) -> StreamTicket {
        let ticket = StreamTicket(self.next_ticket);
        self.next_ticket += 1;
        let order = start_by.saturating_duration_since(self.epoch).as_millis();
        let order = u64::try_from(order).unwrap_or(u64::MAX);
        let queue = self.ranks.entry(rank).or_insert_with(FairQueue::new);
        queue.push_ordered(account, weight, PRIORITY, 1, order, ticket);
        let account = account.clone();
        self.places.insert(ticket, Place { rank, account });
        ticket
    }

    /// Removes the last stream of the least urgent rank if that is less urgent than `rank`.
    pub(super) fn evict(&mut self, rank: u32) -> Option<StreamTicket> {
        let mut ranks = self.ranks.range_mut(rank.saturating_add(1)..).rev();
        let evicted = ranks.find_map(|(_, queue)| queue.pop_last())?;
        self.places.remove(&evicted);
        Some(evicted)
    }

    /// Removes a stream that is served, and charges its account.
    pub(super) fn take(&mut self, ticket: StreamTicket, weight: u32) {
        let Some(place) = self.places.get(&ticket) else {
            return;
        };
        let queue = self.ranks.get_mut(&place.rank);
        if let Some(queue) = queue
            && queue.peek() == Some(&ticket)
        {
            queue.pop();
            self.places.remove(&ticket);
            return;
        }
        if let Some(Place { rank, account }) = self.remove(ticket) {
            self.charge(rank, &account, weight);
        }
    }

    /// Charges an account for a stream that was served without waiting.
    pub(super) fn charge(&mut self, rank: u32, account: &AccountName, weight: u32) {
        let queue = self.ranks.entry(rank).or_insert_with(FairQueue::new);
        queue.charge(account, weight, 1);
    }

    /// Removes a stream that no longer waits.
    pub(super) fn leave(&mut self, ticket: StreamTicket) {
        self.remove(ticket);
    }

    fn remove(&mut self, ticket: StreamTicket) -> Option<Place> {
        let place = self.places.remove(&ticket)?;
        if let Some(queue) = self.ranks.get_mut(&place.rank) {
            queue.remove_of_account(&place.account, |waiting| *waiting == ticket);
        }
        Some(place)
    }
}
