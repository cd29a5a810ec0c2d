//! Hash rings that determine which members probe one another.

use jujubewall_types::id::MemberName;
use smallvec::SmallVec;
use twox_hash::XxHash64;

use super::table::MemberKey;

/// The number of rings, and thus the maximum number of members that each one probes.
pub(super) const RING_COUNT: usize = 6;

/// A list of members, long enough inline for the neighbours on all rings.
pub(super) type MemberKeys = SmallVec<[MemberKey; 2 * RING_COUNT]>;

/// The position of a member on one ring: the hash of its name, then its key.
type RingPosition = (u64, MemberKey);

/// Rings of all present members, each sorted by a differently seeded hash of the name.
///
/// A member probes its successor on each ring. The union of the rings is a random
/// regular graph, along which updates reach all members in few hops. A member that
/// joins or leaves changes the neighbours of only a few others.
#[derive(Debug, Default)]
pub(super) struct Rings {
    rings: [Vec<RingPosition>; RING_COUNT],
}

impl Rings {
    /// Adds a member to every ring; does nothing if it is already present.
    pub(super) fn insert(&mut self, key: MemberKey, name: &MemberName) {
        for (seed, ring) in (0..).zip(&mut self.rings) {
            let position = position_of(seed, key, name);
            if let Err(index) = ring.binary_search(&position) {
                ring.insert(index, position);
            }
        }
    }

    /// Removes a member from every ring; does nothing if it is absent.
    pub(super) fn remove(&mut self, key: MemberKey, name: &MemberName) {
        for (seed, ring) in (0..).zip(&mut self.rings) {
            if let Ok(index) = ring.binary_search(&position_of(seed, key, name)) {
                ring.remove(index);
            }
        }
    }

    /// Returns the distinct successors of `key`, which it probes.
    pub(super) fn successors(&self, key: MemberKey, name: &MemberName) -> MemberKeys {
        self.neighbours(key, name, |index, len| (index + 1) % len)
    }

    /// Returns the distinct predecessors of `key`, which probe it.
    pub(super) fn predecessors(&self, key: MemberKey, name: &MemberName) -> MemberKeys {
        self.neighbours(key, name, |index, len| (index + len - 1) % len)
    }

    fn neighbours(
        &self,
        key: MemberKey,
        name: &MemberName,
        step: impl Fn(usize, usize) -> usize,
    ) -> MemberKeys {
        let mut neighbours = MemberKeys::new();
        for (seed, ring) in (0..).zip(&self.rings) {
            let Ok(index) = ring.binary_search(&position_of(seed, key, name)) else {
                continue;
            };
            let (_, neighbour) = ring[step(index, ring.len())];
            if neighbour != key && !neighbours.contains(&neighbour) {
                neighbours.push(neighbour);
            }
        }
        neighbours
    }
}

fn position_of(seed: u64, key: MemberKey, name: &MemberName) -> RingPosition {
    (XxHash64::oneshot(seed, name.as_str().as_bytes()), key)
}
