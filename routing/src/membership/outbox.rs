//! The claims that are still to be passed on.

use std::collections::VecDeque;

use smallvec::SmallVec;

use super::table::MemberKey;

/// The number of times that a claim is pushed to every watched member.
const PUSHES: u8 = 1;

/// The number of times that the announcement of a leaving member is pushed.
const URGENT_PUSHES: u8 = 2;

/// The number of times that a claim rides on a probe or its answer.
const RIDES: u8 = 4;

/// The largest number of claims in one push.
const MAX_PUSHED: usize = 32;

/// The largest number of claims that ride on one message.
const MAX_RIDERS: usize = 8;

/// A claim that is still to be passed on, with the number of times left.
#[derive(Clone, Copy, Debug)]
struct Pending {
    key: MemberKey,
    left: u8,
}

/// The claims that are still to be passed on, each a bounded number of times.
///
/// Only keys are held, so that the newest claim is sent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pushes: VecDeque<Pending>,
    riders: VecDeque<Pending>,
    is_urgent: bool,
}

impl Outbox {
    /// Adds a claim that is new.
    pub(super) fn add(&mut self, key: MemberKey, is_urgent: bool) {
        let pushes = if is_urgent { URGENT_PUSHES } else { PUSHES };
        renew(&mut self.pushes, key, pushes);
        renew(&mut self.riders, key, RIDES);
        self.is_urgent |= is_urgent;
    }

    /// Returns whether a claim waits that should not wait for the next tick.
    pub(super) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Takes the claims of the next push.
    pub(super) fn take_pushes(&mut self) -> SmallVec<[MemberKey; MAX_PUSHED]> {
        let mut taken = SmallVec::new();
        take(&mut self.pushes, MAX_PUSHED, |key| taken.push(key));
        taken
    }

    /// Takes the claims that ride on the next message.
    pub(super) fn take_riders(&mut self) -> SmallVec<[MemberKey; MAX_RIDERS]> {
        let mut taken = SmallVec::new();
        take(&mut self.riders, MAX_RIDERS, |key| taken.push(key));
        taken
    }

    /// Drops a member that is forgotten.
    pub(super) fn remove(&mut self, key: MemberKey) {
        self.pushes.retain(|pending| pending.key != key);
        self.riders.retain(|pending| pending.key != key);
    }
}

fn renew(queue: &mut VecDeque<Pending>, key: MemberKey, left: u8) {
    match queue.iter_mut().find(|pending| pending.key == key) {
        Some(pending) => pending.left = pending.left.max(left),
        None => queue.push_back(Pending { key, left }),
    }
}

fn take(queue: &mut VecDeque<Pending>, max: usize, mut each: impl FnMut(MemberKey)) {
    for _ in 0..queue.len().min(max) {
        let Some(pending) = queue.pop_front() else {
            return;
        };
        each(pending.key);
        if pending.left > 1 {
            let left = pending.left - 1;
            queue.push_back(Pending { left, ..pending });
        }
    }
}
