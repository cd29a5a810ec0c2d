//! Digests with which two members locate the records on which they differ.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::id::MemberName;
use jujubewall_types::member::MemberState;
use twox_hash::XxHash64;

/// The number of buckets in a digest. A record's bucket follows from its member's name.
pub(super) const BUCKET_COUNT: usize = 64;

/// The maximum number of buckets whose records are exchanged at once.
pub(super) const MAX_DIFFERING_BUCKETS: usize = 8;

/// The hash seed, which differs from the seeds that the rings use.
const BUCKET_SEED: u64 = 0x6469_6765_7374;

/// Returns the index of the bucket that holds a member's record.
pub(super) fn bucket_of(member: &MemberName) -> usize {
    let hash = XxHash64::oneshot(BUCKET_SEED, member.as_str().as_bytes());
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}

/// Computes one hash per bucket, independent of the order of the records.
///
/// Dead members are excluded, since each process forgets them at a different time.
pub(super) fn digest<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<u64> {
    let mut buckets = vec![0; BUCKET_COUNT];
    for record in records.filter(|record| record.state != MemberState::Dead) {
        buckets[bucket_of(&record.member)] ^= hash_record(record);
    }
    buckets
}

/// Returns the first buckets that differ, at most [`MAX_DIFFERING_BUCKETS`].
pub(super) fn differing_buckets(ours: &[u64], theirs: &[u64]) -> Vec<u16> {
    let pairs = ours.iter().zip(theirs);
    (0..)
        .zip(pairs)
        .filter(|(_, (ours, theirs))| ours != theirs)
        .map(|(bucket, _)| bucket)
        .take(MAX_DIFFERING_BUCKETS)
        .collect()
}

fn hash_record(record: &MemberRecord) -> u64 {
    let mut bytes = record.member.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&record.incarnation.0.to_le_bytes());
    bytes.push(record.state as u8);
    XxHash64::oneshot(BUCKET_SEED, &bytes)
}
