//! Digests of idempotency keys and calls, and the storage keys of shards.

use jujubewall_protocol::call::ServiceCall;
use jujubewall_types::digest::DIGEST_BYTES;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use twox_hash::XxHash64;

/// The length to which the digest of an idempotency key is truncated.
const KEY_DIGEST_BYTES: usize = 16;

/// The truncated digest of an idempotency key and its client account.
///
/// The service is not part of the digest, since each service has its own shards.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key that a caller of `account` supplied.
    pub fn new(account: &AccountName, key: &str) -> Self {
        let text = format!("{account}\n{key}");
        let digest = Digest::of(text.as_bytes());
        let (bytes, _) = digest.as_bytes().split_at(KEY_DIGEST_BYTES);
        Self(std::array::from_fn(|index| bytes[index]))
    }

    /// Returns the index of the shard that holds the key, of `shards` in total.
    pub const fn shard(self, shards: u8) -> u8 {
        if shards == 0 {
            return 0;
        }
        self.0[0] % shards
    }
}

/// Identifies one shard of the idempotency keys of one service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShardName {
    service: ServiceName,
    shard: u8,
}

impl ShardName {
    /// Creates the name of the shard with the index `shard`.
    pub const fn new(service: ServiceName, shard: u8) -> Self {
        Self { service, shard }
    }

    /// Returns the upstream whose agent should claim the keys of this shard.
    ///
    /// Any agent may claim any key. Sending the keys of a shard to the same
    /// agent avoids write conflicts between agents. The choice is made by
    /// rendezvous hashing, so it is the same at every
    /// entry that passes the same upstreams.
    pub fn preferred<'a>(
        &self,
        upstreams: impl IntoIterator<Item = &'a UpstreamName>,
    ) -> Option<&'a UpstreamName> {
        let seed = XxHash64::oneshot(0, self.prefix().as_bytes());
        let rank = |upstream: &&UpstreamName| XxHash64::oneshot(seed, upstream.as_str().as_bytes());
        upstreams.into_iter().max_by_key(rank)
    }

    /// Returns the prefix of all keys of the shard in the key-value service.
    pub fn prefix(&self) -> SmolStr {
        format_smolstr!("orders/{}/{:03}/", self.service, self.shard)
    }

    /// Returns the key of the shard's head in the key-value service.
    pub fn head_key(&self) -> SmolStr {
        format_smolstr!("{}head", self.prefix())
    }

    /// Returns the key of a sealed segment in the key-value service.
    pub fn segment_key(&self, segment: u32) -> SmolStr {
        format_smolstr!("{}segment/{segment:010}", self.prefix())
    }
}

/// Computes the digest of the content of a call.
///
/// It reveals that an idempotency key was reused for a different call.
pub fn call_digest(call: &ServiceCall) -> Digest {
    let mut text = Vec::with_capacity(DIGEST_BYTES + call.body.len());
    for part in [
        call.service.as_str(),
        &call.method,
        &call.path,
        call.content_type.as_deref().unwrap_or_default(),
    ] {
        text.extend_from_slice(part.as_bytes());
        text.push(b'\n');
    }
    text.extend_from_slice(&call.body);
    Digest::of(&text)
}
