//! The orders of all members along which they watch one another.

use jujubewall_types::id::MemberName;
use smallvec::SmallVec;
use twox_hash::XxHash64;

use super::table::MemberKey;

/// The number of rings, and so of members that each one watches.
pub(super) const RINGS: usize = 6;

/// A short list of members.
pub(super) type MemberKeys = SmallVec<[MemberKey; 2 * RINGS]>;

/// The place of a member on one ring.
type Place = (u64, MemberKey);

/// Several orders of the members, each by another hash of their names.
///
/// A member watches its successor on each ring. The union of the rings is a
/// random regular graph, along which claims reach everyone in few steps, and a
/// member that joins or leaves changes the watches of few others.
#[derive(Debug, Default)]
pub(super) struct Rings {
    rings: [Vec<Place>; RINGS],
}

impl Rings {
    /// Adds a member.
    pub(super) fn insert(&mut self, key: MemberKey, name: &MemberName) {
        for (seed, ring) in (0..).zip(&mut self.rings) {
            let place = place_of(seed, key, name);
            if let Err(index) = ring.binary_search(&place) {
                ring.insert(index, place);
            }
        }
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, key: MemberKey, name: &MemberName) {
        for (seed, ring) in (0..).zip(&mut self.rings) {
            if let Ok(index) = ring.binary_search(&place_of(seed, key, name)) {
                ring.remove(index);
            }
        }
    }

    /// Returns the members that `key` watches.
    pub(super) fn successors(&self, key: MemberKey, name: &MemberName) -> MemberKeys {
        self.neighbours(key, name, |index, len| (index + 1) % len)
    }

    /// Returns the members that watch `key`.
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
            let Ok(index) = ring.binary_search(&place_of(seed, key, name)) else {
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

fn place_of(seed: u64, key: MemberKey, name: &MemberName) -> Place {
    (XxHash64::oneshot(seed, name.as_str().as_bytes()), key)
}
