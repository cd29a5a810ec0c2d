//! The queue of updates that are still to be gossiped.

use std::collections::VecDeque;

use smallvec::SmallVec;

use super::table::MemberKey;

/// The number of times that an update is pushed to every successor.
const PUSH_COUNT: u8 = 1;

/// The number of times that a leave announcement is pushed to every successor.
const URGENT_PUSH_COUNT: u8 = 2;

/// The number of times that an update is piggybacked on a probe or its answer.
const PIGGYBACK_COUNT: u8 = 4;

/// The maximum number of updates in one push.
const MAX_PUSHED: usize = 32;

/// The maximum number of updates piggybacked on one message.
const MAX_PIGGYBACKED: usize = 8;

/// A member whose record is queued, with the number of transmissions left.
#[derive(Clone, Copy, Debug)]
struct Pending {
    key: MemberKey,
    remaining: u8,
}

/// The updates that are still to be gossiped, each a limited number of times.
///
/// Stores keys instead of records, so that the newest record of a member is sent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pushes: VecDeque<Pending>,
    piggybacks: VecDeque<Pending>,
    is_urgent: bool,
}

impl Outbox {
    /// Queues a member whose record has changed.
    ///
    /// An urgent update is pushed at the end of the current event instead of on the
    /// next tick.
    pub(super) fn add(&mut self, key: MemberKey, is_urgent: bool) {
        let pushes = if is_urgent {
            URGENT_PUSH_COUNT
        } else {
            PUSH_COUNT
        };
        renew(&mut self.pushes, key, pushes);
        renew(&mut self.piggybacks, key, PIGGYBACK_COUNT);
        self.is_urgent |= is_urgent;
    }

    /// Returns whether an urgent update was queued, and resets the flag.
    pub(super) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Dequeues the members whose records go into the next push.
    pub(super) fn take_pushes(&mut self) -> SmallVec<[MemberKey; MAX_PUSHED]> {
        let mut taken = SmallVec::new();
        take(&mut self.pushes, MAX_PUSHED, |key| taken.push(key));
        taken
    }

    /// Dequeues the members whose records are piggybacked on the next message.
    pub(super) fn take_piggybacked(&mut self) -> SmallVec<[MemberKey; MAX_PIGGYBACKED]> {
        let mut taken = SmallVec::new();
        take(&mut self.piggybacks, MAX_PIGGYBACKED, |key| taken.push(key));
        taken
    }

    /// Drops all pending transmissions for a member that is removed from the table.
    pub(super) fn remove(&mut self, key: MemberKey) {
        self.pushes.retain(|pending| pending.key != key);
        self.piggybacks.retain(|pending| pending.key != key);
    }
}

fn renew(queue: &mut VecDeque<Pending>, key: MemberKey, remaining: u8) {
    match queue.iter_mut().find(|pending| pending.key == key) {
        Some(pending) => pending.remaining = pending.remaining.max(remaining),
        None => queue.push_back(Pending { key, remaining }),
    }
}

fn take(queue: &mut VecDeque<Pending>, max: usize, mut on_taken: impl FnMut(MemberKey)) {
    for _ in 0..queue.len().min(max) {
        let Some(pending) = queue.pop_front() else {
            return;
        };
        on_taken(pending.key);
        if pending.remaining > 1 {
            let remaining = pending.remaining - 1;
            queue.push_back(Pending {
                remaining,
                ..pending
            });
        }
    }
}
