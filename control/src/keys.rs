//! Keys of the configuration and the audit trail in the key-value service.

use jujubewall_types::digest::Digest;
use jujubewall_types::id::Revision;

use crate::shard::ChunkRef;

/// Key of the head.
pub const HEAD: &str = "jujubewall/config/head";

/// Prefix of the keys of chunks.
pub const CHUNKS: &str = "jujubewall/config/chunk/";

/// Prefix of the keys of pages of accepted notes.
pub const PAGES: &str = "jujubewall/audit/page/";

/// Prefix of the keys of pages of refused notes.
pub const REFUSALS: &str = "jujubewall/audit/refused/";

/// Returns the key of a chunk.
pub fn chunk(chunk: &ChunkRef) -> String {
    format!("{CHUNKS}{:016x}/{}", chunk.generation.0, chunk.digest)
}

/// Parses the reference to a chunk from its key.
pub fn parse_chunk(key: &str) -> Option<ChunkRef> {
    let (generation, digest) = key.strip_prefix(CHUNKS)?.split_once('/')?;
    Some(ChunkRef {
        generation: Revision(u64::from_str_radix(generation, 16).ok()?),
        digest: digest.parse().ok()?,
    })
}

/// Returns the key of a page of accepted notes.
pub fn page(number: u64) -> String {
    format!("{PAGES}{number:016x}")
}

/// Parses the number of a page of accepted notes from its key.
pub fn parse_page(key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(PAGES)?, 16).ok()
}

/// Returns the prefix of the keys of record parts that were written for a revision.
pub fn records(revision: Revision) -> String {
    format!("jujubewall/audit/record/{:016x}/", revision.0)
}

/// Returns the key of one part of a record.
pub fn record_part(revision: Revision, digest: &Digest) -> String {
    format!("{}{digest}", records(revision))
}

/// Returns the key of a page of refused notes.
pub fn refusals(slot: u64) -> String {
    format!("{REFUSALS}{slot:04}")
}
