//! Digests of idempotency keys and calls.

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

/// The number of bytes of a digest that name a key.
const KEY_BYTES: usize = 16;

/// The digest of an idempotency key within its client account and service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; KEY_BYTES]);

impl KeyDigest {
    /// Computes the digest of the key that a caller gave.
    pub fn new(account: &AccountName, key: &str) -> Self {
        let text = format!("{account}\n{key}");
        let digest = Digest::of(text.as_bytes());
        let (bytes, _) = digest.as_bytes().split_at(KEY_BYTES);
        Self(std::array::from_fn(|index| bytes[index]))
    }

    /// Returns the shard, of `shards`, that holds the key.
    pub const fn shard(self, shards: u8) -> u8 {
        if shards == 0 {
            return 0;
        }
        self.0[0] % shards
    }
}

/// The name of one shard of one service's keys.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShardName {
    service: ServiceName,
    shard: u8,
}

impl ShardName {
    /// Creates the name.
    pub const fn new(service: ServiceName, shard: u8) -> Self {
        Self { service, shard }
    }

    /// Returns the upstream whose agent should claim the keys of this shard.
    ///
    /// Any agent may claim any key. When the keys of a shard go to the same
    /// one, its writes do not conflict with those of others.
    pub fn preferred<'a>(
        &self,
        upstreams: impl IntoIterator<Item = &'a UpstreamName>,
    ) -> Option<&'a UpstreamName> {
        let seed = XxHash64::oneshot(0, self.prefix().as_bytes());
        let rank = |upstream: &&UpstreamName| XxHash64::oneshot(seed, upstream.as_str().as_bytes());
        upstreams.into_iter().max_by_key(rank)
    }

    /// Returns the prefix of every key that the shard has in the key-value service.
    pub fn prefix(&self) -> SmolStr {
        format_smolstr!("orders/{}/{:03}/", self.service, self.shard)
    }

    /// Returns the key of the shard's head.
    pub fn head_key(&self) -> SmolStr {
        format_smolstr!("{}head", self.prefix())
    }

    /// Returns the key of a sealed segment.
    pub fn segment_key(&self, segment: u32) -> SmolStr {
        format_smolstr!("{}segment/{segment:010}", self.prefix())
    }
}

/// Computes the digest of what a call asks for, by which a reused key is noticed.
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
