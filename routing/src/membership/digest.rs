//! Hashes by which two members find out where their claims differ.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::MemberName;
use jujubewall_types::member::MemberState;
use twox_hash::XxHash64;

/// The number of buckets into which claims fall by their member's name.
pub(super) const BUCKETS: usize = 64;

/// The largest number of buckets whose claims are exchanged at once.
pub(super) const MAX_DIFFERING_BUCKETS: usize = 8;

/// The seed that keeps bucket hashes apart from those of the rings.
const BUCKET_SEED: u64 = 0x6469_6765_7374;

/// Returns the bucket of a member.
pub(super) fn bucket_of(member: &MemberName) -> usize {
    let hash = XxHash64::oneshot(BUCKET_SEED, member.as_str().as_bytes());
    usize::try_from(hash % BUCKETS as u64).unwrap_or_default()
}

/// Combines claims into one hash for each bucket, whatever their order.
///
/// Dead members are left out, since members forget them at different times.
pub(super) fn digest<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<u64> {
    let mut buckets = vec![0; BUCKETS];
    for record in records.filter(|record| record.state != MemberState::Dead) {
        buckets[bucket_of(&record.member)] ^= hash_of(record);
    }
    buckets
}

/// Returns the places at which two digests differ, within the limit of one exchange.
pub(super) fn differing(ours: &[u64], theirs: &[u64]) -> Vec<u16> {
    let pairs = ours.iter().zip(theirs);
    (0..)
        .zip(pairs)
        .filter(|(_, (ours, theirs))| ours != theirs)
        .map(|(place, _)| place)
        .take(MAX_DIFFERING_BUCKETS)
        .collect()
}

fn hash_of(record: &MemberRecord) -> u64 {
    let mut bytes = record.member.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&record.incarnation.0.to_le_bytes());
    bytes.push(record.state as u8);
    XxHash64::oneshot(BUCKET_SEED, &bytes)
}
